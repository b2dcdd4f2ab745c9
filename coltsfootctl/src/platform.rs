//! The platform's key-value service and instance list, as the tool needs them.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http::{CallError, HttpClient};

/// Header that carries the revision of a value.
const REVISION_HEADER: &str = "x-revision";

/// Revision of a stored value; 0 stands for no value.
pub type ValueRevision = u64;

/// A value read from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredValue {
    /// Its revision.
    pub revision: ValueRevision,
    /// Its bytes.
    pub bytes: Bytes,
}

/// What became of a compare-and-swap that was answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwapResult {
    /// The value was written.
    Written,
    /// Another value was there, with this revision; nothing was written.
    Conflict(ValueRevision),
}

/// Whether a listed instance is meant to get work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It serves.
    Live,
    /// It is about to go.
    Leaving,
}

/// An instance of the router in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedInstance {
    /// The address for operators.
    pub operators_address: SocketAddr,
    /// The availability zone.
    pub zone: Arc<str>,
    /// Whether it is meant to get work.
    pub state: InstanceState,
}

/// The platform as the tool meets it.
// Futures stay on the thread that made them.
#[allow(async_fn_in_trait)]
pub trait PlatformService {
    /// Reads a value; `None` if there is none.
    async fn read(&self, key: &str) -> Result<Option<StoredValue>, CallError>;

    /// Writes a value if its revision is still the given one; revision 0 creates it.
    async fn swap(
        &self,
        key: &str,
        revision: ValueRevision,
        bytes: Bytes,
    ) -> Result<SwapResult, CallError>;

    /// The instances of the router that the list shows.
    async fn instances(&self) -> Result<Vec<ListedInstance>, CallError>;
}

#[derive(Deserialize)]
struct InstanceList {
    instances: Vec<InstanceEntry>,
}

#[derive(Deserialize)]
struct InstanceEntry {
    role: String,
    #[serde(default)]
    operators_address: Option<SocketAddr>,
    availability_zone: Arc<str>,
    state: InstanceState,
}

impl InstanceEntry {
    fn router(self) -> Option<ListedInstance> {
        let operators_address = self.operators_address.filter(|_| self.role == "router")?;
        Some(ListedInstance { operators_address, zone: self.availability_zone, state: self.state })
    }
}

/// The platform over HTTP.
#[derive(Clone, Copy, Debug)]
pub struct HttpPlatform {
    address: SocketAddr,
    client: HttpClient,
}

impl HttpPlatform {
    /// The platform at an address.
    pub fn new(address: SocketAddr, client: HttpClient) -> Self {
        Self { address, client }
    }

    fn refused(&self, response: &Response<Bytes>) -> CallError {
        CallError::Refused(self.address, response.status().as_u16())
    }

    fn revision(&self, response: &Response<Bytes>) -> Result<ValueRevision, CallError> {
        let header = response.headers().get(REVISION_HEADER);
        let revision = header.and_then(|value| value.to_str().ok()?.parse().ok());
        revision.ok_or_else(|| CallError::Malformed(self.address, "no revision".into()))
    }
}

impl PlatformService for HttpPlatform {
    async fn read(&self, key: &str) -> Result<Option<StoredValue>, CallError> {
        let path = format!("/kv/{key}");
        let response = self.client.call(self.address, Method::GET, &path, Bytes::new()).await?;
        match response.status() {
            StatusCode::OK => {
                let revision = self.revision(&response)?;
                Ok(Some(StoredValue { revision, bytes: response.into_body() }))
            }
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(self.refused(&response)),
        }
    }

    async fn swap(
        &self,
        key: &str,
        revision: ValueRevision,
        bytes: Bytes,
    ) -> Result<SwapResult, CallError> {
        let path = format!("/kv/{key}?revision={revision}");
        let response = self.client.call(self.address, Method::PUT, &path, bytes).await?;
        match response.status() {
            StatusCode::OK => Ok(SwapResult::Written),
            StatusCode::CONFLICT => Ok(SwapResult::Conflict(self.revision(&response)?)),
            _ => Err(self.refused(&response)),
        }
    }

    async fn instances(&self) -> Result<Vec<ListedInstance>, CallError> {
        let response =
            self.client.call(self.address, Method::GET, "/instances", Bytes::new()).await?;
        if response.status() != StatusCode::OK {
            return Err(self.refused(&response));
        }
        let list: InstanceList = serde_json::from_slice(response.body())
            .map_err(|error| CallError::Malformed(self.address, error.to_string()))?;
        Ok(list.instances.into_iter().filter_map(InstanceEntry::router).collect())
    }
}
