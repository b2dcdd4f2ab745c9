//! The number of pages, fixed in the platform's store by the first instance that needs it.
//!
//! Instances whose trees differ for a moment must still agree on the page of a key, so the number
//! in the tree is only taken when no number is stored yet.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_channel::oneshot;
use futures_util::StreamExt;
use futures_util::future::{FutureExt, Shared};
use log::{error, info, warn};
use serde::{Deserialize, Serialize};

use crate::platform::{PlatformError, PlatformStore, SwapResult};
use crate::tree::TreeHandle;

/// The key of the layout in the platform's store.
const LAYOUT_KEY: &str = "coltsfootgate/claims/layout";
/// Delay before the store is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Most pages that a layout may have.
const PAGES_MAX: u32 = 1 << 16;

/// The layout as it is stored.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
struct StoredLayout {
    pages: u32,
}

/// Gives the number of pages once it is known.
#[derive(Clone, Debug)]
pub struct PageCount(Shared<oneshot::Receiver<u32>>);

/// Tells the number of pages.
pub type PageCountSender = oneshot::Sender<u32>;

/// Makes the two sides of a page count.
pub fn page_count() -> (PageCountSender, PageCount) {
    let (sender, receiver) = oneshot::channel();
    (sender, PageCount(receiver.shared()))
}

impl PageCount {
    /// Waits until the number is known; `None` if the deadline passes first.
    pub async fn wait(&self, deadline: Instant) -> Option<u32> {
        if let Some(pages) = self.0.peek() {
            return pages.as_ref().ok().copied();
        }
        let left = deadline.saturating_duration_since(Instant::now());
        monoio::time::timeout(left, self.0.clone()).await.ok()?.ok()
    }
}

/// Reads the layout, or fixes it from the tree, until that has succeeded.
pub async fn read_layout<S: PlatformStore>(store: S, tree: TreeHandle, found: PageCountSender) {
    let Some(active) = tree.subscribe().next().await else { return };
    let wanted = active.tree.deployment().claim_pages.clamp(1, PAGES_MAX);
    loop {
        match fix_layout(&store, wanted).await {
            Ok(Some(pages)) => {
                if pages != wanted {
                    warn!("claims: {pages} pages are in use; the tree's {wanted} are ignored");
                }
                info!("claims: keys are spread over {pages} pages");
                let _ = found.send(pages);
                return;
            }
            Ok(None) => error!("claims: the value of {LAYOUT_KEY} is not a layout"),
            Err(fault) => warn!("claims: the layout cannot be read: {fault}"),
        }
        monoio::time::sleep(RETRY_DELAY).await;
    }
}

async fn fix_layout<S: PlatformStore>(
    store: &S,
    wanted: u32,
) -> Result<Option<u32>, PlatformError> {
    if let Some(stored) = store.read(LAYOUT_KEY).await? {
        return Ok(parse_layout(&stored.value));
    }
    let value = serde_json::to_vec(&StoredLayout { pages: wanted }).unwrap_or_default();
    match store.swap(LAYOUT_KEY, 0, Bytes::from(value)).await? {
        SwapResult::Written(_) => Ok(Some(wanted)),
        SwapResult::Conflict(_) => {
            let stored = store.read(LAYOUT_KEY).await?;
            Ok(stored.and_then(|stored| parse_layout(&stored.value)))
        }
    }
}

fn parse_layout(value: &[u8]) -> Option<u32> {
    let layout: StoredLayout = serde_json::from_slice(value).ok()?;
    (1..=PAGES_MAX).contains(&layout.pages).then_some(layout.pages)
}
