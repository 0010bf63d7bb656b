//! A batch job is read after the operator has removed the route on which it was accepted.

use std::time::Duration;

use review_harness::Client;
use review_harness::Deployment;
use review_harness::ItemBody;
use review_harness::LOT_HOST;
use review_harness::NodeSpec;
use review_harness::Record;
use review_harness::Runner;
use review_harness::RunnerSettings;
use review_harness::Verdict;
use review_harness::configuration;
use review_harness::is_trouble;
use review_harness::route;
use review_harness::run_case;
use serde_json::Value;

/// Time by which a configuration is in force, and one second more.
const IN_FORCE: Duration = Duration::from_millis(3000);

/// Returns a configuration with an online route, and with the batch route on a host of its own.
fn documents(version: u64, with_batch: bool) -> Value {
    let mut routes = vec![route("talk", "talk.example", "/talk/", "streaming")];
    if with_batch {
        routes.push(route("lots", LOT_HOST, "/jobs/", "batch"));
    }
    configuration(version, routes)
}

async fn case(record: Record) -> Verdict {
    let mut runners = Vec::new();
    for (name, zone) in [("r1", "a"), ("r2", "a"), ("r3", "b"), ("r4", "b")] {
        runners.push((Runner::start(name, RunnerSettings::default(), &record).await, zone));
    }
    let nodes = [
        NodeSpec { zone: "a", front: true },
        NodeSpec { zone: "b", front: true },
        NodeSpec { zone: "a", front: false },
        NodeSpec { zone: "b", front: false },
    ];
    let Some(deployment) = Deployment::start(&record, &nodes, runners, &documents(1, true)).await
    else {
        return Verdict::NotRun;
    };
    let client = Client::new(&record, "key-1");
    let fronts = deployment.fronts();
    let items: Vec<ItemBody> = (0..10)
        .map(|n| ItemBody {
            id: format!("item{n:02}"),
            path: format!("/jobs/{n}/x"),
            tokens: (250, 100),
            ..ItemBody::default()
        })
        .collect();
    let accepted = client.submit(fronts[0], LOT_HOST, "/jobs/", "job1", &items).await;
    if accepted.status != 202 {
        return Verdict::NotRun;
    }
    // All results are read once at each front before the change.
    let mut known: Vec<Value> = Vec::new();
    for _ in 0..60 {
        tokio::time::sleep(Duration::from_millis(250)).await;
        known = client.read_all(fronts[0], LOT_HOST, "job1").await.unwrap_or_default();
        if known.len() == items.len() {
            break;
        }
    }
    let completed = known.iter().filter(|row| row["state"] == "completed").count();
    if completed != items.len() {
        record.line(format!("only {completed} items were completed before the change"));
        return Verdict::NotRun;
    }
    if is_trouble() {
        deployment.configure(&documents(2, false));
    }
    tokio::time::sleep(IN_FORCE).await;
    let mut not_found = 0;
    let mut changed = 0;
    for _ in 0..10 {
        for front in &fronts {
            let page = client.read(*front, LOT_HOST, "job1", 0).await;
            match page.status {
                404 | 410 => not_found += 1,
                200 if page.json()["results"].as_array() != Some(&known) => changed += 1,
                _ => {}
            }
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    // The end of the day: the job is read from the start, again after each failure.
    let mut readable = false;
    for attempt in 0..10 {
        let rows = client.read_all(fronts[attempt % fronts.len()], LOT_HOST, "job1").await;
        if rows.as_ref() == Some(&known) {
            readable = true;
            break;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    record.line(format!(
        "{not_found} reads got 404 or 410, {changed} other results; readable at the end: {readable}"
    ));
    match not_found > 0 || changed > 0 || !readable {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

fn main() {
    run_case(case);
}
