//! Tests that the part of a prompt that crashes endpoints is found among those that are lost with it.

mod quarantine_model;

use std::collections::BTreeSet;
use std::sync::LazyLock;
use std::time::{Duration, Instant};

use coltsfootgate_core::quarantine::{
    AttemptEnd, AttemptEvidence, BlockList, BlockState, CauseKey, CrashCause, CrashLedger,
    CrashReport, KeptReports, LostRequest, PartId, RequestDigest, SendVerdict, ServedCauses,
};
use rstest::rstest;

use quarantine_model::{Cause, Model, STABLE_WINDOW};

static START: LazyLock<Instant> = LazyLock::new(Instant::now);
const SHARED: PartId = 1;
const BAD: PartId = 2;

fn at(milliseconds: u64) -> Instant {
    *START + Duration::from_millis(milliseconds)
}

fn key(part: PartId) -> CauseKey {
    CauseKey { pool: "pools.model".into(), cause: CrashCause::Part(part) }
}

fn causes(parts: &[PartId]) -> Vec<CrashCause> {
    parts.iter().copied().map(CrashCause::Part).collect()
}

fn crash(number: u64, sent: u64, parts: &[PartId]) -> CrashReport {
    CrashReport {
        pool: "pools.model".into(),
        endpoint: format!("i-{number}").into(),
        lost: vec![LostRequest { causes: causes(parts), sent_at: at(sent) }],
        crashed_at: None,
    }
}

/// A ledger with `count` crashes under both parts, one every 100 ms.
fn ledger(count: u64) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for number in 0..count {
        let report = crash(number, number * 100 + 50, &[SHARED, BAD]);
        ledger.record_crash(&report, &BlockList::default(), at(number * 100 + 100));
    }
    ledger
}

fn decided(ledger: &mut CrashLedger) -> Option<PartId> {
    match ledger.decide(at(10_000), |_| true)?.key.cause {
        CrashCause::Part(part) => Some(part),
        CrashCause::Request(digest) => panic!("request {digest:x} is blocked"),
    }
}

#[rstest]
#[case::two_crashes(2, None)]
#[case::three_crashes(3, Some(BAD))]
fn a_part_is_blocked_after_crashes_in_sequence(#[case] count: u64, #[case] expected: Option<u64>) {
    assert_eq!(decided(&mut ledger(count)), expected);
}

/// A part that only shared the prompts of the blocked one is not blocked for the same crashes, whether the
/// trial has settled the matter or not: all endpoints may be down, or no request with the blocked part
/// may come. If it crashes endpoints without the other one, it is blocked.
#[rstest]
#[case::trial_crashes(true, 0, None)]
#[case::no_trial(false, 0, None)]
#[case::two_crashes_without_the_blocked_part(false, 2, None)]
#[case::three_crashes_without_the_blocked_part(false, 3, Some(SHARED))]
#[case::trial_and_three_crashes(true, 3, Some(SHARED))]
fn a_block_explains_the_crashes_of_the_parts_that_shared_the_prompts(
    #[case] crashes: bool,
    #[case] later_crashes: u64,
    #[case] expected: Option<PartId>,
) {
    let (mut ledger, mut blocked) = (ledger(3), BlockList::default());
    assert_eq!(ledger.decide(at(500), |_| true).unwrap().key, key(BAD));
    blocked.block(key(BAD), 3, at(500));
    if crashes {
        ledger.record_crash(&crash(9, 600, &[SHARED, BAD]), &blocked, at(700));
    }
    assert_eq!(ledger.decide(at(800), |_| true), None, "the trial is awaited");
    for number in 20..20 + later_crashes {
        let report = crash(number, number * 100 + 50, &[SHARED]);
        ledger.record_crash(&report, &blocked, at(number * 100 + 100));
    }
    assert_eq!(decided(&mut ledger), expected);
}

/// Replicas that lose power at the same moment have a cause of their own.
#[test]
fn crashes_at_the_same_moment_count_once() {
    let mut ledger = CrashLedger::default();
    for number in 0..50 {
        let report = crash(number, 50, &[SHARED, number + 10]);
        ledger.record_crash(&report, &BlockList::default(), at(100 + number));
    }
    assert_eq!(decided(&mut ledger), None);
}

#[rstest]
#[case::before_the_crashes(50, Some(BAD))]
#[case::between_the_crashes(250, None)]
#[case::after_the_crashes(350, None)]
fn a_served_part_is_not_blocked(#[case] served_at: u64, #[case] expected: Option<PartId>) {
    let mut ledger = ledger(3);
    ledger.record_served(&key(SHARED), at(served_at));
    ledger.record_served(&key(BAD), at(served_at));
    assert_eq!(decided(&mut ledger), expected);
}

/// Of two parts that are lost together, the one that was served before is the innocent one.
#[rstest]
#[case::the_first_part(SHARED, BAD)]
#[case::the_second_part(BAD, SHARED)]
fn the_part_that_was_never_served_is_blocked(#[case] served: PartId, #[case] blocked: PartId) {
    let mut ledger = ledger(3);
    ledger.record_served(&key(served), at(0));
    assert_eq!(decided(&mut ledger), Some(blocked));
}

/// Requests that were under way when the part was blocked crash further endpoints, under other parts too.
#[test]
fn a_blocked_part_explains_later_crashes() {
    let mut ledger = CrashLedger::default();
    let mut blocked = BlockList::default();
    blocked.block(key(BAD), 3, at(0));
    for number in 0..5 {
        let other = crash(number, number * 100 + 50, &[SHARED]);
        ledger.record_crash(&other, &blocked, at(number * 100 + 100));
        let report = crash(number, number * 100 + 50, &[SHARED, BAD]);
        ledger.record_crash(&report, &blocked, at(number * 100 + 101));
    }
    assert_eq!(decided(&mut ledger), None);
}

#[test]
fn the_number_of_suspects_is_bounded() {
    let mut ledger = ledger(2);
    for number in 0..100_000 {
        let report = crash(1_000 + number, 500, &[number + 10]);
        ledger.record_crash(&report, &BlockList::default(), at(600));
    }
    let report = crash(900, 700, &[SHARED, BAD]);
    ledger.record_crash(&report, &BlockList::default(), at(800));
    assert_eq!(decided(&mut ledger), Some(BAD), "parts with more crashes are kept");
}

/// Only three requests with a cause may be late, and the first trial is late if all endpoints are down.
#[rstest]
#[case::part(key(BAD))]
#[case::request(request_key(7))]
fn a_blocked_cause_is_tried_three_times_before_it_rests(#[case] key: CauseKey) {
    let mut list = BlockList::default();
    list.block(key.clone(), 3, at(0));
    let trials = (0..3_600).filter(|second| list.take_trial(&key, at(second * 1_000)));
    assert_eq!(trials.count(), 3);
    let SendVerdict::Blocked { retry_delay, .. } =
        list.verdict(&BTreeSet::new(), &key.pool, &[key.cause], at(60_000))
    else {
        panic!("a request may be sent");
    };
    assert_eq!(retry_delay, Duration::from_secs(60), "it may be released before its next trial");
    assert!(list.take_trial(&key, at(2 * 3_600_000)));
    assert!(!list.take_trial(&key, at(10 * 3_600_000)), "no trial is left");
}

/// A block ends only when a request with the part is served after it was tried.
#[test]
fn a_blocked_part_is_released_when_its_trial_is_served() {
    let mut list = BlockList::default();
    list.block(key(BAD), 3, at(0));
    assert!(list.take_trial(&key(BAD), at(1_000)));
    let pool = "pools.model".into();
    assert!(list.find(&pool, &causes(&[SHARED, BAD])).is_some());
    assert!(!list.release(&key(BAD), at(0), at(2_000)), "served before it was tried");
    assert!(list.release(&key(BAD), at(1_500), at(2_000)));
    assert!(list.find(&pool, &causes(&[SHARED, BAD])).is_none());
    list.block(key(BAD), 3, at(3_000));
    assert!(!list.take_trial(&key(BAD), at(3_300)), "a second block has no first trial again");
}

/// Instances get changes in any order and more than once.
#[test]
fn lists_merge_to_the_same_state_in_any_order() {
    let mut first = BlockList::default();
    first.block(key(BAD), 3, at(0));
    let blocked: Vec<_> =
        first.entries().map(|(key, entry)| (key.clone(), entry.clone())).collect();
    assert!(first.take_trial(&key(BAD), at(60_000)));
    let tried: Vec<_> = first.entries().map(|(key, entry)| (key.clone(), entry.clone())).collect();
    assert!(first.release(&key(BAD), at(61_000), at(61_000)));
    let released: Vec<_> =
        first.entries().map(|(key, entry)| (key.clone(), entry.clone())).collect();
    for order in [[&blocked, &tried, &released], [&released, &blocked, &tried]] {
        let mut list = BlockList::default();
        for entries in order {
            list.merge(entries.clone());
        }
        assert!(list.entries().all(|(_, entry)| entry.state == BlockState::Released));
        assert_eq!(list.digest(), first.digest());
        assert!(list.merge(blocked.clone()).is_empty());
    }
}

#[test]
fn the_list_is_bounded() {
    let mut list = BlockList::default();
    (0..2_000).for_each(|part| list.block(key(part), 3, at(part)));
    assert_eq!(list.blocked_count(), 512);
    assert!(list.find(&"pools.model".into(), &causes(&[1_999])).is_some());
}

#[rstest]
#[case::complete_answer(AttemptEnd::Complete, None, AttemptEvidence::Served)]
#[case::lost_before_its_first_event(AttemptEnd::ConnectionLost, None, AttemptEvidence::Lost)]
#[case::lost_soon_after_its_first_event(
    AttemptEnd::ConnectionLost,
    Some(900),
    AttemptEvidence::Lost
)]
#[case::lost_long_after_its_first_event(
    AttemptEnd::ConnectionLost,
    Some(100),
    AttemptEvidence::Served
)]
#[case::abandoned(AttemptEnd::Other, Some(900), AttemptEvidence::Unclear)]
fn an_attempt_shows_whether_its_parts_may_crash_endpoints(
    #[case] end: AttemptEnd,
    #[case] answered_since: Option<u64>,
    #[case] expected: AttemptEvidence,
) {
    let found = AttemptEvidence::new(end, answered_since.map(at), at(1_000));
    assert_eq!(found, expected);
}

#[test]
fn the_parts_served_last_are_remembered() {
    let mut served = ServedCauses::default();
    (0..20_000).for_each(|part| served.record(key(part), at(part)));
    assert_eq!(served.last(&key(19_999)), Some(at(19_999)));
    assert_eq!(served.last(&key(16_000)), Some(at(16_000)));
    assert_eq!(served.last(&key(10_000)), None);
}

fn request_key(digest: RequestDigest) -> CauseKey {
    CauseKey { pool: "pools.model".into(), cause: CrashCause::Request(digest) }
}

/// A crash in which requests without parts were lost.
fn request_crash(number: u64, sent: u64, requests: &[RequestDigest]) -> CrashReport {
    let lost = |digest: &RequestDigest| LostRequest {
        causes: vec![CrashCause::Request(*digest)],
        sent_at: at(sent),
    };
    let lost = requests.iter().map(lost).collect();
    CrashReport { lost, ..crash(number, sent, &[]) }
}

/// Repeats of a request crash endpoints one after the other or at the same moment; a request that was lost
/// with one of them, and one that is served meanwhile, are sound.
#[rstest]
#[case::one_after_the_other(100, 3, true)]
#[case::at_the_same_moment(0, 3, true)]
#[case::too_few(100, 2, false)]
fn a_repeated_request_is_blocked_after_crashes(
    #[case] interval: u64,
    #[case] crashes: u64,
    #[case] is_blocked: bool,
) {
    const REPEATED: RequestDigest = 7;
    const POLLED: RequestDigest = 8;
    let mut ledger = CrashLedger::default();
    for number in 0..crashes {
        let report = request_crash(number, number * interval, &[POLLED, REPEATED, 100 + number]);
        ledger.record_crash(&report, &BlockList::default(), at(number * interval + 50));
    }
    assert_eq!(ledger.watched().contains(&request_key(REPEATED)), crashes >= 2);
    ledger.record_served(&request_key(POLLED), at(500));
    let decided = ledger.decide(at(600), |_| true).map(|decision| decision.key);
    assert_eq!(decided, is_blocked.then(|| request_key(REPEATED)));
    assert_eq!(ledger.decide(at(10_000), |_| true), None);
}

/// Replays a fleet of replicas under traffic of which some requests crash them.
#[rstest]
#[case::a_part_that_was_never_served(Cause::NewPart)]
#[case::a_part_that_was_served_before(Cause::KnownPart)]
#[case::the_first_part_of_prompts(Cause::FirstPart)]
#[case::a_part_while_replicas_also_flap(Cause::NewPartAndFlapping)]
#[case::a_request_that_is_repeated(Cause::RepeatedRequest)]
fn the_crashing_part_is_blocked_in_time_and_no_other(#[case] cause: Cause) {
    for seed in 0..60 {
        let mut model = Model::new(seed, cause);
        model.run(Duration::from_secs(30));
        let blocked_at = model.blocked_at().unwrap_or_else(|| panic!("seed {seed}: not blocked"));
        if let Some(last) = model.last_allowed_crash() {
            let delay = blocked_at.saturating_duration_since(last);
            assert!(delay < STABLE_WINDOW, "seed {seed}: blocked after {delay:?}");
        }
        assert!(model.begun_share_min() >= 0.5, "seed {seed}: {}", model.begun_share_min());
        assert!(model.late_arrivals() <= 3, "seed {seed}: {}", model.late_arrivals());
    }
}

/// A crash that ends the trials of two causes would seem to confirm both.
#[test]
fn one_blocked_part_is_tried_at_a_time() {
    let (mut ledger, mut blocked) = (ledger(3), BlockList::default());
    blocked.block(key(SHARED), 3, at(500));
    blocked.block(key(BAD), 3, at(500));
    assert!(ledger.begin_trial(&key(SHARED), at(700)));
    assert!(!ledger.begin_trial(&key(BAD), at(800)));
    ledger.record_crash(&crash(9, 700, &[SHARED]), &blocked, at(900));
    assert!(ledger.begin_trial(&key(BAD), at(901)));
    assert!(ledger.begin_trial(&key(SHARED), at(3_000)), "a trial without an end is given up");
}

/// Replicas also crash for other reasons, so that these end trials of a sound part, or most crashes have a part
/// that all requests share.
#[rstest]
#[case::trials_of_two_parts_end_in_one_crash(95)]
#[case::the_shared_part_has_more_crashes(1415)]
fn the_cause_is_told_from_sound_parts_while_replicas_flap(#[case] seed: u64) {
    let mut model = Model::new(seed, Cause::NewPartAndFlapping);
    model.run(Duration::from_secs(30));
    assert!(model.blocked_at().is_some(), "the cause is not blocked");
    assert!(model.begun_share_min() >= 0.5, "{}", model.begun_share_min());
}

/// Trials go on for minutes; in these seeds all replicas are down when the first one is due.
#[rstest]
#[case::a_part_that_was_served_before(6, Cause::KnownPart)]
#[case::a_part_while_replicas_also_flap(8, Cause::NewPartAndFlapping)]
fn trials_that_begin_late_stay_within_the_late_requests(#[case] seed: u64, #[case] cause: Cause) {
    let mut model = Model::new(seed, cause);
    model.run(Duration::from_secs(170));
    assert!(model.late_arrivals() <= 3, "{} requests were late", model.late_arrivals());
}

#[rstest]
#[case::replicas_that_flap(Cause::Flapping)]
#[case::many_replicas_at_once(Cause::PowerLoss)]
fn sound_requests_go_on_after_crashes_of_another_cause(#[case] cause: Cause) {
    for seed in 0..60 {
        let mut model = Model::new(seed, cause);
        model.run(Duration::from_secs(30));
        assert!(model.begun_share_min() >= 0.5, "seed {seed}: {}", model.begun_share_min());
    }
}

/// Crashes as they are reported again at `heard`, in an order.
fn restate(ledger: &mut CrashLedger, numbers: &[u64], heard: u64) {
    for number in numbers {
        let report = crash(*number, number * 100 + 50, &[SHARED, BAD]);
        let report = CrashReport { crashed_at: Some(at(number * 100 + 100)), ..report };
        ledger.record_crash(&report, &BlockList::default(), at(heard));
    }
}

/// Guards against crashes that are counted anew when the instance changes that counts them.
#[rstest]
#[case::in_order(&[0, 1, 2], Some(BAD))]
#[case::in_another_order(&[2, 0, 1], Some(BAD))]
#[case::one_twice(&[0, 1, 1, 0], None)]
fn crashes_that_are_reported_again_count_once_and_in_their_order(
    #[case] numbers: &[u64],
    #[case] expected: Option<PartId>,
) {
    let mut ledger = CrashLedger::default();
    restate(&mut ledger, numbers, 900);
    ledger.record_served(&key(SHARED), at(250));
    assert_eq!(decided(&mut ledger), expected);
}

#[test]
fn crashes_that_were_counted_are_not_counted_again() {
    let mut counted = ledger(2);
    restate(&mut counted, &[0, 1, 0, 1], 900);
    assert_eq!(decided(&mut counted), None);
}

/// Endpoints that crash at the same moment may have another cause than a part that their requests share.
#[test]
fn crashes_at_the_same_moment_count_as_one_when_they_are_reported_again() {
    let mut ledger = CrashLedger::default();
    for number in 0..5 {
        let report = crash(number, number + 1, &[SHARED, BAD]);
        let report = CrashReport { crashed_at: Some(at(100)), ..report };
        ledger.record_crash(&report, &BlockList::default(), at(900 + number * 100));
    }
    assert_eq!(decided(&mut ledger), None);
}

/// What was served since the crashes is heard after them, so that there must be time for it.
#[test]
fn a_decision_waits_for_what_was_served_since_crashes_that_are_reported_again() {
    let mut ledger = CrashLedger::default();
    restate(&mut ledger, &[0, 1, 2], 900);
    assert_eq!(ledger.decide(at(901), |_| true), None);
    ledger.record_served(&key(SHARED), at(800));
    ledger.record_served(&key(BAD), at(800));
    assert_eq!(decided(&mut ledger), None);
    restate(&mut ledger, &[0, 1, 2], 950);
    assert_eq!(decided(&mut ledger), None);
}

/// Guards against two instances that hold themselves for the first, and against one that decides for another.
#[test]
fn an_instance_that_only_counts_blocks_nothing_and_knows_as_much_as_the_first() {
    let mut standby = ledger(3);
    assert_eq!(standby.decide(at(10_000), |_| false), None);
    standby.record_blocked(&key(BAD), at(10_000));
    standby.record_served(&key(SHARED), at(150));
    assert_eq!(standby.decide(at(10_500), |_| true), None, "the block explains the crashes");
}

/// A trial goes on although a crash from before it is reported again.
#[rstest]
#[case::before_the_trial(Some(at(100)), false)]
#[case::during_the_trial(None, true)]
fn only_a_later_crash_ends_a_trial(#[case] crashed_at: Option<Instant>, #[case] ends: bool) {
    let mut ledger = ledger(0);
    let mut blocked = BlockList::default();
    blocked.block(key(BAD), 3, at(300));
    assert!(ledger.begin_trial(&key(BAD), at(600)));
    let report = CrashReport { crashed_at, ..crash(7, 50, &[SHARED, BAD]) };
    ledger.record_crash(&report, &blocked, at(650));
    assert_eq!(ledger.begin_trial(&key(BAD), at(700)), ends);
}

#[test]
fn kept_reports_leave_out_what_was_served_here_since() {
    let mut kept = KeptReports::default();
    kept.record(&crash(1, 50, &[SHARED, BAD]), at(100));
    kept.record(&crash(2, 150, &[SHARED, BAD]), at(200));
    let served = |wanted: &CauseKey| (*wanted == key(SHARED)).then(|| at(150));
    let restated = kept.restated(&"pools.model".into(), served);
    let expected = |number, sent, parts: &[PartId], known| CrashReport {
        crashed_at: Some(at(known)),
        ..crash(number, sent, parts)
    };
    assert_eq!(restated, [expected(1, 50, &[BAD], 100), expected(2, 150, &[SHARED, BAD], 200)]);
    assert!(kept.restated(&"pools.other".into(), |_| None).is_empty());
}
