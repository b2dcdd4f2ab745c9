//! A model engine that batches requests, prefills prompts in chunks and keeps their parts.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use coltsfootgate_core::prompt::PromptPart;

use super::{ModelRequest, ModelTime, RequestIndex};

/// The speed and size of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineProfile {
    /// Requests that it runs concurrently.
    pub slots: usize,
    /// Requests that wait in it, beyond which it refuses others.
    pub queue: usize,
    /// Time of a step that generates a token for each running request.
    pub step: Duration,
    /// Additional time of a step for each running request.
    pub step_per_request: Duration,
    /// Tokens of a prompt that are prefilled in a second.
    pub prefill_rate: f64,
    /// Largest number of tokens that are prefilled between two steps.
    pub chunk: u32,
    /// Tokens that running requests and kept parts may take.
    pub kv_cache_tokens: u64,
    /// Tokens of an event.
    pub event_tokens: u32,
}

/// What an engine did for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineOutput {
    /// It sent an event of the answer.
    Event(RequestIndex),
    /// It sent the last event.
    End(RequestIndex),
}

#[derive(Clone, Debug)]
struct Sequence {
    request: RequestIndex,
    /// Tokens of the prompt that are not prefilled yet; `None` before its first chunk.
    prefill_left: Option<u32>,
    parts: Vec<PromptPart>,
    reserved: u64,
    tokens_left: u32,
    event_tokens: u32,
}

/// Counts of what an engine prefilled, in tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillCounts {
    /// All tokens.
    pub prefilled: u64,
    /// Tokens that were found kept.
    pub kept: u64,
}

/// A model engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    profile: EngineProfile,
    /// Waiting requests by rank, then by arrival.
    waiting: BTreeMap<(u8, u64), (RequestIndex, Sequence)>,
    running: Vec<Sequence>,
    arrivals: u64,
    reserved: u64,
    kept: HashMap<u64, (u32, u64)>,
    recency: BTreeMap<u64, u64>,
    kept_tokens: u64,
    uses: u64,
    step_end: Option<ModelTime>,
    /// The request whose prompt is prefilled in the present step, with the tokens.
    chunk: Option<(RequestIndex, u32)>,
    /// Shared parts that were prefilled since the last call, with their tokens.
    prefilled_parts: Vec<PromptPart>,
    counts: PrefillCounts,
}

impl EngineModel {
    /// Creates an idle engine.
    pub fn new(profile: EngineProfile) -> Self {
        Self {
            profile,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            arrivals: 0,
            reserved: 0,
            kept: HashMap::new(),
            recency: BTreeMap::new(),
            kept_tokens: 0,
            uses: 0,
            step_end: None,
            chunk: None,
            prefilled_parts: Vec::new(),
            counts: PrefillCounts::default(),
        }
    }

    /// Accepts a request, unless too many wait.
    pub fn submit(
        &mut self,
        index: RequestIndex,
        request: &ModelRequest,
        rank: u8,
        now: ModelTime,
    ) -> bool {
        if self.waiting.len() >= self.profile.queue {
            return false;
        }
        let answer = request.events * self.profile.event_tokens;
        let sequence = Sequence {
            request: index,
            prefill_left: None,
            parts: request.parts.clone(),
            reserved: u64::from(request.tokens()) + u64::from(answer),
            tokens_left: answer,
            event_tokens: 0,
        };
        self.arrivals += 1;
        self.waiting.insert((rank, self.arrivals), (index, sequence));
        if self.step_end.is_none() {
            self.start_step(now);
        }
        true
    }

    /// Ends a request before its answer is complete.
    pub fn cancel(&mut self, index: RequestIndex) {
        self.waiting.retain(|_, (waiting, _)| *waiting != index);
        if let Some(position) = self.running.iter().position(|one| one.request == index) {
            self.reserved -= self.running.swap_remove(position).reserved;
        }
    }

    /// When the present step ends; `None` while the engine is idle.
    pub fn step_end(&self) -> Option<ModelTime> {
        self.step_end
    }

    /// Number of running and waiting requests.
    pub fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Tokens of prompts that wait for their prefill.
    pub fn prefill_backlog(&self) -> u64 {
        let running = self.running.iter().map(|one| match one.prefill_left {
            Some(left) => u64::from(left),
            None => one.parts.iter().map(|part| u64::from(part.tokens)).sum(),
        });
        let waiting = self.waiting.values().flat_map(|(_, one)| &one.parts);
        running.sum::<u64>() + waiting.map(|part| u64::from(part.tokens)).sum::<u64>()
    }

    /// Counts of prefilled tokens.
    pub fn counts(&self) -> PrefillCounts {
        self.counts
    }

    /// The parts that were prefilled since the last call.
    pub fn take_prefilled(&mut self) -> Vec<PromptPart> {
        std::mem::take(&mut self.prefilled_parts)
    }

    /// Ends the present step and starts the next one; returns what was sent.
    pub fn finish_step(&mut self, now: ModelTime) -> Vec<EngineOutput> {
        let mut outputs = Vec::new();
        let chunk = self.chunk.take();
        for sequence in &mut self.running {
            if sequence.prefill_left == Some(0) {
                sequence.generate(self.profile.event_tokens, &mut outputs);
            }
        }
        if let Some((request, tokens)) = chunk {
            self.finish_chunk(request, tokens);
        }
        let ended = |sequence: &Sequence| sequence.tokens_left == 0;
        self.reserved -=
            self.running.iter().filter(|one| ended(one)).map(|one| one.reserved).sum::<u64>();
        self.running.retain(|sequence| !ended(sequence));
        self.step_end = None;
        self.start_step(now);
        outputs
    }

    fn finish_chunk(&mut self, request: RequestIndex, tokens: u32) {
        let Some(sequence) = self.running.iter_mut().find(|one| one.request == request) else {
            return;
        };
        let left = sequence.prefill_left.unwrap_or(0).saturating_sub(tokens);
        sequence.prefill_left = Some(left);
        if left == 0 {
            let parts = sequence.parts.clone();
            self.keep(&parts);
        }
    }

    fn start_step(&mut self, now: ModelTime) {
        self.admit();
        if self.running.is_empty() {
            return;
        }
        let chunk = self.next_chunk();
        let decoding = self.running.iter().filter(|one| one.prefill_left == Some(0)).count();
        let mut time = Duration::ZERO;
        if decoding > 0 {
            time += self.profile.step + self.profile.step_per_request * decoding as u32;
        }
        if let Some((_, tokens)) = chunk {
            time += Duration::from_secs_f64(f64::from(tokens) / self.profile.prefill_rate);
        }
        self.chunk = chunk;
        self.step_end = Some(now + time.max(Duration::from_micros(500)));
    }

    fn admit(&mut self) {
        while self.running.len() < self.profile.slots {
            let Some(entry) = self.waiting.first_entry() else { return };
            let needed = entry.get().1.reserved;
            if !self.running.is_empty() && self.reserved + needed > self.profile.kv_cache_tokens {
                return;
            }
            let (_, sequence) = entry.remove();
            self.reserved += needed;
            self.running.push(sequence);
            self.evict();
        }
    }

    /// The next chunk of the oldest prompt that is not prefilled.
    fn next_chunk(&mut self) -> Option<(RequestIndex, u32)> {
        let position = self.running.iter().position(|one| one.prefill_left != Some(0))?;
        if self.running[position].prefill_left.is_none() {
            let parts = self.running[position].parts.clone();
            let kept: u32 = self.use_kept(&parts);
            let total: u32 = parts.iter().map(|part| part.tokens).sum();
            self.counts.kept += u64::from(kept);
            self.counts.prefilled += u64::from(total - kept);
            self.running[position].prefill_left = Some((total - kept).max(1));
        }
        let sequence = &self.running[position];
        Some((sequence.request, sequence.prefill_left.unwrap_or(0).min(self.profile.chunk)))
    }

    /// Tokens at the start of a prompt that are kept; records the parts that are prefilled.
    fn use_kept(&mut self, parts: &[PromptPart]) -> u32 {
        let held = parts.iter().take_while(|part| self.kept.contains_key(&part.id)).count();
        self.prefilled_parts.extend(&parts[held..parts.len() - 1]);
        for part in &parts[..held] {
            self.touch(part.id);
        }
        parts[..held].iter().map(|part| part.tokens).sum()
    }

    fn touch(&mut self, id: u64) {
        self.uses += 1;
        if let Some((_, last_use)) = self.kept.get_mut(&id) {
            self.recency.remove(last_use);
            *last_use = self.uses;
            self.recency.insert(self.uses, id);
        }
    }

    fn keep(&mut self, parts: &[PromptPart]) {
        for part in parts {
            self.kept.entry(part.id).or_insert_with(|| {
                self.kept_tokens += u64::from(part.tokens);
                (part.tokens, 0)
            });
            self.touch(part.id);
        }
        self.evict();
    }

    fn evict(&mut self) {
        while self.kept_tokens + self.reserved > self.profile.kv_cache_tokens {
            let Some((_, id)) = self.recency.pop_first() else { return };
            if let Some((tokens, _)) = self.kept.remove(&id) {
                self.kept_tokens -= u64::from(tokens);
            }
        }
    }
}

impl Sequence {
    fn generate(&mut self, event_tokens: u32, outputs: &mut Vec<EngineOutput>) {
        self.tokens_left = self.tokens_left.saturating_sub(1);
        self.event_tokens += 1;
        if self.tokens_left == 0 {
            outputs.push(EngineOutput::End(self.request));
        } else if self.event_tokens == event_tokens {
            self.event_tokens = 0;
            outputs.push(EngineOutput::Event(self.request));
        }
    }
}
