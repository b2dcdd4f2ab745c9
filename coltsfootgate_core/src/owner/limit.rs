//! Applies the limits that endpoints state on the rate of their requests.

use std::time::Instant;

use super::endpoint::EndpointTable;
use crate::endpoint_limit::LimitStatement;
use crate::ids::EndpointId;

impl EndpointTable {
    /// When the limit of an endpoint next allows a request, if one allows none at `now`.
    pub fn next_allowed(&self, now: Instant) -> Option<Instant> {
        let endpoints = self.endpoints.values().filter(|endpoint| endpoint.slot_limit(now) > 0);
        endpoints.filter_map(|endpoint| endpoint.limiter.next_available(now)).min()
    }

    /// Applies what an answer stated about the endpoint's limit, and returns the limit if it
    /// changed.
    pub fn observe_limit(
        &mut self,
        statement: &LimitStatement,
        now: Instant,
    ) -> Option<Option<f64>> {
        let limiter = &mut self.endpoints.get_mut(&statement.endpoint)?.limiter;
        let is_changed = limiter.observe(statement, now);
        is_changed.then(|| limiter.stated_rate())
    }

    /// Whether an endpoint limits its requests.
    pub fn is_limited(&self, endpoint: &EndpointId) -> bool {
        let endpoint = self.endpoints.get(endpoint);
        endpoint.is_some_and(|endpoint| endpoint.limiter.rate().is_some())
    }

    /// Returns a grant that was not used to the endpoint's limit.
    pub fn refund_limit(&mut self, endpoint: &EndpointId, now: Instant) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.limiter.refund(now);
        }
    }

    /// Sets the number of instances among which the endpoints' limits are divided.
    pub fn set_limit_sharers(&mut self, sharers: u32) {
        self.limit_sharers = sharers;
        for endpoint in self.endpoints.values_mut() {
            endpoint.limiter.set_sharers(sharers);
        }
    }
}
