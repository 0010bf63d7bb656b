//! Looks after jobs without a worker, and tells workers of jobs that were ended elsewhere.
//!
//! Two workers of the fleet follow the jobs in the store. Usually a job's worker accepts it and ends it
//! for its client, so that nobody else has to know it.

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
use crate::job_peer::JOB_PATH;
use crate::job_peer::JobAsk;
use crate::job_peer::JobTold;
use crate::job_store;
use crate::job_store::JobHead;
use crate::store_watch::WatchHandler;
use crate::worker::Worker;

/// Time for which a job without a claim is left to its former holder, or to the front that has just
/// written it.
const FORMER_FIRST: Duration = Duration::from_millis(400);

/// Time between two looks at jobs without a worker.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which a job is offered again to a worker that has not claimed it.
const OFFER_INTERVAL: Duration = Duration::from_millis(1500);

/// Time for a call to another worker.
const CALL_TIME: Duration = Duration::from_millis(300);

/// Who has a claim, as its value says.
#[derive(Clone, Debug)]
struct Holder {
    name: InstanceName,
    boot: u64,
    revision: u64,
}

#[derive(Clone, Debug, Default)]
struct Known {
    head: Option<JobHead>,
    holder: Option<Holder>,
    ended: bool,
    /// The holder has been told of the end.
    told: bool,
    /// Since when the job has no claim.
    free: Time,
    offered: Option<Time>,
}

/// The jobs that are open, as the store has them.
pub struct Sweeper {
    worker: Arc<Worker>,
    known: Mutex<BTreeMap<JobName, Known>>,
}

/// What is to be done for a job.
enum Task {
    Adopt { job: JobName, head: JobHead, claim: u64 },
    Stop { job: JobName, holder: InstanceName },
}

impl Sweeper {
    /// Creates the look after jobs.
    pub fn new(worker: Arc<Worker>) -> Arc<Self> {
        Arc::new(Self { worker, known: Mutex::default() })
    }

    fn context(&self) -> &Arc<InstanceContext> {
        &self.worker.context
    }

    fn known(&self) -> MutexGuard<'_, BTreeMap<JobName, Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether the own worker is one of those that look after jobs.
    fn on_duty(&self) -> bool {
        let context = self.context();
        let now = context.now();
        if context.is_draining() || self.worker.lease.valid(now).is_none() {
            return false;
        }
        let state = context.state();
        let others = state.peers.workers(now);
        let able = others.into_iter().filter(|worker| worker.store_reachable && !worker.draining);
        is_job_adopter(&context.settings.instance, able.map(|worker| &worker.name))
    }

    /// Looks until the process ends.
    pub async fn run(self: Arc<Self>) {
        loop {
            tokio::time::sleep(LOOK_INTERVAL).await;
            if self.on_duty() {
                for task in self.tasks() {
                    self.carry_out(task).await;
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
        let is_dead = |holder: &Holder| {
            let same = workers.iter().find(|worker| worker.name == holder.name);
            same.is_some_and(|worker| worker.boot_id != holder.boot)
        };
        let mut tasks = Vec::new();
        for (job, known) in self.known().iter_mut() {
            let Some(head) = &known.head else { continue };
            match (&known.holder, known.ended) {
                (Some(holder), true) if !known.told => {
                    known.told = true;
                    tasks.push(Task::Stop { job: job.clone(), holder: holder.name.clone() });
                }
                (_, true) => {}
                (Some(holder), false) if !is_dead(holder) => {}
                (holder, false) => {
                    let settled = holder.is_some() || now.since(known.free) >= FORMER_FIRST;
                    let again = known.offered.is_none_or(|at| now.since(at) >= OFFER_INTERVAL);
                    if settled && again {
                        known.offered = Some(now);
                        let claim = holder.as_ref().map_or(0, |holder| holder.revision);
                        tasks.push(Task::Adopt { job: job.clone(), head: head.clone(), claim });
                    }
                }
            }
        }
        tasks
    }

    async fn carry_out(&self, task: Task) {
        match task {
            Task::Adopt { job, head, claim } => self.adopt(job, head, claim).await,
            Task::Stop { job, holder } => {
                let worker = self.workers().into_iter().find(|worker| worker.name == holder);
                let told = match worker {
                    Some(worker) => self.tell(&worker, JobAsk::Stop(job.clone())).await,
                    None => Err(CallError::NotSent),
                };
                if told.is_err() {
                    warn!(self.context().log, "worker not told of an end"; "job" => %job,
                        "worker" => %holder);
                    if let Some(known) = self.known().get_mut(&job) {
                        known.told = false;
                    }
                }
            }
        }
    }

    async fn tell(&self, worker: &WorkerStatus, ask: JobAsk) -> Result<JobTold, CallError> {
        if worker.name == self.context().settings.instance {
            return Ok(self.worker.serve(ask).await);
        }
        self.context().calls.call(worker.address, JOB_PATH, &ask, CALL_TIME).await
    }

    /// Gives a job to the worker that should have it, or takes it if that one does not.
    async fn adopt(&self, job: JobName, head: JobHead, claim: u64) {
        let able: Vec<WorkerStatus> = self
            .workers()
            .into_iter()
            .filter(|worker| worker.store_reachable && !worker.draining)
            .collect();
        let ranked = job_owners(head.account.as_ref(), able.iter(), |worker| &worker.name);
        for worker in ranked.into_iter().take(2) {
            let ask = JobAsk::Adopt { job: job.clone(), head: Box::new(head.clone()), claim };
            let told = self.tell(worker, ask).await;
            info!(self.context().log, "job offered"; "job" => %job, "worker" => %worker.name,
                "claim" => claim, "taken" => matches!(told, Ok(JobTold::Done)));
            if matches!(told, Ok(JobTold::Done)) {
                return;
            }
        }
        self.worker.adopt(job, head, claim);
    }

    fn written(&self, known: &mut BTreeMap<JobName, Known>, item: &StoredItem) {
        let Some((name, kind)) = JobKey::parse(&item.key) else { return };
        if kind == JobKey::Complete {
            known.remove(&name);
            return;
        }
        let free = self.context().now();
        let job = known.entry(name.clone()).or_insert_with(|| Known { free, ..Known::default() });
        match kind {
            JobKey::Head => job.head = job_store::decode_head(self.context(), &name, &item.value),
            JobKey::End => job.ended = true,
            JobKey::Claim => {
                let text = String::from_utf8_lossy(&item.value).into_owned();
                let parts = text.split_once(' ');
                job.holder = parts.map(|(name, boot)| Holder {
                    name: InstanceName::from(name),
                    boot: u64::from_str_radix(boot, 16).unwrap_or_default(),
                    revision: item.revision,
                });
            }
            JobKey::Complete => {}
        }
    }
}

/// Takes over the keys of jobs.
pub struct JobFollower(pub Arc<Sweeper>);

impl WatchHandler for JobFollower {
    fn is_needed(&self) -> bool {
        self.0.on_duty()
    }

    fn on_stopped(&mut self) {
        self.0.known().clear();
    }

    fn replace(&mut self, items: Vec<StoredItem>, _revision: u64) {
        let mut known = self.0.known();
        known.clear();
        for item in &items {
            self.0.written(&mut known, item);
        }
        // The end or completion of a job may come before its head.
        let complete = |item: &StoredItem| match JobKey::parse(&item.key) {
            Some((name, JobKey::Complete)) => Some(name),
            _ => None,
        };
        for name in items.iter().filter_map(complete) {
            known.remove(&name);
        }
    }

    fn apply(&mut self, changes: Vec<StoreChange>, _revision: u64) {
        let now = self.0.context().now();
        let mut known = self.0.known();
        for change in changes {
            match change {
                StoreChange::Written(item) => self.0.written(&mut known, &item),
                StoreChange::Removed { key, revision } => {
                    let Some((name, kind)) = JobKey::parse(&key) else { continue };
                    if kind == JobKey::Head {
                        known.remove(&name);
                        continue;
                    }
                    let Some(job) = known.get_mut(&name) else { continue };
                    let newer = job.holder.as_ref().is_some_and(|now| now.revision > revision);
                    if kind == JobKey::Claim && !newer {
                        job.holder = None;
                        job.free = now;
                    }
                }
            }
        }
    }
}
