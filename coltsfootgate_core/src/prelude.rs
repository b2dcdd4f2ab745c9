//! Re-exports of the types that most modules use.

pub use crate::ids::{
    BranchPath, ClassId, ConfigVersion, CustomerId, EndpointId, GrantId, Incarnation, InstanceId,
    PoolId, RequestId, RequestTier, SoftwareVersion, ZoneName,
};
pub use crate::outcome::RequestOutcome;
pub use crate::reason::ErrorKind;
pub use crate::settings::{
    ClassSettings, CustomerSettings, DeploymentSettings, EndpointSettings, PoolKind, PoolSettings,
    PoolShare, RouteTarget, RoutingStrategy,
};
