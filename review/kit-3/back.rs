//! The replicas of a service are partitioned from the store one after the other, and are back.

use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::clients::{HOST, KEY, limits, stream_request, turn};
use crate::http::call;
use crate::instances::{Instance, start_fleet};
use crate::record::Record;
use crate::replicas::{Pool, PoolPlan};
use crate::store::Store;

const REPLICAS: usize = 3;
/// Length of a cut, and time from one cut to the next.
const CUT_TIME: Duration = Duration::from_secs(5);
const CUT_PERIOD: Duration = Duration::from_secs(8);
/// `configuration_ms` and `stable_window_ms`, after which all is in steady state.
const STEADY_AFTER: Duration = Duration::from_secs(5);
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const DEADLINE: Duration = Duration::from_millis(2500);
/// Requests on each first route, and on the route that was added.
const ROUTE_REQUESTS: usize = 40;
const REQUEST_PERIOD: Duration = Duration::from_millis(50);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op/config", &settings(1, &[]));
    let other = Pool::start(REPLICAS, plan("asistent-llm"), &store, record);
    let pool = Pool::start(REPLICAS, plan("rezervari-llm"), &store, record);
    let mut fleet = start_fleet(&["cluj-a", "cluj-b", "turda-c"], store.address, record);
    if !fleet.iter_mut().all(Instance::wait_ready) {
        return Verdict::NotRun("an instance does not become ready");
    }
    thread::sleep(STABLE_WINDOW);
    let fronts: Vec<SocketAddr> = fleet.iter().map(|one| one.front).collect();
    if send(&fronts, "/second/", "a", record) < ROUTE_REQUESTS {
        return Verdict::NotRun("the service does not serve before the cuts");
    }
    for number in 0..REPLICAS {
        if has_trouble {
            pool.set_cut(number, true);
        }
        thread::sleep(CUT_TIME);
        pool.set_cut(number, false);
        thread::sleep(CUT_PERIOD - CUT_TIME);
    }
    store.put("op/config", &settings(2, &["added"]));
    record.line("version 2 is acknowledged: the route added");
    thread::sleep(STEADY_AFTER);
    let first = send(&fronts, "/first/", "b", record);
    let second = send(&fronts, "/second/", "c", record);
    let added = send(&fronts, "/added/", "d", record);
    pool.stop();
    other.stop();
    record.say(format!(
        "served of {ROUTE_REQUESTS} each, {} s after the last cut: {first} and {second} on the first \
         routes, {added} on the route that was added; the three replicas run and their entries are \
         in the store",
        (CUT_PERIOD - CUT_TIME + STEADY_AFTER).as_secs(),
    ));
    // The share on added routes is below a quarter of that on the first ones.
    if added * 4 * 2 < first + second { Verdict::Broken } else { Verdict::Held }
}

fn plan(service: &'static str) -> PoolPlan {
    PoolPlan {
        service,
        slots: 16,
        queue: AtomicUsize::new(32),
        first: Duration::from_millis(20),
        events: 3,
        gap: Duration::from_millis(20),
        line_end: "\n",
        crash_parts: "",
        brittle: AtomicUsize::new(0),
        back_after: Duration::from_secs(2),
    }
}

/// Two routes to two services, and more routes to the second one.
fn settings(version: u64, added: &[&str]) -> String {
    let route = |name: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"streaming\",\"timeout_ms\":3000,\"target_latency_ms\":500,\
             \"gap_target_ms\":1200,\"priority\":1,\"attempts\":1,\"resumable\":false,\
             \"sticky\":true,\"service\":\"{service}\"}}"
        )
    };
    let mut routes = vec![route("first", "asistent-llm"), route("second", "rezervari-llm")];
    routes.extend(added.iter().map(|name| route(name, "rezervari-llm")));
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\
             \"engine\":{{\"kv_cache_tokens\":400000}}}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{}],\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"]}}],\"limits\":{}}}",
        routes.join(","),
        service("asistent-llm"),
        service("rezervari-llm"),
        limits(16_384)
    )
}

/// Sends requests on a route to the instances in turn; returns how many are served.
fn send(fronts: &[SocketAddr], path: &str, name: &str, record: &Record) -> usize {
    let mut served = 0;
    for number in 0..ROUTE_REQUESTS {
        let id = format!("{name}{number:07x}");
        let request = stream_request(path, &id, &format!("c0:300,{id}:200"), DEADLINE);
        let end = call(turn(fronts, number), &request, DEADLINE);
        served += usize::from(end.is_success());
        record.line(format!("request {id} on {path}: {}", end.summary()));
        thread::sleep(REQUEST_PERIOD);
    }
    served
}
