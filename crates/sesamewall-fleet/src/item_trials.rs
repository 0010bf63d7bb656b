//! Decides when a batch item with a poison part is tried again.
//!
//! A part that is sent nowhere cannot be cleared by a response. So one item with it is sent to one
//! target some time after the last crash, by one worker, and the first event clears the part. Each
//! crash doubles the time until the next trial.
//!
//! The load that this answers: a few or many items share a part with requests that crashed targets,
//! on any workers, and the part may or may not be the cause.

use std::collections::HashMap;
use std::time::Duration;

use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;

use crate::job_owner::score;

/// Settings of the trials.
#[derive(Clone, Debug)]
pub struct TrialSettings {
    /// Time from the crash with which a part became poison to the first trial.
    pub first_delay: Duration,
    /// Longest time from a crash to the next trial. It is shorter than the time for which evidence
    /// is kept, so that a part does not become sound by age between two trials.
    pub max_delay: Duration,
    /// Further time for each worker that goes first: longer than a trial takes until it has crashed
    /// a target and all workers know of it.
    pub rank_delay: Duration,
    /// Time after which a part that no item has is forgotten.
    pub ttl: Duration,
}

impl Default for TrialSettings {
    fn default() -> Self {
        Self {
            first_delay: Duration::from_secs(10),
            max_delay: Duration::from_secs(300),
            rank_delay: Duration::from_secs(3),
            ttl: Duration::from_secs(600),
        }
    }
}

/// Whether an item with a poison part is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialDecision {
    /// The item is sent as a trial.
    Start,
    /// No trial is due before this time.
    Hold(Time),
}

#[derive(Clone, Debug)]
struct PartTrials {
    last_crash: Time,
    delay: Duration,
    running: bool,
    checked_at: Time,
}

/// Trials of poison parts at one worker.
#[derive(Clone, Debug, Default)]
pub struct ItemTrials {
    settings: TrialSettings,
    parts: HashMap<u64, PartTrials>,
}

impl ItemTrials {
    /// Creates the state of a worker that has tried nothing.
    pub fn new(settings: TrialSettings) -> Self {
        Self { settings, parts: HashMap::new() }
    }

    /// Decides about an item with a poison part. `last_crash` is the time at which this instance
    /// learned of the newest crash that counts against the part, and `rank` the number of workers
    /// that go first.
    pub fn decide(&mut self, part: u64, last_crash: Time, rank: usize, now: Time) -> TrialDecision {
        let TrialSettings { first_delay, max_delay, rank_delay, ttl } = self.settings.clone();
        self.parts.retain(|_, trials| trials.running || now.since(trials.checked_at) < ttl);
        let trials = self.parts.entry(part).or_insert(PartTrials {
            last_crash,
            delay: first_delay,
            running: false,
            checked_at: now,
        });
        trials.checked_at = now;
        if last_crash > trials.last_crash {
            trials.last_crash = last_crash;
            trials.delay = (trials.delay * 2).min(max_delay);
        }
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let due = trials.last_crash + trials.delay + rank_delay.saturating_mul(rank);
        match trials.running {
            true => TrialDecision::Hold(now + rank_delay),
            false if now < due => TrialDecision::Hold(due),
            false => TrialDecision::Start,
        }
    }

    /// Records that an item with the part was sent.
    pub fn on_started(&mut self, part: u64) {
        if let Some(trials) = self.parts.get_mut(&part) {
            trials.running = true;
        }
    }

    /// Records that the run of this item has ended.
    pub fn on_ended(&mut self, part: u64) {
        if let Some(trials) = self.parts.get_mut(&part) {
            trials.running = false;
        }
    }
}

/// Returns how many of the other workers try a part before the local one. All workers that know of
/// each other return different ranks.
pub fn trial_rank<'a>(
    local: &InstanceName,
    others: impl IntoIterator<Item = &'a InstanceName>,
    part: u64,
) -> usize {
    let local_score = score(local, part);
    others.into_iter().filter(|other| score(other, part) > local_score).count()
}
