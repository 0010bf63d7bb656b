//! Carries out rollouts of services to new versions: every instance applies the orders, hubs compare
//! the versions a few times a second, and one of them writes the record and the status.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use sesamewall_fleet::RolloutOrder;
use sesamewall_fleet::RolloutPhase;
use sesamewall_fleet::RolloutRecord;
use sesamewall_fleet::Verdict;
use sesamewall_platform::RolloutState;
use sesamewall_platform::decode_rollout;
use sesamewall_platform::rollout_order_key;
use sesamewall_platform::rollout_record_key;
use sesamewall_platform::rollout_status;
use sesamewall_ports::CommitResult;
use sesamewall_ports::StoreError;
use sesamewall_ports::StoreWrite;
use sesamewall_ports::StoredItem;
use sesamewall_ports::Transaction;
use sesamewall_protocol::Time;
use slog::info;
use slog::warn;

use crate::InstanceContext;
use crate::State;

/// Interval between two comparisons of the versions.
const JUDGE_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between two checks whether something has to be read or written.
const RECORD_INTERVAL: Duration = Duration::from_millis(100);

/// Time by which a hub waits longer for a record to be written than the hub before it by name.
const BACKUP_DELAY: Duration = Duration::from_secs(1);

/// Time for which a halt that another hub has decided is left to that hub, which knows the figures.
const FIGURES_DELAY: Duration = Duration::from_millis(500);

/// Time by which a hub that has decided a halt waits longer than the hub before it by name.
const HALT_DELAY: Duration = Duration::from_millis(100);

/// Time between two attempts to read or write a record after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A rollout as the local hub knows it from the store.
struct StoredRollout {
    order: RolloutOrder,
    /// Phase of the record of the order that was last read or written.
    phase: Option<RolloutPhase>,
    /// Time since which something has to be written.
    pending_since: Option<Time>,
    /// Time before which no call is made.
    retry_at: Time,
}

/// Judges rollouts and keeps their records.
struct RolloutKeeper {
    context: Arc<InstanceContext>,
    /// Records that the last verdicts call for and the store does not have, by service.
    verdicts: Mutex<BTreeMap<Arc<str>, RolloutRecord>>,
}

/// Starts the tasks that carry out rollouts, if the platform names bounds for them.
pub fn spawn(context: &Arc<InstanceContext>) {
    if context.settings.platform_limits.rollout.is_none() {
        return;
    }
    let keeper = Arc::new(RolloutKeeper { context: context.clone(), verdicts: Mutex::default() });
    let tasks = &context.tasks;
    tasks.spawn_essential("rollout verdicts", keeper.clone().judge_rollouts());
    tasks.spawn_essential("rollout records", keeper.keep_records());
}

/// Puts the orders of a maintenance state in force.
pub fn set_orders(context: &InstanceContext, state: &mut State) {
    if context.settings.platform_limits.rollout.is_none() {
        return;
    }
    let now = context.now();
    let orders = state.maintenance.orders.clone();
    for service in state.rollouts.set_orders(orders, now) {
        match state.maintenance.orders.get(&service) {
            Some(order) => {
                info!(context.log, "rollout ordered"; "service" => &*service,
                    "to" => &*order.version, "revision" => order.revision,
                    "period_ms" => order.period.as_millis() as u64);
            }
            None => {
                info!(context.log, "rollout withdrawn"; "service" => &*service);
                context.metrics.rollout_phase.with_label_values(&[&*service]).set(0);
            }
        }
    }
}

/// Logs the phases of these services after they have changed. `source` is from where the instance
/// knows it.
pub fn log_phases(context: &InstanceContext, state: &State, services: &[Arc<str>], source: &str) {
    for service in services {
        if let Some((order, Some(phase))) = state.rollouts.order(service) {
            info!(context.log, "rollout phase"; "service" => &**service, "to" => &*order.version,
                "revision" => order.revision, "phase" => %phase, "source" => source);
        }
    }
}

/// Returns the keys of the targets whose batch items have to resume elsewhere, because their version
/// was replaced.
pub fn replaced_targets(state: &State) -> HashSet<u32> {
    let mut keys = HashSet::new();
    for service in state.maintenance.orders.keys() {
        if let Some((order, Some(RolloutPhase::Promoting | RolloutPhase::Completed))) =
            state.rollouts.order(service)
        {
            let targets = state.targets.of_service(service);
            let old = targets.filter(|target| target.entry.version != order.version);
            keys.extend(old.map(|target| target.key));
        }
    }
    keys
}

/// Returns the value of the phase metric.
fn phase_level(phase: Option<RolloutPhase>) -> i64 {
    match phase {
        None => 0,
        Some(RolloutPhase::Trial) => 1,
        Some(RolloutPhase::Promoting) => 2,
        Some(RolloutPhase::RolledBack) => 3,
        Some(RolloutPhase::Completed) => 4,
    }
}

/// Returns whether a record of an order may follow one with the phase `stored`.
fn may_follow(phase: RolloutPhase, stored: Option<RolloutPhase>) -> bool {
    match stored {
        None => true,
        Some(RolloutPhase::Trial) => phase > RolloutPhase::Trial,
        Some(RolloutPhase::Promoting) => phase > RolloutPhase::Promoting,
        Some(RolloutPhase::RolledBack | RolloutPhase::Completed) => false,
    }
}

fn status_state(phase: RolloutPhase) -> RolloutState {
    match phase {
        RolloutPhase::Trial | RolloutPhase::Promoting => RolloutState::Running,
        RolloutPhase::RolledBack => RolloutState::RolledBack,
        RolloutPhase::Completed => RolloutState::Completed,
    }
}

/// Returns the number of hubs before the local one in the order in which hubs write; `None` if the
/// local instance does not write.
fn writer_rank(context: &InstanceContext, state: &State, now: Time) -> Option<u32> {
    if !state.peers.is_hub() || context.store.is_lost() || context.is_draining() {
        return None;
    }
    let hubs = state.peers.live_hubs(now).map(|contact| &contact.beacon.hub);
    let before = hubs
        .filter(|hub| hub.store_reachable && !hub.draining && hub.name < context.settings.instance);
    Some(before.count() as u32)
}

impl RolloutKeeper {
    fn verdicts(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, RolloutRecord>> {
        self.verdicts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Compares the versions until the process ends. It never waits for the store, so that a halt
    /// takes effect without it.
    async fn judge_rollouts(self: Arc<Self>) {
        loop {
            tokio::time::sleep(JUDGE_INTERVAL).await;
            let context = &self.context;
            let now = context.now();
            let mut guard = context.state();
            let state = &mut *guard;
            let is_hub = state.peers.is_hub();
            if is_hub && state.peers.known_hubs().is_empty() {
                state.rollouts.on_hub_contact(now);
            }
            let mut changed = false;
            for service in state.maintenance.orders.keys().cloned().collect::<Vec<_>>() {
                if is_hub {
                    let judge = || self.judge(state, &service, now);
                    changed |= context.tasks.step("verdict", &service, judge).unwrap_or(false);
                }
                let phase = state.rollouts.order(&service).and_then(|(_, phase)| phase);
                let gauge = context.metrics.rollout_phase.with_label_values(&[&*service]);
                gauge.set(phase_level(phase));
            }
            drop(guard);
            if changed {
                context.state_changed.notify_one();
            }
        }
    }

    /// Judges the rollout of a service. Returns whether its phase has changed.
    fn judge(&self, state: &mut State, service: &Arc<str>, now: Time) -> bool {
        let context = &self.context;
        let Some((order, Some(before))) = state.rollouts.order(service) else { return false };
        let order = order.clone();
        let outcomes = state.peers.all_outcomes(&state.rollouts.local_outcomes(), now);
        let facts = state.rollouts.facts(service, &state.targets, &state.peers, now);
        let verdict = state.rollouts.judge(service, &outcomes, &facts);
        let record = state.rollouts.record(service, &verdict, now);
        let former = match record.clone() {
            Some(record) => self.verdicts().insert(service.clone(), record),
            None => self.verdicts().remove(service),
        };
        let reached = |record: RolloutRecord| (record.revision, record.phase);
        if verdict != Verdict::Wait && former.map(reached) != record.map(reached) {
            info!(context.log, "rollout judged"; "service" => &**service,
                "to" => &*order.version, "revision" => order.revision, "phase" => %before,
                "verdict" => format!("{verdict:?}"), "facts" => format!("{facts:?}"));
        }
        let changed = state.rollouts.on_verdict(service, &verdict, now);
        if changed {
            log_phases(context, state, std::slice::from_ref(service), "verdict");
        }
        changed
    }

    /// Reads and writes the records until the process ends. Without orders it makes no call.
    async fn keep_records(self: Arc<Self>) {
        let mut rollouts: BTreeMap<Arc<str>, StoredRollout> = BTreeMap::new();
        loop {
            tokio::time::sleep(RECORD_INTERVAL).await;
            let now = self.context.now();
            let (orders, is_hub) = {
                let state = self.context.state();
                (state.maintenance.orders.clone(), state.peers.is_hub())
            };
            if !is_hub {
                rollouts.clear();
                continue;
            }
            for (service, order) in orders.iter() {
                if rollouts.get(service).is_none_or(|known| known.order != *order) {
                    let stored = StoredRollout {
                        order: order.clone(),
                        phase: None,
                        pending_since: None,
                        retry_at: now,
                    };
                    rollouts.insert(service.clone(), stored);
                }
            }
            let mut removed = Vec::new();
            for (service, stored) in
                rollouts.iter_mut().filter(|(_, stored)| stored.retry_at <= now)
            {
                let result = match orders.contains_key(service) {
                    true => self.keep_record(service, stored).await,
                    false => self.remove_record(service, stored).await.map(|done| {
                        removed.extend(done.then(|| service.clone()));
                    }),
                };
                if let Err(error) = result {
                    warn!(self.context.log, "rollout not recorded"; "service" => &**service,
                        "revision" => stored.order.revision, "error" => %error);
                    self.context.on_store_error(&error);
                    stored.retry_at = self.context.now() + RETRY_DELAY;
                }
            }
            for service in removed {
                rollouts.remove(&service);
                self.verdicts().remove(&service);
            }
        }
    }

    /// Reads the record of an order whose phase is not known, and writes what is due.
    async fn keep_record(
        &self,
        service: &Arc<str>,
        stored: &mut StoredRollout,
    ) -> Result<(), StoreError> {
        let phase = self.phase(&stored.order);
        let Some(phase) = phase else {
            self.read_record(service, stored).await?;
            return Ok(());
        };
        let Some(record) = self.due_record(stored, phase) else {
            stored.pending_since = None;
            return Ok(());
        };
        let delays = match (record.phase, record.reason) {
            (RolloutPhase::RolledBack, Some(_)) => (Duration::ZERO, HALT_DELAY),
            (RolloutPhase::RolledBack, None) => (FIGURES_DELAY, BACKUP_DELAY),
            _ => (Duration::ZERO, BACKUP_DELAY),
        };
        if !self.is_writer(stored, delays) {
            return Ok(());
        }
        self.write_record(service, stored, &record).await
    }

    /// Returns the phase of an order as the local instance knows it.
    fn phase(&self, order: &RolloutOrder) -> Option<RolloutPhase> {
        let state = self.context.state();
        let (known, phase) = state.rollouts.order(&order.service)?;
        phase.filter(|_| known.revision == order.revision)
    }

    /// Returns the record that has to be written after the last verdict; `None` if the store has it
    /// already, or if the phase has changed since.
    fn due_record(&self, stored: &StoredRollout, phase: RolloutPhase) -> Option<RolloutRecord> {
        let verdicts = self.verdicts();
        let record = verdicts.get(&stored.order.service)?;
        let is_due = record.revision == stored.order.revision
            && (record.phase == phase || may_follow(record.phase, Some(phase)))
            && may_follow(record.phase, stored.phase);
        is_due.then(|| record.clone())
    }

    /// Returns whether the local hub writes now: the first one by name that the store serves, and the
    /// others in turn if it does not write. `delays` are those of the first hub and of each further
    /// one.
    fn is_writer(&self, stored: &mut StoredRollout, delays: (Duration, Duration)) -> bool {
        let now = self.context.now();
        let since = *stored.pending_since.get_or_insert(now);
        let state = self.context.state();
        let rank = writer_rank(&self.context, &state, now);
        let (first, further) = delays;
        rank.is_some_and(|rank| now.since(since) >= first + further * rank)
    }

    /// Reads the record of a service and applies it. Returns the stored item.
    async fn read_record(
        &self,
        service: &Arc<str>,
        stored: &mut StoredRollout,
    ) -> Result<Option<StoredItem>, StoreError> {
        let context = &self.context;
        let item = context.store.item(&rollout_record_key(service)).await?;
        context.on_store_result(true, &"");
        let record: Option<RolloutRecord> =
            item.as_ref().and_then(|item| match serde_json::from_slice(&item.value) {
                Ok(record) => Some(record),
                Err(error) => {
                    warn!(context.log, "rollout record cannot be read"; "service" => &**service,
                        "error" => %error, "revision" => item.revision);
                    None
                }
            });
        let own = record.as_ref().filter(|record| record.revision == stored.order.revision);
        stored.phase = own.map(|record| record.phase);
        self.apply_record(&stored.order, record.as_ref());
        Ok(item)
    }

    /// Applies a stored record, unless its order was replaced meanwhile.
    fn apply_record(&self, order: &RolloutOrder, record: Option<&RolloutRecord>) {
        let context = &self.context;
        let now = context.now();
        let mut state = context.state();
        let known = state.rollouts.order(&order.service);
        if known.is_none_or(|(known, _)| known.revision != order.revision) {
            return;
        }
        if state.rollouts.on_record(&order.service, record, now) {
            log_phases(context, &state, std::slice::from_ref(&order.service), "record");
            drop(state);
            context.state_changed.notify_one();
        }
    }

    /// Writes a record and its status in one transaction, on the conditions that the order, the
    /// record and the status are those that were read.
    async fn write_record(
        &self,
        service: &Arc<str>,
        stored: &mut StoredRollout,
        record: &RolloutRecord,
    ) -> Result<(), StoreError> {
        let context = &self.context;
        let item = self.read_record(service, stored).await?;
        let order = &stored.order;
        // The read may have shown that the store has this record or a later one, and the verdict may
        // have changed during it.
        let due = self.phase(order).and_then(|phase| self.due_record(stored, phase));
        if due.is_none_or(|due| due.phase != record.phase) {
            return Ok(());
        }
        let state = status_state(record.phase);
        let (status_key, value) = rollout_status(service, state, &order.version);
        let status = context.store.item(&status_key).await?;
        let record_key = rollout_record_key(service);
        let mut transaction = Transaction::default();
        transaction.expect.push((rollout_order_key(service), order.revision));
        transaction.expect.push((record_key.clone(), item.map_or(0, |item| item.revision)));
        transaction.expect.push((status_key.clone(), status.as_ref().map_or(0, |i| i.revision)));
        // The record has only types that JSON can hold.
        let bytes = Bytes::from(serde_json::to_vec(record).unwrap_or_default());
        transaction.writes.push(StoreWrite { key: record_key, value: bytes, lease: 0 });
        if status.is_none_or(|status| status.value != value) {
            transaction.writes.push(StoreWrite { key: status_key, value, lease: 0 });
        }
        let result = context.store.commit(&transaction).await?;
        info!(context.log, "rollout recorded"; "service" => &**service, "to" => &*order.version,
            "revision" => order.revision, "phase" => %record.phase,
            "reason" => record.reason.map(|reason| reason.to_string()),
            "figures" => record.figures.map(|figures| format!("{figures:?}")),
            "elapsed_ms" => record.elapsed_ms, "end" => format!("{result:?}"));
        match result {
            CommitResult::Done(_) => {
                stored.phase = Some(record.phase);
                stored.pending_since = None;
                self.apply_record(&stored.order, Some(record));
            }
            // Another hub was first, or the order has changed; the next check reads it again.
            CommitResult::Conflict(_) | CommitResult::LeaseGone => {
                stored.retry_at = context.now() + RETRY_DELAY;
            }
        }
        Ok(())
    }

    /// Removes the record of a withdrawn order, and its status if it is still `running`. Returns
    /// whether nothing is left to do.
    async fn remove_record(
        &self,
        service: &Arc<str>,
        stored: &mut StoredRollout,
    ) -> Result<bool, StoreError> {
        let context = &self.context;
        if !self.is_writer(stored, (Duration::ZERO, BACKUP_DELAY)) {
            return Ok(false);
        }
        let record_key = rollout_record_key(service);
        let Some(record) = context.store.item(&record_key).await? else { return Ok(true) };
        let order_key = rollout_order_key(service);
        let order = context.store.item(&order_key).await?;
        let is_order = |item: &StoredItem| decode_rollout(service, &item.value, 0).is_ok();
        if order.as_ref().is_some_and(is_order) {
            // The order is back, and this instance learns of it soon.
            return Ok(false);
        }
        let (status_key, running) =
            rollout_status(service, RolloutState::Running, &stored.order.version);
        let status = context.store.item(&status_key).await?;
        let mut transaction = Transaction::default();
        transaction.expect.push((order_key, order.map_or(0, |item| item.revision)));
        transaction.expect.push((record_key.clone(), record.revision));
        transaction.removes.push(record_key);
        if let Some(status) = status.filter(|status| status.value == running) {
            transaction.expect.push((status_key.clone(), status.revision));
            transaction.removes.push(status_key);
        }
        let result = context.store.commit(&transaction).await?;
        info!(context.log, "rollout record removed"; "service" => &**service,
            "revision" => stored.order.revision, "end" => format!("{result:?}"));
        Ok(matches!(result, CommitResult::Done(_)))
    }
}
