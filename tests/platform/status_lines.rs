//! Status lines of targets in trouble.

use sesamewall_platform_standin::RawTarget;
use sesamewall_platform_standin::Step;
use sesamewall_platform_standin::target_entry;

use crate::batch::assert_completed;
use crate::batch::items;
use crate::fixture::PROPAGATION_TIME;
use crate::fixture::TestFleet;

/// Status lines that are none of a final response.
const INVALID_LINES: [&str; 12] = [
    "HTTP/1.1 000 OK",
    "HTTP/1.1 000",
    "HTTP/1.1 001 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 0200 OK",
    "HTTP/1.1  200 OK",
    "HTTP/1.1 100 Continue",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 103 Early Hints",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 999 OK",
];

/// Targets that serve at the same time: a front backs off from each that has sent such a line.
const TARGETS: usize = 8;

/// Returns a complete response with this status line: a stream with a length.
fn response(line: &str, id: &str) -> Step {
    let body = format!("id: 1\ndata: {id}\n\n");
    Step::text(format!(
        "{line}\r\nsesamewall-request-id: {id}\r\nsesamewall-response-seal: seal-1\r\n\
         content-type: text/event-stream\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// Guards against an answer whose status is none, which reaches the caller as an answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_without_a_valid_status_reaches_no_caller() {
    let fleet = TestFleet::start(1, 0).await;
    let mut passed_on = Vec::new();
    for line in INVALID_LINES {
        for key in fleet.store.keys("servers/") {
            fleet.store.remove(&key);
        }
        let mut targets = Vec::new();
        for number in 0..TARGETS {
            let target = RawTarget::start(move |_, id| vec![response(line, id), Step::Close]).await;
            let key = format!("servers/t{number}-{}", target.address.port());
            fleet.store.put(&key, &target_entry(target.address, "a", false));
            targets.push(target);
        }
        tokio::time::sleep(PROPAGATION_TIME).await;
        for path in ["/plain/x", "/same/x", "/once/x", "/talk/x"] {
            let id = format!("id{}", path.replace('/', "-"));
            let answer = fleet.chat(0, path, &id).await;
            let status = answer.as_ref().map(|answer| answer.status);
            if status != Some(502) {
                passed_on.push(format!("{line}, {path}: {status:?}"));
            }
            let is_sent = targets.iter().any(|target| target.request_ids().contains(&id));
            assert!(is_sent, "{line}, {path}: nothing was sent to a target");
        }
    }
    assert!(passed_on.is_empty(), "{passed_on:#?}");
}

/// Guards against items that are completed or given up because of an answer whose status is none.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_without_a_valid_status_ends_no_item() {
    let fleet = TestFleet::start(1, 1).await;
    let target = RawTarget::start(|number, id| {
        let line = INVALID_LINES[number % INVALID_LINES.len()];
        vec![response(line, id), Step::Close]
    })
    .await;
    fleet.replace("t2", target.address).await;
    let front = fleet.fronts[0].caller_address();
    let accepted = fleet.client.submit(front, "job1", &items(INVALID_LINES.len())).await;
    assert_eq!(accepted.expect("a response").status, 202);
    let results = fleet.wait_results(0, "job1", INVALID_LINES.len()).await;
    assert_completed(&results, INVALID_LINES.len());
    assert!(!target.request_ids().is_empty(), "nothing was sent to the target");
}

/// Guards against valid answers that are taken for invalid ones.
#[tokio::test(flavor = "multi_thread")]
async fn unusual_status_lines_are_valid() {
    let fleet = TestFleet::start(1, 0).await;
    for (line, status) in [
        ("HTTP/1.1 200", 200),
        ("HTTP/1.1 200 ", 200),
        ("HTTP/1.0 200 OK", 200),
        ("HTTP/1.1 299 Own", 299),
        ("HTTP/1.1 404 Not Found", 404),
        ("HTTP/1.1 599 Own", 599),
        ("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK", 200),
        ("HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK", 200),
    ] {
        let target = RawTarget::start(move |_, id| vec![response(line, id), Step::Close]).await;
        fleet.replace_all(target.address).await;
        let answer = fleet.chat(0, "/plain/x", "id-1").await.expect("a response");
        assert_eq!(answer.status, status, "{line}");
        assert_eq!(answer.text().as_deref(), Some("id-1"), "{line}");
    }
}
