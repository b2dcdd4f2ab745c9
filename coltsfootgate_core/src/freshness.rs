//! Tracks when the settings in force were last confirmed to be the newest.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

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

/// What an instance states about the settings that it has in force. Both parts are of the same moment, so that the
/// version was the newest one as long ago as the age says.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SettingsStatement {
    /// The version in force, 0 if there is none.
    pub version: ConfigVersion,
    /// Time since this version was last confirmed as the newest, if the sender knows.
    pub age: Option<Duration>,
}

impl SettingsStatement {
    /// What the statement proves to the instance that asked for it at a point in time. It was made after that, so that
    /// its proof is no older than this.
    ///
    /// `None` without a version: builds that took version and age from two places could state the age of a tree as
    /// that of no tree, and whoever has none in force can't confirm another one.
    pub fn proof(&self, asked_at: Duration) -> Option<VersionProof> {
        let age = self.age.filter(|_| self.version > 0)?;
        Some(VersionProof { version: self.version, at: asked_at.saturating_sub(age) })
    }
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

    /// What an instance may state at a point in time about the version that it has in force.
    pub fn statement(&self, in_force: Option<ConfigVersion>, now: Duration) -> SettingsStatement {
        let Some(version) = in_force else { return SettingsStatement::default() };
        SettingsStatement { version, age: self.age(version, now) }
    }
}
