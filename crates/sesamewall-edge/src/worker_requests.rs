//! Serves the requests that fronts and other workers send to a worker.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use sesamewall_fleet::Admission;
use sesamewall_fleet::ItemRank;
use sesamewall_fleet::LateForecast;
use sesamewall_fleet::QueueFull;
use sesamewall_fleet::QueueId;
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

use crate::byte_budget::Held;
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
use crate::job_store::AcceptResult;
use crate::job_store::Acceptance;
use crate::job_store::JobHead;
use crate::job_store::WriteResult;
use crate::worker::Worker;

/// Time after which a worker replies to the front that the result of an acceptance is unknown. It
/// is limited because clients wait only for about the objective of the route.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(900);

/// Interval between two checks of an acceptance that another request has begun.
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time for which a request may wait for results.
const MAX_WAIT: Duration = Duration::from_millis(1000);

/// Maximum number of output bytes in one reply; the first group is sent even if it is larger.
const REPLY_BYTES: usize = 600 << 10;

impl Worker {
    /// Serves a request of another instance.
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
                self.on_end_stored(&job);
                JobReply::Done
            }
            JobRequest::Forward(_) => JobReply::NotHere,
            JobRequest::Compare(report) => self.compare(&report),
        }
    }

    async fn accept(self: &Arc<Self>, offer: JobOffer) -> JobReply {
        let name = JobName::new(offer.spec.account.as_ref(), &offer.spec.id);
        if let Some(job) = self.jobs().get(&name) {
            return JobReply::Accepted(Some(Box::new(job.head.clone())));
        }
        if self.context.is_draining() {
            // Another request may have begun the acceptance.
            let begun = self.accepting().contains(&name);
            return if begun { JobReply::Unclear } else { JobReply::NotHere };
        }
        if let Some(reply) = self.refuse_late(&name, &offer).await {
            return reply;
        }
        let queue = QueueId { route: offer.route.clone(), account: offer.spec.account.clone() };
        let queue_claim = match offer.limit {
            0 => None,
            limit => match self.admit(&queue, &offer, limit).await {
                Ok(revision) => Some((queue_key(&queue), revision)),
                Err(reply) => return reply,
            },
        };
        let (sender, receiver) = oneshot::channel();
        let worker = self.clone();
        // The task continues until the result is known, even if the front no longer waits.
        self.accepting().insert(name.clone());
        let queue_revision = queue_claim.as_ref().map(|(_, revision)| *revision);
        let recovery = self.clone().recover_acceptance(name.clone(), queue.clone(), queue_revision);
        let subject = name.to_string();
        let accept = async move {
            let reply = worker.write_acceptance(&name, &queue, offer, queue_claim).await;
            worker.accepting().remove(&name);
            // A front that no longer waits needs no reply.
            let _ = sender.send(reply);
        };
        self.context.tasks.spawn("acceptance", subject, accept, recovery);
        match tokio::time::timeout(ACCEPT_TIMEOUT, receiver).await {
            Ok(Ok(reply)) => reply,
            _ => JobReply::Unclear,
        }
    }

    /// Refuses a job that cannot end in time, unless it was or may have been accepted before.
    async fn refuse_late(&self, name: &JobName, offer: &JobOffer) -> Option<JobReply> {
        let (submission, late) = self.forecast_late(offer)?;
        if self.accepting().contains(name) {
            return None;
        }
        match self.context.store.item(&JobKey::Head.of(name)).await {
            Ok(None) => {}
            Ok(Some(_)) => return Some(JobReply::Accepted(None)),
            Err(_) => return Some(JobReply::Unclear),
        }
        let LateForecast { expected, retry } = late;
        info!(self.context.log, "job would be late"; "job" => %name, "route" => &*offer.route,
            "items" => submission.items, "ahead" => submission.ahead,
            "run_ms" => submission.run.as_millis() as u64,
            "due_ms" => submission.due.as_millis() as u64,
            "expected_ms" => expected.as_millis() as u64, "retry_ms" => retry.as_millis() as u64);
        Some(JobReply::Late { ahead: submission.ahead as u64, expected, retry })
    }

    /// Returns the submission and the forecast if the job cannot end in time. The fraction of the
    /// local waiting items that are for the same route and still in time is assumed to hold for
    /// the items that wait at other workers.
    fn forecast_late(&self, offer: &JobOffer) -> Option<(Submission, LateForecast)> {
        let now = self.context.now();
        let catalog = self.context.catalog()?;
        let route = catalog.route(&offer.spec.host, &offer.spec.path)?;
        let run = self.run_times().remaining(0);
        let (local, ahead) = self.waiting_before(&route.name, now);
        let peers: u32 = {
            let state = self.context.state();
            let workers = state.peers.workers(now).into_iter();
            workers.map(|worker| worker.backlog).fold(0, u32::saturating_add)
        };
        let fraction = if local == 0 { 0.0 } else { f64::from(ahead) / f64::from(local) };
        let submission = Submission {
            items: u32::try_from(offer.spec.items.len()).unwrap_or(u32::MAX),
            ahead: f64::from(local.saturating_add(peers)) * fraction,
            run,
            due: route.due,
        };
        let late = self.forecast().late(&submission, now)?;
        Some((submission, late))
    }

    /// Returns the number of items that wait at this worker, and how many of them are for the given
    /// route and can still end in time.
    fn waiting_before(&self, route: &str, now: Time) -> (u32, u32) {
        let times = self.run_times().clone();
        let (mut all, mut ahead) = (0, 0);
        for job in self.jobs().values().filter(|job| job.is_open()) {
            let due = job.accepted_at + job.due;
            if job.work.spec.is_none() {
                // The bodies of the job are not read yet.
                let items = u32::try_from(job.head.total).unwrap_or(u32::MAX);
                let is_late = job.rank(times.remaining(0), now).is_late();
                all = u32::saturating_add(all, items);
                ahead += if *job.head.route == *route && !is_late { items } else { 0 };
            }
            for item in &job.work.waiting {
                let remaining = times.remaining(item.progress.events());
                all += 1;
                if *job.head.route == *route && !ItemRank::new(due, remaining, now).is_late() {
                    ahead += 1;
                }
            }
        }
        (all, ahead)
    }

    /// Counts a job in its queue, and claims or reads the queue first if needed. Returns the
    /// revision of the queue claim under which the job may be accepted.
    async fn admit(&self, queue: &QueueId, offer: &JobOffer, limit: u64) -> Result<u64, JobReply> {
        let id = &offer.spec.id;
        let tokens = offer.spec.tokens();
        for _ in 0..3 {
            let now = self.context.now();
            let admission = self.queues().admit(queue, id, tokens, limit, now);
            let full = match admission {
                Admission::Accept { claim: revision } => return Ok(revision),
                // The job is being accepted for another front, or another worker has it.
                Admission::Known => return Err(self.wait_acceptance(queue, id).await),
                Admission::Full(full) => Some(full),
                Admission::NotClaimed => None,
            };
            let read = match full {
                Some(full) if !self.should_read(queue, now) => {
                    let QueueFull { waiting, limit, retry } = full;
                    info!(self.context.log, "job does not fit"; "job" => %id,
                        "route" => &*queue.route, "tokens" => tokens, "waiting" => waiting,
                        "limit" => limit, "retry_ms" => retry.as_millis() as u64);
                    return Err(JobReply::Full { waiting, limit, retry });
                }
                Some(_) => self.read_queue(queue).await,
                None => self.claim_queue(queue).await,
            };
            if let Err(error) = read {
                warn!(self.context.log, "queue not claimed"; "route" => &*queue.route,
                    "error" => %error);
                return Err(JobReply::NotHere);
            }
        }
        Err(JobReply::NotHere)
    }

    /// Waits for the result of an acceptance that another request has begun.
    async fn wait_acceptance(&self, queue: &QueueId, id: &JobId) -> JobReply {
        let name = JobName::new(queue.account.as_ref(), id);
        let until = self.context.now() + ACCEPT_TIMEOUT;
        while self.context.now() < until {
            if let Some(job) = self.jobs().get(&name) {
                return JobReply::Accepted(Some(Box::new(job.head.clone())));
            }
            let counted = self.queues().jobs(queue).contains(id);
            if !counted && !self.accepting().contains(&name) {
                break;
            }
            tokio::time::sleep(ACCEPT_POLL_INTERVAL).await;
        }
        // The job may have been accepted by another worker or by a write without a reply, and the
        // queue is also lost with the acceptance of another job.
        match self.context.store.item(&JobKey::Head.of(&name)).await {
            Ok(Some(_)) => JobReply::Accepted(None),
            _ => JobReply::Unclear,
        }
    }

    /// Returns whether a queue counts jobs of other workers, which may have ended since the
    /// last read.
    fn should_read(&self, queue: &QueueId, now: Time) -> bool {
        let account = queue.account.as_ref();
        let jobs = self.jobs();
        let is_local = |id: &JobId| {
            let job = jobs.get(&JobName::new(account, id));
            job.is_some_and(|job| job.work.spec.is_some())
        };
        self.queues().should_read(queue, is_local, now)
    }

    async fn read_queue(&self, queue: &QueueId) -> Result<(), StoreError> {
        let open = self.open_jobs(queue).await?;
        let now = self.context.now();
        self.queues().on_read(queue, open, now);
        Ok(())
    }

    /// Claims a queue, and then reads the open jobs of the account.
    async fn claim_queue(&self, queue: &QueueId) -> Result<(), StoreError> {
        let key = queue_key(queue);
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        // Each attempt writes a different value, so that an earlier claim is not mistaken for this
        // one.
        let value = Bytes::from(format!(
            "{} {:x} {number}",
            self.context.settings.instance, self.context.boot_id
        ));
        let mut previous = 0;
        let revision = loop {
            let write = StoreWrite { key: key.clone(), value: value.clone(), lease: 0 };
            let transaction = Transaction {
                expect: vec![(key.clone(), previous)],
                writes: vec![write],
                removes: Vec::new(),
            };
            let until = self.context.now() + ACCEPT_TIMEOUT / 2;
            match job_store::commit_once(&self.context, &transaction, 0, until).await? {
                WriteResult::Done(revision) => break revision,
                WriteResult::Taken | WriteResult::Refused => {
                    let item = self.context.store.item(&key).await?;
                    previous = item.map_or(0, |item| item.revision);
                }
            }
        };
        let open = self.open_jobs(queue).await?;
        info!(self.context.log, "queue held"; "route" => &*queue.route,
            "account" => queue.account.as_ref().map(AccountName::to_string), "hold" => revision,
            "open" => open.len(), "tokens" => open.iter().map(|(_, tokens)| tokens).sum::<u64>());
        let now = self.context.now();
        self.queues().on_claimed(queue, revision, open, now);
        Ok(())
    }

    /// Reads the open jobs of an account on a route, with their tokens.
    async fn open_jobs(&self, queue: &QueueId) -> Result<Vec<(JobId, u64)>, StoreError> {
        let prefix = account_prefix(queue.account.as_ref());
        let mut open: Vec<(JobId, u64)> = Vec::new();
        let mut after: Option<String> = None;
        loop {
            let page = self.context.store.page(&prefix, after.as_deref()).await?;
            for item in &page.items {
                let Some((name, kind)) = JobKey::parse(&item.key) else { continue };
                match kind {
                    JobKey::Head => {
                        let head = job_store::decode_head(&self.context, &name, &item.value);
                        let on_route = head.filter(|head| head.route == queue.route);
                        open.extend(on_route.map(|head| (name.id, head.tokens)));
                    }
                    JobKey::End | JobKey::Complete => open.retain(|(id, _)| *id != name.id),
                    JobKey::Claim => {}
                }
            }
            // The keys that end a job sort before its head, so its head is removed after the
            // loop over the page.
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

    /// Replaces the tokens of jobs that run at this worker by their remaining tokens.
    fn with_local_tokens(&self, queue: &QueueId, open: Vec<(JobId, u64)>) -> Vec<(JobId, u64)> {
        let account = queue.account.as_ref();
        let jobs = self.jobs();
        let current = |(id, tokens): (JobId, u64)| {
            let job = jobs.get(&JobName::new(account, &id));
            let remaining = job.map(|job| if job.is_open() { job.remaining() } else { 0 });
            (id, remaining.unwrap_or(tokens))
        };
        open.into_iter().map(current).collect()
    }

    /// Writes an acceptance with the claim of this worker, and waits until the result is known.
    async fn write_acceptance(
        self: &Arc<Self>,
        name: &JobName,
        queue: &QueueId,
        offer: JobOffer,
        queue_claim: Option<(String, u64)>,
    ) -> JobReply {
        let now = self.context.now();
        // The worker may have begun to drain after the job was admitted.
        let Some(lease) = self.lease.valid(now).filter(|_| !self.context.is_draining()) else {
            self.queues().on_closed(queue, &name.id);
            return JobReply::NotHere;
        };
        let queue_revision = queue_claim.as_ref().map(|(_, revision)| *revision);
        let acceptance = Acceptance { job_claim: Some((self.claim_value(), lease)), queue_claim };
        let built = job_store::accept_transaction(
            &offer.spec,
            &offer.route,
            offer.version,
            offer.accepted_ms,
            &acceptance,
        );
        let (transaction, head) = match built {
            Ok(built) => built,
            Err(error) => {
                warn!(self.context.log, "job cannot be stored"; "job" => %name, "error" => %error);
                self.queues().on_closed(queue, &name.id);
                return JobReply::NotHere;
            }
        };
        let until = now + ACCEPT_TIMEOUT;
        let result = job_store::accept_once(&self.context, &transaction, until).await;
        info!(self.context.log, "job submitted"; "job" => %name, "route" => &*offer.route,
            "items" => offer.spec.items.len(), "tokens" => head.tokens,
            "waiting" => self.queues().waiting(queue), "end" => format!("{result:?}"));
        let claim = match result {
            Ok(AcceptResult::Done(revision)) => Claim::Local { revision, lease },
            // The claim is written again, since the present one may belong to an earlier lease.
            Ok(AcceptResult::Claimed(revision)) => Claim::Free { since: now, revision },
            // The queue is removed here, so that the remaining tokens of the job are read when the
            // queue is claimed again.
            Ok(AcceptResult::Known) => {
                self.lose_queue(queue, queue_revision);
                return JobReply::Accepted(None);
            }
            Ok(AcceptResult::Refused) => {
                self.lose_queue(queue, queue_revision);
                return JobReply::NotHere;
            }
            // The write may take effect until the queue is claimed again. If it does, the workers
            // that watch the jobs report the claim.
            Err(_) => {
                self.lose_queue(queue, queue_revision);
                return JobReply::Unclear;
            }
        };
        self.queues().on_accepted(queue, &name.id);
        // The acceptance is conditional on a job that has not ended.
        self.add_job(name, head.clone(), offer, claim, now);
        JobReply::Accepted(Some(Box::new(head)))
    }

    /// Ends an acceptance whose task has panicked like one whose result is not known: the front gets no
    /// reply, and if the job is in the store, the workers that watch the jobs report its claim.
    async fn recover_acceptance(
        self: Arc<Self>,
        name: JobName,
        queue: QueueId,
        queue_revision: Option<u64>,
    ) {
        self.lose_queue(&queue, queue_revision);
        self.accepting().remove(&name);
    }

    fn lose_queue(&self, queue: &QueueId, revision: Option<u64>) {
        if let Some(revision) = revision {
            self.queues().on_lost(queue, revision);
        }
    }

    fn add_job(
        self: &Arc<Self>,
        name: &JobName,
        head: JobHead,
        offer: JobOffer,
        claim: Claim,
        open_at: Time,
    ) {
        let now = self.context.now();
        let mut job = Job::new(head, claim, now);
        job.end_check.on_open(open_at);
        job.accepted_at = now;
        let bytes = offer.spec.held_bytes();
        let mut held = self.context.buffers.reserve_kind(Held::Accepted);
        match held.resize(bytes) {
            Ok(()) => job.load(offer.spec, Some(held)),
            Err(error) => {
                info!(self.context.log, "job waits for memory"; "job" => %name, "bytes" => bytes,
                    "detail" => %error);
                job.wait_for_room(bytes, now);
            }
        }
        // Two fronts may have offered the job at the same time.
        self.jobs().entry(name.clone()).or_insert(job);
        self.wake.notify_one();
    }

    async fn results(&self, name: &JobName, groups: u64, wait: Duration) -> JobReply {
        let until = self.context.now() + wait;
        loop {
            let changed = self.results_changed.notified();
            let now = self.context.now();
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
                if let Some(from) = job.group_writes.unknown_from() {
                    timeout = timeout.min(from.since(now) + Duration::from_millis(1));
                }
            }
            // Without a change the wait times out, and the next pass of the loop replies.
            let _ = tokio::time::timeout(timeout, changed).await;
        }
    }

    /// Returns whether the local list of a job's results contains all results in the store.
    fn has_all_results(&self, job: &Job, now: Time) -> bool {
        let claimed = match job.claim {
            Claim::Local { lease, .. } => self.lease.valid(now) == Some(lease),
            _ => false,
        };
        let loaded = job.work.spec.is_some() || !job.is_open();
        job.complete || (claimed && loaded && job.group_writes.are_known(now))
    }

    fn body(&self, name: &JobName, item: &str) -> JobReply {
        let jobs = self.jobs();
        let spec = jobs.get(name).and_then(|job| job.work.spec.clone());
        let Some(spec) = spec else { return JobReply::NotHere };
        let found = spec.items.iter().find(|candidate| candidate.id.as_str() == item);
        JobReply::Body(found.map(|item| Bytes::from(item.body.clone())))
    }

    /// Stops a job permanently.
    pub(crate) fn stop(&self, name: &JobName, cause: &str) {
        let mut jobs = self.jobs();
        let Some(job) = jobs.get_mut(name) else { return };
        if !job.ended {
            info!(self.context.log, "job stops"; "job" => %name, "cause" => cause);
        }
        job.ended = true;
        job.closed.get_or_insert(self.context.now());
        self.queues().on_closed(&job.queue(), &name.id);
        job.stop();
        drop(jobs);
        self.results_changed.notify_waiters();
    }

    /// Adds a job that has no worker, so that this worker claims it.
    pub(crate) fn adopt(&self, name: JobName, head: JobHead, claim: u64) -> JobReply {
        if self.context.is_draining() {
            return JobReply::NotHere;
        }
        let now = self.context.now();
        let mut jobs = self.jobs();
        let log = &self.context.log;
        jobs.entry(name).or_insert_with_key(|name| {
            info!(log, "job adopted"; "job" => %name, "claim" => claim);
            Job::new(head, Claim::Free { since: now, revision: claim }, now)
        });
        drop(jobs);
        self.wake.notify_one();
        JobReply::Done
    }
}
