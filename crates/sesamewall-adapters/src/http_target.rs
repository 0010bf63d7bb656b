//! Targets over HTTP/1.1.

use std::time::Duration;

use async_trait::async_trait;
use futures::StreamExt;
use futures::stream;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::BodyStream;
use http_body_util::Limited;
use hyper::body::Frame;
use sesamewall_ports::CacheEvent;
use sesamewall_ports::Target;
use sesamewall_ports::TargetError;
use sesamewall_ports::TargetRequest;
use sesamewall_ports::TargetResponse;
use sesamewall_protocol::Class;

use crate::http_client;
use crate::http_client::TargetClient;
use crate::http_client::describe;
use crate::http_client::is_final_status;
use crate::request_body::RequestBody;
use crate::request_body::is_complete;
use crate::request_body::is_framed;

/// Header in which an engine echoes the identifier of the attempt.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Header with the number of tokens that an engine skips at the start of a resumed stream.
pub const RESUME_HEADER: &str = "x-resume-from";

const EVENTS_TIMEOUT: Duration = Duration::from_secs(1);
const EVENTS_LIMIT_BYTES: usize = 1 << 20;

#[derive(serde::Deserialize)]
struct CacheEvents {
    events: Vec<CacheEvent>,
}

/// Sends requests to targets over HTTP/1.1. Each class has its own connection pool, so that a batch
/// response never occupies a connection that an online request could use.
pub struct HttpTarget {
    online: TargetClient,
    batch: TargetClient,
}

impl Default for HttpTarget {
    fn default() -> Self {
        Self { online: http_client::new_target_client(), batch: http_client::new_target_client() }
    }
}

fn build(request: TargetRequest) -> Result<Request<RequestBody>, TargetError> {
    let mut builder = Request::builder()
        .method(request.method.as_str())
        .uri(format!("{}{}", request.address.trim_end_matches('/'), request.path))
        .header(ATTEMPT_HEADER, &request.attempt);
    if request.resume_from > 0 {
        builder = builder.header(RESUME_HEADER, request.resume_from);
    }
    for (name, value) in &request.headers {
        builder = builder.header(name, value);
    }
    builder
        .body(RequestBody::from(request.body))
        .map_err(|error| TargetError::NotSent { detail: error.to_string() })
}

#[async_trait]
impl Target for HttpTarget {
    async fn send(&self, request: TargetRequest) -> Result<TargetResponse, TargetError> {
        let attempt = request.attempt.clone();
        let client = match request.class {
            Class::Online => &self.online,
            Class::Batch => &self.batch,
        };
        let request = build(request)?;
        let unsent = request.body().unsent();
        let response = client.request(request).await.map_err(|error| {
            let detail = describe(&error);
            match error.is_connect() {
                true => TargetError::NotSent { detail },
                false => TargetError::Lost { detail },
            }
        })?;
        let (head, body) = response.into_parts();
        if !is_final_status(head.status) {
            return Err(TargetError::Invalid {
                detail: format!("it answered with status {}", head.status.as_u16()),
            });
        }
        let echoed = head.headers.get(ATTEMPT_HEADER).map(http::HeaderValue::as_bytes);
        if echoed.is_some_and(|echoed| echoed != attempt.as_bytes()) {
            return Err(TargetError::Mismatch);
        }
        let headers = head
            .headers
            .iter()
            .filter_map(|(name, value)| {
                Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
            })
            .collect();
        let framed = is_framed(&head.headers, &body);
        let frames =
            BodyStream::new(body.map_err(|error| TargetError::Lost { detail: describe(&error) }))
                .filter_map(|frame| async {
                    frame.map(|frame| Frame::into_data(frame).ok()).transpose()
                });
        let end = stream::once(async move {
            match is_complete(framed, &unsent) {
                true => None,
                false => {
                    let detail = "it ended before the request was sent".to_owned();
                    Some(Err(TargetError::Lost { detail }))
                }
            }
        });
        let body = frames.chain(end.filter_map(std::future::ready)).boxed();
        Ok(TargetResponse { status: head.status.as_u16(), headers, body })
    }

    async fn cache_events(
        &self,
        address: &str,
        after: u64,
    ) -> Result<Vec<CacheEvent>, TargetError> {
        let lost = |detail: String| TargetError::Lost { detail };
        let base = address.trim_end_matches('/');
        let request = Request::get(format!("{base}/cache-events?after={after}"))
            .body(RequestBody::default())
            .map_err(|error| lost(error.to_string()))?;
        let exchange = async {
            let response =
                self.online.request(request).await.map_err(|error| lost(describe(&error)))?;
            let body = Limited::new(response.into_body(), EVENTS_LIMIT_BYTES);
            let body = body.collect().await.map_err(|error| lost(error.to_string()))?.to_bytes();
            let list: CacheEvents =
                serde_json::from_slice(&body).map_err(|error| lost(error.to_string()))?;
            Ok(list.events)
        };
        let late = |_| lost("no list of cache events in time".to_owned());
        tokio::time::timeout(EVENTS_TIMEOUT, exchange).await.map_err(late)?
    }
}
