//! Passes the platform's state from the instances that read it to those that follow them.
//!
//! A reader publishes what it heard on the [`FeedHandle`]; a follower asks a reader of its zone, which answers as soon
//! as there is something new, and reads the platform itself whenever no reader answers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_channel::oneshot;
use futures_util::StreamExt;
use monoio::time::timeout;
use serde_json::{Value, json};

use coltsfootgate_core::feed::{ChangeLog, FeedChoice, FeedRevision};
use coltsfootgate_core::freshness::VersionProof;
use coltsfootgate_core::ids::{ConfigVersion, InstanceId, ZoneName};
use coltsfootgate_core::roster::{ReplicaAnnouncement, ReplicaNotice};
use coltsfootgate_wire::{PeerReply, PeerRequest};

use crate::clock;
use crate::members::{MemberChange, MembersHandle};
use crate::peer::PeerHandle;

/// How long a reader may hold a question until there is something new.
const WAIT_MAX: Duration = Duration::from_secs(1);
/// Time limit of a question beside that.
const ANSWER_TIME: Duration = Duration::from_millis(300);
/// Longest watch of an instance that others follow: a proof is as old as two watches before the next one is there.
const FOLLOWED_WAIT: Duration = Duration::from_millis(750);
/// Age of a reader's own proof from which on it answers no more, so that those that follow it ask the platform.
const PROOF_AGE_MAX: Duration = Duration::from_millis(2500);

/// Replica changes with the revisions at which they were made.
pub type RevisedNotices = Vec<(FeedRevision, ReplicaNotice)>;

/// Shared access to what this instance reads and whom it follows; clones share the same state.
#[derive(Clone)]
pub struct FeedHandle(Rc<FeedShared>);

struct FeedShared {
    peers: PeerHandle,
    choice: RefCell<FeedChoice>,
    head: Cell<Option<VersionProof>>,
    replicas: RefCell<ChangeLog<ReplicaNotice>>,
    /// What was last passed on of each replica, to leave out mere renewals.
    passed_on: RefCell<HashMap<Arc<str>, ReplicaAnnouncement>>,
    /// Those that wait for something new.
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
    followed: RefCell<Option<InstanceId>>,
}

impl FeedHandle {
    /// Creates a handle of an instance that knows no others yet, and so reads all itself.
    pub fn new(peers: PeerHandle) -> Self {
        Self(Rc::new(FeedShared {
            peers,
            choice: RefCell::default(),
            head: Cell::default(),
            replicas: RefCell::default(),
            passed_on: RefCell::default(),
            waiting: RefCell::default(),
            followed: RefCell::default(),
        }))
    }

    /// Keeps the choice of readers up to date until the process ends.
    pub async fn follow_members(self, own: InstanceId, zone: ZoneName, members: MembersHandle) {
        let mut changes = members.subscribe();
        while let Some(change) = changes.next().await {
            if let MemberChange::View(view) = change {
                let live = view.locations.iter().filter(|one| view.live.contains(&one.owner));
                self.0.choice.borrow_mut().update(&own, &zone, live.cloned());
            }
        }
    }

    /// Publishes that a version was the newest at a time.
    pub fn publish_head(&self, proof: VersionProof) {
        let is_newer = self.0.head.get().is_none_or(|known| known.version < proof.version);
        let latest = self.0.head.get().filter(|known| known.version > proof.version);
        if latest.is_none() {
            self.0.head.set(Some(proof));
        }
        if is_newer {
            self.wake();
        }
    }

    /// Publishes all changes of replicas after a revision, up to another one.
    pub fn publish_replicas(
        &self,
        era: u64,
        after: FeedRevision,
        notices: &RevisedNotices,
        end: FeedRevision,
    ) {
        let news = notices.iter().filter(|(_, notice)| self.is_news(notice)).cloned();
        let news: RevisedNotices = news.collect();
        let has_news = !news.is_empty();
        self.0.replicas.borrow_mut().record(era, after, news, end);
        if has_news {
            self.wake();
        }
    }

    /// Records that changes of replicas may be missed from now on.
    pub fn lose_replicas(&self) {
        self.0.replicas.borrow_mut().clear();
        self.0.passed_on.borrow_mut().clear();
    }

    /// Whether a notice says more than that a replica is still there.
    fn is_news(&self, notice: &ReplicaNotice) -> bool {
        let mut passed_on = self.0.passed_on.borrow_mut();
        match notice {
            ReplicaNotice::Announced(announcement) => {
                let without_sequence = ReplicaAnnouncement { sequence: 0, ..announcement.clone() };
                let replica = announcement.replica.clone();
                let before = passed_on.insert(replica, without_sequence.clone());
                before != Some(without_sequence)
            }
            ReplicaNotice::Withdrawn(replica) => {
                passed_on.remove(replica);
                true
            }
        }
    }

    fn wake(&self) {
        for waiting in self.0.waiting.take() {
            // Fails if the question was given up.
            let _ = waiting.send(());
        }
    }

    async fn wait(&self) {
        let (sender, woken) = oneshot::channel();
        let waiting = &self.0.waiting;
        waiting.borrow_mut().retain(|waiting| !waiting.is_canceled());
        waiting.borrow_mut().push(sender);
        let _ = woken.await;
    }

    /// Answers a follower that knows a version: waits for a newer one, but not for long. `None` if this instance does
    /// not know enough to be followed.
    pub async fn answer_head(&self, known: ConfigVersion) -> Option<(ConfigVersion, Duration)> {
        if self.0.choice.borrow().is_follower() {
            return None;
        }
        if self.0.head.get()?.version <= known {
            let newer = async {
                while self.0.head.get().is_some_and(|head| head.version <= known) {
                    self.wait().await;
                }
            };
            let _ = timeout(WAIT_MAX, newer).await;
        }
        let head = self.0.head.get()?;
        let age = clock::boot_time().saturating_sub(head.at);
        (age <= PROOF_AGE_MAX).then_some((head.version, age))
    }

    /// Answers a follower that knows the replicas at a revision, in the same way.
    pub async fn answer_replicas(
        &self,
        era: u64,
        after: FeedRevision,
    ) -> Option<(RevisedNotices, FeedRevision)> {
        if self.0.choice.borrow().is_follower() {
            return None;
        }
        let answer = || self.0.replicas.borrow().since(era, after);
        let is_empty = |(notices, _): &(RevisedNotices, FeedRevision)| notices.is_empty();
        let news = async {
            while answer().as_ref().is_some_and(is_empty) {
                self.wait().await;
            }
        };
        let _ = timeout(WAIT_MAX, news).await;
        answer()
    }

    /// Asks the reader that this instance follows for a version above a known one. Returns the newest version and when
    /// it was proved; `None` if this instance is to ask the platform itself.
    pub async fn follow_head(&self, known: ConfigVersion) -> Option<VersionProof> {
        let reader = self.reader()?;
        let sent = clock::boot_time();
        match self.ask(&reader, PeerRequest::FollowHead(known)).await {
            Some(PeerReply::HeadProof { version, age }) if version >= known => {
                // The reader computed the age after this question was sent.
                Some(VersionProof { version, at: sent.saturating_sub(age) })
            }
            _ => self.leave(&reader),
        }
    }

    /// Asks the reader that this instance follows for changes of replicas after a revision; `None` as above.
    pub async fn follow_replicas(
        &self,
        era: u64,
        after: FeedRevision,
    ) -> Option<(RevisedNotices, FeedRevision)> {
        let reader = self.reader()?;
        match self.ask(&reader, PeerRequest::FollowReplicas { era, after }).await {
            Some(PeerReply::ReplicaChanges { notices, end }) if end >= after => {
                Some((notices, end))
            }
            _ => self.leave(&reader),
        }
    }

    /// How long a watch of the store may take at this instance: one that is followed confirms more often than that, so
    /// that its proofs are young when they arrive.
    pub fn watch_wait(&self, wait: Duration) -> Duration {
        if self.0.choice.borrow().is_followed() { wait.min(FOLLOWED_WAIT) } else { wait }
    }

    fn reader(&self) -> Option<InstanceId> {
        let reader = self.0.choice.borrow().reader(clock::now()).cloned();
        self.0.followed.replace(reader.clone());
        reader
    }

    async fn ask(&self, reader: &InstanceId, request: PeerRequest) -> Option<PeerReply> {
        let deadline = clock::now() + WAIT_MAX + ANSWER_TIME;
        self.0.peers.call(reader, request, deadline).await.ok()
    }

    fn leave<T>(&self, reader: &InstanceId) -> Option<T> {
        log::debug!("{reader} does not pass on the platform's state; asking the platform");
        self.0.choice.borrow_mut().record_failure(reader, clock::now());
        None
    }

    /// Whom this instance follows and how old its own proof is, for the status page.
    pub fn status(&self) -> Value {
        let head = self.0.head.get();
        let age = head.map(|head| clock::boot_time().saturating_sub(head.at).as_secs_f64());
        json!({
            "reads": !self.0.choice.borrow().is_follower(),
            "follows": *self.0.followed.borrow(),
            "proof_version": head.map(|head| head.version),
            "proof_age_s": age,
        })
    }
}
