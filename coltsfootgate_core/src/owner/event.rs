//! What an owner is told and what it answers.

use std::time::{Duration, Instant};

use super::straggler::EndpointState;
use crate::ids::TIER_COUNT;
use crate::ids::{
    ClassId, CustomerId, EndpointId, GrantId, InstanceId, RequestId, RequestTier, ZoneName,
};
use crate::prompt::PromptLoad;
use crate::reason::ErrorKind;
use crate::settings::EndpointSettings;

/// Asks an owner for the right to send one request to one of its endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct GrantRequest {
    /// The request, for logs.
    pub request: RequestId,
    /// The entry instance that asks.
    pub asker: InstanceId,
    /// The id by which the asker knows the grant; repeated in a repeated ask.
    pub grant: GrantId,
    /// The class of the request.
    pub class: ClassId,
    /// The tier of the customer, or else of the class.
    pub tier: RequestTier,
    /// The tier that the class states, which orders requests of the same tier.
    pub stated_tier: RequestTier,
    /// The customer who sent the request.
    pub customer: CustomerId,
    /// The customer's weight against others of the same tier.
    pub weight: f64,
    /// The share of tokens that the tier gets at least while it waits, 0 to 1.
    pub floor: f64,
    /// How many requests of the tier may wait.
    pub queue_requests: u32,
    /// How many estimated tokens of the tier may wait.
    pub queue_tokens: u64,
    /// Estimated tokens of the answer.
    pub tokens: u32,
    /// What it asks of an engine.
    pub prompt: PromptLoad,
    /// The availability zone of the entry instance.
    pub zone: ZoneName,
    /// When it arrived at the entry instance.
    pub arrived: Instant,
    /// When the caller gives up.
    pub deadline: Instant,
    /// Digest of the start of the prompt, for a hint at a warm cache.
    pub prefix: Option<u64>,
    /// Endpoints that already failed this request.
    pub excluded: Vec<EndpointId>,
    /// Whether to wait in the queue when no slot is free.
    pub wait: bool,
}

/// The order of waiting requests: by tier, then by the tier that the class states; least goes first.
pub type QueueRank = (RequestTier, RequestTier);

impl GrantRequest {
    /// Its place among those that wait.
    pub fn rank(&self) -> QueueRank {
        (self.tier, self.stated_tier)
    }
}

/// How the use of a grant ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ReleaseResult {
    /// The endpoint gave its whole answer.
    Completed,
    /// The request was cancelled on the way, because its caller left or its deadline passed.
    Cancelled,
    /// The request was never sent.
    NotSent,
    /// The endpoint refused the request before starting it.
    Refused,
    /// No connection to the endpoint could be made.
    ConnectFailed,
    /// The endpoint went silent.
    Silent,
    /// The endpoint answered with an error or broke off.
    Failed,
}

/// What an entry saw of an endpoint while it used a grant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReleaseReport {
    /// The entry instance that held the grant.
    pub asker: InstanceId,
    /// The grant.
    pub grant: GrantId,
    /// The endpoint that the grant was for.
    pub endpoint: EndpointId,
    /// Tokens received.
    pub tokens: u32,
    /// Time from sending to the first token or the head of the answer.
    pub first_token: Option<Duration>,
    /// Mean time between two tokens.
    pub between_tokens: Option<Duration>,
    /// How it ended.
    pub result: ReleaseResult,
}

/// A grant that an entry instance says it holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldGrant {
    /// The grant.
    pub grant: GrantId,
    /// The endpoint that the grant is for.
    pub endpoint: EndpointId,
    /// The class of the request.
    pub class: ClassId,
    /// The tier of the class.
    pub tier: RequestTier,
    /// What it holds at an engine; nothing for a plain service.
    pub share: EngineShare,
}

/// What a running request holds at an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EngineShare {
    /// Memory, in tokens.
    pub memory: u64,
    /// What it allows between two tokens.
    pub between_tokens: Duration,
}

impl From<&PromptLoad> for EngineShare {
    fn from(prompt: &PromptLoad) -> Self {
        Self { memory: prompt.memory_tokens(), between_tokens: prompt.between_tokens_target }
    }
}

/// Something an owner learns.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerEvent {
    /// An entry asks for a grant.
    Ask(GrantRequest),
    /// An entry saw the first token of the answer to a granted request.
    FirstToken {
        /// The entry instance that asked.
        asker: InstanceId,
        /// The grant.
        grant: GrantId,
    },
    /// An entry gives a grant back.
    Release(ReleaseReport),
    /// An entry no longer wants a grant, whether it was given already or not.
    Cancel {
        /// The entry instance that asked.
        asker: InstanceId,
        /// The grant.
        grant: GrantId,
    },
    /// An entry instance is gone; its grants and asks lapse.
    AskerLost {
        /// The entry instance.
        asker: InstanceId,
    },
    /// An entry instance lists all grants it holds for endpoints of this owner.
    Announce {
        /// The entry instance.
        asker: InstanceId,
        /// The grants it holds.
        held: Vec<HeldGrant>,
    },
    /// An endpoint's own view of its load, some time ago.
    LoadReport {
        /// The endpoint.
        endpoint: EndpointId,
        /// Requests it was running.
        running: u32,
        /// Requests it had queued itself.
        waiting: u32,
        /// How old the view is.
        age: Duration,
    },
    /// What came of probing an endpoint.
    ProbeResult {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether it accepted a connection and answered.
        alive: bool,
    },
    /// Mean times between tokens at the endpoints of the pool's other owners.
    PoolSpeed {
        /// One time for each of the other owners that has measured any.
        token_times: Vec<Duration>,
    },
    /// The endpoints that this owner has from now on.
    Endpoints(Vec<EndpointSettings>),
    /// An endpoint is leaving and takes no new work.
    EndpointLeaving {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Time passed.
    Tick,
}

/// What an owner wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerAction {
    /// Tell the asker that it may send its request to the endpoint.
    Grant {
        /// The entry instance.
        asker: InstanceId,
        /// The grant.
        grant: GrantId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether a floor put the request before a waiting one of a higher tier.
        by_floor: bool,
        /// What is waiting here.
        pressure: OwnerPressure,
    },
    /// Tell the asker that this owner will not serve its request.
    Refuse {
        /// The entry instance.
        asker: InstanceId,
        /// The grant.
        grant: GrantId,
        /// Why.
        kind: ErrorKind,
        /// What is waiting here.
        pressure: OwnerPressure,
    },
    /// Tell the asker, which did not want to wait, that no slot is free.
    Busy {
        /// The entry instance.
        asker: InstanceId,
        /// The grant.
        grant: GrantId,
        /// What is waiting here.
        pressure: OwnerPressure,
    },
    /// Note that an endpoint is trusted more or less than before.
    StateChanged {
        /// The endpoint.
        endpoint: EndpointId,
        /// How far it is trusted now.
        state: EndpointState,
    },
    /// Connect to the endpoint, read its load and report a `ProbeResult`.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
}

/// How busy an owner is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OwnerPressure {
    /// Slots that are free now.
    pub free_slots: u32,
    /// Slots in all, free or not.
    pub slots: u32,
    /// Requests waiting, by tier, highest first.
    pub waiting_by_tier: [u32; TIER_COUNT],
    /// Expected time between two grants while all slots are taken; zero if unknown.
    pub estimate: Duration,
    /// Median time between tokens over the owner's endpoints, if measured.
    pub token_time: Option<Duration>,
}

impl OwnerPressure {
    /// Requests waiting in this tier and those above.
    pub fn waiting_before(&self, tier: RequestTier) -> u32 {
        self.waiting_by_tier[..=tier.index()].iter().sum()
    }

    /// Whether a request of a lower tier than this one is waiting.
    pub fn has_waiting_below(&self, tier: RequestTier) -> bool {
        self.waiting_by_tier[tier.index() + 1..].iter().any(|waiting| *waiting > 0)
    }

    /// Expected wait of a new request of this tier; zero if a slot is free or nothing is known.
    pub fn expected_wait(&self, tier: RequestTier) -> Duration {
        self.wait_behind(self.waiting_before(tier))
    }

    /// Expected wait of a request behind these many; zero if a slot is free or nothing is known.
    pub fn wait_behind(&self, ahead: u32) -> Duration {
        match self.free_slots {
            0 => self.estimate.saturating_mul(ahead + 1),
            _ => Duration::ZERO,
        }
    }
}
