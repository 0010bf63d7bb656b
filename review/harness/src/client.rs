//! A client that behaves as the pages say: each call about a batch job is on a new connection.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;

use crate::documents::TALK_HOST;
use crate::record::Record;

/// An answer that the client received.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status; 0 if no answer came.
    pub status: u16,
    /// Body; empty if the answer broke off.
    pub body: Bytes,
}

impl Answer {
    /// Returns the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// An item of a batch job.
#[derive(Clone, Debug)]
pub struct ItemBody {
    /// Id of the item.
    pub id: String,
    /// Path of the item.
    pub path: String,
    /// Tokens of the prompt and most tokens of the output.
    pub tokens: (u64, u64),
    /// Id of the part of the prompt that other requests share.
    pub part: String,
}

impl Default for ItemBody {
    fn default() -> Self {
        let part = "aa".to_owned();
        Self { id: String::new(), path: String::new(), tokens: (250, 100), part }
    }
}

/// A client with a key of one tenant.
#[derive(Clone)]
pub struct Client {
    record: Record,
    key: String,
}

impl Client {
    /// Creates a client.
    pub fn new(record: &Record, key: &str) -> Self {
        Self { record: record.clone(), key: key.to_owned() }
    }

    /// Sends a call on a new connection and reads the whole answer. Waits for `limit`.
    #[allow(clippy::too_many_arguments)]
    pub async fn call(
        &self,
        front: SocketAddr,
        method: Method,
        host: &str,
        path: &str,
        id: &str,
        body: Bytes,
        limit: Duration,
    ) -> Answer {
        let headers = [("content-type", "application/json")];
        self.call_with(front, method, host, path, id, &headers, body, limit).await
    }

    #[allow(clippy::too_many_arguments)]
    async fn call_with(
        &self,
        front: SocketAddr,
        method: Method,
        host: &str,
        path: &str,
        id: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        limit: Duration,
    ) -> Answer {
        let client: HyperClient<HttpConnector, Full<Bytes>> =
            HyperClient::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http();
        let mut request = Request::builder()
            .method(method.clone())
            .uri(format!("http://{front}{path}"))
            .header("host", host)
            .header("authorization", format!("Bearer {}", self.key))
            .header("sesamewall-request-id", id);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body)).expect("a valid request");
        let exchange = async {
            let response = client.request(request).await.ok()?;
            let (head, body) = response.into_parts();
            let body = body.collect().await.ok()?.to_bytes();
            Some(Answer { status: head.status.as_u16(), body })
        };
        let none = Answer { status: 0, body: Bytes::new() };
        let answer = tokio::time::timeout(limit, exchange).await.ok().flatten().unwrap_or(none);
        self.record.line(format!("{method} {path} at {front}: {}", answer.status));
        answer
    }

    /// Sends an online request whose prompt shares `part` with others, on a new connection. Returns
    /// the answer; one that broke off has status 0.
    pub async fn ask(&self, front: SocketAddr, path: &str, id: &str, part: &str) -> Answer {
        let prompt = format!("{part}:100,{id}:250");
        let headers = [
            ("sesamewall-model", "m"),
            ("sesamewall-token-count", "350,100"),
            ("sesamewall-prompt-prefix", &*prompt),
            ("sesamewall-deadline-ms", "5000"),
        ];
        let limit = Duration::from_secs(5);
        let body = Bytes::from_static(b"hello");
        self.call_with(front, Method::POST, TALK_HOST, path, id, &headers, body, limit).await
    }

    /// Submits a batch job once.
    pub async fn submit(
        &self,
        front: SocketAddr,
        host: &str,
        prefix: &str,
        job: &str,
        items: &[ItemBody],
    ) -> Answer {
        let rows: Vec<Value> = items
            .iter()
            .map(|item| {
                let (prompt, output) = item.tokens;
                json!({
                    "id": item.id, "path": item.path, "tokens": prompt + output,
                    "body": STANDARD.encode(&item.id),
                    "headers": {
                        "Sesamewall-Model": "m",
                        "Sesamewall-Token-Count": format!("{prompt},{output}"),
                        "Sesamewall-Prompt-Prefix":
                            format!("{}:100,{}:{}", item.part, item.id, prompt.saturating_sub(100)),
                    },
                })
            })
            .collect();
        let body = json!({ "items": rows }).to_string();
        let path = format!("{prefix}{job}");
        let limit = Duration::from_millis(2500);
        self.call(front, Method::POST, host, &path, job, body.into(), limit).await
    }

    /// Reads a page of results.
    pub async fn read(&self, front: SocketAddr, host: &str, job: &str, after: usize) -> Answer {
        let path = format!("/lots/{job}?after={after}");
        let limit = Duration::from_millis(2500);
        self.call(front, Method::GET, host, &path, "r1", Bytes::new(), limit).await
    }

    /// Reads all results that are listed now; `None` if a page is no 200.
    pub async fn read_all(&self, front: SocketAddr, host: &str, job: &str) -> Option<Vec<Value>> {
        let mut all = Vec::new();
        loop {
            let page = self.read(front, host, job, all.len()).await;
            if page.status != 200 {
                return None;
            }
            let rows = page.json()["results"].as_array().cloned().unwrap_or_default();
            if rows.is_empty() {
                return Some(all);
            }
            all.extend(rows);
        }
    }
}
