//! Follows the platform's instance list.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};

use coltsfootgate_core::ids::{InstanceId, ZoneName};

use super::{MemberMessage, MembersHandle};
use crate::metrics::DaemonMetrics;
use crate::platform::{InstanceDirectory, InstanceRole, InstanceState, ListedInstance};

/// Period at which the list is read. A leaving endpoint is noticed within it and the list's lag.
const LIST_PERIOD: Duration = Duration::from_secs(1);

/// How long an entry of an instance holds after it was renewed last.
const ENTRY_TIME: Duration = Duration::from_secs(10);
/// Period at which an instance renews its entry.
const ENTRY_PERIOD: Duration = Duration::from_secs(3);

/// The parts of the list that matter here.
#[derive(Clone, Debug, Default)]
pub(crate) struct ListedMembers {
    /// All instances of this system.
    pub(super) routers: Vec<(InstanceId, ZoneName)>,
    /// Addresses of the endpoints that are leaving.
    pub(super) leaving_endpoints: BTreeSet<Arc<str>>,
}

impl From<Vec<ListedInstance>> for ListedMembers {
    fn from(instances: Vec<ListedInstance>) -> Self {
        let mut members = Self::default();
        for instance in instances {
            match (instance.role, instance.state) {
                // A router announces its leaving itself, and sooner than the list does.
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

/// Reads the list again and again and tells the members' task.
pub(super) async fn follow_list<D>(directory: D, handle: MembersHandle, metrics: DaemonMetrics)
where
    D: InstanceDirectory,
{
    let mut was_answered = true;
    loop {
        match directory.instances().await {
            Ok(instances) => {
                if !was_answered {
                    info!("the instance list answers again");
                }
                was_answered = true;
                metrics.platform_called("instances", "ok");
                handle.tell(MemberMessage::Listed(instances.into()));
            }
            Err(error) => {
                if was_answered {
                    warn!("could not read the instance list: {error}");
                }
                was_answered = false;
                metrics.platform_called("instances", "error");
            }
        }
        monoio::time::sleep(LIST_PERIOD).await;
    }
}

/// Keeps this instance in the list until the process ends.
pub(super) async fn keep_listed<D: InstanceDirectory>(directory: D, own: ListedInstance) {
    let mut was_answered = true;
    loop {
        match directory.keep_listed(&own, ENTRY_TIME).await {
            Ok(()) => was_answered = true,
            Err(error) if was_answered => {
                warn!("could not keep this instance in the list: {error}");
                was_answered = false;
            }
            Err(_) => (),
        }
        monoio::time::sleep(ENTRY_PERIOD).await;
    }
}
