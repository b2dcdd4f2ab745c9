//! Builds settings trees in slices, between which the other tasks of the thread run.

use std::time::{Duration, Instant};

use coltsfootgate_config::{BranchDocument, ConfigErrors, ConfigTree, TreeBuilder};

/// Shortest pause between two slices.
const PAUSE_MIN: Duration = Duration::from_millis(1);
/// Longest pause between two slices.
const PAUSE_MAX: Duration = Duration::from_millis(20);

/// Pauses between the slices of a long computation for as long as each slice took, so that the computation
/// takes at most about half of the processor.
#[derive(Debug)]
pub struct SlicePacer {
    slice_started: Instant,
}

impl SlicePacer {
    /// Starts the first slice.
    pub fn start() -> Self {
        Self { slice_started: Instant::now() }
    }

    /// Ends a slice, lets other tasks run and starts the next slice.
    pub async fn pause(&mut self) {
        let pause = self.slice_started.elapsed().clamp(PAUSE_MIN, PAUSE_MAX);
        monoio::time::sleep(pause).await;
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
