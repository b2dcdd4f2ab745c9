//! The settings that decisions work from, already inherited and checked.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{ClassId, CustomerId, EndpointId, PoolId, RequestTier, ZoneName};

/// How requests find an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingStrategy {
    /// Owners keep exact ledgers and queues by tier.
    #[default]
    Cooperative,
    /// Each instance goes through the endpoints in turn; first in, first out.
    RoundRobin,
    /// Each instance takes the endpoint with the fewest of its own requests.
    LocalLeastLoaded,
}

/// What a class of requests is promised and allowed.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// The branch that defines the class.
    pub id: ClassId,
    /// Its priority.
    pub tier: RequestTier,
    /// Target for the time to the first token.
    pub first_token: Duration,
    /// Target for the time between two tokens.
    pub between_tokens: Duration,
    /// Target for the whole answer, counted for plain services and unstreamed answers.
    pub whole_answer: Duration,
    /// Share of a pool's tokens that the class's tier gets at least while it waits, 0 to 1.
    pub floor: f64,
    /// How many requests of its tier may wait at one owner.
    pub queue_requests: u32,
    /// How many estimated tokens of its tier may wait at one owner.
    pub queue_tokens: u64,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Retries allowed as a share of requests, 0 to 1.
    pub retry_budget: f64,
    /// Attempts for one request at most, the first included.
    pub attempts: u32,
    /// The deadline of a request that states none.
    pub deadline: Duration,
    /// Whether an interrupted stream is resumed at its offset where the pool can.
    pub resume: bool,
    /// The longest time that a request is worked on, whatever deadline it states.
    pub timeout: Duration,
    /// Whether requests are served without a bearer key.
    pub is_public: bool,
    /// Whether a service's answer that tells an error of its own is tried for elsewhere first.
    pub retries_errors: bool,
    /// First-token targets that may pass without an answer before a repeatable request is tried
    /// elsewhere.
    pub patience: f64,
    /// Whether answers are streams of events that are passed on as they come.
    pub is_stream: bool,
    /// The pools that serve the class; empty if the model or the path decides.
    pub pools: Vec<PoolShare>,
}

/// The part of a class's requests that a pool serves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolShare {
    /// The pool.
    pub pool: PoolId,
    /// Its part, against the sum over the class's pools.
    pub weight: u32,
}

/// What a customer is promised and allowed.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerSettings {
    /// The branch that defines the customer.
    pub id: CustomerId,
    /// Its share against other customers of the same tier.
    pub weight: f64,
    /// Requests per second over the whole deployment.
    pub rate: f64,
    /// Requests that may arrive at once above the rate.
    pub burst: u32,
    /// Requests in flight over the whole deployment.
    pub concurrency: u32,
    /// The tier of its requests, whatever their class says.
    pub tier: Option<RequestTier>,
}

/// What a pool serves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouteTarget {
    /// A model, by the name that callers give.
    Model(Arc<str>),
    /// A plain service, by the prefix of its paths.
    Service(Arc<str>),
    /// Whatever the classes that name the pool send there.
    Classes(PoolKind),
}

/// What the endpoints of a pool are, where classes lead to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PoolKind {
    /// Model engines, which run many requests together.
    Engine,
    /// Replicas of a plain service.
    Service,
}

/// A pool of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSettings {
    /// The branch that defines the pool.
    pub id: PoolId,
    /// What the pool serves.
    pub target: RouteTarget,
    /// Whether its endpoints resume a stream at an offset.
    pub resumes: bool,
    /// Longest silence between two tokens, or before an answer of a service.
    pub silence: Duration,
    /// Memory of each engine, in tokens, if known.
    pub memory: Option<u64>,
    /// Its endpoints, sorted by id.
    pub endpoints: Vec<EndpointSettings>,
}

impl PoolSettings {
    /// Whether its endpoints are model engines.
    pub fn is_engine(&self) -> bool {
        match self.target {
            RouteTarget::Model(_) | RouteTarget::Classes(PoolKind::Engine) => true,
            RouteTarget::Service(_) | RouteTarget::Classes(PoolKind::Service) => false,
        }
    }
}

/// One endpoint of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSettings {
    /// The branch that defines the endpoint, or the incarnation of a replica that announced itself.
    pub id: EndpointId,
    /// The name of the replica that is expected at the address, if replicas have names.
    pub replica: Option<Arc<str>>,
    /// Its IP address and port.
    pub address: Arc<str>,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests it may run at once at the start; adapted to what is measured.
    pub slots: u32,
    /// Requests it may ever run at once.
    pub slots_max: u32,
}

/// Bounds on callers' connections; what is not stated is left to each process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConnectionSettings {
    /// Largest head, in bytes.
    pub head_bytes: Option<u32>,
    /// Largest body, in bytes.
    pub body_bytes: Option<u32>,
    /// Longest time from the first byte of a head to its end.
    pub head_time: Option<Duration>,
    /// Longest time without a request.
    pub idle_time: Option<Duration>,
}

/// What holds for the deployment as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentSettings {
    /// Name of the deployment, for logs and status.
    pub name: Arc<str>,
    /// How requests find an endpoint.
    pub strategy: RoutingStrategy,
    /// How long a claim on an idempotency key is kept.
    pub claim_window: Duration,
    /// How many pages the claims are spread over.
    pub claim_pages: u32,
    /// Answers of up to this many bytes are kept for repeats.
    pub kept_answer_bytes: u32,
    /// Endpoints of a pool that one owner should have to choose among, as far as there are so many.
    pub owner_endpoints: u32,
}
