//! Open-loop load generator: requests arrive by the plan, whatever becomes of earlier ones.

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
use self::client::EntryClient;
pub use self::report::{ClassReport, LatencySummary, LoadReport};
use crate::signal::ChangeSignal;

/// One stretch of time with one level of load.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct LoadPhase {
    /// How long it lasts.
    pub seconds: f64,
    /// Whether classes arrive at their burst rate.
    pub burst: bool,
}

/// What a class of requests asks for.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadTarget {
    /// A model request.
    Model {
        /// The name of the model.
        model: String,
        /// Whether the answer is streamed.
        stream: bool,
        /// Bound of the answer's length.
        max_tokens: u32,
        /// Words of the prompt.
        prompt_words: usize,
        /// How many different beginnings prompts share.
        prefixes: u64,
    },
    /// A request to a plain service.
    Service {
        /// The HTTP method.
        method: String,
        /// The path; `{n}` stands for the number of the request.
        path: String,
        /// Whether each request has an idempotency key.
        keyed: bool,
        /// Share of keyed requests that are sent twice, through two instances.
        repeats: f64,
    },
}

/// One class of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoadClass {
    /// Its name in the report, which is the branch of the tree.
    pub name: String,
    /// Its tier in the tree.
    pub tier: u8,
    /// Requests a second outside bursts.
    pub rate: f64,
    /// Requests a second in bursts.
    pub burst_rate: f64,
    /// What it asks for.
    pub target: LoadTarget,
    /// Further headers.
    pub headers: BTreeMap<String, String>,
    /// Bearer keys of its customers; each sends less than the one before it.
    pub keys: Vec<String>,
    /// Target for the time to the first token, in milliseconds.
    pub first_token_ms: f64,
    /// Target for the mean time between tokens of an answer, in milliseconds.
    pub between_tokens_ms: f64,
    /// Target for the whole answer of a service or an answer at once, in milliseconds.
    pub whole_answer_ms: f64,
}

/// What to send where.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoadPlan {
    /// Seed of arrivals, customers and prompts.
    pub seed: u64,
    /// Seed of the engines, which tells how long each answer must be.
    pub engine_seed: u64,
    /// Callers' addresses of the instances.
    pub entries: Vec<SocketAddr>,
    /// Phases, one after the other.
    pub phases: Vec<LoadPhase>,
    /// How long callers wait for answers after the last arrival.
    pub drain_seconds: f64,
    /// The classes.
    pub classes: Vec<LoadClass>,
}

struct LoadRun {
    plan: Rc<LoadPlan>,
    client: Rc<EntryClient>,
    report: RefCell<LoadReport>,
    begun: Instant,
    left: Cell<usize>,
    changed: ChangeSignal,
}

/// Runs a plan; prints `started` when the first request is due and returns the report.
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
        client: Rc::new(EntryClient::new(plan.entries.clone(), plan.seed)),
        report: RefCell::new(LoadReport::new(&plan)),
        begun: Instant::now(),
        left: Cell::new(calls.len()),
        changed: ChangeSignal::default(),
        plan: Rc::new(plan),
    });
    for call in calls {
        monoio::time::sleep_until((run.begun + call.at).into()).await;
        monoio::spawn(make_call(run.clone(), call));
    }
    let all_ended = run.changed.until(|| run.left.get() == 0);
    let _ = monoio::time::timeout(drain, all_ended).await;
    Ok(run.report.take().finish(run.left.get()))
}

async fn make_call(run: Rc<LoadRun>, call: PlannedCall) {
    let class = &run.plan.classes[call.class];
    run.report.borrow_mut().sent(class, call.repeated);
    let mut result = CallResult::new(run.begun, &run.report);
    call::perform(&run.client, &run.plan, &call, &mut result).await;
    run.report.borrow_mut().ended(class, &call, &result);
    run.left.set(run.left.get() - 1);
    run.changed.notify();
}
