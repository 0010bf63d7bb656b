//! Records of files, jobs, segments and workers as the store holds them.

use serde::Deserialize;
use serde::Serialize;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::JobId;

use crate::JobState;
use crate::SegmentRange;

/// Names a blob and the storage instances that hold it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BlobRef {
    /// Name of the blob.
    pub name: String,
    /// Storage instances that hold a copy.
    pub holders: Vec<InstanceName>,
    /// Length in bytes once the blob is complete, 0 while it is written.
    pub length: u64,
    /// Fencing token under which the blob is written; 0 for uploaded files.
    pub fence: u64,
}

/// Where the content of a file comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FileSource {
    /// An uploaded blob.
    Blob(BlobRef),
    /// The lines of a job's committed result blobs.
    Results {
        /// The job.
        job: JobId,
        /// The file has the error lines; otherwise the lines of complete responses.
        errors: bool,
    },
}

/// A file of a client account, under `batch/file/<id>`.
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
    /// Endpoint that all lines of a batch input file name.
    pub endpoint: String,
    /// Segments of a batch input file.
    pub segments: Vec<SegmentRange>,
    /// Wall time in milliseconds at which the owner deleted the file. The blob stays until jobs
    /// created before must have ended.
    #[serde(default)]
    pub deleted_ms: Option<u64>,
    /// Unique text of the write, by which a writer recognises its own write.
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
    /// Items that ended with an error.
    pub failed: u64,
}

impl Counts {
    /// Adds the counts of ended items; the total stays.
    pub fn add_ended(&mut self, other: Self) {
        self.completed += other.completed;
        self.failed += other.failed;
    }
}

/// A job, under `batch/job/<id>`. It is written only when its state changes.
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
    /// The job ran past its due time; it ends as `expired`.
    #[serde(default)]
    pub expired: bool,
    /// Number of segments.
    pub segments: u32,
    /// Counts; those of ended items are set when the job ends.
    pub counts: Counts,
    /// Tokens that the items are expected to take, prompts and answers together.
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
    /// The caller's metadata.
    #[serde(default)]
    pub metadata: serde_json::Value,
    /// The caller's idempotency key is part of the identifier.
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
    /// A worker runs it.
    Claimed,
    /// A worker gave it back; it can be claimed at once.
    Released,
    /// The result blob is final.
    Committed,
}

/// A segment, under `batch/segment/<job>/<n>`. It does not exist before its first claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SegmentRecord {
    /// State.
    pub state: SegmentState,
    /// The worker that holds or committed it.
    pub holder: InstanceName,
    /// The holder's process incarnation.
    pub incarnation: String,
    /// Fencing token; rises with each claim.
    pub fence: u64,
    /// Number of claims before this one; a segment that is given back waits longer each time.
    #[serde(default)]
    pub attempt: u32,
    /// Wall time in milliseconds since which the input or earlier results cannot be read.
    #[serde(default)]
    pub unread_ms: Option<u64>,
    /// Result blobs with outcomes, oldest first; one once committed.
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
    /// Tells whether nothing is left to commit: the segment is committed, or the job stops and no
    /// claim of the segment came to run items.
    pub fn is_settled(&self, stopping: bool) -> bool {
        let unused = self.state == SegmentState::Released && self.blobs.is_empty();
        self.state == SegmentState::Committed || (stopping && unused)
    }
}

/// A worker's heartbeat, under `batch/worker/<instance>`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Process incarnation.
    pub incarnation: String,
    /// Rises with each renewal.
    pub beat: u64,
    /// Wall time of the renewal in milliseconds. It serves only to remove old records.
    #[serde(default)]
    pub renewed_ms: u64,
}
