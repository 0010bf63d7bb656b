//! Decides which segment a worker claims, and when a claim has expired.

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

/// Time after which a claim expires if the observer has seen no change of the record of the worker.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(10);
/// Time from the start of its last renewal after which a worker stops. It is below
/// [`CLAIM_TIMEOUT`] because clocks run at different rates.
pub const WORKER_DEADLINE: Duration = Duration::from_secs(9);

const OBSERVED_LIMIT: usize = 4_096;

#[derive(Debug)]
struct Observed {
    beat: Option<u64>,
    changed_at: Time,
}

/// Tracks the work given to each account and the times at which worker records changed.
#[derive(Debug, Default)]
pub struct ClaimTracker {
    work: BTreeMap<AccountName, f64>,
    observed: BTreeMap<(InstanceName, String), Observed>,
}

impl ClaimTracker {
    /// Returns the job to claim a segment of. Among the accounts with a ready job, it chooses the
    /// one with the least weighted work, and the ready job of that account that is due first.
    /// `jobs` contains all open jobs, each with whether it is ready, so that the work of an account
    /// stays recorded while its jobs wait.
    pub fn choose_job<'a>(
        &mut self,
        jobs: impl Iterator<Item = (&'a JobRecord, bool)> + Clone,
    ) -> Option<JobId> {
        // An account that returns after a pause starts at the least work of the active accounts;
        // otherwise only it would be served until it had caught up.
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

    /// Records that `tokens` of expected work were given to an account with `weight`.
    pub fn charge(&mut self, account: &AccountName, tokens: f64, weight: f64) {
        *self.work.entry(account.clone()).or_default() += tokens / weight.max(1e-6);
    }

    /// Returns whether the claim of `record` has expired. `worker` is the record of the claim
    /// holder, as just read. The first call for a claim holder starts the timeout; each change of
    /// its record restarts it.
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

/// What a worker can do with the segments of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SegmentChoice {
    /// Claim the segment with this index.
    Claim(u32),
    /// No segment can be claimed, and at least one is claimed and not yet committed.
    AllClaimed,
    /// No segment of the job remains to be run.
    Ended,
}

/// Chooses a segment of a job. `records` contains the existing records by index, `expired` returns
/// whether a claim has expired, and `start` spreads workers over the free segments. In a stopping
/// job only segments with an expired or released claim are chosen, so that their outcomes are
/// committed.
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

/// The lease of the local worker, by the local clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerLease {
    renewed_at: Option<Time>,
}

impl WorkerLease {
    /// Records a successful renewal that started at `start`.
    pub fn renew(&mut self, start: Time) {
        self.renewed_at = self.renewed_at.max(Some(start));
    }

    /// Returns whether the worker may still run items.
    pub fn is_valid(&self, now: Time) -> bool {
        self.renewed_at.is_some_and(|start| now.since(start) < WORKER_DEADLINE)
    }
}
