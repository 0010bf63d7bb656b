//! Requests and items that name a version of the weights that their targets do not have.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde_json::json;
use sesamewall_platform_standin::RawTarget;
use sesamewall_platform_standin::Step;
use sesamewall_platform_standin::refusal;
use sesamewall_platform_standin::stream_response;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::batch::items;
use crate::fixture::TestFleet;

/// Items that name the earlier version.
const EARLIER_ITEMS: usize = 10;

/// Time for which they are tried.
const TRY_TIME: Duration = Duration::from_secs(2);

/// Starts a target that has other weights than the requests name whose ids begin with `earlier`.
async fn start(with_version: bool) -> RawTarget {
    RawTarget::start(move |_, id| {
        let version = if with_version { "sesamewall-weight-versions: 2\r\n" } else { "" };
        vec![Step::Send(match id.starts_with("earlier") {
            true => refusal("421 Misdirected Request", id, version),
            false => stream_response(id, &[id.to_owned()]),
        })]
    })
    .await
}

/// Submits a job whose items name the earlier version.
async fn submit_earlier(fleet: &TestFleet, job: &str) {
    let item = |number: usize| {
        json!({
            "id": format!("earlier{number}"), "path": "/jobs/x", "body": "", "tokens": 100,
            "headers": { "Sesamewall-Expect-Version": "1" }
        })
    };
    let list: Vec<_> = (0..EARLIER_ITEMS).map(item).collect();
    let body = Bytes::from(json!({ "items": list }).to_string());
    let front = fleet.fronts[0].caller_address();
    let sent = fleet.client.send(front, Method::POST, "/jobs/submit", job, "key-1", body).await;
    assert_eq!(sent.expect("a response").status, 202);
}

/// Sends a request that names the earlier version, and returns the status.
async fn chat_earlier(fleet: &TestFleet, id: &str) -> u16 {
    let mut stream =
        TcpStream::connect(fleet.fronts[0].caller_address()).await.expect("an open port");
    let request = format!(
        "POST /same/x HTTP/1.1\r\nhost: test.example\r\nauthorization: Bearer key-1\r\n\
         sesamewall-request-id: {id}\r\nsesamewall-expect-version: 1\r\nconnection: close\r\n\
         content-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("an open connection");
    let mut text = String::new();
    stream.read_to_string(&mut text).await.expect("a response");
    text.get(9..12).and_then(|status| status.parse().ok()).expect("a status")
}

/// Guards against targets that are taken out of service because items name a version of the weights
/// that they no longer have, so that no later item runs.
#[tokio::test(flavor = "multi_thread")]
async fn items_run_after_items_that_name_another_version_of_the_weights() {
    for with_version in [true, false] {
        let fleet = TestFleet::start(1, 1).await;
        let target = start(with_version).await;
        fleet.replace_all(target.address).await;
        submit_earlier(&fleet, "job1").await;
        tokio::time::sleep(TRY_TIME).await;
        let front = fleet.fronts[0].caller_address();
        let list = items(4);
        let accepted = fleet.client.submit(front, "job2", &list).await;
        assert_eq!(accepted.expect("a response").status, 202);
        let results = fleet.wait_results(0, "job2", list.len()).await;
        assert!(results.iter().all(|row| row["state"] == "completed"), "{results:?}");
        let ended =
            fleet.client.send(front, Method::DELETE, "/lots/job1", "r1", "key-1", Bytes::new());
        assert_eq!(ended.await.expect("a response").status, 200);
    }
}

/// Guards against a front that loses its targets to requests that name a version of the weights.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_after_those_that_name_another_version_of_the_weights() {
    let fleet = TestFleet::start(1, 0).await;
    let target = start(true).await;
    fleet.replace_all(target.address).await;
    for number in 0..3 {
        assert_eq!(chat_earlier(&fleet, &format!("earlier{number}")).await, 503);
    }
    let answer = fleet.chat(0, "/same/x", "id-1").await.expect("a response");
    assert_eq!(answer.text().as_deref(), Some("id-1"), "{answer:?}");
}
