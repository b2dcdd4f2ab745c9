//! Announces a version to every instance and waits until it is in force there.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootgate::platform::{InstanceDirectory, InstanceState};
use coltsfootgate_core::ids::ConfigVersion;
use futures_util::future::join_all;
use serde::Serialize;

use crate::instance::{InstanceClient, ListedRouter, listed_routers};

/// Pause between two rounds of queries to the instances.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// The state of a rollout on one instance.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct InstanceRollout {
    /// The address of its port for operators.
    pub instance: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its state in the platform's instance list.
    pub state: InstanceState,
    /// The version in force there; `None` if there is none or the query failed.
    pub version: Option<ConfigVersion>,
    /// Whether the version to roll out, or a later one, is in force there.
    pub in_force: bool,
    /// Why the announcement or the query failed.
    pub error: Option<String>,
}

/// The state of a rollout on all instances.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct RolloutReport {
    /// The listed instances.
    pub instances: Vec<InstanceRollout>,
    /// Why the instance list could not be read.
    pub list_error: Option<String>,
    /// The time waited, in milliseconds.
    pub waited_ms: u64,
}

impl RolloutReport {
    /// Whether the version is confirmed to be in force on every live instance.
    pub fn is_complete(&self) -> bool {
        let live = |instance: &&InstanceRollout| instance.state == InstanceState::Live;
        self.list_error.is_none()
            && self.instances.iter().filter(live).all(|instance| instance.in_force)
    }
}

impl Display for RolloutReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        if let Some(error) = &self.list_error {
            writeln!(formatter, "the instance list could not be read: {error}")?;
        }
        for instance in &self.instances {
            let state = match (instance.state, instance.in_force) {
                (InstanceState::Leaving, _) => "leaving",
                (InstanceState::Live, true) => "in force",
                (InstanceState::Live, false) => "NOT in force",
            };
            write!(formatter, "  {}  {}  {state}", instance.instance, instance.zone)?;
            match (&instance.error, instance.version) {
                (Some(error), _) => writeln!(formatter, ": {error}")?,
                (None, Some(version)) => writeln!(formatter, ", version {version}")?,
                (None, None) => writeln!(formatter, ", no tree yet")?,
            }
        }
        let live = self.instances.iter().filter(|instance| instance.state == InstanceState::Live);
        let (in_force, count) = live.fold((0, 0), |(in_force, count), instance| {
            (in_force + usize::from(instance.in_force), count + 1)
        });
        write!(
            formatter,
            "in force on {in_force} of {count} live instances after {} ms",
            self.waited_ms
        )
    }
}

/// Announces a version to every listed instance, and waits for all live ones.
///
/// Returns when the version is in force on all live instances, or after `wait`. Each round reads the
/// instance list again, so instances that join in the meantime are included.
pub async fn roll_out<P: InstanceDirectory>(
    platform: &P,
    client: &InstanceClient,
    version: ConfigVersion,
    wait: Duration,
) -> RolloutReport {
    let start = Instant::now();
    let mut announced = Vec::new();
    loop {
        let mut report = match listed_routers(platform).await {
            Ok(list) => query_all(client, &list, version, &mut announced).await,
            Err(error) => {
                RolloutReport { list_error: Some(error.to_string()), ..RolloutReport::default() }
            }
        };
        let waited = start.elapsed();
        report.waited_ms = waited.as_millis() as u64;
        if report.is_complete() || waited >= wait {
            return report;
        }
        monoio::time::sleep(ROUND_PAUSE).await;
    }
}

/// Queries the version of every instance, after announcing the version to those not yet reached.
async fn query_all(
    client: &InstanceClient,
    list: &[ListedRouter],
    version: ConfigVersion,
    announced: &mut Vec<SocketAddr>,
) -> RolloutReport {
    let queries = list.iter().map(|instance| {
        let is_new = !announced.contains(&instance.operators_address);
        query(client, instance, version, is_new)
    });
    let instances = join_all(queries).await;
    let reached = instances.iter().filter(|instance| instance.error.is_none());
    announced.extend(reached.map(|instance| instance.instance));
    RolloutReport { instances, ..RolloutReport::default() }
}

async fn query(
    client: &InstanceClient,
    listed: &ListedRouter,
    version: ConfigVersion,
    announce: bool,
) -> InstanceRollout {
    let address = listed.operators_address;
    let announced = if announce { client.announce(address, version).await } else { Ok(()) };
    let found = client.version_in_force(address).await;
    let (found, error) = match (found, announced) {
        (Ok(found), Ok(())) => (found, None),
        (Ok(found), Err(error)) => (found, Some(error.to_string())),
        (Err(error), _) => (None, Some(error.to_string())),
    };
    InstanceRollout {
        instance: address,
        zone: listed.zone.clone(),
        state: listed.state,
        version: found,
        in_force: found.is_some_and(|found| found >= version),
        error,
    }
}
