//! Decides which segment a worker claims, and when a claim has lapsed.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewall_protocol::AccountName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::JobId;
use sesamewall_protocol::Time;

use crate::JobRecord;
use crate::SegmentRecord;
use crate::SegmentState;
use crate::WorkerRecord;

/// A claim lapses when the observer has not seen the worker's record change for this long.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(10);
/// A worker stops this long after the start of its last renewal. It is below [`CLAIM_LAPSE`] for
/// clocks that run at different rates.
pub const WORKER_DEADLINE: Duration = Duration::from_secs(9);

const OBSERVED_LIMIT: usize = 4_096;

#[derive(Debug)]
struct Observed {
    beat: Option<u64>,
    changed_at: Time,
}

/// Remembers the work given to each account and when workers' records changed.
#[derive(Debug, Default)]
pub struct ClaimTracker {
    work: BTreeMap<AccountName, f64>,
    observed: BTreeMap<(InstanceName, String), Observed>,
}

impl ClaimTracker {
    /// Returns the job to take a segment from: of the account with the least weighted work among
    /// those with a ready job, the ready job that is due first. `jobs` has all open jobs, each with
    /// whether it is ready, so that an account keeps its work while its jobs wait.
    pub fn choose_job<'a>(
        &mut self,
        jobs: impl Iterator<Item = (&'a JobRecord, bool)> + Clone,
    ) -> Option<JobId> {
        // An account that returns after a pause starts at the least active level; otherwise it
        // would be served alone until it had caught up.
        let floor = jobs
            .clone()
            .filter_map(|(job, _)| self.work.get(&job.account))
            .fold(f64::INFINITY, |least, work| least.min(*work));
        let floor = if floor.is_finite() { floor } else { 0.0 };
        let mut active: BTreeMap<AccountName, f64> = BTreeMap::new();
        for (job, _) in jobs.clone() {
            let work = self.work.get(&job.account).copied().unwrap_or(floor);
            active.insert(job.account.clone(), work);
        }
        self.work = active;
        let work = |job: &JobRecord| self.work.get(&job.account).copied().unwrap_or(floor);
        jobs.filter(|(_, ready)| *ready)
            .map(|(job, _)| job)
            .min_by(|a, b| {
                work(a).total_cmp(&work(b)).then(a.due_ms.cmp(&b.due_ms)).then(a.id.cmp(&b.id))
            })
            .map(|job| job.id.clone())
    }

    /// Adds `tokens` of expected work given to an account with `weight`.
    pub fn charge(&mut self, account: &AccountName, tokens: f64, weight: f64) {
        *self.work.entry(account.clone()).or_default() += tokens / weight.max(1e-6);
    }

    /// Tells whether the claim of `record` has lapsed, given the holder's worker record as just
    /// read. The first look starts the time.
    pub fn is_expired(
        &mut self,
        record: &SegmentRecord,
        worker: Option<&WorkerRecord>,
        now: Time,
    ) -> bool {
        let beat =
            worker.filter(|found| found.incarnation == record.incarnation).map(|found| found.beat);
        let key = (record.holder.clone(), record.incarnation.clone());
        if self.observed.len() >= OBSERVED_LIMIT && !self.observed.contains_key(&key) {
            self.observed.retain(|_, entry| now.since(entry.changed_at) < 2 * CLAIM_TIMEOUT);
        }
        let entry = self.observed.entry(key).or_insert(Observed { beat, changed_at: now });
        if beat.is_some() && beat != entry.beat {
            *entry = Observed { beat, changed_at: now };
        }
        now.since(entry.changed_at) >= CLAIM_TIMEOUT
    }
}

/// What a worker can do about a job's segments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SegmentChoice {
    /// Claim the segment with this index; `None` stands for a segment without record.
    Claim(u32),
    /// All segments are taken; some are not committed.
    AllClaimed,
    /// Nothing of the job is left to run.
    Ended,
}

/// Chooses a segment of a job. `records` has the existing records by index, `lapsed` tells whether
/// a claim has lapsed, `start` spreads workers over the free segments. For a stopping job only
/// lapsed and released claims are taken, so that their outcomes are committed.
pub fn choose_segment(
    segments: u32,
    stopping: bool,
    records: &BTreeMap<u32, SegmentRecord>,
    start: u32,
    mut expired: impl FnMut(&SegmentRecord) -> bool,
) -> SegmentChoice {
    let mut has_claimed = false;
    let mut choice = None;
    for step in 0..segments {
        let index = ((u64::from(start) + u64::from(step)) % u64::from(segments)) as u32;
        let free = match records.get(&index) {
            None => !stopping,
            Some(record) if record.is_settled(stopping) => continue,
            Some(record) => match record.state {
                SegmentState::Committed => continue,
                SegmentState::Released => true,
                SegmentState::Claimed => {
                    has_claimed = true;
                    expired(record)
                }
            },
        };
        if free && choice.is_none() {
            choice = Some(index);
        }
    }
    match choice {
        Some(index) => SegmentChoice::Claim(index),
        None if has_claimed => SegmentChoice::AllClaimed,
        None => SegmentChoice::Ended,
    }
}

/// A worker's own lease, by its own clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerLease {
    renewed_at: Option<Time>,
}

impl WorkerLease {
    /// Notes a successful renewal that was started at `start`.
    pub fn renew(&mut self, start: Time) {
        self.renewed_at = self.renewed_at.max(Some(start));
    }

    /// Tells whether the worker may still run items.
    pub fn is_valid(&self, now: Time) -> bool {
        self.renewed_at.is_some_and(|start| now.since(start) < WORKER_DEADLINE)
    }
}
