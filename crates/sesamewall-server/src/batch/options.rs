//! Options of batch work.

use std::time::Duration;

use sesamewall_batch::COPIES_WANTED;

/// Options of batch work. The switches take a mechanism out, so that tests can show that their
/// checks notice it.
#[derive(Clone, Debug)]
pub struct BatchOptions {
    /// Copies of each blob.
    pub copies: usize,
    /// A commit compares the segment record with the version of the worker's claim.
    pub fence_compare: bool,
    /// An intent is stored before a non-idempotent item is sent.
    pub intent: bool,
    /// A successor seals the result blobs of earlier claims before it runs items.
    pub seal: bool,
    /// A write whose answer was lost is read back.
    pub read_back: bool,
    /// Segments that the instance runs at a time.
    pub max_segments: usize,
    /// Largest uploaded file in bytes.
    pub file_limit: usize,
    /// Time between repair passes.
    pub repair_interval: Duration,
    /// Blobs looked at in one repair pass.
    pub repair_blobs: usize,
    /// Time for which a blob without record is kept.
    pub orphan_ttl: Duration,
    /// Old records that no blob leads to are removed.
    pub sweep: bool,
    /// Account weights count in the choice of segments.
    pub weights: bool,
    /// Time for which the input or earlier results of a segment are waited for while no copy can
    /// be read. Then its items end with a numbered outcome.
    pub unread_limit: Duration,
    /// The same for a job that is being cancelled.
    pub unread_limit_stopping: Duration,
    /// Time for which running items go on when the instance shuts down, before those that may be
    /// repeated are cancelled.
    pub drain_timeout: Duration,
    /// Time before an item's due time from which it counts as past its latest start.
    pub urgent_margin: Duration,
    /// Seed for tokens and spreading; a random one without it.
    pub seed: Option<u64>,
}

impl Default for BatchOptions {
    fn default() -> Self {
        Self {
            copies: COPIES_WANTED,
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
