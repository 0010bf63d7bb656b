//! Commits the results of finished items.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use sesamewall_fleet::CommitSettings;
use sesamewall_protocol::JobId;
use slog::info;
use slog::warn;

use crate::job_store;
use crate::job_store::Written;
use crate::job_work::Claim;
use crate::job_work::Job;
use crate::worker::Worker;

/// Time between two looks at whether all items of a job have ended, so that the last results do not
/// wait.
const COMMIT_STEP: Duration = Duration::from_millis(50);

/// Most output bytes in one group of results.
const GROUP_BYTES: usize = 400 << 10;

/// Longest time for the commit of a group before the claim is checked again.
const COMMIT_TIME: Duration = Duration::from_secs(20);

impl Worker {
    /// Starts the commit of finished items unless one is under way.
    pub(crate) fn commit_soon(self: &Arc<Self>, id: &JobId, job: &mut Job) {
        let claimed = matches!(job.claim, Claim::Own { .. }) && job.work.spec.is_some();
        if !claimed || job.work.committing || job.work.results.is_empty() {
            return;
        }
        job.work.committing = true;
        tokio::spawn(self.clone().commit(id.clone()));
    }

    async fn commit(self: Arc<Self>, id: JobId) {
        self.commit_groups(&id).await;
        if let Some(job) = self.jobs().get_mut(&id) {
            job.work.committing = false;
        }
        self.set_writing(&id, false);
    }

    /// Notes that a group is being written, and withdraws the word about the job meanwhile: readers of
    /// the store can see the group before its answer comes.
    fn set_writing(&self, id: &JobId, writing: bool) {
        if let Some(job) = self.jobs().get_mut(id) {
            job.work.writing = writing;
        }
        self.report();
    }

    /// Commits groups of results until none is left or the claim is lost.
    async fn commit_groups(&self, id: &JobId) {
        loop {
            let from = self.node.now();
            let settings = CommitSettings::default();
            loop {
                tokio::time::sleep(COMMIT_STEP).await;
                let now = self.node.now();
                let jobs = self.jobs();
                let Some(job) = jobs.get(id) else { return };
                let idle = job.work.running.is_empty() && job.work.waiting.is_empty();
                let delay = settings.delay(job.learned + job.due, from);
                if idle || self.node.is_draining() || now.since(from) >= delay {
                    break;
                }
            }
            let (claim, group, results, complete) = {
                let mut jobs = self.jobs();
                let Some(job) = jobs.get_mut(id) else { return };
                let Claim::Own { revision, .. } = job.claim else { return };
                let mut bytes = 0;
                let fitting = job.work.results.iter().take_while(|result| {
                    bytes += result.output.len();
                    bytes <= GROUP_BYTES
                });
                let count = fitting.count().max(1).min(job.work.results.len());
                if count == 0 {
                    return;
                }
                let results: Vec<_> = job.work.results[..count].to_vec();
                let total = job.head.as_ref().map_or(usize::MAX, |head| head.total);
                let complete = job.work.committed.len() + count >= total;
                (revision, job.work.groups, results, complete)
            };
            let transaction = match job_store::append(id, claim, group, &results, complete) {
                Ok(transaction) => transaction,
                Err(error) => {
                    warn!(self.node.log, "results cannot be encoded"; "job" => %id,
                        "error" => %error);
                    return;
                }
            };
            let until = self.node.now() + COMMIT_TIME;
            self.set_writing(id, true);
            let written = job_store::commit_once(&self.node, &transaction, until).await;
            info!(self.node.log, "results committed"; "job" => %id, "group" => group,
                "items" => results.len(), "complete" => complete,
                "end" => format!("{written:?}"));
            let mut jobs = self.jobs();
            let Some(job) = jobs.get_mut(id) else { return };
            let Claim::Own { revision, .. } = job.claim else { return };
            if revision != claim {
                return;
            }
            match written {
                Ok(Written::Done(_)) => {
                    let done: HashSet<_> = results.into_iter().map(|result| result.id).collect();
                    job.work.results.retain(|result| !done.contains(&result.id));
                    job.work.committed.extend(done);
                    job.work.groups += 1;
                    job.work.writing = false;
                    self.wake.notify_one();
                    if complete {
                        job.complete = true;
                        job.stop();
                        return;
                    }
                }
                Ok(Written::Refused) => {
                    // The claim has ended. The work is kept in case that this worker claims again.
                    job.claim = Claim::Free { since: self.node.now() };
                    return;
                }
                Err(_) => {}
            }
        }
    }
}
