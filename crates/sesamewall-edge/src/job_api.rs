//! The HTTP interface of callers to batch jobs.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http::request::Parts;
use sesamewall_adapters::http_client::CallError;
use sesamewall_fleet::AccountSpec;
use sesamewall_fleet::ItemResult;
use sesamewall_fleet::JobSpec;
use sesamewall_fleet::ResultList;
use sesamewall_fleet::RouteSpec;
use sesamewall_fleet::job_owners;
use sesamewall_platform::ClientLimits;
use sesamewall_platform::JobCall;
use sesamewall_platform::REQUEST_ID;
use sesamewall_platform::WAIT_MS;
use sesamewall_platform::decode_job;
use sesamewall_platform::encode_page;
use sesamewall_ports::StoreError;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Error;
use sesamewall_protocol::JobId;
use sesamewall_protocol::Time;
use slog::info;
use tokio::sync::Mutex;
use tokio::sync::Semaphore;

use crate::InstanceContext;
use crate::byte_budget::Held;
use crate::instance_context::wall_millis;
use crate::job_keys::JobName;
use crate::job_messages::JOB_PATH;
use crate::job_messages::JobOffer;
use crate::job_messages::JobReply;
use crate::job_messages::JobRequest;
use crate::job_store;
use crate::job_store::Acceptance;
use crate::job_store::JobHead;
use crate::job_store::WriteResult;
use crate::response::HttpResponse;
use crate::response::empty;
use crate::response::full;
use crate::response::json;

/// Most output bytes in one page: this keeps a page below 1 MB in JSON even if every byte is
/// escaped.
const PAGE_BYTES: usize = 400 << 10;

/// Number of jobs whose results are cached; the least recently read one is evicted first. Their bytes
/// are limited by a share of the memory.
const MAX_VIEWS: usize = 64;

/// Time limit for accepting or ending a job. Clients wait for about the objective of the route,
/// which is one second at most.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(950);

/// Longest wait for a result that a client may request.
const MAX_WAIT: Duration = Duration::from_millis(1000);

/// Time, after the wait that a reader allows, within which the results before its position have to
/// be read. Clients wait somewhat longer.
const READ_TIME: Duration = Duration::from_millis(1000);

/// Time for the way to a worker and back, in addition to the time that the worker itself takes.
const ROUND_TRIP_TIME: Duration = Duration::from_millis(300);

/// Interval between two reads of the store while a reader waits for results and the job's worker
/// cannot be reached.
const STORE_READ_INTERVAL: Duration = Duration::from_millis(600);

/// Retry time sent to a caller when no better estimate exists.
const DEFAULT_RETRY: Duration = Duration::from_millis(500);

/// Jobs whose results are read whole from a worker or the store at the same time. Their size is known
/// only when they have arrived.
const VIEW_READS: usize = 8;

/// Bodies of items that are read from workers or the store at the same time. Their size is known
/// only when they have arrived.
const BODY_READS: usize = 8;

struct JobView {
    head: JobHead,
    results: Mutex<ResultList>,
    /// Bytes of the results when they were last read.
    bytes: AtomicUsize,
}

impl JobView {
    fn new(head: JobHead, results: ResultList) -> Self {
        let bytes = AtomicUsize::new(results.bytes());
        Self { head, results: Mutex::new(results), bytes }
    }

    fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }
}

struct CachedView {
    view: Arc<JobView>,
    used: Time,
}

/// Reason why a submission was not accepted.
enum SubmitError {
    /// The job does not fit into the account's queue.
    Full { waiting: u64, limit: u64, retry: Duration },
    /// The job would end after it is due.
    Late { ahead: u64, expected: Duration, retry: Duration },
    /// Nothing was done.
    NotDone(String),
    /// Whether the job was accepted is unknown.
    Unclear,
}

/// The HTTP interface of callers to batch jobs.
pub struct JobApi {
    context: Arc<InstanceContext>,
    views: std::sync::Mutex<HashMap<JobName, CachedView>>,
    body_reads: Semaphore,
    view_reads: Semaphore,
    /// Most bytes of cached results.
    view_bytes: usize,
}

fn store_failed(error: &StoreError) -> Error {
    Error::StoreUnavailable { detail: error.to_string() }
}

/// Kind of a job in `NotFound`.
const JOB: &str = "job";

fn not_found(job: &JobName) -> Error {
    Error::NotFound { kind: JOB.to_owned(), id: job.to_string() }
}

/// Returns whether the error says that a job does not exist.
pub fn is_no_job(error: &Error) -> bool {
    matches!(error, Error::NotFound { kind, .. } if kind == JOB)
}

impl JobApi {
    /// Creates the interface.
    pub fn new(context: Arc<InstanceContext>) -> Self {
        let settings = &context.settings;
        let share = settings.client_limits.result_share;
        let view_bytes = ClientLimits::memory_part(settings.memory_mb, share);
        Self {
            context,
            views: std::sync::Mutex::default(),
            body_reads: Semaphore::new(BODY_READS),
            view_reads: Semaphore::new(VIEW_READS),
            view_bytes,
        }
    }

    /// Accepts a job.
    ///
    /// # Errors
    ///
    /// Returns the error and the time after which the job may be accepted. The error has a status
    /// that guarantees that nothing runs only if that is certain.
    pub async fn submit(
        &self,
        route: &RouteSpec,
        version: u64,
        account: Option<&AccountSpec>,
        host: &str,
        head: &Parts,
        body: &Bytes,
    ) -> Result<HttpResponse, (Error, Duration)> {
        let id = head.headers.get(REQUEST_ID).and_then(|id| id.to_str().ok()).unwrap_or_default();
        if id.is_empty() || id.contains('/') {
            let detail = "the job needs an identifier".to_owned();
            return Err((Error::HeadersInvalid { detail }, DEFAULT_RETRY));
        }
        let items =
            decode_job(body).map_err(|detail| (Error::BodyNotJson { detail }, DEFAULT_RETRY))?;
        let spec = JobSpec {
            id: JobId::from(id),
            account: account.map(|account| account.name.clone()),
            host: host.to_owned(),
            path: head.uri.path().to_owned(),
            items,
        };
        let name = JobName::new(spec.account.as_ref(), &spec.id);
        let offer = JobOffer {
            spec,
            route: route.name.clone(),
            version,
            limit: route.max_waiting,
            accepted_ms: wall_millis(),
        };
        let until = self.context.now() + COMMIT_TIMEOUT;
        let accepted = self.offer_job(&name, offer, until).await;
        match accepted {
            Ok(head) => {
                if let Some(head) = head {
                    self.cache_view(&name, head, ResultList::default());
                }
                Ok(empty(StatusCode::ACCEPTED))
            }
            Err(SubmitError::Unclear) => Ok(empty(StatusCode::GATEWAY_TIMEOUT)),
            Err(SubmitError::NotDone(detail)) => {
                Err((Error::StoreUnavailable { detail }, DEFAULT_RETRY))
            }
            Err(SubmitError::Full { waiting, limit, retry }) => {
                let numbers = vec![
                    ("waiting".to_owned(), waiting as f64),
                    ("limit".to_owned(), limit as f64),
                ];
                let account = account.map(|account| account.name.to_string()).unwrap_or_default();
                let retry_ms = retry.as_millis() as u64;
                Err((Error::TokensWaiting { account, retry_ms, numbers }, retry))
            }
            Err(SubmitError::Late { ahead, expected, retry }) => {
                let numbers = vec![
                    ("ahead".to_owned(), ahead as f64),
                    ("due_ms".to_owned(), route.due.as_millis() as f64),
                ];
                let expected_ms = expected.as_millis() as u64;
                let retry_ms = retry.as_millis() as u64;
                Err((Error::JobLate { expected_ms, retry_ms, numbers }, retry))
            }
        }
    }

    /// Returns the addresses of the workers that may own an account's jobs, in the order of
    /// preference.
    fn owners(&self, account: Option<&AccountName>) -> Vec<IpAddr> {
        let now = self.context.now();
        let state = self.context.state();
        let workers: Vec<_> = state
            .peers
            .workers(now)
            .into_iter()
            .filter(|worker| !worker.draining && worker.store_reachable)
            .collect();
        let ranked = job_owners(account, workers, |worker| &worker.name);
        ranked.into_iter().map(|worker| worker.address).collect()
    }

    /// Sends a request to the worker that owns an account's jobs, through another instance if the
    /// worker cannot be reached.
    async fn send_request(
        &self,
        owner: IpAddr,
        request: JobRequest,
        limit: Duration,
    ) -> Result<JobReply, CallError> {
        match self.context.peer_client.call(owner, JOB_PATH, &request, limit).await {
            Err(CallError::NotSent) => {}
            result => return result,
        }
        let Some(helper) = self.context.store.relay().helper() else {
            return Err(CallError::NotSent);
        };
        let forward = JobRequest::Forward(Box::new((owner, request)));
        self.context.peer_client.call(helper, JOB_PATH, &forward, limit).await
    }

    async fn offer_job(
        &self,
        name: &JobName,
        offer: JobOffer,
        until: Time,
    ) -> Result<Option<JobHead>, SubmitError> {
        let owners = self.owners(offer.spec.account.as_ref());
        let mut outcome_unknown = false;
        for owner in owners.into_iter().take(2) {
            let remaining = until.since(self.context.now());
            if remaining.is_zero() {
                break;
            }
            let request = JobRequest::Offer(Box::new(offer.clone()));
            match self.send_request(owner, request, remaining).await {
                Ok(JobReply::Accepted(head)) => return Ok(head.map(|head| *head)),
                Ok(JobReply::Full { waiting, limit, retry }) if !outcome_unknown => {
                    return Err(SubmitError::Full { waiting, limit, retry });
                }
                Ok(JobReply::Late { ahead, expected, retry }) if !outcome_unknown => {
                    return Err(SubmitError::Late { ahead, expected, retry });
                }
                Ok(JobReply::NotHere) | Err(CallError::NotSent) => {}
                _ => {
                    outcome_unknown = true;
                    break;
                }
            }
        }
        if offer.limit > 0 {
            // Only a worker has the number of waiting tokens.
            return Err(match outcome_unknown {
                true => SubmitError::Unclear,
                false => SubmitError::NotDone("no worker takes the job".to_owned()),
            });
        }
        self.accept_without_worker(name, &offer, until).await
    }

    /// Writes a job that no worker has accepted to the store, where the workers find it.
    async fn accept_without_worker(
        &self,
        name: &JobName,
        offer: &JobOffer,
        until: Time,
    ) -> Result<Option<JobHead>, SubmitError> {
        let acceptance = Acceptance::default();
        let built = job_store::accept_transaction(
            &offer.spec,
            &offer.route,
            offer.version,
            offer.accepted_ms,
            &acceptance,
        );
        let (transaction, head) = built.map_err(|error| SubmitError::NotDone(error.to_string()))?;
        let result = job_store::commit_once(&self.context, &transaction, 0, until).await;
        info!(self.context.log, "job submitted"; "job" => %name, "route" => &*offer.route,
            "items" => offer.spec.items.len(), "worker" => false, "end" => format!("{result:?}"));
        match result {
            Ok(WriteResult::Done(_)) => Ok(Some(head)),
            // A failed precondition means that the job was accepted before.
            Ok(WriteResult::Taken | WriteResult::Refused) => Ok(None),
            Err(_) => Err(SubmitError::Unclear),
        }
    }

    /// Serves a caller's request about an existing job, the first one with this id among the jobs of
    /// `accounts`.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` only if the store has confirmed that the job does not exist.
    pub async fn serve(
        &self,
        call: JobCall,
        accounts: &[Option<AccountName>],
        headers: &HeaderMap,
    ) -> Result<HttpResponse, Error> {
        let mut absent = not_found(&JobName::new(None, call.job()));
        for account in accounts {
            match self.serve_account(&call, account.as_ref(), headers).await {
                Err(error) if is_no_job(&error) => absent = error,
                result => return result,
            }
        }
        Err(absent)
    }

    async fn serve_account(
        &self,
        call: &JobCall,
        account: Option<&AccountName>,
        headers: &HeaderMap,
    ) -> Result<HttpResponse, Error> {
        let job = JobName::new(account, call.job());
        match call {
            JobCall::Results { after, .. } => {
                let wait =
                    headers.get(&WAIT_MS).and_then(|value| value.to_str().ok()?.parse().ok());
                let wait = Duration::from_millis(wait.unwrap_or(0)).min(MAX_WAIT);
                self.results(&job, account, *after, wait).await
            }
            JobCall::Body { item, .. } => self.body(&job, account, item).await,
            JobCall::End { .. } => self.end(&job, account).await,
        }
    }

    /// Returns whether a job was accepted under one of these accounts.
    ///
    /// # Errors
    ///
    /// Returns `StoreUnavailable` if that cannot be said.
    pub async fn was_accepted(
        &self,
        job: &JobId,
        accounts: &[Option<AccountName>],
    ) -> Result<bool, Error> {
        for account in accounts {
            match self.load_view(&JobName::new(account.as_ref(), job), account.as_ref()).await {
                Err(error) if is_no_job(&error) => {}
                result => return result.map(|_| true),
            }
        }
        Ok(false)
    }

    /// Charges a response until it has been sent.
    fn charge(&self, bytes: Vec<u8>) -> Result<Bytes, Error> {
        let mut reserved = self.context.buffers.reserve_kind(Held::Answer);
        reserved.resize(bytes.capacity()).map_err(|_| Error::MemoryExhausted)?;
        Ok(reserved.keep(bytes))
    }

    fn cached_view(&self, job: &JobName) -> Option<Arc<JobView>> {
        let now = self.context.now();
        let mut views = self.views();
        let cached = views.get_mut(job)?;
        cached.used = now;
        Some(cached.view.clone())
    }

    fn cache_view(&self, job: &JobName, head: JobHead, results: ResultList) -> Arc<JobView> {
        let view = Arc::new(JobView::new(head, results));
        let cached = CachedView { view: view.clone(), used: self.context.now() };
        let view = self.views().entry(job.clone()).or_insert(cached).view.clone();
        self.evict_views();
        view
    }

    /// Removes the least recently read jobs from the cache until it is within its limits. A job that
    /// alone has more bytes than the limit is not kept either.
    fn evict_views(&self) {
        let mut views = self.views();
        let mut bytes: usize = views.values().map(|cached| cached.view.bytes()).sum();
        while views.len() > MAX_VIEWS || bytes > self.view_bytes {
            let oldest =
                views.iter().min_by_key(|(_, cached)| cached.used).map(|(job, _)| job.clone());
            let Some(removed) = oldest.and_then(|job| views.remove(&job)) else { return };
            // The results may have grown since they were added up.
            bytes = bytes.saturating_sub(removed.view.bytes());
        }
    }

    fn views(&self) -> std::sync::MutexGuard<'_, HashMap<JobName, CachedView>> {
        self.views.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Requests results from the job's worker. Returns `None` if the worker does not have the job
    /// or the request fails.
    async fn fetch_results(
        &self,
        job: &JobName,
        account: Option<&AccountName>,
        groups: u64,
        wait: Duration,
    ) -> Option<(JobHead, Vec<Vec<Arc<ItemResult>>>)> {
        let owner = self.owners(account).into_iter().next()?;
        let wait_ms = wait.as_millis() as u64;
        let request = JobRequest::Results { job: job.clone(), groups, wait_ms };
        match self.send_request(owner, request, wait + ROUND_TRIP_TIME).await {
            Ok(JobReply::Results { head, groups }) => Some((*head, groups)),
            _ => None,
        }
    }

    /// Returns the head and results of a job from the cache, its worker or the store.
    async fn load_view(
        &self,
        job: &JobName,
        account: Option<&AccountName>,
    ) -> Result<Arc<JobView>, Error> {
        if let Some(view) = self.cached_view(job) {
            return Ok(view);
        }
        // A failure means that the semaphore was closed, which never happens.
        let _permit = self.view_reads.acquire().await;
        // Another call may have read the job meanwhile.
        if let Some(view) = self.cached_view(job) {
            return Ok(view);
        }
        if let Some((head, groups)) = self.fetch_results(job, account, 0, Duration::ZERO).await {
            let mut list = ResultList::default();
            append(&mut list, 0, groups);
            return Ok(self.cache_view(job, head, list));
        }
        let read =
            job_store::read_job(&self.context, job).await.map_err(|error| store_failed(&error))?;
        let (head, results) = read.ok_or_else(|| not_found(job))?;
        Ok(self.cache_view(job, head, results))
    }

    async fn results(
        &self,
        job: &JobName,
        account: Option<&AccountName>,
        after: usize,
        wait: Duration,
    ) -> Result<HttpResponse, Error> {
        let until = self.context.now() + wait;
        let view = self.load_view(job, account).await?;
        loop {
            let (known, groups) = {
                let results = view.results.lock().await;
                (results.len(), results.groups())
            };
            if known > after || known >= view.head.total {
                let results = view.results.lock().await;
                let page = results.page(after, PAGE_BYTES);
                let page = encode_page(view.head.total, after, page);
                let mut response = json(StatusCode::OK, Vec::new());
                *response.body_mut() = full(self.charge(page)?);
                return Ok(response);
            }
            let now = self.context.now();
            if now >= until + READ_TIME {
                let detail = format!("results from {known} to {after} were not read in time");
                return Err(Error::StoreUnavailable { detail });
            }
            let fetched = self.fetch_results(job, account, groups, until.since(now)).await;
            let from_store = fetched.is_none();
            match fetched {
                Some((_, new_groups)) => {
                    append(&mut *view.results.lock().await, groups, new_groups);
                }
                None => {
                    let mut results = view.results.lock().await;
                    let read = job_store::read_new_results(&self.context, job, &mut results).await;
                    read.map_err(|error| store_failed(&error))?;
                }
            }
            view.bytes.store(view.results.lock().await.bytes(), Ordering::Relaxed);
            self.evict_views();
            // A reply has a part of the results at most. Only a reply without a further one shows
            // that there is nothing at the position.
            if view.results.lock().await.groups() > groups {
                continue;
            }
            let remaining = until.since(self.context.now());
            if remaining.is_zero() {
                return Ok(json(StatusCode::OK, encode_page(view.head.total, after, &[])));
            }
            if from_store {
                tokio::time::sleep(remaining.min(STORE_READ_INTERVAL)).await;
            }
        }
    }

    async fn body(
        &self,
        job: &JobName,
        account: Option<&AccountName>,
        item: &str,
    ) -> Result<HttpResponse, Error> {
        // A failure means that the semaphore was closed, which never happens.
        let _permit = self.body_reads.acquire().await;
        let missing = || Error::NotFound { kind: "item".to_owned(), id: item.to_owned() };
        let mut response = empty(StatusCode::OK);
        if let Some(owner) = self.owners(account).into_iter().next() {
            let request = JobRequest::Body { job: job.clone(), item: item.to_owned() };
            if let Ok(JobReply::Body(body)) =
                self.send_request(owner, request, ROUND_TRIP_TIME).await
            {
                *response.body_mut() = full(self.charge(body.ok_or_else(missing)?.into())?);
                return Ok(response);
            }
        }
        let view = self.load_view(job, account).await?;
        let spec = job_store::read_spec(&self.context, job, view.head.parts).await;
        let spec = spec.map_err(|error| store_failed(&error))?.ok_or_else(|| not_found(job))?;
        let found = spec.items.into_iter().find(|candidate| candidate.id.as_str() == item);
        *response.body_mut() = full(self.charge(found.ok_or_else(missing)?.body.clone())?);
        Ok(response)
    }

    async fn end(
        &self,
        job: &JobName,
        account: Option<&AccountName>,
    ) -> Result<HttpResponse, Error> {
        let until = self.context.now() + COMMIT_TIMEOUT;
        let mut outcome_unknown = false;
        if let Some(owner) = self.owners(account).into_iter().next() {
            let reply =
                self.send_request(owner, JobRequest::End(job.clone()), COMMIT_TIMEOUT).await;
            match reply {
                Ok(JobReply::Done) => return Ok(empty(StatusCode::OK)),
                Ok(JobReply::Unclear) => return Ok(empty(StatusCode::GATEWAY_TIMEOUT)),
                Ok(JobReply::NotHere) | Err(CallError::NotSent) => {}
                _ => outcome_unknown = true,
            }
        }
        // Only a job that exists can be ended.
        match self.load_view(job, account).await {
            Err(Error::StoreUnavailable { .. }) if outcome_unknown => {
                return Ok(empty(StatusCode::GATEWAY_TIMEOUT));
            }
            view => view?,
        };
        let transaction = job_store::end_transaction(job);
        let result = job_store::commit_once(&self.context, &transaction, 0, until).await;
        info!(self.context.log, "job ended by its client"; "job" => %job, "worker" => false,
            "end" => format!("{result:?}"));
        match result {
            Ok(_) => Ok(empty(StatusCode::OK)),
            Err(_) => Ok(empty(StatusCode::GATEWAY_TIMEOUT)),
        }
    }
}

fn append(list: &mut ResultList, first: u64, groups: Vec<Vec<Arc<ItemResult>>>) {
    for (number, group) in (first..).zip(groups) {
        let results = group.into_iter().map(Arc::unwrap_or_clone).collect();
        list.append(number, results);
    }
}
