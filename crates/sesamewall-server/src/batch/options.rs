//! Options of batch work.

use std::time::Duration;

use sesamewall_batch::COPIES_PER_BLOB;

/// Options of batch work. The boolean options disable a mechanism, so that a test can detect its
/// absence.
#[derive(Clone, Debug)]
pub struct BatchOptions {
    /// Number of copies of each blob.
    pub copies: usize,
    /// A commit compares the segment record with the version of the worker's claim.
    pub fence_compare: bool,
    /// An intent is stored before a non-idempotent item is sent.
    pub intent: bool,
    /// A successor seals the result blobs of earlier claims before it runs items.
    pub seal: bool,
    /// A write whose reply was lost is read back.
    pub read_back: bool,
    /// Largest number of segments that the instance runs concurrently.
    pub max_segments: usize,
    /// Limit of the size of an uploaded file, in bytes.
    pub file_limit: usize,
    /// Interval between repair passes.
    pub repair_interval: Duration,
    /// Number of blobs checked in one repair pass, and of records of each kind checked for removal.
    pub repair_blobs: usize,
    /// TTL of a blob that no record names.
    pub orphan_ttl: Duration,
    /// Records past their retention that no blob refers to are removed.
    pub sweep: bool,
    /// The choice of segments uses the weights of the accounts.
    pub weights: bool,
    /// Time limit for reading the input or the earlier results of a segment while no copy can be
    /// read. After it, the items end with an error code.
    pub unread_limit: Duration,
    /// The same limit for a job that is being cancelled.
    pub unread_limit_stopping: Duration,
    /// Time for which running items may continue when the instance shuts down, before the
    /// idempotent ones are cancelled.
    pub drain_timeout: Duration,
    /// Time before the job's due time from which its items are sent as urgent, because they are
    /// past their latest start.
    pub urgent_margin: Duration,
    /// Seed for tokens and for the choice of segments and storage instances; random if absent.
    pub seed: Option<u64>,
}

impl Default for BatchOptions {
    fn default() -> Self {
        Self {
            copies: COPIES_PER_BLOB,
            fence_compare: true,
            intent: true,
            seal: true,
            read_back: true,
            max_segments: 4,
            file_limit: 1 << 30,
            repair_interval: Duration::from_secs(60),
            repair_blobs: 256,
            orphan_ttl: Duration::from_secs(3600),
            sweep: true,
            weights: true,
            unread_limit: Duration::from_secs(3600),
            unread_limit_stopping: Duration::from_secs(300),
            drain_timeout: Duration::from_secs(3),
            urgent_margin: Duration::from_secs(4 * 3600),
            seed: None,
        }
    }
}
