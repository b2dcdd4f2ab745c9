//! Tests the count of tier inversions: grants to a lower tier while a request of a higher tier, which
//! was later refused for lack of capacity, waited in the same pool.

use coltsfootgate_standins::measure::decisions::{DecisionLine, find_inversions};
use rstest::rstest;

const REFUSED_ARRIVED_MS: u64 = 100;
const REFUSED_ENDED_MS: u64 = 200;

fn refused(reason: &str) -> DecisionLine {
    DecisionLine {
        tier: Some(3),
        pool: Some("pools.a".to_owned()),
        arrived_ms: REFUSED_ARRIVED_MS,
        ended_ms: REFUSED_ENDED_MS,
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
#[case::lower_tier_granted_while_waiting("queue-full", granted(5, "pools.a", 150, false), (1, 0))]
#[case::lower_tier_granted_by_floor("displaced", granted(7, "pools.a", 150, true), (1, 1))]
#[case::same_tier("queue-full", granted(3, "pools.a", 150, false), (0, 0))]
#[case::higher_tier("queue-full", granted(1, "pools.a", 150, false), (0, 0))]
#[case::granted_before_arrival("queue-full", granted(5, "pools.a", 100, false), (0, 0))]
#[case::granted_after_end("queue-full", granted(5, "pools.a", 200, false), (0, 0))]
#[case::another_pool("queue-full", granted(5, "pools.b", 150, false), (0, 0))]
#[case::refused_by_rate_limit("rate-limited", granted(5, "pools.a", 150, false), (0, 0))]
fn only_grants_to_lower_tiers_during_the_wait_are_inversions(
    #[case] reason: &str,
    #[case] grant: DecisionLine,
    #[case] expected: (u64, u64),
) {
    let inversions = find_inversions(&[refused(reason), grant]);
    assert_eq!((inversions.count, inversions.by_floor), expected);
}
