//! The task that tracks the endpoints of all pools and passes them to the owner and the routes.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender};
use futures_util::StreamExt;
use futures_util::stream::{Stream, select};
use log::{info, warn};
use monoio::time::{sleep, timeout};

use coltsfootgate_core::prelude::{EndpointId, EndpointSettings, PoolId, SoftwareVersion};
use coltsfootgate_core::roster::RosterEvent;
use coltsfootgate_core::stream::StreamOrigin;

use super::{ActivePools, EndpointDirectory, SharedRoster, SnapshotPoller};
use crate::clock;
use crate::feed::FeedHandle;
use crate::metrics::DaemonMetrics;
use crate::operators::{ReadinessGate, UnreadyCause};
use crate::owner::{OwnerHandle, OwnerMessage};
use crate::platform::PlatformError;
use crate::routes::RouteTable;
use crate::streams::OriginsHandle;
use crate::tree::{ActiveTree, TreeHandle};

/// Interval between reads of changes. Replicas renew their announcements all the time, so that a
/// call without this pause would return at once; it also bounds when a leaving endpoint is noticed.
const READ_PERIOD: Duration = Duration::from_millis(600);
/// Longest time that a call waits for a change.
const CHANGE_WAIT: Duration = Duration::from_millis(500);
/// Interval between checks for replicas that did not announce themselves again after an outage.
const TICK_PERIOD: Duration = Duration::from_millis(500);

/// Tracks the endpoints of all pools and publishes each change.
pub struct EndpointsTask {
    tree: TreeHandle,
    owner: OwnerHandle,
    routes: RouteTable,
    readiness: ReadinessGate,
    origins: OriginsHandle,
    roster: SharedRoster,
    roster_events: UnboundedReceiver<RosterEvent>,
    active: Option<ActivePlan>,
    /// The endpoints that are in use, with their versions.
    published: HashMap<EndpointId, Option<SoftwareVersion>>,
}

/// A tree in force, with the pools at which its streams that may be resumed begin.
struct ActivePlan {
    tree: Rc<ActiveTree>,
    stream_pools: BTreeSet<PoolId>,
}

impl ActivePlan {
    fn new(tree: Rc<ActiveTree>) -> Self {
        let streams = tree.tree.classes().filter(|class| class.is_stream && class.resume);
        let pools = streams.flat_map(|class| &class.pools);
        let stream_pools = pools.map(|share| share.pool.clone()).collect();
        Self { tree, stream_pools }
    }
}

/// What the task handles.
enum EndpointsStep {
    Tree(Rc<ActiveTree>),
    Roster(RosterEvent),
    /// Other origins of streams are listed than before.
    OriginsListed,
}

impl EndpointsTask {
    /// Creates the task of an instance; `roster_events` is the receiver that was created with the roster.
    pub fn new(
        tree: TreeHandle,
        owner: OwnerHandle,
        routes: RouteTable,
        readiness: ReadinessGate,
        origins: OriginsHandle,
        roster: SharedRoster,
        roster_events: UnboundedReceiver<RosterEvent>,
    ) -> Self {
        let (active, published) = (None, HashMap::new());
        Self { tree, owner, routes, readiness, origins, roster, roster_events, active, published }
    }

    /// Runs until the process ends.
    pub async fn run<D: EndpointDirectory + 'static>(
        mut self,
        directory: D,
        poller: SnapshotPoller,
        feed: FeedHandle,
        metrics: DaemonMetrics,
    ) {
        let events = self.roster.events();
        if D::ANNOUNCES {
            self.readiness.set_unready(UnreadyCause::NoEndpoints);
            monoio::spawn(poller.run(self.roster.clone(), events.clone()));
            monoio::spawn(poll_directory(directory, feed, events, metrics));
        }
        let mut steps = self.take_steps();
        loop {
            match timeout(TICK_PERIOD, steps.next()).await {
                Ok(Some(step)) => self.apply_step(step),
                Ok(None) => return,
                Err(_) => self.apply_event(RosterEvent::Tick),
            }
        }
    }

    fn take_steps(&mut self) -> impl Stream<Item = EndpointsStep> + Unpin + use<> {
        let (_, ended) = futures_channel::mpsc::unbounded();
        let roster_events = std::mem::replace(&mut self.roster_events, ended);
        let trees = self.tree.subscribe().map(EndpointsStep::Tree);
        let listed = self.origins.subscribe().map(|()| EndpointsStep::OriginsListed);
        select(select(trees, listed), roster_events.map(EndpointsStep::Roster))
    }

    fn apply_step(&mut self, step: EndpointsStep) {
        match step {
            EndpointsStep::Tree(tree) => {
                self.active = Some(ActivePlan::new(tree));
                self.update_origins();
                self.publish();
            }
            EndpointsStep::Roster(event) => self.apply_event(event),
            EndpointsStep::OriginsListed => self.publish(),
        }
    }

    fn apply_event(&mut self, event: RosterEvent) {
        let was_populated = self.roster.borrow().is_populated();
        let was_lost = self.roster.is_source_lost();
        let changes = self.roster.handle(event, clock::now());
        for (endpoint, change) in &changes {
            info!("endpoint {endpoint} {}", change.name());
        }
        if !changes.is_empty() || was_lost != self.roster.is_source_lost() {
            self.update_origins();
        }
        if !changes.is_empty() || !was_populated && self.roster.borrow().is_populated() {
            self.publish();
        }
    }

    /// Passes on at which origins streams may begin.
    fn update_origins(&self) {
        let Some(active) = &self.active else { return };
        let origins = self.roster.borrow().origins(&active.stream_pools);
        self.origins.set_serving(origins, !self.roster.is_source_lost());
    }

    fn publish(&mut self) {
        let Some(active) = &self.active else { return };
        let mut endpoints = self.roster.borrow().endpoints();
        let is_populated = self.roster.borrow().is_populated();
        let known = endpoints.values().flatten().count();
        for (pool, endpoints) in &mut endpoints {
            let has_streams = active.stream_pools.contains(pool);
            endpoints.retain(|one| !has_streams || self.may_use(pool, one));
        }
        let used = endpoints.values().flatten();
        self.published = used.map(|one| (one.id.clone(), one.version.clone())).collect();
        if is_populated && (known == 0 || !self.published.is_empty()) {
            self.readiness.clear(UnreadyCause::NoEndpoints);
        }
        let pools = Rc::new(ActivePools::new(active.tree.clone(), &endpoints));
        self.owner.send(OwnerMessage::Settings(pools.clone()));
        self.routes.set_pools(pools);
    }

    /// Whether streams may begin at an endpoint. One that is in use stays so.
    fn may_use(&self, pool: &PoolId, endpoint: &EndpointSettings) -> bool {
        let origin = StreamOrigin { pool: pool.clone(), version: endpoint.version.clone() };
        let is_used = self.published.get(&endpoint.id) == Some(&endpoint.version);
        is_used || self.origins.is_listed(&origin)
    }
}

/// Polls the directory and sends what it reads as events, until their receiver is dropped.
async fn poll_directory<D: EndpointDirectory>(
    directory: D,
    feed: FeedHandle,
    events: UnboundedSender<RosterEvent>,
    metrics: DaemonMetrics,
) {
    let mut is_reachable = true;
    loop {
        let read = read_directory(&directory, &feed, &events, &mut is_reachable).await;
        let Err(error) = read else { return };
        feed.lose_replicas();
        metrics.platform_called("endpoints", "error");
        if error != PlatformError::HistoryGone {
            if is_reachable {
                warn!("could not read the platform's list of endpoints: {error}");
            }
            is_reachable = false;
            if events.unbounded_send(RosterEvent::SourceLost).is_err() {
                return;
            }
            sleep(READ_PERIOD).await;
        }
    }
}

/// Reads the whole list and then its changes until a read fails. Returns `Ok` once the receiver of
/// the events is dropped.
async fn read_directory<D: EndpointDirectory>(
    directory: &D,
    feed: &FeedHandle,
    events: &UnboundedSender<RosterEvent>,
    is_reachable: &mut bool,
) -> Result<(), PlatformError> {
    let list = directory.endpoints().await?;
    let era = list.era;
    if !*is_reachable {
        info!("the platform's list of endpoints is reachable again");
        *is_reachable = true;
    }
    let mut revision = list.revision;
    if events.unbounded_send(RosterEvent::Listed(list.announcements)).is_err() {
        return Ok(());
    }
    loop {
        let followed = feed.follow_replicas(era, revision).await;
        let (notices, next) = match followed {
            Some(followed) => followed,
            None => {
                sleep(READ_PERIOD).await;
                let changes = directory.endpoint_changes(revision, CHANGE_WAIT).await?;
                feed.publish_replicas(directory.era(), revision, &changes.0, changes.1);
                changes
            }
        };
        if directory.era() != era {
            // Revisions were given out again, and announcements that are not stored again yet are not withdrawn.
            let _ = events.unbounded_send(RosterEvent::SourceLost);
            return Err(PlatformError::HistoryGone);
        }
        revision = next;
        for (_, notice) in notices {
            if events.unbounded_send(notice.into()).is_err() {
                return Ok(());
            }
        }
    }
}
