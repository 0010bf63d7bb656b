//! HTTP responses.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use sesamewall_platform::REQUEST_ID;
use sesamewall_protocol::Error;

/// Body of a response.
pub type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// A response with a boxed body.
pub type HttpResponse = Response<ResponseBody>;

/// Returns a body that consists of `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a response with a JSON body.
pub fn json(status: StatusCode, bytes: Vec<u8>) -> HttpResponse {
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Returns a response without a body.
pub fn empty(status: StatusCode) -> HttpResponse {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Returns the response to a request that failed with one of the system's errors. `retry` is the
/// time after which the caller should try again.
pub fn error_response(
    error: &Error,
    retry: Option<Duration>,
    request_id: Option<&HeaderValue>,
) -> HttpResponse {
    let status = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let body = serde_json::json!({
        "error": { "code": error.code(), "message": error.to_string(), "help": error.help() }
    });
    let mut response = json(status, body.to_string().into_bytes());
    let seconds = retry.map(|retry| format!("{:.3}", retry.as_secs_f64()));
    if let Some(value) = seconds.and_then(|text| HeaderValue::from_str(&text).ok()) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    if let Some(id) = request_id {
        response.headers_mut().insert(REQUEST_ID, id.clone());
    }
    response
}

/// Removes the headers that apply to one connection only.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        header::CONNECTION,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
