//! The limit of waiting tokens on a batch route, by client account.
//!
//! One worker claims an account's queue on a route. Its claim is a key in the store, and every
//! acceptance of a job carries the revision of that key as a precondition, so that a former claim
//! holder accepts nothing. A new claim holder reads the open jobs after it has written the key;
//! their unfinished items count in full until their results have been read.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use sesamewall_protocol::AccountName;
use sesamewall_protocol::JobId;
use sesamewall_protocol::Time;
use sesamewall_protocol::seconds;

/// Time over which the completion speed of an account's items is averaged.
const SPEED_WINDOW: Duration = Duration::from_secs(5);

/// Shortest time between two reads of the open jobs of a claimed queue. Each read incurs a charge.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest and longest time after which a refused caller should come back.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(30));

/// Identifies the queue of an account on a route.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QueueId {
    /// Name of the route.
    pub route: Arc<str>,
    /// The account; `None` on public routes.
    pub account: Option<AccountName>,
}

/// The reason why a job is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull {
    /// Number of waiting tokens.
    pub waiting: u64,
    /// Number of tokens that may wait.
    pub limit: u64,
    /// Time after which the job may fit, from the speed at which items complete.
    pub retry: Duration,
}

/// Whether a worker may accept a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job may be accepted on the precondition that the claim still has this revision. Its
    /// tokens count from now on.
    Accept {
        /// Store revision of the claim.
        claim: u64,
    },
    /// The job is counted already: it was accepted, or its acceptance is in progress.
    Known,
    /// The job does not fit.
    Full(QueueFull),
    /// Another worker has claimed the queue, or no worker has.
    NotClaimed,
}

#[derive(Clone, Debug, Default)]
struct Queue {
    claim: u64,
    /// Unfinished tokens, by job.
    remaining: HashMap<JobId, u64>,
    /// Jobs whose acceptance is in progress. A read of the store may come before it takes effect.
    pending: HashSet<JobId>,
    /// Time of the last read of the open jobs.
    read_at: Time,
    /// Recently finished tokens and the start of their period, for the completion speed.
    finished: f64,
    since: Time,
}

impl Queue {
    fn waiting(&self) -> u64 {
        self.remaining.values().copied().fold(0, u64::saturating_add)
    }

    fn retry(&self, missing: u64, now: Time) -> Duration {
        let (shortest, longest) = RETRY_RANGE;
        let elapsed = now.since(self.since).as_secs_f64().max(1.0);
        let speed = self.finished / elapsed;
        if speed <= 0.0 {
            return longest;
        }
        seconds((missing as f64 / speed).min(longest.as_secs_f64())).max(shortest)
    }

    fn on_finished(&mut self, tokens: u64, now: Time) {
        let elapsed = now.since(self.since);
        if elapsed > SPEED_WINDOW {
            // The older half counts less, so that the speed follows the load.
            self.finished *= SPEED_WINDOW.as_secs_f64() / elapsed.as_secs_f64() / 2.0;
            self.since = now - SPEED_WINDOW / 2;
        }
        self.finished += tokens as f64;
    }
}

/// The queues that a worker has claimed.
#[derive(Clone, Debug, Default)]
pub struct AccountQueues {
    queues: HashMap<QueueId, Queue>,
}

impl AccountQueues {
    /// Adds a queue whose claim has the store revision `claim`. `open` lists the account's open
    /// jobs on the route with their unfinished tokens, read after the claim was written.
    pub fn on_claimed(&mut self, name: &QueueId, claim: u64, open: Vec<(JobId, u64)>, now: Time) {
        let remaining = open.into_iter().collect();
        let queue = Queue { claim, remaining, since: now, read_at: now, ..Queue::default() };
        self.queues.insert(name.clone(), queue);
    }

    /// Returns whether the open jobs of a claimed queue should be read again, because counted jobs
    /// may have ended on other workers. `is_local` returns whether the local worker runs a job.
    pub fn should_read(
        &self,
        name: &QueueId,
        is_local: impl Fn(&JobId) -> bool,
        now: Time,
    ) -> bool {
        self.queues.get(name).is_some_and(|queue| {
            let is_foreign = |job: &&JobId| !queue.pending.contains(*job) && !is_local(job);
            now.since(queue.read_at) >= READ_INTERVAL
                && queue.remaining.keys().any(|job| is_foreign(&job))
        })
    }

    /// Applies a new read of the open jobs of a queue that was claimed all the while.
    pub fn on_read(&mut self, name: &QueueId, open: Vec<(JobId, u64)>, now: Time) {
        let Some(queue) = self.queues.get_mut(name) else { return };
        let Queue { remaining, pending, .. } = queue;
        remaining.retain(|job, _| pending.contains(job));
        for (job, tokens) in open {
            remaining.entry(job).or_insert(tokens);
        }
        queue.read_at = now;
    }

    /// Records that the store has accepted a job.
    pub fn on_accepted(&mut self, name: &QueueId, job: &JobId) {
        if let Some(queue) = self.queues.get_mut(name) {
            queue.pending.remove(job);
        }
    }

    /// Removes a queue whose claim with this revision has ended, or has to be written again before
    /// jobs are accepted. A claim that was written since stays.
    pub fn on_lost(&mut self, name: &QueueId, claim: u64) {
        if self.queues.get(name).is_some_and(|queue| queue.claim == claim) {
            self.queues.remove(name);
        }
    }

    /// Decides whether a job of `tokens` may be accepted. A `limit` of zero means no limit.
    pub fn admit(
        &mut self,
        name: &QueueId,
        job: &JobId,
        tokens: u64,
        limit: u64,
        now: Time,
    ) -> Admission {
        let Some(queue) = self.queues.get_mut(name) else { return Admission::NotClaimed };
        if queue.remaining.contains_key(job) {
            return Admission::Known;
        }
        let waiting = queue.waiting();
        let all = waiting.saturating_add(tokens);
        if limit > 0 && all > limit {
            let retry = queue.retry(all - limit, now);
            return Admission::Full(QueueFull { waiting, limit, retry });
        }
        queue.remaining.insert(job.clone(), tokens);
        queue.pending.insert(job.clone());
        Admission::Accept { claim: queue.claim }
    }

    /// Records that an item ended, with any result.
    pub fn on_finished(&mut self, name: &QueueId, job: &JobId, tokens: u64, now: Time) {
        let Some(queue) = self.queues.get_mut(name) else { return };
        if let Some(remaining) = queue.remaining.get_mut(job) {
            *remaining = remaining.saturating_sub(tokens);
            queue.on_finished(tokens, now);
        }
    }

    /// Sets the unfinished tokens of a job, as determined by its worker from the results read.
    pub fn set_remaining(&mut self, name: &QueueId, job: &JobId, tokens: u64) {
        let Some(queue) = self.queues.get_mut(name) else { return };
        if let Some(remaining) = queue.remaining.get_mut(job) {
            *remaining = tokens;
        }
    }

    /// Removes a job that is complete, was ended, or was certainly not accepted.
    pub fn on_closed(&mut self, name: &QueueId, job: &JobId) {
        if let Some(queue) = self.queues.get_mut(name) {
            queue.remaining.remove(job);
            queue.pending.remove(job);
        }
    }

    /// Returns the jobs that are counted in a queue.
    pub fn jobs(&self, name: &QueueId) -> Vec<JobId> {
        self.queues
            .get(name)
            .map(|queue| queue.remaining.keys().cloned().collect())
            .unwrap_or_default()
    }

    /// Returns the waiting tokens of a queue; `None` if the local worker has not claimed it.
    pub fn waiting(&self, name: &QueueId) -> Option<u64> {
        self.queues.get(name).map(Queue::waiting)
    }
}
