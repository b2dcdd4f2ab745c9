//! Answers what other instances ask of the endpoints owned here and of the limits kept here.

use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use futures_util::future::{Either, select};

use coltsfootgate_core::owner::GrantRequest;
use coltsfootgate_core::prelude::PoolId;
use coltsfootgate_wire::{PeerReply, PeerRequest};

use super::{GrantAnswer, OwnerHandle, OwnerMessage, OwnerScope};
use crate::limits::LimitHandle;
use crate::peer::PeerCall;

/// Passes peers' requests about grants and limits on to the tasks that decide.
#[derive(Clone, Debug)]
pub struct OwnerDesk {
    owner: OwnerHandle,
    limits: LimitHandle,
}

impl OwnerDesk {
    /// Makes the desk of an instance.
    pub fn new(owner: OwnerHandle, limits: LimitHandle) -> Self {
        Self { owner, limits }
    }

    /// Answers calls until their sender is gone.
    pub async fn run(self, mut calls: UnboundedReceiver<PeerCall>) {
        while let Some(call) = calls.next().await {
            self.answer(call);
        }
    }

    fn answer(&self, call: PeerCall) {
        let PeerCall { request, reply, .. } = call;
        let statement = match request {
            PeerRequest::RequestGrant { pool, request } => {
                let desk = self.clone();
                monoio::spawn(async move { desk.answer_ask(pool, request, reply).await });
                return;
            }
            PeerRequest::RequestSlice(ask) => {
                let limits = self.limits.clone();
                monoio::spawn(async move {
                    if let Some(slice) = limits.grant_slice(ask).await {
                        let _ = reply.send(PeerReply::LimitSlice(slice));
                    }
                });
                return;
            }
            PeerRequest::Release(reports) => {
                for (pool, report) in reports {
                    let scope = OwnerScope::Owned;
                    self.owner.tell(OwnerMessage::Release { pool, scope, report });
                }
                true
            }
            PeerRequest::FirstToken { pool, requester: asker, grant } => {
                let scope = OwnerScope::Owned;
                self.owner.tell(OwnerMessage::FirstToken { pool, scope, asker, grant });
                true
            }
            PeerRequest::Cancel { pool, requester: asker, grant } => {
                let scope = OwnerScope::Owned;
                self.owner.tell(OwnerMessage::Cancel { pool, scope, asker, grant });
                true
            }
            PeerRequest::Announce { pool, requester: asker, held } => {
                self.owner.tell(OwnerMessage::Announce { pool, asker, held });
                true
            }
            // Others answer these before the desk is asked.
            PeerRequest::Heartbeat { .. }
            | PeerRequest::AskAbout(_)
            | PeerRequest::FetchHead
            | PeerRequest::FetchObject(_)
            | PeerRequest::FetchReplicas
            | PeerRequest::Claim { .. } => false,
        };
        if statement {
            let _ = reply.send(PeerReply::Accepted);
        }
    }

    /// Waits for the owner's answer, and cancels the ask when the peer gives it up.
    async fn answer_ask(
        &self,
        pool: PoolId,
        request: GrantRequest,
        mut reply: futures_channel::oneshot::Sender<PeerReply>,
    ) {
        let (asker, grant) = (request.requester.clone(), request.grant);
        let scope = OwnerScope::Owned;
        let answer = {
            let ask = std::pin::pin!(self.owner.ask(pool.clone(), scope, request));
            let gone = std::pin::pin!(reply.cancellation());
            match select(ask, gone).await {
                Either::Left((answer, _)) => answer,
                Either::Right(_) => None,
            }
        };
        let is_taken = match answer {
            Some(answer) => reply.send(reply_of(answer)).is_ok(),
            None => false,
        };
        if !is_taken {
            self.owner.tell(OwnerMessage::Cancel { pool, scope, asker, grant });
        }
    }
}

fn reply_of(answer: GrantAnswer) -> PeerReply {
    match answer {
        GrantAnswer::Granted { endpoint, by_floor, pressure } => {
            PeerReply::Granted { endpoint, by_floor, pressure }
        }
        GrantAnswer::Busy(pressure) => PeerReply::Busy(pressure),
        GrantAnswer::Refused { kind, pressure } => PeerReply::Refused { kind, pressure },
    }
}
