//! A store with faults, several owners of one page, and claimants that run requests.

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
const OWNER_SKEWS: [i64; 3] = [-150, 0, 150];

/// A value with compare-and-swap that checks each write against the promise of the pages.
#[derive(Default)]
pub struct ModelStore {
    given_back: BTreeSet<Uuid>,
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
                assert_lawful_change(&entry.state, &after.state, &self.given_back);
            }
        }
        self.history.push(page);
        PageEvent::Written(self.history.len() as u64)
    }
}

/// A claim gives way only if it was given back; what is done stays as it is.
fn assert_lawful_change(before: &ClaimState, after: &ClaimState, given_back: &BTreeSet<Uuid>) {
    let is_lawful = match (before, after) {
        (ClaimState::InFlight { nonce }, _) if given_back.contains(nonce) => true,
        (ClaimState::InFlight { .. }, ClaimState::Done { .. }) => true,
        (ClaimState::Free { .. }, _) => true,
        (before, after) => before == after,
    };
    assert!(is_lawful, "{before:?} became {after:?}");
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
    Asking,
    Granted,
    Settling(RequestOutcome),
    Ended,
}

struct ModelClaimant {
    key: usize,
    request: ClaimRequest,
    hold: SendWindow,
    phase: ClaimantPhase,
}

/// One execution of a request.
pub struct ModelRun {
    pub key: usize,
    pub claimed_at: Duration,
    pub ran_at: Duration,
}

pub struct ModelWorld {
    base: Instant,
    wall_base: SystemTime,
    elapsed: Duration,
    store: ModelStore,
    owners: Vec<ModelOwner>,
    delayed: Vec<(PageRevision, ClaimPage)>,
    claimants: Vec<ModelClaimant>,
    asked: BTreeMap<u64, usize>,
    next_ticket: u64,
    keys: Vec<IdempotencyKey>,
    pub runs: Vec<ModelRun>,
    pub conflicts: usize,
}

impl ModelWorld {
    /// Key 0 carries no time; key 1 does.
    pub fn new() -> Self {
        let wall_base = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
        let dated =
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
            delayed: Vec::new(),
            claimants: Vec::new(),
            asked: BTreeMap::new(),
            next_ticket: 0,
            keys: vec![plain, dated],
            runs: Vec::new(),
            conflicts: 0,
        }
    }

    /// Takes one step, chosen by `kind`, on what `pick` selects.
    pub fn step(&mut self, kind: u8, pick: usize) {
        let owner = pick % self.owners.len();
        match kind {
            0..=2 => self.begin_claim(pick),
            3 => self.ask_again(pick),
            4..=7 => self.finish_call(owner, false),
            8 => self.finish_call(owner, true),
            9 => self.delay_call(owner),
            10 => self.fail_call(owner),
            11 => self.read_stale(owner, 1 + pick / 3 % 2),
            12 => self.land_delayed(pick),
            13 => self.kill_owner(owner),
            14..=16 => self.pass(Duration::from_millis(20 * (1 + pick as u64))),
            17 => self.pass(Duration::from_secs(17 * pick as u64)),
            18..=20 => self.run_granted(pick, pick.is_multiple_of(4)),
            21 => self.settle(pick),
            22 => self.give_up(pick),
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
                PageAction::Answer { ticket, verdict } => self.take_verdict(ticket, verdict),
            }
        }
    }

    fn ask(&mut self, owner: usize, claimant: usize, change: ClaimChange) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.asked.insert(ticket, claimant);
        let deadline = self.base + self.elapsed + DEADLINE;
        self.event(owner, PageEvent::Requested { ticket, change, deadline });
    }

    fn begin_claim(&mut self, pick: usize) {
        let key = pick / 3 % self.keys.len();
        let request = ClaimRequest {
            key: self.keys[key],
            fingerprint: RequestFingerprint::from_bytes([7; 16]),
            nonce: Uuid::from_u128(self.claimants.len() as u128 + 1),
        };
        let hold = SendWindow::new(self.elapsed, WINDOW);
        let phase = ClaimantPhase::Asking;
        self.claimants.push(ModelClaimant { key, request: request.clone(), hold, phase });
        let claimant = self.claimants.len() - 1;
        self.ask(pick % self.owners.len(), claimant, ClaimChange::Claim(request));
    }

    fn claimant(&self, pick: usize, phase: ClaimantPhase) -> Option<usize> {
        let count = self.claimants.len();
        (0..count)
            .map(|offset| (pick + offset) % count)
            .find(|index| self.claimants[*index].phase == phase)
    }

    /// The reply was lost: the same claim goes to another owner.
    fn ask_again(&mut self, pick: usize) {
        let Some(claimant) = self.claimant(pick, ClaimantPhase::Asking) else { return };
        let request = self.claimants[claimant].request.clone();
        self.ask((pick + 1) % self.owners.len(), claimant, ClaimChange::Claim(request));
    }

    fn take_verdict(&mut self, ticket: u64, verdict: ClaimVerdict) {
        let Some(index) = self.asked.remove(&ticket) else { return };
        let claimant = &mut self.claimants[index];
        claimant.phase = match (claimant.phase, verdict) {
            (ClaimantPhase::Asking, ClaimVerdict::Granted) => ClaimantPhase::Granted,
            (ClaimantPhase::Asking, ClaimVerdict::Refused(ErrorKind::ClaimUnavailable)) => {
                self.store.given_back.insert(claimant.request.nonce);
                ClaimantPhase::Settling(RequestOutcome::NotRun)
            }
            (ClaimantPhase::Asking, _) => ClaimantPhase::Ended,
            (ClaimantPhase::Settling(_), ClaimVerdict::Settled) => ClaimantPhase::Ended,
            (phase, _) => phase,
        };
    }

    /// Sends the request if the hold still allows it; some endpoints prove that they did not run.
    fn run_granted(&mut self, pick: usize, refuses: bool) {
        let Some(index) = self.claimant(pick, ClaimantPhase::Granted) else { return };
        let claimant = &mut self.claimants[index];
        if claimant.hold.check_send(self.elapsed).is_err() || refuses {
            self.give_back(index);
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
        self.ask(pick % self.owners.len(), claimant, ClaimChange::Settle(settlement));
    }

    fn give_up(&mut self, pick: usize) {
        if let Some(claimant) = self.claimant(pick, ClaimantPhase::Asking) {
            self.give_back(claimant);
        }
    }

    fn give_back(&mut self, claimant: usize) {
        let claimant = &mut self.claimants[claimant];
        claimant.phase = ClaimantPhase::Settling(RequestOutcome::NotRun);
        self.store.given_back.insert(claimant.request.nonce);
    }

    /// Lets a call take effect; its answer may be lost.
    fn finish_call(&mut self, owner: usize, lost: bool) {
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

    /// A write is given up by its owner and may reach the store later.
    fn delay_call(&mut self, owner: usize) {
        if let Some(StoreCall::Write(revision, page)) = self.owners[owner].call.take() {
            self.delayed.push((revision, page));
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

    fn read_stale(&mut self, owner: usize, steps: usize) {
        if matches!(self.owners[owner].call, Some(StoreCall::Read)) {
            self.owners[owner].call = None;
            let (revision, page) = self.store.read_stale(steps);
            self.event(owner, PageEvent::Read { revision, page });
        }
    }

    fn land_delayed(&mut self, pick: usize) {
        if !self.delayed.is_empty() {
            let (revision, page) = self.delayed.remove(pick % self.delayed.len());
            self.store.write(revision, page, self.wall_base + self.elapsed);
        }
    }

    fn kill_owner(&mut self, owner: usize) {
        if let Some(StoreCall::Write(revision, page)) = self.owners[owner].call.take() {
            self.delayed.push((revision, page));
        }
        self.owners[owner].owner = PageOwner::new(WINDOW);
    }

    fn change_window(&mut self, owner: usize, pick: usize) {
        let window = if pick.is_multiple_of(2) { WINDOW } else { SHORT_WINDOW };
        self.owners[owner].owner.set_window(window);
    }

    fn pass(&mut self, time: Duration) {
        self.elapsed += time;
        self.tick_all();
    }

    fn tick_all(&mut self) {
        for owner in 0..self.owners.len() {
            self.event(owner, PageEvent::Tick);
        }
    }
}
