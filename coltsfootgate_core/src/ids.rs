//! Identifiers used by all crates.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Path of a branch in the settings tree, such as `classes.bookings.confirmation`.
pub type BranchPath = Arc<str>;
/// Path of the branch that defines a request class.
pub type ClassId = Arc<str>;
/// Path of the branch that defines a customer.
pub type CustomerId = Arc<str>;
/// Path of the branch that defines a pool of endpoints.
pub type PoolId = Arc<str>;
/// Path of the branch that defines an endpoint, or `REPLICA@BORN` for a replica that announced
/// itself.
pub type EndpointId = Arc<str>;
/// Address at which an instance listens for its peers, such as `127.0.0.1:9001`.
pub type InstanceId = Arc<str>;
/// Version of the software that an endpoint runs, not of its model weights.
pub type SoftwareVersion = Arc<str>;
/// Name of an availability zone.
pub type ZoneName = Arc<str>;
/// Version of the settings tree; each accepted change increments it by one.
pub type ConfigVersion = u64;
/// Start time of an instance in nanoseconds since the Unix epoch.
///
/// Distinguishes the instance from its predecessors at the same address.
pub type Incarnation = u64;
/// Identifies a grant of an endpoint slot; unique within the instance that requested it.
pub type GrantId = u64;
/// Identifies a request across all instances.
pub type RequestId = Uuid;

/// The tier of a class, 1 being the highest priority and 7 the lowest.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(try_from = "u8", into = "u8")]
pub struct RequestTier(u8);

/// Number of tiers.
pub const TIER_COUNT: usize = 7;

impl RequestTier {
    /// The tier that is served before all others.
    pub const HIGHEST: Self = Self(1);
    /// The tier that is served after all others.
    pub const LOWEST: Self = Self(TIER_COUNT as u8);

    /// Creates a tier from its number; `None` unless it lies between 1 and 7.
    pub fn new(number: u8) -> Option<Self> {
        (1..=TIER_COUNT as u8).contains(&number).then_some(Self(number))
    }

    /// The number of the tier, from 1 to 7.
    pub fn number(self) -> u8 {
        self.0
    }

    /// The position of the tier in an array of all tiers, highest first.
    pub fn index(self) -> usize {
        usize::from(self.0) - 1
    }

    /// Whether this tier has priority over the other one.
    pub fn is_above(self, other: Self) -> bool {
        self.0 < other.0
    }

    /// All tiers, highest first.
    pub fn all() -> impl DoubleEndedIterator<Item = Self> {
        (1..=TIER_COUNT as u8).map(Self)
    }
}

impl Display for RequestTier {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl From<RequestTier> for u8 {
    fn from(tier: RequestTier) -> Self {
        tier.0
    }
}

impl TryFrom<u8> for RequestTier {
    type Error = String;

    fn try_from(number: u8) -> Result<Self, Self::Error> {
        Self::new(number).ok_or_else(|| format!("tier {number} is not between 1 and {TIER_COUNT}"))
    }
}
