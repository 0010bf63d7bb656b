//! Updates of the configuration, the maintenance state and the target table between instances.
//!
//! One hub of each failure domain watches the store. All other instances fetch updates from an
//! instance whose datagrams report that it has read more: a hub from other hubs, a member from its
//! assigned hub. An instance that does not get a reported update in time reads the store itself.

use std::collections::HashSet;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use sesamewall_fleet::TargetEntry;
use sesamewall_fleet::Versions;
use sesamewall_protocol::Time;
use slog::info;
use slog::warn;

use crate::InstanceContext;
use crate::State;
use crate::instance_context::MaintenanceState;
use crate::store_watch;
use crate::version_rollout;

/// Path of the update call.
pub const UPDATES_PATH: &str = "/feed";

/// Timeout of the update call. A configuration of a megabyte takes some hundred milliseconds on a
/// small machine.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout of an update call that confirms the state after a pause of the process. Requests wait
/// for it.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(100);

/// Most instances that are asked to confirm the state before the store is read.
const CONFIRM_CALLS: usize = 1;

/// Longest wait for the next check whether an update can be fetched. Failed instances are tried
/// again after a back-off.
const FETCH_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Interval between checks whether an update is overdue.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Low bits of the target table's version, which count the targets dropped without a change in the
/// store.
const DROP_BITS: u32 = 8;

/// Returns the target table's version after the store's change at `revision`.
pub fn table_version(revision: u64) -> u64 {
    revision << DROP_BITS
}

/// Returns the store's revision in a version of the target table.
pub fn table_revision(version: u64) -> u64 {
    version >> DROP_BITS
}

/// The changed part of the target table.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct TargetTableUpdate {
    /// Keys of all targets.
    present: Vec<u32>,
    /// Entries that changed, with their store revisions.
    changed: Vec<(TargetEntry, u64)>,
}

/// Reply to an update call: what the calling instance has not read yet.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct UpdatesReply {
    versions: Versions,
    document: Option<Bytes>,
    maintenance: Option<MaintenanceState>,
    table: Option<TargetTableUpdate>,
}

/// Returns the updates for an instance that has read as far as `known`.
pub fn serve(context: &InstanceContext, known: &Versions) -> UpdatesReply {
    let state = context.state();
    let local = state.versions;
    let table = (known.table < local.table).then(|| TargetTableUpdate {
        present: state.targets.iter().map(|target| target.key).collect(),
        changed: state
            .targets
            .iter()
            .filter(|target| target.revision > table_revision(known.table) || known.table == 0)
            .map(|target| (target.entry.clone(), target.revision))
            .collect(),
    });
    UpdatesReply {
        versions: local,
        document: (known.config < local.config).then(|| state.document.clone()),
        maintenance: (known.maintenance < local.maintenance).then(|| state.maintenance.clone()),
        table,
    }
}

/// Applies the reply of an instance. Returns whether it could be applied.
fn apply(context: &Arc<InstanceContext>, reply: UpdatesReply, from: IpAddr) -> bool {
    context.tasks.step("update", &from, || apply_reply(context, reply, from)).is_some()
}

fn apply_reply(context: &InstanceContext, reply: UpdatesReply, from: IpAddr) {
    let now = context.now();
    if let Some(document) = &reply.document {
        store_watch::apply_configuration(context, document);
    }
    let mut state = context.state();
    if let Some(maintenance) = reply.maintenance
        && state.versions.maintenance < reply.versions.maintenance
    {
        set_maintenance(context, &mut state, maintenance, reply.versions.maintenance);
    }
    // The target table of an instance that watches the store itself is better than that of an
    // instance that is ahead for a moment, unless it was paused.
    let watches_targets = context.watches_store()
        && !context.store.is_lost()
        && !state.pause_guard.is_unconfirmed(now);
    if let Some(table) = reply.table
        && state.versions.table < reply.versions.table
        && !watches_targets
    {
        let (changed, present) = (table.changed.len(), table.present.len());
        for (entry, revision) in table.changed {
            state.targets.upsert(entry, revision, now);
        }
        let removed = state.targets.retain_keys(&table.present.into_iter().collect::<HashSet<_>>());
        state.versions.table = reply.versions.table;
        info!(context.log, "targets learned"; "changed" => changed, "gone" => removed,
            "present" => present, "version" => reply.versions.table, "from" => %from);
    }
    let versions = state.versions;
    state.freshness.on_versions(&versions);
    drop(state);
    context.state_changed.notify_one();
}

/// Puts a maintenance state in force.
pub fn set_maintenance(
    context: &InstanceContext,
    state: &mut State,
    maintenance: MaintenanceState,
    revision: u64,
) {
    if state.targets.evacuated() != &maintenance.evacuated {
        let list: Vec<_> = maintenance.evacuated.iter().map(ToString::to_string).collect();
        info!(context.log, "evacuated failure domains"; "domains" => list.join(","),
            "revision" => revision);
        state.targets.set_evacuated(maintenance.evacuated.clone(), context.now());
    }
    state.maintenance = maintenance;
    state.versions.maintenance = revision;
    context.set_retiring(&state.maintenance);
    version_rollout::set_orders(context, state);
}

/// Returns the addresses of the hubs, live ones if there are any, and those of the local failure
/// domain first.
pub fn hub_addresses(context: &InstanceContext, state: &State, now: Time) -> Vec<IpAddr> {
    let settings = &context.settings;
    let mut hubs = state.peers.hubs(now);
    if hubs.is_empty() {
        hubs = state.peers.known_hubs().to_vec();
    }
    hubs.retain(|hub| hub.name != settings.instance);
    hubs.sort_by_key(|hub| hub.domain != settings.domain);
    hubs.into_iter().map(|hub| hub.address).collect()
}

/// Fetches updates from instances that have read more, until the process ends.
pub async fn fetch_updates(context: Arc<InstanceContext>) {
    loop {
        let now = context.now();
        let unconfirmed = context.state().pause_guard.is_unconfirmed(now);
        if unconfirmed {
            confirm(&context, now).await;
        }
        let now = context.now();
        let (source, local) = {
            let state = context.state();
            let mut local = state.versions;
            if context.watches_store() && !context.store.is_lost() {
                local.table = u64::MAX;
            }
            let hubs = hub_addresses(&context, &state, now);
            (state.sources.choose(&local, &hubs, now), state.versions)
        };
        let Some(source) = source else {
            let update_available = context.update_available.notified();
            let _ = tokio::time::timeout(FETCH_CHECK_INTERVAL, update_available).await;
            continue;
        };
        match context.peer_client.call(source, UPDATES_PATH, &local, FETCH_TIMEOUT).await {
            Ok(reply) => {
                apply(&context, reply, source);
                if context.state().versions == local {
                    // Nothing in the reply could be applied, and another call would return the
                    // same.
                    let now = context.now();
                    context.state().sources.on_failure(source, now);
                }
            }
            Err(error) => {
                warn!(context.log, "news not fetched";
                    "from" => %source, "error" => format!("{error:?}"));
                let now = context.now();
                context.state().sources.on_failure(source, now);
            }
        }
    }
}

/// Has the state confirmed after a pause: by another instance, or by the store if none replies.
async fn confirm(context: &Arc<InstanceContext>, now: Time) {
    let (hubs, local) = {
        let state = context.state();
        (hub_addresses(context, &state, now), state.versions)
    };
    for hub in hubs.into_iter().take(CONFIRM_CALLS) {
        let reply = context.peer_client.call(hub, UPDATES_PATH, &local, CONFIRM_TIMEOUT).await;
        match reply.map(|reply| apply(context, reply, hub)) {
            Ok(true) => {
                context.state().pause_guard.on_confirmed(now);
                info!(context.log, "state confirmed"; "by" => %hub);
                return;
            }
            Ok(false) => {}
            Err(error) => {
                warn!(context.log, "state not confirmed"; "by" => %hub,
                    "error" => format!("{error:?}"));
            }
        }
    }
    let everything = Versions { config: u64::MAX, maintenance: u64::MAX, table: u64::MAX };
    if store_watch::read_current(context, &local, &everything).await {
        context.state().pause_guard.on_confirmed(now);
        info!(context.log, "state confirmed"; "by" => "store");
    }
}

/// Reads the store whenever an update that another instance has reported is overdue, until the
/// process ends.
pub async fn read_overdue_updates(context: Arc<InstanceContext>) {
    loop {
        tokio::time::sleep(OVERDUE_CHECK_INTERVAL).await;
        let now = context.now();
        let (overdue, local) = {
            let state = &mut *context.state();
            (state.sources.is_store_due(&state.versions, now), state.versions)
        };
        if !overdue {
            continue;
        }
        let newest = context.state().sources.highest(now);
        warn!(context.log, "news overdue"; "version" => local.table, "newest" => newest.table,
            "config" => local.config, "newest_config" => newest.config);
        store_watch::read_current(&context, &local, &newest).await;
    }
}
