//! Parses individual headers of a request.

use std::sync::Arc;
use std::time::Duration;

use coltsfootgate_core::prelude::ErrorKind;
use http::{HeaderMap, header};

use super::answer::Refusal;
use super::request::ENTRY_RULE;

/// Creates the refusal of a request that cannot be parsed.
pub fn malformed(message: impl Into<String>) -> Refusal {
    Refusal::new(ErrorKind::MalformedRequest, ENTRY_RULE, message)
}

/// Returns the trimmed text of a header that may occur at most once.
///
/// # Errors
///
/// Refuses a header that occurs more than once or is not text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(malformed(format!("the header {name} is given more than once")));
    }
    let text = value.to_str().map_err(|_| malformed(format!("the header {name} is not text")))?;
    Ok(Some(text.trim()))
}

/// Returns the bearer key from the `Authorization: Bearer` header of a request.
///
/// # Errors
///
/// Refuses an `Authorization` header that occurs more than once or is not text.
pub fn bearer_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, Refusal> {
    let Some(text) = header_text(headers, header::AUTHORIZATION.as_str())? else { return Ok(None) };
    let Some((scheme, key)) = text.split_once(' ') else { return Ok(None) };
    let is_bearer = scheme.eq_ignore_ascii_case("bearer");
    Ok(is_bearer.then(|| key.trim().into()))
}

/// Converts milliseconds to a duration; `None` if they are not finite and greater than zero.
pub fn positive_duration(milliseconds: f64) -> Option<Duration> {
    let is_time = milliseconds.is_finite() && milliseconds > 0.0;
    is_time.then(|| Duration::try_from_secs_f64(milliseconds / 1000.0).ok()).flatten()
}
