//! Messages for admission to targets.

use serde::Deserialize;
use serde::Serialize;

use crate::AccountName;
use crate::Class;
use crate::ModelName;
use crate::RequestId;
use crate::TargetName;

/// A message between an instance and the lead that owns admission to its targets.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum ScheduleMessage {
    /// Requests a slot. The reply is `Slot` or `Denied`; it is delayed while the request waits.
    Ask(SlotRequest),
    /// Grants a slot.
    Slot(Slot),
    /// Denies a slot.
    Denied {
        /// The request.
        request: RequestId,
        /// Numbered result code.
        code: u16,
        /// Named values on which the rule decided.
        numbers: Vec<(String, f64)>,
    },
    /// Reports the result of a request that had a slot.
    Done(SlotRelease),
    /// Preempts a slot: the slot holder must cancel the batch stream and keep its tokens.
    Yield {
        /// Number of the slot to release.
        slot: u64,
        /// Epoch of the lead that granted the slot.
        epoch: u64,
    },
    /// Cancels a waiting slot request because the caller disconnected.
    Cancel {
        /// The request.
        request: RequestId,
    },
    /// Requests a report of all slots that the receiver holds.
    Sync,
    /// Reports all slots that the sender holds, whichever lead granted them.
    Held(Vec<HeldSlot>),
    /// Reports blocks that a target's prefix cache gained and lost.
    Cache(CacheHint),
    /// Forwards crash marks of suspect requests.
    Marks(Vec<CrashMark>),
    /// Acknowledges a message that needs no other reply.
    Ack,
}

/// Requests a slot on a target.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SlotRequest {
    /// The request.
    pub request: RequestId,
    /// The client account, for fair queueing.
    pub account: AccountName,
    /// Weight of the account.
    pub weight: f64,
    /// Service class.
    pub class: Class,
    /// The model or service.
    pub model: ModelName,
    /// Expected work in tokens: prompt plus output.
    pub work: u64,
    /// Prompt tokens, including kept output tokens of a resumed stream; a cancelled stream computes
    /// these again.
    #[serde(default)]
    pub prompt: u64,
    /// The batch item is past its latest start time; it goes before other batch work.
    #[serde(default)]
    pub urgent: bool,
    /// Hashes of the prompt's prefix blocks, longest prefix last.
    pub prefix: Vec<u64>,
    /// Microseconds from now until the request is refused if it still waits.
    pub wait_us: u64,
    /// Targets that must not be used again for this request.
    pub exclude: Vec<TargetName>,
    /// The request must run alone on a target because it was running at a crash.
    pub isolated: bool,
}

/// A right to send one request to one target.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Slot {
    /// Number of the slot, unique within the epoch.
    pub slot: u64,
    /// Epoch of the lead.
    pub epoch: u64,
    /// The request.
    pub request: RequestId,
    /// The target to send to.
    pub target: TargetName,
    /// Base URL of the target.
    pub address: String,
    /// Why this target was chosen.
    pub reason: String,
    /// Microseconds spent in the queue.
    pub wait_us: u64,
}

impl Slot {
    /// Returns whether the request goes to an instance of another failure domain, whose lead grants
    /// the slot on a target. Epochs of leads start at 1.
    pub fn is_forward(&self) -> bool {
        self.epoch == 0
    }
}

/// Releases a slot and reports the result of its request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SlotRelease {
    /// The slot.
    pub slot: u64,
    /// Epoch of the lead that granted it.
    pub epoch: u64,
    /// The target.
    pub target: TargetName,
    /// Result of the request.
    pub end: SlotResult,
    /// Microseconds from sending to the first token, if one came.
    pub first_token_us: Option<u64>,
    /// Prompt and output tokens actually used.
    pub work: u64,
}

/// Result of a request on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum SlotResult {
    /// The target returned a complete response.
    Whole,
    /// The target refused the request because it is overloaded.
    Overloaded,
    /// The target reported that it is starting or cold.
    Cold,
    /// The target reported that it is leaving.
    Leaving,
    /// The connection was refused, so no byte was sent.
    Unreachable,
    /// The connection broke while the request ran.
    Crashed,
    /// The request failed in another way, for example with an error response.
    Failed,
    /// The caller or the scheduler cancelled the request.
    Cancelled,
}

/// A slot that an instance holds, as reported to a lead.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct HeldSlot {
    /// The slot.
    pub slot: u64,
    /// Epoch of the lead that granted it.
    pub epoch: u64,
    /// The request.
    pub request: RequestId,
    /// The client account.
    pub account: AccountName,
    /// Service class.
    pub class: Class,
    /// The model or service.
    pub model: ModelName,
    /// The target.
    pub target: TargetName,
    /// Expected work in tokens.
    pub work: u64,
    /// Prompt tokens.
    pub prompt: u64,
    /// The request runs alone on the target.
    pub isolated: bool,
}

/// Changes of a target's prefix cache. Hints arrive late and can be missing.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CacheHint {
    /// The target.
    pub target: TargetName,
    /// Number of the event, which increases by one at the target; a jump means missing events.
    pub sequence: u64,
    /// Hashes of blocks now cached.
    pub added: Vec<u64>,
    /// Hashes of blocks no longer cached.
    pub removed: Vec<u64>,
}

/// Records that a request was running when a target crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashMark {
    /// The client account.
    pub account: AccountName,
    /// SHA-256 of the request body, in hex.
    pub body: String,
    /// Unique name of the attempt that crashed, the same in every copy of the mark.
    pub attempt: String,
    /// The target that crashed.
    pub target: TargetName,
    /// Microseconds since the crash.
    pub age_us: u64,
    /// The request later completed alone, so the mark no longer counts.
    pub cleared: bool,
}
