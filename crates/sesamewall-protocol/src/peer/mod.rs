//! Messages between instances. Each area defines its own message type.

mod batch;
mod idempotency;
mod membership;
mod rate;
mod record;
mod schedule;

pub use batch::*;
pub use idempotency::*;
pub use membership::*;
pub use rate::*;
pub use record::*;
pub use schedule::*;

use serde::Deserialize;
use serde::Serialize;

/// A message or reply on the peer link.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// Rate grants.
    Rate(RateMessage),
    /// Slots on targets.
    Schedule(ScheduleMessage),
    /// Heartbeats, promises and configuration differences.
    Membership(MembershipMessage),
    /// Idempotency keys of online requests.
    Idempotency(IdempotencyMessage),
    /// Bulk data copies.
    Batch(BatchMessage),
    /// Decision records.
    Record(RecordMessage),
    /// Operator queries to one instance.
    Operator(OperatorMessage),
    /// The receiver could not handle the message.
    Failed {
        /// Numbered result code.
        code: u16,
        /// Cause of the failure.
        message: String,
    },
}
