//! Holds back slots of endpoints that an owner took over until it knows which grants are in use there.
//!
//! Load pattern: an owner ends while its queue is long. Its successor, or its own next process, is asked for all waiting
//! requests at once, before anybody has told it which slots the last owner gave out.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::endpoint::EndpointTable;
use super::event::OwnerAction;
use crate::ids::{EndpointId, InstanceId};

/// Time without grants in which instances are asked what they hold; a sound one answers within a few round trips.
pub const HOLD_TIME: Duration = Duration::from_millis(300);
/// The same while it is not known which instances there are; two heartbeats of each fit in.
pub const DISCOVERY_TIME: Duration = Duration::from_millis(1200);
/// Time after which an owner that hears only of instances without grants takes its fleet for one that starts, although
/// others were not heard yet; in a fleet that serves, some hold grants.
pub const START_TIME: Duration = Duration::from_millis(100);
/// Time after which endpoints are granted in full although instances have not answered; they are dead or frozen then.
pub const RESERVE_TIME: Duration = Duration::from_secs(2);
/// Delay before a silent instance is asked again; it doubles each time.
const SURVEY_DELAY_MIN: Duration = Duration::from_millis(20);
/// Longest such delay.
const SURVEY_DELAY_MAX: Duration = Duration::from_millis(500);

/// The instances that may hold grants of an owner.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GrantHolders {
    /// The known ones, the owner's own instance included.
    pub instances: BTreeSet<InstanceId>,
    /// Number of instances that may be alive and were not heard yet; `None` if that is not known.
    pub unheard: Option<u32>,
}

/// How much of an endpoint may be granted although its owner does not know all that is in use there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct SlotHold {
    taken_at: Instant,
    /// When the last of the instances became known that may hold grants.
    known_at: Instant,
    /// Instances that said what they hold.
    heard: u32,
    /// Instances that may hold grants; `None` while nobody else was heard who must be, or it is not known how many there
    /// are.
    holders: Option<u32>,
    /// Whether one that was heard has not said yet what it holds.
    is_awaiting: bool,
}

impl SlotHold {
    /// The slots that may be taken: none at first, then all but the share of each instance that was not heard. If it is
    /// not known which ones there are, that may be as many again as were heard.
    pub(super) fn usable(&self, slots: u32, now: Instant) -> u32 {
        let held_until = match self.holders {
            Some(_) if self.is_awaiting => self.taken_at.max(self.known_at) + HOLD_TIME,
            Some(_) => self.taken_at,
            None => self.taken_at + DISCOVERY_TIME,
        };
        if now >= self.taken_at + RESERVE_TIME {
            return slots;
        }
        if now < held_until {
            return 0;
        }
        let holders = self.holders.unwrap_or(2 * self.heard).max(1);
        (u64::from(slots) * u64::from(self.heard) / u64::from(holders)) as u32
    }
}

/// What an owner knows of the grants at endpoints that it took over.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnerTakeover {
    /// `None` if the owner need not ask anybody.
    holders: Option<GrantHolders>,
    /// Whether this owner scheduled all endpoints of its pool before, and does so now.
    was_alone: bool,
    is_alone: bool,
    running: Option<GrantSurvey>,
}

/// The questions of one takeover.
#[derive(Clone, Debug)]
struct GrantSurvey {
    begun_at: Instant,
    /// When the instances that may hold grants last changed.
    known_at: Instant,
    heard: BTreeSet<InstanceId>,
    /// Whether any of them holds a grant.
    has_grants: bool,
    asked_at: Option<Instant>,
    delay: Duration,
}

impl OwnerTakeover {
    /// Begins a takeover, or begins it again if more endpoints join one that runs.
    pub(super) fn begin(&mut self, now: Instant) {
        if self.holders.is_some() {
            self.running = Some(GrantSurvey {
                begun_at: now,
                known_at: now,
                heard: BTreeSet::new(),
                has_grants: false,
                asked_at: None,
                delay: SURVEY_DELAY_MIN,
            });
        }
    }

    /// Records whether this owner schedules all endpoints of its pool now.
    pub(super) fn set_alone(&mut self, is_alone: bool) {
        (self.was_alone, self.is_alone) = (self.is_alone, is_alone);
    }

    /// Whether endpoints that are new here may have been another owner's.
    pub(super) fn may_be_others(&self) -> bool {
        !(self.was_alone && self.is_alone)
    }

    /// Whether the owner must ask which grants are in use at endpoints that are new to it.
    pub(super) fn is_needed(&self) -> bool {
        self.holders.is_some()
    }

    /// Replaces the instances that may hold grants; new ones are asked at once.
    pub(super) fn set_holders(&mut self, holders: GrantHolders, now: Instant) {
        if let Some(survey) = &mut self.running {
            (survey.asked_at, survey.known_at) = (None, now);
        }
        self.holders = Some(holders);
    }

    /// Records that an instance said which grants it holds, or that it holds none any more.
    pub(super) fn record_heard(&mut self, instance: &InstanceId, has_grants: bool) {
        if let Some(survey) = &mut self.running {
            survey.heard.insert(instance.clone());
            survey.has_grants |= has_grants;
        }
    }

    /// When the next step is due, while a takeover runs.
    pub(super) fn next_due(&self) -> Option<Instant> {
        let survey = self.running.as_ref()?;
        let asked = survey.asked_at.map_or(survey.begun_at, |asked_at| asked_at + survey.delay);
        Some(asked.min(survey.begun_at + RESERVE_TIME))
    }

    /// Asks those that are silent, and ends the takeover once all were heard or its time is over.
    pub(super) fn advance(
        &mut self,
        endpoints: &mut EndpointTable,
        now: Instant,
        actions: &mut Vec<OwnerAction>,
    ) {
        let (Some(holders), Some(survey)) = (&self.holders, &mut self.running) else { return };
        if !endpoints.has_holds() {
            self.running = None;
            return;
        }
        let silent: Vec<InstanceId> =
            holders.instances.difference(&survey.heard).cloned().collect();
        let waited = now.saturating_duration_since(survey.begun_at);
        let is_start = survey.heard.len() > 1 && !survey.has_grants && waited >= START_TIME;
        let is_answered = silent.is_empty() && (holders.unheard == Some(0) || is_start);
        if is_answered || waited >= RESERVE_TIME {
            let (heard, taken) = (survey.heard.len(), endpoints.end_holds());
            actions.push(OwnerAction::TakenOver { endpoints: taken, heard, silent, waited });
            self.running = None;
            return;
        }
        let known = holders.instances.len() as u32;
        // An owner that has heard of itself alone may be the only one of its fleet that has just started.
        let unheard = holders.unheard.filter(|unheard| known > 1 || *unheard == 0);
        endpoints.update_holds(&SlotHold {
            taken_at: survey.begun_at,
            known_at: survey.known_at,
            heard: known - silent.len() as u32,
            holders: unheard.map(|unheard| known + unheard),
            is_awaiting: !silent.is_empty(),
        });
        let is_due = survey.asked_at.is_none_or(|asked_at| now >= asked_at + survey.delay);
        if is_due && !silent.is_empty() {
            survey.delay = match survey.asked_at {
                Some(_) => (survey.delay * 2).min(SURVEY_DELAY_MAX),
                None => SURVEY_DELAY_MIN,
            };
            actions.push(OwnerAction::AskHolders { silent });
        }
        if is_due {
            survey.asked_at = Some(now);
        }
    }
}

impl EndpointTable {
    /// The endpoints that this owner schedules.
    pub(super) fn owned(&self) -> Vec<EndpointId> {
        let owned = self.endpoints.iter().filter(|(_, endpoint)| endpoint.is_owned);
        owned.map(|(id, _)| id.clone()).collect()
    }

    /// Holds back the slots of some endpoints from now on.
    pub(super) fn hold(&mut self, taken: &[EndpointId], now: Instant) {
        let hold =
            SlotHold { taken_at: now, known_at: now, heard: 0, holders: None, is_awaiting: true };
        for id in taken {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                endpoint.hold = Some(hold);
            }
        }
    }

    /// Replaces what is known of all holds but when each began.
    fn update_holds(&mut self, known: &SlotHold) {
        for hold in self.endpoints.values_mut().filter_map(|endpoint| endpoint.hold.as_mut()) {
            *hold = SlotHold { taken_at: hold.taken_at, ..*known };
        }
    }

    /// Whether slots of an endpoint that this owner schedules are held back.
    fn has_holds(&self) -> bool {
        self.endpoints.values().any(|endpoint| endpoint.is_owned && endpoint.hold.is_some())
    }

    /// Ends all holds and returns their number.
    fn end_holds(&mut self) -> usize {
        let holds = self.endpoints.values_mut().map(|endpoint| endpoint.hold.take());
        holds.filter(Option::is_some).count()
    }

    /// Counts or forgets a request that this instance runs at an endpoint under a grant of another queue.
    pub(super) fn record_elsewhere(&mut self, id: &EndpointId, is_held: bool) {
        let count = self.held_elsewhere.entry(id.clone()).or_default();
        *count = if is_held { *count + 1 } else { count.saturating_sub(1) };
        let count = *count;
        if count == 0 {
            self.held_elsewhere.remove(id);
        }
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.held_elsewhere = count;
        }
    }
}
