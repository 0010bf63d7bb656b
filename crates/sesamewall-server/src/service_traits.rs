//! The borders between the request path and the services that decide about rates and slots.

use std::sync::Arc;

use async_trait::async_trait;
use sesamewall_ports::ListedInstance;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Class;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::ModelName;
use sesamewall_protocol::Result;
use sesamewall_protocol::peer::Slot;
use sesamewall_protocol::peer::SlotAsk;
use sesamewall_protocol::peer::SlotEnd;
use tokio_util::sync::CancellationToken;

/// Decides whether an account may send one more request.
#[async_trait]
pub trait RateLimiter: Send + Sync {
    /// Spends one request of the account's rate and burst.
    ///
    /// # Errors
    ///
    /// Returns `Error::RateExceeded` or `Error::RateUnavailable` with the numbers seen.
    async fn spend(&self, account: &AccountName, class: Class) -> Result<()>;
}

/// Where a request is to be run.
pub enum Destination {
    /// On a target of the own failure domain.
    Local(SlotGuard),
    /// By an instance of another failure domain.
    Forward(ListedInstance),
}

/// Decides where and when a request is sent to a target.
#[async_trait]
pub trait SlotAllocator: Send + Sync {
    /// Waits for a slot. Dropping the future withdraws the ask.
    ///
    /// # Errors
    ///
    /// Returns the numbered refusal of the lead.
    async fn acquire(&self, ask: SlotAsk, may_forward: bool) -> Result<Destination>;

    /// Returns an instance of a failure domain that is not in `tried`, to which a request is offered
    /// when the own failure domain has no free target. `None` if no other one serves the model.
    fn offer(&self, _model: &ModelName, _tried: &[DomainName]) -> Option<ListedInstance> {
        None
    }

    /// Notes that a failure domain refused an offer while it had `tokens` of work queued.
    fn record_denied_offer(&self, _model: &ModelName, _domain: &DomainName, _tokens: f64) {}
}

/// How the request that held a slot ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotReport {
    /// How it ended.
    pub end: SlotEnd,
    /// Microseconds from sending to the first token, if one came.
    pub first_token_us: Option<u64>,
    /// Prompt and output tokens in fact used.
    pub work: u64,
}

/// Receives the reports of ended slots.
pub trait SlotSink: Send + Sync {
    /// Reports the end of a slot.
    fn report(&self, slot: &Slot, report: SlotReport);
}

/// A slot that is reported as cancelled if it is dropped without a report.
pub struct SlotGuard {
    /// The slot.
    pub slot: Slot,
    /// Cancelled when a batch stream must give its slot back.
    pub preempted: CancellationToken,
    sink: Option<Arc<dyn SlotSink>>,
}

impl SlotGuard {
    /// Creates the lease of a granted slot.
    pub fn new(slot: Slot, preempted: CancellationToken, sink: Arc<dyn SlotSink>) -> Self {
        Self { slot, preempted, sink: Some(sink) }
    }

    /// Gives the slot back.
    pub fn finish(mut self, report: SlotReport) {
        if let Some(sink) = self.sink.take() {
            sink.report(&self.slot, report);
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if let Some(sink) = self.sink.take() {
            let report = SlotReport { end: SlotEnd::Cancelled, first_token_us: None, work: 0 };
            sink.report(&self.slot, report);
        }
    }
}
