//! Claims the idempotency key of a request that must not run twice, before anything is sent.

use std::time::{Duration, SystemTime};

use bytes::Bytes;
use futures_util::future::{Either, select};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use uuid::Uuid;

use coltsfootgate_core::claim::hold::SendWindow;
use coltsfootgate_core::claim::key::{IdempotencyKey, RequestFingerprint};
use coltsfootgate_core::claim::page::{
    ClaimChange, ClaimRequest, ClaimSettlement, ClaimVerdict, StoredAnswer,
};
use coltsfootgate_core::prelude::{ErrorKind, RequestOutcome};

use super::admit::refusal;
use super::classify::ClassifiedRequest;
use super::context::PipelineContext;
use super::settle::{RequestEnd, ServedAnswer};
use crate::claims::ClaimsHandle;
use crate::clock;
use crate::entry::answer::REPLAYED;
use crate::entry::{CallerLink, Refusal};

/// The result of claiming the idempotency key of a request.
#[derive(Debug)]
pub enum ClaimResult {
    /// The request needs no claim.
    NotNeeded,
    /// The claim was granted, and the request may be sent.
    Granted(ClaimLease),
    /// The request completed earlier; this is its stored answer.
    Replayed(RequestEnd),
}

/// The claim of a request; settled when dropped.
#[derive(Debug)]
pub struct ClaimLease {
    claims: ClaimsHandle,
    claim: ClaimRequest,
    send_window: SendWindow,
    answer_bytes_max: usize,
    outcome: RequestOutcome,
    answer: Option<StoredAnswer>,
    settles_on_drop: bool,
}

impl ClaimLease {
    /// Checks that the request may still be sent, and records that its outcome is unknown from then
    /// on.
    pub fn begin_send(&mut self, request: &ClassifiedRequest) -> Result<(), Refusal> {
        self.send_window
            .check_send(clock::boot_time())
            .map_err(|kind| claim_refusal(request, kind))?;
        self.outcome = RequestOutcome::Unknown;
        Ok(())
    }

    /// Records how the request ended.
    pub fn settle(mut self, end: &Result<RequestEnd, Refusal>) {
        match end {
            Ok(RequestEnd::Served(ServedAnswer::Body { status, headers, body })) => {
                self.outcome = RequestOutcome::Completed;
                self.answer = self.storable_answer(*status, headers, body);
            }
            Ok(RequestEnd::Served(ServedAnswer::Stream | ServedAnswer::Forwarded)) => {
                self.outcome = RequestOutcome::Completed;
            }
            Ok(RequestEnd::Refused(refused)) | Err(refused) => {
                self.outcome = refused.kind.outcome();
            }
        }
    }

    /// Drops the lease without settling it, because its claim was not granted.
    fn discard(mut self) {
        self.settles_on_drop = false;
    }

    fn storable_answer(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> Option<StoredAnswer> {
        if body.len() > self.answer_bytes_max {
            return None;
        }
        let content_type = headers.get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
        Some(StoredAnswer {
            status: status.as_u16(),
            content_type: content_type.into(),
            body: body.as_ref().into(),
        })
    }
}

impl Drop for ClaimLease {
    fn drop(&mut self) {
        if !self.settles_on_drop {
            return;
        }
        self.claims.settle(ClaimSettlement {
            digest: self.claim.key.digest,
            fingerprint: self.claim.fingerprint,
            nonce: self.claim.nonce,
            outcome: self.outcome,
            answer: self.answer.take(),
        });
    }
}

/// Claims the idempotency key of a request that is not repeatable, and waits until its deadline.
///
/// # Errors
///
/// Refuses a request whose key is invalid or cannot be claimed, or whose caller disconnects.
pub async fn claim_request(
    context: &PipelineContext,
    request: &ClassifiedRequest,
    caller: &mut CallerLink,
) -> Result<ClaimResult, Refusal> {
    let Some(key) =
        request.accepted.metadata.idempotency_key.as_ref().filter(|_| !request.repeatable)
    else {
        return Ok(ClaimResult::NotNeeded);
    };
    let key = IdempotencyKey::parse(&request.customer.id, key, SystemTime::now())
        .map_err(|kind| claim_refusal(request, kind))?;
    let lease = new_lease(context, request, key);
    let change = ClaimChange::Claim(lease.claim.clone());
    let verdict = context.claims.change(change, request.deadline);
    let verdict = match select(std::pin::pin!(verdict), std::pin::pin!(caller.disconnected())).await
    {
        Either::Left((verdict, _)) => verdict,
        // Dropping the lease settles it as not run, which withdraws a claim that is still pending.
        Either::Right(_) => return Err(claim_refusal(request, ErrorKind::CallerLeftWaiting)),
    };
    match verdict {
        ClaimVerdict::Granted => Ok(ClaimResult::Granted(lease)),
        ClaimVerdict::Refused(ErrorKind::ClaimUnavailable) | ClaimVerdict::Settled => {
            Err(claim_refusal(request, ErrorKind::ClaimUnavailable))
        }
        ClaimVerdict::Replayed(answer) => {
            lease.discard();
            Ok(ClaimResult::Replayed(replay(answer)))
        }
        ClaimVerdict::Refused(kind) => {
            lease.discard();
            Err(claim_refusal(request, kind))
        }
    }
}

fn new_lease(
    context: &PipelineContext,
    request: &ClassifiedRequest,
    key: IdempotencyKey,
) -> ClaimLease {
    let accepted = &request.accepted;
    let deployment = request.active.tree.deployment();
    let method = accepted.method.as_str();
    let fingerprint = RequestFingerprint::of_request(method, &accepted.target, &accepted.body);
    ClaimLease {
        claims: context.claims.clone(),
        claim: ClaimRequest { key, fingerprint, nonce: Uuid::new_v4() },
        send_window: SendWindow::new(clock::boot_time(), deployment.claim_window),
        answer_bytes_max: deployment.kept_answer_bytes as usize,
        outcome: RequestOutcome::NotRun,
        answer: None,
        settles_on_drop: true,
    }
}

fn replay(answer: StoredAnswer) -> RequestEnd {
    let mut headers = HeaderMap::new();
    if let Ok(content_type) = HeaderValue::from_str(&answer.content_type) {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    headers.insert(HeaderName::from_static(REPLAYED), HeaderValue::from_static("true"));
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    RequestEnd::Served(ServedAnswer::Body {
        status,
        headers,
        body: Bytes::copy_from_slice(&answer.body),
    })
}

fn claim_refusal(request: &ClassifiedRequest, kind: ErrorKind) -> Refusal {
    let message = match kind {
        ErrorKind::KeyInvalid => {
            "the idempotency key holds characters that are not allowed, or its time lies ahead"
        }
        ErrorKind::KeyTooOld => "the idempotency key is older than claims are kept",
        ErrorKind::KeyReused => "the idempotency key was used before for another request",
        ErrorKind::KeyInFlight => {
            "a request with this idempotency key is in flight, or its outcome is not known"
        }
        ErrorKind::KeyCompleted => {
            "the request with this idempotency key completed; its answer was not kept"
        }
        ErrorKind::ClaimsFull => "no room is left for idempotency keys within their window",
        ErrorKind::ClaimExpired => "the claim on the idempotency key took too long to confirm",
        ErrorKind::CallerLeftWaiting => "the caller left while its key was being claimed",
        _ => "the idempotency key could not be claimed before the deadline",
    };
    let refused = refusal(request, kind, message);
    match kind {
        ErrorKind::ClaimsFull => refused.with_retry_after(Duration::from_secs(60)),
        _ => refused,
    }
}
