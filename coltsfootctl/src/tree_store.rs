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

/// Maximum number of concurrent calls, and number of initial calls that are not paced.
const PARALLEL_CALLS: usize = 16;
/// Interval at which paced reads start, which leaves most of the store's capacity to instances.
const READ_INTERVAL: Duration = Duration::from_millis(2);
/// Interval at which paced writes start.
const WRITE_INTERVAL: Duration = Duration::from_millis(10);

/// The head with its revision, which a swap needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredHead {
    /// The revision of the value.
    pub revision: ValueRevision,
    /// The head.
    pub head: HeadObject,
}

/// Limits the rate of a long series of calls.
#[derive(Clone, Copy, Debug)]
struct CallPacer {
    start: Instant,
    interval: Duration,
}

impl CallPacer {
    fn new(interval: Duration) -> Self {
        Self { start: Instant::now(), interval }
    }

    /// Waits until a call may start; `position` is its index in the series, from 0.
    async fn wait(self, position: usize) {
        let paced_calls = position.saturating_sub(PARALLEL_CALLS);
        let offset = self.interval * u32::try_from(paced_calls).unwrap_or(u32::MAX);
        let delay = offset.saturating_sub(self.start.elapsed());
        if !delay.is_zero() {
            monoio::time::sleep(delay).await;
        }
    }
}

/// Access to the versioned trees in the platform's store.
#[derive(Clone, Copy, Debug)]
pub struct TreeStore<P> {
    platform: P,
}

impl<P: PlatformStore> TreeStore<P> {
    /// Wraps a platform's store.
    pub fn new(platform: P) -> Self {
        Self { platform }
    }

    /// Reads the current head; `None` if no tree has been stored.
    pub async fn head(&self) -> ToolResult<Option<StoredHead>> {
        let Some(value) = self.platform.read(HEAD_KEY).await.map_err(platform_error)? else {
            return Ok(None);
        };
        let head = HeadObject::from_bytes(&value.value).map_err(|e| corrupt_value(HEAD_KEY, e))?;
        Ok(Some(StoredHead { revision: value.revision, head }))
    }

    /// Reads the head of a version, current or past; `None` if the version does not exist.
    pub async fn head_of_version(&self, version: ConfigVersion) -> ToolResult<Option<HeadObject>> {
        if let Some(stored) = self.head().await?
            && stored.head.version == version
        {
            return Ok(Some(stored.head));
        }
        self.past_head(version).await
    }

    /// Reads the head of a past version from the history; `None` if it has no entry.
    pub async fn past_head(&self, version: ConfigVersion) -> ToolResult<Option<HeadObject>> {
        let key = history_key(version);
        let Some(value) = self.platform.read(&key).await.map_err(platform_error)? else {
            return Ok(None);
        };
        HeadObject::from_bytes(&value.value).map(Some).map_err(|error| corrupt_value(&key, error))
    }

    /// Reads the tree that a head refers to.
    pub async fn read_parts(&self, head: &HeadObject) -> ToolResult<TreeParts> {
        let key = root_key(&head.root);
        let bytes = self.read_content(&key, &head.root).await?;
        if let Some(tree) = self.platform.whole_tree(&bytes).await {
            let tree = tree.map_err(|errors| corrupt_value(&key, errors))?;
            return Ok(TreeParts::of_document(tree.document()));
        }
        let root = RootObject::from_bytes(&bytes).map_err(|error| corrupt_value(&key, error))?;
        let digests = root.branches.iter().map(|entry| entry.digest.clone());
        let pacer = CallPacer::new(READ_INTERVAL);
        let texts: HashMap<ContentDigest, Arc<str>> = stream::iter(digests.enumerate())
            .map(|(position, digest)| async move {
                pacer.wait(position).await;
                self.read_branch_text(digest).await
            })
            .buffer_unordered(PARALLEL_CALLS)
            .try_collect()
            .await?;
        TreeParts::assemble(&root, |digest| texts.get(digest).cloned())
            .map_err(|error| corrupt_value(&key, error))
    }

    /// Writes the branch texts and the root object, and returns the digest of the root.
    ///
    /// Texts that `stored` contains are already stored and are not written again. The tree in force
    /// does not change until the head is swapped.
    pub async fn write_parts(
        &self,
        parts: &TreeParts,
        stored: Option<&TreeParts>,
    ) -> ToolResult<ContentDigest> {
        let is_stored = |digest: &ContentDigest| {
            stored.is_some_and(|stored| stored.iter().any(|part| part.digest == *digest))
        };
        let missing = parts.iter().filter(|part| !is_stored(&part.digest));
        let pacer = CallPacer::new(WRITE_INTERVAL);
        stream::iter(missing.enumerate())
            .map(|(position, part)| async move {
                pacer.wait(position).await;
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

    /// Adds a head to the history, which must happen before it is replaced.
    pub async fn keep_in_history(&self, head: &HeadObject) -> ToolResult<()> {
        self.create(history_key(head.version), &head.to_bytes()).await
    }

    /// Replaces the head if its revision is still `revision`.
    pub async fn swap_head(
        &self,
        revision: ValueRevision,
        head: &HeadObject,
    ) -> Result<SwapResult, PlatformError> {
        self.platform.swap(HEAD_KEY, revision, head.to_bytes().into()).await
    }

    /// Creates an immutable value; a value that already exists under the key is identical.
    async fn create(&self, key: String, bytes: &[u8]) -> ToolResult<()> {
        let write = || self.platform.swap(&key, 0, Bytes::copy_from_slice(bytes));
        // If the first write succeeded but its response was lost, the second one conflicts, which
        // is not an error.
        let result = match write().await {
            Err(error) if error.may_have_written() => write().await,
            result => result,
        };
        result.map(drop).map_err(platform_error)
    }

    async fn read_branch_text(
        &self,
        digest: ContentDigest,
    ) -> ToolResult<(ContentDigest, Arc<str>)> {
        let key = branch_key(&digest);
        let bytes = self.read_content(&key, &digest).await?;
        let text = std::str::from_utf8(&bytes).map_err(|error| corrupt_value(&key, error))?;
        Ok((digest, text.into()))
    }

    async fn read_content(&self, key: &str, digest: &ContentDigest) -> ToolResult<Bytes> {
        let value = self.platform.read(key).await.map_err(platform_error)?;
        let Some(value) = value else {
            return Err(corrupt_value(key, "the value is missing"));
        };
        if content_digest(&value.value) != *digest {
            return Err(corrupt_value(key, "the value does not match the digest in its key"));
        }
        Ok(value.value)
    }
}

/// Wraps an error of a platform call in a report.
pub fn platform_error(error: PlatformError) -> Report<ToolError> {
    Report::new(ToolError::Platform(error))
}

fn corrupt_value(key: &str, cause: impl std::fmt::Display) -> Report<ToolError> {
    Report::new(ToolError::CorruptValue { key: key.into(), cause: cause.to_string() })
}
