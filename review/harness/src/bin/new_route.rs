//! Batch jobs come on a route that the operator has just added.

use std::net::SocketAddr;
use std::time::Duration;

use review_harness::Client;
use review_harness::Deployment;
use review_harness::ItemBody;
use review_harness::LOT_HOST;
use review_harness::Machine;
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

/// Number of changes of the configuration.
const ROUNDS: u64 = 4;

/// Time from the jobs of a change to the next one: idle connections between machines are closed.
const PAUSE: Duration = Duration::from_secs(16);

/// Online routes, as many as a change of the largest kind adds.
const ONLINE_ROUTES: usize = 350;

/// Jobs on the other route that come at once before each change.
const USUAL_JOBS: usize = 40;

/// Jobs on the new route, and the time between two jobs.
const JOBS: usize = 60;
const JOB_INTERVAL: Duration = Duration::from_millis(6);

/// Time from the first job on the new route to the end of the freeze.
const WAKE_TIME: Duration = Duration::from_millis(600);

/// Returns the configuration after this number of changes, each of which adds a batch route.
fn documents(changes: u64) -> Value {
    let mut routes = vec![route("lots", LOT_HOST, "/jobs/", "batch")];
    for n in 0..ONLINE_ROUTES {
        let (name, prefix) = (format!("talk{n}"), format!("/talk{n}/"));
        routes.push(route(&name, "talk.example", &prefix, "streaming"));
    }
    for n in 1..=changes {
        let (name, prefix) = (format!("orders{n}"), format!("/orders{n}/"));
        routes.push(route(&name, LOT_HOST, &prefix, "batch"));
    }
    configuration(changes + 1, routes)
}

async fn case(record: Record) -> Verdict {
    let mut runners = Vec::new();
    for (name, zone) in [("r1", "a"), ("r2", "a"), ("r3", "b"), ("r4", "b")] {
        runners.push((Runner::start(name, RunnerSettings::default(), &record).await, zone));
    }
    let nodes = [
        NodeSpec { zone: "a", front: true },
        NodeSpec { zone: "b", front: true },
        NodeSpec { zone: "a", front: true },
        NodeSpec { zone: "b", front: true },
        NodeSpec { zone: "a", front: false },
        NodeSpec { zone: "b", front: false },
    ];
    let Some(deployment) = Deployment::start(&record, &nodes, runners, &documents(0)).await else {
        return Verdict::NotRun;
    };
    let mut jobs = Jobs { client: Client::new(&record, "key-1"), fronts: deployment.fronts() };
    let mut given_up = Vec::new();
    let mut completed = 0;
    for round in 1..=ROUNDS {
        let Some(accepted) = play(&record, &deployment, &mut jobs, round).await else {
            return Verdict::NotRun;
        };
        tokio::time::sleep(PAUSE).await;
        for job in &accepted {
            let rows = jobs.client.read_all(jobs.fronts[0], LOT_HOST, job).await;
            let rows = rows.unwrap_or_default();
            completed += rows.iter().filter(|row| row["state"] == "completed").count();
            let lost = rows.iter().filter(|row| row["state"] == "dead_letter");
            given_up.extend(lost.map(|row| row["id"].as_str().unwrap_or("?").to_owned()));
        }
    }
    let runs: Vec<String> =
        deployment.runners.iter().flat_map(Runner::runs).map(|run| run.id).collect();
    let never_run = given_up.iter().filter(|id| !runs.contains(id)).count();
    record.line(format!(
        "{completed} items completed, {} listed as dead_letter, {never_run} of them never sent to a \
         runner: {}",
        given_up.len(),
        given_up.join(", ")
    ));
    match given_up.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}

/// The client of the jobs.
struct Jobs {
    client: Client,
    fronts: Vec<SocketAddr>,
}

impl Jobs {
    /// Submits jobs of some items on a route, with this time between two jobs, and returns those
    /// that were accepted.
    async fn submit(
        &self,
        prefix: &str,
        name: &str,
        (count, interval): (usize, Duration),
        items: usize,
    ) -> Vec<String> {
        let tasks: Vec<_> = (0..count)
            .map(|n| {
                let (client, front) = (self.client.clone(), self.fronts[n % self.fronts.len()]);
                let (job, prefix) = (format!("{name}n{n:02}"), prefix.to_owned());
                tokio::spawn(async move {
                    tokio::time::sleep(interval * n as u32).await;
                    let items: Vec<ItemBody> = (0..items)
                        .map(|item| ItemBody {
                            id: format!("{job}i{item}"),
                            path: format!("{prefix}{n}/{item}"),
                            tokens: (250, 100),
                            ..ItemBody::default()
                        })
                        .collect();
                    let answer = client.submit(front, LOT_HOST, &prefix, &job, &items).await;
                    (answer.status == 202).then_some(job)
                })
            })
            .collect();
        let mut accepted = Vec::new();
        for task in tasks {
            accepted.extend(task.await.ok().flatten());
        }
        accepted
    }
}

/// Plays one change of the configuration: the worker that takes the tenant's jobs freezes, a route is
/// added, jobs come on it, and the worker goes on. Returns the accepted jobs of the new route.
async fn play(
    record: &Record,
    deployment: &Deployment,
    jobs: &mut Jobs,
    round: u64,
) -> Option<Vec<String>> {
    let usual =
        jobs.submit("/jobs/", &format!("usual{round}"), (USUAL_JOBS, Duration::ZERO), 1).await;
    // The worker that takes the jobs of the tenant is the one that has claimed the last one.
    let key_end = format!("/{}/claim", usual.last()?);
    let claims = deployment.store.keys("sesamewall/job/");
    let claim = claims.into_iter().find(|key| key.ends_with(&key_end))?;
    let claim = deployment.store.value(&claim)?;
    let holder = String::from_utf8_lossy(&claim).into_owned();
    let (holder, _boot) = holder.split_once(' ')?;
    let owner: &Machine = deployment.machines.iter().find(|machine| machine.name == holder)?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    if is_trouble() {
        record.line(format!("{} freezes", owner.name));
        owner.signal("STOP");
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    deployment.configure(&documents(round));
    tokio::time::sleep(Duration::from_millis(100)).await;
    let prefix = format!("/orders{round}/");
    let name = format!("order{round}");
    let submission = jobs.submit(&prefix, &name, (JOBS, JOB_INTERVAL), 3);
    let wake = async {
        tokio::time::sleep(WAKE_TIME).await;
        if is_trouble() {
            record.line(format!("{} goes on", owner.name));
            owner.signal("CONT");
        }
    };
    Some(tokio::join!(submission, wake).0)
}

fn main() {
    run_case(case);
}
