//! Tracks when the settings in force were last confirmed to be the newest.

use std::time::Duration;

use crate::ids::ConfigVersion;

/// Proof that a version of the settings was the newest one at a point in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionProof {
    /// The version.
    pub version: ConfigVersion,
    /// The point in time, as time since boot on a clock that includes suspension.
    pub at: Duration,
}

/// Keeps the latest proof, from which the age of the settings in force follows.
#[derive(Clone, Copy, Debug, Default)]
pub struct SettingsFreshness {
    latest: Option<VersionProof>,
}

impl SettingsFreshness {
    /// Records a proof, unless a later one is known.
    pub fn record(&mut self, proof: VersionProof) {
        let is_later = self.latest.is_none_or(|latest| latest.at < proof.at);
        if is_later {
            self.latest = Some(proof);
        }
    }

    /// Time since the version in force was last confirmed as the newest.
    ///
    /// `None` if there is no proof or if it is for a higher version, since the version in force is
    /// then not the newest.
    pub fn age(&self, in_force: ConfigVersion, now: Duration) -> Option<Duration> {
        let proof = self.latest.filter(|proof| proof.version <= in_force)?;
        Some(now.saturating_sub(proof.at))
    }
}
