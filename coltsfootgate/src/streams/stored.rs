//! The list of origins as it is stored with the platform.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use coltsfootgate_core::origins::OriginList;
use coltsfootgate_core::stream::StreamOrigin;

/// Key of the list in the platform's store.
pub(super) const ORIGINS_KEY: &str = "coltsfootgate/streams/origins";

#[derive(Deserialize, Serialize)]
struct StoredList {
    origins: Vec<StoredOrigin>,
}

#[derive(Deserialize, Serialize)]
struct StoredOrigin {
    pool: Arc<str>,
    /// Absent where endpoints state no version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    version: Option<Arc<str>>,
    /// When the origin ended, in milliseconds since the Unix epoch; absent while it serves.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    ended_ms: Option<u64>,
}

impl From<&OriginList> for StoredList {
    fn from(list: &OriginList) -> Self {
        let origins = list.origins().map(|(origin, ended)| StoredOrigin {
            pool: origin.pool.clone(),
            version: origin.version.clone(),
            ended_ms: ended.map(milliseconds),
        });
        Self { origins: origins.collect() }
    }
}

impl From<StoredList> for OriginList {
    fn from(list: StoredList) -> Self {
        Self::new(list.origins.into_iter().map(|stored| {
            let ended = stored.ended_ms.map(|ended| UNIX_EPOCH + Duration::from_millis(ended));
            (StreamOrigin { pool: stored.pool, version: stored.version }, ended)
        }))
    }
}

/// Parses a stored list.
///
/// # Errors
///
/// Fails if the value is not a list.
pub(super) fn parse_list(value: &Bytes) -> Result<OriginList, serde_json::Error> {
    serde_json::from_slice::<StoredList>(value).map(OriginList::from)
}

/// The stored form of a list.
///
/// # Errors
///
/// Fails if the list cannot be written as JSON.
pub(super) fn list_value(list: &OriginList) -> Result<Bytes, serde_json::Error> {
    serde_json::to_vec(&StoredList::from(list)).map(Bytes::from)
}

fn milliseconds(time: SystemTime) -> u64 {
    let elapsed = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
