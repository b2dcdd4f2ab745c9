//! What engines answer, and what entries report of it.

use std::time::Duration;

use coltsfootgate_core::owner::{ReleaseReport, ReleaseResult};
use coltsfootgate_core::prompt::shared_parts;

use super::fleet::{ControlMessage, ModelEvent, PoolFleet};
use super::{EngineOutput, ModelTime, RequestIndex};

/// Time after its last use within which a shared part that is prefilled again counts.
const REUSE_WINDOW: Duration = Duration::from_secs(10);

impl PoolFleet<'_> {
    /// Hands a request to an engine, which may refuse it.
    pub(super) fn submit(&mut self, index: RequestIndex, engine: usize, now: ModelTime) {
        if self.runs[index].is_over {
            return;
        }
        self.requests_of_engine[engine] += 1;
        let rank = self.class(index).tier;
        if !self.engines[engine].submit(index, &self.load[index], rank, now) {
            self.release(index, ReleaseResult::Refused, now);
            return self.refuse(index, now);
        }
        self.schedule_step(engine);
    }

    fn schedule_step(&mut self, engine: usize) {
        if let Some(at) = self.engines[engine].step_end() {
            self.schedule(at, ModelEvent::EngineStep(engine));
        }
    }

    pub(super) fn step_engine(&mut self, engine: usize, now: ModelTime) {
        // A step may be scheduled more than once.
        if self.engines[engine].step_end() != Some(now) {
            return;
        }
        for output in self.engines[engine].finish_step(now) {
            match output {
                EngineOutput::Event(index) => self.record_event(index, now),
                EngineOutput::End(index) => {
                    self.record_event(index, now);
                    self.complete(index, now);
                }
            }
        }
        self.count_parts(engine, now);
        self.schedule_step(engine);
    }

    /// Counts the shared parts that an engine began to prefill.
    fn count_parts(&mut self, engine: usize, now: ModelTime) {
        for part in self.engines[engine].take_prefilled() {
            let used = self.part_uses.insert(part.id, now);
            match used.filter(|used| now - *used <= REUSE_WINDOW) {
                Some(_) => self.outcome.shared_again += u64::from(part.tokens),
                None => self.outcome.shared_once += u64::from(part.tokens),
            }
        }
    }

    fn record_event(&mut self, index: RequestIndex, now: ModelTime) {
        if self.runs[index].is_over {
            return;
        }
        let (entry, costs) = (self.load[index].entry, self.profile.costs);
        let done = self.processors[entry].work(costs.event, now + costs.link_delay);
        for part in shared_parts(&self.load[index].parts) {
            self.part_uses.insert(part.id, now);
        }
        let run = &mut self.runs[index];
        run.events += 1;
        if let Some(last) = run.last_event {
            run.longest_pause = run.longest_pause.max(done.saturating_sub(last));
        }
        run.last_event = Some(done);
        if run.first_event.is_some() {
            return;
        }
        run.first_event = Some(done);
        let held = run.held.and_then(|held| Some((held.owner?, held.grant)));
        if let Some((owner, grant)) = held {
            let (to, requester) = (self.owners[owner].instance, self.names[entry].clone());
            let message = ControlMessage::FirstToken { owner, requester, grant };
            self.send(entry, to, message, done);
        }
    }

    fn complete(&mut self, index: RequestIndex, now: ModelTime) {
        if self.runs[index].is_over {
            return;
        }
        self.release(index, ReleaseResult::Completed, now);
        let (request, class) = (&self.load[index], self.class(index));
        let run = &mut self.runs[index];
        run.is_over = true;
        let first = run.first_event.unwrap_or(now) - request.arrives;
        let is_on_time = first <= class.first_event && run.longest_pause <= class.pause;
        let outcome = &mut self.outcome.classes[request.class];
        if is_on_time {
            outcome.on_time += 1;
        } else {
            outcome.late += 1;
        }
    }

    /// Returns a request's grant to its owner, if it has one.
    pub(super) fn release(&mut self, index: RequestIndex, result: ReleaseResult, now: ModelTime) {
        let run = &self.runs[index];
        let Some(held) = run.held else { return };
        let Some(owner) = held.owner else { return };
        let between_tokens = match (run.first_event, run.last_event) {
            (Some(first), Some(last)) if run.events > 1 => Some((last - first) / (run.events - 1)),
            _ => None,
        };
        let entry = self.load[index].entry;
        let report = ReleaseReport {
            requester: self.names[entry].clone(),
            grant: held.grant,
            endpoint: format!("e{:03}", held.engine).into(),
            tokens: run.events,
            first_token: run.first_event.map(|first| first - held.sent),
            between_tokens,
            result,
        };
        let to = self.owners[owner].instance;
        self.send(entry, to, ControlMessage::Release { owner, report }, now);
    }
}
