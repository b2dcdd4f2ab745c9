//! Replicas that announce themselves, through outages of the store of announcements.

use std::sync::LazyLock;
use std::time::{Duration, Instant};

use rstest::rstest;

use coltsfootgate_core::roster::{
    REANNOUNCE_TIMEOUT, ReplicaAnnouncement, ReplicaChange, ReplicaRoster, ReplicaSnapshot,
    RosterEvent,
};

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

fn replica(name: &str, born: u64, sequence: u64) -> ReplicaAnnouncement {
    ReplicaAnnouncement {
        replica: name.into(),
        born,
        sequence,
        pool: "pools.model".into(),
        address: format!("10.0.0.{}:8080", name.len()).into(),
        version: Some("v1".into()),
        zone: "zone-a".into(),
        slots: 4,
        is_leaving: false,
        is_spot: false,
    }
}

fn leaving(announcement: ReplicaAnnouncement) -> ReplicaAnnouncement {
    ReplicaAnnouncement { is_leaving: true, ..announcement }
}

fn peer_snapshot(names: &[&str], left: &[&str]) -> ReplicaSnapshot {
    ReplicaSnapshot {
        announcements: names.iter().map(|name| replica(name, 1, 1)).collect(),
        left: left.iter().map(|id| (*id).into()).collect(),
        ..ReplicaSnapshot::default()
    }
}

/// The names of the endpoints that may serve.
fn serving(roster: &ReplicaRoster) -> Vec<String> {
    let pools = roster.endpoints();
    pools.values().flatten().map(|endpoint| endpoint.id.to_string()).collect()
}

fn listed_roster(announcements: Vec<ReplicaAnnouncement>) -> ReplicaRoster {
    let mut roster = ReplicaRoster::default();
    roster.handle(RosterEvent::Listed(announcements), *START);
    roster
}

#[rstest]
#[case::announced(RosterEvent::Announced(replica("b", 1, 1)), &["a@1", "b@1"])]
#[case::leaving(RosterEvent::Announced(leaving(replica("a", 1, 2))), &[])]
#[case::withdrawn(RosterEvent::Withdrawn("a".into()), &[])]
#[case::listed_without(RosterEvent::Listed(Vec::new()), &[])]
#[case::restarted(RosterEvent::Announced(replica("a", 2, 1)), &["a@2"])]
#[case::left_according_to_a_peer(RosterEvent::PeerSnapshot(peer_snapshot(&[], &["a@1"])), &[])]
#[case::announced_to_a_peer(RosterEvent::PeerSnapshot(peer_snapshot(&["b"], &[])), &["a@1", "b@1"])]
#[case::an_older_process(RosterEvent::Announced(leaving(replica("a", 0, 9))), &["a@1"])]
#[case::a_late_announcement(RosterEvent::Announced(leaving(replica("a", 1, 0))), &["a@1"])]
fn endpoints_after_one_event(#[case] event: RosterEvent, #[case] expected: &[&str]) {
    let mut roster = listed_roster(vec![replica("a", 1, 1)]);
    roster.handle(event, *START);
    assert_eq!(serving(&roster), expected);
}

/// Later announcements of the same process don't undo its leaving.
#[test]
fn a_replica_that_left_serves_again_only_after_a_restart() {
    let mut roster = listed_roster(vec![replica("a", 1, 1)]);
    roster.handle(RosterEvent::Announced(leaving(replica("a", 1, 2))), *START);
    roster.handle(RosterEvent::Announced(replica("a", 1, 3)), *START);
    assert!(serving(&roster).is_empty());
    let changes = roster.handle(RosterEvent::Announced(replica("a", 2, 1)), *START);
    assert!(changes.contains(&("a@2".into(), ReplicaChange::Joined)), "{changes:?}");
    assert_eq!(serving(&roster), ["a@2"]);
}

/// Announcements expire while the source is unreachable; a replica that still runs announces itself
/// again soon after.
#[rstest]
#[case::listed(RosterEvent::Listed(vec![replica("b", 1, 5)]))]
#[case::withdrawn(RosterEvent::Withdrawn("a".into()))]
fn a_replica_that_expired_in_an_outage_serves_until_its_grace_time_ends(
    #[case] event: RosterEvent,
) {
    let mut roster = listed_roster(vec![replica("a", 1, 1), replica("b", 1, 1)]);
    roster.handle(RosterEvent::SourceLost, *START);
    let recovered = *START + Duration::from_secs(30);
    roster.handle(event, recovered);
    assert_eq!(serving(&roster), ["a@1", "b@1"]);
    roster.handle(RosterEvent::Tick, recovered + REANNOUNCE_TIMEOUT - Duration::from_millis(1));
    assert_eq!(serving(&roster), ["a@1", "b@1"]);
    roster.handle(RosterEvent::Tick, recovered + REANNOUNCE_TIMEOUT);
    assert_eq!(serving(&roster), ["b@1"]);
}

#[test]
fn a_replica_that_announces_itself_in_time_stays() {
    let mut roster = listed_roster(vec![replica("a", 1, 1)]);
    roster.handle(RosterEvent::SourceLost, *START);
    let recovered = *START + Duration::from_secs(5);
    roster.handle(RosterEvent::Listed(Vec::new()), recovered);
    roster.handle(RosterEvent::Announced(replica("a", 1, 2)), recovered + Duration::from_secs(1));
    roster.handle(RosterEvent::Tick, recovered + Duration::from_secs(60));
    assert_eq!(serving(&roster), ["a@1"]);
}

#[test]
fn no_replica_is_removed_during_an_outage() {
    let mut roster = listed_roster(vec![replica("a", 1, 1)]);
    roster.handle(RosterEvent::SourceLost, *START);
    roster.handle(RosterEvent::Tick, *START + Duration::from_secs(600));
    assert_eq!(serving(&roster), ["a@1"]);
}

/// An instance that starts while the source is unreachable gets its replicas from its peers.
#[test]
fn peers_fill_a_roster_that_never_reached_the_source() {
    let mut known = listed_roster(vec![replica("a", 1, 1), replica("b", 1, 1)]);
    known.handle(RosterEvent::Announced(leaving(replica("b", 1, 2))), *START);
    let mut roster = ReplicaRoster::default();
    roster.handle(RosterEvent::SourceLost, *START);
    assert!(!roster.is_populated());
    roster.handle(RosterEvent::PeerSnapshot(ReplicaSnapshot::default()), *START);
    assert!(!roster.is_populated(), "an empty snapshot does not populate the roster");
    roster.handle(RosterEvent::PeerSnapshot(known.snapshot(Vec::new())), *START);
    assert!(roster.is_populated() && roster.is_source_lost());
    assert_eq!(serving(&roster), ["a@1"]);
}

/// The grace time applies to replicas missing after an outage, not to one that was still listed
/// then and withdraws its announcement later.
#[test]
fn a_removal_after_an_outage_takes_effect_at_once() {
    let mut roster = listed_roster(vec![replica("a", 1, 1), replica("b", 1, 1)]);
    roster.handle(RosterEvent::SourceLost, *START);
    let recovered = *START + Duration::from_secs(6);
    roster.handle(RosterEvent::Listed(vec![replica("a", 1, 4), replica("b", 1, 4)]), recovered);
    roster.handle(RosterEvent::Withdrawn("a".into()), recovered + Duration::from_millis(500));
    assert_eq!(serving(&roster), ["b@1"]);
}

fn versioned(name: &str, sequence: u64, version: &str) -> ReplicaAnnouncement {
    ReplicaAnnouncement { version: Some(version.into()), ..replica(name, 1, sequence) }
}

/// Events after two replicas of v1 were listed.
#[rstest]
#[case::nothing_else(&[], &["v1"])]
#[case::another_version_joins(&[RosterEvent::Announced(versioned("c", 1, "v2"))], &["v1", "v2"])]
#[case::another_version_is_gone(
    &[RosterEvent::Announced(versioned("c", 1, "v2")), RosterEvent::Withdrawn("c".into())], &["v1"]
)]
#[case::a_leaving_one_still_serves(
    &[RosterEvent::Announced(leaving(versioned("c", 1, "v2")))], &["v1", "v2"]
)]
#[case::one_that_may_return_after_an_outage(
    &[
        RosterEvent::Announced(versioned("c", 1, "v2")),
        RosterEvent::SourceLost,
        RosterEvent::Withdrawn("c".into()),
    ],
    &["v1", "v2"]
)]
#[case::a_replica_changed_its_version(&[RosterEvent::Announced(versioned("a", 2, "v2"))], &["v1", "v2"])]
#[case::a_replica_states_none(
    &[RosterEvent::Announced(ReplicaAnnouncement { version: None, ..replica("c", 1, 1) })],
    &["none", "v1"]
)]
#[case::another_pool(
    &[RosterEvent::Announced(ReplicaAnnouncement { pool: "pools.b".into(), ..versioned("c", 1, "v2") })],
    &["v1"]
)]
fn origins_name_every_version_of_a_pool(#[case] events: &[RosterEvent], #[case] expected: &[&str]) {
    let mut roster = listed_roster(vec![versioned("a", 1, "v1"), versioned("b", 1, "v1")]);
    for event in events {
        roster.handle(event.clone(), *START);
    }
    let origins = roster.origins(&["pools.model".into()].into());
    let versions: Vec<&str> =
        origins.iter().map(|origin| origin.version.as_deref().unwrap_or("none")).collect();
    assert_eq!(versions, expected);
}

/// The endpoint stays the same, but streams that begin there from now on have another origin.
#[test]
fn another_version_of_the_same_process_is_a_change() {
    let mut roster = listed_roster(vec![versioned("a", 1, "v1")]);
    let changed = RosterEvent::Announced(versioned("a", 2, "v2"));
    let changes = roster.handle(changed.clone(), *START);
    assert_eq!(changes, [("a@1".into(), ReplicaChange::VersionChanged)]);
    assert_eq!(roster.handle(changed, *START), []);
}

/// The source may list a replica as ready, or its announcement may return, after it said that it leaves.
#[rstest]
#[case::announced_again(RosterEvent::Announced(replica("a", 1, 2)), &[])]
#[case::listed(RosterEvent::Listed(vec![replica("a", 1, 2)]), &[])]
#[case::announced_to_a_peer(RosterEvent::PeerSnapshot(peer_snapshot(&["a"], &[])), &[])]
#[case::restarted(RosterEvent::Announced(replica("a", 2, 1)), &["a@2"])]
fn an_endpoint_that_said_that_it_leaves_stays_out_of_service(
    #[case] event: RosterEvent,
    #[case] expected: &[&str],
) {
    let mut roster = listed_roster(vec![replica("a", 1, 1)]);
    let changes = roster.handle(RosterEvent::SaidLeaving("a@1".into()), *START);
    assert_eq!(changes, [("a@1".into(), ReplicaChange::Leaving)]);
    assert!(roster.has_left(&"a@1".into()));
    roster.handle(event, *START);
    assert_eq!(serving(&roster), expected);
}
