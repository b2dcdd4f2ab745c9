//! Counts the requests that began over the whole fleet, by customer and by window of true time.
//!
//! The load: hundreds of instances, each with a few requests a second of up to a thousand customers. The failures:
//! half of the instances lose power at once, calls between instances are lost, clocks of day differ by seconds and
//! jump, and the instance that adds up changes within a window.
//!
//! Each instance keeps what it counted in short slots for a while ([`UsageLog`]); whoever adds up fetches the slots
//! that it does not have yet ([`UsageMeter`]). A call that is lost or doubled changes nothing. Windows are cut by the
//! median of the clocks of day.
//!
//! Times are times since boot of the instance that reads them, on a clock that includes suspension.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use crate::ids::{CustomerId, InstanceId};

/// Length of a slot.
pub const SLOT_TIME: Duration = Duration::from_millis(100);
/// How long slots are kept: a new holder fetches the windows that an earlier one did not report.
pub const LOG_RETENTION: Duration = Duration::from_secs(30);
/// Age from which on a statement about the clock of day is ignored.
const CLOCK_SIGHT_MAX: Duration = Duration::from_secs(5);
/// Number of windows whose counts are kept.
const WINDOWS_MAX: usize = 16;
/// How long an instance that no longer answers is remembered.
const SOURCE_RETENTION: Duration = Duration::from_secs(60);

/// Requests by customer.
pub type UsageCounts = BTreeMap<CustomerId, u64>;
/// Number of a window: window `k` begins `k` window lengths after the start of 1970.
pub type WindowNumber = u64;
/// Number of a slot: the time since boot at its start, in lengths of a slot.
pub type SlotNumber = u64;

/// The requests that began in one slot.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UsageSlot {
    /// The slot.
    pub number: SlotNumber,
    /// The requests, by customer.
    pub counts: Vec<(CustomerId, u32)>,
}

/// What an instance counted, by slots.
#[derive(Clone, Debug)]
pub struct UsageLog {
    /// Distinguishes the process from others at its address.
    incarnation: u64,
    started: Duration,
    slots: VecDeque<UsageSlot>,
}

/// The slots that another instance does not have yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UsageExtract {
    /// Distinguishes the process from others at its address.
    pub incarnation: u64,
    /// The first slot that a later extract begins with; all before it are complete.
    pub next: SlotNumber,
    /// Time since the start of slot `next`.
    pub next_age: Duration,
    /// Time since the beginning of what the log knows.
    pub log_age: Duration,
    /// The clock of day of the instance when it made the extract, as time since 1970.
    pub wall_time: Duration,
    /// The slots in which requests began, oldest first.
    pub slots: Vec<UsageSlot>,
}

impl UsageLog {
    /// Creates an empty log of a process that starts now.
    pub fn new(incarnation: u64, now: Duration) -> Self {
        Self { incarnation, started: now, slots: VecDeque::new() }
    }

    /// Counts a request of a customer that began.
    pub fn record(&mut self, customer: &CustomerId, now: Duration) {
        let number = slot_number(now);
        self.expire(now);
        if self.slots.back().is_none_or(|slot| slot.number < number) {
            self.slots.push_back(UsageSlot { number, counts: Vec::new() });
        }
        let Some(slot) = self.slots.back_mut() else { return };
        match slot.counts.iter_mut().find(|(known, _)| known == customer) {
            Some((_, count)) => *count += 1,
            None => slot.counts.push((customer.clone(), 1)),
        }
    }

    /// The complete slots from `since` on; all of them for someone who knows another process at this address.
    pub fn extract(
        &mut self,
        known: Option<(u64, SlotNumber)>,
        now: Duration,
        wall_time: Duration,
    ) -> UsageExtract {
        self.expire(now);
        let next = slot_number(now);
        let since = known.filter(|(incarnation, _)| *incarnation == self.incarnation);
        let since = since.map_or(0, |(_, since)| since);
        let complete = self.slots.iter().filter(|slot| (since..next).contains(&slot.number));
        UsageExtract {
            incarnation: self.incarnation,
            next,
            next_age: now.saturating_sub(slot_start(next)),
            log_age: now.saturating_sub(self.started).min(LOG_RETENTION),
            wall_time,
            slots: complete.cloned().collect(),
        }
    }

    fn expire(&mut self, now: Duration) {
        let oldest = slot_number(now.saturating_sub(LOG_RETENTION));
        while self.slots.front().is_some_and(|slot| slot.number < oldest) {
            self.slots.pop_front();
        }
    }
}

fn slot_number(time: Duration) -> SlotNumber {
    (time.as_nanos() / SLOT_TIME.as_nanos()) as SlotNumber
}

fn slot_start(number: SlotNumber) -> Duration {
    Duration::from_nanos(number.saturating_mul(SLOT_TIME.as_nanos() as u64))
}

/// What is known of the log of one instance.
#[derive(Clone, Copy, Debug)]
struct UsageSource {
    incarnation: u64,
    next: SlotNumber,
    /// Since when everything that the instance counted is known.
    covered_since: Duration,
    /// Until when everything that the instance counted is known.
    known_until: Duration,
    /// Time from the start of 1970 to the boot of this machine, by the clock of the instance.
    clock_offset: Duration,
    heard: Duration,
}

/// Adds up what the instances counted.
#[derive(Clone, Debug)]
pub struct UsageMeter {
    window: Duration,
    sources: HashMap<InstanceId, UsageSource>,
    windows: BTreeMap<WindowNumber, UsageCounts>,
}

/// How much of a window is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowCoverage {
    /// Whether each of the instances in question was heard after the end of the window.
    pub is_complete: bool,
    /// Share of the instances in question of which a part of the window is not known.
    pub missing_share: f64,
}

impl UsageMeter {
    /// Creates a meter of windows of this length.
    pub fn new(window: Duration) -> Self {
        Self { window, sources: HashMap::new(), windows: BTreeMap::new() }
    }

    /// The process and the first slot of it that are not known yet of an instance.
    pub fn position(&self, instance: &InstanceId) -> Option<(u64, SlotNumber)> {
        self.sources.get(instance).map(|source| (source.incarnation, source.next))
    }

    /// Adds an extract that was requested at `sent` and arrived at `now`.
    pub fn add(
        &mut self,
        instance: &InstanceId,
        extract: UsageExtract,
        sent: Duration,
        now: Duration,
    ) {
        let made = sent + now.saturating_sub(sent) / 2;
        let next_start = made.saturating_sub(extract.next_age);
        let known = self.sources.get(instance).copied();
        let same = known.filter(|source| source.incarnation == extract.incarnation);
        let first = same.map_or(0, |source| source.next);
        // What an earlier process at the address counted is known as far as it was fetched.
        let covered_since =
            known.map_or(made.saturating_sub(extract.log_age), |source| source.covered_since);
        let source = UsageSource {
            incarnation: extract.incarnation,
            next: extract.next.max(first),
            covered_since,
            known_until: next_start,
            clock_offset: extract.wall_time.saturating_sub(made),
            heard: now,
        };
        self.sources.insert(instance.clone(), source);
        self.sources.retain(|_, source| now < source.heard + SOURCE_RETENTION);
        let new =
            extract.slots.into_iter().filter(|slot| (first..extract.next).contains(&slot.number));
        for slot in new {
            let slots_back = u32::try_from(extract.next - slot.number).unwrap_or(u32::MAX);
            let start = next_start.saturating_sub(SLOT_TIME.saturating_mul(slots_back));
            self.add_slot(slot.counts, start + SLOT_TIME / 2, now);
        }
    }

    fn add_slot(&mut self, counts: Vec<(CustomerId, u32)>, time: Duration, now: Duration) {
        let Some(true_time) = self.true_time(time, now) else { return };
        let window = self.windows.entry(window_number(true_time, self.window)).or_default();
        for (customer, count) in counts {
            *window.entry(customer).or_default() += u64::from(count);
        }
        while self.windows.len() > WINDOWS_MAX {
            self.windows.pop_first();
        }
    }

    /// The time since 1970 at a time since boot, by the median of the clocks that were heard lately.
    pub fn true_time(&self, time: Duration, now: Duration) -> Option<Duration> {
        let sources = self.sources.values();
        let recent = sources.filter(|source| now <= source.heard + CLOCK_SIGHT_MAX);
        let mut offsets: Vec<Duration> = recent.map(|source| source.clock_offset).collect();
        offsets.sort();
        offsets.get(offsets.len() / 2).map(|offset| *offset + time)
    }

    /// How many instances were heard lately.
    pub fn heard(&self, now: Duration) -> usize {
        let sources = self.sources.values();
        sources.filter(|source| now <= source.heard + CLOCK_SIGHT_MAX).count()
    }

    /// The window of a time since 1970.
    pub fn window_at(&self, true_time: Duration) -> WindowNumber {
        window_number(true_time, self.window)
    }

    /// The time since 1970 at which a window ends.
    pub fn window_end(&self, window: WindowNumber) -> Duration {
        Duration::from_nanos(
            (window + 1).saturating_mul(u64::try_from(self.window.as_nanos()).unwrap_or(u64::MAX)),
        )
    }

    /// What was counted in a window so far.
    pub fn counts(&self, window: WindowNumber) -> UsageCounts {
        self.windows.get(&window).cloned().unwrap_or_default()
    }

    /// How much of a window is known of some instances.
    pub fn coverage<'a>(
        &self,
        window: WindowNumber,
        instances: impl IntoIterator<Item = &'a InstanceId>,
        now: Duration,
    ) -> WindowCoverage {
        let unknown = WindowCoverage { is_complete: false, missing_share: 1.0 };
        let Some(now_true) = self.true_time(now, now) else { return unknown };
        let end = self.window_end(window);
        let (to_end, to_start) =
            (now_true.saturating_sub(end), now_true.saturating_sub(end) + self.window);
        let (end, start) = (now.saturating_sub(to_end), now.saturating_sub(to_start));
        let (mut total, mut late, mut missing) = (0_u32, 0_u32, 0_u32);
        for instance in instances {
            total += 1;
            match self.sources.get(instance) {
                Some(source) => {
                    late += u32::from(source.known_until < end);
                    let is_missing = source.covered_since > start || source.known_until < end;
                    missing += u32::from(is_missing);
                }
                None => (late, missing) = (late + 1, missing + 1),
            }
        }
        let missing_share = f64::from(missing) / f64::from(total.max(1));
        WindowCoverage { is_complete: late == 0, missing_share }
    }
}

fn window_number(true_time: Duration, window: Duration) -> WindowNumber {
    (true_time.as_nanos() / window.as_nanos().max(1)) as WindowNumber
}
