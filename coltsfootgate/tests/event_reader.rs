//! Tests that the reader returns complete events only, so that a stream is resumed after its last
//! complete event, however its bytes are split.

use coltsfootgate::endpoint::event::EventReader;
use coltsfootgate::endpoint::scanner::EventScanner;
use coltsfootgate::transfer::{MemoryAccount, MemoryUse};
use coltsfootgate_core::answer::ContentEnd;
use rstest::rstest;

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

fn new_reader() -> EventReader {
    EventReader::new(MemoryAccount::default().part(MemoryUse::Answers))
}

#[rstest]
#[case::nothing("", "", None)]
#[case::part_of_an_event("id: 1\nda", "", None)]
#[case::an_event_and_a_part("id: 1\ndata: a\n\nid: 2\n", "id: 1\ndata: a\n\n", Some("1"))]
#[case::all(STREAM, STREAM, Some("3"))]
#[case::carriage_returns("id: 7\r\ndata: a\r\n\r\n", "id: 7\r\ndata: a\r\n\r\n", Some("7"))]
#[case::no_id("data: a\n\n", "data: a\n\n", None)]
#[case::an_id_in_the_data("id: 1\ndata: id: 9\n\n", "id: 1\ndata: id: 9\n\n", Some("1"))]
fn only_complete_events_are_returned(
    #[case] stream: &str,
    #[case] expected: &str,
    #[case] last: Option<&str>,
) {
    let mut reader = new_reader();
    reader.push(stream.as_bytes());
    let (events, id) = reader.take_complete().unwrap();
    assert_eq!(events, expected.as_bytes());
    assert_eq!(id.as_deref(), last);
    assert_eq!(reader.take_remainder(), stream.as_bytes()[expected.len()..]);
}

#[rstest]
fn the_sizes_of_the_pieces_do_not_matter(#[values(1, 2, 3, 5, 7, 11, 100)] length: usize) {
    let mut reader = new_reader();
    let (mut events, mut last) = (Vec::new(), None);
    for piece in STREAM.as_bytes().chunks(length) {
        reader.push(piece);
        let (complete, id) = reader.take_complete().unwrap();
        events.extend_from_slice(&complete);
        last = id.or(last);
    }
    assert_eq!(events, STREAM.as_bytes());
    assert_eq!(last.as_deref(), Some("3"));
}

#[rstest]
#[case::nothing("", ContentEnd::NoEvent)]
#[case::blank_lines("\n\n", ContentEnd::NoEvent)]
#[case::comment(": ping\n\n", ContentEnd::NoEvent)]
#[case::event("id: 1\ndata: a\n\n", ContentEnd::BetweenEvents)]
#[case::event_and_comment("data: a\n\n: ping\n\n", ContentEnd::BetweenEvents)]
#[case::event_and_blank_lines("data: a\n\n\n\n", ContentEnd::BetweenEvents)]
#[case::carriage_returns("data: a\r\r", ContentEnd::BetweenEvents)]
#[case::both_line_ends("data: a\r\n\r\n", ContentEnd::BetweenEvents)]
#[case::no_blank_line("data: a\n", ContentEnd::InsideEvent)]
#[case::no_blank_line_with_both_line_ends("data: a\r\n", ContentEnd::InsideEvent)]
#[case::part_of_a_field("data: a\n\nda", ContentEnd::InsideEvent)]
#[case::part_of_a_comment("data: a\n\n: pi", ContentEnd::InsideEvent)]
fn where_a_stream_ends_is_known(#[case] stream: &str, #[case] expected: ContentEnd) {
    let mut scanner = EventScanner::default();
    scanner.scan_all(stream.as_bytes());
    assert_eq!(scanner.end(), expected);
}

/// Until the first event the request can still be tried at another endpoint.
#[test]
fn comments_are_held_until_the_first_event() {
    let mut reader = new_reader();
    reader.push(b": ping\n\n");
    assert_eq!(reader.take_complete().unwrap().0, "");
    reader.push(b"data: a\n\n: ping\n\n");
    assert_eq!(reader.take_complete().unwrap().0, ": ping\n\ndata: a\n\n: ping\n\n");
    reader.push(b": ping\n\n");
    assert_eq!(reader.take_complete().unwrap().0, ": ping\n\n");
}

#[rstest]
#[case::no_line_end(b"data: a", true)]
#[case::fields(b"data: a\n", true)]
#[case::comments(b": ping\n\n", true)]
#[case::blank_lines(b"\n\n\n", true)]
#[case::events(b"data: a\n\n", false)]
fn endless_bytes_without_an_event_fail(#[case] piece: &[u8], #[case] fails: bool) {
    let mut reader = new_reader();
    reader.push(b"data: first\n\n");
    let size = 2 * 1024 * 1024;
    let failed = (0..size / piece.len()).any(|_| {
        reader.push(piece);
        reader.take_complete().is_err()
    });
    assert_eq!(failed, fails);
}
