//! State of a batch job at a worker, with its waiting and running items.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use sesamewall_fleet::EndCheck;
use sesamewall_fleet::GroupWrites;
use sesamewall_fleet::ItemProgress;
use sesamewall_fleet::ItemRank;
use sesamewall_fleet::ItemResult;
use sesamewall_fleet::ItemSpec;
use sesamewall_fleet::JobSpec;
use sesamewall_fleet::QueueId;
use sesamewall_fleet::ResultList;
use sesamewall_protocol::ItemId;
use sesamewall_protocol::Time;
use tokio_util::sync::CancellationToken;

use crate::byte_budget::ReservedBytes;
use crate::instance_context::wall_millis;
use crate::job_store::JobHead;

/// Time within which results are due while the job's route is not known yet.
const DEFAULT_DUE: Duration = Duration::from_secs(18);

/// Upper limit of a job's age as computed from the time of day, which may be wrong.
const MAX_AGE: Duration = Duration::from_secs(60);

/// State of the claim on a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Claim {
    /// No process is known to run the job. `revision` is that of the claim in the store which a dead
    /// process or this one has left, 0 if there is none.
    Free { since: Time, revision: u64 },
    /// This process has claimed the job.
    Local { revision: u64, lease: u64 },
    /// This process is writing its claim, or reading the job under it.
    Pending,
}

pub(crate) struct Item {
    pub(crate) spec: Arc<ItemSpec>,
    pub(crate) progress: ItemProgress,
}

pub(crate) struct RunningItem {
    /// Identifies this attempt among all attempts of the same item.
    pub(crate) attempt_id: u64,
    pub(crate) due: Time,
    pub(crate) events_before: u64,
    pub(crate) target_key: u32,
    pub(crate) started: Time,
    pub(crate) cancel: CancellationToken,
}

#[derive(Default)]
pub(crate) struct Work {
    pub(crate) spec: Option<Arc<JobSpec>>,
    /// Memory for the bodies of the specification.
    pub(crate) held: Option<ReservedBytes>,
    pub(crate) waiting: Vec<Item>,
    pub(crate) running: BTreeMap<ItemId, RunningItem>,
    pub(crate) results: Vec<ItemResult>,
    pub(crate) committed: HashSet<ItemId>,
    pub(crate) committing: bool,
}

pub(crate) struct Job {
    pub(crate) head: JobHead,
    /// Time at which the job was accepted, by the local clock.
    pub(crate) accepted_at: Time,
    /// Time after the acceptance within which the results are due.
    pub(crate) due: Duration,
    pub(crate) claim: Claim,
    /// Bytes of its bodies, once they are known.
    pub(crate) bytes: Option<usize>,
    pub(crate) ended: bool,
    /// Whether the client has ended the job at this worker.
    pub(crate) end_requested: bool,
    /// Whether the store has confirmed the end of the job.
    pub(crate) end_stored: bool,
    /// How old the knowledge is that the job was not ended.
    pub(crate) end_check: EndCheck,
    pub(crate) complete: bool,
    /// Writes of groups that the store may already have.
    pub(crate) group_writes: GroupWrites,
    /// Results that are known to be in the store.
    pub(crate) stored_results: ResultList,
    /// Time at which the job was ended or completed.
    pub(crate) closed: Option<Time>,
    pub(crate) work: Work,
}

impl Job {
    pub(crate) fn new(head: JobHead, claim: Claim, now: Time) -> Self {
        let age = Duration::from_millis(wall_millis().saturating_sub(head.accepted_ms));
        Self {
            head,
            accepted_at: now - age.min(MAX_AGE),
            due: DEFAULT_DUE,
            claim,
            bytes: None,
            ended: false,
            end_requested: false,
            end_stored: false,
            end_check: EndCheck::new(Time::ZERO),
            complete: false,
            group_writes: GroupWrites::default(),
            stored_results: ResultList::default(),
            closed: None,
            work: Work::default(),
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        !self.ended && !self.complete
    }

    /// Returns whether the end of the job is still being written.
    pub(crate) fn is_end_pending(&self) -> bool {
        self.end_requested && !self.end_stored
    }

    /// Returns whether the job has neither running items nor results that are not in the store.
    pub(crate) fn is_idle(&self) -> bool {
        self.work.running.is_empty() && self.work.results.is_empty()
    }

    /// Returns the name of the queue that the job waits in.
    pub(crate) fn queue(&self) -> QueueId {
        QueueId { route: self.head.route.clone(), account: self.head.account.clone() }
    }

    /// Returns the rank of the items that have not started, which take `run`.
    pub(crate) fn rank(&self, run: Duration, now: Time) -> ItemRank {
        ItemRank::new(self.accepted_at + self.due, run, now)
    }

    /// Sets the specification with the memory for it, and adds its items that have no result and are neither running nor
    /// waiting yet to the waiting items.
    pub(crate) fn load(&mut self, spec: JobSpec, held: Option<ReservedBytes>) {
        let committed = self.stored_results.ended_items();
        let work = &mut self.work;
        work.results.retain(|result| !committed.contains(&result.id));
        work.waiting.retain(|item| !committed.contains(&item.spec.id));
        let mut known = committed.clone();
        known.extend(work.running.keys().cloned());
        known.extend(work.results.iter().map(|result| result.id.clone()));
        known.extend(work.waiting.iter().map(|item| item.spec.id.clone()));
        let new = spec.items.iter().filter(|item| !known.contains(&item.id));
        work.waiting
            .extend(new.map(|item| Item { spec: item.clone(), progress: ItemProgress::default() }));
        work.committed = committed;
        if !work.committing {
            // The results were read under the present claim, and a group that was written under it
            // has its position.
            self.group_writes.on_known();
        }
        work.spec = Some(Arc::new(spec));
        work.held = held;
    }

    /// Lets the job wait until the worker has memory for its bodies. Its claim is kept.
    pub(crate) fn wait_for_room(&mut self, bytes: usize, now: Time) {
        self.stop();
        self.bytes = Some(bytes);
        let revision = match self.claim {
            Claim::Local { revision, .. } | Claim::Free { revision, .. } => revision,
            Claim::Pending => 0,
        };
        self.claim = Claim::Free { since: now, revision };
    }

    /// Returns the tokens of the items that have no result yet.
    pub(crate) fn remaining(&self) -> u64 {
        let Some(spec) = &self.work.spec else { return self.head.tokens };
        let ended = |item: &&Arc<ItemSpec>| {
            self.work.committed.contains(&item.id)
                || self.work.results.iter().any(|result| result.id == item.id)
        };
        let ended = spec.items.iter().filter(ended).map(|item| item.tokens);
        let done = ended.fold(0, u64::saturating_add);
        self.head.tokens.saturating_sub(done)
    }

    /// Cancels all running items and clears the work.
    pub(crate) fn stop(&mut self) {
        for running in self.work.running.values() {
            running.cancel.cancel();
        }
        self.work = Work::default();
    }
}
