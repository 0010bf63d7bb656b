//! Hands messages of other instances to the services that they are for.

use std::sync::Arc;

use async_trait::async_trait;
use sesamewall_ports::PeerHandler;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::peer::PeerMessage;
use sesamewall_protocol::peer::ScheduleMessage;

use crate::execute::Executor;
use crate::rate_service::RateService;
use crate::slot_service::SlotService;

/// Handles messages of other instances.
pub struct PeerService {
    rates: Arc<RateService>,
    slots: Arc<SlotService>,
    executor: Arc<Executor>,
}

impl PeerService {
    /// Creates the handler.
    pub fn new(rates: Arc<RateService>, slots: Arc<SlotService>, executor: Arc<Executor>) -> Self {
        Self { rates, slots, executor }
    }
}

#[async_trait]
impl PeerHandler for PeerService {
    async fn handle(&self, from: InstanceName, message: PeerMessage) -> PeerMessage {
        match message {
            PeerMessage::Rate(message) => PeerMessage::Rate(self.rates.handle(message)),
            PeerMessage::Schedule(ScheduleMessage::Marks(marks)) => {
                self.executor.suspects.merge(&marks, self.executor.node.clock.now());
                PeerMessage::Schedule(ScheduleMessage::Ack)
            }
            PeerMessage::Schedule(message) => {
                PeerMessage::Schedule(self.slots.handle(from, message).await)
            }
            _ => PeerMessage::Failed { code: 9001, message: "message is not handled".to_owned() },
        }
    }
}
