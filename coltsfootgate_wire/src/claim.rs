//! Wire types of claims: changes and verdicts between instances, and pages in the platform's store.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use coltsfootgate_core::claim::key::{IdempotencyKey, KeyDigest, RequestFingerprint};
use coltsfootgate_core::claim::page::{
    ClaimChange, ClaimEntry, ClaimPage, ClaimRequest, ClaimSettlement, ClaimState, ClaimVerdict,
    PAGE_BYTES_MAX, StoredAnswer,
};
use coltsfootgate_core::outcome::RequestOutcome;

use crate::error::WireError;
use crate::frame::{decode, encode};
use crate::grant::check_kind;

/// First byte of a stored page, which identifies the format of the rest.
const PAGE_FORMAT: u8 = 1;
/// Maximum length of a stored answer's content type, in bytes.
const CONTENT_TYPE_BYTES_MAX: usize = 256;
/// Valid HTTP status codes.
const STATUS_CODES: std::ops::RangeInclusive<u16> = 100..=599;

#[derive(Clone, Copy, Deserialize, Serialize)]
pub(crate) enum WireOutcome {
    Completed,
    NotRun,
    PartiallyRun,
    Unknown,
}

#[derive(Deserialize, Serialize)]
pub(crate) struct WireAnswer {
    status: u16,
    content_type: Arc<str>,
    body: Vec<u8>,
}

#[derive(Deserialize, Serialize)]
enum WireState {
    InFlight([u8; 16]),
    Free([u8; 16]),
    Done(WireOutcome, Option<WireAnswer>),
}

#[derive(Deserialize, Serialize)]
struct WireEntry {
    digest: [u8; 16],
    fingerprint: [u8; 16],
    claimed_at_millis: u64,
    kept_until_millis: u64,
    state: WireState,
}

#[derive(Deserialize, Serialize)]
struct WirePage {
    dropped_until_millis: u64,
    entries: Vec<WireEntry>,
}

#[derive(Deserialize, Serialize)]
pub(crate) enum WireChange {
    Claim {
        digest: [u8; 16],
        key_millis: Option<u64>,
        fingerprint: [u8; 16],
        nonce: [u8; 16],
    },
    Settle {
        digest: [u8; 16],
        fingerprint: [u8; 16],
        nonce: [u8; 16],
        outcome: WireOutcome,
        answer: Option<WireAnswer>,
    },
}

#[derive(Deserialize, Serialize)]
pub(crate) enum WireVerdict {
    Granted,
    Replayed(WireAnswer),
    Refused(String),
    Settled,
}

/// Encodes a page for the platform's store.
///
/// # Errors
///
/// Fails if the encoded page is larger than [`PAGE_BYTES_MAX`].
pub fn encode_claim_page(page: ClaimPage) -> Result<Vec<u8>, WireError> {
    let mut value = vec![PAGE_FORMAT];
    value.extend(encode(&WirePage::from(page))?);
    if value.len() > PAGE_BYTES_MAX {
        return Err(WireError::TooLarge(value.len()));
    }
    Ok(value)
}

/// Decodes a page from the platform's store.
///
/// # Errors
///
/// Fails unless the value is exactly one valid page.
pub fn decode_claim_page(value: &[u8]) -> Result<ClaimPage, WireError> {
    let Some((&PAGE_FORMAT, page)) = value.split_first() else {
        return Err(WireError::WrongValue("page format"));
    };
    decode::<WirePage>(page)?.try_into()
}

fn to_millis(time: SystemTime) -> u64 {
    let since = time.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

fn from_millis(millis: u64) -> Result<SystemTime, WireError> {
    let time = SystemTime::UNIX_EPOCH.checked_add(Duration::from_millis(millis));
    time.ok_or(WireError::WrongValue("time"))
}

impl From<RequestOutcome> for WireOutcome {
    fn from(outcome: RequestOutcome) -> Self {
        match outcome {
            RequestOutcome::Completed => Self::Completed,
            RequestOutcome::NotRun => Self::NotRun,
            RequestOutcome::PartiallyRun => Self::PartiallyRun,
            RequestOutcome::Unknown => Self::Unknown,
        }
    }
}

impl From<WireOutcome> for RequestOutcome {
    fn from(outcome: WireOutcome) -> Self {
        match outcome {
            WireOutcome::Completed => Self::Completed,
            WireOutcome::NotRun => Self::NotRun,
            WireOutcome::PartiallyRun => Self::PartiallyRun,
            WireOutcome::Unknown => Self::Unknown,
        }
    }
}

impl From<StoredAnswer> for WireAnswer {
    fn from(answer: StoredAnswer) -> Self {
        let StoredAnswer { status, content_type, body } = answer;
        Self { status, content_type, body: body.to_vec() }
    }
}

impl TryFrom<WireAnswer> for StoredAnswer {
    type Error = WireError;

    fn try_from(answer: WireAnswer) -> Result<Self, WireError> {
        let WireAnswer { status, content_type, body } = answer;
        let is_text = content_type.bytes().all(|byte| matches!(byte, b' '..=b'~'));
        if !is_text || content_type.len() > CONTENT_TYPE_BYTES_MAX {
            return Err(WireError::WrongValue("content type"));
        }
        if !STATUS_CODES.contains(&status) {
            return Err(WireError::WrongValue("status"));
        }
        Ok(Self { status, content_type, body: body.into() })
    }
}

impl From<ClaimState> for WireState {
    fn from(state: ClaimState) -> Self {
        match state {
            ClaimState::InFlight { nonce } => Self::InFlight(nonce.into_bytes()),
            ClaimState::Free { nonce } => Self::Free(nonce.into_bytes()),
            ClaimState::Done { outcome, answer } => {
                Self::Done(outcome.into(), answer.map(WireAnswer::from))
            }
        }
    }
}

impl TryFrom<WireState> for ClaimState {
    type Error = WireError;

    fn try_from(state: WireState) -> Result<Self, WireError> {
        Ok(match state {
            WireState::InFlight(nonce) => Self::InFlight { nonce: Uuid::from_bytes(nonce) },
            WireState::Free(nonce) => Self::Free { nonce: Uuid::from_bytes(nonce) },
            WireState::Done(outcome, answer) => Self::Done {
                outcome: outcome.into(),
                answer: answer.map(StoredAnswer::try_from).transpose()?,
            },
        })
    }
}

impl From<ClaimPage> for WirePage {
    fn from(page: ClaimPage) -> Self {
        let entries = page.entries.into_iter().map(|(digest, entry)| WireEntry {
            digest: digest.to_bytes(),
            fingerprint: entry.fingerprint.to_bytes(),
            claimed_at_millis: to_millis(entry.claimed_at),
            kept_until_millis: to_millis(entry.kept_until),
            state: entry.state.into(),
        });
        let entries = entries.collect();
        Self { dropped_until_millis: to_millis(page.dropped_until), entries }
    }
}

impl TryFrom<WirePage> for ClaimPage {
    type Error = WireError;

    fn try_from(page: WirePage) -> Result<Self, WireError> {
        let entries = page.entries.into_iter().map(|entry| {
            let claim = ClaimEntry {
                fingerprint: RequestFingerprint::from_bytes(entry.fingerprint),
                claimed_at: from_millis(entry.claimed_at_millis)?,
                kept_until: from_millis(entry.kept_until_millis)?,
                state: entry.state.try_into()?,
            };
            Ok((KeyDigest::from_bytes(entry.digest), claim))
        });
        let entries = entries.collect::<Result<_, WireError>>()?;
        Ok(Self::new(entries, from_millis(page.dropped_until_millis)?))
    }
}

impl From<ClaimChange> for WireChange {
    fn from(change: ClaimChange) -> Self {
        match change {
            ClaimChange::Claim(request) => Self::Claim {
                digest: request.key.digest.to_bytes(),
                key_millis: request.key.time.map(to_millis),
                fingerprint: request.fingerprint.to_bytes(),
                nonce: request.nonce.into_bytes(),
            },
            ClaimChange::Settle(settlement) => Self::Settle {
                digest: settlement.digest.to_bytes(),
                fingerprint: settlement.fingerprint.to_bytes(),
                nonce: settlement.nonce.into_bytes(),
                outcome: settlement.outcome.into(),
                answer: settlement.answer.map(WireAnswer::from),
            },
        }
    }
}

impl TryFrom<WireChange> for ClaimChange {
    type Error = WireError;

    fn try_from(change: WireChange) -> Result<Self, WireError> {
        Ok(match change {
            WireChange::Claim { digest, key_millis, fingerprint, nonce } => {
                let time = key_millis.map(from_millis).transpose()?;
                let key = IdempotencyKey { digest: KeyDigest::from_bytes(digest), time };
                let fingerprint = RequestFingerprint::from_bytes(fingerprint);
                Self::Claim(ClaimRequest { key, fingerprint, nonce: Uuid::from_bytes(nonce) })
            }
            WireChange::Settle { digest, fingerprint, nonce, outcome, answer } => {
                Self::Settle(ClaimSettlement {
                    digest: KeyDigest::from_bytes(digest),
                    fingerprint: RequestFingerprint::from_bytes(fingerprint),
                    nonce: Uuid::from_bytes(nonce),
                    outcome: outcome.into(),
                    answer: answer.map(StoredAnswer::try_from).transpose()?,
                })
            }
        })
    }
}

impl From<ClaimVerdict> for WireVerdict {
    fn from(verdict: ClaimVerdict) -> Self {
        match verdict {
            ClaimVerdict::Granted => Self::Granted,
            ClaimVerdict::Replayed(answer) => Self::Replayed(answer.into()),
            ClaimVerdict::Refused(kind) => Self::Refused(kind.code().to_owned()),
            ClaimVerdict::Settled => Self::Settled,
        }
    }
}

impl TryFrom<WireVerdict> for ClaimVerdict {
    type Error = WireError;

    fn try_from(verdict: WireVerdict) -> Result<Self, WireError> {
        Ok(match verdict {
            WireVerdict::Granted => Self::Granted,
            WireVerdict::Replayed(answer) => Self::Replayed(answer.try_into()?),
            WireVerdict::Refused(code) => Self::Refused(check_kind(&code)?),
            WireVerdict::Settled => Self::Settled,
        })
    }
}
