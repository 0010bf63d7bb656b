//! What a worker knows of a batch job, and its work on it.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use sesamewall_fleet::ItemProgress;
use sesamewall_fleet::ItemResult;
use sesamewall_fleet::ItemSpec;
use sesamewall_fleet::JobSpec;
use sesamewall_protocol::ItemId;
use sesamewall_protocol::Time;
use tokio_util::sync::CancellationToken;

use crate::job_store::JobHead;

/// Due time of a job whose route is not known yet.
const USUAL_DUE: Duration = Duration::from_secs(18);

/// A claim on a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Claim {
    Free { since: Time },
    Other,
    Own { revision: u64, lease: u64 },
    Pending,
}

pub(crate) struct Item {
    pub(crate) spec: Arc<ItemSpec>,
    pub(crate) progress: ItemProgress,
}

pub(crate) struct Running {
    /// Tells this attempt from later ones of the same item.
    pub(crate) number: u64,
    pub(crate) due: Time,
    pub(crate) from: u64,
    pub(crate) key: u32,
    pub(crate) started: Time,
    pub(crate) cancel: CancellationToken,
}

#[derive(Default)]
pub(crate) struct Work {
    pub(crate) spec: Option<Arc<JobSpec>>,
    pub(crate) waiting: Vec<Item>,
    pub(crate) running: BTreeMap<ItemId, Running>,
    pub(crate) results: Vec<ItemResult>,
    pub(crate) committed: HashSet<ItemId>,
    pub(crate) groups: u64,
    pub(crate) committing: bool,
    /// A group is being written: the store may have it already.
    pub(crate) writing: bool,
}

pub(crate) struct Job {
    pub(crate) head: Option<JobHead>,
    /// When the job was accepted, by the own clock.
    pub(crate) learned: Time,
    /// Time within which its results are due.
    pub(crate) due: Duration,
    pub(crate) claim: Claim,
    pub(crate) ended: bool,
    pub(crate) complete: bool,
    pub(crate) work: Work,
}

impl Job {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            head: None,
            learned: now,
            due: USUAL_DUE,
            claim: Claim::Free { since: now },
            ended: false,
            complete: false,
            work: Work::default(),
        }
    }

    pub(crate) fn open(&self) -> bool {
        self.head.is_some() && !self.ended && !self.complete
    }

    /// Stops all items and forgets the work.
    pub(crate) fn stop(&mut self) {
        for running in self.work.running.values() {
            running.cancel.cancel();
        }
        self.work = Work::default();
    }
}
