//! Commits the results of finished items to the store.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use sesamewall_fleet::CommitSettings;
use sesamewall_fleet::ItemResult;
use sesamewall_protocol::Time;
use slog::info;
use slog::warn;

use crate::job_keys::JobName;
use crate::job_state::Claim;
use crate::job_state::Job;
use crate::job_store;
use crate::job_store::WriteResult;
use crate::worker::Worker;
use crate::worker_claims::PANIC_RETRY_DELAY;

/// Interval between two checks whether all items of a job have ended, so that its last results are
/// committed without delay.
const COMMIT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Most output bytes in one group of results.
const GROUP_BYTES: usize = 400 << 10;

/// Time limit for the commit of a group before the claim is checked again.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A group of results to be committed.
struct Group {
    claim: u64,
    number: u64,
    results: Vec<ItemResult>,
    complete: bool,
}

impl Worker {
    /// Starts a task that commits the finished items, unless one is running.
    pub(crate) fn commit_soon(self: &Arc<Self>, name: &JobName, job: &mut Job) {
        let claimed = matches!(job.claim, Claim::Local { .. }) && job.work.spec.is_some();
        if !claimed || job.work.committing || job.work.results.is_empty() {
            return;
        }
        job.work.committing = true;
        let commit = self.clone().commit(name.clone());
        let recovery = self.clone().recover_commit(name.clone());
        self.context.tasks.spawn("commit", name.to_string(), commit, recovery);
    }

    /// Frees a job after the task that committed its results has panicked. A new claim reads the
    /// results that the store has; the others are kept and committed under it.
    async fn recover_commit(self: Arc<Self>, name: JobName) {
        let since = self.context.now() + PANIC_RETRY_DELAY;
        let mut jobs = self.jobs();
        let Some(job) = jobs.get_mut(&name) else { return };
        job.work.committing = false;
        if let Claim::Local { revision, .. } = job.claim {
            job.claim = Claim::Free { since, revision };
        }
    }

    async fn commit(self: Arc<Self>, name: JobName) {
        while self.commit_group(&name).await {}
        if let Some(job) = self.jobs().get_mut(&name) {
            job.work.committing = false;
        }
    }

    /// Waits until the next group should be committed. Returns false if the job no longer exists
    /// here.
    async fn wait_group_due(&self, name: &JobName, started: Time) -> bool {
        let settings = CommitSettings::default();
        loop {
            tokio::time::sleep(COMMIT_POLL_INTERVAL).await;
            let now = self.context.now();
            let jobs = self.jobs();
            let Some(job) = jobs.get(name) else { return false };
            let idle = job.work.running.is_empty() && job.work.waiting.is_empty();
            let delay = settings.delay(job.accepted_at + job.due, started);
            if idle || self.context.is_draining() || now.since(started) >= delay {
                return true;
            }
        }
    }

    fn next_group(&self, name: &JobName) -> Option<Group> {
        let mut jobs = self.jobs();
        let job = jobs.get_mut(name)?;
        let Claim::Local { revision: claim, .. } = job.claim else { return None };
        let mut bytes = 0;
        let fitting = job.work.results.iter().take_while(|result| {
            bytes += result.output.len();
            bytes <= GROUP_BYTES
        });
        let count = fitting.count().max(1).min(job.work.results.len());
        if count == 0 {
            return None;
        }
        let results: Vec<_> = job.work.results[..count].to_vec();
        let complete = job.work.committed.len() + count >= job.head.total;
        job.group_writes.on_sent(self.context.now());
        Some(Group { claim, number: job.stored_results.groups(), results, complete })
    }

    /// Commits one group. Returns false if there is none or the claim is lost.
    async fn commit_group(&self, name: &JobName) -> bool {
        let started = self.context.now();
        if !self.wait_group_due(name, started).await {
            return false;
        }
        let Some(Group { claim, number, results, complete }) = self.next_group(name) else {
            return false;
        };
        let transaction =
            match job_store::append_transaction(name, claim, number, &results, complete) {
                Ok(transaction) => transaction,
                Err(error) => {
                    warn!(self.context.log, "results cannot be encoded"; "job" => %name,
                    "error" => %error);
                    return false;
                }
            };
        let until = self.context.now() + COMMIT_TIMEOUT;
        let result = job_store::commit_once(&self.context, &transaction, 0, until).await;
        info!(self.context.log, "results committed"; "job" => %name, "group" => number,
            "items" => results.len(), "complete" => complete, "end" => format!("{result:?}"));
        let mut jobs = self.jobs();
        let Some(job) = jobs.get_mut(name) else { return false };
        let Claim::Local { revision, .. } = job.claim else { return false };
        if revision != claim {
            return false;
        }
        match result {
            Ok(WriteResult::Done(_)) => {
                let done: HashSet<_> = results.iter().map(|result| result.id.clone()).collect();
                job.work.results.retain(|result| !done.contains(&result.id));
                job.work.committed.extend(done);
                job.stored_results.append(number, results);
                job.group_writes.on_known();
                if complete {
                    job.complete = true;
                    job.closed = Some(self.context.now());
                    self.queues().on_closed(&job.queue(), &name.id);
                    job.stop();
                }
                drop(jobs);
                self.wake.notify_one();
                self.results_changed.notify_waiters();
                !complete
            }
            Ok(WriteResult::Taken | WriteResult::Refused) => {
                // The claim has ended. The work is kept in case this worker claims the job again.
                job.claim = Claim::Free { since: self.context.now(), revision: 0 };
                false
            }
            Err(_) => true,
        }
    }
}
