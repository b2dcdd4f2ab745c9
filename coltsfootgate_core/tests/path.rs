//! Tests that a lost path is told apart from endpoints that fail.

use std::time::{Duration, Instant};

use rstest::rstest;

use coltsfootgate_core::path::{PathChange, PathMonitor};

const STEP: Duration = Duration::from_millis(50);

fn monitor(endpoints: usize) -> PathMonitor {
    let mut monitor = PathMonitor::default();
    monitor.set_endpoints(endpoints);
    monitor
}

fn fail(monitor: &mut PathMonitor, names: &[&str], now: Instant) -> Option<PathChange> {
    names.iter().filter_map(|name| monitor.record_unreached((*name).into(), now)).last()
}

#[rstest]
#[case::one_endpoint_again_and_again(12, &["a", "a", "a", "a"], false)]
#[case::two_of_many(12, &["a", "b"], false)]
#[case::three_of_many(12, &["a", "b", "c"], true)]
#[case::both_of_two(2, &["a", "b"], true)]
#[case::the_only_one(1, &["a", "a"], false)]
fn connects_that_fail_show_a_lost_path(
    #[case] endpoints: usize,
    #[case] failed: &[&str],
    #[case] is_lost: bool,
) {
    let mut monitor = monitor(endpoints);
    let change = fail(&mut monitor, failed, Instant::now());
    assert_eq!(change.is_some(), is_lost);
    assert_eq!(monitor.is_lost(), is_lost);
}

#[test]
fn a_connect_that_succeeds_shows_that_the_path_is_there() {
    let (mut monitor, now) = (monitor(12), Instant::now());
    fail(&mut monitor, &["a", "b"], now);
    assert_eq!(monitor.record_reached(now), None);
    assert_eq!(fail(&mut monitor, &["c", "d"], now), None);
    fail(&mut monitor, &["e"], now);
    assert!(monitor.is_lost());
    let regained = PathChange::Regained(STEP);
    assert_eq!(monitor.record_reached(now + STEP), Some(regained));
    assert!(!monitor.is_lost());
}

#[test]
fn failures_that_are_long_past_do_not_count() {
    let (mut monitor, now) = (monitor(12), Instant::now());
    fail(&mut monitor, &["a", "b"], now);
    fail(&mut monitor, &["c"], now + Duration::from_secs(5));
    assert!(!monitor.is_lost());
}

/// An endpoint that is silent for a moment leads to a check while others answer only if nobody else is heard.
#[test]
fn silence_of_all_endpoints_is_checked() {
    let (mut monitor, start) = (monitor(12), Instant::now());
    monitor.begin_wait(start);
    let mut now = start;
    for _ in 0..20 {
        now += STEP;
        assert_eq!(monitor.take_checks(now), 0, "others are heard");
        monitor.record_heard(now);
    }
    now += Duration::from_millis(350);
    assert!(monitor.take_checks(now) > 1);
    assert_eq!(monitor.take_checks(now + STEP), 0, "checks are bounded in time");
    monitor.end_wait();
    assert_eq!(monitor.take_checks(now + Duration::from_secs(1)), 0, "nobody waits");
}

#[test]
fn a_lost_path_is_checked_without_requests() {
    let (mut monitor, now) = (monitor(12), Instant::now());
    fail(&mut monitor, &["a", "b", "c"], now);
    assert_eq!(monitor.take_checks(now), 1);
    assert_eq!(monitor.take_checks(now + STEP), 0);
    assert_eq!(monitor.take_checks(now + Duration::from_secs(1)), 1);
}
