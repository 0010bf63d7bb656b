//! Messages of membership and configuration. The envelope names the sender and its failure domain.

use serde::Deserialize;
use serde::Serialize;

use crate::Change;
use crate::DomainName;
use crate::InstanceName;

/// A message between instances about live instances, leads and the configuration in force. A
/// receiver may respond in the reply on the peer link or in a separate message.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Reports that the sender is live.
    #[serde(rename = "hb")]
    Heartbeat(Heartbeat),
    /// Replies to a heartbeat.
    #[serde(rename = "hr")]
    HeartbeatReply(HeartbeatReply),
    /// Exchanges the state of two failure domains between their leads.
    Digest(DomainDigest),
    /// Queries whether the receiver is the lead.
    LeadAsk,
    /// Announces that the sender is the lead.
    LeadNotice(LeadNotice),
    /// Requests a promise not to claim the lead.
    PromiseAsk(PromiseRequest),
    /// Replies to a promise request.
    PromiseReply(PromiseReply),
    /// Informs the successor that the sender is no longer lead and has stopped granting.
    HandOver(LeadNotice),
    /// Requests the configuration changes after a revision.
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
        /// The chunk as it is stored, including its revision, position and checksum.
        chunk: String,
    },
    /// Acknowledges a message that needs no other reply.
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
    /// Checksum of the leads known to the sender; the reply omits the leads if it matches.
    #[serde(rename = "v")]
    pub view: u32,
    /// The sender is about to stop.
    #[serde(rename = "g", default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Suspect requests, which were running at a target crash: account, body hash in hex, number
    /// of crash marks.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<(String, String, u8)>,
}

/// Replies to a heartbeat.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Revision of the configuration in force at the receiver.
    #[serde(rename = "r")]
    pub revision: u64,
    /// The receiver's lead notice; absent if it is not the lead.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub notice: Option<LeadNotice>,
    /// Reachable leads of all failure domains, with their epochs; present only if the sender of
    /// the heartbeat knows different ones.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub leads: Option<Vec<(DomainName, InstanceName, u64)>>,
    /// Suspect requests known at the receiver.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<(String, String, u8)>,
}

/// Announces that the sender is the lead of its failure domain.
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

/// Requests a promise not to claim the lead for the lease time.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PromiseRequest {
    /// Number of the promise round, which increases within the sender's incarnation.
    pub sequence: u64,
    /// Epoch of the sender's term, or of the term that it wants to start.
    pub epoch: u64,
    /// The sender is lead.
    pub holds: bool,
}

/// Replies to a promise request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PromiseReply {
    /// Number of the promise round.
    pub sequence: u64,
    /// The receiver will not claim the lead for the lease time.
    pub promised: bool,
    /// Highest epoch that the receiver has seen.
    pub epoch: u64,
}

/// Describes a failure domain to the leads of the other failure domains.
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
    /// Checksum of the live instances of the receiver's failure domain, as known to the sender.
    pub known: u32,
    /// The live instances, with true for those that are about to stop; present only if the
    /// receiver knows different ones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instances: Option<Vec<(InstanceName, bool)>>,
    /// Suspect requests known in the failure domain.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<(String, String, u8)>,
}
