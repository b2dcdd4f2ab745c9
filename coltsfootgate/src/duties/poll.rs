//! Fetches from all instances what they counted, a few times a second.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};

use coltsfootgate_core::duty::usage::{SlotNumber, UsageMeter};
use coltsfootgate_core::duty::{InstanceUsage, PoolDemand};
use coltsfootgate_core::ids::{InstanceId, PoolId};
use coltsfootgate_wire::{PeerReply, PeerRequest};

use super::board::UsageBoard;
use crate::clock;
use crate::members::MembersHandle;
use crate::peer::PeerHandle;

/// Shortest interval between two calls to an instance: what was counted since then is lost if it loses power.
const POLL_PERIOD_MIN: Duration = Duration::from_millis(250);
/// Additional interval for each instance of the fleet, so that the calls of one candidate stay bounded.
const POLL_TIME_PER_INSTANCE: Duration = Duration::from_millis(3);
/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// A reply of an instance.
struct PolledUsage {
    instance: InstanceId,
    sent: Duration,
    arrived: Duration,
    usage: Option<InstanceUsage>,
}

/// Polls all other instances that answer.
pub(super) struct UsagePoller {
    own: InstanceId,
    board: UsageBoard,
    members: MembersHandle,
    peers: PeerHandle,
    next_polls: HashMap<InstanceId, Duration>,
    in_flight: HashSet<InstanceId>,
    demands: HashMap<InstanceId, Vec<PoolDemand>>,
    replies: (UnboundedSender<PolledUsage>, UnboundedReceiver<PolledUsage>),
}

impl UsagePoller {
    pub(super) fn new(
        own: InstanceId,
        board: UsageBoard,
        members: MembersHandle,
        peers: PeerHandle,
    ) -> Self {
        Self {
            own,
            board,
            members,
            peers,
            next_polls: HashMap::new(),
            in_flight: HashSet::new(),
            demands: HashMap::new(),
            replies: unbounded(),
        }
    }

    /// The instances that answer, this one included.
    pub(super) fn instances(&self) -> Vec<InstanceId> {
        let view = self.members.view();
        let mut instances: Vec<InstanceId> =
            view.answering(&self.own).into_iter().cloned().collect();
        instances.push(self.own.clone());
        instances
    }

    /// Starts the calls that are due.
    pub(super) fn poll(&mut self, meter: &mut UsageMeter, now: Duration) {
        let instances = self.instances();
        let period = POLL_PERIOD_MIN.max(POLL_TIME_PER_INSTANCE * instances.len() as u32);
        self.demands.retain(|instance, _| instances.contains(instance));
        self.next_polls.retain(|instance, _| instances.contains(instance));
        for instance in instances {
            let is_due = self.next_polls.get(&instance).is_none_or(|next| now >= *next);
            if !is_due || self.in_flight.contains(&instance) {
                continue;
            }
            self.next_polls.insert(instance.clone(), now + period);
            let known = meter.position(&instance);
            if instance == self.own {
                let usage = self.board.usage(known);
                self.take(PolledUsage { instance, sent: now, arrived: now, usage }, meter);
            } else {
                self.in_flight.insert(instance.clone());
                self.start_call(instance, known);
            }
        }
    }

    fn start_call(&self, instance: InstanceId, known: Option<(u64, SlotNumber)>) {
        let (peers, replies) = (self.peers.clone(), self.replies.0.clone());
        monoio::spawn(async move {
            let (sent, deadline) = (clock::boot_time(), clock::now() + CALL_TIMEOUT);
            let reply = peers.call(&instance, PeerRequest::FetchUsage(known), deadline).await;
            let usage = match reply {
                Ok(PeerReply::Usage(usage)) => Some(usage),
                Ok(_) | Err(_) => None,
            };
            let arrived = clock::boot_time();
            // Fails only while the process is ending.
            let _ = replies.unbounded_send(PolledUsage { instance, sent, arrived, usage });
        });
    }

    /// Adds the replies that have arrived.
    pub(super) fn collect(&mut self, meter: &mut UsageMeter) {
        while let Ok(polled) = self.replies.1.try_recv() {
            self.in_flight.remove(&polled.instance);
            self.take(polled, meter);
        }
    }

    fn take(&mut self, polled: PolledUsage, meter: &mut UsageMeter) {
        let Some(usage) = polled.usage else { return };
        meter.add(&polled.instance, usage.extract, polled.sent, polled.arrived);
        self.demands.insert(polled.instance, usage.demands);
    }

    /// The running and the waiting requests of a pool at all instances that were heard.
    pub(super) fn demand(&self, pool: &PoolId) -> (u32, u32) {
        let demands = self.demands.values().flatten().filter(|demand| demand.pool == *pool);
        demands.fold((0, 0), |(running, waiting), demand| {
            (running + demand.running, waiting + demand.waiting)
        })
    }
}
