//! Pages outside the instances that name where recent streams began, for the loss of all instances that knew it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime};

use sha2::{Digest, Sha256};

use super::{RecordCopy, RecordedOrigin, StreamKey, StreamOrigin};

/// Length of the digest of a stream's key, in bytes.
pub const DIGEST_BYTES: usize = 10;
/// Maximum number of streams on a page; beyond it, those that expire first are dropped.
pub const PAGE_STREAMS_MAX: usize = 20_000;

/// Identifies a stream on a page.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StreamDigest(pub [u8; DIGEST_BYTES]);

impl From<&StreamKey> for StreamDigest {
    fn from(key: &StreamKey) -> Self {
        let mut hasher = Sha256::new();
        hasher.update((key.customer.len() as u64).to_be_bytes());
        hasher.update(key.customer.as_bytes());
        hasher.update(key.stream.as_bytes());
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hasher.finalize()[..DIGEST_BYTES]);
        Self(digest)
    }
}

/// What a page says of one stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PageEntry {
    /// Where the stream began; `None` if streams with this digest began at several origins.
    pub origin: Option<StreamOrigin>,
    /// When the entry expires.
    pub expires: SystemTime,
}

/// Where the recent streams of a group began. What a page says of a stream is true for ever: streams may be missing,
/// but no stream changes its origin, so that pages can be joined in any order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StreamPage {
    entries: BTreeMap<StreamDigest, PageEntry>,
}

impl StreamPage {
    /// All streams with what the page says of them.
    pub fn entries(&self) -> impl ExactSizeIterator<Item = (&StreamDigest, &PageEntry)> {
        self.entries.iter()
    }

    /// Number of streams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no stream is on the page.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What the page says of a stream.
    pub fn find(&self, key: &StreamKey) -> RecordedOrigin {
        match self.entries.get(&StreamDigest::from(key)) {
            None => RecordedOrigin::Unknown,
            Some(PageEntry { origin: None, .. }) => RecordedOrigin::Conflicting,
            Some(PageEntry { origin: Some(origin), .. }) => RecordedOrigin::Known(origin.clone()),
        }
    }

    /// Adds an entry; returns whether the page then says something that it did not say before. Streams with the same
    /// digest and different origins can't be told apart, and neither origin is returned any more.
    pub fn add(&mut self, digest: StreamDigest, entry: PageEntry) -> bool {
        let Some(known) = self.entries.get_mut(&digest) else {
            self.entries.insert(digest, entry);
            return true;
        };
        known.expires = known.expires.max(entry.expires);
        let is_contradiction = known.origin.is_some() && known.origin != entry.origin;
        if is_contradiction {
            known.origin = None;
        }
        is_contradiction
    }

    /// Adds the record of a stream, see [`add`](Self::add).
    pub fn add_record(&mut self, copy: &RecordCopy, now: PageTime) -> bool {
        let entry = PageEntry { origin: Some(copy.origin.clone()), expires: now.at(copy.expires) };
        self.add(StreamDigest::from(&copy.key), entry)
    }

    /// Adds all entries of another page; returns whether that one lacked some of this one's.
    pub fn join(&mut self, other: Self) -> bool {
        let is_missing = |(digest, entry): (&StreamDigest, &PageEntry)| {
            let known = other.entries.get(digest);
            known.is_none_or(|known| known.origin.is_some() && known.origin != entry.origin)
        };
        let has_more = self.entries.iter().any(is_missing);
        for (digest, entry) in other.entries {
            self.add(digest, entry);
        }
        has_more
    }

    /// Removes what has expired, and what is too much.
    pub fn remove_expired(&mut self, now: SystemTime) {
        self.entries.retain(|_, entry| entry.expires > now);
        if self.entries.len() <= PAGE_STREAMS_MAX {
            return;
        }
        let mut expiries: Vec<_> = self.entries.values().map(|entry| entry.expires).collect();
        expiries.sort_unstable();
        let first_kept = expiries[self.entries.len() - PAGE_STREAMS_MAX];
        self.entries.retain(|_, entry| entry.expires >= first_kept);
    }
}

impl FromIterator<(StreamDigest, PageEntry)> for StreamPage {
    fn from_iter<I: IntoIterator<Item = (StreamDigest, PageEntry)>>(entries: I) -> Self {
        let mut page = Self::default();
        for (digest, entry) in entries {
            page.add(digest, entry);
        }
        page
    }
}

/// The same moment on the clock of this process and on that of the day, which other instances read too.
#[derive(Clone, Copy, Debug)]
pub struct PageTime {
    /// The moment on the clock of this process.
    pub now: Instant,
    /// The moment on the clock of the day.
    pub wall: SystemTime,
}

impl PageTime {
    fn at(self, moment: Instant) -> SystemTime {
        let left: Duration = moment.saturating_duration_since(self.now);
        self.wall + left
    }
}
