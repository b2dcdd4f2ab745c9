//! Requests grants from owners, whether they are this instance or another one.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coltsfootgate_core::endpoint_limit::LimitStatement;
use coltsfootgate_core::owner::{GrantAnswer, GrantRequest, HeldGrant, ReleaseReport};
use coltsfootgate_core::prelude::{EndpointId, GrantId, InstanceId, PoolId};
use coltsfootgate_wire::{PeerReply, PeerRequest};
use monoio::time::sleep;

use super::RouteTable;
use crate::owner::{OwnerHandle, OwnerMessage, OwnerScope};
use crate::peer::PeerHandle;

/// Where a grant comes from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GrantSource {
    /// An owner of endpoints of the pool.
    Owner(InstanceId),
    /// This instance's queue for its fallback share of the pool.
    FallbackShare,
    /// No queue: the request is sent without an owner's grant.
    Ungranted,
}

/// Time limit for another instance's answer to a request that it must not queue.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Time limit for a silent owner to show that it answers again.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a silent owner is asked once more.
const PROBE_PERIOD: Duration = Duration::from_millis(100);
/// Time after a queued request's deadline until which the owner's answer is awaited.
const QUEUE_MARGIN: Duration = Duration::from_millis(500);

/// Time limit for another instance to acknowledge a notification.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of attempts to deliver a notification.
const NOTIFY_ATTEMPTS: u32 = 5;
/// Delay after the first failed attempt; it doubles with each further one.
const NOTIFY_BACKOFF: Duration = Duration::from_millis(200);

/// Calls the owners of endpoints, locally or through the peer protocol.
#[derive(Clone)]
pub struct OwnerClient {
    own: InstanceId,
    local: OwnerHandle,
    peers: PeerHandle,
    /// The silent owners that are asked whether they answer again.
    watched: Rc<RefCell<HashSet<InstanceId>>>,
}

/// A grant request that is cancelled when dropped before its answer.
pub struct PendingRequest<'a> {
    client: &'a OwnerClient,
    source: GrantSource,
    pool: PoolId,
    grant: GrantId,
    answered: bool,
}

impl OwnerClient {
    /// Creates the client of the instance `own`.
    pub fn new(own: InstanceId, local: OwnerHandle, peers: PeerHandle) -> Self {
        Self { own, local, peers, watched: Rc::default() }
    }

    /// Requests a grant; `None` if no answer arrived in time.
    pub async fn request_grant(
        &self,
        source: &GrantSource,
        pool: &PoolId,
        request: GrantRequest,
    ) -> Option<GrantAnswer> {
        let mut pending = PendingRequest {
            client: self,
            source: source.clone(),
            pool: pool.clone(),
            grant: request.grant,
            answered: false,
        };
        let answer = match self.local_scope(source) {
            Some(scope) => self.local.request_grant(pool.clone(), scope, request).await,
            None => self.request_remote(source, pool, request).await,
        };
        pending.answered = answer.is_some();
        answer
    }

    async fn request_remote(
        &self,
        source: &GrantSource,
        pool: &PoolId,
        request: GrantRequest,
    ) -> Option<GrantAnswer> {
        let GrantSource::Owner(owner) = source else { return None };
        let deadline = Instant::now() + answer_timeout(&request);
        let request = PeerRequest::RequestGrant { pool: pool.clone(), request };
        match self.peers.call(owner, request, deadline).await {
            Ok(PeerReply::Grant(answer)) => Some(answer),
            Ok(_) | Err(_) => None,
        }
    }

    /// Whether the connection to an owner does not answer.
    pub fn is_silent(&self, owner: &InstanceId) -> bool {
        self.peers.is_silent(owner)
    }

    /// Notes in the routes that an owner does not answer, and when it answers again.
    pub fn watch_silent(&self, owner: &InstanceId, routes: &RouteTable) {
        routes.set_silent(owner, true);
        if *owner == self.own || !self.watched.borrow_mut().insert(owner.clone()) {
            return;
        }
        log::info!("owner {owner} does not answer; requests use the fallback share");
        let (client, owner, routes) = (self.clone(), owner.clone(), routes.clone());
        monoio::spawn(async move {
            while routes.is_owner(&owner) {
                let deadline = Instant::now() + PROBE_TIMEOUT;
                let question = PeerRequest::AskAbout(client.own.clone());
                if client.peers.call(&owner, question, deadline).await.is_ok() {
                    log::info!("owner {owner} answers again");
                    break;
                }
                sleep(PROBE_PERIOD).await;
            }
            routes.set_silent(&owner, false);
            client.watched.borrow_mut().remove(&owner);
        });
    }

    /// Reports the first token to the grant's source; not repeated, since it is only informative.
    pub fn first_token(&self, source: &GrantSource, pool: &PoolId, grant: GrantId) {
        let (pool, requester) = (pool.clone(), self.own.clone());
        if let Some(scope) = self.local_scope(source) {
            self.local.send(OwnerMessage::FirstToken { pool, scope, requester, grant });
        } else if let GrantSource::Owner(owner) = source {
            self.notify(owner, PeerRequest::FirstToken { pool, requester, grant });
        }
    }

    /// Returns a grant to its source.
    pub fn release(&self, source: &GrantSource, pool: &PoolId, report: ReleaseReport) {
        if let Some(scope) = self.local_scope(source) {
            self.local.send(OwnerMessage::Release { pool: pool.clone(), scope, report });
        } else if let GrantSource::Owner(owner) = source {
            self.notify(owner, PeerRequest::Release(vec![(pool.clone(), report)]));
        }
    }

    /// Reports to an owner all grants that this instance holds for its endpoints.
    pub fn announce(&self, owner: &InstanceId, pool: PoolId, held: Vec<HeldGrant>) {
        let requester = self.own.clone();
        if *owner == self.own {
            self.local.send(OwnerMessage::Announce { pool, requester, held });
        } else {
            self.notify(owner, PeerRequest::Announce { pool, requester, held });
        }
    }

    /// Reports to an endpoint's owner, if there is one, and to this instance's own queue what an
    /// answer stated about the endpoint's limit.
    pub fn state_limit(
        &self,
        owner: Option<&InstanceId>,
        pool: &PoolId,
        statement: &LimitStatement,
    ) {
        let state_locally = |scope| {
            let (pool, statement) = (pool.clone(), statement.clone());
            self.local.send(OwnerMessage::LimitStated { pool, scope, statement });
        };
        state_locally(OwnerScope::FallbackShare);
        match owner {
            Some(owner) if *owner == self.own => state_locally(OwnerScope::Owned),
            Some(owner) => {
                let (pool, statement) = (pool.clone(), statement.clone());
                self.notify(owner, PeerRequest::StateLimit { pool, statement });
            }
            None => {}
        }
    }

    /// Tells this instance's share of a pool that a request of it begins or ends to run under an owner's grant.
    pub fn note_held(&self, pool: &PoolId, endpoint: &EndpointId, is_held: bool) {
        let (pool, endpoint) = (pool.clone(), endpoint.clone());
        self.local.send(OwnerMessage::HeldElsewhere { pool, endpoint, is_held });
    }

    /// Tells an endpoint's owner that the endpoint said in an answer that it is leaving.
    pub fn report_leaving(&self, owner: &InstanceId, endpoint: &EndpointId) {
        if *owner != self.own {
            self.notify(owner, PeerRequest::ReportLeaving(endpoint.clone()));
        }
    }

    fn cancel(&self, source: &GrantSource, pool: &PoolId, grant: GrantId) {
        let (pool, requester) = (pool.clone(), self.own.clone());
        if let Some(scope) = self.local_scope(source) {
            self.local.send(OwnerMessage::Cancel { pool, scope, requester, grant });
        } else if let GrantSource::Owner(owner) = source {
            self.notify(owner, PeerRequest::Cancel { pool, requester, grant });
        }
    }

    /// Sends a notification and repeats it until it is acknowledged; it takes effect once.
    ///
    /// If a release or cancellation were lost, the owner would count the slot as taken for as long
    /// as both instances live. An announcement is sent once, since it soon becomes outdated.
    fn notify(&self, owner: &InstanceId, notification: PeerRequest) {
        let attempts = match notification {
            PeerRequest::Announce { .. } | PeerRequest::FirstToken { .. } => 1,
            _ => NOTIFY_ATTEMPTS,
        };
        let (peers, owner) = (self.peers.clone(), owner.clone());
        monoio::spawn(async move {
            for attempt in 0..attempts {
                let deadline = Instant::now() + NOTIFY_TIMEOUT;
                match peers.call(&owner, notification.clone(), deadline).await {
                    Ok(_) => return,
                    Err(error) => {
                        log::debug!("notifying owner {owner} failed: {}", error.name());
                    }
                }
                sleep(NOTIFY_BACKOFF * 2_u32.pow(attempt)).await;
            }
        });
    }

    fn local_scope(&self, source: &GrantSource) -> Option<OwnerScope> {
        match source {
            GrantSource::Owner(owner) if *owner == self.own => Some(OwnerScope::Owned),
            GrantSource::FallbackShare => Some(OwnerScope::FallbackShare),
            GrantSource::Owner(_) | GrantSource::Ungranted => None,
        }
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.client.cancel(&self.source, &self.pool, self.grant);
        }
    }
}

/// Time limit for the owner's answer to a grant request.
fn answer_timeout(request: &GrantRequest) -> Duration {
    match request.wait {
        true => request.deadline.saturating_duration_since(Instant::now()) + QUEUE_MARGIN,
        false => ANSWER_TIMEOUT,
    }
}
