//! Tests of the limits that endpoints state on the rate of requests from all callers together.

mod support;

use std::time::{Duration, Instant};

use coltsfootgate_core::endpoint_limit::{
    EndpointLimiter, LIMIT_RATE_MIN, LimitBook, LimitNotice, LimitStatement,
};
use coltsfootgate_core::owner::{GrantRequest, OwnerAction, OwnerEvent, ReleaseResult};
use coltsfootgate_core::prelude::*;
use coltsfootgate_core::prompt::PromptLoad;
use rstest::rstest;
use support::{OwnerDriver, START, endpoint, grant_request};

/// Interval between two requests to an owner; far shorter than any limit of the tests allows.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Span over which the platform compares the requests of a replica with its limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

fn statement(notice: LimitNotice, sent_at: Instant, answered_at: Instant) -> LimitStatement {
    LimitStatement { endpoint: endpoint(0, 1).id, notice, sent_at, answered_at }
}

/// What an answer states that arrived at once.
fn stated_at(notice: LimitNotice, now: Instant) -> LimitStatement {
    statement(notice, now, now)
}

fn state_limit(driver: &mut OwnerDriver, notice: LimitNotice) -> Vec<OwnerAction> {
    let statement = stated_at(notice, driver.now());
    driver.handle(OwnerEvent::LimitStated(statement))
}

/// A request for a grant that does not wait, of an engine's prompt or of a plain service.
fn request(driver: &OwnerDriver, grant: GrantId, is_prompt: bool) -> GrantRequest {
    let prompt = PromptLoad {
        tokens: 200,
        answer_tokens: 20,
        first_token_target: Duration::from_millis(300),
        between_tokens_target: Duration::from_millis(100),
        ..PromptLoad::default()
    };
    GrantRequest {
        arrived: driver.now(),
        prompt: if is_prompt { prompt } else { PromptLoad::default() },
        wait: false,
        ..grant_request(grant, 3)
    }
}

/// Requests grants for a time, each held for a moment; returns when endpoint 0 got one.
fn load_owner(driver: &mut OwnerDriver, time: Duration, is_prompt: bool) -> Vec<Instant> {
    let (end, limited) = (driver.now() + time, endpoint(0, 1).id);
    let mut grants = Vec::new();
    while driver.now() < end {
        let grant = GrantId::try_from(driver.now().duration_since(*START).as_micros()).unwrap();
        let granted = driver.granted_endpoints().len();
        driver.request(request(driver, grant, is_prompt));
        let endpoints = driver.granted_endpoints();
        assert!(endpoints.len() > granted, "no request waits while another endpoint is free");
        if endpoints.last() == Some(&limited) {
            grants.push(driver.now());
        }
        if driver.held().len() > 4 {
            driver.release_oldest(ReleaseResult::Completed);
        }
        driver.advance(REQUEST_INTERVAL);
    }
    grants
}

fn largest_window(grants: &[Instant]) -> usize {
    let within = |start: &Instant| {
        grants.iter().filter(|at| *at >= start && **at < *start + LIMIT_WINDOW).count()
    };
    grants.iter().map(within).max().unwrap_or(0)
}

/// The platform allows half as much again as the limit, and 5 requests.
fn allowed(limit: f64) -> usize {
    (limit * LIMIT_WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

#[rstest]
#[case::engine(2.0, true)]
#[case::service(2.0, false)]
#[case::high_limit(20.0, true)]
#[case::near_zero(0.01, false)]
#[case::zero(0.0, true)]
fn owner_grants_no_more_than_the_limit_of_an_endpoint(#[case] limit: f64, #[case] is_prompt: bool) {
    let mut driver = OwnerDriver::new(3, 64);
    state_limit(&mut driver, LimitNotice::Limited(limit));
    let grants = load_owner(&mut driver, Duration::from_secs(20), is_prompt);
    assert!(largest_window(&grants) <= allowed(limit), "{grants:?}");
    // It gets its share, unless others are free, and one that accepts nothing is still asked.
    let share = limit.clamp(LIMIT_RATE_MIN, 2.0) * 20.0 * 0.7;
    assert!(grants.len() as f64 >= share.floor(), "{} grants", grants.len());
}

/// A value that changes from answer to answer must not fill the bucket.
#[test]
fn owner_keeps_to_a_limit_that_changes_with_each_answer() {
    let mut driver = OwnerDriver::new(3, 64);
    let mut grants = Vec::new();
    for limit in (0..200).map(|answer| 2.0 + f64::from(answer % 2)) {
        state_limit(&mut driver, LimitNotice::Limited(limit));
        grants.extend(load_owner(&mut driver, Duration::from_millis(100), false));
    }
    assert!(largest_window(&grants) <= allowed(2.0), "{grants:?}");
}

#[test]
fn waiting_request_is_granted_as_soon_as_the_limit_allows() {
    let mut driver = OwnerDriver::new(1, 64);
    state_limit(&mut driver, LimitNotice::Limited(2.0));
    driver.request(GrantRequest { wait: true, ..request(&driver, 1, false) });
    assert_eq!(driver.grant_count(), 0);
    let due = driver.next_deadline().expect("a time at which the limit allows the request");
    let wait = due.duration_since(driver.now());
    assert!(wait <= Duration::from_millis(510), "{wait:?}");
    driver.advance(wait);
    assert_eq!(driver.grant_count(), 1);
}

/// Predicted waits and free slots must not count slots that the limit leaves unused.
#[test]
fn slots_beyond_the_limit_are_not_reported_as_free() {
    let mut driver = OwnerDriver::new(1, 64);
    driver.request(request(&driver, 1, false));
    driver.advance(Duration::from_millis(100));
    driver.release_oldest(ReleaseResult::Completed);
    state_limit(&mut driver, LimitNotice::Limited(2.0));
    let pressure = driver.snapshot().pressure;
    assert_eq!((pressure.free_slots, pressure.slots), (0, 0));
    assert_eq!(pressure.grant_interval, Duration::from_millis(500));
}

#[test]
fn unused_grants_are_returned_to_the_limit() {
    let mut driver = OwnerDriver::new(1, 64);
    state_limit(&mut driver, LimitNotice::Limited(2.0));
    driver.advance(Duration::from_secs(1));
    for grant in 0..5 {
        driver.request(request(&driver, grant, false));
        assert_eq!(driver.grant_count(), grant as usize + 1);
        driver.release_oldest(ReleaseResult::NotSent);
    }
    driver.request(request(&driver, 9, false));
    assert_eq!(driver.grant_count(), 6);
    driver.request(request(&driver, 10, false));
    assert_eq!(driver.grant_count(), 6);
}

/// The entry instance checks grants that the owner did not count towards a limit.
#[test]
fn grants_state_whether_they_count_towards_a_limit() {
    let mut driver = OwnerDriver::new(1, 64);
    driver.request(request(&driver, 1, false));
    state_limit(&mut driver, LimitNotice::Limited(2.0));
    driver.advance(Duration::from_secs(1));
    driver.request(request(&driver, 2, false));
    let paced = driver.actions().iter().filter_map(|action| match action {
        OwnerAction::Grant { is_paced, .. } => Some(*is_paced),
        _ => None,
    });
    assert_eq!(paced.collect::<Vec<_>>(), [false, true]);
}

/// A replica's next process is another endpoint, which has stated no limit.
#[test]
fn limit_ends_with_its_endpoint() {
    let mut driver = OwnerDriver::new(1, 64);
    state_limit(&mut driver, LimitNotice::Limited(0.0));
    driver.handle(OwnerEvent::Endpoints(vec![endpoint(1, 64)]));
    driver.request(request(&driver, 1, false));
    assert_eq!(driver.granted_endpoints(), [endpoint(1, 64).id]);
}

#[rstest]
#[case::decimal("2.5", LimitNotice::Limited(2.5))]
#[case::zero("0", LimitNotice::Limited(0.0))]
#[case::spaces(" 3 ", LimitNotice::Limited(3.0))]
#[case::text("few", LimitNotice::Malformed)]
#[case::empty("", LimitNotice::Malformed)]
#[case::negative("-1", LimitNotice::Malformed)]
#[case::infinite("inf", LimitNotice::Malformed)]
#[case::not_a_number("NaN", LimitNotice::Malformed)]
#[case::two_values("1, 2", LimitNotice::Malformed)]
fn limits_are_parsed(#[case] text: &str, #[case] expected: LimitNotice) {
    assert_eq!(LimitNotice::parse(Some(text.as_bytes())), expected);
    assert_eq!(LimitNotice::parse(None), LimitNotice::Unlimited);
}

/// Times are milliseconds after the answer that stated the limit.
#[rstest]
#[case::request_after_it(LimitNotice::Unlimited, 1_500, 1_600, None)]
#[case::request_before_it(LimitNotice::Unlimited, 0, 4_000, Some(2.0))]
#[case::request_about_the_same_time(LimitNotice::Unlimited, 500, 600, Some(2.0))]
#[case::malformed(LimitNotice::Malformed, 1_500, 1_600, Some(2.0))]
#[case::another_limit(LimitNotice::Limited(3.0), 1_500, 1_600, Some(3.0))]
fn only_later_answers_change_a_limit(
    #[case] notice: LimitNotice,
    #[case] sent_ms: u64,
    #[case] answered_ms: u64,
    #[case] expected: Option<f64>,
) {
    let after = |milliseconds| *START + Duration::from_millis(milliseconds);
    let mut limiter = EndpointLimiter::new(1);
    assert!(limiter.observe(&stated_at(LimitNotice::Limited(2.0), *START), *START));
    let now = after(answered_ms);
    limiter.observe(&statement(notice, after(sent_ms), now), now);
    assert_eq!(limiter.stated_rate(), expected);
}

/// An instance that has not noticed the end of a limit must not revive it at the owner.
#[test]
fn outdated_limit_does_not_return() {
    let (mut limiter, later) = (EndpointLimiter::new(1), *START + Duration::from_secs(2));
    let limited = stated_at(LimitNotice::Limited(2.0), *START);
    limiter.observe(&limited, *START);
    limiter.observe(&stated_at(LimitNotice::Unlimited, later), later);
    assert!(!limiter.observe(&limited, later));
    assert_eq!(limiter.stated_rate(), None);
    assert!(limiter.observe(&stated_at(LimitNotice::Limited(1.0), later), later));
}

/// Instances without an owner divide the limit, and none may use its part at once.
#[test]
fn shares_of_instances_do_not_exceed_the_limit() {
    let mut books: Vec<LimitBook> = (0..9).map(|_| LimitBook::default()).collect();
    let limited = stated_at(LimitNotice::Limited(2.0), *START);
    for book in &mut books {
        book.set_instances(9);
        assert!(book.observe(&limited, *START));
    }
    let mut admitted = Vec::new();
    for step in 0..900 {
        let now = *START + REQUEST_INTERVAL * step;
        let count = books.iter_mut().map(|book| book.admit(&limited.endpoint, now));
        admitted.extend(count.filter(|is_admitted| *is_admitted).map(|_| now));
    }
    assert!(largest_window(&admitted) <= allowed(2.0), "{admitted:?}");
    assert!(!admitted.is_empty());
}

/// A limit that no answer has confirmed for long no longer holds back what owners grant.
#[test]
fn instance_relies_on_its_own_observation_for_a_limited_time() {
    let mut book = LimitBook::default();
    book.set_instances(9);
    let limited = stated_at(LimitNotice::Limited(0.0), *START);
    book.observe(&limited, *START);
    assert!(!book.admit(&limited.endpoint, *START + Duration::from_secs(5)));
    assert_eq!(book.known(*START + Duration::from_secs(5)), std::slice::from_ref(&limited));
    assert!(book.admit(&limited.endpoint, *START + Duration::from_secs(11)));
}

/// Each of several instances seldom gets an answer of an endpoint with a low limit. The one that got the
/// last may fail together with the owner.
#[test]
fn new_owner_is_told_of_a_limit_that_no_answer_confirmed_for_a_while() {
    let mut book = LimitBook::default();
    let limited = stated_at(LimitNotice::Limited(0.0), *START);
    book.observe(&limited, *START);
    assert_eq!(book.known(*START + Duration::from_secs(40)), std::slice::from_ref(&limited));
    assert_eq!(book.known(*START + Duration::from_secs(61)), []);
    // The first answer ends it if it is out of date.
    let mut limiter = EndpointLimiter::new(1);
    let now = *START + Duration::from_secs(40);
    limiter.observe(&limited, now);
    assert!(limiter.observe(&stated_at(LimitNotice::Unlimited, now), now));
}

/// An endpoint whose limit leaves it almost idle answers faster than those that serve the others'
/// requests. These must not be taken for stragglers.
#[test]
fn loaded_endpoint_is_not_a_straggler_beside_one_that_its_limit_leaves_idle() {
    let mut driver = OwnerDriver::new(2, 64);
    state_limit(&mut driver, LimitNotice::Limited(2.0));
    let (idle, loaded) = (Duration::from_millis(2), Duration::from_millis(10));
    for grant in 0..200 {
        driver.request(request(&driver, grant, false));
        let is_limited = driver.held()[0].2 == endpoint(0, 1).id;
        let answer_time = if is_limited { idle } else { loaded };
        driver.release_with_latencies(0, answer_time, answer_time);
        driver.advance(Duration::from_millis(20));
    }
    assert_eq!(driver.state_changes(), []);
}
