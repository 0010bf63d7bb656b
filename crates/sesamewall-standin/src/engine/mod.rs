//! A small model engine: continuous batching, cold start, prefix cache, streams with cancel and
//! resume, late cache events and load reports.

mod answer;
mod batch;
mod cache;
mod faults;
mod settings;

pub use faults::EngineFaults;
pub use settings::EngineSettings;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use axum::Json;
use axum::Router;
use axum::extract::Query;
use axum::extract::State;
use axum::routing::get;
use axum::routing::post;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;

use crate::Listening;
use crate::listen::Crash;
use crate::listen::listen;
use batch::Batch;
use cache::PrefixCache;

/// A model engine.
pub struct Engine {
    settings: EngineSettings,
    batch: Batch,
    cache: Mutex<PrefixCache>,
    faults: Mutex<EngineFaults>,
    crash: mpsc::Sender<Crash>,
    orders: Mutex<OrderState>,
    seen_headers: Mutex<BTreeMap<String, u64>>,
}

#[derive(Debug, Default)]
struct OrderState {
    fence: u64,
    orders: Vec<Value>,
    models: BTreeSet<String>,
    role: Option<String>,
}

impl OrderState {
    fn apply(&mut self, order: &Value) {
        let text = |name: &str| order.get(name).and_then(Value::as_str).map(str::to_owned);
        match (text("kind").as_deref(), text("model"), text("role")) {
            (Some("load"), Some(model), _) => {
                self.models.insert(model);
            }
            (Some("unload"), Some(model), _) => {
                self.models.remove(&model);
            }
            (Some("role"), _, role) => self.role = role,
            _ => {}
        }
    }
}

#[derive(Deserialize)]
struct EventsQuery {
    #[serde(default)]
    after: u64,
}

impl Engine {
    /// Starts an engine on `address`.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the bind.
    pub async fn start(address: &str, settings: EngineSettings) -> std::io::Result<Listening> {
        let (crash, crashes) = mpsc::channel(8);
        let engine = Arc::new(Self {
            batch: Batch::new(&settings),
            cache: Mutex::new(PrefixCache::new(settings.cache_blocks)),
            faults: Mutex::default(),
            orders: Mutex::new(OrderState {
                models: settings.models.iter().cloned().collect(),
                ..OrderState::default()
            }),
            seen_headers: Mutex::default(),
            crash,
            settings,
        });
        let router = Router::new()
            .route("/v1/chat/completions", post(answer::complete))
            .route("/v1/completions", post(answer::complete))
            .route("/v1/models", get(models))
            .route("/load", get(load))
            .route("/cache-events", get(cache_events))
            .route("/orders", post(take_order))
            .route("/standin/faults", post(set_faults))
            .route("/standin/counts", get(counts))
            .with_state(engine.clone());
        let on_start: Arc<dyn Fn() + Send + Sync> = Arc::new(move || engine.restart());
        listen(address, router, crashes, on_start).await
    }

    fn restart(&self) {
        self.batch.restart();
        self.cache.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    fn faults(&self) -> EngineFaults {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    async fn crash(&self) {
        self.batch.note_crash();
        let _ = self.crash.send(self.settings.down).await;
    }

    fn note_headers(&self, headers: &axum::http::HeaderMap) {
        let mut seen = self.seen_headers.lock().unwrap_or_else(PoisonError::into_inner);
        for name in headers.keys() {
            *seen.entry(name.to_string()).or_default() += 1;
        }
    }
}

async fn models(State(engine): State<Arc<Engine>>) -> Json<Value> {
    let state = engine.orders.lock().unwrap_or_else(PoisonError::into_inner);
    let data: Vec<Value> = state
        .models
        .iter()
        .map(|model| json!({ "id": model, "object": "model", "owned_by": "standin" }))
        .collect();
    Json(json!({ "object": "list", "data": data, "role": state.role }))
}

async fn load(State(engine): State<Arc<Engine>>) -> Json<Value> {
    Json(json!({ "running": engine.batch.lagged_load() }))
}

async fn cache_events(
    State(engine): State<Arc<Engine>>,
    Query(query): Query<EventsQuery>,
) -> Json<Value> {
    let cache = engine.cache.lock().unwrap_or_else(PoisonError::into_inner);
    Json(json!({ "events": cache.events_after(query.after) }))
}

async fn take_order(
    State(engine): State<Arc<Engine>>,
    Json(order): Json<Value>,
) -> (axum::http::StatusCode, Json<Value>) {
    let mut state = engine.orders.lock().unwrap_or_else(PoisonError::into_inner);
    let fence = order.get("fence").and_then(Value::as_u64).unwrap_or(0);
    if engine.settings.fenced && fence < state.fence {
        let answer = json!({ "error": "old fencing token", "fence": state.fence });
        return (axum::http::StatusCode::CONFLICT, Json(answer));
    }
    state.fence = state.fence.max(fence);
    state.apply(&order);
    state.orders.push(order);
    (axum::http::StatusCode::OK, Json(json!({ "fence": state.fence })))
}

async fn set_faults(State(engine): State<Arc<Engine>>, Json(faults): Json<EngineFaults>) {
    if faults.cold_now {
        engine.batch.restart();
    }
    let crash = faults.crash_now;
    *engine.faults.lock().unwrap_or_else(PoisonError::into_inner) =
        EngineFaults { cold_now: false, crash_now: false, ..faults };
    if crash {
        engine.crash().await;
    }
}

async fn counts(State(engine): State<Arc<Engine>>) -> Json<Value> {
    let orders = engine.orders.lock().unwrap_or_else(PoisonError::into_inner).orders.clone();
    let headers = engine.seen_headers.lock().unwrap_or_else(PoisonError::into_inner).clone();
    Json(json!({
        "name": engine.settings.name,
        "counts": engine.batch.counts(),
        "orders": orders,
        "headers": headers,
    }))
}
