//! Limits the store calls of this process to its share of the store's call rate.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use sesamewall_membership::BudgetSettings;
use sesamewall_membership::CallKind;
use sesamewall_membership::Priority;
use sesamewall_membership::StoreBudget;
use sesamewall_ports::Clock;
use sesamewall_ports::Precondition;
use sesamewall_ports::Store;
use sesamewall_ports::StoreError;
use sesamewall_ports::Versioned;
use sesamewall_protocol::Time;

/// Prefixes of the keys of lead leases and floors, whose calls have priority over all others.
const LEAD_PREFIXES: [&str; 2] = ["lead/", "floor/"];
/// Longest wait of a call for the budget. A call that would wait longer fails instead.
const WAIT_LIMIT: Duration = Duration::from_secs(6);

/// A store whose calls wait until the call budget of this process admits them.
pub struct BudgetedStore {
    inner: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    budget: Mutex<StoreBudget>,
    reachable: AtomicBool,
}

impl BudgetedStore {
    /// Creates the wrapper around `inner`.
    pub fn new(inner: Arc<dyn Store>, clock: Arc<dyn Clock>, settings: BudgetSettings) -> Self {
        let budget = StoreBudget::new(settings, clock.now(), &mut rand::rng());
        Self { inner, clock, budget: Mutex::new(budget), reachable: AtomicBool::new(true) }
    }

    /// Returns whether the last call reached the store.
    pub fn is_reachable(&self) -> bool {
        self.reachable.load(Ordering::Relaxed)
    }

    /// Sets the number of live instances and of failure domains.
    pub fn set_fleet(&self, live: usize, domains: usize) {
        self.lock().set_fleet_size(live, domains);
    }

    async fn admit(&self, key: &str, kind: CallKind) -> Result<(), StoreError> {
        let lead = LEAD_PREFIXES.iter().any(|prefix| key.starts_with(prefix));
        let priority = if lead { Priority::LeadRenewal } else { Priority::Normal };
        let end = self.clock.now() + WAIT_LIMIT;
        loop {
            let now = self.clock.now();
            let started = self.lock().start_call(now, kind, priority);
            match started {
                Ok(()) => return Ok(()),
                Err(at) if lead || at > end => return Err(StoreError::RateLimited),
                Err(at) => tokio::time::sleep(at.since(now)).await,
            }
        }
    }

    fn record_result<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        let now: Time = self.clock.now();
        let reached = !matches!(result, Err(StoreError::Unavailable));
        self.reachable.store(reached, Ordering::Relaxed);
        match &result {
            Err(StoreError::Unavailable | StoreError::RateLimited) => {
                self.lock().on_failure(now, &mut rand::rng());
            }
            _ => self.lock().on_success(now),
        }
        result
    }

    fn lock(&self) -> MutexGuard<'_, StoreBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl Store for BudgetedStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        self.admit(key, CallKind::Read).await?;
        self.record_result(self.inner.get(key).await)
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Versioned>, StoreError> {
        self.admit(prefix, CallKind::Read).await?;
        self.record_result(self.inner.list(prefix, after, limit).await)
    }

    async fn put(&self, key: &str, value: Bytes, expect: Precondition) -> Result<u64, StoreError> {
        self.admit(key, CallKind::Write).await?;
        self.record_result(self.inner.put(key, value, expect).await)
    }

    async fn delete(&self, key: &str, version: u64) -> Result<(), StoreError> {
        self.admit(key, CallKind::Write).await?;
        self.record_result(self.inner.delete(key, version).await)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait_ms: u64,
    ) -> Result<Vec<Versioned>, StoreError> {
        self.admit(prefix, CallKind::Read).await?;
        self.record_result(self.inner.watch(prefix, after, wait_ms).await)
    }
}
