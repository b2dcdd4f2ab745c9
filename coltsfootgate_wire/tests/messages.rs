//! Messages round-trip through their encoding, and invalid input is rejected without a panic.

use std::time::{Duration, Instant};

use coltsfootgate_core::endpoint_limit::{LimitNotice, LimitStatement};
use coltsfootgate_core::freshness::SettingsStatement;
use coltsfootgate_core::head::TreeHead;
use coltsfootgate_core::ids::RequestTier;
use coltsfootgate_core::membership::{PeerHeartbeat, PeerProfile, PeerRumor, PeerState};
use coltsfootgate_core::owner::{
    EngineReservation, GrantAnswer, GrantRequest, HeldGrant, OwnerPressure, ReleaseReport,
    ReleaseResult, WaitingCounts,
};
use coltsfootgate_core::prompt::{PromptLoad, PromptPart};
use coltsfootgate_core::quarantine::{
    BlockEntry, BlockState, CauseKey, CrashCause, CrashReport, LostRequest, QuarantineNotice,
};
use coltsfootgate_core::reason::ErrorKind;
use coltsfootgate_core::roster::{ReplicaAnnouncement, ReplicaSnapshot};
use coltsfootgate_core::stream::{StreamKey, StreamOrigin};
use coltsfootgate_wire::{
    MESSAGE_BYTES_MAX, PeerReply, PeerRequest, PoolPressure, WireError, decode_reply,
    decode_request, encode_reply, encode_request,
};
use proptest::prelude::*;
use rstest::rstest;
use uuid::Uuid;

const DIGEST: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

fn rumor(state: PeerState) -> PeerRumor {
    let profile = PeerProfile {
        processor_milli: 250,
        id: "127.0.0.1:9100".into(),
        incarnation: 7,
        zone: "cluj-a".into(),
        region: "center".into(),
    };
    PeerRumor { profile, state, refutation: 3 }
}

fn heartbeat() -> PeerHeartbeat {
    let rumors = vec![rumor(PeerState::Suspect), rumor(PeerState::Leaving)];
    let settings = SettingsStatement { version: 9, age: Some(Duration::from_millis(1_200)) };
    PeerHeartbeat { sender: rumor(PeerState::Alive), settings, rumors }
}

fn pressure() -> OwnerPressure {
    let mut waiting = WaitingCounts::default();
    waiting.add((RequestTier::HIGHEST, RequestTier::LOWEST), 3);
    waiting.add((RequestTier::LOWEST, RequestTier::HIGHEST), u32::MAX);
    OwnerPressure {
        free_slots: 1,
        slots: 8,
        waiting,
        grant_interval: Duration::from_millis(40),
        token_time: Some(Duration::from_micros(2500)),
    }
}

fn pressures() -> Vec<PoolPressure> {
    vec![PoolPressure { pool: "pools.a".into(), pressure: pressure() }]
}

fn cause_key() -> CauseKey {
    CauseKey { pool: "pools.a".into(), cause: CrashCause::Part(0x5c1e_07a2) }
}

fn stream_key() -> StreamKey {
    StreamKey { customer: "customers.a".into(), stream: "58b64026ed30a48c".into() }
}

fn stream_origin() -> StreamOrigin {
    StreamOrigin { pool: "pools.a".into(), version: Some("v1.1".into()) }
}

fn grant_request(now: Instant) -> GrantRequest {
    GrantRequest {
        request: Uuid::from_u128(5),
        requester: "127.0.0.1:9101".into(),
        grant: 11,
        class: "classes.a".into(),
        tier: RequestTier::HIGHEST,
        stated_tier: RequestTier::LOWEST,
        customer: "customers.a".into(),
        weight: 2.0,
        floor: 0.1,
        queue_requests: 10,
        queue_tokens: 1000,
        tokens: 128,
        prompt: PromptLoad {
            parts: vec![PromptPart { id: 0x5c1e_07a2, tokens: 800 }],
            tokens: 1_460,
            answer_tokens: 80,
            first_token_target: Duration::from_millis(300),
            between_tokens_target: Duration::from_millis(250),
        },
        zone: "zone-a".into(),
        arrived: now - Duration::from_millis(40),
        deadline: now + Duration::from_secs(3),
        prefix: Some(4),
        version: Some("v1.1".into()),
        excluded: vec!["pools.a.one".into()],
        wait: true,
    }
}

fn release() -> ReleaseReport {
    ReleaseReport {
        requester: "127.0.0.1:9101".into(),
        grant: 11,
        endpoint: "pools.a.one".into(),
        tokens: 40,
        first_token: Some(Duration::from_millis(12)),
        between_tokens: None,
        result: ReleaseResult::Silent,
    }
}

fn request(name: &str, now: Instant) -> PeerRequest {
    let (pool, requester) = ("pools.a".into(), "127.0.0.1:9101".into());
    match name {
        "heartbeat" => PeerRequest::Heartbeat { heartbeat: heartbeat(), pressures: pressures() },
        "ask about" => PeerRequest::AskAbout(requester),
        "ask" => PeerRequest::RequestGrant { pool, request: grant_request(now) },
        "release" => PeerRequest::Release(vec![(pool, release())]),
        "first-token" => PeerRequest::FirstToken { pool, requester, grant: 4 },
        "cancel" => PeerRequest::Cancel { pool, requester, grant: 4 },
        "announce" => {
            let (endpoint, class) = ("pools.a.one".into(), "classes.a".into());
            let tier = RequestTier::LOWEST;
            let between_tokens = Duration::from_millis(250);
            let reservation = EngineReservation { kv_cache_tokens: 12_000, between_tokens };
            let held = vec![HeldGrant {
                grant: 1,
                endpoint,
                class,
                rank: (tier, RequestTier::LOWEST),
                reservation,
            }];
            PeerRequest::Announce { pool, requester, held }
        }
        "check-grants" => PeerRequest::CheckGrants(vec![1, u64::MAX]),
        "state-limit" => {
            let statement = LimitStatement {
                endpoint: "pools.a.one".into(),
                notice: LimitNotice::Limited(2.2),
                sent_at: now - Duration::from_millis(900),
                answered_at: now - Duration::from_millis(40),
            };
            PeerRequest::StateLimit { pool, statement }
        }
        "record-stream" => {
            let expires = now + Duration::from_secs(15);
            PeerRequest::RecordStream { key: stream_key(), origin: stream_origin(), expires }
        }
        "find-stream" => PeerRequest::FindStream(stream_key()),
        "report-crash" => PeerRequest::ReportCrash(CrashReport {
            pool,
            endpoint: "i-1@7".into(),
            lost: vec![LostRequest {
                causes: vec![CrashCause::Part(1), CrashCause::Request(u64::MAX)],
                sent_at: now - Duration::from_millis(7),
            }],
            crashed_at: None,
        }),
        "report-crash-again" => {
            let PeerRequest::ReportCrash(report) = request("report-crash", now) else {
                unreachable!("a crash is reported")
            };
            let crashed_at = Some(now - Duration::from_secs(4));
            PeerRequest::ReportCrash(CrashReport { crashed_at, ..report })
        }
        "report-served" => {
            PeerRequest::ReportServed(vec![(cause_key(), now - Duration::from_secs(3))])
        }
        "share-quarantine" => {
            let entry = BlockEntry {
                revision: 4,
                state: BlockState::Blocked,
                crashes: 3,
                trials: 2,
                since: now - Duration::from_secs(70),
            };
            let entries = vec![(cause_key(), entry)];
            PeerRequest::ShareQuarantine(QuarantineNotice { entries, watched: vec![cause_key()] })
        }
        "compare-quarantine" => PeerRequest::CompareQuarantine(u64::MAX),
        "report-leaving" => PeerRequest::ReportLeaving("i-1@7".into()),
        "check-endpoint" => PeerRequest::CheckEndpoint("i-1@7".into()),
        "take-trial" => PeerRequest::TakeTrial(cause_key()),
        "head" => PeerRequest::FetchHead,
        "replicas" => PeerRequest::FetchReplicas,
        _ => PeerRequest::FetchObject(DIGEST.into()),
    }
}

#[rstest]
fn requests_round_trip(
    #[values(
        "heartbeat",
        "ask about",
        "ask",
        "first-token",
        "release",
        "cancel",
        "announce",
        "check-grants",
        "state-limit",
        "record-stream",
        "find-stream",
        "report-crash",
        "report-crash-again",
        "report-served",
        "share-quarantine",
        "compare-quarantine",
        "report-leaving",
        "take-trial",
        "head",
        "object",
        "replicas"
    )]
    name: &str,
) {
    let now = Instant::now();
    let bytes = encode_request(request(name, now), now).unwrap();
    assert_eq!(decode_request(&bytes, now).unwrap(), request(name, now));
}

#[rstest]
#[case::heartbeat(PeerReply::Heartbeat { heartbeat: heartbeat(), pressures: pressures() })]
#[case::heard(PeerReply::Heard(true))]
#[case::granted(PeerReply::Grant(GrantAnswer::Granted {
    endpoint: "pools.a.one".into(),
    by_floor: true,
    is_paced: true,
    pressure: pressure(),
}))]
#[case::busy(PeerReply::Grant(GrantAnswer::Busy(pressure())))]
#[case::refused(PeerReply::Grant(GrantAnswer::Refused {
    kind: ErrorKind::QueueFull,
    pressure: pressure(),
}))]
#[case::stream(PeerReply::Stream(Some(stream_origin())))]
#[case::unknown_stream(PeerReply::Stream(None))]
#[case::held_grants(PeerReply::HeldGrants(vec![4]))]
#[case::no_held_grants(PeerReply::HeldGrants(Vec::new()))]
#[case::accepted(PeerReply::Accepted)]
#[case::trial(PeerReply::Trial(true))]
#[case::reachable(PeerReply::Reachable(Some(true)))]
#[case::no_head(PeerReply::Head(None))]
#[case::head(PeerReply::Head(Some(TreeHead { version: 3, root: DIGEST.into(), nonce: "n".into() })))]
#[case::object(PeerReply::Object(Some(vec![7; 1 << 20])))]
#[case::replicas(PeerReply::Replicas(ReplicaSnapshot {
    announcements: vec![ReplicaAnnouncement {
        replica: "i-1".into(),
        born: 1_770_588_738_134,
        sequence: 4,
        pool: "pools.a".into(),
        address: "10.0.0.1:8080".into(),
        version: Some("v1.1".into()),
        zone: "zone-a".into(),
        slots: 64,
        is_leaving: false,
        is_spot: false,
    }],
    left: vec!["i-2@0".into()],
    origins: vec![StreamOrigin { pool: "pools.a".into(), version: Some("v1.1".into()) }],
}))]
fn replies_round_trip(#[case] reply: PeerReply) {
    let bytes = encode_reply(reply.clone()).unwrap();
    assert_eq!(decode_reply(&bytes).unwrap(), reply);
}

#[rstest]
#[case::instance(PeerRequest::AskAbout("not an address".into()), "instance")]
#[case::digest(PeerRequest::FetchObject("../../head".into()), "digest")]
#[case::long_pool(
    PeerRequest::Cancel {
        pool: "p".repeat(1000).into(),
        requester: "127.0.0.1:1".into(),
        grant: 1,
    },
    "pool"
)]
fn an_invalid_value_is_rejected(#[case] request: PeerRequest, #[case] field: &'static str) {
    let now = Instant::now();
    let bytes = encode_request(request, now).unwrap();
    assert_eq!(decode_request(&bytes, now), Err(WireError::WrongValue(field)));
}

#[rstest]
#[case::not_a_number(f64::NAN)]
#[case::infinite(f64::INFINITY)]
#[case::negative(-1.0)]
fn an_invalid_weight_is_rejected(#[case] weight: f64) {
    let now = Instant::now();
    let request = GrantRequest { weight, ..grant_request(now) };
    let request = PeerRequest::RequestGrant { pool: "pools.a".into(), request };
    let bytes = encode_request(request, now).unwrap();
    assert_eq!(decode_request(&bytes, now), Err(WireError::WrongValue("weight")));
}

#[test]
fn an_oversized_message_is_neither_encoded_nor_decoded() {
    let oversized = PeerReply::Object(Some(vec![0; MESSAGE_BYTES_MAX + 1]));
    assert!(encode_reply(oversized).is_err());
    let bytes = vec![0; MESSAGE_BYTES_MAX + 1];
    assert_eq!(decode_reply(&bytes), Err(WireError::TooLarge(bytes.len())));
    assert!(matches!(decode_request(&bytes, Instant::now()), Err(WireError::TooLarge(_))));
}

#[test]
fn trailing_bytes_are_rejected() {
    let mut bytes = encode_reply(PeerReply::Accepted).unwrap();
    bytes.push(0);
    assert!(matches!(decode_reply(&bytes), Err(WireError::Malformed(_))));
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = decode_request(&bytes, Instant::now());
        let _ = decode_reply(&bytes);
    }

    #[test]
    fn corrupted_messages_do_not_panic(
        name in prop::sample::select(vec!["heartbeat", "ask", "release", "announce", "object"]),
        changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..8),
        cut in any::<prop::sample::Index>(),
    ) {
        let now = Instant::now();
        let mut bytes = encode_request(request(name, now), now).unwrap();
        for (index, value) in changes {
            let index = index.index(bytes.len());
            bytes[index] = value;
        }
        let _ = decode_request(&bytes, now);
        bytes.truncate(cut.index(bytes.len()));
        let _ = decode_request(&bytes, now);
    }
}
