//! One HTTP/1.1 connection to an endpoint or to the platform.

use std::io;

use futures_util::future::{AbortHandle, abortable};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use monoio::io::IntoPollIo;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;

use super::body::PiecedBody;
use super::reads::{BoundedReads, HeadAllowance};

/// Maximum size of the head of an answer, in bytes.
const HEAD_BYTES_MAX: usize = 64 * 1024;
/// Maximum number of bytes before the head of an answer is complete: heads of informational answers,
/// the head itself and what is read of the body together with it.
const BYTES_BEFORE_HEAD_MAX: usize = 2 * HEAD_BYTES_MAX;

/// Why a request got no answer.
#[derive(Debug)]
pub enum SendFailure {
    /// No byte of the request was sent; it may be sent on another connection.
    Unsent(Box<Request<PiecedBody>>),
    /// The connection failed after the request was sent.
    Broken(hyper::Error),
}

/// A connection that closes when it is dropped, whatever the server does.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<PiecedBody>,
    head: HeadAllowance,
    task: AbortHandle,
}

impl HttpConnection {
    /// Starts to exchange requests and answers on a stream.
    ///
    /// # Errors
    ///
    /// Fails if the stream cannot be used.
    pub async fn start(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let head = HeadAllowance::default();
        let stream = BoundedReads::new(stream.into_poll_io()?, head.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(HEAD_BYTES_MAX)
            .handshake(MonoioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let (connection, task) = abortable(connection);
        monoio::spawn(connection);
        Ok(Self { sender, head, task })
    }

    /// Whether the next request can be sent.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the next request can be sent; returns whether it can.
    pub async fn wait_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, or if the head is too large.
    pub async fn send(
        &mut self,
        request: Request<PiecedBody>,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.head.begin(BYTES_BEFORE_HEAD_MAX);
        let sent = self.sender.try_send_request(request).await;
        self.head.end();
        sent.map_err(|mut error| match error.take_message() {
            Some(request) => SendFailure::Unsent(Box::new(request)),
            None => SendFailure::Broken(error.into_error()),
        })
    }
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
