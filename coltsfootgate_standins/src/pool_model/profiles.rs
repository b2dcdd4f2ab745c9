//! Two pools of more than a hundred engines with their fleets.

use std::time::Duration;

use super::{
    Assignment, ClassProfile, ControlCosts, EngineProfile, FleetProfile, InstanceProfile,
    PartLevel, SizeSpread,
};

/// What messages and answers cost.
const COSTS: ControlCosts = ControlCosts {
    message: Duration::from_micros(60),
    decision: Duration::from_micros(30),
    request: Duration::from_micros(700),
    event: Duration::from_micros(30),
    ask_bytes: 500,
    message_bytes: 120,
    link_delay: Duration::from_micros(500),
};

/// Long notes, questions and short digests on 120 engines of 16 slots, behind 200 instances.
pub fn long_answers(assignment: Assignment) -> FleetProfile {
    let notes = ClassProfile {
        name: "notes",
        tier: 3,
        rate: 160.0,
        levels: vec![level(3, 500.0, 0.4), level(900, 4_900.0, 0.7)],
        own_tokens: size(6_600.0, 1.4, 55_000.0),
        events: size(55.0, 0.45, 160.0),
        first_event: Duration::from_secs(2),
        pause: Duration::from_secs(1),
        deadline: Duration::from_secs(12),
    };
    let questions = ClassProfile {
        name: "questions",
        tier: 1,
        rate: 140.0,
        levels: vec![level(15, 120.0, 0.4), level(700, 80.0, 0.7)],
        own_tokens: size(630.0, 1.0, 3_300.0),
        events: size(42.0, 0.7, 140.0),
        first_event: Duration::from_millis(300),
        pause: Duration::from_millis(250),
        deadline: Duration::from_secs(10),
    };
    let digests = ClassProfile {
        name: "digests",
        tier: 2,
        rate: 200.0,
        levels: vec![level(15, 340.0, 0.4), level(1_400, 230.0, 0.7)],
        own_tokens: size(1_800.0, 1.3, 6_900.0),
        events: size(3.2, 1.4, 13.0),
        first_event: Duration::from_millis(500),
        pause: Duration::from_millis(400),
        deadline: Duration::from_millis(2_500),
    };
    let engine = EngineProfile {
        slots: 16,
        queue: 32,
        step: Duration::from_micros(2_900),
        step_per_request: Duration::from_micros(100),
        prefill_rate: 55_000.0,
        chunk: 2_048,
        kv_cache_tokens: 440_000,
        event_tokens: 7,
    };
    fleet(engine, 120, vec![notes, questions, digests], (15, 185, 5), assignment)
}

/// Reviews of long documents beside chats on 140 engines of 12 slots, behind 84 instances.
pub fn review_and_chat(assignment: Assignment) -> FleetProfile {
    let reviews = ClassProfile {
        name: "reviews",
        tier: 2,
        rate: 390.0,
        levels: vec![level(4, 2_500.0, 0.4), level(2_400, 3_800.0, 0.7)],
        own_tokens: size(2_900.0, 1.0, 40_000.0),
        events: size(9.0, 1.4, 35.0),
        first_event: Duration::from_millis(800),
        pause: Duration::from_millis(500),
        deadline: Duration::from_secs(5),
    };
    let chats = ClassProfile {
        name: "chats",
        tier: 1,
        rate: 170.0,
        levels: vec![level(40, 120.0, 0.4), level(1_100, 80.0, 0.7)],
        own_tokens: size(630.0, 1.0, 3_300.0),
        events: size(49.0, 0.7, 160.0),
        first_event: Duration::from_millis(400),
        pause: Duration::from_millis(300),
        deadline: Duration::from_secs(15),
    };
    let engine = EngineProfile {
        slots: 12,
        queue: 24,
        step: Duration::from_micros(4_300),
        step_per_request: Duration::from_micros(150),
        prefill_rate: 37_000.0,
        chunk: 2_048,
        kv_cache_tokens: 280_000,
        event_tokens: 6,
    };
    fleet(engine, 140, vec![reviews, chats], (8, 76, 4), assignment)
}

/// A fleet with `strong` instances of half a core and `weak` ones of an eighth.
fn fleet(
    engine: EngineProfile,
    engines: usize,
    classes: Vec<ClassProfile>,
    (strong, weak, zones): (usize, usize, usize),
    assignment: Assignment,
) -> FleetProfile {
    let instance = |processor_share: f64| {
        move |number: usize| InstanceProfile { processor_share, zone: number % zones }
    };
    let instances = (0..strong).map(instance(0.5)).chain((0..weak).map(instance(0.125)));
    let instances = instances.collect();
    FleetProfile { instances, engines, engine, classes, costs: COSTS, assignment, freeze: None }
}

fn size(mean: f64, deviation: f64, max: f64) -> SizeSpread {
    SizeSpread { mean, deviation, max }
}

fn level(parts: u32, tokens: f64, deviation: f64) -> PartLevel {
    PartLevel { parts, tokens: size(tokens, deviation, 3.0 * tokens), skew: 0.3 }
}
