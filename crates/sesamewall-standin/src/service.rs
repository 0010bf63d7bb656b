//! A plain HTTP service that counts its calls and echoes the request in its response.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::Method;
use axum::http::Uri;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;

use crate::ServerHandle;
use crate::listen::CrashDowntime;
use crate::listen::listen;

/// A plain service.
pub struct PlainService {
    calls: Mutex<BTreeMap<String, u64>>,
    faults: Mutex<ServiceFaults>,
    crash: mpsc::Sender<CrashDowntime>,
}

/// Faults of a plain service.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ServiceFaults {
    /// Number of calls after whose effect the connection ends before the response is sent.
    lose_answers: u32,
    /// Delay before each response, in milliseconds.
    delay_ms: u64,
}

impl PlainService {
    /// Starts a plain service on `address`.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the bind.
    pub async fn start(address: &str) -> std::io::Result<ServerHandle> {
        let (crash, crashes) = mpsc::channel(8);
        let service = Arc::new(Self { calls: Mutex::default(), faults: Mutex::default(), crash });
        let router = Router::new()
            .route("/standin/calls", get(calls))
            .route("/standin/faults", post(set_faults))
            .fallback(respond)
            .with_state(service);
        listen(address, router, crashes, Arc::new(|| ())).await
    }
}

async fn calls(State(service): State<Arc<PlainService>>) -> Json<BTreeMap<String, u64>> {
    Json(service.calls.lock().unwrap_or_else(PoisonError::into_inner).clone())
}

async fn set_faults(State(service): State<Arc<PlainService>>, Json(faults): Json<ServiceFaults>) {
    *service.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
}

async fn respond(
    State(service): State<Arc<PlainService>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let call = format!("{method} {uri}");
    *service
        .calls
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .entry(call.clone())
        .or_default() += 1;
    let (drop_reply, delay) = {
        let mut faults = service.faults.lock().unwrap_or_else(PoisonError::into_inner);
        let drop_reply = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        (drop_reply, faults.delay_ms)
    };
    tokio::time::sleep(Duration::from_millis(delay)).await;
    if drop_reply {
        let _ = service.crash.send(Duration::from_millis(1)).await;
        std::future::pending::<()>().await;
    }
    let received: BTreeMap<String, Value> = headers
        .iter()
        .map(|(name, value)| {
            (name.to_string(), Value::from(String::from_utf8_lossy(value.as_bytes())))
        })
        .collect();
    let body = String::from_utf8_lossy(&body);
    let echo = headers.get("x-attempt-id").cloned();
    let mut response =
        Json(json!({ "call": call, "headers": received, "body": body })).into_response();
    response
        .headers_mut()
        .extend(echo.map(|echo| (axum::http::HeaderName::from_static("x-attempt-id"), echo)));
    response
}
