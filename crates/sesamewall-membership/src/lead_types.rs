//! Settings, record and actions of the lead lease.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use sesamewall_ports::Precondition;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::LeadNotice;
use sesamewall_protocol::peer::MembershipMessage;

/// The lease time of a lead.
pub const LEAD_LEASE: Duration = Duration::from_secs(2);

/// Time that a successor waits beyond the lease.
pub const LEAD_MARGIN: Duration = Duration::from_millis(500);

/// Time between two renewals of the lease.
pub const LEAD_RENEWAL: Duration = Duration::from_millis(600);

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
            renew: LEAD_RENEWAL,
            suspect: Duration::from_millis(1_500),
            wait: true,
            expire: true,
        }
    }
}

/// The value of the store record `lead/<domain>`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
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
        expect: Precondition,
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

/// The own lease.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub(crate) epoch: u64,
    pub(crate) version: Option<u64>,
    pub(crate) renewed: Time,
    pub(crate) store_until: Time,
    pub(crate) promise_until: Time,
}

/// The newest known state of the record; the record is unknown if a notice named the version.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) version: u64,
    pub(crate) record: Option<LeadRecord>,
    pub(crate) since: Time,
}

/// The store call in flight; `put` is the value of a write.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) number: u64,
    pub(crate) start: Time,
    pub(crate) put: Option<LeadRecord>,
}

/// The newest round of promise asks.
#[derive(Clone, Debug)]
pub(crate) struct Round {
    pub(crate) sequence: u64,
    pub(crate) start: Time,
    pub(crate) epoch: u64,
    pub(crate) promised: BTreeSet<InstanceName>,
}

/// The newest promise given.
#[derive(Clone, Debug)]
pub(crate) struct Promise {
    pub(crate) to: InstanceName,
    pub(crate) until: Time,
}

/// The own hand-over: the call that writes it, the successor and the last own notice.
#[derive(Clone, Debug)]
pub(crate) struct HandOver {
    pub(crate) call: u64,
    pub(crate) to: InstanceName,
    pub(crate) notice: LeadNotice,
}
