//! Tests of endpoint health, concurrency limits and the choice of an endpoint.

mod support;

use std::time::Duration;

use coltsfootgate_core::owner::{EndpointState, OwnerAction, OwnerEvent, ReleaseResult};
use coltsfootgate_core::prelude::*;
use rstest::rstest;
use support::{OwnerDriver, endpoint, grant_request};

/// Mean time between tokens of a healthy endpoint.
const HEALTHY_TOKEN_TIME: Duration = Duration::from_millis(10);
/// Mean time between tokens of a straggler.
const SLOW_TOKEN_TIME: Duration = Duration::from_millis(60);

fn state(driver: &OwnerDriver, number: u32) -> EndpointState {
    let id = endpoint(number, 1).id;
    let endpoints = driver.snapshot().endpoints;
    endpoints.iter().find(|endpoint| endpoint.endpoint == id).expect("a known endpoint").state
}

/// Serves requests until endpoint 0 has completed `answers` of them, each at `token_time`; the other
/// endpoints answer at the healthy token time. Returns the next unused grant id.
fn serve(
    driver: &mut OwnerDriver,
    answers: u32,
    token_time: Duration,
    first_grant: GrantId,
) -> GrantId {
    let straggler = endpoint(0, 1).id;
    let mut grant = first_grant;
    let mut completed = 0;
    while completed < answers {
        driver.request(grant_request(grant, 3));
        grant += 1;
        let is_straggler = driver.held()[0].2 == straggler;
        completed += u32::from(is_straggler);
        let between_tokens = if is_straggler { token_time } else { HEALTHY_TOKEN_TIME };
        driver.release(0, ReleaseResult::Completed, between_tokens);
        driver.advance(Duration::from_millis(100));
    }
    grant
}

#[test]
fn straggler_is_reduced_then_probed_and_recovers() {
    let mut driver = OwnerDriver::new(3, 1);
    let grant = serve(&mut driver, 5, SLOW_TOKEN_TIME, 0);
    assert_eq!(state(&driver, 0), EndpointState::Reduced);
    let grant = serve(&mut driver, 4, SLOW_TOKEN_TIME, grant);
    assert_eq!(state(&driver, 0), EndpointState::Probing);
    let grant = serve(&mut driver, 3, HEALTHY_TOKEN_TIME, grant);
    assert_eq!(state(&driver, 0), EndpointState::Reduced);
    serve(&mut driver, 3, HEALTHY_TOKEN_TIME, grant);
    assert_eq!(state(&driver, 0), EndpointState::Healthy);
    assert_eq!(state(&driver, 1), EndpointState::Healthy);
}

#[rstest]
#[case::refused_connection(ReleaseResult::ConnectFailed, 1)]
#[case::silence(ReleaseResult::Silent, 1)]
#[case::three_lost_connections(ReleaseResult::ConnectionLost, 3)]
#[case::six_errors(ReleaseResult::Failed, 6)]
fn lost_endpoint_is_ejected_until_a_probe_succeeds(
    #[case] result: ReleaseResult,
    #[case] times: u64,
) {
    let mut driver = OwnerDriver::new(1, 1);
    for grant in 0..times {
        driver.request(grant_request(grant, 3));
        driver.release(0, result, HEALTHY_TOKEN_TIME);
    }
    assert_eq!(state(&driver, 0), EndpointState::Ejected);
    assert_eq!(driver.state_changes(), [EndpointState::Ejected]);
    driver.request(grant_request(10, 3));
    assert_eq!(driver.refusals().last().map(|(_, kind)| *kind), Some(ErrorKind::NoEndpoint));
    let lost = endpoint(0, 1).id;
    let probes = driver.advance(Duration::from_millis(250));
    assert_eq!(probes, [OwnerAction::Probe { endpoint: lost.clone() }]);
    driver.handle(OwnerEvent::ProbeResult { endpoint: lost.clone(), alive: false });
    assert_eq!(driver.advance(Duration::from_millis(250)), []);
    assert_eq!(driver.advance(Duration::from_millis(250)).len(), 1);
    driver.handle(OwnerEvent::ProbeResult { endpoint: lost, alive: true });
    assert_eq!(state(&driver, 0), EndpointState::Probing);
    assert_eq!(driver.state_changes(), [EndpointState::Ejected, EndpointState::Probing]);
    driver.request(grant_request(11, 3));
    assert_eq!(driver.in_flight(), 1);
}

#[test]
fn waiting_requests_are_refused_when_the_last_endpoint_is_lost() {
    let mut driver = OwnerDriver::new(1, 1);
    driver.request(grant_request(0, 1));
    driver.request(grant_request(1, 4));
    driver.release(0, ReleaseResult::ConnectFailed, HEALTHY_TOKEN_TIME);
    assert_eq!(driver.refusals(), [(RequestTier::new(4).unwrap(), ErrorKind::NoEndpoint)]);
}

#[test]
fn draining_endpoint_keeps_its_requests_and_gets_no_new_ones() {
    let mut driver = OwnerDriver::new(2, 1);
    driver.request(grant_request(0, 1));
    let draining = driver.held()[0].2.clone();
    driver.handle(OwnerEvent::EndpointDraining { endpoint: draining.clone() });
    for grant in 1..5 {
        driver.request(grant_request(grant, 1));
        driver.release(1, ReleaseResult::Completed, HEALTHY_TOKEN_TIME);
    }
    assert_eq!(driver.granted_endpoints().iter().filter(|id| **id == draining).count(), 1);
    assert_eq!(driver.in_flight(), 1);
}

#[rstest]
#[case::fast_engine_gets_more_slots(10, 20, 16)]
#[case::slow_engine_gets_fewer_slots(60, 120, 4)]
fn slots_follow_the_time_between_tokens(
    #[case] between_tokens: u64,
    #[case] first_token: u64,
    #[case] slots: u32,
) {
    let mut driver = busy_driver();
    for _ in 0..300 {
        driver.release_with_latencies(
            0,
            Duration::from_millis(first_token),
            Duration::from_millis(between_tokens),
        );
    }
    assert_eq!(driver.snapshot().endpoints[0].slots, slots);
}

#[test]
fn slots_stay_near_the_batch_size_of_the_engine() {
    const BATCH_SIZE: u32 = 10;
    let mut driver = busy_driver();
    let mut counts = Vec::new();
    for _ in 0..1000 {
        let slots = driver.snapshot().endpoints[0].slots;
        counts.push(slots);
        // A request beyond the batch size waits until a running one ends.
        let first_token = if slots > BATCH_SIZE { 120 } else { 15 };
        driver.release_with_latencies(0, Duration::from_millis(first_token), HEALTHY_TOKEN_TIME);
    }
    assert_eq!(counts.iter().max(), Some(&(BATCH_SIZE + 1)));
    let beyond = counts.iter().filter(|slots| **slots > BATCH_SIZE).count();
    assert!(beyond < 100, "{beyond} of 1000 answers came with too many slots");
    assert!(counts[900..].iter().all(|slots| *slots >= BATCH_SIZE - 1));
}

/// A driver with one endpoint of eight slots and many waiting requests.
fn busy_driver() -> OwnerDriver {
    let mut driver = OwnerDriver::new(1, 8);
    for grant in 0..1100 {
        let mut request = grant_request(grant, 3);
        request.queue_requests = 2000;
        driver.request(request);
    }
    driver
}

#[test]
fn endpoint_with_cached_prefix_is_preferred_unless_much_busier() {
    let mut driver = OwnerDriver::new(2, 8);
    let mut request = grant_request(0, 3);
    request.prefix = Some(9);
    driver.request(request);
    let cached = driver.held()[0].2.clone();
    for grant in 1..8 {
        let mut request = grant_request(grant, 3);
        request.prefix = Some(9);
        driver.request(request);
    }
    let counts = driver.granted_endpoints().iter().filter(|id| **id == cached).count();
    assert!((5..8).contains(&counts), "{counts} of 8 at the endpoint with the cached prefix");
}

/// An endpoint that responds quickly but fails half of its requests has few requests in flight. The
/// choice by load must not send it its full share.
#[test]
fn endpoint_with_a_high_error_rate_is_avoided() {
    let mut driver = OwnerDriver::new(3, 6);
    let mut grants = [0_u32; 2];
    for number in 0..300 {
        driver.advance(Duration::from_millis(40));
        driver.request(grant_request(number, 1));
        let (_, _, endpoint) = driver.held()[0].clone();
        let is_faulty = &*endpoint == "endpoints.e0";
        grants[usize::from(is_faulty)] += 1;
        let fails = is_faulty && number % 2 == 0;
        let result = if fails { ReleaseResult::Failed } else { ReleaseResult::Completed };
        driver.release(0, result, Duration::from_millis(30));
    }
    assert!(grants[1] * 10 <= grants[0], "{grants:?}");
    assert!(grants[1] > 0, "the faulty endpoint is never tried again");
}

/// All endpoints fail 45 % of their requests, so none of them may be ejected for it.
#[test]
fn endpoints_with_equal_error_rates_stay_in_service() {
    let mut driver = OwnerDriver::new(4, 6);
    let mut random = 7_u64;
    for number in 0..600 {
        driver.advance(Duration::from_millis(10));
        driver.request(grant_request(number, 1));
        assert!(!driver.held().is_empty(), "request {number} found no endpoint");
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let fails = number > 20 && (random >> 33) % 100 < 45;
        let result = if fails { ReleaseResult::Failed } else { ReleaseResult::Completed };
        driver.release(0, result, Duration::from_millis(30));
    }
}

/// Most endpoints of a pool return errors at once. The sound ones need time for an answer and are
/// therefore busier, but must be preferred.
#[rstest]
#[case::half(6)]
#[case::most(8)]
#[case::all_but_two(10)]
fn failing_majority_of_endpoints_is_avoided(#[case] failing: u32) {
    const ENDPOINTS: u32 = 12;
    let is_failing = |id: &EndpointId| (0..failing).any(|number| endpoint(number, 8).id == *id);
    let mut driver = OwnerDriver::new(ENDPOINTS, 8);
    let mut failed = 0;
    for grant in 0..600 {
        driver.request(grant_request(grant, 3));
        driver.advance(Duration::from_millis(10));
        while let Some(index) = driver.held().iter().position(|(.., id)| is_failing(id)) {
            driver.release(index, ReleaseResult::Failed, HEALTHY_TOKEN_TIME);
            failed += u32::from(grant >= 100);
        }
        if driver.held().len() >= 4 {
            driver.release(0, ReleaseResult::Completed, HEALTHY_TOKEN_TIME);
        }
    }
    // The first 100 requests, one second, identify the failing endpoints. Later failures come from
    // occasional requests that test whether they have recovered.
    assert!(failed <= 50, "{failed} of 500 failed");
}
