//! Rate and concurrency limits of customers, enforced across the whole deployment.

mod bucket;
mod owner;
mod share;

use std::time::Duration;

pub use bucket::TokenBucket;
pub use owner::LimitOwner;
pub use share::{LimitDecision, LocalLimiter};

use crate::ids::{CustomerId, InstanceId, RequestTier};

/// How long an entry instance may use a slice of a limit.
pub const SLICE_LIFETIME: Duration = Duration::from_secs(2);
/// How long an owner still counts a slice after its lifetime, to allow for clock drift.
pub const SLICE_EXPIRY_MARGIN: Duration = Duration::from_millis(500);

/// An entry instance's request for a slice of a customer's limits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SliceRequest {
    /// The customer.
    pub customer: CustomerId,
    /// The entry instance.
    pub entry: InstanceId,
    /// Sequence number of the last slice received; 0 if none was.
    pub sequence: u64,
    /// Concurrency that the entry instance's current slice allows.
    pub holding: u32,
    /// Requests in flight at the entry instance.
    pub in_use: u32,
    /// Requested concurrency.
    pub wanted: u32,
    /// Requested number of permits; each permit allows starting one request.
    pub permits_wanted: u32,
    /// The highest tier among the requests that need the slice.
    pub tier: RequestTier,
    /// Number of unused permits that are returned.
    pub permits_returned: u32,
}

/// A part of a customer's limits, granted to one entry instance for a limited time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitSlice {
    /// Sequence number of the slice, counted per customer and entry instance.
    pub sequence: u64,
    /// Maximum number of requests in flight at the entry instance.
    pub concurrency: u32,
    /// Number of permits; each permit allows starting one request.
    pub permits: u32,
    /// How long the slice may be used, counted from when the request for it was sent.
    pub valid_for: Duration,
    /// Time until the next permit is available; zero if one is available now.
    pub next_permit: Duration,
    /// The lowest tier that may start requests; the remaining concurrency is reserved for higher
    /// tiers.
    pub open_to: RequestTier,
}
