//! Tests that the records of streams outlive the instances that made them, in fleets whose instances are replaced one
//! after the other while the streams last.

use std::collections::{BTreeMap, BTreeSet};

use coltsfootgate_core::prelude::InstanceId;
use coltsfootgate_core::rendezvous::OwnerTable;
use coltsfootgate_core::stream::{
    KEEPERS, RecordHolders, STREAM_GROUPS, StreamGroup, StreamKey, stream_group,
};
use rstest::rstest;

/// Streams of each instance.
const STREAMS: usize = 20;
/// Streams that are looked for at each instance that is back, those that began last.
const STREAMS_LOOKED_FOR: usize = 400;
/// Number of instances that leave at the same time in a rolling restart.
const LEAVING_AT_ONCE: usize = 4;

fn id(number: usize) -> InstanceId {
    format!("10.0.{}.{}:9001", number / 250, number % 250).into()
}

/// A fleet whose instances see each change at once, and deliver each record.
#[derive(Default)]
struct ModelFleet {
    live: BTreeSet<InstanceId>,
    leaving: BTreeSet<InstanceId>,
    records: BTreeMap<InstanceId, BTreeSet<(StreamGroup, usize)>>,
    /// What all instances saw last.
    view: RecordHolders,
    /// Records sent by each instance, the first copies included.
    sent: BTreeMap<InstanceId, usize>,
}

impl ModelFleet {
    fn new(count: usize) -> Self {
        let mut fleet = Self { live: (0..count).map(id).collect(), ..Self::default() };
        fleet.spread();
        fleet
    }

    fn view(&self) -> RecordHolders {
        RecordHolders {
            live: OwnerTable::new(self.live.iter().cloned()),
            leaving: OwnerTable::new(self.leaving.iter().cloned()),
            is_complete: true,
        }
    }

    /// Lets all instances see who is there, and pass their records on to those that keep them from now on.
    fn spread(&mut self) {
        let view = self.view();
        let earlier = std::mem::replace(&mut self.view, view);
        let holders: Vec<InstanceId> = self.records.keys().cloned().collect();
        // What is passed on arrives after all have seen the change.
        let mut passed = Vec::new();
        let is_changed = |group: &_| self.view.keepers(*group) != earlier.keepers(*group);
        for group in (0..STREAM_GROUPS).filter(is_changed) {
            // One that has just started to leave delivers all that it has.
            let is_new = |holder: &&InstanceId| {
                self.view.leaving.contains(holder) && !earlier.leaving.contains(holder)
            };
            for holder in holders.iter().filter(|holder| !is_new(holder)) {
                for target in self.view.successors(&earlier, group, holder) {
                    let records = self.records[holder].iter().filter(|(known, _)| *known == group);
                    passed.push((holder.clone(), target, records.copied().collect::<Vec<_>>()));
                }
            }
        }
        for (from, to, records) in passed {
            *self.sent.entry(from).or_default() += records.len();
            self.records.entry(to).or_default().extend(records);
        }
    }

    fn begin_stream(&mut self, entry: &InstanceId, number: usize) {
        let record = (group_of(number), number);
        self.deliver(entry, record);
        self.records.entry(entry.clone()).or_default().insert(record);
    }

    fn leave(&mut self, instance: &InstanceId) {
        self.live.remove(instance);
        self.leaving.insert(instance.clone());
        let records = self.records.get(instance).cloned().unwrap_or_default();
        self.spread();
        for record in records {
            self.deliver(instance, record);
        }
    }

    /// Sends a record to as many instances as keep one.
    fn deliver(&mut self, from: &InstanceId, record: (StreamGroup, usize)) {
        for target in self.view.candidates(record.0, from).into_iter().take(KEEPERS) {
            *self.sent.entry(from.clone()).or_default() += 1;
            self.records.entry(target).or_default().insert(record);
        }
    }

    fn end(&mut self, instance: &InstanceId) {
        self.kill(std::slice::from_ref(instance));
    }

    /// Ends instances without notice at the same time.
    fn kill(&mut self, instances: &[InstanceId]) {
        for instance in instances {
            self.live.remove(instance);
            self.leaving.remove(instance);
            self.records.remove(instance);
        }
        self.spread();
    }

    fn start(&mut self, instance: &InstanceId) {
        self.live.insert(instance.clone());
        self.spread();
    }

    /// Whether an instance finds the record of a stream.
    fn is_found(&self, at: &InstanceId, number: usize) -> bool {
        let record = (group_of(number), number);
        let knows =
            |id: &InstanceId| self.records.get(id).is_some_and(|kept| kept.contains(&record));
        let asked = self.view.candidates(record.0, at);
        knows(at) || asked.iter().any(knows)
    }
}

fn group_of(number: usize) -> StreamGroup {
    stream_group(&StreamKey::new("one".into(), &format!("stream-{number}")).unwrap())
}

/// Restarts all instances in turn, some at the same time, with streams that begin right before each leaves. The
/// streams are looked for at each instance that is back.
#[rstest]
#[case::two(2, 1)]
#[case::five(5, LEAVING_AT_ONCE)]
#[case::nine(9, LEAVING_AT_ONCE)]
#[case::sixty(60, LEAVING_AT_ONCE)]
#[case::hundred(100, LEAVING_AT_ONCE)]
fn records_outlive_a_rolling_restart(#[case] count: usize, #[case] leaving_at_once: usize) {
    let mut fleet = ModelFleet::new(count);
    let mut streams = 0usize;
    for number in 0..count + leaving_at_once {
        if let Some(back) = number.checked_sub(leaving_at_once) {
            fleet.end(&id(back));
            fleet.start(&id(back));
            let latest = streams.saturating_sub(STREAMS_LOOKED_FOR)..streams;
            let lost = latest.filter(|stream| !fleet.is_found(&id(back), *stream)).count();
            assert_eq!(lost, 0, "of {streams} streams at instance {back}");
        }
        if number < count {
            for _ in 0..STREAMS {
                fleet.begin_stream(&id(number), streams);
                streams += 1;
            }
            fleet.leave(&id(number));
        }
    }
    let sent: usize = fleet.sent.values().sum();
    let most = fleet.sent.values().max().unwrap();
    println!(
        "{count} instances: {:.1} messages for each stream, {most} at most from one instance",
        sent as f64 / streams as f64
    );
}

/// Any one instance is killed, which may be one of those that keep a record, or that began the stream.
#[rstest]
fn a_record_outlives_any_one_instance_that_is_killed(#[values(3, 9, 60)] count: usize) {
    for killed in 0..count {
        let mut fleet = ModelFleet::new(count);
        (0..STREAMS).for_each(|stream| fleet.begin_stream(&id(0), stream));
        fleet.kill(&[id(killed)]);
        fleet.start(&id(killed));
        assert_all_found(&fleet, count, &format!("after {killed} was killed"));
    }
}

/// One instance is leaving when another one is killed, before what it had to pass on or to get has arrived: neither
/// of them need have a record then.
#[rstest]
fn a_record_outlives_a_kill_in_the_middle_of_a_hand_over(#[values(4, 9)] count: usize) {
    for (leaving, killed) in (0..count).flat_map(|one| (0..count).map(move |other| (one, other))) {
        if leaving == killed {
            continue;
        }
        let mut fleet = ModelFleet::new(count);
        (0..STREAMS).for_each(|stream| fleet.begin_stream(&id(0), stream));
        let before = fleet.records.clone();
        fleet.leave(&id(leaving));
        fleet.records = before;
        fleet.kill(&[id(killed)]);
        fleet.end(&id(leaving));
        fleet.start(&id(killed));
        fleet.start(&id(leaving));
        assert_all_found(&fleet, count, &format!("{leaving} left, {killed} was killed"));
    }
}

/// Both instances that keep a record are killed at once; the one that began the stream has it too.
#[rstest]
fn a_record_outlives_all_its_keepers(#[values(4, 9, 60)] count: usize) {
    for stream in 0..STREAMS {
        let mut fleet = ModelFleet::new(count);
        fleet.begin_stream(&id(0), stream);
        let mut keepers = fleet.view.keepers(group_of(stream));
        keepers.retain(|keeper| *keeper != id(0));
        fleet.kill(&keepers);
        keepers.iter().for_each(|keeper| fleet.start(keeper));
        for at in 0..count {
            assert!(fleet.is_found(&id(at), stream), "stream {stream} at {at}");
        }
    }
}

/// An instance that restarts so quickly that nobody misses it gets its records back from one other instance.
#[rstest]
fn records_that_a_restart_lost_are_replaced(#[values(2, 3, 9)] count: usize) {
    let fleet = ModelFleet::new(count);
    for group in 0..STREAM_GROUPS {
        for restarted in fleet.view.keepers(group) {
            let replaces = |at: &usize| fleet.view.replaces_records(group, &restarted, &id(*at));
            let sources: Vec<usize> = (0..count).filter(replaces).collect();
            assert!(sources.iter().any(|source| id(*source) != restarted), "{restarted}");
            assert!(sources.len() < 2 || count > 2, "{sources:?}");
        }
    }
}

/// While all others are leaving, they still keep what the last one records.
#[test]
fn leaving_instances_keep_records_while_no_other_is_live() {
    let mut fleet = ModelFleet::new(3);
    fleet.leave(&id(0));
    fleet.leave(&id(1));
    fleet.begin_stream(&id(2), 0);
    let holders = fleet.records.iter().filter(|(_, kept)| !kept.is_empty());
    assert_eq!(holders.count(), 3);
}

fn assert_all_found(fleet: &ModelFleet, count: usize, context: &str) {
    for at in 0..count {
        let lost = (0..STREAMS).filter(|stream| !fleet.is_found(&id(at), *stream)).count();
        assert_eq!(lost, 0, "at instance {at}: {context}");
    }
}
