//! Answers of model calls, plain and as server-sent events.

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
use sesamewall_protocol::Error;
use sesamewall_protocol::Outcome;
use sesamewall_protocol::RequestId;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::answer::error_response;
use crate::execute::Call;
use crate::execute::Executor;
use crate::execute::Piece;
use crate::execute::PlainAnswer;
use crate::idempotency_service::KeyGuard;

/// Events that wait for a slow caller; the engine's stream pauses beyond that.
const PIECES: usize = 64;
/// Headers of a target's answer that are passed on for model calls.
const PASSED: [&str; 1] = ["content-type"];

/// Runs a streamed call and returns its answer.
pub async fn streamed(executor: Arc<Executor>, call: Call, hold: Option<KeyGuard>) -> Response {
    let request = call.request.clone();
    let (sender, mut pieces) = mpsc::channel(PIECES);
    tokio::spawn(async move {
        executor.run_stream(&call, sender).await;
        drop(hold);
    });
    let first = match pieces.recv().await {
        Some(Piece::Event(event)) => event.bytes,
        Some(Piece::Status { status, body, outcome }) => {
            return target_status(status, body, outcome, &request);
        }
        Some(Piece::Failed(error)) => return error_response(&error, &request),
        None => {
            let detail = "the call ended without an answer".to_owned();
            return error_response(&Error::Internal { detail }, &request);
        }
    };
    let rest = ReceiverStream::new(pieces).map(|piece| match piece {
        Piece::Event(event) => event.bytes,
        Piece::Status { .. } => Bytes::new(),
        Piece::Failed(error) => error_event(&error),
    });
    let events = stream::once(async move { first }).chain(rest).map(Ok::<_, std::io::Error>);
    let mut answer = Response::new(Body::from_stream(events));
    let headers = answer.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("text/event-stream"));
    headers.insert("cache-control", HeaderValue::from_static("no-cache"));
    mark(&mut answer, &request, Outcome::Run);
    answer
}

/// An error in the middle of a stream. The end marker does not follow, so the answer cannot be
/// taken for a complete one.
fn error_event(error: &Error) -> Bytes {
    let body = json!({ "error": {
        "message": error.to_string(), "type": "server_error", "code": error.code(),
        "outcome": error.outcome().to_string(), "help": error.help(),
    }});
    Bytes::from(format!("data: {body}\n\n"))
}

fn target_status(status: u16, body: Bytes, outcome: Outcome, request: &RequestId) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut answer = (status, [("content-type", "application/json")], body).into_response();
    mark(&mut answer, request, outcome);
    answer
}

/// Tells whether a header of an engine's answer is passed on.
pub fn passes_for_model(name: &str) -> bool {
    PASSED.contains(&name)
}

/// Returns the answer to a call without a stream.
pub fn whole(answer: PlainAnswer, request: &RequestId) -> Response {
    plain(answer, request, passes_for_model)
}

/// Returns the answer of a plain service with the headers for which `passes` is true.
pub fn plain(answer: PlainAnswer, request: &RequestId, passes: impl Fn(&str) -> bool) -> Response {
    let body = match answer.rest {
        None => Body::from(answer.body),
        Some(rest) => {
            let first = stream::once(async move { Ok(answer.body) });
            Body::from_stream(first.chain(rest.into_stream()))
        }
    };
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = (status, body).into_response();
    for (name, value) in &answer.headers {
        let field = http::HeaderName::try_from(name.as_str());
        if let (Ok(field), Ok(value), true) = (field, HeaderValue::from_str(value), passes(name)) {
            response.headers_mut().append(field, value);
        }
    }
    mark(&mut response, request, answer.outcome);
    response
}

/// Sets the headers that every answer has.
pub fn mark(answer: &mut Response, request: &RequestId, outcome: Outcome) {
    let headers = answer.headers_mut();
    if let Ok(value) = HeaderValue::from_str(request.as_str()) {
        headers.insert("x-request-id", value);
    }
    if let Ok(value) = HeaderValue::from_str(&outcome.to_string()) {
        headers.insert("x-sesamewall-outcome", value);
    }
}
