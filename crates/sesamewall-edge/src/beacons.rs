//! Sends and receives beacons, and knows where the other instances are.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use sesamewall_fleet::Beacon;
use sesamewall_fleet::target_key;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;
use slog::info;
use slog::warn;
use tokio::net::UdpSocket;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Metrics;
use crate::Node;
use crate::State;

/// Longest time between two beacons.
const QUIET_INTERVAL: Duration = Duration::from_millis(200);

/// Shortest time between two beacons: changes within it go out together.
const BUSY_INTERVAL: Duration = Duration::from_millis(8);

/// Largest datagram that is read.
const DATAGRAM_BYTES: usize = 64 << 10;

/// Time between two lines with the counters.
const REPORT_INTERVAL: Duration = Duration::from_secs(15);

/// Time between two looks at silent instances and old counts.
const TICK: Duration = Duration::from_millis(500);

/// Addresses of other instances.
#[derive(Default)]
pub struct Directory {
    known: Mutex<BTreeMap<InstanceName, IpAddr>>,
    seeds: Mutex<BTreeSet<IpAddr>>,
}

impl Directory {
    /// Adds an instance.
    pub fn insert(&self, name: InstanceName, address: IpAddr) {
        self.known.lock().unwrap_or_else(PoisonError::into_inner).insert(name, address);
    }

    /// Returns the address of an instance.
    pub fn address(&self, name: &InstanceName) -> Option<IpAddr> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner).get(name).copied()
    }

    /// Keeps only the listed instances.
    pub fn retain(&self, keep: impl Fn(&InstanceName) -> bool) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.retain(|name, _| keep(name));
    }

    /// Adds addresses at which instances may be.
    pub fn add_seeds(&self, seeds: &[IpAddr]) {
        self.seeds.lock().unwrap_or_else(PoisonError::into_inner).extend(seeds);
    }

    /// Returns all addresses, without `own`.
    pub fn addresses(&self, own: IpAddr) -> BTreeSet<IpAddr> {
        let mut all = self.seeds.lock().unwrap_or_else(PoisonError::into_inner).clone();
        all.extend(self.known.lock().unwrap_or_else(PoisonError::into_inner).values());
        all.remove(&own);
        all
    }

    /// Returns the names of the known instances.
    pub fn names(&self) -> BTreeSet<InstanceName> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner).keys().cloned().collect()
    }
}

fn beacon(node: &Node, sequence: u64) -> Beacon {
    let state = node.state();
    Beacon {
        instance: node.machine.instance.clone(),
        address: node.machine.ip,
        domain: node.machine.domain.clone(),
        boot: node.boot,
        sequence,
        front: node.machine.callers.is_some(),
        worker: node.machine.worker,
        draining: node.is_draining(),
        store: !node.store.is_lost(),
        heard: state.peers.direct_keys(node.now()),
        config: state.catalog.as_ref().map_or(0, |catalog| catalog.version),
        notices: state.notices,
        targets: state.peers.own_counts(),
        accounts: state.rates.report(),
        jobs: state.jobs.clone(),
        backlog: state.backlog,
        suspects: state.suspects.report(),
    }
}

async fn send(node: Arc<Node>, directory: Arc<Directory>, socket: Arc<UdpSocket>) {
    let mut sequence = 0;
    loop {
        tokio::select! {
            () = node.changed.notified() => {}
            () = tokio::time::sleep(QUIET_INTERVAL) => {}
        }
        sequence += 1;
        let datagram = beacon(&node, sequence).encode();
        for address in directory.addresses(node.machine.ip) {
            let to = SocketAddr::new(address, node.machine.peer_port);
            // A datagram that cannot be sent is like one that is lost: the next one says the same.
            let _ = socket.try_send_to(&datagram, to);
        }
        tokio::time::sleep(BUSY_INTERVAL).await;
    }
}

async fn receive(node: Arc<Node>, directory: Arc<Directory>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // A report that an earlier datagram had no receiver.
            tokio::time::sleep(Duration::from_millis(1)).await;
            continue;
        };
        let Some(beacon) = Beacon::decode(&buffer[..length]) else { continue };
        if beacon.instance == node.machine.instance {
            continue;
        }
        // A beacon that another instance passed on comes from that one's address.
        let direct = beacon.address == from.ip();
        directory.insert(beacon.instance.clone(), beacon.address);
        let sender = beacon.instance.clone();
        on_beacon(&node, beacon, direct);
        if direct {
            let own = &node.machine.instance;
            let to = node.state().peers.pass_on_to(own, &sender, node.now());
            for address in to.iter().filter_map(|name| directory.address(name)) {
                let to = SocketAddr::new(address, node.machine.peer_port);
                // As for the own beacons: a lost one is followed by the next.
                let _ = socket.try_send_to(&buffer[..length], to);
            }
        }
    }
}

fn on_beacon(node: &Node, beacon: Beacon, direct: bool) {
    node.metrics.beacons.inc();
    let now = node.now();
    let mut state = node.state();
    let part = state.front_part(now);
    let (version, notices) = state.named;
    state.named = (version.max(beacon.config), notices.max(beacon.notices));
    let behind = state.is_behind();
    let instance = beacon.instance.clone();
    let (boot, accounts) = (beacon.boot, beacon.accounts.clone());
    let suspects = beacon.suspects.clone();
    let new_start = state.peers.boot(&instance) != Some(boot);
    if !state.peers.on_beacon(beacon, direct, now) {
        return;
    }
    state.rates.on_report(&instance, boot, &accounts, part, now);
    state.suspects.on_report(&instance, &suspects);
    if state.peers.all_heard(now) {
        state.rates.stop_waiting(now);
    }
    drop(state);
    node.heard.notify_one();
    if new_start {
        // It waits for what the others know.
        node.changed.notify_one();
    }
    if behind {
        node.behind.notify_waiters();
    }
}

async fn tick(node: Arc<Node>, directory: Arc<Directory>) {
    let mut heard = BTreeSet::new();
    let mut reported = node.now();
    loop {
        tokio::time::sleep(TICK).await;
        let now = node.now();
        if now.since(reported) >= REPORT_INTERVAL {
            reported = now;
            info!(node.log, "counters";
                "store_calls" => Metrics::summary(&node.metrics.store_calls),
                "requests" => Metrics::summary(&node.metrics.requests),
                "refusals" => Metrics::summary(&node.metrics.refusals),
                "attempts" => Metrics::summary(&node.metrics.attempts),
                "items" => Metrics::summary(&node.metrics.items));
        }
        let mut state = node.state();
        state.peers.set_registered(directory.names());
        state.peers.on_tick(now);
        state.suspects.on_tick(now);
        let gone = state.targets.on_tick(now);
        let keys: BTreeSet<u32> =
            state.targets.iter().map(|target| target_key(&target.entry.name)).collect();
        state.peers.retain_own(|key| keys.contains(&key));
        let present: BTreeSet<_> =
            state.peers.contacts(now).map(|contact| contact.beacon.instance.clone()).collect();
        let helpers = helpers(&state, &node, now);
        drop(state);
        node.store.relay().set_helpers(helpers);
        for name in present.difference(&heard) {
            info!(node.log, "instance heard"; "peer" => %name);
        }
        for name in heard.difference(&present) {
            warn!(node.log, "instance silent"; "peer" => %name);
        }
        for name in gone {
            warn!(node.log, "target did not come back after the outage"; "target" => %name);
        }
        heard = present;
        node.pool.sweep();
    }
}

/// Returns the instances that the store serves: those of the own failure domain first.
fn helpers(state: &State, node: &Node, now: Time) -> Vec<IpAddr> {
    let direct = state.peers.direct_contacts(now);
    let mut ranked: Vec<_> = direct
        .filter(|contact| contact.beacon.store)
        .map(|contact| {
            let far = contact.beacon.domain != node.machine.domain;
            (far, target_draw(node, &contact.beacon.instance), contact.beacon.address)
        })
        .collect();
    ranked.sort();
    ranked.into_iter().map(|(_, _, address)| address).collect()
}

/// Spreads the instances that need help over those that can give it.
fn target_draw(node: &Node, helper: &InstanceName) -> u64 {
    xxh3_64_with_seed(helper.as_str().as_bytes(), node.boot)
}

/// Starts sending and receiving.
pub fn spawn(node: &Arc<Node>, directory: &Arc<Directory>, socket: UdpSocket) {
    let socket = Arc::new(socket);
    tokio::spawn(send(node.clone(), directory.clone(), socket.clone()));
    tokio::spawn(receive(node.clone(), directory.clone(), socket));
    tokio::spawn(tick(node.clone(), directory.clone()));
}
