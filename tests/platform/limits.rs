//! Limits that hold over all instances together.

use std::time::Duration;
use std::time::Instant;

use sesamewall_platform_standin::StandinTarget;
use sesamewall_platform_standin::TargetRequest;
use sesamewall_platform_standin::configuration;
use sesamewall_platform_standin::target_entry;

use crate::fixture::TestFleet;
use crate::fixture::wait_until;

fn received_requests(fleet: &TestFleet) -> Vec<TargetRequest> {
    fleet.targets.iter().flat_map(StandinTarget::requests).collect()
}

/// Sends `count` requests at once, distributed in turn over all fronts, and returns their statuses.
async fn send_burst(fleet: &TestFleet, name: &str, count: usize) -> Vec<u16> {
    let calls = (0..count).map(|index| async move {
        let (path, id) = (format!("/talk/{name}{index}"), format!("{name}-{index}"));
        let response = fleet.chat(index % fleet.fronts.len(), &path, &id).await;
        response.map_or(0, |response| response.status)
    });
    futures::future::join_all(calls).await
}

/// Returns the largest number of requests that arrived within `window`.
fn max_in_window(requests: &[TargetRequest], window: Duration) -> usize {
    let within = |from: Instant| {
        requests
            .iter()
            .filter(|run| run.received_at >= from && run.received_at.duration_since(from) < window)
            .count()
    };
    requests.iter().map(|run| within(run.received_at)).max().unwrap_or_default()
}

/// Guards against an account that gets its rate and burst from each instance: three fronts together
/// stay within the platform's limit and serve what the account is entitled to.
#[tokio::test(flavor = "multi_thread")]
async fn an_account_rate_holds_over_all_fronts() {
    let fleet = TestFleet::start(3, 0).await;
    fleet.store.put("op/config", &configuration(2, 10.0, 10.0));
    tokio::time::sleep(Duration::from_secs(3)).await;
    let mut statuses = Vec::new();
    for round in 0..4 {
        statuses.extend(send_burst(&fleet, &format!("r{round}"), 60).await);
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let limit = ((10.0 * 5.0 + 10.0) * 1.1 + 20.0) as usize;
    let peak = max_in_window(&received_requests(&fleet), Duration::from_secs(5));
    assert!((10..=limit).contains(&peak), "{peak} in a window, limit {limit}");
    assert!(statuses.iter().all(|status| [200, 429].contains(status)), "{statuses:?}");
}

/// Guards against more starts than a cold target sustains, summed over two fronts that send a
/// burst.
#[tokio::test(flavor = "multi_thread")]
async fn a_burst_stays_within_the_start_rate_of_cold_targets() {
    let fleet = TestFleet::start(2, 0).await;
    for round in 0..3 {
        send_burst(&fleet, &format!("r{round}"), 60).await;
    }
    let limit = (17.0 * 1.5 + 5.0) as usize;
    for target in &fleet.targets {
        let peak = max_in_window(&target.requests(), Duration::from_secs(1));
        assert!((1..=limit).contains(&peak), "{}: {peak} in a second, limit {limit}", target.name);
    }
}

/// Guards against work for an evacuated failure domain from any front, and against a domain that
/// stays evacuated after the operators ended the evacuation.
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_failure_domain_gets_no_requests() {
    let fleet = TestFleet::start(2, 0).await;
    fleet.store.put("op/evacuate/b", &serde_json::json!({}));
    // The platform allows five seconds; the watch delivers the change within one.
    tokio::time::sleep(Duration::from_secs(2)).await;
    // Slow enough that all requests are under way at once: as many as the other target has slots.
    fleet.targets[0].set_event_interval(Duration::from_millis(100));
    assert!(send_burst(&fleet, "out", 8).await.iter().all(|status| *status == 200));
    assert!(fleet.targets[1].requests().is_empty());
    fleet.store.remove("op/evacuate/b");
    let back = || async {
        fleet.chat(1, "/talk/back", "back-1").await;
        !fleet.targets[1].requests().is_empty()
    };
    assert!(wait_until(back).await);
}

/// Guards against more runs than the route allows, and against a second target that gets more time
/// than remains.
#[tokio::test(flavor = "multi_thread")]
async fn a_retry_counts_against_attempts_and_deadline() {
    let mut fleet = TestFleet::start(1, 0).await;
    let third = StandinTarget::start("t3").await;
    fleet.store.put("servers/t3", &target_entry(third.address, "a", false));
    fleet.targets.push(third);
    tokio::time::sleep(Duration::from_secs(2)).await;
    for target in &fleet.targets {
        target.set_event_interval(Duration::from_millis(100));
        target.cut_after(Some(7));
    }
    let response = fleet.chat(0, "/talk/x", "id-1").await.expect("a response");
    // The second run is cut as well: the stand-in cuts it after its first event.
    assert_eq!((response.status, response.body), (200, None));
    let mut requests = received_requests(&fleet);
    requests.sort_by_key(|run| run.received_at);
    assert_eq!(requests.len(), 2, "the route allows two runs");
    let deadline_ms = |run: &TargetRequest| -> u64 {
        run.header("sesamewall-deadline-ms").parse().expect("a number")
    };
    let between =
        requests[1].received_at.duration_since(requests[0].received_at).as_millis() as u64;
    // The platform's limit, in milliseconds, for a request that is sent a second time.
    let slack = 500;
    assert!(
        deadline_ms(&requests[1]) + between <= deadline_ms(&requests[0]) + slack,
        "after {between} ms"
    );
}

/// Guards against a stalled target that keeps callers waiting past their route's timeout.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_response_ends_at_the_route_timeout() {
    let fleet = TestFleet::start(1, 0).await;
    for target in &fleet.targets {
        target.stall_after(Some((3, Duration::from_secs(60))));
    }
    // The client gives up after ten seconds and would return nothing; the route's timeout is five.
    let response = fleet.chat(0, "/once/x", "id-1").await.expect("a response");
    assert_eq!((response.status, response.body), (200, None));
}

/// Guards against false rate refusals after all instances were restarted at once: no instance knows
/// the level of the account's bucket, and callers are served as soon as the instances have received
/// each other's datagrams.
#[tokio::test(flavor = "multi_thread")]
async fn a_restart_of_all_fronts_causes_no_rate_refusals() {
    let mut fleet = TestFleet::start(3, 0).await;
    fleet.store.put("op/config", &configuration(2, 20.0, 20.0));
    tokio::time::sleep(Duration::from_secs(2)).await;
    for front in &mut fleet.fronts {
        front.kill();
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    for front in &mut fleet.fronts {
        front.restart();
    }
    // The first requests arrive before the instances have received each other's datagrams.
    let fleet = &fleet;
    let calls = (0..3).map(|n| async move {
        loop {
            match fleet.chat(n, "/talk/x", "id-1").await.map(|response| response.status) {
                Some(200) => return,
                Some(429) => panic!("front {n} refused a request within the rate"),
                _ => tokio::time::sleep(Duration::from_millis(1)).await,
            }
        }
    });
    let served = futures::future::join_all(calls);
    tokio::time::timeout(Duration::from_secs(20), served).await.expect("all fronts serve");
}
