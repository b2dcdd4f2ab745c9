//! Tests that the reader returns complete events only, so that a stream is resumed after its last
//! complete event, however its bytes are split.

use coltsfootgate::endpoint::event::{EventBatch, EventReader, StreamEvent};
use coltsfootgate::endpoint::scanner::EventScanner;
use coltsfootgate::transfer::{MemoryAccount, MemoryUse};
use coltsfootgate_core::answer::ContentEnd;
use coltsfootgate_core::stream::StreamPosition;
use proptest::prelude::*;
use rstest::rstest;

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

fn new_reader() -> EventReader {
    EventReader::new(MemoryAccount::default().part(MemoryUse::Answers), StreamPosition::Start)
}

fn after(id: &str) -> StreamPosition {
    StreamPosition::After(id.into())
}

#[rstest]
#[case::nothing("", "", StreamPosition::Start)]
#[case::part_of_an_event("id: 1\nda", "", StreamPosition::Start)]
#[case::an_event_and_a_part("id: 1\ndata: a\n\nid: 2\n", "id: 1\ndata: a\n\n", after("1"))]
#[case::all(STREAM, STREAM, after("3"))]
#[case::both_line_ends("id: 7\r\ndata: a\r\n\r\n", "id: 7\r\ndata: a\r\n\r\n", after("7"))]
#[case::carriage_returns("id: 7\rdata: a\r\r", "id: 7\rdata: a\r\r", after("7"))]
#[case::no_id("data: a\n\n", "data: a\n\n", StreamPosition::Unknown)]
#[case::an_id_in_the_data("id: 1\ndata: id: 9\n\n", "id: 1\ndata: id: 9\n\n", after("1"))]
#[case::no_id_after_an_id(
    "id: 1\ndata: a\n\ndata: b\n\n",
    "id: 1\ndata: a\n\ndata: b\n\n",
    StreamPosition::Unknown
)]
#[case::an_empty_id("id: 1\n\nid\n\n", "id: 1\n\nid\n\n", StreamPosition::Unknown)]
#[case::an_id_that_no_header_keeps("id:  1\n\n", "id:  1\n\n", StreamPosition::Unknown)]
#[case::a_comment_after_an_id("id: 1\n\n: ping\n\n", "id: 1\n\n: ping\n\n", after("1"))]
fn only_complete_events_are_returned(
    #[case] stream: &str,
    #[case] expected: &str,
    #[case] last: StreamPosition,
) {
    let mut reader = new_reader();
    reader.push(stream.as_bytes());
    let EventBatch { bytes, position } = reader.take_complete().unwrap();
    assert_eq!(bytes, expected.as_bytes());
    assert_eq!(position, last);
    assert_eq!(reader.take_remainder(), stream.as_bytes()[expected.len()..]);
}

#[rstest]
fn the_sizes_of_the_pieces_do_not_matter(#[values(1, 2, 3, 5, 7, 11, 100)] length: usize) {
    let (events, position) = read_pieces(STREAM.as_bytes(), length);
    assert_eq!(events, STREAM.as_bytes());
    assert_eq!(position, after("3"));
}

/// Reads a stream that arrives in pieces of this length, and returns its complete events and the position after them.
fn read_pieces(stream: &[u8], length: usize) -> (Vec<u8>, StreamPosition) {
    let mut reader = new_reader();
    let (mut events, mut position) = (Vec::new(), StreamPosition::Start);
    for piece in stream.chunks(length) {
        reader.push(piece);
        let batch = reader.take_complete().unwrap();
        events.extend_from_slice(&batch.bytes);
        position = batch.position;
    }
    (events, position)
}

/// Reads the data of a stream of a model that arrives in pieces of this length.
fn read_data(stream: &[u8], length: usize) -> Vec<Vec<u8>> {
    let mut reader = new_reader();
    let mut all = Vec::new();
    for piece in stream.chunks(length) {
        reader.push(piece);
        while let Some(event) = reader.next_event().unwrap() {
            let StreamEvent::Chunk { data, .. } = event else { panic!("no event ends the stream") };
            all.push(data.to_vec());
        }
    }
    all
}

/// A plain reader of a whole stream: the position after its last complete event, and the data of its events.
fn read_whole(stream: &[u8]) -> (StreamPosition, Vec<Vec<u8>>) {
    let text = String::from_utf8(stream.to_vec()).unwrap();
    let text = text.strip_prefix('\u{feff}').unwrap_or(&text);
    let text = text.replace("\r\n", "\n").replace('\r', "\n");
    let (mut position, mut all) = (StreamPosition::Start, Vec::new());
    let (mut id, mut data, mut has_field) = (None, Vec::new(), false);
    let ended = text.rfind('\n').map_or("", |end| &text[..end]);
    for line in ended.split('\n') {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        has_field |= !name.is_empty();
        match name {
            "id" if !value.contains('\0') => id = Some(value.to_owned()),
            "data" => data.push(value.to_owned()),
            _ => {}
        }
        if !line.is_empty() || !has_field {
            continue;
        }
        let id = id.take().filter(|id| !id.is_empty() && id.trim() == id);
        position = id.map_or(StreamPosition::Unknown, |id| after(&id));
        all.push(std::mem::take(&mut data).join("\n").into_bytes());
        has_field = false;
    }
    (position, all)
}

/// The parts that streams are made of, with each end of line.
fn stream_parts() -> impl Strategy<Value = Vec<&'static str>> {
    let parts = vec![
        "id: 1",
        "id:2",
        "id:  3",
        "id",
        "id:",
        "id: \0",
        "id: \u{e4}",
        "data: a",
        "data:b",
        "data",
        "data: [x]",
        "data: id: 9",
        ": ping",
        ":",
        "event: e",
        "retry: 5",
        "\u{feff}",
        "\n",
        "\r",
        "\r\n",
        "\n\n",
        "\r\r",
        "\r\n\r\n",
        "\n\r",
        "\n\r\n",
    ];
    prop::collection::vec(prop::sample::select(parts), 0..24)
}

proptest! {
    /// Guards against events that count as complete while their ids or their data are not seen.
    #[test]
    fn any_stream_is_read_as_by_a_plain_reader(parts in stream_parts()) {
        // A line feed that follows a return may still belong to its end.
        let stream = parts.concat() + "#";
        let (position, data) = read_whole(stream.as_bytes());
        for length in 1..=stream.len() {
            let (events, found) = read_pieces(stream.as_bytes(), length);
            prop_assert!(stream.as_bytes().starts_with(&events));
            prop_assert_eq!(&found, &position, "pieces of {} bytes", length);
            prop_assert_eq!(&read_data(stream.as_bytes(), length), &data, "pieces of {} bytes", length);
        }
    }
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
    assert_eq!(reader.take_complete().unwrap().bytes, "");
    reader.push(b"data: a\n\n: ping\n\n");
    assert_eq!(reader.take_complete().unwrap().bytes, ": ping\n\ndata: a\n\n: ping\n\n");
    reader.push(b": ping\n\n");
    assert_eq!(reader.take_complete().unwrap().bytes, ": ping\n\n");
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
