//! A page of claims and the changes that it allows.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::claim::key::{
    CLOCK_TOLERANCE, ClaimNonce, IdempotencyKey, KeyDigest, RequestFingerprint,
};
use crate::outcome::RequestOutcome;
use crate::reason::ErrorKind;

/// Largest page, in bytes, below the megabyte that the key-value service takes.
pub const PAGE_BYTES_MAX: usize = 960_000;
/// Bytes of a page up to which answers are kept; the rest is for claims.
pub const ANSWER_BYTES_MAX: usize = PAGE_BYTES_MAX / 2;
/// Bytes that the head of a page takes at most.
pub const HEAD_BYTES: usize = 64;
/// Bytes that an entry takes at most, without an answer.
pub const ENTRY_BYTES: usize = 96;

/// An answer that is kept for repeats.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct KeptAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Arc<str>,
    /// The body.
    pub body: Arc<[u8]>,
}

impl KeptAnswer {
    /// Bytes that the answer takes in a page at most.
    pub fn size(&self) -> usize {
        const LENGTH_BYTES: usize = 16;
        LENGTH_BYTES + self.content_type.len() + self.body.len()
    }
}

/// What is known of a claimed request.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum ClaimState {
    /// A claimant holds the key and may have sent the request.
    InFlight {
        /// The claimant's nonce.
        nonce: ClaimNonce,
    },
    /// The claimant proved that nothing ran; the key may be claimed again.
    Free {
        /// The nonce that gave the key back; a late claim with it is void.
        nonce: ClaimNonce,
    },
    /// The request ended and must not run again.
    Done {
        /// How it ended.
        outcome: RequestOutcome,
        /// Its answer, if it was small enough to keep.
        answer: Option<KeptAnswer>,
    },
}

/// One key in a page.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ClaimEntry {
    /// What the key was first used for.
    pub fingerprint: RequestFingerprint,
    /// When it was claimed, by the clock of the page's owner.
    pub claimed_at: SystemTime,
    /// Until when the entry must be kept.
    pub kept_until: SystemTime,
    /// What is known of the request.
    pub state: ClaimState,
}

impl ClaimEntry {
    fn size(&self) -> usize {
        let answer = match &self.state {
            ClaimState::Done { answer: Some(answer), .. } => answer.size(),
            ClaimState::Done { answer: None, .. }
            | ClaimState::InFlight { .. }
            | ClaimState::Free { .. } => 0,
        };
        ENTRY_BYTES + answer
    }
}

/// Asks for a key.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ClaimRequest {
    /// The key.
    pub key: IdempotencyKey,
    /// What the key is used for.
    pub fingerprint: RequestFingerprint,
    /// Identifies the claim; asking again with the same nonce is the same claim.
    pub nonce: ClaimNonce,
}

/// Says how a claimed request ended.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ClaimSettlement {
    /// The digest of the key.
    pub digest: KeyDigest,
    /// What the key was used for.
    pub fingerprint: RequestFingerprint,
    /// The nonce of the claim.
    pub nonce: ClaimNonce,
    /// How the request ended; "not run" gives the key back.
    pub outcome: RequestOutcome,
    /// The answer, if it is small enough to keep.
    pub answer: Option<KeptAnswer>,
}

/// A change to a page.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum ClaimChange {
    /// Claims a key.
    Claim(ClaimRequest),
    /// Settles a claim, or withdraws one that may not have been made.
    Settle(ClaimSettlement),
}

impl ClaimChange {
    /// The digest of the key that the change is about.
    pub fn digest(&self) -> KeyDigest {
        match self {
            Self::Claim(request) => request.key.digest,
            Self::Settle(settlement) => settlement.digest,
        }
    }
}

/// What became of a change.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum ClaimVerdict {
    /// The key is claimed; the request may be sent.
    Granted,
    /// The request completed before; this is its answer.
    Replayed(KeptAnswer),
    /// The request must not be sent.
    Refused(ErrorKind),
    /// The settlement is recorded, or another claim holds the key.
    Settled,
}

/// The claims on the keys that hash to one page.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimPage {
    /// The entries by key.
    pub entries: BTreeMap<KeyDigest, ClaimEntry>,
    /// The latest time at which a claim was made that is no longer kept.
    pub dropped_until: SystemTime,
    size: usize,
}

impl Default for ClaimPage {
    fn default() -> Self {
        Self::new(BTreeMap::new(), SystemTime::UNIX_EPOCH)
    }
}

impl ClaimPage {
    /// Makes a page of its content.
    pub fn new(entries: BTreeMap<KeyDigest, ClaimEntry>, dropped_until: SystemTime) -> Self {
        let size = HEAD_BYTES + entries.values().map(ClaimEntry::size).sum::<usize>();
        Self { entries, dropped_until, size }
    }

    /// Bytes that the page takes at most once it is coded.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Drops the entries whose time is over.
    pub fn drop_expired(&mut self, wall: SystemTime) {
        let (size, dropped_until) = (&mut self.size, &mut self.dropped_until);
        self.entries.retain(|_, entry| {
            let is_kept = wall <= entry.kept_until;
            if !is_kept {
                *size -= entry.size();
                *dropped_until = (*dropped_until).max(entry.claimed_at);
            }
            is_kept
        });
    }

    /// What the page says of a claim, if no change and no later reading could alter it.
    pub fn lasting_verdict(
        &self,
        request: &ClaimRequest,
        wall: SystemTime,
    ) -> Option<ClaimVerdict> {
        let entry = self.entries.get(&request.key.digest)?;
        if wall > entry.kept_until {
            return None;
        }
        if entry.fingerprint != request.fingerprint {
            return Some(ClaimVerdict::Refused(ErrorKind::KeyReused));
        }
        match &entry.state {
            ClaimState::Done { outcome, answer } => Some(done_verdict(*outcome, answer.as_ref())),
            ClaimState::InFlight { .. } | ClaimState::Free { .. } => None,
        }
    }

    /// Applies a change; the verdict holds once the page is written, if it changed.
    pub fn apply(
        &mut self,
        change: &ClaimChange,
        wall: SystemTime,
        window: Duration,
    ) -> AppliedChange {
        match change {
            ClaimChange::Claim(request) => self.claim(request, wall, window),
            ClaimChange::Settle(settlement) => self.settle(settlement, wall, window),
        }
    }

    fn claim(
        &mut self,
        request: &ClaimRequest,
        wall: SystemTime,
        window: Duration,
    ) -> AppliedChange {
        if let Some(verdict) = self.lasting_verdict(request, wall) {
            return AppliedChange::unchanged(verdict);
        }
        // A withdrawn claim leaves an entry that says nothing of one dropped before it.
        let is_forgotten = self.is_forgotten(&request.key, wall, window);
        if let Some(entry) = self.entries.get_mut(&request.key.digest) {
            return match &entry.state {
                ClaimState::InFlight { nonce } if *nonce == request.nonce => {
                    AppliedChange::unchanged(ClaimVerdict::Granted)
                }
                ClaimState::InFlight { .. } | ClaimState::Done { .. } => {
                    AppliedChange::refused(ErrorKind::KeyInFlight)
                }
                ClaimState::Free { nonce } if *nonce == request.nonce => {
                    AppliedChange::refused(ErrorKind::ClaimExpired)
                }
                ClaimState::Free { .. } if is_forgotten => {
                    AppliedChange::refused(ErrorKind::KeyTooOld)
                }
                ClaimState::Free { .. } => {
                    *entry = new_entry(request, wall, window);
                    AppliedChange::changed(ClaimVerdict::Granted)
                }
            };
        }
        if is_forgotten {
            return AppliedChange::refused(ErrorKind::KeyTooOld);
        }
        if self.size + ENTRY_BYTES > PAGE_BYTES_MAX {
            return AppliedChange::refused(ErrorKind::ClaimsFull);
        }
        self.entries.insert(request.key.digest, new_entry(request, wall, window));
        self.size += ENTRY_BYTES;
        AppliedChange::changed(ClaimVerdict::Granted)
    }

    /// Whether a claim on the key may have been made and dropped since.
    ///
    /// The second condition holds even if the window was made longer in the meantime.
    fn is_forgotten(&self, key: &IdempotencyKey, wall: SystemTime, window: Duration) -> bool {
        let was_dropped = key.time.is_some_and(|time| time <= self.dropped_until + CLOCK_TOLERANCE);
        key.is_too_old(wall, window) || was_dropped
    }

    fn settle(
        &mut self,
        settlement: &ClaimSettlement,
        wall: SystemTime,
        window: Duration,
    ) -> AppliedChange {
        let is_free = settlement.outcome == RequestOutcome::NotRun;
        let Some(entry) = self.entries.get_mut(&settlement.digest) else {
            if is_free {
                self.withdraw(settlement, wall, window);
                return AppliedChange::changed(ClaimVerdict::Settled);
            }
            return AppliedChange::unchanged(ClaimVerdict::Settled);
        };
        let is_held = matches!(
            &entry.state,
            ClaimState::InFlight { nonce } if *nonce == settlement.nonce
        );
        if !is_held {
            return AppliedChange::unchanged(ClaimVerdict::Settled);
        }
        entry.state = if is_free {
            ClaimState::Free { nonce: settlement.nonce }
        } else {
            let room = ANSWER_BYTES_MAX.saturating_sub(self.size);
            let answer = settlement.answer.clone().filter(|answer| answer.size() <= room);
            self.size += answer.as_ref().map_or(0, KeptAnswer::size);
            ClaimState::Done { outcome: settlement.outcome, answer }
        };
        AppliedChange::changed(ClaimVerdict::Settled)
    }

    /// Makes a claim void that may still be under way to the page.
    fn withdraw(&mut self, settlement: &ClaimSettlement, wall: SystemTime, window: Duration) {
        if self.size + ENTRY_BYTES > PAGE_BYTES_MAX {
            return;
        }
        let entry = ClaimEntry {
            fingerprint: settlement.fingerprint,
            claimed_at: wall,
            kept_until: keep_until(wall, window),
            state: ClaimState::Free { nonce: settlement.nonce },
        };
        self.entries.insert(settlement.digest, entry);
        self.size += ENTRY_BYTES;
    }
}

/// What a page made of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AppliedChange {
    /// The verdict.
    pub verdict: ClaimVerdict,
    /// Whether the page changed, so that the verdict waits for its writing.
    pub changed: bool,
}

impl AppliedChange {
    fn unchanged(verdict: ClaimVerdict) -> Self {
        Self { verdict, changed: false }
    }

    fn changed(verdict: ClaimVerdict) -> Self {
        Self { verdict, changed: true }
    }

    fn refused(kind: ErrorKind) -> Self {
        Self::unchanged(ClaimVerdict::Refused(kind))
    }
}

fn new_entry(request: &ClaimRequest, wall: SystemTime, window: Duration) -> ClaimEntry {
    ClaimEntry {
        fingerprint: request.fingerprint,
        claimed_at: wall,
        kept_until: keep_until(wall, window),
        state: ClaimState::InFlight { nonce: request.nonce },
    }
}

/// A key may be dated ahead by the tolerance, and so may the clock that drops its entry.
fn keep_until(wall: SystemTime, window: Duration) -> SystemTime {
    wall + window + 2 * CLOCK_TOLERANCE
}

fn done_verdict(outcome: RequestOutcome, answer: Option<&KeptAnswer>) -> ClaimVerdict {
    match (outcome, answer) {
        (RequestOutcome::Completed, Some(answer)) => ClaimVerdict::Replayed(answer.clone()),
        (RequestOutcome::Completed, None) => ClaimVerdict::Refused(ErrorKind::KeyCompleted),
        (RequestOutcome::NotRun | RequestOutcome::PartiallyRun | RequestOutcome::Unknown, _) => {
            ClaimVerdict::Refused(ErrorKind::KeyInFlight)
        }
    }
}
