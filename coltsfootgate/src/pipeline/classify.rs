//! Determines the class and the pool of a request.

use std::cell::OnceCell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootgate_config::{HeaderLookup, RequestAttributes};
use coltsfootgate_core::prelude::{
    ClassSettings, CustomerSettings, ErrorKind, PoolSettings, RequestTier, RouteTarget,
};
use coltsfootgate_core::quarantine::RequestDigest;
use http::{HeaderMap, Method};
use rand::Rng;
use serde::Deserialize;
use serde_json::value::RawValue;

use super::digest::request_digest;
use super::identify::IdentifiedRequest;
use crate::dialect::{CallerDialect, ModelPath, PromptMetadata};
use crate::entry::{AcceptedRequest, Refusal};
use crate::tree::ActiveTree;

/// Length of the start of a prompt that is hashed as its prefix, in bytes.
const PREFIX_BYTES: usize = 512;

/// The form of the answer that a request expects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerForm {
    /// A model's answer as server-sent events.
    ModelStream,
    /// A model's answer in a single body.
    ModelBody,
    /// A plain service's answer.
    Service,
    /// A stream of events of any kind, forwarded as they arrive.
    EventStream,
}

/// A request with the settings that apply to it.
#[derive(Clone, Debug)]
pub struct ClassifiedRequest {
    /// The accepted request.
    pub accepted: Rc<AcceptedRequest>,
    /// The settings tree that was in force when it arrived.
    pub active: Rc<ActiveTree>,
    /// The customer who sent it.
    pub customer: Arc<CustomerSettings>,
    /// Its class; a tier of the customer replaces the tier of the class.
    pub class: Arc<ClassSettings>,
    /// The tier that the tree sets for its class, which a tier of the customer does not replace.
    pub class_tier: RequestTier,
    /// The pool that serves it.
    pub pool: Arc<PoolSettings>,
    /// The form of its answer.
    pub form: AnswerForm,
    /// Whether it may run more than once; false if either class or caller forbids it.
    pub repeatable: bool,
    /// The deadline set by the caller or the class, after which no attempt starts.
    pub deadline: Instant,
    /// When the class's timeout ends a request in progress.
    pub timeout_at: Instant,
    /// Digest of the start of its prompt, for routing to an endpoint that has it cached.
    pub prefix: Option<u64>,
    digest: OnceCell<RequestDigest>,
}

impl ClassifiedRequest {
    /// The digest by which its repeats are recognized.
    pub fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| request_digest(&self.customer.id, &self.accepted))
    }
}

/// The fields of a model request's body that the router reads.
#[derive(Deserialize)]
struct ModelRequest<'a> {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
}

/// The pool that matches a request, with what its body specifies.
struct PoolMatch {
    model: Option<String>,
    form: AnswerForm,
    pool: Arc<PoolSettings>,
    prefix: Option<u64>,
}

struct HeaderView<'a>(&'a HeaderMap);

impl HeaderLookup for HeaderView<'_> {
    fn header(&self, name: &str) -> Option<&str> {
        self.0.get(name)?.to_str().ok()
    }
}

/// Determines the class and the pool of a request.
///
/// # Errors
///
/// Refuses a request that lacks a required API key, is malformed, or matches no pool.
pub fn classify_request<D: CallerDialect>(
    identified: IdentifiedRequest,
) -> Result<ClassifiedRequest, Refusal> {
    let customer = find_customer(&identified)?;
    let IdentifiedRequest { accepted, active, .. } = identified;
    let class = classify(&accepted, &active, &customer.id, None);
    let matched = match_pool::<D>(&accepted, &active, &class)?;
    let class = match &matched.model {
        Some(model) => classify(&accepted, &active, &customer.id, Some(model)),
        None => class,
    };
    let class_tier = class.tier;
    let class = match customer.tier {
        Some(tier) if tier != class.tier => Arc::new(ClassSettings { tier, ..(*class).clone() }),
        _ => class,
    };
    let allowed: Duration = accepted.metadata.deadline.unwrap_or(class.deadline).min(class.timeout);
    let deadline = accepted.arrived + allowed;
    let timeout_at = accepted.arrived + class.timeout;
    let repeatable = class.repeatable && !accepted.metadata.not_repeatable;
    Ok(ClassifiedRequest {
        accepted,
        active,
        customer,
        class,
        class_tier,
        pool: matched.pool,
        form: matched.form,
        repeatable,
        deadline,
        timeout_at,
        prefix: matched.prefix,
        digest: OnceCell::new(),
    })
}

/// The customer of a request, or the anonymous customer if its class is public and it has no valid
/// API key.
fn find_customer(identified: &IdentifiedRequest) -> Result<Arc<CustomerSettings>, Refusal> {
    let IdentifiedRequest { accepted, active, customer } = identified;
    if let Some(customer) = customer {
        return Ok(customer.clone());
    }
    let anonymous = active.tree.anonymous_customer();
    if classify(accepted, active, &anonymous.id, None).is_public {
        return Ok(anonymous);
    }
    identified.required_customer()
}

fn classify(
    accepted: &AcceptedRequest,
    active: &ActiveTree,
    customer: &str,
    model: Option<&str>,
) -> Arc<ClassSettings> {
    let headers = HeaderView(&accepted.headers);
    active.tree.classify(&RequestAttributes {
        customer,
        method: accepted.method.as_str(),
        host: headers.header("host"),
        path: &accepted.path,
        model,
        headers: &headers,
    })
}

fn match_pool<D: CallerDialect>(
    accepted: &AcceptedRequest,
    active: &ActiveTree,
    class: &ClassSettings,
) -> Result<PoolMatch, Refusal> {
    if let Some(pool) = choose_class_pool(class, active) {
        let form = if class.is_stream { AnswerForm::EventStream } else { AnswerForm::Service };
        let prefix = shared_prefix(&accepted.metadata.prompt);
        return Ok(PoolMatch { model: None, form, pool, prefix });
    }
    match D::model_path(&accepted.path) {
        Some(ModelPath::Completion) => match_model_pool(accepted, active),
        Some(ModelPath::List) | None => match_service_pool(accepted, active),
    }
}

/// Chooses one of the pools that a class names, at random by weight.
fn choose_class_pool(class: &ClassSettings, active: &ActiveTree) -> Option<Arc<PoolSettings>> {
    let sum: u32 = class.pools.iter().map(|share| share.weight).sum();
    let mut remaining = rand::rng().random_range(0..sum.max(1));
    let chosen = class.pools.iter().find(|share| {
        let is_chosen = remaining < share.weight;
        remaining = remaining.saturating_sub(share.weight);
        is_chosen
    });
    active.tree.pool(&chosen?.pool)
}

/// Digest of the parts of a prompt that requests may share, which are all but the last.
fn shared_prefix(prompt: &PromptMetadata) -> Option<u64> {
    let (_, shared) = prompt.parts.split_last()?;
    if shared.is_empty() {
        return None;
    }
    let mut hasher = DefaultHasher::new();
    for part in shared {
        part.id.hash(&mut hasher);
    }
    Some(hasher.finish())
}

fn match_model_pool(accepted: &AcceptedRequest, active: &ActiveTree) -> Result<PoolMatch, Refusal> {
    if accepted.method != Method::POST {
        let message = format!("{} takes POST, not {}", accepted.path, accepted.method);
        return Err(Refusal::new(ErrorKind::MethodNotAllowed, "pools", message));
    }
    let body: ModelRequest<'_> = serde_json::from_slice(&accepted.body).map_err(|error| {
        let message = format!("the body is not a valid model request: {error}");
        Refusal::new(ErrorKind::MalformedRequest, crate::entry::request::ENTRY_RULE, message)
    })?;
    let Some(pool) = active.tree.pool_for_model(&body.model) else {
        let message = format!(
            "no pool serves the model \"{}\"; served are {}",
            body.model,
            active.tree.models().join(", "),
        );
        return Err(Refusal::new(ErrorKind::UnknownModel, "pools", message));
    };
    let form = if body.stream { AnswerForm::ModelStream } else { AnswerForm::ModelBody };
    let prefix = body.messages.or(body.prompt).map(|prompt| prefix_digest(prompt.get()));
    Ok(PoolMatch { model: Some(body.model), form, pool, prefix })
}

fn match_service_pool(
    accepted: &AcceptedRequest,
    active: &ActiveTree,
) -> Result<PoolMatch, Refusal> {
    let pool = active.tree.pool_for_path(&accepted.path);
    let pool = pool.filter(|pool| matches!(pool.target, RouteTarget::Service(_)));
    let Some(pool) = pool else {
        let message = format!("no pool serves the path {}", accepted.path);
        return Err(Refusal::new(ErrorKind::UnknownRoute, "pools", message));
    };
    Ok(PoolMatch { model: None, form: AnswerForm::Service, pool, prefix: None })
}

fn prefix_digest(prompt: &str) -> u64 {
    let start = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    let mut hasher = DefaultHasher::new();
    start.hash(&mut hasher);
    hasher.finish()
}
