//! Decides how many replicas of a pool are ordered in each availability zone, ordinary ones and ones that the
//! platform may reclaim.
//!
//! The load: waves and bursts of several times the usual traffic within seconds, while a replica takes seconds to
//! start; replicas that are reclaimed a zone at a time; orders that are refused, lost or carried out late. Whoever
//! waits decides, not the load of processors.
//!
//! Times are times since boot on a clock that includes suspension.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::ids::ZoneName;

/// Share of the slots of a pool that is to be in use at its peak: bursts come sooner than replicas start.
const BUSY_SHARE: f64 = 0.44;
/// Time for which a peak of the demand counts.
const PEAK_SPAN: Duration = Duration::from_secs(15);
/// Time over which a rise of the demand is measured.
const RISE_SPAN: Duration = Duration::from_secs(2);
/// Largest share of the demand by which it is expected to rise further.
const RISE_MAX: f64 = 0.1;
/// Time with demand before replicas are taken away for the first time.
const EVIDENCE_TIME: Duration = Duration::from_secs(8);
/// Shortest time between two orders that take replicas of a zone away.
const DOWN_PERIOD: Duration = Duration::from_secs(4);
/// Time after an order for more replicas of a zone in which none are taken away there.
const UP_HOLD: Duration = Duration::from_secs(8);
/// Largest share of the replicas of a zone that one order takes away.
const DOWN_SHARE: f64 = 0.34;
/// Smallest share of the replicas of a zone that an order takes away.
const DOWN_SHARE_MIN: f64 = 0.15;
/// Shortest time between two orders for a zone.
const ORDER_PERIOD: Duration = Duration::from_secs(1);
/// Time after which an order that is not fulfilled is sent again, beside the time that a replica takes to start.
const FULFIL_TIME: Duration = Duration::from_secs(3);
/// Time for which nothing is ordered that was refused as not available.
const REFUSED_TIME: Duration = Duration::from_secs(8);

/// What the settings say about the replicas of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleSettings {
    /// Fewest replicas in a zone.
    pub minimum: u32,
    /// Most replicas in a zone.
    pub maximum: u32,
    /// Time from an order until a replica serves.
    pub boot_time: Duration,
    /// Price of a replica that may be reclaimed, as a share of that of another one; `None` if there are none.
    pub spot_price: Option<f64>,
    /// Price of a replica by zone. These are the zones in which replicas may be ordered.
    pub zone_prices: BTreeMap<ZoneName, f64>,
}

/// The kind of a replica.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ReplicaKind {
    /// One that stays until it is given back.
    Regular,
    /// A cheaper one that the platform may reclaim, with all others of its zone.
    Spot,
}

impl ReplicaKind {
    /// The name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Regular => "regular",
            Self::Spot => "spot",
        }
    }
}

/// Replicas of one kind in one zone.
pub type ReplicaSubject = (ZoneName, ReplicaKind);

/// An order for the replicas of one kind in one zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaOrder {
    /// The zone.
    pub zone: ZoneName,
    /// The kind.
    pub kind: ReplicaKind,
    /// The number of replicas that are wanted there.
    pub count: u32,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResult {
    /// It was accepted.
    Accepted,
    /// There are none to be had at the moment; nothing was done.
    Unavailable,
    /// It was not carried out and never will be.
    NotDone,
    /// It may be carried out, now or later.
    Unknown,
}

/// What a pool has and needs at a moment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ScaleView {
    /// The replicas that serve and are not leaving.
    pub replicas: BTreeMap<ReplicaSubject, u32>,
    /// Slots of all these replicas.
    pub slots: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// The last order for the replicas of one kind in one zone.
#[derive(Clone, Copy, Debug)]
struct SentOrder {
    count: u32,
    at: Duration,
    /// Whether it may still be carried out after a later one.
    is_unknown: bool,
}

/// Decides about the replicas of one pool.
#[derive(Clone, Debug, Default)]
pub struct ScalePlanner {
    view: ScaleView,
    /// The demand in requests, with its times.
    samples: VecDeque<(Duration, u32)>,
    busy_since: Option<Duration>,
    sent: BTreeMap<ReplicaSubject, SentOrder>,
    /// Until when no replicas of a zone are taken away.
    kept_until: BTreeMap<ZoneName, Duration>,
    /// Until when nothing is ordered, since there was nothing to be had.
    refused_until: BTreeMap<ReplicaSubject, Duration>,
}

impl ScalePlanner {
    /// Records what the pool has and needs now.
    pub fn observe(&mut self, view: ScaleView, now: Duration) {
        let demand = view.running + view.waiting;
        if demand > 0 {
            self.busy_since.get_or_insert(now);
        }
        self.samples.push_back((now, demand));
        while self.samples.front().is_some_and(|(at, _)| *at + PEAK_SPAN < now) {
            self.samples.pop_front();
        }
        self.view = view;
    }

    /// The numbers of replicas that the pool should have; `None` while nothing is known about its demand.
    pub fn wanted(
        &self,
        settings: &ScaleSettings,
        now: Duration,
    ) -> Option<BTreeMap<ReplicaSubject, u32>> {
        self.busy_since?;
        let present: u32 = self.view.replicas.values().sum();
        let slots = f64::from(self.view.slots) / f64::from(present.max(1));
        if slots < 1.0 {
            return None;
        }
        let demand = self.demand(settings.boot_time);
        let zones = settings.zone_prices.len().max(1) as u32;
        let needed = (demand / (slots * BUSY_SHARE)).ceil() as u32;
        let (regular, spot) = match settings.spot_price {
            Some(price) if price < 1.0 && zones > 1 => {
                // Without any that may be reclaimed, the rest still has a slot for each request.
                let regular = ((demand / slots).ceil() as u32).min(needed);
                let spot = ((needed - regular) * zones).div_ceil(zones - 1);
                let surviving = self.expected_spot(settings, now) * (zones - 1) / zones;
                (regular.max(needed.saturating_sub(surviving)), spot)
            }
            _ => (needed, 0),
        };
        let mut wanted = self.divide(ReplicaKind::Regular, regular, settings, now);
        wanted.extend(self.divide(ReplicaKind::Spot, spot, settings, now));
        for zone in settings.zone_prices.keys() {
            self.limit_zone(zone, settings, &mut wanted, now);
        }
        Some(wanted)
    }

    /// The orders to send now.
    pub fn orders(&self, settings: &ScaleSettings, now: Duration) -> Vec<ReplicaOrder> {
        let Some(wanted) = self.wanted(settings, now) else { return Vec::new() };
        let due = wanted.into_iter().filter(|(subject, count)| {
            let is_refused = self.refused_until.get(subject).is_some_and(|until| now < *until);
            !is_refused && self.is_due(subject, *count, settings, now)
        });
        due.map(|((zone, kind), count)| ReplicaOrder { zone, kind, count }).collect()
    }

    /// Whether an order may be overtaken by an earlier one of its zone that is carried out late.
    pub fn may_be_overtaken(&self, order: &ReplicaOrder) -> bool {
        let sent = self.sent.get(&(order.zone.clone(), order.kind));
        sent.is_some_and(|sent| sent.is_unknown && sent.count != order.count)
    }

    /// Records that earlier orders for the same replicas will be refused if they are carried out late.
    pub fn settle(&mut self, order: &ReplicaOrder) {
        if let Some(sent) = self.sent.get_mut(&(order.zone.clone(), order.kind)) {
            sent.is_unknown = false;
        }
    }

    /// Records what became of an order that was sent.
    pub fn ordered(&mut self, order: &ReplicaOrder, result: OrderResult, now: Duration) {
        let subject = (order.zone.clone(), order.kind);
        let present = self.view.replicas.get(&subject).copied().unwrap_or(0);
        let before = self.sent.get(&subject).map_or(present, |sent| sent.count);
        match result {
            OrderResult::Accepted | OrderResult::Unknown => {
                let hold = if order.count < before { DOWN_PERIOD } else { UP_HOLD };
                let kept_until = self.kept_until.entry(order.zone.clone()).or_default();
                *kept_until = (now + hold).max(*kept_until);
                let is_unknown = result == OrderResult::Unknown;
                self.sent.insert(subject, SentOrder { count: order.count, at: now, is_unknown });
            }
            OrderResult::Unavailable => {
                self.refused_until.insert(subject, now + REFUSED_TIME);
            }
            OrderResult::NotDone => {
                self.refused_until.insert(subject, now + ORDER_PERIOD);
            }
        }
    }

    /// The requests that the pool should have room for: the latest peak, and where the demand rises above all that
    /// was seen lately, as much as it will have risen once ordered replicas serve.
    fn demand(&self, boot_time: Duration) -> f64 {
        let peak = self.samples.iter().map(|(_, demand)| *demand).max().unwrap_or(0);
        let Some((now, latest)) = self.samples.back().copied() else { return 0.0 };
        let is_earlier = |(at, _): &&(Duration, u32)| *at + RISE_SPAN <= now;
        let earlier_peak = self.samples.iter().filter(is_earlier).map(|(_, demand)| *demand).max();
        let reference = self.samples.iter().rev().find(is_earlier);
        let rise = match (reference, earlier_peak) {
            (Some((at, earlier)), Some(earlier_peak)) if latest > earlier_peak => {
                f64::from(latest - earlier.min(&latest)) / (now - *at).as_secs_f64()
            }
            _ => 0.0,
        };
        let rise = (rise * boot_time.as_secs_f64()).min(f64::from(latest) * RISE_MAX);
        f64::from(peak).max(f64::from(latest) + rise)
    }

    /// Divides replicas of a kind among the zones where they can be had, more of them where they are cheap.
    fn divide(
        &self,
        kind: ReplicaKind,
        total: u32,
        settings: &ScaleSettings,
        now: Duration,
    ) -> BTreeMap<ReplicaSubject, u32> {
        let subject = |zone: &ZoneName| (zone.clone(), kind);
        let is_refused = |zone: &ZoneName| {
            self.refused_until.get(&subject(zone)).is_some_and(|until| now < *until)
        };
        let open = settings.zone_prices.iter().filter(|(zone, _)| !is_refused(zone));
        let weights: Vec<(&ZoneName, f64)> =
            open.map(|(zone, price)| (zone, 1.0 / price.max(f64::MIN_POSITIVE))).collect();
        let sum: f64 = weights.iter().map(|(_, weight)| weight).sum();
        let mut counts: BTreeMap<ReplicaSubject, u32> =
            settings.zone_prices.keys().map(|zone| (subject(zone), 0)).collect();
        let mut left = total;
        let mut shares: Vec<(f64, &ZoneName)> = Vec::new();
        for (zone, weight) in weights {
            let share = f64::from(total) * weight / sum;
            counts.insert(subject(zone), share as u32);
            left -= (share as u32).min(left);
            shares.push((share.fract(), zone));
        }
        shares.sort_by(|one, other| other.0.total_cmp(&one.0));
        for (_, zone) in shares.into_iter().take(left as usize) {
            *counts.entry(subject(zone)).or_default() += 1;
        }
        counts
    }

    /// Keeps the numbers of a zone within the limits, and takes replicas away in steps only.
    fn limit_zone(
        &self,
        zone: &ZoneName,
        settings: &ScaleSettings,
        wanted: &mut BTreeMap<ReplicaSubject, u32>,
        now: Duration,
    ) {
        let (regular, spot) =
            ((zone.clone(), ReplicaKind::Regular), (zone.clone(), ReplicaKind::Spot));
        let ordered = |subject: &ReplicaSubject| self.ordered_count(subject);
        let mut counts = [&regular, &spot].map(|subject| wanted.get(subject).copied().unwrap_or(0));
        for (count, subject) in counts.iter_mut().zip([&regular, &spot]) {
            *count = self.step_down(ordered(subject), *count, zone, now);
        }
        // Where there is no room for all, neither kind takes the place of replicas that are there.
        counts[1] = counts[1].min(settings.maximum.saturating_sub(ordered(&regular)));
        counts[0] = counts[0].min(settings.maximum.saturating_sub(counts[1]));
        counts[0] = counts[0].max(settings.minimum.saturating_sub(counts[1]));
        wanted.insert(regular, counts[0]);
        wanted.insert(spot, counts[1]);
    }

    /// The number to order where this many are wanted: more at once, fewer in steps.
    fn step_down(&self, ordered: u32, wanted: u32, zone: &ZoneName, now: Duration) -> u32 {
        let has_evidence = self.busy_since.is_some_and(|since| now >= since + EVIDENCE_TIME);
        let is_rested = self.kept_until.get(zone).is_none_or(|until| now >= *until);
        let share = |share: f64| (f64::from(ordered) * share).ceil() as u32;
        let less = ordered.saturating_sub(wanted);
        if less > 0 && (!has_evidence || !is_rested || less < share(DOWN_SHARE_MIN)) {
            return ordered;
        }
        wanted.max(ordered - share(DOWN_SHARE).min(ordered))
    }

    fn is_due(
        &self,
        subject: &ReplicaSubject,
        count: u32,
        settings: &ScaleSettings,
        now: Duration,
    ) -> bool {
        let present = self.view.replicas.get(subject).copied().unwrap_or(0);
        let Some(sent) = self.sent.get(subject) else { return count != present };
        if now < sent.at + ORDER_PERIOD {
            return false;
        }
        let is_overdue = now >= sent.at + settings.boot_time + FULFIL_TIME;
        count != sent.count || sent.is_unknown || present != count && is_overdue
    }

    /// The replicas that were ordered, or else are there.
    fn ordered_count(&self, subject: &ReplicaSubject) -> u32 {
        let present = self.view.replicas.get(subject).copied().unwrap_or(0);
        self.sent.get(subject).map_or(present, |sent| sent.count)
    }

    /// The replicas that may be reclaimed and serve, or soon will.
    fn expected_spot(&self, settings: &ScaleSettings, now: Duration) -> u32 {
        let expected = settings.zone_prices.keys().map(|zone| {
            let subject = (zone.clone(), ReplicaKind::Spot);
            let present = self.view.replicas.get(&subject).copied().unwrap_or(0);
            let is_starting = |sent: &&SentOrder| now < sent.at + settings.boot_time + FULFIL_TIME;
            self.sent.get(&subject).filter(is_starting).map_or(present, |sent| sent.count)
        });
        expected.sum()
    }
}
