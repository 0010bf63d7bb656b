#![allow(clippy::unwrap_used)]

//! Guards against decision records that are lost, duplicated or unlimited in size.

mod support;

use std::io::Write;
use std::time::Duration;

use sesamewall_protocol::DecisionRecord;
use sesamewall_protocol::RequestId;
use sesamewall_server::RecordFiles;
use sesamewall_server::RecordLimits;
use sesamewall_server::RecordQuery;
use support::Fleet;
use support::refusal;

fn record(sequence: u64) -> DecisionRecord {
    DecisionRecord {
        at_ms: 1_000 + sequence,
        instance: "i".into(),
        sequence,
        request: RequestId::from(format!("req_{sequence}")),
        account: Some("acme".into()),
        decision: refusal(),
    }
}

fn sequences(files: &RecordFiles) -> Vec<u64> {
    let found = RecordFiles::scan(&files.paths(), usize::MAX, |_| true);
    found.iter().map(|record| record.sequence).collect()
}

/// Fails when a torn tail hides earlier records or those written after a restart.
#[test]
fn torn_tails_are_cut_off() {
    for torn in [&[1u8, 0][..], &[200, 0, 0, 0, 1, 2, 3, 4, 5], &[255; 64], &[0; 8], &[0; 13]] {
        let folder = tempfile::tempdir().unwrap();
        let mut files = RecordFiles::open(folder.path(), RecordLimits::default()).unwrap();
        files.append(&[record(1), record(2)]).unwrap();
        let path = files.paths().pop().unwrap();
        drop(files);
        let mut file = std::fs::OpenOptions::new().append(true).open(path).unwrap();
        file.write_all(torn).unwrap();
        let mut files = RecordFiles::open(folder.path(), RecordLimits::default()).unwrap();
        assert_eq!(sequences(&files), [1, 2], "{torn:?}");
        files.append(&[record(3)]).unwrap();
        assert_eq!(sequences(&files), [1, 2, 3], "{torn:?}");
    }
}

/// Fails when a damaged frame is served or hides the frames after it.
#[test]
fn damaged_frames_are_skipped() {
    let folder = tempfile::tempdir().unwrap();
    let mut files = RecordFiles::open(folder.path(), RecordLimits::default()).unwrap();
    files.append(&[record(1), record(2), record(3)]).unwrap();
    let path = files.paths().pop().unwrap();
    let mut bytes = std::fs::read(&path).unwrap();
    // The changed text still decodes, so that only the checksum reveals the damage.
    let damaged = bytes.windows(5).position(|part| part == b"req_2").unwrap();
    bytes[damaged + 4] = b'7';
    std::fs::write(&path, &bytes).unwrap();
    assert_eq!(sequences(&files), [1, 3]);
}

/// Fails when the files exceed their limit, or when records other than the oldest are deleted.
#[test]
fn files_keep_the_latest_records_within_their_bound() {
    let folder = tempfile::tempdir().unwrap();
    let limits = RecordLimits { file_bytes: 2_000, total_bytes: 10_000 };
    let mut files = RecordFiles::open(folder.path(), limits).unwrap();
    for sequence in (0..2_000).step_by(10) {
        let batch: Vec<_> = (sequence..sequence + 10).map(record).collect();
        files.append(&batch).unwrap();
        let on_disk: u64 = std::fs::read_dir(folder.path())
            .unwrap()
            .map(|entry| entry.unwrap().metadata().unwrap().len())
            .sum();
        assert!(on_disk <= limits.total_bytes, "{on_disk} bytes");
        assert_eq!(on_disk, files.total_bytes());
    }
    let found = sequences(&files);
    assert!(found.len() > 20, "{found:?}");
    assert_eq!(found, (2_000 - found.len() as u64..2_000).collect::<Vec<_>>());
}

fn all() -> RecordQuery {
    RecordQuery::Refusals { account: None, since_ms: 0, limit: u32::MAX }
}

/// Fails when records exist only at the instance that made the decision, or when duplicates are
/// shown.
#[tokio::test]
async fn records_survive_the_instance_that_decided() {
    let fleet = Fleet::new(&[("a1", "a", false), ("a2", "a", true), ("b1", "b", true)]);
    for request in ["req_1", "req_2"] {
        fleet.contexts[0].recorder.record(&request.into(), Some(&"acme".into()), refusal());
    }
    assert_eq!(fleet.records[2].query(&all()).await.records.len(), 2, "pending records");
    fleet.records[0].flush().await;
    assert_eq!(fleet.records[2].query(&all()).await.records.len(), 2, "stored twice, shown once");
    fleet.disconnect("a1");
    fleet.disconnect("a2");
    let answer = fleet.records[2].query(&all()).await;
    assert_eq!(answer.records.len(), 2);
    assert_eq!(answer.unreachable, ["a1".into(), "a2".into()]);
    let path = RecordQuery::Path { request: "req_2".into() };
    assert_eq!(fleet.records[2].query(&path).await.records.len(), 1);
    let other = RecordQuery::Refusals { account: Some("x".into()), since_ms: 0, limit: 9 };
    assert_eq!(fleet.records[2].query(&other).await.records, []);
}

/// Fails when records are lost while no storage instance can be reached, or are stored twice.
#[tokio::test]
async fn records_wait_for_a_storage_instance() {
    let fleet = Fleet::new(&[("a1", "a", false), ("b1", "b", true)]);
    fleet.disconnect("b1");
    fleet.contexts[0].recorder.record(&"req_1".into(), None, refusal());
    fleet.records[0].flush().await;
    assert_eq!(fleet.records[0].waiting(), (1, 0));
    assert_eq!(fleet.records[0].query(&all()).await.records.len(), 1);
    fleet.reconnect("b1");
    fleet.records[0].flush().await;
    assert_eq!(fleet.records[0].waiting(), (0, 0));
    assert_eq!(fleet.records[1].query(&all()).await.records.len(), 1);
    assert!(fleet.records[1].stored_bytes() > 0);
}

/// Fails when memory grows without limit while no storage instance exists, or when dropped records
/// are not counted.
#[tokio::test]
async fn memory_is_bounded_without_storage_instances() {
    let fleet = Fleet::new(&[("a1", "a", false)]);
    for round in 0..3 {
        for number in 0..40_000 {
            let request = RequestId::from(format!("req_{round}_{number}"));
            fleet.contexts[0].recorder.record(&request, None, refusal());
        }
        fleet.records[0].flush().await;
    }
    let (waiting, dropped) = fleet.records[0].waiting();
    assert_eq!((waiting, dropped), (65_536, 120_000 - 65_536));
    let last = RecordQuery::Path { request: "req_2_39999".into() };
    assert_eq!(fleet.records[0].query(&last).await.records.len(), 1);
}

/// Fails when the service does not send records on its interval, within the loss window of 2 s.
#[tokio::test(start_paused = true)]
async fn records_are_sent_within_the_loss_window() {
    let fleet = Fleet::new(&[("a1", "a", false), ("b1", "b", true), ("c1", "c", true)]);
    let stop = tokio_util::sync::CancellationToken::new();
    let (service, child) = (fleet.records[0].clone(), stop.clone());
    let task = tokio::spawn(async move { service.run(child).await });
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet.contexts[0].recorder.record(&"req_1".into(), None, refusal());
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(fleet.records[0].waiting(), (0, 0));
    assert!(fleet.records[1].stored_bytes() > 0 && fleet.records[2].stored_bytes() > 0);
    fleet.contexts[0].recorder.record(&"req_2".into(), None, refusal());
    stop.cancel();
    task.await.unwrap();
    assert_eq!(fleet.records[0].waiting(), (0, 0), "the last records are sent at shutdown");
}
