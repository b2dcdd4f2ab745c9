//! The state that the peer table keeps for one instance.

use std::collections::BTreeSet;
use std::time::Instant;

use super::{PeerProfile, PeerState};
use crate::ids::{ConfigVersion, InstanceId};

/// The table's record of one instance.
#[derive(Clone, Debug)]
pub struct PeerEntry {
    /// Its profile; the incarnation is 0 until the instance itself or a rumor stated one.
    pub profile: PeerProfile,
    /// Its state, as far as this instance knows.
    pub state: PeerState,
    /// The highest version of the settings tree that it stated in this incarnation.
    pub config_version: ConfigVersion,
    /// How often it refuted a suspicion in this incarnation.
    pub(super) refutation: u32,
    /// Whether the platform's latest list contains it.
    pub(super) is_listed: bool,
    /// Whether it announced in this incarnation that it is leaving.
    pub(super) announced_leaving: bool,
    /// Start of its current silence: when it was last heard, directly or by a confirming peer, or
    /// when this instance began to expect its heartbeats.
    pub(super) last_heard: Instant,
    /// When its last heartbeat arrived here; reports of other instances don't count.
    pub(super) last_statement: Option<Instant>,
    /// When it entered its current state.
    pub(super) state_since: Instant,
    /// The instances that reported it silent since it was last heard or changed its state.
    pub(super) reported_silent_by: BTreeSet<InstanceId>,
}

impl PeerEntry {
    pub(super) fn new(profile: PeerProfile, state: PeerState, now: Instant) -> Self {
        Self {
            profile,
            state,
            config_version: 0,
            refutation: 0,
            is_listed: false,
            announced_leaving: false,
            last_heard: now,
            last_statement: None,
            state_since: now,
            reported_silent_by: BTreeSet::new(),
        }
    }

    /// Replaces the data of the earlier incarnation at this address.
    pub(super) fn begin_incarnation(&mut self, profile: PeerProfile, refutation: u32) {
        self.profile = profile;
        self.refutation = refutation;
        self.config_version = 0;
        self.announced_leaving = false;
    }
}
