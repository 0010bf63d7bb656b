//! Tests of segment claims.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewall_batch::CLAIM_TIMEOUT;
use sesamewall_batch::ClaimTracker;
use sesamewall_batch::Counts;
use sesamewall_batch::JobRecord;
use sesamewall_batch::JobState;
use sesamewall_batch::SegmentChoice;
use sesamewall_batch::SegmentRecord;
use sesamewall_batch::SegmentState;
use sesamewall_batch::WORKER_DEADLINE;
use sesamewall_batch::WorkerLease;
use sesamewall_batch::WorkerRecord;
use sesamewall_batch::choose_segment;
use sesamewall_protocol::Time;

fn job(id: &str, account: &str, due_ms: u64) -> JobRecord {
    JobRecord {
        id: id.into(),
        account: account.into(),
        file: String::new(),
        endpoint: String::new(),
        state: JobState::InProgress,
        expired: false,
        segments: 1,
        counts: Counts::default(),
        work: 0,
        created_ms: 0,
        due_ms,
        cancelling_ms: None,
        ended_ms: None,
        metadata: serde_json::Value::Null,
        keyed: false,
        token: String::new(),
    }
}

fn segment(state: SegmentState) -> SegmentRecord {
    SegmentRecord {
        state,
        holder: "w".into(),
        incarnation: "a".to_owned(),
        fence: 1,
        attempt: 0,
        unread_ms: None,
        blobs: Vec::new(),
        counts: Counts::default(),
        output_bytes: 0,
        error_bytes: 0,
        token: String::new(),
    }
}

fn worker(beat: u64) -> WorkerRecord {
    WorkerRecord { incarnation: "a".to_owned(), beat, renewed_ms: 0 }
}

/// Guards against an account that starves others with many jobs, and against a job that is due
/// first but not chosen first.
#[test]
fn accounts_share_by_work_and_due_time() {
    let mut jobs: Vec<JobRecord> =
        (0..50).map(|n| job(&format!("many{n}"), "a", 1_000 - n)).collect();
    jobs.push(job("one", "b", 9_000));
    let mut tracker = ClaimTracker::default();
    let mut turns = BTreeMap::new();
    for _ in 0..100 {
        let id = tracker.choose_job(jobs.iter().map(|job| (job, true))).unwrap();
        let chosen = jobs.iter().find(|job| job.id == id).unwrap();
        assert!(chosen.account.as_str() == "b" || id.as_str() == "many49", "{id}");
        tracker.charge(&chosen.account, 500.0, 1.0);
        *turns.entry(chosen.account.clone()).or_insert(0) += 1;
    }
    assert_eq!(turns.into_values().collect::<Vec<_>>(), vec![50, 50]);
}

/// Guards against an account that returns after a pause and starves the others.
#[test]
fn returning_account_has_no_credit() {
    let (a, b) = (job("a", "a", 1), job("b", "b", 1));
    let mut tracker = ClaimTracker::default();
    for _ in 0..10 {
        assert_eq!(tracker.choose_job([(&a, true)].into_iter()), Some("a".into()));
        tracker.charge(&a.account, 500.0, 1.0);
    }
    let mut turns = 0;
    for _ in 0..10 {
        let id = tracker.choose_job([(&a, true), (&b, true)].into_iter()).unwrap();
        turns += i32::from(id.as_str() == "b");
        tracker.charge(if id.as_str() == "b" { &b.account } else { &a.account }, 500.0, 1.0);
    }
    assert!((5..=6).contains(&turns), "{turns}");
}

/// Guards against dropping the recorded work of an account while all its segments are claimed.
#[test]
fn waiting_account_keeps_its_work() {
    let (a, b) = (job("a", "a", 1), job("b", "b", 2));
    let mut tracker = ClaimTracker::default();
    tracker.charge(&a.account, 5_000.0, 1.0);
    tracker.charge(&b.account, 500.0, 1.0);
    assert_eq!(tracker.choose_job([(&a, false), (&b, true)].into_iter()), Some("b".into()));
    assert_eq!(tracker.choose_job([(&a, true), (&b, true)].into_iter()), Some("b".into()));
}

/// Guards against a claim that expires while its worker is live, or never expires after its worker
/// was lost.
#[test]
fn claim_expires_by_observer_clock() {
    let mut tracker = ClaimTracker::default();
    let record = segment(SegmentState::Claimed);
    let step = Duration::from_secs(9);
    let mut now = Time::from_millis(5_000_000);
    for beat in 0..5 {
        assert!(!tracker.is_expired(&record, Some(&worker(beat)), now));
        now = now + step;
    }
    assert!(!tracker.is_expired(&record, Some(&worker(4)), now));
    let expiry = now - step + CLAIM_TIMEOUT;
    assert!(tracker.is_expired(&record, Some(&worker(4)), expiry));
    // The claim of a worker that was replaced, or whose record was removed, expires as well.
    let other = WorkerRecord { incarnation: "b".to_owned(), beat: 99, renewed_ms: 0 };
    assert!(tracker.is_expired(&record, Some(&other), expiry));
    assert!(tracker.is_expired(&record, None, expiry));
}

/// Guards against a worker that continues to run items when others may take over its claims.
#[test]
fn worker_stops_before_claims_expire() {
    const { assert!(WORKER_DEADLINE.as_millis() < CLAIM_TIMEOUT.as_millis()) };
    let mut lease = WorkerLease::default();
    assert!(!lease.is_valid(Time::ZERO));
    let start = Time::from_millis(1_000);
    lease.renew(start);
    assert!(lease.is_valid(start + Duration::from_millis(8_999)));
    assert!(!lease.is_valid(start + WORKER_DEADLINE));
    lease.renew(Time::ZERO);
    assert!(lease.is_valid(start + Duration::from_millis(8_999)));
}

/// Guards against new work for a stopping job, and against a job that ends while segments are
/// running.
#[test]
fn stopping_job_takes_only_lost_claims() {
    let mut records = BTreeMap::from([(1, segment(SegmentState::Committed))]);
    assert_eq!(choose_segment(3, false, &records, 1, |_| false), SegmentChoice::Claim(2));
    assert_eq!(choose_segment(3, true, &records, 1, |_| false), SegmentChoice::Ended);
    records.insert(0, segment(SegmentState::Released));
    assert_eq!(choose_segment(3, false, &records, 0, |_| false), SegmentChoice::Claim(0));
    assert_eq!(choose_segment(3, true, &records, 0, |_| false), SegmentChoice::Ended);
    records.insert(2, segment(SegmentState::Claimed));
    assert_eq!(choose_segment(3, true, &records, 1, |_| false), SegmentChoice::AllClaimed);
    assert_eq!(choose_segment(3, true, &records, 1, |_| true), SegmentChoice::Claim(2));
}
