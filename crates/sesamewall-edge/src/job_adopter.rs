//! Assigns jobs without a claim to workers, and stops jobs at their workers after they were ended
//! at another instance.
//!
//! Two workers of the fleet watch the jobs in the store. Usually a job's worker accepts the job and
//! also ends it for its client, so that no other instance has to be informed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use sesamewall_adapters::http_client::CallError;
use sesamewall_fleet::WorkerStatus;
use sesamewall_fleet::is_job_adopter;
use sesamewall_fleet::job_owners;
use sesamewall_ports::StoreChange;
use sesamewall_ports::StoredItem;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;
use slog::info;
use slog::warn;

use crate::InstanceContext;
use crate::job_keys::JobKey;
use crate::job_keys::JobName;
use crate::job_messages::JOB_PATH;
use crate::job_messages::JobReply;
use crate::job_messages::JobRequest;
use crate::job_store;
use crate::job_store::JobHead;
use crate::store_watch::WatchHandler;
use crate::worker::Worker;

/// Delay before a job without a claim is assigned, in which its former claim holder or the front
/// that has just written it may act first.
const ADOPT_DELAY: Duration = Duration::from_millis(400);

/// Interval between two checks for jobs without a worker.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which a job that is still unclaimed is offered again.
const OFFER_INTERVAL: Duration = Duration::from_millis(1500);

/// Timeout of a request to another worker.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// The process that has claimed a job, decoded from the value of the claim.
#[derive(Clone, Debug)]
struct ClaimHolder {
    name: InstanceName,
    boot_id: u64,
    revision: u64,
}

#[derive(Clone, Debug, Default)]
struct OpenJob {
    head: Option<JobHead>,
    holder: Option<ClaimHolder>,
    ended: bool,
    /// Whether the claim holder was sent the end of the job.
    stop_sent: bool,
    /// Time since which the job has no claim.
    free_since: Time,
    offered_at: Option<Time>,
}

/// Watches the open jobs in the store, and assigns those without a worker.
pub struct JobAdopter {
    worker: Arc<Worker>,
    open_jobs: Mutex<BTreeMap<JobName, OpenJob>>,
}

/// An action that a job needs.
enum Task {
    Adopt { job: JobName, head: JobHead, claim: u64 },
    Stop { job: JobName, holder: InstanceName },
}

impl JobAdopter {
    /// Creates the adopter of the local worker.
    pub fn new(worker: Arc<Worker>) -> Arc<Self> {
        Arc::new(Self { worker, open_jobs: Mutex::default() })
    }

    fn context(&self) -> &Arc<InstanceContext> {
        &self.worker.context
    }

    fn open_jobs(&self) -> MutexGuard<'_, BTreeMap<JobName, OpenJob>> {
        self.open_jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the local worker is one of those that watch the jobs.
    fn is_active(&self) -> bool {
        let context = self.context();
        let now = context.now();
        if context.is_draining() || self.worker.lease.valid(now).is_none() {
            return false;
        }
        let state = context.state();
        let peers = state.peers.workers(now);
        let eligible =
            peers.into_iter().filter(|worker| worker.store_reachable && !worker.draining);
        is_job_adopter(&context.settings.instance, eligible.map(|worker| &worker.name))
    }

    /// Checks the jobs until the process ends.
    pub async fn run(self: Arc<Self>) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if self.is_active() {
                for task in self.tasks() {
                    self.execute(task).await;
                }
            }
        }
    }

    fn workers(&self) -> Vec<WorkerStatus> {
        let context = self.context();
        let now = context.now();
        let state = context.state();
        let mut workers: Vec<WorkerStatus> =
            state.peers.workers(now).into_iter().cloned().collect();
        workers.extend(context.worker_status(&state));
        workers
    }

    fn tasks(&self) -> Vec<Task> {
        let now = self.context().now();
        let workers = self.workers();
        let is_dead = |holder: &ClaimHolder| {
            let same = workers.iter().find(|worker| worker.name == holder.name);
            same.is_some_and(|worker| worker.boot_id != holder.boot_id)
        };
        let mut tasks = Vec::new();
        for (job, open_job) in self.open_jobs().iter_mut() {
            let Some(head) = &open_job.head else { continue };
            match (&open_job.holder, open_job.ended) {
                (Some(holder), true) if !open_job.stop_sent => {
                    open_job.stop_sent = true;
                    tasks.push(Task::Stop { job: job.clone(), holder: holder.name.clone() });
                }
                (_, true) => {}
                (Some(holder), false) if !is_dead(holder) => {}
                (holder, false) => {
                    let delay_over =
                        holder.is_some() || now.since(open_job.free_since) >= ADOPT_DELAY;
                    let offer_due =
                        open_job.offered_at.is_none_or(|at| now.since(at) >= OFFER_INTERVAL);
                    if delay_over && offer_due {
                        open_job.offered_at = Some(now);
                        let claim = holder.as_ref().map_or(0, |holder| holder.revision);
                        tasks.push(Task::Adopt { job: job.clone(), head: head.clone(), claim });
                    }
                }
            }
        }
        tasks
    }

    async fn execute(&self, task: Task) {
        match task {
            Task::Adopt { job, head, claim } => self.assign(job, head, claim).await,
            Task::Stop { job, holder } => {
                let worker = self.workers().into_iter().find(|worker| worker.name == holder);
                let reply = match worker {
                    Some(worker) => self.send_request(&worker, JobRequest::Stop(job.clone())).await,
                    None => Err(CallError::NotSent),
                };
                if reply.is_err() {
                    warn!(self.context().log, "job end not sent to worker"; "job" => %job,
                        "worker" => %holder);
                    if let Some(open_job) = self.open_jobs().get_mut(&job) {
                        open_job.stop_sent = false;
                    }
                }
            }
        }
    }

    async fn send_request(
        &self,
        worker: &WorkerStatus,
        request: JobRequest,
    ) -> Result<JobReply, CallError> {
        if worker.name == self.context().settings.instance {
            return Ok(self.worker.serve(request).await);
        }
        self.context().peer_client.call(worker.address, JOB_PATH, &request, CALL_TIMEOUT).await
    }

    /// Offers a job to the two workers that rank highest for its account. If neither of them takes
    /// it, the local worker does.
    async fn assign(&self, job: JobName, head: JobHead, claim: u64) {
        let eligible: Vec<WorkerStatus> = self
            .workers()
            .into_iter()
            .filter(|worker| worker.store_reachable && !worker.draining)
            .collect();
        let ranked = job_owners(head.account.as_ref(), eligible.iter(), |worker| &worker.name);
        for worker in ranked.into_iter().take(2) {
            let request =
                JobRequest::Adopt { job: job.clone(), head: Box::new(head.clone()), claim };
            let reply = self.send_request(worker, request).await;
            info!(self.context().log, "job offered"; "job" => %job, "worker" => %worker.name,
                "claim" => claim, "taken" => matches!(reply, Ok(JobReply::Done)));
            if matches!(reply, Ok(JobReply::Done)) {
                return;
            }
        }
        self.worker.adopt(job, head, claim);
    }

    fn apply_item(&self, open_jobs: &mut BTreeMap<JobName, OpenJob>, item: &StoredItem) {
        let Some((name, kind)) = JobKey::parse(&item.key) else { return };
        if kind == JobKey::Complete {
            open_jobs.remove(&name);
            return;
        }
        let free_since = self.context().now();
        let job = open_jobs
            .entry(name.clone())
            .or_insert_with(|| OpenJob { free_since, ..OpenJob::default() });
        match kind {
            JobKey::Head => job.head = job_store::decode_head(self.context(), &name, &item.value),
            JobKey::End => job.ended = true,
            JobKey::Claim => {
                let text = String::from_utf8_lossy(&item.value).into_owned();
                info!(self.context().log, "claim seen"; "job" => %name, "holder" => &text,
                    "claim" => item.revision);
                let parts = text.split_once(' ');
                job.holder = parts.map(|(name, boot_id)| ClaimHolder {
                    name: InstanceName::from(name),
                    boot_id: u64::from_str_radix(boot_id, 16).unwrap_or_default(),
                    revision: item.revision,
                });
            }
            JobKey::Complete => {}
        }
    }
}

/// Applies changes of the jobs' keys in the store.
pub struct JobWatch(pub Arc<JobAdopter>);

impl WatchHandler for JobWatch {
    fn is_needed(&self) -> bool {
        self.0.is_active()
    }

    fn on_stopped(&mut self) {
        self.0.open_jobs().clear();
    }

    fn replace(&mut self, items: Vec<StoredItem>, _revision: u64) {
        let mut open_jobs = self.0.open_jobs();
        open_jobs.clear();
        for item in &items {
            self.0.apply_item(&mut open_jobs, item);
        }
        // The end or completion of a job may be listed before its head.
        let complete = |item: &StoredItem| match JobKey::parse(&item.key) {
            Some((name, JobKey::Complete)) => Some(name),
            _ => None,
        };
        for name in items.iter().filter_map(complete) {
            open_jobs.remove(&name);
        }
    }

    fn apply(&mut self, changes: Vec<StoreChange>, _revision: u64) {
        let now = self.0.context().now();
        let mut open_jobs = self.0.open_jobs();
        for change in changes {
            match change {
                StoreChange::Written(item) => self.0.apply_item(&mut open_jobs, &item),
                StoreChange::Removed { key, revision } => {
                    let Some((name, kind)) = JobKey::parse(&key) else { continue };
                    if kind == JobKey::Head {
                        open_jobs.remove(&name);
                        continue;
                    }
                    let Some(job) = open_jobs.get_mut(&name) else { continue };
                    let newer = job.holder.as_ref().is_some_and(|now| now.revision > revision);
                    if kind == JobKey::Claim && !newer {
                        info!(self.0.context().log, "claim gone"; "job" => %name,
                            "revision" => revision);
                        job.holder = None;
                        job.free_since = now;
                    }
                }
            }
        }
    }
}
