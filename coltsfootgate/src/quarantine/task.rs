//! The task that collects crashes and shares the list of blocked causes with other instances.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::oneshot;
use futures_util::StreamExt;
use futures_util::future::{Either, join_all, select};
use log::{debug, info, warn};
use monoio::time::timeout;
use rand::seq::IndexedRandom;

use coltsfootgate_core::prelude::{InstanceId, PoolId};
use coltsfootgate_core::quarantine::{
    BlockDecision, BlockList, CauseKey, CrashCause, CrashLedger, CrashReport, KeptReports,
    QuarantineNotice,
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
/// Number of instances, in the order in which they own the decisions about a pool, that count its crashes. The first one
/// decides, the others know as much when it is lost.
const COUNTING_INSTANCES: usize = 2;
/// Number of times that a crash is stated again to an instance that does not answer.
const RESTATE_ATTEMPTS: u32 = 3;
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
    /// The crashes that this instance reported.
    kept: KeptReports,
    /// The instances that were told of them, by pool.
    told: HashMap<PoolId, Vec<InstanceId>>,
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
            kept: KeptReports::default(),
            told: HashMap::new(),
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
        let view = match change {
            MemberChange::View(view) => view,
            MemberChange::Restarted(instance) => return self.restate_to_restarted(instance),
            MemberChange::Lost(_) | MemberChange::Pressure(..) => return,
        };
        self.restate_to_new();
        let own = self.own.clone();
        self.watched.retain(|instance, _| *instance == own || view.zone(instance).is_some());
        self.publish();
        self.compare_with_peer();
    }

    /// Reports a crash to the instances that count those of its pool.
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
        self.kept.record(&report, clock::now());
        self.told.insert(pool.clone(), self.owners(&pool));
        self.send_to_owners(&pool, PeerRequest::ReportCrash(report.clone()), || {
            QuarantineMessage::Crash(report)
        });
    }

    /// Tells the instances that begin to count the crashes of a pool of those that were reported before.
    fn restate_to_new(&mut self) {
        for pool in self.kept.pools() {
            let owners = self.owners(&pool);
            let told = self.told.insert(pool.clone(), owners.clone()).unwrap_or_default();
            for owner in owners.iter().filter(|owner| !told.contains(owner)) {
                self.restate(&pool, owner);
            }
        }
    }

    /// The new process of an instance knows nothing of what the former one counted.
    fn restate_to_restarted(&self, instance: &InstanceId) {
        for pool in self.kept.pools() {
            if self.owners(&pool).contains(instance) {
                self.restate(&pool, instance);
            }
        }
    }

    fn restate(&self, pool: &PoolId, owner: &InstanceId) {
        let reports = self.kept.restated(pool, |key| self.handle.last_served(key));
        if reports.is_empty() {
            return;
        }
        info!("{owner} is told again of {} crashes of {pool}", reports.len());
        if *owner == self.own {
            let messages = reports.into_iter().map(QuarantineMessage::Crash);
            return messages.for_each(|message| self.handle.send(message));
        }
        let (peers, owner) = (self.peers.clone(), owner.clone());
        monoio::spawn(async move {
            for report in reports {
                let request = PeerRequest::ReportCrash(report);
                if !tell(&peers, &owner, &request, RESTATE_ATTEMPTS).await {
                    warn!("{owner} could not be told again of all crashes");
                    return;
                }
            }
        });
    }

    fn report_served(&mut self, served: Vec<(CauseKey, Instant)>) {
        let Some((key, _)) = served.first() else { return };
        let pool = key.pool.clone();
        self.send_to_owners(&pool, PeerRequest::ReportServed(served.clone()), || {
            QuarantineMessage::Served(served)
        });
    }

    /// Sends a request to the instances that count the crashes of a pool, or the message to this task if it is one of
    /// them or none can be reached.
    fn send_to_owners(
        &self,
        pool: &PoolId,
        request: PeerRequest,
        message: impl FnOnce() -> QuarantineMessage + 'static,
    ) {
        let (handle, peers) = (self.handle.clone(), self.peers.clone());
        let mut owners = self.owners(pool);
        let count = owners.len();
        owners.retain(|owner| *owner != self.own);
        let counts_here = owners.len() < count;
        let told = owners.into_iter().map(move |owner| {
            let (peers, request) = (peers.clone(), request.clone());
            async move { tell(&peers, &owner, &request, 1).await }
        });
        let telling = join_all(told);
        if counts_here {
            handle.send(message());
            monoio::spawn(async move {
                telling.await;
            });
            return;
        }
        monoio::spawn(async move {
            if !telling.await.contains(&true) {
                handle.send(message());
            }
        });
    }

    /// The instances that count the crashes of a pool; the first one decides.
    fn owners(&self, pool: &PoolId) -> Vec<InstanceId> {
        let view = self.members.view();
        let ranked = view.owners.ranked(&format!("quarantine.{pool}"));
        ranked.into_iter().take(COUNTING_INSTANCES).cloned().collect()
    }

    /// Whether this instance decides about a pool.
    fn decides(&self, pool: &PoolId) -> bool {
        self.owners(pool).first().is_none_or(|first| *first == self.own)
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
        while let Some(decision) = self.next_decision() {
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

    fn next_decision(&mut self) -> Option<BlockDecision> {
        let mut ledger = std::mem::take(&mut self.ledger);
        let decision = ledger.decide(clock::now(), |pool| self.decides(pool));
        self.ledger = ledger;
        decision
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
            if self.list.find(&key.pool, &[key.cause]).is_some() {
                self.ledger.record_blocked(&key, clock::now());
            }
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

/// Sends a request to an instance up to so many times; returns whether it was answered.
async fn tell(
    peers: &PeerHandle,
    instance: &InstanceId,
    request: &PeerRequest,
    attempts: u32,
) -> bool {
    for _ in 0..attempts {
        match peers.call(instance, request.clone(), clock::now() + CALL_TIMEOUT).await {
            Ok(_) => return true,
            Err(error) => debug!("no answer from {instance}: {}", error.name()),
        }
    }
    false
}
