//! A replica that ends the lines of its events by carriage returns crashes while streams run that may be resumed.

use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::clients::{limits, stream_request, stream_settings, turn};
use crate::http::{Exchange, call};
use crate::instances::{Instance, start_fleet};
use crate::record::Record;
use crate::replicas::{Pool, PoolPlan};
use crate::store::Store;

const SERVICE: &str = "asistent-llm";
const EVENTS: usize = 20;
const STREAMS: usize = 24;
const DEADLINE: Duration = Duration::from_secs(12);
const STABLE_WINDOW: Duration = Duration::from_secs(3);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start();
    let settings = stream_settings(1, SERVICE, &limits(16_384));
    let settings = settings
        .replace("\"resumable\":false", "\"resumable\":true")
        .replace("\"attempts\":1", "\"attempts\":2");
    store.put("op/config", &settings);
    // LINE_END=lf or crlf plays the same with the other ends of lines that the media type has.
    let line_end = match std::env::var("LINE_END").as_deref() {
        Ok("lf") => "\n",
        Ok("crlf") => "\r\n",
        _ => "\r",
    };
    let plan = PoolPlan {
        service: SERVICE,
        slots: 16,
        queue: AtomicUsize::new(32),
        first: Duration::from_millis(100),
        events: EVENTS,
        gap: Duration::from_millis(100),
        line_end,
        crash_parts: "",
        brittle: AtomicUsize::new(0),
        back_after: Duration::from_secs(3),
    };
    let pool = Pool::start(4, plan, &store, record);
    let mut fleet = start_fleet(&["cluj-a", "cluj-b", "turda-c"], store.address, record);
    if !fleet.iter_mut().all(Instance::wait_ready) {
        return Verdict::NotRun("an instance does not become ready");
    }
    thread::sleep(STABLE_WINDOW);
    let fronts: Vec<SocketAddr> = fleet.iter().map(|one| one.front).collect();
    let broken: Arc<Mutex<usize>> = Arc::default();
    let mut senders = Vec::new();
    for number in 0..STREAMS {
        let (address, record, broken) = (turn(&fronts, number), record.clone(), broken.clone());
        senders.push(thread::spawn(move || {
            let id = format!("5{number:07x}");
            let request = stream_request("/digest/1", &id, &format!("c0:300,{id}:200"), DEADLINE);
            let end = call(address, &request, DEADLINE);
            let ids = event_ids(&end);
            record.line(format!("stream {id}: {}, events {ids:?}", end.summary()));
            let is_ordered = ids.iter().copied().eq(1..=ids.len());
            *broken.lock().expect("broken") += usize::from(!is_ordered);
        }));
    }
    thread::sleep(Duration::from_millis(1000));
    if has_trouble {
        pool.crash_busiest();
    }
    senders.into_iter().for_each(|sender| drop(sender.join()));
    pool.stop();
    let broken = *broken.lock().expect("broken");
    record.say(format!("{broken} of {STREAMS} streams have events that come twice or are missing"));
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}

/// The ids of the events that an answer holds, in their order.
fn event_ids(end: &Exchange) -> Vec<usize> {
    let (Exchange::Whole(answer) | Exchange::Cut(answer)) = end else { return Vec::new() };
    let text = String::from_utf8_lossy(&answer.body);
    let lines = text.split(['\n', '\r']);
    lines.filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}
