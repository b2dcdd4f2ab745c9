//! Wire types of requests for slices of customers' limits, and of the slices.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use coltsfootgate_core::ids::RequestTier;
use coltsfootgate_core::limit::{LimitSlice, SliceRequest};

use crate::error::WireError;
use crate::names::{check_instance, check_name, from_micros, to_micros};

#[derive(Deserialize, Serialize)]
pub(crate) struct WireSliceRequest {
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

impl From<SliceRequest> for WireSliceRequest {
    fn from(request: SliceRequest) -> Self {
        let SliceRequest { customer, entry, sequence, holding, in_use, wanted, .. } = request;
        let (permits_wanted, permits_returned) = (request.permits_wanted, request.permits_returned);
        Self {
            customer,
            entry,
            sequence,
            holding,
            in_use,
            wanted,
            permits_wanted,
            tier: request.tier.number(),
            permits_returned,
        }
    }
}

impl TryFrom<WireSliceRequest> for SliceRequest {
    type Error = WireError;

    fn try_from(request: WireSliceRequest) -> Result<Self, WireError> {
        Ok(Self {
            customer: check_name(request.customer, "customer")?,
            entry: check_instance(request.entry)?,
            sequence: request.sequence,
            holding: request.holding,
            in_use: request.in_use,
            wanted: request.wanted,
            permits_wanted: request.permits_wanted,
            tier: RequestTier::new(request.tier).ok_or(WireError::WrongValue("tier"))?,
            permits_returned: request.permits_returned,
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
