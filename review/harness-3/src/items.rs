//! Runners crash while they start as another version under their own ids, and batch items that they began
//! get results whose text two versions have written.

use std::time::Duration;

use sesamewall_platform_standin::configuration;
use sesamewall_platform_standin::with_accounts;

use crate::Case;
use crate::Verdict;
use crate::fleet::FIRST_VERSION;
use crate::fleet::Fleet;
use crate::fleet::RUNNERS;
use crate::fleet::start_runners;
use crate::jobs::Job;
use crate::restart::crash_pair;
use crate::restart::versions;
use crate::runner::Behavior;

/// Runners that crash, in two pairs: 2 of 12 are within the share of 0.17 of `srv_crash`.
const PAIRS: [[usize; 2]; 2] = [[0, 1], [3, 4]];

/// Events of an item, as the sheet has them, and the time between two of them.
const EVENTS: u64 = 191;
const EVENT_INTERVAL: Duration = Duration::from_millis(10);

/// Accounts that submit one job each while the runners of a pair start, and the items of a job.
const ACCOUNTS: [&str; 4] = ["acme", "birch", "cedar", "dune"];
const ITEMS: usize = 15;
const ITEM_BYTES: usize = 20_000;

/// Time from the first crash of a pair to the jobs, and from one pair to the next.
const SUBMIT_DELAY: Duration = Duration::from_millis(700);
const PAIR_TIME: Duration = Duration::from_secs(12);

pub async fn run(case: &Case) -> Option<Verdict> {
    let behavior = Behavior {
        version: FIRST_VERSION.to_owned(),
        interval: EVENT_INTERVAL,
        events: EVENTS,
        ..Behavior::default()
    };
    let mut runners = start_runners(&behavior, &case.record).await;
    let keys: Vec<String> = ACCOUNTS.iter().map(|name| format!("key-{name}")).collect();
    let accounts: Vec<(&str, &str)> =
        ACCOUNTS.iter().zip(&keys).map(|(name, key)| (*name, key.as_str())).collect();
    let config = with_accounts(configuration(1, 0.0, 0.0), &accounts);
    let fleet = Fleet::start(&case.record, &case.folder, &runners, &config).await?;
    let mut accepted = Vec::new();
    for (turn, pair) in PAIRS.into_iter().enumerate() {
        let begun = tokio::time::Instant::now();
        let submissions = async {
            tokio::time::sleep(SUBMIT_DELAY).await;
            for (number, name) in ACCOUNTS.iter().enumerate() {
                let (id, key) = (format!("{name}-{turn}"), keys[number].clone());
                let job = Job { id, key, items: ITEMS, item_bytes: ITEM_BYTES };
                let statuses = job.submit(&fleet.client, fleet.two_callers(number)).await;
                case.record.say(&format!("job {} is submitted: {statuses:?}", job.id));
                accepted.extend(Some(job).filter(|_| statuses.last() == Some(&202)));
            }
        };
        let crashes = async {
            if case.trouble {
                let behavior = Behavior { interval: EVENT_INTERVAL, ..behavior.clone() };
                crash_pair(case, &fleet.store, &mut runners, pair, &behavior).await;
            }
        };
        tokio::join!(submissions, crashes);
        tokio::time::sleep(PAIR_TIME.saturating_sub(begun.elapsed())).await;
    }
    let (mut listed, mut mixed) = (0, 0);
    for job in &accepted {
        for (id, row) in job.results(&fleet.client, fleet.caller(0)).await {
            listed += 1;
            let lines: Vec<&str> = row["output"].as_str().unwrap_or_default().lines().collect();
            let written_by = versions(lines.iter().copied());
            case.record.line(&format!(
                "item {id}: {}, {} events of {}",
                row["state"],
                lines.len(),
                written_by.join(", ")
            ));
            if row["state"] == "completed" && written_by.len() > 1 {
                mixed += 1;
                case.record.say(&format!("item {id} is completed with text of {written_by:?}"));
            }
        }
    }
    case.record.say(&format!(
        "{listed} of {} items are listed, {mixed} with text that no version writes; {RUNNERS} runners",
        accepted.len() * ITEMS
    ));
    if listed * 2 < accepted.len() * ITEMS {
        return None;
    }
    Some(if mixed > 0 { Verdict::Broken } else { Verdict::Held })
}
