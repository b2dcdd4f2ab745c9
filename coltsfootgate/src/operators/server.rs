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
use super::{ReadinessGate, RequestRecords, StatusRegistry};
use crate::accept::accept_connections;
use crate::metrics::{ConnectionSide, DaemonMetrics};
use crate::transfer::MemoryAccount;
use crate::tree::TreeHandle;

/// Maximum size of a request, head and body together, in bytes.
const REQUEST_BYTES_MAX: usize = 16 << 10;
/// Time within which a whole request must arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which the client must accept the whole response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

const JSON: &str = "application/json";
const TEXT: &str = "text/plain; version=0.0.4";

/// The state that the operators' port serves, and the tree to which it passes version hints.
#[derive(Clone, Debug)]
pub struct OperatorsContext {
    /// The metrics.
    pub metrics: DaemonMetrics,
    /// The status page.
    pub status: StatusRegistry,
    /// The decision records of recent requests.
    pub records: RequestRecords,
    /// Whether the instance is ready.
    pub readiness: ReadinessGate,
    /// The settings tree in force.
    pub tree: TreeHandle,
    /// The memory that is held for callers and for other instances.
    pub memory: MemoryAccount,
    /// Maximum number of open connections.
    pub connections_max: usize,
    /// A second path that serves readiness, besides `/readyz`.
    pub readiness_path: Option<Arc<str>>,
}

/// Serves HTTP on the operators' port.
#[derive(Debug)]
pub struct OperatorsServer {
    listener: TcpListener,
    context: OperatorsContext,
}

/// The notice that a version of the settings tree was stored.
#[derive(Deserialize)]
struct VersionHint {
    version: ConfigVersion,
}

struct OperatorsResponse {
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
}

impl OperatorsServer {
    /// Creates a server on a bound socket.
    pub fn new(listener: TcpListener, context: OperatorsContext) -> Self {
        Self { listener, context }
    }

    /// The address on which the server listens.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not return the address.
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
                debug!("connection of an operator failed: {error}");
            }
            drop(count);
        });
    }
}

/// Serves the only request of a connection.
///
/// With one request per connection, the bound on bytes read from a connection bounds the request.
async fn serve_connection(stream: TcpStream, context: &OperatorsContext) -> Result<(), HttpError> {
    let (reader, writer) = stream.into_split();
    let mut decoder = RequestDecoder::new(BoundedReader::new(reader, REQUEST_BYTES_MAX));
    let mut encoder = GenericEncoder::new(writer);
    let request = monoio::time::timeout(REQUEST_TIMEOUT, read_request(&mut decoder)).await;
    let response = match request {
        Ok(Ok(Some((request, body)))) => context.respond(&request, &body),
        Ok(Ok(None)) => return Ok(()),
        Ok(Err(error)) => OperatorsResponse::text(StatusCode::BAD_REQUEST, error.to_string()),
        Err(_) => OperatorsResponse::text(StatusCode::REQUEST_TIMEOUT, "request too slow"),
    };
    let response = Response::from(response);
    let sent = monoio::time::timeout(RESPONSE_TIMEOUT, encoder.send_and_flush(response)).await;
    sent.unwrap_or(Ok(()))
}

/// Reads a request and its body; `None` if the client closed the connection without sending one.
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
    fn respond(&self, request: &Request<()>, body: &Bytes) -> OperatorsResponse {
        let path = request.uri().path();
        if self.readiness_path.as_deref() == Some(path) {
            return self.readiness_response();
        }
        match (request.method(), path) {
            (&Method::GET, "/healthz") => OperatorsResponse::text(StatusCode::OK, "ok"),
            (&Method::GET, "/readyz") => self.readiness_response(),
            (&Method::GET, "/metrics") => {
                self.metrics.set_config_age(self.tree.age());
                self.metrics.memory().set(&self.memory);
                OperatorsResponse::new(StatusCode::OK, TEXT, self.metrics.encode())
            }
            (&Method::GET, "/status") => {
                OperatorsResponse::new(StatusCode::OK, JSON, self.status.to_json().to_string())
            }
            (&Method::GET, "/config/head") => self.head_response(),
            (&Method::POST, "/config/head") => self.accept_hint(body),
            (&Method::GET, _) if path.starts_with("/requests/") => self.record_response(path),
            _ => OperatorsResponse::text(StatusCode::NOT_FOUND, "no such page"),
        }
    }

    fn readiness_response(&self) -> OperatorsResponse {
        if self.readiness.is_ready() {
            return OperatorsResponse::text(StatusCode::OK, "ready");
        }
        OperatorsResponse::text(StatusCode::SERVICE_UNAVAILABLE, self.readiness.causes())
    }

    fn head_response(&self) -> OperatorsResponse {
        let head = self.tree.current().and_then(|tree| serde_json::to_vec(&tree.head).ok());
        match head {
            Some(head) => OperatorsResponse::new(StatusCode::OK, JSON, head),
            None => OperatorsResponse::text(StatusCode::NOT_FOUND, "no tree is in force"),
        }
    }

    fn accept_hint(&self, body: &Bytes) -> OperatorsResponse {
        match serde_json::from_slice::<VersionHint>(body) {
            Ok(hint) => {
                self.tree.hint(hint.version);
                OperatorsResponse::text(StatusCode::ACCEPTED, "accepted")
            }
            Err(error) => OperatorsResponse::text(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn record_response(&self, path: &str) -> OperatorsResponse {
        match self.records.record(path.trim_start_matches("/requests/")) {
            Some(record) => OperatorsResponse::new(StatusCode::OK, JSON, record.to_string()),
            None => OperatorsResponse::text(StatusCode::NOT_FOUND, "no such request"),
        }
    }
}

impl OperatorsResponse {
    fn new(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Self {
        Self { status, content_type, body: body.into() }
    }

    fn text(status: StatusCode, message: impl Into<String>) -> Self {
        Self::new(status, TEXT, format!("{}\n", message.into()))
    }
}

impl From<OperatorsResponse> for Response {
    fn from(page: OperatorsResponse) -> Self {
        let mut response = Self::new(Payload::Fixed(FixedPayload::new(page.body)));
        *response.status_mut() = page.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, http::HeaderValue::from_static(page.content_type));
        headers.insert(CONNECTION, http::HeaderValue::from_static("close"));
        response
    }
}
