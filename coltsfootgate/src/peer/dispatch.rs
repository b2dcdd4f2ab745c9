//! Dispatches requests of peers to the modules that handle them.

use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender};
use futures_util::StreamExt;
use log::warn;

use coltsfootgate_core::ids::InstanceId;
use coltsfootgate_core::stream::RecordCopy;
use coltsfootgate_wire::{PeerReply, PeerRequest};

use super::PeerCall;
use crate::claims::ClaimsHandle;
use crate::clock;
use crate::duties::UsageBoard;
use crate::endpoint::EndpointPaths;
use crate::endpoints::SharedRoster;
use crate::feed::FeedHandle;
use crate::members::{MemberMessage, MembersHandle};
use crate::metrics::DaemonMetrics;
use crate::quarantine::{QuarantineHandle, QuarantineMessage};
use crate::streams::StreamRegister;
use crate::tree::TreeHandle;

/// Dispatches requests by their kind.
pub struct PeerDispatch {
    /// Receives heartbeats.
    pub members: MembersHandle,
    /// The settings tree in force.
    pub tree: TreeHandle,
    /// The announced replicas.
    pub replicas: SharedRoster,
    /// Receives claims on idempotency keys.
    pub claims: ClaimsHandle,
    /// Where recent streams began.
    pub streams: StreamRegister,
    /// Receives crashes and blocked parts of prompts.
    pub quarantine: QuarantineHandle,
    /// What this instance counted.
    pub usage: UsageBoard,
    /// What this instance read of the platform's state.
    pub feed: FeedHandle,
    /// The path to endpoints.
    pub path: EndpointPaths,
    /// The metrics.
    pub metrics: DaemonMetrics,
    /// Receives requests about grants and limits.
    pub owner_calls: UnboundedSender<PeerCall>,
}

impl PeerDispatch {
    /// Dispatches requests until the listener is dropped.
    pub async fn run(self, mut calls: UnboundedReceiver<PeerCall>) {
        while let Some(call) = calls.next().await {
            self.dispatch(call);
        }
    }

    fn dispatch(&self, call: PeerCall) {
        if !matches_sender(&call.request, &call.from) {
            warn!(
                "refused a {} request of {}, which names another instance as its sender",
                call.request.name(),
                call.from
            );
            self.metrics.peer_fault("wrong-sender");
            return;
        }
        let PeerCall { from, request, reply } = call;
        // Sending a reply fails if the peer has cancelled the call, which is not an error.
        match request {
            PeerRequest::Heartbeat { heartbeat, pressures } => {
                self.members.send(MemberMessage::Heartbeat { heartbeat, pressures, reply });
            }
            PeerRequest::AskAbout(about) => {
                self.members.send(MemberMessage::AskAbout { about, reply });
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
                let snapshot = self.replicas.snapshot(self.streams.origins().listed());
                let _ = reply.send(PeerReply::Replicas(snapshot));
            }
            PeerRequest::RecordStream { key, origin, expires } => {
                self.streams.receive(&from, RecordCopy { key, origin, expires });
                let _ = reply.send(PeerReply::Accepted);
            }
            PeerRequest::FindStream(key) => {
                let _ = reply.send(self.streams.answer(&key));
            }
            PeerRequest::ReportCrash(report) => {
                self.quarantine.send(QuarantineMessage::Crash(report));
                let _ = reply.send(PeerReply::Accepted);
            }
            PeerRequest::ReportServed(served) => {
                self.quarantine.send(QuarantineMessage::Served(served));
                let _ = reply.send(PeerReply::Accepted);
            }
            PeerRequest::ShareQuarantine(notice) => {
                self.quarantine.send(QuarantineMessage::Noticed { from, notice });
                let _ = reply.send(PeerReply::Accepted);
            }
            PeerRequest::CompareQuarantine(digest) => {
                self.quarantine.send(QuarantineMessage::Compared { from, digest });
                let _ = reply.send(PeerReply::Accepted);
            }
            PeerRequest::ReportLeaving(endpoint) => {
                self.replicas.report_leaving(endpoint);
                let _ = reply.send(PeerReply::Accepted);
            }
            PeerRequest::CheckEndpoint(endpoint) => {
                let path = self.path.clone();
                monoio::spawn(async move {
                    let is_reachable = path.connects_to(&endpoint).await;
                    let _ = reply.send(PeerReply::Reachable(is_reachable));
                });
            }
            PeerRequest::TakeTrial(key) => {
                let quarantine = self.quarantine.clone();
                monoio::spawn(async move {
                    let may_send = quarantine.decide_trial(key).await;
                    let _ = reply.send(PeerReply::Trial(may_send));
                });
            }
            PeerRequest::Claim { change, deadline } => {
                let claims = self.claims.clone();
                monoio::spawn(async move {
                    let wait = deadline.saturating_duration_since(clock::now());
                    let verdict = claims.change_locally(change, wait).await;
                    let _ = reply.send(PeerReply::Claim(verdict));
                });
            }
            PeerRequest::FetchUsage(known) => {
                // Without duties there is nothing to tell, and the request counts as not handled.
                if let Some(usage) = self.usage.usage(known) {
                    let _ = reply.send(PeerReply::Usage(usage));
                }
            }
            PeerRequest::FollowHead(known) => {
                let feed = self.feed.clone();
                monoio::spawn(async move {
                    // One that does not know enough does not answer, so that the asker turns to another source.
                    if let Some((version, age)) = feed.answer_head(known).await {
                        let _ = reply.send(PeerReply::HeadProof { version, age });
                    }
                });
            }
            PeerRequest::FollowReplicas { era, after } => {
                let feed = self.feed.clone();
                monoio::spawn(async move {
                    if let Some((notices, end)) = feed.answer_replicas(era, after).await {
                        let _ = reply.send(PeerReply::ReplicaChanges { notices, end });
                    }
                });
            }
            request => {
                let _ = self.owner_calls.unbounded_send(PeerCall { from, request, reply });
            }
        }
    }
}

/// Whether every instance that a request names as its sender is the authenticated sender.
fn matches_sender(request: &PeerRequest, sender: &InstanceId) -> bool {
    match request {
        PeerRequest::Heartbeat { heartbeat, .. } => heartbeat.sender.profile.id == *sender,
        PeerRequest::RequestGrant { request, .. } => request.requester == *sender,
        PeerRequest::FirstToken { requester, .. } => requester == sender,
        PeerRequest::Cancel { requester, .. } | PeerRequest::Announce { requester, .. } => {
            requester == sender
        }
        PeerRequest::Release(reports) => {
            reports.iter().all(|(_, report)| report.requester == *sender)
        }
        PeerRequest::RequestSlice(request) => request.entry == *sender,
        PeerRequest::AskAbout(_)
        | PeerRequest::FetchHead
        | PeerRequest::FetchObject(_)
        | PeerRequest::FetchReplicas
        | PeerRequest::CheckGrants(_)
        | PeerRequest::StateLimit { .. }
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
        | PeerRequest::Claim { .. } => true,
    }
}
