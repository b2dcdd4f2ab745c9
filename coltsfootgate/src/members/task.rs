//! The task that decides, with a [`PeerTable`], which instances are live.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::oneshot;
use futures_util::StreamExt;
use futures_util::future::join_all;
use log::info;
use serde_json::{Value, json};

use coltsfootgate_core::freshness::VersionProof;
use coltsfootgate_core::ids::InstanceId;
use coltsfootgate_core::membership::{
    HEARTBEAT_PERIOD, PeerAction, PeerEvent, PeerHeartbeat, PeerProfile, PeerState, PeerTable,
};
use coltsfootgate_core::rendezvous::OwnerTable;
use coltsfootgate_core::routing::OwnerLocation;
use coltsfootgate_wire::{PeerReply, PeerRequest, PoolPressure};

use super::list::{follow_list, keep_listed};
use super::{MemberChange, MemberMessage, MemberView, MembersHandle};
use crate::clock;
use crate::metrics::DaemonMetrics;
use crate::peer::PeerHandle;
use crate::platform::{InstanceDirectory, ListedInstance};
use crate::tree::TreeHandle;

/// Time for a peer to answer a heartbeat or a question about another instance.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// The states by which other instances are counted.
const COUNTED_STATES: [PeerState; 5] =
    [PeerState::Listed, PeerState::Alive, PeerState::Suspect, PeerState::Dead, PeerState::Leaving];

/// Exchanges heartbeats and keeps the view of live instances.
pub struct MembersTask {
    table: PeerTable,
    handle: MembersHandle,
    messages: UnboundedReceiver<MemberMessage>,
    peers: PeerHandle,
    tree: TreeHandle,
    metrics: DaemonMetrics,
    leaving_endpoints: BTreeSet<Arc<str>>,
    is_list_known: bool,
    told_sources: Vec<InstanceId>,
}

impl MembersTask {
    /// Makes the task of an instance, and its handle.
    pub fn new(
        own: PeerProfile,
        peers: PeerHandle,
        tree: TreeHandle,
        metrics: DaemonMetrics,
    ) -> (Self, MembersHandle) {
        let (handle, messages) = MembersHandle::new();
        let task = Self {
            table: PeerTable::new(own),
            handle: handle.clone(),
            messages,
            peers,
            tree,
            metrics,
            leaving_endpoints: BTreeSet::new(),
            is_list_known: false,
            told_sources: Vec::new(),
        };
        task.publish_view();
        (task, handle)
    }

    /// Exchanges heartbeats until the process ends.
    pub async fn run<D>(mut self, directory: D, own: ListedInstance, seeds: Vec<InstanceId>)
    where
        D: InstanceDirectory + Clone + 'static,
    {
        if !seeds.is_empty() {
            let zone = self.table.own_profile().zone.clone();
            let seeds = seeds.into_iter().map(|seed| (seed, zone.clone()));
            self.take_event(PeerEvent::Listed(seeds.collect()));
        }
        monoio::spawn(keep_listed(directory.clone(), own));
        monoio::spawn(follow_list(directory, self.handle.clone(), self.metrics.clone()));
        let mut trees = self.tree.subscribe();
        let mut next_tick = clock::now();
        loop {
            let now = clock::now();
            if now >= next_tick {
                // A late tick is not made up for, so that a pause shows as a gap.
                next_tick = now + HEARTBEAT_PERIOD;
                while let Ok(tree) = trees.try_recv() {
                    self.take_event(PeerEvent::ConfigChanged(tree.version));
                }
                self.take_event(PeerEvent::Tick);
                self.show_status();
            }
            let rest = next_tick.saturating_duration_since(clock::now());
            match monoio::time::timeout(rest, self.messages.next()).await {
                Ok(Some(message)) => self.take(message),
                Ok(None) => return,
                Err(_) => (),
            }
        }
    }

    fn take(&mut self, message: MemberMessage) {
        match message {
            MemberMessage::Heartbeat { heartbeat, pressures, reply } => {
                let from = heartbeat.sender.profile.id.clone();
                self.take_heartbeat(heartbeat, pressures);
                let (mut heartbeat, pressures) =
                    (self.table.heartbeat_for(&from), self.handle.pressures());
                heartbeat.config_age = self.tree.age();
                let _ = reply.send(PeerReply::Heartbeat { heartbeat, pressures });
            }
            MemberMessage::Answered { heartbeat, pressures } => {
                self.take_heartbeat(heartbeat, pressures);
            }
            MemberMessage::AskAbout { about, reply } => {
                let heard = self.table.hears_from(&about, clock::now());
                let _ = reply.send(PeerReply::Heard(heard));
            }
            MemberMessage::Vouched { about, by, heard } => {
                self.take_event(PeerEvent::ReachabilityReport { about, by, heard });
            }
            MemberMessage::Listed(listed) => {
                self.is_list_known = true;
                let others = listed.routers.iter().map(|(id, _)| id.clone());
                self.tell_sources(others.collect());
                self.take_event(PeerEvent::Listed(listed.routers));
                if listed.leaving_endpoints != self.leaving_endpoints {
                    self.leaving_endpoints = listed.leaving_endpoints;
                    self.publish_view();
                }
            }
            MemberMessage::Leave(told) => self.leave(told),
        }
    }

    fn take_heartbeat(&mut self, heartbeat: PeerHeartbeat, pressures: Vec<PoolPressure>) {
        let from = heartbeat.sender.profile.id.clone();
        if !pressures.is_empty() {
            self.handle.publish(MemberChange::Pressure(from, pressures));
        }
        self.take_event(PeerEvent::Heartbeat(heartbeat));
        if !self.is_list_known {
            // Without a list, the peers that are heard of may still have the tree.
            let known = self.table.peers().map(|peer| peer.profile.id.clone()).collect();
            self.tell_sources(known);
        }
    }

    /// Tells the tree's task which instances it may ask.
    fn tell_sources(&mut self, mut sources: Vec<InstanceId>) {
        let own = &self.table.own_profile().id;
        sources.retain(|id| id != own);
        sources.sort();
        if sources != self.told_sources || sources.is_empty() {
            self.tree.listed(sources.clone());
            self.told_sources = sources;
        }
    }

    fn take_event(&mut self, event: PeerEvent) {
        let actions = self.table.handle(event, clock::now());
        let mut is_view_changed = false;
        for action in actions {
            is_view_changed |= matches!(action, PeerAction::Changed(..));
            self.act(action);
        }
        if is_view_changed {
            self.publish_view();
        }
    }

    fn act(&self, action: PeerAction) {
        match action {
            PeerAction::Send(to, heartbeat) => {
                monoio::spawn(self.exchange(to, heartbeat));
            }
            PeerAction::AskAbout { about, through } => {
                monoio::spawn(ask_about(self.peers.clone(), self.handle.clone(), about, through));
            }
            PeerAction::Changed(id, state) => {
                info!("{id} is {}", state.name());
                if state == PeerState::Dead {
                    self.handle.publish(MemberChange::Lost(id));
                }
            }
            PeerAction::Restarted(profile) => {
                info!("{} began a new life", profile.id);
                self.handle.publish(MemberChange::Reborn(profile.id));
            }
            PeerAction::VersionAdvanced(peer, version) => self.tree.peer_version(peer, version),
        }
    }

    /// Sends a heartbeat and reports the answer.
    fn exchange(
        &self,
        to: InstanceId,
        heartbeat: PeerHeartbeat,
    ) -> impl Future<Output = ()> + use<> {
        let (peers, handle, tree) = (self.peers.clone(), self.handle.clone(), self.tree.clone());
        let request = PeerRequest::Heartbeat { heartbeat, pressures: handle.pressures() };
        async move {
            let deadline = clock::now() + ANSWER_TIME;
            let sent = clock::boot_time();
            let reply = peers.call(&to, request, deadline).await;
            if let Ok(PeerReply::Heartbeat { heartbeat, pressures }) = reply
                && heartbeat.sender.profile.id == to
            {
                if let Some(age) = heartbeat.config_age {
                    // The peer knew its age after the question was sent.
                    let at = sent.saturating_sub(age);
                    tree.prove(VersionProof { version: heartbeat.config_version, at });
                }
                handle.tell(MemberMessage::Answered { heartbeat, pressures });
            }
        }
    }

    fn leave(&mut self, told: oneshot::Sender<()>) {
        let actions = self.table.handle(PeerEvent::Leave, clock::now());
        let sends: Vec<_> = actions
            .into_iter()
            .filter_map(|action| match action {
                PeerAction::Send(to, heartbeat) => Some(self.exchange(to, heartbeat)),
                _ => None,
            })
            .collect();
        self.publish_view();
        monoio::spawn(async move {
            join_all(sends).await;
            let _ = told.send(());
        });
    }

    fn publish_view(&self) {
        let own = self.table.own_profile();
        let live = self.table.live_in_region(&own.region);
        let zones: BTreeMap<_, _> = self
            .table
            .peers()
            .map(|peer| &peer.profile)
            .chain([own])
            .map(|profile| (&profile.id, &profile.zone))
            .collect();
        let places = live.iter().filter_map(|id| {
            let zone = (*zones.get(id)?).clone();
            Some(OwnerLocation { owner: id.clone(), zone })
        });
        let view = MemberView {
            places: places.collect(),
            owners: OwnerTable::new(live.iter().cloned()),
            leaving_endpoints: self.leaving_endpoints.clone(),
        };
        self.handle.publish(MemberChange::View(Rc::new(view)));
    }

    fn show_status(&self) {
        for state in COUNTED_STATES {
            let count = self.table.peers().filter(|peer| peer.state == state).count();
            self.metrics.instances_known(state.name(), count);
        }
        let peers = self.table.peers().map(|peer| {
            json!({
                "instance": peer.profile.id,
                "incarnation": peer.profile.incarnation,
                "availability_zone": peer.profile.zone,
                "region": peer.profile.region,
                "state": peer.state.name(),
                "config_version": peer.config_version,
            })
        });
        self.handle.set_status(Value::Array(peers.collect()));
    }
}

async fn ask_about(
    peers: PeerHandle,
    handle: MembersHandle,
    about: InstanceId,
    through: InstanceId,
) {
    let deadline = Instant::now() + ANSWER_TIME;
    let reply = peers.call(&through, PeerRequest::AskAbout(about.clone()), deadline).await;
    if let Ok(PeerReply::Heard(heard)) = reply {
        handle.tell(MemberMessage::Vouched { about, by: through, heard });
    }
}
