//! Group membership under crashes, false suspicion, pauses, restarts, leaving and partitions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootgate_core::membership::{
    HEARTBEAT_PERIOD, NEIGHBOUR_COUNT, PeerAction, PeerEvent, PeerProfile, PeerState, PeerTable,
};
use coltsfootgate_core::prelude::InstanceId;
use proptest::prelude::*;

/// A simulated fleet that delivers messages at once, unless the link is cut or either instance is
/// stopped.
struct ModelFleet {
    now: Instant,
    tables: BTreeMap<InstanceId, PeerTable>,
    stopped: BTreeSet<InstanceId>,
    /// Links that lose all messages, each from the first instance to the second.
    cut_links: BTreeSet<(InstanceId, InstanceId)>,
    restarted: Vec<InstanceId>,
}

fn id(index: usize) -> InstanceId {
    Arc::from(format!("10.0.0.{index}:9001"))
}

fn profile(index: usize, incarnation: u64) -> PeerProfile {
    let zone = Arc::from(format!("zone-{}", index % 3));
    PeerProfile {
        id: id(index),
        incarnation,
        zone,
        region: Arc::from("north"),
        processor_milli: 1000,
    }
}

impl ModelFleet {
    fn new(count: usize) -> Self {
        let mut fleet = Self {
            now: Instant::now(),
            tables: BTreeMap::new(),
            stopped: BTreeSet::new(),
            cut_links: BTreeSet::new(),
            restarted: Vec::new(),
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
                if self.is_connected(from, &to) {
                    self.event(&to, PeerEvent::Heartbeat(heartbeat));
                    if self.is_connected(&to, from) {
                        let answer = self.tables.get_mut(&to).unwrap().heartbeat_for(from);
                        self.event(from, PeerEvent::Heartbeat(answer));
                    }
                }
            }
            PeerAction::AskAbout { about, through } => {
                if self.is_connected(from, &through) && self.is_connected(&through, from) {
                    let heard = self.tables[&through].hears_from(&about, self.now);
                    self.event(from, PeerEvent::ReachabilityReport { about, by: through, heard });
                }
            }
            PeerAction::Restarted(profile) => self.restarted.push(profile.id),
            PeerAction::Changed(..) | PeerAction::VersionAdvanced(..) => {}
        }
    }

    fn is_connected(&self, from: &InstanceId, to: &InstanceId) -> bool {
        self.tables.contains_key(to)
            && !self.stopped.contains(to)
            && !self.stopped.contains(from)
            && !self.cut_links.contains(&(from.clone(), to.clone()))
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

/// Heartbeat periods for suspicion, confirmation and gossip, after which a silent instance is dead
/// everywhere.
const SETTLE_PERIODS: usize = 8;

#[test]
fn listed_instances_become_live_to_each_other() {
    let mut fleet = ModelFleet::new(9);
    fleet.run(1);
    for index in 0..9 {
        assert_eq!(fleet.live_at(index).len(), 9);
        assert_eq!(fleet.tables[&id(index)].live_in_zone("zone-1").len(), 3);
    }
}

/// While all instances leave, their last requests still need owners.
#[test]
fn leaving_instances_own_while_no_instance_is_live() {
    let mut fleet = ModelFleet::new(3);
    fleet.run(1);
    fleet.event(&id(0), PeerEvent::Leave);
    fleet.run(1);
    assert_eq!(fleet.tables[&id(0)].owners(), [id(1), id(2)]);
    for index in 1..3 {
        fleet.event(&id(index), PeerEvent::Leave);
    }
    fleet.run(1);
    for index in 0..3 {
        assert!(fleet.live_at(index).is_empty());
        let owners: BTreeSet<_> = fleet.tables[&id(index)].owners().into_iter().collect();
        assert_eq!(owners, (0..3).map(id).collect());
    }
}

#[test]
fn a_new_instance_is_live_before_the_platform_lists_it() {
    let mut fleet = ModelFleet::new(3);
    fleet.run(1);
    fleet.tables.insert(id(3), PeerTable::new(profile(3, 100)));
    fleet.list(3, 4);
    fleet.run(1);
    assert_eq!(fleet.live_at(0).len(), 4);
}

#[test]
fn a_killed_instance_is_dead_everywhere_although_still_listed() {
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

/// Survivors that last heard the dead instance at different times must not keep it alive by
/// counting each other's reports as contact with it.
#[test]
fn two_survivors_do_not_keep_a_dead_instance_alive() {
    let mut fleet = ModelFleet::new(3);
    fleet.run(2);
    for period in 0..40 {
        // The survivors' timers fire late and at different times.
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
fn a_link_failure_in_one_direction_kills_no_instance() {
    let mut fleet = ModelFleet::new(5);
    fleet.run(2);
    fleet.cut_links.insert((id(1), id(0)));
    fleet.run(20);
    for index in 0..5 {
        assert_eq!(fleet.live_at(index).len(), 5);
    }
}

#[test]
fn a_resumed_instance_rejoins_and_suspects_no_peer() {
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
    assert_eq!(fleet.restarted, Vec::<InstanceId>::new());
}

#[test]
fn leaving_persists_until_the_next_incarnation() {
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
fn a_restart_at_the_same_address_is_detected() {
    let mut fleet = ModelFleet::new(5);
    fleet.run(2);
    fleet.tables.insert(id(1), PeerTable::new(profile(1, 200)));
    fleet.list(1, 5);
    fleet.run(2);
    assert_eq!(fleet.restarted, vec![id(1); 4]);
    assert_eq!(fleet.live_at(0).len(), 5);
}

#[test]
fn a_restart_with_an_earlier_clock_raises_the_incarnation() {
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
fn a_partitioned_zone_is_removed_and_rejoins() {
    let mut fleet = ModelFleet::new(9);
    fleet.run(2);
    for inside in [0, 3, 6] {
        for outside in [1, 2, 4, 5, 7, 8] {
            fleet.cut_links.insert((id(inside), id(outside)));
            fleet.cut_links.insert((id(outside), id(inside)));
        }
    }
    fleet.run(SETTLE_PERIODS);
    assert_eq!(fleet.live_at(0), [id(0), id(3), id(6)]);
    assert_eq!(fleet.live_at(1).len(), 6);
    fleet.cut_links.clear();
    fleet.run(12);
    for index in 0..9 {
        assert_eq!(fleet.live_at(index).len(), 9);
    }
}

#[test]
fn a_large_fleet_has_few_neighbours_and_agrees_on_the_live_set() {
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
    fn tables_agree_after_faults_end(
        steps in prop::collection::vec((0..6usize, 0..6usize, 0..5u8, 0..6usize), 0..12),
    ) {
        let mut fleet = ModelFleet::new(6);
        let mut left = BTreeSet::new();
        for (first, second, kind, periods) in steps {
            match kind {
                0 => { fleet.stopped.insert(id(first)); }
                1 => { fleet.cut_links.insert((id(first), id(second))); }
                2 => { fleet.cut_links.clear(); }
                3 => { fleet.stopped.clear(); }
                _ if left.len() < 3 && !fleet.stopped.contains(&id(first)) => {
                    left.insert(id(first));
                    fleet.event(&id(first), PeerEvent::Leave);
                }
                _ => {}
            }
            fleet.run(periods);
        }
        fleet.cut_links.clear();
        fleet.stopped.clear();
        fleet.run(20);
        let expected: Vec<_> = (0..6).map(id).filter(|id| !left.contains(id)).collect();
        for index in 0..6 {
            prop_assert_eq!(fleet.live_at(index), expected.clone());
        }
    }
}

#[test]
fn a_gap_between_ticks_does_not_count_as_silence() {
    let mut fleet = ModelFleet::new(3);
    fleet.run(2);
    fleet.now += Duration::from_secs(30);
    fleet.event(&id(0), PeerEvent::Tick);
    assert_eq!(fleet.live_at(0).len(), 3);
}
