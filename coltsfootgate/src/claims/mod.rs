//! Claims on idempotency keys: their pages, who owns them, and how an entry reaches an owner.

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

use self::layout::read_layout;
use self::page::{PageMessage, PageTask};
use crate::members::{MemberChange, MembersHandle};
use crate::platform::PlatformStore;
use crate::tree::TreeHandle;

pub use self::peers::ClaimPeers;
use self::route::ClaimRouter;

/// What the claims task is told.
#[derive(Debug)]
enum ClaimMessage {
    /// Change a page at this instance.
    Change {
        /// The page.
        page: PageNumber,
        /// The change.
        change: ClaimChange,
        /// When it is given up.
        deadline: Instant,
        /// Where the verdict goes.
        answer: oneshot::Sender<ClaimVerdict>,
    },
    /// Get a change made by the owner of its page.
    Route {
        /// The change.
        change: ClaimChange,
        /// When it is given up.
        deadline: Instant,
        /// Where the verdict goes.
        answer: oneshot::Sender<ClaimVerdict>,
    },
    /// Record how a claimed request ended.
    Settle(ClaimSettlement),
}

/// What the claims task and its handles share.
#[derive(Debug)]
struct ClaimShared {
    own: InstanceId,
    messages: mpsc::UnboundedSender<ClaimMessage>,
    owners: RefCell<OwnerTable>,
    pages: layout::PageCount,
    settlements: Cell<usize>,
}

/// Changes pages at this instance; clones share the same task.
#[derive(Clone, Debug)]
pub struct ClaimsHandle(Rc<ClaimShared>);

impl ClaimsHandle {
    /// Takes over the live instances that pages are spread over.
    pub fn owners_changed(&self, owners: OwnerTable) {
        *self.0.owners.borrow_mut() = owners;
    }

    /// Gets a change made before the deadline, by whichever instance owns its page.
    pub async fn change(&self, change: ClaimChange, deadline: Instant) -> ClaimVerdict {
        let (answer, verdict) = oneshot::channel();
        self.tell(ClaimMessage::Route { change, deadline, answer });
        verdict.await.unwrap_or(ClaimVerdict::Refused(ErrorKind::ClaimUnavailable))
    }

    /// Records how a claimed request ended, in the background.
    pub fn settle(&self, settlement: ClaimSettlement) {
        self.tell(ClaimMessage::Settle(settlement));
    }

    /// How many settlements are under way.
    pub fn open_settlements(&self) -> usize {
        self.0.settlements.get()
    }

    /// Changes a page at this instance, whether or not it is the page's owner.
    ///
    /// Ownership only saves conflicts, so a peer with another view is answered as well.
    pub async fn change_here(&self, change: ClaimChange, wait: Duration) -> ClaimVerdict {
        let deadline = Instant::now() + wait;
        let unavailable = ClaimVerdict::Refused(ErrorKind::ClaimUnavailable);
        let Some(pages) = self.0.pages.wait(deadline).await else { return unavailable };
        let (answer, verdict) = oneshot::channel();
        let page = change.digest().page_number(pages);
        self.tell(ClaimMessage::Change { page, change, deadline, answer });
        verdict.await.unwrap_or(unavailable)
    }

    /// The instance that owns the page of a change, once the number of pages is known.
    async fn owner_of(&self, change: &ClaimChange, deadline: Instant) -> Option<InstanceId> {
        let pages = self.0.pages.wait(deadline).await?;
        let page = change.digest().page_number(pages);
        let owners = self.0.owners.borrow();
        Some(owners.owner(&page_key(page)).unwrap_or(&self.0.own).clone())
    }

    fn is_own(&self, instance: &InstanceId) -> bool {
        self.0.own == *instance
    }

    fn tell(&self, message: ClaimMessage) {
        // Fails only while the process is ending; the answer's channel is closed then.
        let _ = self.0.messages.unbounded_send(message);
    }
}

/// Keeps one task for each page that was asked about.
pub struct ClaimsTask<S, P> {
    store: S,
    peers: P,
    tree: TreeHandle,
    handle: ClaimsHandle,
    messages: mpsc::UnboundedReceiver<ClaimMessage>,
    pages: HashMap<PageNumber, mpsc::UnboundedSender<PageMessage>>,
    found: layout::PageCountSender,
}

impl<S: PlatformStore + Clone + 'static, P: ClaimPeers> ClaimsTask<S, P> {
    /// Makes the task and its handle.
    pub fn new(own: InstanceId, store: S, peers: P, tree: TreeHandle) -> (Self, ClaimsHandle) {
        let (sender, messages) = mpsc::unbounded();
        let (found, pages) = layout::page_count();
        let owners = RefCell::new(OwnerTable::new([own.clone()]));
        let settlements = Cell::new(0);
        let shared = ClaimShared { own, messages: sender, owners, pages, settlements };
        let handle = ClaimsHandle(Rc::new(shared));
        let pages = HashMap::new();
        let task = Self { store, peers, tree, handle: handle.clone(), messages, pages, found };
        (task, handle)
    }

    /// Serves changes until the process ends.
    pub async fn run(self) {
        let Self { store, peers, tree, handle, mut messages, mut pages, found } = self;
        monoio::spawn(read_layout(store.clone(), tree.clone(), found));
        let router = ClaimRouter::new(handle, peers);
        while let Some(message) = messages.next().await {
            match message {
                ClaimMessage::Change { page, change, deadline, answer } => {
                    let sender = pages
                        .entry(page)
                        .or_insert_with(|| PageTask::start(page, store.clone(), tree.clone()));
                    // A page's task ends only with this one.
                    let _ = sender.unbounded_send(PageMessage::Change { change, deadline, answer });
                }
                ClaimMessage::Route { change, deadline, answer } => {
                    router.start_change(change, deadline, answer);
                }
                ClaimMessage::Settle(settlement) => router.start_settlement(settlement),
            }
        }
    }
}

/// Spreads the pages over the live instances as they come and go.
pub async fn follow_owners(members: MembersHandle, claims: ClaimsHandle) {
    let mut changes = members.subscribe();
    while let Some(change) = changes.next().await {
        if let MemberChange::View(view) = change {
            claims.owners_changed(view.owners.clone());
        }
    }
}

/// The key of a page in the platform's store, and for the choice of its owner.
fn page_key(page: PageNumber) -> String {
    format!("coltsfootgate/claims/{page}")
}
