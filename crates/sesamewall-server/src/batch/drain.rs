//! Ends batch work in order when the instance shuts down.

use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::info;
use tokio_util::sync::CancellationToken;

use super::BatchService;
use super::records::worker_key;

/// Items that may not be repeated get this long to end after the others were cancelled. Those that
/// take longer end with the outcome "unknown" at a successor.
const ONCE_FINISH: Duration = Duration::from_secs(20);
/// Time for handing segments back once nothing runs any more.
const HAND_BACK: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_millis(50);

/// Steps of a shutdown.
#[derive(Debug, Default)]
pub(super) struct Drain {
    /// No segment is claimed and no item is started any more.
    pub(super) begin: CancellationToken,
    /// Running items that may be repeated are cancelled.
    pub(super) cut: CancellationToken,
    /// All running items are cancelled.
    pub(super) cut_once: CancellationToken,
}

impl BatchService {
    /// Ends batch work: stops claims, lets running items end for a short time, cancels the rest,
    /// appends what is done and hands the segments back, so that a successor claims them at once.
    /// Returns whether nothing was left; otherwise the claims lapse.
    pub async fn drain(&self) -> bool {
        self.drain.begin.cancel();
        let mut idle = self.idle_within(self.options.drain_finish).await;
        if !idle {
            self.drain.cut.cancel();
            idle = self.idle_within(ONCE_FINISH).await;
        }
        if !idle {
            self.drain.cut_once.cancel();
            idle = self.idle_within(HAND_BACK).await;
        }
        let key = worker_key(self.context.local.name.as_str());
        // Without the store the record stays until its retention is over.
        let _ = tokio::time::timeout(HAND_BACK, self.records.delete(&key)).await;
        info!(self.context.log, "batch work ended"; "handed_back" => idle);
        idle
    }

    /// Tells whether the instance shuts down.
    pub(super) fn is_draining(&self) -> bool {
        self.drain.begin.is_cancelled() || self.context.draining.load(Ordering::Relaxed)
    }

    async fn idle_within(&self, limit: Duration) -> bool {
        let idle = async {
            while !self.state().active.is_empty() {
                tokio::time::sleep(POLL).await;
            }
        };
        tokio::time::timeout(limit, idle).await.is_ok()
    }
}
