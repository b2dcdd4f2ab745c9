//! Input events and output actions of a pool owner.

use std::time::{Duration, Instant};

use super::straggler::EndpointState;
use super::takeover::GrantHolders;
use super::waiting::WaitingCounts;
use crate::endpoint_limit::LimitStatement;
use crate::ids::{
    ClassId, CustomerId, EndpointId, GrantId, InstanceId, RequestId, RequestTier, SoftwareVersion,
    ZoneName,
};
use crate::prompt::PromptLoad;
use crate::reason::ErrorKind;
use crate::settings::EndpointSettings;

/// A request for a grant, which allows sending one request to one endpoint of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct GrantRequest {
    /// The id of the request that is to be sent, for logs.
    pub request: RequestId,
    /// The entry instance, which received the request from its caller and requests the grant.
    pub requester: InstanceId,
    /// Identifies the grant at the requester; a retransmitted request carries the same id.
    pub grant: GrantId,
    /// The class of the request.
    pub class: ClassId,
    /// The priority tier of the customer, or of the class if the customer has none.
    pub tier: RequestTier,
    /// The tier that the class configures, which orders requests of the same tier.
    pub stated_tier: RequestTier,
    /// The customer who sent the request.
    pub customer: CustomerId,
    /// The customer's scheduling weight among customers of the same tier.
    pub weight: f64,
    /// The minimum share of tokens that the tier receives while it has waiting requests, 0 to 1.
    pub floor: f64,
    /// Maximum number of waiting requests of the tier.
    pub queue_requests: u32,
    /// Maximum estimated tokens of the tier's waiting requests.
    pub queue_tokens: u64,
    /// Estimated length of the answer, in tokens.
    pub tokens: u32,
    /// The load that the request puts on a model engine.
    pub prompt: PromptLoad,
    /// The availability zone of the entry instance.
    pub zone: ZoneName,
    /// When the request arrived at the entry instance.
    pub arrived: Instant,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Digest of the prompt's prefix, to prefer endpoints that have it cached.
    pub prefix: Option<u64>,
    /// The software version that the endpoint must have; any if the request continues no stream.
    pub version: Option<SoftwareVersion>,
    /// Endpoints that already failed this request.
    pub excluded: Vec<EndpointId>,
    /// Whether to queue the request when no slot is free.
    pub wait: bool,
}

/// An owner's answer to a grant request.
#[derive(Clone, Debug, PartialEq)]
pub enum GrantAnswer {
    /// The request may be sent to this endpoint.
    Granted {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether a tier's floor let the request overtake a waiting one of a higher tier.
        by_floor: bool,
        /// Whether the grant counts towards a limit that the endpoint stated.
        is_paced: bool,
        /// The owner's load in this pool.
        pressure: OwnerPressure,
    },
    /// No slot is free, and the request is not to be queued.
    Busy(OwnerPressure),
    /// The owner refuses the request.
    Refused {
        /// The reason.
        kind: ErrorKind,
        /// The owner's load in this pool.
        pressure: OwnerPressure,
    },
}

/// Queue order: by tier, then by the tier that the class configures; the smallest is served first.
pub type QueueRank = (RequestTier, RequestTier);

impl GrantRequest {
    /// Its rank in the queue.
    pub fn rank(&self) -> QueueRank {
        (self.tier, self.stated_tier)
    }
}

/// How a request that held a grant ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ReleaseResult {
    /// The endpoint sent its complete answer.
    Completed,
    /// The request was cancelled after it was sent, because its caller disconnected or its
    /// deadline passed.
    Cancelled,
    /// The request was never sent.
    NotSent,
    /// The endpoint refused the request before executing it.
    Refused,
    /// Connecting to the endpoint failed.
    ConnectFailed,
    /// The endpoint stopped responding.
    Silent,
    /// The connection was lost before the answer was complete.
    ConnectionLost,
    /// The endpoint returned an error, or an answer that is not usable.
    Failed,
}

/// The return of a grant, with what the entry instance observed of the endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReleaseReport {
    /// The entry instance that held the grant.
    pub requester: InstanceId,
    /// The grant.
    pub grant: GrantId,
    /// The endpoint that the grant was for.
    pub endpoint: EndpointId,
    /// Tokens received from the endpoint.
    pub tokens: u32,
    /// Time from sending the request to its first token, or to the head of its answer.
    pub first_token: Option<Duration>,
    /// Mean time between two tokens of the answer.
    pub between_tokens: Option<Duration>,
    /// How the request ended.
    pub result: ReleaseResult,
}

/// A grant that an entry instance reports as held.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldGrant {
    /// The grant.
    pub grant: GrantId,
    /// The endpoint that the grant is for.
    pub endpoint: EndpointId,
    /// The class of the request.
    pub class: ClassId,
    /// The rank of the request.
    pub rank: QueueRank,
    /// What the request reserves at an engine; the default for a service without tokens.
    pub reservation: EngineReservation,
}

/// What a running request reserves at a model engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EngineReservation {
    /// KV cache, in tokens.
    pub kv_cache_tokens: u64,
    /// Target for the time between two tokens of the answer.
    pub between_tokens: Duration,
}

impl From<&PromptLoad> for EngineReservation {
    fn from(prompt: &PromptLoad) -> Self {
        Self {
            kv_cache_tokens: prompt.kv_cache_tokens(),
            between_tokens: prompt.between_tokens_target,
        }
    }
}

/// An input of a pool owner.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerEvent {
    /// An entry instance requests a grant.
    RequestGrant(GrantRequest),
    /// An entry instance received the first token of a granted request.
    FirstToken {
        /// The entry instance that requested the grant.
        requester: InstanceId,
        /// The grant.
        grant: GrantId,
    },
    /// An entry instance returns a grant.
    Release(ReleaseReport),
    /// An entry instance withdraws a grant request, whether or not it was already granted.
    Cancel {
        /// The entry instance that requested the grant.
        requester: InstanceId,
        /// The grant.
        grant: GrantId,
    },
    /// An entry instance failed or left; its grants and waiting requests are dropped.
    RequesterLost {
        /// The entry instance.
        requester: InstanceId,
    },
    /// An entry instance lists all grants that it holds for endpoints of this owner.
    Announce {
        /// The entry instance.
        requester: InstanceId,
        /// The grants it holds.
        held: Vec<HeldGrant>,
    },
    /// An entry instance was asked which of some grants it holds.
    Confirm {
        /// The entry instance.
        requester: InstanceId,
        /// The grants that it was asked for.
        asked: Vec<GrantId>,
        /// Those of them that it holds.
        held: Vec<GrantId>,
    },
    /// The load that an endpoint reported about itself.
    LoadReport {
        /// The endpoint.
        endpoint: EndpointId,
        /// Requests that it was running.
        running: u32,
        /// Requests in the endpoint's own queue.
        waiting: u32,
        /// Age of the report.
        age: Duration,
    },
    /// An answer of an endpoint stated whether it limits the requests of all callers.
    LimitStated(LimitStatement),
    /// The result of a health probe.
    ProbeResult {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether it accepted a connection.
        alive: bool,
    },
    /// Times between tokens at the endpoints of the pool's other owners.
    PeerTokenTimes {
        /// The median time between tokens of each owner that has measurements.
        token_times: Vec<Duration>,
    },
    /// Replaces the instances that may hold grants. From then on, endpoints that are new to this owner are granted once
    /// these have said what they hold.
    Holders(GrantHolders),
    /// Whether this owner schedules all endpoints of the pool, from the next `Endpoints` on. As long as it does, endpoints
    /// that join were nobody else's.
    Alone(bool),
    /// This process goes on after a pause in which others may have granted the slots of its endpoints.
    Resumed,
    /// Replaces the set of endpoints that this owner schedules.
    Endpoints(Vec<EndpointSettings>),
    /// An endpoint is draining and accepts no new requests.
    EndpointDraining {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Processes deadlines and probes that are due.
    Tick,
}

/// An output of a pool owner, for its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerAction {
    /// Allow the requester to send its request to the endpoint.
    Grant {
        /// The entry instance.
        requester: InstanceId,
        /// The grant.
        grant: GrantId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether a tier's floor let the request overtake a waiting one of a higher tier.
        by_floor: bool,
        /// Whether the grant counts towards a limit that the endpoint stated.
        is_paced: bool,
        /// The load of the owner.
        pressure: OwnerPressure,
    },
    /// Refuse the grant request.
    Refuse {
        /// The entry instance.
        requester: InstanceId,
        /// The grant.
        grant: GrantId,
        /// The reason.
        kind: ErrorKind,
        /// The load of the owner.
        pressure: OwnerPressure,
    },
    /// Report that no slot is free to a requester that chose not to wait.
    Busy {
        /// The entry instance.
        requester: InstanceId,
        /// The grant.
        grant: GrantId,
        /// The load of the owner.
        pressure: OwnerPressure,
    },
    /// Report that the health state of an endpoint changed.
    StateChanged {
        /// The endpoint.
        endpoint: EndpointId,
        /// The new state.
        state: EndpointState,
    },
    /// Report that an endpoint's limit on the requests of all callers changed.
    LimitChanged {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its limit in requests a second, if it still has one.
        rate: Option<f64>,
    },
    /// Ask instances which grants they hold; each answers with an `Announce`.
    AskHolders {
        /// The instances that were not heard yet.
        silent: Vec<InstanceId>,
    },
    /// Report that the owner now grants all slots of endpoints that it took over.
    TakenOver {
        /// Number of these endpoints.
        endpoints: usize,
        /// Number of instances that said what they hold.
        heard: usize,
        /// The instances that did not.
        silent: Vec<InstanceId>,
        /// Time since the owner took them over.
        waited: Duration,
    },
    /// Connect to the endpoint and report a `ProbeResult`.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
}

/// The load of a pool owner, as sent to entry instances.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OwnerPressure {
    /// Free slots.
    pub free_slots: u32,
    /// All slots, free or taken.
    pub slots: u32,
    /// Waiting requests.
    pub waiting: WaitingCounts,
    /// Expected time between two grants while all slots are taken; zero if unknown.
    pub grant_interval: Duration,
    /// Median time between tokens over the owner's endpoints, if measured.
    pub token_time: Option<Duration>,
}

impl OwnerPressure {
    /// Whether a free slot may go to a new request of this rank.
    ///
    /// Requests that wait although slots are free lack something else, such as prefill time, which
    /// a new request of their rank or a lower one lacks too.
    pub fn may_serve(&self, rank: QueueRank) -> bool {
        self.free_slots > 0 && self.waiting.highest().is_none_or(|waiting| rank < waiting)
    }

    /// Expected wait of a new request of this rank; zero if it may be served at once or no estimate
    /// exists.
    pub fn expected_wait(&self, rank: QueueRank) -> Duration {
        if self.may_serve(rank) {
            return Duration::ZERO;
        }
        self.grant_interval.saturating_mul(self.waiting.before(rank) + 1)
    }

    /// Expected wait behind `ahead` requests; zero if a slot is free or no estimate exists.
    pub fn wait_behind(&self, ahead: u32) -> Duration {
        match self.free_slots {
            0 => self.grant_interval.saturating_mul(ahead + 1),
            _ => Duration::ZERO,
        }
    }
}
