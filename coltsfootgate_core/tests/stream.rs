//! Tests of the records of where streams began.

use std::sync::LazyLock;
use std::time::{Duration, Instant};

use coltsfootgate_core::stream::{
    RecordedOrigin, StreamBook, StreamKey, StreamOrigin, record_lifetime,
};
use rstest::rstest;

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

fn after(seconds: u64) -> Instant {
    *START + Duration::from_secs(seconds)
}

fn key(customer: &str, stream: &str) -> StreamKey {
    StreamKey::new(customer.into(), stream).unwrap()
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { pool: "pools.model".into(), version: Some(version.into()) }
}

/// A book with the stream `a` of the customer `one`, which began at v1, until 10 s.
fn book() -> StreamBook {
    let mut book = StreamBook::default();
    book.record(key("one", "a"), origin("v1"), after(10), *START);
    book
}

#[rstest]
#[case::recorded("one", "a", 9, RecordedOrigin::Known(origin("v1")))]
#[case::expired("one", "a", 10, RecordedOrigin::Unknown)]
#[case::another_stream("one", "b", 1, RecordedOrigin::Unknown)]
#[case::another_customer("two", "a", 1, RecordedOrigin::Unknown)]
fn recorded_streams_are_found(
    #[case] customer: &str,
    #[case] stream: &str,
    #[case] seconds: u64,
    #[case] expected: RecordedOrigin,
) {
    assert_eq!(book().find(&key(customer, stream), after(seconds)), expected);
}

/// A guess between two streams with the same id would join what two versions wrote.
#[rstest]
#[case::same_origin("v1", RecordedOrigin::Known(origin("v1")))]
#[case::another_origin("v2", RecordedOrigin::Conflicting)]
fn an_id_that_is_used_twice_is_found_only_with_a_single_origin(
    #[case] version: &str,
    #[case] expected: RecordedOrigin,
) {
    let mut book = book();
    book.record(key("one", "a"), origin(version), after(5), after(1));
    assert_eq!(book.find(&key("one", "a"), after(2)), expected);
    // It stays ambiguous when one of the two is recorded again.
    book.record(key("one", "a"), origin("v1"), after(6), after(2));
    assert_eq!(book.find(&key("one", "a"), after(3)), expected);
}

#[test]
fn records_are_kept_until_the_latest_time() {
    let mut book = book();
    book.record(key("one", "a"), origin("v1"), after(5), after(1));
    book.record(key("one", "b"), origin("v2"), after(20), after(7));
    assert_eq!(book.find(&key("one", "a"), after(9)), RecordedOrigin::Known(origin("v1")));
}

/// A class's timeout of two seconds ends a request whose caller tries for twelve.
#[rstest]
#[case::short_timeout(12, 2)]
#[case::long_timeout(2, 12)]
fn records_outlive_the_tries_of_the_caller(#[case] deadline_s: u64, #[case] timeout_s: u64) {
    let (deadline, timeout) = (Duration::from_secs(deadline_s), Duration::from_secs(timeout_s));
    assert!(record_lifetime(deadline, timeout) > deadline.max(timeout));
}

#[test]
fn number_of_records_is_bounded() {
    let mut book = StreamBook::default();
    for number in 0..30_000 {
        let expires = after(100) + Duration::from_millis(number);
        book.record(key("one", &number.to_string()), origin("v1"), expires, *START);
    }
    assert_eq!(book.len(), 20_000);
    assert_eq!(book.find(&key("one", "29999"), after(1)), RecordedOrigin::Known(origin("v1")));
    book.record(key("one", "late"), origin("v1"), after(300), after(200));
    assert_eq!(book.len(), 1);
}

#[rstest]
#[case::empty("")]
#[case::too_long(&"f".repeat(129))]
fn streams_without_a_usable_id_have_no_key(#[case] stream: &str) {
    assert_eq!(StreamKey::new("one".into(), stream), None);
}

/// Holders that each know one of two origins, or that there are several, must not make one of them certain.
#[rstest]
#[case::nobody_knows(&[], RecordedOrigin::Unknown)]
#[case::one_knows(&["", "v1", ""], RecordedOrigin::Known(origin("v1")))]
#[case::all_agree(&["v1", "v1"], RecordedOrigin::Known(origin("v1")))]
#[case::two_disagree(&["v1", "", "v2"], RecordedOrigin::Conflicting)]
#[case::one_of_several(&["v1", "v2", "v1"], RecordedOrigin::Conflicting)]
fn what_holders_know_is_joined(#[case] versions: &[&str], #[case] expected: RecordedOrigin) {
    let known = versions.iter().map(|version| match *version {
        "" => RecordedOrigin::Unknown,
        version => RecordedOrigin::Known(origin(version)),
    });
    assert_eq!(known.fold(RecordedOrigin::Unknown, RecordedOrigin::join), expected);
    assert_eq!(RecordedOrigin::Conflicting.join(expected), RecordedOrigin::Conflicting);
}
