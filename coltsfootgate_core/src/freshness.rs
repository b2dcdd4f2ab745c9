//! Tracks when the settings in force were last confirmed to be the newest.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::ConfigVersion;

/// Maximum number of versions whose proofs are kept; the oldest versions are dropped first.
const VERSIONS_MAX: usize = 64;

/// Proof that no version above this one existed at a point in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionProof {
    /// The version.
    pub version: ConfigVersion,
    /// The point in time, as time since boot on a clock that includes suspension.
    pub at: Duration,
}

/// Keeps the latest proof of each recent version, from which the age of the settings in force
/// follows.
#[derive(Clone, Debug, Default)]
pub struct SettingsFreshness {
    latest: BTreeMap<ConfigVersion, Duration>,
}

impl SettingsFreshness {
    /// Records a proof.
    pub fn record(&mut self, proof: VersionProof) {
        let latest = self.latest.entry(proof.version).or_default();
        *latest = proof.at.max(*latest);
        if self.latest.len() > VERSIONS_MAX {
            self.latest.pop_first();
        }
    }

    /// Time since the version in force was last confirmed as the newest.
    ///
    /// `None` if there is no such proof. A proof of a newer version does not count, but it does not
    /// invalidate earlier ones either: nothing written since then is older than the last of them.
    pub fn age(&self, in_force: ConfigVersion, now: Duration) -> Option<Duration> {
        let proved_at = self.latest.range(..=in_force).map(|(_, at)| *at).max()?;
        Some(now.saturating_sub(proved_at))
    }
}
