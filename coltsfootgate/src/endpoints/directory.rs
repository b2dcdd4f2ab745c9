//! The interface to the platform's list of endpoints.

use std::time::Duration;

use coltsfootgate_core::roster::ReplicaAnnouncement;

use crate::feed::RevisedNotices;
use crate::platform::{PlatformError, ValueRevision};

/// The announcements in the list at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EndpointList {
    /// The announcement of each replica.
    pub announcements: Vec<ReplicaAnnouncement>,
    /// The era of the store in which the list was read, see [`EndpointDirectory::era`].
    pub era: u64,
    /// The revision after which to read changes.
    pub revision: ValueRevision,
}

/// The platform's list of endpoints, in which replicas announce themselves.
// The runtime has one thread, so the futures need not be `Send`.
#[allow(async_fn_in_trait)]
pub trait EndpointDirectory {
    /// Whether endpoints announce themselves; if not, all endpoints come from the settings tree.
    const ANNOUNCES: bool;

    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// Fails if the platform gives no usable response.
    async fn endpoints(&self) -> Result<EndpointList, PlatformError>;

    /// Reads the changes after a revision, each with its own, and returns them with the revision to continue from.
    ///
    /// Waits for the first change, but no longer than `wait`.
    ///
    /// # Errors
    ///
    /// Fails with [`PlatformError::HistoryGone`] if changes after that revision are no longer
    /// available, so that the list has to be read again.
    async fn endpoint_changes(
        &self,
        after: ValueRevision,
        wait: Duration,
    ) -> Result<(RevisedNotices, ValueRevision), PlatformError>;

    /// How often the platform's store came back from an older copy, as far as any of its answers stated. Revisions of
    /// different eras are not comparable.
    fn era(&self) -> u64 {
        0
    }
}
