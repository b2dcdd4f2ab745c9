//! Tests that the failures of an instance without a path do not restrict endpoints that serve others.

mod support;

use std::time::Duration;

use rstest::rstest;

use coltsfootgate_core::owner::{
    EndpointState, GrantRequest, OwnerEvent, ReleaseReport, ReleaseResult,
};
use coltsfootgate_core::prelude::*;
use support::{OwnerDriver, grant_request};

const ENDPOINTS: u32 = 12;
const CUT: &str = "127.0.0.1:9001";
const SOUND: &str = "127.0.0.1:9002";
const STEP: Duration = Duration::from_millis(10);
/// Requests of each instance.
const REQUESTS: u64 = 200;

/// Serves a request of an instance to an end.
fn serve(driver: &mut OwnerDriver, requester: &str, grant: GrantId, result: ReleaseResult) {
    let requester = InstanceId::from(requester);
    let request = GrantRequest { requester: requester.clone(), ..grant_request(grant, 1) };
    let before = driver.granted_endpoints().len();
    driver.request(request);
    let Some(endpoint) = driver.granted_endpoints().get(before).cloned() else { return };
    driver.handle(OwnerEvent::Release(report(&requester, grant, endpoint, result)));
}

fn report(
    requester: &str,
    grant: GrantId,
    endpoint: EndpointId,
    result: ReleaseResult,
) -> ReleaseReport {
    ReleaseReport {
        requester: requester.into(),
        grant,
        endpoint,
        tokens: 10,
        first_token: Some(Duration::from_millis(100)),
        between_tokens: Some(Duration::from_millis(20)),
        result,
    }
}

fn restricted(driver: &OwnerDriver) -> usize {
    let endpoints = driver.snapshot().endpoints;
    endpoints.iter().filter(|one| one.state != EndpointState::Healthy).count()
}

/// One endpoint may be in doubt at a time: a first failure looks like the endpoint's own.
#[rstest]
#[case::connects_fail(ReleaseResult::ConnectFailed)]
#[case::connections_are_lost(ReleaseResult::ConnectionLost)]
#[case::answers_do_not_come(ReleaseResult::Silent)]
fn an_instance_without_a_path_restricts_no_endpoints(#[case] result: ReleaseResult) {
    let mut driver = OwnerDriver::new(ENDPOINTS, 8);
    for round in 0..REQUESTS {
        serve(&mut driver, SOUND, 2 * round, ReleaseResult::Completed);
        serve(&mut driver, CUT, 2 * round + 1, result);
        driver.advance(STEP);
        assert!(restricted(&driver) <= 1, "{} restricted in round {round}", restricted(&driver));
    }
}

/// If nobody is served, the endpoints are at fault.
#[test]
fn endpoints_that_nobody_reaches_are_ejected() {
    let mut driver = OwnerDriver::new(ENDPOINTS, 8);
    for round in 0..REQUESTS {
        for (offset, requester) in [(0, SOUND), (1, CUT)] {
            serve(&mut driver, requester, 2 * round + offset, ReleaseResult::ConnectFailed);
        }
        driver.advance(STEP);
    }
    assert_eq!(restricted(&driver), ENDPOINTS as usize);
}

/// An endpoint that fails for all is ejected although the others serve.
#[test]
fn an_endpoint_that_fails_for_all_is_ejected() {
    let mut driver = OwnerDriver::new(2, 1);
    for round in 0..REQUESTS {
        if restricted(&driver) > 0 {
            break;
        }
        let requests = [(SOUND, 2 * round), (CUT, 2 * round + 1)];
        for (requester, grant) in requests {
            let requester = InstanceId::from(requester);
            driver.request(GrantRequest { requester, ..grant_request(grant, 1) });
        }
        let granted = driver.granted_endpoints();
        for ((requester, grant), endpoint) in
            requests.into_iter().zip(&granted[granted.len() - 2..])
        {
            let result = match endpoint.ends_with("e0") {
                true => ReleaseResult::ConnectionLost,
                false => ReleaseResult::Completed,
            };
            driver.handle(OwnerEvent::Release(report(requester, grant, endpoint.clone(), result)));
        }
        driver.advance(STEP);
    }
    assert_eq!(restricted(&driver), 1);
}
