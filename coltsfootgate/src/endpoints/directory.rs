//! The platform's list of endpoints, where endpoints announce themselves.

use std::sync::Arc;
use std::time::Duration;

use coltsfootgate_core::roster::ReplicaAnnouncement;

use crate::platform::{PlatformError, ValueRevision};

/// All that is announced at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EndpointList {
    /// The announcements.
    pub announcements: Vec<ReplicaAnnouncement>,
    /// The revision from which to continue.
    pub revision: ValueRevision,
}

/// One change of what is announced.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EndpointNotice {
    /// A replica announced itself anew.
    Announced(ReplicaAnnouncement),
    /// The announcement of a replica is gone, or names nobody any more.
    Withdrawn(Arc<str>),
}

/// The announcements of endpoints.
// Futures stay on the thread that made them.
#[allow(async_fn_in_trait)]
pub trait EndpointDirectory {
    /// Whether endpoints announce themselves; otherwise the tree alone names them.
    const ANNOUNCES: bool;

    /// Reads all announcements.
    async fn endpoints(&self) -> Result<EndpointList, PlatformError>;

    /// Reads the changes after a revision, with the revision from which to continue.
    ///
    /// Waits for the first one, or until `wait` has passed.
    async fn endpoint_changes(
        &self,
        after: ValueRevision,
        wait: Duration,
    ) -> Result<(Vec<EndpointNotice>, ValueRevision), PlatformError>;
}
