//! Writes to the store without a reply, and writes that take effect late.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use sesamewall_platform_standin::LateWrites;

use crate::fixture::TestFleet;
use crate::fixture::wait_until;

/// Delay of writes that take effect after the end of a test.
const NEVER: Duration = Duration::from_secs(600);

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
