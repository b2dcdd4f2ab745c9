//! Random events for one owner, with what must hold after each of them.

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

/// Something that happens to the owner; numbers pick among what exists.
#[derive(Clone, Debug)]
enum TrialStep {
    Ask { tier: u8, requester: u64, customer: u64, tokens: u32, wait: bool, patience: u64 },
    AskAgain(usize),
    Release(usize, ReleaseResult, u64),
    CancelWaiting(usize),
    RequesterLost(u64),
    Announce(u64),
    Own(u32),
    Leaving(u32),
    Probed(u32, bool),
    Wait(u64),
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
    fn ask_step()(
        tier in 1u8..=7,
        requester in 0..REQUESTERS,
        customer in 0u64..4,
        tokens in 1u32..400,
        wait in prop::bool::weighted(0.8),
        patience in 50u64..5_000,
    ) -> TrialStep {
        TrialStep::Ask { tier, requester, customer, tokens, wait, patience }
    }
}

fn trial_step() -> impl Strategy<Value = TrialStep> {
    prop_oneof![
        12 => ask_step(),
        1 => any::<usize>().prop_map(TrialStep::AskAgain),
        10 => (any::<usize>(), release_result(), 1u64..100)
            .prop_map(|(index, result, millis)| TrialStep::Release(index, result, millis)),
        1 => any::<usize>().prop_map(TrialStep::CancelWaiting),
        1 => (0..REQUESTERS).prop_map(TrialStep::RequesterLost),
        1 => (0..REQUESTERS).prop_map(TrialStep::Announce),
        1 => (1..=ENDPOINTS).prop_map(TrialStep::Own),
        1 => (0..ENDPOINTS).prop_map(TrialStep::Leaving),
        2 => (0..ENDPOINTS, any::<bool>())
            .prop_map(|(number, alive)| TrialStep::Probed(number, alive)),
        3 => (0u64..600).prop_map(TrialStep::Wait),
    ]
}

fn requester(number: u64) -> InstanceId {
    format!("127.0.0.1:900{number}").into()
}

/// The driver, with a plain model of what waits and what is in flight.
struct OwnerTrial {
    driver: OwnerDriver,
    waiting: BTreeMap<(InstanceId, GrantId), u8>,
    ended: BTreeSet<(InstanceId, GrantId)>,
    next_grant: GrantId,
}

impl OwnerTrial {
    fn new() -> Self {
        Self {
            driver: OwnerDriver::new(ENDPOINTS, SLOTS),
            waiting: BTreeMap::new(),
            ended: BTreeSet::new(),
            next_grant: 1,
        }
    }

    fn step(&mut self, step: &TrialStep) -> Result<(), TestCaseError> {
        let actions = match step {
            TrialStep::Ask { .. } => return self.ask(step),
            TrialStep::AskAgain(index) => self.ask_again(*index),
            TrialStep::Release(index, result, millis) => {
                let Some(index) = index.checked_rem(self.driver.held().len()) else {
                    return Ok(());
                };
                let (requester, grant, _) = self.driver.held()[index].clone();
                self.ended.insert((requester, grant));
                self.driver.release(index, *result, Duration::from_millis(*millis))
            }
            TrialStep::CancelWaiting(index) => {
                let Some(index) = index.checked_rem(self.waiting.len()) else { return Ok(()) };
                let (requester, grant) = self.waiting.keys().nth(index).cloned().expect("in range");
                self.waiting.remove(&(requester.clone(), grant));
                self.driver.event(OwnerEvent::Cancel { requester, grant })
            }
            TrialStep::RequesterLost(number) => {
                let lost = requester(*number);
                self.waiting.retain(|(requester, _), _| *requester != lost);
                self.driver.forget_held(&lost);
                self.driver.event(OwnerEvent::RequesterLost { requester: lost })
            }
            TrialStep::Announce(number) => self.announce(requester(*number)),
            TrialStep::Own(count) => {
                let owned = (0..*count).map(|number| endpoint(number, SLOTS)).collect();
                self.driver.event(OwnerEvent::Endpoints(owned))
            }
            TrialStep::Leaving(number) => {
                let endpoint = endpoint(*number, SLOTS).id;
                self.driver.event(OwnerEvent::EndpointDraining { endpoint })
            }
            TrialStep::Probed(number, alive) => {
                let endpoint = endpoint(*number, SLOTS).id;
                self.driver.event(OwnerEvent::ProbeResult { endpoint, alive: *alive })
            }
            TrialStep::Wait(millis) => self.driver.advance(Duration::from_millis(*millis)),
        };
        self.follow(&actions, None)
    }

    fn ask(&mut self, step: &TrialStep) -> Result<(), TestCaseError> {
        let TrialStep::Ask { tier, requester: number, customer, tokens, wait, patience } = step
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
        request.deadline = self.driver.now() + Duration::from_millis(*patience);
        self.waiting.insert((request.requester.clone(), request.grant), *tier);
        let key = (request.requester.clone(), request.grant);
        let actions = self.driver.ask(request);
        self.follow(&actions, Some((key, *tier)))
    }

    fn ask_again(&mut self, index: usize) -> Vec<OwnerAction> {
        let Some(index) = index.checked_rem(self.driver.held().len()) else { return Vec::new() };
        let (requester, grant, endpoint) = self.driver.held()[index].clone();
        let actions = self.driver.repeat_ask(&requester, grant);
        let is_same = actions.iter().any(|action| {
            matches!(action, OwnerAction::Grant { grant: again, endpoint: same, .. }
                if *again == grant && *same == endpoint)
        });
        assert!(is_same, "a repeated ask got another answer");
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
                tier: RequestTier::LOWEST,
            })
            .collect();
        self.driver.event(OwnerEvent::Announce { requester, held })
    }

    /// Goes through the actions in order and checks each against what waits at that point.
    fn follow(
        &mut self,
        actions: &[OwnerAction],
        arriving: Option<((InstanceId, GrantId), u8)>,
    ) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                OwnerAction::Grant { requester, grant, by_floor, .. } => {
                    let key = (requester.clone(), *grant);
                    prop_assert!(!self.ended.contains(&key), "an ended grant was given again");
                    let tier = self.waiting.remove(&key);
                    prop_assert!(tier.is_some(), "a grant that nobody waits for");
                    let is_passed = self.waiting.values().any(|other| Some(*other) < tier);
                    // The arriving request has no place yet while earlier ones are granted.
                    let is_arriving_above = arriving
                        .as_ref()
                        .is_some_and(|(other, above)| *other != key && Some(*above) < tier);
                    prop_assert!(*by_floor || !is_passed || is_arriving_above, "tier order");
                }
                OwnerAction::Refuse { requester, grant, kind, .. } => {
                    let tier = self.waiting.remove(&(requester.clone(), *grant));
                    prop_assert!(tier.is_some(), "a refusal that nobody waits for");
                    self.check_refusal(*kind, tier, arriving.as_ref().map(|(_, tier)| *tier))?;
                }
                OwnerAction::Busy { requester, grant, pressure } => {
                    prop_assert_eq!(pressure.free_slots, 0);
                    self.waiting.remove(&(requester.clone(), *grant));
                }
                OwnerAction::Probe { .. } | OwnerAction::StateChanged { .. } => {}
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
        prop_assert_eq!(snapshot.grants, self.driver.held().len(), "a grant is lost or doubled");
        let waiting: u32 = snapshot.pressure.waiting_by_tier.iter().sum();
        prop_assert_eq!(waiting as usize, self.waiting.len(), "an ask is lost or doubled");
        prop_assert!(waiting == 0 || snapshot.pressure.free_slots == 0, "a free slot idles");
        for endpoint in &snapshot.endpoints {
            prop_assert!(endpoint.in_flight <= SLOTS * 2, "more grants than slots at most");
        }
        Ok(())
    }
}

proptest! {
    #[test]
    fn grants_and_tiers_hold(steps in prop::collection::vec(trial_step(), 1..250)) {
        let mut trial = OwnerTrial::new();
        for step in &steps {
            trial.step(step)?;
        }
    }

    #[test]
    fn same_events_give_same_actions(steps in prop::collection::vec(trial_step(), 1..120)) {
        let run = || {
            let mut trial = OwnerTrial::new();
            for step in &steps {
                trial.step(step).expect("checked by the other property");
            }
            trial.driver.actions().to_vec()
        };
        prop_assert_eq!(run(), run());
    }

    /// While the lowest tier waits, at most one grant in `1 / floor` passes it by.
    #[test]
    fn lowest_tier_advances_at_its_floor(
        floor_percent in 2u32..40,
        tiers in prop::collection::vec(1u8..7, 200),
    ) {
        let mut driver = OwnerDriver::new(1, 1);
        driver.ask(grant_request(0, 1));
        for grant in 1..=200 {
            let mut request = grant_request(grant, 7);
            request.floor = f64::from(floor_percent) / 100.0;
            request.queue_requests = 1000;
            driver.ask(request);
        }
        for (number, tier) in tiers.iter().enumerate() {
            driver.ask(grant_request(1000 + number as u64, *tier));
            driver.release_oldest(ReleaseResult::Completed);
        }
        let granted = driver.granted_tiers();
        let lowest = granted.iter().filter(|tier| **tier == 7).count() as u32;
        prop_assert!(lowest + 1 >= 200 * floor_percent / 100);
        prop_assert!(lowest <= 200 * floor_percent / 100 + 1);
    }

    /// A floor is a share of tokens, so long answers of the lowest tier do not make it larger.
    #[test]
    fn floor_counts_tokens(floor_percent in 2u32..20, length in 1u32..40) {
        let mut driver = OwnerDriver::new(1, 1);
        driver.ask(grant_request(0, 1));
        // Both tiers have more requests than are granted, so that they wait all the time.
        for grant in 1..900 {
            let is_lowest = grant % 3 == 0;
            let mut request = grant_request(grant, if is_lowest { 7 } else { 1 });
            request.floor = if is_lowest { f64::from(floor_percent) / 100.0 } else { 0.0 };
            request.queue_requests = 1000;
            driver.ask(request);
        }
        let mut tokens = [0, 0];
        for _ in 0..450 {
            let is_lowest = driver.held_tier(0) == 7;
            let answer = if is_lowest { 10 * length } else { 10 };
            tokens[usize::from(is_lowest)] += answer;
            driver.release_tokens(0, answer);
        }
        let share = f64::from(tokens[1]) / f64::from(tokens[0] + tokens[1]);
        let floor = f64::from(floor_percent) / 100.0;
        let longest = f64::from(length) * 10.0 / f64::from(tokens[0] + tokens[1]);
        prop_assert!((share - floor).abs() <= 3.0 * longest + 0.02, "{} of {}", share, floor);
    }

    /// Customers that always wait get tokens in proportion to their weights.
    #[test]
    fn customers_share_by_weight(heavy in 2u32..6, tokens in 1u32..200) {
        let mut driver = OwnerDriver::new(1, 1);
        driver.ask(grant_request(0, 1));
        for grant in 1..=400 {
            let mut request = grant_request(grant, 3);
            let is_heavy = grant % 2 == 0;
            request.customer = if is_heavy { "customers.heavy" } else { "customers.light" }.into();
            request.weight = if is_heavy { f64::from(heavy) } else { 1.0 };
            request.tokens = tokens;
            request.queue_requests = 1000;
            driver.ask(request);
        }
        for _ in 0..100 {
            driver.release_oldest(ReleaseResult::Completed);
        }
        let granted = driver.granted_ids();
        let count = granted.iter().filter(|grant| **grant > 0 && **grant % 2 == 0).count() as f64;
        let due = 100.0 * f64::from(heavy) / f64::from(heavy + 1);
        prop_assert!((count - due).abs() <= 2.0, "{} of {} due", count, due);
    }
}
