//! Targets that repeat a refusal, refuse to go on with a stream, or stop inside the head of a
//! response.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sesamewall_platform_standin::RawTarget;
use sesamewall_platform_standin::StandinTarget;
use sesamewall_platform_standin::Step;

use crate::fixture::PROPAGATION_TIME;
use crate::fixture::TestFleet;

fn response(status: &str, id: Option<&str>, extra_headers: &str, body: &str) -> Step {
    let id = id.map_or(String::new(), |id| format!("sesamewall-request-id: {id}\r\n"));
    let length = body.len();
    Step::text(format!(
        "HTTP/1.1 {status}\r\n{id}{extra_headers}content-length: {length}\r\n\r\n{body}"
    ))
}

fn success(id: &str) -> Step {
    response("200 OK", Some(id), "sesamewall-response-seal: seal-1\r\n", id)
}

fn refusal(status: &str, id: Option<&str>) -> Step {
    response(status, id, "sesamewall-not-run: 1\r\n", "")
}

/// Guards against a refusal of an earlier request that is taken for one of the next request on the
/// connection, which the target runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_refusal_is_no_refusal_of_the_next_request() {
    for status in ["503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"] {
        for earlier in [Some("id-0"), None] {
            let fleet = TestFleet::start(1, 0).await;
            let target = RawTarget::start(move |number, id| match number {
                0 => vec![success(id)],
                _ => vec![refusal(status, earlier), success(id)],
            })
            .await;
            fleet.replace_all(target.address).await;
            let first = fleet.chat(0, "/plain/x", "id-1").await.expect("a response");
            assert_eq!(first.status, 200);
            let second = fleet.chat(0, "/plain/x", "id-2").await.expect("a response");
            assert_eq!(second.status, 502, "{status}, {earlier:?}");
            assert_eq!(target.request_ids(), ["id-1", "id-2"], "{status}, {earlier:?}");
        }
    }
}

/// Guards against a refusal that is taken for an unknown outcome although it is the first response
/// on its connection, or names the request.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_of_the_request_itself_is_passed_on_as_not_run() {
    let fleet = TestFleet::start(1, 0).await;
    let target = RawTarget::start(|number, id| match number {
        0 => vec![success(id)],
        1 => vec![refusal("503 Service Unavailable", Some(id))],
        _ => vec![refusal("503 Service Unavailable", None)],
    })
    .await;
    fleet.replace_all(target.address).await;
    for (id, status) in [("id-1", 200), ("id-2", 503)] {
        let answer = fleet.chat(0, "/plain/x", id).await.expect("a response");
        assert_eq!(answer.status, status, "{id}");
    }
}

/// Guards against the text of an error in the middle of a stream, and against a stream that ends
/// as complete, when the next target does not go on with it.
#[tokio::test(flavor = "multi_thread")]
async fn an_error_of_the_next_target_does_not_enter_a_stream() {
    let seal = "sesamewall-response-seal: seal-1\r\n";
    for (status, headers) in [
        ("500 Internal Server Error", ""),
        ("503 Service Unavailable", "sesamewall-not-run: 1\r\n"),
        ("404 Not Found", ""),
        ("204 No Content", seal),
        ("202 Accepted", seal),
        ("200 OK", "sesamewall-response-seal: seal-1\r\ncontent-type: application/json\r\n"),
    ] {
        let fleet = TestFleet::start(1, 0).await;
        let body = if status.starts_with("204") { "" } else { "{\"error\": \"down\"}\n\n" };
        let requests = Arc::new(AtomicUsize::new(0));
        for name in ["t1", "t2"] {
            let requests = requests.clone();
            let target =
                RawTarget::start(move |_, id| match requests.fetch_add(1, Ordering::Relaxed) {
                    0 => vec![
                        Step::text(format!(
                            "HTTP/1.1 200 OK\r\nsesamewall-request-id: {id}\r\n{seal}\
                             content-type: text/event-stream\r\n\
                             transfer-encoding: chunked\r\n\r\n\
                             13\r\nid: 1\ndata: first\n\n\r\n"
                        )),
                        Step::Close,
                    ],
                    _ => vec![response(status, Some(id), headers, body)],
                })
                .await;
            fleet.replace(name, target.address).await;
        }
        let answer = fleet.chat(0, "/talk/x", "id-1").await.expect("a response");
        assert_eq!((answer.status, answer.body), (200, None), "{status}");
        assert!(requests.load(Ordering::Relaxed) >= 2, "{status}: the stream has to be resumed");
    }
}

/// Guards against a complete response to the caller although the target stopped inside its head or
/// its body.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_stops_in_its_head_is_no_success() {
    let seal = "sesamewall-response-seal: seal-1\r\n";
    let start = "HTTP/1.1 200 OK\r\nsesamewall-request-id: id-1\r\n";
    let texts = [
        "HTTP/1.1 200".to_owned(),
        "HTTP/1.1 200 OK\r\n".to_owned(),
        start.to_owned(),
        format!("{start}{seal}"),
        format!("{start}{seal}content-le"),
        format!("{start}{seal}content-length: 4\r\n"),
        format!("{start}{seal}content-length: 4\r\n\r"),
        format!("{start}{seal}content-length: 4\r\n\r\n"),
        format!("{start}{seal}transfer-encoding: chunked\r\n\r\n4\r\nab"),
    ];
    for text in texts {
        let fleet = TestFleet::start(1, 0).await;
        for path in ["/plain/x", "/once/x"] {
            let script = text.clone();
            let target =
                RawTarget::start(move |_, _| vec![Step::text(script.clone()), Step::Close]).await;
            fleet.replace_all(target.address).await;
            let answer = fleet.chat(0, path, "id-1").await;
            // The connection of a stream that has not begun may end without a response.
            let is_success =
                answer.as_ref().is_some_and(|answer| answer.status == 200 && answer.body.is_some());
            assert!(!is_success, "{path}, {text}: {answer:?}");
            assert_eq!(target.request_ids(), ["id-1"], "{path}, {text}");
        }
    }
}

/// Guards against a stream that is broken off because its target is silent for a moment, while no
/// other target has a place.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_waits_for_its_silent_target_if_no_other_has_a_place() {
    let fleet = TestFleet::start(1, 0).await;
    for target in &fleet.targets {
        target.stall_after(Some((5, Duration::from_secs(1))));
    }
    fleet.store.remove("servers/t2");
    tokio::time::sleep(PROPAGATION_TIME).await;
    let answer = fleet.chat(0, "/talk/x", "id-1").await.expect("a response");
    assert_eq!((answer.status, answer.text()), (200, Some(StandinTarget::text("/talk/x"))));
}
