//! Items that targets only refuse.

use std::time::Duration;
use std::time::Instant;

use sesamewall_platform_standin::GIVEN_UP;
use sesamewall_platform_standin::RawTarget;
use sesamewall_platform_standin::Step;
use sesamewall_platform_standin::configuration;
use sesamewall_platform_standin::refusal;
use sesamewall_platform_standin::stream_response;

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
        vec![Step::Send(match id {
            "large" => refusal("503 Full", id, ""),
            _ => stream_response(id, &[id.to_owned()]),
        })]
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
        let expected = if row["id"] == "large" { GIVEN_UP } else { "completed" };
        assert_eq!(row["state"], expected, "{row}");
    }
}
