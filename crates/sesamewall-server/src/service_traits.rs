//! Traits by which the request path uses the services that decide about rates and slots.

use std::sync::Arc;

use async_trait::async_trait;
use sesamewall_ports::ListedInstance;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Class;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::ModelName;
use sesamewall_protocol::Result;
use sesamewall_protocol::peer::Slot;
use sesamewall_protocol::peer::SlotRequest;
use sesamewall_protocol::peer::SlotResult;
use tokio_util::sync::CancellationToken;

/// Decides whether an account may send one more request.
#[async_trait]
pub trait RateLimiter: Send + Sync {
    /// Consumes one request of the account's rate and burst.
    ///
    /// # Errors
    ///
    /// Returns `Error::RateExceeded` or `Error::RateUnavailable` with the numbers of the refusal.
    async fn spend(&self, account: &AccountName, class: Class) -> Result<()>;
}

/// Place where a request is run.
pub enum Destination {
    /// A target of the local failure domain.
    Local(SlotGuard),
    /// An instance of another failure domain.
    Forward(ListedInstance),
}

/// Decides where and when a request is sent to a target.
#[async_trait]
pub trait SlotAllocator: Send + Sync {
    /// Waits for a slot. Dropping the future cancels the request for it.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the lead with its error code.
    async fn acquire(&self, request: SlotRequest, may_forward: bool) -> Result<Destination>;

    /// Returns an instance of a failure domain that is not in `tried`, to which a request can be
    /// offered when the local failure domain has no free target. Returns `None` if no other failure
    /// domain serves the model.
    fn offer(&self, _model: &ModelName, _tried: &[DomainName]) -> Option<ListedInstance> {
        None
    }

    /// Records that a failure domain refused an offer while it had `tokens` of work queued.
    fn record_denied_offer(&self, _model: &ModelName, _domain: &DomainName, _tokens: f64) {}
}

/// Result of the request that occupied a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotReport {
    /// Result of the request.
    pub end: SlotResult,
    /// Microseconds from sending to the first token, if one came.
    pub first_token_us: Option<u64>,
    /// Number of prompt and output tokens used.
    pub work: u64,
}

/// Receives the reports of released slots.
pub trait SlotSink: Send + Sync {
    /// Reports the result of a slot's request and releases the slot.
    fn report(&self, slot: &Slot, report: SlotReport);
}

/// Guard of a granted slot; dropping it without a report reports a cancelled request.
pub struct SlotGuard {
    /// The slot.
    pub slot: Slot,
    /// Cancelled when the slot of a batch stream is preempted.
    pub preempted: CancellationToken,
    sink: Option<Arc<dyn SlotSink>>,
}

impl SlotGuard {
    /// Creates the guard of a granted slot.
    pub fn new(slot: Slot, preempted: CancellationToken, sink: Arc<dyn SlotSink>) -> Self {
        Self { slot, preempted, sink: Some(sink) }
    }

    /// Releases the slot with a report.
    pub fn finish(mut self, report: SlotReport) {
        if let Some(sink) = self.sink.take() {
            sink.report(&self.slot, report);
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if let Some(sink) = self.sink.take() {
            let report = SlotReport { end: SlotResult::Cancelled, first_token_us: None, work: 0 };
            sink.report(&self.slot, report);
        }
    }
}
