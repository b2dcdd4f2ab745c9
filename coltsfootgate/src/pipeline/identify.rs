//! Identifies the customer of a request by its API key.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coltsfootgate_core::prelude::{CustomerSettings, ErrorKind};

use crate::entry::{AcceptedRequest, Refusal};
use crate::tree::ActiveTree;

/// A request with the settings tree that applies to it until it ends.
#[derive(Clone, Debug)]
pub struct IdentifiedRequest {
    /// The accepted request.
    pub accepted: Rc<AcceptedRequest>,
    /// The settings tree that was in force when it arrived.
    pub active: Rc<ActiveTree>,
    /// The customer whose API key it carries; `None` if it carries no key or an unknown one.
    pub customer: Option<Arc<CustomerSettings>>,
}

impl IdentifiedRequest {
    /// The customer of a request that needs a valid API key.
    ///
    /// # Errors
    ///
    /// Refuses a request without a valid API key.
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

/// Checks that the settings are recent enough to trust API keys, which may have been revoked since.
///
/// # Errors
///
/// Refuses the request if the settings were not confirmed within `age_max`.
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
