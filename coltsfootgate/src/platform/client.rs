//! A small HTTP client that bounds the time of a call, the size of a response and the number of
//! idle connections.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{AbortHandle, abortable};
use http::header::HOST;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use monoio::io::IntoPollIo;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;

use super::PlatformError;
use crate::transfer::answer_framing;

/// Maximum number of idle connections that are kept.
const IDLE_CONNECTIONS_MAX: usize = 4;

/// A connection that closes when it is dropped, whatever the server does.
struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Calls one HTTP server and keeps a few idle connections to it.
pub struct BoundedClient {
    address: SocketAddr,
    host: Arc<str>,
    idle: RefCell<Vec<OpenConnection>>,
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
    ) -> Result<Request<Full<Bytes>>, PlatformError> {
        Request::builder()
            .method(method)
            .uri(target)
            .header(HOST, &*self.host)
            .body(Full::new(body))
            .map_err(PlatformError::malformed)
    }

    /// Sends a request and reads the whole response.
    ///
    /// A call that times out closes its connection, so a connection whose server stopped responding
    /// is never reused.
    ///
    /// # Errors
    ///
    /// Fails if no connection is made, the connection breaks, the timeout passes or the body is
    /// larger than `body_bytes_max`. A response of any status is a success. Its extensions contain
    /// its [`AnswerFraming`](coltsfootgate_core::answer::AnswerFraming).
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        body_bytes_max: usize,
    ) -> Result<Response<Bytes>, PlatformError> {
        monoio::time::timeout(timeout, self.exchange(request, body_bytes_max))
            .await
            .unwrap_or(Err(PlatformError::TimedOut(timeout)))
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        body_bytes_max: usize,
    ) -> Result<Response<Bytes>, PlatformError> {
        let mut connection = self.idle_or_new_connection().await?;
        let response = connection.sender.send_request(request).await.map_err(connection_error)?;
        let (mut parts, body) = response.into_parts();
        parts.extensions.insert(answer_framing(&parts.headers, &body));
        if body.size_hint().lower() > body_bytes_max as u64 {
            return Err(PlatformError::TooLarge);
        }
        let body = Limited::new(body, body_bytes_max).collect().await.map_err(|error| {
            if error.is::<LengthLimitError>() {
                return PlatformError::TooLarge;
            }
            PlatformError::Broken(error.to_string().into())
        })?;
        self.keep_idle(connection);
        Ok(Response::from_parts(parts, body.to_bytes()))
    }

    /// Returns an idle connection that is still open, or opens a new one.
    async fn idle_or_new_connection(&self) -> Result<OpenConnection, PlatformError> {
        loop {
            let idle = self.idle.borrow_mut().pop();
            let Some(mut connection) = idle else { return self.connect().await };
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
    }

    async fn connect(&self) -> Result<OpenConnection, PlatformError> {
        let unreachable =
            |error: std::io::Error| PlatformError::Unreachable(error.to_string().into());
        let stream = TcpStream::connect_addr(self.address).await.map_err(unreachable)?;
        stream.set_nodelay(true).map_err(unreachable)?;
        let stream = stream.into_poll_io().map_err(unreachable)?;
        let (sender, connection) =
            http1::handshake(MonoioIo::new(stream)).await.map_err(connection_error)?;
        let (connection, task) = abortable(connection);
        monoio::spawn(connection);
        Ok(OpenConnection { sender, task })
    }

    fn keep_idle(&self, connection: OpenConnection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < IDLE_CONNECTIONS_MAX {
            idle.push(connection);
        }
    }
}

fn connection_error(error: hyper::Error) -> PlatformError {
    PlatformError::Broken(error.to_string().into())
}
