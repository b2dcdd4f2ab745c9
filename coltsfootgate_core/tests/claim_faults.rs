//! Random faults around several owners of one page: no key runs twice, no claim is dropped.

mod claim_model;

use proptest::prelude::*;

use claim_model::{ModelWorld, SHORT_WINDOW};

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1500))]
    #[test]
    fn no_key_runs_twice_inside_its_window(
        steps in prop::collection::vec((0..26u8, 0..24usize), 40..240),
    ) {
        let mut world = ModelWorld::new();
        for (kind, pick) in steps {
            world.step(kind, pick);
        }
        for (index, run) in world.runs.iter().enumerate() {
            for later in &world.runs[index + 1..] {
                if run.key == later.key {
                    prop_assert_eq!(run.key, 0, "a key that carries its time ran twice");
                    prop_assert!(later.ran_at >= run.claimed_at + SHORT_WINDOW);
                }
            }
        }
    }
}

/// The property above would hold in a world where nothing happens.
#[test]
fn the_model_runs_requests_and_meets_conflicts() {
    let mut world = ModelWorld::new();
    let mut bits = 1u64;
    for _ in 0..60_000 {
        bits = bits.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        world.step((bits >> 33) as u8 % 26, (bits >> 45) as usize % 24);
    }
    assert!(world.runs.len() > 20, "{} runs", world.runs.len());
    assert!(world.conflicts > 20, "{} conflicts", world.conflicts);
}
