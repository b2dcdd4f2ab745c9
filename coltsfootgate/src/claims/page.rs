//! The task of one page: carries out what its [`PageOwner`] decides.

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

/// Time without a change after which a page is read afresh for the next one.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// What the task of a page is told.
#[derive(Debug)]
pub enum PageMessage {
    /// Somebody wants a change.
    Change {
        /// The change.
        change: ClaimChange,
        /// When it is given up.
        deadline: Instant,
        /// Where the verdict goes.
        answer: oneshot::Sender<ClaimVerdict>,
    },
    /// A call of the store ended.
    Store(PageEvent),
}

/// Owns one page.
pub struct PageTask<S> {
    page: PageNumber,
    store: S,
    tree: TreeHandle,
    sender: mpsc::UnboundedSender<PageMessage>,
    owner: PageOwner,
    answers: HashMap<ClaimTicket, oneshot::Sender<ClaimVerdict>>,
    next_ticket: ClaimTicket,
}

impl<S: PlatformStore + Clone + 'static> PageTask<S> {
    /// Starts the task of a page.
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
            answers: HashMap::new(),
            next_ticket: 0,
        };
        monoio::spawn(task.run(messages));
        sender
    }

    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<PageMessage>) {
        loop {
            let wait = match self.owner.wake_at() {
                Some(wake_at) => wake_at.saturating_duration_since(Instant::now()),
                None => IDLE_TIME,
            };
            let event = match monoio::time::timeout(wait, messages.next()).await {
                Ok(Some(message)) => self.event(message),
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

    fn event(&mut self, message: PageMessage) -> PageEvent {
        match message {
            PageMessage::Change { change, deadline, answer } => {
                let ticket = self.next_ticket;
                self.next_ticket += 1;
                self.answers.insert(ticket, answer);
                PageEvent::Requested { ticket, change, deadline }
            }
            PageMessage::Store(event) => event,
        }
    }

    fn perform(&mut self, action: PageAction) {
        match action {
            PageAction::Answer { ticket, verdict } => {
                if let Some(answer) = self.answers.remove(&ticket) {
                    let _ = answer.send(verdict);
                }
            }
            PageAction::Read => {
                let (store, page) = (self.store.clone(), self.page);
                self.call(async move { read_page(&store, page).await });
            }
            PageAction::Write { revision, page } => {
                let (store, number) = (self.store.clone(), self.page);
                self.call(async move { write_page(&store, number, revision, page).await });
            }
        }
    }

    /// Makes a call of the store while the task goes on; its end comes back as a message.
    fn call(&self, call: impl Future<Output = PageEvent> + 'static) {
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
            Err(fault) => {
                error!("claims: page {page} cannot be read, so its keys are refused: {fault}");
                PageEvent::ReadFailed
            }
        },
        Err(fault) => {
            warn!("claims: page {page} was not read: {fault}");
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
        Err(fault) => {
            error!("claims: page {number} cannot be written: {fault}");
            return PageEvent::WriteUnknown;
        }
    };
    match store.swap(&page_key(number), revision, Bytes::from(value)).await {
        Ok(SwapResult::Written(revision)) => PageEvent::Written(revision),
        Ok(SwapResult::Conflict(_)) => PageEvent::Conflicted,
        Err(fault) => {
            warn!("claims: it is not known whether page {number} was written: {fault}");
            PageEvent::WriteUnknown
        }
    }
}

/// The window for which the tree in force keeps claims.
fn claim_window(tree: &TreeHandle) -> Duration {
    /// Holds until a tree is in force; no request is claimed before.
    const FIRST_WINDOW: Duration = Duration::from_secs(24 * 3600);
    tree.current().map_or(FIRST_WINDOW, |active| active.tree.deployment().claim_window)
}
