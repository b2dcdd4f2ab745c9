//! Compares the latency of calls made directly to an engine, through the daemon that owns it, and
//! through another daemon, which forwards them to the owner.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::bench::{LATENCY_MODEL, OverheadBench};
use super::caller::StreamCaller;

/// Number of calls on each route that are left out of the histograms.
const WARM_UP_CALLS: u32 = 20;
/// `max_tokens` of each call.
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

/// A route with the latencies seen on it, in microseconds.
struct MeasuredRoute {
    name: &'static str,
    caller: StreamCaller,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
}

impl MeasuredRoute {
    fn new(name: &'static str, address: SocketAddr) -> io::Result<Self> {
        let histogram = || Histogram::new(3).map_err(io::Error::other);
        let (first_token, between_tokens) = (histogram()?, histogram()?);
        Ok(Self { name, caller: StreamCaller::connect(address)?, first_token, between_tokens })
    }

    fn latency(&self) -> RouteLatency {
        let quantile_ms = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1e3
        };
        RouteLatency {
            route: self.name,
            first_token_p50: quantile_ms(&self.first_token, 0.5),
            first_token_p95: quantile_ms(&self.first_token, 0.95),
            between_tokens_p50: quantile_ms(&self.between_tokens, 0.5),
            between_tokens_p95: quantile_ms(&self.between_tokens, 0.95),
        }
    }
}

/// Sends each prompt on all routes in turn, so that other load on the machine affects all alike.
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
                route.first_token += microseconds(times.first_token);
                let gaps = times.gaps.into_iter().map(microseconds);
                gaps.for_each(|gap| route.between_tokens += gap);
            }
        }
    }
    let mut latencies: Vec<_> = routes.iter().map(MeasuredRoute::latency).collect();
    latencies
        .sort_by_key(|latency| ["direct", "owner", "one hop"].map(|name| name != latency.route));
    Ok(latencies)
}

/// Prints the latencies in milliseconds, with the difference from and ratio to the direct route.
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
