//! `status`: shows the instances, the versions in force, endpoints and queues.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::sync::Arc;

use coltsfootgate::platform::InstanceState;
use coltsfootgate_config::HeadObject;
use coltsfootgate_core::ids::{ConfigVersion, TIER_COUNT};
use futures_util::future::join_all;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::commands::ToolContext;
use crate::dialect::ToolDialect;
use crate::error::ToolResult;
use crate::instance::{InstanceClient, ListedRouter, listed_routers};
use crate::report::{CommandReport, table};
use crate::tree_store::platform_error;

/// The state that an instance reports for a peer that responds.
const PEER_ALIVE: &str = "alive";

/// The stored version and the status of each listed instance.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct StatusReport {
    head: Option<HeadObject>,
    instances: Vec<InstanceStatus>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct InstanceStatus {
    instance: SocketAddr,
    zone: Arc<str>,
    state: InstanceState,
    version: Option<ConfigVersion>,
    status: Option<Value>,
    error: Option<String>,
}

impl CommandReport for StatusReport {}

/// The members of an instance's status that the text output shows; `--json` prints all members.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct InstanceView {
    peers: Vec<PeerView>,
    endpoints: Vec<EndpointView>,
    queues: Vec<QueueView>,
    duties: DutyView,
}

/// The part of an instance in the duties.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct DutyView {
    token: Option<u64>,
    is_acting: bool,
    reports: Vec<ReportView>,
    replicas: BTreeMap<String, Vec<ReplicaView>>,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct ReportView {
    window: u64,
    requests: u64,
    customers: u64,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct ReplicaView {
    zone: String,
    kind: String,
    present: u64,
    wanted: u64,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct PeerView {
    state: String,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct EndpointView {
    endpoint: String,
    state: String,
    leaving: bool,
    in_flight: u64,
    slots: u64,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct QueueView {
    pool: String,
    grants: u64,
    free_slots: u64,
    waiting_by_tier: [u64; TIER_COUNT],
}

impl InstanceStatus {
    fn view(&self) -> InstanceView {
        let status = self.status.as_ref();
        status.and_then(|status| InstanceView::deserialize(status).ok()).unwrap_or_default()
    }
}

impl Display for StatusReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match &self.head {
            Some(head) => writeln!(formatter, "stored version {}", head.version)?,
            None => writeln!(formatter, "no tree is stored")?,
        }
        let views: Vec<_> = self.instances.iter().map(|status| (status, status.view())).collect();
        for rows in [
            instance_rows(&views),
            duty_rows(&views),
            replica_rows(&views),
            queue_rows(&views),
            endpoint_rows(&views),
        ] {
            if rows.len() > 1 {
                write!(formatter, "\n{}\n", table(&rows))?;
            }
        }
        Ok(())
    }
}

fn header_row<const N: usize>(names: [&str; N]) -> Vec<String> {
    names.map(String::from).to_vec()
}

fn instance_rows(views: &[(&InstanceStatus, InstanceView)]) -> Vec<Vec<String>> {
    let mut rows =
        vec![header_row(["instance", "zone", "listed", "version", "peers alive", "notes"])];
    for (status, view) in views {
        let state = match status.state {
            InstanceState::Live => "live",
            InstanceState::Leaving => "leaving",
        };
        let alive = view.peers.iter().filter(|peer| peer.state == PEER_ALIVE).count();
        rows.push(vec![
            status.instance.to_string(),
            status.zone.to_string(),
            state.into(),
            status.version.map_or_else(|| "none".into(), |version| version.to_string()),
            format!("{alive} of {}", view.peers.len()),
            status.error.clone().unwrap_or_default(),
        ]);
    }
    rows
}

/// One row per instance that holds the lease on the duties, with its last report.
fn duty_rows(views: &[(&InstanceStatus, InstanceView)]) -> Vec<Vec<String>> {
    let mut rows = vec![header_row(["duties held by", "token", "acts", "last report"])];
    for (status, view) in views {
        let Some(token) = view.duties.token else { continue };
        let report = view.duties.reports.last().map_or_else(String::new, |report| {
            let ReportView { window, requests, customers } = report;
            format!("window {window}: {requests} requests of {customers} customers")
        });
        let acts = if view.duties.is_acting { "yes" } else { "not now" };
        rows.push(vec![status.instance.to_string(), token.to_string(), acts.into(), report]);
    }
    rows
}

/// One row per kind and zone in which the holder of the duties wants replicas or sees some.
fn replica_rows(views: &[(&InstanceStatus, InstanceView)]) -> Vec<Vec<String>> {
    let mut rows = vec![header_row(["pool", "zone", "kind", "replicas", "wanted"])];
    let holders = views.iter().filter(|(_, view)| view.duties.token.is_some());
    for (pool, replicas) in holders.flat_map(|(_, view)| &view.duties.replicas) {
        for ReplicaView { zone, kind, present, wanted } in replicas {
            let counts = [present.to_string(), wanted.to_string()];
            rows.push([vec![pool.clone(), zone.clone(), kind.clone()], counts.to_vec()].concat());
        }
    }
    rows
}

/// One row per pool, summed over the instances that own some of its endpoints.
fn queue_rows(views: &[(&InstanceStatus, InstanceView)]) -> Vec<Vec<String>> {
    let mut sums: BTreeMap<&str, QueueView> = BTreeMap::new();
    for queue in views.iter().flat_map(|(_, view)| &view.queues) {
        let sum = sums.entry(&queue.pool).or_default();
        sum.grants += queue.grants;
        sum.free_slots += queue.free_slots;
        for (total, waiting) in sum.waiting_by_tier.iter_mut().zip(queue.waiting_by_tier) {
            *total += waiting;
        }
    }
    let mut rows = vec![header_row(["pool", "granted", "free slots", "waiting by tier, 1 to 7"])];
    rows.extend(sums.into_iter().map(|(pool, sum)| {
        let waiting = sum.waiting_by_tier.map(|count| count.to_string()).join(" ");
        vec![pool.into(), sum.grants.to_string(), sum.free_slots.to_string(), waiting]
    }));
    rows
}

/// One row per endpoint and instance that considers itself its owner.
fn endpoint_rows(views: &[(&InstanceStatus, InstanceView)]) -> Vec<Vec<String>> {
    let owned = |(status, view): &(&InstanceStatus, InstanceView)| {
        let owner = status.instance.to_string();
        let row = |endpoint: &EndpointView| {
            let leaving = if endpoint.leaving { ", leaving" } else { "" };
            let state = format!("{}{leaving}", endpoint.state);
            let in_flight = format!("{} of {}", endpoint.in_flight, endpoint.slots);
            vec![endpoint.endpoint.clone(), owner.clone(), state, in_flight]
        };
        view.endpoints.iter().map(row).collect::<Vec<_>>()
    };
    let mut endpoints: Vec<_> = views.iter().flat_map(owned).collect();
    endpoints.sort();
    let mut rows = vec![header_row(["endpoint", "owner", "state", "in flight"])];
    rows.append(&mut endpoints);
    rows
}

pub(crate) async fn run<D: ToolDialect>(context: &ToolContext<D>) -> ToolResult<StatusReport> {
    let head = context.store()?.head().await?.map(|stored| stored.head);
    let listed = listed_routers(&context.platform()?).await.map_err(platform_error)?;
    let client = context.instance_client();
    let instances = join_all(listed.iter().map(|listed| query(&client, listed))).await;
    Ok(StatusReport { head, instances })
}

async fn query(client: &InstanceClient, listed: &ListedRouter) -> InstanceStatus {
    let address = listed.operators_address;
    let (version, status) = (client.version_in_force(address).await, client.status(address).await);
    let error = version.as_ref().err().or(status.as_ref().err()).map(ToString::to_string);
    InstanceStatus {
        instance: address,
        zone: listed.zone.clone(),
        state: listed.state,
        version: version.ok().flatten(),
        status: status.ok().flatten(),
        error,
    }
}
