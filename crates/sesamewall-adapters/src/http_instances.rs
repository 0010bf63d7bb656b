//! The platform's instance list over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Method;
use sesamewall_ports::InstanceList;
use sesamewall_ports::ListedInstance;
use sesamewall_protocol::Error;
use sesamewall_protocol::Result;

use crate::http_client;
use crate::http_client::HyperClient;

const JSON: &str = "application/json";
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// The platform's instance list over HTTP.
pub struct HttpInstances {
    client: HyperClient,
    base: String,
}

impl HttpInstances {
    /// Creates a client for the list at `base`, for example `http://127.0.0.1:7000`.
    pub fn new(base: &str) -> Self {
        Self { client: http_client::new_client(), base: base.trim_end_matches('/').to_owned() }
    }

    async fn call(&self, method: Method, body: Bytes) -> Result<Bytes> {
        let url = format!("{}/instances", self.base);
        match http_client::call(&self.client, method, url, JSON, body, CALL_TIMEOUT).await {
            Ok(response) if response.status().is_success() => Ok(response.into_body()),
            Ok(response) => Err(unavailable(format!("status {}", response.status()))),
            Err(error) => Err(unavailable(format!("{error:?}"))),
        }
    }
}

fn unavailable(detail: String) -> Error {
    Error::StoreUnavailable { detail: format!("instance list: {detail}") }
}

#[async_trait]
impl InstanceList for HttpInstances {
    async fn announce(&self, local: &ListedInstance) -> Result<()> {
        let body = serde_json::to_vec(local).map_err(|error| unavailable(error.to_string()))?;
        self.call(Method::PUT, Bytes::from(body)).await.map(|_| ())
    }

    async fn list(&self) -> Result<Vec<ListedInstance>> {
        let body = self.call(Method::GET, Bytes::new()).await?;
        serde_json::from_slice(&body).map_err(|error| unavailable(error.to_string()))
    }
}
