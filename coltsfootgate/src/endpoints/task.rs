//! The task that tracks the endpoints of all pools and passes them to the owner and the routes.

use std::rc::Rc;
use std::time::Duration;

use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender};
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use log::{info, warn};
use monoio::time::{sleep, timeout};

use coltsfootgate_core::roster::RosterEvent;

use super::{ActivePools, EndpointDirectory, EndpointNotice, SharedRoster, SnapshotPoller};
use crate::clock;
use crate::metrics::DaemonMetrics;
use crate::operators::{ReadinessGate, UnreadyCause};
use crate::owner::{OwnerHandle, OwnerMessage};
use crate::platform::PlatformError;
use crate::routes::RouteTable;
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
    roster: SharedRoster,
    roster_events: UnboundedReceiver<RosterEvent>,
    active: Option<Rc<ActiveTree>>,
}

impl EndpointsTask {
    /// Creates the task of an instance; `roster_events` is the receiver that was created with the roster.
    pub fn new(
        tree: TreeHandle,
        owner: OwnerHandle,
        routes: RouteTable,
        readiness: ReadinessGate,
        roster: SharedRoster,
        roster_events: UnboundedReceiver<RosterEvent>,
    ) -> Self {
        Self { tree, owner, routes, readiness, roster, roster_events, active: None }
    }

    /// Runs until the process ends.
    pub async fn run<D: EndpointDirectory + 'static>(
        mut self,
        directory: D,
        poller: SnapshotPoller,
        metrics: DaemonMetrics,
    ) {
        let events = self.roster.events();
        if D::ANNOUNCES {
            self.readiness.set_unready(UnreadyCause::NoEndpoints);
            monoio::spawn(poller.run(self.roster.clone(), events.clone()));
            monoio::spawn(poll_directory(directory, events, metrics));
        }
        let mut trees = self.tree.subscribe();
        loop {
            let step = next_step(&mut trees, &mut self.roster_events).await;
            match step {
                Some(Either::Left(active)) => {
                    self.active = Some(active);
                    self.publish();
                }
                Some(Either::Right(event)) => self.apply_event(event),
                None => self.apply_event(RosterEvent::Tick),
            }
        }
    }

    fn apply_event(&mut self, event: RosterEvent) {
        let was_populated = self.roster.borrow().is_populated();
        let changes = self.roster.handle(event, clock::now());
        for (endpoint, change) in &changes {
            info!("endpoint {endpoint} {}", change.name());
        }
        if !was_populated && self.roster.borrow().is_populated() {
            self.readiness.clear(UnreadyCause::NoEndpoints);
        }
        if !changes.is_empty() {
            self.publish();
        }
    }

    fn publish(&self) {
        let Some(active) = self.active.clone() else { return };
        let pools = Rc::new(ActivePools::new(active, &self.roster.borrow().endpoints()));
        self.owner.send(OwnerMessage::Settings(pools.clone()));
        self.routes.set_pools(pools);
    }
}

/// Waits for the next tree or event; `None` when a tick is due.
async fn next_step(
    trees: &mut UnboundedReceiver<Rc<ActiveTree>>,
    roster_events: &mut UnboundedReceiver<RosterEvent>,
) -> Option<Either<Rc<ActiveTree>, RosterEvent>> {
    match timeout(TICK_PERIOD, select(trees.next(), roster_events.next())).await {
        Ok(Either::Left((active, _))) => active.map(Either::Left),
        Ok(Either::Right((event, _))) => event.map(Either::Right),
        Err(_) => None,
    }
}

/// Polls the directory and sends what it reads as events, until their receiver is dropped.
async fn poll_directory<D: EndpointDirectory>(
    directory: D,
    events: UnboundedSender<RosterEvent>,
    metrics: DaemonMetrics,
) {
    let mut is_reachable = true;
    loop {
        let Err(error) = read_directory(&directory, &events, &mut is_reachable).await else {
            return;
        };
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
    events: &UnboundedSender<RosterEvent>,
    is_reachable: &mut bool,
) -> Result<(), PlatformError> {
    let list = directory.endpoints().await?;
    if !*is_reachable {
        info!("the platform's list of endpoints is reachable again");
        *is_reachable = true;
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
