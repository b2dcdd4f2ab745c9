//! A small HTTP client with bounds on time, size and idle connections.

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

/// Unused connections that are kept.
const IDLE_CONNECTIONS_MAX: usize = 4;

/// A connection that is closed when dropped, whatever the other side does.
struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Calls one HTTP server and keeps a few connections to it.
pub struct BoundedClient {
    address: SocketAddr,
    host: Arc<str>,
    idle: RefCell<Vec<OpenConnection>>,
}

impl BoundedClient {
    /// Makes a client of the server at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, host: address.to_string().into(), idle: RefCell::default() }
    }

    /// Makes a request to this server.
    ///
    /// # Errors
    ///
    /// Fails for a target that is not valid.
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

    /// Sends a request and reads the whole answer.
    ///
    /// A call that passes its time limit closes its connection, so a connection that has gone
    /// silent is never used again.
    ///
    /// # Errors
    ///
    /// Tells how far the call came; an answer of any status is no error.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
        bytes_max: usize,
    ) -> Result<Response<Bytes>, PlatformError> {
        monoio::time::timeout(limit, self.exchange(request, bytes_max))
            .await
            .unwrap_or(Err(PlatformError::TimedOut(limit)))
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        bytes_max: usize,
    ) -> Result<Response<Bytes>, PlatformError> {
        let mut connection = self.ready_connection().await?;
        let response = connection.sender.send_request(request).await.map_err(broken)?;
        let (parts, body) = response.into_parts();
        if body.size_hint().lower() > bytes_max as u64 {
            return Err(PlatformError::TooLarge);
        }
        let body = Limited::new(body, bytes_max).collect().await.map_err(|error| {
            if error.is::<LengthLimitError>() {
                return PlatformError::TooLarge;
            }
            PlatformError::Broken(error.to_string().into())
        })?;
        self.keep(connection);
        Ok(Response::from_parts(parts, body.to_bytes()))
    }

    /// An unused connection that is still open, or else a new one.
    async fn ready_connection(&self) -> Result<OpenConnection, PlatformError> {
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
        let (sender, connection) = http1::handshake(MonoioIo::new(stream)).await.map_err(broken)?;
        let (connection, task) = abortable(connection);
        monoio::spawn(connection);
        Ok(OpenConnection { sender, task })
    }

    fn keep(&self, connection: OpenConnection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < IDLE_CONNECTIONS_MAX {
            idle.push(connection);
        }
    }
}

fn broken(error: hyper::Error) -> PlatformError {
    PlatformError::Broken(error.to_string().into())
}
