//! Runners crash while they start as another version under their own ids, and streams that they began
//! go on at runners of the version before.

use std::time::Duration;

use sesamewall_platform_standin::StreamClient;
use sesamewall_platform_standin::configuration;
use tokio::task::JoinSet;

use crate::Case;
use crate::Verdict;
use crate::fleet::FIRST_VERSION;
use crate::fleet::Fleet;
use crate::fleet::start_runners;
use crate::restart::crash_pair;
use crate::restart::versions;
use crate::runner::Behavior;

/// Runners that crash, in two pairs: 2 of 12 are within the share of 0.17 of `srv_crash`.
const PAIRS: [[usize; 2]; 4] = [[0, 1], [3, 4], [6, 7], [2, 5]];

/// Events of a stream, as the sheet has them, and the time between two of them.
const EVENTS: u64 = 28;
const EVENT_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two new streams: 40 a second, below the 55 of the sheet.
const STREAM_INTERVAL: Duration = Duration::from_millis(50);

/// Times of the case.
const CALM_TIME: Duration = Duration::from_secs(4);
const PAIR_TIME: Duration = Duration::from_secs(7);

pub async fn run(case: &Case) -> Option<Verdict> {
    let behavior = Behavior {
        version: FIRST_VERSION.to_owned(),
        interval: EVENT_INTERVAL,
        events: EVENTS,
        ..Behavior::default()
    };
    let mut runners = start_runners(&behavior, &case.record).await;
    let config = configuration(1, 0.0, 0.0);
    let fleet = Fleet::start(&case.record, &case.folder, &runners, &config).await?;
    let addresses = fleet.callers();
    let load = tokio::spawn({
        let record = case.record.clone();
        let end = CALM_TIME + PAIR_TIME * PAIRS.len() as u32;
        async move {
            let mut clients = JoinSet::new();
            let mut ticks = tokio::time::interval(STREAM_INTERVAL);
            let begun = tokio::time::Instant::now();
            let mut number = 0;
            while begun.elapsed() < end {
                ticks.tick().await;
                let client = StreamClient {
                    fronts: addresses.clone(),
                    first: number % addresses.len(),
                    tries: 2,
                    path: format!("/talk/{number}"),
                    id: format!("s{number}"),
                    ..StreamClient::default()
                };
                clients.spawn(async move { (number, client.read().await) });
                number += 1;
            }
            record.say("no further streams begin");
            clients.join_all().await
        }
    });
    tokio::time::sleep(CALM_TIME).await;
    for numbers in PAIRS {
        let begun = tokio::time::Instant::now();
        if case.trouble {
            crash_pair(case, &fleet.store, &mut runners, numbers, &behavior).await;
        }
        tokio::time::sleep(PAIR_TIME.saturating_sub(begun.elapsed())).await;
    }
    let results = load.await.ok()?;
    let mut mixed = 0;
    let mut complete = 0;
    for (number, result) in &results {
        let versions = versions(result.events.iter().map(|event| event.data.as_str()));
        complete += usize::from(result.is_complete());
        let tries: Vec<String> = result
            .tries
            .iter()
            .map(|sent| {
                let status = sent.status.map_or("none".to_owned(), |status| status.to_string());
                format!(
                    "{} at front {} after {} resumes '{}': {status}, {} events, complete {}",
                    sent.id, sent.front, sent.after, sent.resumes, sent.events, sent.is_complete
                )
            })
            .collect();
        case.record.line(&format!("stream {number} of {versions:?}: {}", tries.join("; ")));
        if versions.len() > 1 {
            mixed += 1;
            case.record.say(&format!("stream {number} has events of {}", versions.join(", ")));
        }
    }
    case.record.say(&format!(
        "{} streams, {complete} complete; {mixed} hold events of two versions, 2 are allowed",
        results.len()
    ));
    // A run in which hardly any stream was served shows nothing.
    if complete * 2 < results.len() {
        return None;
    }
    Some(if mixed > 2 { Verdict::Broken } else { Verdict::Held })
}
