//! Periodic work: expires old state, selects the hub that watches the store, and logs counters.

use std::collections::BTreeSet;
use std::collections::HashSet;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use sesamewall_fleet::HubStatus;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;
use sesamewall_tasks::StepFailures;
use slog::info;
use slog::warn;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::InstanceContext;
use crate::Metrics;
use crate::State;
use crate::admission;
use crate::domain_flow;
use crate::state_exchange::StateExchange;
use crate::state_exchange::stream_versions;

/// Interval between log lines with the counters.
const COUNTERS_INTERVAL: Duration = Duration::from_secs(15);

/// Interval between checks for missing instances and old counts.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Runs the periodic work until the process ends.
pub async fn run(exchange: Arc<StateExchange>) {
    let context = exchange.context.clone();
    let mut known = BTreeSet::new();
    let mut logged_at = context.now();
    let mut failures = StepFailures::default();
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        context.mark_running();
        let now = context.now();
        if now.since(logged_at) >= COUNTERS_INTERVAL {
            logged_at = now;
            context.tasks.step("counters", &"", || log_counters(&context, now));
        }
        let expire = || expire(&context, &mut known, now);
        context.tasks.essential_step("expiry", &mut failures, expire);
    }
}

/// Expires old state, and selects the hub that watches the store. `known` are the hubs that were
/// live the last time.
fn expire(context: &InstanceContext, known: &mut BTreeSet<InstanceName>, now: Time) {
    let mut guard = context.state();
    let state = &mut *guard;
    let keys: HashSet<u32> = state.targets.iter().map(|target| target.key).collect();
    state.peers.on_tick(|key| keys.contains(&key), now);
    state.crash_counts.on_tick(now);
    state.poison_parts.on_tick(now);
    state.sources.on_tick(now);
    state.stream_versions.on_tick(now);
    let retried = state.targets.retry_misdirected(now);
    let age = state.freshness.targets_age(now);
    state.version_history.on_table(&state.targets, age, now);
    if let Some(catalog) = &state.catalog {
        state.version_history.on_catalog(catalog, now);
    }
    let return_checks = admission::on_tick(context, state, now);
    // Only the hub that watches the store drops expired entries that did not come back; other
    // instances receive the change from it.
    let expired = match context.watches_store() {
        true => state.targets.on_tick(now),
        false => Vec::new(),
    };
    if !expired.is_empty() {
        // The store has no change for this, so only a higher version makes other instances
        // fetch it.
        state.versions.table += 1;
    }
    let hubs = state.peers.hubs(now);
    let present: BTreeSet<InstanceName> = hubs.iter().map(|hub| hub.name.clone()).collect();
    let helpers = helpers(context, state, &hubs, now);
    let watches = is_watcher(context, state, now);
    drop(guard);
    stream_versions::withdraw_doubtful(context);
    stream_versions::send_unsettled(context);
    domain_flow::update(context, now);
    admission::log_checks(context, &return_checks);
    context.set_watches_store(watches);
    context.store.relay().set_helpers(helpers);
    for name in present.difference(known) {
        info!(context.log, "hub heard"; "peer" => %name);
    }
    for name in known.difference(&present) {
        warn!(context.log, "hub silent"; "peer" => %name);
    }
    for name in retried {
        info!(context.log, "target is tried again after a response of another one"; "target" => %name);
    }
    for name in expired {
        warn!(context.log, "target did not come back after the outage"; "target" => %name);
    }
    *known = present;
    context.pool.sweep();
}

fn log_counters(context: &InstanceContext, now: Time) {
    let coverage = context.state().peers.coverage(now);
    info!(context.log, "counters";
        "hub" => context.state().peers.is_hub(), "front_part" => coverage.fronts,
        "fleet_part" => coverage.fleet,
        "store_calls" => Metrics::summary(&context.metrics.store_calls),
        "requests" => Metrics::summary(&context.metrics.requests),
        "refusals" => Metrics::summary(&context.metrics.refusals),
        "attempts" => Metrics::summary(&context.metrics.attempts),
        "items" => Metrics::summary(&context.metrics.items));
}

/// Returns whether the local hub watches the store for its failure domain: the one with the lowest
/// name among the hubs of the domain that the store serves.
fn is_watcher(context: &InstanceContext, state: &State, now: Time) -> bool {
    let settings = &context.settings;
    let is_eligible =
        |hub: &&HubStatus| hub.domain == settings.domain && hub.store_reachable && !hub.draining;
    let eligible: Vec<&HubStatus> =
        state.peers.live_hubs(now).map(|contact| &contact.beacon.hub).filter(is_eligible).collect();
    let first = match context.store.is_lost() {
        true => eligible.is_empty(),
        false => eligible.iter().all(|hub| hub.name > settings.instance),
    };
    state.peers.is_hub() && first && !context.is_draining()
}

/// Returns the reachable instances that the store serves and that can relay calls to it: the
/// assigned hub first, then those of the local failure domain.
fn helpers(context: &InstanceContext, state: &State, hubs: &[HubStatus], now: Time) -> Vec<IpAddr> {
    let direct: Vec<&InstanceName> =
        state.peers.direct_hubs(now).map(|contact| &contact.beacon.hub.name).collect();
    let assigned_hub = state.peers.assigned_hub(now).map(|(digest, _)| &digest.hub.name);
    let reachable = |hub: &&HubStatus| !state.peers.is_hub() || direct.contains(&&hub.name);
    let mut ranked: Vec<_> = hubs
        .iter()
        .filter(|hub| hub.store_reachable && !hub.draining && hub.name != context.settings.instance)
        .filter(reachable)
        .map(|hub| {
            let remote = hub.domain != context.settings.domain;
            let tie_break = xxh3_64_with_seed(hub.name.as_str().as_bytes(), context.boot_id);
            (Some(&hub.name) != assigned_hub, remote, tie_break, hub.address)
        })
        .collect();
    ranked.sort();
    ranked.into_iter().map(|(_, _, _, address)| address).collect()
}
