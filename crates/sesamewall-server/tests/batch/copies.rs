//! Tests of copies on disks that are lost or damaged.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use sesamewall_adapters::DataFolder;
use sesamewall_ports::BulkStorage;
use sesamewall_server::BatchOptions;

use crate::fleet::Fleet;
use crate::fleet::RETENTION_SECONDS;

const MODEL: &str = "/v1/chat/completions";
const NAMES: [&str; 3] = ["i1", "i2", "i3"];

/// Loses each disk in turn after the job has ended and returns the breaches seen before repair.
async fn lost_disks(options: BatchOptions) -> Vec<String> {
    let fleet = Fleet::new(21, options);
    let job = fleet.job("a", MODEL, 600).await;
    let ended = fleet.wait("a", &job, 600).await;
    let mut breaches = Vec::new();
    for name in NAMES {
        fleet.fakes[name].lose();
        breaches.extend(fleet.breaches(&ended, 600, false).await);
        tokio::time::sleep(Duration::from_secs(60)).await;
    }
    breaches
}

/// Guards against results that are lost with one disk, and against copies that are not restored.
#[tokio::test(start_paused = true)]
async fn results_outlive_each_disk() {
    assert_eq!(lost_disks(BatchOptions::default()).await, Vec::<String>::new());
    let without = BatchOptions { copies: 1, ..BatchOptions::default() };
    assert!(!lost_disks(without).await.is_empty(), "the check does not notice a missing copy");
}

/// Loses the disk of one holder of the input as soon as the job is accepted.
async fn lost_input(options: BatchOptions) -> Vec<String> {
    let fleet = Fleet::new(26, options);
    let job = fleet.job("a", MODEL, 40).await;
    let mut lost = None;
    for name in NAMES {
        if !fleet.bulks[name].list().await.unwrap().is_empty() {
            lost = Some(name);
        }
    }
    fleet.fakes[lost.unwrap()].lose();
    let ended = fleet.wait("a", &job, 600).await;
    fleet.breaches(&ended, 40, false).await
}

/// Guards against a job that is accepted before its input is on two disks.
#[tokio::test(start_paused = true)]
async fn accepted_input_outlives_a_disk() {
    assert_eq!(lost_input(BatchOptions::default()).await, Vec::<String>::new());
    let without = BatchOptions { copies: 1, ..BatchOptions::default() };
    assert!(!lost_input(without).await.is_empty(), "the check does not notice a missing copy");
}

/// Guards against a lost instance whose copies are never made again.
#[tokio::test(start_paused = true)]
async fn lost_instance_is_replaced() {
    let mut fleet = Fleet::new(22, BatchOptions::default());
    let job = fleet.job("a", MODEL, 600).await;
    let ended = fleet.wait("a", &job, 600).await;
    fleet.kill("i1");
    tokio::time::sleep(Duration::from_secs(60)).await;
    for name in ["i2", "i3"] {
        let blobs = fleet.bulks[name].list().await.unwrap();
        assert!(blobs.iter().any(|blob| blob.starts_with("f.")), "{name}: {blobs:?}");
        assert!(blobs.iter().filter(|blob| blob.starts_with("r.")).count() >= 2, "{blobs:?}");
    }
    fleet.fakes["i2"].lose();
    assert_eq!(fleet.breaches(&ended, 600, false).await, Vec::<String>::new());
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
    let job = fleet.job("a", MODEL, 600).await;
    let ended = fleet.wait("a", &job, 600).await;
    let mut damaged = 0;
    for name in NAMES {
        damaged += damage(&folder.path().join(name));
        assert_eq!(fleet.breaches(&ended, 600, false).await, Vec::<String>::new(), "{name}");
        tokio::time::sleep(Duration::from_secs(30)).await;
    }
    assert!(damaged >= 6, "{damaged}");
}

/// Guards against results that are removed before or kept after their retention.
#[tokio::test(start_paused = true)]
async fn results_are_removed_after_their_retention() {
    let fleet = Fleet::new(24, BatchOptions::default());
    let job = fleet.job("a", MODEL, 5).await;
    let ended = fleet.wait("a", &job, 60).await;
    let content = format!("/v1/files/{}/content", ended["output_file_id"].as_str().unwrap());
    tokio::time::sleep(Duration::from_secs(RETENTION_SECONDS - 120)).await;
    assert_eq!(fleet.get("a", &content).await.0, 200);
    tokio::time::sleep(Duration::from_secs(120)).await;
    assert_eq!(fleet.get("a", &content).await.0, 404);
    // Input files are kept for the longest run of a job more, and blobs without record an hour.
    tokio::time::sleep(Duration::from_secs(27 * 3600)).await;
    for name in NAMES {
        assert_eq!(fleet.bulks[name].list().await.unwrap(), Vec::<String>::new(), "{name}");
    }
}
