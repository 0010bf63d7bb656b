//! The port through which batch work runs requests.

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

/// The caller of a request, known from its key. Handlers get it as an axum `Extension`.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The client account.
    pub account: AccountName,
    /// Identifier of the request, on every answer as `x-request-id`.
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
    /// Takes the decisions about the run; they are recorded only for some items.
    pub trace: Arc<ItemTrace>,
    /// Cancels the run.
    pub cancel: CancellationToken,
}

const TRACE_LIMIT: usize = 32;

/// Holds the decisions about one run of an item, each with its wall time in milliseconds, up to a
/// bound. A record for each step of each item would be several records for each of the 1.6 billion
/// items a day.
#[derive(Debug, Default)]
pub struct ItemTrace {
    steps: Mutex<Vec<(u64, Decision)>>,
    lost_target: AtomicBool,
}

impl ItemTrace {
    /// Adds a decision. Beyond the bound, only the last one is kept up to date.
    pub fn record(&self, at_ms: u64, decision: Decision) {
        let mut steps = self.lock();
        steps.truncate(TRACE_LIMIT - 1);
        steps.push((at_ms, decision));
    }

    /// Tells whether the run was given a slot, so that a target may have seen it.
    pub fn had_slot(&self) -> bool {
        self.lock().iter().any(|(_, decision)| matches!(decision, Decision::SlotGranted { .. }))
    }

    /// Notes that a target was lost while it ran the item.
    pub fn record_lost_target(&self) {
        self.lost_target.store(true, Ordering::Relaxed);
    }

    /// Tells whether a target was lost while it ran the item.
    pub fn has_lost_target(&self) -> bool {
        self.lost_target.load(Ordering::Relaxed)
    }

    /// Returns the number of attempts on targets that failed.
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

/// How an item's run ended.
#[derive(Clone, Debug)]
pub enum ItemRunResult {
    /// The target answered in full.
    Answered {
        /// HTTP status.
        status: u16,
        /// JSON body.
        body: Bytes,
    },
    /// The run failed; [`Error::outcome`] tells whether a target may have run it.
    Failed {
        /// What went wrong.
        error: Error,
    },
    /// The run was cancelled before it ended. A target saw it only if the trace has a slot.
    Cancelled,
}

/// Runs items through the same admission as online requests, in class batch.
#[async_trait]
pub trait ItemRunner: Send + Sync {
    /// Runs one item to its end. Waits while there is no room for batch work. The runner retries
    /// as its own budget allows; a call that may not be repeated is sent at most once.
    async fn run(&self, item: ItemRequest) -> ItemRunResult;

    /// Tells whether a call to `path` with `method` may be repeated after an unclear end.
    fn is_idempotent(&self, account: &AccountName, method: &str, path: &str) -> bool;
}
