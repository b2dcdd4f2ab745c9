//! Finds the class and the pool of a request.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootgate_config::{HeaderLookup, RequestFacts};
use coltsfootgate_core::prelude::{
    ClassSettings, CustomerSettings, ErrorKind, PoolSettings, RouteTarget,
};
use http::{HeaderMap, Method};
use serde::Deserialize;
use serde_json::value::RawValue;

use super::identify::IdentifiedRequest;
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
    /// The pool that serves it.
    pub pool: Arc<PoolSettings>,
    /// The form of its answer.
    pub form: AnswerForm,
    /// Whether it may run more than once; the stricter of tree and caller.
    pub repeatable: bool,
    /// When it is no longer started.
    pub deadline: Instant,
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
pub fn classify_request(identified: IdentifiedRequest) -> Result<ClassifiedRequest, Refusal> {
    let IdentifiedRequest { accepted, active, customer } = identified;
    let demand = find_demand(&accepted, &active)?;
    let headers = HeaderView(&accepted.headers);
    let class = active.tree.classify(&RequestFacts {
        customer: &customer.id,
        method: accepted.method.as_str(),
        path: &accepted.path,
        model: demand.model.as_deref(),
        headers: &headers,
    });
    let time: Duration = accepted.deadline.unwrap_or(class.deadline);
    let deadline = accepted.arrived + time;
    let repeatable = class.repeatable && !accepted.not_repeatable;
    Ok(ClassifiedRequest {
        accepted,
        active,
        customer,
        class,
        pool: demand.pool,
        form: demand.form,
        repeatable,
        deadline,
        prefix: demand.prefix,
    })
}

fn find_demand(accepted: &AcceptedRequest, active: &ActiveTree) -> Result<RequestDemand, Refusal> {
    match &*accepted.path {
        "/v1/chat/completions" | "/v1/completions" => find_model(accepted, active),
        _ => find_service(accepted, active),
    }
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
