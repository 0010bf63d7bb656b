//! Responses to model calls, as one body or as server-sent events.

use std::sync::Arc;

use axum::body::Body;
use axum::response::IntoResponse;
use axum::response::Response;
use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http::HeaderValue;
use http::StatusCode;
use serde_json::json;
use sesamewall_adapters::http_client::EVENT_STREAM;
use sesamewall_protocol::Error;
use sesamewall_protocol::Outcome;
use sesamewall_protocol::RequestId;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::error_response::error_response;
use crate::execute::Call;
use crate::execute::Executor;
use crate::execute::PlainResponse;
use crate::execute::StreamOutput;
use crate::execute::forward;
use crate::idempotency_service::KeyGuard;

/// Number of events buffered for a slow caller; the engine's stream pauses while it is reached.
const OUTPUT_BUFFER: usize = 64;
/// Response headers of a target that are returned to the caller of a model call.
const MODEL_HEADERS: [&str; 1] = ["content-type"];

/// Runs a streamed call and returns its response.
pub async fn stream_response(
    executor: Arc<Executor>,
    call: Call,
    key_guard: Option<KeyGuard>,
) -> Response {
    let request = call.request.clone();
    let (sender, mut outputs) = mpsc::channel(OUTPUT_BUFFER);
    tokio::spawn(async move {
        executor.run_stream(&call, sender).await;
        drop(key_guard);
    });
    let mut version = None;
    let mut first = outputs.recv().await;
    if let Some(StreamOutput::Begun { version: begun }) = first {
        version = Some(begun);
        first = outputs.recv().await;
    }
    let first = match first {
        Some(StreamOutput::Event(event)) => event.bytes,
        Some(StreamOutput::Status { status, body, outcome }) => {
            return target_status(status, body, outcome, &request);
        }
        Some(StreamOutput::Failed(error)) => return error_response(&error, &request),
        Some(StreamOutput::Restarted | StreamOutput::Begun { .. }) | None => {
            let detail = "the call ended without an answer".to_owned();
            return error_response(&Error::Internal { detail }, &request);
        }
    };
    let rest = ReceiverStream::new(outputs).map(|output| match output {
        StreamOutput::Event(event) => event.bytes,
        StreamOutput::Status { status, .. } => error_event(&Error::Internal {
            detail: format!("status {status} in the middle of a stream"),
        }),
        StreamOutput::Restarted | StreamOutput::Begun { .. } => error_event(&Error::Internal {
            detail: "the call started again in the middle of a stream".to_owned(),
        }),
        StreamOutput::Failed(error) => error_event(&error),
    });
    let events = stream::once(async move { first }).chain(rest).map(Ok::<_, std::io::Error>);
    let mut response = Response::new(Body::from_stream(events));
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static(EVENT_STREAM));
    headers.insert("cache-control", HeaderValue::from_static("no-cache"));
    let version = version.and_then(|version| HeaderValue::from_str(&version).ok());
    if let Some(version) = version.filter(|version| !version.is_empty()) {
        headers.insert(forward::VERSION, version);
    }
    set_outcome_headers(&mut response, &request, Outcome::Run);
    response
}

/// Returns the event for an error in the middle of a stream. No end marker follows, so that the
/// caller does not take the response for a complete one.
fn error_event(error: &Error) -> Bytes {
    let body = json!({ "error": {
        "message": error.to_string(), "type": "server_error", "code": error.code(),
        "outcome": error.outcome().to_string(), "help": error.help(),
    }});
    Bytes::from(format!("data: {body}\n\n"))
}

fn target_status(status: u16, body: Bytes, outcome: Outcome, request: &RequestId) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = (status, [("content-type", "application/json")], body).into_response();
    set_outcome_headers(&mut response, request, outcome);
    response
}

/// Returns whether a response header of an engine is returned to the caller.
pub fn is_model_header(name: &str) -> bool {
    MODEL_HEADERS.contains(&name)
}

/// Returns the response to a model call without a stream.
pub fn complete_response(plain: PlainResponse, request: &RequestId) -> Response {
    plain_response(plain, request, is_model_header)
}

/// Returns a response of one body with the headers for which `is_returned` returns true.
pub fn plain_response(
    plain: PlainResponse,
    request: &RequestId,
    is_returned: impl Fn(&str) -> bool,
) -> Response {
    let body = match plain.remaining {
        None => Body::from(plain.body),
        Some(remaining) => {
            let first = stream::once(async move { Ok(plain.body) });
            Body::from_stream(first.chain(remaining.into_stream()))
        }
    };
    let status = StatusCode::from_u16(plain.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = (status, body).into_response();
    for (name, value) in &plain.headers {
        let field = http::HeaderName::try_from(name.as_str());
        if let (Ok(field), Ok(value), true) =
            (field, HeaderValue::from_str(value), is_returned(name))
        {
            response.headers_mut().append(field, value);
        }
    }
    set_outcome_headers(&mut response, request, plain.outcome);
    response
}

/// Sets the headers of every response: the identifier of the request and its outcome.
pub fn set_outcome_headers(response: &mut Response, request: &RequestId, outcome: Outcome) {
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(request.as_str()) {
        headers.insert("x-request-id", value);
    }
    if let Ok(value) = HeaderValue::from_str(&outcome.to_string()) {
        headers.insert("x-sesamewall-outcome", value);
    }
}
