//! The HTTP client's bounds, against servers that misbehave.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use coltsfootctl::instance::{InstanceClient, listed_routers};
use coltsfootgate::platform::{HttpPlatform, PlatformError};
use monoio::{LegacyDriver, RuntimeBuilder};

const LIMIT: Duration = Duration::from_millis(300);

/// Serves one connection: reads the head of the request, then does as told.
fn server(answer: fn(&mut TcpStream)) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = [0; 1024];
        let _ = stream.read(&mut head);
        answer(&mut stream);
        // The client closes first unless the server was told to.
        let _ = stream.read(&mut head);
    });
    address
}

fn send(stream: &mut TcpStream, text: &str) {
    let _ = stream.write_all(text.as_bytes());
}

macro_rules! call_cases {
    ($($case:ident: $answer:expr => $error:pat, $may_have_written:literal;)*) => {
        $(#[test]
        fn $case() {
            let address = server($answer);
            let mut runtime =
                RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap();
            let client = InstanceClient::new(LIMIT);
            let call = client.status(address);
            let platform = HttpPlatform::new(server($answer), LIMIT);
            let (called, listed) =
                runtime.block_on(async { (call.await, listed_routers(&platform).await) });
            let error = listed.unwrap_err();
            assert!(matches!(error, $error), "{error:?}");
            assert_eq!(error.may_have_written(), $may_have_written);
            // The platform's adapter adds errors of its own to those of the client.
            assert!(called.is_ok() || called.is_err_and(|error| matches!(error, $error)));
        })*
    };
}

call_cases! {
    silent: |_| {} => PlatformError::TimedOut(LIMIT), true;
    silent_amid_the_body: |stream| send(stream, "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{") => PlatformError::TimedOut(LIMIT), true;
    closed_before_the_answer: |stream| stream.shutdown(std::net::Shutdown::Both).unwrap() => PlatformError::Broken(..), true;
    cut_amid_the_body: |stream| {
        send(stream, "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{");
        stream.shutdown(std::net::Shutdown::Both).unwrap();
    } => PlatformError::Broken(..), true;
    no_http: |stream| send(stream, "220 mail.example ESMTP\r\n\r\n") => PlatformError::Broken(..), true;
    endless_body: |stream| {
        send(stream, "HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\n");
        let chunk = vec![b' '; 1 << 16];
        while stream.write_all(&chunk).is_ok() {}
    } => PlatformError::TooLarge, true;
    other_json: |stream| send(stream, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]") => PlatformError::Malformed(..), true;
    refused: |stream| send(stream, "HTTP/1.1 403 Forbidden\r\ncontent-length: 0\r\n\r\n") => PlatformError::Refused(403), false;
}
