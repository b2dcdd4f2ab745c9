//! Finds the customer whose key a request carries.

use std::rc::Rc;
use std::sync::Arc;

use coltsfootgate_core::prelude::{CustomerSettings, ErrorKind};

use crate::entry::{AcceptedRequest, Refusal};
use crate::tree::ActiveTree;

/// A request of a known customer, with the tree that it is judged by to its end.
#[derive(Clone, Debug)]
pub struct IdentifiedRequest {
    /// The request as it arrived.
    pub accepted: Rc<AcceptedRequest>,
    /// The tree in force when it arrived.
    pub active: Rc<ActiveTree>,
    /// The customer who sent it.
    pub customer: Arc<CustomerSettings>,
}

/// Identifies the customer of a request.
pub fn identify_customer(
    accepted: Rc<AcceptedRequest>,
    active: Rc<ActiveTree>,
) -> Result<IdentifiedRequest, Refusal> {
    let Some(bearer) = &accepted.bearer else {
        return Err(unauthorized("the request carries no bearer key"));
    };
    let Some(customer) = active.tree.customer_by_key(bearer) else {
        return Err(unauthorized("no customer has this bearer key"));
    };
    Ok(IdentifiedRequest { accepted, active, customer })
}

fn unauthorized(message: &str) -> Refusal {
    Refusal::new(ErrorKind::Unauthorized, "customers", message)
}
