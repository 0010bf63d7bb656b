//! Keys of batch jobs in the store.

pub use sesamewall_fleet::JobName;
use sesamewall_fleet::QueueId;
use sesamewall_fleet::account_key;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::JobId;

/// Prefix of the keys that are watched: head, claim, end and completion of each job.
pub const JOB_PREFIX: &str = "sesamewall/job/";

fn path(job: &JobName) -> String {
    format!("{:08x}/{}", job.account, job.id)
}

/// Kind of a key below `JOB_PREFIX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobKey {
    /// Description of the job; written once, together with its specification.
    Head,
    /// The worker that runs the job, under that worker's lease.
    Claim,
    /// Written when the client has ended the job.
    End,
    /// Written when all items have results.
    Complete,
}

impl JobKey {
    /// Returns the key of a job.
    pub fn of(self, job: &JobName) -> String {
        let part = match self {
            Self::Head => "head",
            Self::Claim => "claim",
            Self::End => "end",
            Self::Complete => "complete",
        };
        format!("{JOB_PREFIX}{}/{part}", path(job))
    }

    /// Parses a key. Returns `None` if it is not a key of a job.
    pub fn parse(key: &str) -> Option<(JobName, Self)> {
        let (path, part) = key.strip_prefix(JOB_PREFIX)?.rsplit_once('/')?;
        let (account, id) = path.split_once('/')?;
        let kind = match part {
            "head" => Self::Head,
            "claim" => Self::Claim,
            "end" => Self::End,
            "complete" => Self::Complete,
            _ => return None,
        };
        let account = u32::from_str_radix(account, 16).ok()?;
        Some((JobName { account, id: JobId::from(id) }, kind))
    }
}

/// Returns the prefix of the keys of an account's jobs.
pub fn account_prefix(account: Option<&AccountName>) -> String {
    format!("{JOB_PREFIX}{:08x}/", account.map_or(0, account_key))
}

/// Returns the key that names the worker that has claimed an account's queue on a route.
pub fn queue_key(queue: &QueueId) -> String {
    let account = queue.account.as_ref().map_or(0, account_key);
    format!("sesamewall/queue/{}/{account:08x}", queue.route)
}

/// Returns the key of a part of a job's specification.
pub fn part_key(job: &JobName, part: usize) -> String {
    format!("sesamewall/spec/{}/{part:02}", path(job))
}

/// Returns the prefix of the keys that readers of a job need: a copy of its head, and its results.
pub fn result_prefix(job: &JobName) -> String {
    format!("sesamewall/result/{}/", path(job))
}

/// Returns the key of the copy of a job's head, which sorts before all results.
pub fn head_copy_key(job: &JobName) -> String {
    format!("{}!head", result_prefix(job))
}

/// Returns the key of a group of results.
pub fn result_key(job: &JobName, group: u64) -> String {
    format!("{}{group:06}", result_prefix(job))
}
