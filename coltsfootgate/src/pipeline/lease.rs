//! The grant under which one attempt of a request is sent.

use std::cell::Cell;
use std::time::{Duration, Instant};

use coltsfootgate_core::endpoint_limit::{LimitNotice, LimitStatement};
use coltsfootgate_core::owner::{ReleaseReport, ReleaseResult};
use coltsfootgate_core::prelude::EndpointSettings;

use super::context::PipelineContext;
use super::route::GrantSearch;
use crate::dialect::AnswerNotice;
use crate::endpoint::SendProgress;
use crate::endpoints::SharedRoster;
use crate::metrics::DaemonMetrics;
use crate::routes::{GrantSource, LeaseEntry, OwnerClient, RouteTable};

/// A grant to send one request to one endpoint; released when dropped.
pub struct GrantLease {
    /// The endpoint.
    pub endpoint: EndpointSettings,
    /// How far the sending of the request has come.
    pub progress: SendProgress,
    entry: LeaseEntry,
    routes: RouteTable,
    owner_client: OwnerClient,
    roster: SharedRoster,
    report: ReleaseReport,
    metrics: DaemonMetrics,
    /// The limit in requests a second that the endpoint's answer stated.
    limit: Cell<Option<f64>>,
    /// Whether the grant counts towards a limit that the endpoint stated.
    is_paced: bool,
}

/// The measurements of one attempt at an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AttemptMeasurements {
    /// Tokens received, or pieces received of an event stream.
    pub tokens: u32,
    /// Time from sending to the first token or the head of the answer.
    pub first_token: Option<Duration>,
    /// Mean time between two tokens.
    pub between_tokens: Option<Duration>,
}

impl GrantLease {
    /// Releases the grant of a request that is not sent.
    pub fn release_unsent(mut self) {
        self.report.result = ReleaseResult::NotSent;
    }

    /// Releases the grant and reports the result and the measurements of the attempt.
    pub fn release(mut self, result: ReleaseResult, measurements: AttemptMeasurements) {
        self.report.result = result;
        self.report.tokens = measurements.tokens;
        self.report.first_token = measurements.first_token;
        self.report.between_tokens = measurements.between_tokens;
    }

    /// Records what the head of the endpoint's answer to a request sent at `sent_at` states.
    pub fn observe_notice(&self, notice: AnswerNotice, sent_at: Instant) {
        self.observe_limit(notice.limit, sent_at);
        if notice.is_leaving {
            self.report_leaving();
        }
        if let Some(time) = notice.rest {
            log::info!("endpoint {} wants no requests for {time:?}", self.endpoint.id);
            self.routes.record_rest(&self.endpoint.id, time);
        }
    }

    /// Takes the endpoint out of service, here and at its owner.
    fn report_leaving(&self) {
        let endpoint = &self.endpoint.id;
        if self.roster.has_left(endpoint) {
            return;
        }
        log::info!("endpoint {endpoint} says in an answer that it is leaving");
        let owner = self.routes.owner_of(endpoint);
        self.roster.report_leaving(endpoint.clone());
        if let Some(owner) = owner {
            self.owner_client.report_leaving(&owner, endpoint);
        }
    }

    fn observe_limit(&self, notice: LimitNotice, sent_at: Instant) {
        self.metrics.limit_noticed(notice.name());
        self.limit.set(notice.rate());
        if notice == LimitNotice::Malformed {
            log::warn!("endpoint {} states a malformed limit", self.endpoint.id);
            return;
        }
        let (endpoint, answered_at) = (self.endpoint.id.clone(), Instant::now());
        let statement = LimitStatement { endpoint, notice, sent_at, answered_at };
        // The owner may know of a limit from the answers to other instances.
        if self.routes.observe_limit(&statement) || self.is_paced {
            self.routes.state_limit(&self.owner_client, &self.entry.pool, &statement);
        }
    }

    /// The limit in requests a second that the endpoint's answer stated.
    pub fn limit(&self) -> Option<f64> {
        self.limit.get()
    }

    /// Reports the first token to the instance that accounts for the grant.
    pub fn report_first_token(&self) {
        self.owner_client.first_token(&self.current_source(), &self.entry.pool, self.report.grant);
    }

    /// The source that accounts for the grant now.
    fn current_source(&self) -> GrantSource {
        match &self.entry.source {
            // The endpoint may have a new owner, to which the grant was announced.
            GrantSource::Owner(owner) => {
                let current = self.routes.owner_of(&self.endpoint.id);
                GrantSource::Owner(current.unwrap_or_else(|| owner.clone()))
            }
            source => source.clone(),
        }
    }
}

impl Drop for GrantLease {
    fn drop(&mut self) {
        let LeaseEntry { pool, held, source, .. } = &self.entry;
        let was_announced = self.routes.record_end(&self.entry);
        self.owner_client.release(&self.current_source(), pool, self.report.clone());
        match source {
            GrantSource::Owner(_) => self.owner_client.note_held(pool, &held.endpoint, false),
            GrantSource::FallbackShare if was_announced => {
                if let Some(owner) = self.routes.owner_of(&held.endpoint) {
                    let owner = GrantSource::Owner(owner);
                    self.owner_client.release(&owner, pool, self.report.clone());
                }
            }
            GrantSource::FallbackShare | GrantSource::Ungranted => {}
        }
    }
}

/// Starts the lease of a grant that will be used.
pub(super) fn start_lease(
    context: &PipelineContext,
    search: &GrantSearch<'_>,
    entry: LeaseEntry,
    is_paced: bool,
    endpoint: EndpointSettings,
) -> GrantLease {
    let report = release_report(context, &entry, ReleaseResult::Cancelled);
    let owner = match &entry.source {
        GrantSource::Owner(owner) => Some(owner),
        GrantSource::FallbackShare | GrantSource::Ungranted => None,
    };
    context.routes.record_grant(search.route(), owner, entry.clone());
    if owner.is_some() {
        context.owner_client.note_held(&entry.pool, &entry.held.endpoint, true);
    }
    GrantLease {
        endpoint,
        progress: SendProgress::default(),
        entry,
        routes: context.routes.clone(),
        owner_client: context.owner_client.clone(),
        roster: context.roster.clone(),
        report,
        metrics: context.metrics.clone(),
        limit: Cell::default(),
        is_paced,
    }
}

/// Returns a grant that is not used, and tells the owner of a limit that it may not know.
pub(super) fn return_grant(context: &PipelineContext, entry: &LeaseEntry) {
    let report = release_report(context, entry, ReleaseResult::NotSent);
    context.owner_client.release(&entry.source, &entry.pool, report);
    if let Some(limit) = context.routes.known_limit(&entry.held.endpoint) {
        context.routes.state_limit(&context.owner_client, &entry.pool, &limit);
    }
}

fn release_report(
    context: &PipelineContext,
    entry: &LeaseEntry,
    result: ReleaseResult,
) -> ReleaseReport {
    ReleaseReport {
        requester: context.own.clone(),
        grant: entry.held.grant,
        endpoint: entry.held.endpoint.clone(),
        tokens: 0,
        first_token: None,
        between_tokens: None,
        result,
    }
}
