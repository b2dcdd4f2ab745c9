//! Cases of endpoints that are slow, lost, leaving or adapted.

mod support;

use std::time::Duration;

use coltsfootgate_core::owner::{EndpointState, OwnerAction, OwnerEvent, ReleaseResult};
use coltsfootgate_core::prelude::*;
use rstest::rstest;
use support::{OwnerDriver, endpoint, grant_request};

/// Mean time between tokens of a healthy endpoint.
const USUAL: Duration = Duration::from_millis(10);
/// Mean time between tokens of a straggler.
const SLOW: Duration = Duration::from_millis(60);

fn state(driver: &OwnerDriver, number: u32) -> EndpointState {
    let id = endpoint(number, 1).id;
    let endpoints = driver.snapshot().endpoints;
    endpoints.iter().find(|endpoint| endpoint.endpoint == id).expect("a known endpoint").state
}

/// Serves requests, endpoint 0 at its own speed, until it has given this many answers.
fn serve(driver: &mut OwnerDriver, answers: u32, speed: Duration, first_grant: GrantId) -> GrantId {
    let straggler = endpoint(0, 1).id;
    let mut grant = first_grant;
    let mut given = 0;
    while given < answers {
        driver.ask(grant_request(grant, 3));
        grant += 1;
        let is_slow = driver.held()[0].2 == straggler;
        given += u32::from(is_slow);
        let between_tokens = if is_slow { speed } else { USUAL };
        driver.release(0, ReleaseResult::Completed, between_tokens);
        driver.advance(Duration::from_millis(100));
    }
    grant
}

#[test]
fn straggler_is_reduced_then_probed_and_comes_back() {
    let mut driver = OwnerDriver::new(3, 1);
    let grant = serve(&mut driver, 5, SLOW, 0);
    assert_eq!(state(&driver, 0), EndpointState::Reduced);
    let grant = serve(&mut driver, 4, SLOW, grant);
    assert_eq!(state(&driver, 0), EndpointState::Probing);
    let grant = serve(&mut driver, 3, USUAL, grant);
    assert_eq!(state(&driver, 0), EndpointState::Reduced);
    serve(&mut driver, 3, USUAL, grant);
    assert_eq!(state(&driver, 0), EndpointState::Healthy);
    assert_eq!(state(&driver, 1), EndpointState::Healthy);
}

#[rstest]
#[case::refused_connection(ReleaseResult::ConnectFailed, 1)]
#[case::silence(ReleaseResult::Silent, 1)]
#[case::three_failures(ReleaseResult::Failed, 3)]
fn lost_endpoint_is_ejected_until_a_probe_succeeds(
    #[case] result: ReleaseResult,
    #[case] times: u64,
) {
    let mut driver = OwnerDriver::new(1, 1);
    for grant in 0..times {
        driver.ask(grant_request(grant, 3));
        driver.release(0, result, USUAL);
    }
    assert_eq!(state(&driver, 0), EndpointState::Ejected);
    assert_eq!(driver.state_changes(), [EndpointState::Ejected]);
    driver.ask(grant_request(10, 3));
    assert_eq!(driver.refusals().last().map(|(_, kind)| *kind), Some(ErrorKind::NoEndpoint));
    let lost = endpoint(0, 1).id;
    let probes = driver.advance(Duration::from_millis(250));
    assert_eq!(probes, [OwnerAction::Probe { endpoint: lost.clone() }]);
    driver.event(OwnerEvent::ProbeResult { endpoint: lost.clone(), alive: false });
    assert_eq!(driver.advance(Duration::from_millis(250)), []);
    assert_eq!(driver.advance(Duration::from_millis(250)).len(), 1);
    driver.event(OwnerEvent::ProbeResult { endpoint: lost, alive: true });
    assert_eq!(state(&driver, 0), EndpointState::Probing);
    assert_eq!(driver.state_changes(), [EndpointState::Ejected, EndpointState::Probing]);
    driver.ask(grant_request(11, 3));
    assert_eq!(driver.in_flight(), 1);
}

#[test]
fn waiting_requests_are_refused_when_the_last_endpoint_is_lost() {
    let mut driver = OwnerDriver::new(1, 1);
    driver.ask(grant_request(0, 1));
    driver.ask(grant_request(1, 4));
    driver.release(0, ReleaseResult::ConnectFailed, USUAL);
    assert_eq!(driver.refusals(), [(RequestTier::new(4).unwrap(), ErrorKind::NoEndpoint)]);
}

#[test]
fn leaving_endpoint_gets_nothing_and_finishes_what_it_has() {
    let mut driver = OwnerDriver::new(2, 1);
    driver.ask(grant_request(0, 1));
    let leaving = driver.held()[0].2.clone();
    driver.event(OwnerEvent::EndpointDraining { endpoint: leaving.clone() });
    for grant in 1..5 {
        driver.ask(grant_request(grant, 1));
        driver.release(1, ReleaseResult::Completed, USUAL);
    }
    assert_eq!(driver.granted_endpoints().iter().filter(|id| **id == leaving).count(), 1);
    assert_eq!(driver.in_flight(), 1);
}

#[rstest]
#[case::fast_engine_gets_more(10, 20, 16)]
#[case::slow_engine_gets_fewer(60, 120, 4)]
fn slots_follow_the_time_between_tokens(
    #[case] between_tokens: u64,
    #[case] first_token: u64,
    #[case] slots: u32,
) {
    let mut driver = busy_driver();
    for _ in 0..300 {
        driver.release_at(
            0,
            Duration::from_millis(first_token),
            Duration::from_millis(between_tokens),
        );
    }
    assert_eq!(driver.snapshot().endpoints[0].slots, slots);
}

#[test]
fn slots_stay_at_what_the_engine_runs_at_once() {
    const BATCH: u32 = 10;
    let mut driver = busy_driver();
    let mut counts = Vec::new();
    for _ in 0..1000 {
        let slots = driver.snapshot().endpoints[0].slots;
        counts.push(slots);
        // A request beyond the batch waits until one of the others ends.
        let first_token = if slots > BATCH { 120 } else { 15 };
        driver.release_at(0, Duration::from_millis(first_token), USUAL);
    }
    assert_eq!(counts.iter().max(), Some(&(BATCH + 1)));
    let beyond = counts.iter().filter(|slots| **slots > BATCH).count();
    assert!(beyond < 100, "{beyond} of 1000 answers with a slot too many");
    assert!(counts[900..].iter().all(|slots| *slots >= BATCH - 1));
}

/// An owner of one endpoint of eight slots, with many requests waiting.
fn busy_driver() -> OwnerDriver {
    let mut driver = OwnerDriver::new(1, 8);
    for grant in 0..1100 {
        let mut request = grant_request(grant, 3);
        request.queue_requests = 2000;
        driver.ask(request);
    }
    driver
}

#[test]
fn warm_endpoint_is_chosen_while_it_is_not_much_busier() {
    let mut driver = OwnerDriver::new(2, 8);
    let mut request = grant_request(0, 3);
    request.prefix = Some(9);
    driver.ask(request);
    let warm = driver.held()[0].2.clone();
    for grant in 1..8 {
        let mut request = grant_request(grant, 3);
        request.prefix = Some(9);
        driver.ask(request);
    }
    let counts = driver.granted_endpoints().iter().filter(|id| **id == warm).count();
    assert!((5..8).contains(&counts), "{counts} of 8 at the warm endpoint");
}

/// An endpoint that is quick and fails half of its requests gets less than its part.
#[test]
fn an_endpoint_that_fails_some_requests_is_passed_over() {
    let mut driver = OwnerDriver::new(3, 6);
    let mut grants = [0_u32; 2];
    for number in 0..300 {
        driver.advance(Duration::from_millis(40));
        driver.ask(grant_request(number, 1));
        let (_, _, endpoint) = driver.held()[0].clone();
        let is_grey = &*endpoint == "endpoints.e0";
        grants[usize::from(is_grey)] += 1;
        let fails = is_grey && number % 2 == 0;
        let result = if fails { ReleaseResult::Failed } else { ReleaseResult::Completed };
        driver.release(0, result, Duration::from_millis(30));
    }
    assert!(grants[1] * 10 <= grants[0], "{grants:?}");
    assert!(grants[1] > 0, "it is never tried again");
}

/// All endpoints fail half of their requests: none of them may be taken out for that.
#[test]
fn endpoints_that_all_fail_alike_stay_in_service() {
    let mut driver = OwnerDriver::new(4, 6);
    let mut random = 7_u64;
    for number in 0..600 {
        driver.advance(Duration::from_millis(10));
        driver.ask(grant_request(number, 1));
        assert!(!driver.held().is_empty(), "request {number} found no endpoint");
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let fails = number > 20 && (random >> 33) % 100 < 45;
        let result = if fails { ReleaseResult::Failed } else { ReleaseResult::Completed };
        driver.release(0, result, Duration::from_millis(30));
    }
}

/// Most endpoints of a pool answer errors at once; the others are sound, and take a while.
#[rstest]
#[case::half(6)]
#[case::most(8)]
#[case::all_but_two(10)]
fn endpoints_that_answer_errors_are_passed_over(#[case] failing: u32) {
    const ENDPOINTS: u32 = 12;
    let is_failing = |id: &EndpointId| (0..failing).any(|number| endpoint(number, 8).id == *id);
    let mut driver = OwnerDriver::new(ENDPOINTS, 8);
    let mut failed = 0;
    for grant in 0..600 {
        driver.ask(grant_request(grant, 3));
        driver.advance(Duration::from_millis(10));
        while let Some(index) = driver.held().iter().position(|(.., id)| is_failing(id)) {
            driver.release(index, ReleaseResult::Failed, USUAL);
            failed += u32::from(grant >= 100);
        }
        if driver.held().len() >= 4 {
            driver.release(0, ReleaseResult::Completed, USUAL);
        }
    }
    // A second is enough to tell them apart; later ones are looked at now and then.
    assert!(failed <= 50, "{failed} of 500 failed");
}
