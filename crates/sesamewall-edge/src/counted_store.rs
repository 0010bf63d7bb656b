//! Counts the calls to the store and measures their time.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use sesamewall_ports::Committed;
use sesamewall_ports::LeaseStore;
use sesamewall_ports::Page;
use sesamewall_ports::StoreError;
use sesamewall_ports::StoredItem;
use sesamewall_ports::Transaction;
use sesamewall_ports::Watched;

use crate::Metrics;

/// The store with counters in front of it. Each call is paid for, a waiting watch too.
pub struct CountedStore {
    inner: Arc<dyn LeaseStore>,
    metrics: Arc<Metrics>,
}

/// Counts a call whose caller stopped waiting: the store counts it too.
struct Pending<'a> {
    metrics: &'a Metrics,
    kind: &'a str,
    ended: bool,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.metrics.store_calls.with_label_values(&[self.kind, "dropped"]).inc();
        }
    }
}

impl CountedStore {
    /// Puts counters in front of `inner`.
    pub fn new(inner: Arc<dyn LeaseStore>, metrics: Arc<Metrics>) -> Self {
        Self { inner, metrics }
    }

    async fn count<T>(
        &self,
        kind: &str,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let began = Instant::now();
        let mut pending = Pending { metrics: &self.metrics, kind, ended: false };
        let result = call.await;
        pending.ended = true;
        let end = match &result {
            Ok(_) => "ok",
            Err(StoreError::Conflict) => "conflict",
            Err(StoreError::Unavailable) => "unavailable",
            Err(StoreError::Unclear) => "unclear",
            Err(StoreError::RateLimited) => "rate-limited",
            Err(StoreError::TooLarge) => "too-large",
        };
        self.metrics.store_calls.with_label_values(&[kind, end]).inc();
        if kind != "watch" {
            self.metrics.store_seconds.observe(began.elapsed().as_secs_f64());
        }
        result
    }

    /// Returns an item, or `None`.
    pub async fn item(&self, key: &str) -> Result<Option<StoredItem>, StoreError> {
        self.count("item", self.inner.item(key)).await
    }

    /// Returns a page of items.
    pub async fn page(&self, prefix: &str, after: Option<&str>) -> Result<Page, StoreError> {
        self.count("page", self.inner.page(prefix, after)).await
    }

    /// Waits for changes.
    pub async fn changes(
        &self,
        prefix: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<Watched, StoreError> {
        self.count("watch", self.inner.changes(prefix, revision, wait)).await
    }

    /// Commits a transaction.
    pub async fn commit(&self, transaction: &Transaction) -> Result<Committed, StoreError> {
        self.count("commit", self.inner.commit(transaction)).await
    }

    /// Begins a lease.
    pub async fn new_lease(&self, life: Duration) -> Result<u64, StoreError> {
        self.count("new-lease", self.inner.new_lease(life)).await
    }

    /// Renews a lease.
    pub async fn renew(&self, lease: u64) -> Result<bool, StoreError> {
        self.count("renew", self.inner.renew(lease)).await
    }

    /// Ends a lease.
    pub async fn end_lease(&self, lease: u64) -> Result<(), StoreError> {
        self.count("end-lease", self.inner.end_lease(lease)).await
    }
}
