//! Tracks which version of the settings tree is in force here and what to fetch next.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{ConfigVersion, InstanceId};

/// How long a new instance waits for slow sources before it fetches the highest version that it has
/// read.
pub const STARTUP_WAIT: Duration = Duration::from_secs(1);
/// How long a consistent store that answers may take to deliver a version that a peer has.
pub const STORE_WAIT: Duration = Duration::from_secs(1);
/// Delay before a failed fetch is retried.
pub const FETCH_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The head value of the settings tree, which a new version replaces by compare-and-swap.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct TreeHead {
    /// The version, one higher than that of the head it replaced.
    pub version: ConfigVersion,
    /// Digest of the root value.
    pub root: Arc<str>,
    /// A nonce by which the writer recognizes its own change.
    pub nonce: Arc<str>,
}

/// A source from which a head can be read.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HeadSource {
    /// The platform's key-value service.
    Store,
    /// Another instance.
    Peer(InstanceId),
}

/// An input of a head tracker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HeadEvent {
    /// A source answered with its head, or without one if it has none.
    Answered(HeadSource, Option<TreeHead>),
    /// A source did not answer.
    Unanswered(HeadSource),
    /// The platform listed the instances; this one is left out.
    PeersListed(Vec<InstanceId>),
    /// A peer's heartbeat stated the version that is in force there.
    PeerVersion(InstanceId, ConfigVersion),
    /// The operators' tool reported that it wrote this version.
    VersionHint(ConfigVersion),
    /// The tree of this head was fetched and passed validation; it is in force now.
    Loaded(TreeHead),
    /// The tree of this head could not be fetched from any source.
    FetchFailed(TreeHead),
    /// The tree of this head failed validation and must not be fetched again.
    Invalid(TreeHead),
    /// A timer expired.
    Tick,
}

/// An output of a head tracker, to be carried out by its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HeadAction {
    /// Read the head from this source and report the result as `Answered` or `Unanswered`.
    ReadHead(HeadSource),
    /// Fetch the values of this head's tree, each from any of these sources that has it.
    Fetch(TreeHead, Vec<HeadSource>),
    /// Announce to the peers that this head is in force here.
    Announce(TreeHead),
    /// Accept requests from now on.
    BecomeReady,
}

/// Tracks the head of the tree: the version in force never goes back. Decides when the instance is
/// ready.
#[derive(Debug)]
pub struct HeadTracker {
    started: Instant,
    in_force: Option<TreeHead>,
    /// Heads above the one in force, with the sources that have them.
    candidates: BTreeMap<ConfigVersion, (TreeHead, BTreeSet<HeadSource>)>,
    /// Versions and root digests of the heads whose tree failed validation.
    rejected: BTreeSet<(ConfigVersion, Arc<str>)>,
    listed: Option<BTreeSet<InstanceId>>,
    answered: BTreeSet<HeadSource>,
    unanswered: BTreeSet<HeadSource>,
    fetching: Option<ConfigVersion>,
    retry_at: Option<Instant>,
    ready: bool,
    is_store_consistent: bool,
    /// A newer version on a peer, which the store may deliver first.
    newer: Option<NewerVersion>,
}

#[derive(Debug)]
struct NewerVersion {
    version: ConfigVersion,
    peer: InstanceId,
    known_since: Instant,
}

impl HeadTracker {
    /// Creates the tracker of an instance that has no tree yet.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            in_force: None,
            candidates: BTreeMap::new(),
            rejected: BTreeSet::new(),
            listed: None,
            answered: BTreeSet::new(),
            unanswered: BTreeSet::new(),
            fetching: None,
            retry_at: None,
            ready: false,
            is_store_consistent: false,
            newer: None,
        }
    }

    /// Creates the tracker of an instance whose store never returns a stale head, so that it need
    /// not wait for other sources once the store answered.
    pub fn with_consistent_store(now: Instant) -> Self {
        Self { is_store_consistent: true, ..Self::new(now) }
    }

    /// Returns the head that is in force here.
    pub fn in_force(&self) -> Option<&TreeHead> {
        self.in_force.as_ref()
    }

    /// Returns the version that is in force here, 0 if there is none.
    pub fn version(&self) -> ConfigVersion {
        self.in_force.as_ref().map_or(0, |head| head.version)
    }

    /// Whether the instance may accept requests.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Processes an event and returns the actions to carry out.
    pub fn handle(&mut self, event: HeadEvent, now: Instant) -> Vec<HeadAction> {
        let mut actions = Vec::new();
        match event {
            HeadEvent::Answered(source, head) => self.add_answer(source, head),
            HeadEvent::Unanswered(source) => {
                self.unanswered.insert(source);
            }
            HeadEvent::PeersListed(peers) => self.update_peers(peers, &mut actions),
            HeadEvent::PeerVersion(peer, version) => self.note_newer(peer, version, now),
            HeadEvent::VersionHint(version) => {
                if version > self.highest_version() {
                    actions.push(HeadAction::ReadHead(HeadSource::Store));
                }
            }
            HeadEvent::Loaded(head) => self.put_in_force(head, &mut actions),
            HeadEvent::FetchFailed(head) => {
                self.end_fetch(head.version);
                self.retry_at = Some(now + FETCH_RETRY_DELAY);
            }
            HeadEvent::Invalid(head) => {
                self.end_fetch(head.version);
                self.candidates.remove(&head.version);
                self.rejected.insert((head.version, head.root));
            }
            HeadEvent::Tick => self.retry_unanswered(&mut actions),
        }
        self.read_newer(now, &mut actions);
        self.fetch_highest(now, &mut actions);
        self.check_ready(now, &mut actions);
        actions
    }

    fn note_newer(&mut self, peer: InstanceId, version: ConfigVersion, now: Instant) {
        let known_since = self.newer.as_ref().map_or(now, |newer| newer.known_since);
        self.newer = Some(NewerVersion { version, peer, known_since });
    }

    /// Reads the head of a peer that has a newer version, unless the store is about to deliver it.
    fn read_newer(&mut self, now: Instant, actions: &mut Vec<HeadAction>) {
        let Some(newer) = self.newer.take() else { return };
        if newer.version <= self.highest_version() {
            return;
        }
        let is_store_due = now.saturating_duration_since(newer.known_since) < STORE_WAIT;
        if self.is_store_answering() && is_store_due {
            self.newer = Some(newer);
            return;
        }
        actions.push(HeadAction::ReadHead(HeadSource::Peer(newer.peer)));
    }

    /// Whether a store that never returns a stale head answered the last call.
    fn is_store_answering(&self) -> bool {
        let store = &HeadSource::Store;
        self.is_store_consistent
            && self.answered.contains(store)
            && !self.unanswered.contains(store)
    }

    fn add_answer(&mut self, source: HeadSource, head: Option<TreeHead>) {
        self.unanswered.remove(&source);
        self.answered.insert(source.clone());
        let Some(head) = head else { return };
        // The version must never go back, whatever a source answers.
        if head.version <= self.version() {
            return;
        }
        if self.rejected.contains(&(head.version, head.root.clone())) {
            return;
        }
        let candidate =
            self.candidates.entry(head.version).or_insert_with(|| (head.clone(), BTreeSet::new()));
        // Versions are written only by compare-and-swap in the store, so its head takes precedence
        // when sources differ.
        if candidate.0 != head && source == HeadSource::Store {
            *candidate = (head.clone(), BTreeSet::new());
        }
        if candidate.0 == head {
            candidate.1.insert(source);
        }
    }

    /// Stores the list of peers; until the instance is ready, reads the head of each new peer.
    fn update_peers(&mut self, peers: Vec<InstanceId>, actions: &mut Vec<HeadAction>) {
        let listed: BTreeSet<_> = peers.into_iter().collect();
        let known = self.listed.take().unwrap_or_default();
        if !self.ready {
            let added = listed.difference(&known).cloned();
            actions.extend(added.map(|peer| HeadAction::ReadHead(HeadSource::Peer(peer))));
        }
        self.listed = Some(listed);
    }

    /// Reads the head again from the sources that did not answer, until the instance is ready.
    fn retry_unanswered(&mut self, actions: &mut Vec<HeadAction>) {
        if !self.ready {
            actions.extend(self.unanswered.iter().cloned().map(HeadAction::ReadHead));
        }
    }

    fn put_in_force(&mut self, head: TreeHead, actions: &mut Vec<HeadAction>) {
        self.end_fetch(head.version);
        if head.version <= self.version() {
            return;
        }
        self.candidates.retain(|version, _| *version > head.version);
        self.rejected.retain(|(version, _)| *version > head.version);
        self.in_force = Some(head.clone());
        actions.push(HeadAction::Announce(head));
    }

    fn end_fetch(&mut self, version: ConfigVersion) {
        if self.fetching == Some(version) {
            self.fetching = None;
        }
    }

    /// Returns the highest version that is in force or among the candidates.
    fn highest_version(&self) -> ConfigVersion {
        let candidate = self.candidates.keys().next_back().copied().unwrap_or(0);
        candidate.max(self.version())
    }

    fn fetch_highest(&mut self, now: Instant, actions: &mut Vec<HeadAction>) {
        if self.retry_at.is_some_and(|retry_at| now < retry_at) {
            return;
        }
        let Some((version, (head, sources))) = self.candidates.iter().next_back() else { return };
        if self.fetching.is_some_and(|fetching| fetching >= *version) {
            return;
        }
        // A new instance waits for slow sources first, so that it fetches only the highest version.
        if !self.ready && !self.has_waited(now) {
            return;
        }
        self.fetching = Some(*version);
        self.retry_at = None;
        actions.push(HeadAction::Fetch(head.clone(), sources.iter().cloned().collect()));
    }

    /// Whether the store or a majority of the listed peers answered.
    fn has_quorum(&self) -> bool {
        if self.answered.contains(&HeadSource::Store) {
            return true;
        }
        let Some(listed) = &self.listed else { return false };
        let answered = listed.iter().filter(|peer| self.has_answered(peer)).count();
        answered * 2 > listed.len()
    }

    fn has_answered(&self, peer: &InstanceId) -> bool {
        self.answered.contains(&HeadSource::Peer(peer.clone()))
    }

    /// Whether the instance need not wait for further sources before it fetches a tree.
    fn has_waited(&self, now: Instant) -> bool {
        if self.is_store_consistent && self.answered.contains(&HeadSource::Store) {
            return true;
        }
        if now.saturating_duration_since(self.started) >= STARTUP_WAIT {
            return true;
        }
        let Some(listed) = &self.listed else { return false };
        let is_resolved = |source: &HeadSource| {
            self.answered.contains(source) || self.unanswered.contains(source)
        };
        is_resolved(&HeadSource::Store)
            && listed.iter().all(|peer| is_resolved(&HeadSource::Peer(peer.clone())))
    }

    fn check_ready(&mut self, now: Instant, actions: &mut Vec<HeadAction>) {
        if self.ready || self.in_force.is_none() || !self.candidates.is_empty() {
            return;
        }
        if self.has_quorum() && self.has_waited(now) {
            self.ready = true;
            actions.push(HeadAction::BecomeReady);
        }
    }
}
