//! Tests the list of origins that streams may have.

use std::collections::BTreeSet;
use std::sync::LazyLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use coltsfootgate_core::origins::{OriginList, OriginTracker};
use coltsfootgate_core::stream::StreamOrigin;
use rstest::rstest;

static START: LazyLock<Instant> = LazyLock::new(Instant::now);
/// Time within which the streams in question began.
const SPAN: Duration = Duration::from_secs(24);

fn wall(seconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_000_000 + seconds)
}

fn after(seconds: u64) -> Instant {
    *START + Duration::from_secs(seconds)
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { pool: "pools.model".into(), version: Some(version.into()) }
}

fn origins(versions: &[&str]) -> BTreeSet<StreamOrigin> {
    versions.iter().map(|version| origin(version)).collect()
}

/// A list of versions, with the seconds at which some of them ended.
fn list(versions: &[(&str, Option<u64>)]) -> OriginList {
    OriginList::new(versions.iter().map(|(version, ended)| (origin(version), ended.map(wall))))
}

#[rstest]
#[case::a_single_one(&[("v1", None)], 0, Some("v1"))]
#[case::none(&[], 0, None)]
#[case::two_serve(&[("v1", None), ("v2", None)], 1000, None)]
#[case::one_has_just_ended(&[("v1", Some(0)), ("v2", None)], 0, None)]
#[case::one_may_have_been_used_late(&[("v1", Some(0)), ("v2", None)], 53, None)]
#[case::one_ended_long_ago(&[("v1", Some(0)), ("v2", None)], 54, Some("v2"))]
#[case::the_only_one_has_ended(&[("v1", Some(0))], 20, Some("v1"))]
#[case::the_clock_of_the_writer_is_ahead(&[("v1", Some(30)), ("v2", None)], 60, None)]
fn an_origin_is_certain_only_if_no_other_is_possible(
    #[case] versions: &[(&str, Option<u64>)],
    #[case] now_s: u64,
    #[case] expected: Option<&str>,
) {
    let sole = list(versions).sole_origin(SPAN, wall(now_s)).cloned();
    assert_eq!(sole, expected.map(origin));
}

#[test]
fn endpoints_of_an_origin_are_used_once_the_list_names_it() {
    let mut tracker = OriginTracker::default();
    tracker.set_serving(origins(&["v1"]), true, *START);
    assert!(tracker.has_unlisted());
    let written = tracker.changed_list(*START, wall(0)).unwrap();
    assert_eq!(written, list(&[("v1", None)]));
    // Writing it does not suffice: another instance may have written at the same moment.
    assert!(!tracker.is_listed(&origin("v1")));
    tracker.set_list(written, *START);
    assert!(tracker.is_listed(&origin("v1")));
    assert_eq!(tracker.changed_list(*START, wall(0)), None);
}

#[test]
fn what_another_instance_has_read_is_used_without_a_read() {
    let mut tracker = OriginTracker::default();
    tracker.set_serving(origins(&["v1", "v2"]), false, *START);
    tracker.learn([origin("v1")]);
    assert!(tracker.is_listed(&origin("v1")));
    assert!(tracker.has_unlisted());
    assert_eq!(tracker.listed().cloned().collect::<BTreeSet<_>>(), origins(&["v1"]));
}

#[test]
fn an_origin_ends_some_time_after_its_last_endpoint_is_gone() {
    let mut tracker = OriginTracker::default();
    tracker.set_serving(origins(&["v1", "v2"]), true, *START);
    tracker.set_list(list(&[("v1", None), ("v2", None)]), *START);
    tracker.set_serving(origins(&["v2"]), true, after(1));
    assert_eq!(tracker.changed_list(after(10), wall(10)), None);
    let changed = tracker.changed_list(after(11), wall(11));
    assert_eq!(changed, Some(list(&[("v1", Some(11)), ("v2", None)])));
}

/// While the source of announcements is unreachable, endpoints are missing that still serve.
#[test]
fn an_origin_does_not_end_while_the_source_is_unreachable() {
    let mut tracker = OriginTracker::default();
    tracker.set_list(list(&[("v1", None), ("v2", None)]), *START);
    tracker.set_serving(origins(&["v2"]), true, *START);
    tracker.set_serving(origins(&["v2"]), false, after(9));
    assert_eq!(tracker.changed_list(after(30), wall(30)), None);
    tracker.set_serving(origins(&["v2"]), true, after(31));
    assert_eq!(tracker.changed_list(after(40), wall(40)), None);
    assert!(tracker.changed_list(after(41), wall(41)).is_some());
}

/// An instance that sees no endpoint of an origin any more states its end; one that still sees some corrects
/// that.
#[test]
fn an_origin_that_ended_serves_again() {
    let mut tracker = OriginTracker::default();
    tracker.set_serving(origins(&["v1"]), true, *START);
    tracker.set_list(list(&[("v1", Some(0))]), *START);
    assert!(!tracker.is_listed(&origin("v1")));
    assert_eq!(tracker.changed_list(*START, wall(5)), Some(list(&[("v1", None)])));
}

#[test]
fn origins_that_ended_long_ago_are_removed() {
    let mut tracker = OriginTracker::default();
    tracker.set_serving(origins(&["v2"]), true, *START);
    tracker.set_list(list(&[("v1", Some(0)), ("v2", None)]), *START);
    assert_eq!(tracker.changed_list(after(1), wall(599)), None);
    assert_eq!(tracker.changed_list(after(1), wall(600)), Some(list(&[("v2", None)])));
}
