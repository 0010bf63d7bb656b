//! Limits the bytes that are buffered for incomplete responses, over all requests of a process.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Bytes that each response may buffer outside the budget, so that usual responses continue when it
/// is used up.
const UNCHARGED_BYTES: usize = 16 << 10;

/// Divisor of the machine's memory that gives the budget of all responses.
const MEMORY_DIVISOR: usize = 8;

/// A response needs more bytes than the budget has available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("no memory for {bytes} bytes of an answer")]
pub struct BudgetExceeded {
    /// Bytes that the response would buffer.
    pub bytes: usize,
}

/// The bytes that all responses may buffer together.
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

    /// Returns the reservation of a response that buffers nothing yet.
    pub fn reserve(self: &Arc<Self>) -> ReservedBytes {
        ReservedBytes { budget: self.clone(), charged: 0 }
    }
}

/// The bytes reserved for one response. Dropping it releases them.
#[derive(Debug)]
pub struct ReservedBytes {
    budget: Arc<ByteBudget>,
    charged: usize,
}

impl ReservedBytes {
    /// Sets the number of bytes that the response buffers to `bytes`.
    ///
    /// # Errors
    ///
    /// Returns `BudgetExceeded` if all responses together would exceed the budget.
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
