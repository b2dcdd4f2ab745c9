//! A version raises the limit on heads while clients keep connections open.

use std::sync::atomic::AtomicUsize;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::clients::{limits, stream_request, stream_settings};
use crate::http::{ClientConnection, Exchange};
use crate::instances::{Instance, start_fleet};
use crate::record::Record;
use crate::replicas::{Pool, PoolPlan};
use crate::store::Store;

const SERVICE: &str = "asistent-llm";
/// `header_bytes` of the first and of the second version.
const FIRST_LIMIT: u32 = 16_384;
const SECOND_LIMIT: u32 = 32_768;
/// Bytes of a header that a client adds: the whole head is below the second limit.
const ADDED_BYTES: usize = 24_000;
const CONNECTIONS_EACH: usize = 4;
const DEADLINE: Duration = Duration::from_secs(5);
/// `configuration_ms`, and as much again.
const IN_FORCE_AFTER: Duration = Duration::from_millis(4000);
const STABLE_WINDOW: Duration = Duration::from_secs(3);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start();
    let first = if has_trouble { FIRST_LIMIT } else { SECOND_LIMIT };
    store.put("op/config", &stream_settings(1, SERVICE, &limits(first)));
    record.line(format!("version 1 is acknowledged: header_bytes {first}"));
    let plan = PoolPlan {
        service: SERVICE,
        slots: 16,
        queue: AtomicUsize::new(32),
        first: Duration::from_millis(20),
        events: 3,
        gap: Duration::from_millis(20),
        line_end: "\n",
        crash_parts: "",
        brittle: AtomicUsize::new(0),
        back_after: Duration::from_secs(2),
    };
    let pool = Pool::start(3, plan, &store, record);
    let mut fleet = start_fleet(&["cluj-a", "cluj-b", "turda-c"], store.address, record);
    if !fleet.iter_mut().all(Instance::wait_ready) {
        return Verdict::NotRun("an instance does not become ready");
    }
    thread::sleep(STABLE_WINDOW);
    let mut kept = Vec::new();
    for (index, instance) in fleet.iter().enumerate() {
        for number in 0..CONNECTIONS_EACH {
            let Ok(mut connection) = ClientConnection::open(instance.front) else {
                return Verdict::NotRun("a connection is refused");
            };
            let end = connection.exchange(&request(&format!("a{index}{number}"), ""), DEADLINE);
            record.line(format!("{}, connection {number}: {}", instance.name, end.summary()));
            if !end.is_success() {
                return Verdict::NotRun("a request of the usual size is not served");
            }
            kept.push((index, number, connection));
        }
    }
    if has_trouble {
        store.put("op/config", &stream_settings(2, SERVICE, &limits(SECOND_LIMIT)));
        record.line(format!("version 2 is acknowledged: header_bytes {SECOND_LIMIT}"));
    }
    thread::sleep(IN_FORCE_AFTER);
    let note = format!("X-Note: {}\r\n", "n".repeat(ADDED_BYTES));
    let (mut sent, mut denied, mut denied_new) = (0, 0, 0);
    for (index, number, connection) in &mut kept {
        let end = connection.exchange(&request(&format!("b{index}{number}"), &note), DEADLINE);
        let name = &fleet[*index].name;
        record.line(format!("{name}, connection {number}, long head: {}", end.summary()));
        sent += 1;
        denied += usize::from(is_denied(&end));
    }
    for (index, instance) in fleet.iter().enumerate() {
        for number in 0..CONNECTIONS_EACH {
            let Ok(mut connection) = ClientConnection::open(instance.front) else { continue };
            let end = connection.exchange(&request(&format!("c{index}{number}"), &note), DEADLINE);
            record.line(format!("{}, new connection, long head: {}", instance.name, end.summary()));
            sent += 1;
            denied_new += usize::from(is_denied(&end));
        }
    }
    pool.stop();
    record.say(format!(
        "requests with a head of about {ADDED_BYTES} bytes, {} s after the acknowledgement of the limit {SECOND_LIMIT}: \
         {denied} of {} on kept connections and {denied_new} of {} on new ones are denied with a 4xx",
        IN_FORCE_AFTER.as_secs(),
        kept.len(),
        sent - kept.len(),
    ));
    // More than 5 + one in 500 of all requests.
    let all = sent + kept.len();
    if (denied + denied_new) * 500 > 5 * 500 + all { Verdict::Broken } else { Verdict::Held }
}

fn request(id: &str, more: &str) -> String {
    let id = format!("7{id}");
    let request = stream_request("/digest/1", &id, &format!("c0:300,{id}:200"), DEADLINE);
    request.replacen("X-Coltsfootgate-Model", &format!("{more}X-Coltsfootgate-Model"), 1)
}

/// Whether an instance denied a request by a 4xx other than those that promise that it has not run.
fn is_denied(end: &Exchange) -> bool {
    let (Exchange::Whole(answer) | Exchange::Cut(answer)) = end else { return false };
    let status = answer.status();
    (300..500).contains(&status) && ![408, 421, 429].contains(&status)
}
