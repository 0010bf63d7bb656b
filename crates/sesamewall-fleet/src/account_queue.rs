//! The limit of tokens that wait on a batch route, by client account.
//!
//! One worker holds an account's queue on a route. Its hold is a key in the store, and every acceptance
//! carries the revision of that key as a condition, so that a former holder accepts nothing. A new
//! holder reads the open jobs after it has taken the key; what they leave unfinished counts in full
//! until it is known better.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use sesamewall_protocol::AccountName;
use sesamewall_protocol::JobId;
use sesamewall_protocol::Time;

/// Time over which the speed of an account's items is averaged.
const SPEED_WINDOW: Duration = Duration::from_secs(5);

/// Shortest time between two reads of the open jobs of a held queue: each is paid for.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest and longest time after which a refused caller should come back.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(30));

/// The jobs of an account on a route.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QueueId {
    /// The route's name.
    pub route: Arc<str>,
    /// The account; `None` on public routes.
    pub account: Option<AccountName>,
}

/// Why a job is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull {
    /// Tokens that wait.
    pub waiting: u64,
    /// Tokens that may wait.
    pub limit: u64,
    /// Time after which the job may fit, from the speed at which items end.
    pub retry: Duration,
}

/// What a holder may do with a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Accept it under the condition that the hold still has this revision. Its tokens count from now on.
    Accept {
        /// Store revision of the hold.
        claim: u64,
    },
    /// The job is counted already: it was accepted, or its acceptance is under way.
    Known,
    /// It does not fit.
    Full(QueueFull),
    /// The queue is held by another worker, or nobody holds it yet.
    NotClaimed,
}

#[derive(Clone, Debug, Default)]
struct Queue {
    claim: u64,
    /// Tokens that are not finished, by job.
    remaining: HashMap<JobId, u64>,
    /// Jobs whose acceptance is under way: a read of the store may come before it takes effect.
    pending: HashSet<JobId>,
    /// When the open jobs were read last.
    read_at: Time,
    /// Tokens finished lately and since when, for the speed.
    finished: f64,
    since: Time,
}

impl Queue {
    fn waiting(&self) -> u64 {
        self.remaining.values().sum()
    }

    fn retry(&self, missing: u64, now: Time) -> Duration {
        let (shortest, longest) = RETRY_BOUNDS;
        let seconds = now.since(self.since).as_secs_f64().max(1.0);
        let speed = self.finished / seconds;
        if speed <= 0.0 {
            return longest;
        }
        Duration::from_secs_f64((missing as f64 / speed).min(longest.as_secs_f64())).max(shortest)
    }

    fn on_finished(&mut self, tokens: u64, now: Time) {
        let elapsed = now.since(self.since);
        if elapsed > SPEED_WINDOW {
            // The older half fades, so that the speed follows the load.
            self.finished *= SPEED_WINDOW.as_secs_f64() / elapsed.as_secs_f64() / 2.0;
            self.since = now - SPEED_WINDOW / 2;
        }
        self.finished += tokens as f64;
    }
}

/// The queues that a worker holds.
#[derive(Clone, Debug, Default)]
pub struct AccountQueues {
    queues: HashMap<QueueId, Queue>,
}

impl AccountQueues {
    /// Takes over a queue at store revision `claim`. `open` are the account's open jobs on the route with
    /// their unfinished tokens, read after the hold was taken.
    pub fn on_claimed(&mut self, name: &QueueId, claim: u64, open: Vec<(JobId, u64)>, now: Time) {
        let remaining = open.into_iter().collect();
        let queue = Queue { claim, remaining, since: now, read_at: now, ..Queue::default() };
        self.queues.insert(name.clone(), queue);
    }

    /// Tells whether the open jobs of a held queue should be read again: some that count may have ended
    /// elsewhere. `is_local` tells which jobs the caller knows itself.
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

    /// Takes over the open jobs of a queue that was held all the while.
    pub fn on_read(&mut self, name: &QueueId, open: Vec<(JobId, u64)>, now: Time) {
        let Some(queue) = self.queues.get_mut(name) else { return };
        let Queue { remaining, pending, .. } = queue;
        remaining.retain(|job, _| pending.contains(job));
        for (job, tokens) in open {
            remaining.entry(job).or_insert(tokens);
        }
        queue.read_at = now;
    }

    /// Notes that the store has accepted a job.
    pub fn on_accepted(&mut self, name: &QueueId, job: &JobId) {
        if let Some(queue) = self.queues.get_mut(name) {
            queue.pending.remove(job);
        }
    }

    /// Notes that another worker holds the queue.
    pub fn on_lost(&mut self, name: &QueueId) {
        self.queues.remove(name);
    }

    /// Decides about a submission of `tokens`. Zero for `limit` means that there is none.
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
        if limit > 0 && waiting + tokens > limit {
            let retry = queue.retry(waiting + tokens - limit, now);
            return Admission::Full(QueueFull { waiting, limit, retry });
        }
        queue.remaining.insert(job.clone(), tokens);
        queue.pending.insert(job.clone());
        Admission::Accept { claim: queue.claim }
    }

    /// Notes that an item ended, whatever its result.
    pub fn on_finished(&mut self, name: &QueueId, job: &JobId, tokens: u64, now: Time) {
        let Some(queue) = self.queues.get_mut(name) else { return };
        if let Some(remaining) = queue.remaining.get_mut(job) {
            *remaining = remaining.saturating_sub(tokens);
            queue.on_finished(tokens, now);
        }
    }

    /// Sets what a job has left, as its worker knows it after it has read the results.
    pub fn set_remaining(&mut self, name: &QueueId, job: &JobId, tokens: u64) {
        let Some(queue) = self.queues.get_mut(name) else { return };
        if let Some(remaining) = queue.remaining.get_mut(job) {
            *remaining = tokens;
        }
    }

    /// Forgets a job that is complete, was ended, or surely was not accepted.
    pub fn on_closed(&mut self, name: &QueueId, job: &JobId) {
        if let Some(queue) = self.queues.get_mut(name) {
            queue.remaining.remove(job);
            queue.pending.remove(job);
        }
    }

    /// Returns the jobs that count in a queue.
    pub fn jobs(&self, name: &QueueId) -> Vec<JobId> {
        self.queues
            .get(name)
            .map(|queue| queue.remaining.keys().cloned().collect())
            .unwrap_or_default()
    }

    /// Returns the tokens that wait in a queue; `None` if it is not held here.
    pub fn waiting(&self, name: &QueueId) -> Option<u64> {
        self.queues.get(name).map(Queue::waiting)
    }
}
