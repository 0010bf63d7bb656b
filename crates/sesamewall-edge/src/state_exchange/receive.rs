//! Receives datagrams of other instances and applies them to the state.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sesamewall_fleet::Beacon;
use sesamewall_fleet::Datagram;
use sesamewall_fleet::Digest;
use sesamewall_fleet::HubStatus;
use sesamewall_fleet::Report;
use sesamewall_fleet::RolloutProgress;
use sesamewall_protocol::Time;

use crate::InstanceContext;
use crate::State;
use crate::state_exchange::StateExchange;
use crate::state_exchange::confirm;
use crate::state_exchange::stream_versions;
use crate::version_rollout;

/// Largest datagram that is read, in bytes.
const DATAGRAM_BYTES: usize = 64 << 10;

/// Receives until the process ends. A datagram that cannot be applied is lost, which the next one of
/// its sender makes good.
pub async fn run(exchange: Arc<StateExchange>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = exchange.socket.recv_from(&mut buffer).await else {
            // The socket reports that an earlier datagram had no receiver.
            tokio::time::sleep(Duration::from_millis(1)).await;
            continue;
        };
        let bytes = &buffer[..length];
        exchange.context.tasks.step("datagram", &from, || on_bytes(&exchange, from, bytes));
    }
}

fn on_bytes(exchange: &StateExchange, from: SocketAddr, bytes: &[u8]) {
    let Some(datagram) = Datagram::decode(bytes) else { return };
    exchange.context.metrics.datagrams.inc();
    match datagram {
        Datagram::Hello(address) => send_hubs(exchange, address),
        Datagram::Hubs(hubs) => {
            exchange.context.state().peers.on_hubs(&hubs);
            exchange.context.state_changed.notify_one();
        }
        Datagram::Beacon(beacon) => on_beacon(exchange, *beacon, from.ip(), bytes),
        Datagram::Report(report) => on_report(exchange, *report),
        Datagram::Digest(digest) => on_digest(exchange, *digest),
        Datagram::Confirmation(confirmation) => {
            confirm::on_confirmation(exchange, confirmation);
        }
        Datagram::FrontList(list) => {
            let now = exchange.context.now();
            exchange.context.state().peers.on_front_list(&list, now);
        }
        Datagram::StreamRecord(record) => stream_versions::on_record(exchange, record),
        Datagram::VersionQuery(query) => {
            stream_versions::on_query(exchange, query, from.ip());
        }
        Datagram::VersionAnswer(answer) => {
            stream_versions::on_answer(exchange, answer, from.ip());
        }
    }
}

/// Sends the list of hubs to an instance that needs a hub.
fn send_hubs(exchange: &StateExchange, to: IpAddr) {
    let context = &exchange.context;
    let now = context.now();
    let mut hubs: Vec<HubStatus> = context.state().peers.hubs(now);
    if context.state().peers.is_hub() {
        hubs.push(HubStatus {
            name: context.settings.instance.clone(),
            address: context.settings.ip,
            domain: context.settings.domain.clone(),
            store_reachable: !context.store.is_lost(),
            draining: context.is_draining(),
        });
    }
    if !hubs.is_empty() {
        let datagram = Datagram::Hubs(hubs).encode();
        let to = SocketAddr::new(to, context.settings.peer_port);
        // If the reply is lost, the instance sends its request again.
        let _ = exchange.socket.try_send_to(&datagram, to);
    }
}

/// Applies the progress of rollouts in a beacon or digest.
fn on_progress(
    context: &InstanceContext,
    state: &mut State,
    progress: &[RolloutProgress],
    now: Time,
) {
    let changed = state.rollouts.on_progress(progress, now);
    if !changed.is_empty() {
        version_rollout::log_phases(context, state, &changed, "peer");
        context.state_changed.notify_one();
    }
}

fn on_beacon(exchange: &StateExchange, beacon: Beacon, from: IpAddr, bytes: &[u8]) {
    let context = &exchange.context;
    let name = beacon.hub.name.clone();
    if name == context.settings.instance {
        return;
    }
    // A forwarded beacon comes from the address of the hub that forwarded it.
    let direct = beacon.hub.address == from;
    let now = context.now();
    let mut guard = context.state();
    let state = &mut *guard;
    if !state.peers.is_hub() {
        // This instance is not a hub, but the sender once knew its hub record.
        state.peers.on_hubs(std::slice::from_ref(&beacon.hub));
        return;
    }
    let coverage = state.front_coverage(now);
    let new_start = state.peers.boot_id(&name) != Some(beacon.boot_id);
    let (boot_id, versions) = (beacon.boot_id, beacon.versions);
    let same_domain = beacon.hub.domain == context.settings.domain;
    let address = beacon.hub.address;
    let (accounts, crash_counts) = (beacon.accounts.clone(), beacon.crash_counts.clone());
    let part_evidence = beacon.part_evidence.clone();
    state.targets.on_peers_unreachable(&beacon.unreachable, now);
    let progress = beacon.rollouts.progress.clone();
    if state.peers.on_beacon(beacon, direct, now) {
        state.rollouts.on_hub_contact(now);
        on_progress(context, state, &progress, now);
        state.rates.on_hub_beacon(&name, boot_id, &accounts, coverage, now);
        state.crash_counts.on_peer_counts(&name, &crash_counts);
        state.poison_parts.on_peer_evidence(&name, &part_evidence, now);
        if direct {
            state.sources.on_versions(address, versions, same_domain, now);
        }
        if state.peers.coverage(now).complete {
            state.rates.assume_levels(now);
        }
    }
    let behind = state.versions.is_behind(&versions);
    let forward_addresses: Vec<IpAddr> = match direct {
        true => {
            let to = state.peers.forward_to(&name, now);
            let hubs = state.peers.live_hubs(now).map(|contact| &contact.beacon.hub);
            hubs.filter(|hub| to.contains(&hub.name)).map(|hub| hub.address).collect()
        }
        false => Vec::new(),
    };
    drop(guard);
    for address in forward_addresses {
        let to = SocketAddr::new(address, context.settings.peer_port);
        // As with local beacons, the next one replaces a lost one.
        let _ = exchange.socket.try_send_to(bytes, to);
    }
    context.peers_changed.notify_one();
    if new_start {
        // A newly started hub waits for the state of its peers.
        context.state_changed.notify_one();
    }
    if behind {
        context.update_available.notify_waiters();
    }
}

fn on_report(exchange: &StateExchange, report: Report) {
    let context = &exchange.context;
    let now = context.now();
    let mut guard = context.state();
    let state = &mut *guard;
    let name = report.instance.clone();
    if report.leaving {
        state.peers.on_hub_departed(&name, now);
        state.peers.on_report(report, now);
        state.rates.drop_member(&name);
        return;
    }
    if !state.peers.is_hub() {
        let address = report.address;
        drop(guard);
        send_hubs(exchange, address);
        return;
    }
    let boot_id = report.boot_id;
    let (accounts, crash_counts) = (report.accounts.clone(), report.crash_counts.clone());
    let part_evidence = report.part_evidence.clone();
    state.targets.on_peers_unreachable(&report.unreachable, now);
    if state.peers.on_report(report, now) {
        state.rates.on_member_report(&name, boot_id, &accounts, now);
        state.crash_counts.on_peer_counts(&name, &crash_counts);
        state.poison_parts.on_peer_evidence(&name, &part_evidence, now);
    }
    drop(guard);
    context.state_changed.notify_one();
    context.peers_changed.notify_one();
}

fn on_digest(exchange: &StateExchange, digest: Digest) {
    let context: &InstanceContext = &exchange.context;
    let now = context.now();
    let mut guard = context.state();
    let state = &mut *guard;
    let (hub, versions) = (digest.hub.clone(), digest.versions);
    let local_key = sesamewall_fleet::instance_key(&context.settings.instance);
    let Some(acked) =
        digest.acked.iter().find(|(key, _)| *key == local_key).map(|(_, acked)| *acked)
    else {
        return;
    };
    if exchange.member.hub_selector().assigned_hub() != Some(&hub.name) {
        return;
    }
    exchange.member.hub_selector().on_digest(&hub.name, now);
    let (levels_known, low, crash_counts) =
        (digest.levels_known, digest.low_accounts.clone(), digest.crash_counts.clone());
    let unreachable = digest.unreachable.clone();
    let part_evidence = digest.part_evidence.clone();
    let progress = digest.rollouts.progress.clone();
    if !state.peers.on_digest(digest, now) {
        return;
    }
    state.rollouts.on_hub_contact(now);
    on_progress(context, state, &progress, now);
    state.targets.on_peers_unreachable(&unreachable, now);
    let coverage = state.front_coverage(now);
    state.rates.on_digest(acked, levels_known, &low, coverage, now);
    state.crash_counts.on_totals(&crash_counts);
    state.poison_parts.on_totals(&part_evidence, now);
    let same_domain = hub.domain == context.settings.domain;
    state.sources.on_versions(hub.address, versions, same_domain, now);
    let behind = state.versions.is_behind(&versions);
    drop(guard);
    context.peers_changed.notify_one();
    if behind {
        context.update_available.notify_waiters();
    }
}
