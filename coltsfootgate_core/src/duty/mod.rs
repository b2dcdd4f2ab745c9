//! Duties that one instance at a time carries out for the whole deployment: reports of usage and orders of
//! replicas.
//!
//! Who holds them is decided by [`lease`], what is counted by [`usage`], what is reported by [`report`], and how
//! many replicas are ordered by [`scale`].

pub mod lease;
pub mod report;
pub mod scale;
pub mod usage;

use crate::ids::PoolId;

use self::usage::UsageExtract;

/// Number of times that the store came back from an older copy; rises by one each time.
pub type StoreEra = u64;
/// Orders the holders of the duties: that of a later holder is higher.
pub type DutyToken = u64;

/// The requests of one pool at one instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolDemand {
    /// The pool.
    pub pool: PoolId,
    /// Requests that were sent to an endpoint and have not ended.
    pub running: u32,
    /// Requests that wait for an endpoint.
    pub waiting: u32,
}

/// What an instance tells those that carry out or may take over the duties.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceUsage {
    /// The requests that began and that the asker does not know of yet.
    pub extract: UsageExtract,
    /// The requests that the instance has, by pool.
    pub demands: Vec<PoolDemand>,
}
