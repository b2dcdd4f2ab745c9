//! The task that keeps the endpoints of all pools and tells who decides about them.

use std::rc::Rc;
use std::time::Duration;

use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use log::{info, warn};
use monoio::time::{sleep, timeout};

use coltsfootgate_core::roster::RosterEvent;

use super::{ActivePools, EndpointDirectory, EndpointNotice, ReplicaBoard, ReplicaPeers};
use crate::clock;
use crate::metrics::DaemonMetrics;
use crate::operators::{ReadinessGate, UnreadyCause};
use crate::owner::{OwnerHandle, OwnerMessage};
use crate::platform::PlatformError;
use crate::routes::RouteTable;
use crate::tree::{ActiveTree, TreeHandle};

/// Period at which changes are read. Replicas announce themselves all the time, so a waiting call
/// would be answered at once; a leaving endpoint is noticed within this period.
const READ_PERIOD: Duration = Duration::from_millis(600);
/// How long a call may wait for a change.
const CHANGE_WAIT: Duration = Duration::from_millis(500);
/// Period at which replicas that did not return are looked for.
const TICK_PERIOD: Duration = Duration::from_millis(500);

/// Keeps the endpoints of all pools.
pub struct EndpointsTask {
    tree: TreeHandle,
    owner: OwnerHandle,
    routes: RouteTable,
    readiness: ReadinessGate,
    board: ReplicaBoard,
    active: Option<Rc<ActiveTree>>,
}

impl EndpointsTask {
    /// Makes the task of an instance.
    pub fn new(
        tree: TreeHandle,
        owner: OwnerHandle,
        routes: RouteTable,
        readiness: ReadinessGate,
        board: ReplicaBoard,
    ) -> Self {
        Self { tree, owner, routes, readiness, board, active: None }
    }

    /// Keeps the endpoints until the process ends.
    pub async fn run<D: EndpointDirectory + 'static>(
        mut self,
        directory: D,
        peers: ReplicaPeers,
        metrics: DaemonMetrics,
    ) {
        let (events, mut news) = unbounded();
        if D::ANNOUNCES {
            self.readiness.close(UnreadyCause::NoEndpoints);
            monoio::spawn(peers.follow(self.board.clone(), events.clone()));
            monoio::spawn(follow_directory(directory, events.clone(), metrics));
        }
        let mut trees = self.tree.subscribe();
        // Without a sender the receiver would end at once.
        let _events = events;
        loop {
            let step = next_step(&mut trees, &mut news).await;
            match step {
                Some(Either::Left(active)) => {
                    self.active = Some(active);
                    self.publish();
                }
                Some(Either::Right(event)) => self.take(event),
                None => self.take(RosterEvent::Tick),
            }
        }
    }

    fn take(&mut self, event: RosterEvent) {
        let was_known = self.board.roster().is_populated();
        let changes = self.board.handle(event, clock::now());
        for (endpoint, change) in &changes {
            info!("endpoint {endpoint} {}", change.name());
        }
        if !was_known && self.board.roster().is_populated() {
            self.readiness.open(UnreadyCause::NoEndpoints);
        }
        if !changes.is_empty() {
            self.publish();
        }
    }

    fn publish(&self) {
        let Some(active) = self.active.clone() else { return };
        let pools = Rc::new(ActivePools::new(active, &self.board.roster().endpoints()));
        self.owner.send(OwnerMessage::Settings(pools.clone()));
        self.routes.set_pools(pools);
    }
}

/// The next tree or event; `None` when a tick is due.
async fn next_step(
    trees: &mut UnboundedReceiver<Rc<ActiveTree>>,
    news: &mut UnboundedReceiver<RosterEvent>,
) -> Option<Either<Rc<ActiveTree>, RosterEvent>> {
    match timeout(TICK_PERIOD, select(trees.next(), news.next())).await {
        Ok(Either::Left((active, _))) => active.map(Either::Left),
        Ok(Either::Right((event, _))) => event.map(Either::Right),
        Err(_) => None,
    }
}

/// Reads the directory again and again and reports what it says.
async fn follow_directory<D: EndpointDirectory>(
    directory: D,
    events: UnboundedSender<RosterEvent>,
    metrics: DaemonMetrics,
) {
    let mut was_answered = true;
    loop {
        let Err(error) = read_directory(&directory, &events, &mut was_answered).await else {
            return;
        };
        metrics.platform_called("endpoints", "error");
        if error != PlatformError::HistoryGone {
            if was_answered {
                warn!("could not read the list of endpoints: {error}");
            }
            was_answered = false;
            if events.unbounded_send(RosterEvent::SourceLost).is_err() {
                return;
            }
            sleep(READ_PERIOD).await;
        }
    }
}

/// Lists all endpoints and then follows the changes; ends well once nobody listens.
async fn read_directory<D: EndpointDirectory>(
    directory: &D,
    events: &UnboundedSender<RosterEvent>,
    was_answered: &mut bool,
) -> Result<(), PlatformError> {
    let list = directory.endpoints().await?;
    if !*was_answered {
        info!("the list of endpoints answers again");
        *was_answered = true;
    }
    let mut revision = list.revision;
    if events.unbounded_send(RosterEvent::Listed(list.announcements)).is_err() {
        return Ok(());
    }
    loop {
        sleep(READ_PERIOD).await;
        let (notices, next) = directory.endpoint_changes(revision, CHANGE_WAIT).await?;
        revision = next;
        for notice in notices {
            let event = match notice {
                EndpointNotice::Announced(announcement) => RosterEvent::Announced(announcement),
                EndpointNotice::Withdrawn(replica) => RosterEvent::Withdrawn(replica),
            };
            if events.unbounded_send(event).is_err() {
                return Ok(());
            }
        }
    }
}
