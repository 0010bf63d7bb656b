//! Requests through an instance and through a bare pass-through of the same libraries.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use axum::Router;
use axum::body::Body;
use axum::extract::Request;
use axum::extract::State;
use axum::http::Uri;
use axum::response::IntoResponse;
use axum::response::Response;
use futures::StreamExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use sesamewall_ports::MemoryStore;
use sesamewall_protocol::Operation;
use sesamewall_protocol::hash_key;
use sesamewall_server::ConfigWriter;
use sesamewall_server::Instance;
use sesamewall_server::Platform;
use sesamewall_server::Settings;
use sesamewall_standin::Engine;
use sesamewall_standin::EngineSettings;
use sesamewall_standin::FakeInstances;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

use super::meter::thread_time;

const CONCURRENCY: usize = 8;
const TOKENS: u64 = 201;
const KEY: &str = "sk-bench";
const START_TRIES: usize = 200;
const ROUNDS: u32 = 2;
/// Names of threads; Linux keeps 15 bytes.
const OUTSIDE: &str = "bench-outside";
const BARE: &str = "bench-bare";
const INSTANCE: &str = "bench-instance";
const IDLE: Duration = Duration::from_secs(2);

/// Shortest processor time of one measurement: ten ticks of the clock.
const MIN_TIME: Duration = Duration::from_millis(100);

/// Longest time of one measurement that has not reached `MIN_TIME`.
const MAX_TIME: Duration = Duration::from_secs(10);

/// Processor time in microseconds for one request with one token, for each further token, and for a
/// second without requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Costs {
    pub(super) request_us: f64,
    pub(super) token_us: f64,
    pub(super) idle_us: f64,
}

type Sender = Client<HttpConnector, Full<bytes::Bytes>>;

/// Measures requests through the pass-through and through an instance. Each runs on separate
/// threads, so that the client and the engine are not counted.
pub(super) fn measure(requests: usize) -> Result<[Costs; 2], String> {
    let [outside, bare, proxied] = [OUTSIDE, BARE, INSTANCE].map(runtime);
    let (outside, bare, proxied) = (outside?, bare?, proxied?);
    let engine = outside.block_on(engine()).map_err(|error| error.to_string())?;
    let bare_address = bare.block_on(pass_through(&engine)).map_err(|error| error.to_string())?;
    let instance = proxied.block_on(start(&engine)).map_err(|error| error.to_string())?;
    let costs = outside.block_on(async {
        let mut sums = [Costs::default(); 2];
        // Alternates between the two, so that other load on the machine affects both.
        for _ in 0..ROUNDS {
            let bare = costs(BARE, &bare_address, requests).await?;
            let proxied = costs(INSTANCE, &instance.caller_addr, requests).await?;
            for (sum, costs) in sums.iter_mut().zip([bare, proxied]) {
                sum.request_us += costs.request_us / f64::from(ROUNDS);
                sum.token_us += costs.token_us / f64::from(ROUNDS);
                sum.idle_us += costs.idle_us / f64::from(ROUNDS);
            }
        }
        Ok(sums)
    });
    proxied.block_on(instance.shut_down());
    for runtime in [outside, bare, proxied] {
        runtime.shutdown_timeout(Duration::from_secs(1));
    }
    costs
}

fn runtime(name: &str) -> Result<Runtime, String> {
    Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name(name)
        .enable_all()
        .build()
        .map_err(|error| error.to_string())
}

async fn engine() -> std::io::Result<String> {
    let settings = EngineSettings {
        step: Duration::ZERO,
        step_per_stream: Duration::ZERO,
        prefill_per_token: Duration::ZERO,
        cold: Duration::ZERO,
        cold_limit: 1_000,
        ..EngineSettings::default()
    };
    Ok(Engine::start("127.0.0.1:0", settings).await?.address.to_string())
}

async fn costs(threads: &str, address: &str, requests: usize) -> Result<Costs, String> {
    let client: Sender = Client::builder(TokioExecutor::new()).build_http();
    // Opens the connections and raises the adaptive concurrency limit above the number of
    // concurrent requests.
    load(&client, address, requests.min(400), 1).await?;
    let start = thread_time(threads);
    tokio::time::sleep(IDLE).await;
    let idle_us = (thread_time(threads) - start).as_secs_f64() * 1e6 / IDLE.as_secs_f64();
    let mut times = [0.0; 2];
    for (time, (count, tokens)) in times.iter_mut().zip([(requests, 1), (requests / 10, TOKENS)]) {
        let (start, started_at) = (thread_time(threads), Instant::now());
        let mut sent = 0;
        // A fast build serves few requests within one tick of the clock, and the difference of two
        // such measurements would be zero.
        while sent == 0
            || (thread_time(threads) - start < MIN_TIME && started_at.elapsed() < MAX_TIME)
        {
            load(&client, address, count, tokens).await?;
            sent += count;
        }
        let idle = idle_us * started_at.elapsed().as_secs_f64();
        *time = ((thread_time(threads) - start).as_secs_f64() * 1e6 - idle) / sent as f64;
    }
    let token_us = (times[1] - times[0]) / (TOKENS - 1) as f64;
    Ok(Costs { request_us: times[0], token_us, idle_us })
}

async fn load(client: &Sender, address: &str, requests: usize, tokens: u64) -> Result<(), String> {
    let call = |_| send(client.clone(), address.to_owned(), tokens);
    let results: Vec<_> =
        futures::stream::iter(0..requests).map(call).buffer_unordered(CONCURRENCY).collect().await;
    results.into_iter().collect()
}

async fn send(client: Sender, address: String, tokens: u64) -> Result<(), String> {
    let body = serde_json::json!({
        "model": "standin-1",
        "messages": [{"role": "user", "content": "Hello there"}],
        "max_tokens": tokens,
        "stream": true,
    });
    let request = axum::http::Request::post(format!("http://{address}/v1/chat/completions"))
        .header("authorization", format!("Bearer {KEY}"))
        .header("content-type", "application/json")
        .body(Full::new(bytes::Bytes::from(body.to_string())))
        .map_err(|error| error.to_string())?;
    let response = client.request(request).await.map_err(|error| error.to_string())?;
    let status = response.status();
    let body = response.into_body().collect().await.map_err(|error| error.to_string())?.to_bytes();
    let is_complete = body.ends_with(b"data: [DONE]\n\n");
    match status.is_success() && is_complete {
        true => Ok(()),
        false => Err(format!("{status}: {}", String::from_utf8_lossy(&body))),
    }
}

type Bare = (Client<HttpConnector, Body>, Arc<str>);

async fn pass_through(engine: &str) -> std::io::Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    let client = Client::builder(TokioExecutor::new()).build_http();
    let state: Bare = (client, engine.into());
    let router = Router::new().fallback(forward).with_state(state);
    tokio::spawn(async move { axum::serve(listener, router).await });
    Ok(address)
}

async fn forward(State((client, engine)): State<Bare>, mut request: Request) -> Response {
    let uri = format!("http://{engine}{}", request.uri().path());
    let Ok(uri) = uri.parse::<Uri>() else { return bad_gateway() };
    *request.uri_mut() = uri;
    match client.request(request).await {
        Ok(response) => response.map(Body::new),
        Err(_) => bad_gateway(),
    }
}

fn bad_gateway() -> Response {
    axum::http::StatusCode::BAD_GATEWAY.into_response()
}

async fn start(engine: &str) -> sesamewall_protocol::Result<Instance> {
    let platform = Platform {
        store: Arc::new(MemoryStore::default()),
        instances: Arc::new(FakeInstances::new(Duration::ZERO)),
    };
    let settings = Settings {
        caller_addr: "127.0.0.1:0".to_owned(),
        operator_addr: "127.0.0.1:0".to_owned(),
        operator_hash: hash_key("operator"),
        drain_ms: 0,
        ..Settings::default()
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let instance = Instance::start(settings, platform, log).await?;
    let target = serde_json::json!({
        "name": "engine-0", "domain": "domain-1", "address": format!("http://{engine}"),
    });
    let resources = serde_json::json!([
        {"put": {"kind": "account", "name": "bench", "online": {"rate": 1e6, "burst": 1e6}}},
        {"put": {"kind": "key", "id": "bench", "account": "bench", "hash": hash_key(KEY)}},
        {"put": {"kind": "target-group", "name": "engines", "type": "engine",
            "models": ["standin-1"], "targets": [target], "limit": 64}},
    ]);
    let operations: Vec<Operation> = serde_json::from_value(resources)
        .map_err(|error| sesamewall_protocol::Error::Internal { detail: error.to_string() })?;
    instance.writer.submit("bench", 0, operations).await?;
    // Requests are refused until the lead holds its lease, which takes seconds.
    let client: Sender = Client::builder(TokioExecutor::new()).build_http();
    for _ in 0..START_TRIES {
        if send(client.clone(), instance.caller_addr.clone(), 1).await.is_ok() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok(instance)
}
