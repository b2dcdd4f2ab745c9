//! Endpoints that ask for a time without requests get none until it ends.

use std::time::{Duration, Instant};

use rstest::rstest;

use coltsfootgate_core::rest::{REST_TIME_MAX, RestBook, parse_rest_time};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[rstest]
#[case::whole("2", Some(Duration::from_secs(2)))]
#[case::fraction(" 0.25 ", Some(Duration::from_millis(250)))]
#[case::none("0", Some(Duration::ZERO))]
#[case::too_long("1e300", Some(REST_TIME_MAX))]
#[case::negative("-1", None)]
#[case::date("Fri, 04 Dec 2026 13:44:00 GMT", None)]
#[case::empty("", None)]
#[case::not_a_number("NaN", None)]
fn the_time_is_parsed(#[case] text: &str, #[case] expected: Option<Duration>) {
    assert_eq!(parse_rest_time(text.as_bytes()), expected);
}

/// Answers to requests that were under way may state shorter times.
#[test]
fn an_endpoint_rests_until_the_latest_end() {
    let (mut book, now) = (RestBook::default(), Instant::now());
    book.record("a".into(), seconds(5), now);
    book.record("a".into(), seconds(1), now + seconds(1));
    assert_eq!(book.remaining(&"a".into(), now + seconds(4)), Some(seconds(1)));
    assert_eq!(book.remaining(&"a".into(), now + seconds(5)), None);
    assert_eq!(book.remaining(&"b".into(), now), None);
    assert!(book.is_any_resting(now + seconds(4)));
    assert!(!book.is_any_resting(now + seconds(5)));
    book.record("b".into(), seconds(1), now + seconds(9));
    assert_eq!(book.remaining(&"a".into(), now + seconds(4)), None, "ended rests are dropped");
}
