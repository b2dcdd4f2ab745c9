//! Makes a changed tree the one in force, by a compare-and-swap of the head.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use coltsfootgate::platform::{PlatformStore, SwapResult};
use coltsfootgate_config::{HeadObject, TreeParts, merge};
use coltsfootgate_core::ids::ConfigVersion;
use error_stack::Report;
use uuid::Uuid;

use crate::error::{ToolError, ToolResult};
use crate::tree_store::{StoredHead, TreeStore};

/// How often a swap is tried before the tool gives up.
const SWAP_ATTEMPTS: u32 = 16;
/// How often the fate of a swap whose answer was lost is looked for.
const FATE_ATTEMPTS: u32 = 10;
/// Pause between two looks, and after a store answered with an old head.
const LOOK_PAUSE: Duration = Duration::from_millis(200);

/// A change that an operator made to the tree of a version.
#[derive(Clone, Debug)]
pub struct TreeChange {
    /// The version that the change was made to; 0 stands for no tree.
    pub base_version: ConfigVersion,
    /// The tree of that version.
    pub base: TreeParts,
    /// The changed tree.
    pub changed: TreeParts,
    /// Who made the change.
    pub author: Option<Arc<str>>,
    /// Why the change was made.
    pub note: Option<Arc<str>>,
}

/// A change that is stored.
#[derive(Clone, Debug)]
pub struct CommittedChange {
    /// The version in which the change is in force.
    pub version: ConfigVersion,
    /// Whether the change was made anew on top of another operator's.
    pub rebased: bool,
    /// Whether there was anything to change.
    pub changed: bool,
    /// The tree that the change took the place of.
    pub before: TreeParts,
    /// The tree with the change.
    pub after: TreeParts,
}

/// What became of one swap of the head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SwapFate {
    /// The head was written.
    Written,
    /// Another head took its place, and this one can no longer be written.
    Lost,
    /// The head was not written so far.
    NotYet,
}

/// Stores a change on top of the present head.
///
/// Fails without a change if it conflicts with another operator's, if the result is invalid, or if
/// the store is out of reach; fails with [`ToolError::OutcomeUnknown`] if the answer to the swap was lost
/// and nothing proves what became of it.
pub async fn commit<P: PlatformStore>(
    store: &TreeStore<P>,
    change: &TreeChange,
) -> ToolResult<CommittedChange> {
    for _ in 0..SWAP_ATTEMPTS {
        let present = store.head().await?;
        if let Some(committed) = try_commit(store, change, present).await? {
            return Ok(committed);
        }
    }
    Err(Report::new(ToolError::RetriesExhausted))
}

/// Puts a change on top of a tree, and checks the result.
pub fn rebase(change: &TreeChange, theirs: &TreeParts) -> ToolResult<TreeParts> {
    let merged = merge(&change.base, theirs, &change.changed)
        .map_err(|conflict| Report::new(ToolError::Conflict(conflict)))?;
    merged.join("merged").map_err(|errors| Report::new(ToolError::InvalidTree(errors)))?;
    Ok(merged)
}

/// Tries to swap the head once; gives nothing if another head got there first.
async fn try_commit<P: PlatformStore>(
    store: &TreeStore<P>,
    change: &TreeChange,
    present: Option<StoredHead>,
) -> ToolResult<Option<CommittedChange>> {
    let (version, revision) =
        present.as_ref().map_or((0, 0), |stored| (stored.head.version, stored.revision));
    let before = match &present {
        None => TreeParts::default(),
        Some(stored) if stored.head.version == change.base_version => change.base.clone(),
        Some(stored) => store.parts(&stored.head).await?,
    };
    let after = rebase(change, &before)?;
    let rebased = version != change.base_version;
    if after == before {
        return Ok(Some(CommittedChange { version, rebased, changed: false, before, after }));
    }
    let root = store.write_parts(&after, Some(&before)).await?;
    if let Some(stored) = &present {
        store.keep_in_history(&stored.head).await?;
    }
    let head = HeadObject {
        version: version + 1,
        root,
        nonce: Uuid::new_v4().to_string().into(),
        author: change.author.clone(),
        note: change.note.clone(),
        written_at: seconds_now(),
    };
    match swap_and_learn(store, revision, &head).await? {
        SwapFate::Written => {
            let version = head.version;
            Ok(Some(CommittedChange { version, rebased, changed: true, before, after }))
        }
        SwapFate::Lost | SwapFate::NotYet => Ok(None),
    }
}

/// Swaps the head, and finds out what became of the swap if its answer was lost.
async fn swap_and_learn<P: PlatformStore>(
    store: &TreeStore<P>,
    revision: u64,
    head: &HeadObject,
) -> ToolResult<SwapFate> {
    match store.swap_head(revision, head).await {
        Ok(SwapResult::Written(_)) => return Ok(SwapFate::Written),
        Ok(SwapResult::Conflict(_)) => {
            monoio::time::sleep(LOOK_PAUSE).await;
            return Ok(SwapFate::Lost);
        }
        Err(error) if !error.may_have_written() => {
            return Err(Report::new(ToolError::Platform(error)));
        }
        Err(_) => {}
    }
    let unknown = || ToolError::OutcomeUnknown { version: head.version, nonce: head.nonce.clone() };
    for _ in 0..FATE_ATTEMPTS {
        match fate(store, head).await {
            Ok(SwapFate::NotYet) => {}
            Ok(fate) => return Ok(fate),
            Err(_) => {
                monoio::time::sleep(LOOK_PAUSE).await;
                continue;
            }
        }
        // Swapping again at the same revision with the same head can write it once at most.
        if let Ok(SwapResult::Written(_)) = store.swap_head(revision, head).await {
            return Ok(SwapFate::Written);
        }
        monoio::time::sleep(LOOK_PAUSE).await;
    }
    Err(Report::new(unknown()))
}

/// Looks for a head by its nonce, in the present head and in the history.
async fn fate<P: PlatformStore>(store: &TreeStore<P>, head: &HeadObject) -> ToolResult<SwapFate> {
    let present = store.head().await?.map(|stored| stored.head);
    let found = match present {
        Some(present) if present.version > head.version => store.past_head(head.version).await?,
        Some(present) if present.version == head.version => Some(present),
        _ => return Ok(SwapFate::NotYet),
    };
    match found {
        Some(found) if found.nonce == head.nonce => Ok(SwapFate::Written),
        Some(_) => Ok(SwapFate::Lost),
        // Whoever replaced the head kept it in the history first, so the entry is about to show.
        None => Ok(SwapFate::NotYet),
    }
}

fn seconds_now() -> Option<u64> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
    Some(since_epoch.as_secs())
}
