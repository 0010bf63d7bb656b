//! Access to the store, directly or through another instance, with counters and durations of the
//! calls.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use sesamewall_ports::CommitResult;
use sesamewall_ports::LeaseStore;
use sesamewall_ports::Page;
use sesamewall_ports::StoreError;
use sesamewall_ports::StoredItem;
use sesamewall_ports::Transaction;
use sesamewall_ports::WatchResult;

use crate::Metrics;
use crate::store_relay::StoreCall;
use crate::store_relay::StoreRelay;
use crate::store_relay::StoreReply;

/// The store with counters in front of it. Each call is billed, including a waiting watch. While
/// the store does not serve this instance, calls are relayed through another one.
pub struct StoreAccess {
    inner: Arc<dyn LeaseStore>,
    metrics: Arc<Metrics>,
    relay: StoreRelay,
    lost: AtomicBool,
}

/// Delay without a reply of the store after which a call is also sent through another instance. The
/// store usually replies in 4 ms; over an interrupted path nothing arrives, and the acceptance of a
/// job is due within some hundred milliseconds.
const HEDGE_DELAY: Duration = Duration::from_millis(120);

/// Counts a call that its caller dropped before the reply, since the store counts it too.
struct Pending<'a> {
    metrics: &'a Metrics,
    kind: &'a str,
    completed: bool,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if !self.completed {
            self.metrics.store_calls.with_label_values(&[self.kind, "dropped"]).inc();
        }
    }
}

/// Result of a call that may have been sent both ways.
struct Hedged<T> {
    result: Result<T, StoreError>,
    /// Whether the call was also sent the other way, where it may have been or may be executed.
    is_other_open: bool,
}

impl StoreAccess {
    /// Wraps `inner` with counters. `port` is that of relayed calls.
    pub fn new(inner: Arc<dyn LeaseStore>, metrics: Arc<Metrics>, port: u16) -> Self {
        let relay = StoreRelay::new(port);
        Self { inner, metrics, relay, lost: AtomicBool::new(false) }
    }

    /// Returns the store for direct calls, without the relay.
    pub fn direct(&self) -> &dyn LeaseStore {
        &*self.inner
    }

    /// Returns the relay through other instances.
    pub fn relay(&self) -> &StoreRelay {
        &self.relay
    }

    /// Returns whether the last direct call failed.
    pub fn is_lost(&self) -> bool {
        self.lost.load(Ordering::Relaxed)
    }

    /// Returns whether calls are relayed through another instance now.
    pub fn is_relayed(&self) -> bool {
        self.is_lost() && self.relay.can_help()
    }

    async fn measure<T>(
        &self,
        kind: &str,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let started = Instant::now();
        let mut pending = Pending { metrics: &self.metrics, kind, completed: false };
        let result = call.await;
        pending.completed = true;
        let failed = matches!(
            result,
            Err(StoreError::Unavailable | StoreError::Unclear | StoreError::RateLimited)
        );
        self.lost.store(failed, Ordering::Relaxed);
        let label = match &result {
            Ok(_) => "ok",
            Err(StoreError::Conflict) => "conflict",
            Err(StoreError::Unavailable) => "unavailable",
            Err(StoreError::Unclear) => "unclear",
            Err(StoreError::RateLimited) => "rate-limited",
            Err(StoreError::TooLarge) => "too-large",
        };
        self.metrics.store_calls.with_label_values(&[kind, label]).inc();
        if kind != "watch" {
            self.metrics.store_seconds.observe(started.elapsed().as_secs_f64());
        }
        result
    }

    async fn relayed(&self, kind: &str, call: StoreCall) -> Result<StoreReply, StoreError> {
        let result = self.relay.call(&call).await;
        let label = if result.is_ok() { "relayed" } else { "relay-failed" };
        self.metrics.store_calls.with_label_values(&[kind, label]).inc();
        result
    }

    /// Calls the store directly, and sends the same call through another instance if the store does
    /// not reply in time. The first result counts; calls that write carry conditions that make a
    /// second execution harmless.
    async fn hedged<T>(
        &self,
        kind: &str,
        direct: impl Future<Output = Result<T, StoreError>>,
        call: impl FnOnce() -> StoreCall,
        decode: impl FnOnce(StoreReply) -> Option<T>,
    ) -> Hedged<T> {
        let mut direct = std::pin::pin!(self.measure(kind, direct));
        match tokio::time::timeout(HEDGE_DELAY, &mut direct).await {
            Ok(result) => return Hedged { result, is_other_open: false },
            Err(_) if !self.relay.can_help() => {
                return Hedged { result: direct.await, is_other_open: false };
            }
            Err(_) => {}
        }
        let relayed = async {
            let reply = self.relayed(kind, call()).await?;
            let value = decode(reply).ok_or(StoreError::Unclear)?;
            self.lost.store(true, Ordering::Relaxed);
            Ok(value)
        };
        let mut relayed = std::pin::pin!(relayed);
        let (first, other) = tokio::select! {
            result = &mut direct => match result {
                Err(error) => (error, relayed.await),
                done => return Hedged { result: done, is_other_open: true },
            },
            result = &mut relayed => match result {
                Err(error) => (error, direct.await),
                done => return Hedged { result: done, is_other_open: true },
            },
        };
        let is_other_open = first == StoreError::Unclear;
        // Nothing was written only if that is certain of both ways.
        let result = other.map_err(|other| if is_other_open { first } else { other });
        Hedged { result, is_other_open }
    }

    /// Renews a lease by a direct call to the store, without the relay.
    pub async fn renew_direct(&self, lease: u64) -> Result<bool, StoreError> {
        self.measure("renew", self.inner.renew(lease)).await
    }

    /// Returns an item, or `None`.
    pub async fn item(&self, key: &str) -> Result<Option<StoredItem>, StoreError> {
        if !self.is_relayed() {
            return self.measure("item", self.inner.item(key)).await;
        }
        match self.relayed("item", StoreCall::Item(key.to_owned())).await? {
            StoreReply::Item(item) => Ok(item),
            _ => Err(StoreError::Unclear),
        }
    }

    /// Returns a page of items. A page with an unreadable item is an error: its readers cannot tell
    /// the item from an empty one.
    pub async fn page(&self, prefix: &str, after: Option<&str>) -> Result<Page, StoreError> {
        let page = self.page_with_unreadable(prefix, after).await?;
        if page.unreadable > 0 { Err(StoreError::Unclear) } else { Ok(page) }
    }

    /// Returns a page of items, the unreadable ones with empty values.
    pub async fn page_with_unreadable(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> Result<Page, StoreError> {
        let call = || StoreCall::Page(prefix.to_owned(), after.map(str::to_owned));
        let decode = |reply| match reply {
            StoreReply::Page(page) => Some(page),
            _ => None,
        };
        if !self.is_relayed() {
            return self.hedged("page", self.inner.page(prefix, after), call, decode).await.result;
        }
        decode(self.relayed("page", call()).await?).ok_or(StoreError::Unclear)
    }

    /// Waits for changes. A watch is never relayed, since the other instance sends the changes
    /// itself as updates.
    pub async fn changes(
        &self,
        prefix: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<WatchResult, StoreError> {
        self.measure("watch", self.inner.changes(prefix, revision, wait)).await
    }

    /// Returns the first page of a prefix from a read that may be some seconds old.
    pub async fn stale_page(&self, prefix: &str) -> Result<Page, StoreError> {
        self.measure("stale-page", self.inner.stale_page(prefix)).await
    }

    /// Commits a transaction.
    pub async fn commit(&self, transaction: &Transaction) -> Result<CommitResult, StoreError> {
        let call = || StoreCall::Commit(transaction.clone());
        let decode = |reply| match reply {
            StoreReply::Commit(result) => Some(result),
            _ => None,
        };
        if !self.is_relayed() {
            let direct = self.inner.commit(transaction);
            return match self.hedged("commit", direct, call, decode).await {
                // The other way may have executed the transaction before the lease ended.
                Hedged { result: Ok(CommitResult::LeaseGone), is_other_open: true } => {
                    Err(StoreError::Unclear)
                }
                hedged => hedged.result,
            };
        }
        decode(self.relayed("commit", call()).await?).ok_or(StoreError::Unclear)
    }

    /// Begins a lease that expires after `ttl`.
    pub async fn new_lease(&self, ttl: Duration) -> Result<u64, StoreError> {
        if !self.is_relayed() {
            return self.measure("new-lease", self.inner.new_lease(ttl)).await;
        }
        match self.relayed("new-lease", StoreCall::NewLease(ttl.as_millis() as u64)).await? {
            StoreReply::Lease(lease) => Ok(lease),
            _ => Err(StoreError::Unclear),
        }
    }

    /// Renews a lease.
    pub async fn renew(&self, lease: u64) -> Result<bool, StoreError> {
        if !self.is_relayed() {
            return self.renew_direct(lease).await;
        }
        match self.relayed("renew", StoreCall::Renew(lease)).await? {
            StoreReply::Renewed(renewed) => Ok(renewed),
            _ => Err(StoreError::Unclear),
        }
    }

    /// Ends a lease.
    pub async fn end_lease(&self, lease: u64) -> Result<(), StoreError> {
        if !self.is_relayed() {
            return self.measure("end-lease", self.inner.end_lease(lease)).await;
        }
        self.relayed("end-lease", StoreCall::EndLease(lease)).await.map(drop)
    }
}
