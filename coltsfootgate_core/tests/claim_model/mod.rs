//! A simulation of a faulty store, several owners of one page, and claimants that run requests.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime};

use coltsfootgate_core::claim::hold::SendWindow;
use coltsfootgate_core::claim::key::{IdempotencyKey, KeyDigest, RequestFingerprint};
use coltsfootgate_core::claim::owner::{PageAction, PageEvent, PageOwner, PageRevision};
use coltsfootgate_core::claim::page::{
    ClaimChange, ClaimPage, ClaimRequest, ClaimSettlement, ClaimState, ClaimVerdict,
};
use coltsfootgate_core::prelude::{ErrorKind, RequestOutcome};
use uuid::Uuid;

pub const WINDOW: Duration = Duration::from_secs(2000);
pub const SHORT_WINDOW: Duration = Duration::from_secs(800);
const DEADLINE: Duration = Duration::from_secs(30);
/// Clock skew of each owner, in seconds.
const OWNER_SKEWS: [i64; 3] = [-150, 0, 150];

/// A value with compare-and-swap; asserts on each write that no claim is dropped too early and that
/// each change of state is allowed.
#[derive(Default)]
pub struct ModelStore {
    released: BTreeSet<Uuid>,
    history: Vec<ClaimPage>,
}

impl ModelStore {
    fn read(&self) -> (PageRevision, ClaimPage) {
        (self.history.len() as u64, self.history.last().cloned().unwrap_or_default())
    }

    fn read_stale(&self, steps: usize) -> (PageRevision, ClaimPage) {
        let revision = self.history.len().saturating_sub(steps);
        let page = revision.checked_sub(1).map(|index| self.history[index].clone());
        (revision as u64, page.unwrap_or_default())
    }

    fn write(&mut self, revision: PageRevision, page: ClaimPage, wall: SystemTime) -> PageEvent {
        if revision != self.history.len() as u64 {
            return PageEvent::Conflicted;
        }
        let (_, before) = self.read();
        for (digest, entry) in &before.entries {
            // The writer's clock may be ahead by the largest skew.
            if wall + Duration::from_secs(150) <= entry.kept_until {
                let after = page.entries.get(digest).expect("dropped a claim inside its window");
                assert_allowed_change(&entry.state, &after.state, &self.released);
            }
        }
        self.history.push(page);
        PageEvent::Written(self.history.len() as u64)
    }
}

/// Asserts that a claim in flight is only completed or, once released, replaced, and that a
/// completed one never changes.
fn assert_allowed_change(before: &ClaimState, after: &ClaimState, released: &BTreeSet<Uuid>) {
    let is_allowed = match (before, after) {
        (ClaimState::InFlight { nonce }, _) if released.contains(nonce) => true,
        (ClaimState::InFlight { .. }, ClaimState::Done { .. }) => true,
        (ClaimState::Free { .. }, _) => true,
        (before, after) => before == after,
    };
    assert!(is_allowed, "{before:?} became {after:?}");
}

enum StoreCall {
    Read,
    Write(PageRevision, ClaimPage),
}

struct ModelOwner {
    owner: PageOwner,
    call: Option<StoreCall>,
    skew: i64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ClaimantPhase {
    Claiming,
    Granted,
    Settling(RequestOutcome),
    Ended,
}

struct ModelClaimant {
    key: usize,
    request: ClaimRequest,
    send_window: SendWindow,
    phase: ClaimantPhase,
}

/// One execution of a request.
pub struct ModelRun {
    pub key: usize,
    pub claimed_at: Duration,
    pub ran_at: Duration,
}

pub struct ClaimSimulation {
    base: Instant,
    wall_base: SystemTime,
    elapsed: Duration,
    store: ModelStore,
    owners: Vec<ModelOwner>,
    delayed_writes: Vec<(PageRevision, ClaimPage)>,
    claimants: Vec<ModelClaimant>,
    requesters: BTreeMap<u64, usize>,
    next_ticket: u64,
    keys: Vec<IdempotencyKey>,
    pub runs: Vec<ModelRun>,
    pub conflicts: usize,
}

impl ClaimSimulation {
    /// Creates the simulation with two keys: key 0 has no timestamp, key 1 has one.
    pub fn new() -> Self {
        let wall_base = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
        let timestamped =
            IdempotencyKey { digest: KeyDigest::from_bytes([2; 16]), time: Some(wall_base) };
        let plain = IdempotencyKey { digest: KeyDigest::from_bytes([1; 16]), time: None };
        let owners =
            OWNER_SKEWS.map(|skew| ModelOwner { owner: PageOwner::new(WINDOW), call: None, skew });
        Self {
            base: Instant::now(),
            wall_base,
            elapsed: Duration::ZERO,
            store: ModelStore::default(),
            owners: owners.into(),
            delayed_writes: Vec::new(),
            claimants: Vec::new(),
            requesters: BTreeMap::new(),
            next_ticket: 0,
            keys: vec![plain, timestamped],
            runs: Vec::new(),
            conflicts: 0,
        }
    }

    /// Executes the step selected by `kind` on the owner, claimant or key selected by `pick`.
    pub fn step(&mut self, kind: u8, pick: usize) {
        let owner = pick % self.owners.len();
        match kind {
            0..=2 => self.start_claim(pick),
            3 => self.retry_claim(pick),
            4..=7 => self.complete_call(owner, false),
            8 => self.complete_call(owner, true),
            9 => self.delay_write(owner),
            10 => self.fail_call(owner),
            11 => self.read_stale(owner, 1 + pick / 3 % 2),
            12 => self.apply_delayed_write(pick),
            13 => self.restart_owner(owner),
            14..=16 => self.advance_time(Duration::from_millis(20 * (1 + pick as u64))),
            17 => self.advance_time(Duration::from_secs(17 * pick as u64)),
            18..=20 => self.run_granted(pick, pick.is_multiple_of(4)),
            21 => self.settle(pick),
            22 => self.abandon_claim(pick),
            23 => self.change_window(owner, pick),
            _ => self.tick_all(),
        }
    }

    fn wall(&self, owner: usize) -> SystemTime {
        let true_wall = self.wall_base + self.elapsed;
        let skew = Duration::from_secs(self.owners[owner].skew.unsigned_abs());
        if self.owners[owner].skew < 0 { true_wall - skew } else { true_wall + skew }
    }

    fn event(&mut self, owner: usize, event: PageEvent) {
        if event == PageEvent::Conflicted {
            self.conflicts += 1;
        }
        let (now, wall) = (self.base + self.elapsed, self.wall(owner));
        for action in self.owners[owner].owner.handle(event, now, wall) {
            match action {
                PageAction::Read => self.owners[owner].call = Some(StoreCall::Read),
                PageAction::Write { revision, page } => {
                    self.owners[owner].call = Some(StoreCall::Write(revision, page));
                }
                PageAction::Answer { ticket, verdict } => self.handle_verdict(ticket, verdict),
            }
        }
    }

    fn request_change(&mut self, owner: usize, claimant: usize, change: ClaimChange) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.requesters.insert(ticket, claimant);
        let deadline = self.base + self.elapsed + DEADLINE;
        self.event(owner, PageEvent::Requested { ticket, change, deadline });
    }

    fn start_claim(&mut self, pick: usize) {
        let key = pick / 3 % self.keys.len();
        let request = ClaimRequest {
            key: self.keys[key],
            fingerprint: RequestFingerprint::from_bytes([7; 16]),
            nonce: Uuid::from_u128(self.claimants.len() as u128 + 1),
        };
        let send_window = SendWindow::new(self.elapsed, WINDOW);
        let phase = ClaimantPhase::Claiming;
        self.claimants.push(ModelClaimant { key, request: request.clone(), send_window, phase });
        let claimant = self.claimants.len() - 1;
        self.request_change(pick % self.owners.len(), claimant, ClaimChange::Claim(request));
    }

    fn claimant(&self, pick: usize, phase: ClaimantPhase) -> Option<usize> {
        let count = self.claimants.len();
        (0..count)
            .map(|offset| (pick + offset) % count)
            .find(|index| self.claimants[*index].phase == phase)
    }

    /// Sends the same claim to another owner, as after a lost reply.
    fn retry_claim(&mut self, pick: usize) {
        let Some(claimant) = self.claimant(pick, ClaimantPhase::Claiming) else { return };
        let request = self.claimants[claimant].request.clone();
        self.request_change((pick + 1) % self.owners.len(), claimant, ClaimChange::Claim(request));
    }

    fn handle_verdict(&mut self, ticket: u64, verdict: ClaimVerdict) {
        let Some(index) = self.requesters.remove(&ticket) else { return };
        let claimant = &mut self.claimants[index];
        claimant.phase = match (claimant.phase, verdict) {
            (ClaimantPhase::Claiming, ClaimVerdict::Granted) => ClaimantPhase::Granted,
            (ClaimantPhase::Claiming, ClaimVerdict::Refused(ErrorKind::ClaimUnavailable)) => {
                self.store.released.insert(claimant.request.nonce);
                ClaimantPhase::Settling(RequestOutcome::NotRun)
            }
            (ClaimantPhase::Claiming, _) => ClaimantPhase::Ended,
            (ClaimantPhase::Settling(_), ClaimVerdict::Settled) => ClaimantPhase::Ended,
            (phase, _) => phase,
        };
    }

    /// Runs the request if it may still be sent; releases the claim if not, or if the endpoint
    /// proves that it did not run the request.
    fn run_granted(&mut self, pick: usize, is_refused: bool) {
        let Some(index) = self.claimant(pick, ClaimantPhase::Granted) else { return };
        let claimant = &mut self.claimants[index];
        if claimant.send_window.check_send(self.elapsed).is_err() || is_refused {
            self.release(index);
            return;
        }
        claimant.phase = ClaimantPhase::Settling(RequestOutcome::Unknown);
        let entry = self.store.history.iter().rev().find_map(|page| {
            page.entries.get(&claimant.request.key.digest).filter(|entry| {
                entry.state == ClaimState::InFlight { nonce: claimant.request.nonce }
            })
        });
        let claimed_at = entry.expect("granted without a stored claim").claimed_at;
        let claimed_at = claimed_at.duration_since(self.wall_base).unwrap_or_default();
        self.runs.push(ModelRun { key: claimant.key, claimed_at, ran_at: self.elapsed });
    }

    fn settle(&mut self, pick: usize) {
        let count = self.claimants.len();
        let found = (0..count).map(|offset| (pick + offset) % count).find_map(|index| {
            match self.claimants[index].phase {
                ClaimantPhase::Settling(outcome) => Some((index, outcome)),
                _ => None,
            }
        });
        let Some((claimant, outcome)) = found else { return };
        let request = &self.claimants[claimant].request;
        let settlement = ClaimSettlement {
            digest: request.key.digest,
            fingerprint: request.fingerprint,
            nonce: request.nonce,
            outcome,
            answer: None,
        };
        self.request_change(pick % self.owners.len(), claimant, ClaimChange::Settle(settlement));
    }

    /// Abandons a claim that was not answered yet.
    fn abandon_claim(&mut self, pick: usize) {
        if let Some(claimant) = self.claimant(pick, ClaimantPhase::Claiming) {
            self.release(claimant);
        }
    }

    fn release(&mut self, claimant: usize) {
        let claimant = &mut self.claimants[claimant];
        claimant.phase = ClaimantPhase::Settling(RequestOutcome::NotRun);
        self.store.released.insert(claimant.request.nonce);
    }

    /// Executes a store call; its response may be lost.
    fn complete_call(&mut self, owner: usize, lost: bool) {
        let event = match self.owners[owner].call.take() {
            None => PageEvent::Tick,
            Some(StoreCall::Read) if lost => PageEvent::ReadFailed,
            Some(StoreCall::Read) => {
                let (revision, page) = self.store.read();
                PageEvent::Read { revision, page }
            }
            Some(StoreCall::Write(revision, page)) => {
                let event = self.store.write(revision, page, self.wall_base + self.elapsed);
                if lost { PageEvent::WriteUnknown } else { event }
            }
        };
        self.event(owner, event);
    }

    /// Makes a write time out at its owner; it may still reach the store later.
    fn delay_write(&mut self, owner: usize) {
        if let Some(StoreCall::Write(revision, page)) = self.owners[owner].call.take() {
            self.delayed_writes.push((revision, page));
            self.event(owner, PageEvent::WriteUnknown);
        }
    }

    fn fail_call(&mut self, owner: usize) {
        match self.owners[owner].call.take() {
            None => {}
            Some(StoreCall::Read) => self.event(owner, PageEvent::ReadFailed),
            Some(StoreCall::Write(..)) => self.event(owner, PageEvent::WriteUnknown),
        }
    }

    /// Lets a read return the page as it was `steps` revisions ago.
    fn read_stale(&mut self, owner: usize, steps: usize) {
        if matches!(self.owners[owner].call, Some(StoreCall::Read)) {
            self.owners[owner].call = None;
            let (revision, page) = self.store.read_stale(steps);
            self.event(owner, PageEvent::Read { revision, page });
        }
    }

    fn apply_delayed_write(&mut self, pick: usize) {
        if !self.delayed_writes.is_empty() {
            let (revision, page) = self.delayed_writes.remove(pick % self.delayed_writes.len());
            self.store.write(revision, page, self.wall_base + self.elapsed);
        }
    }

    /// Replaces an owner by a new one; a write in progress may still reach the store later.
    fn restart_owner(&mut self, owner: usize) {
        if let Some(StoreCall::Write(revision, page)) = self.owners[owner].call.take() {
            self.delayed_writes.push((revision, page));
        }
        self.owners[owner].owner = PageOwner::new(WINDOW);
    }

    fn change_window(&mut self, owner: usize, pick: usize) {
        let window = if pick.is_multiple_of(2) { WINDOW } else { SHORT_WINDOW };
        self.owners[owner].owner.set_window(window);
    }

    fn advance_time(&mut self, time: Duration) {
        self.elapsed += time;
        self.tick_all();
    }

    fn tick_all(&mut self) {
        for owner in 0..self.owners.len() {
            self.event(owner, PageEvent::Tick);
        }
    }
}
