//! Serves other instances' calls about endpoints owned by this instance, limits it keeps and grants it holds.

use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use futures_util::future::{Either, select};

use coltsfootgate_core::owner::GrantRequest;
use coltsfootgate_core::prelude::PoolId;
use coltsfootgate_wire::{PeerReply, PeerRequest};

use super::{HolderSurvey, OwnerHandle, OwnerMessage, OwnerScope};
use crate::limits::LimitHandle;
use crate::peer::PeerCall;
use crate::routes::RouteTable;

/// Forwards peers' calls about grants and limits to the tasks that handle them.
#[derive(Clone)]
pub struct OwnerService {
    owner: OwnerHandle,
    limits: LimitHandle,
    routes: RouteTable,
    survey: HolderSurvey,
}

impl OwnerService {
    /// Creates the service from handles of the owner task and the limit task, and the grants held here.
    pub fn new(
        owner: OwnerHandle,
        limits: LimitHandle,
        routes: RouteTable,
        survey: HolderSurvey,
    ) -> Self {
        Self { owner, limits, routes, survey }
    }

    /// Serves calls until their sender is dropped.
    pub async fn run(self, mut calls: UnboundedReceiver<PeerCall>) {
        while let Some(call) = calls.next().await {
            self.handle_call(call);
        }
    }

    fn handle_call(&self, call: PeerCall) {
        let PeerCall { from, request, reply } = call;
        let is_notification = match request {
            PeerRequest::RequestGrant { pool, request } => {
                let service = self.clone();
                monoio::spawn(async move { service.request_grant(pool, request, reply).await });
                return;
            }
            PeerRequest::CheckGrants(grants) => {
                let held = match grants.is_empty() {
                    true => self.survey.answer(&from),
                    false => self.routes.held_of(&grants),
                };
                let _ = reply.send(PeerReply::HeldGrants(held));
                return;
            }
            PeerRequest::RequestSlice(request) => {
                let limits = self.limits.clone();
                monoio::spawn(async move {
                    if let Some(slice) = limits.grant_slice(request).await {
                        let _ = reply.send(PeerReply::LimitSlice(slice));
                    }
                });
                return;
            }
            PeerRequest::Release(reports) => {
                for (pool, report) in reports {
                    let scope = OwnerScope::Owned;
                    self.owner.send(OwnerMessage::Release { pool, scope, report });
                }
                true
            }
            PeerRequest::FirstToken { pool, requester, grant } => {
                let scope = OwnerScope::Owned;
                self.owner.send(OwnerMessage::FirstToken { pool, scope, requester, grant });
                true
            }
            PeerRequest::Cancel { pool, requester, grant } => {
                let scope = OwnerScope::Owned;
                self.owner.send(OwnerMessage::Cancel { pool, scope, requester, grant });
                true
            }
            PeerRequest::StateLimit { pool, statement } => {
                let scope = OwnerScope::Owned;
                self.owner.send(OwnerMessage::LimitStated { pool, scope, statement });
                true
            }
            PeerRequest::Announce { pool, requester, held } => {
                self.owner.send(OwnerMessage::Announce { pool, requester, held });
                true
            }
            // The peer dispatcher routes these to other tasks.
            PeerRequest::Heartbeat { .. }
            | PeerRequest::AskAbout(_)
            | PeerRequest::FetchHead
            | PeerRequest::FetchObject(_)
            | PeerRequest::FetchReplicas
            | PeerRequest::RecordStream { .. }
            | PeerRequest::FindStream(_)
            | PeerRequest::ReportCrash(_)
            | PeerRequest::ReportServed(_)
            | PeerRequest::ShareQuarantine(_)
            | PeerRequest::CompareQuarantine(_)
            | PeerRequest::ReportLeaving(_)
            | PeerRequest::CheckEndpoint(_)
            | PeerRequest::TakeTrial(_)
            | PeerRequest::FetchUsage(_)
            | PeerRequest::FollowHead(_)
            | PeerRequest::FollowReplicas { .. }
            | PeerRequest::Claim { .. } => false,
        };
        if is_notification {
            let _ = reply.send(PeerReply::Accepted);
        }
    }

    /// Replies with the owner's answer, or cancels the request when the peer abandons the call.
    async fn request_grant(
        &self,
        pool: PoolId,
        request: GrantRequest,
        mut reply: futures_channel::oneshot::Sender<PeerReply>,
    ) {
        let (requester, grant) = (request.requester.clone(), request.grant);
        let scope = OwnerScope::Owned;
        let answer = {
            let answer = std::pin::pin!(self.owner.request_grant(pool.clone(), scope, request));
            let abandoned = std::pin::pin!(reply.cancellation());
            match select(answer, abandoned).await {
                Either::Left((answer, _)) => answer,
                Either::Right(_) => None,
            }
        };
        let is_delivered = match answer {
            Some(answer) => reply.send(PeerReply::Grant(answer)).is_ok(),
            None => false,
        };
        if !is_delivered {
            self.owner.send(OwnerMessage::Cancel { pool, scope, requester, grant });
        }
    }
}
