//! Tests that owners grant requests that continue a stream only endpoints of its software version.

mod support;

use std::time::Duration;

use coltsfootgate_core::owner::{GrantRequest, OwnerEvent, ReleaseResult};
use coltsfootgate_core::prelude::*;
use coltsfootgate_core::prompt::PromptLoad;
use rstest::rstest;
use support::{OwnerDriver, endpoint, grant_request};

/// Slots of each endpoint.
const SLOTS: u32 = 2;

/// An owner of three endpoints, of which endpoints 0 and 1 run v1 and endpoint 2 runs v2.
fn mixed_owner() -> OwnerDriver {
    let mut driver = OwnerDriver::new(0, SLOTS);
    let versions = ["v1", "v1", "v2"].into_iter().zip(0..);
    let endpoints = versions.map(|(version, number)| EndpointSettings {
        version: Some(version.into()),
        slots_max: SLOTS,
        ..endpoint(number, SLOTS)
    });
    driver.handle(OwnerEvent::Endpoints(endpoints.collect()));
    driver
}

fn request(grant: GrantId, version: Option<&str>, is_prompt: bool) -> GrantRequest {
    let prompt = PromptLoad {
        tokens: 10_000,
        answer_tokens: 20,
        first_token_target: Duration::from_millis(300),
        between_tokens_target: Duration::from_millis(100),
        ..PromptLoad::default()
    };
    GrantRequest {
        version: version.map(Into::into),
        prompt: if is_prompt { prompt } else { PromptLoad::default() },
        ..grant_request(grant, 3)
    }
}

#[rstest]
#[case::engine(true)]
#[case::service(false)]
fn continued_stream_gets_only_its_version(#[case] is_prompt: bool) {
    let mut driver = mixed_owner();
    for grant in 0..10 {
        driver.request(request(grant, Some("v2"), is_prompt));
        if !driver.held().is_empty() {
            driver.release_oldest(ReleaseResult::Completed);
        }
        driver.advance(Duration::from_millis(500));
    }
    let granted = driver.granted_endpoints();
    assert_eq!(granted.len(), 10);
    assert!(granted.iter().all(|id| *id == endpoint(2, 1).id), "{granted:?}");
}

#[test]
fn version_that_no_endpoint_has_is_refused() {
    let mut driver = mixed_owner();
    driver.request(request(1, Some("v3"), false));
    assert_eq!(driver.refusals().last().map(|(_, kind)| *kind), Some(ErrorKind::NoEndpoint));
}

/// The endpoints of the other version have free slots, which later requests must get at once.
#[rstest]
#[case::engine(true)]
#[case::service(false)]
fn full_version_does_not_hold_up_other_requests(#[case] is_prompt: bool) {
    let mut driver = mixed_owner();
    for grant in 0..20 {
        driver.request(request(grant, Some("v2"), is_prompt));
    }
    let continued = driver.grant_count();
    assert!(continued <= SLOTS as usize);
    driver.advance(Duration::from_millis(100));
    driver.request(request(100, None, is_prompt));
    assert_eq!(driver.granted_ids().last(), Some(&100));
    assert_eq!(driver.grant_count(), continued + 1);
}
