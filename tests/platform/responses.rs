//! Responses of faulty targets.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use sesamewall_platform_standin::RawTarget;
use sesamewall_platform_standin::StandinTarget;
use sesamewall_platform_standin::Step;
use sesamewall_platform_standin::configuration;
use sesamewall_platform_standin::with_cold_rate;

use crate::fixture::TestFleet;
use crate::fixture::wait_until;

/// Longest time to the end of a response: the route's timeout plus the half second that the
/// platform allows.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(5500);

/// Memory of the smallest machine of the deployments, in kB.
const SMALL_MACHINE_KB: u64 = 88 << 10;

/// Bytes that an endless response sends at a time: enough to fill any buffer soon.
const FILLER_BYTES: usize = 64 << 10;

fn head(id: &str, extra_headers: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nsesamewall-request-id: {id}\r\nsesamewall-response-seal: seal-1\r\n{extra_headers}\r\n"
    )
}

fn stream_head(id: &str) -> Step {
    Step::text(head(id, "content-type: text/event-stream\r\nconnection: close\r\n"))
}

fn event(path: &str, number: u64) -> Step {
    Step::text(format!("id: {number}\ndata: {path} {number}\n\n"))
}

/// Guards against a stream that ends inside an event but looks complete to its caller.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_inside_an_event_is_not_complete() {
    let fleet = TestFleet::start(1, 0).await;
    let target = RawTarget::start(|_, id| {
        vec![stream_head(id), event("/once/x", 1), Step::text("id: 2\ndata: /on"), Step::Close]
    })
    .await;
    fleet.replace_all(target.address).await;
    let response = fleet.chat(0, "/once/x", "id-1").await.expect("a response");
    assert_eq!(target.request_ids(), ["id-1"]);
    assert_eq!((response.status, response.body), (200, None));
}

/// Guards against a response that trickles in and keeps its caller waiting past the route's
/// timeout.
#[tokio::test(flavor = "multi_thread")]
async fn a_trickling_response_ends_at_the_route_timeout() {
    let fleet = TestFleet::start(1, 0).await;
    let target = RawTarget::start(|_, id| {
        let head = Step::text(head(id, "content-length: 100000\r\n"));
        vec![head, Step::Repeat(Bytes::from_static(b"x"), Duration::from_millis(200))]
    })
    .await;
    fleet.replace_all(target.address).await;
    let started = Instant::now();
    let response = fleet.chat(0, "/plain/x", "id-1").await.expect("a response");
    assert!(started.elapsed() < RESPONSE_TIMEOUT, "after {:?}", started.elapsed());
    assert_eq!(response.status, 502);
    assert!(wait_until(|| async { target.open_connections() == 0 }).await);
}

/// Guards against a stalled stream that stays at its target because bytes arrive, although they
/// form no event.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_moves_off_a_target_that_sends_no_events() {
    let fleet = TestFleet::start(1, 0).await;
    let target = RawTarget::start(|_, id| {
        let trickle = Step::Repeat(Bytes::from_static(b":"), Duration::from_millis(50));
        vec![stream_head(id), event("/talk/x", 1), trickle]
    })
    .await;
    fleet.replace("t1", target.address).await;
    let started = Instant::now();
    let response = fleet.chat(0, "/talk/x", "id-1").await.expect("a response");
    assert_eq!(response.text(), Some(StandinTarget::text("/talk/x")));
    assert_eq!(target.request_ids(), ["id-1"]);
    assert!(started.elapsed() < Duration::from_secs(2), "after {:?}", started.elapsed());
}

/// Guards against slow but healthy streams that are cut before their end.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_stream_is_forwarded_to_its_end() {
    let fleet = TestFleet::start(1, 0).await;
    for target in &fleet.targets {
        target.set_event_interval(Duration::from_millis(400));
    }
    let response = fleet.chat(0, "/once/x", "id-1").await.expect("a response");
    assert_eq!(response.text(), Some(StandinTarget::text("/once/x")));
}

/// Guards against items that stay at a target which sends bytes but no events.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_moves_off_a_target_that_sends_no_events() {
    let fleet = TestFleet::start(1, 1).await;
    let target = RawTarget::start(|_, id| {
        let trickle = Step::Repeat(Bytes::from_static(b":"), Duration::from_millis(300));
        vec![stream_head(id), trickle]
    })
    .await;
    fleet.replace("t2", target.address).await;
    let list: Vec<String> = (0..4).map(|n| format!("item{n}")).collect();
    let response = fleet.client.submit(fleet.fronts[0].caller_address(), "job1", &list).await;
    assert_eq!(response.expect("a response").status, 202);
    let results = fleet.wait_results(0, "job1", list.len()).await;
    assert!(results.iter().all(|row| row["state"] == "completed"), "{results:?}");
}

/// Guards against a duplicate response that reaches the next caller on the same connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_duplicate_response_reaches_no_caller() {
    for late in [Duration::ZERO, Duration::from_millis(300)] {
        let fleet = TestFleet::start(1, 0).await;
        let target = RawTarget::start(move |number, id| {
            let response = Step::text(format!("{}{id}", head(id, "content-length: 4\r\n")));
            match number {
                0 => vec![response.clone(), Step::Pause(late), response],
                _ => vec![response],
            }
        })
        .await;
        fleet.replace_all(target.address).await;
        let first = fleet.chat(0, "/same/x", "id-1").await.expect("a response");
        assert_eq!(first.body.as_deref(), Some(&b"id-1"[..]));
        tokio::time::sleep(late / 2).await;
        for id in ["id-2", "id-3"] {
            let next = fleet.chat(0, "/same/x", id).await.expect("a response");
            assert!(next.status != 200 || next.body.as_deref() == Some(id.as_bytes()), "{next:?}");
            if next.status == 200 {
                assert_eq!(next.headers["sesamewall-request-id"], id);
            }
        }
    }
}

/// Guards against a request that runs again, or is reported as not run, after its response was
/// lost, on a new and on a reused connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_a_lost_response_is_not_run_again() {
    let fleet = TestFleet::start(1, 0).await;
    let target = RawTarget::start(|number, id| match number {
        1 => vec![Step::text(format!("{}{id}", head(id, "content-length: 4\r\n")))],
        _ => vec![Step::Close],
    })
    .await;
    fleet.replace_all(target.address).await;
    for (id, status) in [("id-1", 502), ("id-2", 200), ("id-3", 502)] {
        let response = fleet.chat(0, "/plain/x", id).await.expect("a response");
        assert_eq!(response.status, status, "{id}");
        // An instance backs off from a target for a while after a lost connection.
        tokio::time::sleep(Duration::from_millis(if status == 502 { 1500 } else { 0 })).await;
    }
    assert_eq!(target.request_ids(), ["id-1", "id-2", "id-3"]);
}

/// Returns the steps of a response that never ends. `part` names the part of the response that is
/// endless.
fn endless(part: &str, id: &str) -> Vec<Step> {
    let send_forever = |bytes: Vec<u8>| Step::Repeat(Bytes::from(bytes), Duration::ZERO);
    let filler = vec![b'x'; FILLER_BYTES];
    let chunked = head(id, "transfer-encoding: chunked\r\n");
    let plain = head(id, "content-length: 99999999999\r\n");
    match part {
        "head line" => vec![Step::text("HTTP/1.1 200 OK\r\nx-long: "), send_forever(filler)],
        "head lines" => {
            vec![Step::text("HTTP/1.1 200 OK\r\n"), send_forever(b"x: y\r\n".repeat(999))]
        }
        "body" => vec![Step::text(plain), send_forever(filler)],
        "event" => vec![stream_head(id), Step::text("data: "), send_forever(filler)],
        "chunk extension" => vec![Step::text(format!("{chunked}5;x=")), send_forever(filler)],
        "trailer" => vec![Step::text(format!("{chunked}0\r\nx: ")), send_forever(filler)],
        "no answer" => vec![send_forever(filler)],
        _ => unreachable!("not a part of a response: {part}"),
    }
}

/// Guards against endless responses that exhaust the memory of a small machine, keep their callers
/// waiting past the timeout, leave connections open, or keep other callers from being served.
#[tokio::test(flavor = "multi_thread")]
async fn endless_responses_are_aborted() {
    let fleet = TestFleet::start(1, 0).await;
    let high_limits = with_cold_rate(configuration(2, 1000.0, 1000.0), 1000.0);
    fleet.store.put("op/config", &high_limits);
    let parts =
        ["head line", "head lines", "body", "event", "chunk extension", "trailer", "no answer"];
    for (part, count) in parts.iter().flat_map(|part| [(*part, 1), (*part, 200)]) {
        let target = RawTarget::start(move |_, id| endless(part, id)).await;
        fleet.replace_all(target.address).await;
        let path = if part == "event" { "/once/x" } else { "/plain/x" };
        let started = Instant::now();
        let calls = (0..count).map(|n| {
            let fleet = &fleet;
            async move { fleet.chat(0, path, &format!("{part}-{n}").replace(' ', "-")).await }
        });
        let others = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let front = fleet.fronts[0].caller_address();
            fleet.client.send(front, Method::GET, "/none/", "id-1", "key-1", Bytes::new()).await
        };
        let (responses, other) = tokio::join!(futures::future::join_all(calls), others);
        assert!(started.elapsed() < RESPONSE_TIMEOUT, "{part}: after {:?}", started.elapsed());
        assert_eq!(
            other.map(|response| response.status),
            Some(404),
            "{part}: another caller waits"
        );
        for response in responses.into_iter().flatten() {
            let is_aborted = response.status >= 500 || response.body.is_none();
            assert!(is_aborted, "{part}: a complete response, {}", response.status);
        }
        assert!(
            wait_until(|| async { target.open_connections() == 0 }).await,
            "{part}: connections remain open"
        );
        let (peak, sent) = (fleet.fronts[0].peak_memory(), target.sent_bytes() >> 10);
        let elapsed = started.elapsed();
        let runs = target.request_ids().len();
        println!("{count} x {part}: {runs} runs, {elapsed:?}, {sent} kB sent, peak {peak} kB");
        assert!(runs >= 1, "{part}: nothing was sent to the target");
        assert!(peak < SMALL_MACHINE_KB, "{part}: {peak} kB");
    }
}

/// Guards against valid requests that are refused as suspected of crashing targets, because targets
/// responded to others like them with invalid bytes or with failures.
#[tokio::test(flavor = "multi_thread")]
async fn only_closed_connections_count_as_crashes() {
    let fleet = TestFleet::start(1, 0).await;
    let target = RawTarget::start(|number, id| match number {
        0..4 => vec![Step::text("this is no answer\r\n\r\n"), Step::Close],
        4..8 => vec![Step::text(head(id, "content-length: 0\r\n").replace("200 OK", "500 Error"))],
        _ => vec![Step::text(format!("{}whole", head(id, "content-length: 5\r\n")))],
    })
    .await;
    fleet.replace_all(target.address).await;
    let served = || async {
        let response = fleet.chat(0, "/same/x", "id-1").await;
        response.is_some_and(|response| response.body.as_deref() == Some(b"whole"))
    };
    assert!(wait_until(served).await, "{} runs", target.request_ids().len());
}

/// Guards against endless responses to batch items.
#[tokio::test(flavor = "multi_thread")]
async fn endless_responses_to_items_are_aborted() {
    let fleet = TestFleet::start(1, 1).await;
    let target = RawTarget::start(|number, id| match number % 3 {
        0 => endless("event", id),
        1 => {
            let head = head(id, "content-length: 99999999999\r\n").replace("200 OK", "500 Error");
            let filler = Bytes::from(vec![b'x'; FILLER_BYTES]);
            vec![Step::text(head), Step::Repeat(filler, Duration::ZERO)]
        }
        _ => {
            let events: Vec<Step> = (1..200_000)
                .map(|number| Step::text(format!("id: {number}\ndata: {}\n\n", "x".repeat(500))))
                .collect();
            [vec![stream_head(id)], events].concat()
        }
    })
    .await;
    fleet.replace("t2", target.address).await;
    let list: Vec<String> = (0..6).map(|n| format!("item{n}")).collect();
    let response = fleet.client.submit(fleet.fronts[0].caller_address(), "job1", &list).await;
    assert_eq!(response.expect("a response").status, 202);
    tokio::time::sleep(Duration::from_secs(8)).await;
    // The target is removed. Its responses must not have caused an item to be given up.
    fleet.store.remove("servers/t2");
    let results = fleet.wait_results(0, "job1", list.len()).await;
    assert!(results.iter().all(|row| row["state"] == "completed"), "{results:?}");
    let peak = fleet.workers[0].peak_memory();
    assert!(peak < SMALL_MACHINE_KB, "{peak} kB");
}
