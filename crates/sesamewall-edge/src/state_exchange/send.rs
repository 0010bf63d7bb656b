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
use sesamewall_fleet::HomeSettings;
use sesamewall_fleet::Homing;
use sesamewall_fleet::HubWord;
use sesamewall_fleet::Report;
use sesamewall_fleet::WorkerWord;
use sesamewall_protocol::Time;
use slog::info;

use crate::InstanceContext;
use crate::State;
use crate::state_exchange::StateExchange;

/// Longest time between two beacons or reports.
const QUIET_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time between two digests, and between two looks at the choice of the home.
const QUIET_DIGEST: Duration = Duration::from_millis(100);

/// Times the interval after which hubs of other failure domains get a beacon: little of what they need
/// to know changes that fast, and bytes between domains are paid for.
const FAR_FACTOR: u32 = 2;

/// Time between two digests with lists of workers and hubs.
const LIST_INTERVAL: Duration = Duration::from_millis(400);

/// Time between two questions for hubs while none is known.
const HELLO_INTERVAL: Duration = Duration::from_millis(150);

/// State of a member as a sender.
pub struct MemberState {
    homing: Mutex<Homing>,
    sequence: AtomicU64,
}

impl MemberState {
    /// Creates the state of a started process.
    pub fn new(context: &InstanceContext) -> Self {
        let (own, domain) = (context.machine.instance.clone(), context.machine.domain.clone());
        let homing = Homing::new(HomeSettings::default(), own, domain);
        Self { homing: Mutex::new(homing), sequence: AtomicU64::new(0) }
    }

    /// Locks the choice of the home.
    pub fn homing(&self) -> MutexGuard<'_, Homing> {
        self.homing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed) + 1
    }
}

/// When what was sent last.
#[derive(Default)]
struct Times {
    near: Time,
    far: Time,
    digest: Time,
    lists: Time,
    report: Time,
    hello: Time,
    /// There is news that hubs of other failure domains have not got.
    far_news: bool,
    /// Failure domain whose loads the next digest lists.
    turn: usize,
    sequence: u64,
}

/// Sends until the process ends.
pub async fn run(control: Arc<StateExchange>) {
    let mut times = Times::default();
    let context = control.context.clone();
    loop {
        let changed = tokio::select! {
            () = context.state_changed.notified() => true,
            () = tokio::time::sleep(wait(&context, &times)) => false,
        };
        let hub = context.state().peers.is_hub();
        match hub {
            true => {
                pause_until(&context, times.near + interval(&context)).await;
                as_hub(&control, &mut times, changed);
            }
            false => {
                let pause = context.state().peers.report_interval();
                pause_until(&context, times.report + pause).await;
                as_member(&control, &mut times, changed);
            }
        }
    }
}

fn wait(context: &InstanceContext, times: &Times) -> Duration {
    let far_due = times.far + interval(context) * FAR_FACTOR;
    match times.far_news {
        true => far_due.since(context.now()).max(Duration::from_millis(1)).min(QUIET_DIGEST),
        false => QUIET_DIGEST,
    }
}

async fn pause_until(context: &InstanceContext, until: Time) {
    let left = until.since(context.now());
    if !left.is_zero() {
        tokio::time::sleep(left).await;
    }
}

fn interval(context: &InstanceContext) -> Duration {
    let now = context.now();
    context.state().peers.interval(now)
}

fn hub_status(context: &InstanceContext) -> HubWord {
    HubWord {
        name: context.machine.instance.clone(),
        address: context.machine.ip,
        domain: context.machine.domain.clone(),
        store: !context.store.is_lost(),
        draining: context.is_draining(),
    }
}

fn post(control: &StateExchange, datagram: &[u8], to: IpAddr) {
    let to = SocketAddr::new(to, control.context.machine.peer_port);
    // A datagram that cannot be sent is like one that is lost: the next one says the same.
    let _ = control.socket.try_send_to(datagram, to);
}

fn as_hub(control: &StateExchange, times: &mut Times, changed: bool) {
    let context = &control.context;
    let now = context.now();
    times.far_news |= changed;
    let near_due = changed || now.since(times.near) >= QUIET_INTERVAL;
    let far_due = match times.far_news {
        true => now.since(times.far) >= interval(context) * FAR_FACTOR,
        false => now.since(times.far) >= QUIET_INTERVAL,
    };
    if near_due || far_due {
        times.sequence += 1;
        let (beacon, hubs) = {
            let state = context.state();
            (beacon(context, &state, times.sequence, now), other_hubs(context, &state, now))
        };
        let datagram = Datagram::Beacon(Box::new(beacon)).encode();
        let wanted = |near: bool| if near { near_due } else { far_due };
        for (_, address) in hubs.iter().filter(|(near, _)| wanted(*near)) {
            post(control, &datagram, *address);
        }
    }
    if near_due {
        times.near = now;
    }
    if far_due {
        times.far = now;
        times.far_news = false;
    }
    if changed || now.since(times.digest) >= QUIET_DIGEST {
        times.digest = now;
        digests(control, times, now);
    }
}

/// Returns the hubs that get beacons: those in contact and those that were named but are silent, which
/// may just have started.
fn other_hubs(context: &InstanceContext, state: &State, now: Time) -> Vec<(bool, IpAddr)> {
    let own = &context.machine;
    let heard = state.peers.hub_contacts(now).map(|contact| &contact.beacon.hub);
    let named = state.peers.named_hubs().iter();
    let mut all: Vec<(IpAddr, bool)> = heard
        .chain(named)
        .map(|hub| (hub.address, hub.domain == own.domain))
        .filter(|(address, _)| *address != own.ip)
        .collect();
    all.sort();
    all.dedup();
    all.into_iter().map(|(address, near)| (near, address)).collect()
}

fn beacon(context: &InstanceContext, state: &State, sequence: u64, now: Time) -> Beacon {
    let group = state.peers.group(now);
    let names = state.peers.member_names();
    let own = context.worker_status(state);
    Beacon {
        hub: hub_status(context),
        boot: context.boot_id,
        sequence,
        heard: group.heard,
        versions: state.versions,
        members: group.members,
        missing: group.missing,
        gone: group.gone,
        targets: group.targets,
        accounts: state.rates.report(sequence, now),
        workers: group.workers.into_iter().chain(own).collect(),
        suspects: state.suspects.group_report(&names),
        unreached: state.peers.group_unreached(state.targets.unreached(now)),
    }
}

fn digests(control: &StateExchange, times: &mut Times, now: Time) {
    let context = &control.context;
    let members = context.state().peers.member_addresses();
    if members.is_empty() {
        return;
    }
    times.sequence += 1;
    let lists = now.since(times.lists) >= LIST_INTERVAL;
    if lists {
        times.lists = now;
    }
    let digest = digest(context, times, lists, now);
    let any_worker = members.iter().any(|(_, worker)| *worker);
    let for_workers = any_worker.then(|| {
        let workers = Some(all_workers(context, now));
        Datagram::Digest(Box::new(Digest { workers, ..digest.clone() })).encode()
    });
    let plain = Datagram::Digest(Box::new(digest)).encode();
    for (address, worker) in members {
        match (&for_workers, worker) {
            (Some(datagram), true) => post(control, datagram, address),
            _ => post(control, &plain, address),
        }
    }
}

fn all_workers(context: &InstanceContext, now: Time) -> Vec<WorkerWord> {
    let state = context.state();
    let others = state.peers.workers(now).into_iter().cloned();
    others.chain(context.worker_status(&state)).collect()
}

fn digest(context: &InstanceContext, times: &mut Times, lists: bool, now: Time) -> Digest {
    let workers = lists.then(|| {
        let mut workers = all_workers(context, now);
        // Only workers need to know what runs where.
        workers.iter_mut().for_each(|worker| worker.batch.clear());
        workers
    });
    let mut state = context.state();
    let state = &mut *state;
    let mut domains: Vec<u32> = state.targets.iter().map(|target| target.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    times.turn += 1;
    let turn = domains.get(times.turn % domains.len().max(1)).copied();
    let parts = state.peers.parts(now);
    let (levels_known, hot) = state.rates.hot(parts.fronts, now);
    let hubs = lists.then(|| {
        let mut hubs = state.peers.hubs(now);
        hubs.push(hub_status(context));
        hubs
    });
    Digest {
        hub: hub_status(context),
        boot: context.boot_id,
        sequence: times.sequence,
        acked: state.peers.acked(),
        versions: state.versions,
        loads: state.peers.loads(&state.targets, turn, now),
        online: state.peers.online_total(),
        front_part: parts.fronts as f32,
        fleet_part: parts.fleet as f32,
        fronts: parts.front_count,
        complete: parts.complete,
        levels_known,
        hot,
        suspects: state.suspects.totals(),
        unreached: state.peers.all_unreached(state.targets.unreached(now), now),
        workers,
        hubs,
    }
}

fn as_member(control: &StateExchange, times: &mut Times, changed: bool) {
    let context = &control.context;
    let now = context.now();
    let hubs = context.state().peers.hubs(now);
    let choice = control.member.homing().choose(&hubs, now);
    let Some((home, moved)) = choice else {
        hello(control, times, now);
        return;
    };
    if moved {
        info!(context.log, "home chosen"; "hub" => %home, "hubs" => hubs.len());
    }
    if moved || changed || now.since(times.report) >= QUIET_INTERVAL {
        times.report = now;
        let address = hubs.iter().find(|hub| hub.name == home).map(|hub| hub.address);
        if let Some(address) = address {
            let report = report(control, false, now);
            post(control, &Datagram::Report(Box::new(report)).encode(), address);
        }
    }
}

fn hello(control: &StateExchange, times: &mut Times, now: Time) {
    if now.since(times.hello) < HELLO_INTERVAL {
        return;
    }
    times.hello = now;
    let context = &control.context;
    let datagram = Datagram::Hello(context.machine.ip).encode();
    for address in context.machine.seeds.iter().filter(|seed| **seed != context.machine.ip) {
        post(control, &datagram, *address);
    }
}

fn report(control: &StateExchange, leaving: bool, now: Time) -> Report {
    let context = &control.context;
    let sequence = control.member.next();
    let mut state = context.state();
    let worker = context.worker_status(&state);
    Report {
        instance: context.machine.instance.clone(),
        address: context.machine.ip,
        boot: context.boot_id,
        sequence,
        front: context.machine.callers.is_some(),
        leaving,
        targets: state.peers.report_counts(sequence, now),
        accounts: state.rates.own_report(sequence, now),
        worker,
        suspects: state.suspects.report(),
        unreached: state.targets.unreached(now),
    }
}

/// Tells the home or the other hubs that the instance ends.
pub fn leave(control: &StateExchange) {
    let context = &control.context;
    let now = context.now();
    let report = report(control, true, now);
    let datagram = Datagram::Report(Box::new(report)).encode();
    let state = context.state();
    let to: Vec<IpAddr> = match state.peers.is_hub() {
        true => other_hubs(context, &state, now).into_iter().map(|(_, address)| address).collect(),
        false => state.peers.hubs(now).iter().map(|hub| hub.address).collect(),
    };
    drop(state);
    for address in to {
        post(control, &datagram, address);
    }
}
