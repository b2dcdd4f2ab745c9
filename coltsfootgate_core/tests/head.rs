//! The version of the tree never goes back, and readiness waits for enough sources.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootgate_core::head::{
    GATHER_TIME, HeadAction, HeadEvent, HeadSource, HeadTracker, TreeHead,
};
use proptest::prelude::*;
use rstest::rstest;

fn head(version: u64) -> TreeHead {
    TreeHead { version, root: Arc::from(format!("root{version}")), nonce: Arc::from("n") }
}

fn peer(name: &str) -> HeadSource {
    HeadSource::Peer(Arc::from(name))
}

fn offered(source: HeadSource, version: u64) -> HeadEvent {
    HeadEvent::Offered(source, (version > 0).then(|| head(version)))
}

fn listed(count: usize) -> HeadEvent {
    HeadEvent::Listed((0..count).map(|index| Arc::from(format!("p{index}"))).collect())
}

/// Feeds the events to a new instance whose every fetch succeeds; the time passes at the end.
fn start(events: Vec<HeadEvent>) -> HeadTracker {
    let now = Instant::now();
    let mut tracker = HeadTracker::new(now);
    for event in events {
        let actions = tracker.handle(event, now);
        load_fetched(&mut tracker, actions, now);
    }
    let later = now + GATHER_TIME;
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
#[case::store_alone(vec![listed(0), offered(HeadSource::Store, 3)], 3, true)]
#[case::store_without_a_tree(vec![listed(0), offered(HeadSource::Store, 0)], 0, false)]
#[case::nobody_answers(vec![listed(2), HeadEvent::Unanswered(HeadSource::Store)], 0, false)]
#[case::store_down_most_peers_answer(
    vec![listed(3), HeadEvent::Unanswered(HeadSource::Store), offered(peer("p0"), 4), offered(peer("p1"), 5)],
    5,
    true
)]
#[case::store_down_one_of_three_answers(
    vec![listed(3), HeadEvent::Unanswered(HeadSource::Store), offered(peer("p0"), 4)],
    4,
    false
)]
#[case::store_replica_is_behind(
    vec![listed(2), offered(HeadSource::Store, 2), offered(peer("p0"), 7), offered(peer("p1"), 6)],
    7,
    true
)]
#[case::list_unknown_and_store_down(vec![offered(peer("p0"), 4)], 4, false)]
fn a_new_instance_takes_the_highest_and_waits_for_enough(
    #[case] events: Vec<HeadEvent>,
    #[case] version: u64,
    #[case] ready: bool,
) {
    let tracker = start(events);
    assert_eq!((tracker.version(), tracker.is_ready()), (version, ready));
}

#[test]
fn a_new_instance_is_not_ready_below_an_offer_that_it_cannot_fetch() {
    let now = Instant::now() + GATHER_TIME;
    let mut tracker = start(vec![listed(1), offered(peer("p0"), 5)]);
    assert!(tracker.is_ready());
    tracker = HeadTracker::new(now - GATHER_TIME);
    tracker.handle(listed(1), now);
    tracker.handle(offered(peer("p0"), 5), now);
    tracker.handle(HeadEvent::Unfetched(head(5)), now);
    tracker.handle(offered(HeadSource::Store, 4), now);
    assert!(!tracker.is_ready());
}

#[test]
fn an_invalid_version_is_not_fetched_again() {
    let now = Instant::now();
    let mut tracker = start(vec![listed(0), offered(HeadSource::Store, 3)]);
    let first = tracker.handle(offered(HeadSource::Store, 4), now);
    assert_eq!(first, [HeadAction::Fetch(head(4), vec![HeadSource::Store])]);
    tracker.handle(HeadEvent::Invalid(head(4)), now);
    assert_eq!(tracker.handle(offered(HeadSource::Store, 4), now), []);
    let next = tracker.handle(offered(HeadSource::Store, 5), now);
    assert_eq!(next, [HeadAction::Fetch(head(5), vec![HeadSource::Store])]);
}

#[test]
fn a_failed_fetch_is_tried_again_with_all_sources() {
    let now = Instant::now();
    let mut tracker = start(vec![listed(0), offered(HeadSource::Store, 3)]);
    tracker.handle(offered(HeadSource::Store, 4), now);
    assert_eq!(tracker.handle(HeadEvent::Unfetched(head(4)), now), []);
    assert_eq!(tracker.handle(offered(peer("p0"), 4), now), []);
    let later = tracker.handle(HeadEvent::Tick, now + Duration::from_secs(1));
    assert_eq!(later, [HeadAction::Fetch(head(4), vec![HeadSource::Store, peer("p0")])]);
}

#[test]
fn news_of_a_higher_version_is_asked_for() {
    let now = Instant::now();
    let mut tracker = start(vec![listed(1), offered(HeadSource::Store, 3)]);
    assert_eq!(tracker.handle(HeadEvent::PeerVersion(Arc::from("p0"), 3), now), []);
    let asked = tracker.handle(HeadEvent::PeerVersion(Arc::from("p0"), 4), now);
    assert_eq!(asked, [HeadAction::Ask(peer("p0"))]);
    assert_eq!(tracker.handle(HeadEvent::Hinted(4), now), [HeadAction::Ask(HeadSource::Store)]);
}

fn any_event() -> impl Strategy<Value = HeadEvent> {
    let source =
        prop_oneof![Just(HeadSource::Store), (0..4u8).prop_map(|index| peer(&format!("p{index}")))];
    prop_oneof![
        4 => (source.clone(), 0..9u64).prop_map(|(source, version)| offered(source, version)),
        1 => source.prop_map(HeadEvent::Unanswered),
        1 => (0..4usize).prop_map(listed),
        2 => (1..9u64).prop_map(|version| HeadEvent::Loaded(head(version))),
        1 => (1..9u64).prop_map(|version| HeadEvent::Unfetched(head(version))),
        1 => (1..9u64).prop_map(|version| HeadEvent::Invalid(head(version))),
        1 => Just(HeadEvent::Tick),
    ]
}

proptest! {
    #[test]
    fn the_version_never_goes_back_and_nothing_lower_is_fetched(
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

/// All instances start at once after a loss of power: nobody has a tree, and many do not answer.
#[test]
fn a_current_store_is_enough_to_begin_with() {
    let now = Instant::now();
    let mut tracker = HeadTracker::with_current_store(now);
    tracker.handle(HeadEvent::Listed(vec!["127.0.0.1:1".into(), "127.0.0.1:2".into()]), now);
    let head = TreeHead { version: 7, root: "r".into(), nonce: "n".into() };
    let offer = HeadEvent::Offered(HeadSource::Store, Some(head.clone()));
    let actions = tracker.handle(offer, now);
    assert!(actions.contains(&HeadAction::Fetch(head.clone(), vec![HeadSource::Store])));
    let actions = tracker.handle(HeadEvent::Loaded(head), now);
    assert!(actions.contains(&HeadAction::BecomeReady), "{actions:?}");
}
