//! Reads and writes trees in the platform's store.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use coltsfootgate::platform::{PlatformError, PlatformStore, SwapResult, ValueRevision};
use coltsfootgate_config::{
    ContentDigest, HEAD_KEY, HeadObject, RootObject, TreeParts, branch_key, content_digest,
    history_key, root_key,
};
use coltsfootgate_core::ids::ConfigVersion;
use error_stack::Report;
use futures_util::{StreamExt, TryStreamExt, stream};

use crate::error::{ToolError, ToolResult};

/// How many calls of the store are made at once, and before they are paced.
const PARALLEL_CALLS: usize = 16;
/// Least time between two reads of many, so that instances keep most of what the store can take.
const READ_INTERVAL: Duration = Duration::from_millis(2);
/// Least time between two writes of many.
const WRITE_INTERVAL: Duration = Duration::from_millis(10);

/// The head with the revision that a swap needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredHead {
    /// The revision of the value.
    pub revision: ValueRevision,
    /// The head.
    pub head: HeadObject,
}

/// Spreads many calls over time.
#[derive(Clone, Copy, Debug)]
struct CallPace {
    start: Instant,
    interval: Duration,
}

impl CallPace {
    fn new(interval: Duration) -> Self {
        Self { start: Instant::now(), interval }
    }

    /// Waits until the turn of a call, counted from 0.
    async fn wait(self, position: usize) {
        let paced = position.saturating_sub(PARALLEL_CALLS);
        let turn = self.interval * u32::try_from(paced).unwrap_or(u32::MAX);
        let early = turn.saturating_sub(self.start.elapsed());
        if !early.is_zero() {
            monoio::time::sleep(early).await;
        }
    }
}

/// The trees in the platform's store.
#[derive(Clone, Copy, Debug)]
pub struct TreeStore<P> {
    platform: P,
}

impl<P: PlatformStore> TreeStore<P> {
    /// The trees that a platform keeps.
    pub fn new(platform: P) -> Self {
        Self { platform }
    }

    /// The present head; `None` before the first tree.
    pub async fn head(&self) -> ToolResult<Option<StoredHead>> {
        let Some(value) = self.platform.read(HEAD_KEY).await.map_err(platform_error)? else {
            return Ok(None);
        };
        let head = HeadObject::from_bytes(&value.value).map_err(|e| corrupt_value(HEAD_KEY, e))?;
        Ok(Some(StoredHead { revision: value.revision, head }))
    }

    /// The head of a version, present or past; `None` if there is none.
    pub async fn head_of(&self, version: ConfigVersion) -> ToolResult<Option<HeadObject>> {
        if let Some(stored) = self.head().await?
            && stored.head.version == version
        {
            return Ok(Some(stored.head));
        }
        self.past_head(version).await
    }

    /// The head that the history keeps for a version.
    pub async fn past_head(&self, version: ConfigVersion) -> ToolResult<Option<HeadObject>> {
        let key = history_key(version);
        let Some(value) = self.platform.read(&key).await.map_err(platform_error)? else {
            return Ok(None);
        };
        HeadObject::from_bytes(&value.value).map(Some).map_err(|error| corrupt_value(&key, error))
    }

    /// The tree that a head names.
    pub async fn parts(&self, head: &HeadObject) -> ToolResult<TreeParts> {
        let key = root_key(&head.root);
        let bytes = self.content(&key, &head.root).await?;
        let root = RootObject::from_bytes(&bytes).map_err(|error| corrupt_value(&key, error))?;
        let digests = root.branches.iter().map(|entry| entry.digest.clone());
        let pace = CallPace::new(READ_INTERVAL);
        let texts: HashMap<ContentDigest, Arc<str>> = stream::iter(digests.enumerate())
            .map(|(position, digest)| async move {
                pace.wait(position).await;
                self.branch_text(digest).await
            })
            .buffer_unordered(PARALLEL_CALLS)
            .try_collect()
            .await?;
        TreeParts::assemble(&root, |digest| texts.get(digest).cloned())
            .map_err(|error| corrupt_value(&key, error))
    }

    /// Writes branches and root, which changes nothing that is in force.
    pub async fn write_parts(
        &self,
        parts: &TreeParts,
        known: Option<&TreeParts>,
    ) -> ToolResult<ContentDigest> {
        let is_known = |digest: &ContentDigest| {
            known.is_some_and(|known| known.iter().any(|part| part.digest == *digest))
        };
        let missing = parts.iter().filter(|part| !is_known(&part.digest));
        let pace = CallPace::new(WRITE_INTERVAL);
        stream::iter(missing.enumerate())
            .map(|(position, part)| async move {
                pace.wait(position).await;
                self.create(branch_key(&part.digest), part.text.as_bytes()).await
            })
            .buffer_unordered(PARALLEL_CALLS)
            .try_collect::<()>()
            .await?;
        let root = parts.root();
        let digest = root.digest();
        self.create(root_key(&digest), &root.to_bytes()).await?;
        Ok(digest)
    }

    /// Keeps a head in the history, before another one takes its place.
    pub async fn keep_in_history(&self, head: &HeadObject) -> ToolResult<()> {
        self.create(history_key(head.version), &head.to_bytes()).await
    }

    /// Swaps the head.
    pub async fn swap_head(
        &self,
        revision: ValueRevision,
        head: &HeadObject,
    ) -> Result<SwapResult, PlatformError> {
        self.platform.swap(HEAD_KEY, revision, head.to_bytes().into()).await
    }

    /// Creates a value that never changes; one that is there already is the same.
    async fn create(&self, key: String, bytes: &[u8]) -> ToolResult<()> {
        let write = || self.platform.swap(&key, 0, Bytes::copy_from_slice(bytes));
        // A repeat after a lost answer finds the value in place.
        let result = match write().await {
            Err(error) if error.may_have_written() => write().await,
            result => result,
        };
        result.map(drop).map_err(platform_error)
    }

    async fn branch_text(&self, digest: ContentDigest) -> ToolResult<(ContentDigest, Arc<str>)> {
        let key = branch_key(&digest);
        let bytes = self.content(&key, &digest).await?;
        let text = std::str::from_utf8(&bytes).map_err(|error| corrupt_value(&key, error))?;
        Ok((digest, text.into()))
    }

    async fn content(&self, key: &str, digest: &ContentDigest) -> ToolResult<Bytes> {
        let value = self.platform.read(key).await.map_err(platform_error)?;
        let Some(value) = value else {
            return Err(corrupt_value(key, "it is missing"));
        };
        if content_digest(&value.value) != *digest {
            return Err(corrupt_value(key, "it does not have the digest that names it"));
        }
        Ok(value.value)
    }
}

/// Wraps an error of a call to the platform.
pub fn platform_error(error: PlatformError) -> Report<ToolError> {
    Report::new(ToolError::Platform(error))
}

fn corrupt_value(key: &str, cause: impl std::fmt::Display) -> Report<ToolError> {
    Report::new(ToolError::CorruptValue { key: key.into(), cause: cause.to_string() })
}
