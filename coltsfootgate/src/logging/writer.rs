//! Writes log lines on a separate thread, so that a slow reader of the log blocks no task.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Capacity of the queue of unwritten lines; lines beyond it are dropped and counted.
const QUEUED_LINES_MAX: usize = 8192;
/// Interval at which the drain checks whether the queue is empty.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Queues lines for the writer thread.
pub(super) struct QueuedWriter {
    line: Vec<u8>,
    lines: SyncSender<Vec<u8>>,
    counts: Arc<LineCounts>,
}

#[derive(Debug, Default)]
struct LineCounts {
    waiting: AtomicU64,
    dropped: AtomicU64,
}

/// Waits until the queued log lines are written.
#[derive(Debug)]
pub struct LogDrain(Arc<LineCounts>);

impl QueuedWriter {
    /// Starts the writer thread for an output.
    pub(super) fn start(output: impl Write + Send + 'static) -> (Self, LogDrain) {
        let (lines, received) = sync_channel(QUEUED_LINES_MAX);
        let counts = Arc::new(LineCounts::default());
        let written = counts.clone();
        thread::spawn(move || write_lines(output, &received, &written));
        let drain = LogDrain(counts.clone());
        (Self { line: Vec::new(), lines, counts }, drain)
    }
}

impl Write for QueuedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    /// Queues the current line.
    fn flush(&mut self) -> io::Result<()> {
        let line = std::mem::take(&mut self.line);
        self.counts.waiting.fetch_add(1, Ordering::AcqRel);
        if self.lines.try_send(line).is_err() {
            self.counts.waiting.fetch_sub(1, Ordering::AcqRel);
            self.counts.dropped.fetch_add(1, Ordering::AcqRel);
        }
        Ok(())
    }
}

impl LogDrain {
    /// Waits until all lines are written, at most for the given time.
    pub fn wait(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        while self.0.waiting.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
    }
}

fn write_lines(mut output: impl Write, lines: &Receiver<Vec<u8>>, counts: &LineCounts) {
    for line in lines {
        // A closed output leaves nowhere to report to.
        let _ = output.write_all(&line);
        let dropped = counts.dropped.swap(0, Ordering::AcqRel);
        if dropped > 0 {
            let _ = writeln!(
                output,
                "{{\"level\":\"WARN\",\"part\":\"logging\",\"dropped\":{dropped},\"message\":\"log lines were dropped\"}}"
            );
        }
        let _ = output.flush();
        counts.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}
