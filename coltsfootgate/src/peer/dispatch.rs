//! Passes the requests of peers on to the parts that answer them.

use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender};
use futures_util::StreamExt;
use log::warn;

use coltsfootgate_core::ids::InstanceId;
use coltsfootgate_wire::{PeerReply, PeerRequest};

use super::PeerCall;
use crate::claims::ClaimsHandle;
use crate::clock;
use crate::endpoints::ReplicaBoard;
use crate::members::{MemberMessage, MembersHandle};
use crate::metrics::DaemonMetrics;
use crate::tree::TreeHandle;

/// Sorts requests by the part that they are for.
pub struct PeerDispatch {
    members: MembersHandle,
    tree: TreeHandle,
    replicas: ReplicaBoard,
    claims: ClaimsHandle,
    metrics: DaemonMetrics,
    /// Takes what concerns grants and limits.
    others: UnboundedSender<PeerCall>,
}

impl PeerDispatch {
    /// Makes a dispatch; what concerns neither members, the tree nor claims goes to `others`.
    pub fn new(
        members: MembersHandle,
        tree: TreeHandle,
        replicas: ReplicaBoard,
        claims: ClaimsHandle,
        metrics: DaemonMetrics,
        others: UnboundedSender<PeerCall>,
    ) -> Self {
        Self { members, tree, replicas, claims, metrics, others }
    }

    /// Passes requests on until the listener is gone.
    pub async fn run(self, mut calls: UnboundedReceiver<PeerCall>) {
        while let Some(call) = calls.next().await {
            self.pass_on(call);
        }
    }

    fn pass_on(&self, call: PeerCall) {
        if !is_own_statement(&call.request, &call.from) {
            warn!("{} sent a request in the name of another instance", call.from);
            self.metrics.peer_fault("wrong-sender");
            return;
        }
        let PeerCall { from, request, reply } = call;
        // Whoever asked may have given up, which is no fault.
        match request {
            PeerRequest::Heartbeat { heartbeat, pressures } => {
                self.members.tell(MemberMessage::Heartbeat { heartbeat, pressures, reply });
            }
            PeerRequest::AskAbout(about) => {
                self.members.tell(MemberMessage::AskAbout { about, reply });
            }
            PeerRequest::FetchHead => {
                let head = self.tree.current().map(|tree| tree.head.clone());
                let _ = reply.send(PeerReply::Head(head));
            }
            PeerRequest::FetchObject(digest) => {
                let object = self.tree.object(&digest).map(|object| object.to_vec());
                let _ = reply.send(PeerReply::Object(object));
            }
            PeerRequest::FetchReplicas => {
                let _ = reply.send(PeerReply::Replicas(self.replicas.knowledge()));
            }
            PeerRequest::Claim { change, deadline } => {
                let claims = self.claims.clone();
                monoio::spawn(async move {
                    let wait = deadline.saturating_duration_since(clock::now());
                    let verdict = claims.change_locally(change, wait).await;
                    let _ = reply.send(PeerReply::Claim(verdict));
                });
            }
            request => {
                let _ = self.others.unbounded_send(PeerCall { from, request, reply });
            }
        }
    }
}

/// Whether a request speaks in the name of its sender only.
fn is_own_statement(request: &PeerRequest, sender: &InstanceId) -> bool {
    match request {
        PeerRequest::Heartbeat { heartbeat, .. } => heartbeat.sender.profile.id == *sender,
        PeerRequest::Ask { request, .. } => request.asker == *sender,
        PeerRequest::FirstToken { asker, .. } => asker == sender,
        PeerRequest::Cancel { asker, .. } | PeerRequest::Announce { asker, .. } => asker == sender,
        PeerRequest::Release(reports) => reports.iter().all(|(_, report)| report.asker == *sender),
        PeerRequest::LimitAsk(ask) => ask.entry == *sender,
        PeerRequest::AskAbout(_)
        | PeerRequest::FetchHead
        | PeerRequest::FetchObject(_)
        | PeerRequest::FetchReplicas
        | PeerRequest::Claim { .. } => true,
    }
}
