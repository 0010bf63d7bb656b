//! A runner in need names a limit of "-0" requests a second for a few seconds. Workers that place an item
//! meanwhile start no item ever again, and go on accepting jobs. Fronts in the zone of the runner answer no
//! request any more.

use std::net::SocketAddr;
use std::time::Duration;

use sesamewall_platform_standin::StreamClient;
use sesamewall_platform_standin::configuration;
use sesamewall_platform_standin::with_accounts;

use tokio::task::JoinSet;

use crate::Case;
use crate::Verdict;
use crate::fleet::FRONTS;
use crate::fleet::Fleet;
use crate::fleet::RUNNERS;
use crate::fleet::SLOTS;
use crate::fleet::start_runners;
use crate::jobs::FINISH_TIME;
use crate::jobs::Job;
use crate::jobs::is_lost;
use crate::runner::Behavior;

/// Events of an item.
const EVENTS: u64 = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(10);

/// The limit that one of the runners names, and for how long. What is slightly below zero is printed like
/// this when it is rounded.
const LIMIT: &str = "-0";
const LIMIT_TIME: Duration = Duration::from_secs(8);

/// Accounts that submit jobs in turn, the items of a job, and the time between two jobs.
const ACCOUNTS: [&str; 4] = ["acme", "birch", "cedar", "dune"];
const ITEMS: usize = 10;
const ITEM_BYTES: usize = 20_000;
const JOB_INTERVAL: Duration = Duration::from_millis(1500);

/// The account of the streams with its key, and the time between two streams, which are sent to the fronts in turn.
const STREAM_ACCOUNT: (&str, &str) = ("elm", "key-1");
const STREAM_INTERVAL: Duration = Duration::from_millis(100);

/// Times of the case: before the limit is named, and after.
const CALM_TIME: Duration = Duration::from_secs(6);
const LATER_TIME: Duration = Duration::from_secs(6);

/// Streams without any answer and all streams, before, during and after the time of the limit.
type Counts = [(usize, usize); 3];

/// Sends streams to the fronts in turn, each once.
async fn send_streams(fronts: Vec<SocketAddr>) -> Vec<Counts> {
    let mut clients = JoinSet::new();
    let mut ticks = tokio::time::interval(STREAM_INTERVAL);
    let begun = tokio::time::Instant::now();
    for number in 0.. {
        ticks.tick().await;
        let at = begun.elapsed();
        if at >= CALM_TIME + LIMIT_TIME + LATER_TIME {
            break;
        }
        let span = usize::from(at >= CALM_TIME) + usize::from(at >= CALM_TIME + LIMIT_TIME);
        let client = StreamClient {
            fronts: vec![fronts[number % FRONTS]],
            tries: 1,
            path: format!("/talk/{number}"),
            id: format!("s{number}"),
            ..StreamClient::default()
        };
        clients.spawn(async move {
            let result = client.read().await;
            (number % FRONTS, span, result.tries.iter().all(|sent| sent.status.is_none()))
        });
    }
    let mut counts = vec![Counts::default(); FRONTS];
    for (front, span, is_unanswered) in clients.join_all().await {
        counts[front][span].0 += usize::from(is_unanswered);
        counts[front][span].1 += 1;
    }
    counts
}

pub async fn run(case: &Case) -> Option<Verdict> {
    let behavior = Behavior { interval: EVENT_INTERVAL, events: EVENTS, ..Behavior::default() };
    let runners = start_runners(&behavior, &case.record).await;
    let keys: Vec<String> = ACCOUNTS.iter().map(|name| format!("key-{name}")).collect();
    let accounts: Vec<(&str, &str)> =
        ACCOUNTS.iter().zip(&keys).map(|(name, key)| (*name, key.as_str())).collect();
    let accounts = [&accounts[..], &[STREAM_ACCOUNT]].concat();
    let config = with_accounts(configuration(1, 0.0, 0.0), &accounts);
    let fleet = Fleet::start(&case.record, &case.folder, &runners, &config).await?;
    let begun = tokio::time::Instant::now();
    let streams = tokio::spawn(send_streams(fleet.callers()));
    let mut ticks = tokio::time::interval(JOB_INTERVAL);
    let mut accepted = Vec::new();
    let mut number = 0;
    let (mut named, mut ended) = (false, false);
    while begun.elapsed() < CALM_TIME + LIMIT_TIME + LATER_TIME {
        ticks.tick().await;
        let is_time = begun.elapsed() >= CALM_TIME && begun.elapsed() < CALM_TIME + LIMIT_TIME;
        if case.trouble && is_time && !named {
            named = true;
            runners[0].behave(|behavior| behavior.limit = Some(LIMIT));
            case.record.say(&format!("{} names Server-Limit: {LIMIT}", runners[0].id));
        }
        if named && !is_time && !ended {
            ended = true;
            runners[0].behave(|behavior| behavior.limit = None);
            case.record.say(&format!("{} names no limit any more", runners[0].id));
        }
        let account = number % ACCOUNTS.len();
        let job = Job {
            id: format!("{}-{number}", ACCOUNTS[account]),
            key: keys[account].clone(),
            items: ITEMS,
            item_bytes: ITEM_BYTES,
        };
        let statuses = job.submit(&fleet.client, fleet.two_callers(number)).await;
        case.record.say(&format!("job {} is submitted: {statuses:?}", job.id));
        accepted.extend(Some(job).filter(|_| statuses.last() == Some(&202)));
        number += 1;
    }
    let unanswered = streams.await.ok()?;
    tokio::time::sleep(FINISH_TIME).await;
    if accepted.is_empty() {
        return None;
    }
    for (id, listed) in fleet.listed(&accepted).await {
        case.record.say(&format!("job {id}: {listed} of {ITEMS} items are listed"));
    }
    for (front, counts) in unanswered.iter().enumerate() {
        case.record.say(&format!(
            "{}: streams without any answer: {} of {} before the limit, {} of {} while it is named, {} of \
             {} later",
            fleet.fronts[front].name,
            counts[0].0,
            counts[0].1,
            counts[1].0,
            counts[1].1,
            counts[2].0,
            counts[2].1
        ));
    }
    fleet.report_panics(&case.record);
    let (client, front) = (&fleet.client, fleet.caller(0));
    let is_lost = is_lost(&case.record, client, front, &runners, RUNNERS * SLOTS, &accepted).await;
    Some(if is_lost { Verdict::Broken } else { Verdict::Held })
}
