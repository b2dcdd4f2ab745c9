//! The owner of a page: batches changes and commits them in one write.
//!
//! Ownership only saves work; correctness rests on compare-and-swap. A page is written only if it
//! still has the revision that was read, and a claim holds only once such a write succeeded or a
//! read shows the claimant's nonce.

use std::time::{Duration, Instant, SystemTime};

use crate::claim::page::{AppliedChange, ClaimChange, ClaimPage, ClaimVerdict};
use crate::reason::ErrorKind;

/// How long an idle owner collects changes before it commits the batch.
pub const BATCH_TIME: Duration = Duration::from_millis(3);
/// First delay before a retry after the store failed.
pub const RETRY_DELAY_MIN: Duration = Duration::from_millis(20);
/// Longest delay before a retry after the store failed.
pub const RETRY_DELAY_MAX: Duration = Duration::from_millis(640);
/// Maximum number of pending changes for one page.
pub const PENDING_CHANGES_MAX: usize = 1024;

/// Identifies a pending change to its requester.
pub type ClaimTicket = u64;
/// Revision of a page in the key-value service; 0 for a page that was never written.
pub type PageRevision = u64;

/// An input of a page owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PageEvent {
    /// A change was requested; the requester waits until the deadline.
    Requested {
        /// Identifies the change in the answer.
        ticket: ClaimTicket,
        /// The change.
        change: ClaimChange,
        /// When the change is refused if it is still pending.
        deadline: Instant,
    },
    /// The page was read.
    Read {
        /// The revision of the page.
        revision: PageRevision,
        /// The content of the page; empty if the page was never written.
        page: ClaimPage,
    },
    /// The page could not be read.
    ReadFailed,
    /// The page was written and now has this revision.
    Written(PageRevision),
    /// The page was not written, because it has another revision.
    Conflicted,
    /// The write failed, and the page may or may not have been written.
    WriteUnknown,
    /// A timer expired.
    Tick,
}

/// An output of a page owner, to be carried out by its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PageAction {
    /// Read the page.
    Read,
    /// Write the page if it still has this revision.
    Write {
        /// The revision that the write replaces.
        revision: PageRevision,
        /// The new content.
        page: ClaimPage,
    },
    /// Send the verdict to the requester.
    Answer {
        /// Identifies the change.
        ticket: ClaimTicket,
        /// The verdict on the change.
        verdict: ClaimVerdict,
    },
}

#[derive(Debug)]
struct PendingChange {
    ticket: ClaimTicket,
    change: ClaimChange,
    requested_at: Instant,
    deadline: Instant,
}

#[derive(Debug)]
struct CachedPage {
    revision: PageRevision,
    page: ClaimPage,
    /// The store still held this page at this time or later: the start of the read or write that
    /// confirmed it.
    current_at: Instant,
}

#[derive(Debug)]
enum OwnerPhase {
    Idle,
    Batching { until: Instant },
    Reading { started: Instant },
    Writing { started: Instant, page: ClaimPage, verdicts: Vec<(ClaimTicket, ClaimVerdict)> },
    BackingOff { until: Instant },
}

/// Commits the changes of one page.
#[derive(Debug)]
pub struct PageOwner {
    window: Duration,
    cached: Option<CachedPage>,
    pending: Vec<PendingChange>,
    phase: OwnerPhase,
    retry_delay: Duration,
}

impl PageOwner {
    /// Creates an owner that has not read its page yet; claims are kept for `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            cached: None,
            pending: Vec::new(),
            phase: OwnerPhase::Idle,
            retry_delay: RETRY_DELAY_MIN,
        }
    }

    /// Changes how long new claims are kept.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// Whether no change is pending and no store call or timer is active.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && matches!(self.phase, OwnerPhase::Idle)
    }

    /// Returns when to send the next [`PageEvent::Tick`], unless another event comes first.
    pub fn wake_at(&self) -> Option<Instant> {
        let phase = match self.phase {
            OwnerPhase::Batching { until } | OwnerPhase::BackingOff { until } => Some(until),
            OwnerPhase::Idle | OwnerPhase::Reading { .. } | OwnerPhase::Writing { .. } => None,
        };
        let deadline = self.pending.iter().map(|pending| pending.deadline).min();
        phase.into_iter().chain(deadline).min()
    }

    /// Processes an event and returns the actions to carry out.
    pub fn handle(&mut self, event: PageEvent, now: Instant, wall: SystemTime) -> Vec<PageAction> {
        let mut actions = Vec::new();
        match event {
            PageEvent::Requested { ticket, change, deadline } => {
                self.enqueue(ticket, change, deadline, now, wall, &mut actions);
            }
            PageEvent::Read { revision, page } => {
                self.finish_read(revision, page, now, wall, &mut actions)
            }
            PageEvent::ReadFailed => self.back_off(now),
            PageEvent::Written(revision) => self.finish_write(revision, now, wall, &mut actions),
            PageEvent::Conflicted => self.start_read(now, &mut actions),
            PageEvent::WriteUnknown => {
                self.cached = None;
                self.back_off(now);
            }
            PageEvent::Tick => {}
        }
        self.refuse_overdue(now, &mut actions);
        self.check_timer(now, wall, &mut actions);
        actions
    }

    fn enqueue(
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
        if self.pending.len() >= PENDING_CHANGES_MAX {
            let verdict = ClaimVerdict::Refused(ErrorKind::ClaimUnavailable);
            actions.push(PageAction::Answer { ticket, verdict });
            return;
        }
        self.pending.push(PendingChange { ticket, change, requested_at: now, deadline });
        if matches!(self.phase, OwnerPhase::Idle) {
            self.phase = OwnerPhase::Batching { until: now + BATCH_TIME };
        }
    }

    /// Returns a verdict that follows from the cached page even if that page is out of date.
    fn final_verdict(&self, change: &ClaimChange, wall: SystemTime) -> Option<ClaimVerdict> {
        match change {
            ClaimChange::Claim(request) => self.cached.as_ref()?.page.final_verdict(request, wall),
            ClaimChange::Settle(_) => None,
        }
    }

    fn finish_read(
        &mut self,
        revision: PageRevision,
        page: ClaimPage,
        now: Instant,
        wall: SystemTime,
        actions: &mut Vec<PageAction>,
    ) {
        let OwnerPhase::Reading { started } = self.phase else { return };
        self.retry_delay = RETRY_DELAY_MIN;
        self.cached = Some(CachedPage { revision, page, current_at: started });
        self.commit(now, wall, actions);
    }

    fn finish_write(
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
        self.retry_delay = RETRY_DELAY_MIN;
        self.cached = Some(CachedPage { revision, page, current_at: started });
        self.answer_pending(verdicts, actions);
        if !self.pending.is_empty() {
            self.commit(now, wall, actions);
        }
    }

    /// Sends the verdicts of the changes that are still pending.
    fn answer_pending(
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

    /// Applies all pending changes to the cached page and writes it; reads the page first if
    /// needed.
    fn commit(&mut self, now: Instant, wall: SystemTime, actions: &mut Vec<PageAction>) {
        if self.pending.is_empty() {
            self.phase = OwnerPhase::Idle;
            return;
        }
        let Some(cached) = &self.cached else {
            self.start_read(now, actions);
            return;
        };
        let mut page = cached.page.clone();
        page.drop_expired(wall);
        let mut changed = false;
        let mut verdicts = Vec::with_capacity(self.pending.len());
        for pending in &self.pending {
            let applied: AppliedChange = page.apply(&pending.change, wall, self.window);
            changed |= applied.changed;
            verdicts.push((pending.ticket, applied.verdict));
        }
        if changed {
            let revision = cached.revision;
            actions.push(PageAction::Write { revision, page: page.clone() });
            self.phase = OwnerPhase::Writing { started: now, page, verdicts };
            return;
        }
        // Without a write, no compare-and-swap proves that the cached page is current.
        if self.pending.iter().any(|pending| pending.requested_at > cached.current_at) {
            self.start_read(now, actions);
            return;
        }
        self.phase = OwnerPhase::Idle;
        self.answer_pending(verdicts, actions);
    }

    fn start_read(&mut self, now: Instant, actions: &mut Vec<PageAction>) {
        self.phase = OwnerPhase::Reading { started: now };
        actions.push(PageAction::Read);
    }

    /// Schedules a retry after the store failed, with a growing delay.
    fn back_off(&mut self, now: Instant) {
        self.phase = OwnerPhase::BackingOff { until: now + self.retry_delay };
        self.retry_delay = (self.retry_delay * 2).min(RETRY_DELAY_MAX);
    }

    /// Refuses the changes whose deadline has passed; a write in progress may still claim their
    /// keys.
    fn refuse_overdue(&mut self, now: Instant, actions: &mut Vec<PageAction>) {
        self.pending.retain(|pending| {
            let is_overdue = pending.deadline <= now;
            if is_overdue {
                let verdict = ClaimVerdict::Refused(ErrorKind::ClaimUnavailable);
                actions.push(PageAction::Answer { ticket: pending.ticket, verdict });
            }
            !is_overdue
        });
    }

    /// Continues with the pending changes once the batching or back-off time is over.
    fn check_timer(&mut self, now: Instant, wall: SystemTime, actions: &mut Vec<PageAction>) {
        match self.phase {
            OwnerPhase::Batching { until } if until <= now => self.commit(now, wall, actions),
            OwnerPhase::BackingOff { until } if until <= now => {
                if self.pending.is_empty() {
                    self.phase = OwnerPhase::Idle;
                } else if self.cached.is_some() {
                    self.commit(now, wall, actions);
                } else {
                    self.start_read(now, actions);
                }
            }
            _ => {}
        }
    }
}
