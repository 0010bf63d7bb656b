//! Compares the claims on jobs that the store has for a worker with the jobs that the worker has.
//!
//! A write without a reply can take effect after its worker has read that it did not, and after the
//! worker has dropped the job. The store then names a worker that does not run the job, and all
//! others leave the job to it. No single read finds this, so the workers that watch the jobs report
//! to each worker again and again which claims the store has for it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;

use crate::JobName;

/// Time between two reports to a worker.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// A claim of a worker in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReportedClaim {
    /// The job.
    pub job: JobName,
    /// Store revision of the claim.
    pub revision: u64,
    /// Whether the job was ended by its client.
    pub ended: bool,
}

/// All claims of a process on jobs that are not complete, as a watch of the store has read them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimReport {
    /// Random number of the process start.
    pub boot_id: u64,
    /// Store revision up to which the sender has read.
    pub revision: u64,
    /// The claims.
    pub claims: Vec<ReportedClaim>,
    /// Milliseconds since the claims were complete in the store; `None` from instances of builds that
    /// do not send it, which ignore it in turn.
    #[serde(default)]
    pub age_ms: Option<u64>,
}

/// What a worker knows about its claim on a job that it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalClaim {
    /// The claim has this store revision.
    Held(u64),
    /// A write that depends on the claim is in progress or due, and its result will show whether
    /// the claim is still there.
    Unsettled,
    /// The job has ended here and needs no claim.
    Closed,
}

/// A difference between the store and a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimCorrection {
    /// The worker does not have a job that it has claimed.
    Missing {
        /// The job.
        job: JobName,
        /// Store revision of the claim.
        revision: u64,
    },
    /// The claim that the worker relies on is gone or was written again.
    Reclaim {
        /// The job.
        job: JobName,
        /// Store revision of the present claim of the worker, 0 if it has none.
        revision: u64,
    },
    /// The job was ended by its client.
    Stop {
        /// The job.
        job: JobName,
    },
}

/// Compares a report with the jobs of its receiver. Reports may be late, lost, doubled or out of
/// order: revisions of a claim only increase, so that an old report never shows a newer claim as
/// gone.
pub fn compare_claims(
    report: &ClaimReport,
    local: &BTreeMap<JobName, LocalClaim>,
) -> Vec<ClaimCorrection> {
    let reported: BTreeMap<&JobName, u64> =
        report.claims.iter().map(|claim| (&claim.job, claim.revision)).collect();
    let in_store = report.claims.iter().filter_map(|ReportedClaim { job, revision, ended }| {
        let (job, revision) = (job.clone(), *revision);
        match local.get(&job) {
            None if *ended => None,
            None => Some(ClaimCorrection::Missing { job, revision }),
            Some(LocalClaim::Closed) => None,
            Some(_) if *ended => Some(ClaimCorrection::Stop { job }),
            Some(LocalClaim::Held(known)) if *known < revision => {
                Some(ClaimCorrection::Reclaim { job, revision })
            }
            Some(_) => None,
        }
    });
    let not_in_store = local.iter().filter_map(|(job, claim)| match claim {
        LocalClaim::Held(revision)
            if *revision <= report.revision && !reported.contains_key(job) =>
        {
            Some(ClaimCorrection::Reclaim { job: job.clone(), revision: 0 })
        }
        _ => None,
    });
    in_store.chain(not_in_store).collect()
}

/// What to do when the conditions of a claim's write do not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimConflict {
    /// The job has no claim, or one of this process that may belong to a lease that is about to
    /// end. The claim is written again on the condition that the present one has this revision.
    Retry {
        /// Store revision of the present claim, 0 if there is none.
        revision: u64,
    },
    /// Another process has claimed the job.
    Taken,
    /// The job is complete or was ended by its client.
    Closed,
}

/// Decides what to do when the conditions of a claim's write do not hold. `present` is the value
/// and revision of the claim in the store.
pub fn on_claim_conflict(
    own_value: &[u8],
    present: Option<(&[u8], u64)>,
    is_closed: bool,
) -> ClaimConflict {
    match present {
        _ if is_closed => ClaimConflict::Closed,
        None => ClaimConflict::Retry { revision: 0 },
        Some((value, revision)) if value == own_value => ClaimConflict::Retry { revision },
        Some(_) => ClaimConflict::Taken,
    }
}

/// The times of the reports to the workers.
#[derive(Clone, Debug, Default)]
pub struct ReportSchedule {
    sent_at: BTreeMap<InstanceName, Time>,
}

impl ReportSchedule {
    /// Returns whether a report to a worker is due, and records that it is sent then.
    pub fn take_due(&mut self, worker: &InstanceName, now: Time) -> bool {
        let sent_at = self.sent_at.get(worker);
        let is_due = sent_at.is_none_or(|at| now.since(*at) >= REPORT_INTERVAL);
        if is_due {
            self.sent_at.insert(worker.clone(), now);
        }
        is_due
    }

    /// Makes a report to a worker due now.
    pub fn expedite(&mut self, worker: &InstanceName) {
        self.sent_at.remove(worker);
    }

    /// Forgets the workers for which `is_live` returns false.
    pub fn retain(&mut self, is_live: impl Fn(&InstanceName) -> bool) {
        self.sent_at.retain(|worker, _| is_live(worker));
    }
}
