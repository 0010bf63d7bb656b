//! Tests of the caller API.

use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::body::Body;
use futures::StreamExt;
use sesamewall_batch::SegmentState;
use sesamewall_protocol::Decision;
use sesamewall_server::BatchOptions;
use sha2::Digest;
use sha2::Sha256;

use crate::fleet::Fleet;
use crate::fleet::input;

const MODEL: &str = "/v1/chat/completions";

/// Guards against a broken path from upload to output file.
#[tokio::test(start_paused = true)]
async fn job_runs_from_upload_to_output() {
    let fleet = Fleet::new(1, BatchOptions::default());
    let job = fleet.submit_job("a", MODEL, 1_100).await;
    let ended = fleet.wait_ended("a", &job, 600).await;
    assert_eq!(ended["request_counts"]["completed"], 1_100, "{ended}");
    assert_eq!(fleet.violations(&ended, 1_100, true).await, Vec::<String>::new());
}

/// Guards against store writes for each item: a segment takes one claim and one commit. All other
/// writes are renewals of the worker record and the records of the file and the job.
#[tokio::test(start_paused = true)]
async fn segment_takes_two_writes() {
    let fleet = Fleet::new(8, BatchOptions::default());
    let (_, before) = fleet.store.calls();
    let job = fleet.submit_job("a", MODEL, 20 * 500).await;
    let start = tokio::time::Instant::now();
    let ended = fleet.wait_ended("a", &job, 3_600).await;
    assert_eq!(ended["status"], "completed");
    assert_eq!(fleet.segment_writes(), 2 * 20);
    let renewals = 3 * (start.elapsed().as_secs() / 3 + 2);
    let (_, after) = fleet.store.calls();
    // Ten writes for the file, the job, its list entries and its end. Workers may race once for
    // each segment.
    assert!(after - before <= 3 * 20 + renewals + 10, "{} writes", after - before);
}

/// Guards against one account reading another's objects.
#[tokio::test(start_paused = true)]
async fn other_accounts_see_nothing() {
    let fleet = Fleet::new(2, BatchOptions::default());
    let job = fleet.submit_job("a", MODEL, 3).await;
    let ended = fleet.wait_ended("a", &job, 60).await;
    let output = ended["output_file_id"].as_str().unwrap();
    let paths = [
        format!("/v1/batches/{job}"),
        format!("/v1/files/{output}"),
        format!("/v1/files/{output}/content"),
    ];
    for path in paths {
        assert_eq!(fleet.get("a", &path).await.0, 200, "{path}");
        assert_eq!(fleet.get("b", &path).await.0, 404, "{path}");
    }
    for (account, wanted) in [("a", 1), ("b", 0)] {
        let (_, body) = fleet.get(account, "/v1/batches").await;
        let page: serde_json::Value = serde_json::from_slice(&body).unwrap();
        assert_eq!(page["data"].as_array().unwrap().len(), wanted);
    }
}

/// Guards against a resent job that runs twice, and against a key that is reused for another job.
#[tokio::test(start_paused = true)]
async fn resent_job_is_the_same_job() {
    let fleet = Fleet::new(3, BatchOptions::default());
    let (_, file) = fleet.upload("a", &input(MODEL, 2)).await;
    let (_, other) = fleet.upload("a", &input(MODEL, 3)).await;
    let id = file["id"].as_str().unwrap();
    let (_, first) = fleet.submit("a", id, MODEL, Some("k")).await;
    let (status, second) = fleet.submit("a", id, MODEL, Some("k")).await;
    assert_eq!((status, &first["id"]), (200, &second["id"]));
    let (status, _) = fleet.submit("a", other["id"].as_str().unwrap(), MODEL, Some("k")).await;
    assert_eq!(status, 409);
}

/// Guards against input errors that are found only after the job was accepted.
#[tokio::test(start_paused = true)]
async fn wrong_input_is_refused_with_its_line() {
    let fleet = Fleet::new(4, BatchOptions::default());
    let twice = format!("{}\n{}", input(MODEL, 2), input(MODEL, 1));
    let (status, body) = fleet.upload("a", &twice).await;
    assert_eq!((status, &body["error"]["param"]), (400, &"line 3".into()), "{body}");
    let (status, body) = fleet.upload("a", "").await;
    assert_eq!((status, &body["error"]["code"]), (400, &6001.into()));
}

/// Guards against a cancelled job that continues, and against lost outcomes of completed items.
#[tokio::test(start_paused = true)]
async fn cancelled_job_stops() {
    let fleet = Fleet::new(5, BatchOptions::default());
    let job = fleet.submit_job("a", MODEL, 1_500).await;
    tokio::time::sleep(Duration::from_secs(10)).await;
    let cancel = axum::http::Request::post(format!("/v1/batches/{job}/cancel"));
    let (status, _) = fleet.call("a", cancel.body(Body::empty()).unwrap()).await;
    assert_eq!(status, 200);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let sends: u32 = fleet.targets.sends.lock().unwrap().values().sum();
    let ended = fleet.wait_ended("a", &job, 60).await;
    assert_eq!(ended["status"], "cancelled");
    let completed = ended["request_counts"]["completed"].as_u64().unwrap();
    assert!(completed > 0 && completed < 1_500, "{ended}");
    assert_eq!(fleet.result_lines("a", &ended).await.unwrap().len() as u64, completed);
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(fleet.targets.sends.lock().unwrap().values().sum::<u32>(), sends);
}

/// Guards against items that are retried without limit.
#[tokio::test(start_paused = true)]
async fn failing_item_ends_after_three_attempts() {
    let fleet = Fleet::new(6, BatchOptions::default());
    fleet.targets.fail.store(true, Ordering::Relaxed);
    let job = fleet.submit_job("a", MODEL, 2).await;
    let ended = fleet.wait_ended("a", &job, 60).await;
    let lines = fleet.result_lines("a", &ended).await.unwrap();
    assert_eq!(lines.len(), 2);
    assert_eq!(lines[0]["error"]["code"], "6006");
    assert!(lines[0]["error"]["message"].as_str().unwrap().contains("reset"));
    // The connection was reset after the request was sent, so "not-run" would be wrong.
    assert_eq!(lines[0]["error"]["outcome"], "unknown");
    assert!(fleet.targets.sends.lock().unwrap().values().all(|sends| *sends == 3));
}

/// Submits a job while the reply to the write of its record is lost. Returns whether the job exists
/// although it was refused as "not run".
async fn refused_job_exists(options: BatchOptions) -> bool {
    let fleet = Fleet::new(7, options);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (_, file) = fleet.upload("a", &input(MODEL, 2)).await;
    *fleet.faults.drop_replies.lock().unwrap() = Some("batch/job/");
    let (status, _) = fleet.submit("a", file["id"].as_str().unwrap(), MODEL, None).await;
    *fleet.faults.drop_replies.lock().unwrap() = None;
    tokio::time::sleep(Duration::from_secs(30)).await;
    let (_, page) = fleet.get("a", "/v1/batches").await;
    let page: serde_json::Value = serde_json::from_slice(&page).unwrap();
    let exists = page["data"].as_array().is_some_and(|jobs| !jobs.is_empty());
    assert_eq!(exists, !fleet.targets.sends.lock().unwrap().is_empty());
    status == 503 && exists
}

/// Guards against "not run" for a write that took effect while its reply was lost.
#[tokio::test(start_paused = true)]
async fn lost_reply_is_read_back() {
    assert!(!refused_job_exists(BatchOptions::default()).await);
    let without = BatchOptions { read_back: false, ..BatchOptions::default() };
    assert!(refused_job_exists(without).await, "the test does not detect a missing read-back");
}

/// Guards against a job that is reported as not existing and runs later: the write of its record gets
/// no reply and takes effect after a read that does not find it.
#[tokio::test(start_paused = true)]
async fn a_job_that_is_written_late_is_accepted() {
    let fleet = Fleet::new(7, BatchOptions::default());
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (_, file) = fleet.upload("a", &input(MODEL, 2)).await;
    let late = ("batch/job/", Duration::from_secs(5));
    *fleet.faults.write_late.lock().unwrap() = Some(late);
    let (status, body) = fleet.submit("a", file["id"].as_str().unwrap(), MODEL, None).await;
    tokio::time::sleep(Duration::from_secs(30)).await;
    let (_, page) = fleet.get("a", "/v1/batches").await;
    let page: serde_json::Value = serde_json::from_slice(&page).unwrap();
    assert_eq!(page["data"].as_array().map(Vec::len), Some(1));
    assert_eq!(status, 200, "{body}");
}

/// Returns the number of claims for account `a` among the first twelve. Account `a` has three times
/// the weight of `b`.
async fn heavy_account_claims(options: BatchOptions) -> usize {
    let options = BatchOptions { max_segments: 1, ..options };
    let fleet = Fleet::new(9, options);
    fleet.set_weights(&[("a", 3.0), ("b", 1.0)]);
    let heavy = fleet.submit_job("a", MODEL, 10 * 500).await;
    fleet.submit_job("b", MODEL, 10 * 500).await;
    while fleet.segment_records().len() < 24 {
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let claims = fleet
        .segment_records()
        .into_iter()
        .filter(|(_, record)| record.state == SegmentState::Claimed);
    claims.take(12).filter(|(key, _)| key.contains(&heavy)).count()
}

/// Guards against a choice of segments that ignores the account weights.
#[tokio::test(start_paused = true)]
async fn segments_are_shared_by_weight() {
    assert!(heavy_account_claims(BatchOptions::default()).await >= 8);
    let without = BatchOptions { weights: false, ..BatchOptions::default() };
    assert!(heavy_account_claims(without).await < 8, "the test does not detect missing weights");
}

/// Guards against items whose identifier finds no record, and against records for each step of each
/// item.
#[tokio::test(start_paused = true)]
async fn item_records_are_limited() {
    let fleet = Fleet::new(10, BatchOptions::default());
    let job = fleet.submit_job("a", MODEL, 1_100).await;
    fleet.wait_ended("a", &job, 600).await;
    // One summary for each of three segments, and two records of its first item.
    assert_eq!(fleet.records().len(), 3 * 3);
    fleet.targets.fail.store(true, Ordering::Relaxed);
    let job = fleet.submit_job("a", MODEL, 40).await;
    let ended = fleet.wait_ended("a", &job, 600).await;
    let records = fleet.records().split_off(9);
    let in_full =
        records.iter().filter(|record| matches!(record.decision, Decision::AttemptFailed { .. }));
    assert_eq!(in_full.count(), 3 * 32);
    for line in fleet.result_lines("a", &ended).await.unwrap() {
        let custom = line["custom_id"].as_str().unwrap();
        let digest = hex::encode(&Sha256::digest(custom.as_bytes())[..8]);
        let id = format!("batch_req_{job}_{digest}");
        assert_eq!(line["id"], id);
        let about = records.iter().filter(|record| record.request.as_str() == id);
        let ends = about.filter(|record| {
            matches!(&record.decision, Decision::ItemEnded { custom_id, code: 6006, attempts: 3, .. }
                if custom_id.as_deref() == Some(custom))
        });
        assert_eq!(ends.count(), 1, "{id}");
    }
}

/// Guards against items past their latest start time that are not sent as urgent.
#[tokio::test(start_paused = true)]
async fn late_items_are_urgent() {
    for (hours, wanted) in [(4, 0), (25, 5)] {
        let urgent_margin = Duration::from_secs(hours * 3600);
        let fleet = Fleet::new(15, BatchOptions { urgent_margin, ..BatchOptions::default() });
        let job = fleet.submit_job("a", MODEL, 5).await;
        fleet.wait_ended("a", &job, 60).await;
        assert_eq!(fleet.targets.urgent.load(Ordering::Relaxed), wanted);
    }
}

/// Guards against callers that hold a connection open with a body that never ends.
#[tokio::test(start_paused = true)]
async fn stalled_bodies_are_refused() {
    let fleet = Fleet::new(16, BatchOptions::default());
    let field = "--XX\r\ncontent-disposition: form-data; name=\"purpose\"\r\n\r\nbat";
    let file = "--XX\r\ncontent-disposition: form-data; name=\"file\"\r\n\r\n{\"cus";
    for (path, start) in [("files", ""), ("files", field), ("files", file), ("batches", "{")] {
        let first = futures::stream::iter([Ok::<_, std::io::Error>(start.to_owned())]);
        let body = Body::from_stream(first.chain(futures::stream::pending()));
        let request = axum::http::Request::post(format!("/v1/{path}"))
            .header("content-type", "multipart/form-data; boundary=XX")
            .body(body)
            .unwrap();
        let call = fleet.call("a", request);
        let (status, body) = tokio::time::timeout(Duration::from_secs(600), call).await.unwrap();
        assert_eq!(status, 408, "{path} {start}: {body:?}");
    }
}
