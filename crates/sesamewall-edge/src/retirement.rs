//! Retirements of worker machines: a retiring worker gives its jobs to others, and the status in
//! the store follows what the operators ask. Hubs that watch the store act for machines that are
//! down.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sesamewall_fleet::Retirement;
use sesamewall_fleet::RetirementRecord;
use sesamewall_fleet::RetirementSettings;
use sesamewall_fleet::RetirementStep;
use sesamewall_fleet::RetirementWatch;
use sesamewall_fleet::StatusChange;
use sesamewall_fleet::WorkerLoad;
use sesamewall_fleet::instance_key;
use sesamewall_platform::retirement_key;
use sesamewall_platform::retirement_status;
use sesamewall_ports::CommitResult;
use sesamewall_ports::StoreError;
use sesamewall_ports::StoreWrite;
use sesamewall_ports::StoredItem;
use sesamewall_ports::Transaction;
use sesamewall_protocol::InstanceName;
use slog::info;
use slog::warn;

use crate::InstanceContext;
use crate::job_keys::JOB_PREFIX;
use crate::job_keys::JobKey;
use crate::job_state::Claim;
use crate::store_watch::read_all;
use crate::worker::Worker;

/// Interval between two checks while nothing changes.
const TICK: Duration = Duration::from_millis(250);

/// Most claims that one transaction removes: each is an entry twice, and a transaction of the store
/// is limited to 32 entries.
const MAX_RELEASES: usize = 16;

/// Longest wait for the task that renews the lease to notice that the store is reachable again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(3);

/// The machine whose status is compared with the store.
enum Machine<'a> {
    /// The local worker.
    Worker(&'a Worker),
    /// The local machine, which runs no jobs.
    Other,
    /// A machine that is down.
    Silent,
}

/// Starts the tasks that carry out retirements of the local machine and of machines that are down.
pub fn spawn(context: &Arc<InstanceContext>, worker: Option<&Arc<Worker>>) {
    let tasks = &context.tasks;
    tasks.spawn_essential("retirement", follow_local(context.clone(), worker.cloned()));
    tasks.spawn_essential("silent retirement", follow_silent(context.clone()));
}

async fn wait_change(context: &InstanceContext) {
    // Without a change the next check follows after the interval.
    let _ = tokio::time::timeout(TICK, context.retirements_changed.notified()).await;
}

/// Retires the local machine, and takes it back, as the operators ask, until the process ends.
async fn follow_local(context: Arc<InstanceContext>, worker: Option<Arc<Worker>>) {
    let name = context.settings.instance.clone();
    let machine = worker.as_deref().map_or(Machine::Other, Machine::Worker);
    let mut retirement = Retirement::new(RetirementSettings::default(), context.now());
    loop {
        wait_change(&context).await;
        let now = context.now();
        let (known, asked) = {
            let state = context.state();
            (state.versions.maintenance > 0, state.maintenance.retiring.contains(&name))
        };
        match retirement.on_asked(asked, now) {
            true if asked && worker.is_none() => {
                warn!(context.log, "retirement of an instance that is no worker ignored");
            }
            true if asked => info!(context.log, "machine retires"),
            true => info!(context.log, "retirement taken back"),
            false => {}
        }
        let load = worker.as_ref().map(|worker| worker.remaining_load()).unwrap_or_default();
        match (retirement.step(&load, now), &worker) {
            (RetirementStep::Preempt, Some(worker)) => worker.preempt_all(),
            (RetirementStep::Compare, worker) if known && (asked || worker.is_some()) => {
                let agreed = compare_logged(&context, &name, &machine).await;
                retirement.on_compared(agreed, context.now());
            }
            _ => {}
        }
    }
}

/// Acts for machines that are down while this instance watches the store, until the process ends.
async fn follow_silent(context: Arc<InstanceContext>) {
    let mut watch = RetirementWatch::new(RetirementSettings::default());
    loop {
        wait_change(&context).await;
        if !context.watches_store() {
            continue;
        }
        let now = context.now();
        let due = {
            let state = context.state();
            if watch.is_idle() && state.maintenance.retiring.is_empty() {
                continue;
            }
            let hubs = state.peers.live_hubs(now).flat_map(|contact| contact.beacon.members.iter());
            let local = state.peers.group_state(now).members;
            let live: HashSet<u32> = hubs.chain(local.iter()).map(|member| member.key).collect();
            watch.due(&state.maintenance.retiring, |name| live.contains(&instance_key(name)), now)
        };
        for name in due {
            let agreed = compare_logged(&context, &name, &Machine::Silent).await;
            watch.on_compared(&name, agreed, context.now());
        }
    }
}

/// Compares the status of a machine with the store, and changes it if needed. Returns whether the
/// store agrees with what this instance knows of the operators' requests.
async fn compare_logged(
    context: &InstanceContext,
    name: &InstanceName,
    machine: &Machine<'_>,
) -> bool {
    match compare(context, name, machine).await {
        Ok(agreed) => {
            context.on_store_result(true, &"");
            agreed
        }
        Err(error) => {
            warn!(context.log, "retirement not compared"; "machine" => %name, "error" => %error);
            context.on_store_error(&error);
            context.wait_for_store(RECOVERY_TIMEOUT).await;
            false
        }
    }
}

async fn compare(
    context: &InstanceContext,
    name: &InstanceName,
    machine: &Machine<'_>,
) -> Result<bool, StoreError> {
    let operator_key = retirement_key(name);
    let (status_key, completed) = retirement_status(name);
    let asked = context.store.item(&operator_key).await?.map_or(0, |item| item.revision);
    let empty = asked != 0
        && match machine {
            Machine::Worker(worker) => worker.release_claims().await?,
            Machine::Other => false,
            Machine::Silent => claims_of(context, name).await?.is_empty(),
        };
    let status = context.store.item(&status_key).await?;
    let record = RetirementRecord {
        asked: asked != 0,
        empty,
        status: status.as_ref().map(|item| item.value == completed),
    };
    let known = context.state().maintenance.retiring.contains(name);
    let is_settled = match machine {
        Machine::Other => true,
        Machine::Worker(_) | Machine::Silent => record.asked == known && record.asked == empty,
    };
    let Some(change) = record.status_change() else { return Ok(is_settled) };
    // The condition on the operators' key keeps a write that takes effect late from outlasting the
    // request that it was made for.
    let mut transaction = Transaction::default();
    transaction.expect.push((status_key.clone(), status.map_or(0, |item| item.revision)));
    transaction.expect.push((operator_key, asked));
    let message = match change {
        StatusChange::Report => {
            let value = Bytes::from_static(completed);
            transaction.writes.push(StoreWrite { key: status_key, value, lease: 0 });
            "retirement reported"
        }
        StatusChange::Remove => {
            transaction.removes.push(status_key);
            "retirement report removed"
        }
    };
    let result = context.store.commit(&transaction).await?;
    info!(context.log, "{}", message; "machine" => %name, "asked" => asked,
        "end" => format!("{result:?}"));
    Ok(is_settled && matches!(result, CommitResult::Done(_)))
}

/// Returns the claims of a machine on jobs that are neither complete nor ended.
async fn claims_of(
    context: &InstanceContext,
    name: &InstanceName,
) -> Result<Vec<StoredItem>, StoreError> {
    let (items, _) = read_all(context, JOB_PREFIX).await?;
    let parse = |item: &StoredItem| JobKey::parse(&item.key);
    let closed: HashSet<_> = items
        .iter()
        .filter_map(parse)
        .filter(|(_, kind)| matches!(kind, JobKey::End | JobKey::Complete))
        .map(|(job, _)| job)
        .collect();
    let holder = format!("{name} ");
    let is_held = |item: &StoredItem| match parse(item) {
        Some((job, JobKey::Claim)) => {
            item.value.starts_with(holder.as_bytes()) && !closed.contains(&job)
        }
        _ => false,
    };
    Ok(items.into_iter().filter(is_held).collect())
}

impl Worker {
    /// Returns the work that keeps the worker from giving its jobs to others.
    fn remaining_load(&self) -> WorkerLoad {
        let accepting = self.accepting().len();
        let jobs = self.jobs();
        let open = || jobs.values().filter(|job| job.is_open());
        WorkerLoad {
            running: open().map(|job| job.work.running.len()).sum(),
            uncommitted: open().map(|job| job.work.results.len()).sum(),
            pending: accepting
                + open().filter(|job| job.claim == Claim::Pending).count()
                + jobs.values().filter(|job| job.is_end_pending()).count(),
        }
    }

    /// Preempts all running items. What they have produced stays with their jobs.
    fn preempt_all(&self) {
        for job in self.jobs().values() {
            job.work.running.values().for_each(|running| running.cancel.cancel());
        }
    }

    /// Gives up the claims on all open jobs, so that other workers adopt these at once. Returns
    /// whether no claim is left. Until the store has confirmed it, the jobs stay in memory: if the
    /// retirement is taken back, they are claimed again.
    async fn release_claims(&self) -> Result<bool, StoreError> {
        let context = &self.context;
        if !context.is_retiring() {
            return Ok(false);
        }
        let since = context.now();
        for job in self.jobs().values_mut().filter(|job| job.is_open() && job.is_idle()) {
            if let Claim::Local { revision, .. } = job.claim {
                job.claim = Claim::Free { since, revision };
            }
        }
        let claims = claims_of(context, &context.settings.instance).await?;
        for chunk in claims.chunks(MAX_RELEASES) {
            if !context.is_retiring() {
                return Ok(false);
            }
            let keys = || chunk.iter().map(|item| item.key.clone());
            let expect = chunk.iter().map(|item| (item.key.clone(), item.revision)).collect();
            let transaction = Transaction { expect, writes: Vec::new(), removes: keys().collect() };
            let result = context.store.commit(&transaction).await?;
            info!(context.log, "claims released"; "keys" => keys().collect::<Vec<_>>().join(", "),
                "end" => format!("{result:?}"));
            if !matches!(result, CommitResult::Done(_)) {
                return Ok(false);
            }
        }
        let is_released = |claim: &Claim| matches!(claim, Claim::Free { .. });
        let mut jobs = self.jobs();
        if context.is_retiring() {
            jobs.retain(|_, job| !(job.is_open() && job.is_idle() && is_released(&job.claim)));
        }
        let held = jobs.values().any(|job| job.is_open() && !is_released(&job.claim));
        Ok(context.is_retiring() && !held)
    }
}
