//! Calls the operators' API.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::failure::Failure;

/// Longest wait for a response; a watch call takes up to 30 s.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Limit of the size of a response.
const RESPONSE_LIMIT_BYTES: usize = 64 << 20;

/// Calls the operators' API of one instance.
pub(crate) struct Client {
    server: String,
    token: Option<String>,
    http: hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client for the base URL `server`.
    pub(crate) fn new(server: &str, token: Option<String>) -> Result<Self, Failure> {
        let server = server.trim_end_matches('/').to_owned();
        let uri = server.parse::<http::Uri>().ok();
        if uri.and_then(|uri| uri.scheme_str().map(|scheme| scheme == "http")) != Some(true) {
            return Err(Failure::usage(
                "--server",
                "allowed is a URL such as http://10.0.0.5:9090",
            ));
        }
        let http = hyper_util::client::legacy::Client::builder(TokioExecutor::new()).build_http();
        Ok(Self { server, token, http })
    }

    /// Gets a path.
    pub(crate) async fn get(&self, path: &str) -> Result<Value, Failure> {
        self.call(Method::GET, path, None).await
    }

    /// Posts a body.
    pub(crate) async fn post(&self, path: &str, body: &Value) -> Result<Value, Failure> {
        self.call(Method::POST, path, Some(body)).await
    }

    /// Deletes what is at a path.
    pub(crate) async fn delete(&self, path: &str) -> Result<Value, Failure> {
        self.call(Method::DELETE, path, None).await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, Failure> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.server))
            .header("content-type", "application/json");
        if let Some(token) = &self.token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        let body = Full::new(Bytes::from(body.map(Value::to_string).unwrap_or_default()));
        let request = request
            .body(body)
            .map_err(|_| Failure::usage("--token", "allowed are printable ASCII characters"))?;
        match tokio::time::timeout(TIMEOUT, self.send(request)).await {
            Ok(response) => response,
            Err(_) => Err(self.failed(&format!("no answer in {} s", TIMEOUT.as_secs()))),
        }
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Value, Failure> {
        let response =
            self.http.request(request).await.map_err(|error| self.failed(&cause(&error)))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), RESPONSE_LIMIT_BYTES).collect().await;
        let body = body.map_err(|error| self.failed(&error.to_string()))?.to_bytes();
        let value = serde_json::from_slice(&body);
        match (status.is_success(), value) {
            (true, Ok(value)) => Ok(value),
            (true, Err(error)) => Err(self.failed(&format!("the answer is not JSON: {error}"))),
            (false, value) => Err(Failure::server(status.as_u16(), &value.unwrap_or_default())),
        }
    }

    fn failed(&self, detail: &str) -> Failure {
        let (code, exit) = (8002, 1);
        let message = format!("{} cannot be reached: {detail}", self.server);
        let help = "check --server; before repeating a change, see with `get` whether it took \
                    effect";
        Failure { code, message, help: help.to_owned(), exit }
    }
}

/// Returns the text of the innermost cause of an error, which is the error of the system.
fn cause(error: &dyn std::error::Error) -> String {
    error.source().map_or_else(|| error.to_string(), cause)
}

/// Encodes a text for a path segment or a query value (RFC 3986, section 2).
pub(crate) fn encode(text: &str) -> String {
    let keep = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    text.bytes()
        .map(|byte| match keep(byte) {
            true => char::from(byte).to_string(),
            false => format!("%{byte:02X}"),
        })
        .collect()
}
