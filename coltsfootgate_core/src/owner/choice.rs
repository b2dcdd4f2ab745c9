//! Chooses the endpoint of an owner for each request.

use std::time::Instant;

use super::activity::DeferralCause;
use super::endpoint::{EndpointTable, OwnedEndpoint};
use super::event::GrantRequest;
use super::placement::{EngineCandidate, placement_cost};
use crate::ids::EndpointId;

/// Cost reduction for an endpoint that has the prefix cached, as a fraction of its slots.
const AFFINITY_BONUS: f64 = 0.25;
/// Cost, as a fraction of an endpoint's slots, if its error rate exceeds the pool's lowest by 1;
/// smaller differences cost proportionally less.
const ERROR_PENALTY: f64 = 2.5;
/// Cost, as a fraction of an endpoint's slots, if it takes as much longer than its pool as a good answer may.
const SLOW_PENALTY: f64 = 0.5;
/// Cost of an endpoint in another availability zone, as a fraction of its slots.
const ZONE_PENALTY: f64 = 0.05;

impl EndpointTable {
    /// Chooses the endpoint for a request.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request must wait.
    pub fn choose(
        &self,
        request: &GrantRequest,
        hint: Option<&EndpointId>,
        now: Instant,
    ) -> Result<EndpointId, DeferralCause> {
        if request.prompt.is_known() {
            self.choose_engine(request, now)
        } else {
            self.choose_least_loaded(request, hint, now).ok_or(DeferralCause::NoSlot)
        }
    }

    /// Chooses the engine with the lowest placement cost.
    fn choose_engine(
        &self,
        request: &GrantRequest,
        now: Instant,
    ) -> Result<EndpointId, DeferralCause> {
        let lowest_error_rate = self.lowest_error_rate(now);
        let last_position = self.endpoints.len().saturating_sub(1).max(1) as f64;
        let candidates = self.endpoints.iter().enumerate().filter(|(_, (id, endpoint))| {
            endpoint.free_slots(now) > 0 && endpoint.may_serve(id, request)
        });
        let mut cause = DeferralCause::NoSlot;
        let costs = candidates.filter_map(|(position, (id, endpoint))| {
            let engine = EngineCandidate {
                load: &endpoint.load,
                position: position as f64 / last_position,
                slot_usage: endpoint.slot_usage(now),
                is_same_zone: endpoint.settings.zone == request.zone,
                excess_error_rate: (endpoint.error_rate.get(now) - lowest_error_rate).max(0.0),
            };
            match placement_cost(request, engine, now) {
                Ok(cost) => Some((cost, id)),
                Err(deferral) => {
                    cause = cause.max(deferral);
                    None
                }
            }
        });
        let chosen = costs.min_by(|one, other| one.0.total_cmp(&other.0));
        chosen.map(|(_, id)| id.clone()).ok_or(cause)
    }

    /// Chooses the least loaded endpoint, with a preference for the hinted one and for the
    /// requester's availability zone.
    fn choose_least_loaded(
        &self,
        request: &GrantRequest,
        hint: Option<&EndpointId>,
        now: Instant,
    ) -> Option<EndpointId> {
        let lowest_error_rate = self.lowest_error_rate(now);
        let candidates = self.endpoints.iter().filter(|(id, endpoint)| {
            endpoint.free_slots(now) > 0 && endpoint.may_serve(id, request)
        });
        let cost = |(id, endpoint): &(&EndpointId, &OwnedEndpoint)| {
            let affinity_bonus = if hint == Some(id) { AFFINITY_BONUS } else { 0.0 };
            let is_other_zone = endpoint.settings.zone != request.zone;
            let zone_penalty = if is_other_zone { ZONE_PENALTY } else { 0.0 };
            let error_penalty =
                (endpoint.error_rate.get(now) - lowest_error_rate).max(0.0) * ERROR_PENALTY;
            let slow_penalty = endpoint.excess_slowness(now) * SLOW_PENALTY;
            let penalty = zone_penalty + error_penalty + slow_penalty;
            (endpoint.slot_usage(now) - affinity_bonus + penalty, endpoint.last_grant)
        };
        let order = |one: &(f64, u64), other: &(f64, u64)| {
            one.0.total_cmp(&other.0).then(one.1.cmp(&other.1))
        };
        let chosen = candidates.min_by(|one, other| order(&cost(one), &cost(other)));
        chosen.map(|(id, _)| id.clone())
    }

    /// The lowest error rate of all endpoints in service.
    ///
    /// Error rates are compared with the lowest and not with the median: where most endpoints fail,
    /// a comparison with the median would not favour those that work.
    fn lowest_error_rate(&self, now: Instant) -> f64 {
        let endpoints = self.endpoints.values().filter(|endpoint| endpoint.is_in_service());
        endpoints.map(|endpoint| endpoint.error_rate.get(now)).min_by(f64::total_cmp).unwrap_or(0.0)
    }
}
