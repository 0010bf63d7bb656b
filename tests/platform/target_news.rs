//! News of leaving targets and withdrawn keys that reach an instance late.

use std::time::Duration;

use sesamewall_platform_standin::RawTarget;
use sesamewall_platform_standin::Step;
use sesamewall_platform_standin::configuration;
use sesamewall_platform_standin::target_entry;
use sesamewall_platform_standin::with_cold_time;

use crate::fixture::PROPAGATION_TIME;
use crate::fixture::TestFleet;
use crate::fixture::wait_until;

/// Time within which a target that says that it leaves gets no new requests, by the settings of the
/// fleet.
const DRAIN_TIME: Duration = Duration::from_millis(2000);

/// Time within which a configuration is in force, by the settings of the fleet.
const CONFIGURATION_TIME: Duration = Duration::from_millis(2000);

/// Time within which a failure domain that is taken out of service gets no new requests.
const EVACUATION_TIME: Duration = Duration::from_millis(5000);

/// Gaps in the history of the store in a test.
const GAPS: u64 = 4;

/// Time between two watches of the targets, with a margin.
const WATCH_INTERVAL: Duration = Duration::from_millis(800);

/// Time within which an instance reads the store if it does not wait.
const READ_TIME: Duration = Duration::from_millis(250);

/// Time in which an instance notices that its watches were cut.
const CUT_TIME: Duration = Duration::from_millis(30);

/// Time for which watches hear nothing before they are cut.
const DEAF_TIME: Duration = Duration::from_millis(1100);

/// Time after which a target that has refused a request may get the next one.
const BACKOFF_TIME: Duration = Duration::from_millis(300);

/// Guards against requests to a leaving target from a member whose hub has the news and sends
/// datagrams, but does not answer the call that fetches the news.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_gets_no_requests_while_the_hubs_do_not_answer() {
    let fleet = TestFleet::start_member().await;
    let hubs = fleet.hubs.as_ref().expect("hubs");
    let first = fleet.chat(0, "/talk/x", "id-0").await.expect("a response");
    assert_eq!(first.status, 200);
    assert_eq!(fleet.targets[0].requests().len(), 1, "the local target comes first");
    hubs.set_hanging(true);
    fleet.store.put("servers/t1", &target_entry(fleet.targets[0].address, "a", true));
    hubs.read(&fleet.store);
    tokio::time::sleep(DRAIN_TIME).await;
    for n in 1..7 {
        let response = fleet.chat(0, "/talk/x", &format!("id-{n}")).await.expect("a response");
        assert_eq!(response.status, 200);
    }
    assert_eq!(fleet.targets[0].requests().len(), 1, "a leaving target got requests");
}

/// Starts a fleet whose fronts all watch the store, and sends a first request, which the target in
/// failure domain `a` answers.
async fn start_watching_fleet(fronts: usize) -> TestFleet {
    let fleet = TestFleet::start(fronts, 0).await;
    let first = fleet.chat(0, "/talk/x", "id-0").await.expect("a response");
    assert_eq!(first.status, 200);
    assert_eq!(fleet.targets[0].requests().len(), 1, "the local target comes first");
    fleet
}

/// Sends requests and returns how many of them reached the target in failure domain `a`.
async fn count_at_first_target(fleet: &TestFleet) -> usize {
    let before = fleet.targets[0].requests().len();
    for n in 1..7 {
        let response = fleet.chat(0, "/talk/x", &format!("id-{n}")).await.expect("a response");
        assert_eq!(response.status, 200);
    }
    fleet.targets[0].requests().len() - before
}

/// Guards against requests to a leaving target while the watches of the store hear nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_gets_no_requests_while_watches_hear_nothing() {
    let fleet = start_watching_fleet(2).await;
    fleet.store.set_deaf(true);
    fleet.store.put("servers/t1", &target_entry(fleet.targets[0].address, "a", true));
    tokio::time::sleep(DRAIN_TIME).await;
    assert_eq!(count_at_first_target(&fleet).await, 0, "a leaving target got requests");
}

/// Guards against requests to an evacuated failure domain while the watches of the store hear
/// nothing.
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_domain_gets_no_requests_while_watches_hear_nothing() {
    let fleet = start_watching_fleet(2).await;
    fleet.store.set_deaf(true);
    fleet.store.put("op/evacuate/a", &serde_json::json!({}));
    tokio::time::sleep(EVACUATION_TIME).await;
    assert_eq!(count_at_first_target(&fleet).await, 0, "an evacuated target got requests");
}

/// Guards against requests with a withdrawn key while the watches of the store hear nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_stops_working_while_watches_hear_nothing() {
    let fleet = start_watching_fleet(2).await;
    fleet.store.set_deaf(true);
    let mut next = configuration(2, 1000.0, 1000.0);
    next["tenants"][0]["apiKeys"] = serde_json::json!(["key-2"]);
    fleet.store.put("op/config", &next);
    tokio::time::sleep(CONFIGURATION_TIME).await;
    for n in 0..2 {
        let response = fleet.chat(n, "/talk/x", "id-1").await.expect("a response");
        assert_eq!(response.status, 401, "a request ran with a withdrawn key");
    }
}

/// Guards against an instance that waits before it reads the store after a gap in the history.
#[tokio::test(flavor = "multi_thread")]
async fn the_store_is_read_at_once_after_a_gap_in_its_history() {
    let fleet = start_watching_fleet(1).await;
    for round in 1..=GAPS {
        fleet.store.put("op/config", &configuration(round + 1, 1000.0, 1000.0));
        tokio::time::sleep(WATCH_INTERVAL).await;
        fleet.store.set_deaf(true);
        fleet.store.put("op/other", &serde_json::json!({}));
        fleet.store.put("servers/t1", &target_entry(fleet.targets[0].address, "a", false));
        fleet.store.compact();
        fleet.store.set_deaf(false);
        fleet.store.cut_watches();
        tokio::time::sleep(DRAIN_TIME).await;
    }
    let times = fleet.store.gap_times();
    assert!(times.len() >= GAPS as usize, "{times:?}");
    assert!(times.iter().all(|time| *time < READ_TIME), "{times:?}");
}

/// Guards against requests to a target whose entry is removed while watches that are cut look like an
/// outage of the store, around which entries of live targets expire.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_leaves_while_watches_are_cut_gets_no_requests() {
    for deaf_time in [DEAF_TIME, Duration::ZERO] {
        let fleet = start_watching_fleet(1).await;
        if deaf_time.is_zero() {
            fleet.store.cut_watches();
            tokio::time::sleep(CUT_TIME).await;
        }
        fleet.store.set_deaf(!deaf_time.is_zero());
        fleet.store.remove("servers/t1");
        tokio::time::sleep(deaf_time).await;
        fleet.store.compact();
        fleet.store.set_deaf(false);
        fleet.store.cut_watches();
        tokio::time::sleep(DRAIN_TIME - deaf_time).await;
        assert_eq!(count_at_first_target(&fleet).await, 0, "a target that has left got requests");
    }
}

/// Sends requests to a front that is suspended, applies `change` meanwhile, and returns the statuses
/// of the responses once it runs again.
async fn send_during_pause(fleet: &TestFleet, change: impl FnOnce()) -> Vec<Option<u16>> {
    let first = fleet.chat(0, "/talk/x", "id-0").await.expect("a response");
    assert_eq!(first.status, 200);
    assert_eq!(fleet.targets[0].requests().len(), 1, "the local target comes first");
    fleet.fronts[0].signal("STOP");
    change();
    if let Some(hubs) = &fleet.hubs {
        hubs.read(&fleet.store);
    }
    let ids: Vec<_> = (1..7).map(|n| format!("id-{n}")).collect();
    let requests = ids.iter().map(|id| fleet.chat(0, "/talk/x", id));
    let wake = async {
        tokio::time::sleep(DRAIN_TIME).await;
        fleet.fronts[0].signal("CONT");
    };
    let (responses, ()) = tokio::join!(futures::future::join_all(requests), wake);
    responses.iter().map(|response| response.as_ref().map(|response| response.status)).collect()
}

/// Guards against requests that waited at a paused instance and are sent, once it runs again, to a
/// target that began to leave during the pause.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_waited_are_not_sent_to_a_target_that_left_meanwhile() {
    for fleet in [TestFleet::start(2, 0).await, TestFleet::start_member().await] {
        let leave = || {
            fleet.store.put("servers/t1", &target_entry(fleet.targets[0].address, "a", true));
        };
        assert_eq!(send_during_pause(&fleet, leave).await, [Some(200); 6]);
        assert_eq!(fleet.targets[0].requests().len(), 1, "a leaving target got requests");
    }
}

/// Guards against requests that waited at a paused instance and are sent, once it runs again, with
/// a key that was withdrawn during the pause.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_waited_are_refused_if_their_key_was_withdrawn_meanwhile() {
    for fleet in [TestFleet::start(2, 0).await, TestFleet::start_member().await] {
        let withdraw = || {
            let mut next = configuration(2, 1000.0, 1000.0);
            next["tenants"][0]["apiKeys"] = serde_json::json!(["key-2"]);
            fleet.store.put("op/config", &next);
        };
        let statuses = send_during_pause(&fleet, withdraw).await;
        assert_eq!(statuses, [Some(401); 6], "requests ran with a withdrawn key");
    }
}

/// Guards against requests to a target that says in its answers that it leaves, while its entry in
/// the store does not say so, is removed and written again, or changes in other fields.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_says_in_an_answer_that_it_leaves_gets_no_further_requests() {
    for refuses in [false, true] {
        let fleet = TestFleet::start(1, 0).await;
        let target = &fleet.targets[0];
        target.set_leaving(true);
        target.set_full(refuses);
        let first = fleet.chat(0, "/talk/x", "id-0").await.expect("a response");
        assert_eq!(first.status, 200);
        target.set_full(false);
        let before = target.requests().len();
        let mut entry = target_entry(target.address, "a", false);
        for round in 0..3 {
            for n in 0..4 {
                let id = format!("id-{round}-{n}");
                let response = fleet.chat(0, "/talk/x", &id).await.expect("a response");
                assert_eq!(response.status, 200);
            }
            assert_eq!(target.requests().len(), before, "a leaving target got requests");
            match round {
                0 => fleet.store.remove("servers/t1"),
                _ => entry = with_cold_time(entry, 100),
            }
            tokio::time::sleep(PROPAGATION_TIME).await;
            fleet.store.put("servers/t1", &entry);
            tokio::time::sleep(PROPAGATION_TIME).await;
        }
        target.set_leaving(false);
        entry["born"] = 2.into();
        fleet.store.put("servers/t1", &entry);
        let is_used = || async {
            fleet.chat(0, "/talk/x", "id-new").await;
            target.requests().len() > before
        };
        assert!(wait_until(is_used).await, "a new start of the target gets no requests");
    }
}

/// Guards against requests to a target that said in a refusal without the request's id that it
/// leaves.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_says_in_an_unnamed_refusal_that_it_leaves_gets_no_further_requests() {
    let fleet = TestFleet::start(1, 0).await;
    let target = RawTarget::start(|_, _| {
        vec![Step::text(
            "HTTP/1.1 503 Service Unavailable\r\nsesamewall-not-run: 1\r\nserver-leaving: 1\r\n\
             content-length: 0\r\n\r\n",
        )]
    })
    .await;
    fleet.replace("t1", target.address).await;
    for n in 0..4 {
        let response = fleet.chat(0, "/talk/x", &format!("id-{n}")).await.expect("a response");
        assert_eq!(response.status, 200);
        tokio::time::sleep(BACKOFF_TIME).await;
    }
    assert_eq!(target.request_ids(), ["id-0"], "a leaving target got requests");
}
