//! Bounds the bytes that answers hold while their rest is waited for, over all requests of a process.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Bytes that each answer holds beside the budget, so that usual answers go on when it is used up.
const UNCHARGED_BYTES: usize = 16 << 10;

/// Part of the machine's memory that answers may hold.
const MEMORY_DIVISOR: usize = 8;

/// The answer is larger than what may be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("no memory for {bytes} bytes of an answer")]
pub struct BudgetExceeded {
    /// Bytes that the answer would hold.
    pub bytes: usize,
}

/// The bytes that all answers may hold together.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    used: AtomicUsize,
}

impl ByteBudget {
    /// Creates the budget of a machine with `memory_mb` megabytes.
    pub fn new(memory_mb: u64) -> Arc<Self> {
        let memory = usize::try_from(memory_mb << 20).unwrap_or(usize::MAX);
        Arc::new(Self { limit: memory / MEMORY_DIVISOR, used: AtomicUsize::new(0) })
    }

    /// Returns the account of an answer that holds nothing yet.
    pub fn reserve(self: &Arc<Self>) -> ReservedBytes {
        ReservedBytes { budget: self.clone(), charged: 0 }
    }
}

/// The bytes of one answer. Dropping it frees them.
#[derive(Debug)]
pub struct ReservedBytes {
    budget: Arc<ByteBudget>,
    charged: usize,
}

impl ReservedBytes {
    /// Notes that the answer holds `bytes` now.
    ///
    /// # Errors
    ///
    /// Returns `BudgetExceeded` if all answers together would hold too much.
    pub fn resize(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let charged = bytes.saturating_sub(UNCHARGED_BYTES);
        let used = &self.budget.used;
        if charged <= self.charged {
            used.fetch_sub(self.charged - charged, Ordering::Relaxed);
        } else {
            let added = charged - self.charged;
            if used.fetch_add(added, Ordering::Relaxed) + added > self.budget.limit {
                used.fetch_sub(added, Ordering::Relaxed);
                return Err(BudgetExceeded { bytes });
            }
        }
        self.charged = charged;
        Ok(())
    }
}

impl Drop for ReservedBytes {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.charged, Ordering::Relaxed);
    }
}
