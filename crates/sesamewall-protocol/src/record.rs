//! Decision records, which explain refusals and request paths to operators.

use serde::Deserialize;
use serde::Serialize;

use crate::AccountName;
use crate::InstanceName;
use crate::JobId;
use crate::RequestId;

/// One step on the path of a request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Decision {
    /// The request was accepted at this instance.
    Accepted {
        /// Model or route that the request named.
        route: String,
    },
    /// A rate token was consumed.
    RateSpent {
        /// Microseconds that the request waited for the token.
        wait_us: u64,
    },
    /// The request was given a slot on a target.
    SlotGranted {
        /// The target.
        target: String,
        /// Microseconds that the request waited in the queue.
        wait_us: u64,
        /// Why this target was chosen.
        reason: String,
    },
    /// A target was tried and did not return a complete response.
    AttemptFailed {
        /// The target.
        target: String,
        /// Cause of the failure.
        reason: String,
    },
    /// The request was forwarded to another failure domain.
    Forwarded {
        /// The receiving instance.
        instance: InstanceName,
    },
    /// The request was refused or failed.
    Refused {
        /// Numbered result code.
        code: u16,
        /// The rule that refused it.
        rule: String,
        /// Named values on which the rule decided.
        numbers: Vec<(String, f64)>,
        /// `not-run`, `run` or `unknown`.
        outcome: crate::Outcome,
    },
    /// The complete response was sent.
    Completed {
        /// HTTP status of the response.
        status: u16,
        /// Tokens in the response, if the target reported them.
        tokens: u64,
    },
    /// A batch item ended. Recorded for each item that failed or was retried, and for the first
    /// item of each segment.
    ItemEnded {
        /// The job.
        job: JobId,
        /// The caller's identifier of the item; absent if the input was lost.
        custom_id: Option<String>,
        /// Index of the segment.
        segment: u32,
        /// Number of attempts under this claim and earlier ones, as far as the claim knows them.
        attempts: u32,
        /// Numbered result code; 0 for a complete response.
        code: u16,
        /// `not-run`, `run` or `unknown`, over all attempts.
        outcome: crate::Outcome,
        /// Reason of the last failure.
        reason: String,
    },
    /// A segment of a batch job was committed.
    SegmentEnded {
        /// The job.
        job: JobId,
        /// Index of the segment.
        segment: u32,
        /// Items with a complete response.
        completed: u64,
        /// Items that ended with an error.
        failed: u64,
        /// Items whose path was recorded in full.
        noted: u32,
    },
}

/// A decision with the instance and the time at which it was made.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Wall time in milliseconds since the Unix epoch, for display only.
    pub at_ms: u64,
    /// The instance that decided.
    pub instance: InstanceName,
    /// Number of the record at its instance, counted from the start of the process. It orders
    /// records of the same millisecond and distinguishes copies of one record from two equal
    /// decisions.
    #[serde(default)]
    pub sequence: u64,
    /// The request or item.
    pub request: RequestId,
    /// The client account, if it was known.
    pub account: Option<AccountName>,
    /// What was decided.
    pub decision: Decision,
}
