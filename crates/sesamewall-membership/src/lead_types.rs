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

/// Duration of the lead lease.
pub const LEAD_LEASE: Duration = Duration::from_secs(2);

/// Time that a successor waits beyond the lease.
pub const LEAD_MARGIN: Duration = Duration::from_millis(500);

/// Interval between two renewals of the lease.
pub const LEAD_RENEWAL: Duration = Duration::from_millis(600);

/// Settings of the lead lease. `wait_lease` and `check_lease` can be disabled so that a test can
/// detect the violations that follow.
#[derive(Clone, Debug)]
pub struct LeadSettings {
    /// Duration of the lease.
    pub lease: Duration,
    /// Time that a successor waits beyond the lease.
    pub margin: Duration,
    /// Interval between two renewals.
    pub renew_interval: Duration,
    /// Time without contact with the lead after which an instance reads the record.
    pub contact_timeout: Duration,
    /// Whether a claim waits for the end of the previous lease.
    pub wait_lease: bool,
    /// Whether the lead ends its lease by the local clock.
    pub check_lease: bool,
}

impl Default for LeadSettings {
    fn default() -> Self {
        Self {
            lease: LEAD_LEASE,
            margin: LEAD_MARGIN,
            renew_interval: LEAD_RENEWAL,
            contact_timeout: Duration::from_millis(1_500),
            wait_lease: true,
            check_lease: true,
        }
    }
}

/// The value of the store record `lead/<domain>`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeadRecord {
    /// The lead, or its successor after a hand-over.
    pub instance: InstanceName,
    /// The fencing token, which increases by at least one with each lead.
    pub epoch: u64,
    /// Random number by which the writer recognises its write after an unknown outcome.
    pub token: u64,
    /// Whether the previous lead handed over, so that `instance` may claim at once.
    #[serde(default)]
    pub handed_over: bool,
}

/// An action or an event that `Lead` returns to its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum LeadAction {
    /// Read the record and pass the result to `Lead::on_read`.
    Read {
        /// Number of the call.
        call: u64,
    },
    /// Write the record and pass the result to `Lead::on_written`.
    Put {
        /// Number of the call.
        call: u64,
        /// The value.
        record: LeadRecord,
        /// Condition of the write.
        expect: Precondition,
    },
    /// Send a message to an instance of the local failure domain.
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

/// The lease of this instance while it is lead.
#[derive(Clone, Debug)]
pub(crate) struct HeldLease {
    pub(crate) epoch: u64,
    pub(crate) version: Option<u64>,
    pub(crate) renewed_at: Time,
    pub(crate) store_until: Time,
    pub(crate) promise_until: Time,
}

/// The newest known state of the store record. Its content is unknown if the version comes from a
/// notice.
#[derive(Clone, Debug)]
pub(crate) struct RecordState {
    pub(crate) version: u64,
    pub(crate) record: Option<LeadRecord>,
    pub(crate) since: Time,
}

/// The store call in flight; `put` is the record of a write.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) number: u64,
    pub(crate) start: Time,
    pub(crate) put: Option<LeadRecord>,
}

/// The latest round of promise requests.
#[derive(Clone, Debug)]
pub(crate) struct PromiseRound {
    pub(crate) sequence: u64,
    pub(crate) start: Time,
    pub(crate) epoch: u64,
    pub(crate) promised: BTreeSet<InstanceName>,
}

/// The latest promise that this instance gave.
#[derive(Clone, Debug)]
pub(crate) struct Promise {
    pub(crate) to: InstanceName,
    pub(crate) until: Time,
}

/// A hand-over by this instance: the store call that precedes the message, the successor and the
/// last lead notice.
#[derive(Clone, Debug)]
pub(crate) struct HandOver {
    pub(crate) call: u64,
    pub(crate) to: InstanceName,
    pub(crate) notice: LeadNotice,
}
