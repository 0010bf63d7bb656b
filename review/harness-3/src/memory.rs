//! Clients submit many batch jobs of legal size at once. Their worker keeps all of them in its memory,
//! is ended by the platform, and takes all of them up again when it is back.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use sesamewall_platform_standin::configuration;
use sesamewall_platform_standin::with_accounts;
use tokio::task::JoinSet;

use crate::Case;
use crate::Verdict;
use crate::fleet::FRONTS;
use crate::fleet::Fleet;
use crate::fleet::Process;
use crate::fleet::RUNNERS;
use crate::fleet::SLOTS;
use crate::fleet::start_runners;
use crate::jobs::FINISH_TIME;
use crate::jobs::Job;
use crate::jobs::is_lost;
use crate::runner::Behavior;

/// Events of an item, as the sheet of the site has them.
const EVENTS: u64 = 191;
const EVENT_INTERVAL: Duration = Duration::from_millis(10);

/// Two accounts with crowds of clients, and the jobs of each. A job has five items with bodies of
/// 570,000 bytes, the largest of the site, so that the submission (3.8 MB) is within the largest legal
/// body (4,194,304 bytes). Without the disruption each of them submits one such job.
const CROWDS: [&str; 2] = ["crowd-a", "crowd-b"];
const CROWD_JOBS: usize = 24;
const CROWD_ITEMS: usize = 5;
const CROWD_ITEM_BYTES: usize = 760_000;

/// Other accounts, each with a usual job: ten items of 15,000 bytes.
const USUAL: [&str; 4] = ["acme", "birch", "cedar", "dune"];
const USUAL_ITEMS: usize = 10;
const USUAL_ITEM_BYTES: usize = 20_000;

/// Time between two submissions of a crowd, between the crowds, and before the usual jobs.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(30);
const CROWD_INTERVAL: Duration = Duration::from_secs(6);
const USUAL_DELAY: Duration = Duration::from_secs(9);

/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// The rule `Fault` names three ends on a tenth of the machines in use, two at least.
const FAULT_ENDS: usize = 3;
const FAULT_MACHINES: usize = 2;

/// What the platform has seen of one machine.
#[derive(Default)]
struct Watched {
    ends: usize,
    peak_kb: u64,
}

/// Ends processes that use more memory than their machines have, and starts them again, as the
/// platform does.
async fn enforce(
    case: &Case,
    root: &Path,
    processes: &mut [Process],
    watched: &mut BTreeMap<String, Watched>,
) {
    for process in processes {
        let memory = process.memory_kb();
        let seen = watched.entry(process.name.clone()).or_default();
        seen.peak_kb = seen.peak_kb.max(memory.unwrap_or(0));
        if memory.is_some_and(|memory| memory <= process.memory_mb << 10) {
            continue;
        }
        seen.ends += 1;
        let used = memory.map_or("no memory".to_owned(), |memory| format!("{memory} kB"));
        case.record.say(&format!(
            "{} uses {used} of {} MB and is ended, {} times by now",
            process.name, process.memory_mb, seen.ends
        ));
        process.kill_and_restart(root, RESTART_DELAY).await;
    }
}

pub async fn run(case: &Case) -> Option<Verdict> {
    let behavior = Behavior { interval: EVENT_INTERVAL, events: EVENTS, ..Behavior::default() };
    let runners = start_runners(&behavior, &case.record).await;
    let names = || CROWDS.iter().chain(&USUAL);
    let keys: Vec<String> = names().map(|name| format!("key-{name}")).collect();
    let accounts: Vec<(&str, &str)> =
        names().zip(&keys).map(|(name, key)| (*name, key.as_str())).collect();
    let config = with_accounts(configuration(1, 0.0, 0.0), &accounts);
    let mut fleet = Fleet::start(&case.record, &case.folder, &runners, &config).await?;
    let mut jobs: Vec<(Duration, Job)> = Vec::new();
    for (crowd, name) in CROWDS.iter().enumerate() {
        for number in 0..if case.trouble { CROWD_JOBS } else { 1 } {
            let delay = CROWD_INTERVAL * crowd as u32 + SUBMIT_INTERVAL * number as u32;
            let (id, key) = (format!("{name}-{number}"), format!("key-{name}"));
            let job = Job { id, key, items: CROWD_ITEMS, item_bytes: CROWD_ITEM_BYTES };
            jobs.push((delay, job));
        }
    }
    for name in USUAL {
        let (id, key) = (format!("{name}-0"), format!("key-{name}"));
        let job = Job { id, key, items: USUAL_ITEMS, item_bytes: USUAL_ITEM_BYTES };
        jobs.push((USUAL_DELAY, job));
    }
    let mut submissions = JoinSet::new();
    for (number, (delay, job)) in jobs.into_iter().enumerate() {
        let (client, fronts) = (fleet.client.clone(), fleet.two_callers(number));
        submissions.spawn(async move {
            tokio::time::sleep(delay).await;
            let statuses = job.submit(&client, fronts).await;
            (job, statuses)
        });
    }
    let mut watched = BTreeMap::new();
    let mut accepted = Vec::new();
    let mut finish_at = None;
    while finish_at.is_none_or(|at| Instant::now() < at) {
        enforce(case, &fleet.root, &mut fleet.workers, &mut watched).await;
        enforce(case, &fleet.root, &mut fleet.fronts, &mut watched).await;
        while let Some(ended) = submissions.try_join_next() {
            let (job, statuses) = ended.ok()?;
            case.record.line(&format!("job {} is submitted: {statuses:?}", job.id));
            accepted.extend(Some(job).filter(|_| statuses.last() == Some(&202)));
        }
        if submissions.is_empty() && finish_at.is_none() {
            case.record.say(&format!("all jobs are submitted, {} are accepted", accepted.len()));
            finish_at = Some(Instant::now() + FINISH_TIME);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    if accepted.is_empty() || watched.len() < FRONTS {
        return None;
    }
    let (client, front) = (&fleet.client, fleet.caller(0));
    let is_lost = is_lost(&case.record, client, front, &runners, RUNNERS * SLOTS, &accepted).await;
    for (name, Watched { ends, peak_kb }) in &watched {
        case.record.say(&format!("{name}: at most {peak_kb} kB, ended {ends} times"));
    }
    let faulty = watched.values().filter(|seen| seen.ends >= FAULT_ENDS).count();
    let is_fault = faulty >= FAULT_MACHINES;
    case.record.say(&format!("LOST is broken: {is_lost}; Fault is broken: {is_fault}"));
    Some(if is_lost || is_fault { Verdict::Broken } else { Verdict::Held })
}
