//! Starts the tasks of an instance and connects them by their handles.

use std::cell::RefCell;
use std::rc::Rc;

use coltsfootgate_core::membership::PeerProfile;
use coltsfootgate_core::roster::RosterEvent;
use futures_channel::mpsc::{UnboundedReceiver, unbounded};
use monoio::net::TcpListener;
use serde_json::json;

use crate::claims::{ClaimsHandle, ClaimsTask, follow_owners};
use crate::clock;
use crate::dialect::Dialect;
use crate::duties::{DutyContext, DutyPlan, DutyPlatform, DutyStatus, DutyTask, UsageBoard};
use crate::endpoint::{ConnectionPool, EndpointAccess, EndpointPaths, ForwarderClient};
use crate::endpoints::{EndpointDirectory, EndpointsTask, SharedRoster, SnapshotPoller};
use crate::feed::FeedHandle;
use crate::limits::{LimitHandle, LimitTask};
use crate::members::{MembersHandle, MembersTask};
use crate::metrics::DaemonMetrics;
use crate::operators::{ReadinessGate, RequestRecords, StatusRegistry};
use crate::options::DaemonSettings;
use crate::owner::{GrantCheck, HolderSurvey, OwnerHandle, OwnerReporter, OwnerService, OwnerTask};
use crate::peer::{
    EndpointRules, ForwardLoad, PeerDispatch, PeerHandle, PeerIdentity, PeerListener,
    RequestForwarder,
};
use crate::pipeline::budget::BudgetTable;
use crate::pipeline::context::{GrantCounter, PipelineContext};
use crate::platform::{
    InstanceDirectory, InstanceRole, InstanceState, ListedInstance, PlatformStore,
};
use crate::quarantine::{QuarantineHandle, QuarantineTask};
use crate::routes::{MemberWatcher, OwnerClient, PoolStatus, RouteTable};
use crate::shutdown::ShutdownSignal;
use crate::streams::{
    OriginsHandle, OriginsTask, PageReader, PageWriter, PagesHandle, StreamRegister,
    follow_instances,
};
use crate::transfer::{MemoryAccount, MemoryUse};
use crate::tree::{TreeHandle, TreeTask};

/// The handles of a running instance that the daemon uses.
pub struct InstanceHandles {
    /// The handles that the request pipeline uses.
    pub context: Rc<PipelineContext>,
    /// The live instances.
    pub members: MembersHandle,
    /// Whether the instance is ready for callers.
    pub readiness: ReadinessGate,
    /// The requests that are forwarded for other instances.
    pub forwards: ForwardLoad,
    /// The status page.
    pub status: StatusRegistry,
}

/// Starts the tasks of an instance with what several of them share.
struct TaskStarter<'a, P> {
    settings: &'a DaemonSettings,
    platform: P,
    peers: PeerHandle,
    metrics: DaemonMetrics,
    readiness: ReadinessGate,
    feed: FeedHandle,
    shutdown: ShutdownSignal,
    memory: MemoryAccount,
}

/// Starts all tasks of an instance except those that serve callers and operators.
pub fn start_instance<D: Dialect>(
    settings: &DaemonSettings,
    platform: D::Platform,
    identity: PeerIdentity,
    peer_listener: TcpListener,
    shutdown: ShutdownSignal,
) -> InstanceHandles {
    let metrics = DaemonMetrics::new();
    let memory = MemoryAccount::new(settings.memory_mb);
    let peers = PeerHandle::new(identity.clone(), metrics.clone(), &memory);
    let starter = TaskStarter {
        settings,
        platform,
        feed: FeedHandle::new(peers.clone()),
        peers,
        metrics,
        readiness: ReadinessGate::default(),
        shutdown,
        memory,
    };
    let tree = starter.start_tree();
    let members = starter.start_members(&tree);
    let claims = starter.start_claims(&tree, &members);
    let limits = starter.start_limits(&tree);
    let (roster, roster_events) = SharedRoster::new();
    let duties = D::duties(settings);
    let board = duties.as_ref().map_or_else(UsageBoard::without_duties, |_| UsageBoard::new());
    let (owner, mut context) =
        starter.start_routing(tree, &members, roster.clone(), roster_events, claims, limits);
    context.usage = board;
    let pools = starter.follow_members(&members, &owner, &context);
    let quarantine = context.quarantine.clone();
    let status = build_status(settings, &members, pools, quarantine);
    let feed = starter.feed.clone();
    status.add("feed", move || feed.status());
    if let Some((plan, client)) = duties {
        let duty_status = starter.start_duties(plan, client, &members, &context);
        status.add("duties", move || duty_status.to_json());
    }
    let forwards = ForwardLoad::default();
    let forwarder = RequestForwarder {
        endpoints: context.endpoints.direct().clone(),
        path: context.endpoints.path().clone(),
        routes: context.routes.clone(),
        roster,
        rules: EndpointRules::of::<D::Endpoints>(),
        metrics: starter.metrics.clone(),
        memory: starter.memory.part(MemoryUse::Forwards).clone(),
        load: forwards.clone(),
        shutdown: starter.shutdown.clone(),
    };
    starter.start_peer_server(identity, peer_listener, &members, forwarder, owner, &context);
    let readiness = starter.readiness;
    InstanceHandles { context: Rc::new(context), members, readiness, forwards, status }
}

impl<P> TaskStarter<'_, P>
where
    P: PlatformStore + InstanceDirectory + EndpointDirectory + Clone + 'static,
{
    fn start_tree(&self) -> TreeHandle {
        let (tree, events) = TreeHandle::new();
        let task = TreeTask::new(
            self.platform.clone(),
            self.peers.clone(),
            tree.clone(),
            events,
            self.metrics.clone(),
            self.readiness.clone(),
            self.settings.watch_time,
        );
        monoio::spawn(task.with_feed(self.feed.clone()).run());
        tree
    }

    fn start_members(&self, tree: &TreeHandle) -> MembersHandle {
        let own = PeerProfile {
            id: self.settings.instance.clone(),
            incarnation: clock::new_incarnation(),
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            processor_milli: self.settings.processor_milli,
        };
        let (task, members) =
            MembersTask::new(own, self.peers.clone(), tree.clone(), self.metrics.clone());
        let registration = ListedInstance {
            role: InstanceRole::Router,
            address: self.settings.instance.clone(),
            operators_address: Some(self.settings.operators_address.clone()),
            availability_zone: self.settings.zone.clone(),
            state: InstanceState::Live,
        };
        let seeds = self.settings.seeds.clone();
        monoio::spawn(task.run(self.platform.clone(), registration, seeds));
        let (own, zone) = (self.settings.instance.clone(), self.settings.zone.clone());
        monoio::spawn(self.feed.clone().follow_members(own, zone, members.clone()));
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
        roster: SharedRoster,
        roster_events: UnboundedReceiver<RosterEvent>,
        claims: ClaimsHandle,
        limits: LimitHandle,
    ) -> (OwnerHandle, PipelineContext) {
        let own = self.settings.instance.clone();
        let (owner, messages) = OwnerHandle::new();
        let reporter = OwnerReporter::new(self.metrics.clone());
        let origins = self.start_origins(members);
        let streams = self.start_streams(&tree, origins.clone());
        let routes = RouteTable::new(self.settings.zone.clone());
        let (task_owner, readiness) = (owner.clone(), self.readiness.clone());
        let task = EndpointsTask::new(
            tree.clone(),
            task_owner,
            routes.clone(),
            readiness,
            origins.clone(),
            roster.clone(),
            roster_events,
        );
        let poller = SnapshotPoller::new(own.clone(), members.clone(), self.peers.clone(), origins);
        let (feed, metrics) = (self.feed.clone(), self.metrics.clone());
        monoio::spawn(task.run(self.platform.clone(), poller, feed, metrics));
        let owner_client = OwnerClient::new(own.clone(), owner.clone(), self.peers.clone());
        let endpoints = self.start_access(members, &routes);
        let survey = self.holder_survey(&owner, &routes, &owner_client);
        let owner_task =
            OwnerTask::new(own.clone(), owner.clone(), endpoints.clone(), reporter, survey);
        monoio::spawn(owner_task.run(messages));
        let context = PipelineContext {
            own,
            zone: self.settings.zone.clone(),
            tree,
            routes,
            owner_client,
            limits,
            claims,
            streams,
            roster,
            quarantine: self.start_quarantine(members, endpoints.clone()),
            memory: self.memory.clone(),
            endpoints,
            usage: UsageBoard::without_duties(),
            records: RequestRecords::default(),
            metrics: self.metrics.clone(),
            budgets: BudgetTable::default(),
            config_age_max: self.settings.config_age_max,
            grants: GrantCounter::default(),
            answer_times: RefCell::default(),
            shutdown: self.shutdown.clone(),
        };
        (owner, context)
    }

    fn holder_survey(
        &self,
        owner: &OwnerHandle,
        routes: &RouteTable,
        client: &OwnerClient,
    ) -> HolderSurvey {
        let (own, peers) = (self.settings.instance.clone(), self.peers.clone());
        HolderSurvey::new(own, owner.clone(), peers, routes.clone(), client.clone())
    }

    fn start_access(&self, members: &MembersHandle, routes: &RouteTable) -> EndpointAccess {
        let path = EndpointPaths::new(routes.clone(), self.metrics.clone());
        monoio::spawn(path.clone().watch());
        let forwarders = ForwarderClient::new(
            self.settings.instance.clone(),
            self.settings.zone.clone(),
            members.clone(),
            self.peers.clone(),
            self.metrics.clone(),
        );
        EndpointAccess::new(ConnectionPool::new(path.clone(), routes.clone()), path, forwarders)
    }

    fn start_origins(&self, members: &MembersHandle) -> OriginsHandle {
        if !P::ANNOUNCES {
            return OriginsHandle::without_list();
        }
        let own = self.settings.instance.clone();
        let (task, origins) = OriginsTask::new(own, self.platform.clone(), members.clone());
        monoio::spawn(task.run());
        origins
    }

    fn start_streams(&self, tree: &TreeHandle, origins: OriginsHandle) -> StreamRegister {
        let (own, peers) = (self.settings.instance.clone(), self.peers.clone());
        if !P::ANNOUNCES {
            return StreamRegister::new(own, peers, origins, PagesHandle::without_pages());
        }
        let (store, metrics) = (self.platform.clone(), self.metrics.clone());
        let (reader, pages) = PageReader::new(store.clone(), metrics.clone());
        monoio::spawn(reader.run());
        let streams = StreamRegister::new(own, peers, origins, pages);
        monoio::spawn(PageWriter::new(store, streams.clone(), tree.clone(), metrics).run());
        streams
    }

    fn start_quarantine(
        &self,
        members: &MembersHandle,
        access: EndpointAccess,
    ) -> QuarantineHandle {
        let (quarantine, messages) = QuarantineHandle::new();
        let task = QuarantineTask::new(
            self.settings.instance.clone(),
            quarantine.clone(),
            members.clone(),
            self.peers.clone(),
            access,
            self.metrics.clone(),
        );
        monoio::spawn(task.run(messages));
        quarantine
    }

    fn start_duties<C: DutyPlatform>(
        &self,
        plan: DutyPlan,
        client: C,
        members: &MembersHandle,
        context: &PipelineContext,
    ) -> DutyStatus {
        let status = DutyStatus::default();
        let context = DutyContext {
            own: self.settings.instance.clone(),
            members: members.clone(),
            peers: self.peers.clone(),
            tree: context.tree.clone(),
            roster: context.roster.clone(),
            board: context.usage.clone(),
            status: status.clone(),
            metrics: self.metrics.duties(),
            shutdown: self.shutdown.clone(),
        };
        monoio::spawn(DutyTask::new(plan, client, context).run());
        status
    }

    fn follow_members(
        &self,
        members: &MembersHandle,
        owner: &OwnerHandle,
        context: &PipelineContext,
    ) -> PoolStatus {
        let pools = PoolStatus::default();
        let watcher = MemberWatcher::new(
            self.settings.instance.clone(),
            members.clone(),
            owner.clone(),
            context.routes.clone(),
            context.owner_client.clone(),
            context.limits.clone(),
            pools.clone(),
        );
        monoio::spawn(watcher.run());
        let check = GrantCheck::new(
            self.settings.instance.clone(),
            owner.clone(),
            context.routes.clone(),
            self.peers.clone(),
        );
        monoio::spawn(check.run());
        monoio::spawn(follow_instances(members.clone(), context.streams.clone()));
        pools
    }

    fn start_peer_server(
        &self,
        identity: PeerIdentity,
        peer_listener: TcpListener,
        members: &MembersHandle,
        forwarder: RequestForwarder,
        owner: OwnerHandle,
        context: &PipelineContext,
    ) {
        let (call_sender, calls) = unbounded();
        let (owner_call_sender, owner_calls) = unbounded();
        let dispatch = PeerDispatch {
            members: members.clone(),
            tree: context.tree.clone(),
            replicas: context.roster.clone(),
            claims: context.claims.clone(),
            streams: context.streams.clone(),
            quarantine: context.quarantine.clone(),
            usage: context.usage.clone(),
            feed: self.feed.clone(),
            path: context.endpoints.path().clone(),
            metrics: self.metrics.clone(),
            owner_calls: owner_call_sender,
        };
        monoio::spawn(dispatch.run(calls));
        let (limits, routes) = (context.limits.clone(), context.routes.clone());
        let survey = self.holder_survey(&owner, &routes, &context.owner_client);
        let service = OwnerService::new(owner, limits, routes, survey);
        monoio::spawn(service.run(owner_calls));
        let connections = self.settings.peer_connections;
        let metrics = self.metrics.clone();
        let listener = PeerListener::new(
            peer_listener,
            identity,
            metrics,
            call_sender,
            forwarder,
            connections,
        );
        monoio::spawn(listener.serve());
    }
}

fn build_status(
    settings: &DaemonSettings,
    members: &MembersHandle,
    pools: PoolStatus,
    quarantine: QuarantineHandle,
) -> StatusRegistry {
    let status = StatusRegistry::default();
    let (instance, zone) = (settings.instance.clone(), settings.zone.clone());
    status.add("instance", move || json!(instance));
    status.add("availability_zone", move || json!(zone));
    let members = members.clone();
    status.add("peers", move || members.status());
    let endpoints = pools.clone();
    status.add("endpoints", move || endpoints.endpoints());
    status.add("queues", move || pools.queues());
    status.add("blocked_causes", move || quarantine.status());
    status
}
