//! Tests which instances read the platform's state, and what those that follow them get.

use std::collections::BTreeSet;
use std::sync::LazyLock;
use std::time::{Duration, Instant};

use coltsfootgate_core::feed::{ChangeLog, FeedChoice};
use coltsfootgate_core::ids::InstanceId;
use coltsfootgate_core::routing::OwnerLocation;
use rstest::rstest;

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

fn location(number: usize) -> OwnerLocation {
    OwnerLocation {
        owner: format!("10.0.0.{number}:1").into(),
        zone: format!("zone-{}", number % 3).into(),
        processor_milli: if number < 6 { 500 } else { 120 },
    }
}

fn choice(number: usize, fleet: &[OwnerLocation]) -> FeedChoice {
    let own = location(number);
    let mut choice = FeedChoice::default();
    choice.update(&own.owner, &own.zone, fleet.to_vec());
    choice
}

/// The instances that do not follow others.
fn readers(size: usize) -> Vec<InstanceId> {
    let fleet: Vec<OwnerLocation> = (0..size).map(location).collect();
    let all = (0..size).filter(|number| !choice(*number, &fleet).is_follower());
    all.map(|number| location(number).owner).collect()
}

#[rstest]
#[case::nine(9, 9)]
#[case::sixty(60, 6)]
#[case::a_hundred_and_ninety_five(195, 6)]
#[case::three_hundred_and_fifty_three(353, 6)]
fn the_number_of_readers_does_not_grow_with_the_fleet(#[case] size: usize, #[case] count: usize) {
    assert_eq!(readers(size).len(), count);
}

/// Everyone follows an instance of its own zone that reads.
#[test]
fn followers_ask_readers_of_their_zone() {
    let fleet: Vec<OwnerLocation> = (0..60).map(location).collect();
    let readers: BTreeSet<InstanceId> = readers(60).into_iter().collect();
    let mut asked = BTreeSet::new();
    for number in 0..60 {
        let choice = choice(number, &fleet);
        assert_eq!(choice.is_followed(), readers.contains(&location(number).owner));
        if let Some(reader) = choice.reader(*START) {
            assert!(readers.contains(reader));
            let zone = fleet.iter().find(|one| one.owner == *reader).unwrap().zone.clone();
            assert_eq!(zone, location(number).zone);
            asked.insert(reader.clone());
        }
    }
    assert_eq!(asked, readers, "not all readers are asked");
}

#[test]
fn a_reader_that_fails_is_left_for_the_other_and_then_for_the_platform() {
    let fleet: Vec<OwnerLocation> = (0..60).map(location).collect();
    let follower = (0..60).find(|number| choice(*number, &fleet).is_follower()).unwrap();
    let mut choice = choice(follower, &fleet);
    let first = choice.reader(*START).unwrap().clone();
    choice.record_failure(&first, *START);
    let second = choice.reader(*START).unwrap().clone();
    assert_ne!(first, second);
    choice.record_failure(&second, *START);
    assert_eq!(choice.reader(*START), None);
    assert_eq!(choice.reader(*START + Duration::from_secs(3)), Some(&first));
}

#[test]
fn a_follower_gets_each_change_once_and_in_order() {
    let mut log = ChangeLog::default();
    log.record(0, 10, [(12, "a"), (14, "b")], 20);
    log.record(0, 20, [(21, "c")], 25);
    assert_eq!(log.since(0, 10), Some((vec![(12, "a"), (14, "b"), (21, "c")], 25)));
    assert_eq!(log.since(0, 12), Some((vec![(14, "b"), (21, "c")], 25)));
    assert_eq!(log.since(0, 25), Some((vec![], 25)));
    // A follower that has read the platform itself may be ahead of its reader.
    assert_eq!(log.since(0, 30), Some((vec![], 30)));
}

/// What a reader may have missed is never taken for nothing.
#[rstest]
#[case::before_the_log(0, 9)]
#[case::of_another_era(1, 12)]
fn changes_that_may_be_missing_are_not_answered(#[case] era: u64, #[case] after: u64) {
    let mut log = ChangeLog::default();
    assert_eq!(log.since(0, 0), None);
    log.record(0, 10, [(12, "a")], 20);
    assert_eq!(log.since(era, after), None);
}

#[rstest]
#[case::a_gap(0, 30)]
#[case::another_era(1, 5)]
fn a_log_with_a_gap_starts_anew(#[case] era: u64, #[case] after: u64) {
    let mut log = ChangeLog::default();
    log.record(0, 10, [(12, "a")], 20);
    log.record(era, after, [(after + 1, "b")], after + 2);
    assert_eq!(log.since(era, after), Some((vec![(after + 1, "b")], after + 2)));
    assert_eq!(log.since(0, 10), None);
    log.clear();
    assert_eq!(log.since(era, after), None);
}

#[test]
fn a_log_is_bounded() {
    let mut log = ChangeLog::default();
    for revision in 0..10_000 {
        log.record(0, revision, [(revision + 1, revision)], revision + 1);
    }
    assert_eq!(log.since(0, 0), None);
    assert!(
        log.since(0, 9_000).is_some_and(|(changes, end)| changes.len() == 1000 && end == 10_000)
    );
}
