//! Measures how many tokens one daemon relays per second of processor time.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::bench::{OverheadBench, RELAY_MODEL};
use super::caller::StreamCaller;
use super::latency::microseconds;

/// `max_tokens` of each call; the mean length of the answers is about 270 tokens.
const MAX_TOKENS: u32 = 1440;
/// Time for which streams start and end before tokens are counted.
const WARM_UP: Duration = Duration::from_secs(1);

/// The results of one level of load; rates are in tokens per second.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(super) struct RelayLevel {
    streams: usize,
    direct_rate: f64,
    relayed_rate: f64,
    /// Relayed rate as a share of the direct one; below 1 the daemon can't keep up.
    share: f64,
    direct_gap_p95_ms: f64,
    relayed_gap_p95_ms: f64,
    /// Processor seconds that the daemon used per second.
    cores: f64,
    /// Share of the time that the daemon was runnable but waited for a core.
    core_wait: f64,
    tokens_per_core_second: f64,
    failed_calls: u64,
}

/// State shared by the threads of a run.
#[derive(Debug, Default)]
struct StreamCounters {
    counting: AtomicBool,
    stopped: AtomicBool,
    /// Tokens received while counting.
    tokens: AtomicU64,
    failed_calls: AtomicU64,
}

/// The measurements of one run, directly or through the daemon.
struct StreamRun {
    /// Tokens per second.
    rate: f64,
    gap_p95_ms: f64,
    failed_calls: u64,
    processor_time: Duration,
    core_wait: Duration,
    elapsed: Duration,
}

/// Measures the same load directly at the engines and through one daemon.
pub(super) fn measure_level(
    bench: &OverheadBench,
    streams: usize,
    window: Duration,
) -> io::Result<RelayLevel> {
    let direct = run_streams(bench, &bench.relay_engines(), streams, window)?;
    let relayed = run_streams(bench, &[bench.relaying_daemon()], streams, window)?;
    let cores = relayed.processor_time.as_secs_f64() / relayed.elapsed.as_secs_f64();
    Ok(RelayLevel {
        streams,
        direct_rate: direct.rate,
        relayed_rate: relayed.rate,
        share: relayed.rate / direct.rate,
        direct_gap_p95_ms: direct.gap_p95_ms,
        relayed_gap_p95_ms: relayed.gap_p95_ms,
        cores,
        core_wait: relayed.core_wait.as_secs_f64() / relayed.elapsed.as_secs_f64(),
        tokens_per_core_second: relayed.rate / cores,
        failed_calls: direct.failed_calls + relayed.failed_calls,
    })
}

/// Keeps a number of concurrent streams running, spread over the targets, and measures them.
fn run_streams(
    bench: &OverheadBench,
    targets: &[SocketAddr],
    streams: usize,
    window: Duration,
) -> io::Result<StreamRun> {
    let counters = StreamCounters::default();
    thread::scope(|scope| {
        let threads: Vec<_> = (0..streams)
            .map(|stream| {
                let target = targets[stream % targets.len()];
                let counters = &counters;
                scope.spawn(move || run_stream(target, stream, counters))
            })
            .collect();
        thread::sleep(WARM_UP);
        let core_wait_before = bench.relaying_core_wait();
        let processor_before = bench.relaying_processor_time();
        let start = Instant::now();
        counters.counting.store(true, Ordering::Relaxed);
        thread::sleep(window);
        counters.counting.store(false, Ordering::Relaxed);
        let elapsed = start.elapsed();
        let core_wait = bench.relaying_core_wait();
        let processor_time = bench.relaying_processor_time();
        counters.stopped.store(true, Ordering::Relaxed);
        let mut gaps = Histogram::<u64>::new(3).map_err(io::Error::other)?;
        for thread in threads {
            let stream_gaps = thread
                .join()
                .map_err(|_| io::Error::other("the thread of a stream panicked"))??;
            gaps.add(stream_gaps).map_err(io::Error::other)?;
        }
        Ok(StreamRun {
            rate: counters.tokens.load(Ordering::Relaxed) as f64 / elapsed.as_secs_f64(),
            gap_p95_ms: gaps.value_at_quantile(0.95) as f64 / 1e3,
            failed_calls: counters.failed_calls.load(Ordering::Relaxed),
            processor_time: processor_time.saturating_sub(processor_before),
            core_wait: core_wait.saturating_sub(core_wait_before),
            elapsed,
        })
    })
}

/// Makes one call after another until the run is stopped, and returns the gaps between tokens.
fn run_stream(
    target: SocketAddr,
    stream: usize,
    counters: &StreamCounters,
) -> io::Result<Histogram<u64>> {
    let mut gaps = Histogram::<u64>::new(3).map_err(io::Error::other)?;
    let mut caller = StreamCaller::connect(target)?;
    let mut number = 0;
    while !counters.stopped.load(Ordering::Relaxed) {
        number += 1;
        let mut last_read: Option<Instant> = None;
        let prompt = format!("relay {stream} {number}");
        let answer = caller.call(RELAY_MODEL, &prompt, MAX_TOKENS, |now, tokens| {
            if counters.counting.load(Ordering::Relaxed) {
                counters.tokens.fetch_add(u64::from(tokens), Ordering::Relaxed);
                if let Some(last_read) = last_read {
                    gaps += microseconds(now - last_read);
                }
            }
            last_read = Some(now);
            !counters.stopped.load(Ordering::Relaxed)
        });
        if answer.is_err() && !counters.stopped.load(Ordering::Relaxed) {
            counters.failed_calls.fetch_add(1, Ordering::Relaxed);
            caller = StreamCaller::connect(target)?;
        }
    }
    Ok(gaps)
}

/// Prints a table with a line for each level.
pub(super) fn print(levels: &[RelayLevel]) {
    println!(
        "{:>8} {:>10} {:>10} {:>6} {:>12} {:>12} {:>6} {:>6} {:>12} {:>7}",
        "streams",
        "direct/s",
        "relayed/s",
        "share",
        "gap p95 ms",
        "relayed",
        "cores",
        "wait",
        "per core s",
        "failed",
    );
    for level in levels {
        println!(
            "{:>8} {:>10.0} {:>10.0} {:>6.3} {:>12.2} {:>12.2} {:>6.2} {:>6.2} {:>12.0} {:>7}",
            level.streams,
            level.direct_rate,
            level.relayed_rate,
            level.share,
            level.direct_gap_p95_ms,
            level.relayed_gap_p95_ms,
            level.cores,
            level.core_wait,
            level.tokens_per_core_second,
            level.failed_calls,
        );
    }
}
