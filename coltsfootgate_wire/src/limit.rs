//! Wire types of slices of customers' limits.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use coltsfootgate_core::ids::RequestTier;
use coltsfootgate_core::limit::{LimitSlice, SliceRequest};

use crate::error::WireError;
use crate::names::{check_instance, check_name, from_micros, to_micros};

#[derive(Deserialize, Serialize)]
pub(crate) struct WireLimitAsk {
    customer: Arc<str>,
    entry: Arc<str>,
    sequence: u64,
    holding: u32,
    in_use: u32,
    wanted: u32,
    permits_wanted: u32,
    tier: u8,
    permits_returned: u32,
}

#[derive(Deserialize, Serialize)]
pub(crate) struct WireLimitSlice {
    sequence: u64,
    concurrency: u32,
    permits: u32,
    valid_micros: u64,
    next_permit_micros: u64,
    open_to: u8,
}

impl From<SliceRequest> for WireLimitAsk {
    fn from(ask: SliceRequest) -> Self {
        let SliceRequest { customer, entry, sequence, holding, in_use, wanted, .. } = ask;
        let (permits_wanted, permits_returned) = (ask.permits_wanted, ask.permits_returned);
        Self {
            customer,
            entry,
            sequence,
            holding,
            in_use,
            wanted,
            permits_wanted,
            tier: ask.tier.number(),
            permits_returned,
        }
    }
}

impl TryFrom<WireLimitAsk> for SliceRequest {
    type Error = WireError;

    fn try_from(ask: WireLimitAsk) -> Result<Self, WireError> {
        Ok(Self {
            customer: check_name(ask.customer, "customer")?,
            entry: check_instance(ask.entry)?,
            sequence: ask.sequence,
            holding: ask.holding,
            in_use: ask.in_use,
            wanted: ask.wanted,
            permits_wanted: ask.permits_wanted,
            tier: RequestTier::new(ask.tier).ok_or(WireError::WrongValue("tier"))?,
            permits_returned: ask.permits_returned,
        })
    }
}

impl From<LimitSlice> for WireLimitSlice {
    fn from(slice: LimitSlice) -> Self {
        Self {
            sequence: slice.sequence,
            concurrency: slice.concurrency,
            permits: slice.permits,
            valid_micros: to_micros(slice.valid_for),
            next_permit_micros: to_micros(slice.next_permit),
            open_to: slice.open_to.number(),
        }
    }
}

impl TryFrom<WireLimitSlice> for LimitSlice {
    type Error = WireError;

    fn try_from(slice: WireLimitSlice) -> Result<Self, WireError> {
        Ok(Self {
            sequence: slice.sequence,
            concurrency: slice.concurrency,
            permits: slice.permits,
            valid_for: from_micros(slice.valid_micros)?,
            next_permit: from_micros(slice.next_permit_micros)?,
            open_to: RequestTier::new(slice.open_to).ok_or(WireError::WrongValue("tier"))?,
        })
    }
}
