//! Tests which answers count as complete.

use coltsfootgate_core::answer::{AnswerFraming, ContentEnd, is_complete};
use rstest::rstest;

#[rstest]
#[case::opaque(ContentEnd::Opaque)]
#[case::marked(ContentEnd::Marked)]
#[case::between_events(ContentEnd::BetweenEvents)]
fn a_whole_content_is_complete_with_any_framing(#[case] end: ContentEnd) {
    assert!(AnswerFraming::ALL.iter().all(|framing| is_complete(*framing, end)));
}

#[rstest]
#[case::unmarked(ContentEnd::Unmarked)]
#[case::inside_event(ContentEnd::InsideEvent)]
fn a_broken_content_is_complete_with_no_framing(#[case] end: ContentEnd) {
    assert!(!AnswerFraming::ALL.iter().any(|framing| is_complete(*framing, end)));
}

#[rstest]
#[case::length(AnswerFraming::Length, true)]
#[case::chunks(AnswerFraming::Chunks, true)]
#[case::connection_close(AnswerFraming::ConnectionClose, false)]
fn a_stream_without_events_needs_a_marked_end(
    #[case] framing: AnswerFraming,
    #[case] expected: bool,
) {
    assert_eq!(is_complete(framing, ContentEnd::NoEvent), expected);
}
