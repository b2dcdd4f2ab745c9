//! Wire types of streams and where they began.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use coltsfootgate_core::stream::{StreamKey, StreamOrigin};

use crate::error::WireError;
use crate::names::check_name;

#[derive(Deserialize, Serialize)]
pub(crate) struct WireStreamKey {
    customer: Arc<str>,
    stream: Arc<str>,
}

#[derive(Deserialize, Serialize)]
pub(crate) struct WireStreamOrigin {
    pool: Arc<str>,
    version: Option<Arc<str>>,
}

impl From<StreamKey> for WireStreamKey {
    fn from(StreamKey { customer, stream }: StreamKey) -> Self {
        Self { customer, stream }
    }
}

impl TryFrom<WireStreamKey> for StreamKey {
    type Error = WireError;

    fn try_from(key: WireStreamKey) -> Result<Self, WireError> {
        let customer = check_name(key.customer, "customer")?;
        Ok(Self { customer, stream: check_name(key.stream, "stream")? })
    }
}

impl From<StreamOrigin> for WireStreamOrigin {
    fn from(StreamOrigin { pool, version }: StreamOrigin) -> Self {
        Self { pool, version }
    }
}

impl TryFrom<WireStreamOrigin> for StreamOrigin {
    type Error = WireError;

    fn try_from(origin: WireStreamOrigin) -> Result<Self, WireError> {
        let version = origin.version.map(|version| check_name(version, "version")).transpose()?;
        Ok(Self { pool: check_name(origin.pool, "pool")?, version })
    }
}
