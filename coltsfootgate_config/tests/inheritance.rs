//! Inheritance of settings, their origins, and the rules that decide the outcome of requests.

use std::time::Duration;

use coltsfootgate_config::{ConfigTree, RequestBranches};
use coltsfootgate_core::reason::ErrorKind;

const SAMPLE: &str = include_str!("../../samples/terenuri.toml");

fn tree() -> ConfigTree {
    ConfigTree::parse("terenuri", SAMPLE).unwrap()
}

macro_rules! trace_cases {
    ($($case:ident: $branch:literal, $key:literal => $value:literal, $origin:expr;)*) => {
        $(#[test]
        fn $case() {
            let traced = tree().trace($branch, $key).unwrap();
            let origin: Option<&str> = $origin;
            assert_eq!((&*traced.value, traced.branch.as_deref()), ($value, origin));
            assert_eq!(traced.line.is_some(), origin.is_some());
            if let (Some(line), Some(origin)) = (traced.line, origin) {
                let above: Vec<_> = SAMPLE.lines().take(line).collect();
                assert!(above[line - 1].contains($key));
                assert!(above.iter().rev().any(|line| *line == format!("[{origin}]")));
            }
        })*
    };
}

trace_cases! {
    set_in_the_branch: "classes.reservations.confirmation", "tier" => "1", Some("classes.reservations.confirmation");
    from_the_parent: "classes.reservations.confirmation", "first_token" => "\"400 ms\"", Some("classes.reservations");
    from_the_root: "classes.reservations.confirmation", "retry_budget" => "0.2", Some("classes");
    default: "classes.reservations.confirmation", "floor" => "0.0", None;
    customer: "customers.network.player-app", "weight" => "4.0", Some("customers.network");
    endpoint: "pools.assistant.endpoints.e07", "slots" => "8", Some("pools");
    deployment: "deployment", "claim_window" => "\"24 h\"", Some("deployment");
}

#[test]
fn keys_that_define_a_branch_are_not_inherited() {
    let tree = tree();
    assert!(tree.trace("classes.reservations", "match").is_some());
    assert_eq!(tree.trace("pools.assistant.endpoints.e01", "model"), None);
    assert_eq!(tree.trace("customers", "keys"), None);
}

#[test]
fn settings_include_inherited_values() {
    let tree = tree();
    let class = tree.class("classes.manager.monthly-summary").unwrap();
    assert_eq!(class.between_tokens, Duration::from_millis(80));
    assert_eq!(class.deadline, Duration::from_secs(1800));
    assert_eq!((class.floor, class.attempts), (0.05, 3));
    let pool = tree.pool_for_path("/reservations/4/refund?x=1").unwrap();
    assert_eq!((pool.endpoints[0].slots, pool.endpoints[0].slots_max), (64, 256));
    assert_eq!(tree.pool_for_path("/reservations").unwrap().id, pool.id);
    assert_eq!(tree.pool_for_path("/elsewhere"), None);
    assert_eq!(tree.models().len(), 1);
}

macro_rules! rule_cases {
    ($($case:ident: $reason:expr => $branch:literal, $key:literal;)*) => {
        $(#[test]
        fn $case() {
            let rule = tree().rule($reason, RequestBranches {
                class: Some("classes.reservations.refund"),
                customer: Some("customers.partners.school-league"),
                pool: Some("pools.reservations"),
            });
            assert_eq!((&*rule.branch, rule.key), ($branch, $key));
        })*
    };
}

rule_cases! {
    served: None => "classes.reservations.refund", "tier";
    queue_full: Some(ErrorKind::QueueFull) => "classes", "queue_requests";
    rate: Some(ErrorKind::RateLimited) => "customers.partners", "rate";
    no_endpoint: Some(ErrorKind::NoEndpoint) => "pools.reservations", "address";
    prompt_blocked: Some(ErrorKind::PromptBlocked) => "pools", "allowed_parts";
    request_blocked: Some(ErrorKind::RequestBlocked) => "pools", "allowed_requests";
    stalled: Some(ErrorKind::EndpointStalled) => "pools.reservations", "silence";
    claims_full: Some(ErrorKind::ClaimsFull) => "deployment", "claim_pages";
}
