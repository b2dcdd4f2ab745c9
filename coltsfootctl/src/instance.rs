//! The operators' port of an instance.

use std::net::SocketAddr;

use bytes::Bytes;
use coltsfootgate_core::ids::ConfigVersion;
use http::{Method, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::http::{CallError, HttpClient};

#[derive(Deserialize)]
struct HeadInForce {
    version: ConfigVersion,
}

/// Calls the operators' ports of instances.
#[derive(Clone, Copy, Debug)]
pub struct InstanceClient {
    client: HttpClient,
}

impl InstanceClient {
    /// Calls with the bounds of this client.
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }

    /// Tells an instance that a version is in the store.
    pub async fn announce(
        &self,
        address: SocketAddr,
        version: ConfigVersion,
    ) -> Result<(), CallError> {
        let body = Bytes::from(json!({ "version": version }).to_string());
        let response = self.client.call(address, Method::POST, "/config/head", body).await?;
        if response.status().is_success() {
            return Ok(());
        }
        Err(CallError::Refused(address, response.status().as_u16()))
    }

    /// The version in force on an instance; `None` if it has no tree yet.
    pub async fn version(&self, address: SocketAddr) -> Result<Option<ConfigVersion>, CallError> {
        let head: Option<HeadInForce> = self.get(address, "/config/head").await?;
        Ok(head.map(|head| head.version))
    }

    /// The status of an instance.
    pub async fn status(&self, address: SocketAddr) -> Result<Option<Value>, CallError> {
        self.get(address, "/status").await
    }

    /// The decision record of a request; `None` if the instance does not have it.
    pub async fn request(
        &self,
        address: SocketAddr,
        request_id: &str,
    ) -> Result<Option<Value>, CallError> {
        self.get(address, &format!("/requests/{request_id}")).await
    }

    async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<Option<T>, CallError> {
        let response = self.client.call(address, Method::GET, path, Bytes::new()).await?;
        match response.status() {
            StatusCode::OK => serde_json::from_slice(response.body())
                .map(Some)
                .map_err(|error| CallError::Malformed(address, error.to_string())),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(CallError::Refused(address, status.as_u16())),
        }
    }
}
