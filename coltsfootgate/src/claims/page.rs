//! The task of one page: carries out the actions of its [`PageOwner`].

use std::collections::HashMap;
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use log::{error, warn};

use coltsfootgate_core::claim::key::PageNumber;
use coltsfootgate_core::claim::owner::{
    ClaimTicket, PageAction, PageEvent, PageOwner, PageRevision,
};
use coltsfootgate_core::claim::page::{ClaimChange, ClaimPage, ClaimVerdict};
use coltsfootgate_wire::{decode_claim_page, encode_claim_page};

use super::page_key;
use crate::platform::{PlatformStore, SwapResult};
use crate::tree::TreeHandle;

/// Idle time after which the cached page is dropped and read again for the next change.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A message to the task of a page.
#[derive(Debug)]
pub enum PageMessage {
    /// A change was requested.
    Change {
        /// The change.
        change: ClaimChange,
        /// When the change is refused if it is still pending.
        deadline: Instant,
        /// Receives the verdict.
        reply: oneshot::Sender<ClaimVerdict>,
    },
    /// A call to the store ended.
    Store(PageEvent),
}

/// Reads and writes one page in the platform's store.
pub struct PageTask<S> {
    page: PageNumber,
    store: S,
    tree: TreeHandle,
    sender: mpsc::UnboundedSender<PageMessage>,
    owner: PageOwner,
    replies: HashMap<ClaimTicket, oneshot::Sender<ClaimVerdict>>,
    next_ticket: ClaimTicket,
}

impl<S: PlatformStore + Clone + 'static> PageTask<S> {
    /// Spawns the task of a page and returns the sender of its messages.
    pub fn start(
        page: PageNumber,
        store: S,
        tree: TreeHandle,
    ) -> mpsc::UnboundedSender<PageMessage> {
        let (sender, messages) = mpsc::unbounded();
        let task = Self {
            page,
            store,
            owner: PageOwner::new(claim_window(&tree)),
            tree,
            sender: sender.clone(),
            replies: HashMap::new(),
            next_ticket: 0,
        };
        monoio::spawn(task.run(messages));
        sender
    }

    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<PageMessage>) {
        loop {
            let wait = match self.owner.wake_at() {
                Some(wake_at) => wake_at.saturating_duration_since(Instant::now()),
                None => IDLE_TIMEOUT,
            };
            let event = match monoio::time::timeout(wait, messages.next()).await {
                Ok(Some(message)) => self.register_message(message),
                Ok(None) => return,
                Err(_) => PageEvent::Tick,
            };
            if event == PageEvent::Tick && self.owner.is_idle() {
                self.owner = PageOwner::new(claim_window(&self.tree));
            }
            self.owner.set_window(claim_window(&self.tree));
            for action in self.owner.handle(event, Instant::now(), SystemTime::now()) {
                self.perform(action);
            }
        }
    }

    /// Converts a message into an event; keeps the sender of the reply under a new ticket.
    fn register_message(&mut self, message: PageMessage) -> PageEvent {
        match message {
            PageMessage::Change { change, deadline, reply } => {
                let ticket = self.next_ticket;
                self.next_ticket += 1;
                self.replies.insert(ticket, reply);
                PageEvent::Requested { ticket, change, deadline }
            }
            PageMessage::Store(event) => event,
        }
    }

    fn perform(&mut self, action: PageAction) {
        match action {
            PageAction::Answer { ticket, verdict } => {
                if let Some(reply) = self.replies.remove(&ticket) {
                    let _ = reply.send(verdict);
                }
            }
            PageAction::Read => {
                let (store, page) = (self.store.clone(), self.page);
                self.spawn_store_call(async move { read_page(&store, page).await });
            }
            PageAction::Write { revision, page } => {
                let (store, number) = (self.store.clone(), self.page);
                self.spawn_store_call(
                    async move { write_page(&store, number, revision, page).await },
                );
            }
        }
    }

    /// Spawns a call to the store; its result arrives as a [`PageMessage::Store`].
    fn spawn_store_call(&self, call: impl Future<Output = PageEvent> + 'static) {
        let sender = self.sender.clone();
        monoio::spawn(async move {
            let event = call.await;
            let _ = sender.unbounded_send(PageMessage::Store(event));
        });
    }
}

async fn read_page<S: PlatformStore>(store: &S, page: PageNumber) -> PageEvent {
    match store.read(&page_key(page)).await {
        Ok(None) => PageEvent::Read { revision: 0, page: ClaimPage::default() },
        Ok(Some(stored)) => match decode_claim_page(&stored.value) {
            Ok(page) => PageEvent::Read { revision: stored.revision, page },
            Err(error) => {
                error!("claims: could not decode page {page}, so its keys are refused: {error}");
                PageEvent::ReadFailed
            }
        },
        Err(error) => {
            warn!("claims: could not read page {page}: {error}");
            PageEvent::ReadFailed
        }
    }
}

async fn write_page<S: PlatformStore>(
    store: &S,
    number: PageNumber,
    revision: PageRevision,
    page: ClaimPage,
) -> PageEvent {
    let value = match encode_claim_page(page) {
        Ok(value) => value,
        Err(error) => {
            error!("claims: could not encode page {number}: {error}");
            return PageEvent::WriteUnknown;
        }
    };
    match store.swap(&page_key(number), revision, Bytes::from(value)).await {
        Ok(SwapResult::Written(revision)) => PageEvent::Written(revision),
        Ok(SwapResult::Conflict(_)) => PageEvent::Conflicted,
        Err(error) => {
            warn!("claims: it is not known whether page {number} was written: {error}");
            PageEvent::WriteUnknown
        }
    }
}

/// Returns how long claims are kept according to the tree in force.
fn claim_window(tree: &TreeHandle) -> Duration {
    /// Used until a tree is in force; no request is claimed before that.
    const DEFAULT_WINDOW: Duration = Duration::from_secs(24 * 3600);
    tree.current().map_or(DEFAULT_WINDOW, |active| active.tree.deployment().claim_window)
}
