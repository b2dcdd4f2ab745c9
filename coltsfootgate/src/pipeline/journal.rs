//! Collects the decision record of a request while the pipeline processes it.

use std::time::{Duration, Instant};

use coltsfootgate_core::prelude::{InstanceId, RequestId};
use coltsfootgate_core::prompt::shared_parts;

use super::classify::ClassifiedRequest;
use super::record::DecisionRecord;
use super::route::GrantSearch;
use crate::clock;
use crate::entry::AcceptedRequest;

/// The decision record of one request in progress.
#[derive(Debug)]
pub struct RequestJournal {
    /// The id of the request.
    pub id: RequestId,
    /// When the request arrived.
    pub arrived: Instant,
    /// The record so far.
    pub record: DecisionRecord,
}

impl RequestJournal {
    /// Creates the journal of a request that was not read completely.
    pub fn new(id: RequestId, arrived: Instant, own: &InstanceId) -> Self {
        let record = DecisionRecord {
            request_id: id.to_string(),
            instance: own.to_string(),
            arrived_ms: wall_milliseconds(),
            ..DecisionRecord::default()
        };
        Self { id, arrived, record }
    }

    /// Creates the journal of a request that was read completely.
    pub fn from_accepted(accepted: &AcceptedRequest, own: &InstanceId) -> Self {
        let mut journal = Self::new(accepted.id, accepted.arrived, own);
        journal.record.caller_id = accepted.metadata.caller_id.as_ref().map(ToString::to_string);
        let resumption = accepted.metadata.resumption.as_ref();
        let parts = shared_parts(&accepted.metadata.prompt.parts).iter();
        journal.record.shared_parts = parts.map(|part| format!("{:x}", part.id)).collect();
        journal.record.is_resumption = resumption.is_some();
        let resumes = resumption.and_then(|resumption| resumption.stream.as_deref());
        journal.record.resumes = resumes.map(ToOwned::to_owned);
        journal
    }

    /// Records the customer, class, tier, pool and settings version of the request.
    pub fn record_class(&mut self, request: &ClassifiedRequest) {
        self.record.customer = Some(request.customer.id.to_string());
        self.record.class = Some(request.class.id.to_string());
        self.record.tier = Some(request.class.tier.number());
        self.record.class_tier = Some(request.class_tier.number());
        self.record.pool = Some(request.pool.id.to_string());
        self.record.config_version = request.active.version;
    }

    /// Records that newer settings lead the request to another pool than the one for which it waited.
    pub fn record_reroute(&mut self, request: &ClassifiedRequest, rerouted: &ClassifiedRequest) {
        self.record.rerouted_from = Some(request.pool.id.to_string());
        self.record_class(rerouted);
    }

    /// Records an endpoint whose connection was lost while it had the request.
    pub fn record_lost(&mut self, request: &ClassifiedRequest, endpoint: &str) {
        self.record.lost_endpoints.push(endpoint.to_owned());
        self.record_digest(request);
    }

    /// Records the digest by which repeats of the request are recognized.
    pub fn record_digest(&mut self, request: &ClassifiedRequest) {
        self.record.request_digest = Some(format!("{:016x}", request.digest()));
    }

    /// Records a grant and the time that the request waited for it.
    pub fn record_grant(&mut self, endpoint: &str, owner: &str, wait: Duration, by_floor: bool) {
        self.record.endpoint = Some(endpoint.to_owned());
        self.record.owner = Some(owner.to_owned());
        self.record.granted_ms = Some(wall_milliseconds());
        self.record.wait_ms += wait.as_secs_f64() * 1000.0;
        self.record.by_floor |= by_floor;
    }

    /// Records which owners were asked for a grant.
    pub fn record_search(&mut self, search: &GrantSearch<'_>) {
        self.record.asked += search.asked();
        let queues = search.route().joined_queues.iter();
        self.record.queues = queues.map(ToString::to_string).collect();
    }

    /// Records the time that the request waited without a grant.
    pub fn record_wait(&mut self, wait: Duration) {
        self.record.wait_ms += wait.as_secs_f64() * 1000.0;
    }

    /// Records the time to the first token or the answer; later calls have no effect.
    pub fn record_first_token(&mut self, now: Instant) {
        let elapsed = now.duration_since(self.arrived);
        self.record.first_token_ms.get_or_insert(elapsed.as_secs_f64() * 1000.0);
    }
}

/// Milliseconds since the Unix epoch.
pub fn wall_milliseconds() -> u64 {
    u64::try_from(clock::wall_time().as_millis()).unwrap_or(u64::MAX)
}
