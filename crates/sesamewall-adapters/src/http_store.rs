//! The platform's store over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Method;
use http::Response;
use sesamewall_ports::Precondition;
use sesamewall_ports::Store;
use sesamewall_ports::StoreError;
use sesamewall_ports::Versioned;

use crate::http_client;
use crate::http_client::CallError;
use crate::http_client::HyperClient;

/// A store that does not respond within this time counts as unreachable. It normally responds in
/// milliseconds, and a lease renewal must fit into its interval of one second.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

const BINARY: &str = "application/octet-stream";

/// An entry as encoded in responses to `list` and `watch`: key, value, version.
pub type StoredEntry = (String, Bytes, u64);

/// The platform's store over HTTP.
pub struct HttpStore {
    client: HyperClient,
    base: String,
}

impl HttpStore {
    /// Creates a client for the store at `base`, for example `http://127.0.0.1:7000`.
    pub fn new(base: &str) -> Self {
        Self { client: http_client::new_client(), base: base.trim_end_matches('/').to_owned() }
    }

    async fn read(&self, path: String, limit: Duration) -> Result<Response<Bytes>, StoreError> {
        let url = format!("{}{path}", self.base);
        match http_client::call(&self.client, Method::GET, url, BINARY, Bytes::new(), limit).await {
            Ok(response) if response.status() == 429 => Err(StoreError::RateLimited),
            Ok(response) if response.status().is_server_error() => Err(StoreError::Unavailable),
            Ok(response) => Ok(response),
            Err(_) => Err(StoreError::Unavailable),
        }
    }

    async fn write(
        &self,
        method: Method,
        path: String,
        body: Bytes,
    ) -> Result<Response<Bytes>, StoreError> {
        let url = format!("{}{path}", self.base);
        match http_client::call(&self.client, method, url, BINARY, body, CALL_TIMEOUT).await {
            Ok(response) => match response.status().as_u16() {
                200 => Ok(response),
                409 => Err(StoreError::Conflict),
                413 => Err(StoreError::TooLarge),
                429 => Err(StoreError::RateLimited),
                503 => Err(StoreError::Unavailable),
                _ => Err(StoreError::Unclear),
            },
            Err(CallError::NotSent) => Err(StoreError::Unavailable),
            Err(CallError::Unclear) => Err(StoreError::Unclear),
        }
    }
}

fn version(response: &Response<Bytes>) -> Option<u64> {
    response.headers().get("x-version")?.to_str().ok()?.parse().ok()
}

fn entries(response: &Response<Bytes>) -> Result<Vec<Versioned>, StoreError> {
    let decoded: Vec<StoredEntry> =
        rmp_serde::from_slice(response.body()).map_err(|_| StoreError::Unavailable)?;
    Ok(decoded.into_iter().map(|(key, value, version)| Versioned { key, value, version }).collect())
}

#[async_trait]
impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        let response = self.read(format!("/kv?key={key}"), CALL_TIMEOUT).await?;
        match (response.status().as_u16(), version(&response)) {
            (404, _) => Ok(None),
            (200, Some(version)) => {
                Ok(Some(Versioned { key: key.to_owned(), value: response.into_body(), version }))
            }
            _ => Err(StoreError::Unavailable),
        }
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Versioned>, StoreError> {
        let path = format!("/list?prefix={prefix}&after={after}&limit={limit}");
        entries(&self.read(path, CALL_TIMEOUT).await?)
    }

    async fn put(&self, key: &str, value: Bytes, expect: Precondition) -> Result<u64, StoreError> {
        let expect = match expect {
            Precondition::Absent => "absent".to_owned(),
            Precondition::Version(version) => version.to_string(),
        };
        let path = format!("/kv?key={key}&expect={expect}");
        let response = self.write(Method::PUT, path, value).await?;
        version(&response).ok_or(StoreError::Unclear)
    }

    async fn delete(&self, key: &str, version: u64) -> Result<(), StoreError> {
        let path = format!("/kv?key={key}&expect={version}");
        self.write(Method::DELETE, path, Bytes::new()).await.map(|_| ())
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait_ms: u64,
    ) -> Result<Vec<Versioned>, StoreError> {
        let path = format!("/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let limit = CALL_TIMEOUT + Duration::from_millis(wait_ms);
        entries(&self.read(path, limit).await?)
    }
}
