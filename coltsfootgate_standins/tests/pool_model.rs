//! Replays the load of pools of more than a hundred engines with the product's decisions.

use std::time::Duration;

use coltsfootgate_standins::pool_model::{
    Assignment, FleetProfile, LoadBurst, OwnerFreeze, PoolOutcome, generate_load, long_answers,
    review_and_chat, run_pool,
};
use rstest::rstest;

const DEPLOYED_TREE: &str = include_str!("../../deploy/tree.toml");
const RUN_TIME: Duration = Duration::from_secs(8);

/// The deployed way to assign engines to owners.
fn deployed() -> Assignment {
    let setting = DEPLOYED_TREE.lines().find_map(|line| line.strip_prefix("owner_endpoints = "));
    let owner_endpoints = setting.unwrap().parse().unwrap();
    Assignment::Owners { owner_endpoints, knows_processors: true }
}

fn run(profile: &FleetProfile, factor: f64) -> PoolOutcome {
    let burst = LoadBurst {
        start: Duration::from_secs(2),
        length: Duration::from_secs(4),
        class: None,
        factor,
    };
    let instances = profile.instances.len();
    let load = generate_load(&profile.classes, &[burst], instances, RUN_TIME, 7);
    run_pool(profile, &load)
}

/// Prompts share parts of thousands of tokens with a few others a second. An engine that has a part cached is
/// to be found, or the fleet reads most parts again at each engine.
#[rstest]
#[case::long_answers(long_answers)]
#[case::review_and_chat(review_and_chat)]
fn a_tenth_of_shared_tokens_is_read_again_at_most(#[case] profile: fn(Assignment) -> FleetProfile) {
    let outcome = run(&profile(deployed()), 1.0);
    let shared = outcome.kept + outcome.shared_once + outcome.shared_again;
    let again = outcome.shared_again as f64 / shared as f64;
    assert!(again <= 0.1, "{again}");
}

/// Three times the usual traffic is more than the engines can serve. The highest class is served on time, and no
/// class more often than one above it.
#[rstest]
#[case::long_answers(long_answers)]
#[case::review_and_chat(review_and_chat)]
fn classes_are_on_time_by_tier_in_a_burst(#[case] profile: fn(Assignment) -> FleetProfile) {
    let profile = profile(deployed());
    let outcome = run(&profile, 3.0);
    let mut classes: Vec<_> = profile.classes.iter().zip(&outcome.classes).collect();
    classes.sort_by_key(|(class, _)| class.tier);
    assert!(classes[0].1.on_time_share() >= 0.95, "{:?}", outcome.classes);
    let shares = classes.iter().map(|(_, outcome)| outcome.served_share());
    assert!(shares.is_sorted_by(|higher, lower| higher + 0.02 >= *lower), "{:?}", outcome.classes);
}

/// The only owner stands still for a second. Each of 84 to 200 entries notices that by itself, and none may let its
/// requests wait for it: they are served by the entries' own shares of the engines.
#[rstest]
#[case::long_answers(long_answers)]
#[case::review_and_chat(review_and_chat)]
fn requests_are_served_while_the_only_owner_stands_still(
    #[case] profile: fn(Assignment) -> FleetProfile,
) {
    let freeze =
        OwnerFreeze { start: Duration::from_secs(3), length: Duration::from_millis(1_100) };
    let profile = FleetProfile { freeze: Some(freeze), ..profile(deployed()) };
    let outcome = run(&profile, 1.0);
    for (class, outcome) in profile.classes.iter().zip(&outcome.classes) {
        assert!(outcome.served_share() >= 0.99, "{}: {outcome:?}", class.name);
        if class.tier == 1 {
            assert!(outcome.on_time_share() >= 0.9, "{}: {outcome:?}", class.name);
        }
    }
}
