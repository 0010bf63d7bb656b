//! The lease of a process, under which its hub record and its claims on jobs are written.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sesamewall_ports::StoreError;
use sesamewall_protocol::Time;
use slog::info;
use slog::warn;

use crate::InstanceContext;

/// TTL of the lease, after which the claims of a killed process expire.
const LEASE_TTL: Duration = Duration::from_millis(3000);

/// Time between two renewals, short enough that two may fail.
const RENEW_INTERVAL: Duration = Duration::from_millis(900);

#[derive(Clone, Copy, Debug, Default)]
struct Current {
    lease: u64,
    /// Expiry by the local clock, counted from the sending of the last renewal.
    until: Time,
}

/// The lease of the process.
#[derive(Debug, Default)]
pub struct ProcessLease {
    current: Mutex<Current>,
    /// Held while a lease is begun.
    beginning: tokio::sync::Mutex<()>,
    /// Whether the process has ended its lease for good.
    ended: AtomicBool,
}

impl ProcessLease {
    /// Returns the lease if it is certainly still valid at `now`.
    pub fn valid(&self, now: Time) -> Option<u64> {
        let current = *self.lock();
        (current.lease != 0 && now < current.until).then_some(current.lease)
    }

    /// Returns the lease, valid or not.
    pub fn number(&self) -> u64 {
        self.lock().lease
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Current> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the lease in the store, which removes its keys at once. The process can't begin another
    /// one, since it is about to end.
    pub async fn end(&self, context: &InstanceContext) {
        self.ended.store(true, Ordering::Relaxed);
        let lease = std::mem::take(&mut *self.lock()).lease;
        if lease != 0
            && let Err(error) = context.store.end_lease(lease).await
        {
            warn!(context.log, "lease not ended"; "lease" => lease, "error" => %error);
        }
    }

    /// Returns the valid lease, or begins one if there is none.
    ///
    /// # Errors
    ///
    /// Returns the store's error, or `Unavailable` while it is unknown whether the lease still
    /// holds.
    pub async fn obtain(&self, context: &InstanceContext) -> Result<u64, StoreError> {
        self.begin(context).await?;
        self.valid(context.now()).ok_or(StoreError::Unavailable)
    }

    /// Begins a lease unless there is one. A second one would replace it, and the keys under the
    /// first would expire.
    async fn begin(&self, context: &InstanceContext) -> Result<(), StoreError> {
        let _guard = self.beginning.lock().await;
        if self.number() != 0 || self.ended.load(Ordering::Relaxed) {
            return Ok(());
        }
        let sent = context.now();
        let lease = context.store.new_lease(LEASE_TTL.max(context.settings.min_lease)).await?;
        *self.lock() = Current { lease, until: sent + LEASE_TTL };
        info!(context.log, "lease begun"; "lease" => lease);
        Ok(())
    }

    async fn renew(&self, context: &InstanceContext) -> Result<(), StoreError> {
        let lease = self.number();
        let sent = context.now();
        // While calls are relayed through other instances, the store itself is tried once per
        // interval.
        let renewed = match context.store.renew_direct(lease).await {
            Err(_) if context.store.is_relayed() => context.store.renew(lease).await?,
            direct => direct?,
        };
        {
            let mut current = self.lock();
            match renewed {
                _ if current.lease != lease => return Ok(()),
                true => {
                    current.until = sent + LEASE_TTL;
                    return Ok(());
                }
                false => *current = Current::default(),
            }
        }
        warn!(context.log, "lease lost"; "lease" => lease);
        self.begin(context).await
    }
}

/// The right to act under one lease of the process. It ends with that lease, after which another
/// process may act.
#[derive(Clone, Debug)]
pub struct LeasePermit {
    lease: Arc<ProcessLease>,
    number: u64,
}

impl LeasePermit {
    /// Creates the right to act under the lease `number`.
    pub fn new(lease: Arc<ProcessLease>, number: u64) -> Self {
        Self { lease, number }
    }

    /// Returns whether the lease is certainly still valid at `now`.
    pub fn is_valid(&self, now: Time) -> bool {
        self.lease.valid(now) == Some(self.number)
    }
}

/// Keeps the lease of an instance that needs one: of a worker from its start, of a hub from its
/// first claim of a hub record.
pub async fn keep(context: Arc<InstanceContext>, lease: Arc<ProcessLease>) {
    loop {
        if context.is_stopping() && lease.number() == 0 {
            return;
        }
        let result = match lease.number() {
            0 if context.settings.is_worker => Some(lease.begin(&context).await),
            0 => None,
            _ => Some(lease.renew(&context).await),
        };
        match &result {
            Some(Ok(())) => context.on_store_result(true, &""),
            Some(Err(StoreError::RateLimited)) | None => {}
            Some(Err(error)) => context.on_store_result(false, error),
        }
        let failed = result.is_some_and(|result| result.is_err());
        let delay = if failed { RENEW_INTERVAL / 3 } else { RENEW_INTERVAL };
        tokio::time::sleep(delay).await;
    }
}
