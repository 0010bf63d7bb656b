//! Which accepted jobs a worker reads into its memory next.
//!
//! The bodies of accepted jobs are in the store. A worker holds those of as many jobs as fit into a
//! part of its memory, and reads the others once jobs have ended.

use crate::ItemRank;

/// A job whose bodies the worker does not hold.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnreadJob<J> {
    /// Rank of its items.
    pub rank: ItemRank,
    /// The job.
    pub job: J,
    /// Bytes of its bodies; `None` while they are not known.
    pub bytes: Option<usize>,
}

/// Memory of a worker for the bodies of accepted jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyRoom {
    /// Bytes that may be held.
    pub limit: usize,
    /// Bytes that are held.
    pub used: usize,
    /// Jobs that are being read.
    pub reading: usize,
    /// Most jobs that are read at a time.
    pub most_reading: usize,
}

/// Returns the jobs to be read now, in the order of their ranks. A job that does not fit keeps those
/// behind it waiting, so that small ones do not keep a large one out for ever; one that is larger
/// than the limit is read alone.
pub fn next_reads<J: Ord>(mut unread: Vec<UnreadJob<J>>, room: BodyRoom) -> Vec<J> {
    unread.sort();
    let most = room.most_reading.saturating_sub(room.reading);
    let mut used = room.used;
    let fitting = unread.into_iter().take(most).take_while(|next| {
        let bytes = next.bytes.unwrap_or_default();
        let fits = used == 0 || used.saturating_add(bytes) <= room.limit;
        used = used.saturating_add(bytes);
        fits
    });
    fitting.map(|next| next.job).collect()
}
