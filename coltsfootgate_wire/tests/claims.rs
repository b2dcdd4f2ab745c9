//! Claim changes, verdicts and pages round-trip through their encoding; invalid pages are rejected.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use coltsfootgate_core::claim::key::{IdempotencyKey, KeyDigest, RequestFingerprint};
use coltsfootgate_core::claim::page::{
    ClaimChange, ClaimEntry, ClaimPage, ClaimRequest, ClaimSettlement, ClaimState, ClaimVerdict,
    StoredAnswer,
};
use coltsfootgate_core::prelude::{ErrorKind, RequestOutcome};
use coltsfootgate_wire::{
    PeerReply, PeerRequest, decode_claim_page, decode_reply, decode_request, encode_claim_page,
    encode_reply, encode_request,
};
use proptest::prelude::*;
use uuid::Uuid;

/// Maximum size of a value of the platform's store, in bytes.
const STORE_BYTES_MAX: usize = 1_000_000;

fn any_outcome() -> impl Strategy<Value = RequestOutcome> {
    prop::sample::select(vec![
        RequestOutcome::Completed,
        RequestOutcome::NotRun,
        RequestOutcome::PartiallyRun,
        RequestOutcome::Unknown,
    ])
}

fn any_answer() -> impl Strategy<Value = StoredAnswer> {
    (100..600u16, "[ -~]{0,40}", prop::collection::vec(any::<u8>(), 0..300)).prop_map(
        |(status, content_type, body)| StoredAnswer {
            status,
            content_type: content_type.into(),
            body: body.into(),
        },
    )
}

fn any_nonce() -> impl Strategy<Value = Uuid> {
    any::<u128>().prop_map(Uuid::from_u128)
}

fn any_state() -> impl Strategy<Value = ClaimState> {
    prop_oneof![
        any_nonce().prop_map(|nonce| ClaimState::InFlight { nonce }),
        any_nonce().prop_map(|nonce| ClaimState::Free { nonce }),
        (any_outcome(), prop::option::of(any_answer()))
            .prop_map(|(outcome, answer)| ClaimState::Done { outcome, answer }),
    ]
}

fn any_time() -> impl Strategy<Value = SystemTime> {
    (0..4_000_000_000_000u64)
        .prop_map(|millis| SystemTime::UNIX_EPOCH + Duration::from_millis(millis))
}

fn any_digest() -> impl Strategy<Value = KeyDigest> {
    any::<[u8; 16]>().prop_map(KeyDigest::from_bytes)
}

fn any_fingerprint() -> impl Strategy<Value = RequestFingerprint> {
    any::<[u8; 16]>().prop_map(RequestFingerprint::from_bytes)
}

fn any_entry() -> impl Strategy<Value = ClaimEntry> {
    (any_fingerprint(), any_time(), any_time(), any_state()).prop_map(
        |(fingerprint, claimed_at, kept_until, state)| ClaimEntry {
            fingerprint,
            claimed_at,
            kept_until,
            state,
        },
    )
}

fn any_page() -> impl Strategy<Value = ClaimPage> {
    (prop::collection::btree_map(any_digest(), any_entry(), 0..30), any_time())
        .prop_map(|(entries, dropped_until)| ClaimPage::new(entries, dropped_until))
}

fn any_change() -> impl Strategy<Value = ClaimChange> {
    let claim = (any_digest(), prop::option::of(any_time()), any_fingerprint(), any_nonce())
        .prop_map(|(digest, time, fingerprint, nonce)| {
            let key = IdempotencyKey { digest, time };
            ClaimChange::Claim(ClaimRequest { key, fingerprint, nonce })
        });
    let settle = (
        (any_digest(), any_fingerprint(), any_nonce()),
        any_outcome(),
        prop::option::of(any_answer()),
    )
        .prop_map(|((digest, fingerprint, nonce), outcome, answer)| {
            ClaimChange::Settle(ClaimSettlement { digest, fingerprint, nonce, outcome, answer })
        });
    prop_oneof![claim, settle]
}

proptest! {
    #[test]
    fn pages_round_trip(page in any_page()) {
        let value = encode_claim_page(page.clone()).unwrap();
        prop_assert!(value.len() <= page.size(), "{} bytes > {}", value.len(), page.size());
        prop_assert_eq!(decode_claim_page(&value), Ok(page));
    }

    #[test]
    fn truncated_and_extended_pages_are_rejected(page in any_page(), cut in 1..40usize) {
        let mut value = encode_claim_page(page).unwrap();
        let shorter = value.len().saturating_sub(cut);
        prop_assert!(decode_claim_page(&value[..shorter]).is_err());
        value.push(0);
        prop_assert!(decode_claim_page(&value).is_err());
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode_claim_page(&bytes);
    }

    #[test]
    fn changes_round_trip(change in any_change()) {
        let now = Instant::now();
        let request = PeerRequest::Claim { change, deadline: now + Duration::from_secs(2) };
        let bytes = encode_request(request.clone(), now).unwrap();
        prop_assert_eq!(decode_request(&bytes, now), Ok(request));
    }

    #[test]
    fn verdicts_round_trip(
        answer in any_answer(),
        kind in prop::sample::select(ErrorKind::ALL),
    ) {
        for verdict in [
            ClaimVerdict::Granted,
            ClaimVerdict::Settled,
            ClaimVerdict::Refused(kind),
            ClaimVerdict::Replayed(answer),
        ] {
            let bytes = encode_reply(PeerReply::Claim(verdict.clone())).unwrap();
            prop_assert_eq!(decode_reply(&bytes), Ok(PeerReply::Claim(verdict)));
        }
    }
}

#[test]
fn a_full_page_fits_the_store() {
    let mut page = ClaimPage::default();
    let wall = SystemTime::UNIX_EPOCH + Duration::from_millis(u64::from(u32::MAX) * 1000);
    let window = Duration::from_secs(24 * 3600);
    for number in 0..u128::MAX {
        let request = ClaimRequest {
            key: IdempotencyKey { digest: KeyDigest::from_bytes(number.to_be_bytes()), time: None },
            fingerprint: RequestFingerprint::from_bytes([255; 16]),
            nonce: Uuid::from_u128(u128::MAX),
        };
        let verdict = page.apply(&ClaimChange::Claim(request.clone()), wall, window).verdict;
        if verdict == ClaimVerdict::Refused(ErrorKind::ClaimsFull) {
            break;
        }
        let answer = StoredAnswer {
            status: 200,
            content_type: Arc::from("text/plain"),
            body: vec![b'x'; 4096].into(),
        };
        let settlement = ClaimSettlement {
            digest: request.key.digest,
            fingerprint: request.fingerprint,
            nonce: request.nonce,
            outcome: RequestOutcome::Completed,
            answer: Some(answer),
        };
        page.apply(&ClaimChange::Settle(settlement), wall, window);
    }
    assert!(page.entries.len() > 4000);
    let value = encode_claim_page(page).unwrap();
    assert!(value.len() < STORE_BYTES_MAX, "{} bytes", value.len());
}
