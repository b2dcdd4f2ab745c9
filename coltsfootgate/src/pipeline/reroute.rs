//! Routes a request again whose pool was dropped by newer settings while it waited.

use coltsfootgate_core::prelude::ErrorKind;

use super::classify::{ClassifiedRequest, classify_request};
use super::context::PipelineContext;
use super::identify::{check_settings_age, identify_customer};
use crate::dialect::CallerDialect;
use crate::entry::Refusal;

/// Classifies a request by the settings now in force, if those lead it to another pool than the settings by which it
/// was refused. It must not have been sent.
///
/// Returns `None` if the refusal stands. That is also the answer to a request that the newer settings would reject: it
/// was accepted by those that it found.
pub fn reroute_request<D: CallerDialect>(
    context: &PipelineContext,
    request: &ClassifiedRequest,
    refused: &Refusal,
) -> Option<ClassifiedRequest> {
    let active = context.tree.current()?;
    if refused.kind != ErrorKind::NoEndpoint || active.version <= request.active.version {
        return None;
    }
    let identified = identify_customer(request.accepted.clone(), active);
    if identified.accepted.metadata.bearer.is_some() {
        check_settings_age(context.tree.age(), context.config_age_max).ok()?;
    }
    let rerouted = classify_request::<D>(identified).ok()?;
    let is_pool_kept = rerouted.pool.id == request.pool.id
        || rerouted.class.pools.iter().any(|share| share.pool == request.pool.id);
    (!is_pool_kept).then_some(rerouted)
}
