//! Enforces the rate and concurrency limits of the request's customer.

use coltsfootgate_core::limit::LimitDecision;
use coltsfootgate_core::prelude::ErrorKind;
use futures_util::future::{Either, select};

use super::admit::refusal;
use super::classify::ClassifiedRequest;
use super::context::PipelineContext;
use crate::entry::{CallerLink, Refusal};
use crate::limits::LimitPermit;

/// Waits until the limits of the customer admit the request, which counts as in flight until the
/// permit is dropped.
///
/// # Errors
///
/// Refuses the request if the limits do not admit it or the caller disconnects.
pub async fn limit_request(
    context: &PipelineContext,
    request: &ClassifiedRequest,
    caller: &mut CallerLink,
) -> Result<LimitPermit, Refusal> {
    let acquire = context.limits.acquire(request.customer.clone(), request.class.tier);
    match select(std::pin::pin!(acquire), std::pin::pin!(caller.disconnected())).await {
        Either::Left((permit, _)) => permit.map_err(|decision| limit_refusal(request, decision)),
        Either::Right(_) => {
            let message = "the caller left while its request was waiting";
            Err(refusal(request, ErrorKind::CallerLeftWaiting, message))
        }
    }
}

fn limit_refusal(request: &ClassifiedRequest, decision: LimitDecision) -> Refusal {
    let customer = &request.customer;
    match decision {
        LimitDecision::Refuse { kind, retry_after } => {
            let message = format!(
                "the customer's limits are {} requests a second, {} at once, and {} in flight",
                customer.rate, customer.burst, customer.concurrency,
            );
            refusal(request, kind, &message).with_retry_after(retry_after)
        }
        LimitDecision::Admit | LimitDecision::RequestSlice => {
            refusal(request, ErrorKind::NotReady, "the limits of customers are not served")
        }
    }
}
