//! Store records of files, jobs, segments and workers.

use serde::Deserialize;
use serde::Serialize;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::JobId;

use crate::JobState;
use crate::SegmentRange;

/// Name of a blob and the storage instances that have its copies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BlobRef {
    /// Name of the blob.
    pub name: String,
    /// Storage instances that have a copy.
    pub holders: Vec<InstanceName>,
    /// Length in bytes once the blob is complete; 0 while it is being written.
    pub length: u64,
    /// Fencing token under which the blob is written; 0 for uploaded files.
    pub fence: u64,
}

/// Source of the content of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FileSource {
    /// An uploaded blob.
    Blob(BlobRef),
    /// The lines of the committed result blobs of a job.
    Results {
        /// The job.
        job: JobId,
        /// True if the file contains the error lines, false if the lines of complete responses.
        errors: bool,
    },
}

/// A file of a client account, stored under `batch/file/<id>`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct FileRecord {
    /// Identifier.
    pub id: String,
    /// Owner.
    pub account: AccountName,
    /// Name given by the caller.
    pub filename: String,
    /// `batch` or `batch_output`.
    pub purpose: String,
    /// Length in bytes.
    pub bytes: u64,
    /// Wall time of creation in milliseconds.
    pub created_ms: u64,
    /// Content.
    pub source: FileSource,
    /// Endpoint of all lines of a batch input file.
    pub endpoint: String,
    /// Segments of a batch input file.
    pub segments: Vec<SegmentRange>,
    /// Wall time in milliseconds at which the owner deleted the file. The blob is kept until all
    /// jobs that were created earlier must have ended.
    #[serde(default)]
    pub deleted_ms: Option<u64>,
    /// Unique text of the write, by which a writer recognizes the record that it wrote.
    pub token: String,
}

/// Item counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    /// Items of the job or segment.
    pub total: u64,
    /// Items with a complete response.
    pub completed: u64,
    /// Items that failed.
    pub failed: u64,
}

impl Counts {
    /// Adds the counts of completed and failed items of `other`. The total does not change.
    pub fn add_ended(&mut self, other: Self) {
        self.completed += other.completed;
        self.failed += other.failed;
    }
}

/// A job, stored under `batch/job/<id>`. The record is written only when the state of the job
/// changes.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobRecord {
    /// Identifier.
    pub id: JobId,
    /// Owner.
    pub account: AccountName,
    /// Input file.
    pub file: String,
    /// Endpoint of all items.
    pub endpoint: String,
    /// State.
    pub state: JobState,
    /// True if the job passed its due time; it then ends as `expired`.
    #[serde(default)]
    pub expired: bool,
    /// Number of segments.
    pub segments: u32,
    /// Item counts; those of completed and failed items are set when the job ends.
    pub counts: Counts,
    /// Tokens that the items are expected to take, prompts and responses together.
    #[serde(default)]
    pub work: u64,
    /// Wall time of creation in milliseconds.
    pub created_ms: u64,
    /// Wall time by which the job is due, in milliseconds.
    pub due_ms: u64,
    /// Wall time at which a cancellation was accepted, in milliseconds.
    #[serde(default)]
    pub cancelling_ms: Option<u64>,
    /// Wall time at which the job ended, in milliseconds.
    #[serde(default)]
    pub ended_ms: Option<u64>,
    /// Metadata of the caller.
    #[serde(default)]
    pub metadata: serde_json::Value,
    /// True if the idempotency key of the caller is part of the identifier.
    #[serde(default)]
    pub keyed: bool,
    /// Unique text of the write.
    pub token: String,
}

/// State of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SegmentState {
    /// A worker has claimed it and runs its items.
    Claimed,
    /// A worker released its claim; the segment can be claimed at once.
    Released,
    /// The result blob is final.
    Committed,
}

/// A segment, stored under `batch/segment/<job>/<n>`. The record does not exist before the first
/// claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SegmentRecord {
    /// State.
    pub state: SegmentState,
    /// The worker that last claimed it, or committed it.
    pub holder: InstanceName,
    /// Process incarnation of that worker.
    pub incarnation: String,
    /// Fencing token; it rises with each claim.
    pub fence: u64,
    /// Number of earlier claims. Each time a segment is released, it waits longer.
    #[serde(default)]
    pub attempt: u32,
    /// Wall time in milliseconds since which the input or the earlier results could not be read.
    #[serde(default)]
    pub unread_ms: Option<u64>,
    /// Result blobs with outcomes, oldest first; a single one once the segment is committed.
    pub blobs: Vec<BlobRef>,
    /// Counts, set by the commit.
    pub counts: Counts,
    /// Bytes of complete responses, set by the commit.
    pub output_bytes: u64,
    /// Bytes of error lines, set by the commit.
    pub error_bytes: u64,
    /// Unique text of the write.
    pub token: String,
}

impl SegmentRecord {
    /// Returns whether nothing remains to be committed: the segment is committed, or the job stops
    /// and no claim of the segment has run items.
    pub fn is_settled(&self, stopping: bool) -> bool {
        let unused = self.state == SegmentState::Released && self.blobs.is_empty();
        self.state == SegmentState::Committed || (stopping && unused)
    }
}

/// Heartbeat of a worker, stored under `batch/worker/<instance>`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Process incarnation.
    pub incarnation: String,
    /// Number that rises with each renewal.
    pub beat: u64,
    /// Wall time of the renewal in milliseconds, used only to remove old records.
    #[serde(default)]
    pub renewed_ms: u64,
}
