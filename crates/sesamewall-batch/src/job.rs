//! States of a job.

use serde::Deserialize;
use serde::Serialize;

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// The input is being checked.
    #[display("validating")]
    Validating,
    /// Workers run the segments.
    #[display("in_progress")]
    InProgress,
    /// All segments are committed and the output files are being recorded.
    #[display("finalizing")]
    Finalizing,
    /// All items have an outcome.
    #[display("completed")]
    Completed,
    /// The workers stop.
    #[display("cancelling")]
    Cancelling,
    /// Cancelled by the caller or an operator.
    #[display("cancelled")]
    Cancelled,
    /// Stopped because its due time has passed.
    #[display("expired")]
    Expired,
}

/// An event that changes a job's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobEvent {
    /// The input is valid and stored.
    Validated,
    /// All segments are committed.
    AllCommitted,
    /// The output files are recorded.
    FilesRecorded,
    /// The caller or an operator cancels, or the due time has passed.
    Stop,
    /// No worker has a claim on a segment of the stopped job.
    Stopped {
        /// True if the due time stopped the job.
        expired: bool,
    },
}

impl JobState {
    /// Returns the state after `event`, or `None` if the event does not apply.
    pub fn after(self, event: JobEvent) -> Option<Self> {
        match (self, event) {
            (Self::Validating, JobEvent::Validated) => Some(Self::InProgress),
            (Self::InProgress, JobEvent::AllCommitted) => Some(Self::Finalizing),
            (Self::Finalizing, JobEvent::FilesRecorded) => Some(Self::Completed),
            (Self::Validating | Self::InProgress, JobEvent::Stop) => Some(Self::Cancelling),
            (Self::Cancelling, JobEvent::Stopped { expired: true }) => Some(Self::Expired),
            (Self::Cancelling, JobEvent::Stopped { expired: false }) => Some(Self::Cancelled),
            _ => None,
        }
    }

    /// Returns whether the job has ended.
    pub fn is_ended(self) -> bool {
        matches!(self, Self::Completed | Self::Cancelled | Self::Expired)
    }
}

/// Returns whether an object that ended at `ended_ms` is still kept at `wall_ms`.
pub fn is_retained(ended_ms: u64, retention_seconds: u64, wall_ms: u64) -> bool {
    wall_ms < ended_ms.saturating_add(retention_seconds.saturating_mul(1000))
}
