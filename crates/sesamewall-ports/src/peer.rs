//! Traits for messages between instances.

use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Result;
use sesamewall_protocol::peer::PeerMessage;

/// Addresses at which peers reach an instance, as `IP:PORT`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerAddress {
    /// Address for peer messages.
    pub peer: String,
    /// Address for requests forwarded from other failure domains.
    pub forward: String,
}

/// Sends messages to other instances.
#[async_trait]
pub trait PeerLink: Send + Sync {
    /// Sends `message` to the instance at `address` and returns its reply. A lost message and
    /// a lost reply return the same error.
    async fn exchange(&self, address: &PeerAddress, message: PeerMessage) -> Result<PeerMessage>;
}

/// Handles messages from other instances.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Handles `message` from `from`, an instance of `domain`, and returns the reply.
    async fn handle(
        &self,
        from: InstanceName,
        domain: DomainName,
        message: PeerMessage,
    ) -> PeerMessage;
}
