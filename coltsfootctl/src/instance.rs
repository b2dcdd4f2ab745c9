//! A client of the instances' ports for operators.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use coltsfootgate::platform::{
    BoundedClient, InstanceDirectory, InstanceRole, InstanceState, PlatformError,
};
use coltsfootgate_core::ids::{ConfigVersion, ZoneName};
use http::{Method, Response, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

#[derive(Deserialize)]
struct VersionInForce {
    version: ConfigVersion,
}

/// Maximum size of an instance's response body, in bytes.
const RESPONSE_BYTES_MAX: usize = 8 << 20;

/// A router instance in the platform's instance list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedRouter {
    /// The address of its port for operators.
    pub operators_address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it serves, or is about to leave.
    pub state: InstanceState,
}

/// Reads the listed router instances that have a port for operators.
///
/// # Errors
///
/// Fails if the list cannot be read, or if an operators' address in it cannot be parsed.
pub async fn listed_routers<P: InstanceDirectory>(
    platform: &P,
) -> Result<Vec<ListedRouter>, PlatformError> {
    let mut routers = Vec::new();
    for listed in platform.instances().await? {
        let Some(address) =
            listed.operators_address.filter(|_| listed.role == InstanceRole::Router)
        else {
            continue;
        };
        let operators_address = address.parse().map_err(|_| {
            PlatformError::Malformed(
                format!("the operators' address {address:?} is not an IP address and port").into(),
            )
        })?;
        let (zone, state) = (listed.availability_zone, listed.state);
        routers.push(ListedRouter { operators_address, zone, state });
    }
    Ok(routers)
}

/// Calls the operators' ports of instances, with a new connection for each call.
#[derive(Clone, Copy, Debug)]
pub struct InstanceClient {
    time_limit: Duration,
}

impl InstanceClient {
    /// Creates a client whose calls may each take `time_limit` in total.
    pub fn new(time_limit: Duration) -> Self {
        Self { time_limit }
    }

    /// Announces to an instance that a version is in the store.
    pub async fn announce(
        &self,
        address: SocketAddr,
        version: ConfigVersion,
    ) -> Result<(), PlatformError> {
        let body = Bytes::from(json!({ "version": version }).to_string());
        let response = self.call(address, Method::POST, "/config/head", body).await?;
        if response.status().is_success() {
            return Ok(());
        }
        Err(PlatformError::refused(&response))
    }

    /// Reads the version in force on an instance; `None` if it has no tree yet.
    pub async fn version_in_force(
        &self,
        address: SocketAddr,
    ) -> Result<Option<ConfigVersion>, PlatformError> {
        let head: Option<VersionInForce> = self.get(address, "/config/head").await?;
        Ok(head.map(|head| head.version))
    }

    /// Reads the status of an instance; `None` if it serves none.
    pub async fn status(&self, address: SocketAddr) -> Result<Option<Value>, PlatformError> {
        self.get(address, "/status").await
    }

    /// Reads the decision record of a request; `None` if the instance does not have it.
    pub async fn decision_record(
        &self,
        address: SocketAddr,
        request_id: &str,
    ) -> Result<Option<Value>, PlatformError> {
        self.get(address, &format!("/requests/{request_id}")).await
    }

    async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Bytes>, PlatformError> {
        let client = BoundedClient::new(address);
        let request = client.request(method, path, body)?;
        client.call(request, self.time_limit, RESPONSE_BYTES_MAX).await
    }

    async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<Option<T>, PlatformError> {
        let response = self.call(address, Method::GET, path, Bytes::new()).await?;
        match response.status() {
            StatusCode::OK => {
                serde_json::from_slice(response.body()).map(Some).map_err(PlatformError::malformed)
            }
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(PlatformError::Refused(status.as_u16())),
        }
    }
}
