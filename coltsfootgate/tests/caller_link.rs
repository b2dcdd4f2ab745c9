//! Tests the link between the task of a request and its caller.

use std::pin::{Pin, pin};

use bytes::Bytes;
use coltsfootgate::entry::{AnswerBody, CallerDisconnected, CallerLink};
use coltsfootgate::transfer::{HeldBuffer, MemoryAccount, MemoryUse};
use futures_util::FutureExt;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;

/// Bytes of a large piece of an answer.
const PIECE_BYTES: usize = 64 * 1024;

/// Guards against a caller that is told that its request did not run although it may have been sent.
#[test]
fn a_request_whose_task_is_dropped_is_not_answered_as_not_run() {
    let (link, receiver) = CallerLink::new(&MemoryAccount::default());
    drop(link);
    let answer = receiver.receive().now_or_never().expect("the answer is known at once");
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
}

/// Starts an answer in pieces, and returns its body with the link.
fn start_answer() -> (CallerLink, AnswerBody) {
    let (mut link, receiver) = CallerLink::new(&MemoryAccount::default());
    link.start_stream(StatusCode::OK, HeaderMap::new());
    let answer = receiver.receive().now_or_never().expect("the head is sent at once");
    (link, answer.into_body())
}

/// Reads so many bytes of an answer, which are there already.
fn read_bytes(body: &mut AnswerBody, length: usize) -> Vec<u8> {
    let mut read = Vec::new();
    while read.len() < length {
        let frame = Pin::new(&mut *body).frame().now_or_never().flatten().unwrap().unwrap();
        read.extend_from_slice(&frame.into_data().unwrap());
    }
    read
}

/// Guards against a caller that reads nothing and for which sixteen pieces of any size were kept.
#[test]
fn large_pieces_wait_until_the_caller_has_read_others() {
    let (mut link, mut body) = start_answer();
    let piece = Bytes::from(vec![0; PIECE_BYTES]);
    assert_eq!(link.send(piece.clone()).now_or_never(), Some(Ok(())));
    let mut second = pin!(link.send(piece.clone()));
    assert_eq!(second.as_mut().now_or_never(), None);
    assert_eq!(read_bytes(&mut body, PIECE_BYTES), piece);
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

/// Guards against answers that wait for callers uncounted: what is held for one that reads nothing draws on the account,
/// and if all that is held for such callers is too much, each gets the next piece only once it has read what it has.
#[test]
fn what_waits_for_slow_callers_draws_on_the_account() {
    let memory = MemoryAccount::default();
    let part = memory.part(MemoryUse::SlowCallers);
    let piece = Bytes::from(vec![0; PIECE_BYTES / 2]);
    let mut slow = Vec::new();
    while part.held() < part.bytes_max {
        let (mut link, receiver) = CallerLink::new(&memory);
        link.start_stream(StatusCode::OK, HeaderMap::new());
        let body = receiver.receive().now_or_never().unwrap().into_body();
        assert_eq!(link.send(piece.clone()).now_or_never(), Some(Ok(())));
        slow.push((link, body));
    }
    assert!(slow.len() < 100, "{} slow callers are held", slow.len());
    {
        let (link, body) = slow.last_mut().unwrap();
        let mut next = pin!(link.send(piece.clone()));
        assert_eq!(next.as_mut().now_or_never(), None);
        read_bytes(body, PIECE_BYTES / 2);
        assert_eq!(next.now_or_never(), Some(Ok(())));
    }
    drop(slow);
    assert_eq!(part.held(), 0);
}

/// A complete answer draws on the account until its last byte is written.
#[test]
fn a_complete_answer_is_held_until_it_is_written() {
    let memory = MemoryAccount::default();
    let part = memory.part(MemoryUse::Answers);
    let mut buffer = HeldBuffer::new(part, Some(4 * PIECE_BYTES));
    buffer.extend(&[1; 4 * PIECE_BYTES]).unwrap();
    let (mut link, receiver) = CallerLink::new(&memory);
    link.send_full(StatusCode::OK, HeaderMap::new(), buffer.freeze());
    drop(link);
    let mut body = receiver.receive().now_or_never().unwrap().into_body();
    read_bytes(&mut body, 3 * PIECE_BYTES);
    assert!(part.held() > 0, "the rest is still held");
    read_bytes(&mut body, PIECE_BYTES);
    drop(body);
    assert_eq!(part.held(), 0);
}
