//! Tests the link between the task of a request and its caller.

use std::pin::{Pin, pin};

use bytes::Bytes;
use coltsfootgate::entry::{AnswerBody, CallerDisconnected, CallerLink};
use futures_util::FutureExt;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;

/// Bytes of a large piece of an answer.
const PIECE_BYTES: usize = 64 * 1024;

/// Guards against a caller that is told that its request did not run although it may have been sent.
#[test]
fn a_request_whose_task_is_dropped_is_not_answered_as_not_run() {
    let (link, receiver) = CallerLink::new();
    drop(link);
    let answer = receiver.receive().now_or_never().expect("the answer is known at once");
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
}

/// Starts an answer in pieces, and returns its body with the link.
fn start_answer() -> (CallerLink, AnswerBody) {
    let (mut link, receiver) = CallerLink::new();
    link.start_stream(StatusCode::OK, HeaderMap::new());
    let answer = receiver.receive().now_or_never().expect("the head is sent at once");
    (link, answer.into_body())
}

/// Guards against a caller that reads nothing and for which sixteen pieces of any size were kept.
#[test]
fn large_pieces_wait_until_the_caller_has_read_others() {
    let (mut link, mut body) = start_answer();
    let piece = Bytes::from(vec![0; PIECE_BYTES]);
    assert_eq!(link.send(piece.clone()).now_or_never(), Some(Ok(())));
    let mut second = pin!(link.send(piece.clone()));
    assert_eq!(second.as_mut().now_or_never(), None);
    let read = Pin::new(&mut body).frame().now_or_never().flatten().unwrap().unwrap();
    assert_eq!(read.into_data().unwrap(), piece);
    assert_eq!(second.now_or_never(), Some(Ok(())));
}

#[test]
fn small_pieces_do_not_wait_for_each_other() {
    let (mut link, _body) = start_answer();
    for _ in 0..10 {
        assert_eq!(link.send(Bytes::from_static(b"data: x\n\n")).now_or_never(), Some(Ok(())));
    }
}

#[test]
fn a_caller_that_leaves_ends_a_piece_that_waits() {
    let (mut link, body) = start_answer();
    let piece = Bytes::from(vec![0; PIECE_BYTES]);
    assert_eq!(link.send(piece.clone()).now_or_never(), Some(Ok(())));
    let mut second = pin!(link.send(piece));
    assert_eq!(second.as_mut().now_or_never(), None);
    drop(body);
    assert_eq!(second.now_or_never(), Some(Err(CallerDisconnected)));
}
