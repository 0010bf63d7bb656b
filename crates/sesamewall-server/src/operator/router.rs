//! Routes of the operators' API.

use std::sync::Arc;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::http::Uri;
use axum::middleware::from_fn_with_state;
use axum::routing::delete;
use axum::routing::get;
use axum::routing::post;
use sesamewall_protocol::Error;

use crate::operator::OperatorService;
use crate::operator::access;
use crate::operator::changes;
use crate::operator::health;
use crate::operator::jobs;
use crate::operator::keys;
use crate::operator::records;
use crate::operator::response::ApiError;
use crate::operator::rollout;
use crate::operator::state;

/// Returns the router for the operators' address. Everything below `/api` needs the credential.
pub fn operator_router(service: Arc<OperatorService>) -> Router {
    let api = Router::new()
        .route("/api/resources", get(changes::list))
        .route("/api/resources/{kind}/{name}", get(changes::get))
        .route("/api/changes", post(changes::submit))
        .route("/api/watch", get(changes::watch))
        .route("/api/diff", post(changes::diff))
        .route("/api/keys", post(keys::grant))
        .route("/api/keys/{id}", delete(keys::withdraw))
        .route("/api/rollout", get(rollout::rollout))
        .route("/api/refusals", get(records::refusals))
        .route("/api/explain/{id}", get(records::explain))
        .route("/api/jobs", get(jobs::list))
        .route("/api/jobs/{id}", get(jobs::get))
        .route("/api/state", get(state::state))
        .fallback(unknown)
        .method_not_allowed_fallback(unknown)
        .layer(from_fn_with_state(service.clone(), access::require_operator))
        .layer(DefaultBodyLimit::max(service.context.settings.body_limit));
    Router::new()
        .route("/metrics", get(health::metrics))
        .route("/livez", get(health::live))
        .route("/readyz", get(health::ready))
        .merge(api)
        .with_state(service)
}

async fn unknown(uri: Uri) -> ApiError {
    ApiError(Error::RouteUnknown { path: uri.path().to_owned() })
}
