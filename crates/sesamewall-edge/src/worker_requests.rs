//! What a worker does for fronts and other workers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use sesamewall_fleet::Admission;
use sesamewall_fleet::ItemRank;
use sesamewall_fleet::Late;
use sesamewall_fleet::QueueFull;
use sesamewall_fleet::QueueName;
use sesamewall_fleet::Submission;
use sesamewall_ports::StoreError;
use sesamewall_ports::StoreWrite;
use sesamewall_ports::Transaction;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::JobId;
use sesamewall_protocol::Time;
use slog::info;
use slog::warn;
use tokio::sync::oneshot;

use crate::job_keys::JobKey;
use crate::job_keys::JobName;
use crate::job_keys::account_prefix;
use crate::job_keys::queue_key;
use crate::job_messages::JobOffer;
use crate::job_messages::JobReply;
use crate::job_messages::JobRequest;
use crate::job_state::Claim;
use crate::job_state::Job;
use crate::job_store;
use crate::job_store::Acceptance;
use crate::job_store::CLAIM_WRITE;
use crate::job_store::JobHead;
use crate::job_store::WriteResult;
use crate::worker::Worker;

/// Time for an acceptance until the front is told that its end is not known. Clients allow about the
/// objective of the route.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(900);

/// Time between two looks at an acceptance that another call has begun.
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which the end of an acceptance is looked for. A write can take effect seconds later.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for which a group may be under way to the store before readers are sent there.
const WRITE_GRACE: Duration = Duration::from_millis(150);

/// Longest wait of a reader.
const MAX_WAIT: Duration = Duration::from_millis(1000);

/// Most output bytes in one answer, beyond the first group.
const REPLY_BYTES: usize = 600 << 10;

impl Worker {
    /// Answers a call of another instance.
    pub async fn serve(self: &Arc<Self>, request: JobRequest) -> JobReply {
        match request {
            JobRequest::Offer(offer) => self.accept(*offer).await,
            JobRequest::Results { job, groups, wait_ms } => {
                let wait = Duration::from_millis(wait_ms).min(MAX_WAIT);
                self.results(&job, groups, wait).await
            }
            JobRequest::Body { job, item } => self.body(&job, &item),
            JobRequest::End(job) => self.end(&job).await,
            JobRequest::Adopt { job, head, claim } => self.adopt(job, *head, claim),
            JobRequest::Stop(job) => {
                self.stop(&job, "its client ended it at another instance");
                JobReply::Done
            }
            JobRequest::Forward(_) => JobReply::NotHere,
        }
    }

    async fn accept(self: &Arc<Self>, offer: JobOffer) -> JobReply {
        let name = JobName::new(offer.spec.account.as_ref(), &offer.spec.id);
        if let Some(job) = self.jobs().get(&name) {
            return JobReply::Accepted(Some(Box::new(job.head.clone())));
        }
        if self.node.is_draining() {
            return JobReply::NotHere;
        }
        if let Some(reply) = self.refuse_late(&name, &offer).await {
            return reply;
        }
        let queue = QueueName { route: offer.route.clone(), account: offer.spec.account.clone() };
        let queue_claim = match offer.limit {
            0 => None,
            limit => match self.admit(&queue, &offer, limit).await {
                Ok(revision) => Some((queue_key(&queue), revision)),
                Err(reply) => return reply,
            },
        };
        let (sender, receiver) = oneshot::channel();
        let worker = self.clone();
        // The end is looked for even if the front no longer waits.
        self.accepting().insert(name.clone());
        tokio::spawn(async move {
            let reply = worker.write_acceptance(&name, &queue, offer, queue_claim).await;
            worker.accepting().remove(&name);
            // A front that has gone needs no answer.
            let _ = sender.send(reply);
        });
        match tokio::time::timeout(ACCEPT_TIMEOUT, receiver).await {
            Ok(Ok(reply)) => reply,
            _ => JobReply::Unclear,
        }
    }

    /// Refuses a job that cannot end in time, unless it was accepted before or may be.
    async fn refuse_late(&self, name: &JobName, offer: &JobOffer) -> Option<JobReply> {
        let (submission, late) = self.forecast_late(offer)?;
        if self.accepting().contains(name) {
            return None;
        }
        match self.node.store.item(&JobKey::Head.of(name)).await {
            Ok(None) => {}
            Ok(Some(_)) => return Some(JobReply::Accepted(None)),
            Err(_) => return Some(JobReply::Unclear),
        }
        let Late { expected, retry } = late;
        info!(self.node.log, "job would be late"; "job" => %name, "route" => &*offer.route,
            "items" => submission.items, "ahead" => submission.ahead,
            "run_ms" => submission.run.as_millis() as u64,
            "due_ms" => submission.due.as_millis() as u64,
            "expected_ms" => expected.as_millis() as u64, "retry_ms" => retry.as_millis() as u64);
        Some(JobReply::Late { ahead: submission.ahead as u64, expected, retry })
    }

    /// Tells that a job cannot end in time. Of the items that wait elsewhere, the same part is taken to be
    /// for the same service and in time as of the own ones.
    fn forecast_late(&self, offer: &JobOffer) -> Option<(Submission, Late)> {
        let now = self.node.now();
        let catalog = self.node.catalog()?;
        let route = catalog.route(&offer.spec.host, &offer.spec.path)?;
        let run = self.run_times().left(0);
        let (local, ahead) = self.waiting_before(&route.name, now);
        let peers: u32 = {
            let state = self.node.state();
            state.peers.workers(now).iter().map(|worker| worker.backlog).sum()
        };
        let fraction = if local == 0 { 0.0 } else { f64::from(ahead) / f64::from(local) };
        let submission = Submission {
            items: u32::try_from(offer.spec.items.len()).unwrap_or(u32::MAX),
            ahead: f64::from(local + peers) * fraction,
            run,
            due: route.due,
        };
        let late = self.forecast().late(&submission, now)?;
        Some((submission, late))
    }

    /// Returns the own items that wait, and those of a route among them that can still end in time.
    fn waiting_before(&self, route: &str, now: Time) -> (u32, u32) {
        let times = self.run_times().clone();
        let (mut all, mut ahead) = (0, 0);
        for job in self.jobs().values().filter(|job| job.is_open()) {
            let due = job.accepted_at + job.due;
            for item in &job.work.waiting {
                let remaining = times.left(item.progress.events());
                all += 1;
                if *job.head.route == *route && !ItemRank::new(due, remaining, now).is_late() {
                    ahead += 1;
                }
            }
        }
        (all, ahead)
    }

    /// Counts a job in its queue. Returns the revision of the hold under which it may be accepted.
    async fn admit(
        &self,
        queue: &QueueName,
        offer: &JobOffer,
        limit: u64,
    ) -> Result<u64, JobReply> {
        let id = &offer.spec.id;
        let tokens = offer.spec.tokens();
        for _ in 0..3 {
            let now = self.node.now();
            let admission = self.queues().admit(queue, id, tokens, limit, now);
            let full = match admission {
                Admission::Accept { hold } => return Ok(hold),
                // The acceptance is under way for another front, or another worker has the job.
                Admission::Known => return Err(self.wait_acceptance(queue, id).await),
                Admission::Full(full) => Some(full),
                Admission::NotHeld => None,
            };
            let read = match full {
                Some(full) if !self.should_read(queue, now) => {
                    let QueueFull { waiting, limit, retry } = full;
                    info!(self.node.log, "job does not fit"; "job" => %id,
                        "route" => &*queue.route, "tokens" => tokens, "waiting" => waiting,
                        "limit" => limit, "retry_ms" => retry.as_millis() as u64);
                    return Err(JobReply::Full { waiting, limit, retry });
                }
                Some(_) => self.read_queue(queue).await,
                None => self.claim_queue(queue).await,
            };
            if let Err(error) = read {
                warn!(self.node.log, "queue not taken"; "route" => &*queue.route,
                    "error" => %error);
                return Err(JobReply::NotHere);
            }
        }
        Err(JobReply::NotHere)
    }

    /// Waits for the end of an acceptance that another call has begun.
    async fn wait_acceptance(&self, queue: &QueueName, id: &JobId) -> JobReply {
        let name = JobName::new(queue.account.as_ref(), id);
        let until = self.node.now() + ACCEPT_TIMEOUT;
        while self.node.now() < until {
            if let Some(job) = self.jobs().get(&name) {
                return JobReply::Accepted(Some(Box::new(job.head.clone())));
            }
            if !self.queues().jobs(queue).contains(id) {
                return JobReply::NotHere;
            }
            tokio::time::sleep(ACCEPT_POLL_INTERVAL).await;
        }
        // A job of another worker was accepted for sure only if the store says so.
        match self.node.store.item(&JobKey::Head.of(&name)).await {
            Ok(Some(_)) => JobReply::Accepted(None),
            _ => JobReply::Unclear,
        }
    }

    /// Tells whether jobs of other workers count in a queue, and may have ended meanwhile.
    fn should_read(&self, queue: &QueueName, now: Time) -> bool {
        let account = queue.account.as_ref();
        let jobs = self.jobs();
        let is_local = |id: &JobId| {
            let job = jobs.get(&JobName::new(account, id));
            job.is_some_and(|job| job.work.spec.is_some())
        };
        self.queues().should_read(queue, is_local, now)
    }

    async fn read_queue(&self, queue: &QueueName) -> Result<(), StoreError> {
        let open = self.open_jobs(queue).await?;
        let now = self.node.now();
        self.queues().on_read(queue, open, now);
        Ok(())
    }

    /// Takes the hold on a queue, and reads the open jobs of the account afterwards.
    async fn claim_queue(&self, queue: &QueueName) -> Result<(), StoreError> {
        let key = queue_key(queue);
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        // Each try to take it has a value of its own, so that an earlier hold is not taken for this one.
        let value =
            Bytes::from(format!("{} {:x} {number}", self.node.machine.instance, self.node.boot));
        let mut previous = 0;
        let revision = loop {
            let write = StoreWrite { key: key.clone(), value: value.clone(), lease: 0 };
            let transaction = Transaction {
                expect: vec![(key.clone(), previous)],
                writes: vec![write],
                removes: Vec::new(),
            };
            let until = self.node.now() + ACCEPT_TIMEOUT / 2;
            match job_store::commit_once(&self.node, &transaction, 0, until).await? {
                WriteResult::Done(revision) => break revision,
                WriteResult::Taken | WriteResult::Refused => {
                    let item = self.node.store.item(&key).await?;
                    previous = item.map_or(0, |item| item.revision);
                }
            }
        };
        let open = self.open_jobs(queue).await?;
        info!(self.node.log, "queue held"; "route" => &*queue.route,
            "account" => queue.account.as_ref().map(AccountName::to_string), "hold" => revision,
            "open" => open.len(), "tokens" => open.iter().map(|(_, tokens)| tokens).sum::<u64>());
        let now = self.node.now();
        self.queues().on_hold(queue, revision, open, now);
        Ok(())
    }

    /// Reads the open jobs of an account on a route, with their tokens.
    async fn open_jobs(&self, queue: &QueueName) -> Result<Vec<(JobId, u64)>, StoreError> {
        let prefix = account_prefix(queue.account.as_ref());
        let mut open: Vec<(JobId, u64)> = Vec::new();
        let mut after: Option<String> = None;
        loop {
            let page = self.node.store.page(&prefix, after.as_deref()).await?;
            for item in &page.items {
                let Some((name, kind)) = JobKey::parse(&item.key) else { continue };
                match kind {
                    JobKey::Head => {
                        let head = job_store::decode_head(&self.node, &name, &item.value);
                        let on_route = head.filter(|head| head.route == queue.route);
                        open.extend(on_route.map(|head| (name.id, head.tokens)));
                    }
                    JobKey::End | JobKey::Complete => open.retain(|(id, _)| *id != name.id),
                    JobKey::Claim => {}
                }
            }
            // Keys of a job that end it come before its head in key order.
            let closed: Vec<JobId> = page
                .items
                .iter()
                .filter_map(|item| JobKey::parse(&item.key))
                .filter(|(_, kind)| matches!(kind, JobKey::End | JobKey::Complete))
                .map(|(name, _)| name.id)
                .collect();
            open.retain(|(id, _)| !closed.contains(id));
            after = page.items.last().map(|item| item.key.clone());
            if !page.more || after.is_none() {
                return Ok(self.with_local_tokens(queue, open));
            }
        }
    }

    /// Replaces the tokens of jobs that the own worker runs by what these have left.
    fn with_local_tokens(&self, queue: &QueueName, open: Vec<(JobId, u64)>) -> Vec<(JobId, u64)> {
        let account = queue.account.as_ref();
        let jobs = self.jobs();
        let current = |(id, tokens): (JobId, u64)| {
            let job = jobs.get(&JobName::new(account, &id));
            let remaining = job.map(|job| if job.is_open() { job.remaining() } else { 0 });
            (id, remaining.unwrap_or(tokens))
        };
        open.into_iter().map(current).collect()
    }

    /// Writes an acceptance with the own claim until its end is known.
    async fn write_acceptance(
        self: &Arc<Self>,
        name: &JobName,
        queue: &QueueName,
        offer: JobOffer,
        queue_claim: Option<(String, u64)>,
    ) -> JobReply {
        let now = self.node.now();
        let limited = queue_claim.is_some();
        let Some(lease) = self.lease.valid(now) else {
            self.queues().on_closed(queue, &name.id);
            return JobReply::NotHere;
        };
        let acceptance = Acceptance { job_claim: Some((self.claim_value(), lease)), queue_claim };
        let built = job_store::accept_transaction(
            &offer.spec,
            &offer.route,
            offer.accepted_ms,
            &acceptance,
        );
        let (transaction, head) = match built {
            Ok(built) => built,
            Err(error) => {
                warn!(self.node.log, "job cannot be stored"; "job" => %name, "error" => %error);
                self.queues().on_closed(queue, &name.id);
                return JobReply::NotHere;
            }
        };
        // Without a limit the front may accept the job by itself, and nothing is counted.
        let until = now + if limited { RESOLVE_TIMEOUT } else { ACCEPT_TIMEOUT };
        let result = job_store::commit_once(&self.node, &transaction, CLAIM_WRITE, until).await;
        info!(self.node.log, "job submitted"; "job" => %name, "route" => &*offer.route,
            "items" => offer.spec.items.len(), "tokens" => head.tokens,
            "waiting" => self.queues().waiting(queue), "end" => format!("{result:?}"));
        match result {
            Ok(WriteResult::Done(revision)) => {
                self.queues().on_accepted(queue, &name.id);
                self.add_job(name, head.clone(), offer, Claim::Local { revision, lease });
                JobReply::Accepted(Some(Box::new(head)))
            }
            Ok(WriteResult::Taken) => {
                // It was accepted before. What it has left is read with the next hold.
                self.queues().on_lost(queue);
                JobReply::Accepted(None)
            }
            Ok(WriteResult::Refused) => {
                self.queues().on_lost(queue);
                JobReply::NotHere
            }
            Err(_) => JobReply::Unclear,
        }
    }

    fn add_job(self: &Arc<Self>, name: &JobName, head: JobHead, offer: JobOffer, claim: Claim) {
        let now = self.node.now();
        let mut job = Job::new(head, claim, now);
        job.accepted_at = now;
        job.load(offer.spec);
        // Two fronts may have offered it at once.
        self.jobs().entry(name.clone()).or_insert(job);
        self.wake.notify_one();
    }

    async fn results(&self, name: &JobName, groups: u64, wait: Duration) -> JobReply {
        let until = self.node.now() + wait;
        loop {
            let changed = self.results_changed.notified();
            let now = self.node.now();
            let mut timeout = until.since(now);
            {
                let jobs = self.jobs();
                let Some(job) = jobs.get(name) else { return JobReply::NotHere };
                if !self.has_all_results(job, now) {
                    return JobReply::NotHere;
                }
                let done =
                    job.stored_results.groups() > groups || !job.is_open() || timeout.is_zero();
                if done {
                    let groups = job.stored_results.groups_from(groups, REPLY_BYTES);
                    return JobReply::Results { head: Box::new(job.head.clone()), groups };
                }
                if let Some(since) = job.writing_since {
                    let expiry = since + WRITE_GRACE;
                    timeout = timeout.min(expiry.since(now) + Duration::from_millis(1));
                }
            }
            // Without news the time is over, and the next look says so.
            let _ = tokio::time::timeout(timeout, changed).await;
        }
    }

    /// Tells whether the own list of a job's results is all that the store has.
    fn has_all_results(&self, job: &Job, now: Time) -> bool {
        let claimed = match job.claim {
            Claim::Local { lease, .. } => self.lease.valid(now) == Some(lease),
            _ => false,
        };
        let written = job.writing_since.is_none_or(|since| now.since(since) < WRITE_GRACE);
        let loaded = job.work.spec.is_some() || !job.is_open();
        job.complete || (claimed && written && loaded)
    }

    fn body(&self, name: &JobName, item: &str) -> JobReply {
        let jobs = self.jobs();
        let spec = jobs.get(name).and_then(|job| job.work.spec.clone());
        let Some(spec) = spec else { return JobReply::NotHere };
        let found = spec.items.iter().find(|candidate| candidate.id.as_str() == item);
        JobReply::Body(found.map(|item| Bytes::from(item.body.clone())))
    }

    /// Ends a job for its client: nothing of it starts any more, and the store says so to all.
    async fn end(&self, name: &JobName) -> JobReply {
        let end_stored = self.jobs().get(name).map(|job| job.end_stored);
        match end_stored {
            Some(true) => return JobReply::Done,
            Some(false) => {}
            None => return JobReply::NotHere,
        }
        // Its items stop now; if the store does not learn of it, the client asks again.
        self.stop(name, "its client ended it");
        let key = JobKey::End.of(name);
        let transaction = Transaction {
            expect: vec![(key.clone(), 0)],
            writes: vec![StoreWrite { key, value: Bytes::from_static(b"1"), lease: 0 }],
            removes: Vec::new(),
        };
        let until = self.node.now() + ACCEPT_TIMEOUT;
        let result = job_store::commit_once(&self.node, &transaction, 0, until).await;
        info!(self.node.log, "job ended by its client"; "job" => %name,
            "end" => format!("{result:?}"));
        if result.is_err() {
            return JobReply::Unclear;
        }
        if let Some(job) = self.jobs().get_mut(name) {
            job.end_stored = true;
        }
        JobReply::Done
    }

    /// Stops a job for good.
    pub(crate) fn stop(&self, name: &JobName, cause: &str) {
        let mut jobs = self.jobs();
        let Some(job) = jobs.get_mut(name) else { return };
        if !job.ended {
            info!(self.node.log, "job stops"; "job" => %name, "cause" => cause);
        }
        job.ended = true;
        job.closed.get_or_insert(self.node.now());
        self.queues().on_closed(&job.queue(), &name.id);
        job.stop();
        drop(jobs);
        self.results_changed.notify_waiters();
    }

    /// Takes a job that has no worker.
    pub(crate) fn adopt(&self, name: JobName, head: JobHead, claim: u64) -> JobReply {
        if self.node.is_draining() {
            return JobReply::NotHere;
        }
        let now = self.node.now();
        let mut jobs = self.jobs();
        let log = &self.node.log;
        jobs.entry(name).or_insert_with_key(|name| {
            info!(log, "job adopted"; "job" => %name, "claim" => claim);
            Job::new(head, Claim::Free { since: now, revision: claim }, now)
        });
        drop(jobs);
        self.wake.notify_one();
        JobReply::Done
    }
}
