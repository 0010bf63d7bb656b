//! Runs the batch jobs that the own process has claimed.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use bytes::Bytes;
use sesamewall_fleet::AccountQueues;
use sesamewall_fleet::BatchHeadroom;
use sesamewall_fleet::CompletionForecast;
use sesamewall_fleet::ItemRank;
use sesamewall_fleet::ItemSettings;
use sesamewall_fleet::ResultList;
use sesamewall_fleet::RunTimeEstimate;
use sesamewall_ports::StoreError;
use sesamewall_ports::StoreWrite;
use sesamewall_ports::Transaction;
use sesamewall_protocol::Time;
use slog::info;
use slog::warn;
use tokio::sync::Notify;

use crate::InstanceContext;
use crate::job_keys::JobKey;
use crate::job_keys::JobName;
use crate::job_store;
use crate::job_store::Written;
use crate::job_work::Claim;
use crate::job_work::Job;
use crate::job_work::Running;
use crate::lease::ProcessLease;

/// Time between two looks at unclaimed jobs and waiting items when nothing else happens.
const TICK: Duration = Duration::from_millis(250);

/// Time between two looks while items wait for room.
const BUSY_TICK: Duration = Duration::from_millis(25);

/// Longest time for the write of a claim.
const CLAIM_TIME: Duration = Duration::from_millis(1500);

/// Tries to read a claimed job, and the pause between them.
const LOAD_TRIES: (u32, Duration) = (20, Duration::from_millis(200));

/// Time after which a finished job leaves the memory: its clients have read it by then.
const KEEP_CLOSED: Duration = Duration::from_secs(60);

/// Time after that until its keys leave the store: clients may read a job for two minutes.
const REMOVE_AFTER: Duration = Duration::from_secs(120);

/// Most keys removed by one transaction, as the store allows.
const MAX_REMOVES: usize = 32;

/// The worker of a process.
pub struct Worker {
    pub(crate) context: Arc<InstanceContext>,
    pub(crate) lease: Arc<ProcessLease>,
    pub(crate) items: ItemSettings,
    pub(crate) wake: Notify,
    /// Wakes readers of results.
    pub(crate) listed: Notify,
    pub(crate) started: AtomicU64,
    jobs: Mutex<BTreeMap<JobName, Job>>,
    queues: Mutex<AccountQueues>,
    times: Mutex<RunTimeEstimate>,
    room: Mutex<BatchHeadroom>,
    pace: Mutex<CompletionForecast>,
    /// Jobs whose acceptance is being written.
    accepting: Mutex<HashSet<JobName>>,
    /// Keys of old jobs, and when they go.
    removals: Mutex<VecDeque<(Time, Vec<String>)>>,
}

impl Worker {
    /// Creates a worker.
    pub fn new(context: Arc<InstanceContext>, lease: Arc<ProcessLease>) -> Arc<Self> {
        Arc::new(Self {
            context,
            lease,
            items: ItemSettings::default(),
            wake: Notify::new(),
            listed: Notify::new(),
            started: AtomicU64::new(0),
            jobs: Mutex::default(),
            queues: Mutex::default(),
            times: Mutex::default(),
            room: Mutex::default(),
            pace: Mutex::default(),
            accepting: Mutex::default(),
            removals: Mutex::default(),
        })
    }

    /// Locks the jobs. The lock is never held over an await.
    pub(crate) fn jobs(&self) -> MutexGuard<'_, BTreeMap<JobName, Job>> {
        self.jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the queues of accounts, after the jobs where both are needed.
    pub(crate) fn queues(&self) -> MutexGuard<'_, AccountQueues> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn times(&self) -> MutexGuard<'_, RunTimeEstimate> {
        self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn room(&self) -> MutexGuard<'_, BatchHeadroom> {
        self.room.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn pace(&self) -> MutexGuard<'_, CompletionForecast> {
        self.pace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn accepting(&self) -> MutexGuard<'_, HashSet<JobName>> {
        self.accepting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs until the process ends.
    pub async fn run(self: Arc<Self>) {
        loop {
            let waiting = self.jobs().values().any(|job| !job.work.waiting.is_empty());
            let tick = if waiting { BUSY_TICK } else { TICK };
            tokio::select! {
                () = self.wake.notified() => {}
                () = self.context.peers_changed.notified() => {}
                () = tokio::time::sleep(tick) => {}
            }
            self.check_lease();
            self.make_way();
            self.claim();
            self.start_items();
            self.report();
            self.forget_closed();
        }
    }

    /// Tells the other instances how many items wait.
    fn report(&self) {
        let valid = self.lease.valid(self.context.now()).is_some();
        let backlog = if valid && !self.context.is_draining() { self.backlog() } else { 0 };
        if self.running() == 0 {
            self.context.worker_idle.notify_waiters();
        }
        self.count_places();
        let mut state = self.context.state();
        if state.backlog != backlog {
            state.backlog = backlog;
            drop(state);
            self.context.state_changed.notify_one();
        }
    }

    /// Counts the places that online requests leave.
    fn count_places(&self) {
        let now = self.context.now();
        if !self.pace().sample_due(now) {
            return;
        }
        let state = self.context.state();
        let in_service =
            state.targets.iter().filter(|target| state.targets.in_service(target, now));
        let left = in_service
            .map(|target| target.entry.slots.saturating_sub(state.peers.at_target(target.key).0));
        self.pace().on_free_slots(left.sum(), now);
    }

    /// Returns the number of items that wait for a place.
    pub(crate) fn backlog(&self) -> u32 {
        let own = |job: &&Job| matches!(job.claim, Claim::Own { .. }) && job.open();
        self.jobs().values().filter(own).map(|job| job.work.waiting.len() as u32).sum()
    }

    /// Returns the number of items that run, for the end of the process.
    pub fn running(&self) -> usize {
        self.jobs().values().map(|job| job.work.running.len() + job.work.results.len()).sum()
    }

    /// Notes the jobs whose claims ended with a lost lease. Their work goes on: usually the same worker
    /// claims them again, and if another one does, this one stops.
    fn check_lease(&self) {
        let current = self.lease.number();
        let since = self.context.now();
        for (name, job) in self.jobs().iter_mut() {
            match job.claim {
                Claim::Own { lease, .. } if lease != current && job.open() => {
                    warn!(self.context.log, "claim lost with its lease"; "job" => %name);
                    job.claim = Claim::Free { since, revision: 0 };
                }
                _ => {}
            }
        }
    }

    /// Forgets jobs that were complete or ended a while ago, and removes them from the store later.
    fn forget_closed(self: &Arc<Self>) {
        let now = self.context.now();
        let mut removals = self.removals.lock().unwrap_or_else(PoisonError::into_inner);
        self.jobs().retain(|name, job| {
            let kept = job.closed.is_none_or(|at| now.since(at) < KEEP_CLOSED);
            if !kept {
                let keys = job_store::all_keys(name, job.head.parts, job.listed.groups());
                removals.push_back((now + REMOVE_AFTER, keys));
            }
            kept
        });
        let mut keys: Vec<String> = Vec::new();
        while removals.front().is_some_and(|(due, next)| {
            *due <= now && (keys.is_empty() || keys.len() + next.len() <= MAX_REMOVES)
        }) {
            keys.extend(removals.pop_front().map(|(_, next)| next).unwrap_or_default());
        }
        drop(removals);
        if !keys.is_empty() {
            tokio::spawn(self.clone().remove(keys));
        }
    }

    async fn remove(self: Arc<Self>, keys: Vec<String>) {
        for some in keys.chunks(MAX_REMOVES) {
            let removes = some.to_vec();
            let transaction = Transaction { removes, ..Transaction::default() };
            if let Err(error) = self.context.store.commit(&transaction).await {
                // They stay until the operators remove them; nothing depends on it.
                warn!(self.context.log, "old jobs not removed"; "keys" => keys.len(),
                    "error" => %error);
            }
        }
    }

    /// Cancels items at targets where online requests need their places.
    fn make_way(&self) {
        let now = self.context.now();
        let leaving: Vec<(u32, u32)> = {
            let state = self.context.state();
            let own = &self.context.settings.instance;
            let room = self.room();
            state
                .targets
                .iter()
                .map(|target| (target.key, room.preempt_count(own, target, &state.peers, now)))
                .filter(|(_, count)| *count > 0)
                .collect()
        };
        if leaving.is_empty() {
            return;
        }
        let times = self.times().clone();
        let jobs = self.jobs();
        for (key, count) in leaving {
            let mut here: Vec<&Running> = jobs
                .values()
                .flat_map(|job| job.work.running.values())
                .filter(|running| running.key == key && !running.cancel.is_cancelled())
                .collect();
            // Those that cannot end in time first, then those with the longest time left: the others
            // free their places soon anyway.
            here.sort_by_key(|running| {
                let left = times.remaining(running.from).saturating_sub(now.since(running.started));
                std::cmp::Reverse((ItemRank::new(running.due, left, now).is_late(), left))
            });
            for running in here.into_iter().take(count as usize) {
                running.cancel.cancel();
            }
        }
    }

    /// Claims the known jobs that nobody has: those that were handed over, and those whose claims ended
    /// with the own lease.
    fn claim(self: &Arc<Self>) {
        let now = self.context.now();
        let Some(lease) = self.lease.valid(now) else { return };
        if self.context.is_draining() {
            return;
        }
        for (name, job) in self.jobs().iter_mut() {
            let Claim::Free { since, revision } = job.claim else { continue };
            if job.open() && since <= now {
                job.claim = Claim::Pending;
                tokio::spawn(self.clone().claim_job(name.clone(), lease, revision));
            }
        }
    }

    /// Returns the value of the own claims and holds: the process and its start.
    pub(crate) fn claim_value(&self) -> Bytes {
        Bytes::from(format!("{} {:x}", self.context.settings.instance, self.context.boot_id))
    }

    async fn claim_job(self: Arc<Self>, name: JobName, lease: u64, former: u64) {
        let key = JobKey::Claim.of(&name);
        let value = self.claim_value();
        let transaction = Transaction {
            expect: vec![
                (key.clone(), former),
                (JobKey::End.of(&name), 0),
                (JobKey::Complete.of(&name), 0),
            ],
            writes: vec![StoreWrite { key, value, lease }],
            removes: Vec::new(),
        };
        let until = self.context.now() + CLAIM_TIME;
        let result = job_store::commit_once(&self.context, &transaction, 0, until).await;
        info!(self.context.log, "job claimed"; "job" => %name, "former" => former,
            "end" => format!("{result:?}"));
        let now = self.context.now();
        let claim = match result {
            Ok(Written::Done(revision)) => Claim::Own { revision, lease },
            Ok(Written::Taken | Written::Refused) => {
                // Another worker has it, or it is over.
                if let Some(mut job) = self.jobs().remove(&name) {
                    job.stop();
                }
                return;
            }
            Err(_) => Claim::Free { since: now + CLAIM_TIME / 3, revision: former },
        };
        let parts = {
            let mut jobs = self.jobs();
            let Some(job) = jobs.get_mut(&name) else { return };
            job.claim = claim;
            job.head.parts
        };
        if let Claim::Own { .. } = claim
            && let Err(error) = self.load(&name, parts, claim).await
        {
            warn!(self.context.log, "job cannot be loaded"; "job" => %name, "error" => %error);
            // The key stays until the lease ends; the next look reads it again.
            let since = self.context.now() + CLAIM_TIME;
            if let (Some(job), Claim::Own { revision, .. }) = (self.jobs().get_mut(&name), claim) {
                job.stop();
                job.claim = Claim::Free { since, revision };
            }
        }
    }

    async fn load(&self, name: &JobName, parts: usize, claim: Claim) -> Result<(), StoreError> {
        let (tries, pause) = LOAD_TRIES;
        let known = self.jobs().get(name).and_then(|job| job.work.spec.clone());
        let mut attempts = 0;
        let (spec, results) = loop {
            attempts += 1;
            let mut results = ResultList::default();
            let read = async {
                let spec = match &known {
                    Some(spec) => Some((**spec).clone()),
                    None => job_store::spec(&self.context, name, parts).await?,
                };
                job_store::refresh(&self.context, name, &mut results).await?;
                Ok::<_, StoreError>(spec)
            };
            match read.await {
                Ok(spec) => break (spec, results),
                Err(error) if attempts >= tries => return Err(error),
                Err(_) => tokio::time::sleep(pause).await,
            }
        };
        let Some(spec) = spec else {
            warn!(self.context.log, "job without a specification"; "job" => %name);
            return Ok(());
        };
        let mut jobs = self.jobs();
        let Some(job) = jobs.get_mut(name) else { return Ok(()) };
        if job.claim != claim || !job.open() {
            return Ok(());
        }
        job.listed = results;
        job.load(spec);
        self.queues().set_remaining(&job.queue(), &name.id, job.left());
        drop(jobs);
        self.wake.notify_one();
        self.listed.notify_waiters();
        Ok(())
    }
}
