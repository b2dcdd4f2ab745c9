//! The interfaces to the platform's key-value service and instance list.

mod client;
mod http;
#[cfg(test)]
mod tests;

use std::fmt::{self, Display, Formatter};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ::http::Response;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use coltsfootgate_config::{ConfigErrors, ConfigTree};
use coltsfootgate_core::ids::{InstanceId, ZoneName};

pub use self::client::BoundedClient;
pub use self::http::HttpPlatform;

/// Maximum size of a value in the key-value service, in bytes.
pub const VALUE_BYTES_MAX: usize = 1 << 20;

/// Revision of a value in the key-value service; 0 if there is no value.
pub type ValueRevision = u64;

/// A value read from the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredValue {
    /// Revision of the value, above 0.
    pub revision: ValueRevision,
    /// The value, at most [`VALUE_BYTES_MAX`] bytes.
    pub value: Bytes,
}

/// What a watch of a value returned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchResult {
    /// The value did not change while the watch waited.
    Unchanged,
    /// This is the value now; `None` if the key has none.
    Read(Option<StoredValue>),
}

/// The result of a compare-and-swap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwapResult {
    /// The value was written, with this revision.
    Written(ValueRevision),
    /// The stored value had another revision, this one; nothing was written.
    Conflict(ValueRevision),
}

/// A value to be written if its current revision is the one that is stated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ValueSwap {
    /// The key.
    pub key: Arc<str>,
    /// The revision that the value must have; 0 creates it.
    pub revision: ValueRevision,
    /// The value.
    pub value: Bytes,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// No connection was established, so the call had no effect.
    Unreachable(Arc<str>),
    /// The connection broke before the response was complete.
    Broken(Arc<str>),
    /// The response was not complete within this time.
    TimedOut(Duration),
    /// The response was larger than allowed.
    TooLarge,
    /// The response could not be parsed.
    Malformed(Arc<str>),
    /// The service responded with this HTTP status, which is not a success.
    Refused(u16),
    /// The requested changes are older than the history that the service keeps.
    HistoryGone,
}

impl PlatformError {
    /// The error for a response that could not be parsed.
    pub fn malformed(error: impl Display) -> Self {
        Self::Malformed(error.to_string().into())
    }

    /// The error for a response whose status is not a success.
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
            Self::TimedOut(timeout) => write!(formatter, "no answer within {timeout:?}"),
            Self::TooLarge => formatter.write_str("the response is too large"),
            Self::Malformed(cause) => write!(formatter, "malformed response: {cause}"),
            Self::Refused(status) => write!(formatter, "unexpected status {status}"),
            Self::HistoryGone => {
                formatter.write_str("the requested changes are no longer available")
            }
        }
    }
}

impl std::error::Error for PlatformError {}

/// The role of a listed instance.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceRole {
    /// An instance of this system.
    Router,
    /// A model engine or plain service that handles requests.
    Endpoint,
}

/// Whether a listed instance may get new requests.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance may get requests.
    Live,
    /// The instance is about to stop and gets no new requests.
    Leaving,
}

/// An entry of the platform's instance list.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
pub struct ListedInstance {
    /// The role of the instance.
    pub role: InstanceRole,
    /// The address on which a router listens for peers, or the address of an endpoint.
    pub address: InstanceId,
    /// The address on which a router listens for operators.
    #[serde(default)]
    pub operators_address: Option<Arc<str>>,
    /// Its availability zone.
    pub availability_zone: ZoneName,
    /// Whether it may get new requests.
    pub state: InstanceState,
}

/// The platform's key-value service.
// The runtime has one thread, so the futures need not be `Send`.
#[allow(async_fn_in_trait)]
pub trait PlatformStore {
    /// Whether every read returns a value at least as new as the last one written before the call;
    /// if not, a lagging replica may serve the read.
    const HAS_LINEARIZABLE_READS: bool;

    /// Reads a value; `None` if the key has none.
    async fn read(&self, key: &str) -> Result<Option<StoredValue>, PlatformError>;

    /// Waits until the revision of a value is above `after` and returns the value, or [`WatchResult::Unchanged`]
    /// after `wait`. May return at once if the key has no value.
    async fn watch(
        &self,
        key: &str,
        after: ValueRevision,
        wait: Duration,
    ) -> Result<WatchResult, PlatformError>;

    /// Writes a value if its current revision is `revision`; 0 creates the value.
    async fn swap(
        &self,
        key: &str,
        revision: ValueRevision,
        value: Bytes,
    ) -> Result<SwapResult, PlatformError>;

    /// Writes several values, each if its current revision is the one that is stated. Platforms that can write all
    /// or none do so; others may have written some at a conflict.
    async fn swap_all(&self, swaps: Vec<ValueSwap>) -> Result<SwapResult, PlatformError> {
        let mut last = SwapResult::Written(0);
        for swap in swaps {
            last = self.swap(&swap.key, swap.revision, swap.value).await?;
            if matches!(last, SwapResult::Conflict(_)) {
                break;
            }
        }
        Ok(last)
    }

    /// Lists the keys that start with a prefix.
    async fn list(&self, prefix: &str) -> Result<Vec<Arc<str>>, PlatformError>;

    /// How often the service came back from an older copy, as far as its answers stated. Revisions of different eras are
    /// not comparable.
    fn era(&self) -> u64 {
        0
    }

    /// A value that this client has already, so that reading it needs no call.
    fn held_value(&self, _key: &str) -> Option<Bytes> {
        None
    }

    /// Builds the tree of a root value that contains the whole tree; `None` on platforms whose root
    /// values list the branches of a tree.
    async fn whole_tree(&self, _root: &Bytes) -> Option<Result<Rc<ConfigTree>, ConfigErrors>> {
        None
    }
}

/// The platform's instance list, which may be out of date.
// The runtime has one thread, so the futures need not be `Send`.
#[allow(async_fn_in_trait)]
pub trait InstanceDirectory {
    /// Reads the whole list.
    async fn instances(&self) -> Result<Vec<ListedInstance>, PlatformError>;

    /// Registers this instance for `ttl` or renews its registration, on platforms whose instances
    /// register themselves.
    async fn register(&self, own: &ListedInstance, ttl: Duration) -> Result<(), PlatformError>;
}
