//! Tests of the records of where streams began.

use std::sync::LazyLock;
use std::time::{Duration, Instant};

use coltsfootgate_core::stream::{
    RecordCopy, RecordedOrigin, STREAM_GROUPS, StreamBook, StreamKey, StreamOrigin,
    record_lifetime, stream_group,
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

/// A copy of the record of a stream of the customer `one`.
fn copy(stream: &str, version: &str, expires: Instant) -> RecordCopy {
    RecordCopy { key: key("one", stream), origin: origin(version), expires }
}

/// A book with the stream `a` of the customer `one`, which began at v1, until 10 s.
fn book() -> StreamBook {
    let mut book = StreamBook::default();
    book.record(copy("a", "v1", after(10)), *START);
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
    book.record(copy("a", version, after(5)), after(1));
    assert_eq!(book.find(&key("one", "a"), after(2)), expected);
    // It stays ambiguous when one of the two is recorded again.
    book.record(copy("a", "v1", after(6)), after(2));
    assert_eq!(book.find(&key("one", "a"), after(3)), expected);
}

#[test]
fn records_are_kept_until_the_latest_time() {
    let mut book = book();
    book.record(copy("a", "v1", after(5)), after(1));
    book.record(copy("b", "v2", after(20)), after(7));
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
        book.record(copy(&number.to_string(), "v1", expires), *START);
    }
    assert_eq!(book.len(), 20_000);
    assert_eq!(book.find(&key("one", "29999"), after(1)), RecordedOrigin::Known(origin("v1")));
    book.record(copy("late", "v1", after(300)), after(200));
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

/// A copy of one of several origins would make it certain where it arrives.
#[test]
fn copies_of_a_record_with_several_origins_are_conflicting_too() {
    let mut book = book();
    book.record(copy("a", "v2", after(5)), *START);
    book.record(copy("a", "v3", after(5)), *START);
    let group = stream_group(&key("one", "a"));
    let mut other = StreamBook::default();
    for copy in book.copies(&[group], after(1)) {
        assert_eq!(copy.expires, after(10));
        assert!(other.record(copy, after(1)));
    }
    assert_eq!(other.find(&key("one", "a"), after(2)), RecordedOrigin::Conflicting);
}

#[test]
fn records_of_other_groups_and_expired_ones_are_not_copied() {
    let book = book();
    let group = stream_group(&key("one", "a"));
    let others: Vec<_> = (0..STREAM_GROUPS).filter(|other| *other != group).collect();
    assert_eq!(book.copies(&others, *START), []);
    assert_eq!(book.copies(&[group], after(9)), [copy("a", "v1", after(10))]);
    assert_eq!(book.copies(&[group], after(10)), []);
}
