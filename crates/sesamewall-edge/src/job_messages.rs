//! Requests between instances about batch jobs: fronts send them to the worker that owns an
//! account's jobs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use sesamewall_fleet::ClaimReport;
use sesamewall_fleet::ItemResult;
use sesamewall_fleet::JobSpec;

use crate::job_keys::JobName;
use crate::job_store::JobHead;

/// HTTP path of these requests.
pub const JOB_PATH: &str = "/jobs";

/// A job that a front offers to a worker.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct JobOffer {
    /// The job.
    pub spec: JobSpec,
    /// Name of its route.
    pub route: Arc<str>,
    /// Version of the configuration in which the front found the route.
    pub version: u64,
    /// Most tokens that the account's unfinished items on the route may have; 0 for no limit.
    pub limit: u64,
    /// Time of the acceptance in Unix milliseconds, the same in each attempt to submit the job.
    pub accepted_ms: u64,
}

/// A request to a worker.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum JobRequest {
    /// Accepts a job.
    Offer(Box<JobOffer>),
    /// Returns results from a given group on, and waits for a result if there are none yet.
    Results {
        /// The job.
        job: JobName,
        /// Number of groups that the requester already has.
        groups: u64,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Returns the body of an item.
    Body {
        /// The job.
        job: JobName,
        /// The item.
        item: String,
    },
    /// Ends a job for its client.
    End(JobName),
    /// Runs a job that has no worker.
    Adopt {
        /// The job.
        job: JobName,
        /// Its head.
        head: Box<JobHead>,
        /// Revision of the claim that a dead process or this worker left behind, 0 if there is
        /// none.
        claim: u64,
    },
    /// Stops a job that its client has ended. Only earlier versions send it.
    Stop(JobName),
    /// Forwards a request to the worker with this address, which the requester cannot reach.
    Forward(Box<(std::net::IpAddr, JobRequest)>),
    /// Compares the claims that the store has for the worker with the jobs that it has.
    Compare(Box<ClaimReport>),
}

/// A worker's reply.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum JobReply {
    /// The job is accepted, now or earlier. Contains its head if the worker has the job.
    Accepted(Option<Box<JobHead>>),
    /// The account has too many waiting tokens.
    Full {
        /// Tokens that are waiting.
        waiting: u64,
        /// Tokens that may wait.
        limit: u64,
        /// Time after which the job may fit into the queue.
        retry: Duration,
    },
    /// More items are waiting than can run before the job is due.
    Late {
        /// Waiting items that start before those of the job.
        ahead: u64,
        /// Expected time until the job's last item ends.
        expected: Duration,
        /// Time after which a job of this size would end in time.
        retry: Duration,
    },
    /// The store has not confirmed in time whether the job is accepted.
    Unclear,
    /// The worker does not have the job or cannot accept it. Nothing was done.
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
    /// The request was carried out.
    Done,
    /// Jobs that the worker has claimed and does not have. The requester offers them to it.
    Missing(Vec<JobName>),
}
