//! Head tracker: the version never goes back, and readiness requires enough sources.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootgate_core::head::{
    HeadAction, HeadEvent, HeadSource, HeadTracker, STARTUP_WAIT, STORE_WAIT, TreeHead,
};
use proptest::prelude::*;
use rstest::rstest;

fn head(version: u64) -> TreeHead {
    TreeHead { version, root: Arc::from(format!("root{version}")), nonce: Arc::from("n") }
}

fn peer(name: &str) -> HeadSource {
    HeadSource::Peer(Arc::from(name))
}

fn answered(source: HeadSource, version: u64) -> HeadEvent {
    HeadEvent::Answered(source, (version > 0).then(|| head(version)))
}

fn peers_listed(count: usize) -> HeadEvent {
    HeadEvent::PeersListed((0..count).map(|index| Arc::from(format!("p{index}"))).collect())
}

/// Passes the events to the tracker of a new instance, then a tick after the startup wait; every
/// fetch succeeds.
fn start(events: Vec<HeadEvent>) -> HeadTracker {
    let now = Instant::now();
    let mut tracker = HeadTracker::new(now);
    for event in events {
        let actions = tracker.handle(event, now);
        load_fetched(&mut tracker, actions, now);
    }
    let later = now + STARTUP_WAIT;
    let actions = tracker.handle(HeadEvent::Tick, later);
    load_fetched(&mut tracker, actions, later);
    tracker
}

fn load_fetched(tracker: &mut HeadTracker, actions: Vec<HeadAction>, now: Instant) {
    for action in actions {
        if let HeadAction::Fetch(head, _) = action {
            tracker.handle(HeadEvent::Loaded(head), now);
        }
    }
}

#[rstest]
#[case::store_alone(vec![peers_listed(0), answered(HeadSource::Store, 3)], 3, true)]
#[case::store_has_no_tree(vec![peers_listed(0), answered(HeadSource::Store, 0)], 0, false)]
#[case::no_source_answers(
    vec![peers_listed(2), HeadEvent::Unanswered(HeadSource::Store)],
    0,
    false
)]
#[case::store_down_and_most_peers_answer(
    vec![
        peers_listed(3),
        HeadEvent::Unanswered(HeadSource::Store),
        answered(peer("p0"), 4),
        answered(peer("p1"), 5),
    ],
    5,
    true
)]
#[case::store_down_and_one_of_three_peers_answers(
    vec![peers_listed(3), HeadEvent::Unanswered(HeadSource::Store), answered(peer("p0"), 4)],
    4,
    false
)]
#[case::store_is_stale(
    vec![
        peers_listed(2),
        answered(HeadSource::Store, 2),
        answered(peer("p0"), 7),
        answered(peer("p1"), 6),
    ],
    7,
    true
)]
#[case::store_down_and_peers_not_listed(vec![answered(peer("p0"), 4)], 4, false)]
fn new_instance_loads_the_highest_version_and_is_ready_with_a_quorum(
    #[case] events: Vec<HeadEvent>,
    #[case] version: u64,
    #[case] ready: bool,
) {
    let tracker = start(events);
    assert_eq!((tracker.version(), tracker.is_ready()), (version, ready));
}

#[test]
fn new_instance_is_not_ready_while_a_higher_version_cannot_be_fetched() {
    let now = Instant::now() + STARTUP_WAIT;
    let mut tracker = start(vec![peers_listed(1), answered(peer("p0"), 5)]);
    assert!(tracker.is_ready());
    tracker = HeadTracker::new(now - STARTUP_WAIT);
    tracker.handle(peers_listed(1), now);
    tracker.handle(answered(peer("p0"), 5), now);
    tracker.handle(HeadEvent::FetchFailed(head(5)), now);
    tracker.handle(answered(HeadSource::Store, 4), now);
    assert!(!tracker.is_ready());
}

#[test]
fn invalid_version_is_not_fetched_again() {
    let now = Instant::now();
    let mut tracker = start(vec![peers_listed(0), answered(HeadSource::Store, 3)]);
    let first = tracker.handle(answered(HeadSource::Store, 4), now);
    assert_eq!(first, [HeadAction::Fetch(head(4), vec![HeadSource::Store])]);
    tracker.handle(HeadEvent::Invalid(head(4)), now);
    assert_eq!(tracker.handle(answered(HeadSource::Store, 4), now), []);
    let next = tracker.handle(answered(HeadSource::Store, 5), now);
    assert_eq!(next, [HeadAction::Fetch(head(5), vec![HeadSource::Store])]);
}

#[test]
fn failed_fetch_is_retried_with_all_sources() {
    let now = Instant::now();
    let mut tracker = start(vec![peers_listed(0), answered(HeadSource::Store, 3)]);
    tracker.handle(answered(HeadSource::Store, 4), now);
    assert_eq!(tracker.handle(HeadEvent::FetchFailed(head(4)), now), []);
    assert_eq!(tracker.handle(answered(peer("p0"), 4), now), []);
    let later = tracker.handle(HeadEvent::Tick, now + Duration::from_secs(1));
    assert_eq!(later, [HeadAction::Fetch(head(4), vec![HeadSource::Store, peer("p0")])]);
}

#[test]
fn higher_version_of_a_peer_or_a_hint_triggers_a_read() {
    let now = Instant::now();
    let mut tracker = start(vec![peers_listed(1), answered(HeadSource::Store, 3)]);
    assert_eq!(tracker.handle(HeadEvent::PeerVersion(Arc::from("p0"), 3), now), []);
    let actions = tracker.handle(HeadEvent::PeerVersion(Arc::from("p0"), 4), now);
    assert_eq!(actions, [HeadAction::ReadHead(peer("p0"))]);
    assert_eq!(
        tracker.handle(HeadEvent::VersionHint(4), now),
        [HeadAction::ReadHead(HeadSource::Store)]
    );
}

fn any_event() -> impl Strategy<Value = HeadEvent> {
    let source =
        prop_oneof![Just(HeadSource::Store), (0..4u8).prop_map(|index| peer(&format!("p{index}")))];
    prop_oneof![
        4 => (source.clone(), 0..9u64).prop_map(|(source, version)| answered(source, version)),
        1 => source.prop_map(HeadEvent::Unanswered),
        1 => (0..4usize).prop_map(peers_listed),
        2 => (1..9u64).prop_map(|version| HeadEvent::Loaded(head(version))),
        1 => (1..9u64).prop_map(|version| HeadEvent::FetchFailed(head(version))),
        1 => (1..9u64).prop_map(|version| HeadEvent::Invalid(head(version))),
        1 => Just(HeadEvent::Tick),
    ]
}

proptest! {
    #[test]
    fn version_never_goes_back_and_no_lower_version_is_fetched(
        events in prop::collection::vec((any_event(), 0..400u64), 0..60),
    ) {
        let mut now = Instant::now();
        let mut tracker = HeadTracker::new(now);
        let mut highest = 0;
        for (event, millis) in events {
            now += Duration::from_millis(millis);
            let before = tracker.version();
            for action in tracker.handle(event, now) {
                if let HeadAction::Fetch(fetched, _) = action {
                    prop_assert!(fetched.version > before);
                }
            }
            highest = highest.max(tracker.version());
            prop_assert_eq!(tracker.version(), highest);
        }
    }
}

/// After a power loss all instances start at once: none has a tree, and many do not answer. A store
/// that never returns a stale head must suffice then.
#[test]
fn consistent_store_suffices_without_peers() {
    let now = Instant::now();
    let mut tracker = HeadTracker::with_consistent_store(now);
    tracker.handle(HeadEvent::PeersListed(vec!["127.0.0.1:1".into(), "127.0.0.1:2".into()]), now);
    let head = TreeHead { version: 7, root: "r".into(), nonce: "n".into() };
    let answer = HeadEvent::Answered(HeadSource::Store, Some(head.clone()));
    let actions = tracker.handle(answer, now);
    assert!(actions.contains(&HeadAction::Fetch(head.clone(), vec![HeadSource::Store])));
    let actions = tracker.handle(HeadEvent::Loaded(head), now);
    assert!(actions.contains(&HeadAction::BecomeReady), "{actions:?}");
}

/// The actions after a peer's newer version at once, and the reads after a time, at an instance whose store
/// answers consistently.
fn actions_for_newer_version(
    store: HeadEvent,
    meanwhile: Option<HeadEvent>,
    later: Duration,
) -> [Vec<HeadAction>; 2] {
    let now = Instant::now();
    let mut tracker = HeadTracker::with_consistent_store(now);
    let actions = tracker.handle(answered(HeadSource::Store, 3), now);
    load_fetched(&mut tracker, actions, now);
    tracker.handle(store, now);
    let first = tracker.handle(HeadEvent::PeerVersion(Arc::from("p0"), 4), now);
    let mut second = Vec::new();
    if let Some(event) = meanwhile {
        second = tracker.handle(event, now);
        load_fetched(&mut tracker, second.clone(), now);
    }
    second.extend(tracker.handle(HeadEvent::Tick, now + later));
    second.retain(|action| matches!(action, HeadAction::ReadHead(_)));
    [first, second]
}

/// A store that answers delivers a new version by itself; a large one must not be read from a peer too.
#[rstest]
#[case::store_answers(answered(HeadSource::Store, 3), None, STORE_WAIT / 2, false, false)]
#[case::store_delivers_it(
    answered(HeadSource::Store, 3),
    Some(answered(HeadSource::Store, 4)),
    STORE_WAIT,
    false,
    false
)]
#[case::store_is_late(answered(HeadSource::Store, 3), None, STORE_WAIT, false, true)]
#[case::store_fails(HeadEvent::Unanswered(HeadSource::Store), None, STORE_WAIT / 2, true, false)]
#[case::store_fails_later(
    answered(HeadSource::Store, 3),
    Some(HeadEvent::Unanswered(HeadSource::Store)),
    STORE_WAIT / 2,
    false,
    true
)]
fn a_newer_version_is_read_from_a_peer_if_the_store_does_not_deliver_it(
    #[case] store: HeadEvent,
    #[case] meanwhile: Option<HeadEvent>,
    #[case] later: Duration,
    #[case] is_read_at_once: bool,
    #[case] is_read_later: bool,
) {
    let read = vec![HeadAction::ReadHead(peer("p0"))];
    let [first, second] = actions_for_newer_version(store, meanwhile, later);
    assert_eq!(first, if is_read_at_once { read.clone() } else { Vec::new() });
    assert_eq!(second, if is_read_later { read } else { Vec::new() });
}
