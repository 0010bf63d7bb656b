//! The platform's store and instance list over HTTP.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::body::Bytes;
use axum::extract::DefaultBodyLimit;
use axum::extract::Query;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use axum::routing::put;
use serde::Deserialize;
use serde::Serialize;
use sesamewall_ports::ListedInstance;
use sesamewall_ports::MemoryStore;
use sesamewall_ports::Precondition;
use sesamewall_ports::Store;
use sesamewall_ports::StoreError;
use sesamewall_ports::Versioned;

use crate::FakeInstances;

/// Limits of calls to the store per second.
const WRITES_PER_SECOND: u64 = 300;
const READS_PER_SECOND: u64 = 2000;

struct Platform {
    store: Arc<MemoryStore>,
    instances: Arc<FakeInstances>,
    delay_ms: AtomicU64,
    reads: Mutex<Window>,
    writes: Mutex<Window>,
}

#[derive(Debug)]
struct Window {
    start: Instant,
    count: u64,
    refused: u64,
}

impl Default for Window {
    fn default() -> Self {
        Self { start: Instant::now(), count: 0, refused: 0 }
    }
}

fn admit(window: &Mutex<Window>, limit: u64) -> bool {
    let mut window = window.lock().unwrap_or_else(PoisonError::into_inner);
    if window.start.elapsed() >= Duration::from_secs(1) {
        window.start = Instant::now();
        window.count = 0;
    }
    window.count += 1;
    let admitted = window.count <= limit;
    window.refused += u64::from(!admitted);
    admitted
}

#[derive(Deserialize)]
struct KeyQuery {
    key: String,
    expect: Option<String>,
}

#[derive(Deserialize)]
struct ListQuery {
    prefix: String,
    #[serde(default)]
    after: String,
    limit: usize,
}

#[derive(Deserialize)]
struct WatchQuery {
    prefix: String,
    after: u64,
    wait_ms: u64,
}

/// Faults of the platform that can be set while it runs.
#[derive(Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct PlatformFaults {
    outage: Option<bool>,
    lose_answers: Option<u32>,
    delay_ms: Option<u64>,
}

#[derive(Serialize)]
struct PlatformCounts {
    reads: u64,
    writes: u64,
    refused_reads: u64,
    refused_writes: u64,
}

/// Returns the routes of the store, the instance list and the fault switches.
pub fn platform_router(store: Arc<MemoryStore>, instances: Arc<FakeInstances>) -> Router {
    let platform = Arc::new(Platform {
        store,
        instances,
        delay_ms: AtomicU64::new(0),
        reads: Mutex::default(),
        writes: Mutex::default(),
    });
    Router::new()
        .route("/kv", get(get_value).put(put_value).delete(delete_value))
        .route("/list", get(list_values))
        .route("/watch", get(watch_values))
        .route("/instances", put(announce).get(list_instances))
        .route("/faults", post(set_faults))
        .route("/counts", get(counts))
        .layer(DefaultBodyLimit::max(2 << 20))
        .with_state(platform)
}

fn status(error: &StoreError) -> Response {
    match error {
        StoreError::Conflict => StatusCode::CONFLICT,
        StoreError::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        StoreError::Unclear => StatusCode::GATEWAY_TIMEOUT,
        StoreError::RateLimited => StatusCode::TOO_MANY_REQUESTS,
        StoreError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
    }
    .into_response()
}

async fn admit_read(platform: &Platform) -> Result<(), Response> {
    tokio::time::sleep(Duration::from_millis(platform.delay_ms.load(Ordering::Relaxed))).await;
    match admit(&platform.reads, READS_PER_SECOND) {
        true => Ok(()),
        false => Err(status(&StoreError::RateLimited)),
    }
}

async fn admit_write(platform: &Platform) -> Result<(), Response> {
    tokio::time::sleep(Duration::from_millis(platform.delay_ms.load(Ordering::Relaxed))).await;
    match admit(&platform.writes, WRITES_PER_SECOND) {
        true => Ok(()),
        false => Err(status(&StoreError::RateLimited)),
    }
}

async fn get_value(
    State(platform): State<Arc<Platform>>,
    Query(query): Query<KeyQuery>,
) -> Result<Response, Response> {
    admit_read(&platform).await?;
    match platform.store.get(&query.key).await {
        Ok(Some(found)) => {
            Ok(([("x-version", found.version.to_string())], found.value).into_response())
        }
        Ok(None) => Err(StatusCode::NOT_FOUND.into_response()),
        Err(error) => Err(status(&error)),
    }
}

async fn put_value(
    State(platform): State<Arc<Platform>>,
    Query(query): Query<KeyQuery>,
    body: Bytes,
) -> Result<Response, Response> {
    admit_write(&platform).await?;
    let expect = match query.expect.as_deref() {
        Some("absent") => Precondition::Absent,
        Some(text) => Precondition::Version(text.parse().map_err(|_| bad_request("expect"))?),
        None => return Err(bad_request("expect")),
    };
    match platform.store.put(&query.key, body, expect).await {
        Ok(version) => Ok([("x-version", version.to_string())].into_response()),
        Err(error) => Err(status(&error)),
    }
}

async fn delete_value(
    State(platform): State<Arc<Platform>>,
    Query(query): Query<KeyQuery>,
) -> Result<Response, Response> {
    admit_write(&platform).await?;
    let version = query.expect.as_deref().and_then(|text| text.parse().ok());
    let Some(version) = version else { return Err(bad_request("expect")) };
    match platform.store.delete(&query.key, version).await {
        Ok(()) => Ok(StatusCode::OK.into_response()),
        Err(error) => Err(status(&error)),
    }
}

fn bad_request(field: &str) -> Response {
    (StatusCode::BAD_REQUEST, format!("field `{field}` is missing or not valid")).into_response()
}

fn encode(found: Vec<Versioned>) -> Response {
    let entries: Vec<(String, Bytes, u64)> =
        found.into_iter().map(|entry| (entry.key, entry.value, entry.version)).collect();
    match rmp_serde::to_vec(&entries) {
        Ok(encoded) => encoded.into_response(),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

async fn list_values(
    State(platform): State<Arc<Platform>>,
    Query(query): Query<ListQuery>,
) -> Result<Response, Response> {
    admit_read(&platform).await?;
    let found = platform.store.list(&query.prefix, &query.after, query.limit).await;
    Ok(encode(found.map_err(|error| status(&error))?))
}

async fn watch_values(
    State(platform): State<Arc<Platform>>,
    Query(query): Query<WatchQuery>,
) -> Result<Response, Response> {
    admit_read(&platform).await?;
    let found = platform.store.watch(&query.prefix, query.after, query.wait_ms).await;
    Ok(encode(found.map_err(|error| status(&error))?))
}

async fn announce(State(platform): State<Arc<Platform>>, Json(entry): Json<ListedInstance>) {
    platform.instances.add_entry(entry);
}

async fn list_instances(State(platform): State<Arc<Platform>>) -> Json<Vec<ListedInstance>> {
    Json(platform.instances.entries())
}

async fn set_faults(State(platform): State<Arc<Platform>>, Json(faults): Json<PlatformFaults>) {
    if let Some(outage) = faults.outage {
        platform.store.set_outage(outage);
    }
    if let Some(count) = faults.lose_answers {
        platform.store.drop_replies(count);
    }
    if let Some(delay) = faults.delay_ms {
        platform.delay_ms.store(delay, Ordering::Relaxed);
    }
}

async fn counts(State(platform): State<Arc<Platform>>) -> Json<PlatformCounts> {
    let (reads, writes) = platform.store.calls();
    let refused =
        |window: &Mutex<Window>| window.lock().unwrap_or_else(PoisonError::into_inner).refused;
    Json(PlatformCounts {
        reads,
        writes,
        refused_reads: refused(&platform.reads),
        refused_writes: refused(&platform.writes),
    })
}
