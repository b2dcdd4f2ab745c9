//! The tasks of one instance and the handles that join them.

use std::rc::Rc;

use coltsfootgate_core::membership::PeerProfile;
use futures_channel::mpsc::unbounded;
use monoio::net::TcpListener;
use serde_json::json;

use crate::claims::{ClaimsHandle, ClaimsTask, follow_owners};
use crate::clock;
use crate::dialect::Dialect;
use crate::endpoint::ConnectionPool;
use crate::endpoints::{EndpointDirectory, EndpointsTask, ReplicaBoard, ReplicaPeers};
use crate::limits::{LimitHandle, LimitTask};
use crate::members::{MembersHandle, MembersTask};
use crate::metrics::DaemonMetrics;
use crate::operators::{ReadinessGate, RequestRecords, StatusBoard};
use crate::options::DaemonSettings;
use crate::owner::{OwnerDesk, OwnerHandle, OwnerTask};
use crate::peer::{PeerDispatch, PeerHandle, PeerIdentity, PeerListener};
use crate::pipeline::budget::BudgetTable;
use crate::pipeline::context::{GrantCounter, PipelineContext};
use crate::platform::{
    InstanceDirectory, InstanceRole, InstanceState, ListedInstance, PlatformStore,
};
use crate::routes::{MemberFollower, OwnerLink, PoolStatus, RouteBoard};
use crate::tree::{TreeHandle, TreeTask};

/// What the daemon keeps of a running instance.
pub struct InstanceParts {
    /// The handles that requests need.
    pub context: Rc<PipelineContext>,
    /// The live instances.
    pub members: MembersHandle,
    /// Whether the instance is ready for callers.
    pub readiness: ReadinessGate,
    /// The status of all parts.
    pub board: StatusBoard,
}

/// What several tasks are started with.
struct TaskGround<'a, P> {
    settings: &'a DaemonSettings,
    platform: P,
    peers: PeerHandle,
    metrics: DaemonMetrics,
    readiness: ReadinessGate,
}

/// Starts all tasks of an instance but those that serve callers and operators.
pub fn start_instance<D: Dialect>(
    settings: &DaemonSettings,
    platform: D::Platform,
    identity: PeerIdentity,
    peer_listener: TcpListener,
) -> InstanceParts {
    let metrics = DaemonMetrics::new();
    let ground = TaskGround {
        settings,
        platform,
        peers: PeerHandle::new(identity.clone(), metrics.clone()),
        metrics,
        readiness: ReadinessGate::default(),
    };
    let tree = ground.start_tree();
    let members = ground.start_members(&tree);
    let claims = ground.start_claims(&tree, &members);
    let limits = ground.start_limits(&tree);
    let replicas = ReplicaBoard::default();
    let (owner, context) = ground.start_routing(tree, &members, replicas.clone(), claims, limits);
    let pools = ground.follow_members(&members, &owner, &context);
    let board = status_board(settings, &members, pools);
    ground.start_peer_side(identity, peer_listener, &members, replicas, owner, &context);
    InstanceParts { context: Rc::new(context), members, readiness: ground.readiness, board }
}

impl<P> TaskGround<'_, P>
where
    P: PlatformStore + InstanceDirectory + EndpointDirectory + Clone + 'static,
{
    fn start_tree(&self) -> TreeHandle {
        let (tree, news) = TreeHandle::new();
        let task = TreeTask::new(
            self.platform.clone(),
            self.peers.clone(),
            tree.clone(),
            news,
            self.metrics.clone(),
            self.readiness.clone(),
            self.settings.watch_time,
        );
        monoio::spawn(task.run());
        tree
    }

    fn start_members(&self, tree: &TreeHandle) -> MembersHandle {
        let own = PeerProfile {
            id: self.settings.instance.clone(),
            incarnation: clock::new_incarnation(),
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
        };
        let (task, members) =
            MembersTask::new(own, self.peers.clone(), tree.clone(), self.metrics.clone());
        let listed = ListedInstance {
            role: InstanceRole::Router,
            address: self.settings.instance.clone(),
            operators_address: Some(self.settings.operators_address.clone()),
            availability_zone: self.settings.zone.clone(),
            state: InstanceState::Live,
        };
        let seeds = self.settings.seeds.clone();
        monoio::spawn(task.run(self.platform.clone(), listed, seeds));
        members
    }

    fn start_claims(&self, tree: &TreeHandle, members: &MembersHandle) -> ClaimsHandle {
        let own = self.settings.instance.clone();
        let (task, claims) =
            ClaimsTask::new(own, self.platform.clone(), self.peers.clone(), tree.clone());
        monoio::spawn(task.run());
        monoio::spawn(follow_owners(members.clone(), claims.clone()));
        claims
    }

    fn start_limits(&self, tree: &TreeHandle) -> LimitHandle {
        let (limits, messages) = LimitHandle::new();
        let own = self.settings.instance.clone();
        let task = LimitTask::new(own, limits.clone(), tree.clone(), self.peers.clone());
        monoio::spawn(task.run(messages));
        limits
    }

    fn start_routing(
        &self,
        tree: TreeHandle,
        members: &MembersHandle,
        replicas: ReplicaBoard,
        claims: ClaimsHandle,
        limits: LimitHandle,
    ) -> (OwnerHandle, PipelineContext) {
        let own = self.settings.instance.clone();
        let (owner, messages) = OwnerHandle::new();
        monoio::spawn(OwnerTask::new(own.clone(), owner.clone()).run(messages));
        let routes = RouteBoard::new(self.settings.zone.clone());
        let (endpoints, readiness) = (owner.clone(), self.readiness.clone());
        let task = EndpointsTask::new(tree.clone(), endpoints, routes.clone(), readiness, replicas);
        let peers = ReplicaPeers::new(own.clone(), members.clone(), self.peers.clone());
        monoio::spawn(task.run(self.platform.clone(), peers, self.metrics.clone()));
        let link = OwnerLink::new(own.clone(), owner.clone(), self.peers.clone());
        let context = PipelineContext {
            own,
            zone: self.settings.zone.clone(),
            tree,
            routes,
            link,
            limits,
            claims,
            endpoints: ConnectionPool::new(),
            records: RequestRecords::default(),
            metrics: self.metrics.clone(),
            budgets: BudgetTable::default(),
            config_age_max: self.settings.config_age_max,
            grants: GrantCounter::default(),
        };
        (owner, context)
    }

    fn follow_members(
        &self,
        members: &MembersHandle,
        owner: &OwnerHandle,
        context: &PipelineContext,
    ) -> PoolStatus {
        let pools = PoolStatus::default();
        let follower = MemberFollower::new(
            self.settings.instance.clone(),
            members.clone(),
            owner.clone(),
            context.routes.clone(),
            context.link.clone(),
            context.limits.clone(),
            pools.clone(),
        );
        monoio::spawn(follower.run());
        pools
    }

    fn start_peer_side(
        &self,
        identity: PeerIdentity,
        peer_listener: TcpListener,
        members: &MembersHandle,
        replicas: ReplicaBoard,
        owner: OwnerHandle,
        context: &PipelineContext,
    ) {
        let (calls, received) = unbounded();
        let (others, other_calls) = unbounded();
        let dispatch = PeerDispatch::new(
            members.clone(),
            context.tree.clone(),
            replicas,
            context.claims.clone(),
            self.metrics.clone(),
            others,
        );
        monoio::spawn(dispatch.run(received));
        monoio::spawn(OwnerDesk::new(owner, context.limits.clone()).run(other_calls));
        let connections = self.settings.peer_connections;
        let metrics = self.metrics.clone();
        let listener = PeerListener::new(peer_listener, identity, metrics, calls, connections);
        monoio::spawn(listener.serve());
    }
}

fn status_board(
    settings: &DaemonSettings,
    members: &MembersHandle,
    pools: PoolStatus,
) -> StatusBoard {
    let board = StatusBoard::default();
    let (instance, zone) = (settings.instance.clone(), settings.zone.clone());
    board.add("instance", move || json!(instance));
    board.add("availability_zone", move || json!(zone));
    let members = members.clone();
    board.add("peers", move || members.status());
    let endpoints = pools.clone();
    board.add("endpoints", move || endpoints.endpoints());
    board.add("queues", move || pools.queues());
    board
}
