//! Replicas that announce themselves, through outages of the store of announcements.

use std::sync::LazyLock;
use std::time::{Duration, Instant};

use rstest::rstest;

use coltsfootgate_core::roster::{
    RETURN_TIME, ReplicaAnnouncement, ReplicaChange, ReplicaKnowledge, ReplicaRoster, RosterEvent,
};

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

fn replica(name: &str, born: u64, sequence: u64) -> ReplicaAnnouncement {
    ReplicaAnnouncement {
        replica: name.into(),
        born,
        sequence,
        pool: "pools.model".into(),
        address: format!("10.0.0.{}:8080", name.len()).into(),
        zone: "zone-a".into(),
        slots: 4,
        is_leaving: false,
    }
}

fn leaving(announcement: ReplicaAnnouncement) -> ReplicaAnnouncement {
    ReplicaAnnouncement { is_leaving: true, ..announcement }
}

fn heard(names: &[&str], left: &[&str]) -> ReplicaKnowledge {
    ReplicaKnowledge {
        announcements: names.iter().map(|name| replica(name, 1, 1)).collect(),
        left: left.iter().map(|id| (*id).into()).collect(),
    }
}

/// The names of the endpoints that may serve.
fn serving(roster: &ReplicaRoster) -> Vec<String> {
    let pools = roster.endpoints();
    pools.values().flatten().map(|endpoint| endpoint.id.to_string()).collect()
}

fn roster_of(announcements: Vec<ReplicaAnnouncement>) -> ReplicaRoster {
    let mut roster = ReplicaRoster::default();
    roster.handle(RosterEvent::Listed(announcements), *START);
    roster
}

#[rstest]
#[case::announced(RosterEvent::Announced(replica("b", 1, 1)), &["a@1", "b@1"])]
#[case::leaving(RosterEvent::Announced(leaving(replica("a", 1, 2))), &[])]
#[case::withdrawn(RosterEvent::Withdrawn("a".into()), &[])]
#[case::listed_without(RosterEvent::Listed(Vec::new()), &[])]
#[case::reborn(RosterEvent::Announced(replica("a", 2, 1)), &["a@2"])]
#[case::told_by_a_peer(RosterEvent::HeardOf(heard(&[], &["a@1"])), &[])]
#[case::known_by_a_peer(RosterEvent::HeardOf(heard(&["b"], &[])), &["a@1", "b@1"])]
#[case::an_older_life(RosterEvent::Announced(leaving(replica("a", 0, 9))), &["a@1"])]
#[case::a_late_announcement(RosterEvent::Announced(leaving(replica("a", 1, 0))), &["a@1"])]
fn one_event_leaves(#[case] event: RosterEvent, #[case] expected: &[&str]) {
    let mut roster = roster_of(vec![replica("a", 1, 1)]);
    roster.handle(event, *START);
    assert_eq!(serving(&roster), expected);
}

/// Leaving holds for one life, whatever is announced of it later.
#[test]
fn a_replica_that_left_does_not_come_back_in_the_same_life() {
    let mut roster = roster_of(vec![replica("a", 1, 1)]);
    roster.handle(RosterEvent::Announced(leaving(replica("a", 1, 2))), *START);
    roster.handle(RosterEvent::Announced(replica("a", 1, 3)), *START);
    assert!(serving(&roster).is_empty());
    let changes = roster.handle(RosterEvent::Announced(replica("a", 2, 1)), *START);
    assert!(changes.contains(&("a@2".into(), ReplicaChange::Joined)), "{changes:?}");
    assert_eq!(serving(&roster), ["a@2"]);
}

/// Announcements lapse while the source is away; who lives announces itself again soon.
#[rstest]
#[case::listed(RosterEvent::Listed(vec![replica("b", 1, 5)]))]
#[case::withdrawn(RosterEvent::Withdrawn("a".into()))]
fn a_lapse_during_an_outage_holds_until_the_replica_could_return(#[case] event: RosterEvent) {
    let mut roster = roster_of(vec![replica("a", 1, 1), replica("b", 1, 1)]);
    roster.handle(RosterEvent::SourceLost, *START);
    let back = *START + Duration::from_secs(30);
    roster.handle(event, back);
    assert_eq!(serving(&roster), ["a@1", "b@1"]);
    roster.handle(RosterEvent::Tick, back + RETURN_TIME - Duration::from_millis(1));
    assert_eq!(serving(&roster), ["a@1", "b@1"]);
    roster.handle(RosterEvent::Tick, back + RETURN_TIME);
    assert_eq!(serving(&roster), ["b@1"]);
}

#[test]
fn a_replica_that_returns_in_time_stays() {
    let mut roster = roster_of(vec![replica("a", 1, 1)]);
    roster.handle(RosterEvent::SourceLost, *START);
    let back = *START + Duration::from_secs(5);
    roster.handle(RosterEvent::Listed(Vec::new()), back);
    roster.handle(RosterEvent::Announced(replica("a", 1, 2)), back + Duration::from_secs(1));
    roster.handle(RosterEvent::Tick, back + Duration::from_secs(60));
    assert_eq!(serving(&roster), ["a@1"]);
}

#[test]
fn nobody_goes_while_the_source_is_away() {
    let mut roster = roster_of(vec![replica("a", 1, 1)]);
    roster.handle(RosterEvent::SourceLost, *START);
    roster.handle(RosterEvent::Tick, *START + Duration::from_secs(600));
    assert_eq!(serving(&roster), ["a@1"]);
}

/// An instance that starts while the source is away lives on what its peers know.
#[test]
fn a_roster_that_was_never_read_is_filled_by_peers() {
    let known = roster_of(vec![replica("a", 1, 1), replica("b", 1, 1)]);
    let mut known = known;
    known.handle(RosterEvent::Announced(leaving(replica("b", 1, 2))), *START);
    let mut roster = ReplicaRoster::default();
    roster.handle(RosterEvent::SourceLost, *START);
    assert!(!roster.is_known());
    roster.handle(RosterEvent::HeardOf(ReplicaKnowledge::default()), *START);
    assert!(!roster.is_known(), "a peer that knows nothing proves nothing");
    roster.handle(RosterEvent::HeardOf(known.knowledge()), *START);
    assert!(roster.is_known() && roster.is_source_lost());
    assert_eq!(serving(&roster), ["a@1"]);
}

/// A replica that was still listed when the source came back left for good when it goes.
#[test]
fn a_removal_after_the_return_holds_at_once() {
    let mut roster = roster_of(vec![replica("a", 1, 1), replica("b", 1, 1)]);
    roster.handle(RosterEvent::SourceLost, *START);
    let back = *START + Duration::from_secs(6);
    roster.handle(RosterEvent::Listed(vec![replica("a", 1, 4), replica("b", 1, 4)]), back);
    roster.handle(RosterEvent::Withdrawn("a".into()), back + Duration::from_millis(500));
    assert_eq!(serving(&roster), ["b@1"]);
}
