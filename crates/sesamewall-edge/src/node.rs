//! What all parts of a process share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use sesamewall_fleet::AccountRates;
use sesamewall_fleet::Beacon;
use sesamewall_fleet::Catalog;
use sesamewall_fleet::PeerSettings;
use sesamewall_fleet::Peers;
use sesamewall_fleet::RateSettings;
use sesamewall_fleet::Suspects;
use sesamewall_fleet::TargetTable;
use sesamewall_platform::Machine;
use sesamewall_ports::LeaseStore;
use sesamewall_protocol::Time;
use slog::Logger;
use tokio::sync::Notify;

use crate::Metrics;
use crate::counted_store::CountedStore;
use crate::target_pool::TargetPool;

/// The state that decisions read and change.
pub struct State {
    /// Configuration in force, once one is known.
    pub catalog: Option<Arc<Catalog>>,
    /// Known targets.
    pub targets: TargetTable,
    /// Counts of all instances.
    pub peers: Peers,
    /// Rates of client accounts.
    pub rates: AccountRates,
    /// Requests that were running when targets crashed.
    pub suspects: Suspects,
    /// Jobs that the own worker runs, with the groups of results that it has committed.
    pub jobs: Vec<(u32, u32)>,
    /// Items that wait for a place at the own worker.
    pub backlog: u32,
    /// Highest store revision of an operators' key that was read.
    pub notices: u64,
    /// Highest version and revision that another instance has named.
    pub named: (u64, u64),
}

impl State {
    /// Tells whether another instance has read more of the operators' keys.
    pub fn is_behind(&self) -> bool {
        let version = self.catalog.as_ref().map_or(0, |catalog| catalog.version);
        self.named.0 > version || self.named.1 > self.notices
    }

    /// Returns the part of the fronts that is heard, for rates.
    pub fn front_part(&self, now: Time) -> f64 {
        self.peers.heard_part(now, |beacon: &Beacon| beacon.front)
    }

    /// Returns the part of all instances that is heard, for starts at cold targets.
    pub fn fleet_part(&self, now: Time) -> f64 {
        self.peers.heard_part(now, |_| true)
    }
}

/// Returns the time of day in Unix milliseconds.
pub fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// What all parts of a process share.
pub struct Node {
    /// The machine.
    pub machine: Machine,
    /// Random number of this start.
    pub boot: u64,
    /// Log of the process.
    pub log: Logger,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// The platform's store.
    pub store: CountedStore,
    /// Connections to targets.
    pub pool: TargetPool,
    /// The process stops soon.
    pub draining: AtomicBool,
    /// Wakes the sender of beacons after a change.
    pub changed: Notify,
    /// Wakes the worker after news from other instances.
    pub heard: Notify,
    /// Wakes the followers of the store when another instance knows more.
    pub behind: Notify,
    state: Mutex<State>,
    store_lost: AtomicBool,
    regained: Notify,
}

impl Node {
    /// Creates the shared part of a process.
    pub fn new(machine: Machine, store: Arc<dyn LeaseStore>, log: Logger) -> Self {
        let metrics = Arc::new(Metrics::default());
        let port = machine.peer_port;
        Self {
            machine,
            boot: rand::random(),
            log,
            store: CountedStore::new(store, metrics.clone(), port),
            metrics,
            pool: TargetPool::default(),
            draining: AtomicBool::new(false),
            changed: Notify::new(),
            heard: Notify::new(),
            behind: Notify::new(),
            state: Mutex::new(State {
                catalog: None,
                targets: TargetTable::default(),
                peers: Peers::new(PeerSettings::default()),
                rates: AccountRates::new(RateSettings::default()),
                suspects: Suspects::default(),
                jobs: Vec::new(),
                backlog: 0,
                notices: 0,
                named: (0, 0),
            }),
            store_lost: AtomicBool::new(false),
            regained: Notify::new(),
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

    /// Notes the end of a call to the store.
    pub fn on_store(&self, reachable: bool, detail: &dyn std::fmt::Display) {
        let now = self.now();
        let lost = self.store_lost.swap(!reachable, Ordering::Relaxed);
        if reachable {
            self.regained.notify_waiters();
        }
        match (lost, reachable) {
            (false, false) => {
                slog::warn!(self.log, "store lost"; "detail" => %detail);
                self.metrics.store_losses.inc();
            }
            (true, true) => slog::info!(self.log, "store regained"),
            _ => {}
        }
        self.state().targets.on_store(reachable, now);
    }

    /// Tells whether the last call to the store failed.
    pub fn is_store_lost(&self) -> bool {
        self.store_lost.load(Ordering::Relaxed)
    }

    /// Waits until the store answers again, at most `limit`. Only the keeper of the lease tries it
    /// meanwhile: each call is paid for, also one that is refused.
    pub async fn store_answers(&self, limit: Duration) {
        let regained = self.regained.notified();
        if self.is_store_lost() && !self.store.relay().can_help() {
            // The result is the same: after the limit the caller tries for itself.
            let _ = tokio::time::timeout(limit, regained).await;
        }
    }
}
