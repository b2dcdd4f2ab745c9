//! Tests that an owner which is new to its endpoints grants only what no earlier owner can have granted, as long as it
//! does not know what is in use there.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use coltsfootgate_core::owner::{
    DISCOVERY_TIME, EngineReservation, GrantHolders, GrantRequest, HOLD_TIME, HeldGrant,
    OwnerAction, OwnerEvent, OwnerSettings, PoolOwner, RESERVE_TIME, ReleaseReport, START_TIME,
};
use coltsfootgate_core::prelude::*;
use proptest::prelude::*;
use rstest::rstest;
use support::{START, completed_report, endpoint, grant_request};

const SLOTS: u32 = 6;
const ENDPOINTS: u32 = 2;
const ENTRIES: usize = 3;
/// Longest time after which a sound instance has answered.
const ANSWER_TIME_MAX: Duration = Duration::from_millis(200);

fn entry(number: usize) -> InstanceId {
    format!("127.0.0.1:900{number}").into()
}

/// The first of the entries, which were heard, and the number of those that were not.
fn holders(count: usize, unheard: Option<u32>) -> GrantHolders {
    GrantHolders { instances: (0..count).map(entry).collect(), unheard }
}

fn new_owner(holders: GrantHolders, endpoints: u32, now: Instant) -> (PoolOwner, Vec<OwnerAction>) {
    let mut owner = PoolOwner::new(OwnerSettings {
        pool: "pools.model".into(),
        between_tokens: None,
        kv_cache_tokens: None,
        limit_sharers: 1,
    });
    owner.handle(OwnerEvent::Holders(holders), now);
    let owned = (0..endpoints).map(exact_endpoint).collect();
    let actions = owner.handle(OwnerEvent::Endpoints(owned), now);
    (owner, actions)
}

/// An endpoint whose slots never change.
fn exact_endpoint(number: u32) -> EndpointSettings {
    EndpointSettings { slots_max: SLOTS, ..endpoint(number, SLOTS) }
}

fn request(grant: GrantId, from: usize) -> OwnerEvent {
    let request = grant_request(grant, 1);
    OwnerEvent::RequestGrant(GrantRequest { requester: entry(from), ..request })
}

fn held(grant: GrantId, endpoint: EndpointId) -> HeldGrant {
    let request = grant_request(grant, 1);
    let reservation = EngineReservation::default();
    HeldGrant { grant, endpoint, class: request.class.clone(), rank: request.rank(), reservation }
}

fn announce(from: usize, held: Vec<HeldGrant>) -> OwnerEvent {
    OwnerEvent::Announce { requester: entry(from), held }
}

fn granted(actions: &[OwnerAction]) -> usize {
    actions.iter().filter(|action| matches!(action, OwnerAction::Grant { .. })).count()
}

fn asked(actions: &[OwnerAction]) -> Vec<InstanceId> {
    let asked = actions.iter().filter_map(|action| match action {
        OwnerAction::AskHolders { silent } => Some(silent.clone()),
        _ => None,
    });
    asked.flatten().collect()
}

/// Lets more requests wait than there are slots; returns how many were granted.
fn fill(owner: &mut PoolOwner, now: Instant) -> usize {
    let requests = (1..=u64::from(2 * SLOTS)).map(|grant| request(grant, 0));
    requests.map(|request| granted(&owner.handle(request, now))).sum()
}

/// Guards against an owner that takes slots for free which grants of an earlier one use.
#[test]
fn a_new_owner_grants_what_is_left_once_all_have_said_what_they_hold() {
    let (mut owner, actions) = new_owner(holders(ENTRIES, Some(0)), 1, *START);
    assert_eq!(asked(&actions), (0..ENTRIES).map(entry).collect::<Vec<_>>());
    assert_eq!(fill(&mut owner, *START), 0);
    let id = endpoint(0, SLOTS).id;
    let one = owner.handle(announce(1, vec![held(101, id.clone()), held(102, id.clone())]), *START);
    let two = owner.handle(announce(2, vec![held(201, id)]), *START);
    assert_eq!((granted(&one), granted(&two)), (0, 0));
    let last = owner.handle(announce(0, Vec::new()), *START);
    assert_eq!(granted(&last), SLOTS as usize - 3);
    assert!(last.iter().any(|action| matches!(action, OwnerAction::TakenOver { heard: 3, .. })));
}

/// Nobody else lives: the first start of a fleet does not wait.
#[test]
fn an_owner_without_others_waits_for_its_own_instance_alone() {
    let (mut owner, _) = new_owner(holders(1, Some(0)), 1, *START);
    owner.handle(announce(0, Vec::new()), *START);
    assert_eq!(fill(&mut owner, *START), SLOTS as usize);
}

/// Two of three instances answer.
#[rstest]
#[case::at_first(Duration::ZERO, 0)]
#[case::before_the_hold_ends(HOLD_TIME - Duration::from_millis(1), 0)]
#[case::their_shares_afterwards(HOLD_TIME, 4)]
#[case::all_in_the_end(RESERVE_TIME, 6)]
fn the_share_of_a_silent_instance_is_kept(#[case] after: Duration, #[case] expected: usize) {
    let (mut owner, _) = new_owner(holders(ENTRIES, Some(0)), 1, *START);
    for silent_no_more in [0, 1] {
        owner.handle(announce(silent_no_more, Vec::new()), *START);
    }
    let later = granted(&owner.handle(OwnerEvent::Tick, *START + after));
    assert_eq!(later + fill(&mut owner, *START + after), expected);
}

/// A process that has just started knows itself only.
#[rstest]
#[case::before(DISCOVERY_TIME - Duration::from_millis(1), 0)]
#[case::after(DISCOVERY_TIME, 3)]
fn an_owner_that_knows_no_others_yet_waits_for_them(
    #[case] after: Duration,
    #[case] expected: usize,
) {
    let (mut owner, _) = new_owner(holders(1, Some(2)), 1, *START);
    owner.handle(announce(0, Vec::new()), *START);
    assert_eq!(fill(&mut owner, *START + after), expected);
}

/// Guards against a fleet that waits, when all of it starts, for instances that are not up yet.
#[rstest]
#[case::their_shares_at_first(START_TIME - Duration::from_millis(1), false, 2)]
#[case::nobody_holds_any(START_TIME, false, 6)]
#[case::somebody_holds_one(START_TIME, true, 1)]
fn a_fleet_that_starts_does_not_wait_for_those_that_are_not_up(
    #[case] after: Duration,
    #[case] holds_one: bool,
    #[case] expected: usize,
) {
    let (mut owner, _) = new_owner(holders(2, Some(4)), 1, *START);
    owner.handle(announce(0, Vec::new()), *START);
    let held_there = if holds_one { vec![held(101, endpoint(0, SLOTS).id)] } else { Vec::new() };
    owner.handle(announce(1, held_there), *START);
    assert_eq!(fill(&mut owner, *START + after), expected);
}

/// Those that become known late have the whole time to answer.
#[test]
fn instances_that_become_known_late_are_asked_and_awaited() {
    let (mut owner, _) = new_owner(holders(1, Some(2)), 1, *START);
    owner.handle(announce(0, Vec::new()), *START);
    let known_at = *START + HOLD_TIME * 2;
    let actions = owner.handle(OwnerEvent::Holders(holders(ENTRIES, Some(0))), known_at);
    assert_eq!(asked(&actions), [entry(1), entry(2)]);
    assert_eq!(fill(&mut owner, known_at + HOLD_TIME / 2), 0);
}

/// Guards against an owner that asks all instances whenever a replica joins its pool.
#[rstest]
#[case::still_alone(true, true, 0)]
#[case::others_own_some(true, false, 1)]
#[case::others_owned_some(false, true, 1)]
fn endpoints_that_were_nobody_elses_are_granted_at_once(
    #[case] was_alone: bool,
    #[case] is_alone: bool,
    #[case] questions: usize,
) {
    let (mut owner, _) = new_owner(holders(1, Some(0)), 1, *START);
    owner.handle(announce(0, Vec::new()), *START);
    owner.handle(OwnerEvent::Alone(was_alone), *START);
    owner.handle(OwnerEvent::Endpoints(vec![exact_endpoint(0)]), *START);
    owner.handle(OwnerEvent::Alone(is_alone), *START);
    let both = vec![exact_endpoint(0), exact_endpoint(1)];
    let actions = owner.handle(OwnerEvent::Endpoints(both), *START);
    assert_eq!(asked(&actions).len(), questions);
}

#[test]
fn silent_instances_are_asked_again() {
    let (mut owner, _) = new_owner(holders(ENTRIES, Some(0)), 1, *START);
    owner.handle(announce(0, Vec::new()), *START);
    owner.handle(announce(2, Vec::new()), *START);
    let due = owner.next_deadline().expect("a question is due");
    assert!(due < *START + HOLD_TIME / 2);
    assert_eq!(asked(&owner.handle(OwnerEvent::Tick, due)), [entry(1)]);
}

/// While the process stood still, another owner may have granted all slots.
#[test]
fn an_owner_that_goes_on_after_a_pause_asks_again() {
    let (mut owner, _) = new_owner(holders(2, Some(0)), 1, *START);
    owner.handle(announce(0, Vec::new()), *START);
    owner.handle(announce(1, Vec::new()), *START);
    let later = *START + Duration::from_secs(10);
    assert_eq!(asked(&owner.handle(OwnerEvent::Resumed, later)), [entry(0), entry(1)]);
    assert_eq!(fill(&mut owner, later), 0);
}

/// Guards against a share that takes slots for free in which requests run under an owner's grants.
#[test]
fn a_share_counts_what_its_instance_holds_from_owners() {
    let mut share = PoolOwner::new(OwnerSettings {
        pool: "pools.model".into(),
        between_tokens: None,
        kv_cache_tokens: None,
        limit_sharers: 1,
    });
    let id = endpoint(0, SLOTS).id;
    for _ in 0..4 {
        share.record_elsewhere(&id, true);
    }
    share.handle(OwnerEvent::Endpoints(vec![exact_endpoint(0)]), *START);
    assert_eq!(fill(&mut share, *START), SLOTS as usize - 4);
    assert!(share.record_elsewhere(&id, false), "requests wait");
    assert_eq!(granted(&share.handle(OwnerEvent::Tick, *START)), 1);
}

/// A step of a fleet of entries with one owner at a time.
#[derive(Clone, Copy, Debug)]
enum FleetStep {
    Request(usize),
    End(usize),
    /// An instance answers the owner.
    Answer(usize),
    /// Another process becomes the owner; nobody tells it anything.
    Replace,
    /// The owner goes on after a pause; meanwhile another one granted so many slots to an instance.
    Pause(usize, u8),
    Advance(u8),
}

fn fleet_step() -> impl Strategy<Value = FleetStep> {
    prop_oneof![
        8 => (0..ENTRIES).prop_map(FleetStep::Request),
        4 => any::<usize>().prop_map(FleetStep::End),
        4 => (0..ENTRIES).prop_map(FleetStep::Answer),
        1 => Just(FleetStep::Replace),
        1 => (0..ENTRIES, 0_u8..3).prop_map(|(entry, count)| FleetStep::Pause(entry, count)),
        4 => (1_u8..50).prop_map(FleetStep::Advance),
    ]
}

/// Entries that hold grants, and their owner.
struct FleetModel {
    owner: PoolOwner,
    now: Instant,
    /// The requests in flight, with the entry and the endpoint of each.
    running: BTreeMap<GrantId, (usize, EndpointId)>,
    /// Since when each entry has not answered a question.
    unanswered: BTreeMap<usize, Instant>,
    next_grant: GrantId,
}

impl FleetModel {
    fn new() -> Self {
        let (owner, actions) = new_owner(holders(ENTRIES, Some(0)), ENDPOINTS, *START);
        let (running, unanswered) = (BTreeMap::new(), BTreeMap::new());
        let mut model = Self { owner, now: *START, running, unanswered, next_grant: 1 };
        model.record(&actions);
        model
    }

    fn apply(&mut self, step: FleetStep) {
        match step {
            FleetStep::Request(from) => {
                self.next_grant += 1;
                self.handle(request(self.next_grant, from));
            }
            FleetStep::End(number) => {
                let Some(place) = number.checked_rem(self.running.len()) else { return };
                let grant = *self.running.keys().nth(place).expect("in range");
                let (from, id) = self.running.remove(&grant).expect("in flight");
                let report = completed_report(grant, id, 1, Duration::from_millis(1));
                self.handle(OwnerEvent::Release(ReleaseReport {
                    requester: entry(from),
                    ..report
                }));
            }
            FleetStep::Answer(from) => self.answer(from),
            FleetStep::Replace => {
                self.unanswered.clear();
                let (owner, actions) = new_owner(holders(ENTRIES, Some(0)), ENDPOINTS, self.now);
                self.owner = owner;
                self.record(&actions);
            }
            FleetStep::Pause(from, count) => {
                self.now += Duration::from_secs(5);
                for _ in 0..count {
                    self.grant_elsewhere(from);
                }
                self.handle(OwnerEvent::Resumed);
            }
            FleetStep::Advance(milliseconds) => {
                self.now += Duration::from_millis(milliseconds.into());
                let now = self.now;
                let is_late = |since: &Instant| now.duration_since(*since) >= ANSWER_TIME_MAX;
                let late = self.unanswered.iter().filter(|(_, since)| is_late(since));
                let late: Vec<usize> = late.map(|(from, _)| *from).collect();
                late.into_iter().for_each(|from| self.answer(from));
                self.handle(OwnerEvent::Tick);
            }
        }
    }

    /// Grants a free slot by another owner.
    fn grant_elsewhere(&mut self, from: usize) {
        let ids = (0..ENDPOINTS).map(|number| endpoint(number, SLOTS).id);
        let free = ids.into_iter().find(|id| self.in_flight(id) < SLOTS as usize);
        if let Some(id) = free {
            self.next_grant += 1;
            self.running.insert(self.next_grant, (from, id));
        }
    }

    fn answer(&mut self, from: usize) {
        if self.unanswered.remove(&from).is_none() {
            return;
        }
        let held_here = self.running.iter().filter(|(_, (holder, _))| *holder == from);
        let all = held_here.map(|(grant, (_, id))| held(*grant, id.clone())).collect();
        self.handle(announce(from, all));
    }

    fn handle(&mut self, event: OwnerEvent) {
        let actions = self.owner.handle(event, self.now);
        self.record(&actions);
    }

    fn record(&mut self, actions: &[OwnerAction]) {
        for action in actions {
            match action {
                OwnerAction::Grant { requester, grant, endpoint, .. } => {
                    let from = (0..ENTRIES).find(|number| entry(*number) == *requester);
                    self.running.insert(*grant, (from.expect("an entry"), endpoint.clone()));
                }
                OwnerAction::AskHolders { silent } => {
                    let silent: BTreeSet<&InstanceId> = silent.iter().collect();
                    for from in (0..ENTRIES).filter(|number| silent.contains(&entry(*number))) {
                        self.unanswered.entry(from).or_insert(self.now);
                    }
                }
                _ => {}
            }
        }
    }

    fn in_flight(&self, id: &EndpointId) -> usize {
        self.running.values().filter(|(_, running_at)| running_at == id).count()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// However often owners change, no endpoint has more requests in flight than slots.
    #[test]
    fn no_endpoint_is_overfilled_when_owners_change(
        steps in prop::collection::vec(fleet_step(), 1..120),
    ) {
        let mut model = FleetModel::new();
        for step in steps {
            model.apply(step);
            for number in 0..ENDPOINTS {
                let id = endpoint(number, SLOTS).id;
                prop_assert!(model.in_flight(&id) <= SLOTS as usize, "{} after {:?}", id, step);
            }
        }
    }
}
