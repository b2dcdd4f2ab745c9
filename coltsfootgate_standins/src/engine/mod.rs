//! Stand-in for a model engine with continuous batching.

mod answer;
mod batch;
mod cache;
mod settings;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::mpsc;
use futures_util::StreamExt;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use serde_json::{Value, json};

use self::answer::{AnswerShape, AnswerWriter, EngineRequest};
use self::batch::{Sequence, SequenceBatch};
pub use self::settings::EngineSettings;
use crate::answer_text::{DEFAULT_MAX_TOKENS, PromptDigest};
use crate::body::{ConnectionCut, StandinBody};
use crate::http_server::{
    ControlTarget, StandinService, empty_response, json_response, query_value, read_body,
};
use crate::runner::{self, StandinHandle};
use crate::signal::{ChangeSignal, ServerGate};

/// Interval between two samples of the load.
const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Smallest age of the sample in a load report; the age is drawn between this and twice as much.
const LOAD_REPORT_LAG: Duration = Duration::from_secs(1);
/// Largest delay of a step that the next step catches up on; a longer one shifts the schedule.
const SCHEDULE_SLIP_MAX: Duration = Duration::from_millis(20);
/// Lower bound of the factor by which steps are slowed.
const SLOW_FACTOR_MIN: f64 = 0.01;
/// Request id in the answers while the fault `wrong_id` is set.
const WRONG_ID: &str = "00000000-0000-4000-8000-000000000000";

/// Control command of an engine; members that are left out stay unchanged.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct EngineCommand {
    /// Factor by which the duration of each step is multiplied.
    slow: Option<f64>,
    /// Whether the engine stalls: connections stay open and no more tokens are sent.
    stall: Option<bool>,
    /// Whether the engine crashes: it closes the listener and all connections and loses its state.
    crash: Option<bool>,
    /// Whether requests are refused with a header that guarantees that they were not started.
    refuse: Option<bool>,
    /// Whether answers carry the id of another request.
    wrong_id: Option<bool>,
    /// Cuts the connections of later requests after this many tokens of the answer; 0 disables it.
    cut_after_tokens: Option<u32>,
    /// Delay before the head of each answer, in milliseconds.
    delay_ms: Option<u64>,
}

/// Load of the engine at one moment.
#[derive(Clone, Copy, Debug)]
struct LoadSample {
    at: Instant,
    running: usize,
    waiting: usize,
    /// Used share of the KV cache.
    kv_used: f64,
}

/// Accumulates the tokens that the engine could have generated with full batches.
#[derive(Clone, Copy, Debug)]
struct CapacityMeter {
    updated: Instant,
    /// Total prefill time of the batch at `updated`.
    prefill: Duration,
    tokens: f64,
}

#[derive(Debug)]
struct EngineService {
    settings: EngineSettings,
    gate: ServerGate,
    changed: ChangeSignal,
    batch: RefCell<SequenceBatch<AnswerWriter>>,
    slow: Cell<f64>,
    stalled: Cell<bool>,
    crashed: Cell<bool>,
    refusing: Cell<bool>,
    wrong_id: Cell<bool>,
    cut_after: Cell<Option<u32>>,
    delay: Cell<Duration>,
    capacity: Cell<CapacityMeter>,
    loads: RefCell<VecDeque<LoadSample>>,
    lag_rng: RefCell<SmallRng>,
    /// Executions by request id.
    executions: RefCell<HashMap<String, u32>>,
    /// Executions by digest of the prompt.
    prompt_runs: RefCell<HashMap<String, u32>>,
    refused: Cell<u64>,
}

/// Starts an engine on its own thread.
pub fn start_engine(listen: SocketAddr, settings: EngineSettings) -> io::Result<StandinHandle> {
    runner::start_service(listen, move || EngineService::new(settings))
}

impl StandinService for EngineService {
    fn start(self: &Rc<Self>) {
        monoio::spawn(run_steps(self.clone()));
        monoio::spawn(sample_loads(self.clone()));
    }

    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<StandinBody>, ConnectionCut> {
        let number = request.uri().query().and_then(|query| query_value(query, "after"));
        let after = number.and_then(|number| number.parse().ok()).unwrap_or(0);
        match request.uri().path() {
            "/v1/load" => Ok(json_response(StatusCode::OK, &self.load_report())),
            "/v1/cache-events" => {
                let events = self.batch.borrow().cache.events_after(after, Instant::now());
                Ok(json_response(StatusCode::OK, &events))
            }
            "/v1/chat/completions" => self.generate(request, AnswerShape::Chat).await,
            "/v1/completions" => self.generate(request, AnswerShape::Completion).await,
            _ => Ok(empty_response(StatusCode::NOT_FOUND)),
        }
    }
}

impl ControlTarget for EngineService {
    fn gate(&self) -> &ServerGate {
        &self.gate
    }

    fn apply_command(&self, command: &[u8]) -> Result<(), String> {
        let command: EngineCommand =
            serde_json::from_slice(command).map_err(|error| error.to_string())?;
        self.update_capacity();
        self.slow.set(command.slow.map_or(self.slow.get(), |factor| factor.max(SLOW_FACTOR_MIN)));
        self.stalled.set(command.stall.unwrap_or(self.stalled.get()));
        self.refusing.set(command.refuse.unwrap_or(self.refusing.get()));
        self.wrong_id.set(command.wrong_id.unwrap_or(self.wrong_id.get()));
        self.delay.set(command.delay_ms.map_or(self.delay.get(), Duration::from_millis));
        if let Some(tokens) = command.cut_after_tokens {
            self.cut_after.set((tokens > 0).then_some(tokens));
        }
        if let Some(crashed) = command.crash {
            self.crashed.set(crashed);
            self.gate.set_open(!crashed);
            if crashed {
                self.batch.borrow_mut().clear();
            }
        }
        self.changed.notify();
        Ok(())
    }

    fn counters(&self) -> Value {
        self.update_capacity();
        let batch = self.batch.borrow();
        let counters = batch.counters;
        json!({
            "steps": counters.steps,
            "tokens": counters.tokens,
            "tokens_cancelled": counters.tokens_cancelled,
            "finished": counters.finished,
            "cancelled": counters.cancelled,
            "preempted": counters.preempted,
            "refused": self.refused.get(),
            "running": batch.running(),
            "waiting": batch.waiting(),
            "capacity_tokens": self.capacity.get().tokens,
            "executions": *self.executions.borrow(),
            "prompt_runs": *self.prompt_runs.borrow(),
        })
    }
}

impl EngineService {
    fn new(settings: EngineSettings) -> Self {
        let now = Instant::now();
        Self {
            settings,
            gate: ServerGate::default(),
            changed: ChangeSignal::default(),
            batch: RefCell::new(SequenceBatch::new(settings)),
            slow: Cell::new(1.0),
            stalled: Cell::new(false),
            crashed: Cell::new(false),
            refusing: Cell::new(false),
            wrong_id: Cell::new(false),
            cut_after: Cell::new(None),
            delay: Cell::new(Duration::ZERO),
            capacity: Cell::new(CapacityMeter {
                updated: now,
                prefill: Duration::ZERO,
                tokens: 0.0,
            }),
            loads: RefCell::new(VecDeque::new()),
            lag_rng: RefCell::new(SmallRng::seed_from_u64(settings.seed)),
            executions: RefCell::default(),
            prompt_runs: RefCell::default(),
            refused: Cell::new(0),
        }
    }

    async fn generate(
        self: Rc<Self>,
        request: Request<Incoming>,
        shape: AnswerShape,
    ) -> Result<Response<StandinBody>, ConnectionCut> {
        let headers = request.headers().clone();
        let body = read_body(request).await?;
        let Ok(request) = serde_json::from_slice::<EngineRequest>(&body) else {
            return Ok(empty_response(StatusCode::BAD_REQUEST));
        };
        if self.refusing.get() || self.batch.borrow().waiting() >= self.settings.waiting {
            self.refused.set(self.refused.get() + 1);
            return Ok(not_started(StatusCode::TOO_MANY_REQUESTS));
        }
        let mut receiver = self.enqueue(&headers, &request, shape);
        let id = self.echoed_id(&headers);
        if !self.delay.get().is_zero() {
            monoio::time::sleep(self.delay.get()).await;
        }
        let (content_type, body) = if request.stream {
            ("text/event-stream", StandinBody::Chunks(receiver))
        } else {
            let body = receiver.next().await.unwrap_or(Err(ConnectionCut))?;
            ("application/json", StandinBody::from(body))
        };
        let mut response = Response::new(body);
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
        if let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert("x-request-id", id);
        }
        Ok(response)
    }

    fn echoed_id(&self, headers: &HeaderMap) -> String {
        if self.wrong_id.get() {
            return WRONG_ID.to_owned();
        }
        header_text(headers, "x-request-id").unwrap_or_default().to_owned()
    }

    fn enqueue(
        &self,
        headers: &HeaderMap,
        request: &EngineRequest,
        shape: AnswerShape,
    ) -> mpsc::UnboundedReceiver<Result<bytes::Bytes, ConnectionCut>> {
        let (chunks, receiver) = mpsc::unbounded();
        let prompt = request.prompt_text();
        let digest = PromptDigest::of(&prompt);
        let offset = header_number(headers, "x-resume-offset").unwrap_or(0);
        let max_tokens = request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        let length = digest.answer_length(self.settings.seed, max_tokens);
        let attempt = header_text(headers, "x-request-id").unwrap_or_default().to_owned();
        *self.executions.borrow_mut().entry(attempt).or_default() += 1;
        *self.prompt_runs.borrow_mut().entry(digest.to_string()).or_default() += 1;
        let sink = AnswerWriter {
            id: self.echoed_id(headers),
            digest,
            shape,
            streamed: request.stream,
            offset,
            cut_after: self.cut_after.get(),
            chunks,
        };
        self.batch.borrow_mut().push(Sequence {
            priority: header_number(headers, "x-priority").unwrap_or(u32::from(u8::MAX)) as u8,
            prompt_tokens: prompt.split_whitespace().count() as u32,
            prompt,
            index: offset.min(length),
            length,
            generated: 0,
            sink,
        });
        self.changed.notify();
        receiver
    }

    fn load_report(&self) -> Value {
        let lag = LOAD_REPORT_LAG.mul_f64(1.0 + self.lag_rng.borrow_mut().random::<f64>());
        let loads = self.loads.borrow();
        let sample = loads.iter().rev().find(|sample| sample.at.elapsed() >= lag);
        let Some(sample) = sample.or(loads.front()) else {
            return json!({"running": 0, "waiting": 0, "kv_used": 0.0, "age_ms": 0});
        };
        json!({
            "running": sample.running,
            "waiting": sample.waiting,
            "kv_used": sample.kv_used,
            "age_ms": sample.at.elapsed().as_millis() as u64,
        })
    }

    /// Adds the tokens that could have been generated since the last call.
    fn update_capacity(&self) {
        let mut meter = self.capacity.get();
        let now = Instant::now();
        let prefill = self.batch.borrow().counters.prefill;
        if !self.crashed.get() {
            let elapsed = (now - meter.updated).as_secs_f64() / self.slow.get();
            let available = elapsed - (prefill - meter.prefill).as_secs_f64();
            meter.tokens += available.max(0.0) * self.settings.full_rate();
        }
        (meter.updated, meter.prefill) = (now, prefill);
        self.capacity.set(meter);
    }
}

async fn run_steps(engine: Rc<EngineService>) {
    let can_step =
        || !engine.batch.borrow().is_idle() && !engine.stalled.get() && !engine.crashed.get();
    let mut due = Instant::now();
    loop {
        engine.changed.until(can_step).await;
        let now = Instant::now();
        let step = engine.batch.borrow_mut().begin_step(now).mul_f64(engine.slow.get());
        let start = if now - due > SCHEDULE_SLIP_MAX { now } else { due };
        due = start + step;
        monoio::time::sleep_until(due.into()).await;
        if !engine.stalled.get() {
            engine.batch.borrow_mut().finish_step();
        }
    }
}

async fn sample_loads(engine: Rc<EngineService>) {
    loop {
        {
            let batch = engine.batch.borrow();
            let mut loads = engine.loads.borrow_mut();
            loads.push_back(LoadSample {
                at: Instant::now(),
                running: batch.running(),
                waiting: batch.waiting(),
                kv_used: batch.kv_used(),
            });
            loads.retain(|sample| sample.at.elapsed() < 3 * LOAD_REPORT_LAG);
        }
        monoio::time::sleep(LOAD_SAMPLE_INTERVAL).await;
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u32> {
    header_text(headers, name).and_then(|text| text.trim().parse().ok())
}

/// A refusal whose header `x-not-started` guarantees that the request was not started.
pub(crate) fn not_started(status: StatusCode) -> Response<StandinBody> {
    let mut response = empty_response(status);
    response.headers_mut().insert("x-not-started", HeaderValue::from_static("true"));
    response
}
