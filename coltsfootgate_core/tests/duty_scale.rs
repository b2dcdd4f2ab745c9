//! Replays demand against the decision how many replicas are ordered.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootgate_core::duty::scale::{
    OrderResult, ReplicaKind, ReplicaOrder, ReplicaSubject, ScalePlanner, ScaleSettings, ScaleView,
};
use rstest::rstest;

const SLOTS: u32 = 16;
const BOOT_TIME: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(500);
const ZONES: [(&str, f64); 3] = [("a", 0.85), ("b", 1.2), ("c", 1.0)];
const RUN_TIME: Duration = Duration::from_secs(60);

fn settings(spot_price: Option<f64>) -> ScaleSettings {
    let zone_prices = ZONES.iter().map(|(zone, price)| ((*zone).into(), *price)).collect();
    ScaleSettings { minimum: 1, maximum: 76, boot_time: BOOT_TIME, spot_price, zone_prices }
}

/// How requests in flight develop with the time in seconds.
type Demand = fn(f64) -> u32;

fn steady(_: f64) -> u32 {
    400
}

fn wave(at: f64) -> u32 {
    (500.0 * (1.0 + 0.3 * (at / 11.0 * std::f64::consts::TAU).sin())) as u32
}

/// Two and a half times as much for nine seconds.
fn burst(at: f64) -> u32 {
    if (25.0..34.0).contains(&at) { 1000 } else { 400 }
}

fn none(_: f64) -> u32 {
    0
}

/// What comes between orders and replicas.
#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    /// When the replicas of zone `a` that may be reclaimed are, and until when none are to be had there.
    reclaim: Option<(f64, f64)>,
    /// Whether every third order is carried out although its answer is lost.
    loses_answers: bool,
}

/// Replicas that start and end as ordered.
struct Zones {
    present: BTreeMap<ReplicaSubject, u32>,
    starting: Vec<(Duration, ReplicaSubject, u32)>,
    orders: u32,
    reversals: u32,
    last: BTreeMap<ReplicaSubject, u32>,
}

#[derive(Debug)]
struct Outcome {
    /// Time-weighted share of the demand that found a slot.
    served: f64,
    /// Price of all replicas over the run, in replica-seconds.
    cost: f64,
    orders: u32,
}

impl Zones {
    fn new(each: u32) -> Self {
        let present =
            ZONES.iter().map(|(zone, _)| (((*zone).into(), ReplicaKind::Regular), each)).collect();
        Self { present, starting: Vec::new(), orders: 0, reversals: 0, last: BTreeMap::new() }
    }

    fn start_due(&mut self, now: Duration) {
        let (due, later) = self.starting.drain(..).partition(|(at, ..)| *at <= now);
        self.starting = later;
        let due: Vec<(Duration, ReplicaSubject, u32)> = due;
        for (_, subject, count) in due {
            *self.present.entry(subject).or_default() += count;
        }
    }

    fn order(&mut self, order: &ReplicaOrder, now: Duration) {
        let subject = (order.zone.clone(), order.kind);
        self.orders += 1;
        let before = self.last.insert(subject.clone(), order.count).unwrap_or(0);
        self.reversals += u32::from(before > 0 && order.count < before);
        let starting = self.starting.iter().filter(|(_, one, _)| *one == subject);
        let coming: u32 = starting.map(|(_, _, count)| count).sum();
        let present = self.present.entry(subject.clone()).or_default();
        if order.count < *present + coming {
            self.starting.retain(|(_, one, _)| *one != subject);
            *present = order.count.min(*present);
        } else {
            let more = order.count - *present - coming;
            self.starting.push((now + BOOT_TIME, subject, more));
        }
    }

    fn total(&self) -> u32 {
        self.present.values().sum()
    }

    fn cost(&self, spot_price: f64) -> f64 {
        let price = |zone: &str| {
            ZONES.iter().find(|(one, _)| *one == zone).map_or(1.0, |(_, price)| *price)
        };
        let kind = |kind: ReplicaKind| if kind == ReplicaKind::Spot { spot_price } else { 1.0 };
        self.present
            .iter()
            .map(|((zone, one), count)| price(zone) * kind(*one) * f64::from(*count))
            .sum()
    }
}

fn run(demand: Demand, spot_price: Option<f64>, trouble: Trouble) -> Outcome {
    let (settings, mut planner, mut zones) =
        (settings(spot_price), ScalePlanner::default(), Zones::new(37));
    let (mut now, mut offered, mut served, mut cost) = (Duration::ZERO, 0.0, 0.0, 0.0);
    while now < RUN_TIME {
        now += STEP;
        let at = now.as_secs_f64();
        zones.start_due(now);
        let spot_of_a: ReplicaSubject = ("a".into(), ReplicaKind::Spot);
        let is_dry = trouble.reclaim.is_some_and(|(from, until)| (from..until).contains(&at));
        if is_dry {
            zones.present.remove(&spot_of_a);
            zones.starting.retain(|(_, subject, _)| *subject != spot_of_a);
        }
        let (wanted, slots) = (demand(at), zones.total() * SLOTS);
        offered += f64::from(wanted);
        served += f64::from(wanted.min(slots));
        cost += zones.cost(spot_price.unwrap_or(1.0)) * STEP.as_secs_f64();
        let running = wanted.min(slots);
        let view = ScaleView {
            replicas: zones.present.clone(),
            slots,
            running,
            waiting: wanted - running,
        };
        planner.observe(view, now);
        for order in planner.orders(&settings, now) {
            let is_spot_of_a = (order.zone.clone(), order.kind) == spot_of_a;
            let result = if is_dry && is_spot_of_a && order.count > 0 {
                OrderResult::Unavailable
            } else {
                zones.order(&order, now);
                let is_lost = trouble.loses_answers && zones.orders % 3 == 0;
                if is_lost { OrderResult::Unknown } else { OrderResult::Accepted }
            };
            planner.ordered(&order, result, now);
        }
    }
    Outcome { served: served / offered.max(1.0), cost, orders: zones.orders }
}

/// Orders what the latest demand needs, at most and at least.
fn run_reactive(demand: Demand) -> Outcome {
    const BUSY_SHARE: f64 = 0.6;
    let mut zones = Zones::new(37);
    let (mut now, mut offered, mut served, mut cost) = (Duration::ZERO, 0.0, 0.0, 0.0);
    while now < RUN_TIME {
        now += STEP;
        zones.start_due(now);
        let (wanted, slots) = (demand(now.as_secs_f64()), zones.total() * SLOTS);
        offered += f64::from(wanted);
        served += f64::from(wanted.min(slots));
        cost += zones.cost(1.0) * STEP.as_secs_f64();
        let each = f64::from(wanted) / (f64::from(SLOTS) * BUSY_SHARE) / ZONES.len() as f64;
        for (zone, _) in ZONES {
            let order = ReplicaOrder {
                zone: zone.into(),
                kind: ReplicaKind::Regular,
                count: each.ceil() as u32,
            };
            zones.order(&order, now);
        }
    }
    Outcome { served: served / offered, cost, orders: zones.orders }
}

/// The price of the replicas that are there at the start, over a run.
fn fixed_cost() -> f64 {
    Zones::new(37).cost(1.0) * RUN_TIME.as_secs_f64()
}

const CALM: Trouble = Trouble { reclaim: None, loses_answers: false };
const RECLAIM: Trouble = Trouble { reclaim: Some((30.0, 40.0)), loses_answers: false };
const LOST: Trouble = Trouble { reclaim: None, loses_answers: true };

#[rstest]
#[case::steady(steady, None, CALM, 0.75)]
#[case::wave(wave, None, CALM, 0.95)]
#[case::burst(burst, None, CALM, 0.95)]
#[case::steady_with_spot(steady, Some(0.22), CALM, 0.65)]
#[case::burst_with_spot(burst, Some(0.22), CALM, 0.80)]
#[case::spot_reclaimed(wave, Some(0.22), RECLAIM, 0.80)]
#[case::spot_reclaimed_in_a_burst(burst, Some(0.22), RECLAIM, 0.80)]
#[case::lost_answers(wave, Some(0.22), LOST, 0.80)]
fn the_demand_is_met_for_less(
    #[case] demand: Demand,
    #[case] spot_price: Option<f64>,
    #[case] trouble: Trouble,
    #[case] cost_max: f64,
) {
    let outcome = run(demand, spot_price, trouble);
    let cost = outcome.cost / fixed_cost();
    assert!(outcome.served > 0.985, "{outcome:?}, {cost:.2} of the cost of a fixed number");
    assert!(cost < cost_max, "{outcome:?}, {cost:.2} of the cost of a fixed number");
    assert!(outcome.orders < 60, "{outcome:?}");
}

/// What the memory of peaks and the room for bursts are for.
#[rstest]
#[case::wave(wave)]
#[case::burst(burst)]
fn less_demand_is_missed_than_by_reacting_alone(#[case] demand: Demand) {
    let (planned, reactive) = (run(demand, None, CALM), run_reactive(demand));
    println!("planned {planned:?}, reactive {reactive:?}, fixed {:.0}", fixed_cost());
    assert!(planned.served > reactive.served, "{planned:?}, {reactive:?}");
}

/// Without traffic nothing is known about the demand, and nothing is ordered.
#[test]
fn nothing_is_ordered_before_there_is_traffic() {
    assert_eq!(run(none, Some(0.22), CALM).orders, 0);
}

#[test]
fn an_order_that_may_be_carried_out_late_is_known() {
    let (settings, mut planner) = (settings(None), ScalePlanner::default());
    let regular = |zone: &str| (zone.into(), ReplicaKind::Regular);
    let replicas = ZONES.iter().map(|(zone, _)| (regular(zone), 1)).collect();
    let view = ScaleView { replicas, slots: 3 * SLOTS, running: 48, waiting: 100 };
    let now = Duration::from_secs(1);
    planner.observe(view, now);
    let orders = planner.orders(&settings, now);
    let order = orders.into_iter().next().unwrap();
    assert!(!planner.may_be_overtaken(&order));
    planner.ordered(&order, OrderResult::Unknown, now);
    let other = ReplicaOrder { count: order.count + 1, ..order.clone() };
    assert!(planner.may_be_overtaken(&other));
    assert!(!planner.may_be_overtaken(&order));
    planner.settle(&other);
    assert!(!planner.may_be_overtaken(&other));
}

#[test]
fn limits_hold_in_every_zone() {
    let tight = ScaleSettings { minimum: 2, maximum: 5, ..settings(Some(0.22)) };
    let mut planner = ScalePlanner::default();
    let regular = |zone: &str| (zone.into(), ReplicaKind::Regular);
    let replicas = ZONES.iter().map(|(zone, _)| (regular(zone), 3)).collect();
    let view = ScaleView { replicas, slots: 9 * SLOTS, running: 144, waiting: 5000 };
    planner.observe(view, Duration::from_secs(1));
    let wanted = planner.wanted(&tight, Duration::from_secs(1)).unwrap();
    for (zone, _) in ZONES {
        let of_zone = wanted.iter().filter(|((one, _), _)| **one == *zone);
        let count: u32 = of_zone.map(|(_, count)| count).sum();
        assert!((2..=5).contains(&count), "{wanted:?}");
    }
}
