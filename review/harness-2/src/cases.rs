//! The cases.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::Process;
use crate::fleet::Size;
use crate::fleet::configuration;
use crate::record::Record;
use crate::runner::Behavior;
use crate::runner::output;

/// The result of a case.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

/// Runs a case by its name.
pub async fn run(case: &str, record: &Record, trouble: bool) -> Verdict {
    let result = match case {
        "expect-version" => expect_version(record, trouble).await,
        "second-answer" => second_answer(record, trouble).await,
        "front-memory" => front_memory(record, trouble).await,
        "public-route" => public_route(record, trouble).await,
        "worker-memory" => worker_memory(record, trouble).await,
        _ => Err(format!("no case {case}")),
    };
    result.unwrap_or_else(Verdict::NotRun)
}

const TENANTS: usize = 8;

/// Jobs of one client with large bodies.
const LARGE_JOBS: usize = 100;

/// Interval between two of them: six times the usual rate of jobs.
const LARGE_JOB_INTERVAL: Duration = Duration::from_millis(240);

/// LOST: items of an accepted job are never run after other items named a version of the weights
/// that the runners no longer have.
async fn expect_version(record: &Record, trouble: bool) -> Result<Verdict, String> {
    // The runners have changed from version 1 of the weights to version 2.
    let behavior = || Behavior { weights: 2, ..Behavior::default() };
    let fleet = Fleet::start(record, Size::default(), configuration(TENANTS), behavior).await?;
    let before: Vec<_> = (0..10).map(|_| fleet.item(&[])).collect();
    let job = fleet.id();
    if !fleet.submit(0, &job, &before).await || !wait_listed(&fleet, 0, &job, 10, 18).await {
        return Err("a job was not done before the disruption".to_owned());
    }
    let expected = if trouble { "1" } else { "2" };
    let pinned: Vec<_> =
        (0..10).map(|_| fleet.item(&[("Sesamewall-Expect-Version", expected)])).collect();
    let job = fleet.id();
    record.say(format!("tenant0 submits {job}, whose items expect version {expected}"));
    if !fleet.submit(0, &job, &pinned).await {
        return Err("the job of the disruption was not accepted".to_owned());
    }
    tokio::time::sleep(Duration::from_secs(8)).await;
    // The client ends that job, so that nothing of it is owed any more.
    for front in 0..fleet.doors.len() {
        let answer = fleet.job_call(front, 0, "DELETE", &format!("/lots/{job}")).await;
        if answer.is_some_and(|answer| answer.status == 200) {
            record.say(format!("tenant0 has ended {job}"));
            break;
        }
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut jobs = Vec::new();
    for tenant in 0..TENANTS {
        let items: Vec<_> = (0..5).map(|_| fleet.item(&[])).collect();
        let job = fleet.id();
        if fleet.submit(tenant, &job, &items).await {
            jobs.push((tenant, job, items));
        }
    }
    record.say(format!("{} ordinary jobs were accepted", jobs.len()));
    // All results are due 18 s after the submission, and `finishS` is 18 s more.
    let until = Instant::now() + Duration::from_secs(36);
    let mut missing = Vec::new();
    while Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(500)).await;
        missing = missing_items(&fleet, &jobs).await;
        if missing.is_empty() {
            break;
        }
    }
    Ok(judge_lost(&fleet, &missing))
}

/// Judges the rule about items that are not listed after `finishS`: it does not count if a runner had
/// one of them in the last 5 s, the runners are not under half full, or an item has finished in the
/// last 3 s.
fn judge_lost(fleet: &Fleet, missing: &[(usize, String, String)]) -> Verdict {
    let (now, record) = (Instant::now(), &fleet.record);
    let is_missing = |id: &str| missing.iter().any(|(_, _, item)| item == id);
    let recent = |at: Instant, seconds| now.duration_since(at) < Duration::from_secs(seconds);
    let finished = fleet.runners.iter().flat_map(|runner| runner.finished());
    let finished = finished.filter(|(at, _)| recent(*at, 3)).count();
    let runs = fleet.runners.iter().flat_map(|runner| runner.runs());
    let had = runs.filter(|run| recent(run.at, 5) && is_missing(&run.id)).count();
    let rejected = fleet.runners.iter().flat_map(|runner| runner.rejected());
    let rejected = rejected.filter(|(_, id, _)| is_missing(id)).count();
    let running: usize = fleet.runners.iter().map(|runner| runner.running()).sum();
    for (tenant, job, item) in missing {
        record.add(format!("item {item} of {job} of tenant{tenant} is not listed"));
    }
    record.say(format!(
        "not listed: {}; runs of these in the last 5 s: {had}; their rejections in all: {rejected}; \
         requests at runners now: {running}; items finished in the last 3 s: {finished}",
        missing.len()
    ));
    match missing.is_empty() {
        true => Verdict::Held("all items are listed".to_owned()),
        false if running > 0 || finished > 0 || had > 0 => {
            Verdict::Held("the runners were not idle".to_owned())
        }
        false => Verdict::Broken(format!(
            "LOST: {} items of accepted jobs are neither completed nor given up, and no runner has them",
            missing.len()
        )),
    }
}

type Jobs = [(usize, String, Vec<crate::fleet::Item>)];

/// Returns the items that no result lists, as tenant, job and item. A job is read at each front until
/// one returns its results.
async fn missing_items(fleet: &Fleet, jobs: &Jobs) -> Vec<(usize, String, String)> {
    let mut missing = Vec::new();
    for (n, (tenant, job, items)) in jobs.iter().enumerate() {
        let mut results = None;
        for front in 0..fleet.doors.len() {
            if results.is_none() {
                let front = (n + front) % fleet.doors.len();
                results = fleet.results(front, *tenant, job).await;
            }
        }
        let results = results.unwrap_or_default();
        for item in items {
            let listed = results.iter().any(|row| row["id"] == item.id.as_str());
            if !listed {
                missing.push((*tenant, job.clone(), item.id.clone()));
            }
        }
    }
    missing
}

/// Waits until a job lists `count` results. Returns whether it did within `seconds`.
async fn wait_listed(fleet: &Fleet, tenant: usize, job: &str, count: usize, seconds: u64) -> bool {
    let until = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < until {
        let results = fleet.results(0, tenant, job).await.unwrap_or_default();
        if results.len() == count {
            fleet.record.add(format!("job {job} lists {count} results"));
            return true;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    false
}

/// Items whose first two runs fail.
const FLAKY_ITEMS: usize = 6;

/// Interval between two of them.
const FLAKY_INTERVAL: Duration = Duration::from_millis(300);

/// Time from the start of a run to its answer of 500.
const FAILURE_TIME: Duration = Duration::from_millis(500);

/// MIXED: an item is given up before its third answer of 500, since a second copy of one is taken
/// for the answer to the next run.
async fn second_answer(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let failures: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let behavior = || Behavior {
        interval: Duration::from_millis(5),
        failure_time: FAILURE_TIME,
        failures: failures.clone(),
        ..Behavior::default()
    };
    let size = Size { fronts: 3, workers: 3, runners: 5 };
    let fleet = Fleet::start(record, size, configuration(TENANTS), behavior).await?;
    // Three of five runners send a few of their answers twice.
    let begun = Instant::now();
    for runner in &fleet.runners[..3] {
        runner.change(|behavior| behavior.second_answers = trouble);
    }
    // Ordinary answers, of which no failure is sent twice.
    for tenant in 0..2 {
        let ordinary: Vec<_> = (0..200).map(|_| fleet.item(&[])).collect();
        let job = fleet.id();
        if !fleet.submit(tenant, &job, &ordinary).await
            || !wait_listed(&fleet, tenant, &job, 200, 30).await
        {
            return Err("an ordinary job was not done".to_owned());
        }
    }
    let mut jobs = Vec::new();
    for n in 0..FLAKY_ITEMS {
        let mut item = fleet.item(&[]);
        // Each item has shared parts of its own, so that they are placed at different runners.
        let prefix = item.headers.iter_mut().find(|(name, _)| name == "Sesamewall-Prompt-Prefix");
        if let Some((_, value)) = prefix {
            *value = format!("{n:08x}:100,{}:250", &item.id[8..]);
        }
        failures.lock().expect("no panic under the lock").insert(item.id.clone(), 2);
        let job = fleet.id();
        if !fleet.submit(0, &job, std::slice::from_ref(&item)).await {
            return Err("a job was not accepted".to_owned());
        }
        jobs.push((job, item));
        tokio::time::sleep(FLAKY_INTERVAL).await;
    }
    tokio::time::sleep(FAILURE_TIME + FLAKY_INTERVAL).await;
    for runner in &fleet.runners {
        runner.change(|behavior| behavior.second_answers = false);
    }
    record.say(format!("the disruption lasted {} ms", begun.elapsed().as_millis()));
    let mut wrong = Vec::new();
    for (job, item) in jobs {
        if !wait_listed(&fleet, 0, &job, 1, 20).await {
            return Err("a job was not done".to_owned());
        }
        let results = fleet.results(0, 0, &job).await.ok_or("the results cannot be read")?;
        let failed: usize = fleet
            .runners
            .iter()
            .map(|runner| runner.failed().iter().filter(|id| **id == item.id).count())
            .sum();
        let state = results[0]["state"].as_str().unwrap_or_default().to_owned();
        record.say(format!("item {}: {state} after {failed} answers of 500", item.id));
        let right = match state.as_str() {
            "completed" => results[0]["output"] == output(&item.path, 20).as_str(),
            _ => failed >= 3,
        };
        if !right {
            wrong.push(item.id);
        }
    }
    let count = |behavior: &mut Behavior| behavior.sent_twice;
    let twice: u32 = fleet.runners.iter().map(|runner| runner.change(count)).sum();
    let answers: usize = fleet.runners[..3].iter().map(|runner| runner.runs().len()).sum();
    record.say(format!("{twice} of {answers} answers of three runners were sent twice"));
    Ok(match wrong.is_empty() {
        true => Verdict::Held("all results are right".to_owned()),
        false => Verdict::Broken(format!(
            "MIXED: {} of {FLAKY_ITEMS} items were given up before three answers of 500",
            wrong.len()
        )),
    })
}

/// Kills each process that uses more than the memory of its machine, and starts it again a second
/// later, as the platform does. Returns the number of ends by process when `done` is set.
fn watch_memory(
    mut processes: Vec<Process>,
    record: Record,
    done: Arc<AtomicBool>,
) -> tokio::task::JoinHandle<Vec<(String, usize)>> {
    tokio::spawn(async move {
        let mut ends: Vec<usize> = vec![0; processes.len()];
        let mut peaks: Vec<u64> = vec![0; processes.len()];
        let mut down: Vec<Option<Instant>> = vec![None; processes.len()];
        while !done.load(Ordering::Relaxed) {
            for (n, process) in processes.iter_mut().enumerate() {
                match down[n] {
                    Some(at) if at.elapsed() < Duration::from_secs(1) => {}
                    Some(_) => {
                        down[n] = None;
                        if let Err(error) = process.restart() {
                            record.say(format!("{} does not start: {error}", process.name));
                        }
                    }
                    None => {
                        let memory = process.memory();
                        peaks[n] = peaks[n].max(memory);
                        if memory > process.memory_mb {
                            record.add(format!(
                                "{} uses {memory} MB of {} and is killed",
                                process.name, process.memory_mb
                            ));
                            process.kill();
                            ends[n] += 1;
                            down[n] = Some(Instant::now());
                        }
                    }
                }
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        record.say(format!("peak memory of the processes in MB: {peaks:?}"));
        let names = processes.iter().map(|process| process.name.clone()).collect::<Vec<_>>();
        processes.iter_mut().for_each(Process::kill);
        names.into_iter().zip(ends).collect()
    })
}

/// Fault and LOST: workers keep the bodies of all accepted jobs and use more than their memory; the
/// jobs follow to the next worker.
async fn worker_memory(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let behavior = || Behavior { events: 190, ..Behavior::default() };
    let size = Size { runners: 12, ..Size::default() };
    let mut fleet = Fleet::start(record, size, configuration(TENANTS), behavior).await?;
    let done = Arc::new(AtomicBool::new(false));
    let watch = watch_memory(std::mem::take(&mut fleet.workers), record.clone(), done.clone());
    // A submission of ten items with these bodies is below `maxBodyBytes` of 4 MB.
    let bytes = if trouble { 290_000 } else { 1_500 };
    let mut jobs = Vec::new();
    for _ in 0..LARGE_JOBS {
        let items: Vec<_> = (0..10)
            .map(|_| {
                let mut item = fleet.item(&[]);
                item.body = vec![b'x'; bytes];
                item
            })
            .collect();
        let job = fleet.id();
        let next = Instant::now() + LARGE_JOB_INTERVAL;
        if fleet.submit(0, &job, &items).await {
            jobs.push((0, job, items));
        }
        tokio::time::sleep(next.saturating_duration_since(Instant::now())).await;
    }
    record
        .say(format!("{} of {LARGE_JOBS} jobs with bodies of {bytes} bytes accepted", jobs.len()));
    let mut ordinary = Vec::new();
    for tenant in 1..TENANTS {
        let items: Vec<_> = (0..5).map(|_| fleet.item(&[])).collect();
        let job = fleet.id();
        if fleet.submit(tenant, &job, &items).await {
            ordinary.push((tenant, job, items));
        }
    }
    record.say(format!("{} of {} ordinary jobs accepted", ordinary.len(), TENANTS - 1));
    let until = Instant::now() + Duration::from_secs(45);
    let mut missing = Vec::new();
    while Instant::now() < until {
        tokio::time::sleep(Duration::from_secs(1)).await;
        missing = missing_items(&fleet, &ordinary).await;
        if missing.is_empty() && !trouble {
            break;
        }
    }
    let large = missing_items(&fleet, &jobs).await.len();
    record.say(format!(
        "items of the jobs with bodies of {bytes} bytes that are not listed: {large} of {}",
        jobs.len() * 10
    ));
    done.store(true, Ordering::Relaxed);
    let ends = watch.await.map_err(|error| error.to_string())?;
    record.say(format!("ends by memory: {ends:?}; ordinary items not listed: {}", missing.len()));
    Ok(judge_ends(&ends))
}

/// LOST: jobs that are accepted on a public route cannot be read.
async fn public_route(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut config = configuration(TENANTS);
    let fleet = Fleet::start(record, Size::default(), config.clone(), Behavior::default).await?;
    // The operator adds a batch route.
    let mut route = config["routes"][1].clone();
    route["name"] = "open".into();
    route["prefix"] = "/open/".into();
    route["public"] = trouble.into();
    let routes = config["routes"].as_array_mut().ok_or("the configuration has no routes")?;
    routes.push(route);
    config["version"] = 5.into();
    fleet.write_configuration(&config);
    record.say(format!("version 5 adds a batch route with public = {trouble}"));
    tokio::time::sleep(Duration::from_secs(4)).await;
    let mut jobs = Vec::new();
    for tenant in 0..4 {
        let mut items: Vec<_> = (0..5).map(|_| fleet.item(&[])).collect();
        for item in &mut items {
            item.path = item.path.replace("/jobs/", "/open/");
        }
        let job = fleet.id();
        if fleet.submit_under("open", tenant, &job, &items).await {
            jobs.push((tenant, job, items));
        }
    }
    if jobs.len() < 4 {
        return Err("a job was not accepted".to_owned());
    }
    // `settleMs` is 1 s. The clients read twice a second until the results are due.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (mut not_found, mut reads) = (0, 0);
    for round in 0..36 {
        for (tenant, job, _) in &jobs {
            let path = format!("/lots/{job}?after=0");
            let answer = fleet.job_call(round % 3, *tenant, "GET", &path).await;
            let status = answer.map_or(0, |answer| answer.status);
            record.add(format!("{job} read at front {}: {status}", round % 3));
            reads += 1;
            not_found += usize::from([404, 410].contains(&status));
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let finished: usize = fleet.runners.iter().map(|runner| runner.finished().len()).sum();
    record.say(format!(
        "{finished} items ran to their end; {not_found} of {reads} reads were answered 404 or 410"
    ));
    Ok(match not_found {
        0 => Verdict::Held("all jobs were found".to_owned()),
        _ => Verdict::Broken(format!(
            "LOST: {not_found} of {reads} reads of accepted jobs were answered 404 or 410"
        )),
    })
}

/// Bursts of jobs, the jobs of each, and the interval between two of them: six times the usual rate
/// for three seconds.
const BURSTS: usize = 4;
const BURST_JOBS: usize = 12;
const BURST_INTERVAL: Duration = Duration::from_millis(250);

/// Pause between two bursts.
const BURST_PAUSE: Duration = Duration::from_secs(3);

/// Fault: fronts keep the results of the jobs that they have read, and use more than their memory.
async fn front_memory(record: &Record, trouble: bool) -> Result<Verdict, String> {
    // The largest and the mean numbers of items and events, and sizes of events, of the site's file.
    let (read_items, events, piece_bytes) = if trouble { (24, 306, 420) } else { (10, 191, 70) };
    let interval = Duration::from_millis(3);
    let behavior = || Behavior { events, interval, piece_bytes, ..Behavior::default() };
    let size = Size { runners: 12, ..Size::default() };
    let mut fleet = Fleet::start(record, size, configuration(TENANTS), behavior).await?;
    let done = Arc::new(AtomicBool::new(false));
    let mut processes = std::mem::take(&mut fleet.fronts);
    processes.append(&mut fleet.workers);
    let watch = watch_memory(processes, record.clone(), done.clone());
    let mut jobs = Vec::new();
    for _ in 0..BURSTS {
        for n in 0..BURST_JOBS {
            let next = Instant::now() + BURST_INTERVAL;
            let items: Vec<_> = (0..read_items).map(|_| fleet.item(&[])).collect();
            let job = fleet.id();
            if !fleet.submit(n % TENANTS, &job, &items).await {
                return Err("a job was not accepted".to_owned());
            }
            jobs.push((n % TENANTS, job));
            tokio::time::sleep(next.saturating_duration_since(Instant::now())).await;
        }
        tokio::time::sleep(BURST_PAUSE).await;
    }
    record.say(format!("{} jobs of {read_items} items accepted", jobs.len()));
    let mut complete = 0;
    let until = Instant::now() + Duration::from_secs(55);
    let mut front = 0;
    // Clients read all jobs at each front in turn, from the start.
    while Instant::now() < until {
        front = (front + 1) % fleet.doors.len();
        complete = 0;
        for (tenant, job) in &jobs {
            let results = fleet.results(front, *tenant, job).await.unwrap_or_default();
            complete += usize::from(results.len() == read_items);
        }
        record.add(format!("{complete} whole jobs read at front {front}"));
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    done.store(true, Ordering::Relaxed);
    let ends = watch.await.map_err(|error| error.to_string())?;
    record.say(format!("ends by memory: {ends:?}; whole jobs in the last round: {complete}"));
    Ok(judge_ends(&ends))
}

/// Judges the rule about processes that end by themselves.
fn judge_ends(ends: &[(String, usize)]) -> Verdict {
    let often = ends.iter().filter(|(_, count)| *count >= 3).count();
    match often >= 2 {
        true => Verdict::Broken(format!(
            "Fault: on {often} machines a process ended three times or more by itself"
        )),
        false => Verdict::Held(format!("{often} machines with three ends")),
    }
}
