//! Starts waiting batch items where there is room, and runs them.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sesamewall_fleet::Catalog;
use sesamewall_fleet::ItemEnd;
use sesamewall_fleet::ItemProgress;
use sesamewall_fleet::ItemRank;
use sesamewall_fleet::ItemResult;
use sesamewall_fleet::LocalBacklog;
use sesamewall_fleet::Placement;
use sesamewall_fleet::PlacementRequest;
use sesamewall_fleet::ResultState;
use sesamewall_protocol::ItemId;
use sesamewall_protocol::Time;
use slog::info;
use tokio_util::sync::CancellationToken;

use crate::attempt::Held;
use crate::call::choose;
use crate::item_call::ItemCall;
use crate::job_keys::JobName;
use crate::job_work::Claim;
use crate::job_work::Item;
use crate::job_work::Job;
use crate::job_work::Running;
use crate::worker::Worker;

/// Where new items may start.
#[derive(Default)]
struct Places {
    /// Slots that an item leaves free at its target.
    free: u32,
    /// Numbers of the targets.
    targets: HashSet<u32>,
}

impl Worker {
    /// Starts waiting items, those due first, as far as there is room.
    pub(crate) fn start_items(self: &Arc<Self>) {
        let now = self.context.now();
        if self.lease.valid(now).is_none() || self.context.is_draining() {
            return;
        }
        let Some(catalog) = self.context.catalog() else { return };
        let times = self.times().clone();
        let backlog = self.backlog();
        let mut jobs = self.jobs();
        let mut order: Vec<(ItemRank, Duration, JobName, ItemId)> = Vec::new();
        for (name, job) in jobs.iter().filter(|(_, job)| job.open()) {
            let due = job.learned + job.due;
            let ready = job.work.waiting.iter().filter(|item| item.progress.not_before() <= now);
            order.extend(ready.map(|item| {
                let left = times.remaining(item.progress.events());
                (ItemRank::new(due, left, now), left, name.clone(), item.spec.id.clone())
            }));
        }
        order.sort();
        let places = match order.is_empty() {
            true => Places::default(),
            false => self.places(backlog, now),
        };
        let mut full: HashSet<Arc<str>> = HashSet::new();
        for (_, _, name, item) in order {
            let Some(job) = jobs.get_mut(&name) else { continue };
            self.start_item(&catalog, &name, job, &item, &places, &mut full, now);
        }
        for (name, job) in jobs.iter_mut() {
            self.commit_soon(name, job);
        }
    }

    fn places(&self, backlog: u32, now: Time) -> Places {
        let state = self.context.state();
        let in_service: Vec<_> =
            state.targets.iter().filter(|target| state.targets.in_service(target, now)).collect();
        let slots = in_service.iter().map(|target| target.entry.slots).sum();
        let starts: u32 =
            in_service.iter().map(|target| state.peers.recent_starts(target.key, now)).sum();
        let mut room = self.room();
        room.on_starts(f64::from(starts) / in_service.len().max(1) as f64, now);
        let staleness = state.peers.staleness(now);
        let free = room.reserved_slots(state.peers.online_total(), slots, staleness);
        let settings = &self.context.settings;
        let own = LocalBacklog { name: &settings.instance, domain: &settings.domain, backlog };
        let targets = room.assigned_targets(&own, &state.targets, &state.peers, now);
        Places { free, targets }
    }

    /// Starts an item if there is room. Services without room are noted in `full` and not tried again.
    #[allow(clippy::too_many_arguments)]
    fn start_item(
        self: &Arc<Self>,
        catalog: &Catalog,
        name: &JobName,
        job: &mut Job,
        item: &ItemId,
        places: &Places,
        full: &mut HashSet<Arc<str>>,
        now: Time,
    ) {
        let Claim::Own { .. } = job.claim else { return };
        let Some(spec) = job.work.spec.clone() else { return };
        let Some(index) = job.work.waiting.iter().position(|waiting| waiting.spec.id == *item)
        else {
            return;
        };
        let Some(call) = ItemCall::new(catalog, &spec, job.work.waiting[index].spec.clone()) else {
            info!(self.context.log, "item given up"; "job" => %name, "item" => %item,
                "cause" => "its route is gone", "version" => catalog.version);
            let gone = job.work.waiting.remove(index);
            self.finish(name, job, &gone.spec, ResultState::GivenUp, Vec::new(), now);
            return;
        };
        job.due = call.due();
        if full.contains(call.service()) {
            return;
        }
        let ask = PlacementRequest {
            service: call.service(),
            regions: call.regions(),
            domain: &self.context.settings.domain,
            prefix: call.prefix(),
            exclude: &[],
            among: Some(&places.targets),
            reserved_slots: Some(places.free),
        };
        let Ok(chosen) = choose(&self.context, &ask) else {
            full.insert(call.service().into());
            return;
        };
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
        let held = Held::new(&self.context, chosen.key, true);
        let task =
            self.clone().run_item(name.clone(), number, call, chosen, progress, held, cancel);
        tokio::spawn(task);
    }

    /// Notes the result of an item; it is listed with the next group.
    fn finish(
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
        number: u64,
        call: ItemCall,
        chosen: Placement,
        mut progress: ItemProgress,
        held: Held,
        cancel: CancellationToken,
    ) {
        let before = progress.events();
        let end = tokio::select! {
            end = call.run(&self.context, &chosen, &mut progress, held) => end,
            () = cancel.cancelled() => ItemEnd::MadeWay,
        };
        let now = self.context.now();
        let label = format!("{end:?}");
        self.context.metrics.items.with_label_values(&[&label]).inc();
        info!(self.context.log, "item attempt"; "job" => %name, "item" => %call.item().id,
            "target" => %chosen.name, "end" => label, "from" => before,
            "events" => progress.events());
        let mut jobs = self.jobs();
        let Some(job) = jobs.get_mut(&name) else { return };
        // The work may have been stopped, and begun anew, while this attempt ran.
        let running = job.work.running.get(&call.item().id);
        if running.is_none_or(|running| running.number != number) {
            return;
        }
        if let Some(running) = job.work.running.remove(&call.item().id)
            && end == ItemEnd::Whole
            && before == 0
        {
            self.times().on_complete(now.since(running.started), progress.events());
        }
        match progress.on_end(&self.items, end, call.attempts(), now) {
            Some(state) => {
                let output = match state {
                    ResultState::Completed => progress.into_output(),
                    ResultState::GivenUp => Vec::new(),
                };
                self.finish(&name, job, call.item(), state, output, now);
                self.commit_soon(&name, job);
            }
            None => {
                job.work.waiting.insert(0, Item { spec: call.into_item(), progress });
            }
        }
        drop(jobs);
        self.wake.notify_one();
    }
}
