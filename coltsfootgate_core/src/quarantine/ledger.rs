//! Finds the part that the requests lost in crashes have in common.
//!
//! A crash ends every request on its endpoint, so that each is lost together with sound ones, whose parts
//! are lost as well. A part is the cause if endpoint after endpoint crashes under it, each with a
//! request that was sent after the previous crash, while no request with it is served. Such a part is
//! blocked and then tried once: if that request crashes its endpoint as well, the part explains the
//! crashes under it, and the parts that were lost with it are no longer suspected.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::{BlockList, PartId, PartKey};
use crate::ids::{EndpointId, PoolId};

/// Crashes in sequence after which instances are asked whether they served a part.
const CRASHES_TO_WATCH: usize = 2;
/// Crashes in sequence after which a part is blocked.
const CRASHES_TO_BLOCK: usize = 3;
/// Delay of a decision, in which other instances report the same crash or that a part was served.
const DECISION_DELAY: Duration = Duration::from_millis(150);
/// Time for the trial of a blocked part, in which no other part of its pool is blocked.
const TRIAL_WAIT_MAX: Duration = Duration::from_secs(1);
/// Maximum number of parts of which instances report that they serve them; those whose last crash is
/// oldest are left out.
const WATCHED_MAX: usize = 256;
/// Share of the crashes under the most suspected part that another one must have to be blocked first.
const CRASH_SHARE_MIN: f64 = 0.75;
/// Maximum number of suspected parts; beyond it, those with the fewest crashes are dropped.
const SUSPECTS_MAX: usize = 4096;
/// Maximum number of endpoints that are kept for one suspected part.
const SUSPECT_ENDPOINTS_MAX: usize = 64;
/// Maximum number of endpoints that are kept as crashed under a blocked part.
const EXPLAINED_MAX: usize = 1024;

/// A request that was lost in a crash.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LostRequest {
    /// The parts of its prompt that other requests may have as well, in order.
    pub parts: Vec<PartId>,
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
}

/// A part that is to be blocked, and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BlockDecision {
    /// The part.
    pub key: PartKey,
    /// The endpoints that crashed under it.
    pub endpoints: Vec<EndpointId>,
}

/// A blocked part whose trial is awaited.
#[derive(Clone, Debug)]
struct PendingBlock {
    decision: BlockDecision,
    since: Instant,
}

#[derive(Clone, Debug)]
struct CountedCrash {
    endpoint: EndpointId,
    at: Instant,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Crashes in sequence since the part was last served.
    counted: Vec<CountedCrash>,
    /// All endpoints that crashed under the part since then.
    endpoints: BTreeSet<EndpointId>,
    /// Position of the part in its prompts.
    depth: usize,
    /// When a request with the part was last served, as far as known.
    served_at: Option<Instant>,
}

impl Suspect {
    fn record_crash(&mut self, endpoint: &EndpointId, sent_at: Instant, now: Instant) {
        if self.endpoints.len() < SUSPECT_ENDPOINTS_MAX {
            self.endpoints.insert(endpoint.clone());
        }
        let is_known = self.counted.iter().any(|crash| crash.endpoint == *endpoint);
        // Endpoints that crash at the same moment have a common cause, which need not be the part.
        let is_later = self.counted.last().is_none_or(|last| sent_at > last.at);
        if !is_known && is_later {
            self.counted.push(CountedCrash { endpoint: endpoint.clone(), at: now });
        }
    }

    fn record_served(&mut self, served_at: Instant) {
        self.served_at = self.served_at.max(Some(served_at));
        self.counted.retain(|crash| crash.at > served_at);
        if self.counted.is_empty() {
            self.endpoints.clear();
        }
    }

    fn forget_crash(&mut self, endpoint: &EndpointId) {
        self.counted.retain(|crash| crash.endpoint != *endpoint);
        self.endpoints.remove(endpoint);
    }

    /// When the part may be blocked; `None` if too few endpoints crashed.
    fn due(&self) -> Option<Instant> {
        let last = self.counted.get(CRASHES_TO_BLOCK - 1)?;
        Some(last.at + DECISION_DELAY)
    }
}

/// Counts crashes by the parts of the prompts that were lost in them.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    suspects: HashMap<PartKey, Suspect>,
    pending: HashMap<PoolId, PendingBlock>,
    /// Endpoints that crashed under a blocked part, oldest first.
    explained: VecDeque<EndpointId>,
}

impl CrashLedger {
    /// Records a crash, unless a blocked part explains it.
    pub fn record_crash(&mut self, report: &CrashReport, blocked: &BlockList, now: Instant) {
        let pool = &report.pool;
        let is_blocked = |lost: &LostRequest| blocked.find(pool, &lost.parts).is_some();
        if report.lost.iter().any(is_blocked) {
            self.confirm(report);
            self.explain(&report.endpoint);
        }
        if self.explained.contains(&report.endpoint) {
            return;
        }
        for lost in &report.lost {
            for (depth, part) in lost.parts.iter().enumerate() {
                let key = PartKey { pool: pool.clone(), part: *part };
                let suspect = self.suspects.entry(key).or_default();
                suspect.depth = depth;
                suspect.record_crash(&report.endpoint, lost.sent_at, now);
            }
        }
        self.drop_excess();
    }

    /// Records that a request with a part was served.
    pub fn record_served(&mut self, key: &PartKey, served_at: Instant) {
        let is_pending = |pending: &PendingBlock| pending.decision.key == *key;
        if self.pending.get(&key.pool).is_some_and(is_pending) {
            self.pending.remove(&key.pool);
        }
        if let Some(suspect) = self.suspects.get_mut(key) {
            suspect.record_served(served_at);
            if suspect.counted.is_empty() {
                self.suspects.remove(key);
            }
        }
    }

    /// The parts under which so many endpoints crashed that instances report when they serve them.
    pub fn watched(&self) -> BTreeSet<PartKey> {
        let watched = self.suspects.iter().filter(|(_, one)| one.counted.len() >= CRASHES_TO_WATCH);
        let mut watched: Vec<_> =
            watched.map(|(key, one)| (one.counted.last().map(|last| last.at), key)).collect();
        watched.sort_by(|one, other| other.cmp(one));
        watched.into_iter().take(WATCHED_MAX).map(|(_, key)| key.clone()).collect()
    }

    /// Whether a decision is or will be due without a further crash.
    pub fn is_deciding(&self) -> bool {
        self.suspects.values().any(|suspect| suspect.due().is_some())
    }

    /// Chooses the next part to block, if a decision is due.
    ///
    /// Among the parts under which most endpoints crashed, it is the one that was served least recently or
    /// never.
    pub fn decide(&mut self, now: Instant) -> Option<BlockDecision> {
        self.pending.retain(|_, pending| now < pending.since + TRIAL_WAIT_MAX);
        let is_due = |suspect: &Suspect| suspect.due().is_some_and(|due| now >= due);
        let mut due = self.suspects.iter().filter(|(_, suspect)| is_due(suspect));
        let (due, _) = due.find(|(key, _)| !self.pending.contains_key(&key.pool))?;
        let candidates: Vec<_> = self
            .suspects
            .iter()
            .filter(|(key, suspect)| key.pool == due.pool && suspect.due().is_some())
            .collect();
        let most = candidates.iter().map(|(_, suspect)| suspect.endpoints.len()).max()?;
        let (key, _) = candidates
            .into_iter()
            .filter(|(_, one)| one.endpoints.len() as f64 >= CRASH_SHARE_MIN * most as f64)
            .min_by_key(|(key, suspect)| {
                let crashes = Reverse((suspect.endpoints.len(), suspect.depth));
                (suspect.served_at, crashes, key.part)
            })?;
        let key = key.clone();
        let suspect = self.suspects.remove(&key)?;
        let endpoints = suspect.endpoints.into_iter().collect();
        let decision = BlockDecision { key, endpoints };
        let pending = PendingBlock { decision: decision.clone(), since: now };
        self.pending.insert(decision.key.pool.clone(), pending);
        Some(decision)
    }

    /// Confirms that a part was blocked rightly if a request that was sent later crashed its endpoint.
    fn confirm(&mut self, report: &CrashReport) {
        let Some(pending) = self.pending.get(&report.pool) else { return };
        let part = &pending.decision.key.part;
        let is_trial =
            |lost: &LostRequest| lost.parts.contains(part) && lost.sent_at > pending.since;
        if !report.lost.iter().any(is_trial) {
            return;
        }
        if let Some(confirmed) = self.pending.remove(&report.pool) {
            for endpoint in &confirmed.decision.endpoints {
                self.explain(endpoint);
            }
        }
    }

    /// Records that an endpoint crashed because of a blocked part.
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
        self.suspects.retain(|_, suspect| !suspect.counted.is_empty());
    }

    fn drop_excess(&mut self) {
        if self.suspects.len() <= SUSPECTS_MAX {
            return;
        }
        let mut order: Vec<_> = self
            .suspects
            .iter()
            .map(|(key, one)| (one.counted.len(), one.counted.last().map(|last| last.at), key))
            .map(|(crashes, last, key)| (crashes, last, key.clone()))
            .collect();
        order.sort();
        // Dropping a quarter at once keeps the cost of a report low.
        for (_, _, key) in order.into_iter().take(SUSPECTS_MAX / 4) {
            self.suspects.remove(&key);
        }
    }
}
