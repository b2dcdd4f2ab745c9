//! Finds the part or the request that the requests lost in crashes have in common.
//!
//! A crash ends every request on its endpoint, so that each is lost together with sound ones. A part is the
//! cause if endpoint after endpoint crashes under it, each with a request that was sent after the previous
//! crash, while no request with it is served. A whole request is the cause if several endpoints crash
//! under it and its repeats, also at the same moment, while none of them is served: it is not on
//! several endpoints by chance. A cause is blocked and then tried once: if that request crashes its
//! endpoint as well, the cause explains the crashes under it, and what was lost with it is no longer
//! suspected.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::suspect::{CRASHES_TO_BLOCK, SeenCrash, Suspect};
use super::{BlockList, CauseKey, CrashCause, ServedCauses};
use crate::ids::{EndpointId, PoolId};

/// Crashes after which instances are asked whether they served a possible cause.
const CRASHES_TO_WATCH: usize = 2;
/// Time for the trial of a blocked cause, in which nothing else in its pool is blocked.
const TRIAL_WAIT_MAX: Duration = Duration::from_secs(1);
/// Time for which the crashes under a blocked cause count for no other suspect although it was not tried yet:
/// all endpoints may be down, or no request with it may come.
const PENDING_TIME_MAX: Duration = Duration::from_secs(60);
/// Maximum number of possible causes of which instances report that they serve them; those whose last crash is
/// oldest are left out.
const WATCHED_MAX: usize = 256;
/// Maximum number of suspects; beyond it, those with the fewest crashes are dropped.
const SUSPECTS_MAX: usize = 4096;
/// Maximum number of endpoints that are kept as crashed under blocked causes.
const EXPLAINED_MAX: usize = 1024;

/// A request that was lost in a crash.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LostRequest {
    /// The parts of its prompt that other requests may have as well, in order, and then the request itself.
    pub causes: Vec<CrashCause>,
    /// When it was sent to the endpoint.
    pub sent_at: Instant,
}

/// The requests of one instance that were lost in the crash of an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// The pool of the endpoint.
    pub pool: PoolId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The requests, except those that had been answered for some time.
    pub lost: Vec<LostRequest>,
    /// When the crash was known, if it is reported again; `None` if it has just become known.
    pub crashed_at: Option<Instant>,
}

/// A cause that is to be blocked, and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BlockDecision {
    /// The cause.
    pub key: CauseKey,
    /// The endpoints that crashed under it.
    pub endpoints: Vec<EndpointId>,
}

/// A blocked cause whose trial is awaited.
#[derive(Clone, Debug)]
struct PendingBlock {
    decision: BlockDecision,
    since: Instant,
}

/// Counts crashes by the possible causes that were lost in them.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    suspects: HashMap<CauseKey, Suspect>,
    pending: HashMap<PoolId, Vec<PendingBlock>>,
    /// The request that is being tried in a pool, and since when.
    trials: HashMap<PoolId, (CauseKey, Instant)>,
    /// When causes were served, also those that are no suspects any more: their crashes may be reported again.
    served: ServedCauses,
    /// Endpoints that crashed under a blocked cause, oldest first.
    explained: VecDeque<EndpointId>,
}

impl CrashLedger {
    /// Records a crash, unless a blocked cause explains it.
    pub fn record_crash(&mut self, report: &CrashReport, blocked: &BlockList, now: Instant) {
        let pool = &report.pool;
        let is_blocked = |lost: &LostRequest| blocked.find(pool, &lost.causes).is_some();
        if report.lost.iter().any(is_blocked) {
            self.end_trial(report);
            self.confirm(report);
            self.explain(&report.endpoint);
        }
        if self.explained.contains(&report.endpoint) {
            return;
        }
        let known_at = report.crashed_at.unwrap_or(now);
        for lost in &report.lost {
            for (depth, cause) in lost.causes.iter().enumerate() {
                let key = CauseKey { pool: pool.clone(), cause: *cause };
                if self.served.last(&key).is_some_and(|served_at| served_at >= known_at) {
                    continue;
                }
                let suspect = self.suspects.entry(key).or_default();
                suspect.depth = depth;
                let crash = SeenCrash::new(&report.endpoint, lost.sent_at, known_at, now);
                suspect.record_crash(*cause, crash);
            }
        }
        self.drop_excess();
    }

    /// Records that a request with a possible cause was served.
    pub fn record_served(&mut self, key: &CauseKey, served_at: Instant) {
        self.served.record(key.clone(), served_at);
        if let Some(pending) = self.pending.get_mut(&key.pool) {
            pending.retain(|one| one.decision.key != *key);
        }
        self.trials.retain(|_, (tried, _)| tried != key);
        if let Some(suspect) = self.suspects.get_mut(key) {
            suspect.record_served(served_at);
            if suspect.crashes() == 0 {
                self.suspects.remove(key);
            }
        }
    }

    /// Records that another instance blocked a cause; the crashes under it count for no other one until it was tried.
    pub fn record_blocked(&mut self, key: &CauseKey, now: Instant) {
        if let Some(suspect) = self.suspects.remove(key) {
            self.add_pending(key.clone(), suspect, now);
        }
    }

    fn add_pending(&mut self, key: CauseKey, suspect: Suspect, now: Instant) -> BlockDecision {
        let endpoints = suspect.endpoints.into_iter().collect();
        let decision = BlockDecision { key, endpoints };
        let pending = PendingBlock { decision: decision.clone(), since: now };
        self.pending.entry(decision.key.pool.clone()).or_default().push(pending);
        decision
    }

    /// The possible causes under which so many endpoints crashed that instances report when they serve them.
    pub fn watched(&self) -> BTreeSet<CauseKey> {
        let watched = self.suspects.iter().filter(|(_, one)| one.crashes() >= CRASHES_TO_WATCH);
        let mut watched: Vec<_> = watched.map(|(key, one)| (one.last_crash(), key)).collect();
        watched.sort_by(|one, other| other.cmp(one));
        watched.into_iter().take(WATCHED_MAX).map(|(_, key)| key.clone()).collect()
    }

    /// Whether a decision is or will be due without a further crash.
    pub fn is_deciding(&self) -> bool {
        self.suspects.values().any(|suspect| suspect.due(|_| false).is_some())
    }

    /// Chooses the next cause to block, if a decision is due.
    ///
    /// Crashes count for none but the cause that was blocked for them until that was tried. All suspects
    /// with enough crashes are compared, also those that are not due by themselves: a cause that few
    /// requests have is due later than a part that all of them share.
    ///
    /// Only pools for which `may_decide` holds are looked at. Among the suspects under which most endpoints crashed, or nearly as many, it is the one that was served
    /// least recently or never.
    pub fn decide(
        &mut self,
        now: Instant,
        may_decide: impl Fn(&PoolId) -> bool,
    ) -> Option<BlockDecision> {
        for pending in self.pending.values_mut() {
            pending.retain(|one| now < one.since + PENDING_TIME_MAX);
        }
        let is_due = |key: &CauseKey, suspect: &Suspect| {
            if !may_decide(&key.pool) {
                return false;
            }
            let due = suspect.due(|endpoint| self.is_explained(key, endpoint));
            due.is_some_and(|due| now >= due) && self.may_block(key, now)
        };
        let (due, _) = self.suspects.iter().find(|(key, suspect)| is_due(key, suspect))?;
        let is_candidate = |key: &CauseKey, suspect: &Suspect| {
            let unexplained = suspect.endpoints.iter().filter(|one| !self.is_explained(key, one));
            key.pool == due.pool
                && unexplained.count() >= CRASHES_TO_BLOCK
                && self.may_block(key, now)
        };
        let candidates: Vec<_> =
            self.suspects.iter().filter(|(key, suspect)| is_candidate(key, suspect)).collect();
        let most = candidates.iter().map(|(_, suspect)| suspect.endpoints.len()).max()?;
        let (key, _) = candidates
            .into_iter()
            .filter(|(_, one)| one.endpoints.len() as f64 >= one.crash_share_min() * most as f64)
            .min_by_key(|(key, suspect)| {
                let crashes = Reverse((suspect.endpoints.len(), suspect.depth));
                (suspect.served_at, crashes, key.cause)
            })?;
        let key = key.clone();
        let suspect = self.suspects.remove(&key)?;
        Some(self.add_pending(key, suspect, now))
    }

    /// Whether a blocked cause that was not tried yet is held to have crashed an endpoint, and not a suspect.
    fn is_explained(&self, suspect: &CauseKey, endpoint: &EndpointId) -> bool {
        let pending = self.pending.get(&suspect.pool).into_iter().flatten();
        let mut others = pending.filter(|one| !are_requests(one, suspect));
        others.any(|one| one.decision.endpoints.contains(endpoint))
    }

    /// Whether a suspect may be blocked although trials are awaited in its pool.
    ///
    /// A part waits for them, since what it is suspected of may be explained by then; a wrong block
    /// would refuse many requests. Requests are blocked together, since one that still crashes endpoints
    /// would end the trials of the others.
    fn may_block(&self, key: &CauseKey, now: Instant) -> bool {
        let pending = self.pending.get(&key.pool).into_iter().flatten();
        let mut awaited = pending.filter(|one| now < one.since + TRIAL_WAIT_MAX);
        awaited.all(|one| are_requests(one, key))
    }

    /// Begins the trial of a blocked cause; returns whether it has begun.
    ///
    /// One cause is tried at a time in a pool: requests that try two of them may share an endpoint, and its
    /// crash would seem to confirm both.
    pub fn begin_trial(&mut self, key: &CauseKey, now: Instant) -> bool {
        let under_way = self.trials.get(&key.pool);
        if under_way.is_some_and(|(_, since)| now < *since + TRIAL_WAIT_MAX) {
            return false;
        }
        self.trials.insert(key.pool.clone(), (key.clone(), now));
        true
    }

    /// Ends the trial that is under way if its request was lost in a crash.
    fn end_trial(&mut self, report: &CrashReport) {
        self.trials.retain(|pool, (key, since)| {
            let mut lost = report.lost.iter();
            let is_older = report.crashed_at.is_some_and(|crashed_at| crashed_at < *since);
            let is_other = *pool != report.pool || is_older;
            is_other || !lost.any(|one| one.causes.contains(&key.cause))
        });
    }

    /// Confirms that a cause was blocked rightly if a request that was sent later crashed its endpoint.
    fn confirm(&mut self, report: &CrashReport) {
        let Some(pending) = self.pending.get_mut(&report.pool) else { return };
        let is_tried = |one: &mut PendingBlock| {
            let cause = &one.decision.key.cause;
            let mut lost = report.lost.iter();
            lost.any(|lost| lost.causes.contains(cause) && lost.sent_at > one.since)
        };
        let confirmed: Vec<_> = pending.extract_if(.., is_tried).collect();
        for endpoint in confirmed.iter().flat_map(|one| &one.decision.endpoints) {
            self.explain(endpoint);
        }
    }

    /// Records that an endpoint crashed because of a blocked cause.
    fn explain(&mut self, endpoint: &EndpointId) {
        if self.explained.contains(endpoint) {
            return;
        }
        self.explained.push_back(endpoint.clone());
        if self.explained.len() > EXPLAINED_MAX {
            self.explained.pop_front();
        }
        for suspect in self.suspects.values_mut() {
            suspect.forget_crash(endpoint);
        }
        self.suspects.retain(|_, suspect| suspect.crashes() > 0);
    }

    fn drop_excess(&mut self) {
        if self.suspects.len() <= SUSPECTS_MAX {
            return;
        }
        let mut order: Vec<_> = self
            .suspects
            .iter()
            .map(|(key, one)| (one.crashes(), one.last_crash(), key))
            .map(|(crashes, last, key)| (crashes, last, key.clone()))
            .collect();
        order.sort();
        // Dropping a quarter at once keeps the cost of a report low.
        for (_, _, key) in order.into_iter().take(SUSPECTS_MAX / 4) {
            self.suspects.remove(&key);
        }
    }
}

/// Whether both a blocked cause and a suspect are whole requests, which are blocked together.
fn are_requests(pending: &PendingBlock, suspect: &CauseKey) -> bool {
    let is_request = |cause: CrashCause| matches!(cause, CrashCause::Request(_));
    is_request(pending.decision.key.cause) && is_request(suspect.cause)
}
