//! Continuous batching: each step generates one token for every running sequence; without I/O.

use std::time::{Duration, Instant};

use super::EngineSettings;
use super::cache::PrefixCache;

/// Receives the generated tokens of a sequence.
pub(super) trait TokenSink {
    /// Whether the receiver of the answer is gone.
    fn is_closed(&self) -> bool;
    /// Writes the token at an index.
    fn write_token(&mut self, index: u32);
    /// Writes the end of the answer.
    fn finish(&mut self, prompt_tokens: u32, answer_tokens: u32);
}

/// One request in the engine.
#[derive(Debug)]
pub(super) struct Sequence<S> {
    /// Smaller values are admitted first; 1 is the highest priority.
    pub(super) priority: u8,
    pub(super) prompt: String,
    pub(super) prompt_tokens: u32,
    /// Index of the next token in the complete answer.
    pub(super) index: u32,
    /// Length of the complete answer in tokens.
    pub(super) length: u32,
    /// Number of tokens that this engine generated.
    pub(super) generated: u32,
    pub(super) sink: S,
}

impl<S> Sequence<S> {
    fn kv_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens + self.index)
    }
}

/// Totals since the engine started.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct BatchCounters {
    pub(super) steps: u64,
    pub(super) tokens: u64,
    pub(super) tokens_cancelled: u64,
    pub(super) finished: u64,
    pub(super) cancelled: u64,
    pub(super) preempted: u64,
    /// Total time of the prefill, before any slowdown.
    pub(super) prefill: Duration,
}

/// The running and the waiting sequences of an engine.
#[derive(Debug)]
pub(super) struct SequenceBatch<S> {
    settings: EngineSettings,
    running: Vec<Sequence<S>>,
    /// In order of priority, then of arrival.
    waiting: Vec<Sequence<S>>,
    pub(super) cache: PrefixCache,
    pub(super) counters: BatchCounters,
}

impl<S: TokenSink> SequenceBatch<S> {
    pub(super) fn new(settings: EngineSettings) -> Self {
        Self {
            settings,
            running: Vec::new(),
            waiting: Vec::new(),
            cache: PrefixCache::new(settings.cache_blocks),
            counters: BatchCounters::default(),
        }
    }

    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// The used share of the KV cache; may exceed 1.0.
    pub(super) fn kv_used(&self) -> f64 {
        let used: u64 = self.running.iter().map(Sequence::kv_tokens).sum();
        used as f64 / self.settings.kv_tokens as f64
    }

    /// Queues a sequence behind the waiting ones of the same priority.
    pub(super) fn push(&mut self, sequence: Sequence<S>) {
        let position = self.waiting.partition_point(|other| other.priority <= sequence.priority);
        self.waiting.insert(position, sequence);
    }

    /// Cancels all sequences and empties the cache, as after a crash.
    pub(super) fn clear(&mut self) {
        let cancelled = self.running.drain(..).chain(self.waiting.drain(..));
        for sequence in cancelled {
            self.counters.cancelled += 1;
            self.counters.tokens_cancelled += u64::from(sequence.generated);
        }
        self.cache = PrefixCache::new(self.settings.cache_blocks);
    }

    /// Admits the waiting sequences that fit and returns the duration of the next step without
    /// slowdown.
    pub(super) fn begin_step(&mut self, now: Instant) -> Duration {
        self.drop_cancelled();
        let mut kv_free = self.settings.kv_tokens;
        kv_free -= self.running.iter().map(Sequence::kv_tokens).sum::<u64>().min(kv_free);
        let mut prefill_tokens = 0;
        while let Some(first) = self.waiting.first()
            && self.running.len() < self.settings.batch
            && (first.kv_tokens() < kv_free || self.running.is_empty())
        {
            let sequence = self.waiting.remove(0);
            kv_free = kv_free.saturating_sub(sequence.kv_tokens());
            prefill_tokens += self.cache.store(&sequence.prompt, now) as u32 + sequence.index;
            self.running.push(sequence);
        }
        let prefill = self.settings.prefill * prefill_tokens;
        self.counters.prefill += prefill;
        self.settings.step_base + self.settings.step_sequence * self.running() as u32 + prefill
    }

    /// Generates one token for each running sequence.
    pub(super) fn finish_step(&mut self) {
        self.counters.steps += 1;
        self.drop_cancelled();
        for sequence in &mut self.running {
            if sequence.index < sequence.length {
                sequence.sink.write_token(sequence.index);
                sequence.index += 1;
                sequence.generated += 1;
                self.counters.tokens += 1;
            }
        }
        let mut finished = 0;
        self.running.retain_mut(|sequence| {
            let is_finished = sequence.index >= sequence.length;
            if is_finished {
                sequence.sink.finish(sequence.prompt_tokens, sequence.length);
                finished += 1;
            }
            !is_finished
        });
        self.counters.finished += finished;
        self.preempt_over_capacity();
    }

    fn drop_cancelled(&mut self) {
        let counters = &mut self.counters;
        let mut is_live = |sequence: &Sequence<S>| {
            let is_closed = sequence.sink.is_closed();
            if is_closed {
                counters.cancelled += 1;
                counters.tokens_cancelled += u64::from(sequence.generated);
            }
            !is_closed
        };
        self.running.retain(&mut is_live);
        self.waiting.retain(&mut is_live);
    }

    /// While the KV cache is exceeded, moves the newest running sequence of the lowest
    /// priority back to the queue.
    fn preempt_over_capacity(&mut self) {
        while self.kv_used() > 1.0 && self.running.len() > 1 {
            let Some(lowest) = self.running.iter().map(|sequence| sequence.priority).max() else {
                return;
            };
            let newest = self.running.iter().rposition(|sequence| sequence.priority == lowest);
            let sequence = self.running.remove(newest.unwrap_or_default());
            self.counters.preempted += 1;
            self.push(sequence);
        }
    }
}
