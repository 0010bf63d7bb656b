//! Batch jobs whose route has been removed.

use bytes::Bytes;
use http::Method;
use serde_json::Value;
use sesamewall_platform_standin::configuration;
use sesamewall_platform_standin::with_accounts;

use crate::batch::assert_completed;
use crate::batch::items;
use crate::fixture::PROPAGATION_TIME;
use crate::fixture::TestFleet;

/// Returns a configuration with two accounts, and with no route for the host of the jobs if `removed`.
fn document(version: u64, removed: bool) -> Value {
    let keys = [("acme", "key-1"), ("other", "key-2")];
    let mut document = with_accounts(configuration(version, 0.0, 0.0), &keys);
    for route in document["routes"].as_array_mut().expect("a list").iter_mut().filter(|_| removed) {
        route["host"] = "elsewhere.example".into();
    }
    document
}

/// Guards against jobs that cannot be read, submitted again or ended once the configuration has no
/// route for their host, and against jobs that another account can then read.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_stays_readable_after_its_route_is_removed() {
    let fleet = TestFleet::start(2, 2).await;
    fleet.store.put("op/config", &document(2, false));
    tokio::time::sleep(PROPAGATION_TIME).await;
    let list = items(6);
    let front = fleet.fronts[0].caller_address();
    let accepted = fleet.client.submit(front, "job1", &list).await;
    assert_eq!(accepted.expect("a response").status, 202);
    let results = fleet.wait_results(0, "job1", 6).await;
    assert_completed(&results, 6);
    fleet.store.put("op/config", &document(3, true));
    tokio::time::sleep(PROPAGATION_TIME).await;
    let call = async |n: usize, method: Method, path: &str, key: &str| {
        let front = fleet.fronts[n].caller_address();
        let sent = fleet.client.send(front, method, path, "r1", key, Bytes::new());
        sent.await.expect("a response").status
    };
    for n in 0..2 {
        assert_eq!(fleet.wait_results(n, "job1", 6).await, results);
        assert_eq!(call(n, Method::GET, "/lots/job1", "key-2").await, 404);
        assert_eq!(call(n, Method::GET, "/lots/job9", "key-1").await, 404);
        assert_eq!(call(n, Method::GET, "/lots/job1", "unknown").await, 401);
        assert_eq!(call(n, Method::GET, "/items/job1?id=item00", "key-1").await, 200);
        assert_eq!(call(n, Method::GET, "/items/job1?id=item00", "key-2").await, 404);
        assert_eq!(call(n, Method::POST, "/jobs/submit", "key-1").await, 404);
        let front = fleet.fronts[n].caller_address();
        let submit = async |key: &str, job: &str| {
            let sent = fleet.client.submit_to(front, "/jobs", key, job, &list).await;
            sent.expect("a response").status
        };
        assert_eq!(submit("key-1", "job1").await, 202, "the job was accepted before");
        assert_eq!(submit("key-2", "job1").await, 404, "another account's job");
        assert_eq!(submit("key-1", "job9").await, 404, "a new job");
        assert_eq!(call(n, Method::DELETE, "/lots/job1", "key-1").await, 200);
        assert_eq!(call(n, Method::DELETE, "/lots/job1", "key-2").await, 404);
    }
}
