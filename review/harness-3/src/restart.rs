//! Runners that start again under their own ids as another version of their software, and crash once
//! more before their first entry is due.

use std::time::Duration;

use sesamewall_platform_standin::StandinStore;

use crate::Case;
use crate::fleet::register;
use crate::fleet::wall_millis;
use crate::runner::Behavior;
use crate::runner::Runner;

/// Time for which a crashed runner is down, and from its start to its next crash.
const DOWN_TIME: Duration = Duration::from_millis(500);
const UP_TIME: Duration = Duration::from_millis(1000);

/// Time from a start to the first entry: a runner writes to the store each `heartbeatMs`.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Factor by which a runner is slower that has just started.
const SLOWDOWN: u32 = 4;

/// The version that the runners have after their start.
pub const NEW_VERSION: &str = "v2";

/// Crashes the runners of a pair, which come back as the new version, crash once more while they
/// start, come back again and then write their entries. `behavior` is that of a runner that has run
/// for a while.
pub async fn crash_pair(
    case: &Case,
    store: &StandinStore,
    runners: &mut [Runner],
    numbers: [usize; 2],
    behavior: &Behavior,
) {
    let interval = behavior.interval * SLOWDOWN;
    let started = Behavior { version: NEW_VERSION.to_owned(), interval, ..behavior.clone() };
    for turn in 0..2 {
        for number in numbers {
            runners[number].crash().await;
        }
        tokio::time::sleep(DOWN_TIME).await;
        for number in numbers {
            runners[number].restart(started.clone()).await;
        }
        if turn == 0 {
            tokio::time::sleep(UP_TIME).await;
        }
    }
    let born = wall_millis();
    tokio::time::sleep(HEARTBEAT).await;
    for number in numbers {
        register(store, &runners[number], number, NEW_VERSION, born);
        runners[number].behave(|present| present.interval = behavior.interval);
    }
    case.record.say("their entries of the new version are written");
}

/// Returns the versions that have written these data of events, in their order.
pub fn versions<'a>(data: impl Iterator<Item = &'a str>) -> Vec<String> {
    let mut versions: Vec<String> = Vec::new();
    for event in data {
        let version = event.split(' ').nth(2).unwrap_or_default().trim_end_matches('x').to_owned();
        if versions.last() != Some(&version) {
            versions.push(version);
        }
    }
    versions
}
