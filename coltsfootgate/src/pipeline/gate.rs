//! Handles requests from callers' connections and spawns a task for each.

use std::marker::PhantomData;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use coltsfootgate_core::prelude::ErrorKind;
use futures_util::future::{Either, select};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde_json::json;

use super::context::PipelineContext;
use super::exchange::run_exchange;
use super::guard::leaving_refusal;
use super::identify::identify_customer;
use super::journal::RequestJournal;
use super::settle::{RequestEnd, ServedAnswer, settle_request};
use crate::dialect::{CallerDialect, Dialect, ModelPath};
use crate::entry::listener::RequestHandler;
use crate::entry::request::{RequestBounds, accept_request, new_request_id};
use crate::entry::{AcceptedRequest, AnswerBody, CallerLink, Refusal};
use crate::metrics::NO_CLASS;

/// Handles callers' requests with the pipeline.
pub struct PipelineHandler<D> {
    dialect: PhantomData<D>,
    context: Rc<PipelineContext>,
    bounds: RequestBounds,
}

impl<D: Dialect> PipelineHandler<D> {
    /// Creates the handler of an instance.
    pub fn new(context: Rc<PipelineContext>, bounds: RequestBounds) -> Self {
        Self { dialect: PhantomData, context, bounds }
    }

    async fn start_request(&self, request: Request<Incoming>, caller: CallerLink) {
        let id = new_request_id();
        let arrived = Instant::now();
        let bounds = self.bounds.with_overrides(&self.context.tree.connections());
        let memory = &self.context.memory;
        let accepting = accept_request::<D::Callers>(id, request, &bounds, memory);
        let due = self.context.shutdown.answers_due();
        let accepted = match select(std::pin::pin!(accepting), std::pin::pin!(due)).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => {
                Err(leaving_refusal("the instance shut down before the request was read"))
            }
        };
        match accepted {
            Ok(accepted) if is_model_list::<D::Callers>(&accepted) => {
                self.list_models(accepted, caller).await;
            }
            Ok(accepted) => {
                monoio::spawn(run_exchange::<D>(self.context.clone(), accepted, caller));
            }
            Err(refusal) => {
                let journal = RequestJournal::new(id, arrived, &self.context.own);
                self.refuse(journal, caller, refusal).await;
            }
        }
    }

    async fn list_models(&self, accepted: AcceptedRequest, caller: CallerLink) {
        let mut journal = RequestJournal::from_accepted(&accepted, &self.context.own);
        let Some(active) = self.context.tree.current() else {
            let message = "the instance has no tree of settings in force yet";
            let refusal = Refusal::new(ErrorKind::NotReady, "process.tree", message);
            return self.refuse(journal, caller, refusal).await;
        };
        journal.record.config_version = active.version;
        let identified = identify_customer(Rc::new(accepted), active);
        match identified.required_customer() {
            Ok(customer) => {
                journal.record.customer = Some(customer.id.to_string());
                let models = identified.active.tree.models();
                let data: Vec<_> = models
                    .iter()
                    .map(|model| json!({"id": model, "object": "model", "owned_by": "pool"}))
                    .collect();
                let body = Bytes::from(json!({"object": "list", "data": data}).to_string());
                let mut headers = HeaderMap::new();
                let json_type = HeaderValue::from_static("application/json");
                headers.insert(header::CONTENT_TYPE, json_type);
                let end = RequestEnd::Served(ServedAnswer::Body {
                    status: StatusCode::OK,
                    headers,
                    body,
                });
                settle_request::<D::Callers>(&self.context, None, journal, caller, end).await;
            }
            Err(refusal) => self.refuse(journal, caller, refusal).await,
        }
    }

    async fn refuse(&self, journal: RequestJournal, caller: CallerLink, refusal: Refusal) {
        let end = RequestEnd::Refused(refusal);
        settle_request::<D::Callers>(&self.context, None, journal, caller, end).await;
    }
}

impl<D: Dialect> RequestHandler for PipelineHandler<D> {
    async fn handle(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let (caller, receiver) = CallerLink::new(&self.context.memory);
        self.start_request(request, caller).await;
        receiver.receive().await
    }

    fn connection_failed(&self, kind: ErrorKind) {
        log::debug!("closed a caller's connection before a request was read: {kind}");
        self.context.metrics.request_ended(NO_CLASS, kind.outcome(), Some(kind));
    }
}

fn is_model_list<D: CallerDialect>(accepted: &AcceptedRequest) -> bool {
    accepted.method == Method::GET && D::model_path(&accepted.path) == Some(ModelPath::List)
}
