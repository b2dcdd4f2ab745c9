//! What is noted about a request while it walks the pipeline.

use std::time::{Duration, Instant};

use coltsfootgate_core::prelude::{InstanceId, RequestId};

use super::classify::ClassifiedRequest;
use super::record::DecisionRecord;
use crate::clock;
use crate::entry::AcceptedRequest;

/// Collects the facts of one request for its record.
#[derive(Debug)]
pub struct RequestJournal {
    /// The id of the request.
    pub id: RequestId,
    /// When it arrived.
    pub arrived: Instant,
    /// The record so far.
    pub record: DecisionRecord,
}

impl RequestJournal {
    /// Starts the journal of a request.
    pub fn new(id: RequestId, arrived: Instant, own: &InstanceId) -> Self {
        let record = DecisionRecord {
            request_id: id.to_string(),
            instance: own.to_string(),
            arrived_ms: wall_milliseconds(),
            ..DecisionRecord::default()
        };
        Self { id, arrived, record }
    }

    /// Starts the journal of a request that arrived whole.
    pub fn from_accepted(accepted: &AcceptedRequest, own: &InstanceId) -> Self {
        let mut journal = Self::new(accepted.id, accepted.arrived, own);
        journal.record.caller_id = accepted.metadata.caller_id.as_ref().map(ToString::to_string);
        journal
    }

    /// Notes the rules that hold for the request.
    pub fn record_class(&mut self, request: &ClassifiedRequest) {
        self.record.customer = Some(request.customer.id.to_string());
        self.record.class = Some(request.class.id.to_string());
        self.record.tier = Some(request.class.tier.number());
        self.record.pool = Some(request.pool.id.to_string());
        self.record.config_version = request.active.version;
    }

    /// Notes a grant and how long it was waited for.
    pub fn record_grant(&mut self, endpoint: &str, owner: &str, wait: Duration, by_floor: bool) {
        self.record.endpoint = Some(endpoint.to_owned());
        self.record.owner = Some(owner.to_owned());
        self.record.granted_ms = Some(wall_milliseconds());
        self.record.wait_ms += wait.as_secs_f64() * 1000.0;
        self.record.by_floor |= by_floor;
    }

    /// Notes that the request waited in vain.
    pub fn record_wait(&mut self, wait: Duration) {
        self.record.wait_ms += wait.as_secs_f64() * 1000.0;
    }

    /// Notes the first token or the answer, once.
    pub fn record_first_token(&mut self, now: Instant) {
        let elapsed = now.duration_since(self.arrived);
        self.record.first_token_ms.get_or_insert(elapsed.as_secs_f64() * 1000.0);
    }
}

/// Milliseconds since the Unix epoch.
pub fn wall_milliseconds() -> u64 {
    u64::try_from(clock::wall_time().as_millis()).unwrap_or(u64::MAX)
}
