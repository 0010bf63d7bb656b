//! The interface through which the batch service runs requests.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use bytes::Bytes;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Decision;
use sesamewall_protocol::Error;
use sesamewall_protocol::RequestId;
use tokio_util::sync::CancellationToken;

/// The caller of a request, identified by its key. Handlers receive it as an axum `Extension`.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The client account.
    pub account: AccountName,
    /// Identifier of the request, sent in the header `x-request-id` of every response.
    pub request: RequestId,
}

/// One batch item to run.
#[derive(Clone, Debug)]
pub struct ItemRequest {
    /// Identifier of the item's run, for records.
    pub request: RequestId,
    /// The account that owns the job.
    pub account: AccountName,
    /// HTTP method, `POST` for model calls.
    pub method: String,
    /// Path, for example `/v1/chat/completions`.
    pub path: String,
    /// JSON body.
    pub body: Bytes,
    /// The item is past its latest start time and goes before other batch items of its account.
    pub urgent: bool,
    /// Collects the decisions about the run; they are recorded only for some items.
    pub trace: Arc<ItemTrace>,
    /// Cancels the run.
    pub cancel: CancellationToken,
}

const TRACE_LIMIT: usize = 32;

/// Collects the decisions about one run of an item, each with its wall time in milliseconds, up to
/// a limit. They are not recorded one by one, since that would make several records for each of the
/// 1.6 billion items a day.
#[derive(Debug, Default)]
pub struct ItemTrace {
    steps: Mutex<Vec<(u64, Decision)>>,
    lost_target: AtomicBool,
}

impl ItemTrace {
    /// Adds a decision. At the limit, the new decision replaces the last one.
    pub fn record(&self, at_ms: u64, decision: Decision) {
        let mut steps = self.lock();
        steps.truncate(TRACE_LIMIT - 1);
        steps.push((at_ms, decision));
    }

    /// Returns whether the run was granted a slot, so that a target may have received the request.
    pub fn had_slot(&self) -> bool {
        self.lock().iter().any(|(_, decision)| matches!(decision, Decision::SlotGranted { .. }))
    }

    /// Records that a target was lost while it ran the item.
    pub fn record_lost_target(&self) {
        self.lost_target.store(true, Ordering::Relaxed);
    }

    /// Returns whether a target was lost while it ran the item.
    pub fn has_lost_target(&self) -> bool {
        self.lost_target.load(Ordering::Relaxed)
    }

    /// Returns the number of failed attempts on targets.
    pub fn failure_count(&self) -> usize {
        let failed = |step: &&(u64, Decision)| matches!(step.1, Decision::AttemptFailed { .. });
        self.lock().iter().filter(failed).count()
    }

    /// Returns the decisions in order.
    pub fn steps(&self) -> Vec<(u64, Decision)> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(u64, Decision)>> {
        self.steps.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Result of an item's run.
#[derive(Clone, Debug)]
pub enum ItemRunResult {
    /// The target sent a complete response.
    Answered {
        /// HTTP status.
        status: u16,
        /// JSON body.
        body: Bytes,
    },
    /// The run failed; [`Error::outcome`] states whether a target may have run it.
    Failed {
        /// Error of the run.
        error: Error,
    },
    /// The run was cancelled before it ended. A target may have received the request only if the
    /// trace contains a granted slot.
    Cancelled,
}

/// Runs items through the same admission as online requests, in service class batch.
#[async_trait]
pub trait ItemRunner: Send + Sync {
    /// Runs one item to its end. Waits while there is no headroom for batch work. Retries within
    /// the retry budget of the runner; a call that must not be repeated is sent at most once.
    async fn run(&self, item: ItemRequest) -> ItemRunResult;

    /// Returns whether a call to `path` with `method` may be repeated after an unknown outcome.
    fn is_idempotent(&self, account: &AccountName, method: &str, path: &str) -> bool;
}
