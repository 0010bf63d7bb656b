//! Messages of membership and configuration.

use serde::Deserialize;
use serde::Serialize;

use crate::Change;
use crate::DomainName;
use crate::InstanceName;

/// A message between instances about who is live and which configuration is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Reports that the sender is live.
    Heartbeat(Heartbeat),
    /// Answers a heartbeat.
    HeartbeatReply(HeartbeatReply),
    /// Asks for configuration changes after a revision.
    ConfigAsk {
        /// The last revision that the sender has in force.
        after: u64,
    },
    /// Carries configuration changes in order.
    ConfigDiff {
        /// The changes.
        changes: Vec<Change>,
    },
    /// Acknowledges a message that needs no other answer.
    Ack,
}

/// Reports that an instance is live.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub instance: InstanceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Revision of the configuration in force.
    pub revision: u64,
    /// Lead epoch that the sender believes, zero if none.
    pub epoch: u64,
    /// The sender asks for a promise not to claim the lead.
    pub wants_promise: bool,
    /// Body hashes of requests that were running at a crash: account, hash in hex, marks.
    pub suspects: Vec<(String, String, u8)>,
}

/// Answers a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Revision of the configuration in force at the receiver.
    pub revision: u64,
    /// Lead epoch that the receiver believes.
    pub epoch: u64,
    /// The lead that the receiver believes.
    pub lead: Option<InstanceName>,
    /// The receiver promises not to claim the lead for the lease time.
    pub promised: bool,
    /// Suspects known at the receiver.
    pub suspects: Vec<(String, String, u8)>,
}
