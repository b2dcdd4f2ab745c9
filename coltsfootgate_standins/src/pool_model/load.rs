//! The requests that arrive in a run.

use std::time::Duration;

use coltsfootgate_core::prompt::PromptPart;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::ModelTime;

/// A log-normal distribution of sizes with an upper bound.
#[derive(Clone, Copy, Debug)]
pub struct SizeSpread {
    /// The mean, before the bound applies.
    pub mean: f64,
    /// The standard deviation of the logarithm.
    pub deviation: f64,
    /// The upper bound.
    pub max: f64,
}

impl SizeSpread {
    fn draw(&self, random: &mut StdRng) -> f64 {
        let mean_log = self.mean.ln() - self.deviation * self.deviation / 2.0;
        (mean_log + self.deviation * normal(random)).exp().min(self.max)
    }
}

/// One level of prompt parts that requests share; each request has one of them.
#[derive(Clone, Copy, Debug)]
pub struct PartLevel {
    /// Number of different parts.
    pub parts: u32,
    /// Length of a part, in tokens.
    pub tokens: SizeSpread,
    /// Exponent by which the use of parts falls with their number; 0 uses all alike.
    pub skew: f64,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct ClassProfile {
    /// The name of the class.
    pub name: &'static str,
    /// The tier of the class, 1 to 7.
    pub tier: u8,
    /// Requests a second without bursts.
    pub rate: f64,
    /// The shared parts at the start of the prompt.
    pub levels: Vec<PartLevel>,
    /// The part that belongs to one request alone, in tokens.
    pub own_tokens: SizeSpread,
    /// Events of an answer.
    pub events: SizeSpread,
    /// Target for the first event.
    pub first_event: Duration,
    /// Longest pause between events of an answer that is on time.
    pub pause: Duration,
    /// Time for which callers wait.
    pub deadline: Duration,
}

/// A multiple of the usual traffic for some time.
#[derive(Clone, Copy, Debug)]
pub struct LoadBurst {
    /// Its start.
    pub start: ModelTime,
    /// Its length.
    pub length: Duration,
    /// The class that it applies to; all of them if `None`.
    pub class: Option<usize>,
    /// The multiple of the usual rate.
    pub factor: f64,
}

/// A request of a run.
#[derive(Clone, Debug)]
pub struct ModelRequest {
    /// When it arrives at its entry.
    pub arrives: ModelTime,
    /// The index of its class.
    pub class: usize,
    /// The index of its entry instance.
    pub entry: usize,
    /// All parts of its prompt; the last one is its own.
    pub parts: Vec<PromptPart>,
    /// Events of its answer.
    pub events: u32,
}

impl ModelRequest {
    /// Length of the prompt, in tokens.
    pub fn tokens(&self) -> u32 {
        self.parts.iter().map(|part| part.tokens).sum()
    }
}

/// Generates the requests of a run in the order of their arrival.
pub fn generate_load(
    classes: &[ClassProfile],
    bursts: &[LoadBurst],
    entries: usize,
    length: Duration,
    seed: u64,
) -> Vec<ModelRequest> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for (index, class) in classes.iter().enumerate() {
        let lengths = part_lengths(class, &mut random);
        let mut at = 0.0;
        loop {
            let now = Duration::from_secs_f64(at);
            let factor: f64 = bursts
                .iter()
                .filter(|burst| burst.covers(index, now))
                .map(|burst| burst.factor)
                .product();
            at += exponential(&mut random) / (class.rate * factor);
            if at >= length.as_secs_f64() {
                break;
            }
            requests.push(draw_request(index, class, &lengths, at, entries, &mut random));
        }
    }
    requests.sort_by_key(|request| request.arrives);
    requests
}

impl LoadBurst {
    fn covers(&self, class: usize, now: ModelTime) -> bool {
        self.class.is_none_or(|own| own == class)
            && (self.start..self.start + self.length).contains(&now)
    }
}

/// The length of each part of each level, in tokens.
fn part_lengths(class: &ClassProfile, random: &mut StdRng) -> Vec<Vec<u32>> {
    let level = |level: &PartLevel, random: &mut StdRng| {
        (0..level.parts).map(|_| level.tokens.draw(random).max(1.0) as u32).collect()
    };
    class.levels.iter().map(|one| level(one, random)).collect()
}

fn draw_request(
    index: usize,
    class: &ClassProfile,
    lengths: &[Vec<u32>],
    at: f64,
    entries: usize,
    random: &mut StdRng,
) -> ModelRequest {
    let mut parts = Vec::new();
    let mut path = index as u64 + 1;
    // A part belongs to one part of the level before, so the deepest one determines all.
    let deepest = class.levels.last().map(|level| draw_rank(level, random));
    for (depth, (level, lengths)) in class.levels.iter().zip(lengths).enumerate() {
        let chosen = deepest.unwrap_or(0) % level.parts;
        path = path << 20 | u64::from(chosen) << 2 | depth as u64;
        parts.push(PromptPart { id: path, tokens: lengths[chosen as usize] });
    }
    let own = class.own_tokens.draw(random).max(1.0) as u32;
    parts.push(PromptPart { id: random.random::<u64>() | 1 << 63, tokens: own });
    ModelRequest {
        arrives: Duration::from_secs_f64(at),
        class: index,
        entry: random.random_range(0..entries),
        parts,
        events: class.events.draw(random).max(1.0).round() as u32,
    }
}

/// Draws a part of a level, of which those with a low number are used more often.
fn draw_rank(level: &PartLevel, random: &mut StdRng) -> u32 {
    let uniform: f64 = random.random();
    let share = uniform.powf(1.0 / (1.0 - level.skew));
    ((share * f64::from(level.parts)) as u32).min(level.parts - 1)
}

/// A draw from the standard normal distribution, by the method of Box and Muller.
fn normal(random: &mut StdRng) -> f64 {
    let (one, other): (f64, f64) = (1.0 - random.random::<f64>(), random.random());
    (-2.0 * one.ln()).sqrt() * (std::f64::consts::TAU * other).cos()
}

fn exponential(random: &mut StdRng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}
