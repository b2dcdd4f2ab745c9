//! The share of a pool that an entry instance uses while the owners are unreachable.

use crate::ids::InstanceId;
use crate::rendezvous::stable_hash;
use crate::settings::EndpointSettings;

/// Returns this instance's share of the slots of each endpoint.
///
/// `live` lists all live instances, this one included, in the same order everywhere. The shares of
/// all instances never sum to more than the slots of an endpoint.
pub fn fallback_share(
    endpoints: &[EndpointSettings],
    own: &InstanceId,
    live: &[InstanceId],
) -> Vec<EndpointSettings> {
    let Some(position) = live.iter().position(|instance| instance == own) else {
        return Vec::new();
    };
    endpoints
        .iter()
        .filter_map(|endpoint| {
            let slots = slot_share(endpoint, position as u64, live.len() as u64);
            let settings = EndpointSettings { slots, slots_max: slots, ..endpoint.clone() };
            (slots > 0).then_some(settings)
        })
        .collect()
}

/// The share of the instance at `position` in one endpoint.
///
/// The remainder of the division goes to different instances at different endpoints.
fn slot_share(endpoint: &EndpointSettings, position: u64, count: u64) -> u32 {
    let slots = u64::from(endpoint.slots);
    let turn = (position + stable_hash(endpoint.id.as_bytes()) % count) % count;
    (slots / count + u64::from(turn < slots % count)) as u32
}
