//! Writes log lines on a thread of its own, so that no task waits for whoever reads them.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Lines that may wait to be written; further ones are dropped and counted.
const LINES_MAX: usize = 8192;
/// Period at which the end of the lines that wait is looked for.
const DRAIN_PERIOD: Duration = Duration::from_millis(5);

/// Takes lines and hands them to the thread that writes them.
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

/// Waits until the lines of a log were written.
#[derive(Debug)]
pub struct LogDrain(Arc<LineCounts>);

impl QueuedWriter {
    /// Starts the thread that writes to an output.
    pub(super) fn start(output: impl Write + Send + 'static) -> (Self, LogDrain) {
        let (lines, received) = sync_channel(LINES_MAX);
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

    /// Ends a line.
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
    /// Waits until all lines were written, or for the given time.
    pub fn wait(&self, time: Duration) {
        let until = Instant::now() + time;
        while self.0.waiting.load(Ordering::Acquire) > 0 && Instant::now() < until {
            thread::sleep(DRAIN_PERIOD);
        }
    }
}

fn write_lines(mut output: impl Write, lines: &Receiver<Vec<u8>>, counts: &LineCounts) {
    for line in lines {
        // Nothing is left to report to if the output is closed.
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
