//! Records which software version began each stream, so that no other version continues it.

mod holders;
mod page;
mod page_book;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::ids::{CustomerId, PoolId, SoftwareVersion};

pub use self::holders::{KEEPERS, RecordHolders, STREAM_GROUPS, StreamGroup, stream_group};
pub use self::page::{
    DIGEST_BYTES, PAGE_STREAMS_MAX, PageEntry, PageTime, StreamDigest, StreamPage,
};
pub use self::page_book::{PageBook, PageRevision, PageWrite};

/// Maximum number of records; beyond it, those that expire first are dropped.
const RECORDS_MAX: usize = 20_000;
/// How long a record is kept beyond the deadline of the stream's caller.
const RECORD_MARGIN: Duration = Duration::from_secs(5);
/// Longest time for which a record is kept.
const RECORD_LIFETIME_MAX: Duration = Duration::from_secs(600);
/// Maximum length of a stream's id, in bytes.
const STREAM_ID_BYTES_MAX: usize = 128;

/// How long the record of a stream is kept, counted from the arrival of its first request.
///
/// The timeout of the class may end that request long before the caller stops trying.
pub fn record_lifetime(caller_deadline: Duration, timeout: Duration) -> Duration {
    (caller_deadline.max(timeout) + RECORD_MARGIN).min(RECORD_LIFETIME_MAX)
}

/// Where in a stream its caller is.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum StreamPosition {
    /// No event was forwarded.
    #[default]
    Start,
    /// The event with this id was forwarded last.
    After(Arc<str>),
    /// Events were forwarded, and nothing tells an endpoint after which one to go on.
    Unknown,
}

impl StreamPosition {
    /// The id after which an endpoint goes on; `None` if there is none.
    pub fn last_event(&self) -> Option<&str> {
        match self {
            Self::After(id) => Some(id),
            Self::Start | Self::Unknown => None,
        }
    }
}

/// Identifies a stream: its customer, and the id that the caller assigned to the request that brought
/// the first event.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StreamKey {
    /// The customer; the ids of different customers are independent.
    pub customer: CustomerId,
    /// The caller's id of the request.
    pub stream: Arc<str>,
}

impl StreamKey {
    /// Creates the key of a stream; `None` if its id is too long to be kept.
    pub fn new(customer: CustomerId, stream: &str) -> Option<Self> {
        let is_kept = !stream.is_empty() && stream.len() <= STREAM_ID_BYTES_MAX;
        is_kept.then(|| Self { customer, stream: stream.into() })
    }
}

/// Where a stream began.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StreamOrigin {
    /// The pool of the endpoint.
    pub pool: PoolId,
    /// The version of the endpoint's software; `None` if the endpoint states none.
    pub version: Option<SoftwareVersion>,
}

/// What is recorded about where a stream began.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum RecordedOrigin {
    /// Nothing is recorded.
    #[default]
    Unknown,
    /// The stream began here.
    Known(StreamOrigin),
    /// Streams with the same key began at different origins, and cannot be told apart.
    Conflicting,
}

impl RecordedOrigin {
    /// The origin, if it is known.
    pub fn known(self) -> Option<StreamOrigin> {
        match self {
            Self::Known(origin) => Some(origin),
            Self::Unknown | Self::Conflicting => None,
        }
    }

    /// What is recorded at two instances together.
    pub fn join(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unknown, known) | (known, Self::Unknown) => known,
            (Self::Known(one), Self::Known(other)) if one == other => Self::Known(one),
            _ => Self::Conflicting,
        }
    }
}

/// The origin of a stream, as one instance tells another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordCopy {
    /// The stream.
    pub key: StreamKey,
    /// Where it began.
    pub origin: StreamOrigin,
    /// When the record expires.
    pub expires: Instant,
}

#[derive(Clone, Debug)]
struct StreamRecord {
    origin: StreamOrigin,
    /// Another origin, if streams with the same key began at several.
    contradiction: Option<StreamOrigin>,
    expires: Instant,
    /// Distinguishes records that expire at the same time.
    number: RecordNumber,
}

impl StreamRecord {
    /// Adds an origin; returns whether it was not recorded.
    fn add(&mut self, origin: StreamOrigin) -> bool {
        if origin == self.origin || self.contradiction.is_some() {
            return false;
        }
        self.contradiction = Some(origin);
        true
    }

    fn origins(&self) -> impl Iterator<Item = &StreamOrigin> {
        std::iter::once(&self.origin).chain(&self.contradiction)
    }
}

/// Numbers the records of an instance in the order in which they were made or changed, from 1.
pub type RecordNumber = u64;

/// The origins of recent streams.
#[derive(Clone, Debug, Default)]
pub struct StreamBook {
    records: HashMap<StreamKey, StreamRecord>,
    /// The keys of all records in the order in which they expire.
    expiries: BTreeMap<(Instant, RecordNumber), StreamKey>,
    records_made: RecordNumber,
}

impl StreamBook {
    /// Records the origin of a stream; returns whether it was not recorded before.
    ///
    /// If another origin is already recorded under the key, the two streams cannot be told apart, and
    /// neither origin is returned any more.
    pub fn record(&mut self, copy: RecordCopy, now: Instant) -> bool {
        let RecordCopy { key, origin, expires } = copy;
        self.remove_expired(now);
        self.records_made += 1;
        let number = self.records_made;
        let mut is_new = true;
        let record = match self.records.remove(&key) {
            Some(mut known) => {
                self.expiries.remove(&(known.expires, known.number));
                is_new = known.add(origin);
                StreamRecord { expires: known.expires.max(expires), number, ..known }
            }
            None => StreamRecord { origin, contradiction: None, expires, number },
        };
        self.expiries.insert((record.expires, number), key.clone());
        self.records.insert(key, record);
        if self.records.len() > RECORDS_MAX {
            self.remove_first();
        }
        is_new
    }

    /// What is recorded about the origin of a stream.
    pub fn find(&self, key: &StreamKey, now: Instant) -> RecordedOrigin {
        let record = self.records.get(key).filter(|record| now < record.expires);
        match record {
            None => RecordedOrigin::Unknown,
            Some(StreamRecord { contradiction: Some(_), .. }) => RecordedOrigin::Conflicting,
            Some(record) => RecordedOrigin::Known(record.origin.clone()),
        }
    }

    /// Copies of the records of some groups; two of a stream with several origins, which is then unknown at
    /// their receiver too.
    pub fn copies(&self, groups: &[StreamGroup], now: Instant) -> Vec<RecordCopy> {
        self.copies_since(groups, 0, now)
    }

    /// Copies of the records of some groups that were made after another one, which has this number.
    pub fn copies_since(
        &self,
        groups: &[StreamGroup],
        after: RecordNumber,
        now: Instant,
    ) -> Vec<RecordCopy> {
        let is_copied = |(key, record): &(&StreamKey, &StreamRecord)| {
            after < record.number && now < record.expires && groups.contains(&stream_group(key))
        };
        let copied = self.records.iter().filter(is_copied);
        let copies = copied.flat_map(|(key, record)| {
            record.origins().map(|origin| {
                let (key, origin) = (key.clone(), origin.clone());
                RecordCopy { key, origin, expires: record.expires }
            })
        });
        copies.collect()
    }

    /// The number of the record that was made last.
    pub fn last_number(&self) -> RecordNumber {
        self.records_made
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn remove_expired(&mut self, now: Instant) {
        while self.expiries.first_key_value().is_some_and(|((expires, _), _)| *expires <= now) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, key)) = self.expiries.pop_first() {
            self.records.remove(&key);
        }
    }
}
