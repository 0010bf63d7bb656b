//! Writes to the store without a reply, and writes that take effect late.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde_json::Value;
use sesamewall_platform_standin::LateWrites;
use sesamewall_platform_standin::StandinTarget;
use sesamewall_platform_standin::configuration;

use crate::fixture::PROPAGATION_TIME;
use crate::fixture::TestFleet;
use crate::fixture::wait_until;

/// Delay of writes that take effect after the end of a test.
const NEVER: Duration = Duration::from_secs(600);

/// Time after which a worker gives up the write of a group of results.
const GROUP_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after which a worker gives up the acceptance of a job on a route with a limit.
const ACCEPTANCE_TIMEOUT: Duration = Duration::from_secs(22);

fn items(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("item{n:02}")).collect()
}

/// Submits a job and waits until a worker has claimed it.
async fn submit(fleet: &TestFleet, job: &str, count: usize) {
    let front = fleet.fronts[0].caller_address();
    let response = fleet.client.submit(front, job, &items(count)).await;
    assert_eq!(response.expect("a response").status, 202);
    assert!(wait_until(|| async { fleet.claim(job).is_some() }).await);
}

/// Guards against an open job that nobody runs: its worker stopped the job for its client, who does
/// not come again, while the store lost the write of the end.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_end_without_a_reply_is_written_again() {
    let fleet = TestFleet::start(1, 1).await;
    for target in &fleet.targets {
        target.set_event_interval(Duration::from_millis(300));
    }
    submit(&fleet, "job1", 40).await;
    let lost = LateWrites { key_end: "/end".to_owned(), delay: NEVER, count: u32::MAX };
    fleet.store.write_late(Some(lost));
    let front = fleet.fronts[0].caller_address();
    let sent = fleet.client.send(front, Method::DELETE, "/lots/job1", "d1", "key-1", Bytes::new());
    assert_eq!(sent.await.expect("a response").status, 504);
    fleet.store.write_late(None);
    let ended = || async { !fleet.store_keys("sesamewall/job/", "/job1/end").is_empty() };
    assert!(wait_until(ended).await, "the store has an open job that its worker has stopped");
}

/// Guards against items that are listed twice, and against positions that change: the first group
/// takes effect after its worker has given it up, and the worker has more results by then.
#[tokio::test(flavor = "multi_thread")]
async fn a_group_that_takes_effect_late_is_listed_once() {
    let fleet = TestFleet::start(2, 1).await;
    for target in &fleet.targets {
        target.set_event_interval(Duration::from_millis(100));
    }
    submit(&fleet, "job1", 40).await;
    let delay = GROUP_TIMEOUT + Duration::from_millis(1500);
    let late = LateWrites { key_end: "/job1/000000".to_owned(), delay, count: u32::MAX };
    fleet.store.write_late(Some(late));
    tokio::time::sleep(GROUP_TIMEOUT).await;
    let stored = || async { !fleet.store_keys("sesamewall/result/", "/job1/000000").is_empty() };
    assert!(wait_until(stored).await);
    fleet.store.write_late(None);
    let mut listed: Vec<Value> = Vec::new();
    let mut front = 0;
    let deadline = tokio::time::Instant::now() + GROUP_TIMEOUT;
    while listed.len() < 40 && tokio::time::Instant::now() < deadline {
        let address = fleet.fronts[front].caller_address();
        let rows = fleet.client.all_results(address, "job1").await.unwrap_or_default();
        let known = rows.len().min(listed.len());
        assert_eq!(rows[..known], listed[..known], "a position has another result than before");
        if rows.len() > listed.len() {
            listed = rows;
        }
        front = 1 - front;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut ids: Vec<String> =
        listed.iter().map(|row| row["id"].as_str().unwrap_or_default().to_owned()).collect();
    ids.sort();
    assert_eq!(ids, items(40), "each item once");
    for row in &listed {
        let path = format!("/jobs/{}", row["id"].as_str().unwrap_or_default());
        assert_eq!(row["output"], StandinTarget::text(&path));
    }
}

/// Guards against a failure domain with fewer hubs: a claim that took effect late names an instance
/// that keeps another record.
#[tokio::test(flavor = "multi_thread")]
async fn a_hub_record_that_its_instance_does_not_keep_is_removed() {
    let fleet = TestFleet::start(1, 0).await;
    let kept = || async { fleet.store.value("sesamewall/hub/a/0").is_some() };
    assert!(wait_until(kept).await);
    let record = fleet.store.value("sesamewall/hub/a/0").expect("a record");
    fleet.store.put_bytes("sesamewall/hub/a/2", &record);
    let removed = || async { fleet.store.value("sesamewall/hub/a/2").is_none() };
    assert!(wait_until(removed).await, "the record stays for as long as its instance lives");
    assert_eq!(fleet.store.value("sesamewall/hub/a/0"), Some(record));
}

/// Guards against rates and limits of cold starts for a fleet of another size, after the write of an
/// earlier size took effect late.
#[tokio::test(flavor = "multi_thread")]
async fn a_size_that_was_written_late_is_replaced() {
    let fleet = TestFleet::start(1, 0).await;
    let has_size = |size: &'static [u8]| {
        let store = fleet.store.clone();
        move || {
            let stored = store.value("sesamewall/hub/a/size");
            async move { stored.as_deref() == Some(size) }
        }
    };
    assert!(wait_until(has_size(b"1 1")).await);
    fleet.store.put_bytes("sesamewall/hub/a/size", b"9 12");
    assert!(wait_until(has_size(b"1 1")).await, "the earlier size stays");
}

/// Guards against an account that is refused for good: the tokens of a job whose acceptance was given
/// up without a reply stay counted, and each repeat of the job waits for that acceptance.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_acceptance_does_not_fill_the_queue_of_its_account() {
    let fleet = TestFleet::start(1, 1).await;
    let mut limited = configuration(2, 1000.0, 1000.0);
    limited["routes"][4]["maxQueued"] = 1000.into();
    fleet.store.put("op/config", &limited);
    tokio::time::sleep(PROPAGATION_TIME).await;
    let front = fleet.fronts[0].caller_address();
    let list = items(9);
    let is_accepted = |job: &'static str, count: usize| {
        let (client, list) = (fleet.client.clone(), list[..count].to_vec());
        move || {
            let (client, list) = (client.clone(), list.clone());
            async move {
                client.submit(front, job, &list).await.is_some_and(|reply| reply.status == 202)
            }
        }
    };
    assert!(wait_until(is_accepted("job0", 1)).await);
    fleet.wait_results(0, "job0", 1).await;
    let lost = LateWrites { key_end: "/claim".to_owned(), delay: NEVER, count: u32::MAX };
    fleet.store.write_late(Some(lost));
    let response = fleet.client.submit(front, "job1", &list).await;
    assert_eq!(response.expect("a response").status, 504);
    tokio::time::sleep(ACCEPTANCE_TIMEOUT).await;
    fleet.store.write_late(None);
    assert!(wait_until(is_accepted("job2", 9)).await, "a job that was never accepted is counted");
    fleet.wait_results(0, "job2", 9).await;
    assert!(wait_until(is_accepted("job1", 9)).await, "the job itself cannot be accepted");
    fleet.wait_results(0, "job1", 9).await;
}

/// Guards against a job that runs after its end: its client ends it before its worker learns that the
/// acceptance took effect.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_was_ended_before_its_acceptance_is_known_does_not_run() {
    let fleet = TestFleet::start(1, 1).await;
    let mut limited = configuration(2, 1000.0, 1000.0);
    limited["routes"][4]["maxQueued"] = 10_000.into();
    fleet.store.put("op/config", &limited);
    tokio::time::sleep(PROPAGATION_TIME).await;
    let front = fleet.fronts[0].caller_address();
    let accepted = || async {
        let response = fleet.client.submit(front, "job0", &["first".to_owned()]).await;
        response.is_some_and(|response| response.status == 202)
    };
    assert!(wait_until(accepted).await);
    fleet.wait_results(0, "job0", 1).await;
    let ran = || fleet.targets.iter().map(|target| target.requests().len()).sum::<usize>();
    let before = ran();
    fleet.store.drop_replies_to(Some("/claim"));
    let response = fleet.client.submit(front, "job1", &items(4)).await;
    assert_eq!(response.expect("a response").status, 504);
    assert!(fleet.claim("job1").is_some());
    let sent = fleet.client.send(front, Method::DELETE, "/lots/job1", "d1", "key-1", Bytes::new());
    assert_eq!(sent.await.expect("a response").status, 200);
    tokio::time::sleep(Duration::from_secs(4)).await;
    fleet.store.drop_replies_to(None);
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(ran(), before, "items of a job that its client has ended");
}
