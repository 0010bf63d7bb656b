//! Seeded soak: a fleet under series of faults that overlap, with checks on the record afterwards.

#[path = "soak/breaches.rs"]
mod breaches;
#[path = "soak/clients.rs"]
pub mod clients;
#[path = "soak/player.rs"]
mod player;
#[path = "soak/record.rs"]
mod record;
#[path = "soak/schedule.rs"]
mod schedule;

use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use sesamewall_platform_standin::StandinClient;
use sesamewall_platform_standin::StandinTarget;

use crate::fixture::FleetSettings;
use crate::fixture::Process;
use crate::fixture::TestFleet;
use crate::fixture::chosen_log_folder;
use crate::fixture::wait_until;
use crate::soak::clients::World;
use crate::soak::player::Player;
use crate::soak::record::Record;
use crate::soak::record::STABLE_TIME;
use crate::soak::schedule::FAULT_TIME;
use crate::soak::schedule::TARGETS;
use crate::soak_streams::StreamReaders;

/// Environment variables of a run by hand: a range of seeds, and the processes of large fleets.
const SEEDS_VARIABLE: &str = "SESAMEWALL_SOAK_SEEDS";
const PROCESSES_VARIABLE: &str = "SESAMEWALL_SOAK_PROCESSES";

const CI_SEEDS: Range<u64> = 1..4;

const SMALL_FLEET: usize = 7;

/// Of this many seeds, one plays a large fleet.
const LARGE_FLEET_INTERVAL: u64 = 5;

/// Time without faults in which all accepted jobs end (`finishS`).
const FINISH_TIME: Duration = Duration::from_secs(18);

/// Time without a start of an item or a new result after which nobody works on an open job.
const STANDSTILL_TIME: Duration = Duration::from_secs(5);

/// Least time without faults: an end is acknowledged, and its items may start for `cancelMs` after
/// the instances were stable for `stableMs`.
const SHORTEST_CALM: Duration = Duration::from_secs(7);

/// Time without faults after which a soak ends although items still run.
const LONGEST_CALM: Duration = Duration::from_secs(60);

/// Interval between two looks at the open jobs.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// Guards against losses that only series of overlapping faults show.
#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_loses_nothing_in_overlapping_faults() {
    play_seeds(CI_SEEDS, &[]).await;
}

/// Plays the seeds of a run by hand, or `ci_seeds`, and checks that none has findings. With `versions`
/// each of them is that of two targets, and clients take streams up again.
pub async fn play_seeds(ci_seeds: Range<u64>, versions: &'static [&'static str]) {
    let seeds = match std::env::var(SEEDS_VARIABLE) {
        Ok(text) => parse_range(&text).expect("a range of seeds such as 0..50"),
        Err(_) => ci_seeds,
    };
    let large = std::env::var(PROCESSES_VARIABLE)
        .ok()
        .map(|text| text.parse::<usize>().expect("a number of processes").clamp(SMALL_FLEET, 100));
    let mut failed = Vec::new();
    for seed in seeds {
        let is_large = seed % LARGE_FLEET_INTERVAL == LARGE_FLEET_INTERVAL - 1;
        let processes = large.filter(|_| is_large).unwrap_or(SMALL_FLEET);
        if !soak(seed, processes, versions).await {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds with findings: {failed:?}");
}

/// Guards against schedules that cannot be played again.
#[test]
fn a_schedule_depends_on_its_seed_only() {
    let text = |seed| format!("{:?}", schedule::draw(seed, 3, 4));
    assert_eq!(text(7), text(7));
    assert_ne!(text(7), text(8));
}

fn parse_range(text: &str) -> Option<Range<u64>> {
    let (start, end) = text.split_once("..")?;
    Some(start.parse().ok()?..end.parse().ok()?)
}

/// Plays one seed and returns whether all checks hold.
async fn soak(seed: u64, processes: usize, versions: &'static [&'static str]) -> bool {
    let workers = processes / 2 + usize::from(processes == SMALL_FLEET);
    let fronts = processes - workers;
    let mut kept = tempfile::tempdir().expect("a temporary folder");
    // Without a folder for logs they are kept only if a check fails.
    let logs = match chosen_log_folder() {
        Some(folder) => folder.join(format!("seed-{seed}")),
        None => kept.path().to_owned(),
    };
    std::fs::create_dir_all(&logs).expect("a folder for logs");
    let settings =
        FleetSettings { fronts, workers, logs: Some(logs.clone()), ..FleetSettings::default() };
    let mut fleet = TestFleet::start_with(settings).await;
    for number in fleet.targets.len()..TARGETS {
        fleet.targets.push(StandinTarget::start(&format!("t{}", number + 1)).await);
    }
    let addresses = fleet.fronts.iter().map(Process::caller_address).collect();
    let world = Arc::new(World {
        record: Record::with_versions(versions),
        fronts: addresses,
        seed,
        is_over: AtomicBool::new(false),
    });
    let events = schedule::draw(seed, fronts, workers);
    let mut player = Player::new(fleet, world.clone());
    let clock = tokio::spawn({
        let world = world.clone();
        async move { world.record.watch_clock().await }
    });
    let clients = start_clients(&world);
    let readers = StreamReaders::start(&world, versions);
    player.play(&events).await;
    player.heal().await;
    let healed = Instant::now();
    let last = player.wait_calm(&world, healed).await;
    world.is_over.store(true, Ordering::Relaxed);
    futures::future::join_all(clients).await;
    readers.stop(&world, healed + STABLE_TIME).await;
    player.read_all(&world).await;
    let ends = world.record.check_calls(&player.fleet.targets);
    world.record.check_items(&player.fleet.targets, fronts);
    clock.abort();
    let paused = world.record.paused_since(healed.checked_sub(FAULT_TIME).unwrap_or(healed));
    let findings = world.record.findings();
    println!(
        "seed {seed}: {fronts} fronts, {workers} workers, {} faults, {} jobs accepted, calls {ends}, \
         all listed {:.1} s after the last fault, test paused for {} ms, {} findings",
        events.len(),
        world.record.accepted_jobs().len(),
        last.as_secs_f64(),
        paused.as_millis(),
        findings.len()
    );
    if !findings.is_empty() {
        kept.disable_cleanup(true);
        println!("  logs: {}", logs.display());
        for event in &events {
            println!("  {:>6} ms {:?}", event.at.as_millis(), event.action);
        }
        for finding in &findings {
            println!("  found: {finding}");
        }
    }
    findings.is_empty()
}

fn start_clients(world: &Arc<World>) -> Vec<tokio::task::JoinHandle<()>> {
    let callers = if world.fronts.len() > SMALL_FLEET { 1 } else { 3 };
    let mut tasks = Vec::new();
    for front in 0..world.fronts.len() {
        for caller in 0..callers {
            let number = (front * callers + caller) as u64;
            tasks.push(tokio::spawn(clients::call(world.clone(), front, number)));
        }
    }
    for (number, plan) in clients::draw_jobs(world.seed, FAULT_TIME).into_iter().enumerate() {
        tasks.push(tokio::spawn(clients::run_job(world.clone(), plan, number as u64)));
    }
    tasks
}

impl Player {
    /// Waits until all accepted jobs are listed, or nobody works on one of them any more. Returns
    /// the time since the last fault.
    async fn wait_calm(&mut self, world: &World, healed: Instant) -> Duration {
        let item_starts = |targets: &[StandinTarget]| {
            let requests = targets.iter().flat_map(StandinTarget::requests);
            requests.filter(|request| request.path.starts_with("/jobs/")).count()
        };
        let mut completed = None;
        let (mut starts, mut last_start) = (item_starts(&self.fleet.targets), healed);
        loop {
            tokio::time::sleep(LOOK_INTERVAL).await;
            self.poll();
            let open = world.record.open_jobs();
            let complete = open.is_empty().then(|| *completed.get_or_insert(healed.elapsed()));
            if let Some(time) = complete {
                if healed.elapsed() >= SHORTEST_CALM {
                    return time;
                }
                continue;
            }
            let count = item_starts(&self.fleet.targets);
            if count != starts {
                (starts, last_start) = (count, Instant::now());
            }
            let last = world.record.last_row().map_or(last_start, |at| at.max(last_start));
            let stands = last.elapsed() >= STANDSTILL_TIME + world.record.paused_since(last);
            let is_over = healed.elapsed() >= FINISH_TIME + world.record.paused_since(healed);
            if (is_over && stands) || healed.elapsed() >= LONGEST_CALM {
                self.report_open_jobs(world, &open, stands);
                return healed.elapsed();
            }
        }
    }

    fn report_open_jobs(&self, world: &World, open: &[String], stands: bool) {
        let kind = if stands { "nobody works on" } else { "not in time:" };
        for (name, job) in world.record.accepted_jobs() {
            if !open.contains(&name) {
                continue;
            }
            let claim = self.fleet.claim(&name);
            let claim = claim.map(|value| String::from_utf8_lossy(&value).into_owned());
            let accepted = job.accepted.map(|at| world.record.time(at)).unwrap_or_default();
            world.record.find(format!(
                "{kind} {name}: {} of {} items listed, accepted at {accepted}, claim {claim:?}",
                job.rows.len(),
                job.items
            ));
        }
    }

    /// Reads all accepted jobs from their start at each front, and compares positions that were
    /// read before.
    async fn read_all(&mut self, world: &World) {
        for (number, address) in world.fronts.iter().enumerate() {
            let client = StandinClient::default();
            let serves = || async {
                let sent = client.send(
                    *address,
                    Method::POST,
                    "/same/last",
                    "last",
                    "key-1",
                    Bytes::new(),
                );
                sent.await.is_some_and(|response| response.status == 200)
            };
            if !wait_until(serves).await {
                world.record.find(format!("front {number} does not serve after the faults"));
                continue;
            }
            for (name, job) in world.record.accepted_jobs() {
                match client.all_results(*address, &name).await {
                    Some(rows) if rows.len() >= job.rows.len() => {
                        let (total, next) = (job.items, rows.len());
                        let page =
                            serde_json::json!({ "total": total, "next": next, "results": rows });
                        world.record.add_page(&name, 0, &page, number);
                    }
                    rows => world.record.find(format!(
                        "{name} at front {number}: {:?} results of {} that were read",
                        rows.map(|rows| rows.len()),
                        job.rows.len()
                    )),
                }
            }
        }
    }
}
