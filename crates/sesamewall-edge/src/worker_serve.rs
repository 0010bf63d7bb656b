//! What a worker does for fronts and other workers.

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

use crate::job_keys::JobKey;
use crate::job_keys::JobName;
use crate::job_keys::account_prefix;
use crate::job_keys::queue_key;
use crate::job_peer::JobAsk;
use crate::job_peer::JobTold;
use crate::job_peer::Offer;
use crate::job_store;
use crate::job_store::Acceptance;
use crate::job_store::CLAIM_WRITE;
use crate::job_store::JobHead;
use crate::job_store::Written;
use crate::job_work::Claim;
use crate::job_work::Job;
use crate::worker::Worker;

/// Time for an acceptance until the front is told that its end is not known. Clients allow about the
/// objective of the route.
const ACCEPT_TIME: Duration = Duration::from_millis(900);

/// Time between two looks at an acceptance that another call has begun.
const ACCEPT_STEP: Duration = Duration::from_millis(20);

/// Time for which the end of an acceptance is looked for. A write can take effect seconds later.
const RESOLVE_TIME: Duration = Duration::from_secs(20);

/// Time for which a group may be under way to the store before readers are sent there.
const WRITING_TIME: Duration = Duration::from_millis(150);

/// Longest wait of a reader.
const MAX_WAIT: Duration = Duration::from_millis(1000);

/// Most output bytes in one answer, beyond the first group.
const ANSWER_BYTES: usize = 600 << 10;

impl Worker {
    /// Answers a call of another instance.
    pub async fn serve(self: &Arc<Self>, ask: JobAsk) -> JobTold {
        match ask {
            JobAsk::Offer(offer) => self.accept(*offer).await,
            JobAsk::Results { job, groups, wait_ms } => {
                let wait = Duration::from_millis(wait_ms).min(MAX_WAIT);
                self.results(&job, groups, wait).await
            }
            JobAsk::Body { job, item } => self.body(&job, &item),
            JobAsk::End(job) => self.end(&job).await,
            JobAsk::Adopt { job, head, claim } => self.adopt(job, *head, claim),
            JobAsk::Stop(job) => {
                self.stop(&job, "its client ended it at another instance");
                JobTold::Done
            }
            JobAsk::Forward(_) => JobTold::NotHere,
        }
    }

    async fn accept(self: &Arc<Self>, offer: Offer) -> JobTold {
        let name = JobName::new(offer.spec.account.as_ref(), &offer.spec.id);
        if let Some(job) = self.jobs().get(&name) {
            return JobTold::Accepted(Some(Box::new(job.head.clone())));
        }
        if self.context.is_draining() {
            return JobTold::NotHere;
        }
        if let Some(told) = self.refuse_late(&name, &offer).await {
            return told;
        }
        let queue = QueueId { route: offer.route.clone(), account: offer.spec.account.clone() };
        let hold = match offer.limit {
            0 => None,
            limit => match self.admit(&queue, &offer, limit).await {
                Ok(revision) => Some((queue_key(&queue), revision)),
                Err(told) => return told,
            },
        };
        let (sender, receiver) = oneshot::channel();
        let worker = self.clone();
        // The end is looked for even if the front no longer waits.
        self.accepting().insert(name.clone());
        tokio::spawn(async move {
            let told = worker.write_acceptance(&name, &queue, offer, hold).await;
            worker.accepting().remove(&name);
            // A front that has gone needs no answer.
            let _ = sender.send(told);
        });
        match tokio::time::timeout(ACCEPT_TIME, receiver).await {
            Ok(Ok(told)) => told,
            _ => JobTold::Unclear,
        }
    }

    /// Refuses a job that cannot end in time, unless it was accepted before or may be.
    async fn refuse_late(&self, name: &JobName, offer: &Offer) -> Option<JobTold> {
        let (submission, late) = self.late(offer)?;
        if self.accepting().contains(name) {
            return None;
        }
        match self.context.store.item(&JobKey::Head.of(name)).await {
            Ok(None) => {}
            Ok(Some(_)) => return Some(JobTold::Accepted(None)),
            Err(_) => return Some(JobTold::Unclear),
        }
        let LateForecast { expected, retry } = late;
        info!(self.context.log, "job would be late"; "job" => %name, "route" => &*offer.route,
            "items" => submission.items, "ahead" => submission.ahead,
            "run_ms" => submission.run.as_millis() as u64,
            "due_ms" => submission.due.as_millis() as u64,
            "expected_ms" => expected.as_millis() as u64, "retry_ms" => retry.as_millis() as u64);
        Some(JobTold::Late { ahead: submission.ahead as u64, expected, retry })
    }

    /// Tells that a job cannot end in time. Of the items that wait elsewhere, the same part is taken to be
    /// for the same service and in time as of the own ones.
    fn late(&self, offer: &Offer) -> Option<(Submission, LateForecast)> {
        let now = self.context.now();
        let catalog = self.context.catalog()?;
        let route = catalog.route(&offer.spec.host, &offer.spec.path)?;
        let run = self.times().remaining(0);
        let (own, ahead) = self.waiting_before(&route.name, now);
        let others: u32 = {
            let state = self.context.state();
            state.peers.workers(now).iter().map(|worker| worker.backlog).sum()
        };
        let part = if own == 0 { 0.0 } else { f64::from(ahead) / f64::from(own) };
        let submission = Submission {
            items: u32::try_from(offer.spec.items.len()).unwrap_or(u32::MAX),
            ahead: f64::from(own + others) * part,
            run,
            due: route.due,
        };
        let late = self.pace().late(&submission, now)?;
        Some((submission, late))
    }

    /// Returns the own items that wait, and those of a route among them that can still end in time.
    fn waiting_before(&self, route: &str, now: Time) -> (u32, u32) {
        let times = self.times().clone();
        let (mut all, mut ahead) = (0, 0);
        for job in self.jobs().values().filter(|job| job.open()) {
            let due = job.learned + job.due;
            for item in &job.work.waiting {
                let left = times.remaining(item.progress.events());
                all += 1;
                if *job.head.route == *route && !ItemRank::new(due, left, now).is_late() {
                    ahead += 1;
                }
            }
        }
        (all, ahead)
    }

    /// Counts a job in its queue. Returns the revision of the hold under which it may be accepted.
    async fn admit(&self, queue: &QueueId, offer: &Offer, limit: u64) -> Result<u64, JobTold> {
        let id = &offer.spec.id;
        let tokens = offer.spec.tokens();
        for _ in 0..3 {
            let now = self.context.now();
            let admission = self.queues().admit(queue, id, tokens, limit, now);
            let full = match admission {
                Admission::Accept { claim: hold } => return Ok(hold),
                // The acceptance is under way for another front, or another worker has the job.
                Admission::Known => return Err(self.end_of_acceptance(queue, id).await),
                Admission::Full(full) => Some(full),
                Admission::NotClaimed => None,
            };
            let read = match full {
                Some(full) if !self.should_read(queue, now) => {
                    let QueueFull { waiting, limit, retry } = full;
                    info!(self.context.log, "job does not fit"; "job" => %id,
                        "route" => &*queue.route, "tokens" => tokens, "waiting" => waiting,
                        "limit" => limit, "retry_ms" => retry.as_millis() as u64);
                    return Err(JobTold::Full { waiting, limit, retry });
                }
                Some(_) => self.read_queue(queue).await,
                None => self.take_hold(queue).await,
            };
            if let Err(error) = read {
                warn!(self.context.log, "queue not taken"; "route" => &*queue.route,
                    "error" => %error);
                return Err(JobTold::NotHere);
            }
        }
        Err(JobTold::NotHere)
    }

    /// Waits for the end of an acceptance that another call has begun.
    async fn end_of_acceptance(&self, queue: &QueueId, id: &JobId) -> JobTold {
        let name = JobName::new(queue.account.as_ref(), id);
        let until = self.context.now() + ACCEPT_TIME;
        while self.context.now() < until {
            if let Some(job) = self.jobs().get(&name) {
                return JobTold::Accepted(Some(Box::new(job.head.clone())));
            }
            if !self.queues().jobs(queue).contains(id) {
                return JobTold::NotHere;
            }
            tokio::time::sleep(ACCEPT_STEP).await;
        }
        // A job of another worker was accepted for sure only if the store says so.
        match self.context.store.item(&JobKey::Head.of(&name)).await {
            Ok(Some(_)) => JobTold::Accepted(None),
            _ => JobTold::Unclear,
        }
    }

    /// Tells whether jobs of other workers count in a queue, and may have ended meanwhile.
    fn should_read(&self, queue: &QueueId, now: Time) -> bool {
        let account = queue.account.as_ref();
        let jobs = self.jobs();
        let own = |id: &JobId| {
            let job = jobs.get(&JobName::new(account, id));
            job.is_some_and(|job| job.work.spec.is_some())
        };
        self.queues().should_read(queue, own, now)
    }

    async fn read_queue(&self, queue: &QueueId) -> Result<(), StoreError> {
        let open = self.open_jobs(queue).await?;
        let now = self.context.now();
        self.queues().on_read(queue, open, now);
        Ok(())
    }

    /// Takes the hold on a queue, and reads the open jobs of the account afterwards.
    async fn take_hold(&self, queue: &QueueId) -> Result<(), StoreError> {
        let key = queue_key(queue);
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        // Each try to take it has a value of its own, so that an earlier hold is not taken for this one.
        let value = Bytes::from(format!(
            "{} {:x} {number}",
            self.context.settings.instance, self.context.boot_id
        ));
        let mut former = 0;
        let hold = loop {
            let write = StoreWrite { key: key.clone(), value: value.clone(), lease: 0 };
            let transaction = Transaction {
                expect: vec![(key.clone(), former)],
                writes: vec![write],
                removes: Vec::new(),
            };
            let until = self.context.now() + ACCEPT_TIME / 2;
            match job_store::commit_once(&self.context, &transaction, 0, until).await? {
                Written::Done(revision) => break revision,
                Written::Taken | Written::Refused => {
                    let item = self.context.store.item(&key).await?;
                    former = item.map_or(0, |item| item.revision);
                }
            }
        };
        let open = self.open_jobs(queue).await?;
        info!(self.context.log, "queue held"; "route" => &*queue.route,
            "account" => queue.account.as_ref().map(AccountName::to_string), "hold" => hold,
            "open" => open.len(), "tokens" => open.iter().map(|(_, left)| left).sum::<u64>());
        let now = self.context.now();
        self.queues().on_claimed(queue, hold, open, now);
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
                        let here = head.filter(|head| head.route == queue.route);
                        open.extend(here.map(|head| (name.id, head.tokens)));
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
                return Ok(self.with_own(queue, open));
            }
        }
    }

    /// Replaces the tokens of jobs that the own worker runs by what these have left.
    fn with_own(&self, queue: &QueueId, open: Vec<(JobId, u64)>) -> Vec<(JobId, u64)> {
        let account = queue.account.as_ref();
        let jobs = self.jobs();
        let own = |(id, tokens): (JobId, u64)| {
            let job = jobs.get(&JobName::new(account, &id));
            let left = job.map(|job| if job.open() { job.left() } else { 0 });
            (id, left.unwrap_or(tokens))
        };
        open.into_iter().map(own).collect()
    }

    /// Writes an acceptance with the own claim until its end is known.
    async fn write_acceptance(
        self: &Arc<Self>,
        name: &JobName,
        queue: &QueueId,
        offer: Offer,
        hold: Option<(String, u64)>,
    ) -> JobTold {
        let now = self.context.now();
        let limited = hold.is_some();
        let Some(lease) = self.lease.valid(now) else {
            self.queues().on_closed(queue, &name.id);
            return JobTold::NotHere;
        };
        let acceptance = Acceptance { claim: Some((self.claim_value(), lease)), hold };
        let made = job_store::accept(&offer.spec, &offer.route, offer.accepted, &acceptance);
        let (transaction, head) = match made {
            Ok(made) => made,
            Err(error) => {
                warn!(self.context.log, "job cannot be stored"; "job" => %name, "error" => %error);
                self.queues().on_closed(queue, &name.id);
                return JobTold::NotHere;
            }
        };
        // Without a limit the front may accept the job by itself, and nothing is counted.
        let until = now + if limited { RESOLVE_TIME } else { ACCEPT_TIME };
        let result = job_store::commit_once(&self.context, &transaction, CLAIM_WRITE, until).await;
        info!(self.context.log, "job submitted"; "job" => %name, "route" => &*offer.route,
            "items" => offer.spec.items.len(), "tokens" => head.tokens,
            "waiting" => self.queues().waiting(queue), "end" => format!("{result:?}"));
        match result {
            Ok(Written::Done(revision)) => {
                self.queues().on_accepted(queue, &name.id);
                self.begin(name, head.clone(), offer, Claim::Own { revision, lease });
                JobTold::Accepted(Some(Box::new(head)))
            }
            Ok(Written::Taken) => {
                // It was accepted before. What it has left is read with the next hold.
                self.queues().on_lost(queue);
                JobTold::Accepted(None)
            }
            Ok(Written::Refused) => {
                self.queues().on_lost(queue);
                JobTold::NotHere
            }
            Err(_) => JobTold::Unclear,
        }
    }

    fn begin(self: &Arc<Self>, name: &JobName, head: JobHead, offer: Offer, claim: Claim) {
        let now = self.context.now();
        let mut job = Job::new(head, claim, now);
        job.learned = now;
        job.load(offer.spec);
        // Two fronts may have offered it at once.
        self.jobs().entry(name.clone()).or_insert(job);
        self.wake.notify_one();
    }

    async fn results(&self, name: &JobName, groups: u64, wait: Duration) -> JobTold {
        let until = self.context.now() + wait;
        loop {
            let news = self.listed.notified();
            let now = self.context.now();
            let mut pause = until.since(now);
            {
                let jobs = self.jobs();
                let Some(job) = jobs.get(name) else { return JobTold::NotHere };
                if !self.is_sure(job, now) {
                    return JobTold::NotHere;
                }
                let done = job.listed.groups() > groups || !job.open() || pause.is_zero();
                if done {
                    let groups = job.listed.groups_from(groups, ANSWER_BYTES);
                    return JobTold::Results { head: Box::new(job.head.clone()), groups };
                }
                if let Some(since) = job.writing {
                    let sure = since + WRITING_TIME;
                    pause = pause.min(sure.since(now) + Duration::from_millis(1));
                }
            }
            // Without news the time is over, and the next look says so.
            let _ = tokio::time::timeout(pause, news).await;
        }
    }

    /// Tells whether the own list of a job's results is all that the store has.
    fn is_sure(&self, job: &Job, now: Time) -> bool {
        let claimed = match job.claim {
            Claim::Own { lease, .. } => self.lease.valid(now) == Some(lease),
            _ => false,
        };
        let written = job.writing.is_none_or(|since| now.since(since) < WRITING_TIME);
        let loaded = job.work.spec.is_some() || !job.open();
        job.complete || (claimed && written && loaded)
    }

    fn body(&self, name: &JobName, item: &str) -> JobTold {
        let jobs = self.jobs();
        let spec = jobs.get(name).and_then(|job| job.work.spec.clone());
        let Some(spec) = spec else { return JobTold::NotHere };
        let found = spec.items.iter().find(|candidate| candidate.id.as_str() == item);
        JobTold::Body(found.map(|item| Bytes::from(item.body.clone())))
    }

    /// Ends a job for its client: nothing of it starts any more, and the store says so to all.
    async fn end(&self, name: &JobName) -> JobTold {
        let known = self.jobs().get(name).map(|job| job.end_stored);
        match known {
            Some(true) => return JobTold::Done,
            Some(false) => {}
            None => return JobTold::NotHere,
        }
        // Its items stop now; if the store does not learn of it, the client asks again.
        self.stop(name, "its client ended it");
        let key = JobKey::End.of(name);
        let transaction = Transaction {
            expect: vec![(key.clone(), 0)],
            writes: vec![StoreWrite { key, value: Bytes::from_static(b"1"), lease: 0 }],
            removes: Vec::new(),
        };
        let until = self.context.now() + ACCEPT_TIME;
        let result = job_store::commit_once(&self.context, &transaction, 0, until).await;
        info!(self.context.log, "job ended by its client"; "job" => %name,
            "end" => format!("{result:?}"));
        if result.is_err() {
            return JobTold::Unclear;
        }
        if let Some(job) = self.jobs().get_mut(name) {
            job.end_stored = true;
        }
        JobTold::Done
    }

    /// Stops a job for good.
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
        self.listed.notify_waiters();
    }

    /// Takes a job that has no worker.
    pub(crate) fn adopt(&self, name: JobName, head: JobHead, claim: u64) -> JobTold {
        if self.context.is_draining() {
            return JobTold::NotHere;
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
        JobTold::Done
    }
}
