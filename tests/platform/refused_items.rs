//! Items that targets only refuse.

use std::time::Duration;
use std::time::Instant;

use sesamewall_platform_standin::RawTarget;
use sesamewall_platform_standin::Step;
use sesamewall_platform_standin::configuration;

use crate::fixture::PROPAGATION_TIME;
use crate::fixture::TestFleet;

/// Time after which items of the route may be given up.
const KEEP: Duration = Duration::from_secs(6);

/// Guards against an item that is larger than any target's memory, and is refused and tried again for
/// good: its job never ends.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_that_all_targets_refuse_is_given_up_after_its_time() {
    let fleet = TestFleet::start(1, 1).await;
    let mut document = configuration(2, 1000.0, 1000.0);
    for route in document["routes"].as_array_mut().expect("a list") {
        route["keepS"] = KEEP.as_secs().into();
    }
    fleet.store.put("op/config", &document);
    let target = RawTarget::start(|_, id| {
        if id == "large" {
            return vec![Step::text(format!(
                "HTTP/1.1 503 Full\r\nsesamewall-request-id: {id}\r\nsesamewall-not-run: 1\r\n\
                 content-length: 0\r\n\r\n"
            ))];
        }
        let body = format!("id: 1\ndata: {id}\n\n");
        vec![Step::text(format!(
            "HTTP/1.1 200 OK\r\nsesamewall-request-id: {id}\r\n\
             sesamewall-response-seal: seal-1\r\ncontent-type: text/event-stream\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        ))]
    })
    .await;
    fleet.replace_all(target.address).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    let front = fleet.fronts[0].caller_address();
    let list = ["small1", "large", "small2"].map(str::to_owned);
    let submitted = Instant::now();
    let accepted = fleet.client.submit(front, "job1", &list).await;
    assert_eq!(accepted.expect("a response").status, 202);
    let results = fleet.wait_results(0, "job1", list.len()).await;
    assert!(submitted.elapsed() >= KEEP, "given up after {:?}", submitted.elapsed());
    for row in results {
        let expected = if row["id"] == "large" { "dead_letter" } else { "completed" };
        assert_eq!(row["state"], expected, "{row}");
    }
}
