//! Finds the class and the pool of a request.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootgate_config::{HeaderLookup, RequestAttributes};
use coltsfootgate_core::prelude::{
    ClassSettings, CustomerSettings, ErrorKind, PoolSettings, RequestTier, RouteTarget,
};
use http::{HeaderMap, Method};
use rand::Rng;
use serde::Deserialize;
use serde_json::value::RawValue;

use super::identify::IdentifiedRequest;
use crate::dialect::PromptMetadata;
use crate::entry::{AcceptedRequest, Refusal};
use crate::tree::ActiveTree;

/// Bytes of a prompt's start that are taken for its prefix.
const PREFIX_BYTES: usize = 512;

/// What kind of answer a request asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerForm {
    /// A model's answer as server-sent events.
    ModelStream,
    /// A model's answer in one body.
    ModelWhole,
    /// A plain service's answer.
    Service,
    /// Events that are passed on as they come, of whatever kind.
    EventStream,
}

/// A request with the rules that hold for it.
#[derive(Clone, Debug)]
pub struct ClassifiedRequest {
    /// The request as it arrived.
    pub accepted: Rc<AcceptedRequest>,
    /// The tree in force when it arrived.
    pub active: Rc<ActiveTree>,
    /// The customer who sent it.
    pub customer: Arc<CustomerSettings>,
    /// Its class.
    pub class: Arc<ClassSettings>,
    /// The tier that its class states, where the customer's tier goes before it.
    pub stated_tier: RequestTier,
    /// The pool that serves it.
    pub pool: Arc<PoolSettings>,
    /// The form of its answer.
    pub form: AnswerForm,
    /// Whether it may run more than once; the stricter of tree and caller.
    pub repeatable: bool,
    /// When it is no longer started.
    pub deadline: Instant,
    /// When it is no longer worked on.
    pub cut_off: Instant,
    /// Digest of the start of its prompt.
    pub prefix: Option<u64>,
}

/// What the router reads of a model request's body.
#[derive(Deserialize)]
struct ModelFacts<'a> {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
}

/// What a request asks for, before its class is known.
struct RequestDemand {
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

/// Classifies a request and finds its pool.
///
/// # Errors
///
/// Refuses a request that lacks a key it needs, or that no pool serves.
pub fn classify_request(identified: IdentifiedRequest) -> Result<ClassifiedRequest, Refusal> {
    let customer = find_customer(&identified)?;
    let IdentifiedRequest { accepted, active, .. } = identified;
    let class = classify(&accepted, &active, &customer.id, None);
    let demand = find_demand(&accepted, &active, &class)?;
    let class = match &demand.model {
        Some(model) => classify(&accepted, &active, &customer.id, Some(model)),
        None => class,
    };
    let stated_tier = class.tier;
    let class = match customer.tier {
        Some(tier) if tier != class.tier => Arc::new(ClassSettings { tier, ..(*class).clone() }),
        _ => class,
    };
    let time: Duration = accepted.stated.deadline.unwrap_or(class.deadline).min(class.timeout);
    let deadline = accepted.arrived + time;
    let cut_off = accepted.arrived + class.timeout;
    let repeatable = class.repeatable && !accepted.stated.not_repeatable;
    Ok(ClassifiedRequest {
        accepted,
        active,
        customer,
        class,
        stated_tier,
        pool: demand.pool,
        form: demand.form,
        repeatable,
        deadline,
        cut_off,
        prefix: demand.prefix,
    })
}

/// The customer of a request, or whoever calls a public class without a known key.
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

fn find_demand(
    accepted: &AcceptedRequest,
    active: &ActiveTree,
    class: &ClassSettings,
) -> Result<RequestDemand, Refusal> {
    if let Some(pool) = choose_pool(class, active) {
        let form = if class.is_stream { AnswerForm::EventStream } else { AnswerForm::Service };
        let prefix = shared_prefix(&accepted.stated.prompt);
        return Ok(RequestDemand { model: None, form, pool, prefix });
    }
    match &*accepted.path {
        "/v1/chat/completions" | "/v1/completions" => find_model(accepted, active),
        _ => find_service(accepted, active),
    }
}

/// One of the pools that a class names, by their weights.
fn choose_pool(class: &ClassSettings, active: &ActiveTree) -> Option<Arc<PoolSettings>> {
    let sum: u32 = class.pools.iter().map(|share| share.weight).sum();
    let mut rest = rand::rng().random_range(0..sum.max(1));
    let chosen = class.pools.iter().find(|share| {
        let is_chosen = rest < share.weight;
        rest = rest.saturating_sub(share.weight);
        is_chosen
    });
    active.tree.pool(&chosen?.pool)
}

/// Digest of the parts of a prompt that other requests share; the last part is a request's own.
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

fn find_model(accepted: &AcceptedRequest, active: &ActiveTree) -> Result<RequestDemand, Refusal> {
    if accepted.method != Method::POST {
        let message = format!("{} takes POST, not {}", accepted.path, accepted.method);
        return Err(Refusal::new(ErrorKind::MethodNotAllowed, "pools", message));
    }
    let facts: ModelFacts<'_> = serde_json::from_slice(&accepted.body).map_err(|error| {
        let message = format!("the body is not a valid model request: {error}");
        Refusal::new(ErrorKind::MalformedRequest, crate::entry::request::ENTRY_RULE, message)
    })?;
    let Some(pool) = active.tree.pool_for_model(&facts.model) else {
        let message = format!(
            "no pool serves the model \"{}\"; served are {}",
            facts.model,
            active.tree.models().join(", "),
        );
        return Err(Refusal::new(ErrorKind::UnknownModel, "pools", message));
    };
    let form = if facts.stream { AnswerForm::ModelStream } else { AnswerForm::ModelWhole };
    let prefix = facts.messages.or(facts.prompt).map(|prompt| prefix_digest(prompt.get()));
    Ok(RequestDemand { model: Some(facts.model), form, pool, prefix })
}

fn find_service(accepted: &AcceptedRequest, active: &ActiveTree) -> Result<RequestDemand, Refusal> {
    let pool = active.tree.pool_for_path(&accepted.path);
    let pool = pool.filter(|pool| matches!(pool.target, RouteTarget::Service(_)));
    let Some(pool) = pool else {
        let message = format!("no pool serves the path {}", accepted.path);
        return Err(Refusal::new(ErrorKind::UnknownRoute, "pools", message));
    };
    Ok(RequestDemand { model: None, form: AnswerForm::Service, pool, prefix: None })
}

fn prefix_digest(prompt: &str) -> u64 {
    let start = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    let mut hasher = DefaultHasher::new();
    start.hash(&mut hasher);
    hasher.finish()
}
