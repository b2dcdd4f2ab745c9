//! Random faults with several owners of one page: no key runs twice and no claim is dropped early.

mod claim_model;

use proptest::prelude::*;

use claim_model::{ClaimSimulation, SHORT_WINDOW};

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1500))]
    #[test]
    fn no_key_runs_twice_within_its_window(
        steps in prop::collection::vec((0..26u8, 0..24usize), 40..240),
    ) {
        let mut simulation = ClaimSimulation::new();
        for (kind, pick) in steps {
            simulation.step(kind, pick);
        }
        for (index, run) in simulation.runs.iter().enumerate() {
            for later in &simulation.runs[index + 1..] {
                if run.key == later.key {
                    prop_assert_eq!(run.key, 0, "a key with a timestamp ran twice");
                    prop_assert!(later.ran_at >= run.claimed_at + SHORT_WINDOW);
                }
            }
        }
    }
}

/// Guards against a simulation in which the property above holds because nothing happens.
#[test]
fn simulation_runs_requests_and_causes_write_conflicts() {
    let mut simulation = ClaimSimulation::new();
    let mut bits = 1u64;
    for _ in 0..60_000 {
        bits = bits.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        simulation.step((bits >> 33) as u8 % 26, (bits >> 45) as usize % 24);
    }
    assert!(simulation.runs.len() > 20, "{} runs", simulation.runs.len());
    assert!(simulation.conflicts > 20, "{} conflicts", simulation.conflicts);
}
