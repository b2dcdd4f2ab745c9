//! Routing across the owners of a pool: cases, and tier priority under random requests.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use coltsfootgate_core::owner::{
    OwnerAction, OwnerEvent, OwnerPressure, OwnerSettings, PoolOwner, QueueRank, ReleaseReport,
    ReleaseResult,
};
use coltsfootgate_core::prelude::*;
use coltsfootgate_core::routing::{
    CooperativePolicy, OwnerLocation, RequestRoute, RoutePolicy, RouteReply, RouteRequest,
    RouteStep, SelectedPolicy, fallback_share,
};
use proptest::prelude::*;
use rstest::rstest;
use support::{endpoint, grant_request};

const OWNERS: usize = 3;
const POOL: &str = "pools.model";

fn owner_id(number: usize) -> InstanceId {
    format!("127.0.0.1:910{number}").into()
}

fn locations() -> Vec<OwnerLocation> {
    let location = |number| OwnerLocation {
        processor_milli: 1000,
        owner: owner_id(number),
        zone: format!("zone-{}", ["a", "b", "c"][number]).into(),
    };
    (0..OWNERS).map(location).collect()
}

fn policy() -> CooperativePolicy {
    let mut policy = CooperativePolicy::new("zone-a".into());
    policy.set_pool(&POOL.into(), locations(), vec!["endpoints.e0".into()]);
    policy
}

fn single_owner_policy() -> CooperativePolicy {
    let mut policy = CooperativePolicy::new("zone-a".into());
    let owner = locations().into_iter().take(1).collect();
    policy.set_pool(&POOL.into(), owner, vec!["endpoints.e0".into()]);
    policy
}

fn route(tier: u8, prefix: Option<u64>, now: Instant) -> RequestRoute {
    RequestRoute::new(RouteRequest {
        pool: POOL.into(),
        rank: rank(tier, tier),
        prefix,
        shared_tokens: 0,
        deadline: now + Duration::from_secs(60),
        excluded: Vec::new(),
        random: 7,
    })
}

fn rank(tier: u8, class_tier: u8) -> QueueRank {
    [tier, class_tier].map(|tier| RequestTier::new(tier).expect("tier in range")).into()
}

/// Pressure of an owner with two slots and this many waiting requests of one tier.
fn pressure(free_slots: u32, tier: u8, waiting: u32) -> OwnerPressure {
    let mut pressure = OwnerPressure { free_slots, slots: 2, ..OwnerPressure::default() };
    pressure.waiting.add(rank(tier, tier), waiting);
    pressure.grant_interval = Duration::from_millis(100);
    pressure
}

#[rstest]
#[case::own_zone_if_all_are_free([pressure(2, 1, 0); 3], 0, false)]
#[case::free_slot_in_another_zone(
    [pressure(0, 1, 0), pressure(2, 1, 0), pressure(0, 1, 0)], 1, false)]
#[case::shortest_expected_wait(
    [pressure(0, 1, 5), pressure(0, 1, 5), pressure(0, 7, 50)], 2, true)]
fn first_step_asks_the_best_owner(
    #[case] pressures: [OwnerPressure; 3],
    #[case] best: usize,
    #[case] wait: bool,
) {
    let now = Instant::now();
    let mut policy = policy();
    for (number, pressure) in pressures.into_iter().enumerate() {
        policy.update_pressure(&POOL.into(), &owner_id(number), pressure, Duration::ZERO, now);
    }
    let step = policy.first_step(&mut route(3, None, now), now);
    assert_eq!(step, RouteStep::Ask { owner: owner_id(best), wait });
}

#[rstest]
#[case::lower_tier_waits_elsewhere(3, pressure(0, 7, 1), Some(1))]
#[case::free_slot_elsewhere(3, pressure(1, 1, 0), Some(1))]
#[case::only_higher_tiers_elsewhere(3, pressure(0, 2, 9), None)]
#[case::same_tier_elsewhere(3, pressure(0, 3, 9), None)]
fn refusal_is_final_if_no_owner_may_accept(
    #[case] tier: u8,
    #[case] other_pressure: OwnerPressure,
    #[case] next: Option<usize>,
) {
    let now = Instant::now();
    let mut policy = policy();
    let mut route = route(tier, None, now);
    let full = pressure(0, tier, 9);
    policy.update_pressure(&POOL.into(), &owner_id(1), other_pressure, Duration::ZERO, now);
    policy.update_pressure(&POOL.into(), &owner_id(2), full, Duration::ZERO, now);
    let reply = RouteReply::Refused(ErrorKind::QueueFull, full);
    let step = policy.next_step(&mut route, &owner_id(0), reply, now);
    let expected = match next {
        Some(number) => RouteStep::Ask { owner: owner_id(number), wait: true },
        None => RouteStep::Refuse(ErrorKind::QueueFull),
    };
    assert_eq!(step, expected);
}

/// Pressure of an owner at which requests of one rank wait although slots are free.
fn deferring_pressure(waiting: QueueRank) -> OwnerPressure {
    let mut pressure = pressure(2, 1, 0);
    pressure.waiting.add(waiting, 9);
    pressure
}

/// Most requests have the same customer tier; a request must not be refused while less urgent ones
/// of its tier wait at another owner.
#[rstest]
#[case::lower_class_tier_waits_elsewhere((2, 2), (2, 3), Some(1))]
#[case::higher_class_tier_waits_elsewhere((2, 2), (2, 1), None)]
#[case::same_rank_waits_elsewhere((2, 2), (2, 2), None)]
#[case::lower_tier_waits_elsewhere((2, 3), (3, 1), Some(1))]
fn request_is_not_refused_while_a_lower_class_tier_waits_elsewhere(
    #[case] own: (u8, u8),
    #[case] waiting: (u8, u8),
    #[case] next: Option<usize>,
) {
    let now = Instant::now();
    let (mut policy, mut route) = (policy(), route(own.0, None, now));
    route.request.rank = rank(own.0, own.1);
    let full = |waiting| OwnerPressure { free_slots: 0, ..deferring_pressure(waiting) };
    for (number, waiting) in [(1, rank(waiting.0, waiting.1)), (2, rank(1, 1))] {
        let pressure = full(waiting);
        policy.update_pressure(&POOL.into(), &owner_id(number), pressure, Duration::ZERO, now);
    }
    let reply = RouteReply::Refused(ErrorKind::QueueFull, full(rank(1, 1)));
    let step = policy.next_step(&mut route, &owner_id(0), reply, now);
    let expected = match next {
        Some(number) => RouteStep::Ask { owner: owner_id(number), wait: true },
        None => RouteStep::Refuse(ErrorKind::QueueFull),
    };
    assert_eq!(step, expected);
}

/// Owners defer prompts while slots are free. A waiting request must not ask them again and again
/// for a slot that they give to nobody of its rank; in overload, that takes all of their bandwidth.
#[rstest]
#[case::same_rank_waits_there((2, 2), None)]
#[case::higher_rank_waits_there((2, 1), None)]
#[case::lower_rank_waits_there((2, 3), Some(1))]
fn waiting_request_does_not_ask_owners_that_defer_its_rank(
    #[case] waiting: (u8, u8),
    #[case] next: Option<usize>,
) {
    let now = Instant::now();
    let (mut policy, mut route) = (policy(), route(2, None, now));
    route.request.rank = rank(2, 2);
    route.joined_queues = vec![owner_id(0), owner_id(2)];
    let mut pressure = deferring_pressure(rank(waiting.0, waiting.1));
    // A wait that is too long to join a further queue.
    pressure.grant_interval = Duration::from_secs(1);
    policy.update_pressure(&POOL.into(), &owner_id(1), pressure, Duration::ZERO, now);
    let step = policy.reconsider(&mut route, now);
    let ask = |number| RouteStep::Ask { owner: owner_id(number), wait: false };
    assert_eq!(step, next.map_or(RouteStep::Wait, ask));
}

#[rstest]
#[case::unresponsive(RouteReply::Unresponsive)]
#[case::different_live_instances(RouteReply::Refused(
    ErrorKind::NoEndpoint,
    OwnerPressure::default()
))]
fn unreachable_owners_leave_the_fallback_share(#[case] reply: RouteReply) {
    let now = Instant::now();
    let mut policy = policy();
    let mut route = route(3, None, now);
    let mut step = policy.first_step(&mut route, now);
    let mut asked = Vec::new();
    while let RouteStep::Ask { owner, .. } = step {
        step = policy.next_step(&mut route, &owner, reply.clone(), now);
        asked.push(owner);
    }
    asked.sort();
    assert_eq!(asked, (0..OWNERS).map(owner_id).collect::<Vec<_>>());
    assert_eq!(step, RouteStep::AskFallbackShare);
}

/// Until it is heard again, a silent owner gets no requests, which would wait for it one by one.
#[rstest]
#[case::still_silent(false, RouteStep::AskFallbackShare)]
#[case::heard_again(true, RouteStep::Ask { owner: owner_id(0), wait: false })]
fn a_silent_owner_is_not_asked(#[case] is_heard: bool, #[case] expected: RouteStep) {
    let now = Instant::now();
    let mut policy = single_owner_policy();
    let mut first = route(3, None, now);
    policy.first_step(&mut first, now);
    let step = policy.next_step(&mut first, &owner_id(0), RouteReply::Unresponsive, now);
    assert_eq!(step, RouteStep::AskFallbackShare);
    if is_heard {
        policy.set_silent(&owner_id(0), false);
    }
    let later = now + Duration::from_secs(5);
    assert_eq!(policy.first_step(&mut route(3, None, later), later), expected);
}

#[test]
fn a_request_does_not_wait_long_for_an_owner_that_may_be_silent() {
    let now = Instant::now();
    let mut policy = single_owner_policy();
    let mut route = route(3, None, now);
    policy.first_step(&mut route, now);
    let at = |milliseconds| now + Duration::from_millis(milliseconds);
    assert_eq!(policy.reconsider(&mut route, at(10)), RouteStep::Wait);
    assert_eq!(policy.reconsider(&mut route, at(60)), RouteStep::AskFallbackShare);
    assert_eq!(policy.reconsider(&mut route, at(110)), RouteStep::Wait);
    let step = policy.next_step(&mut route, &owner_id(0), RouteReply::Unresponsive, at(200));
    assert_eq!(step, RouteStep::Wait);
}

#[test]
fn a_waiting_request_uses_the_fallback_share_once_its_owner_is_silent() {
    let now = Instant::now();
    let mut policy = single_owner_policy();
    policy.update_pressure(&POOL.into(), &owner_id(0), pressure(0, 1, 9), Duration::ZERO, now);
    let mut route = route(3, None, now);
    let joined = RouteStep::Ask { owner: owner_id(0), wait: true };
    assert_eq!(policy.first_step(&mut route, now), joined);
    let at = |milliseconds| now + Duration::from_millis(milliseconds);
    assert_eq!(policy.reconsider(&mut route, at(60)), RouteStep::Wait);
    policy.set_silent(&owner_id(0), true);
    assert_eq!(policy.reconsider(&mut route, at(120)), RouteStep::AskFallbackShare);
    assert_eq!(policy.reconsider(&mut route, at(180)), RouteStep::Wait);
}

/// An owner that leaves refuses what waits there before each entry knows its successor.
#[test]
fn a_request_whose_owner_gave_up_its_endpoints_joins_the_queue_of_the_next_one() {
    let now = Instant::now();
    let mut policy = single_owner_policy();
    let mut route = route(3, None, now);
    policy.first_step(&mut route, now);
    let disowned = RouteReply::Refused(ErrorKind::NoEndpoint, OwnerPressure::default());
    let step = policy.next_step(&mut route, &owner_id(0), disowned.clone(), now);
    assert_eq!(step, RouteStep::AskFallbackShare);
    assert!(policy.awaits_owner(&route, now));
    assert_eq!(policy.reconsider(&mut route, now), RouteStep::Wait);
    let next = locations().into_iter().skip(1).take(1).collect();
    policy.set_pool(&POOL.into(), next, vec!["endpoints.e0".into()]);
    let step = policy.reconsider(&mut route, now);
    assert_eq!(step, RouteStep::Ask { owner: owner_id(1), wait: true });
    // Owners that never have the endpoints are not waited for.
    let step = policy.next_step(&mut route, &owner_id(1), disowned, now);
    assert_eq!(step, RouteStep::Wait);
    assert!(!policy.awaits_owner(&route, now + Duration::from_secs(1)));
}

#[test]
fn no_owner_is_awaited_for_a_pool_without_endpoints() {
    let now = Instant::now();
    let mut policy = CooperativePolicy::new("zone-a".into());
    policy.set_pool(&POOL.into(), locations(), Vec::new());
    let mut route = route(3, None, now);
    let disowned = RouteReply::Refused(ErrorKind::NoEndpoint, OwnerPressure::default());
    policy.next_step(&mut route, &owner_id(0), disowned, now);
    assert!(!policy.awaits_owner(&route, now));
}

#[test]
fn waiting_request_joins_a_second_queue_and_asks_an_idle_owner() {
    let now = Instant::now();
    let mut policy = policy();
    for number in 0..OWNERS {
        // The expected wait in the third queue is too long to join it.
        let pressure = pressure(0, 1, [1, 2, 9][number]);
        policy.update_pressure(&POOL.into(), &owner_id(number), pressure, Duration::ZERO, now);
    }
    let mut route = route(3, None, now);
    let step = policy.first_step(&mut route, now);
    assert_eq!(step, RouteStep::Ask { owner: owner_id(0), wait: true });
    let step = policy.reconsider(&mut route, now);
    assert_eq!(step, RouteStep::Ask { owner: owner_id(1), wait: true });
    let later = now + Duration::from_millis(100);
    assert_eq!(policy.reconsider(&mut route, later), RouteStep::Wait);
    let later = later + Duration::from_millis(100);
    policy.update_pressure(&POOL.into(), &owner_id(2), pressure(1, 1, 0), Duration::ZERO, later);
    let step = policy.reconsider(&mut route, later);
    assert_eq!(step, RouteStep::Ask { owner: owner_id(2), wait: false });
    let full = pressure(0, 3, 9);
    for number in [2, 0] {
        let reply = RouteReply::Refused(ErrorKind::QueueFull, full);
        let step = policy.next_step(&mut route, &owner_id(number), reply, later);
        assert_eq!(step, RouteStep::Wait, "the request still waits at owner 1");
    }
    let reply = RouteReply::Refused(ErrorKind::QueueFull, full);
    let step = policy.next_step(&mut route, &owner_id(1), reply, later);
    assert_eq!(step, RouteStep::Refuse(ErrorKind::QueueFull));
}

#[rstest]
#[case::all_short([1, 2, 3], 3)]
#[case::one_long([1, 2, 9], 2)]
#[case::all_long([9, 9, 9], 1)]
fn waiting_request_joins_short_queues(#[case] waiting: [u32; OWNERS], #[case] queues: usize) {
    let now = Instant::now();
    let mut policy = policy();
    for (number, waiting) in waiting.into_iter().enumerate() {
        let pressure = pressure(0, 1, waiting);
        policy.update_pressure(&POOL.into(), &owner_id(number), pressure, Duration::ZERO, now);
    }
    let mut route = route(3, None, now);
    let mut step = policy.first_step(&mut route, now);
    let mut joined = Vec::new();
    for period in 1..10 {
        if let RouteStep::Ask { owner, wait: true } = step {
            assert!(!joined.contains(&owner), "the request already waits at {owner}");
            joined.push(owner);
        }
        step = policy.reconsider(&mut route, now + Duration::from_millis(60 * period));
    }
    assert_eq!(joined.len(), queues);
}

/// The owners that keep a shared part, in order, as one entry finds them when each is busy after the other.
fn owners_of_part(zone: &str, prefix: u64, random: u64) -> Vec<InstanceId> {
    let now = Instant::now();
    let mut policy = CooperativePolicy::new(zone.into());
    policy.set_pool(&POOL.into(), locations(), vec!["endpoints.e0".into()]);
    for number in 0..OWNERS {
        let free = pressure(2, 1, 0);
        policy.update_pressure(&POOL.into(), &owner_id(number), free, Duration::ZERO, now);
    }
    let mut owners = Vec::new();
    for _ in 0..OWNERS {
        let mut route = route(3, Some(prefix), now);
        route.request.shared_tokens = 5_000;
        route.request.random = random;
        let RouteStep::Ask { owner, wait: false } = policy.first_step(&mut route, now) else {
            panic!("no owner was asked for a free slot");
        };
        let busy = pressure(0, 1, 0);
        policy.update_pressure(&POOL.into(), &owner, busy, Duration::ZERO, now);
        owners.push(owner);
    }
    owners
}

/// All entries find the owners of a shared part in the same order, without having used it before.
#[test]
fn the_owners_of_a_shared_part_are_the_same_at_all_entries() {
    for prefix in 0..20 {
        let owners = owners_of_part("zone-a", prefix, 7);
        assert_eq!(owners_of_part("zone-c", prefix, 8), owners);
    }
    let firsts = (0..20).map(|prefix| owners_of_part("zone-a", prefix, 7)[0].clone());
    assert_eq!(firsts.collect::<BTreeSet<_>>().len(), OWNERS);
}

#[rstest]
#[case::round_robin(RoutingStrategy::RoundRobin)]
#[case::least_loaded(RoutingStrategy::LocalLeastLoaded)]
fn baselines_distribute_requests_over_the_endpoints(#[case] strategy: RoutingStrategy) {
    let now = Instant::now();
    let mut policy = SelectedPolicy::new(strategy, "zone-a".into());
    let endpoints = (0..3).map(|number| endpoint(number, 1).id).collect();
    policy.set_pool(&POOL.into(), Vec::new(), endpoints);
    let mut seen: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for _ in 0..4 {
        let mut route = route(3, None, now);
        let RouteStep::Send { endpoint } = policy.first_step(&mut route, now) else {
            panic!("a baseline policy did not choose an endpoint");
        };
        policy.granted(&route, None, &endpoint);
        *seen.entry(endpoint).or_default() += 1;
    }
    let mut counts: Vec<_> = seen.into_values().collect();
    counts.sort_unstable();
    assert_eq!(counts, [1, 1, 2]);
}

proptest! {
    #[test]
    fn fallback_shares_sum_to_the_slots(slots in 1u32..40, live in 1usize..20) {
        let instances: Vec<InstanceId> =
            (0..live).map(|number| format!("127.0.0.1:{}", 9100 + number).into()).collect();
        let endpoints: Vec<_> = (0..5).map(|number| endpoint(number, slots)).collect();
        let total: u32 = instances
            .iter()
            .flat_map(|own| fallback_share(&endpoints, own, &instances))
            .map(|share| share.slots)
            .sum();
        prop_assert_eq!(total, slots * 5);
    }
}

/// Owners with one slot each, and the routing state of all requests of one entry instance.
struct PoolHarness {
    owners: Vec<PoolOwner>,
    policy: CooperativePolicy,
    pending: BTreeMap<GrantId, (RequestRoute, usize)>,
    granted: Vec<(GrantId, usize, EndpointId)>,
    next_grant: GrantId,
    now: Instant,
}

impl PoolHarness {
    fn new() -> Self {
        let now = Instant::now();
        let owner = |number: usize| {
            let settings = OwnerSettings {
                pool: POOL.into(),
                between_tokens: None,
                kv_cache_tokens: None,
                limit_sharers: 1,
            };
            let mut owner = PoolOwner::new(settings);
            owner.handle(OwnerEvent::Endpoints(vec![endpoint(number as u32, 1)]), now);
            owner
        };
        Self {
            owners: (0..OWNERS).map(owner).collect(),
            policy: policy(),
            pending: BTreeMap::new(),
            granted: Vec::new(),
            next_grant: 1,
            now,
        }
    }

    /// Routes a request, and any requests that it displaces, until each is granted, queued or
    /// refused.
    fn request(&mut self, rank: QueueRank) -> Result<(), TestCaseError> {
        self.update_all_pressures();
        let grant = self.next_grant;
        self.next_grant += 1;
        let mut route = route(1, None, self.now);
        route.request.rank = rank;
        let step = self.policy.first_step(&mut route, self.now);
        self.apply_step(grant, route, step)
    }

    fn apply_step(
        &mut self,
        grant: GrantId,
        route: RequestRoute,
        step: RouteStep,
    ) -> Result<(), TestCaseError> {
        match step {
            RouteStep::Ask { owner, wait } => self.ask(grant, route, &owner, wait),
            RouteStep::Refuse(_) => {
                let rank = route.request.rank;
                for owner in &self.owners {
                    let pressure = owner.pressure(self.now);
                    prop_assert!(
                        !pressure.waiting.is_any_below(rank),
                        "refused while a lower rank waits"
                    );
                    prop_assert_eq!(pressure.free_slots, 0, "refused while a slot is free");
                }
                Ok(())
            }
            RouteStep::AskFallbackShare | RouteStep::Send { .. } | RouteStep::Wait => {
                prop_assert!(false, "every owner answered and the request waits at none");
                Ok(())
            }
        }
    }

    fn ask(
        &mut self,
        grant: GrantId,
        route: RequestRoute,
        owner: &InstanceId,
        wait: bool,
    ) -> Result<(), TestCaseError> {
        let number = (0..OWNERS).find(|number| owner_id(*number) == *owner).expect("an owner");
        let (tier, stated_tier) = route.request.rank;
        let mut request = grant_request(grant, tier.number());
        request.stated_tier = stated_tier;
        request.queue_requests = 2;
        request.wait = wait;
        self.pending.insert(grant, (route, number));
        let actions = self.owners[number].handle(OwnerEvent::RequestGrant(request), self.now);
        self.handle_actions(number, actions)
    }

    fn handle_actions(
        &mut self,
        number: usize,
        actions: Vec<OwnerAction>,
    ) -> Result<(), TestCaseError> {
        for action in actions {
            let (grant, reply) = match action {
                OwnerAction::Grant { grant, endpoint, .. } => {
                    self.pending.remove(&grant);
                    self.granted.push((grant, number, endpoint));
                    continue;
                }
                OwnerAction::Busy { grant, pressure, .. } => (grant, RouteReply::Busy(pressure)),
                OwnerAction::Refuse { grant, kind, pressure, .. } => {
                    (grant, RouteReply::Refused(kind, pressure))
                }
                OwnerAction::Probe { .. }
                | OwnerAction::StateChanged { .. }
                | OwnerAction::LimitChanged { .. }
                | OwnerAction::AskHolders { .. }
                | OwnerAction::TakenOver { .. } => continue,
            };
            let Some((mut route, at)) = self.pending.remove(&grant) else { continue };
            self.update_all_pressures();
            let step = self.policy.next_step(&mut route, &owner_id(at), reply, self.now);
            self.apply_step(grant, route, step)?;
        }
        Ok(())
    }

    fn release(&mut self, index: usize) -> Result<(), TestCaseError> {
        let Some(index) = index.checked_rem(self.granted.len()) else { return Ok(()) };
        let (grant, number, endpoint) = self.granted.remove(index);
        let report = ReleaseReport {
            requester: grant_request(0, 1).requester,
            grant,
            endpoint,
            tokens: 1,
            first_token: None,
            between_tokens: None,
            result: ReleaseResult::Completed,
        };
        let actions = self.owners[number].handle(OwnerEvent::Release(report), self.now);
        self.handle_actions(number, actions)
    }

    fn update_all_pressures(&mut self) {
        for (number, owner) in self.owners.iter().enumerate() {
            let pressure = owner.pressure(self.now);
            let owner = owner_id(number);
            self.policy.update_pressure(&POOL.into(), &owner, pressure, Duration::ZERO, self.now);
        }
    }
}

proptest! {
    /// With accurate views, no request is refused while an owner of the pool has a free slot
    /// or a waiting request of a lower rank, whether the refused one had waited or just arrived.
    #[test]
    fn no_tier_is_refused_before_a_lower_one(
        steps in prop::collection::vec((any::<Option<usize>>(), 1u8..=7, 1u8..=7), 1..120),
    ) {
        let mut harness = PoolHarness::new();
        for (release, tier, class_tier) in steps {
            harness.now += Duration::from_millis(1);
            match release {
                Some(index) if index % 3 == 0 => harness.release(index / 3)?,
                _ => harness.request(rank(tier, class_tier))?,
            }
        }
    }
}
