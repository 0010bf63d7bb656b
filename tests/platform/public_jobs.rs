//! Batch jobs and requests on public routes.

use bytes::Bytes;
use http::Method;
use serde_json::Value;
use serde_json::json;
use sesamewall_platform_standin::configuration;
use sesamewall_platform_standin::with_accounts;

use crate::batch::assert_completed;
use crate::batch::items;
use crate::fixture::PROPAGATION_TIME;
use crate::fixture::TestFleet;

const ITEMS: usize = 4;

/// Returns a configuration with two accounts, whose batch route and plain route need a key unless
/// `public`.
fn document(version: u64, public: bool) -> Value {
    let keys = [("acme", "key-1"), ("other", "key-2")];
    let mut document = with_accounts(configuration(version, 0.0, 0.0), &keys);
    for route in document["routes"].as_array_mut().expect("a list") {
        route["public"] = (public && (route["name"] == "jobs" || route["name"] == "plain")).into();
    }
    document
}

async fn start(public: bool) -> TestFleet {
    let fleet = TestFleet::start(2, 1).await;
    configure(&fleet, 2, public).await;
    fleet
}

async fn configure(fleet: &TestFleet, version: u64, public: bool) {
    fleet.store.put("op/config", &document(version, public));
    tokio::time::sleep(PROPAGATION_TIME).await;
}

async fn submit(fleet: &TestFleet, n: usize, key: &str, job: &str) -> u16 {
    let front = fleet.fronts[n].caller_address();
    let sent = fleet.client.submit_to(front, "/jobs", key, job, &items(ITEMS)).await;
    sent.expect("a response").status
}

async fn call(fleet: &TestFleet, n: usize, method: Method, path: &str, key: &str) -> u16 {
    let front = fleet.fronts[n].caller_address();
    let sent = fleet.client.send(front, method, path, "r1", key, Bytes::new()).await;
    sent.expect("a response").status
}

/// Returns the accounts that targets were told for all items.
fn item_accounts(fleet: &TestFleet) -> Vec<String> {
    let requests = fleet.targets.iter().flat_map(|target| target.requests());
    let mut names: Vec<String> =
        requests.map(|request| request.header("sesamewall-tenant").to_owned()).collect();
    names.sort();
    names.dedup();
    names
}

/// Guards against accepted jobs that cannot be read, because they are stored without an account and
/// looked for under the one of the key.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_on_a_public_route_belongs_to_the_account_of_its_key() {
    let fleet = start(true).await;
    assert_eq!(submit(&fleet, 0, "key-1", "job1").await, 202);
    let results = fleet.wait_results(0, "job1", ITEMS).await;
    assert_completed(&results, ITEMS);
    assert_eq!(item_accounts(&fleet), ["acme"]);
    for version in [3, 4] {
        for n in 0..2 {
            assert_eq!(fleet.wait_results(n, "job1", ITEMS).await, results);
            let item = "/items/job1?id=item00";
            assert_eq!(call(&fleet, n, Method::GET, item, "key-1").await, 200);
            for key in ["key-2", "unknown", ""] {
                let status = call(&fleet, n, Method::GET, "/lots/job1", key).await;
                assert_eq!(status, if key == "key-2" { 404 } else { 401 }, "{key}");
            }
            assert_eq!(submit(&fleet, n, "key-1", "job1").await, 202, "a repeat");
        }
        // The route needs a key from now on, or no longer.
        configure(&fleet, version, version % 2 == 0).await;
    }
    assert_eq!(fleet.store_keys("sesamewall/job/", "/job1/head").len(), 1);
    assert_eq!(call(&fleet, 1, Method::DELETE, "/lots/job1", "key-2").await, 404);
    assert_eq!(call(&fleet, 1, Method::DELETE, "/lots/job1", "key-1").await, 200);
}

/// Guards against jobs that were accepted without a key and cannot be read, with a key or without
/// one. Earlier builds accepted all jobs on public routes without an account.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_without_an_account_is_open_to_all() {
    let fleet = start(true).await;
    assert_eq!(submit(&fleet, 0, "", "job1").await, 202);
    let results = fleet.wait_results(0, "job1", ITEMS).await;
    assert_completed(&results, ITEMS);
    assert_eq!(item_accounts(&fleet), [""]);
    for n in 0..2 {
        for key in ["", "unknown", "key-1", "key-2"] {
            let item = "/items/job1?id=item00";
            assert_eq!(call(&fleet, n, Method::GET, "/lots/job1", key).await, 200, "{key}");
            assert_eq!(call(&fleet, n, Method::GET, item, key).await, 200, "{key}");
            assert_eq!(submit(&fleet, n, key, "job1").await, 202, "{key}");
        }
        assert_eq!(call(&fleet, n, Method::GET, "/lots/job9", "").await, 401);
        assert_eq!(call(&fleet, n, Method::GET, "/lots/job9", "key-1").await, 404);
    }
    assert_eq!(fleet.store_keys("sesamewall/job/", "/job1/head").len(), 1);
    configure(&fleet, 3, false).await;
    assert_eq!(call(&fleet, 1, Method::GET, "/lots/job1", "key-1").await, 200);
    assert_eq!(call(&fleet, 1, Method::GET, "/lots/job1", "").await, 401);
    assert_eq!(call(&fleet, 1, Method::DELETE, "/lots/job1", "key-2").await, 200);
}

/// Guards against an item whose own headers name an account, which its target believes.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_without_an_account_names_none() {
    let fleet = start(true).await;
    let item = json!({
        "id": "item00", "path": "/jobs/item00", "headers": { "Sesamewall-Tenant": "acme" },
        "body": "", "tokens": 100
    });
    let body = Bytes::from(json!({ "items": [item] }).to_string());
    let front = fleet.fronts[0].caller_address();
    let sent = fleet.client.send(front, Method::POST, "/jobs/submit", "job1", "", body).await;
    assert_eq!(sent.expect("a response").status, 202);
    fleet.wait_results(0, "job1", 1).await;
    assert_eq!(item_accounts(&fleet), [""]);
}

/// Guards against requests on a public route that lose the account of their key, and with it the
/// account's rate and regions.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_on_a_public_route_names_the_account_of_its_key() {
    let fleet = start(true).await;
    for (id, key, account) in [("id-1", "key-1", "acme"), ("id-2", "unknown", ""), ("id-3", "", "")]
    {
        let front = fleet.fronts[0].caller_address();
        let sent = fleet.client.send(front, Method::POST, "/plain/x", id, key, Bytes::new()).await;
        assert_eq!(sent.expect("a response").status, 200, "{key}");
        let all: Vec<_> = fleet.targets.iter().flat_map(|target| target.requests()).collect();
        let request = all.iter().find(|request| request.header("sesamewall-request-id") == id);
        let request = request.expect("a target has run the request");
        assert_eq!(request.header("sesamewall-tenant"), account, "{key}");
        assert_eq!(request.header("authorization"), "", "{key}");
    }
}
