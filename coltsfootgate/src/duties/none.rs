//! Platforms without duties.

use std::time::Duration;

use coltsfootgate_core::duty::scale::ReplicaOrder;
use coltsfootgate_core::duty::usage::{UsageCounts, WindowNumber};
use coltsfootgate_core::duty::{DutyToken, StoreEra};
use coltsfootgate_core::ids::PoolId;

use super::{ChangeResult, DutyAnswer, DutyPlatform, StoreChange, StoreLease};
use crate::platform::{PlatformError, StoredValue};

/// The client of a platform that has no duties; there is no value of it.
#[derive(Clone, Copy, Debug)]
pub enum NoDuties {}

impl DutyPlatform for NoDuties {
    fn era(&self) -> StoreEra {
        match *self {}
    }

    async fn read(&self, _key: &str) -> Result<Option<StoredValue>, PlatformError> {
        match *self {}
    }

    async fn create_lease(&self, _ttl: Duration) -> Result<StoreLease, PlatformError> {
        match *self {}
    }

    async fn renew_lease(&self, _lease: StoreLease) -> Result<bool, PlatformError> {
        match *self {}
    }

    async fn change(&self, _change: StoreChange) -> Result<ChangeResult, PlatformError> {
        match *self {}
    }

    async fn report_usage(
        &self,
        _token: DutyToken,
        _window: WindowNumber,
        _counts: &UsageCounts,
    ) -> Result<DutyAnswer, PlatformError> {
        match *self {}
    }

    async fn order_replicas(
        &self,
        _token: DutyToken,
        _pool: &PoolId,
        _order: &ReplicaOrder,
    ) -> Result<DutyAnswer, PlatformError> {
        match *self {}
    }
}
