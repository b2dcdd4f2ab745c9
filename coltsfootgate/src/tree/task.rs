//! The task that decides, with a [`HeadTracker`], which tree is in force here.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::future::{Either, select};
use futures_util::{StreamExt, pin_mut};
use log::{error, info, warn};

use coltsfootgate_config::HEAD_KEY;
use coltsfootgate_core::head::{HeadAction, HeadEvent, HeadSource, HeadTracker, TreeHead};

use super::load::{LoadError, ObjectFetcher};
use super::watch::{HeadWatch, parse_head};
use super::{ActiveTree, TreeHandle, TreeObjects, TreePeers};
use crate::metrics::DaemonMetrics;
use crate::operators::{ReadinessGate, UnreadyCause};
use crate::platform::PlatformStore;

/// Period of the tracker's ticks.
const TICK_PERIOD: Duration = Duration::from_millis(500);

/// Follows the head and puts trees in force.
pub struct TreeTask<S, P> {
    store: S,
    peers: P,
    handle: TreeHandle,
    news: UnboundedReceiver<HeadEvent>,
    metrics: DaemonMetrics,
    readiness: ReadinessGate,
    watch_wait: Duration,
    tracker: HeadTracker,
    loaded: UnboundedSender<LoadedTree>,
    loads: UnboundedReceiver<LoadedTree>,
}

/// What came of loading a tree.
struct LoadedTree {
    head: TreeHead,
    result: Result<ActiveTree, LoadError>,
}

impl<S, P> TreeTask<S, P>
where
    S: PlatformStore + Clone + 'static,
    P: TreePeers,
{
    /// Makes the task of a handle; `news` is the receiver that came with the handle.
    pub fn new(
        store: S,
        peers: P,
        handle: TreeHandle,
        news: UnboundedReceiver<HeadEvent>,
        metrics: DaemonMetrics,
        readiness: ReadinessGate,
        watch_wait: Duration,
    ) -> Self {
        let (loaded, loads) = unbounded();
        let now = Instant::now();
        let tracker = match S::IS_CURRENT {
            true => HeadTracker::with_consistent_store(now),
            false => HeadTracker::new(now),
        };
        Self { store, peers, handle, news, metrics, readiness, watch_wait, tracker, loaded, loads }
    }

    /// Follows the head until the process ends.
    pub async fn run(mut self) {
        let watch = HeadWatch::new(self.store.clone(), self.handle.clone(), self.watch_wait);
        monoio::spawn(watch.run());
        loop {
            match self.next_step().await {
                Some(TreeStep::News(event)) => self.take(event),
                Some(TreeStep::Loaded(loaded)) => self.take_loaded(loaded),
                None => self.take(HeadEvent::Tick),
            }
        }
    }

    /// The next thing to take in; `None` when a tick is due.
    async fn next_step(&mut self) -> Option<TreeStep> {
        let news = self.news.next();
        let loads = self.loads.next();
        pin_mut!(news, loads);
        match monoio::time::timeout(TICK_PERIOD, select(news, loads)).await {
            Ok(Either::Left((event, _))) => event.map(TreeStep::News),
            Ok(Either::Right((loaded, _))) => loaded.map(TreeStep::Loaded),
            Err(_) => None,
        }
    }

    fn take(&mut self, event: HeadEvent) {
        for action in self.tracker.handle(event, Instant::now()) {
            self.act(action);
        }
    }

    fn take_loaded(&mut self, loaded: LoadedTree) {
        let LoadedTree { head, result } = loaded;
        match result {
            Ok(tree) => {
                self.handle.publish(Rc::new(tree));
                self.take(HeadEvent::Loaded(head));
            }
            Err(error @ LoadError::Unfetched(_)) => {
                warn!("could not load version {}: {error}", head.version);
                self.metrics.config_refused("unfetched");
                self.take(HeadEvent::FetchFailed(head));
            }
            Err(error @ LoadError::Invalid(_)) => {
                error!("refused version {}: {error}", head.version);
                self.metrics.config_refused("invalid");
                self.take(HeadEvent::Invalid(head));
            }
        }
    }

    fn act(&self, action: HeadAction) {
        match action {
            HeadAction::ReadHead(source) => self.ask(source),
            HeadAction::Fetch(head, sources) => self.fetch(head, sources),
            // Heartbeats carry the version to the peers.
            HeadAction::Announce(head) => {
                info!("version {} is in force", head.version);
                self.metrics.set_config_version(head.version);
            }
            HeadAction::BecomeReady => {
                info!("ready with version {}", self.tracker.version());
                self.readiness.open(UnreadyCause::NoTree);
            }
        }
    }

    fn ask(&self, source: HeadSource) {
        let (store, peers) = (self.store.clone(), self.peers.clone());
        let events = self.handle.0.events.clone();
        monoio::spawn(async move {
            let head = match &source {
                HeadSource::Store => store_head(&store).await,
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
        let (store, peers) = (self.store.clone(), self.peers.clone());
        let held = self.handle.current();
        let loaded = self.loaded.clone();
        monoio::spawn(async move {
            let none = TreeObjects::new();
            let held = held.as_ref().map_or(&none, |tree| &tree.objects);
            let (store, peers, sources) = (&store, &peers, &sources[..]);
            let fetcher = ObjectFetcher { store, peers, sources, held };
            let result = fetcher.load(&head).await;
            let _ = loaded.unbounded_send(LoadedTree { head, result });
        });
    }
}

enum TreeStep {
    News(HeadEvent),
    Loaded(LoadedTree),
}

/// The head in the store; `None` if the store gave no usable answer.
async fn store_head<S: PlatformStore>(store: &S) -> Option<Option<TreeHead>> {
    match store.read(HEAD_KEY).await {
        Ok(Some(stored)) => parse_head(&stored).ok().map(Some),
        Ok(None) => Some(None),
        Err(_) => None,
    }
}
