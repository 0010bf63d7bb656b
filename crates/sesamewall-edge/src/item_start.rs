//! Starts waiting batch items at targets with headroom, and runs them.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sesamewall_fleet::Catalog;
use sesamewall_fleet::EndCheckSettings;
use sesamewall_fleet::EndCheckStep;
use sesamewall_fleet::ItemEnd;
use sesamewall_fleet::ItemProgress;
use sesamewall_fleet::ItemRank;
use sesamewall_fleet::ItemResult;
use sesamewall_fleet::LocalBacklog;
use sesamewall_fleet::NextRun;
use sesamewall_fleet::PlacementError;
use sesamewall_fleet::PlacementRequest;
use sesamewall_fleet::PoisonPart;
use sesamewall_fleet::RestartCause;
use sesamewall_fleet::ResultState;
use sesamewall_fleet::RouteAbsence;
use sesamewall_fleet::TargetStart;
use sesamewall_fleet::TargetState;
use sesamewall_fleet::TrialDecision;
use sesamewall_fleet::VersionFilter;
use sesamewall_fleet::trial_rank;
use sesamewall_protocol::ItemId;
use sesamewall_protocol::Time;
use slog::info;
use tokio_util::sync::CancellationToken;

use crate::attempt::InFlightGuard;
use crate::item_attempt::ItemAttempt;
use crate::item_attempt::ItemError;
use crate::item_attempt::ItemScope;
use crate::job_keys::JobName;
use crate::job_state::Claim;
use crate::job_state::Item;
use crate::job_state::Job;
use crate::job_state::RunningItem;
use crate::job_state::Work;
use crate::lease::LeasePermit;
use crate::version_rollout::replaced_targets;
use crate::version_run::ChosenTarget;
use crate::version_run::CountedRun;
use crate::version_run::choose;
use crate::version_run::has_place;
use crate::worker::Worker;

/// Time between two checks of an item that is held because of a part of its prompt.
const POISON_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Time between two checks of an item whose route the worker does not know.
const ROUTE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Largest difference between the time of day of the instance that accepted a job and the local one,
/// from which the job's age follows.
const CLOCK_MARGIN: Duration = Duration::from_secs(1);

/// Targets at which new items may start.
#[derive(Default)]
struct StartTargets {
    /// Slots that a new item has to leave free at its target.
    leave_free: u32,
    /// Keys of the targets.
    targets: HashSet<u32>,
    /// Keys of the targets whose version was replaced, from which items are taken back.
    replaced: HashSet<u32>,
}

/// Services without headroom in the regions of an item, with the version if only its targets were
/// asked for.
type FullScopes = HashSet<(ItemScope, Option<Arc<str>>)>;

/// The target chosen for an item.
struct ItemPlace {
    target: ChosenTarget,
    /// The start of the target that was chosen.
    start: TargetStart,
    /// Why the item starts from its first event although it has an output.
    restart: Option<RestartCause>,
}

impl Worker {
    /// Starts waiting items, the earliest due first, as far as there is headroom.
    pub(crate) fn start_items(self: &Arc<Self>) {
        let now = self.context.now();
        if self.lease.valid(now).is_none() || self.context.is_draining() {
            return;
        }
        let Some(catalog) = self.context.catalog() else { return };
        let times = self.run_times().clone();
        let backlog = self.backlog();
        let mut jobs = self.jobs();
        let mut order: Vec<(ItemRank, Duration, JobName, ItemId)> = Vec::new();
        for (name, job) in jobs.iter().filter(|(_, job)| job.is_open()) {
            let due = job.accepted_at + job.due;
            let ready = job.work.waiting.iter().filter(|item| item.progress.not_before() <= now);
            order.extend(ready.map(|item| {
                let remaining = times.remaining(item.progress.events());
                (ItemRank::new(due, remaining, now), remaining, name.clone(), item.spec.id.clone())
            }));
        }
        order.sort();
        let start_targets = match order.is_empty() {
            true => {
                self.unused_targets().update(HashSet::new(), now);
                StartTargets::default()
            }
            false => self.start_targets(backlog, now),
        };
        let mut full = FullScopes::new();
        for (_, _, name, item) in order {
            let Some(job) = jobs.get_mut(&name) else { continue };
            let start = || {
                self.start_item(&catalog, &name, job, &item, &start_targets, &mut full, now);
            };
            if self.context.tasks.step("item start", &item, start).is_none()
                && let Some(job) = jobs.get_mut(&name)
            {
                self.put_back(job, &item, None, now);
            }
        }
    }

    /// Commits the results of finished items. A worker that drains commits them, too.
    pub(crate) fn commit_results(self: &Arc<Self>) {
        if self.lease.valid(self.context.now()).is_none() {
            return;
        }
        for (name, job) in self.jobs().iter_mut() {
            self.commit_soon(name, job);
        }
    }

    fn start_targets(&self, backlog: u32, now: Time) -> StartTargets {
        let state = self.context.state();
        let in_service: Vec<&TargetState> =
            state.targets.iter().filter(|target| state.targets.in_service(target, now)).collect();
        let slots = in_service.iter().map(|target| target.entry.slots).fold(0, u32::saturating_add);
        let recent = |target: &&TargetState| state.peers.recent_starts(target.key, now);
        let starts: f64 = in_service.iter().map(recent).map(f64::from).sum();
        let mut headroom = self.headroom();
        headroom.on_starts(starts / in_service.len().max(1) as f64, now);
        let staleness = state.peers.staleness(now);
        let leave_free = headroom.reserved_slots(state.peers.online_total(), slots, staleness);
        let settings = &self.context.settings;
        let local = LocalBacklog { name: &settings.instance, domain: &settings.domain, backlog };
        let mut targets = headroom.assigned_targets(&local, &state.targets, &state.peers, now);
        let has_headroom = |target: &TargetState| {
            let (online, batch) = state.peers.at_target(target.key);
            online + batch + leave_free < target.entry.slots
        };
        let others = in_service.iter().filter(|target| !targets.contains(&target.key));
        let free = others.filter(|target| has_headroom(target)).map(|target| target.key).collect();
        let unused = self.unused_targets().update(free, now);
        targets.extend(unused);
        StartTargets { leave_free, targets, replaced: replaced_targets(&state) }
    }

    /// Chooses a target for an item. One with an output goes on at a target of the version that wrote
    /// it, as long as there is one that has a place soon. What has no place is added to `full` and
    /// not tried again.
    fn place_item(
        &self,
        attempt: &ItemAttempt,
        progress: &mut ItemProgress,
        start_targets: &StartTargets,
        full: &mut FullScopes,
        now: Time,
    ) -> Option<ItemPlace> {
        let settings = &self.context.settings;
        let request = PlacementRequest {
            service: attempt.service(),
            regions: attempt.regions(),
            domain: &settings.domain,
            prefix: attempt.prefix(),
            exclude: &[],
            among: Some(&start_targets.targets),
            reserved_slots: Some(start_targets.leave_free),
            versions: None,
        };
        let state = self.context.state();
        let may_run = |target: &TargetState| {
            let region = settings.regions.get(&target.entry.domain);
            !state.targets.evacuated().contains(&target.entry.domain)
                && !start_targets.replaced.contains(&target.key)
                && request.regions.is_none_or(|set| region.is_some_and(|name| set.contains(name)))
        };
        let (item_settings, service) = (&self.item_settings, request.service);
        let next = progress.next_run(item_settings, &state.targets, service, may_run, now);
        drop(state);
        let any = (attempt.scope(), None);
        let cause = match next {
            NextRun::First => None,
            NextRun::Restart(cause) => Some(cause),
            NextRun::Continue(version) => {
                let own = (attempt.scope(), Some(version.clone()));
                if !full.contains(&own) {
                    match self.place_at_version(&request, attempt.route(), &version) {
                        None => full.insert(own),
                        place => return place,
                    };
                }
                if !progress.has_no_place() && !full.contains(&any) {
                    match has_place(&self.context, &request, attempt.route()) {
                        true => progress.on_no_place(now),
                        false => drop(full.insert(any)),
                    }
                }
                return None;
            }
        };
        if full.contains(&any) {
            return None;
        }
        let Ok(target) = choose(&self.context, &request, attempt.route(), true) else {
            full.insert(any);
            return None;
        };
        let start = TargetStart::of(&self.context.state().targets, &target.placement.name)?;
        let continues = progress.version() == Some(&start.version);
        let restart = cause.filter(|cause| *cause == RestartCause::Unknown || !continues);
        Some(ItemPlace { target, start, restart })
    }

    /// Chooses a target of a version for an item that goes on there.
    fn place_at_version(
        &self,
        request: &PlacementRequest<'_>,
        route: &str,
        version: &Arc<str>,
    ) -> Option<ItemPlace> {
        let filter = VersionFilter::only(version.clone());
        let request = PlacementRequest { versions: Some(&filter), ..request.clone() };
        let target = match choose(&self.context, &request, route, true) {
            // Its targets may all be assigned to other workers, which have no use for this output.
            Err(PlacementError::NoTarget) => {
                let request = PlacementRequest { among: None, ..request };
                choose(&self.context, &request, route, true)
            }
            chosen => chosen,
        };
        let target = target.ok()?;
        let start = TargetStart::of(&self.context.state().targets, &target.placement.name)?;
        // The target may have another entry since it was chosen.
        let is_own = start.version.version == *version;
        is_own.then_some(ItemPlace { target, start, restart: None })
    }

    /// Starts an item if there is headroom. What has none in the item's regions is added to `full`
    /// and not tried again.
    #[allow(clippy::too_many_arguments)]
    fn start_item(
        self: &Arc<Self>,
        catalog: &Catalog,
        name: &JobName,
        job: &mut Job,
        item: &ItemId,
        start_targets: &StartTargets,
        full: &mut FullScopes,
        now: Time,
    ) {
        let Claim::Local { lease, .. } = job.claim else { return };
        let Some(spec) = job.work.spec.clone() else { return };
        let Some(index) = job.work.waiting.iter().position(|waiting| waiting.spec.id == *item)
        else {
            return;
        };
        let attempt = ItemAttempt::new(catalog, &spec, job.work.waiting[index].spec.clone());
        let attempt = match attempt {
            Ok(attempt) => attempt,
            Err(error) => {
                self.on_item_error(catalog, name, job, index, &error, now);
                return;
            }
        };
        job.due = attempt.due();
        let poison = attempt.poison(&self.context);
        if let Some(poison) = &poison
            && let TrialDecision::Hold(until) = self.decide_trial(poison, now)
        {
            let keep = attempt.keep();
            let expired = !keep.is_zero() && now.since(job.accepted_at) > keep;
            info!(self.context.log, "item has a poison part"; "job" => %name, "item" => %item,
                "part" => format!("{:016x}", poison.part), "crashes" => poison.crashes,
                "trial_ms" => until.since(now).as_millis() as u64,
                "end" => if expired { "given up" } else { "held" });
            if expired {
                let removed = job.work.waiting.remove(index);
                self.add_result(name, job, &removed.spec, ResultState::GivenUp, Vec::new(), now);
            } else {
                let until = until.min(now + POISON_CHECK_INTERVAL);
                job.work.waiting[index].progress.hold(until);
            }
            return;
        }
        let progress = &mut job.work.waiting[index].progress;
        let Some(place) = self.place_item(&attempt, progress, start_targets, full, now) else {
            return;
        };
        let deadline = self.context.settings.platform_limits.cancel_deadline;
        match job.end_check.step(&EndCheckSettings::within(deadline), now) {
            EndCheckStep::Start => {}
            EndCheckStep::Wait => return,
            // Items go on in an outage of the store, in which nobody can store an end.
            EndCheckStep::Read if self.context.is_store_lost() => job.end_check.on_read(now),
            EndCheckStep::Read => {
                self.spawn_end_read(name.clone());
                return;
            }
        }
        let placement = &place.target.placement;
        let Item { spec, mut progress } = job.work.waiting.remove(index);
        if let Some(cause) = place.restart {
            let version = progress.version().map(|version| version.version.clone());
            let events = progress.restart();
            info!(self.context.log, "item restarts"; "job" => %name, "item" => %item,
                "events" => events, "version" => version.as_deref(), "cause" => %cause,
                "target" => %placement.name, "new" => &*place.start.version.version);
        }
        let cancel = CancellationToken::new();
        let attempt_id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let running = RunningItem {
            attempt_id,
            due: job.accepted_at + job.due,
            events_before: progress.events(),
            target_key: placement.key,
            started: now,
            cancel: cancel.clone(),
        };
        job.work.running.insert(item.clone(), running);
        // The item is counted before its task runs, so that the choice for the next item includes
        // it.
        let guard = InFlightGuard::new(&self.context, placement.key, true);
        let permit = LeasePermit::new(self.lease.clone(), lease);
        let trial = poison.map(|poison| poison.part);
        let former = Item { spec, progress: progress.clone() };
        let recovery = self.clone().recover_item(name.clone(), attempt_id, former, trial);
        let target = place.target.placement.name.clone();
        let task = self.clone().run_item(
            name.clone(),
            attempt_id,
            attempt,
            place,
            progress,
            guard,
            permit,
            cancel,
            trial,
        );
        if let Some(part) = trial {
            self.item_trials().on_started(part);
            info!(self.context.log, "item is a trial of a poison part"; "job" => %name,
                "item" => %item, "part" => format!("{part:016x}"), "target" => %target);
        }
        self.context.tasks.spawn("item", item.clone(), task, recovery);
    }

    /// Puts an item back after the task that ran it has panicked. `former` is the item before that
    /// attempt.
    async fn recover_item(
        self: Arc<Self>,
        name: JobName,
        attempt_id: u64,
        former: Item,
        trial: Option<u64>,
    ) {
        if let Some(part) = trial {
            self.item_trials().on_ended(part);
        }
        let now = self.context.now();
        let mut jobs = self.jobs();
        let Some(job) = jobs.get_mut(&name) else { return };
        let id = former.spec.id.clone();
        // The job may have been stopped and loaded again while this attempt ran.
        let is_other = |running: &RunningItem| running.attempt_id != attempt_id;
        if !job.work.running.get(&id).is_some_and(is_other) {
            self.put_back(job, &id, Some(former), now);
        }
        drop(jobs);
        self.wake.notify_one();
    }

    /// Makes an item wait for another attempt after a panic in the present one, wherever the panic has
    /// left it. Without `former` its attempts begin anew if it was already taken.
    fn put_back(&self, job: &mut Job, id: &ItemId, former: Option<Item>, now: Time) {
        let Work { spec, waiting, running, results, committed, .. } = &mut job.work;
        running.remove(id);
        // The job has stopped here, or is read again with all its items.
        let Some(spec) = spec else { return };
        let has_result = committed.contains(id) || results.iter().any(|result| result.id == *id);
        let is_waiting = waiting.iter().any(|item| item.spec.id == *id);
        if !has_result && !is_waiting {
            let new = spec
                .items
                .iter()
                .find(|item| item.id == *id)
                .map(|spec| Item { spec: spec.clone(), progress: ItemProgress::default() });
            waiting.splice(0..0, former.or(new));
        }
        for item in waiting.iter_mut().filter(|item| item.spec.id == *id) {
            // Only a failure at a target counts as an attempt, so this end gives no result.
            let _ = item.progress.on_end(&self.item_settings, ItemEnd::Broken, u32::MAX, now);
        }
    }

    /// Gives up an item that cannot be sent, or delays it if a newer configuration may have its
    /// route.
    fn on_item_error(
        self: &Arc<Self>,
        catalog: &Catalog,
        name: &JobName,
        job: &mut Job,
        index: usize,
        error: &ItemError,
        now: Time,
    ) {
        let absence = RouteAbsence {
            accepted_version: job.head.version,
            local_version: catalog.version,
            confirmed: !self.context.is_unconfirmed(),
        };
        let ends = match error {
            ItemError::RouteUnknown => absence.is_certain(),
            // The route exists, so its items may still run.
            ItemError::NoService => false,
            ItemError::Invalid(_) => true,
        };
        let item = job.work.waiting[index].spec.clone();
        info!(self.context.log, "item cannot be sent"; "job" => %name, "item" => %item.id,
            "cause" => %error, "version" => catalog.version, "accepted" => job.head.version,
            "confirmed" => absence.confirmed, "end" => if ends { "given up" } else { "held" });
        if ends {
            job.work.waiting.remove(index);
            self.add_result(name, job, &item, ResultState::GivenUp, Vec::new(), now);
        } else {
            job.work.waiting[index].progress.hold(now + ROUTE_CHECK_INTERVAL);
        }
    }

    /// Decides whether an item with a poison part is sent as a trial.
    fn decide_trial(&self, poison: &PoisonPart, now: Time) -> TrialDecision {
        let state = self.context.state();
        let local = &self.context.settings.instance;
        let workers = state.peers.workers(now).into_iter();
        let others = workers.filter(|worker| !worker.draining && worker.name != *local);
        let rank = trial_rank(local, others.map(|worker| &worker.name), poison.part);
        drop(state);
        self.item_trials().decide(poison.part, poison.last_crash, rank, now)
    }

    /// Records the result of an item; it is committed with the next group.
    fn add_result(
        self: &Arc<Self>,
        name: &JobName,
        job: &mut Job,
        item: &sesamewall_fleet::ItemSpec,
        state: ResultState,
        output: Vec<u8>,
        now: Time,
    ) {
        job.work.results.push(ItemResult { id: item.id.clone(), state, output });
        self.queues().on_finished(&job.queue(), &name.id, item.tokens, now);
    }

    #[allow(clippy::too_many_arguments)]
    async fn run_item(
        self: Arc<Self>,
        name: JobName,
        attempt_id: u64,
        attempt: ItemAttempt,
        place: ItemPlace,
        mut progress: ItemProgress,
        guard: InFlightGuard,
        permit: LeasePermit,
        cancel: CancellationToken,
        trial: Option<u64>,
    ) {
        let events_before = progress.events();
        let ItemPlace { target, start, .. } = place;
        let new_version = target.run.as_ref().map(CountedRun::is_new);
        let result = tokio::select! {
            end = attempt.run(&self.context, target, &start, &mut progress, guard, permit) => end,
            () = cancel.cancelled() => ItemEnd::MadeWay,
        };
        let is_replaced = start.is_replaced(&self.context.state().targets);
        let result = if is_replaced { progress.on_replaced(result) } else { result };
        if let Some(part) = trial {
            self.item_trials().on_ended(part);
        }
        let now = self.context.now();
        let label = format!("{result:?}");
        self.context.metrics.items.with_label_values(&[&label]).inc();
        info!(self.context.log, "item attempt"; "job" => %name, "item" => %attempt.item().id,
            "target" => %start.name, "version" => &*start.version.version,
            "new_version" => new_version, "replaced" => is_replaced, "end" => label,
            "from" => events_before, "events" => progress.events());
        let mut jobs = self.jobs();
        let Some(job) = jobs.get_mut(&name) else { return };
        // The job may have been stopped and loaded again while this attempt ran.
        let running = job.work.running.get(&attempt.item().id);
        if running.is_none_or(|running| running.attempt_id != attempt_id) {
            return;
        }
        if let Some(running) = job.work.running.remove(&attempt.item().id)
            && result == ItemEnd::Whole
            && events_before == 0
        {
            self.run_times().on_complete(now.since(running.started), progress.events());
        }
        let keep = attempt.keep();
        let is_over = !keep.is_zero() && now.since(job.accepted_at) > keep + CLOCK_MARGIN;
        let state = progress.on_end(&self.item_settings, result, attempt.max_attempts(), now);
        let is_refused = state.is_none() && is_over && progress.is_refused(&self.item_settings);
        if is_refused {
            info!(self.context.log, "item given up after refusals"; "job" => %name,
                "item" => %attempt.item().id, "tokens" => attempt.item().tokens,
                "age_ms" => now.since(job.accepted_at).as_millis() as u64);
        }
        match state.or(is_refused.then_some(ResultState::GivenUp)) {
            Some(state) => {
                let output = match state {
                    ResultState::Completed => progress.into_output(),
                    ResultState::GivenUp => Vec::new(),
                };
                self.add_result(&name, job, attempt.item(), state, output, now);
                self.commit_soon(&name, job);
            }
            None => {
                job.work.waiting.insert(0, Item { spec: attempt.into_item(), progress });
            }
        }
        drop(jobs);
        self.wake.notify_one();
    }
}
