//! Replays replicas under traffic, with instances that report crashes to a ledger and share its list.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use coltsfootgate_core::ids::PoolId;
use coltsfootgate_core::quarantine::{
    BlockList, CauseKey, CrashCause, CrashLedger, CrashReport, LostRequest, PartId, RequestDigest,
    SURVIVAL_TIME, SendVerdict,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time between two steps of the model.
const STEP: Duration = Duration::from_millis(5);
const REPLICAS: usize = 12;
const INSTANCES: usize = 9;
/// Requests a second without and with the crashing part.
const SOUND_RATE: f64 = 25.0;
const BAD_RATE: f64 = 8.0;
/// When requests with the crashing part begin, and replicas begin to crash for other reasons.
const TROUBLE_START: Duration = Duration::from_secs(9);
const REPLACE_DELAY: Duration = Duration::from_secs(3);
/// Delay of a report to the ledger, and of its list to the instances.
const REPORT_DELAY: Duration = Duration::from_millis(15);
const SHARE_DELAY: Duration = Duration::from_millis(15);
/// The time that the instances have to block a part; twice as long after the fifth crash, sound requests
/// must go on.
pub const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Numbers of first and second parts of sound prompts.
const FIRST_PARTS: u64 = 8;
const SECOND_PARTS: u64 = 118;
/// The second part that crashes replicas if it is a new one.
const NEW_PART: PartId = 9_999;
/// The request that crashes replicas if it is a repeated one.
const REPEATED_REQUEST: RequestDigest = RequestDigest::MAX;

/// Why replicas crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// A second part that no sound request has.
    NewPart,
    /// A second part that was served before.
    KnownPart,
    /// A first part, which was served before.
    FirstPart,
    /// A new part, while replicas also crash for other reasons.
    NewPartAndFlapping,
    /// Replicas go down and up by turns.
    Flapping,
    /// Half of the replicas end at the same moment, several times.
    PowerLoss,
    /// A request that is repeated; sound requests have its parts.
    RepeatedRequest,
}

impl Cause {
    fn crash_cause(self) -> Option<CrashCause> {
        match self {
            Self::NewPart | Self::NewPartAndFlapping => Some(CrashCause::Part(NEW_PART)),
            Self::KnownPart => Some(CrashCause::Part(100)),
            Self::FirstPart => Some(CrashCause::Part(0)),
            Self::RepeatedRequest => Some(CrashCause::Request(REPEATED_REQUEST)),
            Self::Flapping | Self::PowerLoss => None,
        }
    }

    /// The parts of a request that crashes replicas.
    fn bad_parts(self, other: PartId) -> Vec<PartId> {
        match self.crash_cause() {
            Some(CrashCause::Part(part)) if self == Self::FirstPart => vec![part, other],
            Some(CrashCause::Part(part)) => vec![3, part],
            Some(CrashCause::Request(_)) | None => vec![3, 100],
        }
    }

    /// The number of crashes after which the cause must be blocked in time.
    fn crashes_allowed(self) -> usize {
        if self == Self::RepeatedRequest { 3 } else { 5 }
    }

    fn has_flapping(self) -> bool {
        matches!(self, Self::Flapping | Self::NewPartAndFlapping)
    }
}

#[derive(Clone, Debug)]
struct ModelRequest {
    instance: usize,
    causes: Vec<CrashCause>,
    sent_at: Instant,
    begins_at: Instant,
    ends_at: Instant,
}

#[derive(Clone, Debug)]
struct ModelReplica {
    name: u64,
    returns_at: Option<Instant>,
    running: Vec<ModelRequest>,
}

enum Message {
    Crash(CrashReport),
    Served(CauseKey, Instant),
    Shared(BlockList, BTreeSet<CauseKey>),
}

/// A fleet of replicas, the instances that send requests to them, and the ledger.
pub struct Model {
    random: SmallRng,
    cause: Cause,
    start: Instant,
    now: Instant,
    replicas: Vec<ModelReplica>,
    replicas_made: u64,
    messages: BTreeMap<(Instant, u64), Message>,
    messages_sent: u64,
    ledger: CrashLedger,
    list: BlockList,
    watched: BTreeSet<CauseKey>,
    /// What the instances know.
    shared: BlockList,
    shared_watched: BTreeSet<CauseKey>,
    served: Vec<HashMap<CrashCause, Instant>>,
    requests_made: RequestDigest,
    bad_crashes: Vec<Instant>,
    bad_arrivals: Vec<Instant>,
    blocked_at: Option<Instant>,
    /// Sound requests that were sent and refused since the rule about them holds, by first part.
    begun: BTreeMap<CrashCause, usize>,
    refused: BTreeMap<CrashCause, usize>,
}

impl Model {
    pub fn new(seed: u64, cause: Cause) -> Self {
        let start = Instant::now();
        let replica = |name| ModelReplica { name, returns_at: None, running: Vec::new() };
        Self {
            random: SmallRng::seed_from_u64(seed),
            cause,
            start,
            now: start,
            replicas: (0..REPLICAS as u64).map(replica).collect(),
            replicas_made: REPLICAS as u64,
            messages: BTreeMap::new(),
            messages_sent: 0,
            ledger: CrashLedger::default(),
            list: BlockList::default(),
            watched: BTreeSet::new(),
            shared: BlockList::default(),
            shared_watched: BTreeSet::new(),
            served: vec![HashMap::new(); INSTANCES],
            requests_made: 0,
            bad_crashes: Vec::new(),
            bad_arrivals: Vec::new(),
            blocked_at: None,
            begun: BTreeMap::new(),
            refused: BTreeMap::new(),
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.start + time;
        while self.now < end {
            self.now += STEP;
            self.return_replicas();
            self.finish_requests();
            self.begin_bad_requests();
            self.crash_others();
            self.deliver_messages();
            self.decide();
            self.send_requests();
        }
    }

    pub fn blocked_at(&self) -> Option<Instant> {
        self.blocked_at
    }

    /// The last crash that may happen before the cause must be blocked in time.
    pub fn last_allowed_crash(&self) -> Option<Instant> {
        self.bad_crashes.get(self.cause.crashes_allowed() - 1).copied()
    }

    /// Crashing requests that reached replicas later than three seconds after the last crash that is
    /// allowed.
    pub fn late_arrivals(&self) -> usize {
        let Some(last) = self.last_allowed_crash() else { return 0 };
        let due = last + STABLE_WINDOW;
        self.bad_arrivals.iter().filter(|arrival| **arrival > due).count()
    }

    /// The smallest share of the sound requests with the same first part that were not refused.
    pub fn begun_share_min(&self) -> f64 {
        let parts: BTreeSet<_> = self.begun.keys().chain(self.refused.keys()).collect();
        let count =
            |counts: &BTreeMap<CrashCause, usize>, part| counts.get(part).copied().unwrap_or(0);
        let shares = parts.into_iter().map(|part| {
            let (begun, refused) = (count(&self.begun, part), count(&self.refused, part));
            begun as f64 / (begun + refused) as f64
        });
        shares.fold(1.0, f64::min)
    }

    fn pool() -> PoolId {
        "pools.model".into()
    }

    fn is_trouble(&self) -> bool {
        self.now >= self.start + TROUBLE_START
    }

    fn is_bad(&self, causes: &[CrashCause]) -> bool {
        self.is_trouble() && self.cause.crash_cause().is_some_and(|bad| causes.contains(&bad))
    }

    fn send_requests(&mut self) {
        let seconds = STEP.as_secs_f64();
        if self.random.random_bool(SOUND_RATE * seconds) {
            let first = self.random.random_range(0..FIRST_PARTS);
            let second = 100 + self.random.random_range(0..SECOND_PARTS);
            let digest = self.new_digest();
            self.send(&[first, second], digest);
        }
        let Some(bad) = self.cause.crash_cause().filter(|_| self.is_trouble()) else { return };
        if self.random.random_bool(BAD_RATE * seconds) {
            let other = 100 + self.random.random_range(0..SECOND_PARTS);
            let digest = match bad {
                CrashCause::Request(digest) => digest,
                CrashCause::Part(_) => self.new_digest(),
            };
            self.send(&self.cause.bad_parts(other), digest);
        }
    }

    fn new_digest(&mut self) -> RequestDigest {
        self.requests_made += 1;
        self.requests_made
    }

    fn send(&mut self, parts: &[PartId], digest: RequestDigest) {
        let mut causes: Vec<_> = parts.iter().copied().map(CrashCause::Part).collect();
        causes.push(CrashCause::Request(digest));
        let may_send = self.may_send(&causes);
        self.count(&causes, may_send);
        if !may_send {
            return;
        }
        let live: Vec<usize> =
            (0..REPLICAS).filter(|r| self.replicas[*r].returns_at.is_none()).collect();
        if live.is_empty() {
            return;
        }
        let replica = live[self.random.random_range(0..live.len())];
        if self.is_bad(&causes) {
            self.bad_arrivals.push(self.now);
        }
        let begins_at = self.now + Duration::from_millis(self.random.random_range(30..250));
        let length = Duration::from_millis(self.random.random_range(200..1_500));
        let request = ModelRequest {
            instance: self.random.random_range(0..INSTANCES),
            causes,
            sent_at: self.now,
            begins_at,
            ends_at: begins_at + length,
        };
        self.replicas[replica].running.push(request);
    }

    fn count(&mut self, causes: &[CrashCause], may_send: bool) {
        let trouble = self.start + TROUBLE_START;
        let counts_from = self.last_allowed_crash().unwrap_or(trouble) + 2 * STABLE_WINDOW;
        if self.now > counts_from && !self.is_bad(causes) {
            let counts = if may_send { &mut self.begun } else { &mut self.refused };
            *counts.entry(causes[0]).or_default() += 1;
        }
    }

    /// Whether nothing in a request is blocked, or it may try the only cause that is.
    fn may_send(&mut self, causes: &[CrashCause]) -> bool {
        let (pool, now) = (Self::pool(), self.now);
        let key = match self.shared.verdict(&self.shared_watched, &pool, causes, now) {
            SendVerdict::Free => return true,
            SendVerdict::Blocked { .. } => return false,
            SendVerdict::Trial(key) => key,
        };
        let may_try = self.list.is_trial_due(&key, now) && self.ledger.begin_trial(&key, now);
        if !may_try || !self.list.take_trial(&key, now) {
            return false;
        }
        self.share();
        true
    }

    fn finish_requests(&mut self) {
        let now = self.now;
        let mut finished = Vec::new();
        for replica in &mut self.replicas {
            finished.extend(replica.running.extract_if(.., |request| request.ends_at <= now));
        }
        finished.retain(|request| !self.is_bad(&request.causes));
        for request in &finished {
            self.record_served(request);
        }
    }

    fn record_served(&mut self, request: &ModelRequest) {
        for cause in &request.causes {
            self.served[request.instance].insert(*cause, self.now);
            let key = CauseKey { pool: Self::pool(), cause: *cause };
            let is_blocked = self.shared.find(&key.pool, &[*cause]).is_some();
            if is_blocked || self.shared_watched.contains(&key) {
                self.post(REPORT_DELAY, Message::Served(key, self.now));
            }
        }
    }

    fn begin_bad_requests(&mut self) {
        for replica in 0..REPLICAS {
            let delay = Duration::from_millis(self.random.random_range(10..110));
            let running = &self.replicas[replica].running;
            let is_due =
                |one: &&ModelRequest| one.begins_at + delay <= self.now && self.is_bad(&one.causes);
            if running.iter().any(|one| is_due(&one)) {
                self.bad_crashes.push(self.now);
                self.crash(replica);
            }
        }
    }

    fn crash_others(&mut self) {
        let since = self.now.duration_since(self.start);
        if self.cause.has_flapping()
            && self.is_trouble()
            && since.as_millis() % 400 < STEP.as_millis()
        {
            let replica = self.random.random_range(0..REPLICAS);
            self.crash(replica);
        }
        let is_power_loss = self.cause == Cause::PowerLoss && self.is_trouble();
        if is_power_loss && since.as_millis() % 4_000 < STEP.as_millis() {
            (0..REPLICAS / 2).for_each(|replica| self.crash(replica));
        }
    }

    fn crash(&mut self, replica: usize) {
        if self.replicas[replica].returns_at.is_some() {
            return;
        }
        let endpoint = format!("i-{}", self.replicas[replica].name);
        self.replicas[replica].returns_at = Some(self.now + REPLACE_DELAY);
        let mut running = std::mem::take(&mut self.replicas[replica].running);
        // Requests that were answered for some time are no suspects.
        let now = self.now;
        for survivor in running.extract_if(.., |one| one.begins_at + SURVIVAL_TIME <= now) {
            self.record_served(&survivor);
        }
        for instance in 0..INSTANCES {
            let own = running.iter().filter(|request| request.instance == instance);
            let lost: Vec<_> = own
                .map(|one| LostRequest { causes: one.causes.clone(), sent_at: one.sent_at })
                .collect();
            if !lost.is_empty() {
                let report = CrashReport {
                    pool: Self::pool(),
                    endpoint: endpoint.as_str().into(),
                    lost,
                    crashed_at: None,
                };
                self.post(REPORT_DELAY, Message::Crash(report));
            }
        }
    }

    fn return_replicas(&mut self) {
        for replica in &mut self.replicas {
            if replica.returns_at.is_some_and(|returns_at| returns_at <= self.now) {
                replica.returns_at = None;
                replica.name = self.replicas_made;
                self.replicas_made += 1;
            }
        }
    }

    fn post(&mut self, delay: Duration, message: Message) {
        self.messages_sent += 1;
        self.messages.insert((self.now + delay, self.messages_sent), message);
    }

    fn deliver_messages(&mut self) {
        while let Some(first) = self.messages.first_entry().filter(|one| one.key().0 <= self.now) {
            match first.remove() {
                Message::Crash(report) => {
                    self.ledger.record_crash(&report, &self.list, self.now);
                    self.share_watched();
                }
                Message::Served(key, served_at) => {
                    self.ledger.record_served(&key, served_at);
                    if self.list.release(&key, served_at, self.now) {
                        self.share();
                    }
                }
                Message::Shared(list, watched) => self.receive(list, watched),
            }
        }
    }

    fn share_watched(&mut self) {
        let watched = self.ledger.watched();
        if watched != self.watched {
            self.watched = watched;
            self.share();
        }
    }

    fn share(&mut self) {
        let message = Message::Shared(self.list.clone(), self.watched.clone());
        self.post(SHARE_DELAY, message);
    }

    /// Instances answer with what they served of the parts that are newly watched.
    fn receive(&mut self, list: BlockList, watched: BTreeSet<CauseKey>) {
        for key in watched.difference(&self.shared_watched.clone()) {
            let served =
                self.served.iter().filter_map(|served| served.get(&key.cause)).max().copied();
            if let Some(served_at) = served {
                self.post(REPORT_DELAY, Message::Served(key.clone(), served_at));
            }
        }
        self.shared = list;
        self.shared_watched = watched;
    }

    fn decide(&mut self) {
        while let Some(decision) = self.ledger.decide(self.now, |_| true) {
            if Some(decision.key.cause) == self.cause.crash_cause() {
                self.blocked_at.get_or_insert(self.now);
            }
            self.list.block(decision.key, decision.endpoints.len(), self.now);
            self.watched = self.ledger.watched();
            self.share();
        }
    }
}
