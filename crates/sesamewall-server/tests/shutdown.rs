#![allow(clippy::unwrap_used)]

//! Tests of the shutdown of a whole instance, over loopback.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;
use sesamewall_batch::SegmentRecord;
use sesamewall_batch::SegmentState;
use sesamewall_ports::MemoryStore;
use sesamewall_ports::Store;
use sesamewall_protocol::Operation;
use sesamewall_protocol::hash_key;
use sesamewall_server::ConfigWriter;
use sesamewall_server::Instance;
use sesamewall_server::Platform;
use sesamewall_server::Settings;
use sesamewall_standin::Engine;
use sesamewall_standin::EngineSettings;
use sesamewall_standin::FakeInstances;

const KEY: &str = "sk-test";

async fn post(url: String, content_type: &str, body: String) -> Value {
    let request = http::Request::post(url)
        .header("authorization", format!("Bearer {KEY}"))
        .header("content-type", content_type)
        .body(Full::new(Bytes::from(body)))
        .unwrap();
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let answer = client.request(request).await.unwrap();
    let body = answer.into_body().collect().await.unwrap().to_bytes();
    serde_json::from_slice(&body).unwrap()
}

async fn segment(store: &MemoryStore) -> Option<SegmentRecord> {
    let entries = store.list("batch/segment/", "", 1).await.unwrap();
    entries.first().map(|entry| serde_json::from_slice(&entry.value).unwrap())
}

/// Starts an instance with one engine on which an item takes minutes.
async fn start(store: &Arc<MemoryStore>, folder: &tempfile::TempDir) -> Instance {
    let settings = EngineSettings { step: Duration::from_millis(100), ..EngineSettings::default() };
    let engine = Engine::start("127.0.0.1:0", settings).await.unwrap();
    let settings = Settings {
        caller_addr: "127.0.0.1:0".to_owned(),
        operator_addr: "127.0.0.1:0".to_owned(),
        data_dir: Some(folder.path().to_owned()),
        drain_ms: 0,
        ..Settings::default()
    };
    let platform =
        Platform { store: store.clone(), instances: Arc::new(FakeInstances::new(Duration::ZERO)) };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let instance = Instance::start(settings, platform, log).await.unwrap();
    let resources = [
        json!({"kind": "account", "name": "a", "online": {"rate": 100.0, "burst": 100.0}}),
        json!({"kind": "key", "id": "k", "account": "a", "hash": hash_key(KEY)}),
        json!({"kind": "target-group", "name": "g", "type": "engine", "models": ["standin-1"],
            "targets": [{"name": "t", "domain": "domain-1",
                "address": format!("http://{}", engine.address)}]}),
    ];
    let operations = resources
        .into_iter()
        .map(|resource| Operation::Put(serde_json::from_value(resource).unwrap()))
        .collect();
    instance.writer.submit("test", 0, operations).await.unwrap();
    instance
}

/// Guards against an instance that stops while its segments are claimed, so that a successor would
/// wait until the claims expire.
#[tokio::test(flavor = "multi_thread")]
async fn instance_releases_segments() {
    let folder = tempfile::tempdir().unwrap();
    let store = Arc::new(MemoryStore::default());
    let instance = start(&store, &folder).await;
    let url = format!("http://{}/v1", instance.caller_addr);
    let item = |number: u32| {
        json!({"custom_id": format!("i{number}"), "method": "POST",
            "url": "/v1/chat/completions", "body": {"model": "standin-1", "max_tokens": 2_000,
                "messages": [{"role": "user", "content": "Hello"}]}})
        .to_string()
    };
    let lines = (0..3).map(item).collect::<Vec<_>>().join("\n");
    let upload = format!(
        "--XX\r\ncontent-disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
         --XX\r\ncontent-disposition: form-data; name=\"file\"; filename=\"in.jsonl\"\r\n\r\n\
         {lines}\r\n--XX--\r\n"
    );
    let mut file = Value::Null;
    // The instance list shows the storage instance only after its first round.
    for _ in 0..100 {
        let kind = "multipart/form-data; boundary=XX";
        file = post(format!("{url}/files"), kind, upload.clone()).await;
        if file["id"].is_string() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let job = json!({"input_file_id": file["id"], "endpoint": "/v1/chat/completions",
        "completion_window": "24h"});
    let job = post(format!("{url}/batches"), "application/json", job.to_string()).await;
    assert_eq!(job["status"], "in_progress", "{file} {job}");
    for _ in 0..100 {
        if segment(&store).await.is_some() && instance.context.recorder.waiting() == 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(segment(&store).await.unwrap().state, SegmentState::Claimed);
    instance.shut_down().await;
    assert_eq!(segment(&store).await.unwrap().state, SegmentState::Released);
    assert_eq!(store.get("batch/worker/instance-1").await, Ok(None));
}
