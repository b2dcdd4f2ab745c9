//! A part of prompts crashes replicas while the instance that counts the crashes is restarted.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::clients::{limits, stream_request, stream_settings, turn};
use crate::http::{Exchange, call};
use crate::instances::{Instance, Signal, seeds, start_fleet};
use crate::record::Record;
use crate::replicas::{Pool, PoolPlan};
use crate::store::Store;

const SERVICE: &str = "asistent-llm";
const REPLICAS: usize = 6;
/// Time between two requests with the part.
const CRASH_PERIOD: Duration = Duration::from_millis(3500);
/// How long they come.
const CRASH_TIME: Duration = Duration::from_secs(57);
/// When the instance is stopped, after the first request with the part, and when it is started again.
const STOP_AT: Duration = Duration::from_millis(4500);
const START_AT: Duration = Duration::from_millis(11_500);
/// Sound requests a second.
const SOUND_PERIOD: Duration = Duration::from_millis(80);
const DEADLINE: Duration = Duration::from_secs(12);
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// The crash after which the bound counts, and the requests that may reach replicas then.
const COUNTED_CRASH: usize = 5;
const LATE_MAX: usize = 3;

/// What became of sound requests.
#[derive(Default)]
struct SoundCounts {
    sent: AtomicUsize,
    whole: AtomicUsize,
    /// Begun and cut off, or failed after they may have run.
    lost: Mutex<Vec<Instant>>,
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op/config", &stream_settings(1, SERVICE, &limits(16_384)));
    let plan = PoolPlan {
        service: SERVICE,
        slots: 8,
        queue: AtomicUsize::new(16),
        first: Duration::from_millis(100),
        events: 10,
        gap: Duration::from_millis(80),
        line_end: "\n",
        crash_parts: "bad",
        brittle: AtomicUsize::new(0),
        back_after: Duration::from_secs(2),
    };
    let pool = Pool::start(REPLICAS, plan, &store, record);
    let mut fleet = start_fleet(&["cluj-a", "cluj-b", "turda-c"], store.address, record);
    if !fleet.iter_mut().all(Instance::wait_ready) {
        return Verdict::NotRun("an instance does not become ready");
    }
    thread::sleep(STABLE_WINDOW);
    let fronts = Arc::new(Mutex::new(fleet.iter().map(|one| one.front).collect::<Vec<_>>()));
    let (is_done, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(SoundCounts::default()));
    let sender = start_sound(&fronts, &is_done, &counts, record);
    let Some(counting) = find_counting(&fleet, &pool, record) else {
        return Verdict::NotRun("no instance blocked the first part");
    };
    record.say(format!("{} decides about the parts of {SERVICE}", fleet[counting].name));
    let others: Vec<SocketAddr> =
        fleet.iter().enumerate().filter(|(index, _)| *index != counting).map(|(_, one)| one.front).collect();
    let started = Instant::now();
    let mut number = 0;
    let (mut is_stopped, mut is_back) = (false, false);
    while started.elapsed() < CRASH_TIME {
        if started.elapsed() >= CRASH_PERIOD * number {
            send_crashing(&others, number as usize, record);
            number += 1;
        }
        if has_trouble && !is_stopped && started.elapsed() >= STOP_AT {
            is_stopped = true;
            // The platform sends it no new connections any more.
            *fronts.lock().expect("fronts") = others.clone();
            fleet[counting].signal(Signal::Terminate);
        }
        if is_stopped && !is_back && started.elapsed() >= START_AT {
            is_back = true;
            fleet[counting].wait_exit();
            let seeds = seeds(&fleet);
            fleet[counting].start(store.address, &seeds);
        }
        if fleet.iter_mut().enumerate().any(|(index, one)| index != counting && one.has_ended()) {
            return Verdict::NotRun("an instance ended by itself");
        }
        thread::sleep(Duration::from_millis(10));
    }
    is_done.store(true, Ordering::Relaxed);
    let _ = sender.join();
    thread::sleep(Duration::from_millis(1500));
    pool.stop();
    judge(&pool, &counts, record)
}

/// Sends sound requests to the instances in turn, each on a thread of its own.
fn start_sound(
    fronts: &Arc<Mutex<Vec<SocketAddr>>>,
    is_done: &Arc<AtomicBool>,
    counts: &Arc<SoundCounts>,
    record: &Record,
) -> thread::JoinHandle<()> {
    let (fronts, is_done) = (fronts.clone(), is_done.clone());
    let (counts, record) = (counts.clone(), record.clone());
    thread::spawn(move || {
        for number in 0.. {
            if is_done.load(Ordering::Relaxed) {
                return;
            }
            let address = turn(&fronts.lock().expect("fronts"), number);
            let (counts, record) = (counts.clone(), record.clone());
            thread::spawn(move || {
                let id = format!("5{number:07x}");
                let parts = format!("c0:300,d{:x}:200,{id}:200", number % 20);
                let request = stream_request("/digest/1", &id, &parts, DEADLINE);
                counts.sent.fetch_add(1, Ordering::Relaxed);
                let end = call(address, &request, DEADLINE);
                if end.is_success() {
                    counts.whole.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                let is_refused = matches!(&end, Exchange::Whole(answer) if answer.status() == 503);
                if !is_refused {
                    counts.lost.lock().expect("lost").push(Instant::now());
                }
                record.line(format!("sound request {id}: {}", end.summary()));
            });
            thread::sleep(SOUND_PERIOD);
        }
    })
}

/// Lets another part crash replicas until it is blocked, and returns the instance that blocked it.
fn find_counting(fleet: &[Instance], pool: &Pool, record: &Record) -> Option<usize> {
    let fronts: Vec<SocketAddr> = fleet.iter().map(|one| one.front).collect();
    for number in 0..6 {
        let id = format!("e0{number:02x}");
        let parts = format!("c0:300,bad0:200,{id}:200");
        let end = call(turn(&fronts, number), &stream_request("/digest/1", &id, &parts, DEADLINE), DEADLINE);
        record.line(format!("request {id} with part bad0: {}", end.summary()));
        thread::sleep(Duration::from_millis(1000));
        let decided = |one: &Instance| !one.log_lines("is blocked: ").is_empty();
        if let Some(index) = fleet.iter().position(decided) {
            thread::sleep(pool.plan.back_after + Duration::from_secs(2));
            return Some(index);
        }
    }
    None
}

fn send_crashing(fronts: &[SocketAddr], number: usize, record: &Record) {
    let (address, record) = (turn(fronts, number), record.clone());
    thread::spawn(move || {
        let id = format!("e1{number:02x}");
        let parts = format!("c0:300,bad1:200,{id}:200");
        let request = stream_request("/digest/1", &id, &parts, DEADLINE);
        record.line(format!("request {id} with part bad1 is sent"));
        let end = call(address, &request, DEADLINE);
        record.line(format!("request {id} with part bad1: {}", end.summary()));
    });
}

fn judge(pool: &Pool, counts: &SoundCounts, record: &Record) -> Verdict {
    let ends = pool.counts.ends.lock().expect("ends").clone();
    let crashes: Vec<Instant> =
        ends.iter().filter(|(_, cause)| cause == "part bad1").map(|(at, _)| *at).collect();
    let arrivals = pool.counts.arrivals.lock().expect("arrivals").clone();
    let arrivals: Vec<_> = arrivals.into_iter().filter(|one| one.part == "bad1").collect();
    let (sent, whole) =
        (counts.sent.load(Ordering::Relaxed), counts.whole.load(Ordering::Relaxed));
    let lost = counts.lost.lock().expect("lost").clone();
    record.say(format!("sound requests: {sent} sent, {whole} whole, {} lost", lost.len()));
    record.say(format!("part bad1: {} requests reached replicas, {} crashes", arrivals.len(), crashes.len()));
    let Some(fifth) = crashes.get(COUNTED_CRASH - 1) else {
        record.say("there were fewer than five crashes: the rule held");
        return Verdict::Held;
    };
    let due = *fifth + STABLE_WINDOW;
    let late: Vec<&str> =
        arrivals.iter().filter(|one| one.at > due).map(|one| one.id.as_str()).collect();
    let lost_late = lost.iter().filter(|at| **at > due).count();
    record.say(format!(
        "later than {} s after the fifth crash: {} requests with the part reached replicas ({}), \
         {lost_late} sound requests were lost; allowed are {LATE_MAX}",
        STABLE_WINDOW.as_secs(),
        late.len(),
        late.join(" ")
    ));
    if late.len() > LATE_MAX { Verdict::Broken } else { Verdict::Held }
}
