//! The part of a pool that an entry instance uses on its own while owners are out of reach.

use crate::ids::InstanceId;
use crate::rendezvous::stable_hash;
use crate::settings::EndpointSettings;

/// Divides the slots of every endpoint among the live instances; the shares never sum to more.
///
/// `live` lists all live instances, the own one included, in the same order everywhere.
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

/// The slots at one endpoint; those left over go to instances that differ by endpoint.
fn slot_share(endpoint: &EndpointSettings, position: u64, count: u64) -> u32 {
    let slots = u64::from(endpoint.slots);
    let turn = (position + stable_hash(endpoint.id.as_bytes()) % count) % count;
    (slots / count + u64::from(turn < slots % count)) as u32
}
