//! Rate and concurrency limits of customers, held over the whole deployment.

mod bucket;
mod owner;
mod share;

use std::time::Duration;

pub use bucket::TokenBucket;
pub use owner::LimitOwner;
pub use share::{LimitDecision, LimitShare};

use crate::ids::{CustomerId, InstanceId, RequestTier};

/// How long a slice of a limit may be used.
pub const SLICE_LIFE: Duration = Duration::from_secs(2);
/// How long an owner counts a slice after its life, for clocks that run apart.
pub const SLICE_MARGIN: Duration = Duration::from_millis(500);

/// An entry instance's ask for a slice of a customer's limits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitAsk {
    /// The customer.
    pub customer: CustomerId,
    /// The entry instance.
    pub entry: InstanceId,
    /// The number of the last slice that arrived; zero for none.
    pub sequence: u64,
    /// Requests in flight that the entry may hold by its present slice.
    pub holding: u32,
    /// Requests in flight at the entry.
    pub in_use: u32,
    /// Requests in flight that it would like to have.
    pub wanted: u32,
    /// Permits to start a request that it would like to have.
    pub permits_wanted: u32,
    /// The highest tier among the requests that it asks for.
    pub tier: RequestTier,
    /// Permits that it gives back.
    pub permits_returned: u32,
}

/// A part of a customer's limits, lent to one entry instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitSlice {
    /// The number of the slice among those of this customer and entry.
    pub sequence: u64,
    /// Requests in flight at once.
    pub concurrency: u32,
    /// Permits to start a request.
    pub permits: u32,
    /// How long the slice may be used, from the moment of the ask.
    pub valid_for: Duration,
    /// When the next permit is expected, if none was left.
    pub next_permit: Duration,
    /// The lowest tier that may start requests, as what is left is kept for those above.
    pub open_to: RequestTier,
}
