//! The time and size limits of the HTTP clients, against misbehaving servers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use coltsfootctl::instance::{InstanceClient, listed_routers};
use coltsfootgate::platform::{HttpPlatform, PlatformError};
use monoio::{LegacyDriver, RuntimeBuilder};

const TIME_LIMIT: Duration = Duration::from_millis(300);

/// Starts a server for one connection, which reads the request head and then calls `respond`.
fn start_server(respond: fn(&mut TcpStream)) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = [0; 1024];
        let _ = stream.read(&mut head);
        respond(&mut stream);
        // Keeps the connection open until the client closes it, unless `respond` has closed it.
        let _ = stream.read(&mut head);
    });
    address
}

fn send(stream: &mut TcpStream, text: &str) {
    let _ = stream.write_all(text.as_bytes());
}

macro_rules! call_cases {
    ($($case:ident: $respond:expr => $error:pat, $may_have_written:literal;)*) => {
        $(#[test]
        fn $case() {
            let address = start_server($respond);
            let mut runtime =
                RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap();
            let client = InstanceClient::new(TIME_LIMIT);
            let call = client.status(address);
            let platform = HttpPlatform::new(start_server($respond), TIME_LIMIT);
            let (status, listed) =
                runtime.block_on(async { (call.await, listed_routers(&platform).await) });
            let error = listed.unwrap_err();
            assert!(matches!(error, $error), "{error:?}");
            assert_eq!(error.may_have_written(), $may_have_written);
            // The platform client rejects some responses that the instance client accepts.
            assert!(status.is_ok() || status.is_err_and(|error| matches!(error, $error)));
        })*
    };
}

call_cases! {
    no_response: |_| {} => PlatformError::TimedOut(TIME_LIMIT), true;
    stalled_body: |stream| send(stream, "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{") => PlatformError::TimedOut(TIME_LIMIT), true;
    closed_before_the_response: |stream| stream.shutdown(std::net::Shutdown::Both).unwrap() => PlatformError::Broken(..), true;
    truncated_body: |stream| {
        send(stream, "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{");
        stream.shutdown(std::net::Shutdown::Both).unwrap();
    } => PlatformError::Broken(..), true;
    other_protocol: |stream| send(stream, "220 mail.example ESMTP\r\n\r\n") => PlatformError::Broken(..), true;
    endless_body: |stream| {
        send(stream, "HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\n");
        let chunk = vec![b' '; 1 << 16];
        while stream.write_all(&chunk).is_ok() {}
    } => PlatformError::TooLarge, true;
    endless_informational_heads: |stream| {
        let heads = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(1 << 10);
        while stream.write_all(heads.as_bytes()).is_ok() {}
    } => PlatformError::Broken(..), true;
    endless_head: |stream| {
        send(stream, "HTTP/1.1 200 OK\r\n");
        let lines = "filler: filler\r\n".repeat(1 << 10);
        while stream.write_all(lines.as_bytes()).is_ok() {}
    } => PlatformError::Broken(..), true;
    endless_body_without_framing: |stream| {
        send(stream, "HTTP/1.1 200 OK\r\n\r\n");
        let filler = vec![b' '; 1 << 16];
        while stream.write_all(&filler).is_ok() {}
    } => PlatformError::TooLarge, true;
    unexpected_json: |stream| send(stream, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]") => PlatformError::Malformed(..), true;
    refused: |stream| send(stream, "HTTP/1.1 403 Forbidden\r\ncontent-length: 0\r\n\r\n") => PlatformError::Refused(403), false;
}
