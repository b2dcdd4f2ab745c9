//! Tests of the HTTP adapter against fixed response bytes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use monoio::{LegacyDriver, RuntimeBuilder};
use rstest::rstest;

use super::*;

const TIMEOUT: Duration = Duration::from_millis(300);

/// Sends fixed bytes to the first connection, and keeps it open until the client closes it unless
/// they announce that it is closed.
fn serve_bytes(response: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let is_closed = response.windows(17).any(|window| window == b"connection: close");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = [0; 1024];
        let _ = stream.read(&mut head);
        let _ = stream.write_all(&response);
        if !is_closed {
            let _ = stream.read(&mut head);
        }
    });
    address
}

/// Sends a response in pieces, with a pause before each.
fn serve_slowly(pieces: Vec<Vec<u8>>, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = [0; 1024];
        let _ = stream.read(&mut head);
        for piece in pieces {
            thread::sleep(pause);
            if stream.write_all(&piece).is_err() {
                return;
            }
        }
        let _ = stream.read(&mut head);
    });
    address
}

fn block_on<F: Future>(future: F) -> F::Output {
    RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap().block_on(future)
}

fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n{headers}\r\n{body}", body.len())
        .into_bytes()
}

fn value(text: &'static str) -> Option<StoredValue> {
    Some(StoredValue { revision: 7, value: Bytes::from_static(text.as_bytes()) })
}

#[rstest]
#[case::present(response("200 OK", "x-revision: 7\r\n", "abc"), Ok(value("abc")))]
#[case::absent(response("404 Not Found", "", ""), Ok(None))]
#[case::server_error(response("500 Oops", "", ""), Err(PlatformError::Refused(500)))]
#[case::no_revision(
    response("200 OK", "", "abc"),
    Err(PlatformError::Malformed("no revision".into()))
)]
#[case::too_large(
    format!("HTTP/1.1 200 OK\r\nx-revision: 7\r\ncontent-length: {}\r\n\r\n", VALUE_BYTES_MAX + 1).into_bytes(),
    Err(PlatformError::TooLarge)
)]
#[case::silent(Vec::new(), Err(PlatformError::TimedOut(TIMEOUT)))]
#[case::end_not_marked(
    b"HTTP/1.1 200 OK\r\nx-revision: 7\r\nconnection: close\r\n\r\nab".to_vec(),
    Err(PlatformError::Broken("the end of the value is not marked".into()))
)]
#[case::silent_in_the_body(
    b"HTTP/1.1 200 OK\r\nx-revision: 7\r\ncontent-length: 9\r\n\r\nabc".to_vec(),
    Err(PlatformError::TimedOut(TIMEOUT))
)]
fn read_returns_the_value_or_the_failure(
    #[case] response: Vec<u8>,
    #[case] expected: Result<Option<StoredValue>, PlatformError>,
) {
    let address = serve_bytes(response);
    let result = block_on(async { HttpPlatform::new(address, TIMEOUT).read("a/b").await });
    assert_eq!(result, expected);
}

/// The time limit of a call is about silence: a large value on a slow link takes longer. A server that
/// never comes to an end is left in the end.
#[rstest]
#[case::twice_the_limit(6, true)]
#[case::without_end(60, false)]
fn a_value_that_arrives_steadily_is_read(#[case] pieces: usize, #[case] is_read: bool) {
    let head = format!("HTTP/1.1 200 OK\r\nx-revision: 7\r\ncontent-length: {pieces}\r\n\r\n");
    let body = vec![b"a".to_vec(); pieces];
    let address = serve_slowly([vec![head.into_bytes()], body].concat(), TIMEOUT / 3);
    let result = block_on(async { HttpPlatform::new(address, TIMEOUT).read("a/b").await });
    let read = result.map(|value| value.map(|value| value.value.len()));
    let expected = if is_read { Ok(Some(pieces)) } else { Err(PlatformError::TimedOut(TIMEOUT)) };
    assert_eq!(read, expected);
}

#[rstest]
#[case::written(response("200 OK", "x-revision: 8\r\n", ""), Ok(SwapResult::Written(8)))]
#[case::conflict(response("409 Conflict", "x-revision: 9\r\n", ""), Ok(SwapResult::Conflict(9)))]
#[case::silent(Vec::new(), Err(PlatformError::TimedOut(TIMEOUT)))]
fn swap_returns_the_revision_or_the_failure(
    #[case] response: Vec<u8>,
    #[case] expected: Result<SwapResult, PlatformError>,
) {
    let address = serve_bytes(response);
    let result = block_on(async {
        HttpPlatform::new(address, TIMEOUT).swap("a", 1, Bytes::from_static(b"x")).await
    });
    assert_eq!(result, expected);
}

#[test]
fn a_write_over_a_refused_connection_has_no_effect() {
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let error =
        block_on(async { HttpPlatform::new(address, TIMEOUT).swap("a", 1, Bytes::new()).await })
            .unwrap_err();
    assert!(matches!(error, PlatformError::Unreachable(_)), "{error:?}");
    assert!(!error.may_have_written());
}

#[rstest]
#[case::broken(PlatformError::Broken("reset".into()), true)]
#[case::timed_out(PlatformError::TimedOut(TIMEOUT), true)]
#[case::server_error(PlatformError::Refused(503), true)]
#[case::bad_request(PlatformError::Refused(400), false)]
fn a_write_may_have_taken_effect_despite_an_error(
    #[case] error: PlatformError,
    #[case] expected: bool,
) {
    assert_eq!(error.may_have_written(), expected);
}

#[test]
fn the_instance_list_is_parsed() {
    let body = r#"{"instances":[{"role":"endpoint","address":"127.0.0.1:1",
        "availability_zone":"cluj-a","state":"leaving","extra":1}]}"#;
    let address = serve_bytes(response("200 OK", "", body));
    let instances =
        block_on(async { HttpPlatform::new(address, TIMEOUT).instances().await }).unwrap();
    assert_eq!(instances.len(), 1);
    assert_eq!(instances[0].state, InstanceState::Leaving);
    assert_eq!(instances[0].operators_address, None);
}
