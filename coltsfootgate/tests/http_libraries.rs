//! Compares how soon the two HTTP libraries flush the tokens of a stream, which decides where each
//! can be used.

use std::convert::Infallible;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use futures_channel::mpsc::unbounded;
use futures_util::StreamExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::io::{IntoPollIo, Splitable};
use monoio::net::{TcpListener, TcpStream};
use monoio::{LegacyDriver, RuntimeBuilder};
use monoio_compat::hyper::MonoioIo;
use monoio_http::common::error::HttpError;
use monoio_http::common::response::Response;
use monoio_http::h1::codec::decoder::RequestDecoder;
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::{Payload, stream_payload_pair};

const TOKENS: usize = 5;
/// Time in which a token must reach the client before the next one is handed to the library.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(200);

/// Reads an answer on a new thread and reports the number of tokens received so far.
fn read_tokens(address: SocketAddr) -> mpsc::Receiver<usize> {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let mut stream = std::net::TcpStream::connect(address).unwrap();
        stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").unwrap();
        let (mut answer, mut part) = (Vec::new(), [0; 4096]);
        while let Ok(read @ 1..) = stream.read(&mut part) {
            answer.extend_from_slice(&part[..read]);
            let count = answer.windows(5).filter(|window| window == b"token").count();
            let _ = sender.send(count);
        }
    });
    receiver
}

/// Hands tokens to a library one by one and counts those that arrive before the next one is sent.
async fn count_timely_tokens(counts: mpsc::Receiver<usize>, mut send: impl FnMut()) -> usize {
    let mut timely = 0;
    for sent in 1..=TOKENS {
        send();
        let arrival = async {
            while counts.try_iter().last().unwrap_or(0) < sent {
                monoio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        if monoio::time::timeout(TOKEN_TIMEOUT, arrival).await.is_ok() {
            timely += 1;
        }
    }
    timely
}

async fn accept() -> (TcpStream, mpsc::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let counts = read_tokens(listener.local_addr().unwrap());
    (listener.accept().await.unwrap().0, counts)
}

fn block_on<F: Future>(future: F) -> F::Output {
    RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap().block_on(future)
}

#[test]
fn hyper_sends_each_token_immediately() {
    let timely = block_on(async {
        let (stream, counts) = accept().await;
        let (tokens, receiver) = unbounded::<Bytes>();
        let receiver = std::cell::Cell::new(Some(receiver));
        let service = service_fn(move |_| {
            let tokens = receiver.take().unwrap();
            let body = StreamBody::new(tokens.map(|token| Ok::<_, Infallible>(Frame::data(token))));
            async { Ok::<_, Infallible>(http::Response::new(body)) }
        });
        let io = MonoioIo::new(stream.into_poll_io().unwrap());
        monoio::spawn(http1::Builder::new().serve_connection(io, service));
        count_timely_tokens(counts, || tokens.unbounded_send("token ".into()).unwrap()).await
    });
    assert_eq!(timely, TOKENS);
}

/// If this test fails, monoio-http has begun to send each token immediately, so hyper is no longer
/// needed for streams.
#[test]
fn monoio_http_buffers_short_tokens() {
    let timely = block_on(async {
        let (stream, counts) = accept().await;
        let (reader, writer) = stream.into_split();
        RequestDecoder::new(reader).next().await.unwrap().unwrap();
        let (payload, mut tokens) = stream_payload_pair::<Bytes, HttpError>();
        monoio::spawn(async move {
            let response = Response::new(Payload::Stream(payload));
            let _ = GenericEncoder::new(writer).send_and_flush(response).await;
        });
        count_timely_tokens(counts, || tokens.feed_data(Some("token ".into()))).await
    });
    assert_eq!(timely, 0);
}
