//! The HTTP server of the operators' port.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE};
use http::{Method, StatusCode};
use log::debug;
use monoio::io::Splitable;
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::net::{TcpListener, TcpStream};
use monoio_http::common::body::BodyExt;
use monoio_http::common::error::HttpError;
use monoio_http::common::request::Request;
use monoio_http::common::response::Response;
use monoio_http::h1::codec::decoder::{FillPayload, RequestDecoder};
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::{FixedPayload, Payload};
use serde::Deserialize;

use coltsfootgate_core::ids::ConfigVersion;

use super::bounded::BoundedReader;
use super::{ReadinessGate, RequestRecords, StatusBoard};
use crate::accept::accept_connections;
use crate::metrics::{ConnectionSide, DaemonMetrics};
use crate::tree::TreeHandle;

/// Largest request, head and body together, in bytes.
const REQUEST_BYTES_MAX: usize = 16 << 10;
/// Time for a request to arrive whole.
const REQUEST_TIME: Duration = Duration::from_secs(5);
/// Time for an answer to be taken by the other side.
const ANSWER_TIME: Duration = Duration::from_secs(10);

const JSON: &str = "application/json";
const TEXT: &str = "text/plain; version=0.0.4";

/// What the operators' port shows and passes on.
#[derive(Clone, Debug)]
pub struct OperatorsContext {
    /// The metrics.
    pub metrics: DaemonMetrics,
    /// The status of all parts.
    pub board: StatusBoard,
    /// The decision records.
    pub records: RequestRecords,
    /// Whether the instance is ready.
    pub readiness: ReadinessGate,
    /// The tree in force.
    pub tree: TreeHandle,
    /// Connections held at once.
    pub connections_max: usize,
    /// Another path at which readiness is told.
    pub readiness_path: Option<Arc<str>>,
}

/// Listens on the operators' port.
#[derive(Debug)]
pub struct OperatorsServer {
    listener: TcpListener,
    context: OperatorsContext,
}

#[derive(Deserialize)]
struct HeadHint {
    version: ConfigVersion,
}

struct OperatorsAnswer {
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
}

impl OperatorsServer {
    /// Makes a server on a bound socket.
    pub fn new(listener: TcpListener, context: OperatorsContext) -> Self {
        Self { listener, context }
    }

    /// The address that was taken.
    ///
    /// # Errors
    ///
    /// Fails if the operating system cannot tell.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until the future is dropped.
    pub async fn serve(self) {
        let start = |stream| self.start(stream);
        accept_connections(&self.listener, "operators", start).await;
    }

    fn start(&self, stream: TcpStream) {
        let metrics = &self.context.metrics;
        if metrics.open_connections(ConnectionSide::Operators) >= self.context.connections_max {
            metrics.connection_refused(ConnectionSide::Operators);
            return;
        }
        let count = metrics.connection_opened(ConnectionSide::Operators);
        let context = self.context.clone();
        monoio::spawn(async move {
            if let Err(error) = serve_connection(stream, &context).await {
                debug!("connection ended: {error}");
            }
            drop(count);
        });
    }
}

/// Answers the one request of a connection.
///
/// With one request each, a bound on the bytes of a connection is a bound on those of a request.
async fn serve_connection(stream: TcpStream, context: &OperatorsContext) -> Result<(), HttpError> {
    let (reader, writer) = stream.into_split();
    let mut decoder = RequestDecoder::new(BoundedReader::new(reader, REQUEST_BYTES_MAX));
    let mut encoder = GenericEncoder::new(writer);
    let request = monoio::time::timeout(REQUEST_TIME, read_request(&mut decoder)).await;
    let answer = match request {
        Ok(Ok(Some((request, body)))) => context.answer(&request, &body),
        Ok(Ok(None)) => return Ok(()),
        Ok(Err(error)) => OperatorsAnswer::text(StatusCode::BAD_REQUEST, error.to_string()),
        Err(_) => OperatorsAnswer::text(StatusCode::REQUEST_TIMEOUT, "request too slow"),
    };
    let response = Response::from(answer);
    let sent = monoio::time::timeout(ANSWER_TIME, encoder.send_and_flush(response)).await;
    sent.unwrap_or(Ok(()))
}

/// Reads a request and its body; `None` if the other side left without one.
async fn read_request<D>(decoder: &mut D) -> Result<Option<(Request<()>, Bytes)>, HttpError>
where
    D: Stream<Item = Result<Request, HttpError>> + FillPayload<Error = HttpError>,
{
    let Some(request) = decoder.next().await else { return Ok(None) };
    let (parts, payload) = request?.into_parts();
    decoder.fill_payload().await?;
    let body = payload.bytes().await?;
    Ok(Some((Request::from_parts(parts, ()), body)))
}

impl OperatorsContext {
    fn answer(&self, request: &Request<()>, body: &Bytes) -> OperatorsAnswer {
        let path = request.uri().path();
        if self.readiness_path.as_deref() == Some(path) {
            return self.readiness_answer();
        }
        match (request.method(), path) {
            (&Method::GET, "/healthz") => OperatorsAnswer::text(StatusCode::OK, "ok"),
            (&Method::GET, "/readyz") => self.readiness_answer(),
            (&Method::GET, "/metrics") => {
                self.metrics.set_config_age(self.tree.age());
                OperatorsAnswer::new(StatusCode::OK, TEXT, self.metrics.encode())
            }
            (&Method::GET, "/status") => {
                OperatorsAnswer::new(StatusCode::OK, JSON, self.board.status().to_string())
            }
            (&Method::GET, "/config/head") => self.head_answer(),
            (&Method::POST, "/config/head") => self.take_hint(body),
            (&Method::GET, _) if path.starts_with("/requests/") => self.record_answer(path),
            _ => OperatorsAnswer::text(StatusCode::NOT_FOUND, "no such page"),
        }
    }

    fn readiness_answer(&self) -> OperatorsAnswer {
        if self.readiness.is_ready() {
            return OperatorsAnswer::text(StatusCode::OK, "ready");
        }
        OperatorsAnswer::text(StatusCode::SERVICE_UNAVAILABLE, self.readiness.causes())
    }

    fn head_answer(&self) -> OperatorsAnswer {
        let head = self.tree.current().and_then(|tree| serde_json::to_vec(&tree.head).ok());
        match head {
            Some(head) => OperatorsAnswer::new(StatusCode::OK, JSON, head),
            None => OperatorsAnswer::text(StatusCode::NOT_FOUND, "no tree is in force"),
        }
    }

    fn take_hint(&self, body: &Bytes) -> OperatorsAnswer {
        match serde_json::from_slice::<HeadHint>(body) {
            Ok(hint) => {
                self.tree.hint(hint.version);
                OperatorsAnswer::text(StatusCode::ACCEPTED, "accepted")
            }
            Err(error) => OperatorsAnswer::text(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn record_answer(&self, path: &str) -> OperatorsAnswer {
        match self.records.record(path.trim_start_matches("/requests/")) {
            Some(record) => OperatorsAnswer::new(StatusCode::OK, JSON, record.to_string()),
            None => OperatorsAnswer::text(StatusCode::NOT_FOUND, "no such request"),
        }
    }
}

impl OperatorsAnswer {
    fn new(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Self {
        Self { status, content_type, body: body.into() }
    }

    fn text(status: StatusCode, message: impl Into<String>) -> Self {
        Self::new(status, TEXT, format!("{}\n", message.into()))
    }
}

impl From<OperatorsAnswer> for Response {
    fn from(answer: OperatorsAnswer) -> Self {
        let mut response = Self::new(Payload::Fixed(FixedPayload::new(answer.body)));
        *response.status_mut() = answer.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, http::HeaderValue::from_static(answer.content_type));
        headers.insert(CONNECTION, http::HeaderValue::from_static("close"));
        response
    }
}
