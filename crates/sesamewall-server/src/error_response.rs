//! Error responses in the format of the OpenAI API.

use axum::Json;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use serde_json::json;
use sesamewall_protocol::Error;
use sesamewall_protocol::RequestId;

/// Returns the response for `error` in the OpenAI error format. Headers carry the identifier of the
/// request, its outcome and, where known, the queued work in tokens and the time in seconds after
/// which to retry.
pub fn error_response(error: &Error, request: &RequestId) -> Response {
    let status = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = json!({
        "error": {
            "message": error.to_string(),
            "type": error_type(error),
            "code": error.code(),
            "param": param(error),
            "help": error.help(),
        }
    });
    let mut response = (status, Json(body)).into_response();
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(request.as_str()) {
        headers.insert("x-request-id", value);
    }
    if let Ok(value) = HeaderValue::from_str(&error.outcome().to_string()) {
        headers.insert("x-sesamewall-outcome", value);
    }
    let numbers = error.numbers();
    if let Some((_, tokens)) = numbers.iter().find(|(name, _)| name == "queue_tokens") {
        headers.insert("x-sesamewall-queued", HeaderValue::from(*tokens as u64));
    }
    if let Some(wait_ms) = error.retry_after_ms() {
        headers.insert("retry-after", HeaderValue::from(wait_ms.div_ceil(1000)));
    }
    response
}

fn error_type(error: &Error) -> &'static str {
    match error.status() {
        401 => "authentication_error",
        404 => "not_found_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}

fn param(error: &Error) -> Option<String> {
    match error {
        Error::FieldInvalid { field, .. } | Error::ResourceInvalid { field, .. } => {
            Some(field.clone())
        }
        Error::ModelUnknown { .. } => Some("model".to_owned()),
        Error::BatchLineInvalid { line, .. } => Some(format!("line {line}")),
        _ => None,
    }
}
