//! Sends beacons, digests and reports.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sesamewall_fleet::Beacon;
use sesamewall_fleet::Datagram;
use sesamewall_fleet::Digest;
use sesamewall_fleet::HubSelector;
use sesamewall_fleet::HubSelectorSettings;
use sesamewall_fleet::HubStatus;
use sesamewall_fleet::NewsTimer;
use sesamewall_fleet::Report;
use sesamewall_fleet::RolloutNews;
use sesamewall_fleet::WorkerStatus;
use sesamewall_protocol::Time;
use sesamewall_tasks::StepFailures;
use slog::info;

use crate::InstanceContext;
use crate::State;
use crate::state_exchange::StateExchange;

/// Longest time between two beacons or reports.
const MAX_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time between two digests, and between two checks of the hub selection.
const MAX_DIGEST_INTERVAL: Duration = Duration::from_millis(100);

/// Multiple of the interval at which hubs of other failure domains get a beacon: little of the
/// state that they need changes that fast, and traffic between domains is billed.
const REMOTE_FACTOR: u32 = 2;

/// Time between two digests with lists of workers and hubs.
const LIST_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between hellos while no hub is known.
const HELLO_INTERVAL: Duration = Duration::from_millis(150);

/// Hub selector and sequence number of a member that sends reports.
pub struct MemberState {
    hub_selector: Mutex<HubSelector>,
    sequence: AtomicU64,
}

impl MemberState {
    /// Creates the state of a newly started process.
    pub fn new(context: &InstanceContext) -> Self {
        let (local, domain) = (context.settings.instance.clone(), context.settings.domain.clone());
        let hub_selector = HubSelector::new(HubSelectorSettings::default(), local, domain);
        Self { hub_selector: Mutex::new(hub_selector), sequence: AtomicU64::new(0) }
    }

    /// Locks the hub selector.
    pub fn hub_selector(&self) -> MutexGuard<'_, HubSelector> {
        self.hub_selector.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed) + 1
    }
}

/// Times of the last datagrams of each kind.
#[derive(Default)]
struct SendTimes {
    local_beacon: Time,
    remote_beacon: Time,
    digest: Time,
    lists: Time,
    report: Time,
    hello: Time,
    /// Whether a change has not been sent to the hubs of other failure domains yet.
    remote_pending: bool,
    /// Counter that selects the failure domain whose loads the next digest lists.
    domain_turn: usize,
    sequence: u64,
    /// Number of fronts in the last list that the members got.
    listed_fronts: usize,
    local_news: NewsTimer,
    remote_news: NewsTimer,
    digest_news: NewsTimer,
    report_news: NewsTimer,
}

/// Sends until the process ends.
pub async fn run(exchange: Arc<StateExchange>) {
    let mut times = SendTimes::default();
    let mut failures = StepFailures::default();
    let context = exchange.context.clone();
    loop {
        let changed = tokio::select! {
            () = context.state_changed.notified() => true,
            () = tokio::time::sleep(next_timeout(&context, &times)) => false,
        };
        let hub = context.state().peers.is_hub();
        match hub {
            true => {
                wait_until(&context, times.local_beacon + interval(&context)).await;
                let send = || send_as_hub(&exchange, &mut times, changed);
                context.tasks.essential_step("send as hub", &mut failures, send);
            }
            false => {
                let delay = context.state().peers.report_interval();
                wait_until(&context, times.report + delay).await;
                let send = || send_as_member(&exchange, &mut times, changed);
                context.tasks.essential_step("send as member", &mut failures, send);
            }
        }
    }
}

fn next_timeout(context: &InstanceContext, times: &SendTimes) -> Duration {
    let remote_due = times.remote_beacon + interval(context) * REMOTE_FACTOR;
    match times.remote_pending {
        true => {
            remote_due.since(context.now()).max(Duration::from_millis(1)).min(MAX_DIGEST_INTERVAL)
        }
        false => MAX_DIGEST_INTERVAL,
    }
}

async fn wait_until(context: &InstanceContext, until: Time) {
    let remaining = until.since(context.now());
    if !remaining.is_zero() {
        tokio::time::sleep(remaining).await;
    }
}

fn interval(context: &InstanceContext) -> Duration {
    let now = context.now();
    context.state().peers.interval(now)
}

fn hub_status(context: &InstanceContext) -> HubStatus {
    HubStatus {
        name: context.settings.instance.clone(),
        address: context.settings.ip,
        domain: context.settings.domain.clone(),
        store_reachable: !context.store.is_lost(),
        draining: context.is_draining(),
    }
}

fn send_datagram(exchange: &StateExchange, datagram: &[u8], to: IpAddr) {
    let to = SocketAddr::new(to, exchange.context.settings.peer_port);
    // A datagram that cannot be sent counts as lost: the next one carries the same state.
    let _ = exchange.socket.try_send_to(datagram, to);
}

fn send_as_hub(exchange: &StateExchange, times: &mut SendTimes, changed: bool) {
    let context = &exchange.context;
    let now = context.now();
    times.remote_pending |= changed;
    let local_due = changed || now.since(times.local_beacon) >= MAX_INTERVAL;
    let remote_due = match times.remote_pending {
        true => now.since(times.remote_beacon) >= interval(context) * REMOTE_FACTOR,
        false => now.since(times.remote_beacon) >= MAX_INTERVAL,
    };
    if local_due || remote_due {
        times.sequence += 1;
        let (beacon, hubs) = {
            let state = context.state();
            let mut beacon = build_beacon(context, &state, times.sequence, now);
            let rollouts = &state.rollouts;
            let local_news = local_due && rollouts.take_due(&mut times.local_news, now);
            let remote_news = remote_due && rollouts.take_due(&mut times.remote_news, now);
            if local_news || remote_news {
                let outcomes = state.peers.group_outcomes(&rollouts.local_outcomes(), now);
                beacon.rollouts = RolloutNews { outcomes, progress: rollouts.progress(now) };
            }
            (beacon, peer_hubs(context, &state, now))
        };
        let datagram = Datagram::Beacon(Box::new(beacon)).encode();
        let is_due = |same_domain: bool| if same_domain { local_due } else { remote_due };
        for (_, address) in hubs.iter().filter(|(same_domain, _)| is_due(*same_domain)) {
            send_datagram(exchange, &datagram, *address);
        }
    }
    if local_due {
        times.local_beacon = now;
    }
    if remote_due {
        times.remote_beacon = now;
        times.remote_pending = false;
    }
    if changed || now.since(times.digest) >= MAX_DIGEST_INTERVAL {
        times.digest = now;
        send_digests(exchange, times, now);
    }
}

/// Returns the hubs that get beacons, each with whether it is in the local failure domain: the live
/// hubs, and known hubs that are not live and may just have started.
fn peer_hubs(context: &InstanceContext, state: &State, now: Time) -> Vec<(bool, IpAddr)> {
    let settings = &context.settings;
    let live = state.peers.live_hubs(now).map(|contact| &contact.beacon.hub);
    let known = state.peers.known_hubs().iter();
    let mut all: Vec<(IpAddr, bool)> = live
        .chain(known)
        .map(|hub| (hub.address, hub.domain == settings.domain))
        .filter(|(address, _)| *address != settings.ip)
        .collect();
    all.sort();
    all.dedup();
    all.into_iter().map(|(address, same_domain)| (same_domain, address)).collect()
}

fn build_beacon(context: &InstanceContext, state: &State, sequence: u64, now: Time) -> Beacon {
    let group = state.peers.group_state(now);
    let names = state.peers.member_names();
    let local_worker = context.worker_status(state);
    Beacon {
        hub: hub_status(context),
        boot_id: context.boot_id,
        sequence,
        direct_hubs: group.direct_hubs,
        versions: state.versions,
        members: group.members,
        missing: group.missing,
        departed: group.departed,
        targets: group.targets,
        accounts: state.rates.group_usage(sequence, now),
        workers: group.workers.into_iter().chain(local_worker).collect(),
        crash_counts: state.crash_counts.group_counts(&names),
        unreachable: state.peers.group_unreachable(state.targets.unreachable(now)),
        part_evidence: state.poison_parts.group_evidence(&names),
        limits: state.peers.limits().group_limits(now),
        rollouts: RolloutNews::default(),
    }
}

fn send_digests(exchange: &StateExchange, times: &mut SendTimes, now: Time) {
    let context = &exchange.context;
    let members = context.state().peers.member_addresses();
    if members.is_empty() {
        return;
    }
    times.sequence += 1;
    let lists = now.since(times.lists) >= LIST_INTERVAL;
    if lists {
        times.lists = now;
    }
    let fronts = context.state().peers.front_list();
    if lists || fronts.fronts.len() != times.listed_fronts {
        // Members that have just started need the list for their first requests.
        times.listed_fronts = fronts.fronts.len();
        let datagram = Datagram::FrontList(fronts).encode();
        members.iter().for_each(|(address, _)| send_datagram(exchange, &datagram, *address));
    }
    let digest = build_digest(context, times, lists, now);
    let any_worker = members.iter().any(|(_, worker)| *worker);
    let for_workers = any_worker.then(|| {
        let workers = Some(all_workers(context, now));
        Datagram::Digest(Box::new(Digest { workers, ..digest.clone() })).encode()
    });
    let plain = Datagram::Digest(Box::new(digest)).encode();
    for (address, worker) in members {
        match (&for_workers, worker) {
            (Some(datagram), true) => send_datagram(exchange, datagram, address),
            _ => send_datagram(exchange, &plain, address),
        }
    }
}

fn all_workers(context: &InstanceContext, now: Time) -> Vec<WorkerStatus> {
    let state = context.state();
    let peers = state.peers.workers(now).into_iter().cloned();
    peers.chain(context.worker_status(&state)).collect()
}

fn build_digest(
    context: &InstanceContext,
    times: &mut SendTimes,
    lists: bool,
    now: Time,
) -> Digest {
    let workers = lists.then(|| {
        let mut workers = all_workers(context, now);
        // Only workers need the batch requests of other workers by target.
        workers.iter_mut().for_each(|worker| worker.batch.clear());
        workers
    });
    let mut state = context.state();
    let state = &mut *state;
    let mut domains: Vec<u32> = state.targets.iter().map(|target| target.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    times.domain_turn += 1;
    let listed_domain = domains.get(times.domain_turn % domains.len().max(1)).copied();
    let progress = match state.rollouts.take_due(&mut times.digest_news, now) {
        true => state.rollouts.progress(now),
        false => Vec::new(),
    };
    let coverage = state.peers.coverage(now);
    let (levels_known, low) = state.rates.low_accounts(coverage.fronts, now);
    let hubs = lists.then(|| {
        let mut hubs = state.peers.hubs(now);
        hubs.push(hub_status(context));
        hubs
    });
    Digest {
        hub: hub_status(context),
        boot_id: context.boot_id,
        sequence: times.sequence,
        acked: state.peers.acked(),
        versions: state.versions,
        loads: state.peers.loads(&state.targets, listed_domain, now),
        online: state.peers.online_total(),
        front_coverage: coverage.fronts as f32,
        fleet_coverage: coverage.fleet as f32,
        fronts: coverage.front_count,
        complete: coverage.complete,
        levels_known,
        low_accounts: low,
        crash_counts: state.crash_counts.totals(),
        unreachable: state.peers.all_unreachable(state.targets.unreachable(now), now),
        workers,
        hubs,
        part_evidence: state.poison_parts.total_evidence(),
        limits: state.peers.limits().fleet_limits(now),
        rollouts: RolloutNews { outcomes: Vec::new(), progress },
    }
}

fn send_as_member(exchange: &StateExchange, times: &mut SendTimes, changed: bool) {
    let context = &exchange.context;
    let now = context.now();
    let hubs = context.state().peers.hubs(now);
    let choice = exchange.member.hub_selector().choose(&hubs, now);
    let Some((assigned_hub, moved)) = choice else {
        send_hello(exchange, times, now);
        return;
    };
    if moved {
        info!(context.log, "home chosen"; "hub" => %assigned_hub, "hubs" => hubs.len());
    }
    if moved || changed || now.since(times.report) >= MAX_INTERVAL {
        times.report = now;
        let address = hubs.iter().find(|hub| hub.name == assigned_hub).map(|hub| hub.address);
        if let Some(address) = address {
            let mut report = build_report(exchange, false, now);
            if moved {
                // The new hub has no outcomes of this instance.
                times.report_news = NewsTimer::default();
            }
            let state = context.state();
            if state.rollouts.take_due(&mut times.report_news, now) {
                // Hubs learn of progress from the store and from each other.
                report.rollouts.outcomes = state.rollouts.local_outcomes();
            }
            drop(state);
            send_datagram(exchange, &Datagram::Report(Box::new(report)).encode(), address);
        }
    }
}

fn send_hello(exchange: &StateExchange, times: &mut SendTimes, now: Time) {
    if now.since(times.hello) < HELLO_INTERVAL {
        return;
    }
    times.hello = now;
    let context = &exchange.context;
    let datagram = Datagram::Hello(context.settings.ip).encode();
    for address in context.settings.seeds.iter().filter(|seed| **seed != context.settings.ip) {
        send_datagram(exchange, &datagram, *address);
    }
}

fn build_report(exchange: &StateExchange, leaving: bool, now: Time) -> Report {
    let context = &exchange.context;
    let sequence = exchange.member.next_sequence();
    let mut state = context.state();
    let worker = context.worker_status(&state);
    Report {
        instance: context.settings.instance.clone(),
        address: context.settings.ip,
        boot_id: context.boot_id,
        sequence,
        front: context.settings.caller_address.is_some(),
        leaving,
        targets: state.peers.report_counts(sequence, now),
        accounts: state.rates.local_usage(sequence, now),
        worker,
        crash_counts: state.crash_counts.local_counts(),
        unreachable: state.targets.unreachable(now),
        part_evidence: state.poison_parts.local_evidence(),
        limits: state.peers.limits().group_limits(now),
        rollouts: RolloutNews::default(),
    }
}

/// Announces the departure of the instance: a hub to the other hubs, a member to all known hubs.
pub fn announce_departure(exchange: &StateExchange) {
    let context = &exchange.context;
    let now = context.now();
    let report = build_report(exchange, true, now);
    let datagram = Datagram::Report(Box::new(report)).encode();
    let state = context.state();
    let to: Vec<IpAddr> = match state.peers.is_hub() {
        true => peer_hubs(context, &state, now).into_iter().map(|(_, address)| address).collect(),
        false => state.peers.hubs(now).iter().map(|hub| hub.address).collect(),
    };
    drop(state);
    for address in to {
        send_datagram(exchange, &datagram, address);
    }
}
