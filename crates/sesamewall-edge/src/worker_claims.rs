//! Claims jobs for a worker, and corrects what it knows about its claims.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sesamewall_fleet::BodyRoom;
use sesamewall_fleet::ClaimConflict;
use sesamewall_fleet::ClaimCorrection;
use sesamewall_fleet::ClaimReport;
use sesamewall_fleet::LocalClaim;
use sesamewall_fleet::ResultList;
use sesamewall_fleet::UnreadJob;
use sesamewall_fleet::compare_claims;
use sesamewall_fleet::next_reads;
use sesamewall_fleet::on_claim_conflict;
use sesamewall_ports::CommitResult;
use sesamewall_ports::StoreError;
use sesamewall_ports::StoreWrite;
use sesamewall_ports::Transaction;
use sesamewall_protocol::Time;
use slog::info;
use slog::warn;

use crate::byte_budget::Held;
use crate::job_keys::JobKey;
use crate::job_keys::JobName;
use crate::job_messages::JobReply;
use crate::job_state::Claim;
use crate::job_state::Job;
use crate::job_store;
use crate::worker::Worker;

/// Time limit for the write of a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time after which a claim whose write has no known result is written again.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Number of attempts to read a claimed job, and the delay between them.
const LOAD_TRIES: (u32, Duration) = (20, Duration::from_millis(200));

/// Most jobs that are claimed and read at a time.
const MAX_READING: usize = 32;

/// Time after which a job that could not be read is claimed and read again.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(1500);

/// Time after which a job is claimed again whose task has panicked. It keeps a job for which that
/// happens each time from taking the store's calls of the others.
pub(crate) const PANIC_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Result of the attempt to claim a job.
#[derive(Debug)]
enum ClaimEnd {
    /// The claim has this revision.
    Done(u64),
    /// The result is unknown. A claim with this revision may be in the store; 0 for none.
    Unknown(u64),
    /// Another process has claimed the job.
    Taken { holder: String },
    /// The job is complete or was ended by its client.
    Closed,
}

/// The reason why a claimed job cannot run.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::From)]
enum LoadError {
    #[display("{_0}")]
    Store(StoreError),
    #[display("the specification is not complete or cannot be decoded")]
    NoSpecification,
    /// Other jobs are being read.
    #[display("no memory to read it now")]
    Busy,
    /// Other jobs hold the memory for bodies; contains the bytes of its own.
    #[display("no memory for its bodies of {_0} bytes")]
    #[from(skip)]
    NoRoom(usize),
}

impl Worker {
    /// Claims the jobs at this worker that no process has claimed: adopted jobs, and those whose
    /// claims ended with the local lease.
    pub(crate) fn claim_free_jobs(self: &Arc<Self>) {
        let now = self.context.now();
        let Some(lease) = self.lease.valid(now) else { return };
        let draining = self.context.is_draining();
        let times = self.run_times().clone();
        let mut jobs = self.jobs();
        let reading = jobs.values().filter(|job| job.claim == Claim::Pending).count();
        let (mut held, mut unread) = (Vec::new(), Vec::new());
        for (name, job) in jobs.iter() {
            // A worker that drains claims a job only to commit the results that it has.
            let is_wanted = job.is_open() && !(draining && job.is_idle());
            match job.claim {
                Claim::Free { since, .. } if !is_wanted || since > now => {}
                Claim::Free { .. } if job.work.spec.is_some() => held.push(name.clone()),
                Claim::Free { .. } => {
                    let rank = job.rank(times.remaining(0), now);
                    unread.push(UnreadJob { rank, job: name.clone(), bytes: job.bytes });
                }
                Claim::Local { .. } | Claim::Pending => {}
            }
        }
        let buffers = &self.context.buffers;
        let room = BodyRoom {
            limit: buffers.limit(Held::Accepted),
            used: buffers.used(Held::Accepted),
            reading,
            most_reading: MAX_READING,
        };
        for name in held.into_iter().chain(next_reads(unread, room)) {
            if let Some(job) = jobs.get_mut(&name)
                && let Claim::Free { revision, .. } = job.claim
            {
                job.claim = Claim::Pending;
                let claim = self.clone().claim_job(name.clone(), lease, revision);
                let recovery = self.clone().recover_claim(name.clone(), revision);
                self.context.tasks.spawn("claim", name.to_string(), claim, recovery);
            }
        }
    }

    /// Frees a job after the task that claimed it has panicked, so that a later pass claims and reads
    /// it again. The claim may be in the store.
    async fn recover_claim(self: Arc<Self>, name: JobName, revision: u64) {
        let since = self.context.now() + PANIC_RETRY_DELAY;
        if let Some(job) = self.jobs().get_mut(&name)
            && job.claim == Claim::Pending
        {
            job.claim = Claim::Free { since, revision };
        }
    }

    /// Returns the value of this process's claims: the instance name and the boot id.
    pub(crate) fn claim_value(&self) -> Bytes {
        Bytes::from(format!("{} {:x}", self.context.settings.instance, self.context.boot_id))
    }

    async fn claim_job(self: Arc<Self>, name: JobName, lease: u64, former: u64) {
        let open_at = self.context.now();
        let until = open_at + CLAIM_TIMEOUT;
        let end = self.write_claim(&name, lease, former, until).await;
        info!(self.context.log, "job claimed"; "job" => %name, "former" => former,
            "end" => format!("{end:?}"));
        let revision = match end {
            ClaimEnd::Done(revision) => {
                // The claim is conditional on a job that has not ended.
                if let Some(job) = self.jobs().get_mut(&name) {
                    job.end_check.on_open(open_at);
                }
                revision
            }
            ClaimEnd::Unknown(revision) => {
                let since = self.context.now() + CLAIM_RETRY_DELAY;
                if let Some(job) = self.jobs().get_mut(&name) {
                    job.claim = Claim::Free { since, revision };
                }
                return;
            }
            ClaimEnd::Taken { holder } => return self.drop_job(&name, &holder),
            ClaimEnd::Closed => {
                if let Some(job) = self.jobs().get(&name) {
                    self.queues().on_closed(&job.queue(), &name.id);
                }
                return self.drop_job(&name, "");
            }
        };
        let Some(parts) = self.jobs().get(&name).map(|job| job.head.parts) else { return };
        let Err(error) = self.load(&name, parts, Claim::Local { revision, lease }).await else {
            return;
        };
        let bytes = match error {
            LoadError::NoRoom(bytes) => Some(bytes),
            _ => None,
        };
        match error {
            LoadError::Busy | LoadError::NoRoom(_) => {
                info!(self.context.log, "job waits for memory"; "job" => %name, "bytes" => bytes,
                    "detail" => %error);
            }
            LoadError::Store(_) | LoadError::NoSpecification => {
                warn!(self.context.log, "job cannot be loaded"; "job" => %name, "error" => %error);
            }
        }
        if matches!(error, LoadError::NoSpecification) && self.is_removed(&name).await {
            self.drop_job(&name, "");
            return self.release_claim(name, revision).await;
        }
        // The claim's key stays until the lease ends; a later pass claims and reads the job again.
        let delay = match error {
            LoadError::Busy => CLAIM_RETRY_DELAY,
            _ => LOAD_RETRY_DELAY,
        };
        let since = self.context.now() + delay;
        match self.jobs().get_mut(&name) {
            Some(job) if job.claim == Claim::Pending => {
                job.stop();
                job.claim = Claim::Free { since, revision };
                job.bytes = bytes.or(job.bytes);
            }
            _ => {}
        }
    }

    /// Returns whether the keys of a job are no longer in the store.
    async fn is_removed(&self, name: &JobName) -> bool {
        matches!(self.context.store.item(&JobKey::Head.of(name)).await, Ok(None))
    }

    /// Drops a job that `holder` runs, or that is closed if it is empty. A job whose end is being
    /// written stays until the store has the end.
    fn drop_job(&self, name: &JobName, holder: &str) {
        let mut jobs = self.jobs();
        if jobs.get(name).is_some_and(Job::is_end_pending) {
            return;
        }
        let Some(mut job) = jobs.remove(name) else { return };
        drop(jobs);
        info!(self.context.log, "job dropped"; "job" => %name, "holder" => holder,
            "running" => job.work.running.len(), "uncommitted" => job.work.results.len());
        job.stop();
    }

    /// Writes a claim under a lease on the condition that the present claim has the revision
    /// `former`. A claim of this process that is in the store already is written again, since it
    /// may belong to an earlier lease.
    async fn write_claim(
        &self,
        name: &JobName,
        lease: u64,
        mut former: u64,
        until: Time,
    ) -> ClaimEnd {
        let key = JobKey::Claim.of(name);
        let closing = [JobKey::End.of(name), JobKey::Complete.of(name)];
        let value = self.claim_value();
        loop {
            let mut expect = vec![(key.clone(), former)];
            expect.extend(closing.iter().map(|key| (key.clone(), 0)));
            let writes = vec![StoreWrite { key: key.clone(), value: value.clone(), lease }];
            let transaction = Transaction { expect, writes, removes: Vec::new() };
            let commit = job_store::commit_until(&self.context, &transaction, until).await;
            let items = match commit.map(|commit| commit.result) {
                Ok(CommitResult::Done(revision)) => return ClaimEnd::Done(revision),
                Ok(CommitResult::Conflict(items)) => items,
                Ok(CommitResult::LeaseGone) | Err(_) => return ClaimEnd::Unknown(former),
            };
            let is_closed = items.iter().any(|item| closing.contains(&item.key));
            let present = items.iter().find(|item| item.key == key);
            let present = present.map(|item| (&*item.value, item.revision));
            match on_claim_conflict(&value, present, is_closed) {
                ClaimConflict::Retry { revision } if self.context.now() < until => {
                    former = revision;
                }
                ClaimConflict::Retry { revision } => return ClaimEnd::Unknown(revision),
                ClaimConflict::Taken => {
                    let holder = present.map(|(value, _)| String::from_utf8_lossy(value));
                    return ClaimEnd::Taken { holder: holder.unwrap_or_default().into_owned() };
                }
                ClaimConflict::Closed => return ClaimEnd::Closed,
            }
        }
    }

    /// Reads a job under a new claim. The claim counts only afterwards: until then the results that
    /// this worker knows may be fewer than those in the store.
    async fn load(&self, name: &JobName, parts: usize, claim: Claim) -> Result<(), LoadError> {
        let (max_attempts, delay) = LOAD_TRIES;
        let known = self.jobs().get(name).and_then(|job| job.work.spec.clone());
        // What is read and decoded is held for a moment besides.
        let mut reading = self.context.buffers.reserve_kind(Held::Job);
        let part_bytes = if known.is_some() { 0 } else { job_store::PART_BYTES * parts };
        reading.make_room(part_bytes).await.map_err(|_| LoadError::Busy)?;
        let mut attempts = 0;
        let (spec, results) = loop {
            attempts += 1;
            let mut results = ResultList::default();
            let read = async {
                let spec = match &known {
                    Some(spec) => Some((**spec).clone()),
                    None => job_store::read_spec(&self.context, name, parts).await?,
                };
                job_store::read_new_results(&self.context, name, &mut results).await?;
                Ok::<_, StoreError>(spec)
            };
            match read.await {
                Ok(spec) => break (spec, results),
                Err(error) if attempts >= max_attempts => return Err(error.into()),
                Err(_) => tokio::time::sleep(delay).await,
            }
        };
        let spec = spec.ok_or(LoadError::NoSpecification)?;
        let held = match &known {
            Some(_) => None,
            None => {
                let mut held = self.context.buffers.reserve_kind(Held::Accepted);
                let bytes = spec.held_bytes();
                held.resize(bytes).map_err(|_| LoadError::NoRoom(bytes))?;
                Some(held)
            }
        };
        let mut jobs = self.jobs();
        let Some(job) = jobs.get_mut(name) else { return Ok(()) };
        if job.claim != Claim::Pending || !job.is_open() {
            return Ok(());
        }
        job.claim = claim;
        job.stored_results = results;
        let held = held.or_else(|| job.work.held.take());
        job.load(spec, held);
        self.queues().set_remaining(&job.queue(), &name.id, job.remaining());
        drop(jobs);
        self.wake.notify_one();
        self.results_changed.notify_waiters();
        Ok(())
    }

    /// Returns what this worker knows about its claims.
    fn local_claims(&self) -> BTreeMap<JobName, LocalClaim> {
        let accepting = self.accepting().clone();
        let mut claims: BTreeMap<JobName, LocalClaim> =
            accepting.into_iter().map(|name| (name, LocalClaim::Unsettled)).collect();
        let of_job = |job: &Job| match job.claim {
            _ if !job.is_open() => LocalClaim::Closed,
            Claim::Local { revision, .. } if !job.work.committing => LocalClaim::Held(revision),
            _ => LocalClaim::Unsettled,
        };
        claims.extend(self.jobs().iter().map(|(name, job)| (name.clone(), of_job(job))));
        claims
    }

    /// Compares the claims of this process in the store with its jobs. Returns the jobs that it
    /// lacks and can run.
    pub(crate) fn compare(self: &Arc<Self>, report: &ClaimReport) -> JobReply {
        if report.boot_id != self.context.boot_id {
            return JobReply::NotHere;
        }
        let log = &self.context.log;
        if let Some(age) = report.age_ms.map(Duration::from_millis) {
            let open_at = self.context.now() - age;
            let mut jobs = self.jobs();
            for claim in report.claims.iter().filter(|claim| !claim.ended) {
                if let Some(job) = jobs.get_mut(&claim.job) {
                    job.end_check.on_open(open_at);
                }
            }
        }
        let mut missing = Vec::new();
        for correction in compare_claims(report, &self.local_claims()) {
            match correction {
                ClaimCorrection::Missing { job, revision } => {
                    let drains = self.context.is_draining();
                    warn!(log, "claimed job is missing"; "job" => %job, "claim" => revision,
                        "at" => report.revision, "draining" => drains);
                    match drains {
                        true => self.spawn_release(job, revision),
                        false => missing.push(job),
                    }
                }
                ClaimCorrection::Reclaim { job: name, revision } => {
                    if let Some(job) = self.jobs().get_mut(&name)
                        && let Claim::Local { revision: known, .. } = job.claim
                    {
                        warn!(log, "claim is not in the store"; "job" => %name, "claim" => known,
                            "present" => revision, "at" => report.revision);
                        job.claim = Claim::Free { since: self.context.now(), revision };
                        self.wake.notify_one();
                    }
                }
                ClaimCorrection::Stop { job } => {
                    self.stop(&job, "its client ended it at another instance");
                    self.on_end_stored(&job);
                }
            }
        }
        JobReply::Missing(missing)
    }

    /// Starts the release of a claim. The next report names a claim that stays.
    fn spawn_release(self: &Arc<Self>, name: JobName, revision: u64) {
        let subject = name.to_string();
        let release = self.clone().release_claim(name, revision);
        self.context.tasks.spawn("claim release", subject, release, std::future::ready(()));
    }

    /// Removes the claim on a job that this worker does not run, so that others adopt the job.
    async fn release_claim(self: Arc<Self>, name: JobName, revision: u64) {
        let key = JobKey::Claim.of(&name);
        let transaction = Transaction {
            expect: vec![(key.clone(), revision)],
            writes: Vec::new(),
            removes: vec![key],
        };
        let result = self.context.store.commit(&transaction).await;
        info!(self.context.log, "claim released"; "job" => %name, "claim" => revision,
            "end" => format!("{result:?}"));
    }
}
