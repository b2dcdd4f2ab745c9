//! The age of the settings in force under proofs in various orders.

use std::time::Duration;

use rstest::rstest;

use coltsfootgate_core::freshness::{SettingsFreshness, VersionProof};

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[rstest]
#[case::never_proved(&[], 4, None)]
#[case::proved(&[(4, 10)], 4, Some(2))]
#[case::latest_proof_counts(&[(4, 10), (4, 11), (4, 9)], 4, Some(1))]
#[case::newer_version_exists(&[(4, 10), (5, 11)], 4, Some(2))]
#[case::two_newer_versions_exist(&[(4, 10), (5, 11), (6, 12)], 4, Some(2))]
#[case::only_newer_versions_were_proved(&[(5, 11)], 4, None)]
#[case::older_version_was_proved_last(&[(3, 10), (5, 11)], 4, Some(2))]
#[case::newer_version_is_in_force(&[(4, 10), (5, 11)], 5, Some(1))]
#[case::older_proof_arrives_later(&[(5, 11), (4, 10)], 5, Some(1))]
fn age_at_twelve_seconds(
    #[case] proofs: &[(u64, u64)],
    #[case] in_force: u64,
    #[case] expected: Option<u64>,
) {
    let mut freshness = SettingsFreshness::default();
    for (version, seconds) in proofs {
        freshness.record(VersionProof { version: *version, at: at(*seconds) });
    }
    assert_eq!(freshness.age(in_force, at(12)), expected.map(at));
}
