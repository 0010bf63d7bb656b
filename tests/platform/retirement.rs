//! Retirement of workers: an operator asks for it, and may take it back.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use sesamewall_platform_standin::LateWrites;

use crate::batch::assert_completed;
use crate::batch::items;
use crate::fixture::TestFleet;
use crate::fixture::wait_until;

/// Time within which all instances know of a change by the operators, and have acted on it.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Outage that is longer than the lease of a worker and than a few attempts to reach the store.
const LONG_OUTAGE: Duration = Duration::from_secs(10);

/// Delay of late writes: longer than the lease of a process that was killed.
const LATE_DELAY: Duration = Duration::from_secs(5);

/// Time after which items run again that were preempted right after their start.
const START_TIME: Duration = Duration::from_millis(500);

/// Time after which a retiring worker preempts its items soon, and a time within which it has tried
/// to release its claims then.
const DRAIN_TIME: Duration = Duration::from_millis(1500);
const STEP_TIME: Duration = Duration::from_millis(700);

/// Seeds of the random run, and the steps of each.
const SEEDS: Range<u64> = 0..1;
const STEPS: usize = 24;

/// The value that tells the operators that a machine is empty.
const COMPLETED: &[u8] = br#"{"state":"completed"}"#;

/// Time in which the instances receive each other's datagrams.
const CONTACT_TIME: Duration = Duration::from_secs(2);

/// Starts a fleet, and waits until its instances know each other.
async fn start(fronts: usize, workers: usize) -> TestFleet {
    let fleet = TestFleet::start(fronts, workers).await;
    tokio::time::sleep(CONTACT_TIME).await;
    fleet
}

fn status_key(name: &str) -> String {
    format!("status/retire/{name}")
}

fn ask(fleet: &TestFleet, name: &str) {
    fleet.store.put(&format!("op/retire/{name}"), &serde_json::json!({ "periodS": 10 }));
}

fn take_back(fleet: &TestFleet, name: &str) {
    fleet.store.remove(&format!("op/retire/{name}"));
}

fn is_reported(fleet: &TestFleet, name: &str) -> bool {
    fleet.store.value(&status_key(name)).is_some_and(|value| value == COMPLETED)
}

async fn wait_reported(fleet: &TestFleet, name: &str, reported: bool) {
    let is_so = || async { is_reported(fleet, name) == reported };
    assert!(wait_until(is_so).await, "the status of {name} has to be {reported}");
}

fn set_event_interval(fleet: &TestFleet, interval: Duration) {
    for target in &fleet.targets {
        target.set_event_interval(interval);
    }
}

/// Submits a job of `count` items, and returns the worker that has claimed it once targets run
/// items of it.
async fn submit(fleet: &TestFleet, job: &str, count: usize) -> usize {
    let front = fleet.fronts[0].caller_address();
    let is_accepted = || async {
        let response = fleet.client.submit(front, job, &items(count)).await;
        response.is_some_and(|response| response.status == 202)
    };
    assert!(wait_until(is_accepted).await, "{job} is not accepted");
    assert!(wait_until(|| async { fleet.claim_holder(job).is_some() }).await);
    assert!(wait_until(|| async { !runs(fleet).is_empty() }).await);
    fleet.claim_holder(job).expect("claimed")
}

/// Returns how often the targets got each item.
fn runs(fleet: &TestFleet) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for request in fleet.targets.iter().flat_map(|target| target.requests()) {
        *runs.entry(request.path).or_default() += 1;
    }
    runs
}

/// Guards against open jobs that nobody runs: a worker that is retiring and goes on renewing its
/// lease keeps the claims on them.
#[tokio::test(flavor = "multi_thread")]
async fn a_retiring_worker_that_keeps_running_hands_its_jobs_over() {
    let fleet = start(1, 2).await;
    set_event_interval(&fleet, Duration::from_millis(150));
    let holder = submit(&fleet, "job1", 60).await;
    let name = fleet.workers[holder].name();
    ask(&fleet, name);
    wait_reported(&fleet, name, true).await;
    assert_ne!(fleet.claim_holder("job1"), Some(holder), "an empty machine holds a claim");
    set_event_interval(&fleet, Duration::from_millis(5));
    assert_completed(&fleet.wait_results(0, "job1", 60).await, 60);
}

/// Guards against results that are lost when the machine is removed right after the report: the
/// write of a finished item's result has no reply yet.
#[tokio::test(flavor = "multi_thread")]
async fn a_retirement_is_reported_after_the_results_are_stored() {
    let mut fleet = start(1, 2).await;
    set_event_interval(&fleet, Duration::from_millis(100));
    let late = LateWrites { key_end: "/job1/000000".to_owned(), delay: LATE_DELAY, count: 4 };
    fleet.store.write_late(Some(late));
    let holder = submit(&fleet, "job1", 8).await;
    let name = fleet.workers[holder].name().to_owned();
    ask(&fleet, &name);
    wait_reported(&fleet, &name, true).await;
    fleet.workers[holder].kill();
    assert_completed(&fleet.wait_results(0, "job1", 8).await, 8);
    let repeated: Vec<_> = runs(&fleet).into_iter().filter(|(_, count)| *count > 1).collect();
    assert!(repeated.is_empty(), "finished items ran again: {repeated:?}");
}

/// Guards against a worker that never serves again after its retirement was taken back, and against
/// a report that stays in the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_serves_again_after_its_retirement_was_taken_back() {
    let mut fleet = start(1, 2).await;
    set_event_interval(&fleet, Duration::from_millis(20));
    for round in 0..2 {
        let retired = fleet.workers[0].name();
        ask(&fleet, retired);
        wait_reported(&fleet, retired, true).await;
        take_back(&fleet, retired);
        wait_reported(&fleet, retired, false).await;
        if round == 0 {
            fleet.workers[1].kill();
        }
        let job = format!("job{round}");
        assert_eq!(submit(&fleet, &job, 4).await, 0);
        assert_completed(&fleet.wait_results(0, &job, 4).await, 4);
    }
}

/// Guards against a retirement that is never reported because the attempts end before an outage of
/// the store does, and against running items that it loses.
#[tokio::test(flavor = "multi_thread")]
async fn a_retirement_asked_before_a_long_store_outage_is_reported_after_it() {
    let fleet = start(1, 2).await;
    set_event_interval(&fleet, Duration::from_millis(300));
    let holder = submit(&fleet, "job1", 24).await;
    tokio::time::sleep(START_TIME).await;
    let name = fleet.workers[holder].name();
    ask(&fleet, name);
    tokio::time::sleep(Duration::from_millis(600)).await;
    fleet.store.set_down(true);
    tokio::time::sleep(LONG_OUTAGE).await;
    assert!(!is_reported(&fleet, name), "reported too soon for this test");
    fleet.store.set_down(false);
    set_event_interval(&fleet, Duration::from_millis(5));
    wait_reported(&fleet, name, true).await;
    assert_completed(&fleet.wait_results(0, "job1", 24).await, 24);
}

/// Guards against a machine that works while its status says that it is empty: the write of the
/// status takes effect after the retirement was taken back.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_report_of_a_retirement_that_was_taken_back_does_not_stand() {
    let fleet = start(1, 2).await;
    let name = fleet.workers[0].name();
    let late = LateWrites { key_end: status_key(name), delay: LATE_DELAY, count: u32::MAX };
    fleet.store.write_late(Some(late));
    ask(&fleet, name);
    tokio::time::sleep(LATE_DELAY / 2).await;
    take_back(&fleet, name);
    fleet.store.write_late(None);
    tokio::time::sleep(LATE_DELAY + SETTLE_TIME).await;
    assert!(!is_reported(&fleet, name), "a machine that works is reported as empty");
}

/// Guards against a worker that does not learn that its retirement was taken back, since the store
/// dropped the history of that change.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_learns_that_its_retirement_was_taken_back_without_the_history() {
    let mut fleet = start(1, 2).await;
    set_event_interval(&fleet, Duration::from_millis(20));
    let name = fleet.workers[0].name();
    ask(&fleet, name);
    wait_reported(&fleet, name, true).await;
    tokio::time::sleep(SETTLE_TIME).await;
    fleet.store.set_down(true);
    take_back(&fleet, name);
    fleet.store.compact();
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.store.set_down(false);
    wait_reported(&fleet, name, false).await;
    fleet.workers[1].kill();
    assert_eq!(submit(&fleet, "job1", 4).await, 0);
    assert_completed(&fleet.wait_results(0, "job1", 4).await, 4);
}

/// Guards against the status of a machine that is down: nobody reports that it is empty, or removes
/// the report after the retirement was taken back.
#[tokio::test(flavor = "multi_thread")]
async fn the_retirement_of_a_stopped_worker_is_reported_and_taken_back() {
    let mut fleet = start(1, 2).await;
    let name = fleet.workers[0].name().to_owned();
    fleet.workers[0].kill();
    ask(&fleet, &name);
    wait_reported(&fleet, &name, true).await;
    take_back(&fleet, &name);
    wait_reported(&fleet, &name, false).await;
}

/// Guards against a front that stops serving, or is removed, because an operator named it in a
/// retirement.
#[tokio::test(flavor = "multi_thread")]
async fn a_front_named_in_a_retirement_goes_on_serving() {
    let fleet = start(2, 1).await;
    let name = fleet.fronts[0].name();
    ask(&fleet, name);
    tokio::time::sleep(SETTLE_TIME).await;
    assert!(fleet.wait_ready(0, 200).await, "a front that is no worker cannot retire");
    let response = fleet.chat(0, "/talk/x", "r1").await.expect("a response");
    assert_eq!(response.status, 200);
    assert!(!response.headers.contains_key("connection"), "the front closes its connections");
    assert!(!is_reported(&fleet, name), "a front that serves is reported as empty");
}

/// Guards against a worker that takes jobs after a restart although its retirement stands.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_restarts_during_its_retirement_stays_retired() {
    let mut fleet = start(1, 2).await;
    set_event_interval(&fleet, Duration::from_millis(20));
    let name = fleet.workers[0].name().to_owned();
    ask(&fleet, &name);
    wait_reported(&fleet, &name, true).await;
    fleet.workers[0].kill();
    fleet.workers[0].restart();
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(submit(&fleet, "job1", 4).await, 1);
    assert_completed(&fleet.wait_results(0, "job1", 4).await, 4);
    wait_reported(&fleet, &name, true).await;
}

/// Guards against a job that nobody runs because a late write gives its claim to a worker that is
/// already reported as empty.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_claim_of_a_retired_worker_is_released() {
    let fleet = start(1, 2).await;
    set_event_interval(&fleet, Duration::from_millis(300));
    let holder = submit(&fleet, "job1", 40).await;
    let claim = fleet.claim("job1").expect("claimed");
    let name = fleet.workers[holder].name();
    ask(&fleet, name);
    wait_reported(&fleet, name, true).await;
    let is_adopted = || async { fleet.claim_holder("job1") == Some(1 - holder) };
    assert!(wait_until(is_adopted).await, "the other worker has to adopt the job");
    let key = fleet.store_keys("sesamewall/job/", "/job1/claim").pop().expect("claimed");
    fleet.store.put_bytes(&key, &claim);
    set_event_interval(&fleet, Duration::from_millis(5));
    assert_completed(&fleet.wait_results(0, "job1", 40).await, 40);
}

/// Guards against a job that its worker forgets although it holds the claim: the retirement is taken
/// back while the release of the claim has no known result.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_not_forgotten_when_a_retirement_is_taken_back_during_the_release() {
    for is_done in [false, true] {
        let fleet = start(1, 1).await;
        set_event_interval(&fleet, Duration::from_millis(300));
        submit(&fleet, "job1", 24).await;
        let name = fleet.workers[0].name();
        ask(&fleet, name);
        tokio::time::sleep(DRAIN_TIME).await;
        match is_done {
            true => fleet.store.drop_replies(u32::MAX),
            false => fleet.store.refuse_writes(true),
        }
        tokio::time::sleep(STEP_TIME).await;
        assert!(!is_reported(&fleet, name), "reported too soon for this test");
        take_back(&fleet, name);
        tokio::time::sleep(STEP_TIME).await;
        fleet.store.drop_replies(0);
        fleet.store.refuse_writes(false);
        set_event_interval(&fleet, Duration::from_millis(5));
        assert_completed(&fleet.wait_results(0, "job1", 24).await, 24);
    }
}

/// Guards against jobs that nobody runs after retirements that were asked for and taken back in
/// turn, with lost replies, outages and a suspended worker in between.
#[tokio::test(flavor = "multi_thread")]
async fn no_job_is_lost_while_retirements_are_asked_and_taken_back_in_turn() {
    for seed in SEEDS {
        let fleet = start(2, 3).await;
        set_event_interval(&fleet, Duration::from_millis(30));
        let mut state = seed.wrapping_mul(2_654_435_761) + 1;
        let mut draw = |count: u64| {
            // Constants of Knuth's MMIX generator; the upper bits are the better ones.
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            (state >> 33) % count
        };
        let mut jobs = Vec::new();
        for step in 0..STEPS {
            let worker = &fleet.workers[draw(3) as usize];
            match draw(10) {
                0..3 => ask(&fleet, worker.name()),
                3..6 => take_back(&fleet, worker.name()),
                6 => fleet.store.drop_replies(draw(6) as u32),
                7 => fleet.store.set_down(true),
                8 => fleet.store.compact(),
                _ => worker.signal("STOP"),
            }
            let job = format!("job{step}");
            let front = fleet.fronts[draw(2) as usize].caller_address();
            let response = fleet.client.submit(front, &job, &items(4)).await;
            if response.is_some_and(|response| response.status == 202) {
                jobs.push(job);
            }
            tokio::time::sleep(Duration::from_millis(100 + draw(800))).await;
            fleet.store.set_down(false);
            worker.signal("CONT");
        }
        fleet.store.drop_replies(0);
        fleet.workers.iter().for_each(|worker| take_back(&fleet, worker.name()));
        assert!(!jobs.is_empty(), "seed {seed}: no job was accepted");
        for job in &jobs {
            assert_completed(&fleet.wait_results(0, job, 4).await, 4);
        }
        for worker in &fleet.workers {
            wait_reported(&fleet, worker.name(), false).await;
        }
    }
}
