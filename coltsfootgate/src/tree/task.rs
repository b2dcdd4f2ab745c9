//! The task that drives a [`HeadTracker`] and puts new settings trees in force.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::future::{Either, select};
use futures_util::{StreamExt, pin_mut};
use log::{error, info, warn};

use coltsfootgate_config::HEAD_KEY;
use coltsfootgate_core::head::{HeadAction, HeadEvent, HeadSource, HeadTracker, TreeHead};

use super::load::{LoadError, TreeLoader};
use super::watch::{HeadWatch, parse_head};
use super::{ActiveTree, TreeHandle, TreeObjects, TreePeers};
use crate::feed::FeedHandle;
use crate::metrics::DaemonMetrics;
use crate::operators::{ReadinessGate, UnreadyCause};
use crate::platform::PlatformStore;

/// Interval between ticks of the tracker.
const TICK_PERIOD: Duration = Duration::from_millis(500);

/// Follows the head, loads the trees that it refers to and puts them in force.
pub struct TreeTask<S, P> {
    store: S,
    peers: P,
    handle: TreeHandle,
    events: UnboundedReceiver<HeadEvent>,
    metrics: DaemonMetrics,
    readiness: ReadinessGate,
    watch_wait: Duration,
    feed: Option<FeedHandle>,
    tracker: HeadTracker,
    outcome_sender: UnboundedSender<LoadOutcome>,
    outcomes: UnboundedReceiver<LoadOutcome>,
}

/// The result of loading the tree of a head.
struct LoadOutcome {
    head: TreeHead,
    result: Result<ActiveTree, LoadError>,
    /// Time from the start of the load to its end.
    elapsed: Duration,
}

impl<S, P> TreeTask<S, P>
where
    S: PlatformStore + Clone + 'static,
    P: TreePeers,
{
    /// Creates the task of a handle. `events` is the receiver that was created with the handle, and
    /// `watch_wait` bounds how long the store may hold a watch.
    pub fn new(
        store: S,
        peers: P,
        handle: TreeHandle,
        events: UnboundedReceiver<HeadEvent>,
        metrics: DaemonMetrics,
        readiness: ReadinessGate,
        watch_wait: Duration,
    ) -> Self {
        let (outcome_sender, outcomes) = unbounded();
        let now = Instant::now();
        let tracker = match S::HAS_LINEARIZABLE_READS {
            true => HeadTracker::with_consistent_store(now),
            false => HeadTracker::new(now),
        };
        Self {
            store,
            peers,
            handle,
            events,
            metrics,
            readiness,
            watch_wait,
            feed: None,
            tracker,
            outcome_sender,
            outcomes,
        }
    }

    /// Follows other instances where they watch the head.
    pub fn with_feed(mut self, feed: FeedHandle) -> Self {
        self.feed = Some(feed);
        self
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let (store, handle) = (self.store.clone(), self.handle.clone());
        let watch = HeadWatch::new(store, handle, self.feed.clone(), self.watch_wait);
        monoio::spawn(watch.run());
        loop {
            match self.next_step().await {
                Some(TreeStep::Event(event)) => self.apply_event(event),
                Some(TreeStep::Loaded(outcome)) => self.finish_load(outcome),
                None => self.apply_event(HeadEvent::Tick),
            }
        }
    }

    /// Waits for the next event or loaded tree; `None` when a tick is due.
    async fn next_step(&mut self) -> Option<TreeStep> {
        let events = self.events.next();
        let outcomes = self.outcomes.next();
        pin_mut!(events, outcomes);
        match monoio::time::timeout(TICK_PERIOD, select(events, outcomes)).await {
            Ok(Either::Left((event, _))) => event.map(TreeStep::Event),
            Ok(Either::Right((outcome, _))) => outcome.map(TreeStep::Loaded),
            Err(_) => None,
        }
    }

    fn apply_event(&mut self, event: HeadEvent) {
        for action in self.tracker.handle(event, Instant::now()) {
            self.perform(action);
        }
    }

    fn finish_load(&mut self, outcome: LoadOutcome) {
        let LoadOutcome { head, result, elapsed } = outcome;
        match result {
            Ok(tree) => {
                self.record_load(&tree, elapsed);
                self.handle.publish(Rc::new(tree));
                self.apply_event(HeadEvent::Loaded(head));
            }
            Err(error @ LoadError::Unfetched(_)) => {
                warn!("could not load version {}: {error}", head.version);
                self.metrics.config_refused("unfetched");
                self.apply_event(HeadEvent::FetchFailed(head));
            }
            Err(error @ LoadError::Invalid(_)) => {
                error!("refused version {}: {error}", head.version);
                self.metrics.config_refused("invalid");
                self.apply_event(HeadEvent::Invalid(head));
            }
        }
    }

    fn record_load(&self, tree: &ActiveTree, elapsed: Duration) {
        let (classes, customers) = (tree.tree.classes().count(), tree.tree.customers().count());
        let bytes = tree.objects.values().map(Bytes::len).sum();
        info!(
            "loaded version {} in {} ms: {bytes} bytes, {classes} classes, {customers} customers",
            tree.version,
            elapsed.as_millis()
        );
        self.metrics.record_config_load(elapsed, bytes);
    }

    fn perform(&self, action: HeadAction) {
        match action {
            HeadAction::ReadHead(source) => self.start_head_read(source),
            HeadAction::Fetch(head, sources) => self.fetch(head, sources),
            // The heartbeats announce the version to the peers.
            HeadAction::Announce(head) => {
                info!("version {} is in force", head.version);
                self.metrics.set_config_version(head.version);
            }
            HeadAction::BecomeReady => {
                info!("ready with version {}", self.tracker.version());
                self.readiness.clear(UnreadyCause::NoTree);
            }
        }
    }

    fn start_head_read(&self, source: HeadSource) {
        let (store, peers) = (self.store.clone(), self.peers.clone());
        let events = self.handle.0.events.clone();
        monoio::spawn(async move {
            let head = match &source {
                HeadSource::Store => read_head(&store).await,
                HeadSource::Peer(peer) => peers.head(peer).await.ok(),
            };
            let event = match head {
                Some(head) => HeadEvent::Answered(source, head),
                None => HeadEvent::Unanswered(source),
            };
            let _ = events.unbounded_send(event);
        });
    }

    fn fetch(&self, head: TreeHead, sources: Vec<HeadSource>) {
        info!("loading version {}; version {} is in force", head.version, self.tracker.version());
        let (store, peers) = (self.store.clone(), self.peers.clone());
        let cached = self.handle.current();
        let outcome_sender = self.outcome_sender.clone();
        monoio::spawn(async move {
            let started = Instant::now();
            let none = TreeObjects::new();
            let cached = cached.as_ref().map_or(&none, |tree| &tree.objects);
            let (store, peers, sources) = (&store, &peers, &sources[..]);
            let loader = TreeLoader { store, peers, sources, cached };
            let result = loader.load(&head).await;
            let outcome = LoadOutcome { head, result, elapsed: started.elapsed() };
            let _ = outcome_sender.unbounded_send(outcome);
        });
    }
}

enum TreeStep {
    Event(HeadEvent),
    Loaded(LoadOutcome),
}

/// Reads the head from the store. The outer `None` means that the store returned no usable
/// response, the inner one that it has no head.
async fn read_head<S: PlatformStore>(store: &S) -> Option<Option<TreeHead>> {
    match store.read(HEAD_KEY).await {
        Ok(Some(stored)) => parse_head(&stored).ok().map(Some),
        Ok(None) => Some(None),
        Err(_) => None,
    }
}
