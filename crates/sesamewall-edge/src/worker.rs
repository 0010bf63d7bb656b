//! Runs the batch jobs that this process has claimed.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use sesamewall_fleet::AccountQueues;
use sesamewall_fleet::BatchHeadroom;
use sesamewall_fleet::CompletionForecast;
use sesamewall_fleet::ItemRank;
use sesamewall_fleet::ItemSettings;
use sesamewall_fleet::ItemTrials;
use sesamewall_fleet::RunTimeEstimate;
use sesamewall_fleet::UnusedTargets;
use sesamewall_ports::Transaction;
use sesamewall_protocol::Time;
use sesamewall_tasks::StepFailures;
use slog::info;
use slog::warn;
use tokio::sync::Notify;

use crate::InstanceContext;
use crate::job_keys::JobName;
use crate::job_state::Claim;
use crate::job_state::Job;
use crate::job_state::RunningItem;
use crate::job_store;
use crate::lease::ProcessLease;
use crate::version_rollout;

/// Interval between two passes of the worker when no event wakes it.
const TICK: Duration = Duration::from_millis(250);

/// Interval between two passes while items are waiting.
const BUSY_TICK: Duration = Duration::from_millis(25);

/// Interval between log lines with the jobs of the worker.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(15);

/// Time after which a finished job is dropped from memory: by then its clients have read it.
const CLOSED_TTL: Duration = Duration::from_secs(60);

/// Further time until the keys of such a job are removed from the store: clients may read a job for
/// two minutes.
const REMOVAL_DELAY: Duration = Duration::from_secs(120);

/// Most keys that the store removes in one transaction.
const MAX_REMOVES: usize = 32;

/// The batch worker of a process.
pub struct Worker {
    pub(crate) context: Arc<InstanceContext>,
    pub(crate) lease: Arc<ProcessLease>,
    pub(crate) item_settings: ItemSettings,
    pub(crate) wake: Notify,
    /// Wakes the requests that wait for results.
    pub(crate) results_changed: Notify,
    pub(crate) next_id: AtomicU64,
    jobs: Mutex<BTreeMap<JobName, Job>>,
    queues: Mutex<AccountQueues>,
    run_times: Mutex<RunTimeEstimate>,
    headroom: Mutex<BatchHeadroom>,
    unused_targets: Mutex<UnusedTargets>,
    forecast: Mutex<CompletionForecast>,
    /// Trials of items with a poison part.
    item_trials: Mutex<ItemTrials>,
    /// Jobs whose acceptance is being written.
    accepting: Mutex<HashSet<JobName>>,
    /// Keys of old jobs, and the times at which they are removed.
    removals: Mutex<VecDeque<(Time, Vec<String>)>>,
}

impl Worker {
    /// Creates a worker.
    pub fn new(context: Arc<InstanceContext>, lease: Arc<ProcessLease>) -> Arc<Self> {
        Arc::new(Self {
            context,
            lease,
            item_settings: ItemSettings::default(),
            wake: Notify::new(),
            results_changed: Notify::new(),
            next_id: AtomicU64::new(0),
            jobs: Mutex::default(),
            queues: Mutex::default(),
            run_times: Mutex::default(),
            headroom: Mutex::default(),
            unused_targets: Mutex::default(),
            forecast: Mutex::default(),
            item_trials: Mutex::default(),
            accepting: Mutex::default(),
            removals: Mutex::default(),
        })
    }

    /// Locks the jobs. The lock is never held over an await.
    pub(crate) fn jobs(&self) -> MutexGuard<'_, BTreeMap<JobName, Job>> {
        self.jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the queues of accounts. Where both locks are needed, the jobs are locked first.
    pub(crate) fn queues(&self) -> MutexGuard<'_, AccountQueues> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn run_times(&self) -> MutexGuard<'_, RunTimeEstimate> {
        self.run_times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn headroom(&self) -> MutexGuard<'_, BatchHeadroom> {
        self.headroom.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn unused_targets(&self) -> MutexGuard<'_, UnusedTargets> {
        self.unused_targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn forecast(&self) -> MutexGuard<'_, CompletionForecast> {
        self.forecast.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn item_trials(&self) -> MutexGuard<'_, ItemTrials> {
        self.item_trials.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn accepting(&self) -> MutexGuard<'_, HashSet<JobName>> {
        self.accepting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs until the process ends. A step that panics is left out; without one of them for long, the
    /// process stops and other workers take the jobs over.
    pub async fn run(self: Arc<Self>) {
        let mut logged_at = self.context.now();
        let mut failures = [StepFailures::default(); 8];
        loop {
            let waiting = self.jobs().values().any(|job| !job.work.waiting.is_empty());
            let tick = if waiting { BUSY_TICK } else { TICK };
            tokio::select! {
                () = self.wake.notified() => {}
                () = self.context.peers_changed.notified() => {}
                () = tokio::time::sleep(tick) => {}
            }
            let steps: [(&'static str, &dyn Fn()); 8] = [
                ("lease check", &|| self.check_lease()),
                ("preemption", &|| self.preempt_items()),
                ("preemption of old versions", &|| self.preempt_replaced()),
                ("claims", &|| self.claim_free_jobs()),
                ("item starts", &|| self.start_items()),
                ("commits", &|| self.commit_results()),
                ("backlog", &|| self.update_backlog()),
                ("removals", &|| self.remove_closed()),
            ];
            for ((name, step), failures) in steps.into_iter().zip(&mut failures) {
                self.context.tasks.essential_step(name, failures, step);
            }
            let now = self.context.now();
            if now.since(logged_at) >= SUMMARY_INTERVAL {
                logged_at = now;
                self.context.tasks.step("summary", &"", || self.log_summary(now));
            }
        }
    }

    /// Logs the open jobs by the state of their claims, and their items.
    fn log_summary(&self, now: Time) {
        let jobs = self.jobs();
        let open = || jobs.values().filter(|job| job.is_open());
        let count = |claim: fn(&Claim) -> bool| open().filter(|job| claim(&job.claim)).count();
        let waiting = || open().flat_map(|job| &job.work.waiting);
        info!(self.context.log, "batch work"; "lease" => self.lease.number(),
            "lease_valid" => self.lease.valid(now).is_some(),
            "draining" => self.context.is_draining(),
            "claimed" => count(|claim| matches!(claim, Claim::Local { .. })),
            "claiming" => count(|claim| matches!(claim, Claim::Pending)),
            "unclaimed" => count(|claim| matches!(claim, Claim::Free { .. })),
            "unloaded" => open().filter(|job| job.work.spec.is_none()).count(),
            "waiting" => waiting().count(),
            "held" => waiting().filter(|item| item.progress.not_before() > now).count(),
            "running" => open().map(|job| job.work.running.len()).sum::<usize>(),
            "uncommitted" => open().map(|job| job.work.results.len()).sum::<usize>());
    }

    /// Publishes the number of waiting items, for the other instances.
    fn update_backlog(&self) {
        let valid = self.lease.valid(self.context.now()).is_some();
        let backlog = if valid && !self.context.is_draining() { self.backlog() } else { 0 };
        self.sample_free_slots();
        let mut state = self.context.state();
        if state.backlog != backlog {
            state.backlog = backlog;
            drop(state);
            self.context.state_changed.notify_one();
        }
    }

    /// Samples the slots that online requests leave free, for the completion forecast.
    fn sample_free_slots(&self) {
        let now = self.context.now();
        if !self.forecast().sample_due(now) {
            return;
        }
        let state = self.context.state();
        let in_service =
            state.targets.iter().filter(|target| state.targets.in_service(target, now));
        let free_slots = in_service
            .map(|target| target.entry.slots.saturating_sub(state.peers.at_target(target.key).0));
        self.forecast().on_free_slots(free_slots.sum(), now);
    }

    /// Returns the number of items that wait for a slot.
    pub(crate) fn backlog(&self) -> u32 {
        let is_local = |job: &&Job| matches!(job.claim, Claim::Local { .. }) && job.is_open();
        self.jobs().values().filter(is_local).map(|job| job.work.waiting.len() as u32).sum()
    }

    /// Returns the number of items that run or have uncommitted results, and of jobs whose end is
    /// being written. The process waits for them before it ends.
    pub fn running(&self) -> usize {
        let running = |job: &Job| {
            job.work.running.len() + job.work.results.len() + usize::from(job.is_end_pending())
        };
        self.jobs().values().map(running).sum()
    }

    /// Marks the jobs whose claims ended with a lost lease as free. Their items go on: usually this
    /// worker claims them again, and if another worker does, this one stops them.
    fn check_lease(&self) {
        let current = self.lease.number();
        let since = self.context.now();
        for (name, job) in self.jobs().iter_mut() {
            match job.claim {
                Claim::Local { lease, .. } if lease != current && job.is_open() => {
                    warn!(self.context.log, "claim lost with its lease"; "job" => %name);
                    job.claim = Claim::Free { since, revision: 0 };
                }
                _ => {}
            }
        }
    }

    /// Drops jobs that were completed or ended some time ago from memory, and schedules the removal
    /// of their keys from the store.
    fn remove_closed(self: &Arc<Self>) {
        let now = self.context.now();
        let mut removals = self.removals.lock().unwrap_or_else(PoisonError::into_inner);
        self.jobs().retain(|name, job| {
            let retained =
                job.is_end_pending() || job.closed.is_none_or(|at| now.since(at) < CLOSED_TTL);
            if !retained {
                let keys = job_store::all_keys(name, job.head.parts, job.stored_results.groups());
                removals.push_back((now + REMOVAL_DELAY, keys));
            }
            retained
        });
        let mut keys: Vec<String> = Vec::new();
        while removals.front().is_some_and(|(due, next)| {
            *due <= now && (keys.is_empty() || keys.len() + next.len() <= MAX_REMOVES)
        }) {
            keys.extend(removals.pop_front().map(|(_, next)| next).unwrap_or_default());
        }
        drop(removals);
        if !keys.is_empty() {
            // Keys that stay are removed by operators.
            let remove = self.clone().remove_keys(keys);
            self.context.tasks.spawn("key removal", "", remove, std::future::ready(()));
        }
    }

    async fn remove_keys(self: Arc<Self>, keys: Vec<String>) {
        for chunk in keys.chunks(MAX_REMOVES) {
            let removes = chunk.to_vec();
            let transaction = Transaction { removes, ..Transaction::default() };
            if let Err(error) = self.context.store.commit(&transaction).await {
                // The keys stay until an operator removes them; nothing depends on their removal.
                warn!(self.context.log, "old jobs not removed"; "keys" => keys.len(),
                    "error" => %error);
            }
        }
    }

    /// Cancels items at targets whose version was replaced, so that they restart at other ones.
    fn preempt_replaced(&self) {
        let targets = version_rollout::replaced_targets(&self.context.state());
        if targets.is_empty() {
            return;
        }
        for running in self.jobs().values().flat_map(|job| job.work.running.values()) {
            if targets.contains(&running.target_key) && !running.cancel.is_cancelled() {
                running.cancel.cancel();
            }
        }
    }

    /// Cancels items at targets where online requests need their slots.
    fn preempt_items(&self) {
        let now = self.context.now();
        let preempt_counts: Vec<(u32, u32)> = {
            let state = self.context.state();
            let local = &self.context.settings.instance;
            let headroom = self.headroom();
            state
                .targets
                .iter()
                .map(|target| {
                    (target.key, headroom.preempt_count(local, target, &state.peers, now))
                })
                .filter(|(_, count)| *count > 0)
                .collect()
        };
        if preempt_counts.is_empty() {
            return;
        }
        let times = self.run_times().clone();
        let jobs = self.jobs();
        for (key, count) in preempt_counts {
            let mut candidates: Vec<&RunningItem> = jobs
                .values()
                .flat_map(|job| job.work.running.values())
                .filter(|running| running.target_key == key && !running.cancel.is_cancelled())
                .collect();
            // Items that cannot end in time are cancelled first, then those with the longest
            // remaining time: the others free their slots soon anyway.
            candidates.sort_by_key(|running| {
                let remaining = times
                    .remaining(running.events_before)
                    .saturating_sub(now.since(running.started));
                std::cmp::Reverse((ItemRank::new(running.due, remaining, now).is_late(), remaining))
            });
            for running in candidates.into_iter().take(count as usize) {
                running.cancel.cancel();
            }
        }
    }
}
