//! Commits a changed tree to the store, by a compare-and-swap of the head.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use coltsfootgate::platform::{PlatformStore, SwapResult};
use coltsfootgate_config::{HeadObject, TreeParts, merge};
use coltsfootgate_core::ids::ConfigVersion;
use error_stack::Report;
use uuid::Uuid;

use crate::error::{ToolError, ToolResult};
use crate::tree_store::{StoredHead, TreeStore};

/// Maximum number of swaps, each on top of the head read before it.
const SWAP_ATTEMPTS: u32 = 16;
/// Maximum number of checks for the outcome of a swap whose response was lost.
const CONFIRM_ATTEMPTS: u32 = 10;
/// Pause between two checks, and after a conflict, since the store may serve an outdated head.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// A change that an operator made to one version of the tree.
#[derive(Clone, Debug)]
pub struct TreeChange {
    /// The version that the change is based on; 0 if there was no tree.
    pub base_version: ConfigVersion,
    /// The tree of that version.
    pub base: TreeParts,
    /// The changed tree.
    pub changed: TreeParts,
    /// The author of the change.
    pub author: Option<Arc<str>>,
    /// The author's note on the change.
    pub note: Option<Arc<str>>,
}

/// The result of a commit.
#[derive(Clone, Debug)]
pub struct CommittedChange {
    /// The version that contains the change.
    pub version: ConfigVersion,
    /// Whether the change was rebased onto a version other than the one it is based on.
    pub rebased: bool,
    /// Whether a new version was stored; `false` if the tree already contained the change.
    pub changed: bool,
    /// The tree before the change.
    pub before: TreeParts,
    /// The tree after the change.
    pub after: TreeParts,
}

/// The outcome of one swap of the head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SwapOutcome {
    /// The head was written.
    Written,
    /// Another head was written for this version, so this one can no longer be written.
    Conflict,
    /// The head has not been written yet, but a delayed request may still write it.
    NotWritten,
}

/// Commits a change on top of the current head.
///
/// Fails, with the head unchanged, if the change conflicts with another operator's, if the merged
/// tree is invalid, if the store cannot be reached, or if no swap succeeded after the maximum
/// number of attempts. Fails with [`ToolError::OutcomeUnknown`] if the response to the swap was
/// lost and the outcome could not be determined.
pub async fn commit<P: PlatformStore>(
    store: &TreeStore<P>,
    change: &TreeChange,
) -> ToolResult<CommittedChange> {
    for _ in 0..SWAP_ATTEMPTS {
        let current = store.head().await?;
        if let Some(committed) = try_commit(store, change, current).await? {
            return Ok(committed);
        }
    }
    Err(Report::new(ToolError::RetriesExhausted))
}

/// Merges a change into another version of the tree, and validates the result.
///
/// Fails if the change conflicts with that version, or if the merged tree is invalid.
pub fn rebase(change: &TreeChange, theirs: &TreeParts) -> ToolResult<TreeParts> {
    let merged = merge(&change.base, theirs, &change.changed)
        .map_err(|conflict| Report::new(ToolError::Conflict(conflict)))?;
    merged.join("merged").map_err(|errors| Report::new(ToolError::InvalidTree(errors)))?;
    Ok(merged)
}

/// Tries to swap the head once; returns `None` if another head was written first.
async fn try_commit<P: PlatformStore>(
    store: &TreeStore<P>,
    change: &TreeChange,
    current: Option<StoredHead>,
) -> ToolResult<Option<CommittedChange>> {
    let (version, revision) =
        current.as_ref().map_or((0, 0), |stored| (stored.head.version, stored.revision));
    let before = match &current {
        None => TreeParts::default(),
        Some(stored) if stored.head.version == change.base_version => change.base.clone(),
        Some(stored) => store.read_parts(&stored.head).await?,
    };
    let after = rebase(change, &before)?;
    let rebased = version != change.base_version;
    if after == before {
        return Ok(Some(CommittedChange { version, rebased, changed: false, before, after }));
    }
    let root = store.write_parts(&after, Some(&before)).await?;
    if let Some(stored) = &current {
        store.keep_in_history(&stored.head).await?;
    }
    let head = HeadObject {
        version: version + 1,
        root,
        nonce: Uuid::new_v4().to_string().into(),
        author: change.author.clone(),
        note: change.note.clone(),
        written_at: unix_time_seconds(),
    };
    match swap_and_confirm(store, revision, &head).await? {
        SwapOutcome::Written => {
            let version = head.version;
            Ok(Some(CommittedChange { version, rebased, changed: true, before, after }))
        }
        SwapOutcome::Conflict | SwapOutcome::NotWritten => Ok(None),
    }
}

/// Swaps the head, and determines the outcome if the response was lost.
async fn swap_and_confirm<P: PlatformStore>(
    store: &TreeStore<P>,
    revision: u64,
    head: &HeadObject,
) -> ToolResult<SwapOutcome> {
    match store.swap_head(revision, head).await {
        Ok(SwapResult::Written(_)) => return Ok(SwapOutcome::Written),
        Ok(SwapResult::Conflict(_)) => {
            monoio::time::sleep(RETRY_PAUSE).await;
            return Ok(SwapOutcome::Conflict);
        }
        Err(error) if !error.may_have_written() => {
            return Err(Report::new(ToolError::Platform(error)));
        }
        Err(_) => {}
    }
    let unknown = || ToolError::OutcomeUnknown { version: head.version, nonce: head.nonce.clone() };
    for _ in 0..CONFIRM_ATTEMPTS {
        match find_outcome(store, head).await {
            Ok(SwapOutcome::NotWritten) => {}
            Ok(outcome) => return Ok(outcome),
            Err(_) => {
                monoio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        }
        // The head can be written at most once, since the swap is repeated at the same revision.
        if let Ok(SwapResult::Written(_)) = store.swap_head(revision, head).await {
            return Ok(SwapOutcome::Written);
        }
        monoio::time::sleep(RETRY_PAUSE).await;
    }
    Err(Report::new(unknown()))
}

/// Determines whether a head was written, by its nonce in the current head or the history.
async fn find_outcome<P: PlatformStore>(
    store: &TreeStore<P>,
    head: &HeadObject,
) -> ToolResult<SwapOutcome> {
    let current = store.head().await?.map(|stored| stored.head);
    let found = match current {
        Some(current) if current.version > head.version => store.past_head(head.version).await?,
        Some(current) if current.version == head.version => Some(current),
        _ => return Ok(SwapOutcome::NotWritten),
    };
    match found {
        Some(found) if found.nonce == head.nonce => Ok(SwapOutcome::Written),
        Some(_) => Ok(SwapOutcome::Conflict),
        // A writer adds the old head to the history before it replaces it, so a missing entry means
        // that this read was outdated.
        None => Ok(SwapOutcome::NotWritten),
    }
}

fn unix_time_seconds() -> Option<u64> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
    Some(since_epoch.as_secs())
}
