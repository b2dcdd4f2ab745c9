//! Tells a lost path of an instance from failures of the endpoints behind it.
//!
//! Load pattern: one instance, or some of them, cannot reach endpoints that serve all others. Its failed connects
//! and lost connections arrive at the owner among the completed requests of the others.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::event::{ReleaseReport, ReleaseResult};
use crate::ids::{EndpointId, InstanceId};

/// Time for which a failure says something about the path of the instance that reports it.
const FAILURE_TIME: Duration = Duration::from_secs(2);
/// Time for which a complete answer shows that endpoints are reached.
const COMPLETION_TIME: Duration = Duration::from_secs(1);
/// Number of endpoints at which an instance fails, without a complete answer between, from which its path is in
/// doubt.
const FAILED_ENDPOINTS_MIN: usize = 2;

/// What the reports of instances show about their paths to the endpoints of a pool.
#[derive(Clone, Debug, Default)]
pub struct RequesterPaths {
    /// The endpoints that an instance did not reach since its last complete answer.
    failed: BTreeMap<InstanceId, BTreeMap<EndpointId, Instant>>,
    /// When each instance last got a complete answer.
    completed: BTreeMap<InstanceId, Instant>,
}

impl RequesterPaths {
    /// Records how an attempt ended; returns whether that is a fault of the requester's path rather than of the
    /// endpoint.
    pub fn record(&mut self, report: &ReleaseReport, now: Instant) -> bool {
        match report.result {
            ReleaseResult::Completed => {
                self.failed.remove(&report.requester);
                self.completed.insert(report.requester.clone(), now);
                false
            }
            ReleaseResult::ConnectFailed
            | ReleaseResult::ConnectionLost
            | ReleaseResult::Silent => {
                let failed = self.failed.entry(report.requester.clone()).or_default();
                failed.insert(report.endpoint.clone(), now);
                failed.retain(|_, failed_at| now < *failed_at + FAILURE_TIME);
                failed.len() >= FAILED_ENDPOINTS_MIN && self.serves_others(&report.requester, now)
            }
            ReleaseResult::Cancelled
            | ReleaseResult::NotSent
            | ReleaseResult::Refused
            | ReleaseResult::Failed => false,
        }
    }

    /// Forgets an instance that is gone.
    pub fn remove(&mut self, requester: &InstanceId) {
        self.failed.remove(requester);
        self.completed.remove(requester);
    }

    /// Whether another instance got a complete answer lately.
    fn serves_others(&self, requester: &InstanceId, now: Instant) -> bool {
        let others = self.completed.iter().filter(|(instance, _)| *instance != requester);
        others.into_iter().any(|(_, completed_at)| now < *completed_at + COMPLETION_TIME)
    }
}
