//! A page of claims and the rules for changing it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::claim::key::{
    CLOCK_TOLERANCE, ClaimNonce, IdempotencyKey, KeyDigest, RequestFingerprint,
};
use crate::outcome::RequestOutcome;
use crate::reason::ErrorKind;

/// Largest encoded page, in bytes; the key-value service accepts values of up to one megabyte.
pub const PAGE_BYTES_MAX: usize = 960_000;
/// Page size, in bytes, up to which answers are stored; the rest is reserved for claims.
pub const ANSWER_FILL_BYTES_MAX: usize = PAGE_BYTES_MAX / 2;
/// Largest encoded page header, in bytes.
pub const PAGE_HEADER_BYTES_MAX: usize = 64;
/// Largest encoded entry without its answer, in bytes.
pub const ENTRY_BYTES_MAX: usize = 96;

/// An answer that is stored to be replayed to repeated requests.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Arc<str>,
    /// The body.
    pub body: Arc<[u8]>,
}

impl StoredAnswer {
    /// Returns an upper bound of the answer's encoded size in a page, in bytes.
    pub fn size(&self) -> usize {
        const LENGTH_BYTES: usize = 16;
        LENGTH_BYTES + self.content_type.len() + self.body.len()
    }
}

/// State of a claimed request.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum ClaimState {
    /// A claimant holds the key and may have sent the request.
    InFlight {
        /// The claimant's nonce.
        nonce: ClaimNonce,
    },
    /// It was proved that the request did not run; the key may be claimed again.
    Free {
        /// The nonce of the claim that was released; a delayed claim with this nonce is refused.
        nonce: ClaimNonce,
    },
    /// The request has ended and must not run again.
    Done {
        /// How it ended.
        outcome: RequestOutcome,
        /// Its answer, if it was small enough to store.
        answer: Option<StoredAnswer>,
    },
}

/// The claim on one key in a page.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ClaimEntry {
    /// Fingerprint of the request for which the key was first used.
    pub fingerprint: RequestFingerprint,
    /// When the key was claimed, by the clock of the page's owner.
    pub claimed_at: SystemTime,
    /// Time until which the entry must be kept.
    pub kept_until: SystemTime,
    /// State of the claimed request.
    pub state: ClaimState,
}

impl ClaimEntry {
    fn size(&self) -> usize {
        let answer_size = match &self.state {
            ClaimState::Done { answer: Some(answer), .. } => answer.size(),
            ClaimState::Done { answer: None, .. }
            | ClaimState::InFlight { .. }
            | ClaimState::Free { .. } => 0,
        };
        ENTRY_BYTES_MAX + answer_size
    }
}

/// A request to claim a key.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ClaimRequest {
    /// The key to claim.
    pub key: IdempotencyKey,
    /// Fingerprint of the request for which the key is used.
    pub fingerprint: RequestFingerprint,
    /// Identifies the claim; a retry with the same nonce is the same claim.
    pub nonce: ClaimNonce,
}

/// Reports how a claimed request ended.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ClaimSettlement {
    /// The digest of the key.
    pub digest: KeyDigest,
    /// Fingerprint of the request for which the key was used.
    pub fingerprint: RequestFingerprint,
    /// The nonce of the claim.
    pub nonce: ClaimNonce,
    /// How the request ended; `NotRun` releases the key.
    pub outcome: RequestOutcome,
    /// The answer, if it is small enough to store.
    pub answer: Option<StoredAnswer>,
}

/// A change to a page.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum ClaimChange {
    /// Claims a key.
    Claim(ClaimRequest),
    /// Settles a claim, or withdraws one that may not have reached the page yet.
    Settle(ClaimSettlement),
}

impl ClaimChange {
    /// Returns the digest of the key that the change affects.
    pub fn digest(&self) -> KeyDigest {
        match self {
            Self::Claim(request) => request.key.digest,
            Self::Settle(settlement) => settlement.digest,
        }
    }
}

/// Result of a change.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum ClaimVerdict {
    /// The key is claimed; the request may be sent.
    Granted,
    /// An earlier request with this key completed; this is its answer.
    Replayed(StoredAnswer),
    /// The request must not be sent.
    Refused(ErrorKind),
    /// The settlement is recorded, or another claim holds the key.
    Settled,
}

/// The claims on the keys that hash to one page.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimPage {
    /// The claims by the digest of their key.
    pub entries: BTreeMap<KeyDigest, ClaimEntry>,
    /// Latest claim time among the claims that were dropped from the page.
    pub dropped_until: SystemTime,
    size: usize,
}

impl Default for ClaimPage {
    fn default() -> Self {
        Self::new(BTreeMap::new(), SystemTime::UNIX_EPOCH)
    }
}

impl ClaimPage {
    /// Creates a page from its content.
    pub fn new(entries: BTreeMap<KeyDigest, ClaimEntry>, dropped_until: SystemTime) -> Self {
        let size = PAGE_HEADER_BYTES_MAX + entries.values().map(ClaimEntry::size).sum::<usize>();
        Self { entries, dropped_until, size }
    }

    /// Returns an upper bound of the page's encoded size, in bytes.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Drops the entries whose `kept_until` time has passed.
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

    /// Returns the verdict on a claim if it is final: no later change or read of the page can alter
    /// it.
    pub fn final_verdict(&self, request: &ClaimRequest, wall: SystemTime) -> Option<ClaimVerdict> {
        let entry = self.entries.get(&request.key.digest)?;
        if wall > entry.kept_until {
            return None;
        }
        if entry.fingerprint != request.fingerprint {
            return Some(ClaimVerdict::Refused(ErrorKind::KeyReused));
        }
        match &entry.state {
            ClaimState::Done { outcome, answer } => {
                Some(verdict_when_done(*outcome, answer.as_ref()))
            }
            ClaimState::InFlight { .. } | ClaimState::Free { .. } => None,
        }
    }

    /// Applies a change to the page in memory.
    ///
    /// If this changed the page, the verdict holds only once the page is written.
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
        if let Some(verdict) = self.final_verdict(request, wall) {
            return AppliedChange::unchanged(verdict);
        }
        // An entry left by a withdrawal does not show whether an earlier claim on the key was
        // dropped, so this is checked for existing entries too.
        let may_have_been_dropped = self.may_have_been_dropped(&request.key, wall, window);
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
                ClaimState::Free { .. } if may_have_been_dropped => {
                    AppliedChange::refused(ErrorKind::KeyTooOld)
                }
                ClaimState::Free { .. } => {
                    *entry = new_entry(request, wall, window);
                    AppliedChange::changed(ClaimVerdict::Granted)
                }
            };
        }
        if may_have_been_dropped {
            return AppliedChange::refused(ErrorKind::KeyTooOld);
        }
        if self.size + ENTRY_BYTES_MAX > PAGE_BYTES_MAX {
            return AppliedChange::refused(ErrorKind::ClaimsFull);
        }
        self.entries.insert(request.key.digest, new_entry(request, wall, window));
        self.size += ENTRY_BYTES_MAX;
        AppliedChange::changed(ClaimVerdict::Granted)
    }

    /// Whether an earlier claim on the key may have been dropped from the page.
    ///
    /// The check against `dropped_until` also works if the window was lengthened in the meantime.
    fn may_have_been_dropped(
        &self,
        key: &IdempotencyKey,
        wall: SystemTime,
        window: Duration,
    ) -> bool {
        let was_dropped = key.time.is_some_and(|time| time <= self.dropped_until + CLOCK_TOLERANCE);
        key.is_too_old(wall, window) || was_dropped
    }

    fn settle(
        &mut self,
        settlement: &ClaimSettlement,
        wall: SystemTime,
        window: Duration,
    ) -> AppliedChange {
        let is_not_run = settlement.outcome == RequestOutcome::NotRun;
        let Some(entry) = self.entries.get_mut(&settlement.digest) else {
            if is_not_run {
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
        entry.state = if is_not_run {
            ClaimState::Free { nonce: settlement.nonce }
        } else {
            let available = ANSWER_FILL_BYTES_MAX.saturating_sub(self.size);
            let answer = settlement.answer.clone().filter(|answer| answer.size() <= available);
            self.size += answer.as_ref().map_or(0, StoredAnswer::size);
            ClaimState::Done { outcome: settlement.outcome, answer }
        };
        AppliedChange::changed(ClaimVerdict::Settled)
    }

    /// Records a free entry so that a claim still on its way to the page is refused.
    fn withdraw(&mut self, settlement: &ClaimSettlement, wall: SystemTime, window: Duration) {
        if self.size + ENTRY_BYTES_MAX > PAGE_BYTES_MAX {
            return;
        }
        let entry = ClaimEntry {
            fingerprint: settlement.fingerprint,
            claimed_at: wall,
            kept_until: keep_until(wall, window),
            state: ClaimState::Free { nonce: settlement.nonce },
        };
        self.entries.insert(settlement.digest, entry);
        self.size += ENTRY_BYTES_MAX;
    }
}

/// Result of applying a change to a page in memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AppliedChange {
    /// The verdict on the change.
    pub verdict: ClaimVerdict,
    /// Whether the page changed and must be written before the verdict holds.
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

/// Returns the time until which an entry must be kept.
///
/// The tolerance counts twice: the key's timestamp may be ahead by it, and so may the clock of the
/// instance that drops the entry.
fn keep_until(wall: SystemTime, window: Duration) -> SystemTime {
    wall + window + 2 * CLOCK_TOLERANCE
}

fn verdict_when_done(outcome: RequestOutcome, answer: Option<&StoredAnswer>) -> ClaimVerdict {
    match (outcome, answer) {
        (RequestOutcome::Completed, Some(answer)) => ClaimVerdict::Replayed(answer.clone()),
        (RequestOutcome::Completed, None) => ClaimVerdict::Refused(ErrorKind::KeyCompleted),
        (RequestOutcome::NotRun | RequestOutcome::PartiallyRun | RequestOutcome::Unknown, _) => {
            ClaimVerdict::Refused(ErrorKind::KeyInFlight)
        }
    }
}
