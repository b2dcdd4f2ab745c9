//! A small HTTP client that bounds the time of a call, the size of a response and the number of
//! idle connections.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::HOST;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use monoio::net::TcpStream;

use super::PlatformError;
use crate::transfer::{HttpConnection, PiecedBody, SendFailure, answer_framing};

/// Maximum number of idle connections that are kept.
const IDLE_CONNECTIONS_MAX: usize = 4;
/// Time limit of a whole call, as a multiple of the time for which the server may be silent.
const CALL_TIMEOUTS_MAX: u32 = 4;

/// Calls one HTTP server and keeps a few idle connections to it.
pub struct BoundedClient {
    address: SocketAddr,
    host: Arc<str>,
    idle: RefCell<Vec<HttpConnection>>,
}

impl BoundedClient {
    /// Creates a client of the server at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, host: address.to_string().into(), idle: RefCell::default() }
    }

    /// Builds a request to this server.
    ///
    /// # Errors
    ///
    /// Fails if the target is not a valid URI.
    pub fn request(
        &self,
        method: Method,
        target: &str,
        body: Bytes,
    ) -> Result<Request<PiecedBody>, PlatformError> {
        Request::builder()
            .method(method)
            .uri(target)
            .header(HOST, &*self.host)
            .body(PiecedBody::from(body))
            .map_err(PlatformError::malformed)
    }

    /// Sends a request and reads the whole response.
    ///
    /// `timeout` limits the time to the response and then each silence, so that a large response on a
    /// slow link is read to its end; the whole call may take [`CALL_TIMEOUTS_MAX`] times as long. A
    /// call that times out closes its connection, so a connection whose server stopped responding
    /// is never reused.
    ///
    /// # Errors
    ///
    /// Fails if no connection is made, the connection breaks, the timeout passes or the body is
    /// larger than `body_bytes_max`. A response of any status is a success. Its extensions contain
    /// its [`AnswerFraming`](coltsfootgate_core::answer::AnswerFraming).
    pub async fn call(
        &self,
        request: Request<PiecedBody>,
        timeout: Duration,
        body_bytes_max: usize,
    ) -> Result<Response<Bytes>, PlatformError> {
        let exchange = self.exchange(request, timeout, body_bytes_max);
        let result = monoio::time::timeout(timeout * CALL_TIMEOUTS_MAX, exchange).await;
        result.unwrap_or(Err(PlatformError::TimedOut(timeout)))
    }

    async fn exchange(
        &self,
        request: Request<PiecedBody>,
        timeout: Duration,
        body_bytes_max: usize,
    ) -> Result<Response<Bytes>, PlatformError> {
        let sending = monoio::time::timeout(timeout, self.send(request)).await;
        let (response, connection) = sending.map_err(|_| PlatformError::TimedOut(timeout))??;
        let (mut parts, body) = response.into_parts();
        parts.extensions.insert(answer_framing(&parts.headers, &body));
        if body.size_hint().lower() > body_bytes_max as u64 {
            return Err(PlatformError::TooLarge);
        }
        let body = read_body(Limited::new(body, body_bytes_max), timeout).await?;
        self.keep_idle(connection);
        Ok(Response::from_parts(parts, body))
    }

    /// Sends a request on an idle connection, or on a new one if no idle connection accepts it.
    async fn send(
        &self,
        mut request: Request<PiecedBody>,
    ) -> Result<(Response<Incoming>, HttpConnection), PlatformError> {
        while let Some(mut connection) = self.idle_connection().await {
            match connection.send(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(SendFailure::Unsent(unsent)) => request = *unsent,
                Err(SendFailure::Broken(error)) => return Err(connection_error(&error)),
            }
        }
        let mut connection = self.connect().await?;
        match connection.send(request).await {
            Ok(response) => Ok((response, connection)),
            Err(SendFailure::Unsent(_)) => {
                Err(PlatformError::Unreachable("the connection was closed at once".into()))
            }
            Err(SendFailure::Broken(error)) => Err(connection_error(&error)),
        }
    }

    /// Returns an idle connection that is still open.
    async fn idle_connection(&self) -> Option<HttpConnection> {
        loop {
            let mut connection = self.idle.borrow_mut().pop()?;
            if connection.wait_ready().await {
                return Some(connection);
            }
        }
    }

    async fn connect(&self) -> Result<HttpConnection, PlatformError> {
        let unreachable =
            |error: std::io::Error| PlatformError::Unreachable(error.to_string().into());
        let stream = TcpStream::connect_addr(self.address).await.map_err(unreachable)?;
        HttpConnection::start(stream).await.map_err(unreachable)
    }

    fn keep_idle(&self, connection: HttpConnection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < IDLE_CONNECTIONS_MAX {
            idle.push(connection);
        }
    }
}

/// Reads a body to its end, with a time limit for each silence.
async fn read_body(
    mut body: Limited<Incoming>,
    silence_max: Duration,
) -> Result<Bytes, PlatformError> {
    let mut bytes = BytesMut::new();
    loop {
        let next = monoio::time::timeout(silence_max, body.frame()).await;
        let next = next.map_err(|_| PlatformError::TimedOut(silence_max))?;
        let Some(frame) = next else { return Ok(bytes.freeze()) };
        if let Ok(data) = frame.map_err(|error| body_error(&*error))?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
}

fn body_error(error: &(dyn std::error::Error + Send + Sync + 'static)) -> PlatformError {
    if error.is::<LengthLimitError>() {
        return PlatformError::TooLarge;
    }
    PlatformError::Broken(error.to_string().into())
}

fn connection_error(error: &hyper::Error) -> PlatformError {
    PlatformError::Broken(error.to_string().into())
}
