//! Asks owners for a grant until one grants it or all are ruled out.

use std::time::{Duration, Instant};

use coltsfootgate_core::owner::{GrantAnswer, GrantRequest, OwnerPressure};
use coltsfootgate_core::prelude::{EndpointId, ErrorKind, GrantId};
use coltsfootgate_core::routing::{RequestRoute, RouteReply, RouteRequest, RouteStep};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use monoio::time::{sleep, timeout};

use super::context::PipelineContext;
use super::guard::ExchangeGuard;
use crate::routes::GrantSource;

/// Time after which a waiting request first looks for a better owner.
const FIRST_RECONSIDER_DELAY: Duration = Duration::from_millis(10);
/// Interval at which it looks again.
const RECONSIDER_PERIOD: Duration = Duration::from_millis(50);

/// The result of the search for a grant.
#[derive(Clone, Debug, PartialEq)]
pub enum GrantResult {
    /// The request may be sent.
    Granted {
        /// The id of the grant; no other instance knows it if the request is sent without a grant.
        grant: GrantId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Where the grant comes from.
        source: GrantSource,
        /// Whether a tier's floor let the request overtake a waiting one of a higher tier.
        by_floor: bool,
        /// Whether the grant counts towards a limit that the endpoint stated.
        is_paced: bool,
    },
    /// No owner serves the request.
    Refused {
        /// The reason.
        kind: ErrorKind,
        /// The pressure that the last answer reported.
        pressure: OwnerPressure,
    },
}

/// The search for a grant for one request.
pub struct GrantSearch<'a> {
    context: &'a PipelineContext,
    grant_request: &'a GrantRequest,
    route: RequestRoute,
    pressure: OwnerPressure,
    /// Number of grant requests sent.
    asked: u32,
    guard: ExchangeGuard<'a>,
    started_at: Instant,
}

impl<'a> GrantSearch<'a> {
    /// Creates a search; each grant request has a grant id of its own.
    pub fn new(
        context: &'a PipelineContext,
        pool: &str,
        grant_request: &'a GrantRequest,
        guard: ExchangeGuard<'a>,
    ) -> Self {
        let mut excluded = grant_request.excluded.clone();
        if let Some(version) = &grant_request.version {
            excluded.extend(context.routes.endpoints_of_other_versions(pool, version));
        }
        let route = RequestRoute::new(RouteRequest {
            pool: pool.into(),
            rank: grant_request.rank(),
            prefix: grant_request.prefix,
            shared_tokens: grant_request.prompt.shared_tokens(),
            deadline: grant_request.deadline,
            excluded,
            random: rand::random(),
        });
        Self {
            context,
            grant_request,
            route,
            pressure: OwnerPressure::default(),
            asked: 0,
            guard,
            started_at: Instant::now(),
        }
    }

    /// The route, for the affinity of later requests.
    pub fn route(&self) -> &RequestRoute {
        &self.route
    }

    /// The number of grant requests sent.
    pub fn asked(&self) -> u32 {
        self.asked
    }

    /// Asks owners until the search ends, and cancels the requests that are still open then.
    pub async fn run(&mut self) -> GrantResult {
        let context = self.context;
        let mut pending = FuturesUnordered::new();
        let mut reconsider_after = FIRST_RECONSIDER_DELAY;
        let mut step = context.routes.first_step(&mut self.route);
        loop {
            match step {
                RouteStep::Ask { owner, wait } => {
                    pending.push(self.request_grant(GrantSource::Owner(owner), wait))
                }
                RouteStep::AskFallbackShare => {
                    pending.push(self.request_grant(GrantSource::FallbackShare, true))
                }
                RouteStep::Send { endpoint } => return self.without_grant(endpoint),
                RouteStep::Wait => {}
                RouteStep::Refuse(kind) => return self.refused(kind),
            }
            step = match timeout(reconsider_after, pending.next()).await {
                Ok(Some(result)) => match self.handle_answer(result) {
                    Ok(result) => return result,
                    Err(step) => step,
                },
                Ok(None) if context.routes.awaits_owner(&self.route) => {
                    sleep(RECONSIDER_PERIOD).await;
                    match self.reconsider() {
                        Ok(step) => step,
                        Err(kind) => return self.refused(kind),
                    }
                }
                Ok(None) => {
                    return self.refused(self.route.refusal.unwrap_or(ErrorKind::NoEndpoint));
                }
                Err(_) => {
                    reconsider_after = RECONSIDER_PERIOD;
                    match self.reconsider() {
                        Ok(step) => step,
                        Err(kind) => return self.refused(kind),
                    }
                }
            };
        }
    }

    /// Returns the next step of a request that waits, or the reason for which it should not wait any longer.
    fn reconsider(&mut self) -> Result<RouteStep, ErrorKind> {
        if !self.guard.allows_wait(self.started_at, self.expected_wait()) {
            return Err(ErrorKind::InstanceLeaving);
        }
        self.note_silent_owners();
        Ok(self.context.routes.reconsider(&mut self.route))
    }

    fn expected_wait(&self) -> Duration {
        self.context.routes.expected_wait(&self.route)
    }

    /// Notes which owners do not answer any more in whose queues the request waits.
    fn note_silent_owners(&self) {
        let client = &self.context.owner_client;
        for owner in self.route.joined_queues.iter().filter(|owner| client.is_silent(owner)) {
            client.watch_silent(owner, &self.context.routes);
        }
    }

    fn without_grant(&self, endpoint: EndpointId) -> GrantResult {
        let grant = self.context.grants.next();
        let source = GrantSource::Ungranted;
        GrantResult::Granted { grant, endpoint, source, by_floor: false, is_paced: false }
    }

    fn refused(&self, kind: ErrorKind) -> GrantResult {
        GrantResult::Refused { kind, pressure: self.pressure }
    }

    /// Handles the answer of an owner: returns the result of the search, or the next step as `Err`.
    fn handle_answer(&mut self, result: SourceAnswer) -> Result<GrantResult, RouteStep> {
        let SourceAnswer { source, grant, answer } = result;
        let reply = match answer {
            Some(GrantAnswer::Granted { endpoint, by_floor, is_paced, pressure }) => {
                if let GrantSource::Owner(owner) = &source {
                    let pool = &self.route.request.pool;
                    self.context.routes.update_pressure(pool, owner, pressure);
                }
                return Ok(GrantResult::Granted { grant, endpoint, source, by_floor, is_paced });
            }
            Some(GrantAnswer::Busy(pressure)) => RouteReply::Busy(pressure),
            Some(GrantAnswer::Refused { kind, pressure }) => RouteReply::Refused(kind, pressure),
            None => RouteReply::Unresponsive,
        };
        if let RouteReply::Busy(pressure) | RouteReply::Refused(_, pressure) = &reply {
            self.pressure = *pressure;
        }
        let owner = match source {
            GrantSource::Owner(owner) => owner,
            GrantSource::FallbackShare | GrantSource::Ungranted => {
                return self.handle_share_answer(&reply);
            }
        };
        if reply == RouteReply::Unresponsive {
            self.context.owner_client.watch_silent(&owner, &self.context.routes);
        }
        Err(self.context.routes.next_step(&mut self.route, &owner, reply))
    }

    /// Handles an answer of this instance's own queue that is not a grant. Owners that were asked as well may
    /// still grant the request.
    fn handle_share_answer(&mut self, reply: &RouteReply) -> Result<GrantResult, RouteStep> {
        let kind = match reply {
            RouteReply::Refused(kind, _) => *kind,
            RouteReply::Busy(_) | RouteReply::Unresponsive => ErrorKind::NoEndpoint,
        };
        let is_asking = !self.route.joined_queues.is_empty() || self.route.asked_since.is_some();
        let awaits_owner =
            kind == ErrorKind::NoEndpoint && self.context.routes.awaits_owner(&self.route);
        if is_asking || awaits_owner {
            self.route.refusal.get_or_insert(kind);
            return Err(RouteStep::Wait);
        }
        Ok(self.refused(kind))
    }

    /// Requests a grant from one source, under a new grant id.
    fn request_grant(
        &mut self,
        source: GrantSource,
        wait: bool,
    ) -> impl Future<Output = SourceAnswer> + use<'a> {
        self.asked += 1;
        let context = self.context;
        let pool = self.route.request.pool.clone();
        let grant = context.grants.next();
        let request = GrantRequest { grant, wait, ..self.grant_request.clone() };
        async move {
            let answer = context.owner_client.request_grant(&source, &pool, request).await;
            SourceAnswer { source, grant, answer }
        }
    }
}

/// The answer of one source to a grant request.
struct SourceAnswer {
    source: GrantSource,
    grant: GrantId,
    /// The answer; `None` if none arrived.
    answer: Option<GrantAnswer>,
}
