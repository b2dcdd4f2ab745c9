//! Finds the customer whose key a request carries.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coltsfootgate_core::prelude::{CustomerSettings, ErrorKind};

use crate::entry::{AcceptedRequest, Refusal};
use crate::tree::ActiveTree;

/// A request with the tree that it is judged by to its end.
#[derive(Clone, Debug)]
pub struct IdentifiedRequest {
    /// The request as it arrived.
    pub accepted: Rc<AcceptedRequest>,
    /// The tree in force when it arrived.
    pub active: Rc<ActiveTree>,
    /// The customer whose key it carries; `None` if it carries none that is known.
    pub customer: Option<Arc<CustomerSettings>>,
}

impl IdentifiedRequest {
    /// The customer, for requests that nobody else may send.
    ///
    /// # Errors
    ///
    /// Refuses a request without a known key.
    pub fn required_customer(&self) -> Result<Arc<CustomerSettings>, Refusal> {
        let customer = self.customer.clone();
        customer.ok_or_else(|| unauthorized(self.accepted.metadata.bearer.is_some()))
    }
}

/// Identifies the customer of a request.
pub fn identify_customer(
    accepted: Rc<AcceptedRequest>,
    active: Rc<ActiveTree>,
) -> IdentifiedRequest {
    let bearer = accepted.metadata.bearer.as_ref();
    let customer = bearer.and_then(|bearer| active.tree.customer_by_key(bearer));
    IdentifiedRequest { accepted, active, customer }
}

/// Refuses a request with a key while the settings are too old to tell whether it still holds.
///
/// # Errors
///
/// Refuses it if nobody confirmed the settings within `age_max`.
pub fn check_settings_age(age: Option<Duration>, age_max: Duration) -> Result<(), Refusal> {
    if age.is_some_and(|age| age <= age_max) {
        return Ok(());
    }
    let age = age.map_or_else(|| "never".to_owned(), |age| format!("{} ms ago", age.as_millis()));
    let message = format!(
        "the settings were last confirmed {age}, and keys are trusted for {} ms",
        age_max.as_millis(),
    );
    Err(Refusal::new(ErrorKind::SettingsStale, "process.config-age-max", message))
}

fn unauthorized(has_key: bool) -> Refusal {
    let message = match has_key {
        true => "no customer has this bearer key",
        false => "the request carries no bearer key",
    };
    Refusal::new(ErrorKind::Unauthorized, "customers", message)
}
