//! A small model engine: continuous batching, cold start, prefix cache, streams with cancel and
//! resume, late cache events and load reports.

mod batch;
mod cache;
mod faults;
mod response;
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

use crate::ServerHandle;
use crate::listen::CrashDowntime;
use crate::listen::listen;
use batch::Batch;
use cache::PrefixCache;

/// A model engine.
pub struct Engine {
    settings: EngineSettings,
    batch: Batch,
    cache: Mutex<PrefixCache>,
    faults: Mutex<EngineFaults>,
    crash: mpsc::Sender<CrashDowntime>,
    commands: Mutex<CommandState>,
    header_counts: Mutex<BTreeMap<String, u64>>,
}

#[derive(Debug, Default)]
struct CommandState {
    fence: u64,
    commands: Vec<Value>,
    models: BTreeSet<String>,
    role: Option<String>,
}

impl CommandState {
    fn apply(&mut self, command: &Value) {
        let text = |name: &str| command.get(name).and_then(Value::as_str).map(str::to_owned);
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
    pub async fn start(address: &str, settings: EngineSettings) -> std::io::Result<ServerHandle> {
        let (crash, crashes) = mpsc::channel(8);
        let engine = Arc::new(Self {
            batch: Batch::new(&settings),
            cache: Mutex::new(PrefixCache::new(settings.cache_blocks)),
            faults: Mutex::default(),
            commands: Mutex::new(CommandState {
                models: settings.models.iter().cloned().collect(),
                ..CommandState::default()
            }),
            header_counts: Mutex::default(),
            crash,
            settings,
        });
        let router = Router::new()
            .route("/v1/chat/completions", post(response::complete))
            .route("/v1/completions", post(response::complete))
            .route("/v1/models", get(models))
            .route("/load", get(load))
            .route("/cache-events", get(cache_events))
            .route("/orders", post(apply_command))
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
        self.batch.record_crash();
        let _ = self.crash.send(self.settings.down).await;
    }

    fn record_headers(&self, headers: &axum::http::HeaderMap) {
        let mut seen = self.header_counts.lock().unwrap_or_else(PoisonError::into_inner);
        for name in headers.keys() {
            *seen.entry(name.to_string()).or_default() += 1;
        }
    }
}

async fn models(State(engine): State<Arc<Engine>>) -> Json<Value> {
    let state = engine.commands.lock().unwrap_or_else(PoisonError::into_inner);
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

async fn apply_command(
    State(engine): State<Arc<Engine>>,
    Json(command): Json<Value>,
) -> (axum::http::StatusCode, Json<Value>) {
    let mut state = engine.commands.lock().unwrap_or_else(PoisonError::into_inner);
    let fence = command.get("fence").and_then(Value::as_u64).unwrap_or(0);
    if engine.settings.fenced && fence < state.fence {
        let response = json!({ "error": "old fencing token", "fence": state.fence });
        return (axum::http::StatusCode::CONFLICT, Json(response));
    }
    state.fence = state.fence.max(fence);
    state.apply(&command);
    state.commands.push(command);
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
    let commands = engine.commands.lock().unwrap_or_else(PoisonError::into_inner).commands.clone();
    let headers = engine.header_counts.lock().unwrap_or_else(PoisonError::into_inner).clone();
    Json(json!({
        "name": engine.settings.name,
        "counts": engine.batch.counts(),
        "orders": commands,
        "headers": headers,
    }))
}
