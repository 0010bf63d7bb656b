//! Assigns jobs without a claim to workers, and reports to each worker the claims that the store has
//! for it, so that it finds jobs that it has dropped, and stops jobs that were ended at another
//! instance.
//!
//! Two workers of the fleet watch the jobs in the store. Usually a job's worker accepts the job and
//! also ends it for its client, so that no other instance has to be informed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use sesamewall_adapters::http_client::CallError;
use sesamewall_fleet::ClaimReport;
use sesamewall_fleet::ReportSchedule;
use sesamewall_fleet::ReportedClaim;
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
    /// Time since which the job has no claim.
    free_since: Time,
    offered_at: Option<Time>,
}

/// What the watch has read, and which workers have reports about it.
#[derive(Debug, Default)]
struct WatchedJobs {
    open: BTreeMap<JobName, OpenJob>,
    /// Store revision up to which the watch has read; `None` before the first read.
    revision: Option<u64>,
    /// Time as of which the open jobs are complete.
    complete_at: Option<Time>,
    schedule: ReportSchedule,
    /// Workers whose last report failed.
    failed: BTreeSet<InstanceName>,
}

/// Watches the open jobs in the store, and assigns those without a worker.
pub struct JobAdopter {
    worker: Arc<Worker>,
    watched: Mutex<WatchedJobs>,
}

/// A job to be offered to workers.
struct Offer {
    job: JobName,
    head: JobHead,
    claim: u64,
}

impl JobAdopter {
    /// Creates the adopter of the local worker.
    pub fn new(worker: Arc<Worker>) -> Arc<Self> {
        Arc::new(Self { worker, watched: Mutex::default() })
    }

    fn context(&self) -> &Arc<InstanceContext> {
        &self.worker.context
    }

    fn watched(&self) -> MutexGuard<'_, WatchedJobs> {
        self.watched.lock().unwrap_or_else(PoisonError::into_inner)
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
        let (mut report_failures, mut offer_failures) = Default::default();
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            // While the store does not serve this instance, what it has watched may be outdated.
            if self.is_active() && !self.context().store.is_lost() {
                let tasks = &self.context().tasks;
                let reports = tasks
                    .essential_step("claim reports", &mut report_failures, || self.due_reports());
                for (worker, report) in reports.unwrap_or_default() {
                    let name = worker.name.clone();
                    // The next report to this worker follows in its turn.
                    let report = self.clone().report(worker, report);
                    tasks.spawn("claim report", name, report, std::future::ready(()));
                }
                let offers =
                    tasks.essential_step("job offers", &mut offer_failures, || self.due_offers());
                for offer in offers.unwrap_or_default() {
                    // A job that is still unclaimed is offered again.
                    let job = offer.job.clone();
                    tasks.run("job offer", &job, self.assign(offer)).await;
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

    fn due_offers(&self) -> Vec<Offer> {
        let now = self.context().now();
        let workers = self.workers();
        let is_dead = |holder: &ClaimHolder| {
            let same = workers.iter().find(|worker| worker.name == holder.name);
            same.is_some_and(|worker| worker.boot_id != holder.boot_id)
        };
        let mut offers = Vec::new();
        for (job, open_job) in self.watched().open.iter_mut() {
            let Some(head) = &open_job.head else { continue };
            match &open_job.holder {
                _ if open_job.ended => {}
                Some(holder) if !is_dead(holder) => {}
                holder => {
                    let delay_over =
                        holder.is_some() || now.since(open_job.free_since) >= ADOPT_DELAY;
                    let offer_due =
                        open_job.offered_at.is_none_or(|at| now.since(at) >= OFFER_INTERVAL);
                    if delay_over && offer_due {
                        open_job.offered_at = Some(now);
                        let claim = holder.as_ref().map_or(0, |holder| holder.revision);
                        offers.push(Offer { job: job.clone(), head: head.clone(), claim });
                    }
                }
            }
        }
        offers
    }

    /// Returns the reports that are due: for each live worker, its claims in the store.
    fn due_reports(&self) -> Vec<(WorkerStatus, ClaimReport)> {
        let now = self.context().now();
        let workers = self.workers();
        let mut watched = self.watched();
        let WatchedJobs { open, revision: Some(revision), complete_at, schedule, failed } =
            &mut *watched
        else {
            return Vec::new();
        };
        let age_ms = complete_at.map(|at| now.since(at).as_millis() as u64);
        let is_live = |name: &InstanceName| workers.iter().any(|worker| worker.name == *name);
        schedule.retain(is_live);
        failed.retain(|name| is_live(name));
        let mut reports: BTreeMap<InstanceName, (WorkerStatus, ClaimReport)> = workers
            .iter()
            .filter(|worker| schedule.take_due(&worker.name, now))
            .map(|worker| {
                let WorkerStatus { name, boot_id, .. } = worker.clone();
                let report =
                    ClaimReport { boot_id, revision: *revision, claims: Vec::new(), age_ms };
                (name, (worker.clone(), report))
            })
            .collect();
        for (job, open_job) in open.iter() {
            let Some(holder) = &open_job.holder else { continue };
            match reports.get_mut(&holder.name) {
                Some((_, report)) if report.boot_id == holder.boot_id => {
                    report.claims.push(ReportedClaim {
                        job: job.clone(),
                        revision: holder.revision,
                        ended: open_job.ended,
                    });
                }
                _ => {}
            }
        }
        reports.into_values().collect()
    }

    /// Sends a report, and offers the worker the jobs that it lacks.
    async fn report(self: Arc<Self>, worker: WorkerStatus, report: ClaimReport) {
        let name = &worker.name;
        let has_ended = report.claims.iter().any(|claim| claim.ended);
        let reply = self.send_request(&worker, JobRequest::Compare(Box::new(report))).await;
        let missing = match reply {
            Ok(JobReply::Missing(missing)) => missing,
            reply => {
                let mut watched = self.watched();
                if watched.failed.insert(name.clone()) {
                    warn!(self.context().log, "claims not reported to worker"; "worker" => %name,
                        "end" => format!("{reply:?}"));
                }
                if has_ended {
                    watched.schedule.expedite(name);
                }
                return;
            }
        };
        if self.watched().failed.remove(name) {
            info!(self.context().log, "claims reported to worker again"; "worker" => %name);
        }
        for job in missing {
            let offer = match self.watched().open.get(&job) {
                Some(OpenJob { head: Some(head), holder: Some(holder), ended: false, .. })
                    if holder.name == *name && holder.boot_id == worker.boot_id =>
                {
                    Offer { job, head: head.clone(), claim: holder.revision }
                }
                _ => continue,
            };
            self.offer(&worker, &offer).await;
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
    async fn assign(&self, offer: Offer) {
        let eligible: Vec<WorkerStatus> = self
            .workers()
            .into_iter()
            .filter(|worker| worker.store_reachable && !worker.draining)
            .collect();
        let ranked =
            job_owners(offer.head.account.as_ref(), eligible.iter(), |worker| &worker.name);
        for worker in ranked.into_iter().take(2) {
            if self.offer(worker, &offer).await {
                return;
            }
        }
        let Offer { job, head, claim } = offer;
        self.worker.adopt(job, head, claim);
    }

    /// Offers a job to a worker. Returns whether the worker takes it.
    async fn offer(&self, worker: &WorkerStatus, offer: &Offer) -> bool {
        let Offer { job, head, claim } = offer;
        let request =
            JobRequest::Adopt { job: job.clone(), head: Box::new(head.clone()), claim: *claim };
        let reply = self.send_request(worker, request).await;
        let taken = matches!(reply, Ok(JobReply::Done));
        info!(self.context().log, "job offered"; "job" => %job, "worker" => %worker.name,
            "claim" => claim, "taken" => taken);
        taken
    }

    fn apply_item(&self, watched: &mut WatchedJobs, item: &StoredItem) {
        let Some((name, kind)) = JobKey::parse(&item.key) else { return };
        if kind == JobKey::Complete {
            watched.open.remove(&name);
            return;
        }
        let free_since = self.context().now();
        let job = watched
            .open
            .entry(name.clone())
            .or_insert_with(|| OpenJob { free_since, ..OpenJob::default() });
        match kind {
            JobKey::Head => job.head = job_store::decode_head(self.context(), &name, &item.value),
            JobKey::End => {
                job.ended = true;
                if let Some(holder) = &job.holder {
                    watched.schedule.expedite(&holder.name);
                }
            }
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
        *self.0.watched() = WatchedJobs::default();
    }

    fn on_current(&mut self, sent_at: Time) {
        self.0.watched().complete_at = Some(sent_at);
    }

    fn replace(&mut self, items: Vec<StoredItem>, revision: u64) {
        let mut watched = self.0.watched();
        watched.open.clear();
        watched.revision = Some(revision);
        for item in &items {
            self.0.apply_item(&mut watched, item);
        }
        // The end or completion of a job may be listed before its head.
        let complete = |item: &StoredItem| match JobKey::parse(&item.key) {
            Some((name, JobKey::Complete)) => Some(name),
            _ => None,
        };
        for name in items.iter().filter_map(complete) {
            watched.open.remove(&name);
        }
    }

    fn apply(&mut self, changes: Vec<StoreChange>, revision: u64) {
        let now = self.0.context().now();
        let mut watched = self.0.watched();
        watched.revision = Some(revision);
        for change in changes {
            match change {
                StoreChange::Written(item) => self.0.apply_item(&mut watched, &item),
                StoreChange::Removed { key, revision } => {
                    let Some((name, kind)) = JobKey::parse(&key) else { continue };
                    if kind == JobKey::Head {
                        watched.open.remove(&name);
                        continue;
                    }
                    let Some(job) = watched.open.get_mut(&name) else { continue };
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
