//! Keys of batch jobs in the store.

use sesamewall_protocol::JobId;

/// Start of the keys that workers watch: head, claim, end and completion of each job.
pub const JOB_PREFIX: &str = "sesamewall/job/";

/// Start of the keys of registered instances.
pub const INSTANCE_PREFIX: &str = "sesamewall/instance/";

/// A key below `JOB_PREFIX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobKey {
    /// What the job is; written once, with its bodies.
    Head,
    /// The worker that runs it, under that worker's lease.
    Claim,
    /// Its client ended it.
    End,
    /// All items have results.
    Complete,
}

impl JobKey {
    /// Returns the key of a job.
    pub fn of(self, job: &JobId) -> String {
        let part = match self {
            Self::Head => "head",
            Self::Claim => "claim",
            Self::End => "end",
            Self::Complete => "complete",
        };
        format!("{JOB_PREFIX}{job}/{part}")
    }

    /// Reads a key.
    pub fn parse(key: &str) -> Option<(JobId, Self)> {
        let (job, part) = key.strip_prefix(JOB_PREFIX)?.rsplit_once('/')?;
        let kind = match part {
            "head" => Self::Head,
            "claim" => Self::Claim,
            "end" => Self::End,
            "complete" => Self::Complete,
            _ => return None,
        };
        Some((JobId::from(job), kind))
    }
}

/// Returns the key of a part of a job's specification.
pub fn part_key(job: &JobId, part: usize) -> String {
    format!("sesamewall/spec/{job}/{part:02}")
}

/// Returns the start of the keys that readers of a job read: a copy of its head, and its results.
pub fn result_prefix(job: &JobId) -> String {
    format!("sesamewall/result/{job}/")
}

/// Returns the key of the head's copy, which comes before all results.
pub fn read_head_key(job: &JobId) -> String {
    format!("{}!head", result_prefix(job))
}

/// Returns the key of a group of results.
pub fn result_key(job: &JobId, group: u64) -> String {
    format!("{}{group:06}", result_prefix(job))
}
