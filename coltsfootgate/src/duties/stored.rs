//! What the holder of the duties keeps in the platform's store.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use coltsfootgate_core::duty::report::UsageRecord;
use coltsfootgate_core::duty::usage::{UsageCounts, WindowNumber};

/// Key of the lease on the duties.
pub(super) const LEASE_KEY: &str = "coltsfootgate/duties/lease";
/// Key of the windows of usage whose counts are fixed.
pub(super) const USAGE_KEY: &str = "coltsfootgate/duties/usage";

/// Who holds the lease, for whoever looks into the store.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) struct StoredHolder {
    /// The address on which the holder listens for peers.
    pub(super) instance: Arc<str>,
}

#[derive(Deserialize, Serialize)]
struct StoredUsage {
    era: u64,
    next: WindowNumber,
    windows: BTreeMap<WindowNumber, UsageCounts>,
}

/// Parses a stored record.
///
/// # Errors
///
/// Fails if the value is no record.
pub(super) fn parse_usage(value: &Bytes) -> Result<UsageRecord, serde_json::Error> {
    let StoredUsage { era, next, windows } = serde_json::from_slice(value)?;
    Ok(UsageRecord { era, next, windows })
}

/// The stored form of a record or holder.
///
/// # Errors
///
/// Fails if it cannot be written as JSON.
pub(super) fn stored_form<T: Serialize>(value: &T) -> Result<Bytes, serde_json::Error> {
    serde_json::to_vec(value).map(Bytes::from)
}

/// The stored form of a record.
///
/// # Errors
///
/// Fails if it cannot be written as JSON.
pub(super) fn usage_value(record: &UsageRecord) -> Result<Bytes, serde_json::Error> {
    let UsageRecord { era, next, windows } = record.clone();
    stored_form(&StoredUsage { era, next, windows })
}
