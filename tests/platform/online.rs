//! Online requests of callers.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use sesamewall_platform_standin::StandinTarget;
use sesamewall_platform_standin::configuration;
use sesamewall_platform_standin::target_entry;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::fixture::TestFleet;
use crate::fixture::wait_until;

/// Guards against altered requests and responses: the target receives the caller's request without
/// its key, and the caller gets the complete response.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_forwarded_completely() {
    let fleet = TestFleet::start(1, 0).await;
    let response = fleet.chat(0, "/talk/x?y=1", "id-1").await.expect("a response");
    assert_eq!(response.status, 200);
    assert_eq!(response.text(), Some(StandinTarget::text("/talk/x")));
    assert_eq!(response.headers["sesamewall-request-id"], "id-1");
    let requests: Vec<_> = fleet.targets.iter().flat_map(StandinTarget::requests).collect();
    assert_eq!(requests.len(), 1);
    assert_eq!((requests[0].path.as_str(), &requests[0].body[..]), ("/talk/x?y=1", &b"hello"[..]));
    assert_eq!(requests[0].header("authorization"), "");
    assert_eq!(requests[0].header("sesamewall-tenant"), "acme");
    assert_eq!(requests[0].header("sesamewall-model"), "m");
    let remaining: u64 = requests[0].header("sesamewall-deadline-ms").parse().expect("a number");
    assert!((4000..5000).contains(&remaining), "{remaining}");
}

/// Guards against lost or duplicate parts of a stream that its target breaks off in the middle of
/// an event: a resumable stream continues at the other target, any other stream ends incomplete.
#[tokio::test(flavor = "multi_thread")]
async fn only_a_resumable_stream_continues_at_another_target() {
    let fleet = TestFleet::start(1, 0).await;
    fleet.targets[0].cut_after(Some(4));
    let response = fleet.chat(0, "/talk/x", "id-1").await.expect("a response");
    assert_eq!(response.text(), Some(StandinTarget::text("/talk/x")));
    let resumed = fleet.targets[1].requests();
    assert_eq!(resumed.len(), 1, "the target of the local failure domain comes first");
    assert_eq!(resumed[0].header("last-event-id"), "4");
    fleet.targets[1].cut_after(Some(4));
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let response = fleet.chat(0, "/once/x", "id-2").await.expect("a response");
    assert_eq!((response.status, response.body), (200, None));
    let runs = fleet.targets.iter().flat_map(StandinTarget::requests);
    assert_eq!(runs.filter(|run| run.header("sesamewall-request-id") == "id-2").count(), 1);
}

/// Guards against a stream that is ended because its target stalls although no further target may
/// continue it: the second of two targets gets the time that it needs.
#[tokio::test(flavor = "multi_thread")]
async fn the_last_attempt_of_a_stream_is_not_cut_for_a_stall() {
    let fleet = TestFleet::start(1, 0).await;
    for target in &fleet.targets {
        target.stall_after(Some((4, Duration::from_millis(1200))));
    }
    let response = fleet.chat(0, "/talk/x", "id-1").await.expect("a response");
    assert_eq!(response.text(), Some(StandinTarget::text("/talk/x")));
    assert_eq!(fleet.targets[1].requests()[0].header("last-event-id"), "4");
}

/// Guards against a response that belongs to another request, and against a second run of a request
/// that may run only once.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_to_another_request_is_not_forwarded() {
    let fleet = TestFleet::start(1, 0).await;
    for target in &fleet.targets {
        target.corrupt_ids(true);
    }
    let response = fleet.chat(0, "/once/x", "id-1").await.expect("a response");
    assert_eq!(response.status, 502);
    let runs: usize = fleet.targets.iter().map(|target| target.requests().len()).sum();
    assert_eq!(runs, 1);
    fleet.targets[1].corrupt_ids(false);
    let response = fleet.chat(0, "/talk/x", "id-2").await.expect("a response");
    assert_eq!(response.text(), Some(StandinTarget::text("/talk/x")));
}

/// Guards against false refusals: a request that no target ran is refused as not run, with a retry
/// time.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_by_full_targets_has_retry_after() {
    let fleet = TestFleet::start(1, 0).await;
    for target in &fleet.targets {
        target.set_full(true);
    }
    let response = fleet.chat(0, "/once/x", "id-1").await.expect("a response");
    assert_eq!(response.status, 503);
    assert!(response.headers.contains_key("retry-after"));
    assert!(fleet.targets.iter().all(|target| target.requests().is_empty()));
}

/// Guards against a request that is run by another target which reuses the address of the intended
/// one.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_at_a_reused_address_runs_nothing() {
    let fleet = TestFleet::start(1, 0).await;
    // The entry names a target that no longer exists; another one listens at its address.
    let entry = target_entry(fleet.targets[1].address, "a", false);
    fleet.store.put("servers/t9", &entry);
    fleet.store.remove("servers/t1");
    fleet.store.remove("servers/t2");
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let response = fleet.chat(0, "/once/x", "id-1").await.expect("a response");
    assert_eq!(response.status, 503);
    assert!(fleet.targets[1].requests().is_empty());
}

/// Guards against a configuration that does not arrive, a withdrawn key that still works, and
/// unreadable entries.
#[tokio::test(flavor = "multi_thread")]
async fn changes_are_in_force_within_two_seconds() {
    let fleet = TestFleet::start(2, 0).await;
    fleet.store.put_bytes("servers/t7", b"{\"service\": 5");
    fleet.store.put_bytes("op/unknown", b"\xff\xfe");
    let mut next = configuration(2, 1000.0, 1000.0);
    next["tenants"][0]["apiKeys"] = serde_json::json!(["key-2"]);
    fleet.store.put("op/config", &next);
    fleet.store.put("servers/t1", &target_entry(fleet.targets[0].address, "a", true));
    tokio::time::sleep(Duration::from_secs(2)).await;
    for n in 0..2 {
        let response = fleet.chat(n, "/talk/x", "id-1").await.expect("a response");
        assert_eq!(response.status, 401);
        let (front, body) = (fleet.fronts[n].caller_address(), Bytes::new());
        let sent = fleet.client.send(front, Method::POST, "/talk/x", "id-2", "key-2", body);
        assert_eq!(sent.await.expect("a response").status, 200);
    }
    assert!(fleet.targets[0].requests().is_empty(), "a draining target got work");
}

/// Guards against stale instances that the store refuses to serve: they receive updates through
/// their peers.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_the_store_receives_updates_from_peers() {
    let fleet = TestFleet::start(3, 0).await;
    // Time in which the instances receive each other's datagrams.
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.store.rate_limit_from(&[fleet.fronts[0].ip()]);
    let mut next = configuration(5, 1000.0, 1000.0);
    next["tenants"][0]["apiKeys"] = serde_json::json!(["key-5"]);
    fleet.store.put("op/config", &next);
    let refused = || async {
        fleet.chat(0, "/talk/x", "id-1").await.is_some_and(|response| response.status == 401)
    };
    assert!(wait_until(refused).await);
}

/// Guards against requests that are cut by a planned stop: a running stream completes, new requests
/// are served until the load balancer notices, and the process exits by itself.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_aborts_no_requests() {
    let mut fleet = TestFleet::start(1, 0).await;
    for target in &fleet.targets {
        target.set_event_interval(Duration::from_millis(200));
    }
    let front = fleet.fronts[0].caller_address();
    let (client, body) = (fleet.client.clone(), Bytes::from_static(b"hello"));
    let running = tokio::spawn(async move {
        client.send(front, Method::POST, "/talk/x", "id-1", "key-1", body).await
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.fronts[0].terminate();
    assert!(fleet.wait_ready(0, 503).await);
    let response = fleet.chat(0, "/talk/y", "id-2").await.expect("a response");
    assert_eq!(response.text(), Some(StandinTarget::text("/talk/y")));
    let response = running.await.expect("no panic").expect("a response");
    assert_eq!(response.text(), Some(StandinTarget::text("/talk/x")));
    assert!(fleet.fronts[0].wait_exit().await);
}

/// Guards against targets that continue to work for callers that have disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_disconnect_ends_the_run() {
    let fleet = TestFleet::start(1, 0).await;
    for target in &fleet.targets {
        target.set_event_interval(Duration::from_millis(100));
    }
    let sent = fleet.chat(0, "/talk/x", "id-1");
    assert!(tokio::time::timeout(Duration::from_millis(350), sent).await.is_err());
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let started: usize = fleet.targets.iter().map(|target| target.requests().len()).sum();
    let completed: usize = fleet.targets.iter().map(StandinTarget::completed_streams).sum();
    assert_eq!((started, completed), (1, 0));
}

/// Guards against work for a draining target from an instance that the store refuses to serve while
/// it watches the store for its failure domain: it receives the target table from its peers
/// meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_the_store_stops_using_a_draining_target() {
    let fleet = TestFleet::start(3, 0).await;
    // Time in which the instances receive each other's datagrams.
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.store.rate_limit_from(&[fleet.fronts[0].ip()]);
    tokio::time::sleep(Duration::from_millis(1500)).await;
    fleet.store.put("servers/t1", &target_entry(fleet.targets[0].address, "a", true));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = fleet.targets[0].requests().len();
    for n in 0..6 {
        let response = fleet.chat(0, "/talk/x", &format!("id-{n}")).await.expect("a response");
        assert_eq!(response.status, 200);
    }
    assert_eq!(fleet.targets[0].requests().len(), before, "a draining target got work");
}

/// Guards against work for a removed target from instances whose hub was cut off from the store a
/// moment before: the entry did not expire in an outage, since the store served other instances all
/// the while.
#[tokio::test(flavor = "multi_thread")]
async fn a_removed_target_gets_no_requests_after_a_hub_lost_the_store() {
    let fleet = TestFleet::start(3, 0).await;
    // Time in which the instances receive each other's datagrams.
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.store.blackhole(&[fleet.fronts[0].ip()]);
    tokio::time::sleep(Duration::from_millis(3500)).await;
    fleet.store.blackhole(&[]);
    tokio::time::sleep(Duration::from_millis(1200)).await;
    fleet.store.remove("servers/t1");
    tokio::time::sleep(Duration::from_millis(900)).await;
    let before = fleet.targets[0].requests().len();
    for n in 0..12 {
        let response = fleet.chat(n % 3, "/talk/x", &format!("id-{n}")).await.expect("a response");
        assert_eq!(response.status, 200);
    }
    assert_eq!(fleet.targets[0].requests().len(), before, "a removed target got work");
}

/// Guards against callers that keep a request open forever by sending its body byte by byte.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_does_not_end_in_time_is_refused() {
    let fleet = TestFleet::start(1, 0).await;
    let mut caller =
        TcpStream::connect(fleet.fronts[0].caller_address()).await.expect("an open port");
    let head = "POST /talk/x HTTP/1.1\r\nhost: test.example\r\nauthorization: Bearer key-1\r\n\
                sesamewall-request-id: id-1\r\ncontent-length: 10000\r\n\r\n";
    caller.write_all(head.as_bytes()).await.expect("an open connection");
    let (mut read, mut write) = caller.split();
    let trickle = async {
        while write.write_all(b"x").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        std::future::pending::<()>().await;
    };
    let mut response = [0; 12];
    // The route's timeout is five seconds.
    let result = tokio::time::timeout(Duration::from_millis(5500), read.read_exact(&mut response));
    tokio::select! {
        () = trickle => {}
        result = result => assert!(matches!(result, Ok(Ok(_))), "{result:?}"),
    }
    assert_eq!(&response, b"HTTP/1.1 408");
}
