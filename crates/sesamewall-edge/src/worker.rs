//! Claims batch jobs, runs their items and commits results.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use sesamewall_fleet::Ask;
use sesamewall_fleet::BatchRoom;
use sesamewall_fleet::Catalog;
use sesamewall_fleet::ItemEnd;
use sesamewall_fleet::ItemProgress;
use sesamewall_fleet::ItemRank;
use sesamewall_fleet::ItemResult;
use sesamewall_fleet::ItemSettings;
use sesamewall_fleet::ItemTimes;
use sesamewall_fleet::ResultList;
use sesamewall_fleet::ResultState;
use sesamewall_fleet::job_key;
use sesamewall_ports::StoreError;
use sesamewall_ports::StoreWrite;
use sesamewall_ports::Transaction;
use sesamewall_protocol::ItemId;
use sesamewall_protocol::JobId;
use sesamewall_protocol::Time;
use slog::info;
use slog::warn;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Node;
use crate::attempt::Held;
use crate::call::choose;
use crate::item_call::ItemCall;
use crate::job_keys::JobKey;
use crate::job_store;
use crate::job_store::Written;
use crate::job_work::Claim;
use crate::job_work::Item;
use crate::job_work::Job;
use crate::job_work::Running;
use crate::lease::ProcessLease;

/// Time between two looks at unclaimed jobs and waiting items when nothing else happens.
const TICK: Duration = Duration::from_millis(250);

/// Time between two looks while items wait for room.
const BUSY_TICK: Duration = Duration::from_millis(25);

/// Wait before a worker claims a job that another one is expected to claim.
/// It is above the time between two watches of the jobs.
const CLAIM_STEP: Duration = Duration::from_millis(700);

/// Where new items may start.
#[derive(Default)]
struct Places {
    /// Slots that an item leaves free at its target.
    free: u32,
    /// Numbers of the targets.
    targets: HashSet<u32>,
}

/// The worker of a process.
pub struct Worker {
    pub(crate) node: Arc<Node>,
    pub(crate) lease: Arc<ProcessLease>,
    room: BatchRoom,
    items: ItemSettings,
    pub(crate) wake: Notify,
    jobs: Mutex<BTreeMap<JobId, Job>>,
    times: Mutex<ItemTimes>,
    started: AtomicU64,
}

impl Worker {
    /// Creates a worker.
    pub fn new(node: Arc<Node>, lease: Arc<ProcessLease>) -> Arc<Self> {
        Arc::new(Self {
            node,
            lease,
            room: BatchRoom::default(),
            items: ItemSettings::default(),
            wake: Notify::new(),
            jobs: Mutex::default(),
            times: Mutex::default(),
            started: AtomicU64::new(0),
        })
    }

    pub(crate) fn jobs(&self) -> MutexGuard<'_, BTreeMap<JobId, Job>> {
        self.jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn times(&self) -> MutexGuard<'_, ItemTimes> {
        self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs until the process ends.
    pub async fn run(self: Arc<Self>) {
        loop {
            let waiting = self.jobs().values().any(|job| !job.work.waiting.is_empty());
            let tick = if waiting { BUSY_TICK } else { TICK };
            tokio::select! {
                () = self.wake.notified() => {}
                () = self.node.heard.notified() => {}
                () = tokio::time::sleep(tick) => {}
            }
            self.check_lease();
            self.make_way();
            self.claim();
            self.start_items();
            self.report();
        }
    }

    /// Tells the other instances which jobs this worker runs and how many groups of results it has
    /// committed. It says nothing about jobs whose groups it does not know for sure.
    pub(crate) fn report(&self) {
        let valid = self.lease.valid(self.node.now());
        let sure = |job: &Job| match job.claim {
            Claim::Own { lease, .. } => valid == Some(lease) && !job.work.writing,
            _ => false,
        };
        let report: Vec<_> = self
            .jobs()
            .iter()
            .filter(|(_, job)| job.open() && job.work.spec.is_some() && sure(job))
            .map(|(id, job)| (job_key(id), job.work.groups as u32))
            .collect();
        let backlog = match valid {
            Some(_) if !self.node.is_draining() => self.backlog(),
            _ => 0,
        };
        let mut state = self.node.state();
        if state.jobs != report || state.backlog != backlog {
            state.jobs = report;
            state.backlog = backlog;
            drop(state);
            self.node.changed.notify_one();
        }
    }

    /// Returns the number of items that wait for a place.
    fn backlog(&self) -> u32 {
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
        let now = self.node.now();
        for (id, job) in self.jobs().iter_mut() {
            match job.claim {
                Claim::Own { lease, .. } if lease != current => {
                    warn!(self.node.log, "claim lost with its lease"; "job" => %id);
                    job.claim = Claim::Free { since: now };
                }
                _ => {}
            }
        }
    }

    /// Cancels items at targets where online requests need their places.
    fn make_way(&self) {
        let now = self.node.now();
        let leaving: Vec<(u32, u32)> = {
            let state = self.node.state();
            let own = &self.node.machine.instance;
            state
                .targets
                .iter()
                .map(|target| (target.key, self.room.leaving(own, target, &state.peers, now)))
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
                let left = times.left(running.from).saturating_sub(now.since(running.started));
                std::cmp::Reverse((ItemRank::new(running.due, left, now).is_late(), left))
            });
            for running in here.into_iter().take(count as usize) {
                running.cancel.cancel();
            }
        }
    }

    /// Claims unclaimed jobs. The worker with the highest hash of job and name goes first, so that
    /// workers rarely race.
    fn claim(self: &Arc<Self>) {
        let now = self.node.now();
        let Some(lease) = self.lease.valid(now) else { return };
        if self.node.is_draining() {
            return;
        }
        let own = self.node.machine.instance.clone();
        let others: Vec<_> = {
            let state = self.node.state();
            let workers = state.peers.contacts(now).filter(|contact| contact.beacon.worker);
            workers
                .filter(|contact| !contact.beacon.draining)
                .map(|contact| contact.beacon.instance.clone())
                .collect()
        };
        for (id, job) in self.jobs().iter_mut() {
            let Claim::Free { since } = job.claim else { continue };
            if !job.open() {
                continue;
            }
            let score = |name: &str| xxh3_64_with_seed(name.as_bytes(), 0) ^ hash(id);
            let mine = score(own.as_str()).wrapping_mul(MIX);
            let ahead =
                others.iter().filter(|name| score(name.as_str()).wrapping_mul(MIX) > mine).count();
            if now.since(since) < CLAIM_STEP * ahead as u32 {
                continue;
            }
            // The claim of another worker may not have come with the watch yet.
            if self.node.state().peers.job_groups(job_key(id), now).is_some() {
                continue;
            }
            job.claim = Claim::Pending;
            tokio::spawn(self.clone().claim_job(id.clone(), lease));
        }
    }

    /// Returns the value of the own claims: the process and its start.
    pub(crate) fn claim_value(&self) -> Bytes {
        Bytes::from(format!("{} {:x}", self.node.machine.instance, self.node.boot))
    }

    async fn claim_job(self: Arc<Self>, id: JobId, lease: u64) {
        let key = JobKey::Claim.of(&id);
        let value = self.claim_value();
        let transaction = Transaction {
            expect: vec![(key.clone(), 0), (JobKey::End.of(&id), 0)],
            writes: vec![StoreWrite { key, value, lease }],
            removes: Vec::new(),
        };
        let until = self.node.now() + Duration::from_millis(1500);
        let result = job_store::commit_once(&self.node, &transaction, until).await;
        info!(self.node.log, "job claimed"; "job" => %id, "end" => format!("{result:?}"));
        let now = self.node.now();
        let claim = match result {
            Ok(Written::Done(revision)) => Claim::Own { revision, lease },
            Ok(Written::Refused) => Claim::Other,
            Err(_) => Claim::Free { since: now },
        };
        let parts = {
            let mut jobs = self.jobs();
            let Some(job) = jobs.get_mut(&id) else { return };
            if job.claim != Claim::Pending && !matches!(claim, Claim::Own { .. }) {
                return;
            }
            job.claim = claim;
            if claim == Claim::Other {
                job.stop();
            }
            job.head.as_ref().map(|head| head.parts)
        };
        if let (Claim::Own { .. }, Some(parts)) = (claim, parts)
            && let Err(error) = self.load(&id, parts, claim).await
        {
            warn!(self.node.log, "job cannot be loaded"; "job" => %id, "error" => %error);
            self.release(&id, claim);
        }
    }

    /// Forgets a claim that could not be used; the key stays until the lease ends or a retry.
    fn release(&self, id: &JobId, claim: Claim) {
        let mut jobs = self.jobs();
        if let Some(job) = jobs.get_mut(id)
            && job.claim == claim
        {
            job.stop();
            job.claim = Claim::Free { since: self.node.now() };
        }
    }

    async fn load(&self, id: &JobId, parts: usize, claim: Claim) -> Result<(), StoreError> {
        let mut attempts = 0;
        let (spec, results) = loop {
            attempts += 1;
            let mut results = ResultList::default();
            let read = async {
                let spec = job_store::spec(&self.node, id, parts).await?;
                job_store::refresh(&self.node, id, &mut results).await?;
                Ok::<_, StoreError>(spec)
            };
            match read.await {
                Ok(spec) => break (spec, results),
                Err(error) if attempts >= 20 => return Err(error),
                Err(_) => tokio::time::sleep(Duration::from_millis(200)).await,
            }
        };
        let Some(spec) = spec else {
            warn!(self.node.log, "job without a specification"; "job" => %id);
            return Ok(());
        };
        let mut jobs = self.jobs();
        let Some(job) = jobs.get_mut(id) else { return Ok(()) };
        if job.claim != claim || !job.open() {
            return Ok(());
        }
        let committed = results.ended();
        let work = &mut job.work;
        work.results.retain(|result| !committed.contains(&result.id));
        work.waiting.retain(|item| !committed.contains(&item.spec.id));
        // Items from before a lost lease keep what they have.
        let mut known = committed.clone();
        known.extend(work.running.keys().cloned());
        known.extend(work.results.iter().map(|result| result.id.clone()));
        known.extend(work.waiting.iter().map(|item| item.spec.id.clone()));
        let new = spec.items.iter().filter(|item| !known.contains(&item.id));
        work.waiting.extend(
            new.map(|item| Item {
                spec: Arc::new(item.clone()),
                progress: ItemProgress::default(),
            }),
        );
        work.groups = results.groups();
        work.committed = committed;
        work.spec = Some(Arc::new(spec));
        drop(jobs);
        self.wake.notify_one();
        Ok(())
    }

    /// Starts waiting items, the oldest jobs first, as far as there is room.
    fn start_items(self: &Arc<Self>) {
        let now = self.node.now();
        if self.lease.valid(now).is_none() || self.node.is_draining() {
            return;
        }
        let Some(catalog) = self.node.catalog() else { return };
        let times = self.times().clone();
        let mut jobs = self.jobs();
        let mut order: Vec<(ItemRank, Duration, JobId, ItemId)> = Vec::new();
        for (id, job) in jobs.iter().filter(|(_, job)| job.open()) {
            let due = job.learned + job.due;
            let ready = job.work.waiting.iter().filter(|item| item.progress.not_before() <= now);
            order.extend(ready.map(|item| {
                let left = times.left(item.progress.events());
                (ItemRank::new(due, left, now), left, id.clone(), item.spec.id.clone())
            }));
        }
        order.sort();
        let places = match order.is_empty() {
            true => Places::default(),
            false => self.places(now),
        };
        for (_, _, id, item) in order {
            let Some(job) = jobs.get_mut(&id) else { continue };
            if !self.start_item(&catalog, &id, job, &item, &places, now) {
                break;
            }
        }
        for (id, job) in jobs.iter_mut() {
            self.commit_soon(id, job);
        }
    }

    fn places(&self, now: Time) -> Places {
        let state = self.node.state();
        let in_service =
            state.targets.iter().filter(|target| state.targets.in_service(target, now));
        let slots = in_service.map(|target| target.entry.slots).sum();
        let free = self.room.free(state.peers.online_total(), slots);
        let own = &self.node.machine.instance;
        let targets = self.room.own_targets(own, &state.targets, &state.peers, now);
        Places { free, targets }
    }

    /// Starts an item. Returns false if there is no room.
    fn start_item(
        self: &Arc<Self>,
        catalog: &Catalog,
        id: &JobId,
        job: &mut Job,
        item: &ItemId,
        places: &Places,
        now: Time,
    ) -> bool {
        let Claim::Own { .. } = job.claim else { return true };
        let Some(spec) = job.work.spec.clone() else { return true };
        let Some(index) = job.work.waiting.iter().position(|waiting| waiting.spec.id == *item)
        else {
            return true;
        };
        let Some(call) = ItemCall::new(catalog, &spec, job.work.waiting[index].spec.clone()) else {
            info!(self.node.log, "item given up"; "job" => %id, "item" => %item,
                "cause" => "its route is gone", "version" => catalog.version);
            job.work.waiting.remove(index);
            let state = ResultState::GivenUp;
            job.work.results.push(ItemResult { id: item.clone(), state, output: Vec::new() });
            return true;
        };
        job.due = call.due();
        let ask = Ask {
            service: call.service(),
            regions: call.regions(),
            domain: &self.node.machine.domain,
            prefix: call.prefix(),
            exclude: &[],
            among: Some(&places.targets),
            leave_free: Some(places.free),
        };
        let Ok(chosen) = choose(&self.node, &ask) else { return false };
        let progress = job.work.waiting.remove(index).progress;
        let cancel = CancellationToken::new();
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        let running = Running {
            number,
            due: job.learned + job.due,
            from: progress.events(),
            key: chosen.key,
            started: now,
            cancel: cancel.clone(),
        };
        job.work.running.insert(item.clone(), running);
        // The count is taken here, so that the next choice sees it.
        let held = Held::new(&self.node, chosen.key, true);
        let task = self.clone().run_item(id.clone(), number, call, chosen, progress, held, cancel);
        tokio::spawn(task);
        true
    }

    async fn run_item(
        self: Arc<Self>,
        id: JobId,
        number: u64,
        call: ItemCall,
        chosen: sesamewall_fleet::Chosen,
        mut progress: ItemProgress,
        held: Held,
        cancel: CancellationToken,
    ) {
        let before = progress.events();
        let end = tokio::select! {
            end = call.run(&self.node, &chosen, &mut progress, held) => end,
            () = cancel.cancelled() => ItemEnd::MadeWay,
        };
        let now = self.node.now();
        let label = format!("{end:?}");
        self.node.metrics.items.with_label_values(&[&label]).inc();
        info!(self.node.log, "item attempt"; "job" => %id, "item" => %call.item().id,
            "target" => %chosen.name, "end" => label, "from" => before,
            "events" => progress.events());
        let mut jobs = self.jobs();
        let Some(job) = jobs.get_mut(&id) else { return };
        // The work may have been stopped, and begun anew, while this attempt ran.
        let running = job.work.running.get(&call.item().id);
        if running.is_none_or(|running| running.number != number) {
            return;
        }
        if let Some(running) = job.work.running.remove(&call.item().id)
            && end == ItemEnd::Whole
            && before == 0
        {
            self.times().on_whole(now.since(running.started), progress.events());
        }
        match progress.on_end(&self.items, end, call.attempts(), now) {
            Some(state) => {
                let output = match state {
                    ResultState::Completed => progress.into_output(),
                    ResultState::GivenUp => Vec::new(),
                };
                let result = ItemResult { id: call.item().id.clone(), state, output };
                job.work.results.push(result);
                self.commit_soon(&id, job);
            }
            None => {
                job.work.waiting.insert(0, Item { spec: call.into_item(), progress });
            }
        }
        drop(jobs);
        self.wake.notify_one();
    }
}

/// Spreads the hashes of names and jobs.
const MIX: u64 = 0x9E37_79B9_7F4A_7C15;

fn hash(id: &JobId) -> u64 {
    xxhash_rust::xxh3::xxh3_64(id.as_str().as_bytes())
}
