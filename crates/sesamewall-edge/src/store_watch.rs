//! Watches the operators' keys and the targets' entries in the store, in one hub of each failure
//! domain.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sesamewall_fleet::DueReads;
use sesamewall_fleet::TargetEntry;
use sesamewall_fleet::Versions;
use sesamewall_platform::OPERATOR_PREFIX;
use sesamewall_platform::OperatorKey;
use sesamewall_platform::TARGET_PREFIX;
use sesamewall_platform::decode_catalog;
use sesamewall_platform::decode_rollout;
use sesamewall_platform::decode_target;
use sesamewall_platform::parse_operator_key;
use sesamewall_ports::Page;
use sesamewall_ports::StoreChange;
use sesamewall_ports::StoreError;
use sesamewall_ports::StoredItem;
use sesamewall_ports::WatchResult;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use slog::info;
use slog::warn;

use crate::InstanceContext;
use crate::State;
use crate::instance_context::MaintenanceState;
use crate::peer_updates;

/// Longest wait of one watch. A stalled connection is detected after it, or earlier when another
/// instance has read more.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Time within which a watch should return a change that another instance has reported.
const UPDATE_GRACE: Duration = Duration::from_millis(300);

/// Shortest and longest delay after a failed call.
const RETRY_DELAY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// Longest time for which a watch relies on the task that renews the lease to notice that the store
/// is reachable again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval between checks whether a watch is needed.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Handles what a watch reads.
pub trait WatchHandler: Send {
    /// Returns whether the instance has to watch the store itself.
    fn is_needed(&self) -> bool;
    /// Called when the watch has stopped; a complete read precedes the next changes.
    fn on_stopped(&mut self) {}
    /// Called when a watch begins, after a complete read at this revision. Changes before it may not
    /// have been seen.
    fn on_started(&mut self, _revision: u64) {}
    /// Called when the watch has returned all changes up to this revision.
    fn on_watched(&mut self, _revision: u64) {}
    /// Applies a complete read.
    fn replace(&mut self, items: Vec<StoredItem>, revision: u64);
    /// Applies changes.
    fn apply(&mut self, changes: Vec<StoreChange>, revision: u64);
    /// Called when the store has replied to a read or a watch that was sent at `sent_at`: what was
    /// applied is complete as of then.
    fn on_current(&mut self, _sent_at: Time) {}
}

/// How far a watch has read after a call.
enum WatchStep {
    /// The store replied; changes after this revision are not read yet.
    Current(u64),
    /// The store no longer has the history after the last revision.
    HistoryGone,
    /// The handler has panicked. A complete read shows what it has left out.
    NotApplied,
    /// The call was given up at this revision, because another instance has read more.
    GivenUp(u64),
}

/// Reads all items of a prefix. The revision is that of the first page, so that the watch returns
/// changes during the read again. Unreadable items have empty values, so that one of them does not
/// hide the others.
pub(crate) async fn read_all(
    context: &InstanceContext,
    prefix: &str,
) -> Result<(Vec<StoredItem>, u64), StoreError> {
    let mut items: Vec<StoredItem> = Vec::new();
    let mut revision = None;
    loop {
        let after = items.last().map(|item| item.key.clone());
        let Page { items: page, more, revision: at, .. } =
            context.store.page_with_unreadable(prefix, after.as_deref()).await?;
        revision.get_or_insert(at);
        let empty = page.is_empty();
        items.extend(page);
        if !more || empty {
            return Ok((items, revision.unwrap_or(at)));
        }
    }
}

/// Watches a prefix of the store while `handler` needs it. After a gap in the history all items are
/// read again. `min_interval` is the shortest time between two watches.
pub async fn watch_prefix(
    context: Arc<InstanceContext>,
    prefix: &'static str,
    min_interval: Duration,
    mut handler: impl WatchHandler,
) {
    let (shortest, longest) = RETRY_DELAY;
    let mut delay = shortest;
    let mut revision = None;
    loop {
        if !handler.is_needed() {
            if revision.take().is_some() {
                handler.on_stopped();
            }
            let _ =
                tokio::time::timeout(ROLE_CHECK_INTERVAL, context.watch_started.notified()).await;
            continue;
        }
        let sent_at = context.now();
        let result = match revision {
            None => read_all(&context, prefix).await.map(|(items, at)| {
                let apply = || {
                    handler.replace(items, at);
                    handler.on_started(at);
                };
                let applied = context.tasks.step("store read", &prefix, apply);
                applied.map_or(WatchStep::NotApplied, |()| WatchStep::Current(at))
            }),
            Some(at) => {
                let watch = context.store.changes(prefix, at, WATCH_TIMEOUT);
                let update_overdue = async {
                    loop {
                        context.update_available.notified().await;
                        tokio::time::sleep(UPDATE_GRACE).await;
                        let now = context.now();
                        let state = context.state();
                        if state.versions.is_behind(&state.sources.highest(now)) {
                            return;
                        }
                    }
                };
                tokio::select! {
                    result = watch => result.map(|watched| match watched {
                        WatchResult::Changes { changes, revision } => {
                            let apply = || match changes.is_empty() {
                                true => {}
                                false => handler.apply(changes, revision),
                            };
                            match context.tasks.step("store changes", &prefix, apply) {
                                Some(()) => WatchStep::Current(revision),
                                None => WatchStep::NotApplied,
                            }
                        }
                        WatchResult::HistoryGone => {
                            info!(context.log, "history gone";
                                "prefix" => prefix, "revision" => at);
                            WatchStep::HistoryGone
                        }
                    }),
                    () = update_overdue => Ok(WatchStep::GivenUp(at)),
                }
            }
        };
        match result {
            Ok(step) => {
                context.on_store_result(true, &"");
                if let WatchStep::Current(at) = step {
                    handler.on_watched(at);
                    handler.on_current(sent_at);
                }
                revision = match step {
                    WatchStep::Current(at) | WatchStep::GivenUp(at) => Some(at),
                    WatchStep::HistoryGone | WatchStep::NotApplied => None,
                };
                if matches!(step, WatchStep::NotApplied) {
                    tokio::time::sleep(delay).await;
                    delay = (delay * 2).min(longest);
                    continue;
                }
                delay = shortest;
                // After a gap in the history, nothing is known of the changes since.
                if !min_interval.is_zero() && revision.is_some() {
                    tokio::time::sleep(min_interval).await;
                }
            }
            Err(error) => {
                context.on_store_error(&error);
                tokio::time::sleep(delay).await;
                context.wait_for_store(RECOVERY_TIMEOUT).await;
                delay = (delay * 2).min(longest);
            }
        }
    }
}

/// Applies the operators' keys.
pub struct OperatorKeyWatch {
    context: Arc<InstanceContext>,
    maintenance: MaintenanceState,
    /// Highest revision of a key that was read.
    revision: u64,
}

impl OperatorKeyWatch {
    /// Creates the handler of the operators' keys.
    pub fn new(context: Arc<InstanceContext>) -> Self {
        Self { context, maintenance: MaintenanceState::default(), revision: 0 }
    }

    fn on_written(&mut self, item: &StoredItem) {
        match parse_operator_key(&item.key) {
            Some(OperatorKey::Configuration) => apply_configuration(&self.context, &item.value),
            Some(OperatorKey::Evacuation(domain)) => {
                self.maintenance.evacuated.insert(domain);
            }
            Some(OperatorKey::Retirement(instance)) => {
                self.maintenance.retiring.insert(instance);
            }
            Some(OperatorKey::Rollout(service)) => self.on_rollout(&service, item),
            None => {}
        }
        self.revision = self.revision.max(item.revision);
    }

    /// Applies the key of a rollout. A value that is no valid order withdraws the one before it.
    fn on_rollout(&mut self, service: &str, item: &StoredItem) {
        if self.context.settings.platform_limits.rollout.is_none() {
            return;
        }
        let result = decode_rollout(service, &item.value, item.revision);
        let mut state = self.context.state();
        match result {
            Ok(order) => {
                state.unreadable_orders.on_readable(&item.key);
                self.maintenance.orders.insert(order.service.clone(), order);
            }
            Err(error) => {
                self.maintenance.orders.remove(service);
                if state.unreadable_orders.on_unreadable(&item.key, &error) {
                    warn!(self.context.log, "rollout order cannot be read"; "service" => service,
                        "error" => error, "revision" => item.revision);
                }
            }
        }
    }

    /// Puts the maintenance state in force, unless another instance has sent a newer one.
    fn publish(&self) {
        let mut state = self.context.state();
        if self.revision >= state.versions.maintenance && state.maintenance != self.maintenance {
            peer_updates::set_maintenance(
                &self.context,
                &mut state,
                self.maintenance.clone(),
                self.revision,
            );
        } else {
            state.versions.maintenance = state.versions.maintenance.max(self.revision);
        }
        drop(state);
        self.context.state_changed.notify_one();
    }
}

impl WatchHandler for OperatorKeyWatch {
    fn is_needed(&self) -> bool {
        self.context.watches_store()
    }

    fn replace(&mut self, items: Vec<StoredItem>, revision: u64) {
        self.maintenance = MaintenanceState::default();
        for item in &items {
            self.on_written(item);
        }
        if self.maintenance.lacks_any_of(&self.context.state().maintenance) {
            // A key was removed, and its revision is not known.
            self.revision = self.revision.max(revision);
        }
        self.publish();
    }

    fn apply(&mut self, changes: Vec<StoreChange>, _revision: u64) {
        for change in changes {
            match change {
                StoreChange::Written(item) => self.on_written(&item),
                StoreChange::Removed { key, revision } => {
                    match parse_operator_key(&key) {
                        Some(OperatorKey::Evacuation(domain)) => {
                            self.maintenance.evacuated.remove(&domain);
                        }
                        Some(OperatorKey::Retirement(instance)) => {
                            self.maintenance.retiring.remove(&instance);
                        }
                        Some(OperatorKey::Rollout(service)) => {
                            self.context.state().unreadable_orders.on_readable(&key);
                            self.maintenance.orders.remove(service.as_str());
                        }
                        _ => {}
                    }
                    self.revision = self.revision.max(revision);
                }
            }
        }
        self.publish();
    }

    fn on_current(&mut self, sent_at: Time) {
        self.context.state().freshness.on_operators_read(sent_at);
    }
}

/// Puts a configuration in force unless the current one is as new or newer.
pub fn apply_configuration(context: &InstanceContext, value: &Bytes) {
    let decoded = context.tasks.step("configuration", &"", || decode_catalog(value));
    let catalog = match decoded.unwrap_or_else(|| Err("it cannot be decoded".to_owned())) {
        Ok(catalog) => catalog,
        Err(error) => {
            warn!(context.log, "configuration cannot be read"; "error" => error);
            return;
        }
    };
    let now = context.now();
    let mut state = context.state();
    let present = state.catalog.as_ref().map(|catalog| catalog.version);
    if present.is_some_and(|present| present >= catalog.version) {
        return;
    }
    info!(context.log, "configuration in force"; "version" => catalog.version, "before" => present);
    state.rates.configure(&catalog, context.settings.first_start, now);
    state.targets.set_cold_time(catalog.cold_time());
    state.versions.config = catalog.version;
    state.catalog = Some(Arc::new(catalog));
    state.document = value.clone();
    drop(state);
    context.state_changed.notify_one();
}

/// Applies the targets' entries to the target table.
pub struct TargetWatch {
    context: Arc<InstanceContext>,
}

impl TargetWatch {
    /// Creates the handler of the targets' entries.
    pub fn new(context: Arc<InstanceContext>) -> Self {
        Self { context }
    }
}

fn name_of(key: &str) -> TargetName {
    TargetName::from(key.strip_prefix(TARGET_PREFIX).unwrap_or(key))
}

/// Decodes a target's entry. An unreadable one is logged when it becomes so, or for another reason,
/// and not each time that it is read or written again.
fn decode_entry(context: &InstanceContext, item: &StoredItem) -> Option<TargetEntry> {
    let decode = || decode_target(&item.key, &item.value);
    let result = context.tasks.step("target entry", &item.key, decode);
    let result = result.unwrap_or_else(|| Err("it cannot be decoded".to_owned()));
    let mut state = context.state();
    match result {
        Ok(entry) => {
            state.unreadable.on_readable(&item.key);
            Some(entry)
        }
        Err(error) => {
            if state.unreadable.on_unreadable(&item.key, &error) {
                warn!(context.log, "target entry cannot be read"; "key" => &item.key,
                    "error" => error, "revision" => item.revision);
            }
            None
        }
    }
}

/// Decodes the targets' entries of a complete read.
fn decode_entries(context: &InstanceContext, items: &[StoredItem]) -> Vec<(TargetEntry, u64)> {
    let (mut entries, mut unreadable) = (Vec::new(), HashSet::new());
    for item in items {
        match decode_entry(context, item) {
            Some(entry) => entries.push((entry, item.revision)),
            None => {
                unreadable.insert(item.key.as_str());
            }
        }
    }
    context.state().unreadable.retain(&unreadable);
    entries
}

/// Logs a complete read of the targets' entries that has changed the table.
fn log_read(context: &InstanceContext, targets: usize, unreadable: usize, revision: u64) {
    info!(context.log, "targets read"; "targets" => targets, "revision" => revision,
        "unreadable" => unreadable);
}

/// Applies a complete read that was sent at `sent_at`, if there was one. Returns false if it failed.
fn apply_read(
    context: &InstanceContext,
    mut handler: impl WatchHandler,
    result: Result<Option<(Vec<StoredItem>, u64)>, StoreError>,
    sent_at: Time,
) -> bool {
    match result {
        Ok(Some((items, revision))) => {
            let apply = || {
                handler.replace(items, revision);
                handler.on_current(sent_at);
            };
            context.tasks.step("store read", &"", apply).is_some()
        }
        Ok(None) => true,
        Err(error) => {
            context.on_store_error(&error);
            false
        }
    }
}

/// Reads what is due from the store, and applies it beside the watches. Returns whether all of it
/// was read.
pub async fn read_due(context: &Arc<InstanceContext>, due: DueReads) -> bool {
    let sent_at = context.now();
    let read = async |due: bool, prefix| match due {
        true => read_all(context, prefix).await.map(Some),
        false => Ok(None),
    };
    let (targets, operators) =
        tokio::join!(read(due.targets, TARGET_PREFIX), read(due.operators, OPERATOR_PREFIX));
    let applied = [
        apply_read(context, TargetWatch::new(context.clone()), targets, sent_at),
        apply_read(context, OperatorKeyWatch::new(context.clone()), operators, sent_at),
    ];
    let complete = applied == [true, true];
    if complete {
        context.on_store_result(true, &"");
        context.state().pause_guard.on_confirmed(sent_at);
    }
    complete
}

/// Reads what an instance that has read as far as `local` lacks of the versions `newest`. Returns
/// whether the store replied.
pub async fn read_current(
    context: &Arc<InstanceContext>,
    local: &Versions,
    newest: &Versions,
) -> bool {
    let mut replied = true;
    let sent_at = context.now();
    if local.table < newest.table {
        match read_all(context, TARGET_PREFIX).await {
            Ok((items, revision)) => {
                context.on_store_result(true, &"");
                apply_targets(context, &items, revision, newest.table);
                context.state().freshness.on_targets_read(sent_at);
            }
            Err(error) => {
                context.on_store_error(&error);
                replied = false;
            }
        }
    }
    if local.config < newest.config || local.maintenance < newest.maintenance {
        let result = read_all(context, OPERATOR_PREFIX).await.map(Some);
        let read = apply_read(context, OperatorKeyWatch::new(context.clone()), result, sent_at);
        if read {
            context.on_store_result(true, &"");
        }
        replied &= read;
    }
    replied
}

/// Applies a complete read of the targets' entries beside the watch. The table has the version
/// `newest` of another instance afterwards, unless the read is older or expired entries may come
/// back.
fn apply_targets(context: &InstanceContext, items: &[StoredItem], revision: u64, newest: u64) {
    let entries = decode_entries(context, items);
    let now = context.now();
    let mut state = context.state();
    if is_outdated(&state, revision) {
        return;
    }
    log_read(context, entries.len(), items.len() - entries.len(), revision);
    state.targets.replace(entries, now);
    if peer_updates::table_revision(newest) <= revision && !state.targets.has_expired() {
        state.versions.table = state.versions.table.max(newest);
    }
    drop(state);
    context.state_changed.notify_one();
}

/// Returns whether a complete read of the targets' entries at `revision` is older than the table: a
/// watch has returned a later change while the read was under way.
fn is_outdated(state: &State, revision: u64) -> bool {
    revision < peer_updates::table_revision(state.versions.table)
}

/// Records the version of a target whose entry is about to change.
fn observe(state: &mut State, name: &TargetName, now: Time) {
    if let Some(target) = state.targets.get(name) {
        state.version_history.on_entry(&target.entry, now);
    }
}

impl WatchHandler for TargetWatch {
    fn is_needed(&self) -> bool {
        self.context.watches_store()
    }

    fn on_stopped(&mut self) {
        self.context.state().version_history.on_watch_ended();
    }

    fn on_started(&mut self, revision: u64) {
        let now = self.context.now();
        let state = &mut *self.context.state();
        state.version_history.on_watch_started(&state.targets, revision, now);
    }

    fn on_watched(&mut self, revision: u64) {
        self.context.state().version_history.on_watched(revision);
    }

    fn replace(&mut self, items: Vec<StoredItem>, revision: u64) {
        let entries = decode_entries(&self.context, &items);
        let now = self.context.now();
        let mut state = self.context.state();
        if is_outdated(&state, revision) {
            return;
        }
        // A removed key leaves no revision, so the revision of the whole read counts then.
        let any_removed = state
            .targets
            .iter()
            .filter(|target| !target.is_expired())
            .any(|target| !entries.iter().any(|(entry, _)| entry.name == target.entry.name));
        let highest = items.iter().map(|item| item.revision).max().unwrap_or_default();
        let version = peer_updates::table_version(if any_removed { revision } else { highest });
        let readable = entries.len();
        state.targets.replace(entries, now);
        if version <= state.versions.table {
            return;
        }
        state.versions.table = version;
        drop(state);
        log_read(&self.context, readable, items.len() - readable, revision);
        self.context.state_changed.notify_one();
    }

    fn apply(&mut self, changes: Vec<StoreChange>, revision: u64) {
        let now = self.context.now();
        let mut highest = 0;
        for change in changes {
            match change {
                StoreChange::Written(item) => {
                    highest = highest.max(item.revision);
                    match decode_entry(&self.context, &item) {
                        Some(entry) => {
                            let state = &mut *self.context.state();
                            observe(state, &entry.name, now);
                            state.version_history.on_entry(&entry, now);
                            let known = state.targets.get(&entry.name).map(|known| &known.entry);
                            if known != Some(&entry) {
                                info!(self.context.log, "target changed"; "target" => %entry.name,
                                    "draining" => entry.draining, "revision" => item.revision);
                            }
                            state.targets.upsert(entry, item.revision, now);
                        }
                        None => {
                            let state = &mut *self.context.state();
                            observe(state, &name_of(&item.key), now);
                            state.targets.remove(&name_of(&item.key), now);
                        }
                    }
                }
                StoreChange::Removed { key, revision: at } => {
                    highest = highest.max(at);
                    let name = name_of(&key);
                    let mut guard = self.context.state();
                    let state = &mut *guard;
                    observe(state, &name, now);
                    state.unreadable.on_readable(&key);
                    let expired = state.targets.remove_at(&name, at, now);
                    drop(guard);
                    info!(self.context.log, "target entry gone"; "target" => %name,
                        "revision" => revision, "lapsed" => expired);
                }
            }
        }
        let mut state = self.context.state();
        state.versions.table = state.versions.table.max(peer_updates::table_version(highest));
        drop(state);
        self.context.state_changed.notify_one();
    }

    fn on_current(&mut self, sent_at: Time) {
        self.context.state().freshness.on_targets_read(sent_at);
    }
}

/// Starts the watches of the operators' keys and of the targets' entries, and the fetching of
/// updates from other instances.
pub fn spawn(context: &Arc<InstanceContext>) {
    /// Shortest time between two watches of the targets: each change costs a call, and a change
    /// must be in force within two seconds.
    const TARGET_WATCH_INTERVAL: Duration = Duration::from_millis(600);
    let tasks = &context.tasks;
    let operators = OperatorKeyWatch::new(context.clone());
    let watch = watch_prefix(context.clone(), OPERATOR_PREFIX, Duration::ZERO, operators);
    tasks.spawn_essential("operator watch", watch);
    let targets = TargetWatch::new(context.clone());
    let watch = watch_prefix(context.clone(), TARGET_PREFIX, TARGET_WATCH_INTERVAL, targets);
    tasks.spawn_essential("target watch", watch);
    tasks.spawn_essential("update fetch", peer_updates::fetch_updates(context.clone()));
    let overdue = peer_updates::read_overdue_updates(context.clone());
    tasks.spawn_essential("overdue updates", overdue);
}
