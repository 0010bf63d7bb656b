//! Calls to other instances over HTTP.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use sesamewall_adapters::http_client;
use sesamewall_adapters::http_client::CallError;
use sesamewall_adapters::http_client::HyperClient;

const BINARY: &str = "application/octet-stream";

/// Timeout of a connection to another instance. Instances accept within milliseconds; over an
/// interrupted path none ever does.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// A client for calls to other instances.
pub struct PeerClient {
    client: HyperClient,
    port: u16,
}

impl PeerClient {
    /// Creates a client. All instances listen on `port`.
    pub fn new(port: u16) -> Self {
        Self { client: http_client::new_client_within(CONNECT_TIMEOUT), port }
    }

    /// Calls another instance and decodes its reply.
    ///
    /// # Errors
    ///
    /// Returns `NotSent` if the instance certainly did not get the call, otherwise `Unclear`.
    pub async fn call<Q: Serialize, A: for<'a> Deserialize<'a>>(
        &self,
        instance: IpAddr,
        path: &str,
        request: &Q,
        timeout: Duration,
    ) -> Result<A, CallError> {
        let body = rmp_serde::to_vec(request).map_err(|_| CallError::NotSent)?;
        let url = format!("http://{}{path}", SocketAddr::new(instance, self.port));
        let sent =
            http_client::call(&self.client, Method::POST, url, BINARY, Bytes::from(body), timeout);
        let response = sent.await?;
        match response.status() {
            StatusCode::OK => {
                rmp_serde::from_slice(response.body()).map_err(|_| CallError::Unclear)
            }
            // The instance does not have the path or could not decode the call.
            StatusCode::NOT_FOUND | StatusCode::BAD_REQUEST => Err(CallError::NotSent),
            _ => Err(CallError::Unclear),
        }
    }
}

/// Decodes a call and encodes the reply of `serve`. Returns `None` if the call cannot be decoded.
pub async fn handle_call<Q, A, F>(body: &[u8], serve: impl FnOnce(Q) -> F) -> Option<Vec<u8>>
where
    Q: for<'a> Deserialize<'a>,
    A: Serialize,
    F: Future<Output = A>,
{
    let request = rmp_serde::from_slice(body).ok()?;
    rmp_serde::to_vec(&serve(request).await).ok()
}
