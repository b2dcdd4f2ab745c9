//! The live set under silence, false suspicion, pauses, rebirth, leaving and cut zones.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootgate_core::membership::{
    HEARTBEAT_PERIOD, NEIGHBOUR_COUNT, PeerAction, PeerEvent, PeerProfile, PeerState, PeerTable,
};
use coltsfootgate_core::prelude::InstanceId;
use proptest::prelude::*;

/// A fleet whose messages arrive at once, unless a link is cut or an end is stopped.
struct ModelFleet {
    now: Instant,
    tables: BTreeMap<InstanceId, PeerTable>,
    stopped: BTreeSet<InstanceId>,
    cut: BTreeSet<(InstanceId, InstanceId)>,
    reborn: Vec<InstanceId>,
}

fn id(index: usize) -> InstanceId {
    Arc::from(format!("10.0.0.{index}:9001"))
}

fn profile(index: usize, incarnation: u64) -> PeerProfile {
    let zone = Arc::from(format!("zone-{}", index % 3));
    PeerProfile { id: id(index), incarnation, zone, region: Arc::from("north") }
}

impl ModelFleet {
    fn new(count: usize) -> Self {
        let mut fleet = Self {
            now: Instant::now(),
            tables: BTreeMap::new(),
            stopped: BTreeSet::new(),
            cut: BTreeSet::new(),
            reborn: Vec::new(),
        };
        for index in 0..count {
            fleet.tables.insert(id(index), PeerTable::new(profile(index, 100)));
        }
        for index in 0..count {
            fleet.list(index, count);
        }
        fleet
    }

    fn list(&mut self, index: usize, count: usize) {
        let listed = (0..count).map(|other| (id(other), profile(other, 0).zone)).collect();
        self.event(&id(index), PeerEvent::Listed(listed));
    }

    fn event(&mut self, at: &InstanceId, event: PeerEvent) {
        let actions = self.tables.get_mut(at).unwrap().handle(event, self.now);
        for action in actions {
            self.perform(at, action);
        }
    }

    fn perform(&mut self, from: &InstanceId, action: PeerAction) {
        match action {
            PeerAction::Send(to, heartbeat) => {
                if self.is_passable(from, &to) {
                    self.event(&to, PeerEvent::Heartbeat(heartbeat));
                    if self.is_passable(&to, from) {
                        let answer = self.tables.get_mut(&to).unwrap().heartbeat_for(from);
                        self.event(from, PeerEvent::Heartbeat(answer));
                    }
                }
            }
            PeerAction::AskAbout { about, through } => {
                if self.is_passable(from, &through) && self.is_passable(&through, from) {
                    let heard = self.tables[&through].hears(&about, self.now);
                    self.event(from, PeerEvent::Vouched { about, by: through, heard });
                }
            }
            PeerAction::Reborn(profile) => self.reborn.push(profile.id),
            PeerAction::Changed(..) | PeerAction::SawVersion(..) => {}
        }
    }

    fn is_passable(&self, from: &InstanceId, to: &InstanceId) -> bool {
        self.tables.contains_key(to)
            && !self.stopped.contains(to)
            && !self.stopped.contains(from)
            && !self.cut.contains(&(from.clone(), to.clone()))
    }

    fn run(&mut self, periods: usize) {
        for _ in 0..periods {
            self.now += HEARTBEAT_PERIOD;
            for at in self.tables.keys().cloned().collect::<Vec<_>>() {
                if !self.stopped.contains(&at) {
                    self.event(&at, PeerEvent::Tick);
                }
            }
        }
    }

    fn state(&self, at: usize, about: usize) -> Option<PeerState> {
        self.tables[&id(at)].state(&id(about))
    }

    fn live_at(&self, at: usize) -> Vec<InstanceId> {
        let mut live = self.tables[&id(at)].live_in_region("north");
        live.sort();
        live
    }
}

/// Periods after which a silent instance is dead everywhere: suspicion, confirmation, spreading.
const SETTLE_PERIODS: usize = 8;

#[test]
fn a_mesh_forms_from_the_list() {
    let mut fleet = ModelFleet::new(9);
    fleet.run(1);
    for index in 0..9 {
        assert_eq!(fleet.live_at(index).len(), 9);
        assert_eq!(fleet.tables[&id(index)].live_in_zone("zone-1").len(), 3);
    }
}

#[test]
fn a_new_instance_counts_before_the_list_shows_it() {
    let mut fleet = ModelFleet::new(3);
    fleet.run(1);
    fleet.tables.insert(id(3), PeerTable::new(profile(3, 100)));
    fleet.list(3, 4);
    fleet.run(1);
    assert_eq!(fleet.live_at(0).len(), 4);
}

#[test]
fn a_killed_instance_is_dead_everywhere_though_the_list_still_shows_it() {
    let mut fleet = ModelFleet::new(9);
    fleet.run(2);
    fleet.tables.remove(&id(4));
    fleet.run(SETTLE_PERIODS);
    fleet.list(0, 9);
    fleet.run(2);
    for index in [0, 1, 8] {
        assert_eq!(fleet.state(index, 4), Some(PeerState::Dead));
    }
}

/// Survivors that heard last at different times must not take each other's vouching for hearing.
#[test]
fn two_survivors_do_not_keep_a_dead_instance_alive() {
    let mut fleet = ModelFleet::new(3);
    fleet.run(2);
    for period in 0..40 {
        // Timers fire a little late, and those of the survivors not at the same time.
        for (survivor, pause) in [(0, HEARTBEAT_PERIOD * 7 / 10), (1, HEARTBEAT_PERIOD * 4 / 10)] {
            fleet.now += pause;
            fleet.event(&id(survivor), PeerEvent::Tick);
        }
        if period == 0 {
            fleet.tables.remove(&id(2));
        }
    }
    assert_eq!(fleet.state(0, 2), Some(PeerState::Dead));
    assert_eq!(fleet.state(1, 2), Some(PeerState::Dead));
}

#[test]
fn a_link_cut_one_way_is_no_death() {
    let mut fleet = ModelFleet::new(5);
    fleet.run(2);
    fleet.cut.insert((id(1), id(0)));
    fleet.run(20);
    for index in 0..5 {
        assert_eq!(fleet.live_at(index).len(), 5);
    }
}

#[test]
fn a_paused_instance_comes_back_and_condemns_nobody() {
    let mut fleet = ModelFleet::new(9);
    fleet.run(2);
    fleet.stopped.insert(id(2));
    fleet.run(SETTLE_PERIODS);
    assert_eq!(fleet.state(0, 2), Some(PeerState::Dead));
    fleet.stopped.clear();
    fleet.event(&id(2), PeerEvent::Tick);
    assert_eq!(fleet.live_at(2).len(), 9);
    fleet.run(1);
    for index in 0..9 {
        assert_eq!(fleet.live_at(index).len(), 9);
    }
    assert_eq!(fleet.reborn, Vec::<InstanceId>::new());
}

#[test]
fn leaving_sticks_until_the_next_incarnation() {
    let mut fleet = ModelFleet::new(9);
    fleet.run(2);
    fleet.event(&id(3), PeerEvent::Leave);
    assert_eq!(fleet.state(0, 3), Some(PeerState::Leaving));
    assert_eq!(fleet.live_at(3).len(), 8);
    fleet.stopped.insert(id(3));
    fleet.run(SETTLE_PERIODS);
    assert_eq!(fleet.state(0, 3), Some(PeerState::Dead));
    fleet.stopped.clear();
    fleet.run(5);
    assert_eq!(fleet.state(0, 3), Some(PeerState::Leaving));
    fleet.tables.insert(id(3), PeerTable::new(profile(3, 200)));
    fleet.list(3, 9);
    fleet.run(2);
    assert_eq!(fleet.state(0, 3), Some(PeerState::Alive));
}

#[test]
fn an_instance_reborn_at_the_same_address_is_told_apart() {
    let mut fleet = ModelFleet::new(5);
    fleet.run(2);
    fleet.tables.insert(id(1), PeerTable::new(profile(1, 200)));
    fleet.list(1, 5);
    fleet.run(2);
    assert_eq!(fleet.reborn, vec![id(1); 4]);
    assert_eq!(fleet.live_at(0).len(), 5);
}

#[test]
fn an_instance_reborn_with_its_clock_set_back_rises_above_its_earlier_life() {
    let mut fleet = ModelFleet::new(5);
    fleet.run(2);
    fleet.event(&id(1), PeerEvent::Leave);
    fleet.tables.insert(id(1), PeerTable::new(profile(1, 50)));
    fleet.list(1, 5);
    fleet.run(3);
    assert_eq!(fleet.state(0, 1), Some(PeerState::Alive));
    assert_eq!(fleet.tables[&id(1)].own_profile().incarnation, 101);
}

#[test]
fn a_cut_zone_is_dropped_and_taken_back() {
    let mut fleet = ModelFleet::new(9);
    fleet.run(2);
    for inside in [0, 3, 6] {
        for outside in [1, 2, 4, 5, 7, 8] {
            fleet.cut.insert((id(inside), id(outside)));
            fleet.cut.insert((id(outside), id(inside)));
        }
    }
    fleet.run(SETTLE_PERIODS);
    assert_eq!(fleet.live_at(0), [id(0), id(3), id(6)]);
    assert_eq!(fleet.live_at(1).len(), 6);
    fleet.cut.clear();
    fleet.run(12);
    for index in 0..9 {
        assert_eq!(fleet.live_at(index).len(), 9);
    }
}

#[test]
fn a_large_fleet_has_few_neighbours_and_one_view() {
    let mut fleet = ModelFleet::new(60);
    fleet.run(20);
    fleet.tables.remove(&id(7));
    fleet.event(&id(8), PeerEvent::Leave);
    fleet.run(SETTLE_PERIODS + 6);
    for index in (0..60).filter(|index| *index != 7) {
        assert_eq!(fleet.tables[&id(index)].neighbours().count(), NEIGHBOUR_COUNT);
        assert_eq!(fleet.live_at(index).len(), 58, "at {index}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]
    #[test]
    fn views_agree_once_faults_end(
        steps in prop::collection::vec((0..6usize, 0..6usize, 0..5u8, 0..6usize), 0..12),
    ) {
        let mut fleet = ModelFleet::new(6);
        let mut left = BTreeSet::new();
        for (first, second, kind, periods) in steps {
            match kind {
                0 => { fleet.stopped.insert(id(first)); }
                1 => { fleet.cut.insert((id(first), id(second))); }
                2 => { fleet.cut.clear(); }
                3 => { fleet.stopped.clear(); }
                _ if left.len() < 3 && !fleet.stopped.contains(&id(first)) => {
                    left.insert(id(first));
                    fleet.event(&id(first), PeerEvent::Leave);
                }
                _ => {}
            }
            fleet.run(periods);
        }
        fleet.cut.clear();
        fleet.stopped.clear();
        fleet.run(20);
        let expected: Vec<_> = (0..6).map(id).filter(|id| !left.contains(id)).collect();
        for index in 0..6 {
            prop_assert_eq!(fleet.live_at(index), expected.clone());
        }
    }
}

#[test]
fn time_without_ticks_is_no_silence() {
    let mut fleet = ModelFleet::new(3);
    fleet.run(2);
    fleet.now += Duration::from_secs(30);
    fleet.event(&id(0), PeerEvent::Tick);
    assert_eq!(fleet.live_at(0).len(), 3);
}
