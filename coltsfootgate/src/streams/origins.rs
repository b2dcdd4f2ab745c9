//! Keeps the stored list of all origins that streams may have.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_channel::oneshot;
use futures_util::StreamExt;
use log::{error, info, warn};
use monoio::time::timeout;
use rand::Rng;

use coltsfootgate_core::ids::InstanceId;
use coltsfootgate_core::origins::{OriginList, OriginTracker};
use coltsfootgate_core::stream::StreamOrigin;

use super::stored::{ORIGINS_KEY, list_value, parse_list};
use crate::clock;
use crate::members::MembersHandle;
use crate::platform::{PlatformError, PlatformStore, SwapResult, ValueRevision};

/// Interval between reads of the list while every origin in service is listed.
const REFRESH_PERIOD: Duration = Duration::from_secs(10);
/// Interval between reads while an origin in service is not listed.
const UNLISTED_PERIOD: Duration = Duration::from_millis(100);
/// Time that an instance leaves the first in order for writing a change, before it writes it itself; up to
/// as much again is added at random.
const WRITE_DELAY: Duration = Duration::from_millis(400);
/// Longest time for which a question waits for the list.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(800);

/// Input of the [`OriginsTask`].
enum OriginsMessage {
    /// The endpoints in service have changed.
    Serving { origins: BTreeSet<StreamOrigin>, is_complete: bool },
    /// Another instance stated origins that the list names.
    Learned(Vec<StreamOrigin>),
    /// The list is wanted as it is stored now or later.
    Confirm(oneshot::Sender<Rc<OriginList>>),
}

/// Shared access to the list of origins and to its task; clones share the same state.
#[derive(Clone)]
pub struct OriginsHandle(Rc<OriginsShared>);

struct OriginsShared {
    messages: UnboundedSender<OriginsMessage>,
    tracker: RefCell<OriginTracker>,
    subscribers: RefCell<Vec<UnboundedSender<()>>>,
}

impl OriginsHandle {
    /// Creates a handle without origins, and the receiver for its task.
    fn new() -> (Self, UnboundedReceiver<OriginsMessage>) {
        let (messages, receiver) = unbounded();
        let (tracker, subscribers) = (RefCell::default(), RefCell::default());
        (Self(Rc::new(OriginsShared { messages, tracker, subscribers })), receiver)
    }

    /// Creates a handle for endpoints that do not announce themselves, for which there is no list.
    pub fn without_list() -> Self {
        Self::new().0
    }

    /// Replaces the origins of the endpoints in service, of which some may be missing if the source of
    /// announcements is unreachable.
    pub fn set_serving(&self, origins: BTreeSet<StreamOrigin>, is_complete: bool) {
        self.send(OriginsMessage::Serving { origins, is_complete });
    }

    /// Adds origins that the list names according to another instance.
    pub fn learn(&self, origins: Vec<StreamOrigin>) {
        self.send(OriginsMessage::Learned(origins));
    }

    /// Whether streams may begin at an origin.
    pub fn is_listed(&self, origin: &StreamOrigin) -> bool {
        self.0.tracker.borrow().is_listed(origin)
    }

    /// The listed origins in service, for other instances.
    pub fn listed(&self) -> Vec<StreamOrigin> {
        self.0.tracker.borrow().listed().cloned().collect()
    }

    /// Whether streams that began within the last `span` may have several origins, as far as this instance knows.
    pub fn has_several(&self, span: Duration) -> bool {
        self.0.tracker.borrow().has_several(span, SystemTime::now())
    }

    /// Subscribes to changes of the origins that are listed.
    pub fn subscribe(&self) -> UnboundedReceiver<()> {
        let (sender, receiver) = unbounded();
        self.0.subscribers.borrow_mut().push(sender);
        receiver
    }

    /// The list as the store returns it to a read that is sent after this call; `None` if it could not be
    /// read.
    pub async fn confirm(&self) -> Option<Rc<OriginList>> {
        let (answer, list) = oneshot::channel();
        self.send(OriginsMessage::Confirm(answer));
        timeout(CONFIRM_TIMEOUT, list).await.ok()?.ok()
    }

    fn send(&self, message: OriginsMessage) {
        // Fails if there is no list, or while the process is ending.
        let _ = self.0.messages.unbounded_send(message);
    }
}

/// Reads the list of origins, and adds the origins in service before their endpoints are used.
pub struct OriginsTask<S> {
    own: InstanceId,
    store: S,
    members: MembersHandle,
    handle: OriginsHandle,
    messages: UnboundedReceiver<OriginsMessage>,
    /// The revision of the list when it was last read.
    revision: ValueRevision,
    waiting: Vec<oneshot::Sender<Rc<OriginList>>>,
    next_read: Instant,
    /// When this instance writes a change unless another one did.
    write_at: Option<Instant>,
    is_reachable: bool,
}

impl<S: PlatformStore> OriginsTask<S> {
    /// Creates the task of an instance and its handle.
    pub fn new(own: InstanceId, store: S, members: MembersHandle) -> (Self, OriginsHandle) {
        let (handle, messages) = OriginsHandle::new();
        let task = Self {
            own,
            store,
            members,
            handle: handle.clone(),
            messages,
            revision: 0,
            waiting: Vec::new(),
            next_read: clock::now(),
            write_at: None,
            is_reachable: true,
        };
        (task, handle)
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        loop {
            let wait = self.next_read.saturating_duration_since(clock::now());
            match timeout(wait, self.messages.next()).await {
                Ok(Some(message)) => self.handle_message(message),
                Ok(None) => return,
                Err(_) => self.refresh().await,
            }
        }
    }

    fn handle_message(&mut self, message: OriginsMessage) {
        let now = clock::now();
        match message {
            OriginsMessage::Serving { origins, is_complete } => {
                self.handle.0.tracker.borrow_mut().set_serving(origins, is_complete, now);
                if self.has_unlisted() {
                    self.next_read = self.next_read.min(now);
                }
            }
            OriginsMessage::Learned(origins) => {
                self.handle.0.tracker.borrow_mut().learn(origins);
                self.publish();
            }
            OriginsMessage::Confirm(answer) => {
                self.waiting.push(answer);
                self.next_read = now;
            }
        }
    }

    /// Reads the list, answers those that wait for it, and writes it if it must change.
    async fn refresh(&mut self) {
        // Questions that arrive from now on wait for the next read.
        let waiting = std::mem::take(&mut self.waiting);
        match self.read_list().await {
            Ok(list) => {
                let list = Rc::new(list);
                for answer in waiting {
                    // Fails if the question timed out.
                    let _ = answer.send(list.clone());
                }
                self.update_list(OriginList::clone(&list));
                self.write_change().await;
            }
            Err(error) => self.report_failure(&error),
        }
        let period = if self.has_unlisted() { UNLISTED_PERIOD } else { REFRESH_PERIOD };
        self.next_read = clock::now() + period;
    }

    async fn read_list(&mut self) -> Result<OriginList, PlatformError> {
        let stored = self.store.read(ORIGINS_KEY).await?;
        self.is_reachable = true;
        let Some(stored) = stored else {
            self.revision = 0;
            return Ok(OriginList::default());
        };
        self.revision = stored.revision;
        parse_list(&stored.value).map_err(PlatformError::malformed)
    }

    fn update_list(&mut self, list: OriginList) {
        self.handle.0.tracker.borrow_mut().set_list(list, clock::now());
        self.publish();
    }

    /// Writes the list if it must change and it is this instance's turn.
    async fn write_change(&mut self) {
        let now = clock::now();
        let changed = self.handle.0.tracker.borrow().changed_list(now, SystemTime::now());
        let Some(list) = changed else {
            self.write_at = None;
            return;
        };
        let write_at =
            *self.write_at.get_or_insert_with(|| now + write_delay(&self.own, &self.members));
        if now < write_at {
            return;
        }
        let value = match list_value(&list) {
            Ok(value) => value,
            Err(fault) => return error!("could not write the origins of streams: {fault}"),
        };
        match self.store.swap(ORIGINS_KEY, self.revision, value).await {
            Ok(SwapResult::Written(revision)) => {
                info!("stored the origins of streams: {}", describe(&list));
                self.revision = revision;
                self.write_at = None;
                self.update_list(list);
            }
            // Another instance wrote it; the next read shows what.
            Ok(SwapResult::Conflict(_)) => self.write_at = None,
            Err(error) => self.report_failure(&error),
        }
    }

    fn has_unlisted(&self) -> bool {
        self.handle.0.tracker.borrow().has_unlisted()
    }

    fn publish(&self) {
        let mut subscribers = self.handle.0.subscribers.borrow_mut();
        subscribers.retain(|subscriber| subscriber.unbounded_send(()).is_ok());
    }

    fn report_failure(&mut self, error: &PlatformError) {
        if self.is_reachable {
            warn!("could not read or write the origins of streams: {error}");
        }
        self.is_reachable = false;
    }
}

/// How long an instance waits before it writes a change: the first one in order among the live instances
/// writes at once.
fn write_delay(own: &InstanceId, members: &MembersHandle) -> Duration {
    let view = members.view();
    let is_first = view.owners.ranked(ORIGINS_KEY).first().is_none_or(|first| *first == own);
    if is_first {
        return Duration::ZERO;
    }
    WRITE_DELAY.mul_f64(rand::rng().random_range(1.0..2.0))
}

fn describe(list: &OriginList) -> String {
    let origins = list.origins().map(|(origin, ended)| {
        let version = origin.version.as_deref().unwrap_or("no version");
        let state = if ended.is_some() { " (ended)" } else { "" };
        format!("{} {version}{state}", origin.pool)
    });
    origins.collect::<Vec<_>>().join(", ")
}
