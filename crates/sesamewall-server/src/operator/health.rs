//! Serves health checks and metrics, which need no credential.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use axum::extract::State;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::response::Response;
use prometheus::Encoder;
use prometheus::TextEncoder;
use sesamewall_protocol::Error;

use crate::operator::OperatorService;
use crate::operator::response::ApiError;

/// Returns all metrics in the Prometheus text format.
pub(super) async fn metrics(State(service): State<Arc<OperatorService>>) -> Response {
    let encoder = TextEncoder::new();
    let mut text = Vec::new();
    match encoder.encode(&service.context.metrics.registry.gather(), &mut text) {
        Ok(()) => ([(CONTENT_TYPE, encoder.format_type().to_owned())], text).into_response(),
        Err(error) => ApiError(Error::Internal { detail: error.to_string() }).into_response(),
    }
}

/// Reports that the process runs.
pub(super) async fn live() -> &'static str {
    "ok\n"
}

/// Reports to the load balancer whether this instance accepts requests.
pub(super) async fn ready(State(service): State<Arc<OperatorService>>) -> Response {
    let unready = |reason: &'static str| (StatusCode::SERVICE_UNAVAILABLE, reason).into_response();
    match service.context.draining.load(Ordering::Relaxed) {
        true => unready("shutting down\n"),
        false if !service.context.config.is_loaded() => unready("configuration not read yet\n"),
        false => "ok\n".into_response(),
    }
}
