//! The task that drives a [`PeerTable`] and publishes which instances are live.

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

use coltsfootgate_core::freshness::SettingsStatement;
use coltsfootgate_core::ids::InstanceId;
use coltsfootgate_core::membership::{
    HEARTBEAT_PERIOD, PeerAction, PeerEvent, PeerHeartbeat, PeerProfile, PeerState, PeerTable,
};
use coltsfootgate_core::rendezvous::OwnerTable;
use coltsfootgate_core::routing::OwnerLocation;
use coltsfootgate_wire::{PeerReply, PeerRequest, PoolPressure};

use super::list::{keep_registered, poll_list};
use super::{MemberChange, MemberMessage, MemberView, MembersHandle};
use crate::clock;
use crate::metrics::DaemonMetrics;
use crate::peer::PeerHandle;
use crate::platform::{InstanceDirectory, ListedInstance};
use crate::tree::TreeHandle;

/// Timeout of a heartbeat or of a question about another instance.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The states by which the metrics count other instances.
const COUNTED_STATES: [PeerState; 5] =
    [PeerState::Listed, PeerState::Alive, PeerState::Suspect, PeerState::Dead, PeerState::Leaving];

/// Exchanges heartbeats with peers and publishes the live instances.
pub struct MembersTask {
    table: PeerTable,
    handle: MembersHandle,
    messages: UnboundedReceiver<MemberMessage>,
    peers: PeerHandle,
    tree: TreeHandle,
    metrics: DaemonMetrics,
    leaving_endpoints: BTreeSet<Arc<str>>,
    /// Whether the platform's instance list was read at least once.
    is_list_read: bool,
    /// The peers last sent to the tree task as sources of the settings tree.
    sources: Vec<InstanceId>,
}

impl MembersTask {
    /// Creates the task of an instance and its handle.
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
            is_list_read: false,
            sources: Vec::new(),
        };
        task.publish_view();
        (task, handle)
    }

    /// Runs until the process ends. `seeds` are peers to contact before the list is read.
    pub async fn run<D>(mut self, directory: D, own: ListedInstance, seeds: Vec<InstanceId>)
    where
        D: InstanceDirectory + Clone + 'static,
    {
        if !seeds.is_empty() {
            let zone = self.table.own_profile().zone.clone();
            let seeds = seeds.into_iter().map(|seed| (seed, zone.clone()));
            self.apply_event(PeerEvent::Listed(seeds.collect()));
        }
        monoio::spawn(keep_registered(directory.clone(), own));
        monoio::spawn(poll_list(directory, self.handle.clone(), self.metrics.clone()));
        let mut next_tick = clock::now();
        loop {
            let now = clock::now();
            if now >= next_tick {
                // Missed ticks are skipped, so that the peer table sees a pause of this process as a
                // gap between ticks.
                next_tick = now + HEARTBEAT_PERIOD;
                self.apply_event(PeerEvent::Tick);
                self.update_status();
            }
            let wait = next_tick.saturating_duration_since(clock::now());
            match monoio::time::timeout(wait, self.messages.next()).await {
                Ok(Some(message)) => self.handle_message(message),
                Ok(None) => return,
                Err(_) => (),
            }
        }
    }

    fn handle_message(&mut self, message: MemberMessage) {
        match message {
            MemberMessage::Heartbeat { heartbeat, pressures, reply } => {
                let from = heartbeat.sender.profile.id.clone();
                self.handle_heartbeat(heartbeat, pressures);
                let (mut heartbeat, pressures) =
                    (self.table.heartbeat_for(&from), self.handle.pressures());
                heartbeat.settings = self.tree.statement();
                let _ = reply.send(PeerReply::Heartbeat { heartbeat, pressures });
            }
            MemberMessage::HeartbeatReply { heartbeat, pressures } => {
                self.handle_heartbeat(heartbeat, pressures);
            }
            MemberMessage::AskAbout { about, reply } => {
                let heard = self.table.hears_from(&about, clock::now());
                let _ = reply.send(PeerReply::Heard(heard));
            }
            MemberMessage::ReachabilityReport { about, by, heard } => {
                self.apply_event(PeerEvent::ReachabilityReport { about, by, heard });
            }
            MemberMessage::Listed(listed) => {
                self.is_list_read = true;
                let others = listed.routers.iter().map(|(id, _)| id.clone());
                self.update_sources(others.collect());
                self.apply_event(PeerEvent::Listed(listed.routers));
                let is_complete = !self.table.has_unheard();
                let (view, unheard) = (self.handle.view(), Some(self.table.unheard_count()));
                let is_changed = listed.leaving_endpoints != self.leaving_endpoints
                    || is_complete != view.is_complete
                    || unheard != view.unheard;
                if is_changed {
                    self.leaving_endpoints = listed.leaving_endpoints;
                    self.publish_view();
                }
            }
            MemberMessage::Leave(announced) => self.leave(announced),
        }
    }

    fn handle_heartbeat(&mut self, heartbeat: PeerHeartbeat, pressures: Vec<PoolPressure>) {
        let from = heartbeat.sender.profile.id.clone();
        if !pressures.is_empty() {
            self.handle.publish(MemberChange::Pressure(from, pressures));
        }
        self.apply_event(PeerEvent::Heartbeat(heartbeat));
        if !self.is_list_read {
            // While the list is unavailable, the peers known by gossip serve as sources of the tree.
            let known = self.table.peers().map(|peer| peer.profile.id.clone()).collect();
            self.update_sources(known);
        }
    }

    /// Sends the tree task the peers from which it may fetch the tree, if they changed or there are
    /// none.
    fn update_sources(&mut self, mut sources: Vec<InstanceId>) {
        let own = &self.table.own_profile().id;
        sources.retain(|id| id != own);
        sources.sort();
        if sources != self.sources || sources.is_empty() {
            self.tree.update_peers(sources.clone());
            self.sources = sources;
        }
    }

    fn apply_event(&mut self, event: PeerEvent) {
        let actions = self.table.handle(event, clock::now());
        let mut is_view_changed = false;
        for action in actions {
            is_view_changed |= matches!(action, PeerAction::Changed(..));
            self.perform(action);
        }
        if is_view_changed {
            self.publish_view();
        }
    }

    fn perform(&self, action: PeerAction) {
        match action {
            PeerAction::Send(to, heartbeat) => {
                monoio::spawn(self.exchange_heartbeats(to, heartbeat));
            }
            PeerAction::AskAbout { about, through } => {
                monoio::spawn(ask_about_suspect(
                    self.peers.clone(),
                    self.handle.clone(),
                    about,
                    through,
                ));
            }
            PeerAction::Changed(id, state) => {
                info!("instance {id} is {}", state.name());
                if state == PeerState::Dead {
                    self.handle.publish(MemberChange::Lost(id));
                }
            }
            PeerAction::Restarted(profile) => {
                info!("instance {} restarted", profile.id);
                self.handle.publish(MemberChange::Restarted(profile.id));
            }
            PeerAction::VersionAdvanced(peer, version) => {
                self.tree.report_peer_version(peer, version)
            }
        }
    }

    /// Sends a heartbeat and passes the reply to this task.
    fn exchange_heartbeats(
        &self,
        to: InstanceId,
        mut heartbeat: PeerHeartbeat,
    ) -> impl Future<Output = ()> + use<> {
        let (peers, handle, tree) = (self.peers.clone(), self.handle.clone(), self.tree.clone());
        // Only an answer states an age: its receiver knows since when it waits for it.
        heartbeat.settings = SettingsStatement { age: None, ..tree.statement() };
        let request = PeerRequest::Heartbeat { heartbeat, pressures: handle.pressures() };
        async move {
            let deadline = clock::now() + CALL_TIMEOUT;
            let sent = clock::boot_time();
            let reply = peers.call(&to, request, deadline).await;
            if let Ok(PeerReply::Heartbeat { heartbeat, pressures }) = reply
                && heartbeat.sender.profile.id == to
            {
                if let Some(proof) = heartbeat.settings.proof(sent) {
                    tree.record_proof(proof);
                }
                handle.send(MemberMessage::HeartbeatReply { heartbeat, pressures });
            }
        }
    }

    fn leave(&mut self, announced: oneshot::Sender<()>) {
        let actions = self.table.handle(PeerEvent::Leave, clock::now());
        let sends: Vec<_> = actions
            .into_iter()
            .filter_map(|action| match action {
                PeerAction::Send(to, heartbeat) => Some(self.exchange_heartbeats(to, heartbeat)),
                _ => None,
            })
            .collect();
        self.publish_view();
        monoio::spawn(async move {
            join_all(sends).await;
            let _ = announced.send(());
        });
    }

    fn publish_view(&self) {
        let own = self.table.own_profile();
        let owners = self.table.owners();
        let profiles: BTreeMap<_, _> = self
            .table
            .peers()
            .map(|peer| &peer.profile)
            .chain([own])
            .map(|profile| (&profile.id, profile))
            .collect();
        let locations = owners.iter().filter_map(|id| {
            let PeerProfile { zone, processor_milli, .. } = *profiles.get(id)?;
            let (zone, processor_milli) = (zone.clone(), *processor_milli);
            Some(OwnerLocation { owner: id.clone(), zone, processor_milli })
        });
        let view = MemberView {
            locations: locations.collect(),
            owners: OwnerTable::new(owners.iter().cloned()),
            live: OwnerTable::new(self.table.live_in_region(&own.region)),
            leaving: OwnerTable::new(self.table.leaving_in_region(&own.region)),
            is_complete: self.is_list_read && !self.table.has_unheard(),
            unheard: self.is_list_read.then(|| self.table.unheard_count()),
            leaving_endpoints: self.leaving_endpoints.clone(),
        };
        self.handle.publish(MemberChange::View(Rc::new(view)));
    }

    fn update_status(&self) {
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

async fn ask_about_suspect(
    peers: PeerHandle,
    handle: MembersHandle,
    about: InstanceId,
    through: InstanceId,
) {
    let deadline = Instant::now() + CALL_TIMEOUT;
    let reply = peers.call(&through, PeerRequest::AskAbout(about.clone()), deadline).await;
    if let Ok(PeerReply::Heard(heard)) = reply {
        handle.send(MemberMessage::ReachabilityReport { about, by: through, heard });
    }
}
