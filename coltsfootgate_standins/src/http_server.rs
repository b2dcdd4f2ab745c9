//! The HTTP/1.1 server that all stand-ins share.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{self, Either};
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use monoio::io::IntoPollIo;
use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use monoio_compat::hyper::MonoioIo;
use serde_json::Value;

use crate::body::{ConnectionCut, StandinBody};
use crate::signal::ServerGate;

/// Delay before a failed bind or accept is retried.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// State that is changed and read through a control port.
pub trait ControlTarget: 'static {
    /// Applies a control command in JSON; the error has the cause of its rejection.
    fn apply_command(&self, command: &[u8]) -> Result<(), String>;

    /// The counters as a JSON object.
    fn counters(&self) -> Value;

    /// The gate that injected faults close.
    fn gate(&self) -> &ServerGate;
}

/// Request handler of a stand-in, which the shared server calls.
pub trait StandinService: ControlTarget + Sized {
    /// Spawns the background tasks.
    fn start(self: &Rc<Self>) {}

    /// Answers one request; an error makes the server close the connection.
    fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<StandinBody>, ConnectionCut>>;
}

/// Binds an address without `SO_REUSEPORT`, so that a second listener on it fails.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind_with_config(address, &ListenerOpts::new().reuse_port(false))
}

/// Serves requests and control commands; listens again when a closed gate is opened.
pub async fn serve<S: StandinService>(service: Rc<S>, listener: TcpListener) {
    let on_accept = |stream| drop(monoio::spawn(serve_connection(service.clone(), stream)));
    accept_while_open(service.gate(), listener, on_accept).await;
}

/// Accepts connections while the gate is open, and rebinds the address when it is opened again.
pub async fn accept_while_open(
    gate: &ServerGate,
    listener: TcpListener,
    mut on_accept: impl FnMut(TcpStream),
) {
    let Ok(address) = listener.local_addr() else { return };
    let mut bound = Some(listener);
    loop {
        gate.until_open().await;
        if let Some(listener) = bound.take().or_else(|| bind(address).ok()) {
            gate.set_listening(true);
            accept_until_closed(gate, listener, &mut on_accept).await;
            gate.set_listening(false);
        } else {
            monoio::time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn accept_until_closed(
    gate: &ServerGate,
    listener: TcpListener,
    on_accept: &mut impl FnMut(TcpStream),
) {
    loop {
        let accepting = pin!(listener.accept());
        let closed = pin!(gate.until_closed());
        match future::select(accepting, closed).await {
            Either::Left((Ok((stream, _)), _)) => on_accept(stream),
            Either::Left((Err(_), _)) => monoio::time::sleep(RETRY_DELAY).await,
            Either::Right(_) => return,
        }
    }
}

async fn serve_connection<S: StandinService>(service: Rc<S>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(stream) = stream.into_poll_io() else { return };
    let handler = service.clone();
    let connection = http1::Builder::new().serve_connection(
        MonoioIo::new(stream),
        service_fn(move |request| handle_request(handler.clone(), request)),
    );
    let (connection, closed) = (pin!(connection), pin!(service.gate().until_closed()));
    future::select(connection, closed).await;
}

async fn handle_request<S: StandinService>(
    service: Rc<S>,
    request: Request<Incoming>,
) -> Result<Response<StandinBody>, ConnectionCut> {
    if request.uri().path() == "/control" {
        return Ok(handle_control(&service, request).await);
    }
    service.answer(request).await
}

/// Serves only control commands, on a listener that no injected fault closes.
pub async fn serve_control<S: ControlTarget>(service: Rc<S>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let service = service.clone();
        monoio::spawn(async move {
            let Ok(stream) = stream.into_poll_io() else { return };
            let handler = service_fn(move |request| {
                let service = service.clone();
                async move { Ok::<_, Infallible>(handle_control(&service, request).await) }
            });
            let _ = http1::Builder::new().serve_connection(MonoioIo::new(stream), handler).await;
        });
    }
}

async fn handle_control<S: ControlTarget>(
    service: &Rc<S>,
    request: Request<Incoming>,
) -> Response<StandinBody> {
    if request.method() == Method::GET {
        return json_response(StatusCode::OK, &service.counters());
    }
    let Ok(command) = read_body(request).await else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    match service.apply_command(&command) {
        Ok(()) => {
            // After the response, the listener is already opened or closed as commanded.
            service.gate().until_settled().await;
            empty_response(StatusCode::OK)
        }
        Err(cause) => json_response(StatusCode::BAD_REQUEST, &Value::String(cause)),
    }
}

/// Reads the body of a request to its end.
pub async fn read_body(request: Request<Incoming>) -> Result<Bytes, ConnectionCut> {
    let body = request.into_body().collect().await.map_err(|_| ConnectionCut)?;
    Ok(body.to_bytes())
}

/// A response without a body.
pub fn empty_response(status: StatusCode) -> Response<StandinBody> {
    let mut response = Response::new(StandinBody::Complete(None));
    *response.status_mut() = status;
    response
}

/// A response with a JSON body.
pub fn json_response(status: StatusCode, value: &Value) -> Response<StandinBody> {
    json_bytes(status, value.to_string().into())
}

/// A response whose body is already encoded as JSON.
pub fn json_bytes(status: StatusCode, body: Bytes) -> Response<StandinBody> {
    let mut response = Response::new(StandinBody::from(body));
    *response.status_mut() = status;
    let content_type = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, content_type);
    response
}

/// The value of a query parameter.
pub fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
