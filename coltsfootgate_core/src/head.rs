//! Which version of the tree is in force here, and what to fetch next.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{ConfigVersion, InstanceId};

/// How long a new instance waits for the slower of its sources before it takes the best offer.
pub const GATHER_TIME: Duration = Duration::from_secs(1);
/// Delay before a version that could not be fetched is tried again.
pub const FETCH_RETRY: Duration = Duration::from_millis(500);

/// The head value of the tree: what a compare-and-swap replaces.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct TreeHead {
    /// The version, one above the one it replaced.
    pub version: ConfigVersion,
    /// Digest of the root value.
    pub root: Arc<str>,
    /// The writer's nonce, by which a writer recognises its own change.
    pub nonce: Arc<str>,
}

/// Where a head was read.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HeadSource {
    /// The platform's key-value service.
    Store,
    /// Another instance.
    Peer(InstanceId),
}

/// What a head tracker learns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HeadEvent {
    /// A source answered with the head it holds, or that it holds none.
    Offered(HeadSource, Option<TreeHead>),
    /// A source did not answer.
    Unanswered(HeadSource),
    /// The platform's list of instances, this one left out.
    Listed(Vec<InstanceId>),
    /// A peer's heartbeat named the version that it has in force.
    PeerVersion(InstanceId, ConfigVersion),
    /// The operators' tool says that this version was written.
    Hinted(ConfigVersion),
    /// The tree of this head was fetched, passed its checks and is in force.
    Loaded(TreeHead),
    /// The tree of this head could not be fetched from any source.
    Unfetched(TreeHead),
    /// The tree of this head failed its checks and must not be tried again.
    Invalid(TreeHead),
    /// Time passed.
    Tick,
}

/// What a head tracker wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HeadAction {
    /// Read the head from this source and report it as offered or unanswered.
    Ask(HeadSource),
    /// Fetch the tree of this head, trying the sources in order.
    Fetch(TreeHead, Vec<HeadSource>),
    /// Tell the peers that this head is in force here.
    Announce(TreeHead),
    /// The instance may take requests from now on.
    BecomeReady,
}

/// Keeps the version of the tree from ever going back, and decides when an instance is ready.
#[derive(Debug)]
pub struct HeadTracker {
    started: Instant,
    in_force: Option<TreeHead>,
    offers: BTreeMap<ConfigVersion, (TreeHead, BTreeSet<HeadSource>)>,
    refused: BTreeSet<(ConfigVersion, Arc<str>)>,
    listed: Option<BTreeSet<InstanceId>>,
    answered: BTreeSet<HeadSource>,
    silent: BTreeSet<HeadSource>,
    fetching: Option<ConfigVersion>,
    retry_at: Option<Instant>,
    ready: bool,
    is_store_current: bool,
}

impl HeadTracker {
    /// Makes the tracker of an instance that holds nothing.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            in_force: None,
            offers: BTreeMap::new(),
            refused: BTreeSet::new(),
            listed: None,
            answered: BTreeSet::new(),
            silent: BTreeSet::new(),
            fetching: None,
            retry_at: None,
            ready: false,
            is_store_current: false,
        }
    }

    /// Makes the tracker of an instance whose store never answers with an old head, so that no other
    /// source needs to be waited for once it answered.
    pub fn with_current_store(now: Instant) -> Self {
        Self { is_store_current: true, ..Self::new(now) }
    }

    /// The head in force here.
    pub fn in_force(&self) -> Option<&TreeHead> {
        self.in_force.as_ref()
    }

    /// The version in force here, 0 if there is none.
    pub fn version(&self) -> ConfigVersion {
        self.in_force.as_ref().map_or(0, |head| head.version)
    }

    /// Whether the instance may take requests.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Takes in an event and says what to do about it.
    pub fn handle(&mut self, event: HeadEvent, now: Instant) -> Vec<HeadAction> {
        let mut actions = Vec::new();
        match event {
            HeadEvent::Offered(source, head) => self.take_offer(source, head),
            HeadEvent::Unanswered(source) => {
                self.silent.insert(source);
            }
            HeadEvent::Listed(peers) => self.take_list(peers, &mut actions),
            HeadEvent::PeerVersion(peer, version) => {
                if version > self.best_version() {
                    actions.push(HeadAction::Ask(HeadSource::Peer(peer)));
                }
            }
            HeadEvent::Hinted(version) => {
                if version > self.best_version() {
                    actions.push(HeadAction::Ask(HeadSource::Store));
                }
            }
            HeadEvent::Loaded(head) => self.put_in_force(head, &mut actions),
            HeadEvent::Unfetched(head) => {
                self.end_fetch(head.version);
                self.retry_at = Some(now + FETCH_RETRY);
            }
            HeadEvent::Invalid(head) => {
                self.end_fetch(head.version);
                self.offers.remove(&head.version);
                self.refused.insert((head.version, head.root));
            }
            HeadEvent::Tick => self.ask_again(&mut actions),
        }
        self.fetch_best(now, &mut actions);
        self.check_ready(now, &mut actions);
        actions
    }

    fn take_offer(&mut self, source: HeadSource, head: Option<TreeHead>) {
        self.silent.remove(&source);
        self.answered.insert(source.clone());
        let Some(head) = head else { return };
        // A version that is not above the one in force is never taken, whoever offers it.
        if head.version <= self.version() {
            return;
        }
        if self.refused.contains(&(head.version, head.root.clone())) {
            return;
        }
        let offer =
            self.offers.entry(head.version).or_insert_with(|| (head.clone(), BTreeSet::new()));
        // The store's swap is the only writer of a version, so it settles a disagreement.
        if offer.0 != head && source == HeadSource::Store {
            *offer = (head.clone(), BTreeSet::new());
        }
        if offer.0 == head {
            offer.1.insert(source);
        }
    }

    fn take_list(&mut self, peers: Vec<InstanceId>, actions: &mut Vec<HeadAction>) {
        let listed: BTreeSet<_> = peers.into_iter().collect();
        let known = self.listed.take().unwrap_or_default();
        if !self.ready {
            let added = listed.difference(&known).cloned();
            actions.extend(added.map(|peer| HeadAction::Ask(HeadSource::Peer(peer))));
        }
        self.listed = Some(listed);
    }

    /// Asks the sources that did not answer once more, until the instance is ready.
    fn ask_again(&mut self, actions: &mut Vec<HeadAction>) {
        if !self.ready {
            actions.extend(self.silent.iter().cloned().map(HeadAction::Ask));
        }
    }

    fn put_in_force(&mut self, head: TreeHead, actions: &mut Vec<HeadAction>) {
        self.end_fetch(head.version);
        if head.version <= self.version() {
            return;
        }
        self.offers.retain(|version, _| *version > head.version);
        self.refused.retain(|(version, _)| *version > head.version);
        self.in_force = Some(head.clone());
        actions.push(HeadAction::Announce(head));
    }

    fn end_fetch(&mut self, version: ConfigVersion) {
        if self.fetching == Some(version) {
            self.fetching = None;
        }
    }

    /// The highest version that is in force or on offer.
    fn best_version(&self) -> ConfigVersion {
        let offered = self.offers.keys().next_back().copied().unwrap_or(0);
        offered.max(self.version())
    }

    fn fetch_best(&mut self, now: Instant, actions: &mut Vec<HeadAction>) {
        if self.retry_at.is_some_and(|retry_at| now < retry_at) {
            return;
        }
        let Some((version, (head, sources))) = self.offers.iter().next_back() else { return };
        if self.fetching.is_some_and(|fetching| fetching >= *version) {
            return;
        }
        // Until an instance is ready it waits for the slower sources, to fetch only the best.
        if !self.ready && !self.has_gathered(now) {
            return;
        }
        self.fetching = Some(*version);
        self.retry_at = None;
        actions.push(HeadAction::Fetch(head.clone(), sources.iter().cloned().collect()));
    }

    /// Whether enough sources answered for an instance that started with nothing.
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

    fn has_gathered(&self, now: Instant) -> bool {
        if self.is_store_current && self.answered.contains(&HeadSource::Store) {
            return true;
        }
        if now.saturating_duration_since(self.started) >= GATHER_TIME {
            return true;
        }
        let Some(listed) = &self.listed else { return false };
        let is_settled =
            |source: &HeadSource| self.answered.contains(source) || self.silent.contains(source);
        is_settled(&HeadSource::Store)
            && listed.iter().all(|peer| is_settled(&HeadSource::Peer(peer.clone())))
    }

    fn check_ready(&mut self, now: Instant, actions: &mut Vec<HeadAction>) {
        if self.ready || self.in_force.is_none() || !self.offers.is_empty() {
            return;
        }
        if self.has_quorum() && self.has_gathered(now) {
            self.ready = true;
            actions.push(HeadAction::BecomeReady);
        }
    }
}
