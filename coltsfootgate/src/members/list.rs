//! Polls the platform's instance list and keeps this instance registered in it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};

use coltsfootgate_core::ids::{InstanceId, ZoneName};

use super::{MemberMessage, MembersHandle};
use crate::metrics::DaemonMetrics;
use crate::platform::{InstanceDirectory, InstanceRole, InstanceState, ListedInstance};

/// Interval between reads of the list. A leaving endpoint is noticed after at most this time plus
/// the lag of the list.
const LIST_PERIOD: Duration = Duration::from_secs(1);

/// Time to live of this instance's registration after each renewal.
const REGISTRATION_TTL: Duration = Duration::from_secs(10);
/// Interval between renewals of the registration.
const REGISTRATION_PERIOD: Duration = Duration::from_secs(3);

/// The part of the instance list that the members task uses.
#[derive(Clone, Debug, Default)]
pub(crate) struct ListedMembers {
    /// The listed instances of this system with their zones, leaving ones included.
    pub(super) routers: Vec<(InstanceId, ZoneName)>,
    /// Addresses of the endpoints that are listed as leaving.
    pub(super) leaving_endpoints: BTreeSet<Arc<str>>,
}

impl From<Vec<ListedInstance>> for ListedMembers {
    fn from(instances: Vec<ListedInstance>) -> Self {
        let mut members = Self::default();
        for instance in instances {
            match (instance.role, instance.state) {
                // A leaving router announces it by heartbeat, which is faster than the list.
                (InstanceRole::Router, _) => {
                    members.routers.push((instance.address, instance.availability_zone));
                }
                (InstanceRole::Endpoint, InstanceState::Leaving) => {
                    members.leaving_endpoints.insert(instance.address);
                }
                (InstanceRole::Endpoint, InstanceState::Live) => (),
            }
        }
        members
    }
}

/// Polls the list and sends each result to the members task; never returns.
pub(super) async fn poll_list<D>(directory: D, handle: MembersHandle, metrics: DaemonMetrics)
where
    D: InstanceDirectory,
{
    let mut is_reachable = true;
    loop {
        match directory.instances().await {
            Ok(instances) => {
                if !is_reachable {
                    info!("the platform's instance list is reachable again");
                }
                is_reachable = true;
                metrics.platform_called("instances", "ok");
                handle.send(MemberMessage::Listed(instances.into()));
            }
            Err(error) => {
                if is_reachable {
                    warn!("could not read the platform's instance list: {error}");
                }
                is_reachable = false;
                metrics.platform_called("instances", "error");
            }
        }
        monoio::time::sleep(LIST_PERIOD).await;
    }
}

/// Registers this instance in the list and renews the registration until the process ends.
pub(super) async fn keep_registered<D: InstanceDirectory>(directory: D, own: ListedInstance) {
    let mut is_reachable = true;
    loop {
        match directory.register(&own, REGISTRATION_TTL).await {
            Ok(()) => is_reachable = true,
            Err(error) if is_reachable => {
                warn!(
                    "could not register {} in the platform's instance list: {error}",
                    own.address
                );
                is_reachable = false;
            }
            Err(_) => (),
        }
        monoio::time::sleep(REGISTRATION_PERIOD).await;
    }
}
