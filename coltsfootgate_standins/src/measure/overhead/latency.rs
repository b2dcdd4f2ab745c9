//! Compares the latency of calls made directly, through an owner, and one hop from the owner.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::bench::{LATENCY_MODEL, OverheadBench};
use super::caller::StreamCaller;

/// Calls made on each route before those that count.
const WARM_UP_CALLS: u32 = 20;
const MAX_TOKENS: u32 = 64;

/// Latencies on one route, in milliseconds.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(super) struct RouteLatency {
    route: &'static str,
    first_token_p50: f64,
    first_token_p95: f64,
    between_tokens_p50: f64,
    between_tokens_p95: f64,
}

struct MeasuredRoute {
    name: &'static str,
    caller: StreamCaller,
    first: Histogram<u64>,
    between: Histogram<u64>,
}

impl MeasuredRoute {
    fn new(name: &'static str, address: SocketAddr) -> io::Result<Self> {
        let histogram = || Histogram::new(3).map_err(io::Error::other);
        let (first, between) = (histogram()?, histogram()?);
        Ok(Self { name, caller: StreamCaller::connect(address)?, first, between })
    }

    fn latency(&self) -> RouteLatency {
        let at = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1e3
        };
        RouteLatency {
            route: self.name,
            first_token_p50: at(&self.first, 0.5),
            first_token_p95: at(&self.first, 0.95),
            between_tokens_p50: at(&self.between, 0.5),
            between_tokens_p95: at(&self.between, 0.95),
        }
    }
}

/// Calls the same prompts on all routes in turn, so that all of them see the same machine.
pub(super) fn compare_routes(bench: &OverheadBench, calls: u32) -> io::Result<Vec<RouteLatency>> {
    let (owner, other) = bench.latency_routes()?;
    let mut routes = [
        MeasuredRoute::new("direct", bench.latency_engine())?,
        MeasuredRoute::new("owner", owner)?,
        MeasuredRoute::new("one hop", other)?,
    ];
    for number in 0..WARM_UP_CALLS + calls {
        // Each route is first, second and last equally often.
        routes.rotate_left(1);
        for route in &mut routes {
            let prompt = format!("overhead {number}");
            let times = route.caller.call(LATENCY_MODEL, &prompt, MAX_TOKENS, |_, _| true)?;
            if number >= WARM_UP_CALLS {
                route.first += microseconds(times.first_token);
                let gaps = times.gaps.into_iter().map(microseconds);
                gaps.for_each(|gap| route.between += gap);
            }
        }
    }
    let mut latencies: Vec<_> = routes.iter().map(MeasuredRoute::latency).collect();
    latencies
        .sort_by_key(|latency| ["direct", "owner", "one hop"].map(|name| name != latency.route));
    Ok(latencies)
}

/// Prints the latencies with the differences to and the ratios of the direct route.
pub(super) fn print(latencies: &[RouteLatency]) {
    let Some(direct) = latencies.first() else { return };
    println!("{:<8} {:>30} {:>30}", "", "first token p50, p95", "between tokens p50, p95");
    for latency in latencies {
        let cell = |value: f64, base: f64| {
            format!("{value:.2} ({:+.2}, x{:.2})", value - base, value / base)
        };
        println!(
            "{:<8} {:>22} {:>22} {:>22} {:>22}",
            latency.route,
            cell(latency.first_token_p50, direct.first_token_p50),
            cell(latency.first_token_p95, direct.first_token_p95),
            cell(latency.between_tokens_p50, direct.between_tokens_p50),
            cell(latency.between_tokens_p95, direct.between_tokens_p95),
        );
    }
}

pub(super) fn microseconds(time: Duration) -> u64 {
    time.as_micros() as u64
}
