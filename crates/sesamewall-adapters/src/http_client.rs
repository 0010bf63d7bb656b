//! The HTTP client that the platform adapters share.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::Connect;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;

use crate::request_body::RequestBody;
use crate::reset_connector::ResetConnector;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Content type of a stream of events, without its parameters.
pub const EVENT_STREAM: &str = "text/event-stream";

/// Returns whether a status can be the one of a target's response to a request: 101 needs a request to
/// change the protocol, and no class is defined from 600 on. The client itself passes over other
/// statuses below 200 and rejects what is not three digits from 100 on.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Reports whether a failed call may have reached the server.
#[derive(Debug)]
pub enum CallError {
    /// No connection was made, and nothing was sent.
    NotSent,
    /// The request may have reached the server.
    Unclear,
}

/// A pooled HTTP/1.1 client.
pub type HyperClient = Client<HttpConnector, Full<Bytes>>;

/// A pooled HTTP/1.1 client for calls to targets.
pub type TargetClient = Client<ResetConnector, RequestBody>;

/// Returns a new client for calls to targets, with its own connection pool. A call that is given up
/// resets its connection.
pub fn new_target_client() -> TargetClient {
    build(ResetConnector::new(CONNECT_TIMEOUT))
}

/// Returns a new client with its own connection pool.
pub fn new_client() -> HyperClient {
    new_client_within(CONNECT_TIMEOUT)
}

/// Returns a new client with its own connection pool and the connect timeout `connect`.
pub fn new_client_within(connect: Duration) -> HyperClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(connect));
    connector.set_nodelay(true);
    build(connector)
}

fn build<C, B>(connector: C) -> Client<C, B>
where
    C: Connect + Clone,
    B: Body + Send,
    B::Data: Send,
{
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .http1_writev(true)
        .build(connector)
}

/// Sends one request and reads the complete response within `limit`.
pub async fn call<C, B>(
    client: &Client<C, B>,
    method: Method,
    url: String,
    content_type: &str,
    body: Bytes,
    limit: Duration,
) -> Result<Response<Bytes>, CallError>
where
    C: Connect + Clone + Send + Sync + 'static,
    B: Body + From<Bytes> + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let request = Request::builder()
        .method(method)
        .uri(url)
        .header(http::header::CONTENT_TYPE, content_type)
        .body(B::from(body))
        .map_err(|_| CallError::NotSent)?;
    let exchange = async {
        let response = client.request(request).await.map_err(|error| {
            if error.is_connect() { CallError::NotSent } else { CallError::Unclear }
        })?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|_| CallError::Unclear)?.to_bytes();
        Ok(Response::from_parts(head, body))
    };
    tokio::time::timeout(limit, exchange).await.unwrap_or(Err(CallError::Unclear))
}

/// Returns the text of an error and of all its causes.
pub fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
