//! Remembers, together with other instances, which software version began each stream.

mod origins;
mod stored;
#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use futures_channel::mpsc::unbounded;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use monoio::time::timeout;

use coltsfootgate_core::prelude::InstanceId;
use coltsfootgate_core::rendezvous::{OwnerTable, stable_hash};
use coltsfootgate_core::stream::{RecordedOrigin, StreamBook, StreamKey, StreamOrigin};
use coltsfootgate_wire::{PeerReply, PeerRequest};

use crate::clock;
use crate::members::{MemberChange, MembersHandle};
use crate::peer::{PeerError, PeerHandle};

pub use self::origins::{OriginsHandle, OriginsTask};

/// Number of groups of streams; those of one group are recorded at the same instances, so that an
/// instance of a large fleet needs connections to a part of the others only.
const STREAM_GROUPS: u64 = 32;
/// Number of other instances at which each stream is recorded.
const COPIES: usize = 2;
/// Number of instances that are asked for a record; more than hold one, since some may have joined
/// or failed since it was made.
const ASKED_INSTANCES: usize = 4;
/// Longest time for which the first event of a stream waits for its record.
const RECORD_WAIT_MAX: Duration = Duration::from_millis(30);
/// Time limit for delivering a record.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for the answer to a question about a stream.
const FIND_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time for which an answer that names an origin waits for others, which may contradict it.
const CONTRADICTION_WAIT: Duration = Duration::from_millis(50);

/// Why it is not known where a stream without a record began.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnknownOrigin {
    /// The list of origins could not be read.
    Unconfirmed,
    /// It may have begun at several origins, or at none that is listed.
    Several,
}

impl UnknownOrigin {
    /// The name used in decision records and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unconfirmed => "unconfirmed",
            Self::Several => "several-origins",
        }
    }
}

/// The origins of recent streams; clones share the same state.
#[derive(Clone)]
pub struct StreamRegister(Rc<RegisterState>);

struct RegisterState {
    own: InstanceId,
    peers: PeerHandle,
    origins: OriginsHandle,
    book: RefCell<StreamBook>,
    instances: RefCell<OwnerTable>,
}

impl StreamRegister {
    /// Creates the register of an instance that knows no other one yet.
    pub fn new(own: InstanceId, peers: PeerHandle, origins: OriginsHandle) -> Self {
        let (book, instances) = (RefCell::default(), RefCell::default());
        Self(Rc::new(RegisterState { own, peers, origins, book, instances }))
    }

    /// Records where a stream began, here and at other instances; returns once one of them has the
    /// record, or after a short time.
    ///
    /// If this instance fails without one, the stream is not continued at any version.
    pub async fn record(&self, key: StreamKey, origin: StreamOrigin, expires: Instant) {
        let (acknowledged, mut acknowledgements) = unbounded();
        for instance in self.ranked_instances(&key).into_iter().take(COPIES) {
            let (peers, acknowledged) = (self.0.peers.clone(), acknowledged.clone());
            let (key, origin) = (key.clone(), origin.clone());
            let request = PeerRequest::RecordStream { key, origin, expires };
            monoio::spawn(async move {
                let deadline = clock::now() + RECORD_TIMEOUT;
                match peers.call(&instance, request, deadline).await {
                    // Fails once another instance has acknowledged the record.
                    Ok(_) => drop(acknowledged.unbounded_send(())),
                    Err(error) => {
                        log::debug!("could not record a stream at {instance}: {}", error.name());
                    }
                }
            });
        }
        drop(acknowledged);
        self.keep(key, origin, expires);
        // Ends at once if no other instance is known.
        let _ = timeout(RECORD_WAIT_MAX, acknowledgements.next()).await;
    }

    /// Records at this instance alone where a stream began.
    pub fn keep(&self, key: StreamKey, origin: StreamOrigin, expires: Instant) {
        self.0.book.borrow_mut().record(key, origin, expires, clock::now());
    }

    /// What this instance knows about where a stream began, as the reply to another one.
    pub fn answer(&self, key: &StreamKey) -> PeerReply {
        match self.0.book.borrow().find(key, clock::now()) {
            RecordedOrigin::Unknown => PeerReply::Stream(None),
            RecordedOrigin::Known(origin) => PeerReply::Stream(Some(origin)),
            RecordedOrigin::Conflicting => PeerReply::Accepted,
        }
    }

    /// Where a stream began, according to this instance and others.
    pub async fn find(&self, key: &StreamKey) -> RecordedOrigin {
        let started = clock::now();
        let mut found = self.0.book.borrow().find(key, started);
        let asked = self.ranked_instances(key).into_iter().take(ASKED_INSTANCES);
        let mut answers: FuturesUnordered<_> = asked
            .map(|instance| async move {
                let request = PeerRequest::FindStream(key.clone());
                self.0.peers.call(&instance, request, started + FIND_TIMEOUT).await
            })
            .collect();
        while found != RecordedOrigin::Conflicting {
            let wait =
                if found == RecordedOrigin::Unknown { FIND_TIMEOUT } else { CONTRADICTION_WAIT };
            let Ok(Some(answer)) = timeout(wait, answers.next()).await else { break };
            found = found.join(stated_origin(answer));
        }
        found
    }

    /// The origins that streams may have.
    pub fn origins(&self) -> &OriginsHandle {
        &self.0.origins
    }

    /// The origin of every stream that began within the last `span`, if there is only one.
    ///
    /// # Errors
    ///
    /// Fails with the reason if no origin is certain.
    pub async fn sole_origin(&self, span: Duration) -> Result<StreamOrigin, UnknownOrigin> {
        let list = self.0.origins.confirm().await.ok_or(UnknownOrigin::Unconfirmed)?;
        let sole = list.sole_origin(span, SystemTime::now());
        sole.cloned().ok_or(UnknownOrigin::Several)
    }

    /// The other instances, in the order in which they hold the record of a stream.
    fn ranked_instances(&self, key: &StreamKey) -> Vec<InstanceId> {
        let group = stable_hash(key.stream.as_bytes()) % STREAM_GROUPS;
        let instances = self.0.instances.borrow();
        let ranked = instances.ranked(&format!("streams.{group}"));
        ranked.into_iter().filter(|id| **id != self.0.own).cloned().collect()
    }
}

/// What an instance that was asked about a stream knows.
fn stated_origin(answer: Result<PeerReply, PeerError>) -> RecordedOrigin {
    match answer {
        Ok(PeerReply::Stream(Some(origin))) => RecordedOrigin::Known(origin),
        Ok(PeerReply::Accepted) => RecordedOrigin::Conflicting,
        Ok(_) | Err(_) => RecordedOrigin::Unknown,
    }
}

/// Passes the live instances to a register until the membership task has ended.
pub async fn follow_instances(members: MembersHandle, streams: StreamRegister) {
    let mut changes = members.subscribe();
    while let Some(change) = changes.next().await {
        if let MemberChange::View(view) = change {
            *streams.0.instances.borrow_mut() = view.owners.clone();
        }
    }
}
