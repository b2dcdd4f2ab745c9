//! What an owner knows of the work in front of a model engine.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::event::EngineReservation;
use crate::ids::{GrantId, InstanceId};
use crate::prompt::PromptLoad;

/// Tokens of prompts that an engine is taken to read in a second before any answer showed it.
const FIRST_READ_RATE: f64 = 30_000.0;
/// Bounds of what is believed of that rate.
const READ_RATE_BOUNDS: (f64, f64) = (500.0, 2_000_000.0);
/// Weight of one answer in the rate.
const RATE_WEIGHT: f64 = 0.15;
/// Prompts shorter than this say little about the rate.
const RATE_TOKENS_MIN: u32 = 500;
/// Time that an engine needs for the first token beside reading.
const FIRST_TOKEN_OVERHEAD: Duration = Duration::from_millis(15);
/// Part of its expected time after which a first token is overdue, and the time added to that.
const DUE_SHARE: f64 = 2.0;
const DUE_TIME: Duration = Duration::from_millis(200);
/// Time in which the share of long prompts fades to a third.
const SHARE_FADE: Duration = Duration::from_millis(2_500);
/// Tokens that an engine of unknown memory is taken to cache.
const CACHED_TOKENS: u64 = 200_000;

/// Identifies a grant at an owner.
pub type GrantKey = (InstanceId, GrantId);

/// A prompt that was sent and whose first token was not seen yet.
#[derive(Clone, Debug)]
struct ReadingPrompt {
    grant: GrantKey,
    tokens: u32,
    sent: Instant,
    expected: Duration,
}

/// The prompts, running requests and cached parts of one engine, by the owner's own grants.
#[derive(Clone, Debug)]
pub struct EngineLoad {
    memory: Option<u64>,
    rate: f64,
    reading: VecDeque<ReadingPrompt>,
    /// When the first of the prompts began to be read.
    reading_since: Option<Instant>,
    running: HashMap<GrantKey, EngineReservation>,
    /// How many running requests allow each time between two tokens.
    paces: BTreeMap<Duration, u32>,
    reserved: u64,
    cache: PartCache,
    read_share: f64,
    share_at: Option<Instant>,
}

impl EngineLoad {
    /// Makes the load of an engine that holds nothing; `memory` is in tokens.
    pub fn new(memory: Option<u64>) -> Self {
        Self {
            memory,
            rate: FIRST_READ_RATE,
            reading: VecDeque::new(),
            reading_since: None,
            running: HashMap::new(),
            paces: BTreeMap::new(),
            reserved: 0,
            cache: PartCache::default(),
            read_share: 0.0,
            share_at: None,
        }
    }

    /// Takes over a changed size of the memory.
    pub fn set_kv_cache_tokens(&mut self, memory: Option<u64>) {
        self.memory = memory;
    }

    /// Tokens of a prompt that the engine would have to read.
    pub fn unread(&self, prompt: &PromptLoad) -> u32 {
        let cached = self.cache.cached(prompt);
        prompt.tokens.max(prompt.part_tokens()).saturating_sub(cached)
    }

    /// Tokens of the parts that a prompt shares with others and that the engine has not kept.
    ///
    /// The last part is the request's own.
    pub fn unread_shared(&self, prompt: &PromptLoad) -> u32 {
        let Some((last, _)) = prompt.parts.split_last() else { return 0 };
        let shared = prompt.part_tokens().saturating_sub(last.tokens);
        shared.saturating_sub(self.cache.cached(prompt))
    }

    /// Time that reading these tokens takes.
    pub fn read_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.rate)
    }

    /// Time until the engine has read all prompts that were sent to it.
    pub fn backlog(&self, now: Instant) -> Duration {
        let tokens = self.reading.iter().map(|prompt| prompt.tokens).sum();
        let Some(since) = self.reading_since else { return Duration::ZERO };
        let first = self.reading.front().map_or(0, |prompt| prompt.tokens);
        let done = now.saturating_duration_since(since).min(self.read_time(first));
        self.read_time(tokens).saturating_sub(done) + self.overdue(now)
    }

    /// For how long the first token of the oldest prompt has been due without coming.
    ///
    /// An engine that gave none for a while is expected to give none for as long again.
    fn overdue(&self, now: Instant) -> Duration {
        let Some(oldest) = self.reading.front() else { return Duration::ZERO };
        let due = oldest.expected.mul_f64(DUE_SHARE) + DUE_TIME;
        now.saturating_duration_since(oldest.sent).saturating_sub(due)
    }

    /// Whether the tokens of one more request fit into the memory beside those that run.
    pub fn has_room(&self, prompt: &PromptLoad) -> bool {
        let needed = prompt.memory_tokens();
        // A request that is larger than the memory is left to the engine to refuse.
        self.memory.is_none_or(|memory| self.running.is_empty() || self.reserved + needed <= memory)
    }

    /// Share of its time that the engine spent reading lately, 0 to 1.
    pub fn read_share(&self, now: Instant) -> f64 {
        let elapsed = self.share_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.read_share * (-elapsed.as_secs_f64() / SHARE_FADE.as_secs_f64()).exp()
    }

    /// How many running requests a stop of this length would delay, each counted by how much.
    ///
    /// A stop shorter than half of what a request allows between two tokens is not noticed.
    pub fn delayed_by(&self, stop: Duration) -> f64 {
        let delayed =
            |(pace, count): (&Duration, &u32)| delay_share(stop, *pace) * f64::from(*count);
        self.paces.iter().map(delayed).sum()
    }

    /// Counts a request that is sent to the engine.
    pub fn granted(&mut self, grant: GrantKey, prompt: &PromptLoad, now: Instant) {
        let tokens = self.unread(prompt);
        let expected = self.backlog(now) + self.read_time(tokens) + FIRST_TOKEN_OVERHEAD;
        self.add_share(self.read_time(tokens), now);
        if self.reading.is_empty() {
            self.reading_since = Some(now);
        }
        self.reading.push_back(ReadingPrompt { grant: grant.clone(), tokens, sent: now, expected });
        self.note_running(grant, prompt.into());
        let room = self.memory.map_or(CACHED_TOKENS, |memory| memory.saturating_sub(self.reserved));
        self.cache.note(prompt, room);
    }

    /// Learns that the first token of a request came.
    pub fn first_token(&mut self, grant: &GrantKey, now: Instant) {
        let Some(position) = self.reading.iter().position(|prompt| prompt.grant == *grant) else {
            return;
        };
        let Some(prompt) = self.reading.remove(position) else { return };
        if position == 0 {
            self.reading_since = (!self.reading.is_empty()).then_some(now);
        }
        if prompt.tokens >= RATE_TOKENS_MIN {
            self.learn_rate(prompt.expected, now.saturating_duration_since(prompt.sent));
        }
    }

    /// Forgets a request that ended.
    pub fn ended(&mut self, grant: &GrantKey, now: Instant) {
        if let Some(position) = self.reading.iter().position(|prompt| prompt.grant == *grant) {
            self.reading.remove(position);
            if position == 0 {
                self.reading_since = (!self.reading.is_empty()).then_some(now);
            }
        }
        if let Some(running) = self.running.remove(grant) {
            self.forget_running(&running);
        }
    }

    /// Counts a running request that an earlier owner granted.
    pub fn note_running(&mut self, grant: GrantKey, running: EngineReservation) {
        self.reserved += running.kv_cache_tokens;
        *self.paces.entry(running.between_tokens).or_default() += 1;
        if let Some(before) = self.running.insert(grant, running) {
            self.forget_running(&before);
        }
    }

    fn forget_running(&mut self, running: &EngineReservation) {
        self.reserved = self.reserved.saturating_sub(running.kv_cache_tokens);
        if let Some(count) = self.paces.get_mut(&running.between_tokens) {
            *count -= 1;
            if *count == 0 {
                self.paces.remove(&running.between_tokens);
            }
        }
    }

    /// Forgets all requests whose grants are not known any more.
    pub fn retain(&mut self, is_known: impl Fn(&GrantKey) -> bool, now: Instant) {
        let gone: Vec<GrantKey> =
            self.running.keys().filter(|grant| !is_known(grant)).cloned().collect();
        for grant in gone {
            self.ended(&grant, now);
        }
    }

    fn learn_rate(&mut self, expected: Duration, seen: Duration) {
        let seen = seen.saturating_sub(FIRST_TOKEN_OVERHEAD).max(Duration::from_millis(1));
        let expected = expected.saturating_sub(FIRST_TOKEN_OVERHEAD).max(Duration::from_millis(1));
        let ratio = (expected.as_secs_f64() / seen.as_secs_f64()).clamp(0.2, 5.0);
        self.rate =
            (self.rate * ratio.powf(RATE_WEIGHT)).clamp(READ_RATE_BOUNDS.0, READ_RATE_BOUNDS.1);
    }

    fn add_share(&mut self, time: Duration, now: Instant) {
        let added = time.as_secs_f64() / SHARE_FADE.as_secs_f64();
        self.read_share = (self.read_share(now) + added).min(1.0);
        self.share_at = Some(now);
    }
}

/// How much a request is delayed by a stop, 0 to 1, given what it allows between two tokens.
pub fn delay_share(stop: Duration, between_tokens: Duration) -> f64 {
    let allowed = between_tokens.as_secs_f64().max(1e-3);
    (stop.as_secs_f64() / allowed * 2.0 - 1.0).clamp(0.0, 1.0)
}

/// The parts of prompts that an engine has probably kept; those unused for longest yield.
#[derive(Clone, Debug, Default)]
struct PartCache {
    parts: HashMap<u64, CachedPart>,
    order: BTreeMap<u64, u64>,
    tokens: u64,
    uses: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    last_use: u64,
}

impl PartCache {
    /// Tokens at the start of a prompt that are kept.
    fn cached(&self, prompt: &PromptLoad) -> u32 {
        let kept = prompt.parts.iter().take_while(|part| self.parts.contains_key(&part.id));
        kept.map(|part| part.tokens).sum()
    }

    /// Notes that all parts of a prompt were read, and lets the oldest go beyond `room` tokens.
    fn note(&mut self, prompt: &PromptLoad, room: u64) {
        for part in &prompt.parts {
            self.uses += 1;
            let used = CachedPart { tokens: part.tokens, last_use: self.uses };
            if let Some(before) = self.parts.insert(part.id, used) {
                self.order.remove(&before.last_use);
                self.tokens -= u64::from(before.tokens);
            }
            self.tokens += u64::from(part.tokens);
            self.order.insert(self.uses, part.id);
        }
        while self.tokens > room {
            let Some((_, oldest)) = self.order.pop_first() else { break };
            if let Some(part) = self.parts.remove(&oldest) {
                self.tokens -= u64::from(part.tokens);
            }
        }
    }
}
