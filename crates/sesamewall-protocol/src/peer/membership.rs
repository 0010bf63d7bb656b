//! Messages of membership and configuration. The envelope names the sender and its failure domain.

use serde::Deserialize;
use serde::Serialize;

use crate::Change;
use crate::DomainName;
use crate::InstanceName;

/// A message between instances about who is live and which configuration is in force. A receiver
/// may send its answer as the reply on the link or as a message of its own.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Reports that the sender is live.
    #[serde(rename = "hb")]
    Heartbeat(Heartbeat),
    /// Answers a heartbeat.
    #[serde(rename = "hr")]
    HeartbeatReply(HeartbeatReply),
    /// Exchanges the state of two failure domains between their leads.
    Digest(DomainDigest),
    /// Asks whether the receiver is the lead.
    LeadAsk,
    /// Tells that the sender is the lead.
    LeadNotice(LeadNotice),
    /// Asks for a promise not to claim the lead.
    PromiseAsk(PromiseRequest),
    /// Answers a promise ask.
    PromiseReply(PromiseReply),
    /// Tells the successor that the sender is no longer lead and has stopped to grant.
    HandOver(LeadNotice),
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
    /// Carries one chunk of a snapshot for an instance that is too far behind for changes.
    ConfigSnapshot {
        /// The chunk as in the store, with its own revision, position and checksum.
        chunk: String,
    },
    /// Acknowledges a message that needs no other answer.
    Ack,
}

/// Reports that an instance is live. A lead at the planned size exchanges 54 of these a second, so
/// the fields have short names on the wire.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// Revision of the configuration in force.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Checksum of the leads that the sender knows, so that the reply need not repeat them.
    #[serde(rename = "v")]
    pub view: u32,
    /// The sender is about to stop.
    #[serde(rename = "g", default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Body hashes of requests that were running at a crash: account, hash in hex, marks.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<(String, String, u8)>,
}

/// Answers a heartbeat.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Revision of the configuration in force at the receiver.
    #[serde(rename = "r")]
    pub revision: u64,
    /// The receiver's lead notice; absent if it is not the lead.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub notice: Option<LeadNotice>,
    /// Reachable leads of all failure domains, if the sender of the heartbeat knows others.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub leads: Option<Vec<(DomainName, InstanceName, u64)>>,
    /// Suspects known at the receiver.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<(String, String, u8)>,
}

/// Tells that the sender is the lead of its failure domain.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LeadNotice {
    /// Epoch of the lead.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Version of the lead record in the store; zero if the sender has not written it.
    #[serde(rename = "v")]
    pub version: u64,
    /// Milliseconds since the start of the renewal that wrote the version.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// Asks for a promise not to claim the lead for the lease time.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PromiseRequest {
    /// Number of the round, rising within the sender's incarnation.
    pub sequence: u64,
    /// Epoch that the sender holds or wants to hold.
    pub epoch: u64,
    /// The sender is lead.
    pub holds: bool,
}

/// Answers a promise ask.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PromiseReply {
    /// Number of the round.
    pub sequence: u64,
    /// The receiver will not claim the lead for the lease time.
    pub promised: bool,
    /// Highest epoch that the receiver has seen.
    pub epoch: u64,
}

/// Describes a failure domain to the leads of the others.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct DomainDigest {
    /// The failure domain.
    pub domain: DomainName,
    /// Epoch of its lead.
    pub epoch: u64,
    /// Revision of the configuration in force at its lead.
    pub revision: u64,
    /// The lead that sent it.
    pub lead: InstanceName,
    /// Checksum of the live instances of the failure domain.
    pub view: u32,
    /// Checksum of the receiver's live instances that the sender knows.
    pub known: u32,
    /// The live instances, with true for those that are about to stop; only if the receiver knows
    /// others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instances: Option<Vec<(InstanceName, bool)>>,
    /// Suspects known in the failure domain.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<(String, String, u8)>,
}
