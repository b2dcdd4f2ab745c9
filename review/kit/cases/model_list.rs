//! A configuration adds a route, and callers send requests on it.

use std::io;
use std::thread;
use std::time::Duration;

use crate::caller::{call_once, Call, End};
use crate::record::Record;
use crate::replica::{Replica, ReplicaSpec};
use crate::router::{choose_machines, Router};
use crate::store::Store;

/// Requests on the added route at each machine.
const REQUESTS: usize = 10;
/// Time after the acknowledgement at which the callers begin; `configuration_ms` is 2,000.
const SETTLE_TIME: Duration = Duration::from_secs(4);

fn settings(version: u64, added: Option<&str>) -> String {
    let route = |name: &str, prefix: &str| {
        format!(
            r#"{{"name":"{name}","host":"a.example","path_prefix":"{prefix}","kind":"idempotent",
"timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"api","attempts":2}}"#
        )
    };
    let mut routes = vec![route("hold", "/hold/")];
    routes.extend(added.map(|prefix| route("added", prefix)));
    let routes = routes.join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],
"services":[{{"name":"api","health_path":"/health"}}],
"limits":{{"header_bytes":16384,"body_bytes":65536,"header_timeout_ms":5000,"idle_timeout_ms":60000}},
"tenants":[{{"name":"club","api_keys":["key-of-the-club"],"priority":2}}]}}"#
    )
}

pub fn run(has_trouble: bool, record: &Record) -> io::Result<Vec<String>> {
    let store = Store::start(record)?;
    store.put("op/config", &settings(3, None));
    for number in 0..2 {
        let spec = ReplicaSpec {
            id: format!("i-{number}"),
            service: "api".to_owned(),
            version: "v1".to_owned(),
            slots: 6,
            queue: 24,
            work: Duration::from_millis(60),
            events: 0,
        };
        Replica::start(spec, &store, record)?;
    }
    let machines = choose_machines(2)?;
    let mut routers = Vec::new();
    for machine in &machines {
        routers.push(Router::start(*machine, store.address(), &machines, record)?);
    }
    for router in &routers {
        router.wait_ready()?;
    }
    thread::sleep(Duration::from_secs(2));
    let prefix = if has_trouble { "/v1/" } else { "/v2/" };
    store.put("op/config", &settings(7, Some(prefix)));
    record.line(&format!("operator: version 7 adds the route a.example {prefix}"));
    thread::sleep(SETTLE_TIME);
    let mut wrong = Vec::new();
    for request in 0..REQUESTS {
        for machine in &machines {
            for target in ["/hold/1".to_owned(), format!("{prefix}models")] {
                let attempt = format!("m{}r{request}{}", machine.number, target.replace('/', "-"));
                wrong.extend(check(machine.front, &target, &attempt, record));
            }
        }
    }
    Ok(wrong)
}

/// Sends one request; returns what is wrong with its answer.
fn check(
    address: std::net::SocketAddr,
    target: &str,
    attempt: &str,
    record: &Record,
) -> Option<String> {
    let call = Call {
        method: "GET",
        target: target.to_owned(),
        attempt: attempt.to_owned(),
        key: "key-of-the-club".to_owned(),
        deadline_ms: 1500,
        headers: String::new(),
    };
    let reply = call_once(address, &call);
    let (status, stamp, body) = (reply.status, &reply.stamp, &reply.body);
    record
        .line(&format!("caller: {attempt} GET {target}: {status}, stamp {stamp:?}, body {body:?}"));
    let is_success = reply.end == End::Answered && (200..300).contains(&status);
    let own = stamp.as_ref().map(|stamp| format!("{stamp} {attempt}"));
    if !is_success || own.as_ref() == Some(body) {
        return None;
    }
    let run = if record.has_run(attempt) { "ran" } else { "never ran" };
    Some(format!("{attempt}: {status} with stamp {stamp:?} and body {body:?}; a replica {run} it"))
}
