//! An HTTP client for callers, operators and stand-ins.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;

/// Longest wait for a response; only a request that hangs reaches it.
const TIMEOUT: Duration = Duration::from_secs(60);

/// The model that the stand-in engines serve.
pub const MODEL: &str = "standin-1";

/// A complete response.
#[derive(Debug)]
pub struct HttpResponse {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl HttpResponse {
    /// Returns the body as JSON, or null.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns a header's value, or an empty text.
    pub fn header(&self, name: &str) -> String {
        let value = self.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    }
}

/// An HTTP client.
#[derive(Clone)]
pub struct Client {
    http: hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        // Keeps no idle connections, so that no request uses one to a killed instance.
        let http = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build_http();
        Self { http }
    }
}

impl Client {
    /// Sends a request and reads the complete response; an error means that the connection broke.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<HttpResponse, String> {
        let exchange = async {
            let response = self.http.request(request).await.map_err(|error| error.to_string())?;
            let (head, body) = response.into_parts();
            let body = body.collect().await.map_err(|error| error.to_string())?.to_bytes();
            Ok(HttpResponse { status: head.status.as_u16(), headers: head.headers, body })
        };
        match tokio::time::timeout(TIMEOUT, exchange).await {
            Ok(response) => response,
            Err(_) => Err(format!("no answer in {} s", TIMEOUT.as_secs())),
        }
    }

    /// Sends a request with an optional key and a JSON body.
    pub async fn call(
        &self,
        method: &str,
        url: &str,
        key: &str,
        body: &Value,
    ) -> Result<HttpResponse, String> {
        let body = if body.is_null() { Bytes::new() } else { Bytes::from(body.to_string()) };
        let mut request =
            Request::builder().method(method).uri(url).header("content-type", "application/json");
        if !key.is_empty() {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        self.send(request.body(Full::new(body)).unwrap()).await
    }

    /// Gets a URL.
    pub async fn get(&self, url: &str, key: &str) -> Result<HttpResponse, String> {
        self.call("GET", url, key, &Value::Null).await
    }

    /// Requests a completion and checks that the response is complete and belongs to the prompt.
    /// Returns the refusal or the fault otherwise.
    pub async fn complete(
        &self,
        base: &str,
        key: &str,
        prompt: &Prompt,
    ) -> Result<HttpResponse, String> {
        let url = format!("{base}/v1/chat/completions");
        let response = self.call("POST", &url, key, &prompt.body()).await?;
        match response.status {
            200 => prompt.check(&response).map(|()| response),
            status => Err(format!("status {status}: {}", response.text())),
        }
    }

    /// Uploads a batch input file and returns its identifier.
    pub async fn upload(&self, base: &str, key: &str, content: &str) -> Result<String, String> {
        let boundary = "fleet-test-boundary";
        let body = format!(
            "--{boundary}\r\ncontent-disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
             --{boundary}\r\ncontent-disposition: form-data; name=\"file\"; filename=\"in.jsonl\"\r\n\
             content-type: application/jsonl\r\n\r\n{content}\r\n--{boundary}--\r\n"
        );
        let request = Request::builder()
            .method("POST")
            .uri(format!("{base}/v1/files"))
            .header("authorization", format!("Bearer {key}"))
            .header("content-type", format!("multipart/form-data; boundary={boundary}"))
            .body(Full::new(Bytes::from(body)))
            .unwrap();
        let response = self.send(request).await?;
        let id = response.json()["id"].as_str().map(str::to_owned);
        id.ok_or_else(|| format!("status {}: {}", response.status, response.text()))
    }
}

/// A prompt with the response that the stand-in engine must return for it.
#[derive(Clone, Debug)]
pub struct Prompt {
    pub text: String,
    pub tokens: u64,
    pub stream: bool,
}

impl Prompt {
    /// Creates a prompt for a plain or a streamed response.
    pub fn new(text: &str, tokens: u64, stream: bool) -> Self {
        Self { text: text.to_owned(), tokens, stream }
    }

    /// Returns the request's body.
    pub fn body(&self) -> Value {
        json!({ "model": MODEL, "max_tokens": self.tokens, "stream": self.stream,
                "messages": self.messages() })
    }

    /// Returns the text of a complete response: the digest of the prompt and each token's number.
    pub fn expected(&self) -> String {
        let digest =
            self.messages().to_string().bytes().fold(0x811c_9dc5_u32, |hash, byte| {
                (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
            });
        (0..self.tokens).map(|index| format!("{digest:08x}.{index} ")).collect()
    }

    fn messages(&self) -> Value {
        json!([{ "role": "user", "content": self.text }])
    }

    fn check(&self, response: &HttpResponse) -> Result<(), String> {
        let found = match self.stream {
            false => content(&response.json()["choices"][0]["message"]),
            true => streamed(&response.text())?,
        };
        match found == self.expected() {
            true => Ok(()),
            false => Err(format!("`{}` was answered with `{found}`", self.text)),
        }
    }
}

fn content(message: &Value) -> String {
    message["content"].as_str().unwrap_or_default().to_owned()
}

/// Returns the text of a stream that has its end marker.
pub fn streamed(text: &str) -> Result<String, String> {
    let events: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    match events.split_last() {
        Some((&"[DONE]", chunks)) => Ok(chunks
            .iter()
            .map(|chunk| serde_json::from_str::<Value>(chunk).unwrap_or_default())
            .map(|chunk| content(&chunk["choices"][0]["delta"]))
            .collect()),
        _ => Err(format!("the stream has no end marker: `{text}`")),
    }
}
