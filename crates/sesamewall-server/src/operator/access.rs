//! Checks the operators' credential.

use std::sync::Arc;

use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::header::AUTHORIZATION;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use sesamewall_protocol::Error;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::operator::OperatorService;
use crate::operator::response::ApiError;

/// Passes requests with the operators' credential to the next handler and refuses all others.
pub(super) async fn require_operator(
    State(service): State<Arc<OperatorService>>,
    request: Request,
    next: Next,
) -> Response {
    match is_operator(request.headers(), &service.context.settings.operator_hash) {
        true => next.run(request).await,
        false => ApiError(Error::OperatorDenied).into_response(),
    }
}

/// Compares hashes in constant time, so that response times reveal nothing about the hash. An empty
/// setting or credential never matches.
fn is_operator(headers: &HeaderMap, operator_hash: &str) -> bool {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let token = match (values.next(), values.next()) {
        (Some(value), None) => value.to_str().ok().and_then(|text| text.strip_prefix("Bearer ")),
        _ => None,
    };
    match (token, hex::decode(operator_hash)) {
        (Some(token), Ok(expected)) if !token.is_empty() => {
            Sha256::digest(token.as_bytes()).as_slice().ct_eq(&expected).into()
        }
        _ => false,
    }
}
