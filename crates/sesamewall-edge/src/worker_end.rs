//! Ends jobs for their clients.

use std::sync::Arc;
use std::time::Duration;

use slog::info;
use slog::warn;

use crate::job_keys::JobKey;
use crate::job_keys::JobName;
use crate::job_messages::JobReply;
use crate::job_store;
use crate::worker::Worker;

/// Time after which a worker replies to the front that it is unknown whether the end is stored.
const REPLY_TIMEOUT: Duration = Duration::from_millis(900);

/// Pause between two series of attempts to write the end of a job.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

impl Worker {
    /// Ends a job for its client: no further item starts, and the end is written to the store for
    /// all instances.
    pub(crate) async fn end(self: &Arc<Self>, name: &JobName) -> JobReply {
        match self.jobs().get(name) {
            None => return JobReply::NotHere,
            Some(job) if job.end_stored => return JobReply::Done,
            Some(_) => {}
        }
        self.stop(name, "its client ended it");
        let begins = self
            .jobs()
            .get_mut(name)
            .is_some_and(|job| !std::mem::replace(&mut job.end_requested, true));
        if begins {
            self.spawn_end(name.clone());
        }
        let stored = async {
            loop {
                let changed = self.results_changed.notified();
                if self.jobs().get(name).is_some_and(|job| job.end_stored) {
                    return;
                }
                changed.await;
            }
        };
        match tokio::time::timeout(REPLY_TIMEOUT, stored).await {
            Ok(()) => JobReply::Done,
            Err(_) => JobReply::Unclear,
        }
    }

    /// Starts the task that writes the end of a job, and starts it again if it panics: the job is not
    /// dropped before the store has its end.
    fn spawn_end(self: &Arc<Self>, name: JobName) {
        let subject = name.to_string();
        let write = self.clone().write_end(name.clone());
        let worker = self.clone();
        let recovery = async move {
            tokio::time::sleep(RETRY_INTERVAL).await;
            worker.spawn_end(name);
        };
        self.context.tasks.spawn("job end", subject, write, recovery);
    }

    /// Starts the task that reads whether the store has the end of a job.
    pub(crate) fn spawn_end_read(self: &Arc<Self>, name: JobName) {
        let subject = name.to_string();
        let read = self.clone().read_end(name.clone());
        let worker = self.clone();
        let recovery = async move {
            tokio::time::sleep(RETRY_INTERVAL).await;
            if let Some(job) = worker.jobs().get_mut(&name) {
                job.end_check.on_not_read();
            }
        };
        self.context.tasks.spawn("job end read", subject, read, recovery);
    }

    /// Writes the end of a job until the store has it. The job's items have stopped here, and no
    /// other worker runs them before the claim of this one ends.
    async fn write_end(self: Arc<Self>, name: JobName) {
        let transaction = job_store::end_transaction(&name);
        while self.jobs().get(&name).is_some_and(|job| !job.end_stored) {
            let until = self.context.now() + REPLY_TIMEOUT;
            let result = job_store::commit_once(&self.context, &transaction, 0, until).await;
            info!(self.context.log, "job ended by its client"; "job" => %name,
                "end" => format!("{result:?}"));
            if result.is_ok() {
                self.on_end_stored(&name);
                return;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Reads whether another instance has stored the end of a job that this worker runs.
    async fn read_end(self: Arc<Self>, name: JobName) {
        let sent_at = self.context.now();
        let result = self.context.store.item(&JobKey::End.of(&name)).await;
        self.context.metrics.end_reads.inc();
        match &result {
            Ok(_) => self.context.on_store_result(true, &""),
            Err(error) => {
                warn!(self.context.log, "end of a job not read"; "job" => %name, "error" => %error);
                self.context.on_store_error(error);
            }
        }
        if let Ok(Some(_)) = result {
            self.stop(&name, "the store has its end");
            self.on_end_stored(&name);
        }
        if let Some(job) = self.jobs().get_mut(&name) {
            job.end_check.on_read(sent_at);
        }
        self.wake.notify_one();
    }

    /// Records that the store has the end of a job.
    pub(crate) fn on_end_stored(&self, name: &JobName) {
        if let Some(job) = self.jobs().get_mut(name) {
            job.end_stored = true;
        }
        self.results_changed.notify_waiters();
    }
}
