//! Walks a request from owner to owner until one grants it or all are ruled out.

use std::time::Duration;

use coltsfootgate_core::owner::{GrantRequest, OwnerPressure};
use coltsfootgate_core::prelude::{EndpointId, ErrorKind, GrantId, InstanceId};
use coltsfootgate_core::routing::{RequestRoute, RouteReply, RouteRequest, RouteStep};
use monoio::time::timeout;

use super::context::GateContext;
use crate::owner::GrantAnswer;
use crate::routes::AskPlace;

/// Period at which a waiting request looks for an owner that turned idle.
const RECONSIDER_PERIOD: Duration = Duration::from_millis(50);

/// The end of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteEnd {
    /// The request may be sent.
    Granted {
        /// The grant; not known to anyone if nobody was asked.
        grant: GrantId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Who granted it.
        place: AskPlace,
        /// Whether a floor put it before a waiting one of a higher tier.
        by_floor: bool,
    },
    /// No owner serves the request.
    Refused {
        /// Why.
        kind: ErrorKind,
        /// What was waiting at the owner that was asked last.
        pressure: OwnerPressure,
    },
}

/// One request's walk.
pub struct RouteWalk<'a> {
    context: &'a GateContext,
    ask: &'a GrantRequest,
    route: RequestRoute,
    pressure: OwnerPressure,
}

impl<'a> RouteWalk<'a> {
    /// Starts a walk; each ask gets a grant id of its own.
    pub fn new(context: &'a GateContext, pool: &str, ask: &'a GrantRequest) -> Self {
        let route = RequestRoute::new(RouteRequest {
            pool: pool.into(),
            tier: ask.tier,
            prefix: ask.prefix,
            deadline: ask.deadline,
            excluded: ask.excluded.clone(),
            random: rand::random(),
        });
        Self { context, ask, route, pressure: OwnerPressure::default() }
    }

    /// The route, for the affinity of later requests.
    pub fn route(&self) -> &RequestRoute {
        &self.route
    }

    /// Walks to the end.
    pub async fn run(&mut self) -> RouteEnd {
        let mut step = self.context.routes.first_step(&mut self.route);
        loop {
            let (place, wait) = match step {
                RouteStep::Ask { owner, wait } => (AskPlace::Owner(owner), wait),
                RouteStep::AskShare => (AskPlace::Share, true),
                RouteStep::Send { endpoint } => {
                    let grant = self.context.grants.next();
                    return RouteEnd::Granted {
                        grant,
                        endpoint,
                        place: AskPlace::Nobody,
                        by_floor: false,
                    };
                }
                RouteStep::Refuse(kind) => return self.refused(kind),
            };
            let reply = match self.ask_at(place.clone(), wait).await {
                Ok(end) => return end,
                Err(reply) => reply,
            };
            let AskPlace::Owner(owner) = place else { return self.share_refused(reply) };
            step = self.context.routes.next_step(&mut self.route, &owner, reply);
        }
    }

    fn refused(&self, kind: ErrorKind) -> RouteEnd {
        RouteEnd::Refused { kind, pressure: self.pressure }
    }

    fn share_refused(&self, reply: RouteReply) -> RouteEnd {
        match reply {
            RouteReply::Refused(kind, _) => self.refused(kind),
            RouteReply::Busy(_) | RouteReply::Silent => self.refused(ErrorKind::NoEndpoint),
        }
    }

    /// Asks at one place and, while it waits there, looks out for an idle owner.
    async fn ask_at(&mut self, place: AskPlace, wait: bool) -> Result<RouteEnd, RouteReply> {
        let context = self.context;
        let request = self.request(wait);
        let grant = request.grant;
        let pool = self.route.request.pool.clone();
        let mut answer = std::pin::pin!(context.link.ask(&place, &pool, request));
        loop {
            match timeout(RECONSIDER_PERIOD, &mut answer).await {
                Ok(answer) => return self.take_answer(place.clone(), grant, answer),
                Err(_) if wait => {}
                Err(_) => continue,
            }
            if let Some(other) = context.routes.reconsider(&mut self.route)
                && let Some(end) = self.try_idle(other).await
            {
                return Ok(end);
            }
        }
    }

    /// Asks an owner that seems idle, without waiting there.
    async fn try_idle(&mut self, owner: InstanceId) -> Option<RouteEnd> {
        let request = self.request(false);
        let grant = request.grant;
        let place = AskPlace::Owner(owner.clone());
        let pool = self.route.request.pool.clone();
        let answer = self.context.link.ask(&place, &pool, request).await;
        match self.take_answer(place, grant, answer) {
            Ok(end) => Some(end),
            Err(RouteReply::Busy(pressure) | RouteReply::Refused(_, pressure)) => {
                self.context.routes.learn(&pool, &owner, pressure);
                None
            }
            Err(RouteReply::Silent) => None,
        }
    }

    fn take_answer(
        &mut self,
        place: AskPlace,
        grant: GrantId,
        answer: Option<GrantAnswer>,
    ) -> Result<RouteEnd, RouteReply> {
        match answer {
            Some(GrantAnswer::Granted { endpoint, by_floor }) => {
                Ok(RouteEnd::Granted { grant, endpoint, place, by_floor })
            }
            Some(GrantAnswer::Busy(pressure)) => {
                self.pressure = pressure;
                Err(RouteReply::Busy(pressure))
            }
            Some(GrantAnswer::Refused { kind, pressure }) => {
                self.pressure = pressure;
                Err(RouteReply::Refused(kind, pressure))
            }
            None => Err(RouteReply::Silent),
        }
    }

    fn request(&self, wait: bool) -> GrantRequest {
        GrantRequest { grant: self.context.grants.next(), wait, ..self.ask.clone() }
    }
}
