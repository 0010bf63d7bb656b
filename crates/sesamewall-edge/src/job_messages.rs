//! Calls between instances about batch jobs: fronts ask the worker that owns an account's jobs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use sesamewall_fleet::ItemResult;
use sesamewall_fleet::JobSpec;

use crate::job_keys::JobName;
use crate::job_store::JobHead;

/// Path of the calls.
pub const JOB_PATH: &str = "/jobs";

/// A job that a front offers to a worker.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct JobOffer {
    /// The job.
    pub spec: JobSpec,
    /// Name of its route.
    pub route: Arc<str>,
    /// Most tokens of the account's unfinished items on the route; 0 for no limit.
    pub limit: u64,
    /// Unix milliseconds of the acceptance, the same at each try.
    pub accepted_ms: u64,
}

/// What an instance asks a worker.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum JobRequest {
    /// Accept a job.
    Offer(Box<JobOffer>),
    /// Tell the results from a group on, and wait for some if there are none; milliseconds.
    Results {
        /// The job.
        job: JobName,
        /// Groups that the asker has.
        groups: u64,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Tell the body of an item.
    Body {
        /// The job.
        job: JobName,
        /// The item.
        item: String,
    },
    /// End a job for its client.
    End(JobName),
    /// Run a job that has no worker.
    Adopt {
        /// The job.
        job: JobName,
        /// Its head.
        head: Box<JobHead>,
        /// Revision of the claim of a dead process, 0 if there is none.
        claim: u64,
    },
    /// Stop a job whose client has ended it.
    Stop(JobName),
    /// Pass the call on to the worker with this name: the asker cannot reach it.
    Forward(Box<(std::net::IpAddr, JobRequest)>),
}

/// The answer of a worker.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum JobReply {
    /// The job is accepted, now or earlier. Its head, if the worker has the job.
    Accepted(Option<Box<JobHead>>),
    /// The account has too many tokens waiting.
    Full {
        /// Tokens that wait.
        waiting: u64,
        /// Tokens that may wait.
        limit: u64,
        /// Time after which the job may fit.
        retry: Duration,
    },
    /// More items wait than can run before the job is due.
    Late {
        /// Items that wait and start before those of the job.
        ahead: u64,
        /// Expected time to the end of its last item.
        expected: Duration,
        /// Time after which a job like it would end in time.
        retry: Duration,
    },
    /// The store has not said in time whether the job is accepted.
    Unclear,
    /// The worker does not have the job or cannot take it. Nothing was done.
    NotHere,
    /// The head of the job and groups of results.
    Results {
        /// The head.
        head: Box<JobHead>,
        /// The groups, in order.
        groups: Vec<Vec<Arc<ItemResult>>>,
    },
    /// The body of an item; `None` if the job has no such item.
    Body(Option<Bytes>),
    /// Done.
    Done,
}
