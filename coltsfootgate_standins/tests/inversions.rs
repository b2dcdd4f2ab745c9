//! The checker of tier order finds what it is meant to find, and nothing else.

use coltsfootgate_standins::measure::decisions::{DecisionLine, find_inversions};
use rstest::rstest;

const REFUSED_FROM: u64 = 100;
const REFUSED_UNTIL: u64 = 200;

fn refused(reason: &str) -> DecisionLine {
    DecisionLine {
        tier: Some(3),
        pool: Some("pools.a".to_owned()),
        arrived_ms: REFUSED_FROM,
        ended_ms: REFUSED_UNTIL,
        reason: reason.to_owned(),
        ..DecisionLine::default()
    }
}

fn granted(tier: u8, pool: &str, granted_ms: u64, by_floor: bool) -> DecisionLine {
    DecisionLine {
        tier: Some(tier),
        pool: Some(pool.to_owned()),
        granted_ms: Some(granted_ms),
        reason: "completed".to_owned(),
        by_floor,
        ..DecisionLine::default()
    }
}

#[rstest]
#[case::lower_tier_granted_while_it_waited("queue-full", granted(5, "pools.a", 150, false), (1, 0))]
#[case::lower_tier_granted_by_a_floor("displaced", granted(7, "pools.a", 150, true), (1, 1))]
#[case::same_tier("queue-full", granted(3, "pools.a", 150, false), (0, 0))]
#[case::higher_tier("queue-full", granted(1, "pools.a", 150, false), (0, 0))]
#[case::granted_before_it_arrived("queue-full", granted(5, "pools.a", 100, false), (0, 0))]
#[case::granted_after_it_ended("queue-full", granted(5, "pools.a", 200, false), (0, 0))]
#[case::another_pool("queue-full", granted(5, "pools.b", 150, false), (0, 0))]
#[case::not_for_capacity("rate-limited", granted(5, "pools.a", 150, false), (0, 0))]
fn inversion(#[case] reason: &str, #[case] grant: DecisionLine, #[case] expected: (u64, u64)) {
    let inversions = find_inversions(&[refused(reason), grant]);
    assert_eq!((inversions.count, inversions.by_floor), expected);
}
