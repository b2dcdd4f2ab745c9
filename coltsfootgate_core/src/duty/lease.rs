//! Decides when an instance takes, uses, renews and gives up the lease on the duties.
//!
//! The failures that this is made for: a holder that is killed, paused or cut off from the store or from its peers;
//! calls whose answers are lost and which are executed late; a store that forgets leases or comes back from an older
//! copy; two instances that each consider themselves the first in order. At any time at most one instance may act.
//!
//! All times are times since boot on a clock that includes suspension.

use std::time::Duration;

use super::{DutyToken, StoreEra};

/// Bits of a token below the era: revisions of one era stay below 2 to the power of this.
const REVISION_BITS: u32 = 40;
/// Interval between reads of the lease by the instance that is first in order and does not hold it.
const FIRST_LOOK_PERIOD: Duration = Duration::from_millis(500);
/// Interval between reads by those that follow, for each place in the order.
const NEXT_LOOK_PERIOD: Duration = Duration::from_secs(2);
/// How long an instance leaves a free lease to each one before it in the order.
const TURN_DELAY: Duration = Duration::from_millis(1500);
/// Renewals within the time to live of the lease.
const RENEWALS_PER_TTL: u32 = 3;

/// Number of instances, in order, that take the lease if it is free.
pub const CANDIDATE_COUNT: usize = 3;

/// The time limits of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseTerms {
    /// Time to live of the lease in the store after each renewal.
    pub ttl: Duration,
    /// Time limit of a call that only the holder may make; the lease must last that much longer when it is sent.
    pub call_time: Duration,
    /// Time for which an instance that acted under an earlier lease does not act under a new one.
    pub rest: Duration,
}

/// The next step of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Nothing to do now.
    Wait,
    /// Read who holds the lease.
    Look,
    /// Take the lease, provided that nobody holds it.
    Take,
    /// Renew the lease.
    Renew,
    /// Give the lease up, so that another instance takes it at once.
    Release,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct HeldLease {
    token: DutyToken,
    /// Until when no other instance can have taken the lease.
    valid_until: Duration,
    /// From when on the holder may act.
    acts_from: Duration,
    next_renewal: Duration,
}

/// What an instance knows about the lease.
#[derive(Clone, Debug)]
pub struct DutyLease {
    terms: LeaseTerms,
    started: Duration,
    era: Option<EraSight>,
    held: Option<HeldLease>,
    /// Since when the lease has been free, as far as this instance knows.
    free_since: Option<Duration>,
    next_look: Duration,
    /// Until when this instance may have acted under the last lease that it held.
    acted_until: Option<Duration>,
    /// Since when this instance is no candidate any more although it holds the lease.
    outranked_since: Option<Duration>,
}

/// The store's era, and when this instance first saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct EraSight {
    era: StoreEra,
    since: Duration,
}

impl DutyLease {
    /// Creates the state of an instance whose process started at `started` and holds nothing.
    pub fn new(terms: LeaseTerms, started: Duration) -> Self {
        Self {
            terms,
            started,
            era: None,
            held: None,
            free_since: None,
            next_look: started,
            acted_until: None,
            outranked_since: None,
        }
    }

    /// Records the era that an answer of the store states.
    ///
    /// In another era the lease may be gone or belong to someone else, so it is given up.
    pub fn observe_era(&mut self, era: StoreEra, now: Duration) {
        if self.era.is_none_or(|sight| sight.era < era) {
            self.era = Some(EraSight { era, since: now });
            self.lose(now);
        }
    }

    /// The next step of the instance, which is at this place in the order of candidates; `None` if it is no candidate.
    ///
    /// A holder keeps the lease while others come before it, and gives it up if it is no candidate for long: a small
    /// instance may be the first that starts.
    pub fn step(&mut self, place: Option<usize>, now: Duration) -> LeaseStep {
        let is_candidate = place.is_some_and(|place| place < CANDIDATE_COUNT);
        if is_candidate || self.held.is_none() {
            self.outranked_since = None;
        } else {
            self.outranked_since.get_or_insert(now);
        }
        if let Some(held) = self.held {
            let is_outranked = |since: Duration| now >= since + self.terms.rest;
            if now >= held.valid_until {
                self.lose(now);
            } else if self.outranked_since.is_some_and(is_outranked) {
                return LeaseStep::Release;
            } else if now >= held.next_renewal {
                return LeaseStep::Renew;
            } else {
                return LeaseStep::Wait;
            }
        }
        let Some(place) = place.filter(|place| *place < CANDIDATE_COUNT) else {
            self.free_since = None;
            return LeaseStep::Wait;
        };
        if now < self.next_look {
            return LeaseStep::Wait;
        }
        let turn = TURN_DELAY * place as u32;
        if self.free_since.is_some_and(|since| now >= since + turn) {
            return LeaseStep::Take;
        }
        LeaseStep::Look
    }

    /// Records that a read found the lease free or held.
    pub fn looked(&mut self, is_free: bool, place: usize, now: Duration) {
        if is_free {
            let since = *self.free_since.get_or_insert(now);
            self.next_look = now.max(since + TURN_DELAY * place as u32);
        } else {
            self.wait_for_next(place, now);
        }
    }

    /// Records that the lease was taken with a write that was acknowledged; its time to live runs from `sent`.
    pub fn taken(&mut self, revision: u64, era: StoreEra, sent: Duration, now: Duration) {
        self.observe_era(era, now);
        let era_since = self.era.map_or(now, |sight| sight.since);
        let rested = self.acted_until.map_or(self.started, |until| until.max(self.started));
        // A store that lost the lease of an earlier holder leaves that holder the time to live to notice.
        let acts_from = now.max(era_since + self.terms.ttl).max(rested + self.terms.rest);
        self.free_since = None;
        self.held = Some(HeldLease {
            token: token(era, revision),
            valid_until: sent + self.terms.ttl,
            acts_from,
            next_renewal: sent + self.terms.ttl / RENEWALS_PER_TTL,
        });
    }

    /// Records that the lease could not be taken, or that it is not known whether it was. A write that took effect
    /// unseen is never used: its lease expires, since nobody renews it.
    pub fn not_taken(&mut self, place: usize, now: Duration) {
        self.wait_for_next(place, now);
    }

    /// Records an acknowledged renewal that was sent at `sent`.
    pub fn renewed(&mut self, sent: Duration) {
        if let Some(held) = &mut self.held {
            held.valid_until = held.valid_until.max(sent + self.terms.ttl);
            held.next_renewal = sent + self.terms.ttl / RENEWALS_PER_TTL;
        }
    }

    /// Records that the answer to a renewal was lost: the lease holds as long as the renewals before it allow.
    pub fn not_renewed(&mut self, now: Duration) {
        if let Some(held) = &mut self.held {
            held.next_renewal = now + self.terms.ttl / (2 * RENEWALS_PER_TTL);
        }
    }

    /// Records that the token was raised by a write that was acknowledged.
    pub fn raised(&mut self, revision: u64, era: StoreEra, now: Duration) {
        self.observe_era(era, now);
        if let Some(held) = &mut self.held {
            held.token = held.token.max(token(era, revision));
        }
    }

    /// Records that the lease is over: the store or the platform said so, or it was given up.
    pub fn lose(&mut self, now: Duration) {
        if let Some(held) = self.held.take()
            && now >= held.acts_from
        {
            self.acted_until = Some(now.min(held.valid_until));
        }
        self.free_since = None;
        self.next_look = self.next_look.max(now);
    }

    /// The token to act with now; `None` unless this instance holds the lease for the time limit of a call.
    pub fn token(&self, now: Duration) -> Option<DutyToken> {
        let held = self.held?;
        let may_act = now >= held.acts_from && now + self.terms.call_time < held.valid_until;
        may_act.then_some(held.token)
    }

    /// The token of the lease that this instance holds, whether or not it may act yet.
    pub fn held_token(&self) -> Option<DutyToken> {
        self.held.map(|held| held.token)
    }

    /// The era that the store stated last.
    pub fn era(&self) -> StoreEra {
        self.era.map_or(0, |sight| sight.era)
    }

    fn wait_for_next(&mut self, place: usize, now: Duration) {
        self.free_since = None;
        let period = match place {
            0 => FIRST_LOOK_PERIOD,
            _ => NEXT_LOOK_PERIOD * place as u32,
        };
        self.next_look = now + period;
    }
}

/// The token of a lease that was taken at a revision. Tokens of an era are above all of the eras before.
fn token(era: StoreEra, revision: u64) -> DutyToken {
    (era << REVISION_BITS) | (revision & ((1 << REVISION_BITS) - 1))
}
