//! How old the last proof is that the settings in force are the newest.

use std::time::Duration;

use crate::ids::ConfigVersion;

/// A proof that a version was the newest one at a moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionProof {
    /// The version.
    pub version: ConfigVersion,
    /// The moment, as time since boot on a clock that counts suspension.
    pub at: Duration,
}

/// Keeps the latest proof that holds for the version in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct SettingsFreshness {
    latest: Option<VersionProof>,
}

impl SettingsFreshness {
    /// Takes a proof in.
    pub fn prove(&mut self, proof: VersionProof) {
        let is_later = self.latest.is_none_or(|latest| latest.at < proof.at);
        if is_later {
            self.latest = Some(proof);
        }
    }

    /// How old the proof for a version in force is; `None` without one.
    ///
    /// A proof of a higher version says that the one in force is not the newest.
    pub fn age(&self, in_force: ConfigVersion, now: Duration) -> Option<Duration> {
        let proof = self.latest.filter(|proof| proof.version <= in_force)?;
        Some(now.saturating_sub(proof.at))
    }
}
