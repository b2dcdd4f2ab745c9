//! Tests of the platform stand-in's properties on which other tests rely.

use std::thread;
use std::time::Duration;

use coltsfootgate_standins::control::blocking_call;
use coltsfootgate_standins::platform;
use coltsfootgate_standins::runner::{ANY_PORT, StandinHandle};
use rstest::rstest;
use serde_json::json;

fn put(platform: &StandinHandle, key: &str, revision: u64, value: &str) -> std::io::Result<u16> {
    let path = format!("/kv/{key}?revision={revision}");
    Ok(blocking_call(platform.address, "PUT", &path, value.as_bytes())?.status)
}

fn read(platform: &StandinHandle, key: &str) -> (u16, String) {
    let path = format!("/kv/{key}");
    let response = blocking_call(platform.address, "GET", &path, b"").unwrap();
    (response.status, String::from_utf8(response.body).unwrap())
}

#[rstest]
#[case::creates_missing_key(&[], 0, 200)]
#[case::rejects_create_of_existing_key(&["a"], 0, 409)]
#[case::accepts_current_revision(&["a"], 1, 200)]
#[case::rejects_old_revision(&["a", "b"], 1, 409)]
#[case::rejects_future_revision(&["a"], 7, 409)]
fn write_succeeds_only_at_the_current_revision(
    #[case] before: &[&str],
    #[case] revision: u64,
    #[case] status: u16,
) {
    let platform = platform::start_platform(ANY_PORT).unwrap();
    for (index, value) in before.iter().enumerate() {
        assert_eq!(put(&platform, "k", index as u64, value).unwrap(), 200);
    }
    assert_eq!(put(&platform, "k", revision, "new").unwrap(), status);
    let last = before.last().copied().unwrap_or("");
    assert_eq!(read(&platform, "k").1, if status == 200 { "new" } else { last });
}

#[test]
fn one_of_concurrent_writers_succeeds() {
    let platform = platform::start_platform(ANY_PORT).unwrap();
    let successes: usize = thread::scope(|scope| {
        let writers: Vec<_> = (0..8)
            .map(|index| {
                let platform = &platform;
                scope.spawn(move || put(platform, "k", 0, &index.to_string()).unwrap() == 200)
            })
            .collect();
        writers.into_iter().map(|writer| usize::from(writer.join().unwrap())).sum()
    });
    assert_eq!(successes, 1);
}

#[test]
fn write_with_lost_answer_is_applied() {
    let platform = platform::start_platform(ANY_PORT).unwrap();
    platform.control.send(&json!({"lose_answers": 1})).unwrap();
    assert!(put(&platform, "k", 0, "lost").is_err());
    assert_eq!(read(&platform, "k"), (200, "lost".to_owned()));
    assert_eq!(put(&platform, "k", 1, "next").unwrap(), 200);
}

#[test]
fn write_completes_waiting_watch() {
    let platform = platform::start_platform(ANY_PORT).unwrap();
    put(&platform, "k", 0, "a").unwrap();
    let address = platform.address;
    let watch = thread::spawn(move || {
        blocking_call(address, "GET", "/kv/k?after=1&wait=8000", b"").unwrap()
    });
    while platform.control.counters().unwrap()["waiting_watches"] != 1 {
        thread::sleep(Duration::from_millis(1));
    }
    put(&platform, "k", 1, "b").unwrap();
    let response = watch.join().unwrap();
    assert_eq!((response.status, response.body.as_slice()), (200, b"b".as_slice()));
}

#[test]
fn stale_key_returns_old_value_until_cleared() {
    let platform = platform::start_platform(ANY_PORT).unwrap();
    put(&platform, "k", 0, "old").unwrap();
    platform.control.send(&json!({"stale_keys": ["k"]})).unwrap();
    assert_eq!(put(&platform, "k", 1, "new").unwrap(), 200);
    assert_eq!(read(&platform, "k").1, "old");
    platform.control.send(&json!({"stale_keys": []})).unwrap();
    assert_eq!(read(&platform, "k").1, "new");
}

#[test]
fn refusing_store_keeps_values_and_control_port() {
    let platform = platform::start_platform(ANY_PORT).unwrap();
    put(&platform, "k", 0, "kept").unwrap();
    platform.control.send(&json!({"outage": "refuse"})).unwrap();
    assert!(put(&platform, "k", 1, "x").is_err());
    platform.control.send(&json!({"outage": "none"})).unwrap();
    let answered = std::iter::repeat_with(|| blocking_call(platform.address, "GET", "/kv/k", b""))
        .find_map(Result::ok);
    assert_eq!(answered.unwrap().body, b"kept");
}
