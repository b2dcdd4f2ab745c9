//! Keeps requests that crash endpoints, by a part of their prompt or as a whole, from reaching endpoints,
//! together with other instances.

mod check;
mod task;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_channel::oneshot;
use serde_json::{Value, json};

use coltsfootgate_core::prelude::{EndpointId, InstanceId, PoolId};
use coltsfootgate_core::quarantine::{
    BlockList, BlockState, CauseKey, CrashCause, CrashReport, QuarantineNotice, SendVerdict,
    ServedCauses,
};

use crate::clock;

pub use self::task::QuarantineTask;

/// A request whose connection was lost, perhaps because it crashed the endpoint.
#[derive(Clone, Debug)]
pub struct LostAttempt {
    /// The pool of the endpoint.
    pub pool: PoolId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The address of the endpoint.
    pub address: Arc<str>,
    /// What in it may have crashed the endpoint.
    pub causes: Vec<CrashCause>,
    /// When the request was sent.
    pub sent_at: Instant,
}

/// Input of the [`QuarantineTask`].
pub(crate) enum QuarantineMessage {
    /// A request of this instance was lost.
    Lost(LostAttempt),
    /// It was found out whether an endpoint whose connections were lost has crashed.
    Checked { endpoint: EndpointId, has_crashed: bool },
    /// This instance served causes that are suspected or blocked.
    ServedHere(Vec<(CauseKey, Instant)>),
    /// An instance lost requests in the crash of an endpoint.
    Crash(CrashReport),
    /// An instance served causes that are suspected or blocked.
    Served(Vec<(CauseKey, Instant)>),
    /// A peer shared what it knows.
    Noticed { from: InstanceId, notice: QuarantineNotice },
    /// A peer stated the digest of its list.
    Compared { from: InstanceId, digest: u64 },
    /// A request of this instance is about to try a blocked cause.
    TakeTrial { key: CauseKey, reply: oneshot::Sender<bool> },
    /// A request of a peer, for which this instance owns the decision, is about to try a blocked cause.
    DecideTrial { key: CauseKey, reply: oneshot::Sender<bool> },
}

/// Shared access to the blocked causes and to the [`QuarantineTask`]; clones share the same state.
#[derive(Clone)]
pub struct QuarantineHandle(Rc<QuarantineShared>);

struct QuarantineShared {
    messages: UnboundedSender<QuarantineMessage>,
    list: RefCell<BlockList>,
    /// The causes of which other instances want to know whether they are served.
    watched: RefCell<BTreeSet<CauseKey>>,
    served: RefCell<ServedCauses>,
    /// Whether any cause is blocked or watched, so that served ones are reported.
    is_alert: Cell<bool>,
}

impl QuarantineHandle {
    /// Creates a handle without blocked causes, and the receiver for its task.
    pub(crate) fn new() -> (Self, UnboundedReceiver<QuarantineMessage>) {
        let (messages, receiver) = unbounded();
        let shared = QuarantineShared {
            messages,
            list: RefCell::default(),
            watched: RefCell::default(),
            served: RefCell::default(),
            is_alert: Cell::new(false),
        };
        (Self(Rc::new(shared)), receiver)
    }

    /// Whether any cause is blocked or suspected; if not, every request may be sent.
    pub fn is_alert(&self) -> bool {
        self.0.is_alert.get()
    }

    /// Whether a request with these possible causes may be sent to a pool.
    pub fn verdict(&self, pool: &PoolId, causes: &[CrashCause]) -> SendVerdict {
        let (list, watched) = (self.0.list.borrow(), self.0.watched.borrow());
        list.verdict(&watched, pool, causes, clock::now())
    }

    /// Asks for permission to try a blocked cause with one request.
    pub async fn take_trial(&self, key: CauseKey) -> bool {
        let (reply, answer) = oneshot::channel();
        self.send(QuarantineMessage::TakeTrial { key, reply });
        answer.await.unwrap_or(false)
    }

    /// Decides as the owner whether a request of a peer may try a blocked cause.
    pub async fn decide_trial(&self, key: CauseKey) -> bool {
        let (reply, answer) = oneshot::channel();
        self.send(QuarantineMessage::DecideTrial { key, reply });
        answer.await.unwrap_or(false)
    }

    /// Records that a request of this instance was served.
    pub fn record_served(&self, pool: &PoolId, causes: &[CrashCause]) {
        let now = clock::now();
        let keys = causes.iter().map(|cause| CauseKey { pool: pool.clone(), cause: *cause });
        let keys: Vec<CauseKey> = keys.collect();
        let mut served = self.0.served.borrow_mut();
        keys.iter().for_each(|key| served.record(key.clone(), now));
        if !self.0.is_alert.get() {
            return;
        }
        let (list, watched) = (self.0.list.borrow(), self.0.watched.borrow());
        let is_reported =
            |key: &CauseKey| watched.contains(key) || list.find(&key.pool, &[key.cause]).is_some();
        let reported = keys.into_iter().filter(is_reported).map(|key| (key, now));
        let reported: Vec<_> = reported.collect();
        if !reported.is_empty() {
            self.send(QuarantineMessage::ServedHere(reported));
        }
    }

    /// Records that the connection of a request was lost.
    pub fn record_lost(&self, lost: LostAttempt) {
        self.send(QuarantineMessage::Lost(lost));
    }

    /// The blocked causes as JSON, for the status page.
    pub fn status(&self) -> Value {
        let (list, now) = (self.0.list.borrow(), clock::now());
        let blocked = list.entries().filter(|(_, entry)| entry.state == BlockState::Blocked);
        let rows = blocked.map(|(key, entry)| {
            let (kind, id) = match key.cause {
                CrashCause::Part(part) => ("part", format!("{part:x}")),
                CrashCause::Request(digest) => ("request", format!("{digest:016x}")),
            };
            json!({
                "pool": key.pool,
                kind: id,
                "crashes": entry.crashes,
                "trials": entry.trials,
                "seconds": now.saturating_duration_since(entry.since).as_secs(),
            })
        });
        Value::Array(rows.collect())
    }

    pub(crate) fn send(&self, message: QuarantineMessage) {
        // Fails only while the process is ending.
        let _ = self.0.messages.unbounded_send(message);
    }

    /// When this instance last served a possible cause, if that is remembered.
    fn last_served(&self, key: &CauseKey) -> Option<Instant> {
        self.0.served.borrow().last(key)
    }

    /// Replaces what requests are checked against.
    fn publish(&self, list: &BlockList, watched: BTreeSet<CauseKey>) {
        self.0.is_alert.set(!watched.is_empty() || list.blocked_count() > 0);
        *self.0.list.borrow_mut() = list.clone();
        *self.0.watched.borrow_mut() = watched;
    }
}
