//! The task that collects crashes and shares the list of blocked causes with other instances.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::oneshot;
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use log::{debug, info, warn};
use monoio::time::timeout;
use rand::seq::IndexedRandom;

use coltsfootgate_core::prelude::{InstanceId, PoolId};
use coltsfootgate_core::quarantine::{
    BlockList, CauseKey, CrashCause, CrashLedger, CrashReport, QuarantineNotice,
};
use coltsfootgate_wire::{PeerReply, PeerRequest};

use super::check::CrashChecks;
use super::{QuarantineHandle, QuarantineMessage};
use crate::clock;
use crate::endpoint::EndpointAccess;
use crate::members::{MemberChange, MembersHandle};
use crate::metrics::DaemonMetrics;
use crate::peer::PeerHandle;

/// Time limit of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of instances, in the order in which they own the decisions about a pool, that are tried.
const OWNERS_TRIED: usize = 2;
/// Interval at which the list is compared with that of another instance.
const COMPARE_PERIOD: Duration = Duration::from_secs(2);
/// Interval at which due decisions are made.
const DECISION_PERIOD: Duration = Duration::from_millis(50);
/// Number of possible causes that a log line names.
const LOGGED_CAUSES_MAX: usize = 16;

/// Collects crashes, decides as the owner of a pool, and keeps the list of blocked causes.
pub struct QuarantineTask {
    own: InstanceId,
    handle: QuarantineHandle,
    members: MembersHandle,
    peers: PeerHandle,
    metrics: DaemonMetrics,
    checks: CrashChecks,
    ledger: CrashLedger,
    list: BlockList,
    /// The causes that instances watch, by the instance that told so.
    watched: HashMap<InstanceId, BTreeSet<CauseKey>>,
    compared_at: Instant,
}

impl QuarantineTask {
    /// Creates the task of an instance.
    pub fn new(
        own: InstanceId,
        handle: QuarantineHandle,
        members: MembersHandle,
        peers: PeerHandle,
        access: EndpointAccess,
        metrics: DaemonMetrics,
    ) -> Self {
        Self {
            own,
            handle,
            members,
            peers,
            metrics,
            checks: CrashChecks::new(access),
            ledger: CrashLedger::default(),
            list: BlockList::default(),
            watched: HashMap::new(),
            compared_at: clock::now(),
        }
    }

    /// Runs until the handles are dropped or the membership task has ended.
    pub(crate) async fn run(mut self, mut messages: UnboundedReceiver<QuarantineMessage>) {
        let mut changes = self.members.subscribe();
        loop {
            let period = if self.ledger.is_deciding() { DECISION_PERIOD } else { COMPARE_PERIOD };
            match timeout(period, select(messages.next(), changes.next())).await {
                Ok(Either::Left((Some(message), _))) => self.handle_message(message),
                Ok(Either::Right((Some(change), _))) => self.handle_change(&change),
                Ok(Either::Left((None, _)) | Either::Right((None, _))) => return,
                Err(_) => {}
            }
            self.decide();
            if clock::now() >= self.compared_at + COMPARE_PERIOD {
                self.compare_with_peer();
            }
        }
    }

    fn handle_message(&mut self, message: QuarantineMessage) {
        match message {
            QuarantineMessage::Lost(attempt) => self.checks.add(attempt, &self.handle),
            QuarantineMessage::Checked { endpoint, has_crashed } => {
                if let Some(report) = self.checks.finish(&endpoint).filter(|_| has_crashed) {
                    self.report_crash(report);
                }
            }
            QuarantineMessage::ServedHere(served) => self.report_served(served),
            QuarantineMessage::Crash(report) => self.record_crash(&report),
            QuarantineMessage::Served(served) => self.record_served(&served),
            QuarantineMessage::Noticed { from, notice } => self.merge_notice(from, notice),
            QuarantineMessage::Compared { from, digest } => {
                if digest != self.list.digest() {
                    self.send_notice(&from);
                }
            }
            QuarantineMessage::TakeTrial { key, reply } => self.take_trial(key, reply),
            QuarantineMessage::DecideTrial { key, reply } => self.decide_trial(&key, reply),
        }
    }

    /// Forgets what departed instances watched, and compares the list with one that may be new.
    fn handle_change(&mut self, change: &MemberChange) {
        let MemberChange::View(view) = change else { return };
        let own = self.own.clone();
        self.watched.retain(|instance, _| *instance == own || view.zone(instance).is_some());
        self.publish();
        self.compare_with_peer();
    }

    /// Reports a crash to the owner of the decisions about its pool.
    fn report_crash(&mut self, report: CrashReport) {
        let causes: BTreeSet<CrashCause> =
            report.lost.iter().flat_map(|lost| lost.causes.iter().copied()).collect();
        let named: Vec<_> =
            causes.iter().take(LOGGED_CAUSES_MAX).map(ToString::to_string).collect();
        info!(
            "endpoint {} crashed with {} requests in flight, {} possible causes: {}",
            report.endpoint,
            report.lost.len(),
            causes.len(),
            named.join(", ")
        );
        self.metrics.endpoint_crashed(&report.pool);
        let pool = report.pool.clone();
        self.send_to_owner(&pool, PeerRequest::ReportCrash(report.clone()), || {
            QuarantineMessage::Crash(report)
        });
    }

    fn report_served(&mut self, served: Vec<(CauseKey, Instant)>) {
        let Some((key, _)) = served.first() else { return };
        let pool = key.pool.clone();
        self.send_to_owner(&pool, PeerRequest::ReportServed(served.clone()), || {
            QuarantineMessage::Served(served)
        });
    }

    /// Sends a request to the owner of the decisions about a pool, or the message to this task if that is
    /// this instance or no other one can be reached.
    fn send_to_owner(
        &self,
        pool: &PoolId,
        request: PeerRequest,
        message: impl FnOnce() -> QuarantineMessage + 'static,
    ) {
        let (handle, peers, own) = (self.handle.clone(), self.peers.clone(), self.own.clone());
        let owners = self.owners(pool);
        monoio::spawn(async move {
            for owner in owners.into_iter().take_while(|owner| *owner != own) {
                let deadline = clock::now() + CALL_TIMEOUT;
                match peers.call(&owner, request.clone(), deadline).await {
                    Ok(_) => return,
                    Err(error) => debug!("no answer from {owner}: {}", error.name()),
                }
            }
            handle.send(message());
        });
    }

    /// The instances that own the decisions about a pool, the first one first.
    fn owners(&self, pool: &PoolId) -> Vec<InstanceId> {
        let view = self.members.view();
        let ranked = view.owners.ranked(&format!("quarantine.{pool}"));
        ranked.into_iter().take(OWNERS_TRIED).cloned().collect()
    }

    fn record_crash(&mut self, report: &CrashReport) {
        self.ledger.record_crash(report, &self.list, clock::now());
        self.share_watched();
    }

    fn record_served(&mut self, served: &[(CauseKey, Instant)]) {
        let mut is_released = false;
        for (key, served_at) in served {
            self.ledger.record_served(key, *served_at);
            if self.list.release(key, *served_at, clock::now()) {
                info!("{} of {} was served and is released", key.cause, key.pool);
                is_released = true;
            }
        }
        if is_released {
            self.share();
        }
    }

    fn decide(&mut self) {
        while let Some(decision) = self.ledger.decide(clock::now()) {
            let (key, endpoints) = (decision.key, decision.endpoints);
            warn!(
                "{} of {} is blocked: {} endpoints crashed under it: {}",
                key.cause,
                key.pool,
                endpoints.len(),
                endpoints.join(" ")
            );
            self.list.block(key, endpoints.len(), clock::now());
            self.watched.insert(self.own.clone(), self.ledger.watched());
            self.share();
        }
    }

    /// Decides as the owner whether a request may try a blocked cause.
    fn decide_trial(&mut self, key: &CauseKey, reply: oneshot::Sender<bool>) {
        let now = clock::now();
        let may_send = self.list.is_trial_due(key, now)
            && self.ledger.begin_trial(key, now)
            && self.list.take_trial(key, now);
        if may_send {
            info!("{} of {} is tried by one request", key.cause, key.pool);
            self.share();
        }
        // Fails if the request was abandoned; its trial is lost.
        let _ = reply.send(may_send);
    }

    /// Decides as the owner, or asks the owner, whether a request may try a blocked cause.
    fn take_trial(&mut self, key: CauseKey, reply: oneshot::Sender<bool>) {
        let owner = self.owners(&key.pool).into_iter().next();
        let Some(owner) = owner.filter(|owner| *owner != self.own) else {
            return self.decide_trial(&key, reply);
        };
        let peers = self.peers.clone();
        monoio::spawn(async move {
            let deadline = clock::now() + CALL_TIMEOUT;
            let answer = peers.call(&owner, PeerRequest::TakeTrial(key), deadline).await;
            let _ = reply.send(matches!(answer, Ok(PeerReply::Trial(true))));
        });
    }

    fn share_watched(&mut self) {
        let watched = self.ledger.watched();
        let known = self.watched.get(&self.own);
        if known.is_some_and(|known| *known == watched) || known.is_none() && watched.is_empty() {
            return;
        }
        // What this instance served itself counts without a message.
        let served = watched.iter().filter_map(|key| Some((key, self.handle.last_served(key)?)));
        let served: Vec<_> = served.map(|(key, at)| (key.clone(), at)).collect();
        self.watched.insert(self.own.clone(), watched);
        self.share();
        self.record_served(&served);
    }

    /// Applies the list here and sends it to all other instances.
    fn share(&mut self) {
        self.publish();
        for instance in self.members.view().answering(&self.own) {
            self.send_notice(instance);
        }
    }

    fn publish(&self) {
        self.metrics.causes_blocked(self.list.blocked_count());
        let watched = self.watched.values().flatten().cloned().collect();
        self.handle.publish(&self.list, watched);
    }

    fn send_notice(&self, instance: &InstanceId) {
        let entries = self.list.entries().map(|(key, entry)| (key.clone(), entry.clone()));
        let watched = self.watched.get(&self.own).into_iter().flatten().cloned();
        let notice = QuarantineNotice { entries: entries.collect(), watched: watched.collect() };
        self.send(instance.clone(), PeerRequest::ShareQuarantine(notice));
    }

    fn merge_notice(&mut self, from: InstanceId, notice: QuarantineNotice) {
        for key in self.list.merge(notice.entries) {
            info!("the state of {} of {} has changed", key.cause, key.pool);
        }
        let watched: BTreeSet<CauseKey> = notice.watched.into_iter().collect();
        let known = self.watched.insert(from.clone(), watched.clone()).unwrap_or_default();
        self.publish();
        let new = watched.difference(&known);
        let served = new.filter_map(|key| Some((key.clone(), self.handle.last_served(key)?)));
        let served: Vec<_> = served.collect();
        if !served.is_empty() {
            self.send(from, PeerRequest::ReportServed(served));
        }
    }

    /// States the digest of the list to a random peer, which shares its list if that differs.
    fn compare_with_peer(&mut self) {
        self.compared_at = clock::now();
        let view = self.members.view();
        if let Some(peer) = view.answering(&self.own).choose(&mut rand::rng()) {
            let request = PeerRequest::CompareQuarantine(self.list.digest());
            self.send((*peer).clone(), request);
        }
    }

    fn send(&self, instance: InstanceId, request: PeerRequest) {
        let peers = self.peers.clone();
        monoio::spawn(async move {
            let (name, deadline) = (request.name(), clock::now() + CALL_TIMEOUT);
            if let Err(error) = peers.call(&instance, request, deadline).await {
                debug!("could not send {name} to {instance}: {}", error.name());
            }
        });
    }
}
