//! Property tests of a pool owner: invariants that hold after each event of a random sequence.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coltsfootgate_core::owner::{
    EngineReservation, HeldGrant, OwnerAction, OwnerEvent, ReleaseResult,
};
use coltsfootgate_core::prelude::*;
use proptest::prelude::*;
use support::{OwnerDriver, endpoint, grant_request};

const ENDPOINTS: u32 = 3;
const SLOTS: u32 = 2;
const REQUESTERS: u64 = 3;

/// A random step of a test. An index selects one of the existing grants or requests, modulo their
/// number; other numbers identify an instance or an endpoint, or count endpoints or milliseconds.
#[derive(Clone, Debug)]
enum OwnerStep {
    Request { tier: u8, requester: u64, customer: u64, tokens: u32, wait: bool, timeout_ms: u64 },
    RepeatRequest(usize),
    Release(usize, ReleaseResult, u64),
    CancelWaiting(usize),
    RequesterLost(u64),
    Announce(u64),
    SetEndpoints(u32),
    Drain(u32),
    ProbeResult(u32, bool),
    Advance(u64),
}

fn release_result() -> impl Strategy<Value = ReleaseResult> {
    prop_oneof![
        8 => Just(ReleaseResult::Completed),
        1 => Just(ReleaseResult::Cancelled),
        1 => Just(ReleaseResult::NotSent),
        1 => Just(ReleaseResult::ConnectFailed),
        1 => Just(ReleaseResult::Failed),
    ]
}

prop_compose! {
    fn request_step()(
        tier in 1u8..=7,
        requester in 0..REQUESTERS,
        customer in 0u64..4,
        tokens in 1u32..400,
        wait in prop::bool::weighted(0.8),
        timeout_ms in 50u64..5_000,
    ) -> OwnerStep {
        OwnerStep::Request { tier, requester, customer, tokens, wait, timeout_ms }
    }
}

fn owner_step() -> impl Strategy<Value = OwnerStep> {
    prop_oneof![
        12 => request_step(),
        1 => any::<usize>().prop_map(OwnerStep::RepeatRequest),
        10 => (any::<usize>(), release_result(), 1u64..100)
            .prop_map(|(index, result, millis)| OwnerStep::Release(index, result, millis)),
        1 => any::<usize>().prop_map(OwnerStep::CancelWaiting),
        1 => (0..REQUESTERS).prop_map(OwnerStep::RequesterLost),
        1 => (0..REQUESTERS).prop_map(OwnerStep::Announce),
        1 => (1..=ENDPOINTS).prop_map(OwnerStep::SetEndpoints),
        1 => (0..ENDPOINTS).prop_map(OwnerStep::Drain),
        2 => (0..ENDPOINTS, any::<bool>())
            .prop_map(|(number, alive)| OwnerStep::ProbeResult(number, alive)),
        3 => (0u64..600).prop_map(OwnerStep::Advance),
    ]
}

fn requester(number: u64) -> InstanceId {
    format!("127.0.0.1:900{number}").into()
}

/// An owner and a reference model of its waiting requests and ended grants.
struct OwnerModel {
    driver: OwnerDriver,
    waiting: BTreeMap<(InstanceId, GrantId), u8>,
    ended: BTreeSet<(InstanceId, GrantId)>,
    next_grant: GrantId,
}

impl OwnerModel {
    fn new() -> Self {
        Self {
            driver: OwnerDriver::new(ENDPOINTS, SLOTS),
            waiting: BTreeMap::new(),
            ended: BTreeSet::new(),
            next_grant: 1,
        }
    }

    fn apply(&mut self, step: &OwnerStep) -> Result<(), TestCaseError> {
        let actions = match step {
            OwnerStep::Request { .. } => return self.request(step),
            OwnerStep::RepeatRequest(index) => self.repeat_request(*index),
            OwnerStep::Release(index, result, millis) => {
                let Some(index) = index.checked_rem(self.driver.held().len()) else {
                    return Ok(());
                };
                let (requester, grant, _) = self.driver.held()[index].clone();
                self.ended.insert((requester, grant));
                self.driver.release(index, *result, Duration::from_millis(*millis))
            }
            OwnerStep::CancelWaiting(index) => {
                let Some(index) = index.checked_rem(self.waiting.len()) else { return Ok(()) };
                let (requester, grant) = self.waiting.keys().nth(index).cloned().expect("in range");
                self.waiting.remove(&(requester.clone(), grant));
                self.driver.handle(OwnerEvent::Cancel { requester, grant })
            }
            OwnerStep::RequesterLost(number) => {
                let lost = requester(*number);
                self.waiting.retain(|(requester, _), _| *requester != lost);
                self.driver.forget_held(&lost);
                self.driver.handle(OwnerEvent::RequesterLost { requester: lost })
            }
            OwnerStep::Announce(number) => self.announce(requester(*number)),
            OwnerStep::SetEndpoints(count) => {
                let owned = (0..*count).map(|number| endpoint(number, SLOTS)).collect();
                self.driver.handle(OwnerEvent::Endpoints(owned))
            }
            OwnerStep::Drain(number) => {
                let endpoint = endpoint(*number, SLOTS).id;
                self.driver.handle(OwnerEvent::EndpointDraining { endpoint })
            }
            OwnerStep::ProbeResult(number, alive) => {
                let endpoint = endpoint(*number, SLOTS).id;
                self.driver.handle(OwnerEvent::ProbeResult { endpoint, alive: *alive })
            }
            OwnerStep::Advance(millis) => self.driver.advance(Duration::from_millis(*millis)),
        };
        self.check_actions(&actions, None)
    }

    fn request(&mut self, step: &OwnerStep) -> Result<(), TestCaseError> {
        let OwnerStep::Request { tier, requester: number, customer, tokens, wait, timeout_ms } =
            step
        else {
            return Ok(());
        };
        let mut request = grant_request(self.next_grant, *tier);
        self.next_grant += 1;
        request.requester = requester(*number);
        request.customer = format!("customers.c{customer}").into();
        request.tokens = *tokens;
        request.wait = *wait;
        request.queue_requests = 3;
        request.queue_tokens = 600;
        request.deadline = self.driver.now() + Duration::from_millis(*timeout_ms);
        self.waiting.insert((request.requester.clone(), request.grant), *tier);
        let key = (request.requester.clone(), request.grant);
        let actions = self.driver.request(request);
        self.check_actions(&actions, Some((key, *tier)))
    }

    fn repeat_request(&mut self, index: usize) -> Vec<OwnerAction> {
        let Some(index) = index.checked_rem(self.driver.held().len()) else { return Vec::new() };
        let (requester, grant, endpoint) = self.driver.held()[index].clone();
        let actions = self.driver.repeat_request(&requester, grant);
        let is_same = actions.iter().any(|action| {
            matches!(action, OwnerAction::Grant { grant: again, endpoint: same, .. }
                if *again == grant && *same == endpoint)
        });
        assert!(is_same, "a repeated request got a different grant");
        Vec::new()
    }

    fn announce(&mut self, requester: InstanceId) -> Vec<OwnerAction> {
        let held = self.driver.held().iter().filter(|(holder, _, _)| *holder == requester);
        let held = held
            .map(|(_, grant, endpoint)| HeldGrant {
                reservation: EngineReservation::default(),
                grant: *grant,
                endpoint: endpoint.clone(),
                class: "classes.any".into(),
                rank: (RequestTier::LOWEST, RequestTier::LOWEST),
            })
            .collect();
        self.driver.handle(OwnerEvent::Announce { requester, held })
    }

    /// Checks the actions in order, each against the requests that wait at that point.
    fn check_actions(
        &mut self,
        actions: &[OwnerAction],
        arriving: Option<((InstanceId, GrantId), u8)>,
    ) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                OwnerAction::Grant { requester, grant, by_floor, .. } => {
                    let key = (requester.clone(), *grant);
                    prop_assert!(!self.ended.contains(&key), "an ended grant was granted again");
                    let tier = self.waiting.remove(&key);
                    prop_assert!(tier.is_some(), "a grant without a waiting request");
                    let is_higher_waiting = self.waiting.values().any(|other| Some(*other) < tier);
                    // The arriving request is not queued yet while earlier ones are granted.
                    let is_higher_arriving = arriving
                        .as_ref()
                        .is_some_and(|(other, above)| *other != key && Some(*above) < tier);
                    prop_assert!(
                        *by_floor || !is_higher_waiting || is_higher_arriving,
                        "a lower tier was granted before a waiting higher one"
                    );
                }
                OwnerAction::Refuse { requester, grant, kind, .. } => {
                    let tier = self.waiting.remove(&(requester.clone(), *grant));
                    prop_assert!(tier.is_some(), "a refusal without a waiting request");
                    self.check_refusal(*kind, tier, arriving.as_ref().map(|(_, tier)| *tier))?;
                }
                OwnerAction::Busy { requester, grant, pressure } => {
                    prop_assert_eq!(pressure.free_slots, 0);
                    self.waiting.remove(&(requester.clone(), *grant));
                }
                OwnerAction::Probe { .. }
                | OwnerAction::StateChanged { .. }
                | OwnerAction::LimitChanged { .. }
                | OwnerAction::AskHolders { .. }
                | OwnerAction::TakenOver { .. } => {}
            }
        }
        self.check_state()
    }

    fn check_refusal(
        &self,
        kind: ErrorKind,
        tier: Option<u8>,
        arriving: Option<u8>,
    ) -> Result<(), TestCaseError> {
        let lowest = self.waiting.values().max().copied();
        match kind {
            ErrorKind::Displaced => {
                prop_assert!(tier > arriving, "displaced by a lower or equal tier");
                prop_assert!(lowest <= tier, "a lower tier than the victim's waits");
            }
            ErrorKind::QueueFull => {
                prop_assert!(lowest <= tier, "refused while a lower tier waits");
            }
            _ => {}
        }
        Ok(())
    }

    fn check_state(&self) -> Result<(), TestCaseError> {
        let snapshot = self.driver.snapshot();
        let in_flight: u32 = snapshot.endpoints.iter().map(|endpoint| endpoint.in_flight).sum();
        prop_assert_eq!(in_flight as usize, snapshot.grants, "ledger and endpoints differ");
        prop_assert_eq!(snapshot.grants, self.driver.held().len(), "a grant is lost or duplicated");
        let waiting: u32 = snapshot.pressure.waiting.by_tier().iter().sum();
        prop_assert_eq!(
            waiting as usize,
            self.waiting.len(),
            "a waiting request is lost or duplicated"
        );
        prop_assert!(
            waiting == 0 || snapshot.pressure.free_slots == 0,
            "a request waits while a slot is free"
        );
        for endpoint in &snapshot.endpoints {
            prop_assert!(endpoint.in_flight <= SLOTS * 2, "more grants than the maximum slots");
        }
        Ok(())
    }
}

proptest! {
    #[test]
    fn grants_and_tiers_are_consistent(steps in prop::collection::vec(owner_step(), 1..250)) {
        let mut model = OwnerModel::new();
        for step in &steps {
            model.apply(step)?;
        }
    }

    #[test]
    fn same_events_give_same_actions(steps in prop::collection::vec(owner_step(), 1..120)) {
        let run = || {
            let mut model = OwnerModel::new();
            for step in &steps {
                model.apply(step).expect("checked by the other property");
            }
            model.driver.actions().to_vec()
        };
        prop_assert_eq!(run(), run());
    }

    /// While the lowest tier waits, it receives one of every `1 / floor` grants.
    #[test]
    fn lowest_tier_receives_its_floor(
        floor_percent in 2u32..40,
        tiers in prop::collection::vec(1u8..7, 200),
    ) {
        let mut driver = OwnerDriver::new(1, 1);
        driver.request(grant_request(0, 1));
        for grant in 1..=200 {
            let mut request = grant_request(grant, 7);
            request.floor = f64::from(floor_percent) / 100.0;
            request.queue_requests = 1000;
            driver.request(request);
        }
        for (number, tier) in tiers.iter().enumerate() {
            driver.request(grant_request(1000 + number as u64, *tier));
            driver.release_oldest(ReleaseResult::Completed);
        }
        let granted = driver.granted_tiers();
        let lowest = granted.iter().filter(|tier| **tier == 7).count() as u32;
        prop_assert!(lowest + 1 >= 200 * floor_percent / 100);
        prop_assert!(lowest <= 200 * floor_percent / 100 + 1);
    }

    /// A floor is a share of tokens, so long answers do not increase the share of the lowest tier.
    #[test]
    fn floor_counts_tokens(floor_percent in 2u32..20, length in 1u32..40) {
        let mut driver = OwnerDriver::new(1, 1);
        driver.request(grant_request(0, 1));
        // Both tiers have more requests than are granted, so that both always have waiting ones.
        for grant in 1..900 {
            let is_lowest = grant % 3 == 0;
            let mut request = grant_request(grant, if is_lowest { 7 } else { 1 });
            request.floor = if is_lowest { f64::from(floor_percent) / 100.0 } else { 0.0 };
            request.queue_requests = 1000;
            driver.request(request);
        }
        let mut tokens = [0, 0];
        for _ in 0..450 {
            let is_lowest = driver.held_tier(0) == 7;
            let answer = if is_lowest { 10 * length } else { 10 };
            tokens[usize::from(is_lowest)] += answer;
            driver.release_with_tokens(0, answer);
        }
        let share = f64::from(tokens[1]) / f64::from(tokens[0] + tokens[1]);
        let floor = f64::from(floor_percent) / 100.0;
        let longest = f64::from(length) * 10.0 / f64::from(tokens[0] + tokens[1]);
        prop_assert!((share - floor).abs() <= 3.0 * longest + 0.02, "{} of {}", share, floor);
    }

    /// Customers that always have waiting requests receive tokens in proportion to their weights.
    #[test]
    fn customers_receive_tokens_by_weight(heavy in 2u32..6, tokens in 1u32..200) {
        let mut driver = OwnerDriver::new(1, 1);
        driver.request(grant_request(0, 1));
        for grant in 1..=400 {
            let mut request = grant_request(grant, 3);
            let is_heavy = grant % 2 == 0;
            request.customer = if is_heavy { "customers.heavy" } else { "customers.light" }.into();
            request.weight = if is_heavy { f64::from(heavy) } else { 1.0 };
            request.tokens = tokens;
            request.queue_requests = 1000;
            driver.request(request);
        }
        for _ in 0..100 {
            driver.release_oldest(ReleaseResult::Completed);
        }
        let granted = driver.granted_ids();
        let count = granted.iter().filter(|grant| **grant > 0 && **grant % 2 == 0).count() as f64;
        let expected = 100.0 * f64::from(heavy) / f64::from(heavy + 1);
        prop_assert!((count - expected).abs() <= 2.0, "{} granted, {} expected", count, expected);
    }
}
