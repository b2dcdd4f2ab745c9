//! The duties of one instance at a time: reports of usage and orders of replicas.
//!
//! Every instance counts what it served ([`UsageBoard`]). A few candidates fetch the counts of all ([`poll`]); the one
//! that holds the lease in the platform's store reports and orders ([`DutyTask`]). Without a duty nothing is started.

mod board;
mod none;
mod orders;
mod poll;
mod status;
mod stored;
mod task;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use coltsfootgate_core::duty::report::ReportTerms;
use coltsfootgate_core::duty::scale::ReplicaOrder;
use coltsfootgate_core::duty::usage::{UsageCounts, WindowNumber};
use coltsfootgate_core::duty::{DutyToken, StoreEra};
use coltsfootgate_core::ids::PoolId;

pub use self::board::{DemandGuard, UsageBoard};
pub use self::none::NoDuties;
pub use self::status::DutyStatus;
pub use self::task::{DutyContext, DutyTask};
use crate::platform::{PlatformError, StoredValue, ValueRevision};

/// Identifies a lease in the platform's store.
pub type StoreLease = u64;

/// The duties of a deployment and their terms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DutyPlan {
    /// How usage is reported; `None` if that is no duty here.
    pub reports: Option<ReportTerms>,
    /// Whether replicas are ordered.
    pub orders_replicas: bool,
    /// Time within which two instances must not act in turns.
    pub lease_time: Duration,
}

/// A change of several values in the platform's store, all or nothing.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoreChange {
    /// Keys with the revisions that they must have; 0 if they must not exist.
    pub expect: Vec<(Arc<str>, ValueRevision)>,
    /// Values to write.
    pub puts: Vec<StorePut>,
    /// Keys to remove.
    pub remove: Vec<Arc<str>>,
}

/// A value to write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StorePut {
    /// Its key.
    pub key: Arc<str>,
    /// The value.
    pub value: Bytes,
    /// The lease with whose end it is removed.
    pub lease: Option<StoreLease>,
}

/// What became of a change that the store answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeResult {
    /// It was made, at this revision and in this era of the store.
    Made(ValueRevision, StoreEra),
    /// A value had another revision, or a lease has ended; nothing was changed.
    Conflict,
}

/// The platform's answer to a call that only the holder of a duty may make.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DutyAnswer {
    /// It was accepted.
    Accepted,
    /// It was refused: another holder acted since, or what was ordered is not available.
    Conflict,
}

/// The platform as the holder of the duties needs it.
// The runtime has one thread, so the futures need not be `Send`.
#[allow(async_fn_in_trait)]
pub trait DutyPlatform: Clone + 'static {
    /// The highest era that any answer of the store stated.
    fn era(&self) -> StoreEra;

    /// Reads a value; `None` if the key has none.
    async fn read(&self, key: &str) -> Result<Option<StoredValue>, PlatformError>;

    /// Creates a lease with a time to live.
    async fn create_lease(&self, ttl: Duration) -> Result<StoreLease, PlatformError>;

    /// Renews a lease; `false` if it has ended.
    async fn renew_lease(&self, lease: StoreLease) -> Result<bool, PlatformError>;

    /// Changes several values, all or nothing.
    async fn change(&self, change: StoreChange) -> Result<ChangeResult, PlatformError>;

    /// Reports how many requests of each customer began in a window.
    async fn report_usage(
        &self,
        token: DutyToken,
        window: WindowNumber,
        counts: &UsageCounts,
    ) -> Result<DutyAnswer, PlatformError>;

    /// Orders replicas of a pool.
    async fn order_replicas(
        &self,
        token: DutyToken,
        pool: &PoolId,
        order: &ReplicaOrder,
    ) -> Result<DutyAnswer, PlatformError>;
}
