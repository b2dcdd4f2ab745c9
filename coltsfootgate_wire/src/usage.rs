//! Wire types of what instances counted for the duties.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use coltsfootgate_core::duty::usage::{LOG_RETENTION, SLOT_TIME, UsageExtract, UsageSlot};
use coltsfootgate_core::duty::{InstanceUsage, PoolDemand};

use crate::error::WireError;
use crate::names::{check_name, from_micros, to_micros};

/// Maximum number of slots in one reply: all that a log keeps, and those at both of its ends.
const SLOTS_MAX: usize = (LOG_RETENTION.as_millis() / SLOT_TIME.as_millis()) as usize + 2;

#[derive(Deserialize, Serialize)]
pub(crate) struct WireUsage {
    incarnation: u64,
    next: u64,
    next_age_micros: u64,
    log_age_micros: u64,
    wall_micros: u64,
    slots: Vec<WireSlot>,
    demands: Vec<WireDemand>,
}

#[derive(Deserialize, Serialize)]
struct WireSlot {
    /// How many slots before `next` it is.
    slots_back: u64,
    counts: Vec<(Arc<str>, u32)>,
}

#[derive(Deserialize, Serialize)]
struct WireDemand {
    pool: Arc<str>,
    running: u32,
    waiting: u32,
}

impl From<InstanceUsage> for WireUsage {
    fn from(InstanceUsage { extract, demands }: InstanceUsage) -> Self {
        let next = extract.next;
        let slots = extract.slots.into_iter().map(|slot| WireSlot {
            slots_back: next.saturating_sub(slot.number),
            counts: slot.counts,
        });
        let demands = demands.into_iter().map(|PoolDemand { pool, running, waiting }| WireDemand {
            pool,
            running,
            waiting,
        });
        Self {
            incarnation: extract.incarnation,
            next,
            next_age_micros: to_micros(extract.next_age),
            log_age_micros: to_micros(extract.log_age),
            wall_micros: u64::try_from(extract.wall_time.as_micros()).unwrap_or(u64::MAX),
            slots: slots.collect(),
            demands: demands.collect(),
        }
    }
}

impl TryFrom<WireUsage> for InstanceUsage {
    type Error = WireError;

    fn try_from(wire: WireUsage) -> Result<Self, WireError> {
        if wire.slots.len() > SLOTS_MAX {
            return Err(WireError::WrongValue("slots"));
        }
        let slots = wire.slots.into_iter().map(|slot| slot.into_slot(wire.next));
        let extract = UsageExtract {
            incarnation: wire.incarnation,
            next: wire.next,
            next_age: from_micros(wire.next_age_micros)?,
            log_age: from_micros(wire.log_age_micros)?,
            wall_time: Duration::from_micros(wire.wall_micros),
            slots: slots.collect::<Result<_, _>>()?,
        };
        let demands = wire.demands.into_iter().map(|demand| {
            let WireDemand { pool, running, waiting } = demand;
            Ok(PoolDemand { pool: check_name(pool, "pool")?, running, waiting })
        });
        Ok(Self { extract, demands: demands.collect::<Result<_, WireError>>()? })
    }
}

impl WireSlot {
    fn into_slot(self, next: u64) -> Result<UsageSlot, WireError> {
        let number = next.checked_sub(self.slots_back).ok_or(WireError::WrongValue("slot"))?;
        let counts = self.counts.into_iter();
        let counts = counts.map(|(customer, count)| Ok((check_name(customer, "customer")?, count)));
        Ok(UsageSlot { number, counts: counts.collect::<Result<_, WireError>>()? })
    }
}
