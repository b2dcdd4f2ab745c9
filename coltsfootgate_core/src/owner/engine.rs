//! Models the prefill queue, running requests and prefix cache of one model engine.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::event::EngineReservation;
use crate::ids::{GrantId, InstanceId};
use crate::prompt::PromptLoad;

/// Initial estimate of an engine's prefill rate, in tokens per second.
const INITIAL_PREFILL_RATE: f64 = 30_000.0;
/// Bounds of the estimated prefill rate, in tokens per second.
const PREFILL_RATE_BOUNDS: (f64, f64) = (500.0, 2_000_000.0);
/// Weight of one answer in the estimated prefill rate.
const PREFILL_RATE_WEIGHT: f64 = 0.15;
/// Minimum length of a prompt that updates the estimated rate; shorter ones give poor estimates.
const PREFILL_RATE_TOKENS_MIN: u32 = 500;
/// Time that an engine needs for a first token in addition to the prefill.
const FIRST_TOKEN_OVERHEAD: Duration = Duration::from_millis(15);
/// A first token is overdue after this multiple of its expected time plus [`OVERDUE_MARGIN`].
const OVERDUE_FACTOR: f64 = 2.0;
/// Time that a first token may take beyond [`OVERDUE_FACTOR`] times its expected time.
const OVERDUE_MARGIN: Duration = Duration::from_millis(200);
/// Time constant with which the share of prefill time decays (to 1/e).
const PREFILL_SHARE_DECAY: Duration = Duration::from_millis(2_500);
/// Assumed prefix cache of an engine whose KV cache capacity is unknown, in tokens.
const DEFAULT_CACHE_TOKENS: u64 = 200_000;

/// Identifies a grant among those of all requesters.
pub type GrantKey = (InstanceId, GrantId);

/// A prompt that was sent to the engine and has no first token yet.
#[derive(Clone, Debug)]
struct PendingPrefill {
    grant: GrantKey,
    tokens: u32,
    sent: Instant,
    /// Expected time from sending the prompt to its first token.
    expected: Duration,
}

/// The estimated load of one engine, derived from the grants of this owner.
#[derive(Clone, Debug)]
pub struct EngineLoad {
    kv_cache_tokens: Option<u64>,
    /// Estimated prefill rate, in tokens per second.
    prefill_rate: f64,
    pending: VecDeque<PendingPrefill>,
    /// When the prefill of the first pending prompt started.
    prefill_started: Option<Instant>,
    running: HashMap<GrantKey, EngineReservation>,
    /// Number of running requests by their target for the time between tokens.
    token_time_targets: BTreeMap<Duration, u32>,
    reserved_tokens: u64,
    cache: PrefixCache,
    /// Decaying share of the engine's time that is spent on prefill, as of `share_updated`.
    prefill_share: f64,
    share_updated: Option<Instant>,
}

impl EngineLoad {
    /// Creates the load of an idle engine.
    pub fn new(kv_cache_tokens: Option<u64>) -> Self {
        Self {
            kv_cache_tokens,
            prefill_rate: INITIAL_PREFILL_RATE,
            pending: VecDeque::new(),
            prefill_started: None,
            running: HashMap::new(),
            token_time_targets: BTreeMap::new(),
            reserved_tokens: 0,
            cache: PrefixCache::default(),
            prefill_share: 0.0,
            share_updated: None,
        }
    }

    /// Sets the KV cache capacity, in tokens.
    pub fn set_kv_cache_tokens(&mut self, kv_cache_tokens: Option<u64>) {
        self.kv_cache_tokens = kv_cache_tokens;
    }

    /// Number of tokens of a prompt that are not cached, so that the engine must prefill them.
    pub fn uncached_tokens(&self, prompt: &PromptLoad) -> u32 {
        let cached = self.cache.cached_tokens(prompt);
        prompt.tokens.max(prompt.part_tokens()).saturating_sub(cached)
    }

    /// Number of uncached tokens in the parts that a prompt shares with others.
    ///
    /// The last part belongs to this request alone.
    pub fn uncached_shared_tokens(&self, prompt: &PromptLoad) -> u32 {
        let Some((last, _)) = prompt.parts.split_last() else { return 0 };
        let shared = prompt.part_tokens().saturating_sub(last.tokens);
        shared.saturating_sub(self.cache.cached_tokens(prompt))
    }

    /// Estimated prefill rate, in tokens per second.
    pub fn prefill_rate(&self) -> u32 {
        self.prefill_rate as u32
    }

    /// Estimated time to prefill `tokens`.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.prefill_rate)
    }

    /// Estimated time until the engine has finished the prefill of all pending prompts.
    pub fn backlog(&self, now: Instant) -> Duration {
        let tokens = self.pending.iter().map(|prompt| prompt.tokens).sum();
        let Some(started) = self.prefill_started else { return Duration::ZERO };
        let first = self.pending.front().map_or(0, |prompt| prompt.tokens);
        let done = now.saturating_duration_since(started).min(self.prefill_time(first));
        self.prefill_time(tokens).saturating_sub(done) + self.overdue(now)
    }

    /// Time by which the first token of the oldest pending prompt is overdue.
    ///
    /// It is added to the backlog: an engine that has been unresponsive for some time is expected
    /// to stay so for as long again.
    fn overdue(&self, now: Instant) -> Duration {
        let Some(oldest) = self.pending.front() else { return Duration::ZERO };
        let due = oldest.expected.mul_f64(OVERDUE_FACTOR) + OVERDUE_MARGIN;
        now.saturating_duration_since(oldest.sent).saturating_sub(due)
    }

    /// Whether the KV cache can hold one more request in addition to the running ones.
    pub fn has_capacity(&self, prompt: &PromptLoad) -> bool {
        let needed = prompt.kv_cache_tokens();
        // A request that exceeds the whole KV cache is still sent to an idle engine, which then
        // refuses it.
        self.kv_cache_tokens.is_none_or(|capacity| {
            self.running.is_empty() || self.reserved_tokens + needed <= capacity
        })
    }

    /// Fraction of the KV cache that running requests reserve; 0 if its capacity is unknown.
    pub fn kv_cache_usage(&self) -> f64 {
        self.kv_cache_share(self.reserved_tokens)
    }

    /// The fraction of the KV cache that `tokens` take; 0 if its capacity is unknown.
    pub fn kv_cache_share(&self, tokens: u64) -> f64 {
        self.kv_cache_tokens.map_or(0.0, |capacity| tokens as f64 / capacity.max(1) as f64)
    }

    /// Recent share of the engine's time that was spent on prefill, 0 to 1.
    pub fn prefill_share(&self, now: Instant) -> f64 {
        let elapsed =
            self.share_updated.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.prefill_share * (-elapsed.as_secs_f64() / PREFILL_SHARE_DECAY.as_secs_f64()).exp()
    }

    /// Number of running requests that a stall of token generation delays, each weighted by its
    /// delay fraction.
    ///
    /// A stall shorter than half of a request's target for the time between tokens does not count.
    pub fn delayed_by(&self, stall: Duration) -> f64 {
        let delayed =
            |(target, count): (&Duration, &u32)| delay_fraction(stall, *target) * f64::from(*count);
        self.token_time_targets.iter().map(delayed).sum()
    }

    /// Records a request that is sent to the engine.
    pub fn record_grant(&mut self, grant: GrantKey, prompt: &PromptLoad, now: Instant) {
        let tokens = self.uncached_tokens(prompt);
        let expected = self.backlog(now) + self.prefill_time(tokens) + FIRST_TOKEN_OVERHEAD;
        self.add_prefill_time(self.prefill_time(tokens), now);
        if self.pending.is_empty() {
            self.prefill_started = Some(now);
        }
        self.pending.push_back(PendingPrefill {
            grant: grant.clone(),
            tokens,
            sent: now,
            expected,
        });
        self.add_running(grant, prompt.into());
        let cache_tokens = self
            .kv_cache_tokens
            .map_or(DEFAULT_CACHE_TOKENS, |capacity| capacity.saturating_sub(self.reserved_tokens));
        self.cache.insert(prompt, cache_tokens);
    }

    /// Records the first token of a request and updates the estimated prefill rate.
    pub fn record_first_token(&mut self, grant: &GrantKey, now: Instant) {
        let Some(position) = self.pending.iter().position(|prompt| prompt.grant == *grant) else {
            return;
        };
        let Some(prompt) = self.pending.remove(position) else { return };
        if position == 0 {
            self.prefill_started = (!self.pending.is_empty()).then_some(now);
        }
        if prompt.tokens >= PREFILL_RATE_TOKENS_MIN {
            self.update_prefill_rate(prompt.expected, now.saturating_duration_since(prompt.sent));
        }
    }

    /// Removes a request that ended.
    pub fn record_end(&mut self, grant: &GrantKey, now: Instant) {
        if let Some(position) = self.pending.iter().position(|prompt| prompt.grant == *grant) {
            self.pending.remove(position);
            if position == 0 {
                self.prefill_started = (!self.pending.is_empty()).then_some(now);
            }
        }
        if let Some(running) = self.running.remove(grant) {
            self.subtract_running(&running);
        }
    }

    /// Adds the reservation of a running request; an earlier one for the same grant is replaced.
    pub fn add_running(&mut self, grant: GrantKey, running: EngineReservation) {
        self.reserved_tokens += running.kv_cache_tokens;
        *self.token_time_targets.entry(running.between_tokens).or_default() += 1;
        if let Some(before) = self.running.insert(grant, running) {
            self.subtract_running(&before);
        }
    }

    fn subtract_running(&mut self, running: &EngineReservation) {
        self.reserved_tokens = self.reserved_tokens.saturating_sub(running.kv_cache_tokens);
        if let Some(count) = self.token_time_targets.get_mut(&running.between_tokens) {
            *count -= 1;
            if *count == 0 {
                self.token_time_targets.remove(&running.between_tokens);
            }
        }
    }

    /// Removes all requests whose grants are not known.
    pub fn retain(&mut self, is_known: impl Fn(&GrantKey) -> bool, now: Instant) {
        let unknown: Vec<GrantKey> =
            self.running.keys().filter(|grant| !is_known(grant)).cloned().collect();
        for grant in unknown {
            self.record_end(&grant, now);
        }
    }

    fn update_prefill_rate(&mut self, expected: Duration, measured: Duration) {
        let measured = measured.saturating_sub(FIRST_TOKEN_OVERHEAD).max(Duration::from_millis(1));
        let expected = expected.saturating_sub(FIRST_TOKEN_OVERHEAD).max(Duration::from_millis(1));
        let ratio = (expected.as_secs_f64() / measured.as_secs_f64()).clamp(0.2, 5.0);
        self.prefill_rate = (self.prefill_rate * ratio.powf(PREFILL_RATE_WEIGHT))
            .clamp(PREFILL_RATE_BOUNDS.0, PREFILL_RATE_BOUNDS.1);
    }

    fn add_prefill_time(&mut self, time: Duration, now: Instant) {
        let added = time.as_secs_f64() / PREFILL_SHARE_DECAY.as_secs_f64();
        self.prefill_share = (self.prefill_share(now) + added).min(1.0);
        self.share_updated = Some(now);
    }
}

/// The delay that a stall of token generation causes to a request, 0 to 1, relative to its target
/// for the time between tokens: 0 up to half of the target, 1 from the whole target on.
pub fn delay_fraction(stall: Duration, between_tokens: Duration) -> f64 {
    let target = between_tokens.as_secs_f64().max(1e-3);
    (stall.as_secs_f64() / target * 2.0 - 1.0).clamp(0.0, 1.0)
}

/// Estimates which prompt parts an engine has cached, with least-recently-used eviction.
#[derive(Clone, Debug, Default)]
struct PrefixCache {
    parts: HashMap<u64, CachedPart>,
    /// Part ids by their last use, oldest first.
    recency: BTreeMap<u64, u64>,
    tokens: u64,
    uses: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    last_use: u64,
}

impl PrefixCache {
    /// Number of tokens at the start of a prompt that are cached.
    fn cached_tokens(&self, prompt: &PromptLoad) -> u32 {
        let cached = prompt.parts.iter().take_while(|part| self.parts.contains_key(&part.id));
        cached.map(|part| part.tokens).sum()
    }

    /// Adds all parts of a prompt and evicts the least recently used parts beyond `capacity`
    /// tokens.
    fn insert(&mut self, prompt: &PromptLoad, capacity: u64) {
        for part in &prompt.parts {
            self.uses += 1;
            let used = CachedPart { tokens: part.tokens, last_use: self.uses };
            if let Some(before) = self.parts.insert(part.id, used) {
                self.recency.remove(&before.last_use);
                self.tokens -= u64::from(before.tokens);
            }
            self.tokens += u64::from(part.tokens);
            self.recency.insert(self.uses, part.id);
        }
        while self.tokens > capacity {
            let Some((_, oldest)) = self.recency.pop_first() else { break };
            if let Some(part) = self.parts.remove(&oldest) {
                self.tokens -= u64::from(part.tokens);
            }
        }
    }
}
