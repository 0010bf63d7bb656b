//! Pages of the results of large jobs.

use bytes::Bytes;
use http::Method;
use sesamewall_platform_standin::RawTarget;
use sesamewall_platform_standin::Step;

use crate::batch::items;
use crate::fixture::TestFleet;

/// Items of the job, and the output of each in bytes: many times what one reply of a worker has.
const ITEMS: usize = 30;
const OUTPUT_BYTES: usize = 150 << 10;

/// Guards against pages that are empty although results exist, at a front that has not read the
/// results before the position yet.
#[tokio::test(flavor = "multi_thread")]
async fn a_front_that_has_read_nothing_returns_the_last_results_of_a_large_job() {
    let mut fleet = TestFleet::start(1, 1).await;
    let output = "x".repeat(OUTPUT_BYTES);
    let target = RawTarget::start(move |_, id| {
        let event = format!("id: 1\ndata: {output}\n\n");
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
        let id = format!("sesamewall-request-id: {id}\r\nsesamewall-response-seal: seal-1\r\n");
        let length = format!("content-length: {}\r\n\r\n", event.len());
        vec![Step::text(format!("{head}{id}{length}{event}"))]
    })
    .await;
    fleet.replace_all(target.address).await;
    let front = fleet.fronts[0].caller_address();
    let accepted = fleet.client.submit(front, "job1", &items(ITEMS)).await;
    assert_eq!(accepted.expect("a response").status, 202);
    let results = fleet.wait_results(0, "job1", ITEMS).await;
    for position in [ITEMS - 1, ITEMS / 2, 0] {
        fleet.fronts[0].kill();
        fleet.fronts[0].restart();
        assert!(fleet.wait_ready(0, 200).await);
        let path = format!("/lots/job1?after={position}");
        let front = fleet.fronts[0].caller_address();
        let sent = fleet.client.send(front, Method::GET, &path, "r1", "key-1", Bytes::new());
        let response = sent.await.expect("a response");
        assert_eq!(response.status, 200);
        assert_eq!(response.json()["results"][0], results[position], "position {position}");
    }
}
