//! The adapter for a platform service with an HTTP interface.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootgate_core::answer::AnswerFraming;
use http::{Method, Response, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::endpoints::{EndpointDirectory, EndpointList};
use crate::feed::RevisedNotices;

use super::client::BoundedClient;
use super::{
    InstanceDirectory, ListedInstance, PlatformError, PlatformStore, StoredValue, SwapResult,
    VALUE_BYTES_MAX, ValueRevision, WatchResult,
};

/// Header with the revision of a value.
const REVISION_HEADER: &str = "x-revision";
/// Maximum size of a response that lists keys or instances, in bytes.
const LIST_BYTES_MAX: usize = 4 << 20;

#[derive(Deserialize)]
struct KeyList {
    keys: Vec<Arc<str>>,
}

#[derive(Deserialize)]
struct InstanceList {
    instances: Vec<ListedInstance>,
}

/// A client of the platform's key-value service and instance list over HTTP.
#[derive(Clone)]
pub struct HttpPlatform {
    client: Rc<BoundedClient>,
    timeout: Duration,
}

impl HttpPlatform {
    /// Creates a client of the service at an address, with a timeout for each call.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let client = Rc::new(BoundedClient::new(address));
        Self { client, timeout }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
        body_bytes_max: usize,
    ) -> Result<Response<Bytes>, PlatformError> {
        let request = self.client.request(method, path, body)?;
        self.client.call(request, timeout, body_bytes_max).await
    }

    async fn get(
        &self,
        path: &str,
        timeout: Duration,
        body_bytes_max: usize,
    ) -> Result<Response<Bytes>, PlatformError> {
        self.call(Method::GET, path, Bytes::new(), timeout, body_bytes_max).await
    }

    async fn get_list<T: DeserializeOwned>(&self, path: &str) -> Result<T, PlatformError> {
        let response = self.get(path, self.timeout, LIST_BYTES_MAX).await?;
        if response.status() != StatusCode::OK {
            return Err(PlatformError::refused(&response));
        }
        serde_json::from_slice(response.body()).map_err(PlatformError::malformed)
    }
}

impl PlatformStore for HttpPlatform {
    const HAS_LINEARIZABLE_READS: bool = false;

    async fn read(&self, key: &str) -> Result<Option<StoredValue>, PlatformError> {
        let response = self.get(&format!("/kv/{key}"), self.timeout, VALUE_BYTES_MAX).await?;
        match response.status() {
            StatusCode::OK => Ok(Some(stored_value(response)?)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(PlatformError::refused(&response)),
        }
    }

    async fn watch(
        &self,
        key: &str,
        after: ValueRevision,
        wait: Duration,
    ) -> Result<WatchResult, PlatformError> {
        let path = format!("/kv/{key}?after={after}&wait={}", wait.as_millis());
        let response = self.get(&path, wait + self.timeout, VALUE_BYTES_MAX).await?;
        match response.status() {
            StatusCode::OK => Ok(WatchResult::Read(Some(stored_value(response)?))),
            StatusCode::NOT_MODIFIED => Ok(WatchResult::Unchanged),
            StatusCode::NOT_FOUND => Ok(WatchResult::Read(None)),
            _ => Err(PlatformError::refused(&response)),
        }
    }

    async fn swap(
        &self,
        key: &str,
        revision: ValueRevision,
        value: Bytes,
    ) -> Result<SwapResult, PlatformError> {
        let path = format!("/kv/{key}?revision={revision}");
        let response = self.call(Method::PUT, &path, value, self.timeout, VALUE_BYTES_MAX).await?;
        match response.status() {
            StatusCode::OK => Ok(SwapResult::Written(response_revision(&response)?)),
            StatusCode::CONFLICT => Ok(SwapResult::Conflict(response_revision(&response)?)),
            _ => Err(PlatformError::refused(&response)),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Arc<str>>, PlatformError> {
        let list: KeyList = self.get_list(&format!("/kv?prefix={prefix}")).await?;
        Ok(list.keys)
    }
}

impl InstanceDirectory for HttpPlatform {
    async fn instances(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        let list: InstanceList = self.get_list("/instances").await?;
        Ok(list.instances)
    }

    /// Does nothing, since the platform itself registers the instances that it starts.
    async fn register(&self, _own: &ListedInstance, _ttl: Duration) -> Result<(), PlatformError> {
        Ok(())
    }
}

impl EndpointDirectory for HttpPlatform {
    const ANNOUNCES: bool = false;

    async fn endpoints(&self) -> Result<EndpointList, PlatformError> {
        Ok(EndpointList::default())
    }

    async fn endpoint_changes(
        &self,
        after: ValueRevision,
        wait: Duration,
    ) -> Result<(RevisedNotices, ValueRevision), PlatformError> {
        monoio::time::sleep(wait).await;
        Ok((Vec::new(), after))
    }
}

fn stored_value(response: Response<Bytes>) -> Result<StoredValue, PlatformError> {
    let revision = response_revision(&response)?;
    // A value has no structure of its own that shows a missing part.
    if response.extensions().get() == Some(&AnswerFraming::ConnectionClose) {
        return Err(PlatformError::Broken("the end of the value is not marked".into()));
    }
    Ok(StoredValue { revision, value: response.into_body() })
}

fn response_revision(response: &Response<Bytes>) -> Result<ValueRevision, PlatformError> {
    response
        .headers()
        .get(REVISION_HEADER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .ok_or_else(|| PlatformError::Malformed("no revision".into()))
}
