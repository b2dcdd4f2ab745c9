//! Watches the head of the settings tree in the platform's store.

use std::time::Duration;

use log::{info, warn};
use rand::Rng;

use coltsfootgate_config::HEAD_KEY;
use coltsfootgate_core::freshness::VersionProof;
use coltsfootgate_core::head::{HeadEvent, HeadSource, TreeHead};

use coltsfootgate_core::ids::ConfigVersion;

use super::TreeHandle;
use crate::clock;
use crate::feed::FeedHandle;
use crate::platform::{PlatformError, PlatformStore, StoredValue, ValueRevision, WatchResult};

/// Number of watches after which the head is read again, in case a watch missed a change.
const WATCHES_PER_READ: u32 = 10;
/// Minimum backoff after an error.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
/// Maximum backoff after an error.
const BACKOFF_MAX: Duration = Duration::from_millis(500);

/// Follows the head and reports each response of the store as an event.
pub(super) struct HeadWatch<S> {
    store: S,
    tree: TreeHandle,
    /// Passes on what this instance reads, and what others read.
    feed: Option<FeedHandle>,
    /// How long the store may hold a watch. Together with the timeout of a call, it bounds the time
    /// until a watch that no longer responds is detected.
    wait: Duration,
    revision: ValueRevision,
    /// The highest version that the store ever returned.
    version: ConfigVersion,
    /// Whether the store has that version, as far as it said last. One that came back from an older copy may have an
    /// earlier one or none, and then confirms nothing.
    has_version: bool,
    failures: u32,
}

impl<S: PlatformStore> HeadWatch<S> {
    pub(super) fn new(
        store: S,
        tree: TreeHandle,
        feed: Option<FeedHandle>,
        wait: Duration,
    ) -> Self {
        Self { store, tree, feed, wait, revision: 0, version: 0, has_version: false, failures: 0 }
    }

    /// Runs until the receiver of the events is dropped.
    pub(super) async fn run(mut self) {
        loop {
            let result = self.read_and_watch().await;
            let Err(error) = result else { continue };
            if !self.report_failure(&error) {
                return;
            }
            monoio::time::sleep(self.backoff()).await;
        }
    }

    /// Reads the head once, and then follows another instance or watches the head itself, [`WATCHES_PER_READ`] times.
    async fn read_and_watch(&mut self) -> Result<(), PlatformError> {
        let sent = clock::boot_time();
        let value = self.store.read(HEAD_KEY).await?;
        self.report(value)?;
        self.record_proof(sent);
        let mut watches = 0;
        while watches < WATCHES_PER_READ {
            if self.follow().await? {
                continue;
            }
            watches += 1;
            let wait = self.feed.as_ref().map_or(self.wait, |feed| feed.watch_wait(self.wait));
            let sent = clock::boot_time();
            match self.store.watch(HEAD_KEY, self.revision, wait).await? {
                WatchResult::Read(value) => self.report(value)?,
                WatchResult::Unchanged => (),
            }
            self.record_proof(sent);
            if !self.has_version {
                // A store may respond to a watch of a missing value at once, so this avoids a busy
                // loop.
                monoio::time::sleep(BACKOFF_MIN).await;
            }
        }
        Ok(())
    }

    /// Follows an instance that watches the head; `false` if this one is to watch it itself. A newer version is read
    /// from the store at once.
    async fn follow(&mut self) -> Result<bool, PlatformError> {
        let Some(feed) = &self.feed else { return Ok(false) };
        let Some(proof) = feed.follow_head(self.version).await else { return Ok(false) };
        if proof.version > self.version {
            let sent = clock::boot_time();
            let value = self.store.read(HEAD_KEY).await?;
            self.report(value)?;
            self.record_proof(sent);
            if self.version < proof.version {
                // A store that came back from an older copy does not have it yet: avoids a busy loop.
                monoio::time::sleep(BACKOFF_MIN).await;
            }
        } else {
            self.tree.record_proof(proof);
        }
        Ok(true)
    }

    fn report(&mut self, value: Option<StoredValue>) -> Result<(), PlatformError> {
        if self.failures > 0 {
            info!("the store answers again");
            self.failures = 0;
        }
        let head = match &value {
            Some(stored) => Some(parse_head(stored)?),
            None => None,
        };
        let version = head.as_ref().map_or(0, |head| head.version);
        self.set_stored(version);
        // A replica that lags may return a lower revision, and a watch after a lower revision would
        // return at once.
        self.revision = self.revision.max(value.map_or(0, |stored| stored.revision));
        self.send(HeadEvent::Answered(HeadSource::Store, head));
        Ok(())
    }

    /// Records which version the store has, 0 if none.
    fn set_stored(&mut self, version: ConfigVersion) {
        let had_version = self.has_version;
        self.has_version = version > 0 && version >= self.version;
        if had_version && !self.has_version {
            let known = self.version;
            warn!(
                "the store has version {version} after {known}, so it does not confirm the settings"
            );
        } else if !had_version && self.has_version && self.version > 0 {
            info!("the store has version {version} and confirms the settings again");
        }
        self.version = self.version.max(version);
    }

    /// Records that the version last read was the newest one when the call that returned it was
    /// sent, unless the store lacks that version.
    fn record_proof(&self, sent: Duration) {
        if !self.has_version {
            return;
        }
        let proof = VersionProof { version: self.version, at: sent };
        self.tree.record_proof(proof);
        if let Some(feed) = &self.feed {
            feed.publish_head(proof);
        }
    }

    /// Reports that a call to the store failed; `false` if the receiver of the events was dropped.
    fn report_failure(&mut self, error: &PlatformError) -> bool {
        if self.failures == 0 {
            warn!("could not follow the head in the store: {error}");
        }
        self.failures += 1;
        self.send(HeadEvent::Unanswered(HeadSource::Store))
    }

    fn send(&self, event: HeadEvent) -> bool {
        self.tree.0.events.unbounded_send(event).is_ok()
    }

    /// The backoff after the last failure: it doubles with each failure up to [`BACKOFF_MAX`], and
    /// jitter reduces it by up to half.
    fn backoff(&self) -> Duration {
        let backoff_max = BACKOFF_MIN.saturating_mul(1 << self.failures.min(4)).min(BACKOFF_MAX);
        backoff_max.mul_f64(rand::rng().random_range(0.5..1.0))
    }
}

/// Parses a stored head.
pub(super) fn parse_head(stored: &StoredValue) -> Result<TreeHead, PlatformError> {
    serde_json::from_slice(&stored.value)
        .map_err(|error| PlatformError::Malformed(format!("head: {error}").into()))
}
