//! Commits the results of finished items.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use sesamewall_fleet::CommitSettings;
use sesamewall_fleet::ItemResult;
use sesamewall_protocol::Time;
use slog::info;
use slog::warn;

use crate::job_keys::JobName;
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

/// Results that are to be committed.
struct Group {
    claim: u64,
    number: u64,
    results: Vec<ItemResult>,
    complete: bool,
}

impl Worker {
    /// Starts the commit of finished items unless one is under way.
    pub(crate) fn commit_soon(self: &Arc<Self>, name: &JobName, job: &mut Job) {
        let claimed = matches!(job.claim, Claim::Own { .. }) && job.work.spec.is_some();
        if !claimed || job.work.committing || job.work.results.is_empty() {
            return;
        }
        job.work.committing = true;
        tokio::spawn(self.clone().commit(name.clone()));
    }

    async fn commit(self: Arc<Self>, name: JobName) {
        while self.commit_group(&name).await {}
        if let Some(job) = self.jobs().get_mut(&name) {
            job.work.committing = false;
            job.writing = None;
        }
    }

    /// Waits until the next group should be committed. Returns false if the job is gone.
    async fn group_due(&self, name: &JobName, from: Time) -> bool {
        let settings = CommitSettings::default();
        loop {
            tokio::time::sleep(COMMIT_STEP).await;
            let now = self.context.now();
            let jobs = self.jobs();
            let Some(job) = jobs.get(name) else { return false };
            let idle = job.work.running.is_empty() && job.work.waiting.is_empty();
            let delay = settings.delay(job.learned + job.due, from);
            if idle || self.context.is_draining() || now.since(from) >= delay {
                return true;
            }
        }
    }

    fn next_group(&self, name: &JobName) -> Option<Group> {
        let mut jobs = self.jobs();
        let job = jobs.get_mut(name)?;
        let Claim::Own { revision: claim, .. } = job.claim else { return None };
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
        job.writing = Some(self.context.now());
        Some(Group { claim, number: job.listed.groups(), results, complete })
    }

    /// Commits one group. Returns false if there is none or the claim is lost.
    async fn commit_group(&self, name: &JobName) -> bool {
        let from = self.context.now();
        if !self.group_due(name, from).await {
            return false;
        }
        let Some(Group { claim, number, results, complete }) = self.next_group(name) else {
            return false;
        };
        let transaction = match job_store::append(name, claim, number, &results, complete) {
            Ok(transaction) => transaction,
            Err(error) => {
                warn!(self.context.log, "results cannot be encoded"; "job" => %name,
                    "error" => %error);
                return false;
            }
        };
        let until = self.context.now() + COMMIT_TIME;
        let written = job_store::commit_once(&self.context, &transaction, 0, until).await;
        info!(self.context.log, "results committed"; "job" => %name, "group" => number,
            "items" => results.len(), "complete" => complete, "end" => format!("{written:?}"));
        let mut jobs = self.jobs();
        let Some(job) = jobs.get_mut(name) else { return false };
        job.writing = None;
        let Claim::Own { revision, .. } = job.claim else { return false };
        if revision != claim {
            return false;
        }
        match written {
            Ok(Written::Done(_)) => {
                let done: HashSet<_> = results.iter().map(|result| result.id.clone()).collect();
                job.work.results.retain(|result| !done.contains(&result.id));
                job.work.committed.extend(done);
                job.listed.append(number, results);
                if complete {
                    job.complete = true;
                    job.closed = Some(self.context.now());
                    self.queues().on_closed(&job.queue(), &name.id);
                    job.stop();
                }
                drop(jobs);
                self.wake.notify_one();
                self.listed.notify_waiters();
                !complete
            }
            Ok(Written::Taken | Written::Refused) => {
                // The claim has ended. The work is kept in case that this worker claims again.
                job.claim = Claim::Free { since: self.context.now(), revision: 0 };
                false
            }
            Err(_) => true,
        }
    }
}
