//! The local instance, and the last state that its peers have sent.

use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;

use crate::Beacon;
use crate::Digest;
use crate::Report;

/// Identity of the local instance.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the instance.
    pub name: InstanceName,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// The instance takes callers' requests.
    pub front: bool,
}

/// The last state received from a hub.
#[derive(Clone, Debug)]
pub struct HubContact {
    /// The last beacon.
    pub beacon: Beacon,
    /// Time at which the last beacon was received.
    pub received_at: Time,
    /// Time at which the last beacon was received from the hub itself and not forwarded by another
    /// hub.
    pub direct_at: Option<Time>,
}

/// The last report received from a member of the group.
#[derive(Clone, Debug)]
pub struct MemberContact {
    /// The report.
    pub report: Report,
    /// Time at which it was received.
    pub received_at: Time,
}

/// The last digest received from the assigned hub.
#[derive(Clone, Debug)]
pub struct ReceivedDigest {
    /// The digest.
    pub digest: Digest,
    /// Time at which it was received.
    pub received_at: Time,
}
