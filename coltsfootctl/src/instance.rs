//! The operators' port of an instance.

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

/// Largest answer of an instance, in bytes.
const ANSWER_BYTES_MAX: usize = 8 << 20;

/// An instance of the router that the platform lists.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedRouter {
    /// The address for operators.
    pub operators_address: SocketAddr,
    /// The availability zone.
    pub zone: ZoneName,
    /// Whether it is meant to get work.
    pub state: InstanceState,
}

/// The listed instances of the router that have a port for operators.
///
/// # Errors
///
/// Fails if the list cannot be read, or names an address that is none.
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
            PlatformError::Malformed(format!("{address:?} is no address of an instance").into())
        })?;
        let (zone, state) = (listed.availability_zone, listed.state);
        routers.push(ListedRouter { operators_address, zone, state });
    }
    Ok(routers)
}

/// Calls the operators' ports of instances, each call on a connection of its own.
#[derive(Clone, Copy, Debug)]
pub struct InstanceClient {
    time_limit: Duration,
}

impl InstanceClient {
    /// Calls with a time limit for each whole call.
    pub fn new(time_limit: Duration) -> Self {
        Self { time_limit }
    }

    /// Tells an instance that a version is in the store.
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

    /// The version in force on an instance; `None` if it has no tree yet.
    pub async fn version(
        &self,
        address: SocketAddr,
    ) -> Result<Option<ConfigVersion>, PlatformError> {
        let head: Option<VersionInForce> = self.get(address, "/config/head").await?;
        Ok(head.map(|head| head.version))
    }

    /// The status of an instance.
    pub async fn status(&self, address: SocketAddr) -> Result<Option<Value>, PlatformError> {
        self.get(address, "/status").await
    }

    /// The decision record of a request; `None` if the instance does not have it.
    pub async fn request(
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
        client.call(request, self.time_limit, ANSWER_BYTES_MAX).await
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
