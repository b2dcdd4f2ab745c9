//! Open-loop load generator: sends requests at their planned times, whether or not earlier ones
//! have been answered.

mod arrivals;
mod call;
mod client;
mod report;
mod stream;
#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::{LegacyDriver, RuntimeBuilder};
use serde::{Deserialize, Serialize};

use self::arrivals::PlannedCall;
use self::call::CallResult;
use self::client::ConnectionPool;
pub use self::report::{ClassReport, LatencySummary, LoadReport};
use crate::signal::ChangeSignal;

/// Period with a constant arrival rate.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct LoadPhase {
    /// Duration in seconds.
    pub seconds: f64,
    /// Whether classes send at their burst rate.
    pub burst: bool,
}

/// Target of a class of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadTarget {
    /// A model, through the chat completions API.
    Model {
        /// The name of the model.
        model: String,
        /// Whether the answer is streamed.
        stream: bool,
        /// Largest length of the answer in tokens.
        max_tokens: u32,
        /// Number of words in the prompt.
        prompt_words: usize,
        /// Number of different shared prefixes among the prompts.
        prefixes: u64,
    },
    /// A plain HTTP service.
    Service {
        /// The HTTP method.
        method: String,
        /// The path; `{n}` is replaced by the seed and the number of the request.
        path: String,
        /// Whether each request has an idempotency key.
        keyed: bool,
        /// Share of keyed requests that are sent a second time, usually through another instance.
        repeats: f64,
    },
}

/// One class of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoadClass {
    /// Name in the report, which is the path of its branch in the settings tree.
    pub name: String,
    /// Tier in the settings tree.
    pub tier: u8,
    /// Requests per second outside bursts.
    pub rate: f64,
    /// Requests per second in bursts.
    pub burst_rate: f64,
    /// Target of its requests.
    pub target: LoadTarget,
    /// Additional headers.
    pub headers: BTreeMap<String, String>,
    /// Bearer keys of its customers, by decreasing share of the requests.
    pub keys: Vec<String>,
    /// Latency target for the first token, in milliseconds.
    pub first_token_ms: f64,
    /// Latency target for the mean time between the tokens of an answer, in milliseconds.
    pub between_tokens_ms: f64,
    /// Latency target for the complete answer of a request that is not streamed, in milliseconds.
    pub whole_answer_ms: f64,
}

/// Plan of a load test: the requests, their times and the instances that receive them.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoadPlan {
    /// Seed of arrivals, customers and prompts.
    pub seed: u64,
    /// Seed of the engines, from which the expected length of each answer follows.
    pub engine_seed: u64,
    /// Addresses of the instances for callers.
    pub entries: Vec<SocketAddr>,
    /// Consecutive phases.
    pub phases: Vec<LoadPhase>,
    /// Time to wait for answers after the last request, in seconds.
    pub drain_seconds: f64,
    /// Classes of requests.
    pub classes: Vec<LoadClass>,
}

/// Shared state of a running plan.
struct LoadRun {
    plan: Rc<LoadPlan>,
    connections: Rc<ConnectionPool>,
    report: RefCell<LoadReport>,
    started: Instant,
    /// Number of calls that have not ended.
    pending: Cell<usize>,
    changed: ChangeSignal,
}

/// Runs a plan and returns the report; prints `started` at the start of the first phase.
pub fn run_plan(plan: LoadPlan) -> io::Result<LoadReport> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    runtime.block_on(run(plan))
}

async fn run(plan: LoadPlan) -> io::Result<LoadReport> {
    let calls = arrivals::plan_calls(&plan);
    println!("started");
    io::stdout().flush()?;
    let drain = Duration::from_secs_f64(plan.drain_seconds);
    let run = Rc::new(LoadRun {
        connections: Rc::new(ConnectionPool::new(plan.entries.clone(), plan.seed)),
        report: RefCell::new(LoadReport::new(&plan)),
        started: Instant::now(),
        pending: Cell::new(calls.len()),
        changed: ChangeSignal::default(),
        plan: Rc::new(plan),
    });
    for call in calls {
        monoio::time::sleep_until((run.started + call.at).into()).await;
        monoio::spawn(run_call(run.clone(), call));
    }
    let all_ended = run.changed.until(|| run.pending.get() == 0);
    let _ = monoio::time::timeout(drain, all_ended).await;
    Ok(run.report.take().finish(run.pending.get()))
}

async fn run_call(run: Rc<LoadRun>, call: PlannedCall) {
    let class = &run.plan.classes[call.class];
    run.report.borrow_mut().record_sent(class, call.repeated);
    let mut result = CallResult::new(run.started, &run.report);
    call::perform(&run.connections, &run.plan, &call, &mut result).await;
    run.report.borrow_mut().record_end(class, &call, &result);
    run.pending.set(run.pending.get() - 1);
    run.changed.notify();
}
