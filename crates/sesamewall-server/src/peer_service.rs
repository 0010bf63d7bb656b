//! Dispatches messages from other instances to the services that handle them.

use std::sync::Arc;

use async_trait::async_trait;
use sesamewall_ports::PeerHandler;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::peer::PeerMessage;
use sesamewall_protocol::peer::RateMessage;
use sesamewall_protocol::peer::ScheduleMessage;

use crate::BatchService;
use crate::OperatorService;
use crate::execute::Executor;
use crate::idempotency_service::IdempotencyService;
use crate::membership::FloorService;
use crate::membership::MembershipService;
use crate::rate_service::RateService;
use crate::records::RecordService;
use crate::slot_service::SlotService;

/// Handles messages from other instances.
pub struct PeerService {
    /// Rates.
    pub rates: Arc<RateService>,
    /// Slots.
    pub slots: Arc<SlotService>,
    /// Running calls.
    pub executor: Arc<Executor>,
    /// Idempotency keys.
    pub idempotency: Arc<IdempotencyService>,
    /// Membership.
    pub membership: Arc<MembershipService>,
    /// Floor lease.
    pub floor: Arc<FloorService>,
    /// Batch data.
    pub batch: Arc<BatchService>,
    /// Decision records.
    pub records: Arc<RecordService>,
    /// Queries on behalf of operators.
    pub operators: Arc<OperatorService>,
}

#[async_trait]
impl PeerHandler for PeerService {
    async fn handle(
        &self,
        from: InstanceName,
        domain: DomainName,
        message: PeerMessage,
    ) -> PeerMessage {
        match message {
            PeerMessage::Rate(RateMessage::PromiseAsk { domain }) => {
                let clear = self.floor.promise(&domain);
                let clear_us = clear.map(crate::execute::micros);
                PeerMessage::Rate(RateMessage::Promise { clear_us })
            }
            PeerMessage::Rate(message) => PeerMessage::Rate(self.rates.handle(message)),
            PeerMessage::Schedule(ScheduleMessage::Marks(marks)) => {
                self.executor.crash_marks.merge(&marks, self.executor.context.clock.now());
                PeerMessage::Schedule(ScheduleMessage::Ack)
            }
            PeerMessage::Schedule(message) => {
                PeerMessage::Schedule(self.slots.handle(from, message).await)
            }
            PeerMessage::Membership(message) => {
                PeerMessage::Membership(self.membership.handle(&from, &domain, &message))
            }
            PeerMessage::Idempotency(message) => {
                PeerMessage::Idempotency(self.idempotency.handle(message))
            }
            PeerMessage::Batch(message) => PeerMessage::Batch(self.batch.handle(message).await),
            PeerMessage::Record(message) => self.records.handle(message).await,
            PeerMessage::Operator(message) => self.operators.handle(message).await,
            PeerMessage::Failed { code, message } => PeerMessage::Failed { code, message },
        }
    }
}
