//! Tests of the caller API.

use axum::body::Body;
use sesamewall_server::BatchOptions;

use crate::fleet::Fleet;
use crate::fleet::input;

const MODEL: &str = "/v1/chat/completions";

/// Guards against a broken path from upload to output file.
#[tokio::test(start_paused = true)]
async fn job_runs_from_upload_to_output() {
    let fleet = Fleet::new(1, BatchOptions::default());
    let job = fleet.job("a", MODEL, 1_100).await;
    let ended = fleet.wait("a", &job, 600).await;
    assert_eq!(ended["request_counts"]["completed"], 1_100, "{ended}");
    assert_eq!(fleet.breaches(&ended, 1_100, true).await, Vec::<String>::new());
}

/// Guards against store writes for each item: a segment takes one claim and one commit. The rest is
/// worker renewals and the records of the file and the job.
#[tokio::test(start_paused = true)]
async fn segment_takes_two_writes() {
    let fleet = Fleet::new(8, BatchOptions::default());
    let (_, before) = fleet.store.calls();
    let job = fleet.job("a", MODEL, 20 * 500).await;
    let start = tokio::time::Instant::now();
    let ended = fleet.wait("a", &job, 3_600).await;
    assert_eq!(ended["status"], "completed");
    assert_eq!(fleet.segment_writes(), 2 * 20);
    let renewals = 3 * (start.elapsed().as_secs() / 3 + 2);
    let (_, after) = fleet.store.calls();
    // Ten for the file, the job, its lists and its end; workers may race once for each segment.
    assert!(after - before <= 3 * 20 + renewals + 10, "{} writes", after - before);
}

/// Guards against one account reading another's objects.
#[tokio::test(start_paused = true)]
async fn other_accounts_see_nothing() {
    let fleet = Fleet::new(2, BatchOptions::default());
    let job = fleet.job("a", MODEL, 3).await;
    let ended = fleet.wait("a", &job, 60).await;
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

/// Guards against a resent job that runs twice, and against a reused key for another job.
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

/// Guards against input faults that are found only after the job was accepted.
#[tokio::test(start_paused = true)]
async fn wrong_input_is_refused_with_its_line() {
    let fleet = Fleet::new(4, BatchOptions::default());
    let twice = format!("{}\n{}", input(MODEL, 2), input(MODEL, 1));
    let (status, body) = fleet.upload("a", &twice).await;
    assert_eq!((status, &body["error"]["param"]), (400, &"line 3".into()), "{body}");
    let (status, body) = fleet.upload("a", "").await;
    assert_eq!((status, &body["error"]["code"]), (400, &6001.into()));
}

/// Guards against a cancelled job that goes on, and against lost outcomes of what had completed.
#[tokio::test(start_paused = true)]
async fn cancelled_job_stops() {
    let fleet = Fleet::new(5, BatchOptions::default());
    let job = fleet.job("a", MODEL, 1_500).await;
    tokio::time::sleep(std::time::Duration::from_secs(10)).await;
    let cancel = axum::http::Request::post(format!("/v1/batches/{job}/cancel"));
    let (status, _) = fleet.call("a", cancel.body(Body::empty()).unwrap()).await;
    assert_eq!(status, 200);
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    let sends: u32 = fleet.targets.sends.lock().unwrap().values().sum();
    let ended = fleet.wait("a", &job, 60).await;
    assert_eq!(ended["status"], "cancelled");
    let completed = ended["request_counts"]["completed"].as_u64().unwrap();
    assert!(completed > 0 && completed < 1_500, "{ended}");
    assert_eq!(fleet.lines("a", &ended).await.unwrap().len() as u64, completed);
    tokio::time::sleep(std::time::Duration::from_secs(30)).await;
    assert_eq!(fleet.targets.sends.lock().unwrap().values().sum::<u32>(), sends);
}

/// Guards against items that are run again without end.
#[tokio::test(start_paused = true)]
async fn failing_item_ends_after_three_attempts() {
    let fleet = Fleet::new(6, BatchOptions::default());
    fleet.targets.fail.store(true, std::sync::atomic::Ordering::Relaxed);
    let job = fleet.job("a", MODEL, 2).await;
    let ended = fleet.wait("a", &job, 60).await;
    let lines = fleet.lines("a", &ended).await.unwrap();
    assert_eq!(lines.len(), 2);
    assert_eq!(lines[0]["error"]["code"], "6006");
    assert!(lines[0]["error"]["message"].as_str().unwrap().contains("reset"));
    assert!(fleet.targets.sends.lock().unwrap().values().all(|sends| *sends == 3));
}

/// Submits a job while the answer to the write of its record is lost, and tells whether a job that
/// was refused as "not run" exists all the same.
async fn refused_job_exists(options: BatchOptions) -> bool {
    let fleet = Fleet::new(7, options);
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    let (_, file) = fleet.upload("a", &input(MODEL, 2)).await;
    *fleet.faults.lose.lock().unwrap() = Some("batch/job/");
    let (status, _) = fleet.submit("a", file["id"].as_str().unwrap(), MODEL, None).await;
    *fleet.faults.lose.lock().unwrap() = None;
    tokio::time::sleep(std::time::Duration::from_secs(30)).await;
    let (_, page) = fleet.get("a", "/v1/batches").await;
    let page: serde_json::Value = serde_json::from_slice(&page).unwrap();
    let exists = page["data"].as_array().is_some_and(|jobs| !jobs.is_empty());
    assert_eq!(exists, !fleet.targets.sends.lock().unwrap().is_empty());
    status == 503 && exists
}

/// Guards against "not run" for a write that took effect while its answer was lost.
#[tokio::test(start_paused = true)]
async fn lost_answer_is_read_back() {
    assert!(!refused_job_exists(BatchOptions::default()).await);
    let without = BatchOptions { read_back: false, ..BatchOptions::default() };
    assert!(refused_job_exists(without).await, "the check does not notice a missing read-back");
}
