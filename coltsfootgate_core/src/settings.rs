//! Settings used by the decisions, after inheritance is resolved and values are validated.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::duty::scale::ScaleSettings;
use crate::ids::{ClassId, CustomerId, EndpointId, PoolId, RequestTier, SoftwareVersion, ZoneName};
use crate::quarantine::{PartId, RequestDigest};

/// How an endpoint is chosen for a request.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingStrategy {
    /// Owner instances track the load of their endpoints exactly and queue requests by tier.
    #[default]
    Cooperative,
    /// Each instance uses the endpoints in turn and sends each request at once.
    RoundRobin,
    /// Each instance chooses the endpoint with the fewest requests of its own in flight.
    LocalLeastLoaded,
}

/// Targets and limits of a class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// The branch of the settings tree that defines the class.
    pub id: ClassId,
    /// The priority of its requests.
    pub tier: RequestTier,
    /// Target for the time to the first token.
    pub first_token: Duration,
    /// Target for the time between two tokens.
    pub between_tokens: Duration,
    /// Target for the whole answer, measured for plain services and for answers that are not
    /// streamed.
    pub whole_answer: Duration,
    /// Minimum share of a pool's tokens that the class's tier gets while it has waiting requests,
    /// 0 to 1.
    pub floor: f64,
    /// Maximum number of requests of its tier that may wait at one owner.
    pub queue_requests: u32,
    /// Maximum number of estimated tokens of its tier that may wait at one owner.
    pub queue_tokens: u64,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Maximum ratio of retries to requests, 0 to 1.
    pub retry_budget: f64,
    /// Maximum number of attempts for one request, including the first.
    pub attempts: u32,
    /// The default deadline of requests that state none.
    pub deadline: Duration,
    /// Whether an interrupted stream is resumed at its offset if the pool supports it.
    pub resume: bool,
    /// Maximum time spent on a request, whatever deadline it states.
    pub timeout: Duration,
    /// Whether requests are served without a bearer key.
    pub is_public: bool,
    /// Whether a request is retried on another endpoint if a service answers with an error of its
    /// own, before that answer is returned.
    pub retries_errors: bool,
    /// Time without an answer after which a repeatable request is retried on another endpoint, as
    /// a multiple of the first-token target.
    pub patience: f64,
    /// Whether answers are event streams, which are forwarded as they arrive.
    pub is_stream: bool,
    /// The pools that serve the class; empty if the model or the path determines the pool.
    pub pools: Vec<PoolShare>,
}

/// The share of a class's requests that a pool serves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolShare {
    /// The pool.
    pub pool: PoolId,
    /// Its weight, relative to the sum over the class's pools.
    pub weight: u32,
}

/// Limits and priorities of a customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerSettings {
    /// The branch of the settings tree that defines the customer.
    pub id: CustomerId,
    /// Its weight relative to other customers of the same tier.
    pub weight: f64,
    /// Maximum requests per second across the whole deployment.
    pub rate: f64,
    /// Number of requests that may exceed the rate at once.
    pub burst: u32,
    /// Maximum number of requests in flight across the whole deployment.
    pub concurrency: u32,
    /// The tier of its requests, which overrides the tier of their class.
    pub tier: Option<RequestTier>,
}

/// What a pool serves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouteTarget {
    /// A model, by the name used in requests.
    Model(Arc<str>),
    /// A plain service, by its path prefix.
    Service(Arc<str>),
    /// The requests of the classes that list the pool.
    Classes(PoolKind),
}

/// The kind of endpoints in a pool that is listed by classes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PoolKind {
    /// Model engines, which batch many requests.
    Engine,
    /// Replicas of a plain service.
    Service,
}

/// A pool of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSettings {
    /// The branch of the settings tree that defines the pool.
    pub id: PoolId,
    /// What the pool serves.
    pub target: RouteTarget,
    /// Whether its endpoints can resume a stream at an offset.
    pub resumes: bool,
    /// Maximum time between two tokens, or until a service answers.
    pub silence: Duration,
    /// KV cache capacity of each engine, in tokens, if known.
    pub memory: Option<u64>,
    /// Parts of prompts that are never blocked, whatever crashes under them.
    pub allowed_parts: Vec<PartId>,
    /// The requests that are never blocked, whatever crashes under them.
    pub allowed_requests: Vec<RequestDigest>,
    /// How many replicas it may have in each zone; `None` if they are not ordered.
    pub scale: Option<ScaleSettings>,
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
    /// The branch of the settings tree that defines the endpoint, or the name and start time of a
    /// replica that announced itself.
    pub id: EndpointId,
    /// The name of the replica expected at the address, if replicas have names.
    pub replica: Option<Arc<str>>,
    /// Its IP address and port.
    pub address: Arc<str>,
    /// The version of its software, if it announced one.
    pub version: Option<SoftwareVersion>,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Initial limit of concurrent requests; adapted to measurements later.
    pub slots: u32,
    /// Upper bound of the limit of concurrent requests.
    pub slots_max: u32,
}

/// Bounds on callers' connections; each process uses its own default for an unset bound.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConnectionSettings {
    /// Largest request head, in bytes.
    pub head_bytes: Option<u32>,
    /// Largest request body, in bytes.
    pub body_bytes: Option<u32>,
    /// Maximum time from the first byte of a request head to its end.
    pub head_time: Option<Duration>,
    /// Maximum time a connection may stay open without a request.
    pub idle_time: Option<Duration>,
}

/// Settings of the deployment as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentSettings {
    /// Name of the deployment, for logs and status.
    pub name: Arc<str>,
    /// How an endpoint is chosen for a request.
    pub strategy: RoutingStrategy,
    /// How long a claim on an idempotency key is kept.
    pub claim_window: Duration,
    /// Number of pages over which the claims are spread.
    pub claim_pages: u32,
    /// Size, in bytes, up to which an answer is stored to be replayed to repeated requests.
    pub kept_answer_bytes: u32,
    /// Target number of endpoints of a pool for each owner, if the pool has that many.
    pub owner_endpoints: u32,
}
