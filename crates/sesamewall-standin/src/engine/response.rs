//! Responses of an engine to completion requests.

use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;

use axum::body::Body;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::Uri;
use axum::response::IntoResponse;
use axum::response::Response;
use futures::stream;
use serde_json::Value;
use serde_json::json;
use sesamewall_protocol::scaled;

use super::Engine;
use super::batch::Admission;

const DEFAULT_TOKENS: u64 = 16;
const ATTEMPT_HEADER: &str = "x-attempt-id";

/// Removes a request from the batch when its stream ends or is dropped.
struct RunningRequest {
    engine: Arc<Engine>,
    is_complete: bool,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.engine.batch.finish(self.is_complete);
    }
}

struct Completion {
    chat: bool,
    model: String,
    id: String,
    digest: String,
    prompt_tokens: u64,
    resume_from: u64,
    tokens: u64,
    usage: bool,
}

impl Completion {
    fn parse(chat: bool, id: String, resume_from: u64, body: &Value) -> Self {
        let prompt = prompt_text(body);
        let digest = format!("{:08x}", crc(prompt.as_bytes()));
        let field = |name: &str| body.get(name).and_then(Value::as_u64);
        Self {
            chat,
            model: body.get("model").and_then(Value::as_str).unwrap_or("").to_owned(),
            id,
            digest,
            prompt_tokens: prompt.split_whitespace().count() as u64,
            resume_from,
            tokens: field("max_completion_tokens")
                .or_else(|| field("max_tokens"))
                .unwrap_or(DEFAULT_TOKENS),
            usage: body.pointer("/stream_options/include_usage") == Some(&Value::Bool(true)),
        }
    }

    /// Returns the text of token `index`. It contains the prompt's digest, so that a test can check
    /// which prompt a response belongs to and whether it is complete.
    fn token(&self, index: u64) -> String {
        format!("{}.{index} ", self.digest)
    }

    fn chunk(&self, text: &str, finish: Option<&str>) -> Value {
        let choice = match self.chat {
            true => json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish }),
            false => json!({ "index": 0, "text": text, "finish_reason": finish }),
        };
        let object = if self.chat { "chat.completion.chunk" } else { "text_completion" };
        json!({ "id": self.id, "object": object, "created": 0, "model": self.model,
                "choices": [choice] })
    }

    fn usage(&self) -> Value {
        json!({ "prompt_tokens": self.prompt_tokens, "completion_tokens": self.tokens,
                "total_tokens": self.prompt_tokens + self.tokens })
    }

    fn full_response(&self) -> Value {
        let text: String = (self.resume_from..self.tokens).map(|index| self.token(index)).collect();
        let choice = match self.chat {
            true => json!({ "index": 0, "finish_reason": "stop",
                            "message": { "role": "assistant", "content": text } }),
            false => json!({ "index": 0, "finish_reason": "stop", "text": text }),
        };
        let object = if self.chat { "chat.completion" } else { "text_completion" };
        json!({ "id": self.id, "object": object, "created": 0, "model": self.model,
                "choices": [choice], "usage": self.usage() })
    }
}

fn crc(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193))
}

fn prompt_text(body: &Value) -> String {
    match (body.get("messages"), body.get("prompt")) {
        (Some(messages), _) => messages.to_string(),
        (None, Some(prompt)) => prompt.to_string(),
        (None, None) => String::new(),
    }
}

/// Serves a completion request with a plain or a streamed response.
pub async fn complete(
    State(engine): State<Arc<Engine>>,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    engine.record_headers(&headers);
    let faults = engine.faults();
    if faults.leaving {
        return refusal(StatusCode::SERVICE_UNAVAILABLE, "leaving");
    }
    let Ok(request) = serde_json::from_slice::<Value>(&body) else {
        return refusal(StatusCode::BAD_REQUEST, "not JSON");
    };
    let mut attempt = headers
        .get(ATTEMPT_HEADER)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("none")
        .to_owned();
    if faults.crossed {
        attempt.push_str("-other");
    }
    let resume_from = headers
        .get("x-resume-from")
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .unwrap_or(0);
    let completion = Completion::parse(
        uri.path().contains("chat"),
        format!("cmpl-{attempt}"),
        resume_from,
        &request,
    );
    let mut running = RunningRequest { engine: engine.clone(), is_complete: false };
    let admission = engine.batch.admit();
    let marked =
        faults.crash_marker.is_some_and(|marker| String::from_utf8_lossy(&body).contains(&marker));
    prefill(&engine, &completion, &request, faults.event_gap).await;
    if marked || admission == Admission::Crashes {
        engine.crash().await;
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(Duration::from_millis(faults.late_ms)).await;
    let mut response = match request.get("stream").and_then(Value::as_bool) {
        Some(true) => stream_response(running, completion, faults.cut_after),
        _ => {
            for _ in completion.resume_from..completion.tokens {
                tokio::time::sleep(engine.batch.step()).await;
            }
            running.is_complete = true;
            axum::Json(completion.full_response()).into_response()
        }
    };
    if let Ok(value) = HeaderValue::from_str(&attempt) {
        response.headers_mut().insert(ATTEMPT_HEADER, value);
    }
    response
}

async fn prefill(engine: &Engine, completion: &Completion, request: &Value, event_gap: u64) {
    let cached = engine
        .cache
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .store_prompt(&prompt_text(request), event_gap);
    let tokens = u32::try_from(completion.prompt_tokens).unwrap_or(u32::MAX);
    let full = engine.settings.prefill_per_token * tokens;
    tokio::time::sleep(scaled(full, 1.0 - cached)).await;
}

fn refusal(status: StatusCode, reason: &str) -> Response {
    let body = json!({ "error": { "message": reason, "type": "refused", "code": reason } });
    (status, [("x-refused", reason.to_owned())], axum::Json(body)).into_response()
}

fn stream_response(
    running: RunningRequest,
    completion: Completion,
    cut_after: Option<u64>,
) -> Response {
    let state = (running, completion, 0_u64);
    let events = stream::unfold(Some(state), move |state| async move {
        let (mut running, completion, generated) = state?;
        let index = completion.resume_from + generated;
        if cut_after.is_some_and(|limit| generated >= limit) {
            return None;
        }
        if index < completion.tokens {
            tokio::time::sleep(running.engine.batch.step()).await;
            let event = format!("data: {}\n\n", completion.chunk(&completion.token(index), None));
            return Some((
                Ok::<_, std::io::Error>(event),
                Some((running, completion, generated + 1)),
            ));
        }
        running.is_complete = true;
        let mut last = completion.chunk("", Some("stop"));
        if completion.usage {
            last["usage"] = completion.usage();
        }
        Some((Ok(format!("data: {last}\n\ndata: [DONE]\n\n")), None))
    });
    ([("content-type", "text/event-stream")], Body::from_stream(events)).into_response()
}
