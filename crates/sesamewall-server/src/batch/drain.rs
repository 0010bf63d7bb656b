//! Drains batch work when the instance shuts down.

use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::info;
use tokio_util::sync::CancellationToken;

use super::BatchService;
use super::records::worker_key;

/// Time for which non-idempotent items may run after the other items were cancelled. Items that
/// take longer end with the outcome "unknown" at a successor.
const ONCE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit for releasing the segments after all running items were cancelled, and for deleting
/// the worker record.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Tokens that start the successive steps of a drain.
#[derive(Debug, Default)]
pub(super) struct Drain {
    /// Stops the claiming of segments and the start of items.
    pub(super) begin: CancellationToken,
    /// Cancels the running idempotent items.
    pub(super) abort: CancellationToken,
    /// Cancels the running non-idempotent items.
    pub(super) abort_once: CancellationToken,
}

impl BatchService {
    /// Ends batch work: stops claiming, waits a limited time for running items, cancels the rest,
    /// appends the outcomes and releases the segments, so that a successor can claim them at once.
    /// Returns whether all segments were released; the claims of the others expire.
    pub async fn drain(&self) -> bool {
        self.drain.begin.cancel();
        let mut idle = self.idle_within(self.options.drain_timeout).await;
        if !idle {
            self.drain.abort.cancel();
            idle = self.idle_within(ONCE_TIMEOUT).await;
        }
        if !idle {
            self.drain.abort_once.cancel();
            idle = self.idle_within(RELEASE_TIMEOUT).await;
        }
        let key = worker_key(self.context.local.name.as_str());
        // If the store cannot be reached, the record stays until its retention ends.
        let _ = tokio::time::timeout(RELEASE_TIMEOUT, self.records.delete(&key)).await;
        info!(self.context.log, "batch work ended"; "handed_back" => idle);
        idle
    }

    /// Returns whether the instance is shutting down.
    pub(super) fn is_draining(&self) -> bool {
        self.drain.begin.is_cancelled() || self.context.draining.load(Ordering::Relaxed)
    }

    /// Waits at most `limit` until no segment is active. Returns whether that was reached.
    async fn idle_within(&self, limit: Duration) -> bool {
        let idle = async {
            while !self.state().active.is_empty() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(limit, idle).await.is_ok()
    }
}
