//! Where batch items start while several workers have waiting items.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use sesamewall_fleet::job_owners;
use sesamewall_platform_standin::configuration;
use sesamewall_platform_standin::with_accounts;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::InstanceName;

use crate::fixture::TestFleet;
use crate::fixture::wait_until;

/// Time after which the other worker knows how many items wait.
const BACKLOG_DELAY: Duration = Duration::from_millis(1500);

/// Returns an account whose jobs this worker runs.
fn account_of(worker: &str) -> String {
    let workers = [InstanceName::from("worker-1"), InstanceName::from("worker-2")];
    let is_owned = |name: &String| {
        let account = AccountName::from(name.as_str());
        job_owners(Some(&account), &workers, |name| *name)[0].as_str() == worker
    };
    (0..).map(|n| format!("account-{n}")).find(is_owned).expect("one of many names")
}

/// Guards against items that wait for as long as another worker has items that cannot start: those
/// are for a service without targets, and all targets are assigned to that worker.
#[tokio::test(flavor = "multi_thread")]
async fn items_start_although_the_items_of_another_worker_cannot() {
    for (blocked, other) in [("worker-1", "worker-2"), ("worker-2", "worker-1")] {
        let fleet = TestFleet::start(1, 2).await;
        let mut config = configuration(2, 1000.0, 1000.0);
        let mut route = config["routes"][4].clone();
        route["name"] = "idle".into();
        route["prefix"] = "/idle/".into();
        route["service"] = "idle".into();
        config["routes"].as_array_mut().expect("a list").push(route);
        let mut service = config["services"][0].clone();
        service["name"] = "idle".into();
        config["services"].as_array_mut().expect("a list").push(service);
        let accounts = [account_of(blocked), account_of(other)];
        let config = with_accounts(config, &[(&accounts[0], "key-1"), (&accounts[1], "key-2")]);
        fleet.store.put("op/config", &config);
        let front = fleet.fronts[0].caller_address();
        let many: Vec<String> = (0..200).map(|n| format!("blocked-{n}")).collect();
        let is_accepted = || async {
            let response = fleet.client.submit_to(front, "/idle", "key-1", "job1", &many).await;
            response.is_some_and(|response| response.status == 202)
        };
        assert!(wait_until(is_accepted).await);
        tokio::time::sleep(BACKLOG_DELAY).await;
        let single = ["item0".to_owned()];
        let response = fleet.client.submit_to(front, "/jobs", "key-2", "job2", &single).await;
        assert_eq!(response.expect("a response").status, 202);
        let is_listed = || async {
            let sent = fleet.client.send(
                front,
                Method::GET,
                "/lots/job2?after=0",
                "r1",
                "key-2",
                Bytes::new(),
            );
            let page = sent.await.map(|response| response.json()).unwrap_or_default();
            page["results"].as_array().is_some_and(|rows| rows.len() == 1)
        };
        assert!(wait_until(is_listed).await, "the item of {other} waits for {blocked}");
    }
}
