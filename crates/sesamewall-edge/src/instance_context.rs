//! State, settings and clients that all parts of a process share.

use std::collections::BTreeMap;
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
use sesamewall_fleet::AdmissionControl;
use sesamewall_fleet::AdmissionSettings;
use sesamewall_fleet::Catalog;
use sesamewall_fleet::CrashCounts;
use sesamewall_fleet::DomainFlowSettings;
use sesamewall_fleet::DomainFlows;
use sesamewall_fleet::Freshness;
use sesamewall_fleet::FreshnessSettings;
use sesamewall_fleet::Identity;
use sesamewall_fleet::PauseGuard;
use sesamewall_fleet::PeerSettings;
use sesamewall_fleet::Peers;
use sesamewall_fleet::PlannedStop;
use sesamewall_fleet::PoisonParts;
use sesamewall_fleet::RateSettings;
use sesamewall_fleet::RolloutOrder;
use sesamewall_fleet::RolloutSettings;
use sesamewall_fleet::Rollouts;
use sesamewall_fleet::RouteDurations;
use sesamewall_fleet::StopSettings;
use sesamewall_fleet::StreamVersions;
use sesamewall_fleet::TargetState;
use sesamewall_fleet::TargetTable;
use sesamewall_fleet::UnreadableEntries;
use sesamewall_fleet::UnsettledRecords;
use sesamewall_fleet::UnsettledSettings;
use sesamewall_fleet::UpdateSources;
use sesamewall_fleet::VersionHistory;
use sesamewall_fleet::Versions;
use sesamewall_fleet::WorkerStatus;
use sesamewall_fleet::instance_key;
use sesamewall_platform::InstanceSettings;
use sesamewall_ports::LeaseStore;
use sesamewall_ports::StoreError;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use sesamewall_tasks::Tasks;
use slog::Logger;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::Metrics;
use crate::byte_budget::ByteBudget;
use crate::connection_table::ConnectionTables;
use crate::log_limit::LogLimit;
use crate::peer_client::PeerClient;
use crate::peer_updates::table_revision;
use crate::sole_version::SoleVersions;
use crate::state_exchange::VersionLookups;
use crate::store_access::StoreAccess;
use crate::target_pool::TargetPool;
use crate::task_log::TaskLog;

/// Interval between two checks whether the state was confirmed after a pause.
const CONFIRM_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The state that decisions read and change.
pub struct State {
    /// Configuration in force, once one is known.
    pub catalog: Option<Arc<Catalog>>,
    /// Encoded document of that configuration, for other instances.
    pub document: Bytes,
    /// Maintenance state set by the operators.
    pub maintenance: MaintenanceState,
    /// Target table.
    pub targets: TargetTable,
    /// Entries of targets that cannot be read.
    pub unreadable: UnreadableEntries,
    /// Rollout orders that cannot be read.
    pub unreadable_orders: UnreadableEntries,
    /// How far the operators' keys and the targets' entries have been read.
    pub versions: Versions,
    /// How old that state is.
    pub freshness: Freshness,
    /// Instances that have reported how far they have read.
    pub sources: UpdateSources,
    /// Pauses of the process.
    pub pause_guard: PauseGuard,
    /// Request counts and liveness of all instances.
    pub peers: Peers,
    /// What leaves the local failure domain.
    pub flows: DomainFlows,
    /// Rates of client accounts.
    pub rates: AccountRates,
    /// Admission while places at the targets are scarce.
    pub admission: AdmissionControl,
    /// Requests that were running when targets crashed.
    pub crash_counts: CrashCounts,
    /// Parts of prompts that crash targets.
    pub poison_parts: PoisonParts,
    /// Items that wait for a free slot at the local worker.
    pub backlog: u32,
    /// The planned stop of the process.
    pub stop: PlannedStop,
    /// How long requests took lately.
    pub durations: RouteDurations,
    /// Rollouts of services to new versions.
    pub rollouts: Rollouts,
    /// Versions that began streams.
    pub stream_versions: StreamVersions,
    /// Records of them for holders that are not known yet.
    pub unsettled: UnsettledRecords,
    /// Versions that the services had lately.
    pub version_history: VersionHistory,
}

impl State {
    /// Returns the front coverage, the fraction of the fronts that is live, for rates.
    pub fn front_coverage(&self, now: Time) -> f64 {
        self.peers.coverage(now).fronts
    }

    /// Returns the store revision of the target table, and the highest one that another instance
    /// has reported a moment ago.
    pub fn table_revisions(&self, now: Time) -> (u64, u64) {
        let newest = self.sources.highest(now).table.max(self.versions.table);
        (table_revision(self.versions.table), table_revision(newest))
    }

    /// Returns on what the belief that a target is in service rests.
    pub fn target_belief(&self, name: &TargetName, now: Time) -> TargetBelief {
        let target = self.targets.get(name);
        TargetBelief {
            read_age: self.freshness.targets_age(now),
            revision: target.map(|target| target.revision),
            expired: target.is_some_and(TargetState::is_expired),
        }
    }

    /// Returns the fleet coverage, the fraction of all instances that is live, for starts at cold
    /// targets.
    pub fn fleet_coverage(&self, now: Time) -> f64 {
        self.peers.coverage(now).fleet
    }
}

/// What the belief that a target is in service rests on.
#[derive(Clone, Copy, Debug)]
pub struct TargetBelief {
    /// Age of the target table; `None` if the instance has not read it from the store.
    pub read_age: Option<Duration>,
    /// Store revision of the target's entry.
    pub revision: Option<u64>,
    /// The entry was removed around an outage of the store, and the target stays for the moment.
    pub expired: bool,
}

/// Evacuated failure domains, retiring instances and rollouts, as the operators set them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MaintenanceState {
    /// Failure domains that get no new work.
    pub evacuated: BTreeSet<DomainName>,
    /// Instances whose machines are about to be removed.
    pub retiring: BTreeSet<InstanceName>,
    /// Orders to move a service to another version, by service. Instances of builds that do not know
    /// them cannot read a state with any.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub orders: BTreeMap<Arc<str>, RolloutOrder>,
}

impl MaintenanceState {
    /// Returns whether `other` has a failure domain, an instance or an order that this state does not
    /// have.
    pub fn lacks_any_of(&self, other: &Self) -> bool {
        !other.evacuated.is_subset(&self.evacuated)
            || !other.retiring.is_subset(&self.retiring)
            || other.orders.keys().any(|service| !self.orders.contains_key(service))
    }
}

/// Returns the time of day in Unix milliseconds.
pub fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the time since the machine's boot.
fn boot_time() -> Time {
    let time = rustix::time::clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let micros = u64::try_from(time.tv_nsec / 1000).unwrap_or_default();
    Time::from_micros(seconds * 1_000_000 + micros)
}

/// State, settings and clients that all parts of a process share.
pub struct InstanceContext {
    /// Settings of the instance and its machine.
    pub settings: InstanceSettings,
    /// Random number of this process start.
    pub boot_id: u64,
    /// Log of the process.
    pub log: Logger,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// The platform's store.
    pub store: StoreAccess,
    /// Client for calls to other instances.
    pub peer_client: PeerClient,
    /// Pooled connections to targets.
    pub pool: TargetPool,
    /// Lookups of the versions that began streams.
    pub version_lookups: VersionLookups,
    /// Sole versions of services that were asked for.
    pub sole_versions: SoleVersions,
    /// Budget of the bytes that are held for requests and responses.
    pub buffers: Arc<ByteBudget>,
    /// Open connections of clients.
    pub connections: ConnectionTables,
    /// Limits the log lines about clients.
    pub client_log: LogLimit,
    /// The tasks of the process.
    pub tasks: Arc<Tasks>,
    /// Whether the process stops soon.
    draining: Arc<AtomicBool>,
    /// Wakes the tasks that carry out retirements.
    pub retirements_changed: Notify,
    /// Wakes the sender of datagrams after a change of the state.
    pub state_changed: Notify,
    /// Wakes the worker after datagrams of other instances and after the end of a batch request.
    pub peers_changed: Notify,
    /// Wakes the watches of the store and the fetching of updates when another instance has read
    /// more.
    pub update_available: Notify,
    /// Wakes the watches of the store when the instance begins to watch for its failure domain.
    pub watch_started: Notify,
    retiring: AtomicBool,
    watches_store: AtomicBool,
    /// Time by which all answers must be complete, in a planned stop.
    answers_until: watch::Sender<Option<Time>>,
    state: Mutex<State>,
    store_lost: AtomicBool,
    store_recovered: Notify,
}

impl InstanceContext {
    /// Creates the shared context of a process.
    pub fn new(settings: InstanceSettings, store: Arc<dyn LeaseStore>, log: Logger) -> Self {
        let metrics = Arc::new(Metrics::default());
        let draining = Arc::new(AtomicBool::new(false));
        let task_log = TaskLog::new(log.clone(), metrics.clone(), draining.clone());
        let port = settings.peer_port;
        let stop_settings = StopSettings {
            grace_period: settings.platform_limits.grace_period,
            ..StopSettings::default()
        };
        let limits = &settings.platform_limits;
        let freshness_settings =
            FreshnessSettings::within(limits.drain_deadline.min(limits.config_deadline));
        let mut targets = TargetTable::default();
        targets.set_heartbeat(settings.target_heartbeat);
        let mut rollout_settings = RolloutSettings::default();
        if let Some(bounds) = limits.rollout {
            rollout_settings.expose_share = bounds.share;
        }
        let local_key = instance_key(&settings.instance);
        let local = Identity {
            name: settings.instance.clone(),
            domain: settings.domain.clone(),
            front: settings.caller_address.is_some(),
        };
        let mut flow_settings = DomainFlowSettings::default();
        flow_settings.byte_price = settings.domain_byte_price.unwrap_or(flow_settings.byte_price);
        let flows = DomainFlows::new(flow_settings, &settings.domain);
        Self {
            connections: ConnectionTables::new(&settings),
            client_log: LogLimit::default(),
            buffers: ByteBudget::new(settings.memory_mb, &settings.client_limits),
            settings,
            boot_id: rand::random(),
            log,
            store: StoreAccess::new(store, metrics.clone(), port),
            metrics,
            peer_client: PeerClient::new(port),
            pool: TargetPool::default(),
            version_lookups: VersionLookups::default(),
            sole_versions: SoleVersions::default(),
            tasks: Tasks::new(Arc::new(task_log)),
            draining,
            retirements_changed: Notify::new(),
            state_changed: Notify::new(),
            peers_changed: Notify::new(),
            update_available: Notify::new(),
            watch_started: Notify::new(),
            retiring: AtomicBool::new(false),
            watches_store: AtomicBool::new(false),
            answers_until: watch::Sender::new(None),
            state: Mutex::new(State {
                catalog: None,
                document: Bytes::new(),
                maintenance: MaintenanceState::default(),
                targets,
                unreadable: UnreadableEntries::default(),
                unreadable_orders: UnreadableEntries::default(),
                versions: Versions::default(),
                freshness: Freshness::new(freshness_settings, boot_time()),
                sources: UpdateSources::default(),
                pause_guard: PauseGuard::default(),
                peers: Peers::new(PeerSettings::default(), local),
                flows,
                rates: AccountRates::new(RateSettings::default()),
                admission: AdmissionControl::new(AdmissionSettings::default()),
                crash_counts: CrashCounts::default(),
                poison_parts: PoisonParts::default(),
                backlog: 0,
                stop: PlannedStop::new(stop_settings),
                durations: RouteDurations::default(),
                rollouts: Rollouts::new(rollout_settings, local_key),
                stream_versions: StreamVersions::default(),
                unsettled: UnsettledRecords::new(UnsettledSettings::default(), boot_time()),
                version_history: VersionHistory::default(),
            }),
            store_lost: AtomicBool::new(false),
            store_recovered: Notify::new(),
        }
    }

    /// Returns the time since the machine's boot. It includes the time in which the machine was
    /// suspended, since leases expire during that time too.
    pub fn now(&self) -> Time {
        boot_time()
    }

    /// Locks the state. The lock must not be held across an await.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.state().catalog.clone()
    }

    /// Records that the process runs, and has its state confirmed if it was paused.
    pub fn mark_running(&self) {
        let now = self.now();
        let pause = self.state().pause_guard.on_mark(now);
        if let Some(pause) = pause {
            slog::warn!(self.log, "process was paused"; "ms" => pause.as_millis() as u64);
            self.update_available.notify_waiters();
        }
    }

    /// Waits, after a pause of the process or if the state has not been confirmed for too long,
    /// until it is confirmed or nobody has confirmed it in time.
    pub async fn wait_confirmed(&self) {
        self.mark_running();
        while self.is_unconfirmed() {
            tokio::time::sleep(CONFIRM_POLL_INTERVAL).await;
            self.mark_running();
        }
    }

    /// Returns whether the state is older than a pause of the process, or has not been confirmed for
    /// too long.
    pub fn is_unconfirmed(&self) -> bool {
        let now = self.now();
        let state = &mut *self.state();
        state.pause_guard.is_unconfirmed(now) || state.freshness.must_wait(now)
    }

    /// Begins a planned stop. Returns the time by which the process must have ended.
    pub fn begin_stop(&self) -> Time {
        let now = self.now();
        let mut state = self.state();
        state.stop.begin(now);
        let (answers_until, ends_at) = (state.stop.answers_until(), state.stop.ends_at());
        drop(state);
        self.draining.store(true, Ordering::Relaxed);
        self.answers_until.send_replace(answers_until);
        self.state_changed.notify_one();
        ends_at.unwrap_or(now)
    }

    /// Waits until all answers have to be complete because the process is about to end; without a
    /// planned stop for ever.
    pub async fn wait_answers_due(&self) {
        let mut answers_until = self.answers_until.subscribe();
        loop {
            let until = *answers_until.borrow_and_update();
            let now = self.now();
            match until {
                Some(until) if until <= now => return,
                Some(until) => tokio::time::sleep(until.since(now)).await,
                None => {
                    // The sender lives as long as the process.
                    let _ = answers_until.changed().await;
                }
            }
        }
    }

    /// Returns whether the instance takes no new work: its process stops soon, or its machine is
    /// retiring.
    pub fn is_draining(&self) -> bool {
        self.is_stopping() || self.is_retiring()
    }

    /// Returns whether the process stops soon.
    pub fn is_stopping(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns whether the operators ask for the retirement of the local machine. Only workers
    /// retire.
    pub fn is_retiring(&self) -> bool {
        self.retiring.load(Ordering::Relaxed)
    }

    /// Puts the retirements of a maintenance state in force.
    pub fn set_retiring(&self, maintenance: &MaintenanceState) {
        let retiring =
            self.settings.is_worker && maintenance.retiring.contains(&self.settings.instance);
        self.retiring.store(retiring, Ordering::Relaxed);
        self.state_changed.notify_one();
        self.retirements_changed.notify_waiters();
    }

    /// Returns whether the instance watches the store for its failure domain.
    pub fn watches_store(&self) -> bool {
        self.watches_store.load(Ordering::Relaxed)
    }

    /// Begins or ends watching the store.
    pub fn set_watches_store(&self, watches: bool) {
        if self.watches_store.swap(watches, Ordering::Relaxed) != watches {
            slog::info!(self.log, "store followed for the failure domain"; "begins" => watches);
            if watches {
                self.watch_started.notify_waiters();
            }
        }
    }

    /// Returns the status of the local worker; `None` if the instance is not a worker.
    pub fn worker_status(&self, state: &State) -> Option<WorkerStatus> {
        self.settings.is_worker.then(|| WorkerStatus {
            name: self.settings.instance.clone(),
            address: self.settings.ip,
            domain: self.settings.domain.clone(),
            boot_id: self.boot_id,
            draining: self.is_draining(),
            store_reachable: !self.store.is_lost(),
            backlog: state.backlog,
            batch: state.peers.local_batch(),
        })
    }

    /// Records whether a call reached the store, and logs when that changes.
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
        state.targets.on_store_call(reachable, &state.peers, now);
        if reachable && state.peers.is_hub() {
            state.rollouts.on_hub_contact(now);
        }
    }

    /// Records a failed call to the store. A call beyond the rate limit shows that it is reachable.
    pub fn on_store_error(&self, error: &StoreError) {
        if *error != StoreError::RateLimited {
            self.on_store_result(false, error);
        }
    }

    /// Returns whether the last call failed to reach the store.
    pub fn is_store_lost(&self) -> bool {
        self.store_lost.load(Ordering::Relaxed)
    }

    /// Waits until the store is reachable again, at most `limit`. Meanwhile only the task that
    /// renews the lease calls the store, since each call is billed, even a refused one.
    pub async fn wait_for_store(&self, limit: Duration) {
        let store_recovered = self.store_recovered.notified();
        if self.is_store_lost() && !self.store.relay().can_help() {
            // The result does not matter: after the limit the caller tries the store itself.
            let _ = tokio::time::timeout(limit, store_recovered).await;
        }
    }
}
