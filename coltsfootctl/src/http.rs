//! A client for single HTTP calls, bounded in time and bytes.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::abortable;
use http::header::HOST;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1;
use monoio::io::IntoPollIo;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;

/// The largest answer that is read, in bytes.
const ANSWER_BYTES: usize = 8 << 20;

/// Why a call brought no whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallError {
    /// No connection was made, so the call had no effect.
    Unreachable(SocketAddr, String),
    /// The connection broke before the answer was whole.
    Broken(SocketAddr, String),
    /// No whole answer came in time.
    TimedOut(SocketAddr, Duration),
    /// The answer was larger than allowed.
    TooLarge(SocketAddr),
    /// The answer could not be understood.
    Malformed(SocketAddr, String),
    /// The server answered with this HTTP status.
    Refused(SocketAddr, u16),
}

impl CallError {
    /// Whether a write that ended like this may still take effect.
    pub fn may_have_written(&self) -> bool {
        match self {
            Self::Unreachable(..) => false,
            Self::Refused(_, status) => *status >= 500,
            Self::Broken(..) | Self::TimedOut(..) | Self::TooLarge(_) | Self::Malformed(..) => true,
        }
    }
}

impl Display for CallError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(address, cause) => {
                write!(formatter, "{address} is unreachable: {cause}")
            }
            Self::Broken(address, cause) => {
                write!(formatter, "the connection to {address} broke: {cause}")
            }
            Self::TimedOut(address, limit) => {
                write!(formatter, "{address} gave no answer within {limit:?}")
            }
            Self::TooLarge(address) => write!(formatter, "the answer of {address} is too large"),
            Self::Malformed(address, what) => {
                write!(formatter, "the answer of {address} was not understood: {what}")
            }
            Self::Refused(address, status) => {
                write!(formatter, "{address} answered with status {status}")
            }
        }
    }
}

impl std::error::Error for CallError {}

/// Makes each call on a connection of its own, so that none can have gone silent before.
#[derive(Clone, Copy, Debug)]
pub struct HttpClient {
    limit: Duration,
}

impl HttpClient {
    /// A client with a time limit for each whole call.
    pub fn new(limit: Duration) -> Self {
        Self { limit }
    }

    /// Makes one call and reads the whole answer.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Bytes>, CallError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, address.to_string())
            .body(Full::new(body))
            .map_err(|error| CallError::Malformed(address, error.to_string()))?;
        monoio::time::timeout(self.limit, exchange(address, request))
            .await
            .unwrap_or(Err(CallError::TimedOut(address, self.limit)))
    }
}

async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, CallError> {
    let unreachable = |error: std::io::Error| CallError::Unreachable(address, error.to_string());
    let broken = |error: hyper::Error| CallError::Broken(address, error.to_string());
    let stream = TcpStream::connect_addr(address).await.map_err(unreachable)?;
    let stream = stream.into_poll_io().map_err(unreachable)?;
    let (mut sender, connection) = http1::handshake(MonoioIo::new(stream)).await.map_err(broken)?;
    let (connection, task) = abortable(connection);
    monoio::spawn(connection);
    let response = sender.send_request(request).await.map_err(broken)?;
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, ANSWER_BYTES).collect().await;
    task.abort();
    match body {
        Ok(body) => Ok(Response::from_parts(parts, body.to_bytes())),
        Err(error) if error.is::<LengthLimitError>() => Err(CallError::TooLarge(address)),
        Err(error) => Err(CallError::Broken(address, error.to_string())),
    }
}
