//! One item of a batch job crashes each runner that begins to run it.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use review_harness::Client;
use review_harness::Deployment;
use review_harness::ItemBody;
use review_harness::LOT_HOST;
use review_harness::NodeSpec;
use review_harness::Record;
use review_harness::Run;
use review_harness::Runner;
use review_harness::RunnerSettings;
use review_harness::Verdict;
use review_harness::configuration;
use review_harness::is_trouble;
use review_harness::route;
use review_harness::run_case;

/// Time after which a crashed runner is back.
const DOWN_TIME: Duration = Duration::from_secs(3);

/// Time from the submission to the end of the case.
const WATCH_TIME: Duration = Duration::from_secs(60);

/// `stableMs` of the settings.
const STABLE_TIME: Duration = Duration::from_millis(3000);

/// Retries after the third crash that the rule allows.
const ALLOWED: usize = 3;

/// Time between two online requests.
const ONLINE_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two further jobs, all of whose items are sound.
const JOB_INTERVAL: Duration = Duration::from_secs(2);

/// Returns ten items. `is_deadly` selects those that crash their runners.
fn items(name: &str, is_deadly: impl Fn(usize) -> bool) -> Vec<ItemBody> {
    (0..10)
        .map(|n| ItemBody {
            id: format!("{name}{n}"),
            path: format!("/jobs/{name}{n}/{}", if is_deadly(n) { "deadly" } else { "x" }),
            tokens: (250, 100),
            ..ItemBody::default()
        })
        .collect()
}

async fn case(record: Record) -> Verdict {
    let mut runners = Vec::new();
    for n in 0..6 {
        let crash = is_trouble().then_some(("/deadly", DOWN_TIME));
        let settings = RunnerSettings { crash, ..RunnerSettings::default() };
        let runner = Runner::start(&format!("r{n}"), settings, &record).await;
        runners.push((runner, if n % 2 == 0 { "a" } else { "b" }));
    }
    let nodes = [
        NodeSpec { zone: "a", front: true },
        NodeSpec { zone: "b", front: true },
        NodeSpec { zone: "a", front: false },
        NodeSpec { zone: "b", front: false },
    ];
    let mut once = route("once", "talk.example", "/talk/", "streaming");
    once["resumable"] = false.into();
    once["maxAttempts"] = 1.into();
    let config = configuration(1, vec![once, route("lots", LOT_HOST, "/jobs/", "batch")]);
    let Some(deployment) = Deployment::start(&record, &nodes, runners, &config).await else {
        return Verdict::NotRun;
    };
    let client = Client::new(&record, "key-1");
    let fronts = deployment.fronts();
    let items = items("item", |n| n == 4);
    if client.submit(fronts[0], LOT_HOST, "/jobs/", "job1", &items).await.status != 202 {
        return Verdict::NotRun;
    }
    let until = Instant::now() + WATCH_TIME;
    let further = tokio::spawn(submit_sound(client.clone(), fronts.clone(), until));
    let mut online = Vec::new();
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let (client, front) = (client.clone(), fronts[number % fronts.len()]);
        online.push(tokio::spawn(async move {
            let (path, id) = (format!("/talk/{number}"), format!("online{number}"));
            let body = Bytes::from_static(b"hello");
            let limit = Duration::from_secs(5);
            let sent = client.call(front, Method::POST, "talk.example", &path, &id, body, limit);
            sent.await.status
        }));
        tokio::time::sleep(ONLINE_INTERVAL).await;
    }
    let mut served = 0;
    for request in online {
        served += usize::from(request.await.is_ok_and(|status| status == 200));
    }
    let jobs = further.await.unwrap_or_default();
    let mut sound = 0;
    for job in &jobs {
        let rows = client.read_all(fronts[0], LOT_HOST, job).await.unwrap_or_default();
        sound += rows.iter().filter(|row| row["state"] == "completed").count();
    }
    let mut runs: Vec<Run> =
        deployment.runners.iter().flat_map(Runner::runs).filter(|run| run.id == "item4").collect();
    runs.sort_by_key(|run| run.began);
    let third = runs.get(2).map(|run| run.began);
    let late =
        third.map_or(0, |third| runs.iter().filter(|run| run.began > third + STABLE_TIME).count());
    let listed = client.read_all(fronts[0], LOT_HOST, "job1").await.unwrap_or_default().len();
    record.line(format!(
        "the item ran {} times, {late} of them later than 3 s after the third; {listed} of {} items \
         are listed; {sound} of {} items of other jobs were completed; {served} of {number} online \
         requests were served",
        runs.len(),
        items.len(),
        jobs.len() * items.len()
    ));
    match late > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Submits further jobs until `until`, and returns those that were accepted.
async fn submit_sound(client: Client, fronts: Vec<SocketAddr>, until: Instant) -> Vec<String> {
    let mut accepted = Vec::new();
    for number in 0_usize.. {
        tokio::time::sleep(JOB_INTERVAL).await;
        // The last job has time to end.
        if Instant::now() + Duration::from_secs(8) > until {
            break;
        }
        let job = format!("sound{number}");
        let items = items(&format!("s{number}n"), |_| false);
        let front = fronts[number % fronts.len()];
        if client.submit(front, LOT_HOST, "/jobs/", &job, &items).await.status == 202 {
            accepted.push(job);
        }
    }
    accepted
}

fn main() {
    run_case(case);
}
