//! What entries do for their requests until these are sent to an engine.

use std::time::Duration;

use coltsfootgate_core::owner::{GrantAnswer, GrantRequest, ReleaseResult};
use coltsfootgate_core::prelude::{GrantId, RequestTier};
use coltsfootgate_core::prompt::{PromptLoad, shared_parts};
use coltsfootgate_core::rendezvous::stable_hash;
use coltsfootgate_core::routing::{RequestRoute, RoutePolicy, RouteReply, RouteRequest, RouteStep};
use uuid::Uuid;

use super::fleet::{
    Assignment, ControlMessage, HeldModelGrant, ModelEvent, POOL, PoolFleet, zone_name,
};
use super::{ModelTime, RequestIndex};

/// Time after which a waiting request first looks for a better owner.
const FIRST_RECONSIDER_DELAY: Duration = Duration::from_millis(10);
/// Interval at which it looks again.
const RECONSIDER_PERIOD: Duration = Duration::from_millis(50);
/// Time limit for the answer to a request that an owner must not queue.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

impl PoolFleet<'_> {
    /// Starts the search for a grant.
    pub(super) fn begin(&mut self, index: RequestIndex, now: ModelTime) {
        if self.runs[index].is_over {
            return;
        }
        if let Assignment::Entries { lag } = self.profile.assignment {
            let engine = self.choose_engine(index, lag, now);
            return self.start_request(index, None, engine, now);
        }
        let (request, class) = (&self.load[index], self.class(index));
        let prompt = self.prompt_load(index);
        let mut route = RequestRoute::new(RouteRequest {
            pool: POOL.into(),
            rank: (RequestTier::LOWEST, tier(class.tier)),
            prefix: shared_prefix(&prompt),
            shared_tokens: prompt.shared_tokens(),
            deadline: self.instant(request.arrives + class.deadline),
            excluded: Vec::new(),
            random: stable_hash(&index.to_le_bytes()),
        });
        let at = self.instant(now);
        let step = self.policies[request.entry].first_step(&mut route, at);
        self.runs[index].route = Some(route);
        self.apply_step(index, step, FIRST_RECONSIDER_DELAY, now);
    }

    fn apply_step(
        &mut self,
        index: RequestIndex,
        step: RouteStep,
        delay: Duration,
        now: ModelTime,
    ) {
        match step {
            RouteStep::Ask { owner, wait } => {
                let is_asked = |name: usize| self.names[name] == owner;
                let position = self.owners.iter().position(|one| is_asked(one.instance));
                let Some(position) = position else { return };
                self.ask(index, position, wait, now);
            }
            RouteStep::Wait => {}
            RouteStep::AskFallbackShare => {
                let position = self.fallback_owner(self.load[index].entry, now);
                self.ask(index, position, true, now);
            }
            RouteStep::Refuse(_) | RouteStep::Send { .. } => return self.refuse(index, now),
        }
        let run = &mut self.runs[index];
        run.reconsiderations += 1;
        let number = run.reconsiderations;
        self.schedule(now + delay, ModelEvent::Reconsider(index, number));
    }

    fn ask(&mut self, index: RequestIndex, owner: usize, wait: bool, now: ModelTime) {
        self.asks += 1;
        let grant = self.new_grant(index);
        self.runs[index].asked.push((grant, owner));
        let request = Box::new(self.grant_request(index, grant, wait));
        let (from, to) = (self.load[index].entry, self.owners[owner].instance);
        self.send(from, to, ControlMessage::Ask { owner, request }, now);
        if !wait {
            self.schedule(now + ANSWER_TIMEOUT, ModelEvent::AskTimeout(index, grant));
        }
    }

    fn grant_request(&self, index: RequestIndex, grant: GrantId, wait: bool) -> GrantRequest {
        let (load, class) = (&self.load[index], self.class(index));
        let prompt = self.prompt_load(index);
        GrantRequest {
            request: Uuid::from_u128(index as u128),
            requester: self.names[load.entry].clone(),
            grant,
            class: class.name.into(),
            tier: RequestTier::LOWEST,
            stated_tier: tier(class.tier),
            customer: "customers.one".into(),
            weight: 1.0,
            floor: 0.0,
            queue_requests: 400,
            queue_tokens: 500_000,
            tokens: 64,
            zone: zone_name(self.profile.instances[load.entry].zone),
            arrived: self.instant(load.arrives),
            deadline: self.instant(load.arrives + class.deadline),
            prefix: shared_prefix(&prompt),
            prompt,
            version: None,
            excluded: Vec::new(),
            wait,
        }
    }

    fn prompt_load(&self, index: RequestIndex) -> PromptLoad {
        let (load, class) = (&self.load[index], self.class(index));
        PromptLoad {
            parts: load.parts.clone(),
            tokens: load.tokens(),
            answer_tokens: load.events * self.profile.engine.event_tokens,
            first_token_target: class.first_event,
            between_tokens_target: class.pause,
        }
    }

    /// Handles the answer of an owner, unless the request has no use for it any more.
    pub(super) fn handle_answer(
        &mut self,
        index: RequestIndex,
        grant: GrantId,
        owner: usize,
        answer: GrantAnswer,
        now: ModelTime,
    ) {
        let (entry, at) = (self.load[index].entry, self.instant(now));
        let name = self.names[self.owners[owner].instance].clone();
        self.policies[entry].set_silent(&name, false);
        if !self.take_ask(index, grant) {
            return;
        }
        let reply = match answer {
            GrantAnswer::Granted { endpoint, pressure, .. } => {
                let policy = &mut self.policies[entry];
                policy.update_pressure(&POOL.into(), &name, pressure, Duration::ZERO, at);
                self.cancel_asks(index, now);
                let engine = self.engine_ids[&endpoint];
                return self.start_request(index, Some((grant, owner)), engine, now);
            }
            GrantAnswer::Busy(pressure) => RouteReply::Busy(pressure),
            GrantAnswer::Refused { kind, pressure } => RouteReply::Refused(kind, pressure),
        };
        self.next_step(index, owner, reply, now);
    }

    /// Treats an owner as unresponsive that has not answered in time.
    pub(super) fn time_out(&mut self, index: RequestIndex, grant: GrantId, now: ModelTime) {
        let asked = self.runs[index].asked.iter().find(|(open, _)| *open == grant);
        let Some((_, owner)) = asked.copied() else { return };
        if self.take_ask(index, grant) {
            self.next_step(index, owner, RouteReply::Unresponsive, now);
        }
    }

    /// Removes an open grant request; `false` if it is not open or the request is over.
    fn take_ask(&mut self, index: RequestIndex, grant: GrantId) -> bool {
        let run = &mut self.runs[index];
        let is_open = run.asked.iter().any(|(open, _)| *open == grant);
        run.asked.retain(|(open, _)| *open != grant);
        is_open && !run.is_over
    }

    fn next_step(&mut self, index: RequestIndex, owner: usize, reply: RouteReply, now: ModelTime) {
        let (entry, at) = (self.load[index].entry, self.instant(now));
        let name = self.names[self.owners[owner].instance].clone();
        let Some(mut route) = self.runs[index].route.take() else { return };
        let step = self.policies[entry].next_step(&mut route, &name, reply, at);
        self.runs[index].route = Some(route);
        self.apply_step(index, step, RECONSIDER_PERIOD, now);
    }

    pub(super) fn reconsider(&mut self, index: RequestIndex, number: u32, now: ModelTime) {
        let run = &mut self.runs[index];
        if run.is_over || run.held.is_some() || run.reconsiderations != number {
            return;
        }
        let Some(mut route) = run.route.take() else { return };
        let (entry, at) = (self.load[index].entry, self.instant(now));
        let step = self.policies[entry].reconsider(&mut route, at);
        self.runs[index].route = Some(route);
        self.apply_step(index, step, RECONSIDER_PERIOD, now);
    }

    fn cancel_asks(&mut self, index: RequestIndex, now: ModelTime) {
        let entry = self.load[index].entry;
        for (grant, owner) in std::mem::take(&mut self.runs[index].asked) {
            let to = self.owners[owner].instance;
            let requester = self.names[entry].clone();
            self.send(entry, to, ControlMessage::Cancel { owner, requester, grant }, now);
        }
    }

    fn start_request(
        &mut self,
        index: RequestIndex,
        granted: Option<(GrantId, usize)>,
        engine: usize,
        now: ModelTime,
    ) {
        let (grant, owner) = granted.unzip();
        let grant = grant.unwrap_or_default();
        self.runs[index].held = Some(HeldModelGrant { grant, owner, engine, sent: now });
        let arrives = now + self.profile.costs.link_delay;
        self.schedule(arrives, ModelEvent::Submit(index, engine));
    }

    pub(super) fn refuse(&mut self, index: RequestIndex, now: ModelTime) {
        if self.runs[index].is_over {
            return;
        }
        self.cancel_asks(index, now);
        self.runs[index].is_over = true;
        self.outcome.classes[self.load[index].class].refused += 1;
    }

    /// Ends a request whose caller stops waiting.
    pub(super) fn give_up(&mut self, index: RequestIndex, now: ModelTime) {
        if self.runs[index].is_over {
            return;
        }
        self.cancel_asks(index, now);
        let outcome = &mut self.outcome.classes[self.load[index].class];
        if let Some(held) = self.runs[index].held {
            outcome.gave_up_running += 1;
            self.engines[held.engine].cancel(index);
            self.release(index, ReleaseResult::Cancelled, now);
        } else {
            outcome.gave_up_waiting += 1;
        }
        self.runs[index].is_over = true;
    }
}

fn tier(number: u8) -> RequestTier {
    RequestTier::new(number).unwrap_or(RequestTier::LOWEST)
}

/// The deepest shared part of a prompt, which determines those before it.
fn shared_prefix(prompt: &PromptLoad) -> Option<u64> {
    shared_parts(&prompt.parts).last().map(|part| part.id)
}
