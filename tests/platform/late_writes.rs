//! Writes that the store executes after their callers have given up.

use std::time::Duration;

use sesamewall_platform_standin::HeldWrites;
use sesamewall_platform_standin::configuration;

use crate::fixture::PROPAGATION_TIME;
use crate::fixture::TestFleet;
use crate::fixture::wait_until;

/// Time in which both workers begin to watch for jobs to adopt.
const WATCH_START: Duration = Duration::from_millis(1500);

/// Time in which a worker that gets replies again learns who has claimed a job.
const CLAIM_TIME: Duration = Duration::from_millis(3000);

/// Time in which all attempts to write an acceptance have ended.
const GIVE_UP_TIME: Duration = Duration::from_secs(22);

/// Returns the index of the worker that has claimed a job.
fn claim_holder(fleet: &TestFleet, job: &str) -> Option<usize> {
    let claim = fleet.claim(job)?;
    Some(usize::from(String::from_utf8_lossy(&claim).starts_with("worker-2")))
}

/// Guards against items that nobody runs: a claim takes effect after its worker has learned of
/// another worker's claim and has dropped the job, and when the other claim has just ended.
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
    tokio::time::sleep(WATCH_START).await;
    // The front relays calls of the sender.
    let instances = vec![sender.ip(), fleet.fronts[0].ip()];
    fleet.store.hold_writes(Some(HeldWrites { key_end: "/claim".into(), instances }));
    holder.signal("STOP");
    assert!(wait_until(|| async { fleet.store.held_count() > 0 }).await);
    holder.signal("CONT");
    assert!(wait_until(|| async { claim_holder(&fleet, "job1") == Some(first) }).await);
    fleet.store.hold_writes(None);
    tokio::time::sleep(CLAIM_TIME).await;
    fleet.store.release_held();
    holder.signal("STOP");
    assert!(wait_until(|| async { claim_holder(&fleet, "job1") == Some(1 - first) }).await);
    holder.signal("CONT");
    for target in &fleet.targets {
        target.set_event_interval(Duration::from_millis(5));
    }
    let results = fleet.wait_results(0, "job1", 60).await;
    assert!(results.iter().all(|row| row["state"] == "completed"));
}

/// Guards against a job that gets 504 again and again on a route with a limit, because its worker
/// counts it as long as the result of its first acceptance is unknown.
#[tokio::test(flavor = "multi_thread")]
async fn a_resent_job_is_accepted_after_its_first_acceptance_got_no_reply() {
    let fleet = TestFleet::start(1, 1).await;
    let mut configuration = configuration(2, 1000.0, 1000.0);
    configuration["routes"][4]["maxQueued"] = 1_000_000.into();
    fleet.store.put("op/config", &configuration);
    tokio::time::sleep(PROPAGATION_TIME).await;
    let instances = vec![fleet.fronts[0].ip(), fleet.workers[0].ip()];
    fleet.store.hold_writes(Some(HeldWrites { key_end: "/claim".into(), instances }));
    let submit = || async {
        let front = fleet.fronts[0].caller_address();
        let response = fleet.client.submit(front, "job1", &["item00".to_owned()]).await;
        response.map(|response| response.status)
    };
    assert!(wait_until(|| async { submit().await == Some(504) }).await);
    assert!(fleet.store.held_count() > 0);
    tokio::time::sleep(GIVE_UP_TIME).await;
    fleet.store.hold_writes(None);
    assert!(wait_until(|| async { submit().await == Some(202) }).await);
    assert_eq!(fleet.wait_results(0, "job1", 1).await[0]["state"], "completed");
}
