//! What the table holds of one instance.

use std::collections::BTreeSet;
use std::time::Instant;

use super::{PeerProfile, PeerState};
use crate::ids::{ConfigVersion, InstanceId};

/// An instance as the table holds it.
#[derive(Clone, Debug)]
pub struct PeerEntry {
    /// What it said of itself; the incarnation is 0 until it did.
    pub profile: PeerProfile,
    /// What is known of it.
    pub state: PeerState,
    /// The version of the tree that it last named.
    pub config_version: ConfigVersion,
    pub(super) refutation: u32,
    pub(super) listed: bool,
    /// Whether it announced its leaving in this incarnation.
    pub(super) left: bool,
    /// When it was last heard or vouched for, or since when it should have been heard.
    pub(super) heard: Instant,
    /// When its last statement arrived here.
    pub(super) stated: Option<Instant>,
    /// When it entered its state.
    pub(super) since: Instant,
    pub(super) silent_for: BTreeSet<InstanceId>,
}

impl PeerEntry {
    pub(super) fn new(profile: PeerProfile, state: PeerState, now: Instant) -> Self {
        Self {
            profile,
            state,
            config_version: 0,
            refutation: 0,
            listed: false,
            left: false,
            heard: now,
            stated: None,
            since: now,
            silent_for: BTreeSet::new(),
        }
    }

    /// Forgets what was known of the earlier life at this address.
    pub(super) fn begin_incarnation(&mut self, profile: PeerProfile, refutation: u32) {
        self.profile = profile;
        self.refutation = refutation;
        self.config_version = 0;
        self.left = false;
    }
}
