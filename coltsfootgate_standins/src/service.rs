//! Stand-in for a plain HTTP service, which counts the requests that it executes.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_channel::mpsc;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::body::{ConnectionCut, StandinBody};
use crate::engine::not_started;
use crate::http_server::{ControlTarget, StandinService, json_bytes, read_body};
use crate::runner::{self, StandinHandle};
use crate::signal::ServerGate;

/// Fault that is injected into a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceFault {
    /// No fault.
    #[default]
    None,
    /// The request is refused with a header that guarantees that it was not started.
    RefuseNotStarted,
    /// The connection is closed before the request is executed.
    CutBefore,
    /// The connection is closed after the request was executed, without an answer.
    CutAfter,
    /// The request is executed and the connection is closed after half of the body.
    CutAmidAnswer,
    /// The request is neither executed nor answered; the connection stays open.
    HangBefore,
    /// The request is executed but not answered; the connection stays open.
    HangAfter,
    /// The request is executed and answered with status 500.
    FailAfter,
}

/// Control command of a service; members that are left out stay unchanged.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ServiceCommand {
    fault: Option<ServiceFault>,
    /// Number of requests that get the fault; all if left out.
    times: Option<u32>,
    /// Delay between the execution of a request and its answer, in milliseconds.
    delay_ms: Option<u64>,
    /// Whether answers carry the id of another request.
    wrong_id: Option<bool>,
    /// Bytes of whitespace that are appended to each answer.
    padding: Option<usize>,
    /// Whether the listener and all connections are closed.
    crash: Option<bool>,
}

/// Number of executions by idempotency key, by request id and by request target.
#[derive(Debug, Default)]
struct ExecutionCounters {
    by_key: HashMap<String, u32>,
    by_request_id: HashMap<String, u32>,
    by_target: HashMap<String, u32>,
}

#[derive(Debug, Default)]
struct PlainService {
    gate: ServerGate,
    fault: Cell<ServiceFault>,
    /// Remaining requests that get the fault; all if `None`.
    times: Cell<Option<u32>>,
    delay: Cell<Duration>,
    wrong_id: Cell<bool>,
    padding: Cell<usize>,
    arrived: Cell<u64>,
    executed: Cell<u64>,
    executions: RefCell<ExecutionCounters>,
}

/// Starts a plain service on its own thread; each answer is delayed by `work`.
pub fn start_plain_service(listen: SocketAddr, work: Duration) -> io::Result<StandinHandle> {
    runner::start_service(listen, move || PlainService {
        delay: Cell::new(work),
        ..PlainService::default()
    })
}

impl StandinService for PlainService {
    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<StandinBody>, ConnectionCut> {
        let header = |name| {
            let value = request.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let (id, key) = (header("x-request-id"), header("idempotency-key"));
        let method = request.method().to_string();
        let target = request.uri().to_string();
        let body = read_body(request).await?;
        self.arrived.set(self.arrived.get() + 1);
        let fault = self.next_fault();
        match fault {
            ServiceFault::RefuseNotStarted => {
                return Ok(not_started(StatusCode::SERVICE_UNAVAILABLE));
            }
            ServiceFault::CutBefore => return Err(ConnectionCut),
            ServiceFault::HangBefore => future::pending().await,
            _ => {}
        }
        let execution = self.execute(id.as_deref(), key.as_deref(), &target);
        if !self.delay.get().is_zero() {
            monoio::time::sleep(self.delay.get()).await;
        }
        let answer = json!({
            "method": method,
            "target": target,
            "key": key,
            "execution": execution,
            "body": String::from_utf8_lossy(&body),
        });
        let answer = self.padded_body(&answer);
        let mut response = match fault {
            ServiceFault::CutAfter => return Err(ConnectionCut),
            ServiceFault::HangAfter => future::pending().await,
            ServiceFault::FailAfter => json_bytes(StatusCode::INTERNAL_SERVER_ERROR, answer),
            ServiceFault::CutAmidAnswer => truncated_response(&answer),
            _ => json_bytes(StatusCode::OK, answer),
        };
        let id = id.filter(|_| !self.wrong_id.get()).unwrap_or_else(|| "another".to_owned());
        if let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert("x-request-id", id);
        }
        Ok(response)
    }
}

impl PlainService {
    /// Serializes an answer and appends the configured padding as spaces, which is faster than
    /// encoding it as JSON.
    fn padded_body(&self, answer: &Value) -> Bytes {
        let mut bytes = answer.to_string().into_bytes();
        bytes.resize(bytes.len() + self.padding.get(), b' ');
        bytes.into()
    }
}

impl ControlTarget for PlainService {
    fn gate(&self) -> &ServerGate {
        &self.gate
    }

    fn apply_command(&self, command: &[u8]) -> Result<(), String> {
        let command: ServiceCommand =
            serde_json::from_slice(command).map_err(|error| error.to_string())?;
        if let Some(fault) = command.fault {
            self.fault.set(fault);
            self.times.set(command.times);
        }
        self.delay.set(command.delay_ms.map_or(self.delay.get(), Duration::from_millis));
        self.wrong_id.set(command.wrong_id.unwrap_or(self.wrong_id.get()));
        self.padding.set(command.padding.unwrap_or(self.padding.get()));
        if let Some(crashed) = command.crash {
            self.gate.set_open(!crashed);
        }
        Ok(())
    }

    fn counters(&self) -> Value {
        let executions = self.executions.borrow();
        json!({
            "arrived": self.arrived.get(),
            "executed": self.executed.get(),
            "by_key": executions.by_key,
            "by_request_id": executions.by_request_id,
            "by_target": executions.by_target,
        })
    }
}

impl PlainService {
    /// The fault of the next request; counts down `times`.
    fn next_fault(&self) -> ServiceFault {
        let Some(remaining) = self.times.get() else { return self.fault.get() };
        let Some(rest) = remaining.checked_sub(1) else { return ServiceFault::None };
        self.times.set(Some(rest));
        self.fault.get()
    }

    /// Counts an execution and returns its number.
    fn execute(&self, id: Option<&str>, key: Option<&str>, target: &str) -> u64 {
        let mut executions = self.executions.borrow_mut();
        if let Some(id) = id {
            *executions.by_request_id.entry(id.to_owned()).or_default() += 1;
        }
        if let Some(key) = key {
            *executions.by_key.entry(key.to_owned()).or_default() += 1;
        }
        *executions.by_target.entry(target.to_owned()).or_default() += 1;
        self.executed.set(self.executed.get() + 1);
        self.executed.get()
    }
}

/// A response that closes the connection after half of the body.
fn truncated_response(text: &Bytes) -> Response<StandinBody> {
    let (chunks, receiver) = mpsc::unbounded();
    let half = text.slice(..text.len() / 2);
    let _ = chunks.unbounded_send(Ok(half));
    let _ = chunks.unbounded_send(Err(ConnectionCut));
    Response::new(StandinBody::Chunks(receiver))
}
