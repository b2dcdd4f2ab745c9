//! The state of an owner's endpoints, for status pages.

use std::time::Duration;

use super::straggler::EndpointState;
use crate::ids::EndpointId;

/// The state of one endpoint, for status pages.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSnapshot {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The health state.
    pub state: EndpointState,
    /// Whether it is draining or is assigned to another owner now.
    pub is_draining: bool,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// The limit that it stated on the requests a second of all callers, if any.
    pub limit: Option<f64>,
    /// Number of grants in flight.
    pub in_flight: u32,
    /// Estimated time until the engine has prefilled all prompts that were sent to it.
    pub backlog: Duration,
    /// Estimated prefill rate of the engine, in tokens per second.
    pub prefill_rate: u32,
    /// Mean time between tokens, if measured.
    pub token_time: Option<Duration>,
}
