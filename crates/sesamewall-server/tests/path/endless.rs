//! Engines that send more than an answer may have, without an end.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Method;
use serde_json::Value;
use serde_json::json;
use sesamewall_server::Settings;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use crate::fleet::*;
use crate::target::ScriptedReply;
use crate::target::ScriptedTarget;
use crate::target::json as reply;
use crate::target::response_bytes;

/// Bytes that an instance may take from one endless answer: the limit of an item and what sockets
/// and parsers have buffered.
const MAX_TAKEN_BYTES: usize = 24 << 20;

/// Bytes after which an engine that nobody stops ends by itself.
const SCRIPT_BYTES: usize = 256 << 20;

/// Text of one event of an endless stream.
const EVENT_TEXT_BYTES: usize = 8 << 10;

/// An engine that answers each `POST` with events without an end.
struct EndlessEngine {
    address: String,
    /// Bytes of the longest answer so far, and the number of answers.
    longest: Arc<AtomicUsize>,
    answers: Arc<AtomicUsize>,
}

impl EndlessEngine {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (longest, answers) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let engine = Self { address, longest: longest.clone(), answers: answers.clone() };
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (longest, answers) = (longest.clone(), answers.clone());
                tokio::spawn(async move {
                    let mut request = vec![0; 64 << 10];
                    let count = stream.read(&mut request).await.unwrap_or(0);
                    if !request[..count].starts_with(b"POST") {
                        return;
                    }
                    answers.fetch_add(1, Ordering::Relaxed);
                    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
                    let chunk = json!({ "id": "c", "created": 1, "model": MODEL, "choices": [
                        { "index": 0, "delta": { "content": "x".repeat(EVENT_TEXT_BYTES) } }] });
                    let event = format!("data: {chunk}\n\n");
                    let mut sent = 0;
                    let mut bytes = head.as_bytes();
                    while sent < SCRIPT_BYTES && stream.write_all(bytes).await.is_ok() {
                        sent += bytes.len();
                        longest.fetch_max(sent, Ordering::Relaxed);
                        bytes = event.as_bytes();
                    }
                });
            }
        });
        engine
    }
}

/// Submits a job with these items and returns the lines of its results once it has ended.
pub async fn run_job(fleet: &Fleet, items: &[Value]) -> Vec<Value> {
    let job = fleet.submit_job(CHAT, items).await;
    let a = bearer(KEY_A);
    let headers = [("authorization", &*a)];
    let path = format!("/v1/batches/{job}");
    for _ in 0..600 {
        let state = fleet.send(0, Method::GET, &path, &headers, "").await.json();
        if state["status"] == "completed" {
            let mut rows = Vec::new();
            for file in ["output_file_id", "error_file_id"] {
                let Some(file) = state[file].as_str() else { continue };
                let path = format!("/v1/files/{file}/content");
                let text = fleet.send(0, Method::GET, &path, &headers, "").await.text;
                rows.extend(text.lines().map(|line| serde_json::from_str::<Value>(line).unwrap()));
            }
            return rows;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("the job does not end: {}", fleet.send(0, Method::GET, &path, &headers, "").await.text);
}

fn chat_item(id: usize, n: u64) -> Value {
    let mut body: Value = serde_json::from_str(&chat_body("hello", 16, false)).unwrap();
    body["n"] = n.into();
    json!({ "custom_id": id.to_string(), "method": "POST", "url": CHAT, "body": body })
}

/// Guards against an instance that keeps an endless stream of valid events of a batch item until it
/// has no memory, while other clients use the same instance.
#[tokio::test(flavor = "multi_thread")]
async fn endless_events_of_an_item_are_aborted_and_the_item_runs_elsewhere() {
    let folder = tempfile::tempdir().unwrap();
    let settings = Settings { data_dir: Some(folder.path().to_owned()), ..Settings::default() };
    let fleet = Fleet::with(&["d1"], settings).await;
    let (endless, sound) = (EndlessEngine::start().await, EngineHandle::warm().await);
    let service = ScriptedTarget::start(|_, request| reply(request, "{}")).await;
    fleet
        .put(vec![
            group("e", true, &[("d1", &endless.address), ("d1", &sound.address)]),
            group("s", false, &[("d1", &service.address)]),
            route("/service", "s", false),
        ])
        .await;
    let items: Vec<Value> = (0..8).map(|id| chat_item(id, 1)).collect();
    let a = bearer(KEY_A);
    let others = async {
        loop {
            let headers = [("authorization", &*a)];
            let response = fleet.send(0, Method::GET, "/service/x", &headers, "").await;
            assert_eq!(response.status, 200, "{}", response.text);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let rows = tokio::select! {
        rows = run_job(&fleet, &items) => rows,
        () = others => unreachable!("other requests are sent until the end"),
    };
    assert_eq!(rows.len(), items.len());
    for row in &rows {
        assert_eq!(row["response"]["status_code"], 200, "{:.300}", row.to_string());
        let body = row["response"]["body"].to_string();
        assert!(body.len() < EVENT_TEXT_BYTES, "an answer of the endless engine is listed");
    }
    assert!(endless.answers.load(Ordering::Relaxed) > 0, "the endless engine got no item");
    let taken = endless.longest.load(Ordering::Relaxed);
    assert!(taken < MAX_TAKEN_BYTES, "{taken} bytes of one answer were taken");
}

/// Guards against the first part of a large answer that is listed as the whole answer of an item.
#[tokio::test(flavor = "multi_thread")]
async fn an_unbounded_answer_of_an_item_is_not_listed_cut_off() {
    let folder = tempfile::tempdir().unwrap();
    let settings = Settings { data_dir: Some(folder.path().to_owned()), ..Settings::default() };
    let fleet = Fleet::with(&["d1"], settings).await;
    let engine = ScriptedTarget::start(|_, request| {
        let body = json!({ "choices": ["x".repeat(6 << 20)] }).to_string();
        ScriptedReply { bytes: response_bytes(request, "application/json", &body), close: false }
    })
    .await;
    fleet.put(vec![group("e", true, &[("d1", &engine.address)])]).await;
    // An item with several choices cannot be resumed, so that its answer is read as one body.
    let rows = run_job(&fleet, &[chat_item(0, 2)]).await;
    assert_eq!(rows.len(), 1);
    let text = rows[0].to_string();
    assert_ne!(rows[0]["response"]["status_code"], 200, "{:.300}", text);
    assert!(text.contains("more than 4194304 bytes"), "{:.600}", text);
}
