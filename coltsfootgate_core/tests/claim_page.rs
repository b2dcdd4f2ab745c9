//! Verdicts of a claim page, validation of keys, and store calls of a page owner.

use std::sync::{Arc, LazyLock};
use std::time::{Duration, Instant, SystemTime};

use coltsfootgate_core::claim::hold::{SEND_WINDOW_DIVISOR, SendWindow};
use coltsfootgate_core::claim::key::{
    CLOCK_TOLERANCE, IdempotencyKey, KEY_BYTES_MAX, KeyDigest, RequestFingerprint,
};
use coltsfootgate_core::claim::owner::{BATCH_TIME, PageAction, PageEvent, PageOwner};
use coltsfootgate_core::claim::page::{
    ANSWER_FILL_BYTES_MAX, ClaimChange, ClaimPage, ClaimRequest, ClaimSettlement, ClaimVerdict,
    PAGE_BYTES_MAX, StoredAnswer,
};
use coltsfootgate_core::prelude::{ErrorKind, RequestOutcome};
use rstest::rstest;
use uuid::{NoContext, Timestamp, Uuid};

const WINDOW: Duration = Duration::from_secs(3600);
static WALL: LazyLock<SystemTime> =
    LazyLock::new(|| SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000));

fn key(number: u32) -> IdempotencyKey {
    let mut bytes = [0; 16];
    bytes[..4].copy_from_slice(&number.to_be_bytes());
    IdempotencyKey { digest: KeyDigest::from_bytes(bytes), time: None }
}

fn claim(key: IdempotencyKey, nonce: u128, body: &str) -> ClaimRequest {
    let fingerprint = RequestFingerprint::of_request("POST", "/orders", body.as_bytes());
    ClaimRequest { key, fingerprint, nonce: Uuid::from_u128(nonce) }
}

fn settlement(request: &ClaimRequest, outcome: RequestOutcome, bytes: usize) -> ClaimChange {
    let body = Arc::from(vec![b'x'; bytes]);
    let answer =
        (bytes > 0).then(|| StoredAnswer { status: 200, content_type: "text/plain".into(), body });
    ClaimChange::Settle(ClaimSettlement {
        digest: request.key.digest,
        fingerprint: request.fingerprint,
        nonce: request.nonce,
        outcome,
        answer,
    })
}

fn apply(page: &mut ClaimPage, change: ClaimChange, after: Duration) -> ClaimVerdict {
    page.drop_expired(*WALL + after);
    page.apply(&change, *WALL + after, WINDOW).verdict
}

fn uuid_with_timestamp(wall: SystemTime) -> String {
    let since = wall.duration_since(SystemTime::UNIX_EPOCH).unwrap();
    let stamp = Timestamp::from_unix(NoContext, since.as_secs(), since.subsec_nanos());
    Uuid::new_v7(stamp).to_string()
}

#[rstest]
#[case::in_flight(None, 2, "a", ClaimVerdict::Refused(ErrorKind::KeyInFlight))]
#[case::retried_with_the_same_nonce(None, 1, "a", ClaimVerdict::Granted)]
#[case::completed_with_answer(
    Some((RequestOutcome::Completed, 3)),
    2,
    "a",
    ClaimVerdict::Replayed(StoredAnswer { status: 200, content_type: "text/plain".into(), body: (*b"xxx").into() })
)]
#[case::completed_without_answer(Some((RequestOutcome::Completed, 0)), 2, "a", ClaimVerdict::Refused(ErrorKind::KeyCompleted))]
#[case::ended_with_unknown_outcome(Some((RequestOutcome::Unknown, 0)), 2, "a", ClaimVerdict::Refused(ErrorKind::KeyInFlight))]
#[case::partially_run(Some((RequestOutcome::PartiallyRun, 0)), 2, "a", ClaimVerdict::Refused(ErrorKind::KeyInFlight))]
#[case::not_run(Some((RequestOutcome::NotRun, 0)), 2, "a", ClaimVerdict::Granted)]
#[case::delayed_claim_with_a_released_nonce(Some((RequestOutcome::NotRun, 0)), 1, "a", ClaimVerdict::Refused(ErrorKind::ClaimExpired))]
#[case::different_request(None, 2, "b", ClaimVerdict::Refused(ErrorKind::KeyReused))]
#[case::different_request_after_completion(Some((RequestOutcome::Completed, 3)), 2, "b", ClaimVerdict::Refused(ErrorKind::KeyReused))]
fn repeated_key_gets_a_verdict_by_the_state_of_its_claim(
    #[case] settled: Option<(RequestOutcome, usize)>,
    #[case] nonce: u128,
    #[case] body: &str,
    #[case] expected: ClaimVerdict,
) {
    let mut page = ClaimPage::default();
    let first = claim(key(1), 1, "a");
    let granted = apply(&mut page, ClaimChange::Claim(first.clone()), Duration::ZERO);
    assert_eq!(granted, ClaimVerdict::Granted);
    if let Some((outcome, bytes)) = settled {
        let verdict = apply(&mut page, settlement(&first, outcome, bytes), Duration::ZERO);
        assert_eq!(verdict, ClaimVerdict::Settled);
    }
    let repeat = ClaimChange::Claim(claim(key(1), nonce, body));
    assert_eq!(apply(&mut page, repeat, Duration::from_secs(1)), expected);
}

#[test]
fn claim_that_arrives_after_its_withdrawal_is_refused() {
    let mut page = ClaimPage::default();
    let late = claim(key(1), 1, "a");
    apply(&mut page, settlement(&late, RequestOutcome::NotRun, 0), Duration::ZERO);
    let verdict = apply(&mut page, ClaimChange::Claim(late), Duration::ZERO);
    assert_eq!(verdict, ClaimVerdict::Refused(ErrorKind::ClaimExpired));
    let repeat = ClaimChange::Claim(claim(key(1), 2, "a"));
    assert_eq!(apply(&mut page, repeat, Duration::ZERO), ClaimVerdict::Granted);
}

#[test]
fn claim_is_kept_for_its_window_and_dropped_after() {
    let mut page = ClaimPage::default();
    apply(&mut page, ClaimChange::Claim(claim(key(1), 1, "a")), Duration::ZERO);
    let kept = WINDOW + 2 * CLOCK_TOLERANCE;
    let repeat = || ClaimChange::Claim(claim(key(1), 2, "a"));
    let inside = apply(&mut page, repeat(), kept);
    assert_eq!(inside, ClaimVerdict::Refused(ErrorKind::KeyInFlight));
    let after = apply(&mut page, repeat(), kept + Duration::from_secs(1));
    assert_eq!(after, ClaimVerdict::Granted);
}

#[test]
fn timestamped_key_does_not_run_again_after_the_window_was_lengthened() {
    let mut page = ClaimPage::default();
    let timestamped = IdempotencyKey { time: Some(*WALL), ..key(1) };
    apply(&mut page, ClaimChange::Claim(claim(timestamped, 1, "a")), Duration::ZERO);
    let wall = *WALL + WINDOW + 3 * CLOCK_TOLERANCE;
    page.drop_expired(wall);
    let repeat = ClaimChange::Claim(claim(timestamped, 2, "a"));
    let verdict = page.apply(&repeat, wall, WINDOW * 100).verdict;
    assert_eq!(verdict, ClaimVerdict::Refused(ErrorKind::KeyTooOld));
}

#[test]
fn withdrawal_after_the_window_does_not_let_a_timestamped_key_run_again() {
    let mut page = ClaimPage::default();
    let timestamped = IdempotencyKey { time: Some(*WALL), ..key(1) };
    apply(&mut page, ClaimChange::Claim(claim(timestamped, 1, "a")), Duration::ZERO);
    let after = WINDOW + 3 * CLOCK_TOLERANCE;
    let late = claim(timestamped, 2, "a");
    apply(&mut page, settlement(&late, RequestOutcome::NotRun, 0), after);
    let verdict = apply(&mut page, ClaimChange::Claim(claim(timestamped, 3, "a")), after);
    assert_eq!(verdict, ClaimVerdict::Refused(ErrorKind::KeyTooOld));
}

#[test]
fn full_page_refuses_new_keys_and_still_settles_existing_claims() {
    let mut page = ClaimPage::default();
    let mut number = 0;
    let refused = loop {
        let verdict =
            apply(&mut page, ClaimChange::Claim(claim(key(number), 1, "a")), Duration::ZERO);
        if verdict != ClaimVerdict::Granted {
            break verdict;
        }
        number += 1;
    };
    assert_eq!(refused, ClaimVerdict::Refused(ErrorKind::ClaimsFull));
    let first = claim(key(0), 1, "a");
    apply(&mut page, settlement(&first, RequestOutcome::Completed, 10), Duration::ZERO);
    assert!(page.size() <= PAGE_BYTES_MAX);
    let repeat = ClaimChange::Claim(claim(key(0), 2, "a"));
    let verdict = apply(&mut page, repeat, Duration::ZERO);
    assert_eq!(verdict, ClaimVerdict::Refused(ErrorKind::KeyCompleted));
}

#[test]
fn stored_responses_leave_half_a_page_to_claims() {
    let mut page = ClaimPage::default();
    for number in 0..100 {
        let request = claim(key(number), 1, "a");
        apply(&mut page, ClaimChange::Claim(request.clone()), Duration::ZERO);
        apply(&mut page, settlement(&request, RequestOutcome::Completed, 16_000), Duration::ZERO);
    }
    assert!(page.size() <= ANSWER_FILL_BYTES_MAX + 100 * 96);
}

#[rstest]
#[case::plain("order-17", Ok(None))]
#[case::empty("", Err(ErrorKind::KeyInvalid))]
#[case::longest(&"k".repeat(KEY_BYTES_MAX), Ok(None))]
#[case::too_long(&"k".repeat(KEY_BYTES_MAX + 1), Err(ErrorKind::KeyInvalid))]
#[case::space("order 17", Err(ErrorKind::KeyInvalid))]
#[case::control("order\u{7}", Err(ErrorKind::KeyInvalid))]
#[case::not_ascii("comandă", Err(ErrorKind::KeyInvalid))]
#[case::random_uuid("6fa459ea-ee8a-4ca4-894e-db77e160355e", Ok(None))]
#[case::timestamped_uuid(&uuid_with_timestamp(*WALL), Ok(Some(*WALL)))]
#[case::timestamp_beyond_the_clock_tolerance(&uuid_with_timestamp(*WALL + 2 * CLOCK_TOLERANCE), Err(ErrorKind::KeyInvalid))]
fn keys_are_validated(#[case] text: &str, #[case] expected: Result<Option<SystemTime>, ErrorKind>) {
    assert_eq!(IdempotencyKey::parse("customers.a", text, *WALL).map(|key| key.time), expected);
}

#[test]
fn customers_do_not_share_keys() {
    let of = |customer| IdempotencyKey::parse(customer, "order-17", *WALL).unwrap().digest;
    assert_ne!(of("customers.a"), of("customers.b"));
    assert_eq!(of("customers.a"), of("customers.a"));
}

#[test]
fn key_older_than_the_window_is_refused() {
    let mut page = ClaimPage::default();
    let old = IdempotencyKey { time: Some(*WALL - WINDOW), ..key(1) };
    let verdict = apply(&mut page, ClaimChange::Claim(claim(old, 1, "a")), Duration::ZERO);
    assert_eq!(verdict, ClaimVerdict::Refused(ErrorKind::KeyTooOld));
}

#[test]
fn send_window_ends_well_before_the_claim() {
    let requested_at = Duration::from_secs(500);
    let send_window = SendWindow::new(requested_at, WINDOW);
    assert_eq!(send_window.check_send(requested_at), Ok(()));
    assert_eq!(
        send_window.check_send(requested_at + WINDOW / SEND_WINDOW_DIVISOR),
        Err(ErrorKind::ClaimExpired)
    );
}

#[test]
fn claims_within_the_batch_time_are_committed_in_one_write() {
    let start = Instant::now();
    let deadline = start + Duration::from_secs(1);
    let mut owner = PageOwner::new(WINDOW);
    for ticket in 0..50 {
        let change = ClaimChange::Claim(claim(key(ticket as u32), 1, "a"));
        assert_eq!(
            owner.handle(PageEvent::Requested { ticket, change, deadline }, start, *WALL),
            []
        );
    }
    let later = start + BATCH_TIME;
    assert_eq!(owner.handle(PageEvent::Tick, later, *WALL), [PageAction::Read]);
    let read = PageEvent::Read { revision: 0, page: ClaimPage::default() };
    let writes = owner.handle(read, later, *WALL);
    let [PageAction::Write { revision: 0, page }] = &writes[..] else { panic!("{writes:?}") };
    assert_eq!(page.entries.len(), 50);
    let answers = owner.handle(PageEvent::Written(1), later, *WALL);
    assert_eq!(answers.len(), 50);
}

#[test]
fn claim_is_refused_at_its_deadline_if_the_store_keeps_failing() {
    let start = Instant::now();
    let deadline = start + Duration::from_secs(1);
    let mut owner = PageOwner::new(WINDOW);
    let change = ClaimChange::Claim(claim(key(1), 1, "a"));
    owner.handle(PageEvent::Requested { ticket: 7, change, deadline }, start, *WALL);
    let mut reads = 0;
    let (now, answer) = loop {
        let now = owner.wake_at().unwrap();
        match owner.handle(PageEvent::Tick, now, *WALL).pop() {
            Some(PageAction::Read) => {
                reads += 1;
                owner.handle(PageEvent::ReadFailed, now, *WALL);
            }
            other => break (now, other),
        }
    };
    let verdict = ClaimVerdict::Refused(ErrorKind::ClaimUnavailable);
    assert_eq!(answer, Some(PageAction::Answer { ticket: 7, verdict }));
    assert_eq!(now, deadline);
    assert!((4..9).contains(&reads), "{reads} reads");
}
