//! Trials of batch items with a poison part.

use sesamewall_fleet::ItemTrials;
use sesamewall_fleet::TrialDecision;
use sesamewall_fleet::TrialSettings;
use sesamewall_fleet::trial_rank;
use sesamewall_protocol::InstanceName;

use crate::support::at;

const PART: u64 = 7;
const HOUR_MS: u64 = 3_600_000;
const STEP_MS: u64 = 500;

/// Most targets that a deadly part may crash in the first hour, as docs/platform.md says.
const MAX_CRASHES: usize = 16;

/// Longest wait of a sound item for its first trial among four workers, in milliseconds.
const MAX_WAIT_MS: u64 = 19_500;

fn workers(count: usize) -> Vec<InstanceName> {
    (0..count).map(|n| InstanceName::from(format!("w{n}").as_str())).collect()
}

fn rank(workers: &[InstanceName], n: usize) -> usize {
    let others = workers.iter().enumerate().filter(|(other, _)| *other != n);
    trial_rank(&workers[n], others.map(|(_, name)| name), PART)
}

/// Plays an hour in which all workers have items with a part that crashes each target, and returns
/// the times of the crashes. All workers learn of a crash one step later.
fn crashes(workers: &[InstanceName]) -> Vec<u64> {
    let mut trials = vec![ItemTrials::default(); workers.len()];
    let mut crashes = vec![0];
    for now in (STEP_MS..HOUR_MS).step_by(STEP_MS as usize) {
        let known = crashes.iter().rev().find(|crash| **crash < now).copied().unwrap_or_default();
        for (n, trials) in trials.iter_mut().enumerate() {
            if trials.decide(PART, at(known), rank(workers, n), at(now)) == TrialDecision::Start {
                trials.on_started(PART);
                trials.on_ended(PART);
                crashes.push(now);
            }
        }
    }
    crashes.split_off(1)
}

/// Guards against items that crash target after target because they are tried again and again, and
/// against workers that try the same part at the same time.
#[test]
fn a_deadly_part_crashes_few_targets_in_an_hour() {
    for count in 1..=14 {
        let crashes = crashes(&workers(count));
        assert!(crashes.len() <= MAX_CRASHES, "{count} workers: {} crashes", crashes.len());
        let longest = TrialSettings::default().max_delay.as_millis() as u64;
        let pauses: Vec<u64> = crashes.windows(2).map(|pair| pair[1] - pair[0]).collect();
        assert!(pauses.is_sorted(), "{count} workers: {pauses:?}");
        assert_eq!(pauses.last(), Some(&longest), "{count} workers");
    }
}

/// Guards against sound items that are never sent because nothing else can clear their part.
#[test]
fn an_item_is_tried_whichever_worker_has_it() {
    let workers = workers(4);
    for n in 0..workers.len() {
        let mut trials = ItemTrials::default();
        let until = (0..HOUR_MS).step_by(STEP_MS as usize).find(|now| {
            trials.decide(PART, at(0), rank(&workers, n), at(*now)) == TrialDecision::Start
        });
        assert!(until.is_some_and(|until| until <= MAX_WAIT_MS), "worker {n}: {until:?}");
    }
}

/// Guards against a second trial before the first one has shown anything.
#[test]
fn one_item_is_tried_at_a_time() {
    let mut trials = ItemTrials::default();
    assert_eq!(trials.decide(PART, at(0), 0, at(10_000)), TrialDecision::Start);
    trials.on_started(PART);
    assert!(matches!(trials.decide(PART, at(0), 0, at(11_000)), TrialDecision::Hold(_)));
    trials.on_ended(PART);
    assert_eq!(trials.decide(PART, at(0), 0, at(12_000)), TrialDecision::Start);
}
