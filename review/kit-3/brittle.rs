//! Replicas are brittle while the instance that hands out their slots is killed and started again at once.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
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
const SLOTS: usize = 16;
const USUAL_QUEUE: usize = 32;
/// Requests that may wait from `stable_window_ms` after the replicas first said that they are brittle.
const BRITTLE_QUEUE: usize = 4;
/// Requests that a replica may turn away in a second before it falls over.
const BRITTLE_REJECTIONS: usize = 4;
const DEADLINE: Duration = Duration::from_secs(12);
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Time between two requests: 0.95 of what the replicas can run, and 1.7 times that in a burst.
const USUAL_PERIOD_US: u64 = 33_000;
const BURST_PERIOD_US: u64 = 19_400;
const BURST_TIME: Duration = Duration::from_millis(2900);
/// Time after which a process that was killed is started again.
const RESTART_DELAY: Duration = Duration::from_millis(200);
/// How long the replicas stay brittle after the kill.
const WATCHED_TIME: Duration = Duration::from_secs(10);

#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    whole: AtomicUsize,
    refused: AtomicUsize,
    lost: AtomicUsize,
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op/config", &stream_settings(1, SERVICE, &limits(16_384)));
    let plan = PoolPlan {
        service: SERVICE,
        slots: SLOTS,
        queue: AtomicUsize::new(USUAL_QUEUE),
        first: Duration::from_millis(200),
        events: 40,
        gap: Duration::from_millis(70),
        line_end: "\n",
        crash_parts: "",
        brittle: AtomicUsize::new(0),
        back_after: Duration::from_secs(3),
    };
    let pool = Pool::start(REPLICAS, plan, &store, record);
    let mut fleet = start_fleet(&["cluj-a", "cluj-b", "turda-c"], store.address, record);
    if !fleet.iter_mut().all(Instance::wait_ready) {
        return Verdict::NotRun("an instance does not become ready");
    }
    thread::sleep(STABLE_WINDOW);
    let fronts = Arc::new(Mutex::new(fleet.iter().map(|one| one.front).collect::<Vec<_>>()));
    let (is_done, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(Counts::default()));
    let period = Arc::new(AtomicU64::new(USUAL_PERIOD_US));
    let sender = start_load(&fronts, &period, &is_done, &counts, record);
    thread::sleep(Duration::from_secs(6));
    record.say(format!("brittle from now on: at most {BRITTLE_REJECTIONS} a second"));
    pool.plan.brittle.store(BRITTLE_REJECTIONS, Ordering::Relaxed);
    thread::sleep(STABLE_WINDOW);
    pool.plan.queue.store(BRITTLE_QUEUE, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(2));
    period.store(BURST_PERIOD_US, Ordering::Relaxed);
    thread::sleep(BURST_TIME);
    let owner = fleet.iter().position(|one| {
        let text = format!("\"owner\":\"{}\"", one.control);
        fleet.iter().map(|other| other.log_lines(&text).len()).sum::<usize>() > 10
    });
    let Some(owner) = owner else { return Verdict::NotRun("no instance owns the slots") };
    record.say(format!("{} hands out the slots", fleet[owner].name));
    if has_trouble {
        let all = fronts.lock().expect("fronts").clone();
        let others = all.iter().copied().filter(|one| *one != fleet[owner].front).collect();
        *fronts.lock().expect("fronts") = others;
        fleet[owner].signal(Signal::Kill);
        fleet[owner].wait_exit();
        thread::sleep(RESTART_DELAY);
        let seeds = seeds(&fleet);
        fleet[owner].start(store.address, &seeds);
    }
    period.store(USUAL_PERIOD_US, Ordering::Relaxed);
    thread::sleep(WATCHED_TIME);
    is_done.store(true, Ordering::Relaxed);
    let _ = sender.join();
    let ends = pool.counts.ends.lock().expect("ends").clone();
    pool.stop();
    let count = |count: &AtomicUsize| count.load(Ordering::Relaxed);
    record.say(format!(
        "{} sent, {} whole, {} refused, {} lost; replicas turned {} away and fell over {} times",
        count(&counts.sent),
        count(&counts.whole),
        count(&counts.refused),
        count(&counts.lost),
        count(&pool.counts.rejections),
        ends.len()
    ));
    // More than 2 + a tenth of their number. All that was turned away came from instances that ran all the while.
    if ends.len() * 10 > 20 + REPLICAS { Verdict::Broken } else { Verdict::Held }
}

fn start_load(
    fronts: &Arc<Mutex<Vec<SocketAddr>>>,
    period: &Arc<AtomicU64>,
    is_done: &Arc<AtomicBool>,
    counts: &Arc<Counts>,
    record: &Record,
) -> thread::JoinHandle<()> {
    let (fronts, period, is_done) = (fronts.clone(), period.clone(), is_done.clone());
    let (counts, record) = (counts.clone(), record.clone());
    thread::spawn(move || {
        let mut due = Instant::now();
        for number in 0_u32.. {
            if is_done.load(Ordering::Relaxed) {
                return;
            }
            let address = turn(&fronts.lock().expect("fronts"), number as usize);
            let (counts, record) = (counts.clone(), record.clone());
            thread::spawn(move || {
                let id = format!("5{number:07x}");
                let parts = format!("c0:300,d{:x}:200,{id}:200", number % 20);
                let request = stream_request("/digest/1", &id, &parts, DEADLINE);
                counts.sent.fetch_add(1, Ordering::Relaxed);
                let end = call(address, &request, DEADLINE);
                let count = match &end {
                    one if one.is_success() => &counts.whole,
                    Exchange::Whole(answer) if answer.status() == 503 => &counts.refused,
                    _ => &counts.lost,
                };
                count.fetch_add(1, Ordering::Relaxed);
                if !end.is_success() {
                    record.line(format!("request {id}: {}", end.summary()));
                }
            });
            due += Duration::from_micros(period.load(Ordering::Relaxed));
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
    })
}
