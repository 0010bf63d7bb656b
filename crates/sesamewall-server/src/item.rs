//! The port through which batch work runs requests.

use async_trait::async_trait;
use bytes::Bytes;
use sesamewall_protocol::AccountName;
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
    /// Cancels the run.
    pub cancel: CancellationToken,
}

/// How an item's run ended.
#[derive(Clone, Debug)]
pub enum ItemOutcome {
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
    /// The run was cancelled before it ended.
    Cancelled,
}

/// Runs items through the same admission as online requests, in class batch.
#[async_trait]
pub trait ItemRunner: Send + Sync {
    /// Runs one item to its end. Waits while there is no room for batch work. The runner retries
    /// as its own budget allows; a call that may not be repeated is sent at most once.
    async fn run(&self, item: ItemRequest) -> ItemOutcome;

    /// Tells whether a call to `path` with `method` may be repeated after an unclear end.
    fn is_idempotent(&self, account: &AccountName, method: &str, path: &str) -> bool;
}
