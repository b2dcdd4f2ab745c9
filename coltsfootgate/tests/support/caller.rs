//! A client of the callers' port that opens one connection per request.

use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use monoio::io::IntoPollIo;
use monoio::net::TcpStream;
use monoio::time::timeout;
use monoio::{LegacyDriver, RuntimeBuilder};
use monoio_compat::hyper::MonoioIo;
use serde_json::{Value, json};

use super::tree::SAMPLE_KEY;

const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A request to an instance.
#[derive(Clone, Debug)]
pub struct TestCall {
    /// The method.
    pub method: &'static str,
    /// The path.
    pub path: String,
    /// The headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// The answer of an instance.
#[derive(Clone, Debug)]
pub struct TestAnswer {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body as text, as far as it was received.
    pub body: String,
    /// Whether the transfer ended without an error.
    pub transfer_complete: bool,
}

impl TestCall {
    /// A streamed model request.
    pub fn stream(prompt: &str, max_tokens: u32) -> Self {
        Self::model(prompt, max_tokens, true)
    }

    /// A model request, streamed or not.
    pub fn model(prompt: &str, max_tokens: u32, stream: bool) -> Self {
        let body = json!({
            "model": "parts",
            "stream": stream,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": prompt}],
        });
        let call = Self::new("POST", "/v1/chat/completions", body.to_string().as_bytes());
        call.header("content-type", "application/json")
    }

    /// A request with the bearer key of the sample customer.
    pub fn new(method: &'static str, path: &str, body: &[u8]) -> Self {
        let headers = vec![("authorization", format!("Bearer {SAMPLE_KEY}"))];
        Self { method, path: path.to_owned(), headers, body: body.to_vec() }
    }

    /// Adds a header, or replaces it.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.retain(|(known, _)| *known != name);
        self.headers.push((name, value.into()));
        self
    }

    /// Sends the request and waits for the end of the answer.
    pub fn send(self, address: SocketAddr) -> TestAnswer {
        let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
            .enable_timer()
            .build()
            .expect("a runtime can be built");
        runtime.block_on(async move {
            let answer = timeout(CALL_TIMEOUT, self.exchange(address)).await;
            answer.expect("the request is answered before the timeout")
        })
    }

    /// Sends the request on a new thread.
    pub fn start(self, address: SocketAddr) -> JoinHandle<TestAnswer> {
        thread::spawn(move || self.send(address))
    }

    async fn exchange(self, address: SocketAddr) -> TestAnswer {
        let stream = TcpStream::connect(address).await.expect("the instance accepts connections");
        let stream = stream.into_poll_io().expect("the stream can be polled");
        let (mut sender, connection) = http1::handshake(MonoioIo::new(stream))
            .await
            .expect("an HTTP/1 handshake sends nothing");
        monoio::spawn(async move {
            let _ = connection.await;
        });
        let mut request = Request::builder().method(self.method).uri(&self.path);
        request = request.header("host", address.to_string());
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(Bytes::from(self.body))).expect("a valid request");
        let response = sender.send_request(request).await.expect("the instance answers");
        let (head, mut body) = response.into_parts();
        let mut text = Vec::new();
        let mut transfer_complete = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => text.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
                Err(_) => {
                    transfer_complete = false;
                    break;
                }
            }
        }
        let body = String::from_utf8(text).expect("the answer is text");
        TestAnswer { status: head.status.as_u16(), headers: head.headers, body, transfer_complete }
    }
}

impl TestAnswer {
    /// The value of a header, or an empty text if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value.to_str().expect("a header is text"))
    }

    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_else(|_| panic!("not JSON: {}", self.body))
    }

    /// The data of each event of a stream.
    pub fn events(&self) -> Vec<&str> {
        self.body.lines().filter_map(|line| line.strip_prefix("data: ")).collect()
    }

    /// The tokens of a stream, joined.
    pub fn stream_text(&self) -> String {
        self.events()
            .iter()
            .filter_map(|data| serde_json::from_str::<Value>(data).ok())
            .filter_map(|chunk| Some(chunk["choices"][0]["delta"]["content"].as_str()?.to_owned()))
            .collect()
    }

    /// The data of the event that ends a stream.
    pub fn end_event(&self) -> Value {
        let (_, after) =
            self.body.split_once("event: coltsfootgate.end\ndata: ").expect("an end event");
        let data = after.lines().next().expect("the event has data");
        serde_json::from_str(data).expect("the event is JSON")
    }

    /// Whether the stream was transferred completely and ends with its final event.
    pub fn is_complete(&self) -> bool {
        self.transfer_complete && self.body.ends_with("data: [DONE]\n\n")
    }
}
