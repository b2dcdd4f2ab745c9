//! Tests that a lost path is told apart from endpoints that fail.

use std::time::{Duration, Instant};

use rstest::rstest;

use coltsfootgate_core::path::{PathChange, PathMonitor};

const STEP: Duration = Duration::from_millis(50);

#[rstest]
#[case::four(4, true)]
#[case::both_of_two(2, true)]
#[case::the_only_one(1, false)]
#[case::none_known(0, false)]
fn a_check_that_reaches_nobody_shows_a_lost_path(#[case] unreached: usize, #[case] is_lost: bool) {
    let (mut monitor, start) = (PathMonitor::default(), Instant::now());
    monitor.record_unreached();
    assert!(monitor.start_check(start).is_some());
    let change = monitor.record_failed_check(unreached, start, start + STEP);
    assert_eq!(change.is_some(), is_lost);
    assert_eq!(monitor.is_lost(), is_lost);
}

/// Connects that fail one after the other may be those to endpoints that crashed.
#[test]
fn failed_connects_alone_show_nothing() {
    let mut monitor = PathMonitor::default();
    (0..20).for_each(|_| monitor.record_unreached());
    assert!(!monitor.is_lost());
}

#[test]
fn a_connect_that_succeeds_during_a_check_shows_that_the_path_is_there() {
    let (mut monitor, start) = (PathMonitor::default(), Instant::now());
    monitor.record_unreached();
    monitor.start_check(start);
    assert_eq!(monitor.record_reached(start + STEP), None);
    assert_eq!(monitor.record_failed_check(3, start, start + 2 * STEP), None);
    assert!(!monitor.is_lost());
}

#[test]
fn a_connect_that_succeeds_ends_the_loss() {
    let (mut monitor, start) = (PathMonitor::default(), Instant::now());
    monitor.record_failed_check(4, start, start);
    assert!(monitor.is_lost());
    assert_eq!(monitor.record_reached(start + STEP), Some(PathChange::Regained(STEP)));
    assert!(!monitor.is_lost());
}

/// An endpoint that is silent for a moment leads to a check only if nobody else is heard.
#[test]
fn silence_of_all_endpoints_is_checked() {
    let (mut monitor, start) = (PathMonitor::default(), Instant::now());
    monitor.begin_wait(start);
    let mut now = start;
    for _ in 0..20 {
        now += STEP;
        assert_eq!(monitor.start_check(now), None, "others are heard");
        monitor.record_heard(now);
    }
    now += Duration::from_millis(350);
    assert!(monitor.start_check(now).is_some());
    assert_eq!(monitor.start_check(now + STEP), None, "checks are bounded in time");
    monitor.end_wait();
    assert_eq!(monitor.start_check(now + Duration::from_secs(1)), None, "nobody waits");
}

#[test]
fn a_lost_path_is_checked_without_requests() {
    let (mut monitor, start) = (PathMonitor::default(), Instant::now());
    monitor.record_failed_check(4, start, start);
    assert!(monitor.start_check(start).is_some());
    assert_eq!(monitor.start_check(start + STEP), None);
    assert!(monitor.start_check(start + Duration::from_secs(1)).is_some());
}
