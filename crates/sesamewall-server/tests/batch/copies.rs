//! Tests of blob copies on disks that are lost or damaged.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use sesamewall_adapters::DataFolder;
use sesamewall_ports::BulkStorage;
use sesamewall_ports::Store;
use sesamewall_server::BatchOptions;

use crate::fleet::Fleet;
use crate::fleet::RETENTION_SECONDS;

const MODEL: &str = "/v1/chat/completions";
const NAMES: [&str; 3] = ["i1", "i2", "i3"];

/// Erases each disk in turn after the job has ended. Returns the violations found before the
/// repair.
async fn lost_disks(options: BatchOptions) -> Vec<String> {
    let fleet = Fleet::new(21, options);
    let job = fleet.submit_job("a", MODEL, 600).await;
    let ended = fleet.wait_ended("a", &job, 600).await;
    let mut violations = Vec::new();
    for name in NAMES {
        fleet.fakes[name].erase();
        violations.extend(fleet.violations(&ended, 600, false).await);
        tokio::time::sleep(Duration::from_secs(60)).await;
    }
    violations
}

/// Guards against results that are lost with one disk, and against copies that are not restored.
#[tokio::test(start_paused = true)]
async fn results_survive_disk_loss() {
    assert_eq!(lost_disks(BatchOptions::default()).await, Vec::<String>::new());
    let without = BatchOptions { copies: 1, ..BatchOptions::default() };
    assert!(!lost_disks(without).await.is_empty(), "the test does not detect a missing copy");
}

/// Erases the disk of one copy of the input as soon as the job is accepted.
async fn lost_input(options: BatchOptions) -> Vec<String> {
    let fleet = Fleet::new(26, options);
    let job = fleet.submit_job("a", MODEL, 40).await;
    let mut lost = None;
    for name in NAMES {
        if !fleet.bulks[name].list().await.unwrap().is_empty() {
            lost = Some(name);
        }
    }
    fleet.fakes[lost.unwrap()].erase();
    let ended = fleet.wait_ended("a", &job, 600).await;
    fleet.violations(&ended, 40, false).await
}

/// Guards against a job that is accepted before its input is on two disks.
#[tokio::test(start_paused = true)]
async fn accepted_input_survives_disk_loss() {
    assert_eq!(lost_input(BatchOptions::default()).await, Vec::<String>::new());
    let without = BatchOptions { copies: 1, ..BatchOptions::default() };
    assert!(!lost_input(without).await.is_empty(), "the test does not detect a missing copy");
}

/// Erases each disk in turn right after a job was accepted, and stops all instances with it as a
/// power loss does.
async fn lost_disk_and_power(options: BatchOptions) -> Vec<String> {
    let mut violations = Vec::new();
    for lost in NAMES {
        let mut fleet = Fleet::new(27, options.clone());
        let job = fleet.submit_job("a", MODEL, 40).await;
        for name in NAMES {
            fleet.kill(name);
        }
        fleet.fakes[lost].erase();
        tokio::time::sleep(Duration::from_secs(2)).await;
        for name in NAMES {
            fleet.start(name);
        }
        let ended = fleet.wait_ended("a", &job, 1_800).await;
        violations.extend(fleet.violations(&ended, 40, false).await);
    }
    violations
}

/// Guards against accepted work that is lost when a disk is lost while all machines lose power.
#[tokio::test(start_paused = true)]
async fn accepted_input_survives_disk_and_power_loss() {
    assert_eq!(lost_disk_and_power(BatchOptions::default()).await, Vec::<String>::new());
    let without = BatchOptions { copies: 1, ..BatchOptions::default() };
    assert!(
        !lost_disk_and_power(without).await.is_empty(),
        "the test does not detect a missing copy"
    );
}

/// Guards against a lost instance whose copies are never replaced.
#[tokio::test(start_paused = true)]
async fn lost_instance_is_replaced() {
    let mut fleet = Fleet::new(22, BatchOptions::default());
    let job = fleet.submit_job("a", MODEL, 600).await;
    let ended = fleet.wait_ended("a", &job, 600).await;
    fleet.kill("i1");
    tokio::time::sleep(Duration::from_secs(60)).await;
    for name in ["i2", "i3"] {
        let blobs = fleet.bulks[name].list().await.unwrap();
        assert!(blobs.iter().any(|blob| blob.starts_with("f.")), "{name}: {blobs:?}");
        assert!(blobs.iter().filter(|blob| blob.starts_with("r.")).count() >= 2, "{blobs:?}");
    }
    fleet.fakes["i2"].erase();
    assert_eq!(fleet.violations(&ended, 600, false).await, Vec::<String>::new());
}

/// Flips one byte in the middle of each file of a folder and returns the number of files.
fn damage(folder: &Path) -> usize {
    let mut files = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let mut bytes = std::fs::read(&path).unwrap();
        let middle = bytes.len() / 2;
        bytes[middle] ^= 0x10;
        std::fs::write(&path, bytes).unwrap();
        files += 1;
    }
    files
}

/// Guards against damaged bytes that reach a caller, and against damage that is not repaired.
#[tokio::test(start_paused = true)]
async fn damaged_copies_are_repaired() {
    let folder = tempfile::tempdir().unwrap();
    let bulks: BTreeMap<_, _> = NAMES
        .iter()
        .map(|name| {
            let bulk = DataFolder::open(folder.path().join(name)).unwrap();
            (*name, Arc::new(bulk) as Arc<dyn BulkStorage>)
        })
        .collect();
    let fleet = Fleet::with_bulks(23, BatchOptions::default(), bulks, BTreeMap::new());
    let job = fleet.submit_job("a", MODEL, 600).await;
    let ended = fleet.wait_ended("a", &job, 600).await;
    let mut damaged = 0;
    for name in NAMES {
        damaged += damage(&folder.path().join(name));
        assert_eq!(fleet.violations(&ended, 600, false).await, Vec::<String>::new(), "{name}");
        tokio::time::sleep(Duration::from_secs(30)).await;
    }
    assert!(damaged >= 6, "{damaged}");
}

/// Guards against results that are removed before or kept after their retention.
#[tokio::test(start_paused = true)]
async fn results_are_removed_after_their_retention() {
    let fleet = Fleet::new(24, BatchOptions::default());
    let job = fleet.submit_job("a", MODEL, 5).await;
    let ended = fleet.wait_ended("a", &job, 60).await;
    let content = format!("/v1/files/{}/content", ended["output_file_id"].as_str().unwrap());
    tokio::time::sleep(Duration::from_secs(RETENTION_SECONDS - 120)).await;
    assert_eq!(fleet.get("a", &content).await.0, 200);
    tokio::time::sleep(Duration::from_secs(120)).await;
    assert_eq!(fleet.get("a", &content).await.0, 404);
    // Input files are kept for the longest run time of a job beyond that, and blobs that no record
    // names for an hour.
    tokio::time::sleep(Duration::from_secs(27 * 3600)).await;
    for name in NAMES {
        assert_eq!(fleet.bulks[name].list().await.unwrap(), Vec::<String>::new(), "{name}");
    }
}

/// Erases all disks after a job and kills one instance. Returns the records that remain after the
/// retention.
async fn remaining_records(options: BatchOptions) -> Vec<String> {
    let mut fleet = Fleet::new(27, options);
    let job = fleet.submit_job("a", MODEL, 5).await;
    assert_eq!(fleet.wait_ended("a", &job, 60).await["status"], "completed");
    for name in NAMES {
        fleet.fakes[name].erase();
    }
    fleet.kill("i3");
    tokio::time::sleep(Duration::from_secs(RETENTION_SECONDS + 26 * 3600)).await;
    let entries = fleet.store.list("batch/", "", 100).await.unwrap();
    let live = ["batch/worker/i1", "batch/worker/i2"];
    let left = entries.into_iter().map(|entry| entry.key);
    left.filter(|key| !live.contains(&key.as_str())).collect()
}

/// Guards against records that no blob refers to and that are never removed.
#[tokio::test(start_paused = true)]
async fn records_without_blobs_are_removed() {
    assert_eq!(remaining_records(BatchOptions::default()).await, Vec::<String>::new());
    let without = BatchOptions { sweep: false, ..BatchOptions::default() };
    assert!(
        !remaining_records(without).await.is_empty(),
        "the test does not detect remaining records"
    );
}

/// Erases the input on all disks. Returns the job 20 minutes later with its lines.
async fn unread_input(options: BatchOptions) -> (Value, Vec<Value>) {
    let fleet = Fleet::new(28, options);
    let job = fleet.submit_job("a", MODEL, 40).await;
    for name in NAMES {
        fleet.fakes[name].erase();
    }
    let ended = fleet.wait_ended("a", &job, 1_200).await;
    let lines = fleet.result_lines("a", &ended).await.unwrap();
    (ended, lines)
}

/// Guards against a job that never ends because all copies of its input are lost.
#[tokio::test(start_paused = true)]
async fn job_with_lost_input_ends() {
    let unread_limit = Duration::from_secs(600);
    let options = BatchOptions { unread_limit, ..BatchOptions::default() };
    let (ended, lines) = unread_input(options).await;
    assert_eq!((&ended["status"], lines.len()), (&"completed".into(), 40), "{ended}");
    for line in lines {
        let error = &line["error"];
        assert_eq!((&error["code"], &error["outcome"]), (&"6008".into(), &"not-run".into()));
    }
    let without = BatchOptions { unread_limit: Duration::MAX, ..BatchOptions::default() };
    let (ended, _) = unread_input(without).await;
    assert_eq!(ended["status"], "in_progress", "the test does not detect a missing limit");
}

/// Kills both storage instances of a running segment's results and cancels the job. Returns the job
/// ten minutes later with its lines.
async fn unread_results(options: BatchOptions) -> (Value, Vec<Value>) {
    let mut fleet = Fleet::new(29, options);
    let job = fleet.submit_job("a", "/plain/charge", 100).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    for holder in &fleet.segment_records()[0].1.blobs[0].holders {
        fleet.kill(holder.as_str());
    }
    assert_eq!(fleet.post("a", &format!("/v1/batches/{job}/cancel")).await, 200);
    let ended = fleet.wait_ended("a", &job, 600).await;
    let lines = fleet.result_lines("a", &ended).await.unwrap();
    (ended, lines)
}

/// Guards against a cancelled job that never ends because its results cannot be read, and against
/// "not run" for items that may have run.
#[tokio::test(start_paused = true)]
async fn cancelled_job_with_lost_results_ends() {
    let (ended, lines) = unread_results(BatchOptions::default()).await;
    assert_eq!((&ended["status"], lines.len()), (&"cancelled".into(), 100), "{ended}");
    for line in lines {
        let error = &line["error"];
        assert_eq!((&error["code"], &error["outcome"]), (&"6007".into(), &"unknown".into()));
    }
    let without = BatchOptions { unread_limit_stopping: Duration::MAX, ..BatchOptions::default() };
    let (ended, _) = unread_results(without).await;
    assert_eq!(ended["status"], "cancelling", "the test does not detect a missing limit");
}
