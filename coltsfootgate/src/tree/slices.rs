//! Builds settings trees in slices, between which the other tasks of the thread run.

use std::time::{Duration, Instant};

use coltsfootgate_config::{BranchDocument, ConfigErrors, ConfigTree, TreeBuilder};

/// Shortest slice after which other tasks run.
const SLICE_MIN: Duration = Duration::from_millis(20);
/// Shortest slice, as a share of the time since the computation began. On a busy thread each pause lasts as
/// long as all other tasks run once, so that there must be few.
const SLICE_SHARE_MIN: f64 = 0.125;
/// Shortest pause between two slices.
const PAUSE_MIN: Duration = Duration::from_millis(1);
/// Longest pause between two slices.
const PAUSE_MAX: Duration = Duration::from_millis(20);

/// Pauses between the slices of a long computation for as long as each slice took, so that the computation
/// takes at most about half of the processor, and joins steps that are too short to slices.
#[derive(Debug)]
pub struct SlicePacer {
    started: Instant,
    slice_started: Instant,
}

impl SlicePacer {
    /// Starts the first slice.
    pub fn start() -> Self {
        let now = Instant::now();
        Self { started: now, slice_started: now }
    }

    /// Ends a step; if the slice is long enough, lets other tasks run and starts the next slice.
    pub async fn pause(&mut self) {
        let slice = self.slice_started.elapsed();
        if slice < SLICE_MIN.max(self.started.elapsed().mul_f64(SLICE_SHARE_MIN)) {
            return;
        }
        monoio::time::sleep(slice.clamp(PAUSE_MIN, PAUSE_MAX)).await;
        self.slice_started = Instant::now();
    }
}

/// Builds and validates the tree of a document.
///
/// # Errors
///
/// Fails with all faults of the document.
pub async fn build_tree(document: BranchDocument) -> Result<ConfigTree, ConfigErrors> {
    let mut builder = TreeBuilder::new(document);
    let mut pacer = SlicePacer::start();
    while builder.advance() {
        pacer.pause().await;
    }
    builder.finish()
}
