//! Claims on idempotency keys: storage in pages, ownership of pages and routing to owners.

mod layout;
mod page;
mod peers;
mod route;
mod settle;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;

use coltsfootgate_core::claim::key::PageNumber;
use coltsfootgate_core::claim::page::{ClaimChange, ClaimSettlement, ClaimVerdict};
use coltsfootgate_core::ids::InstanceId;
use coltsfootgate_core::prelude::ErrorKind;
use coltsfootgate_core::rendezvous::OwnerTable;

use self::layout::resolve_layout;
use self::page::{PageMessage, PageTask};
use crate::members::{MemberChange, MembersHandle};
use crate::platform::PlatformStore;
use crate::tree::TreeHandle;

pub use self::peers::ClaimPeers;
use self::route::ClaimRouter;

/// A message to the claims task.
#[derive(Debug)]
enum ClaimMessage {
    /// Change a page at this instance, whether or not it owns the page.
    Change {
        /// The page.
        page: PageNumber,
        /// The change.
        change: ClaimChange,
        /// When the change is refused if it is still pending.
        deadline: Instant,
        /// Receives the verdict.
        reply: oneshot::Sender<ClaimVerdict>,
    },
    /// Route a change to the owner of its page.
    Route {
        /// The change.
        change: ClaimChange,
        /// When the change is refused if it is still pending.
        deadline: Instant,
        /// Receives the verdict.
        reply: oneshot::Sender<ClaimVerdict>,
    },
    /// Record how a claimed request ended.
    Settle(ClaimSettlement),
}

/// State shared by the claims task and its handles.
#[derive(Debug)]
struct ClaimShared {
    own_id: InstanceId,
    messages: mpsc::UnboundedSender<ClaimMessage>,
    owners: RefCell<OwnerTable>,
    page_count: layout::PageCount,
    open_settlements: Cell<usize>,
}

/// Sends changes of claims to the claims task; clones share the same task.
#[derive(Clone, Debug)]
pub struct ClaimsHandle(Rc<ClaimShared>);

impl ClaimsHandle {
    /// Replaces the live instances that pages are distributed over.
    pub fn set_owners(&self, owners: OwnerTable) {
        *self.0.owners.borrow_mut() = owners;
    }

    /// Makes a change before the deadline, at the instance that owns its page.
    pub async fn change(&self, change: ClaimChange, deadline: Instant) -> ClaimVerdict {
        let (reply, verdict) = oneshot::channel();
        self.send(ClaimMessage::Route { change, deadline, reply });
        verdict.await.unwrap_or(ClaimVerdict::Refused(ErrorKind::ClaimUnavailable))
    }

    /// Records how a claimed request ended, in the background.
    pub fn settle(&self, settlement: ClaimSettlement) {
        self.send(ClaimMessage::Settle(settlement));
    }

    /// Returns the number of settlements that are not recorded yet.
    pub fn open_settlements(&self) -> usize {
        self.0.open_settlements.get()
    }

    /// Changes a page at this instance, whether or not it is the page's owner.
    ///
    /// Ownership only avoids write conflicts and is not needed for correctness, so changes are also
    /// accepted from peers that have a different view of the owners.
    pub async fn change_locally(&self, change: ClaimChange, wait: Duration) -> ClaimVerdict {
        let deadline = Instant::now() + wait;
        let unavailable = ClaimVerdict::Refused(ErrorKind::ClaimUnavailable);
        let Some(pages) = self.0.page_count.wait(deadline).await else { return unavailable };
        let (reply, verdict) = oneshot::channel();
        let page = change.digest().page_number(pages);
        self.send(ClaimMessage::Change { page, change, deadline, reply });
        verdict.await.unwrap_or(unavailable)
    }

    /// Returns the owner of a change's page; `None` if the number of pages is not known in time.
    async fn owner_of(&self, change: &ClaimChange, deadline: Instant) -> Option<InstanceId> {
        let pages = self.0.page_count.wait(deadline).await?;
        let page = change.digest().page_number(pages);
        let owners = self.0.owners.borrow();
        Some(owners.owner(&page_key(page)).unwrap_or(&self.0.own_id).clone())
    }

    fn is_local(&self, instance: &InstanceId) -> bool {
        self.0.own_id == *instance
    }

    fn send(&self, message: ClaimMessage) {
        // Fails only while the process exits; the reply's channel is closed then.
        let _ = self.0.messages.unbounded_send(message);
    }
}

/// Runs one task for each page that was changed at this instance.
pub struct ClaimsTask<S, P> {
    store: S,
    peers: P,
    tree: TreeHandle,
    handle: ClaimsHandle,
    messages: mpsc::UnboundedReceiver<ClaimMessage>,
    page_tasks: HashMap<PageNumber, mpsc::UnboundedSender<PageMessage>>,
    page_count_sender: layout::PageCountSender,
}

impl<S: PlatformStore + Clone + 'static, P: ClaimPeers> ClaimsTask<S, P> {
    /// Creates the task and its handle.
    pub fn new(own_id: InstanceId, store: S, peers: P, tree: TreeHandle) -> (Self, ClaimsHandle) {
        let (sender, messages) = mpsc::unbounded();
        let (page_count_sender, page_count) = layout::page_count_channel();
        let owners = RefCell::new(OwnerTable::new([own_id.clone()]));
        let open_settlements = Cell::new(0);
        let shared = ClaimShared { own_id, messages: sender, owners, page_count, open_settlements };
        let handle = ClaimsHandle(Rc::new(shared));
        let page_tasks = HashMap::new();
        let task = Self {
            store,
            peers,
            tree,
            handle: handle.clone(),
            messages,
            page_tasks,
            page_count_sender,
        };
        (task, handle)
    }

    /// Processes messages until the process exits.
    pub async fn run(self) {
        let Self { store, peers, tree, handle, mut messages, mut page_tasks, page_count_sender } =
            self;
        monoio::spawn(resolve_layout(store.clone(), tree.clone(), page_count_sender));
        let router = ClaimRouter::new(handle, peers);
        while let Some(message) = messages.next().await {
            match message {
                ClaimMessage::Change { page, change, deadline, reply } => {
                    let sender = page_tasks
                        .entry(page)
                        .or_insert_with(|| PageTask::start(page, store.clone(), tree.clone()));
                    // The task of a page ends only when this task drops its sender.
                    let _ = sender.unbounded_send(PageMessage::Change { change, deadline, reply });
                }
                ClaimMessage::Route { change, deadline, reply } => {
                    router.start_change(change, deadline, reply);
                }
                ClaimMessage::Settle(settlement) => router.start_settlement(settlement),
            }
        }
    }
}

/// Updates the owners of pages whenever the set of live instances changes.
pub async fn follow_owners(members: MembersHandle, claims: ClaimsHandle) {
    let mut changes = members.subscribe();
    while let Some(change) = changes.next().await {
        if let MemberChange::View(view) = change {
            claims.set_owners(view.owners.clone());
        }
    }
}

/// The key of a page in the platform's store, which is also hashed to choose the page's owner.
fn page_key(page: PageNumber) -> String {
    format!("coltsfootgate/claims/{page}")
}
