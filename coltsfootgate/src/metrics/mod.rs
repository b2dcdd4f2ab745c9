//! Metrics of the daemon, exported in the Prometheus text format.

mod duty;
mod labels;
mod memory;
mod registrar;
#[cfg(test)]
mod tests;

use std::time::Duration;

use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec,
    Registry, TextEncoder,
};

use coltsfootgate_core::answer::{AnswerFraming, ContentEnd};
use coltsfootgate_core::ids::ConfigVersion;
use coltsfootgate_core::outcome::RequestOutcome;
use coltsfootgate_core::owner::{DeferralCause, OwnerActivity};
use coltsfootgate_core::reason::ErrorKind;
use coltsfootgate_core::retry::RetryReason;

pub use self::duty::DutyMetrics;
pub use self::labels::{ConnectionSide, LatencyTarget};
pub use self::memory::MemoryMetrics;
use self::registrar::MetricRegistrar;

/// Class label of requests that ended before they were classified.
pub const NO_CLASS: &str = "-";

/// Bucket bounds of the histograms of waiting and answer times, in seconds.
const SECONDS_BUCKETS: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.94, 1.5, 2.5, 5.0, 10.0, 30.0, 120.0,
];
/// Bucket bounds of the histograms of the time between tokens and of the loop delay, in seconds.
const TOKEN_BUCKETS: &[f64] =
    &[0.001, 0.0025, 0.005, 0.01, 0.015, 0.02, 0.034, 0.05, 0.1, 0.25, 1.0, 5.0];

/// Counts a connection as open; dropping it decrements the gauge.
#[derive(Debug)]
pub struct ConnectionCount(IntGauge);

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// All metrics of a daemon; clones share the same values.
#[derive(Clone, Debug)]
pub struct DaemonMetrics {
    registry: Registry,
    requests: IntCounterVec,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    targets: IntCounterVec,
    tokens: IntCounterVec,
    waits: HistogramVec,
    first_token: HistogramVec,
    between_tokens: HistogramVec,
    whole_answer: HistogramVec,
    connections: IntGaugeVec,
    connections_refused: IntCounterVec,
    peer_bytes: IntCounterVec,
    peer_messages: IntCounterVec,
    peer_message_bytes: IntCounterVec,
    peer_faults: IntCounterVec,
    platform_calls: IntCounterVec,
    config_version: IntGauge,
    config_age: Gauge,
    config_load_time: Gauge,
    config_bytes: IntGauge,
    config_refused: IntCounterVec,
    answers_mismatched: IntCounterVec,
    answer_ends: IntCounterVec,
    endpoint_crashes: IntCounterVec,
    blocked_causes: IntGauge,
    limit_notices: IntCounterVec,
    instances: IntGaugeVec,
    waiting: IntGaugeVec,
    grants: IntCounterVec,
    deferrals: IntCounterVec,
    lost_grants: IntCounterVec,
    path_faults: IntCounterVec,
    streams_taken_up: IntCounterVec,
    stream_pages: IntCounterVec,
    path_lost: IntGaugeVec,
    forwards_requested: IntCounterVec,
    forwards_served: IntCounterVec,
    loop_delay: Histogram,
    memory: MemoryMetrics,
}

impl Default for DaemonMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl DaemonMetrics {
    /// Registers all metrics, with a zero for every refusal and retry reason.
    pub fn new() -> Self {
        let registrar = MetricRegistrar(Registry::new());
        let metrics = Self {
            requests: registrar.counters(
                "requests",
                "Requests that ended, by class and outcome.",
                &["class", "outcome"],
            ),
            refusals: registrar.counters(
                "refusals",
                "Requests that did not complete, by class and reason.",
                &["class", "reason"],
            ),
            retries: registrar.counters(
                "retries",
                "Attempts after the first, by class and by the reason why the previous attempt failed.",
                &["class", "reason"],
            ),
            targets: registrar.counters(
                "targets",
                "Latency targets met and missed, by class.",
                &["class", "target", "met"],
            ),
            tokens: registrar.counters(
                "tokens",
                "Tokens that reached a caller in a completed answer (goodput) and all others (wasted).",
                &["class", "use"],
            ),
            waits: registrar.histograms(
                "wait",
                "Time that a request waited for grants.",
                SECONDS_BUCKETS,
            ),
            first_token: registrar.histograms(
                "first_token",
                "Time from a request's arrival to the first token sent to the caller.",
                SECONDS_BUCKETS,
            ),
            between_tokens: registrar.histograms(
                "between_tokens",
                "Time between two tokens sent to a caller.",
                TOKEN_BUCKETS,
            ),
            whole_answer: registrar.histograms(
                "whole_answer",
                "Time from a request's arrival to the end of its answer.",
                SECONDS_BUCKETS,
            ),
            connections: registrar.gauges("connections", "Open connections.", &["side"]),
            connections_refused: registrar.counters(
                "connections_refused",
                "Connections closed on arrival because the connection limit was reached.",
                &["side"],
            ),
            peer_bytes: registrar.counters(
                "peer_bytes",
                "Bytes of messages between instances, by direction.",
                &["direction"],
            ),
            peer_messages: registrar.counters(
                "peer_messages",
                "Messages sent to other instances, by kind.",
                &["kind"],
            ),
            peer_message_bytes: registrar.counters(
                "peer_message_bytes",
                "Bytes of messages sent to other instances, without framing, by kind.",
                &["kind"],
            ),
            peer_faults: registrar.counters(
                "peer_faults",
                "Connections between instances that were refused or dropped, by cause.",
                &["cause"],
            ),
            platform_calls: registrar.counters(
                "platform_calls",
                "Calls to the platform's service, by call and result.",
                &["call", "result"],
            ),
            config_version: registrar.register(IntGauge::new(
                "coltsfootgate_config_version",
                "Version of the settings tree in force; 0 while there is none.",
            )),
            config_age: registrar.register(Gauge::new(
                "coltsfootgate_config_age_seconds",
                "Time since the settings tree in force was confirmed as the newest; -1 before the first time.",
            )),
            config_load_time: registrar.register(Gauge::new(
                "coltsfootgate_config_load_seconds",
                "Time that the last load of a settings tree took.",
            )),
            config_bytes: registrar.register(IntGauge::new(
                "coltsfootgate_config_bytes",
                "Size of the values that the settings tree in force was loaded from.",
            )),
            config_refused: registrar.counters(
                "config_refused",
                "Versions of the settings tree that were rejected, by cause.",
                &["cause"],
            ),
            answers_mismatched: registrar.counters(
                "answers_mismatched",
                "Answers dropped because they carried the id of another request.",
                &["class"],
            ),
            answer_ends: registrar.counters(
                "answer_ends",
                "Answers of endpoints whose transfer ended without an error, by framing and content.",
                &["framing", "end"],
            ),
            endpoint_crashes: registrar.counters(
                "endpoint_crashes",
                "Crashes of endpoints in which this instance lost requests with known prompt parts.",
                &["pool"],
            ),
            blocked_causes: registrar.register(IntGauge::new(
                "coltsfootgate_blocked_causes",
                "Parts of prompts and requests that are blocked because endpoints crashed under them.",
            )),
            limit_notices: registrar.counters(
                "limit_notices",
                "Answers of endpoints, by what they state about a limit on their requests.",
                &["notice"],
            ),
            instances: registrar.gauges(
                "instances",
                "Other instances known to this one, by state.",
                &["state"],
            ),
            waiting: registrar.gauges(
                "waiting_requests",
                "Requests waiting in the queues owned by this instance, by tier.",
                &["tier"],
            ),
            grants: registrar.counters(
                "grants",
                "Grants by the owners on this instance, by whether a request of a higher rank waited.",
                &["pool", "overtaking"],
            ),
            deferrals: registrar.counters(
                "deferrals",
                "Failed attempts to place a waiting request, by cause.",
                &["pool", "cause"],
            ),
            streams_taken_up: registrar.counters(
                "streams_taken_up",
                "Streams that callers took up again, by how it was determined where they began; all but \
                 `record`, `page` and `sole-origin` were refused.",
                &["origin"],
            ),
            stream_pages: registrar.counters(
                "stream_pages",
                "Pages that name where streams began, by what became of reading or writing them.",
                &["result"],
            ),
            lost_grants: registrar.counters(
                "lost_grants",
                "Grants that their requesters did not hold any more and had not returned.",
                &["pool"],
            ),
            forwards_requested: registrar.counters(
                "forwards_requested",
                "Requests that other instances were asked to forward, since this one reached no \
                 endpoint, by result.",
                &["result"],
            ),
            forwards_served: registrar.counters(
                "forwards_served",
                "Requests that this instance was asked to forward to endpoints, by result.",
                &["result"],
            ),
            path_lost: registrar.gauges(
                "path_lost",
                "Whether this instance reaches no endpoint of a pool; 1 if so.",
                &["pool"],
            ),
            path_faults: registrar.counters(
                "path_faults",
                "Failed attempts that showed a lost path of the instance that sent them, not a fault of \
                 the endpoint.",
                &["pool"],
            ),
            loop_delay: registrar.register(Histogram::with_opts(
                HistogramOpts::new(
                    "coltsfootgate_loop_delay_seconds",
                    "Delay between the due time and the run of a timer on the process's event loop.",
                )
                .buckets(TOKEN_BUCKETS.to_vec()),
            )),
            memory: MemoryMetrics::new(&registrar),
            registry: registrar.0,
        };
        metrics.init_reason_series();
        metrics
    }

    /// Counts a request that ended; `reason` is `None` if it completed.
    pub fn request_ended(&self, class: &str, outcome: RequestOutcome, reason: Option<ErrorKind>) {
        self.requests.with_label_values(&[class, outcome.name()]).inc();
        if let Some(reason) = reason {
            self.refusals.with_label_values(&[class, reason.code()]).inc();
        }
    }

    /// Counts an attempt after the first, by the reason why the previous one failed.
    pub fn retried(&self, class: &str, reason: RetryReason) {
        self.retries.with_label_values(&[class, reason.name()]).inc();
    }

    /// Counts a latency target as met or missed.
    pub fn target_counted(&self, class: &str, target: LatencyTarget, met: bool) {
        let met = if met { "yes" } else { "no" };
        self.targets.with_label_values(&[class, target.name(), met]).inc();
    }

    /// Counts the tokens of an ended request: those of a completed answer, and wasted ones.
    pub fn tokens_counted(&self, class: &str, goodput: u64, wasted: u64) {
        self.tokens.with_label_values(&[class, "goodput"]).inc_by(goodput);
        self.tokens.with_label_values(&[class, "wasted"]).inc_by(wasted);
    }

    /// Records the time that a request waited for grants.
    pub fn waited(&self, class: &str, time: Duration) {
        self.waits.with_label_values(&[class]).observe(time.as_secs_f64());
    }

    /// Records the time from arrival to the first token.
    pub fn first_token(&self, class: &str, time: Duration) {
        self.first_token.with_label_values(&[class]).observe(time.as_secs_f64());
    }

    /// The histogram of the time between tokens of a class; a stream keeps it while it runs.
    pub fn between_tokens(&self, class: &str) -> Histogram {
        self.between_tokens.with_label_values(&[class])
    }

    /// Records the time from arrival to the end of the answer.
    pub fn whole_answer(&self, class: &str, time: Duration) {
        self.whole_answer.with_label_values(&[class]).observe(time.as_secs_f64());
    }

    /// Counts a connection as open until the returned value is dropped.
    pub fn connection_opened(&self, side: ConnectionSide) -> ConnectionCount {
        let gauge = self.connections.with_label_values(&[side.name()]);
        gauge.inc();
        ConnectionCount(gauge)
    }

    /// The number of open connections.
    pub fn open_connections(&self, side: ConnectionSide) -> usize {
        usize::try_from(self.connections.with_label_values(&[side.name()]).get()).unwrap_or(0)
    }

    /// Counts a connection that was closed on arrival because the limit was reached.
    pub fn connection_refused(&self, side: ConnectionSide) {
        self.connections_refused.with_label_values(&[side.name()]).inc();
    }

    /// Counts bytes of messages sent to another instance.
    pub fn peer_bytes_sent(&self, bytes: usize) {
        self.peer_bytes.with_label_values(&["sent"]).inc_by(bytes as u64);
    }

    /// Counts bytes of messages received from another instance.
    pub fn peer_bytes_received(&self, bytes: usize) {
        self.peer_bytes.with_label_values(&["received"]).inc_by(bytes as u64);
    }

    /// Counts a message sent to another instance, with its size in bytes.
    pub fn peer_message_sent(&self, kind: &str, bytes: usize) {
        self.peer_messages.with_label_values(&[kind]).inc();
        self.peer_message_bytes.with_label_values(&[kind]).inc_by(bytes as u64);
    }

    /// Counts a connection between instances that was refused or dropped.
    pub fn peer_fault(&self, cause: &str) {
        self.peer_faults.with_label_values(&[cause]).inc();
    }

    /// Counts a stream that a caller takes up again, by how its origin was determined.
    pub fn stream_taken_up(&self, origin: &str) {
        self.streams_taken_up.with_label_values(&[origin]).inc();
    }

    /// Counts pages of streams that were read or written.
    pub fn stream_page_called(&self, result: &str, count: usize) {
        self.stream_pages.with_label_values(&[result]).inc_by(count as u64);
    }

    /// Counts a call to the platform's service.
    pub fn platform_called(&self, call: &str, result: &str) {
        self.platform_calls.with_label_values(&[call, result]).inc();
    }

    /// Sets the version of the settings tree in force.
    pub fn set_config_version(&self, version: ConfigVersion) {
        self.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Sets the time since the settings tree in force was confirmed as the newest; `None` if it
    /// never was.
    pub fn set_config_age(&self, age: Option<Duration>) {
        self.config_age.set(age.map_or(-1.0, |age| age.as_secs_f64()));
    }

    /// Records how long the load of a settings tree took, and the size of its values.
    pub fn record_config_load(&self, elapsed: Duration, bytes: usize) {
        self.config_load_time.set(elapsed.as_secs_f64());
        self.config_bytes.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Counts a rejected version of the settings tree.
    pub fn config_refused(&self, cause: &str) {
        self.config_refused.with_label_values(&[cause]).inc();
    }

    /// Counts an answer that was dropped because it carried the id of another request.
    pub fn answer_mismatched(&self, class: &str) {
        self.answers_mismatched.with_label_values(&[class]).inc();
    }

    /// Counts an answer whose transfer ended without an error by its framing and its content.
    pub fn answer_ended(&self, framing: AnswerFraming, end: ContentEnd) {
        self.answer_ends.with_label_values(&[framing.name(), end.name()]).inc();
    }

    /// Counts a crash of an endpoint in which this instance lost requests.
    pub fn endpoint_crashed(&self, pool: &str) {
        self.endpoint_crashes.with_label_values(&[pool]).inc();
    }

    /// Sets the number of blocked causes of crashes.
    pub fn causes_blocked(&self, count: usize) {
        self.blocked_causes.set(count as i64);
    }

    /// Counts an answer of an endpoint by what it states about a limit on its requests.
    pub fn limit_noticed(&self, notice: &str) {
        self.limit_notices.with_label_values(&[notice]).inc();
    }

    /// Sets the number of other instances in a state.
    pub fn instances_known(&self, state: &str, count: usize) {
        self.instances.with_label_values(&[state]).set(count as i64);
    }

    /// Sets the number of requests of a tier in the queues owned by this instance.
    pub fn requests_waiting(&self, tier: u8, count: usize) {
        self.waiting.with_label_values(&[&tier.to_string()]).set(count as i64);
    }

    /// Counts the decisions of the owner of a pool.
    pub fn owner_decided(&self, pool: &str, change: &OwnerActivity) {
        let in_order = change.grants.saturating_sub(change.overtaking_grants);
        self.grants.with_label_values(&[pool, "no"]).inc_by(in_order);
        self.grants.with_label_values(&[pool, "yes"]).inc_by(change.overtaking_grants);
        for (cause, count) in DeferralCause::ALL.into_iter().zip(change.deferrals) {
            self.deferrals.with_label_values(&[pool, cause.name()]).inc_by(count);
        }
        self.lost_grants.with_label_values(&[pool]).inc_by(change.lost_grants);
        self.path_faults.with_label_values(&[pool]).inc_by(change.path_faults);
    }

    /// Counts a request that another instance was asked to forward.
    pub fn forward_requested(&self, result: &str) {
        self.forwards_requested.with_label_values(&[result]).inc();
    }

    /// Counts a request that this instance was asked to forward.
    pub fn forward_served(&self, result: &str) {
        self.forwards_served.with_label_values(&[result]).inc();
    }

    /// Sets whether this instance reaches no endpoint of a pool.
    pub fn path_lost(&self, pool: &str, is_lost: bool) {
        self.path_lost.with_label_values(&[pool]).set(i64::from(is_lost));
    }

    /// Records the delay of a timer.
    pub fn loop_delayed(&self, time: Duration) {
        self.loop_delay.observe(time.as_secs_f64());
    }

    /// The metrics of the memory that is held for others.
    pub fn memory(&self) -> &MemoryMetrics {
        &self.memory
    }

    /// Registers the metrics of the duties, once.
    pub fn duties(&self) -> DutyMetrics {
        DutyMetrics::new(&MetricRegistrar(self.registry.clone()))
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Encoding to memory fails only for a family without metrics, and `gather` omits those.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }

    /// Initializes the series of every reason to zero, so that `rate` includes the first increment.
    fn init_reason_series(&self) {
        for reason in RetryReason::ALL {
            self.retries.with_label_values(&[NO_CLASS, reason.name()]).inc_by(0);
        }
        for kind in ErrorKind::ALL {
            self.refusals.with_label_values(&[NO_CLASS, kind.code()]).inc_by(0);
        }
    }
}
