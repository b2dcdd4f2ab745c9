//! What is shown of an owner's endpoints.

use std::time::Duration;

use super::straggler::EndpointState;
use crate::ids::EndpointId;

/// What status pages show of an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointSnapshot {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How far it is trusted.
    pub state: EndpointState,
    /// Whether it is leaving, or has passed to another owner.
    pub is_draining: bool,
    /// Requests it may run at once.
    pub slots: u32,
    /// Grants in flight.
    pub in_flight: u32,
    /// Mean time between tokens, if measured.
    pub token_time: Option<Duration>,
}
