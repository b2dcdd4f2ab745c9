//! The owner of a page: collects changes and commits them together.
//!
//! Ownership only saves work. What keeps two owners apart is the compare-and-swap: a page is
//! written only over the revision that was read, and a claim counts only once such a write
//! succeeded or a reading shows the claimant's nonce.

use std::time::{Duration, Instant, SystemTime};

use crate::claim::page::{AppliedChange, ClaimChange, ClaimPage, ClaimVerdict};
use crate::reason::ErrorKind;

/// How long an idle owner collects changes before it commits them.
pub const GATHER_TIME: Duration = Duration::from_millis(3);
/// First delay before the store is tried again after it did not answer.
pub const FIRST_RETRY: Duration = Duration::from_millis(20);
/// Longest delay before the store is tried again.
pub const LONGEST_RETRY: Duration = Duration::from_millis(640);
/// How many changes may wait for one page.
pub const WAITING_MAX: usize = 1024;

/// Names a waiting change to whoever asked for it.
pub type ClaimTicket = u64;
/// Revision of a page in the key-value service; 0 stands for a page that was never written.
pub type PageRevision = u64;

/// What a page owner learns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PageEvent {
    /// Somebody wants a change, and waits until the deadline.
    Asked {
        /// Names the change in the answer.
        ticket: ClaimTicket,
        /// The change.
        change: ClaimChange,
        /// When it is given up.
        deadline: Instant,
    },
    /// The page was read.
    Read {
        /// Its revision.
        revision: PageRevision,
        /// Its content, empty if it was never written.
        page: ClaimPage,
    },
    /// The page could not be read.
    ReadFailed,
    /// The page was written and has this revision.
    Written(PageRevision),
    /// The page was not written, since another revision was there.
    Conflicted,
    /// It is not known whether the page was written.
    WriteUnknown,
    /// Time passed.
    Tick,
}

/// What a page owner wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PageAction {
    /// Read the page.
    Read,
    /// Write the page if it still has this revision.
    Write {
        /// The revision that is replaced.
        revision: PageRevision,
        /// The content.
        page: ClaimPage,
    },
    /// Tell whoever asked.
    Answer {
        /// Names the change.
        ticket: ClaimTicket,
        /// What became of it.
        verdict: ClaimVerdict,
    },
}

#[derive(Debug)]
struct PendingChange {
    ticket: ClaimTicket,
    change: ClaimChange,
    asked_at: Instant,
    deadline: Instant,
}

#[derive(Debug)]
struct KnownPage {
    revision: PageRevision,
    page: ClaimPage,
    /// A moment at or after which the page was still the present one.
    current_at: Instant,
}

#[derive(Debug)]
enum OwnerPhase {
    Idle,
    Gathering { until: Instant },
    Reading { started: Instant },
    Writing { started: Instant, page: ClaimPage, verdicts: Vec<(ClaimTicket, ClaimVerdict)> },
    Waiting { until: Instant },
}

/// Commits the changes of one page.
#[derive(Debug)]
pub struct PageOwner {
    window: Duration,
    known: Option<KnownPage>,
    pending: Vec<PendingChange>,
    phase: OwnerPhase,
    retry: Duration,
}

impl PageOwner {
    /// Makes an owner that knows nothing of its page; claims are kept for `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            known: None,
            pending: Vec::new(),
            phase: OwnerPhase::Idle,
            retry: FIRST_RETRY,
        }
    }

    /// Takes over a changed window for the claims to come.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// Whether nothing waits and nothing is under way.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && matches!(self.phase, OwnerPhase::Idle)
    }

    /// When the owner wants a tick, if no other event comes before.
    pub fn wake_at(&self) -> Option<Instant> {
        let phase = match self.phase {
            OwnerPhase::Gathering { until } | OwnerPhase::Waiting { until } => Some(until),
            OwnerPhase::Idle | OwnerPhase::Reading { .. } | OwnerPhase::Writing { .. } => None,
        };
        let deadline = self.pending.iter().map(|pending| pending.deadline).min();
        phase.into_iter().chain(deadline).min()
    }

    /// Takes in an event and says what to do about it.
    pub fn handle(&mut self, event: PageEvent, now: Instant, wall: SystemTime) -> Vec<PageAction> {
        let mut actions = Vec::new();
        match event {
            PageEvent::Asked { ticket, change, deadline } => {
                self.take_change(ticket, change, deadline, now, wall, &mut actions);
            }
            PageEvent::Read { revision, page } => {
                self.take_page(revision, page, now, wall, &mut actions)
            }
            PageEvent::ReadFailed => self.wait(now),
            PageEvent::Written(revision) => self.take_commit(revision, now, wall, &mut actions),
            PageEvent::Conflicted => self.read(now, &mut actions),
            PageEvent::WriteUnknown => {
                self.known = None;
                self.wait(now);
            }
            PageEvent::Tick => {}
        }
        self.drop_late(now, &mut actions);
        self.leave_wait(now, wall, &mut actions);
        actions
    }

    fn take_change(
        &mut self,
        ticket: ClaimTicket,
        change: ClaimChange,
        deadline: Instant,
        now: Instant,
        wall: SystemTime,
        actions: &mut Vec<PageAction>,
    ) {
        if let Some(verdict) = self.final_verdict(&change, wall) {
            actions.push(PageAction::Answer { ticket, verdict });
            return;
        }
        if self.pending.len() >= WAITING_MAX {
            let verdict = ClaimVerdict::Refused(ErrorKind::ClaimUnavailable);
            actions.push(PageAction::Answer { ticket, verdict });
            return;
        }
        self.pending.push(PendingChange { ticket, change, asked_at: now, deadline });
        if matches!(self.phase, OwnerPhase::Idle) {
            self.phase = OwnerPhase::Gathering { until: now + GATHER_TIME };
        }
    }

    /// A verdict that the known page allows even if it is no longer the present one.
    fn final_verdict(&self, change: &ClaimChange, wall: SystemTime) -> Option<ClaimVerdict> {
        match change {
            ClaimChange::Claim(request) => self.known.as_ref()?.page.final_verdict(request, wall),
            ClaimChange::Settle(_) => None,
        }
    }

    fn take_page(
        &mut self,
        revision: PageRevision,
        page: ClaimPage,
        now: Instant,
        wall: SystemTime,
        actions: &mut Vec<PageAction>,
    ) {
        let OwnerPhase::Reading { started } = self.phase else { return };
        self.retry = FIRST_RETRY;
        self.known = Some(KnownPage { revision, page, current_at: started });
        self.commit(now, wall, actions);
    }

    fn take_commit(
        &mut self,
        revision: PageRevision,
        now: Instant,
        wall: SystemTime,
        actions: &mut Vec<PageAction>,
    ) {
        let phase = std::mem::replace(&mut self.phase, OwnerPhase::Idle);
        let OwnerPhase::Writing { started, page, verdicts } = phase else {
            self.phase = phase;
            return;
        };
        self.retry = FIRST_RETRY;
        self.known = Some(KnownPage { revision, page, current_at: started });
        self.answer(verdicts, actions);
        if !self.pending.is_empty() {
            self.commit(now, wall, actions);
        }
    }

    /// Answers the changes that still wait for their verdict.
    fn answer(
        &mut self,
        verdicts: Vec<(ClaimTicket, ClaimVerdict)>,
        actions: &mut Vec<PageAction>,
    ) {
        for (ticket, verdict) in verdicts {
            let position = self.pending.iter().position(|pending| pending.ticket == ticket);
            if let Some(position) = position {
                self.pending.remove(position);
                actions.push(PageAction::Answer { ticket, verdict });
            }
        }
    }

    /// Works out all waiting changes on the known page and writes it, or reads it first.
    fn commit(&mut self, now: Instant, wall: SystemTime, actions: &mut Vec<PageAction>) {
        if self.pending.is_empty() {
            self.phase = OwnerPhase::Idle;
            return;
        }
        let Some(known) = &self.known else {
            self.read(now, actions);
            return;
        };
        let mut page = known.page.clone();
        page.drop_expired(wall);
        let mut changed = false;
        let mut verdicts = Vec::with_capacity(self.pending.len());
        for pending in &self.pending {
            let applied: AppliedChange = page.apply(&pending.change, wall, self.window);
            changed |= applied.changed;
            verdicts.push((pending.ticket, applied.verdict));
        }
        if changed {
            let revision = known.revision;
            actions.push(PageAction::Write { revision, page: page.clone() });
            self.phase = OwnerPhase::Writing { started: now, page, verdicts };
            return;
        }
        // With nothing to write, no swap proves that the page is the present one.
        if self.pending.iter().any(|pending| pending.asked_at > known.current_at) {
            self.read(now, actions);
            return;
        }
        self.phase = OwnerPhase::Idle;
        self.answer(verdicts, actions);
    }

    fn read(&mut self, now: Instant, actions: &mut Vec<PageAction>) {
        self.phase = OwnerPhase::Reading { started: now };
        actions.push(PageAction::Read);
    }

    /// Waits before the store is tried again.
    fn wait(&mut self, now: Instant) {
        self.phase = OwnerPhase::Waiting { until: now + self.retry };
        self.retry = (self.retry * 2).min(LONGEST_RETRY);
    }

    /// Gives up the changes whose deadline passed; a write under way may still claim their keys.
    fn drop_late(&mut self, now: Instant, actions: &mut Vec<PageAction>) {
        self.pending.retain(|pending| {
            let is_late = pending.deadline <= now;
            if is_late {
                let verdict = ClaimVerdict::Refused(ErrorKind::ClaimUnavailable);
                actions.push(PageAction::Answer { ticket: pending.ticket, verdict });
            }
            !is_late
        });
    }

    fn leave_wait(&mut self, now: Instant, wall: SystemTime, actions: &mut Vec<PageAction>) {
        match self.phase {
            OwnerPhase::Gathering { until } if until <= now => self.commit(now, wall, actions),
            OwnerPhase::Waiting { until } if until <= now => {
                if self.pending.is_empty() {
                    self.phase = OwnerPhase::Idle;
                } else if self.known.is_some() {
                    self.commit(now, wall, actions);
                } else {
                    self.read(now, actions);
                }
            }
            _ => {}
        }
    }
}
