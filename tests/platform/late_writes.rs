//! Writes that the store executes after their callers have given up.

use std::time::Duration;
use std::time::Instant;

use sesamewall_platform_standin::LateWrites;

use crate::fixture::TestFleet;
use crate::fixture::wait_until;

/// Time from the arrival of a late write to its execution.
const LATE_DELAY: Duration = Duration::from_millis(8000);

/// Time before the execution at which the claim holder is suspended. Its lease has ended by then.
const HOLDER_STOP: Duration = Duration::from_millis(3400);

/// Time before the execution at which the sender of the late write is suspended. Its lease lasts
/// until after the execution.
const SENDER_STOP: Duration = Duration::from_millis(1400);

/// Interval between two looks at the store.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Returns the index of the worker that has claimed a job.
fn claim_holder(fleet: &TestFleet, job: &str) -> Option<usize> {
    let claim = fleet.claim(job)?;
    Some(usize::from(String::from_utf8_lossy(&claim).starts_with("worker-2")))
}

/// Guards against items that nobody runs: a claim takes effect after its worker has learned of
/// another worker's claim and has dropped the job, and at a time when the other claim is gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_runs_although_a_claim_took_effect_after_its_worker_dropped_the_job() {
    let fleet = TestFleet::start(1, 2).await;
    for target in &fleet.targets {
        target.set_event_interval(Duration::from_millis(500));
    }
    let items: Vec<String> = (0..60).map(|n| format!("item{n:02}")).collect();
    let response = fleet.client.submit(fleet.fronts[0].caller_address(), "job1", &items).await;
    assert_eq!(response.expect("a response").status, 202);
    assert!(wait_until(|| async { claim_holder(&fleet, "job1").is_some() }).await);
    let first = claim_holder(&fleet, "job1").expect("claimed");
    let (holder, sender) = (&fleet.workers[first], &fleet.workers[1 - first]);
    // By now both workers watch for jobs to adopt.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let late = LateWrites { key_end: "/claim".into(), delay: LATE_DELAY, count: u32::MAX };
    fleet.store.write_late(Some(late));
    holder.signal("STOP");
    while fleet.store.late_arrivals() == 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let execution = Instant::now() + LATE_DELAY;
    sender.signal("STOP");
    fleet.store.write_late(None);
    holder.signal("CONT");
    assert!(wait_until(|| async { claim_holder(&fleet, "job1") == Some(first) }).await);
    sender.signal("CONT");
    tokio::time::sleep_until((execution - HOLDER_STOP).into()).await;
    holder.signal("STOP");
    tokio::time::sleep_until((execution - SENDER_STOP).into()).await;
    sender.signal("STOP");
    assert!(wait_until(|| async { claim_holder(&fleet, "job1") == Some(1 - first) }).await);
    sender.signal("CONT");
    holder.signal("CONT");
    for target in &fleet.targets {
        target.set_event_interval(Duration::from_millis(5));
    }
    let results = fleet.wait_results(0, "job1", 60).await;
    assert!(results.iter().all(|row| row["state"] == "completed"));
}
