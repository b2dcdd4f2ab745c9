//! Replicas that announce themselves, through outages of the store of announcements.

use std::sync::LazyLock;
use std::time::{Duration, Instant};

use rstest::rstest;

use coltsfootgate_core::roster::{
    REANNOUNCE_TIMEOUT, ReplicaAnnouncement, ReplicaChange, ReplicaRoster, ReplicaSnapshot,
    RosterEvent, SoleVersion,
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
    }
}

fn leaving(announcement: ReplicaAnnouncement) -> ReplicaAnnouncement {
    ReplicaAnnouncement { is_leaving: true, ..announcement }
}

fn peer_snapshot(names: &[&str], left: &[&str]) -> ReplicaSnapshot {
    ReplicaSnapshot {
        announcements: names.iter().map(|name| replica(name, 1, 1)).collect(),
        left: left.iter().map(|id| (*id).into()).collect(),
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
    roster.handle(RosterEvent::PeerSnapshot(known.snapshot()), *START);
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

/// Time for which a version must have been the only one.
const VERSION_SPAN: Duration = Duration::from_secs(30);

fn versioned(name: &str, sequence: u64, version: &str) -> ReplicaAnnouncement {
    ReplicaAnnouncement { version: Some(version.into()), ..replica(name, 1, sequence) }
}

/// Events at 10 s, after two replicas of v1 were listed; the question is asked at `asked_s`.
#[rstest]
#[case::nothing_else(&[], 40, true)]
#[case::not_for_long_enough(&[], 29, false)]
#[case::another_version_serves(&[RosterEvent::Announced(versioned("c", 1, "v2"))], 60, false)]
#[case::another_version_served(
    &[RosterEvent::Announced(versioned("c", 1, "v2")), RosterEvent::Withdrawn("c".into())], 39, false
)]
#[case::another_version_served_long_ago(
    &[RosterEvent::Announced(versioned("c", 1, "v2")), RosterEvent::Withdrawn("c".into())], 40, true
)]
#[case::a_leaving_one_still_serves(&[RosterEvent::Announced(leaving(versioned("c", 1, "v2")))], 60, false)]
#[case::a_replica_changed_its_version(&[RosterEvent::Announced(versioned("a", 2, "v2"))], 60, false)]
#[case::a_replica_states_none(
    &[RosterEvent::Announced(ReplicaAnnouncement { version: None, ..replica("c", 1, 1) })], 60, false
)]
#[case::the_source_is_lost(&[RosterEvent::SourceLost], 60, false)]
#[case::another_pool(
    &[RosterEvent::Announced(ReplicaAnnouncement { pool: "pools.b".into(), ..versioned("c", 1, "v2") })],
    60, true
)]
fn sole_version_is_certain_only_if_no_other_can_have_served(
    #[case] events: &[RosterEvent],
    #[case] asked_s: u64,
    #[case] is_certain: bool,
) {
    let mut roster = listed_roster(vec![versioned("a", 1, "v1"), versioned("b", 1, "v1")]);
    for event in events {
        roster.handle(event.clone(), *START + Duration::from_secs(10));
    }
    let asked = *START + Duration::from_secs(asked_s);
    let sole = roster.sole_version("pools.model", VERSION_SPAN, asked);
    assert_eq!(sole.is_some_and(|sole| sole.is_certain), is_certain);
}

/// Another version may have served unnoticed while this process did not run.
#[test]
fn sole_version_is_not_certain_soon_after_a_pause_of_the_process() {
    let mut roster = listed_roster(vec![versioned("a", 1, "v1")]);
    let tick = |roster: &mut ReplicaRoster, milliseconds| {
        let now = *START + Duration::from_millis(milliseconds);
        roster.handle(RosterEvent::Tick, now);
        roster.sole_version("pools.model", VERSION_SPAN, now).unwrap().is_certain
    };
    assert!((1..=80).map(|step| tick(&mut roster, step * 500)).last().unwrap());
    assert!(!tick(&mut roster, 43_000));
    assert!(!tick(&mut roster, 43_500));
    assert!((88..=146).map(|step| tick(&mut roster, step * 500)).last().unwrap());
}

/// An instance that does not know everything still tells what it knows.
#[rstest]
#[case::started_a_moment_ago(&[], 11, Some("v1"))]
#[case::source_lost(&[RosterEvent::SourceLost], 60, Some("v1"))]
#[case::two_versions(&[RosterEvent::Announced(versioned("c", 1, "v2"))], 11, None)]
fn sole_version_that_is_not_certain_is_returned_as_such(
    #[case] events: &[RosterEvent],
    #[case] asked_s: u64,
    #[case] expected: Option<&str>,
) {
    let mut roster = listed_roster(vec![versioned("a", 1, "v1"), versioned("b", 1, "v1")]);
    for event in events {
        roster.handle(event.clone(), *START + Duration::from_secs(10));
    }
    let asked = *START + Duration::from_secs(asked_s);
    let sole = roster.sole_version("pools.model", VERSION_SPAN, asked);
    let version = |version: &str| SoleVersion { version: Some(version.into()), is_certain: false };
    assert_eq!(sole, expected.map(version));
}

/// Another version may have served unnoticed while the source was unreachable.
#[test]
fn sole_version_is_not_certain_soon_after_an_outage() {
    let mut roster = listed_roster(vec![versioned("a", 1, "v1")]);
    roster.handle(RosterEvent::SourceLost, *START + Duration::from_secs(60));
    let returned = *START + Duration::from_secs(61);
    roster.handle(RosterEvent::Listed(vec![versioned("a", 2, "v1")]), returned);
    let sole = |asked| roster.sole_version("pools.model", VERSION_SPAN, asked);
    let version = |is_certain| Some(SoleVersion { version: Some("v1".into()), is_certain });
    assert_eq!(sole(returned + Duration::from_secs(29)), version(false));
    assert_eq!(sole(returned + VERSION_SPAN), version(true));
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
