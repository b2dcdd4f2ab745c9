//! The client of endpoints: sends a request, and returns an answer or a failure that states whether
//! the request may have run.

mod access;
mod connection;
pub mod event;
mod fields;
mod path;
pub mod scanner;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootgate_core::prelude::{EndpointId, InstanceId, PoolId};
use http::{HeaderMap, Method, StatusCode};

pub use access::{
    EndpointAccess, EndpointReach, ForwardHold, ForwarderClient, from_header_rows, header_rows,
};
pub use connection::{AnswerStream, ConnectionPool};
pub use path::EndpointPaths;

/// Header with the id of an attempt, which the endpoint echoes.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the tier of a request to an engine.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header with the number of tokens that the caller already has.
pub const RESUME_HEADER: &str = "x-resume-offset";
/// Header by which an endpoint reports that it did not start a request.
pub const NOT_STARTED_HEADER: &str = "x-not-started";

/// Header by which an endpoint limits the requests a second from all callers together.
pub const RATE_LIMIT_HEADER: &str = "x-rate-limit";

/// One attempt of a request at one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointRequest {
    /// The pool of the endpoint.
    pub pool: PoolId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The id that the answer must echo.
    pub attempt: Arc<str>,
    /// IP address and port of the endpoint.
    pub address: Arc<str>,
    /// The caller's method.
    pub method: Method,
    /// The caller's path and query.
    pub path: Arc<str>,
    /// The headers to send, including those of the attempt.
    pub headers: HeaderMap,
    /// The caller's body.
    pub body: Bytes,
    /// Maximum time to wait for the head of the answer.
    pub head_timeout: Duration,
    /// Maximum time without data from the endpoint after the head.
    pub silence: Duration,
    /// Takes how far the sending has come.
    pub progress: SendProgress,
}

/// How far the sending of a request to an endpoint has come; clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct SendProgress(Rc<ProgressState>);

#[derive(Debug, Default)]
struct ProgressState {
    via: RefCell<Option<InstanceId>>,
    may_be_sent: Cell<bool>,
}

impl SendProgress {
    /// Sets the instance through which the request is sent; `None` if it is sent directly.
    pub fn set_via(&self, via: Option<InstanceId>) {
        *self.0.via.borrow_mut() = via;
    }

    /// The instance through which the request is sent; `None` if it is sent directly.
    pub fn via(&self) -> Option<InstanceId> {
        self.0.via.borrow().clone()
    }

    /// Records that bytes of the request may leave this process from now on.
    pub fn begin_send(&self) {
        self.0.may_be_sent.set(true);
    }

    /// Records the proof that no byte of the request was sent.
    pub fn revert_send(&self) {
        self.0.may_be_sent.set(false);
    }

    /// Whether bytes of the request may have been sent.
    pub fn may_be_sent(&self) -> bool {
        self.0.may_be_sent.get()
    }
}

/// The head of an endpoint's answer, with its body still to be read.
#[derive(Debug)]
pub struct EndpointAnswer {
    /// The status of the answer.
    pub status: StatusCode,
    /// The headers of the answer.
    pub headers: HeaderMap,
    /// The body of the answer.
    pub stream: AnswerStream,
}

/// Why an attempt failed, which also determines whether the request may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointFailure {
    /// No byte of the request was sent.
    NeverSent,
    /// No byte of the request was sent, since the endpoint asked for time without requests meanwhile.
    Resting,
    /// No byte of the request was sent, since neither this instance nor those that it asked reach any
    /// endpoint.
    PathLost,
    /// The endpoint refused the request and reported that it did not start it.
    RefusedBeforeStart,
    /// The endpoint answered with an error and did not report that it had not started the request.
    FailedAnswer(StatusCode),
    /// The connection was lost after the request was sent.
    ConnectionLost,
    /// The endpoint sent no data for longer than its timeout after the request was sent.
    Stalled,
    /// The request timed out before its answer was complete, which does not count as a failure of
    /// the endpoint.
    RequestTimeout,
    /// No answer arrived for so long that another endpoint is likely to answer sooner.
    Abandoned,
    /// The answer carries the id of another request.
    Mismatched,
    /// This process ends before the attempt did.
    ProcessEnding {
        /// Whether bytes of the request may have been sent.
        may_be_sent: bool,
    },
}

/// Sends requests to endpoints.
pub trait EndpointClient {
    /// Sends one request and waits for the head of its answer.
    ///
    /// Dropping the future or the answer cancels the request at the endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the request cannot be sent or no head arrives within its timeout.
    fn send(
        &self,
        request: EndpointRequest,
    ) -> impl Future<Output = Result<EndpointAnswer, EndpointFailure>>;
}
