//! Confirmations of the settings that instances pass on, in every order of loads, ticks, heartbeats and restarts.

use std::time::Duration;

use rstest::rstest;

use coltsfootgate_core::freshness::{SettingsFreshness, SettingsStatement, VersionProof};
use coltsfootgate_core::ids::ConfigVersion;

/// Events of a run.
const RUN_EVENTS: usize = 9;
/// Versions that are written during a run.
const WRITES_MAX: usize = 2;
/// Time between two events.
const STEP: Duration = Duration::from_secs(1);

/// How an instance makes what it states.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BuildKind {
    /// Version and age are of the same moment.
    Current,
    /// The version is that of the last tick and the age that of the tree in force, as in builds up to 47a027b. These
    /// are killed before they tick.
    EarlierKilled,
    /// The same, with ticks.
    Earlier,
}

/// One thing that happens. Instance 0 hears only instance 1, which reads the store or hears only instance 2.
#[derive(Clone, Copy, Debug)]
enum ModelEvent {
    /// The operator writes the next version.
    Write,
    /// An instance reads the store, or asks the next one.
    Ask(usize),
    /// The next instance answers that.
    Answer(usize),
    /// The answer arrives.
    Arrive(usize),
    /// The version that was last heard of is in force.
    Load(usize),
    /// An instance ticks.
    Tick(usize),
    /// An instance is killed and started again.
    Restart(usize),
}

/// A question to the next instance.
#[derive(Clone, Copy, Debug)]
struct OpenQuestion {
    asked_at: Duration,
    answer: Option<SettingsStatement>,
}

#[derive(Clone, Debug, Default)]
struct ModelInstance {
    freshness: SettingsFreshness,
    in_force: Option<ConfigVersion>,
    heard: Option<ConfigVersion>,
    ticked: Option<ConfigVersion>,
    question: Option<OpenQuestion>,
}

/// The operator's versions with the times at which they were written, and the instances; the last one reads the store.
#[derive(Clone, Debug)]
struct ModelFleet {
    now: Duration,
    written: Vec<Duration>,
    instances: Vec<ModelInstance>,
    build: BuildKind,
}

impl ModelFleet {
    /// All instances have version 1 in force, confirmed now.
    fn new(size: usize, build: BuildKind) -> Self {
        let mut instance = ModelInstance { in_force: Some(1), ..ModelInstance::default() };
        instance.ticked = instance.in_force.filter(|_| build == BuildKind::Earlier);
        instance.freshness.record(VersionProof { version: 1, at: Duration::ZERO });
        let written = vec![Duration::ZERO];
        Self { now: Duration::ZERO, written, instances: vec![instance; size], build }
    }

    /// The newest version that the store would have said at a time.
    fn newest(&self, at: Duration) -> ConfigVersion {
        self.written.iter().filter(|written| **written <= at).count() as ConfigVersion
    }

    fn statement(&self, number: usize) -> SettingsStatement {
        let instance = &self.instances[number];
        let statement = instance.freshness.statement(instance.in_force, self.now);
        match self.build {
            BuildKind::Current => statement,
            _ => SettingsStatement { version: instance.ticked.unwrap_or(0), ..statement },
        }
    }

    /// Applies an event; `false` if it can't happen now.
    fn apply(&mut self, event: ModelEvent) -> bool {
        self.now += STEP;
        let (now, last) = (self.now, self.instances.len() - 1);
        match event {
            ModelEvent::Write if self.written.len() <= WRITES_MAX => self.written.push(now),
            ModelEvent::Ask(number) if number == last => {
                let version = self.newest(now);
                let reader = &mut self.instances[number];
                reader.freshness.record(VersionProof { version, at: now });
                reader.heard = Some(version);
            }
            ModelEvent::Ask(number) if self.instances[number].question.is_none() => {
                let question = OpenQuestion { asked_at: now, answer: None };
                self.instances[number].question = Some(question);
            }
            ModelEvent::Answer(number) => {
                let Some(mut question) = self.instances[number].question else { return false };
                if question.answer.is_some() {
                    return false;
                }
                question.answer = Some(self.statement(number + 1));
                self.instances[number].question = Some(question);
            }
            ModelEvent::Arrive(number) => {
                let Some(question) = self.instances[number].question else { return false };
                let Some(statement) = question.answer else { return false };
                let instance = &mut self.instances[number];
                instance.question = None;
                if let Some(proof) = statement.proof(question.asked_at) {
                    instance.freshness.record(proof);
                }
                instance.heard = instance.heard.max(Some(statement.version).filter(|one| *one > 0));
            }
            // Instance 0 goes on with what it has, as if it couldn't load anything.
            ModelEvent::Load(number) if number > 0 => {
                let instance = &mut self.instances[number];
                if instance.heard <= instance.in_force {
                    return false;
                }
                instance.in_force = instance.heard;
            }
            ModelEvent::Tick(number) if number > 0 && self.build == BuildKind::Earlier => {
                let instance = &mut self.instances[number];
                instance.ticked = instance.in_force;
            }
            ModelEvent::Restart(number) if number > 0 => {
                self.instances[number] = ModelInstance::default();
            }
            _ => return false,
        }
        true
    }

    /// Whether each instance takes its version for the newest only up to a time at which it was.
    fn is_sound(&self) -> bool {
        self.instances.iter().all(|instance| {
            let statement = instance.freshness.statement(instance.in_force, self.now);
            let confirmed_at = statement.age.map(|age| self.now - age);
            confirmed_at.is_none_or(|at| self.newest(at) <= statement.version)
        })
    }

    /// Whether all runs of so many more events are sound.
    fn all_sound(&self, events: &[ModelEvent], left: usize) -> bool {
        self.is_sound()
            && (left == 0
                || events.iter().all(|event| {
                    let mut next = self.clone();
                    !next.apply(*event) || next.all_sound(events, left - 1)
                }))
    }
}

fn run_all(size: usize, build: BuildKind, length: usize) -> bool {
    let kinds = [
        ModelEvent::Ask,
        ModelEvent::Answer,
        ModelEvent::Arrive,
        ModelEvent::Load,
        ModelEvent::Tick,
        ModelEvent::Restart,
    ];
    let of_instances = (0..size).flat_map(|number| kinds.map(|kind| kind(number)));
    let events: Vec<_> = [ModelEvent::Write].into_iter().chain(of_instances).collect();
    ModelFleet::new(size, build).all_sound(&events, length)
}

/// Guards against a key that stays valid since an instance stated the confirmation of one tree with the version of
/// another (review, case 7).
#[rstest]
#[case::one_hears_a_reader(2, BuildKind::Current, RUN_EVENTS)]
#[case::one_hears_one_that_hears_a_reader(3, BuildKind::Current, RUN_EVENTS - 1)]
#[case::earlier_builds_that_have_just_started(2, BuildKind::EarlierKilled, RUN_EVENTS)]
fn no_instance_believes_a_version_confirmed_later_than_the_store_would_say(
    #[case] size: usize,
    #[case] build: BuildKind,
    #[case] length: usize,
) {
    assert!(run_all(size, build, length));
}

/// What remains beside earlier builds: between the load of a version and the next tick they state the one before.
#[test]
fn the_model_finds_statements_whose_parts_are_of_different_moments() {
    assert!(!run_all(2, BuildKind::Earlier, RUN_EVENTS));
}
