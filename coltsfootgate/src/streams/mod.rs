//! Remembers, together with other instances, which software version began each stream.

mod handover;
mod origins;
mod pages;
mod stored;
#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use futures_channel::mpsc::unbounded;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use monoio::time::{sleep, timeout};

use coltsfootgate_core::prelude::InstanceId;
use coltsfootgate_core::stream::{
    RecordCopy, RecordHolders, RecordNumber, RecordedOrigin, STREAM_GROUPS, StreamBook,
    StreamGroup, StreamKey, StreamOrigin, stream_group,
};
use coltsfootgate_wire::{PeerReply, PeerRequest};

use crate::clock;
use crate::members::{MemberChange, MembersHandle};
use crate::peer::{PeerError, PeerHandle};

use self::handover::DeliveryCount;
pub use self::origins::{OriginsHandle, OriginsTask};
pub use self::pages::{PageAnswer, PageReader, PageWriter, PagesHandle};

/// Multiple of a class's timeout within which a stream that is taken up again began.
const STREAM_AGE_FACTOR: u32 = 2;
/// Longest time for which the first event of a stream waits for its record.
const RECORD_WAIT_MAX: Duration = Duration::from_millis(30);
/// Time limit for the answer to a question about a stream.
const FIND_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time for which an answer that names an origin waits for others, which may contradict it.
const CONTRADICTION_WAIT: Duration = Duration::from_millis(50);

/// Pause before the question is asked again, of instances that could not be asked.
const FIND_PAUSE: Duration = Duration::from_millis(250);
/// Longest time for which a caller waits until all instances that may have a record can be asked.
const FIND_TIME_MAX: Duration = Duration::from_secs(1);

/// What the instances that answered know about where a stream began.
#[derive(Clone, Debug)]
pub struct FoundOrigin {
    /// What is recorded.
    pub origin: RecordedOrigin,
    /// Whether every other instance that may have a record has answered.
    pub is_final: bool,
}

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
    pages: PagesHandle,
    book: RefCell<StreamBook>,
    holders: RefCell<RecordHolders>,
    deliveries: DeliveryCount,
}

impl StreamRegister {
    /// Creates the register of an instance that knows no other one yet.
    pub fn new(
        own: InstanceId,
        peers: PeerHandle,
        origins: OriginsHandle,
        pages: PagesHandle,
    ) -> Self {
        let (book, holders) = (RefCell::default(), RefCell::default());
        let deliveries = DeliveryCount::default();
        Self(Rc::new(RegisterState { own, peers, origins, pages, book, holders, deliveries }))
    }

    /// Records where a stream began, here and at other instances; returns once one of them has the
    /// record, or after a short time.
    ///
    /// If this instance fails without one, the stream is not continued at any version.
    pub async fn record(&self, copy: RecordCopy) {
        self.keep(copy.clone());
        let (acknowledged, mut acknowledgements) = unbounded();
        monoio::spawn(self.clone().deliver_new(copy, acknowledged));
        // Ends at once if no other instance is known.
        let _ = timeout(RECORD_WAIT_MAX, acknowledgements.next()).await;
    }

    /// Records at this instance alone where a stream began; returns whether that was not recorded before.
    fn keep(&self, copy: RecordCopy) -> bool {
        self.0.book.borrow_mut().record(copy, clock::now())
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
    pub async fn find(&self, key: &StreamKey) -> FoundOrigin {
        let started = clock::now();
        let (asked, mut is_final) = {
            let holders = self.0.holders.borrow();
            (holders.candidates(stream_group(key), &self.0.own), holders.is_complete)
        };
        let mut origin = self.0.book.borrow().find(key, started);
        let mut answers: FuturesUnordered<_> = asked
            .into_iter()
            .map(|instance| async move {
                let request = PeerRequest::FindStream(key.clone());
                self.0.peers.call(&instance, request, started + FIND_TIMEOUT).await
            })
            .collect();
        while origin != RecordedOrigin::Conflicting {
            let wait =
                if origin == RecordedOrigin::Unknown { FIND_TIMEOUT } else { CONTRADICTION_WAIT };
            let Ok(Some(answer)) = timeout(wait, answers.next()).await else { break };
            is_final &= answer.is_ok();
            origin = origin.join(stated_origin(answer));
        }
        FoundOrigin { origin, is_final }
    }

    /// Asks again where a stream began, while some that may know could not be asked, until `give_up_at` at the latest.
    pub async fn find_later(&self, key: &StreamKey, give_up_at: Instant) -> RecordedOrigin {
        let give_up_at = give_up_at.min(clock::now() + FIND_TIME_MAX);
        while clock::now() + FIND_PAUSE < give_up_at {
            sleep(FIND_PAUSE).await;
            let found = self.find(key).await;
            if found.is_final || found.origin != RecordedOrigin::Unknown {
                return found.origin;
            }
        }
        RecordedOrigin::Unknown
    }

    /// The origins that streams may have.
    pub fn origins(&self) -> &OriginsHandle {
        &self.0.origins
    }

    /// The stored pages that name where recent streams began.
    pub fn pages(&self) -> &PagesHandle {
        &self.0.pages
    }

    /// The groups of streams for whose records this instance comes first.
    fn first_groups(&self) -> Vec<StreamGroup> {
        let holders = self.0.holders.borrow();
        (0..STREAM_GROUPS).filter(|group| holders.is_first(*group, &self.0.own)).collect()
    }

    /// Copies of the records of some groups that were made after the one with this number, and the number of the last.
    fn copies_since(
        &self,
        groups: &[StreamGroup],
        after: RecordNumber,
    ) -> (Vec<RecordCopy>, RecordNumber) {
        let book = self.0.book.borrow();
        (book.copies_since(groups, after, clock::now()), book.last_number())
    }

    /// The origin of every stream of a class with this timeout that can be taken up now, if there is only one.
    ///
    /// # Errors
    ///
    /// Fails with the reason if no origin is certain.
    pub async fn sole_origin(&self, timeout: Duration) -> Result<StreamOrigin, UnknownOrigin> {
        let list = self.0.origins.confirm().await.ok_or(UnknownOrigin::Unconfirmed)?;
        let sole = list.sole_origin(stream_span(timeout), SystemTime::now());
        sole.cloned().ok_or(UnknownOrigin::Several)
    }
}

/// Time within which the streams of a class with this timeout began that are taken up again now.
fn stream_span(timeout: Duration) -> Duration {
    timeout * STREAM_AGE_FACTOR
}

/// What an instance that was asked about a stream knows.
fn stated_origin(answer: Result<PeerReply, PeerError>) -> RecordedOrigin {
    match answer {
        Ok(PeerReply::Stream(Some(origin))) => RecordedOrigin::Known(origin),
        Ok(PeerReply::Accepted) => RecordedOrigin::Conflicting,
        Ok(_) | Err(_) => RecordedOrigin::Unknown,
    }
}

/// Follows the live and leaving instances for a register until the membership task has ended.
pub async fn follow_instances(members: MembersHandle, streams: StreamRegister) {
    let mut changes = members.subscribe();
    while let Some(change) = changes.next().await {
        match change {
            MemberChange::View(view) => {
                let (live, leaving) = (view.live.clone(), view.leaving.clone());
                let is_complete = view.is_complete;
                streams.set_holders(RecordHolders { live, leaving, is_complete });
            }
            MemberChange::Restarted(instance) => streams.restore(&instance),
            MemberChange::Lost(_) | MemberChange::Pressure(..) => {}
        }
    }
}
