//! A batch job under online bursts while instances are killed.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::client::Prompt;
use crate::fixture::TestFleet;
use crate::load::burst;
use crate::process::eventually;

const ITEMS: usize = 3_000;
const SEGMENTS: usize = 6;
const TOKENS: u64 = 24;
const BURSTS: usize = 4;
const BURST: usize = 60;

/// An accepted job and the instances that were killed after its upload.
pub struct Job {
    id: String,
    key: String,
    killed: [usize; 2],
}

/// Uploads a job through an instance and returns its identifier.
pub async fn start(fleet: &TestFleet, index: usize, bulk: &str) -> String {
    let base = &fleet.instances[index].callers;
    let file = fleet.client.upload(base, bulk, &input()).await.unwrap();
    let order = json!({ "input_file_id": file, "endpoint": "/v1/chat/completions",
                        "completion_window": "24h" });
    let url = format!("{base}/v1/batches");
    let response = fleet.client.call("POST", &url, bulk, &order).await.unwrap();
    response.json()["id"].as_str().unwrap_or_else(|| panic!("{response:?}")).to_owned()
}

/// Cancels a job. It may have completed before.
pub async fn cancel(fleet: &TestFleet, job: String, bulk: &str) {
    let base = &fleet.callers()[0];
    let url = format!("{base}/v1/batches/{job}/cancel");
    fleet.client.call("POST", &url, bulk, &json!({})).await.unwrap();
    eventually("the cancelled job ends", async || {
        let response = fleet.client.get(&format!("{base}/v1/batches/{job}"), bulk).await?;
        let status = response.json()["status"].as_str().unwrap_or_default().to_owned();
        ["cancelled", "completed"].contains(&status.as_str()).then_some(()).ok_or(status)
    })
    .await;
}

/// Uploads a job through an instance that is killed once it has acknowledged the job, then kills a
/// worker of the job. Guards against online requests that fail because of batch work or the kills.
pub async fn start_with_kills(fleet: &mut TestFleet, key: &str, bulk: &str) -> Job {
    let first = fleet.index("d2-2");
    let id = start(fleet, first, bulk).await;
    fleet.kill(first);

    let second = worker_of(fleet, &id).await;
    println!("         {} is killed at work", fleet.instances[second].name);
    burst(&fleet.client, &fleet.callers(), key, BURST, "before the kill of a worker").await;
    fleet.kill(second);
    for number in 0..BURSTS {
        let name = format!("burst {number} after the kill of a worker");
        burst(&fleet.client, &fleet.callers(), key, BURST, &name).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    Job { id, key: bulk.to_owned(), killed: [first, second] }
}

/// Guards against lost, repeated and crossed items of a job whose instances were killed, and
/// against a result that only one instance can read. Starts the killed instances again.
pub async fn completes_exactly_once(fleet: &mut TestFleet, key: &str, job: Job) {
    let found = eventually("the job completes", async || {
        let url = format!("{}/v1/batches/{}", fleet.callers()[0], job.id);
        let response = fleet.client.get(&url, &job.key).await?;
        let found = response.json();
        (found["status"] == "completed").then_some(found).ok_or(response.text())
    })
    .await;
    let counts = json!({ "total": ITEMS, "completed": ITEMS, "failed": 0 });
    assert_eq!(found["request_counts"], counts, "{found}");
    assert_eq!(found["error_file_id"], Value::Null, "{found}");
    let output = found["output_file_id"].as_str().unwrap();
    let bases = fleet.callers();
    for base in [&bases[0], &bases[bases.len() - 1]] {
        let url = format!("{base}/v1/files/{output}/content");
        let response = fleet.client.get(&url, &job.key).await.unwrap();
        assert_eq!(response.status, 200, "{}", response.text());
        check_output(&response.text());
    }
    fleet.restart(&job.killed, key).await;
}

fn prompt(item: usize) -> Prompt {
    Prompt::new(&format!("batch item {item}"), TOKENS, false)
}

fn input() -> String {
    let line = |item: usize| {
        json!({ "custom_id": format!("item-{item}"), "method": "POST",
                "url": "/v1/chat/completions", "body": prompt(item).body() })
        .to_string()
    };
    (0..ITEMS).map(line).collect::<Vec<_>>().join("\n")
}

/// Waits for an instance that holds a claim on a segment of the job, and prefers one without a data
/// folder.
async fn worker_of(fleet: &TestFleet, job: &str) -> usize {
    eventually("a worker holds a segment", async || {
        let mut holders = Vec::new();
        for segment in 0..SEGMENTS {
            holders.extend(fleet.claim_holder(job, segment).await);
        }
        let live = |name: &&String| fleet.instances[fleet.index(name)].process.is_some();
        holders.sort_by_key(|name| name.ends_with("-1"));
        let found = holders.iter().find(live).map(|name| fleet.index(name));
        found.ok_or_else(|| format!("the holders are {holders:?}"))
    })
    .await
}

fn check_output(text: &str) {
    let mut lines = BTreeMap::new();
    for line in text.lines() {
        let line: Value = serde_json::from_str(line).unwrap();
        let id = line["custom_id"].as_str().unwrap().to_owned();
        assert!(line["error"].is_null(), "{line}");
        assert!(lines.insert(id.clone(), line).is_none(), "{id} has two lines");
    }
    assert_eq!(lines.len(), ITEMS);
    for item in 0..ITEMS {
        let line = &lines[&format!("item-{item}")];
        let found = &line["response"]["body"]["choices"][0]["message"]["content"];
        assert_eq!(found.as_str().unwrap(), prompt(item).expected(), "{line}");
    }
}
