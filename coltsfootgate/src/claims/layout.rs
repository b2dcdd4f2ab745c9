//! The number of claim pages, stored once by the first instance that needs it.
//!
//! All instances must map a key to the same page even while their trees differ, so the number in
//! the tree is used only if none is stored yet.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_channel::oneshot;
use futures_util::StreamExt;
use futures_util::future::{FutureExt, Shared};
use log::{error, info, warn};
use serde::{Deserialize, Serialize};

use crate::platform::{PlatformError, PlatformStore, SwapResult};
use crate::tree::TreeHandle;

/// Key of the layout in the platform's store.
const LAYOUT_KEY: &str = "coltsfootgate/claims/layout";
/// Delay before another attempt to read or create the layout.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of pages in a layout.
const PAGES_MAX: u32 = 1 << 16;

/// The layout in its stored form.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
struct StoredLayout {
    pages: u32,
}

/// The number of pages, which is available once the layout was read or created.
#[derive(Clone, Debug)]
pub struct PageCount(Shared<oneshot::Receiver<u32>>);

/// Sets the number of pages.
pub type PageCountSender = oneshot::Sender<u32>;

/// Creates a page count and its sender.
pub fn page_count_channel() -> (PageCountSender, PageCount) {
    let (sender, receiver) = oneshot::channel();
    (sender, PageCount(receiver.shared()))
}

impl PageCount {
    /// Waits for the number of pages; returns `None` if the deadline passes first.
    pub async fn wait(&self, deadline: Instant) -> Option<u32> {
        if let Some(pages) = self.0.peek() {
            return pages.as_ref().ok().copied();
        }
        let time_left = deadline.saturating_duration_since(Instant::now());
        monoio::time::timeout(time_left, self.0.clone()).await.ok()?.ok()
    }
}

/// Reads the layout, or creates it from the tree, and retries until that succeeds.
pub async fn resolve_layout<S: PlatformStore>(store: S, tree: TreeHandle, sender: PageCountSender) {
    let Some(active) = tree.subscribe().next().await else { return };
    let configured = active.tree.deployment().claim_pages.clamp(1, PAGES_MAX);
    loop {
        match read_or_create_layout(&store, configured).await {
            Ok(Some(pages)) => {
                if pages != configured {
                    warn!("claims: {pages} pages are in use; the tree's {configured} are ignored");
                }
                info!("claims: keys are distributed over {pages} pages");
                let _ = sender.send(pages);
                return;
            }
            Ok(None) => error!("claims: the value of {LAYOUT_KEY} is not a valid layout"),
            Err(error) => warn!("claims: could not read or create {LAYOUT_KEY}: {error}"),
        }
        monoio::time::sleep(RETRY_DELAY).await;
    }
}

/// Returns the stored number of pages, after storing `configured` if there was none.
///
/// Returns `None` if the stored value is not a valid layout.
async fn read_or_create_layout<S: PlatformStore>(
    store: &S,
    configured: u32,
) -> Result<Option<u32>, PlatformError> {
    if let Some(stored) = store.read(LAYOUT_KEY).await? {
        return Ok(parse_layout(&stored.value));
    }
    let value = serde_json::to_vec(&StoredLayout { pages: configured }).unwrap_or_default();
    match store.swap(LAYOUT_KEY, 0, Bytes::from(value)).await? {
        SwapResult::Written(_) => Ok(Some(configured)),
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
