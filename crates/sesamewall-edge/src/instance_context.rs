//! What all parts of a process share.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use rustix::time::ClockId;
use serde::Deserialize;
use serde::Serialize;
use sesamewall_fleet::AccountRates;
use sesamewall_fleet::Catalog;
use sesamewall_fleet::Identity;
use sesamewall_fleet::PeerSettings;
use sesamewall_fleet::Peers;
use sesamewall_fleet::RateSettings;
use sesamewall_fleet::Suspects;
use sesamewall_fleet::TargetTable;
use sesamewall_fleet::Versions;
use sesamewall_fleet::WorkerWord;
use sesamewall_platform::Machine;
use sesamewall_ports::LeaseStore;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;
use slog::Logger;
use tokio::sync::Notify;

use crate::Metrics;
use crate::byte_budget::ByteBudget;
use crate::peer_client::PeerClient;
use crate::peer_updates::UpdateSources;
use crate::store_access::StoreAccess;
use crate::target_pool::TargetPool;

/// The state that decisions read and change.
pub struct State {
    /// Configuration in force, once one is known.
    pub catalog: Option<Arc<Catalog>>,
    /// The document that it was read from, for other instances.
    pub document: Bytes,
    /// What the operators want besides the configuration.
    pub maintenance: MaintenanceState,
    /// Known targets.
    pub targets: TargetTable,
    /// How far the operators' keys and the targets' entries have been read.
    pub versions: Versions,
    /// Instances that have said how far they have read.
    pub sources: UpdateSources,
    /// Counts of all instances.
    pub peers: Peers,
    /// Rates of client accounts.
    pub rates: AccountRates,
    /// Requests that were running when targets crashed.
    pub suspects: Suspects,
    /// Items that wait for a place at the own worker.
    pub backlog: u32,
}

impl State {
    /// Returns the part of the fronts that is heard, for rates.
    pub fn front_coverage(&self, now: Time) -> f64 {
        self.peers.parts(now).fronts
    }

    /// Returns the part of all instances that is heard, for starts at cold targets.
    pub fn fleet_coverage(&self, now: Time) -> f64 {
        self.peers.parts(now).fleet
    }
}

/// What the operators want besides the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MaintenanceState {
    /// Failure domains that get no new work.
    pub evacuated: BTreeSet<DomainName>,
    /// Machines that are about to be taken away.
    pub retiring: BTreeSet<InstanceName>,
}

/// Returns the time of day in Unix milliseconds.
pub fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// What all parts of a process share.
pub struct InstanceContext {
    /// The machine.
    pub machine: Machine,
    /// Random number of this start.
    pub boot_id: u64,
    /// Log of the process.
    pub log: Logger,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// The platform's store.
    pub store: StoreAccess,
    /// Calls to other instances.
    pub calls: PeerClient,
    /// Connections to targets.
    pub pool: TargetPool,
    /// Bytes of answers whose rest is waited for.
    pub buffers: Arc<ByteBudget>,
    /// The process stops soon.
    pub draining: AtomicBool,
    /// The machine is about to be taken away.
    pub retiring: AtomicBool,
    /// Wakes who waits for the own worker to have no items left.
    pub worker_idle: Notify,
    /// Wakes the sender of datagrams after a change.
    pub state_changed: Notify,
    /// Wakes the worker after news from other instances.
    pub peers_changed: Notify,
    /// Wakes those who follow the store or other instances when another instance knows more.
    pub update_available: Notify,
    /// Wakes those who follow the store when the instance begins to do so for its failure domain.
    pub watch_started: Notify,
    watches_store: AtomicBool,
    state: Mutex<State>,
    store_lost: AtomicBool,
    store_recovered: Notify,
}

impl InstanceContext {
    /// Creates the shared part of a process.
    pub fn new(machine: Machine, store: Arc<dyn LeaseStore>, log: Logger) -> Self {
        let metrics = Arc::new(Metrics::default());
        let port = machine.peer_port;
        let local = Identity {
            name: machine.instance.clone(),
            domain: machine.domain.clone(),
            front: machine.callers.is_some(),
        };
        Self {
            buffers: ByteBudget::new(machine.memory_mb),
            machine,
            boot_id: rand::random(),
            log,
            store: StoreAccess::new(store, metrics.clone(), port),
            metrics,
            calls: PeerClient::new(port),
            pool: TargetPool::default(),
            draining: AtomicBool::new(false),
            retiring: AtomicBool::new(false),
            worker_idle: Notify::new(),
            state_changed: Notify::new(),
            peers_changed: Notify::new(),
            update_available: Notify::new(),
            watch_started: Notify::new(),
            watches_store: AtomicBool::new(false),
            state: Mutex::new(State {
                catalog: None,
                document: Bytes::new(),
                maintenance: MaintenanceState::default(),
                targets: TargetTable::default(),
                versions: Versions::default(),
                sources: UpdateSources::default(),
                peers: Peers::new(PeerSettings::default(), local),
                rates: AccountRates::new(RateSettings::default()),
                suspects: Suspects::default(),
                backlog: 0,
            }),
            store_lost: AtomicBool::new(false),
            store_recovered: Notify::new(),
        }
    }

    /// Returns the time since the machine's start. It counts the time in which the machine was
    /// suspended, since leases end during that time too.
    pub fn now(&self) -> Time {
        let time = rustix::time::clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let micros = u64::try_from(time.tv_nsec / 1000).unwrap_or_default();
        Time::from_micros(seconds * 1_000_000 + micros)
    }

    /// Locks the state. The lock is never held over an await.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.state().catalog.clone()
    }

    /// Tells whether the process stops soon.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Tells whether the instance follows the store for its failure domain.
    pub fn watches_store(&self) -> bool {
        self.watches_store.load(Ordering::Relaxed)
    }

    /// Begins or ends to follow the store.
    pub fn set_watches_store(&self, watches: bool) {
        if self.watches_store.swap(watches, Ordering::Relaxed) != watches {
            slog::info!(self.log, "store followed for the failure domain"; "begins" => watches);
            if watches {
                self.watch_started.notify_waiters();
            }
        }
    }

    /// Returns what the instance says about itself as a worker; `None` if it is none.
    pub fn worker_status(&self, state: &State) -> Option<WorkerWord> {
        self.machine.worker.then(|| WorkerWord {
            name: self.machine.instance.clone(),
            address: self.machine.ip,
            domain: self.machine.domain.clone(),
            boot: self.boot_id,
            draining: self.is_draining(),
            store: !self.store.is_lost(),
            backlog: state.backlog,
            batch: state.peers.own_batch(),
        })
    }

    /// Notes the end of a call to the store.
    pub fn on_store_result(&self, reachable: bool, detail: &dyn std::fmt::Display) {
        let now = self.now();
        let lost = self.store_lost.swap(!reachable, Ordering::Relaxed);
        if reachable {
            self.store_recovered.notify_waiters();
        }
        match (lost, reachable) {
            (false, false) => {
                slog::warn!(self.log, "store lost"; "detail" => %detail);
                self.metrics.store_losses.inc();
            }
            (true, true) => slog::info!(self.log, "store regained"),
            _ => {}
        }
        let state = &mut *self.state();
        state.targets.on_own_call(reachable, &state.peers, now);
    }

    /// Tells whether the last call to the store failed.
    pub fn is_store_lost(&self) -> bool {
        self.store_lost.load(Ordering::Relaxed)
    }

    /// Waits until the store answers again, at most `limit`. Only the keeper of the lease tries it
    /// meanwhile: each call is paid for, also one that is refused.
    pub async fn wait_for_store(&self, limit: Duration) {
        let store_recovered = self.store_recovered.notified();
        if self.is_store_lost() && !self.store.relay().can_help() {
            // The result is the same: after the limit the caller tries for itself.
            let _ = tokio::time::timeout(limit, store_recovered).await;
        }
    }
}
