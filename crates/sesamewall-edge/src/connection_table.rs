//! Open connections of one address, with their limit.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use sesamewall_platform::InstanceSettings;
use tokio::sync::Notify;

/// Evicted connections that may still hold a descriptor while further ones are accepted.
const MAX_EVICTED: usize = 8;

/// Longest wait for an evicted connection to be dropped.
const EVICTION_WAIT: Duration = Duration::from_millis(100);

/// Requests on one connection.
#[derive(Debug)]
struct Requests {
    running: usize,
    /// Whether a request has begun on the connection.
    used: bool,
    /// When the connection was accepted, or a request began or ended.
    changed: Instant,
    /// When the first bytes of a head arrived that is not complete.
    head_since: Option<Instant>,
}

/// Use of one connection, shared with its requests.
#[derive(Clone, Debug)]
pub struct ConnectionUsage {
    requests: Arc<Mutex<Requests>>,
    head_begun: Arc<Notify>,
}

impl ConnectionUsage {
    fn new() -> Self {
        let changed = Instant::now();
        let requests = Requests { running: 0, used: false, changed, head_since: None };
        Self { requests: Arc::new(Mutex::new(requests)), head_begun: Arc::default() }
    }

    /// Counts a request that has begun.
    pub fn begin(&self) -> RunningRequest {
        let mut requests = self.requests();
        requests.running += 1;
        requests.used = true;
        requests.head_since = None;
        requests.changed = Instant::now();
        RunningRequest(self.clone())
    }

    /// Returns the time for which the connection has had no request; `None` while it has one.
    pub fn idle(&self) -> Option<Duration> {
        let requests = self.requests();
        (requests.running == 0).then(|| requests.changed.elapsed())
    }

    /// Records that bytes have arrived. Without a running request they begin a head.
    pub fn on_bytes(&self) {
        let mut requests = self.requests();
        if requests.running == 0 && requests.head_since.is_none() {
            requests.head_since = Some(Instant::now());
            self.head_begun.notify_one();
        }
    }

    /// Waits until a head is incomplete for longer than `limit`.
    pub async fn wait_slow_head(&self, limit: Duration) {
        loop {
            self.head_begun.notified().await;
            while let Some(age) = self.head_age() {
                if age >= limit {
                    return;
                }
                tokio::time::sleep(limit - age).await;
            }
        }
    }

    fn head_age(&self) -> Option<Duration> {
        self.requests().head_since.map(|since| since.elapsed())
    }

    fn requests(&self) -> MutexGuard<'_, Requests> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the order in which idle connections are closed, the highest first: those without any
    /// request so far before others, then by their idle time.
    fn closing_order(&self) -> Option<(bool, Duration)> {
        let requests = self.requests();
        (requests.running == 0).then(|| (!requests.used, requests.changed.elapsed()))
    }
}

/// Counts as a running request of its connection until it is dropped.
pub struct RunningRequest(ConnectionUsage);

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut requests = self.0.requests();
        requests.running = requests.running.saturating_sub(1);
        requests.changed = Instant::now();
    }
}

#[derive(Debug)]
struct Entry {
    usage: ConnectionUsage,
    evicted: Arc<Notify>,
}

#[derive(Debug, Default)]
struct Entries {
    open: BTreeMap<u64, Entry>,
    next_id: u64,
    /// Connections that hold a descriptor, including evicted ones that have not been dropped yet.
    live: usize,
}

/// Decision about a new connection.
#[derive(Debug)]
pub enum Admission {
    /// It is served.
    Admitted(ConnectionSlot),
    /// It is served, and the longest idle connection is closed, which was idle for this time.
    Replaced(ConnectionSlot, Duration),
    /// It is closed, since all connections have requests.
    Refused,
}

/// Open connections of one address.
#[derive(Debug)]
pub struct ConnectionTable {
    /// Name of the address, as the label in metrics.
    pub name: &'static str,
    limit: usize,
    entries: Mutex<Entries>,
    dropped: Notify,
}

impl ConnectionTable {
    /// Creates the table of an address with at most `limit` connections.
    pub fn new(name: &'static str, limit: usize) -> Arc<Self> {
        Arc::new(Self { name, limit, entries: Mutex::default(), dropped: Notify::new() })
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.entries().open.len()
    }

    /// Waits until few evicted connections still hold a descriptor, or for a short time: a burst
    /// of new connections would otherwise be accepted before any evicted one is dropped.
    pub async fn wait_dropped(&self) {
        if self.entries().live >= self.limit + MAX_EVICTED {
            // A connection that was evicted just as it got a request may take longer.
            let _ = tokio::time::timeout(EVICTION_WAIT, self.dropped.notified()).await;
        }
    }

    /// Decides about a new connection.
    pub fn admit(self: &Arc<Self>) -> Admission {
        let mut entries = self.entries();
        let mut idle = None;
        if entries.open.len() >= self.limit {
            idle = Self::evict(&mut entries);
            if idle.is_none() {
                return Admission::Refused;
            }
        }
        let (usage, evicted) = (ConnectionUsage::new(), Arc::new(Notify::new()));
        let id = entries.next_id;
        entries.next_id += 1;
        entries.live += 1;
        entries.open.insert(id, Entry { usage: usage.clone(), evicted: evicted.clone() });
        drop(entries);
        let slot = ConnectionSlot { table: self.clone(), id, usage, evicted };
        match idle {
            Some(idle) => Admission::Replaced(slot, idle),
            None => Admission::Admitted(slot),
        }
    }

    /// Closes the longest idle connection and returns the time for which it was idle.
    pub fn evict_idle(&self) -> Option<Duration> {
        Self::evict(&mut self.entries())
    }

    fn evict(entries: &mut Entries) -> Option<Duration> {
        let orders =
            entries.open.iter().filter_map(|(id, entry)| Some((entry.usage.closing_order()?, *id)));
        let ((_, idle), id) = orders.max()?;
        entries.open.remove(&id)?.evicted.notify_one();
        Some(idle)
    }

    fn entries(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The tables of all addresses of a process.
#[derive(Debug)]
pub struct ConnectionTables {
    /// Callers.
    pub callers: Arc<ConnectionTable>,
    /// Readiness checks.
    pub ready: Arc<ConnectionTable>,
    /// Metrics.
    pub metrics: Arc<ConnectionTable>,
    /// Other instances.
    pub peers: Arc<ConnectionTable>,
}

impl ConnectionTables {
    /// Creates the tables of a process.
    pub fn new(settings: &InstanceSettings) -> Self {
        let limits = &settings.client_limits;
        let internal = |name, limit| {
            ConnectionTable::new(name, limits.internal_connections(settings.max_fds, limit))
        };
        let callers = limits.caller_connections(settings.memory_mb, settings.max_fds);
        Self {
            callers: ConnectionTable::new("callers", callers),
            ready: internal("ready", limits.ready_connections),
            metrics: internal("metrics", limits.metrics_connections),
            peers: internal("peers", limits.peer_connections),
        }
    }

    /// Returns all tables.
    pub fn all(&self) -> [&ConnectionTable; 4] {
        [&self.callers, &self.ready, &self.metrics, &self.peers]
    }
}

/// The place of one connection in its table, until it is dropped.
#[derive(Debug)]
pub struct ConnectionSlot {
    table: Arc<ConnectionTable>,
    id: u64,
    /// Requests of the connection.
    pub usage: ConnectionUsage,
    /// Is notified when the connection has to be closed.
    pub evicted: Arc<Notify>,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut entries = self.table.entries();
        entries.open.remove(&self.id);
        entries.live = entries.live.saturating_sub(1);
        drop(entries);
        self.table.dropped.notify_one();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn admitted(admission: Admission) -> ConnectionSlot {
        match admission {
            Admission::Admitted(slot) | Admission::Replaced(slot, _) => slot,
            Admission::Refused => panic!("refused"),
        }
    }

    /// Guards against a flood of new connections that closes the kept connections of callers, and
    /// against one that closes connections with requests.
    #[test]
    fn unused_connections_are_closed_first_and_busy_ones_never() {
        let table = ConnectionTable::new("test", 3);
        let busy = admitted(table.admit());
        let _request = busy.usage.begin();
        let kept = admitted(table.admit());
        drop(kept.usage.begin());
        let unused = admitted(table.admit());
        let newest = admitted(table.admit());
        assert!(table.entries().open.contains_key(&kept.id));
        assert!(!table.entries().open.contains_key(&unused.id));
        let _second = newest.usage.begin();
        let _third = kept.usage.begin();
        assert!(matches!(table.admit(), Admission::Refused));
    }
}
