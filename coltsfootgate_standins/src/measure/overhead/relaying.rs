//! Counts how many tokens one daemon passes on for each second of processor time.

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

/// Bound of the answers' length; their mean is near 270 tokens.
const MAX_TOKENS: u32 = 1440;
/// Streams are begun and ended for this long before tokens are counted.
const WARM_UP: Duration = Duration::from_secs(1);

/// What passed at one level of load.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(super) struct RelayLevel {
    streams: usize,
    direct_rate: f64,
    relayed_rate: f64,
    /// Relayed rate as a share of the direct one; below 1 the daemon falls behind.
    share: f64,
    direct_gap_p95_ms: f64,
    relayed_gap_p95_ms: f64,
    /// Cores that the daemon used.
    cores: f64,
    /// Share of the time for which it was ready to run and others had the cores.
    core_wait: f64,
    tokens_per_core_second: f64,
    failed_calls: u64,
}

#[derive(Debug, Default)]
struct TokenCount {
    counting: AtomicBool,
    ended: AtomicBool,
    tokens: AtomicU64,
    failed: AtomicU64,
}

struct StreamRun {
    rate: f64,
    gap_p95_ms: f64,
    failed: u64,
    processor: Duration,
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
    let cores = relayed.processor.as_secs_f64() / relayed.elapsed.as_secs_f64();
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
        failed_calls: direct.failed + relayed.failed,
    })
}

fn run_streams(
    bench: &OverheadBench,
    targets: &[SocketAddr],
    streams: usize,
    window: Duration,
) -> io::Result<StreamRun> {
    let count = TokenCount::default();
    thread::scope(|scope| {
        let threads: Vec<_> = (0..streams)
            .map(|stream| {
                let target = targets[stream % targets.len()];
                let count = &count;
                scope.spawn(move || keep_streaming(target, stream, count))
            })
            .collect();
        thread::sleep(WARM_UP);
        let waited_before = bench.relaying_core_wait();
        let used_before = bench.relaying_processor_time();
        let begun = Instant::now();
        count.counting.store(true, Ordering::Relaxed);
        thread::sleep(window);
        count.counting.store(false, Ordering::Relaxed);
        let elapsed = begun.elapsed();
        let waited = bench.relaying_core_wait();
        let used = bench.relaying_processor_time();
        count.ended.store(true, Ordering::Relaxed);
        let mut gaps = Histogram::<u64>::new(3).map_err(io::Error::other)?;
        for thread in threads {
            let own = thread.join().map_err(|_| io::Error::other("a stream's thread failed"))??;
            gaps.add(own).map_err(io::Error::other)?;
        }
        Ok(StreamRun {
            rate: count.tokens.load(Ordering::Relaxed) as f64 / elapsed.as_secs_f64(),
            gap_p95_ms: gaps.value_at_quantile(0.95) as f64 / 1e3,
            failed: count.failed.load(Ordering::Relaxed),
            processor: used.saturating_sub(used_before),
            core_wait: waited.saturating_sub(waited_before),
            elapsed,
        })
    })
}

/// Makes one call after the other until the run ends, and returns the gaps between tokens.
fn keep_streaming(
    target: SocketAddr,
    stream: usize,
    count: &TokenCount,
) -> io::Result<Histogram<u64>> {
    let mut gaps = Histogram::<u64>::new(3).map_err(io::Error::other)?;
    let mut caller = StreamCaller::connect(target)?;
    let mut number = 0;
    while !count.ended.load(Ordering::Relaxed) {
        number += 1;
        let mut last: Option<Instant> = None;
        let prompt = format!("relay {stream} {number}");
        let answer = caller.call(RELAY_MODEL, &prompt, MAX_TOKENS, |now, tokens| {
            if count.counting.load(Ordering::Relaxed) {
                count.tokens.fetch_add(u64::from(tokens), Ordering::Relaxed);
                if let Some(last) = last {
                    gaps += microseconds(now - last);
                }
            }
            last = Some(now);
            !count.ended.load(Ordering::Relaxed)
        });
        if answer.is_err() && !count.ended.load(Ordering::Relaxed) {
            count.failed.fetch_add(1, Ordering::Relaxed);
            caller = StreamCaller::connect(target)?;
        }
    }
    Ok(gaps)
}

/// Prints a line for each level.
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
