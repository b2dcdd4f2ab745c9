//! Tests of the admission and queueing decisions of a pool owner.

mod support;

use std::time::Duration;

use coltsfootgate_core::owner::{GrantRequest, OwnerEvent, ReleaseResult};
use coltsfootgate_core::prelude::*;
use rstest::rstest;
use support::{OwnerDriver, endpoint, grant_request};

#[rstest]
#[case::higher_tier_first(&[(5, 0.0), (1, 0.0), (3, 0.0)], &[1, 3, 5])]
#[case::same_tier_by_arrival(&[(4, 0.0), (4, 0.0)], &[4, 4])]
#[case::floor_overtakes_higher_tier(&[(1, 0.0), (1, 0.0), (1, 0.0), (7, 0.5)], &[1, 1, 7, 1])]
fn waiting_requests_are_granted_by_tier_and_floor(
    #[case] requests: &[(u8, f64)],
    #[case] granted: &[u8],
) {
    let mut driver = OwnerDriver::new(1, 1);
    driver.request(grant_request(0, 1));
    for (index, (tier, floor)) in requests.iter().enumerate() {
        let mut request = grant_request(index as u64 + 1, *tier);
        request.floor = *floor;
        driver.request(request);
    }
    for _ in granted {
        driver.release_oldest(ReleaseResult::Completed);
    }
    assert_eq!(driver.granted_tiers()[1..], *granted);
}

#[rstest]
#[case::higher_displaces_lower(2, 6, ErrorKind::Displaced, 6)]
#[case::equal_is_refused(4, 4, ErrorKind::QueueFull, 4)]
#[case::lower_is_refused(6, 2, ErrorKind::QueueFull, 6)]
fn full_queue_sheds_the_lowest_tier(
    #[case] arriving: u8,
    #[case] waiting: u8,
    #[case] kind: ErrorKind,
    #[case] shed: u8,
) {
    let mut driver = OwnerDriver::new(1, 1);
    driver.request(grant_request(0, 1));
    driver.request(grant_request(1, waiting));
    let mut request = grant_request(2, arriving);
    request.queue_requests = u32::from(arriving == waiting);
    driver.request(request);
    let refused = driver.refusals();
    assert_eq!(refused, [(RequestTier::new(shed).unwrap(), kind)]);
}

#[test]
fn repeated_request_gets_the_same_grant() {
    let mut driver = OwnerDriver::new(2, 2);
    driver.request(grant_request(1, 3));
    driver.request(grant_request(1, 3));
    assert_eq!(driver.grant_count(), 2);
    assert_eq!(driver.in_flight(), 1);
}

#[test]
fn cancel_before_its_request_leaves_no_grant() {
    let mut driver = OwnerDriver::new(1, 1);
    let request = grant_request(1, 3);
    driver
        .handle(OwnerEvent::Cancel { requester: request.requester.clone(), grant: request.grant });
    driver.request(request);
    assert_eq!(driver.in_flight(), 0);
}

#[test]
fn waiting_request_is_refused_at_its_deadline() {
    let mut driver = OwnerDriver::new(1, 1);
    driver.request(grant_request(0, 1));
    let mut request = grant_request(1, 2);
    request.deadline = driver.now() + Duration::from_millis(50);
    driver.request(request);
    assert_eq!(driver.next_deadline(), Some(driver.now() + Duration::from_millis(50)));
    driver.advance(Duration::from_millis(50));
    let tier = RequestTier::new(2).unwrap();
    assert_eq!(driver.refusals(), [(tier, ErrorKind::DeadlinePassed)]);
}

#[rstest]
#[case::answer_fits(5_000, None)]
#[case::answer_would_be_late(1_000, Some(ErrorKind::DeadlineUnmeetable))]
fn waiting_request_is_refused_when_its_answer_would_be_late(
    #[case] timeout_ms: u64,
    #[case] kind: Option<ErrorKind>,
) {
    let mut driver = OwnerDriver::new(1, 1);
    for grant in 0..10 {
        driver.request(grant_request(grant, 2));
        driver.release(0, ReleaseResult::Completed, Duration::from_millis(100));
    }
    // Answers of this class had 10 tokens at 100 ms each, so a new one takes about one second.
    driver.request(grant_request(10, 2));
    let mut request = grant_request(11, 2);
    request.deadline = driver.now() + Duration::from_millis(timeout_ms);
    driver.request(request);
    driver.advance(Duration::from_millis(100));
    driver.release_oldest(ReleaseResult::Completed);
    assert_eq!(driver.refusals().first().map(|(_, kind)| *kind), kind);
}

/// A pool that settings drop, and that newer ones bring back while its slot is still in use.
#[test]
fn an_owner_without_endpoints_refuses_what_waits_and_keeps_the_slots_in_use() {
    let mut driver = OwnerDriver::new(1, 1);
    driver.request(grant_request(0, 1));
    driver.request(grant_request(1, 2));
    driver.handle(OwnerEvent::Endpoints(Vec::new()));
    assert_eq!(driver.refusals(), [(RequestTier::new(2).unwrap(), ErrorKind::NoEndpoint)]);
    driver.handle(OwnerEvent::Endpoints(vec![endpoint(0, 1)]));
    driver.request(grant_request(2, 1));
    assert_eq!((driver.grant_count(), driver.in_flight()), (1, 1));
    driver.release_oldest(ReleaseResult::Completed);
    assert_eq!((driver.grant_count(), driver.in_flight()), (2, 1));
}

/// The release of a grant can be lost, or go to another owner.
#[test]
fn a_grant_that_its_requester_does_not_hold_frees_its_slot() {
    let mut driver = OwnerDriver::new(1, 1);
    driver.request(grant_request(1, 3));
    driver.request(grant_request(2, 3));
    let requester = driver.held()[0].0.clone();
    driver.advance(Duration::from_secs(1));
    assert!(driver.take_unconfirmed().is_empty(), "its answer may be under way");
    driver.advance(Duration::from_secs(2));
    assert_eq!(driver.take_unconfirmed()[&requester], [1]);
    assert!(driver.take_unconfirmed().is_empty(), "it is asked for once in a while");
    driver.handle(OwnerEvent::Confirm { requester, asked: vec![1], held: Vec::new() });
    assert_eq!(driver.granted_ids(), [1, 2]);
    assert_eq!(driver.snapshot().activity.lost_grants, 1);
}

/// A request that runs for minutes is not asked for every few seconds, and keeps its slot.
#[test]
fn a_grant_that_is_held_is_checked_ever_less_often() {
    let mut driver = OwnerDriver::new(1, 1);
    driver.request(grant_request(1, 3));
    let mut checks = 0;
    for _ in 0..300 {
        driver.advance(Duration::from_secs(1));
        for (requester, grants) in driver.take_unconfirmed() {
            checks += 1;
            let (asked, held) = (grants.clone(), grants);
            driver.handle(OwnerEvent::Confirm { requester, asked, held });
        }
    }
    assert!((5..=10).contains(&checks), "{checks} checks in five minutes");
    assert_eq!(driver.in_flight(), 1);
}

/// The answers of a service become longer, since other requests come, while one endpoint with short ones
/// in its past answers nothing. The others are slow compared with it.
#[test]
fn endpoints_that_are_all_slow_are_not_all_restricted() {
    const SHORT: Duration = Duration::from_millis(5);
    const LONG: Duration = Duration::from_millis(60);
    let mut driver = OwnerDriver::without_tokens(3, 4);
    let mut grant = 0;
    let mut request = |driver: &mut OwnerDriver| {
        grant += 1;
        driver.request(grant_request(grant, 3));
    };
    for _ in 0..30 {
        request(&mut driver);
        driver.advance(SHORT);
        driver.release_with_latencies(0, SHORT, SHORT);
    }
    (0..12).for_each(|_| request(&mut driver));
    let silent = driver.held()[0].2.clone();
    for _ in 0..200 {
        driver.advance(LONG);
        if let Some(index) = driver.held().iter().position(|held| held.2 != silent) {
            driver.release_with_latencies(index, LONG, LONG);
        }
        request(&mut driver);
    }
    let running = driver.held().iter().filter(|held| held.2 != silent).count();
    assert!(running >= 4, "{running} requests run at two endpoints with four slots each");
}

/// Instances that were frozen report seconds for answers that took milliseconds. If all requests are refused
/// because of that, no answer corrects it.
#[rstest]
#[case::service(OwnerDriver::without_tokens(3, 4))]
#[case::model_engines(OwnerDriver::new(3, 4))]
fn a_wrong_time_of_answers_does_not_refuse_requests_for_long(#[case] mut driver: OwnerDriver) {
    const ANSWER_TIME: Duration = Duration::from_millis(10);
    const FROZEN_TIME: Duration = Duration::from_millis(6_600);
    const REFUSED_TIME_MAX: Duration = Duration::from_secs(2);
    let request = |driver: &mut OwnerDriver, grant| {
        let deadline = driver.now() + Duration::from_millis(500);
        driver.request(GrantRequest { deadline, ..grant_request(grant, 3) });
    };
    for grant in 0..30 {
        request(&mut driver, grant);
        driver.advance(ANSWER_TIME);
        driver.release_with_latencies(0, ANSWER_TIME, ANSWER_TIME);
    }
    (30..42).for_each(|grant| request(&mut driver, grant));
    driver.advance(FROZEN_TIME);
    while !driver.held().is_empty() {
        driver.release_with_latencies(0, FROZEN_TIME, FROZEN_TIME);
    }
    let resumed = driver.now();
    let mut last_refused = resumed;
    for grant in 42..542 {
        request(&mut driver, grant);
        driver.advance(ANSWER_TIME);
        if driver.held().is_empty() {
            last_refused = driver.now();
        } else {
            driver.release_with_latencies(0, ANSWER_TIME, ANSWER_TIME);
        }
    }
    let refused_time = last_refused - resumed;
    assert!(refused_time < REFUSED_TIME_MAX, "requests were refused for {refused_time:?}");
}

/// Requests of a low-tier class fill the queue of a customer's tier. Requests of a higher-tier class
/// that arrive later must displace them and be served first.
#[test]
fn higher_class_tier_displaces_lower_one_within_a_customer_tier() {
    let request_of_class_tier = |grant, tier| GrantRequest {
        tier: RequestTier::HIGHEST,
        stated_tier: RequestTier::new(tier).unwrap(),
        queue_requests: 4,
        ..grant_request(grant, 1)
    };
    let mut driver = OwnerDriver::new(1, 1);
    driver.request(request_of_class_tier(0, 6));
    for grant in 1..=4 {
        driver.request(request_of_class_tier(grant, 6));
    }
    for grant in 5..=8 {
        driver.request(request_of_class_tier(grant, 2));
    }
    let displaced = driver.refusals();
    assert_eq!(displaced.len(), 4, "{displaced:?}");
    assert!(displaced.iter().all(|(_, kind)| *kind == ErrorKind::Displaced), "{displaced:?}");
    for _ in 0..5 {
        driver.release_oldest(ReleaseResult::Completed);
    }
    assert_eq!(driver.granted_ids(), [0, 5, 6, 7, 8]);
    // A request of a lower class tier displaces none of a higher one.
    let mut driver = OwnerDriver::new(1, 1);
    for grant in 0..=4 {
        driver.request(request_of_class_tier(grant, 2));
    }
    driver.request(request_of_class_tier(5, 6));
    assert_eq!(driver.refusals().last().map(|(_, kind)| *kind), Some(ErrorKind::QueueFull));
}

/// Requests of a higher class tier use all slots for seconds each. Those of a lower one that hold a
/// slot for a moment must not wait until there are none left; long ones must.
#[rstest]
#[case::brief_requests_take_turns(100, &[1, 2, 1, 2, 1, 2, 1])]
#[case::long_requests_wait(1_900, &[1, 1, 1, 1, 2, 2, 2])]
fn brief_requests_of_a_lower_class_tier_are_not_starved(
    #[case] held_ms: u64,
    #[case] granted: &[u8],
) {
    let mut driver = OwnerDriver::new(1, 1);
    let request = |grant, class_tier: u8| GrantRequest {
        stated_tier: RequestTier::new(class_tier).unwrap(),
        ..grant_request(grant, 3)
    };
    for (grant, class_tier, held_ms) in [(1, 1, 2_000), (2, 2, held_ms)] {
        driver.request(request(grant, class_tier));
        driver.advance(Duration::from_millis(held_ms));
        driver.release_oldest(ReleaseResult::Completed);
    }
    // The first two find a slot, since the endpoint may run two requests by now.
    for grant in 3..=11 {
        driver.request(request(grant, if grant <= 8 { 1 } else { 2 }));
    }
    for _ in 0..granted.len() {
        driver.release_oldest(ReleaseResult::Completed);
    }
    let class_tier = |grant: &GrantId| if *grant <= 8 { 1 } else { 2 };
    let served: Vec<u8> = driver.granted_ids()[4..].iter().map(class_tier).collect();
    assert_eq!(served, granted);
}
