//! Records which software version began each stream, so that no other version continues it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::ids::{CustomerId, PoolId, SoftwareVersion};

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

#[derive(Clone, Debug)]
struct StreamRecord {
    origin: RecordedOrigin,
    expires: Instant,
    /// Distinguishes records that expire at the same time.
    number: u64,
}

/// The origins of recent streams.
#[derive(Clone, Debug, Default)]
pub struct StreamBook {
    records: HashMap<StreamKey, StreamRecord>,
    /// The keys of all records in the order in which they expire.
    expiries: BTreeMap<(Instant, u64), StreamKey>,
    records_made: u64,
}

impl StreamBook {
    /// Records the origin of a stream until the given time.
    ///
    /// If another origin is already recorded under the key, the two streams cannot be told apart, and
    /// neither origin is returned any more.
    pub fn record(&mut self, key: StreamKey, origin: StreamOrigin, expires: Instant, now: Instant) {
        self.remove_expired(now);
        self.records_made += 1;
        let origin = RecordedOrigin::Known(origin);
        let mut record = StreamRecord { origin, expires, number: self.records_made };
        if let Some(known) = self.records.get(&key) {
            record.expires = record.expires.max(known.expires);
            record.origin = record.origin.join(known.origin.clone());
            self.expiries.remove(&(known.expires, known.number));
        }
        self.expiries.insert((record.expires, record.number), key.clone());
        self.records.insert(key, record);
        if self.records.len() > RECORDS_MAX {
            self.remove_first();
        }
    }

    /// What is recorded about the origin of a stream.
    pub fn find(&self, key: &StreamKey, now: Instant) -> RecordedOrigin {
        let record = self.records.get(key).filter(|record| now < record.expires);
        record.map_or(RecordedOrigin::Unknown, |record| record.origin.clone())
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
