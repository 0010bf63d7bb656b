//! Batch items while targets of two versions serve.

use std::time::Duration;

use sesamewall_platform_standin::StandinTarget;
use sesamewall_platform_standin::TargetRequest;
use sesamewall_platform_standin::target_entry;
use sesamewall_platform_standin::with_cold_time;
use sesamewall_platform_standin::with_version;

use crate::batch::assert_completed;
use crate::batch::items;
use crate::fixture::PROPAGATION_TIME;
use crate::fixture::TestFleet;
use crate::fixture::wait_until;

/// Number of items of the job, of which each of the four targets runs some.
const ITEMS: usize = 16;

/// Interval between events; a whole run takes ten of them.
const EVENT_INTERVAL: Duration = Duration::from_millis(200);

/// Time in which the worker learns of a changed entry, and time after which it retries an item that
/// was broken off.
const NEWS_TIME: Duration = Duration::from_millis(500);

/// Time for which targets are cold, longer than the test takes.
const COLD_MILLIS: u64 = 30_000;

/// Starts a fleet with a worker and the targets `t1` and `t2` of version `v1`, and `t3` and `t4` of
/// version `v2`.
async fn start() -> (TestFleet, Vec<StandinTarget>) {
    let fleet = TestFleet::start(1, 1).await;
    let mut new = Vec::new();
    for (name, domain) in [("t3", "a"), ("t4", "b")] {
        let target = StandinTarget::start(name).await;
        let entry = with_version(target_entry(target.address, domain, false), "v2");
        fleet.store.put(&format!("servers/{name}"), &entry);
        new.push(target);
    }
    for target in fleet.targets.iter().chain(&new) {
        target.set_event_interval(EVENT_INTERVAL);
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    (fleet, new)
}

/// Submits a job and waits until each target runs items, and has written events of them.
async fn submit(fleet: &TestFleet, new: &[StandinTarget]) {
    let front = fleet.fronts[0].caller_address();
    let accepted = fleet.client.submit(front, "job1", &items(ITEMS)).await;
    assert_eq!(accepted.expect("a response").status, 202);
    let all_run =
        || async { fleet.targets.iter().chain(new).all(|target| !target.requests().is_empty()) };
    assert!(wait_until(all_run).await, "a target runs no item");
    tokio::time::sleep(EVENT_INTERVAL * 3).await;
}

/// Checks that each run that goes on after an event follows one that began at a target of the same
/// version. Returns the number of these runs.
fn assert_one_version(old: &[StandinTarget], new: &[StandinTarget]) -> usize {
    let of_side = |targets: &[StandinTarget], version| {
        let requests = targets.iter().flat_map(StandinTarget::requests);
        requests.map(move |request| (request.received_at, version, request)).collect::<Vec<_>>()
    };
    let mut runs = [of_side(old, "v1"), of_side(new, "v2")].concat();
    runs.sort_by_key(|(at, _, _)| *at);
    let mut resumed = 0;
    for (n, (_, version, run)) in runs.iter().enumerate() {
        let after = run.header("last-event-id");
        if after.is_empty() {
            continue;
        }
        resumed += 1;
        let is_first = |first: &TargetRequest| {
            first.path == run.path && first.header("last-event-id").is_empty()
        };
        let mut before = runs[..n].iter().rev();
        let began = before.find(|(_, _, first)| is_first(first)).map(|(_, version, _)| *version);
        assert_eq!(began, Some(*version), "{} goes on after event {after}", run.path);
    }
    resumed
}

/// Guards against an output that joins the events of two versions: an item that is broken off goes
/// on at the other target of its version, although targets of the other version have free slots.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_item_goes_on_at_a_target_of_its_version() {
    let (fleet, new) = start().await;
    submit(&fleet, &new).await;
    fleet.targets[0].crash();
    new[0].crash();
    assert_completed(&fleet.wait_results(0, "job1", ITEMS).await, ITEMS);
    let resumed = assert_one_version(&fleet.targets, &new);
    assert!(resumed > 0, "all items started again although their versions have targets");
}

/// Guards against items that go on elsewhere or wait for ever once their version has no target.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_restarts_when_its_version_has_no_target() {
    let (fleet, new) = start().await;
    submit(&fleet, &new).await;
    for target in &new {
        fleet.store.remove(&format!("servers/{}", target.name));
    }
    tokio::time::sleep(EVENT_INTERVAL).await;
    let begun = new.iter().map(|target| target.completed_streams()).sum::<usize>();
    assert_eq!(begun, 0, "the items are complete too early for this test");
    for target in &new {
        target.crash();
    }
    assert_completed(&fleet.wait_results(0, "job1", ITEMS).await, ITEMS);
    assert_one_version(&fleet.targets, &new);
}

/// Guards against items that never end since the targets of their version refuse them.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_restarts_when_its_version_refuses_it() {
    let (fleet, new) = start().await;
    submit(&fleet, &new).await;
    for target in &new {
        target.set_full(true);
        target.crash();
    }
    assert_completed(&fleet.wait_results(0, "job1", ITEMS).await, ITEMS);
    assert_one_version(&fleet.targets, &new);
}

/// Guards against items that wait for those which are due earlier and wait for a place at their
/// version: there are free slots at the other one.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_that_waits_for_its_version_blocks_no_other() {
    let (fleet, new) = start().await;
    submit(&fleet, &new).await;
    // Cold targets get no items.
    for (target, domain) in new.iter().zip(["a", "b"]) {
        let entry = with_version(target_entry(target.address, domain, false), "v2");
        fleet.store.put(&format!("servers/{}", target.name), &with_cold_time(entry, COLD_MILLIS));
    }
    tokio::time::sleep(NEWS_TIME).await;
    for target in &new {
        target.crash();
    }
    tokio::time::sleep(NEWS_TIME).await;
    let front = fleet.fronts[0].caller_address();
    let accepted = fleet.client.submit(front, "job2", &["later".to_owned()]).await;
    assert_eq!(accepted.expect("a response").status, 202);
    fleet.wait_results(0, "job1", ITEMS).await;
    let mut runs: Vec<_> = fleet.targets.iter().flat_map(StandinTarget::requests).collect();
    runs.sort_by_key(|run| run.received_at);
    let later = runs.iter().position(|run| run.path.ends_with("later")).expect("a run");
    let is_restart = |run: &&TargetRequest| {
        let at_new = new.iter().flat_map(StandinTarget::requests);
        at_new.into_iter().any(|before| before.path == run.path)
    };
    let restart = runs.iter().position(|run| is_restart(&run)).expect("a restart");
    assert!(later < restart, "the new item waited until the others had restarted");
}
