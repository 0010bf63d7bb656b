//! Batch jobs on routes that were added a moment ago.

use std::time::Duration;

use serde_json::Value;
use sesamewall_platform_standin::configuration;

use crate::batch::items;
use crate::fixture::PROPAGATION_TIME;
use crate::fixture::TestFleet;

/// Number of changes of the configuration.
const ROUNDS: u64 = 3;

/// Online routes, which make the configuration large.
const ONLINE_ROUTES: usize = 350;

/// Jobs on a new route, the time between two of them, and the items of each.
const JOBS: u64 = 60;
const JOB_INTERVAL: Duration = Duration::from_millis(6);
const ITEMS: usize = 3;

/// Jobs on the other route that come at once before each change.
const USUAL_JOBS: usize = 40;

/// Time between these jobs and the change.
const CALM_TIME: Duration = Duration::from_secs(2);

/// Time from the stop of the worker to the change of the configuration.
const STOP_TIME: Duration = Duration::from_millis(50);

/// Time from the change of the configuration to the first job, and from there to the time at which
/// the worker goes on: a front waits somewhat longer for the reply to an offer.
const CHANGE_TIME: Duration = Duration::from_millis(100);
const WAKE_TIME: Duration = Duration::from_millis(600);

/// Returns the configuration after this number of changes, each of which adds a batch route.
fn document(changes: u64) -> Value {
    let mut document = configuration(changes + 1, 0.0, 0.0);
    let routes = document["routes"].as_array_mut().expect("a list");
    let copy = |from: &Value, name: String| {
        let mut route = from.clone();
        route["prefix"] = format!("/{name}/").into();
        route["name"] = name.into();
        route
    };
    let (online, batch) = (routes[0].clone(), routes[4].clone());
    routes.extend((0..ONLINE_ROUTES).map(|n| copy(&online, format!("talk{n}"))));
    routes.extend((1..=changes).map(|n| copy(&batch, format!("orders{n}"))));
    document
}

/// Guards against items that are given up without a run because their worker, which was frozen, does
/// not know their route yet.
#[tokio::test(flavor = "multi_thread")]
async fn items_of_a_new_route_wait_until_their_worker_knows_it() {
    let fleet = TestFleet::start(4, 2).await;
    fleet.store.put("op/config", &document(0));
    tokio::time::sleep(PROPAGATION_TIME).await;
    let mut completed = 0;
    for round in 1..=ROUNDS {
        let usual = (0..USUAL_JOBS).map(|n| {
            let (fleet, job) = (&fleet, format!("usual{round}-{n}"));
            async move {
                let front = fleet.fronts[n % 4].caller_address();
                let sent = fleet.client.submit(front, &job, std::slice::from_ref(&job)).await;
                sent.is_some_and(|response| response.status == 202).then_some(job)
            }
        });
        let usual: Vec<_> = futures::future::join_all(usual).await;
        let job = usual.into_iter().flatten().next_back().expect("a job is accepted");
        let owner = &fleet.workers[fleet.claim_holder(&job).expect("a worker has the job")];
        tokio::time::sleep(CALM_TIME).await;
        owner.signal("STOP");
        tokio::time::sleep(STOP_TIME).await;
        fleet.store.put("op/config", &document(round));
        tokio::time::sleep(CHANGE_TIME).await;
        let prefix = format!("/orders{round}");
        let submissions = (0..JOBS).map(|n| {
            let (fleet, prefix) = (&fleet, &prefix);
            async move {
                tokio::time::sleep(JOB_INTERVAL * n as u32).await;
                let job = format!("order{round}-{n}");
                let front = fleet.fronts[n as usize % 4].caller_address();
                let list = items(ITEMS).into_iter().map(|item| format!("{job}-{item}")).collect();
                let list: Vec<String> = list;
                let client = &fleet.client;
                let response = client.submit_to(front, prefix, "key-1", &job, &list).await;
                response.filter(|response| response.status == 202).map(|_| job)
            }
        });
        let wake = async {
            tokio::time::sleep(WAKE_TIME).await;
            owner.signal("CONT");
        };
        let (accepted, ()) = tokio::join!(futures::future::join_all(submissions), wake);
        for job in accepted.into_iter().flatten() {
            for row in fleet.wait_results(0, &job, ITEMS).await {
                assert_eq!(row["state"], "completed", "{job}: {row}");
                completed += 1;
            }
        }
    }
    assert!(completed > 0, "no job was accepted while its worker was frozen");
}
