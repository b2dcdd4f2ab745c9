//! Endpoints as the pipeline meets them: a request goes out, an answer or a proof comes back.

mod connection;
pub mod event;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};

pub use connection::{AnswerStream, ConnectionPool};

/// Header that carries the id of an attempt and is echoed by the endpoint.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that carries the tier of a request to an engine.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header that carries how many tokens the caller already has.
pub const RESUME_HEADER: &str = "x-resume-offset";
/// Header by which an endpoint proves that it did not start a request.
pub const NOT_STARTED_HEADER: &str = "x-not-started";

/// One attempt of a request at one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointRequest {
    /// IP address and port of the endpoint.
    pub address: Arc<str>,
    /// The caller's method.
    pub method: Method,
    /// The caller's path and query.
    pub path: Arc<str>,
    /// The headers to send, the attempt's own included.
    pub headers: HeaderMap,
    /// The caller's body.
    pub body: Bytes,
    /// The longest wait for the head of the answer.
    pub head_timeout: Duration,
}

/// The head of an endpoint's answer, with its body to be read.
#[derive(Debug)]
pub struct EndpointAnswer {
    /// The status of the answer.
    pub status: StatusCode,
    /// The headers of the answer.
    pub headers: HeaderMap,
    /// The body of the answer.
    pub stream: AnswerStream,
}

/// Why an attempt brought no answer, by what it proves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointFailure {
    /// No byte of the request was sent.
    NeverSent,
    /// The endpoint refused the request and states that it did not start it.
    RefusedBeforeStart,
    /// The endpoint answered with an error and does not state that nothing ran.
    FailedAnswer(StatusCode),
    /// The connection broke after the request was sent.
    ConnectionLost,
    /// The endpoint was silent for longer than its bound after the request was sent.
    Silent,
    /// The time of the request was up before its answer was whole, which says nothing against the
    /// endpoint.
    TimeUp,
    /// Nothing came for so long that another endpoint may be sooner.
    Overdue,
    /// The answer carries the id of another request.
    Mismatched,
}

/// Sends requests to endpoints.
pub trait EndpointClient {
    /// Sends one request and waits for the head of its answer.
    ///
    /// Dropping the future or the answer cancels the request at the endpoint.
    fn send(
        &self,
        request: EndpointRequest,
    ) -> impl Future<Output = Result<EndpointAnswer, EndpointFailure>>;
}
