//! The platform's key-value service and instance list.

mod client;
mod http;
#[cfg(test)]
mod tests;

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;
use std::time::Duration;

use ::http::Response;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use coltsfootgate_core::ids::{InstanceId, ZoneName};

pub use self::client::BoundedClient;
pub use self::http::HttpPlatform;

/// Largest value of the key-value service, in bytes.
pub const VALUE_BYTES_MAX: usize = 1 << 20;

/// Revision of a value in the key-value service; 0 stands for no value.
pub type ValueRevision = u64;

/// A value read from the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredValue {
    /// Revision of the value, above 0.
    pub revision: ValueRevision,
    /// The value, at most [`VALUE_BYTES_MAX`] bytes.
    pub value: Bytes,
}

/// What became of a compare-and-swap that the service answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwapResult {
    /// The value was written and has this revision.
    Written(ValueRevision),
    /// Another value was there, with this revision; nothing was written.
    Conflict(ValueRevision),
}

/// Why the platform gave no usable answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// No connection was made, so the call had no effect.
    Unreachable(Arc<str>),
    /// The connection broke before the answer was whole.
    Broken(Arc<str>),
    /// No whole answer came within this time.
    TimedOut(Duration),
    /// The answer was larger than allowed.
    TooLarge,
    /// The answer could not be understood.
    Malformed(Arc<str>),
    /// The service answered with this HTTP status.
    Refused(u16),
    /// The changes that were asked for are no longer kept.
    HistoryGone,
}

impl PlatformError {
    /// An answer that could not be understood.
    pub fn malformed(error: impl Display) -> Self {
        Self::Malformed(error.to_string().into())
    }

    /// An answer whose status tells that the call was refused.
    pub fn refused(response: &Response<Bytes>) -> Self {
        Self::Refused(response.status().as_u16())
    }

    /// Whether a write that ended with this error may still have taken effect.
    pub fn may_have_written(&self) -> bool {
        match self {
            Self::Unreachable(_) | Self::HistoryGone => false,
            Self::Broken(_) | Self::TimedOut(_) | Self::TooLarge | Self::Malformed(_) => true,
            Self::Refused(status) => *status >= 500,
        }
    }
}

impl Display for PlatformError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(cause) => write!(formatter, "the address is unreachable: {cause}"),
            Self::Broken(cause) => write!(formatter, "the connection broke: {cause}"),
            Self::TimedOut(limit) => write!(formatter, "no answer within {limit:?}"),
            Self::TooLarge => formatter.write_str("answer too large"),
            Self::Malformed(what) => write!(formatter, "answer not understood: {what}"),
            Self::Refused(status) => write!(formatter, "refused with status {status}"),
            Self::HistoryGone => formatter.write_str("the changes asked for are no longer kept"),
        }
    }
}

impl std::error::Error for PlatformError {}

/// What an instance of the list is there for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceRole {
    /// An instance of this system.
    Router,
    /// A model engine or plain service.
    Endpoint,
}

/// Whether an instance of the list is meant to get work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance serves.
    Live,
    /// The instance is about to go and gets no new work.
    Leaving,
}

/// An entry of the platform's instance list.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
pub struct ListedInstance {
    /// What the instance is there for.
    pub role: InstanceRole,
    /// The peers' address of a router, or the address of an endpoint.
    pub address: InstanceId,
    /// The operators' address of a router.
    #[serde(default)]
    pub operators_address: Option<Arc<str>>,
    /// Its availability zone.
    pub availability_zone: ZoneName,
    /// Whether it is meant to get work.
    pub state: InstanceState,
}

/// The platform's key-value service.
// Futures stay on the thread that made them.
#[allow(async_fn_in_trait)]
pub trait PlatformStore {
    /// Whether every read is as new as its call; otherwise a replica that lags may answer.
    const IS_CURRENT: bool;

    /// Reads a value; `None` if there is none.
    async fn read(&self, key: &str) -> Result<Option<StoredValue>, PlatformError>;

    /// Waits until the value's revision is above `after`; `None` once `wait` has passed.
    async fn watch(
        &self,
        key: &str,
        after: ValueRevision,
        wait: Duration,
    ) -> Result<Option<StoredValue>, PlatformError>;

    /// Writes a value if its revision is still the given one; revision 0 creates it.
    async fn swap(
        &self,
        key: &str,
        revision: ValueRevision,
        value: Bytes,
    ) -> Result<SwapResult, PlatformError>;

    /// Lists the keys that start with a prefix.
    async fn list(&self, prefix: &str) -> Result<Vec<Arc<str>>, PlatformError>;
}

/// The platform's instance list, which lags.
// Futures stay on the thread that made them.
#[allow(async_fn_in_trait)]
pub trait InstanceDirectory {
    /// Reads the whole list.
    async fn instances(&self) -> Result<Vec<ListedInstance>, PlatformError>;

    /// Keeps this instance in the list for `time`, where instances enter themselves.
    async fn register(&self, own: &ListedInstance, time: Duration) -> Result<(), PlatformError>;
}
