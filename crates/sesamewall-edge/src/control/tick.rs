//! Looks now and then at who is silent, and at what the instance has to do for others.

use std::collections::BTreeSet;
use std::collections::HashSet;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use sesamewall_fleet::HubStatus;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;
use slog::info;
use slog::warn;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Metrics;
use crate::Node;
use crate::State;
use crate::control::Control;

/// Time between two lines with the counters.
const REPORT_INTERVAL: Duration = Duration::from_secs(15);

/// Time between two looks at silent instances and old counts.
const TICK: Duration = Duration::from_millis(250);

/// Looks until the process ends.
pub async fn run(control: Arc<Control>) {
    let node = control.node.clone();
    let mut heard = BTreeSet::new();
    let mut reported = node.now();
    loop {
        tokio::time::sleep(TICK).await;
        let now = node.now();
        if now.since(reported) >= REPORT_INTERVAL {
            reported = now;
            report(&node, now);
        }
        let mut guard = node.state();
        let state = &mut *guard;
        let keys: HashSet<u32> = state.targets.iter().map(|target| target.key).collect();
        state.peers.on_tick(|key| keys.contains(&key), now);
        state.suspects.on_tick(now);
        state.sources.on_tick(now);
        // Others learn from who follows the store which lapsed entries did not come back.
        let gone = match node.watches() {
            true => state.targets.on_tick(now),
            false => Vec::new(),
        };
        if !gone.is_empty() {
            // Others learn of it although the store has no change.
            state.versions.table += 1;
        }
        let hubs = state.peers.hubs(now);
        let present: BTreeSet<InstanceName> = hubs.iter().map(|hub| hub.name.clone()).collect();
        let helpers = helpers(&node, state, &hubs, now);
        let watches = is_watcher(&node, state, now);
        drop(guard);
        node.set_watches(watches);
        node.store.relay().set_helpers(helpers);
        for name in present.difference(&heard) {
            info!(node.log, "hub heard"; "peer" => %name);
        }
        for name in heard.difference(&present) {
            warn!(node.log, "hub silent"; "peer" => %name);
        }
        for name in gone {
            warn!(node.log, "target did not come back after the outage"; "target" => %name);
        }
        heard = present;
        node.pool.sweep();
    }
}

fn report(node: &Node, now: Time) {
    let parts = node.state().peers.coverage(now);
    info!(node.log, "counters";
        "hub" => node.state().peers.is_hub(), "front_part" => parts.fronts,
        "fleet_part" => parts.fleet,
        "store_calls" => Metrics::summary(&node.metrics.store_calls),
        "requests" => Metrics::summary(&node.metrics.requests),
        "refusals" => Metrics::summary(&node.metrics.refusals),
        "attempts" => Metrics::summary(&node.metrics.attempts),
        "items" => Metrics::summary(&node.metrics.items));
}

/// Tells whether the own hub follows the store for its failure domain: the one with the lowest name
/// among those that the store serves.
fn is_watcher(node: &Node, state: &State, now: Time) -> bool {
    let own = &node.settings;
    let able = |hub: &&HubStatus| hub.domain == own.domain && hub.store_reachable && !hub.draining;
    let near: Vec<&HubStatus> =
        state.peers.live_hubs(now).map(|contact| &contact.beacon.hub).filter(able).collect();
    let first = match node.store.is_lost() {
        true => near.is_empty(),
        false => near.iter().all(|hub| hub.name > own.instance),
    };
    state.peers.is_hub() && first && !node.is_draining()
}

/// Returns the instances that the store serves and that can be reached: the home first, then those of
/// the own failure domain.
fn helpers(node: &Node, state: &State, hubs: &[HubStatus], now: Time) -> Vec<IpAddr> {
    let direct: Vec<&InstanceName> =
        state.peers.direct_hubs(now).map(|contact| &contact.beacon.hub.name).collect();
    let home = state.peers.assigned_hub(now).map(|(digest, _)| &digest.hub.name);
    let reachable = |hub: &&HubStatus| !state.peers.is_hub() || direct.contains(&&hub.name);
    let mut ranked: Vec<_> = hubs
        .iter()
        .filter(|hub| hub.store_reachable && !hub.draining && hub.name != node.settings.instance)
        .filter(reachable)
        .map(|hub| {
            let far = hub.domain != node.settings.domain;
            let draw = xxh3_64_with_seed(hub.name.as_str().as_bytes(), node.boot);
            (Some(&hub.name) != home, far, draw, hub.address)
        })
        .collect();
    ranked.sort();
    ranked.into_iter().map(|(_, _, _, address)| address).collect()
}
