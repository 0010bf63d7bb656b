//! Settings, record and actions of the lead lease.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use sesamewall_ports::Expect;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::peer::MembershipMessage;

/// The lease time of a lead.
pub const LEAD_LEASE: Duration = Duration::from_secs(3);

/// Time that a successor waits beyond the lease.
pub const LEAD_MARGIN: Duration = Duration::from_millis(500);

/// Settings of the lead lease. The switches exist so that tests can show that their checks report
/// a breach without the mechanism.
#[derive(Clone, Debug)]
pub struct LeadSettings {
    /// Lease time.
    pub lease: Duration,
    /// Time that a successor waits beyond the lease.
    pub margin: Duration,
    /// Time between two renewals.
    pub renew: Duration,
    /// Time without contact with the lead after which the record is read.
    pub suspect: Duration,
    /// Waits for the end of the old lease before a claim.
    pub wait: bool,
    /// Ends the own lease by the own clock.
    pub expire: bool,
}

impl Default for LeadSettings {
    fn default() -> Self {
        Self {
            lease: LEAD_LEASE,
            margin: LEAD_MARGIN,
            renew: Duration::from_secs(1),
            suspect: Duration::from_millis(1_500),
            wait: true,
            expire: true,
        }
    }
}

/// The value of the store record `lead/<domain>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadRecord {
    /// The holder, or the successor after a hand-over.
    pub instance: InstanceName,
    /// Rises by at least one with each holder; the fencing token.
    pub epoch: u64,
    /// Random number by which the writer recognises its own write after an unclear answer.
    pub token: u64,
    /// The named instance may claim at once.
    #[serde(default)]
    pub handed_over: bool,
}

/// Something that the lead lease wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum LeadAction {
    /// Read the record and report with `Lead::read`.
    Read {
        /// Number of the call.
        call: u64,
    },
    /// Write the record and report with `Lead::written`.
    Put {
        /// Number of the call.
        call: u64,
        /// The value.
        record: LeadRecord,
        /// Condition of the write.
        expect: Expect,
    },
    /// Send a message to an instance of the own failure domain.
    Send {
        /// The receiver.
        to: InstanceName,
        /// The message.
        message: MembershipMessage,
    },
    /// This instance became lead with this epoch.
    Gained(u64),
    /// This instance is no longer lead.
    Lost(u64),
}
