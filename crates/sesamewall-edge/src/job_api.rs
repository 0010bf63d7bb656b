//! The callers' interface to batch jobs.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
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
use sesamewall_platform::JobCall;
use sesamewall_platform::REQUEST_ID;
use sesamewall_platform::WAIT_MS;
use sesamewall_platform::decode_job;
use sesamewall_platform::encode_page;
use sesamewall_ports::StoreError;
use sesamewall_ports::StoreWrite;
use sesamewall_ports::Transaction;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Error;
use sesamewall_protocol::JobId;
use sesamewall_protocol::Time;
use slog::info;
use tokio::sync::Mutex;

use crate::InstanceContext;
use crate::instance_context::wall_millis;
use crate::job_keys::JobKey;
use crate::job_keys::JobName;
use crate::job_peer::JOB_PATH;
use crate::job_peer::JobAsk;
use crate::job_peer::JobTold;
use crate::job_peer::Offer;
use crate::job_store;
use crate::job_store::Acceptance;
use crate::job_store::JobHead;
use crate::job_store::Written;
use crate::response::HttpResponse;
use crate::response::empty;
use crate::response::full;
use crate::response::json;

/// Most output bytes in one page: a page stays below 1 MB in JSON even if every byte is escaped.
const PAGE_BYTES: usize = 400 << 10;

/// Jobs whose results are kept in memory; the one read longest ago goes first.
const MAX_VIEWS: usize = 64;

/// Longest time for the acceptance or the end of a job. Clients allow about the objective of the
/// route, a second in the longest case.
const COMMIT_TIME: Duration = Duration::from_millis(950);

/// Longest wait for a result, as clients may ask for.
const MAX_WAIT: Duration = Duration::from_millis(1000);

/// Time for the way to a worker and back, beyond the time that the worker takes.
const HOP_TIME: Duration = Duration::from_millis(300);

/// Pause between two reads of the store by a reader who waits and whose job's worker is not reached.
const STORE_PAUSE: Duration = Duration::from_millis(600);

/// Time after which a caller should come back when nothing is known.
const RETRY_BLIND: Duration = Duration::from_millis(500);

struct View {
    head: JobHead,
    results: Mutex<ResultList>,
}

struct Kept {
    view: Arc<View>,
    used: Time,
}

/// Why a submission is not accepted.
enum Refused {
    /// It does not fit into the account's queue.
    Full { waiting: u64, limit: u64, retry: Duration },
    /// It would end after it is due.
    Late { ahead: u64, expected: Duration, retry: Duration },
    /// Nothing was done.
    NotDone(String),
    /// It may be accepted.
    Unclear,
}

/// The callers' interface to batch jobs.
pub struct JobApi {
    context: Arc<InstanceContext>,
    views: std::sync::Mutex<HashMap<JobName, Kept>>,
}

fn store_failed(error: &StoreError) -> Error {
    Error::StoreUnavailable { detail: error.to_string() }
}

fn not_found(job: &JobName) -> Error {
    Error::NotFound { kind: "job".to_owned(), id: job.to_string() }
}

impl JobApi {
    /// Creates the interface.
    pub fn new(context: Arc<InstanceContext>) -> Self {
        Self { context, views: std::sync::Mutex::default() }
    }

    /// Accepts a job.
    ///
    /// # Errors
    ///
    /// Returns an error with a status that promises that nothing runs only if that is sure, and the time
    /// after which the job may be accepted.
    pub async fn submit(
        &self,
        route: &RouteSpec,
        account: Option<&AccountSpec>,
        host: &str,
        head: &Parts,
        body: &Bytes,
    ) -> Result<HttpResponse, (Error, Duration)> {
        let id = head.headers.get(REQUEST_ID).and_then(|id| id.to_str().ok()).unwrap_or_default();
        if id.is_empty() || id.contains('/') {
            let detail = "the job needs an identifier".to_owned();
            return Err((Error::HeadersInvalid { detail }, RETRY_BLIND));
        }
        let items =
            decode_job(body).map_err(|detail| (Error::BodyNotJson { detail }, RETRY_BLIND))?;
        let spec = JobSpec {
            id: JobId::from(id),
            account: account.map(|account| account.name.clone()),
            host: host.to_owned(),
            path: head.uri.path().to_owned(),
            items,
        };
        let name = JobName::new(spec.account.as_ref(), &spec.id);
        let offer = Offer {
            spec,
            route: route.name.clone(),
            limit: route.max_waiting,
            accepted: wall_millis(),
        };
        let until = self.context.now() + COMMIT_TIME;
        let accepted = self.offer(&name, offer, until).await;
        match accepted {
            Ok(head) => {
                if let Some(head) = head {
                    self.keep(&name, head, ResultList::default());
                }
                Ok(empty(StatusCode::ACCEPTED))
            }
            Err(Refused::Unclear) => Ok(empty(StatusCode::GATEWAY_TIMEOUT)),
            Err(Refused::NotDone(detail)) => Err((Error::StoreUnavailable { detail }, RETRY_BLIND)),
            Err(Refused::Full { waiting, limit, retry }) => {
                let numbers = vec![
                    ("waiting".to_owned(), waiting as f64),
                    ("limit".to_owned(), limit as f64),
                ];
                let account = account.map(|account| account.name.to_string()).unwrap_or_default();
                let retry_ms = retry.as_millis() as u64;
                Err((Error::TokensWaiting { account, retry_ms, numbers }, retry))
            }
            Err(Refused::Late { ahead, expected, retry }) => {
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

    /// Returns the workers that may own an account's jobs, the first one first.
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

    /// Asks the worker that owns an account's jobs, through another instance if it cannot be reached.
    async fn ask(&self, owner: IpAddr, ask: JobAsk, limit: Duration) -> Result<JobTold, CallError> {
        match self.context.calls.call(owner, JOB_PATH, &ask, limit).await {
            Err(CallError::NotSent) => {}
            result => return result,
        }
        let Some(helper) = self.context.store.relay().helper() else {
            return Err(CallError::NotSent);
        };
        let forward = JobAsk::Forward(Box::new((owner, ask)));
        self.context.calls.call(helper, JOB_PATH, &forward, limit).await
    }

    async fn offer(
        &self,
        name: &JobName,
        offer: Offer,
        until: Time,
    ) -> Result<Option<JobHead>, Refused> {
        let owners = self.owners(offer.spec.account.as_ref());
        let mut unclear = false;
        for owner in owners.into_iter().take(2) {
            let left = until.since(self.context.now());
            if left.is_zero() {
                break;
            }
            let ask = JobAsk::Offer(Box::new(offer.clone()));
            match self.ask(owner, ask, left).await {
                Ok(JobTold::Accepted(head)) => return Ok(head.map(|head| *head)),
                Ok(JobTold::Full { waiting, limit, retry }) if !unclear => {
                    return Err(Refused::Full { waiting, limit, retry });
                }
                Ok(JobTold::Late { ahead, expected, retry }) if !unclear => {
                    return Err(Refused::Late { ahead, expected, retry });
                }
                Ok(JobTold::NotHere) | Err(CallError::NotSent) => {}
                _ => {
                    unclear = true;
                    break;
                }
            }
        }
        if offer.limit > 0 {
            // Only a worker knows what waits.
            return Err(match unclear {
                true => Refused::Unclear,
                false => Refused::NotDone("no worker takes the job".to_owned()),
            });
        }
        self.accept_alone(name, &offer, until).await
    }

    /// Writes a job that no worker has taken; the workers find it in the store.
    async fn accept_alone(
        &self,
        name: &JobName,
        offer: &Offer,
        until: Time,
    ) -> Result<Option<JobHead>, Refused> {
        let acceptance = Acceptance::default();
        let made = job_store::accept(&offer.spec, &offer.route, offer.accepted, &acceptance);
        let (transaction, head) = made.map_err(|error| Refused::NotDone(error.to_string()))?;
        let result = job_store::commit_once(&self.context, &transaction, 0, until).await;
        info!(self.context.log, "job submitted"; "job" => %name, "route" => &*offer.route,
            "items" => offer.spec.items.len(), "worker" => false, "end" => format!("{result:?}"));
        match result {
            Ok(Written::Done(_)) => Ok(Some(head)),
            // A refused condition means that the job was accepted before.
            Ok(Written::Taken | Written::Refused) => Ok(None),
            Err(_) => Err(Refused::Unclear),
        }
    }

    /// Answers a call about a job.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` only if the store says that there is no such job.
    pub async fn serve(
        &self,
        call: JobCall,
        account: Option<&AccountSpec>,
        headers: &HeaderMap,
    ) -> Result<HttpResponse, Error> {
        let account = account.map(|account| &account.name);
        match call {
            JobCall::Results { job, after } => {
                let wait =
                    headers.get(&WAIT_MS).and_then(|value| value.to_str().ok()?.parse().ok());
                let wait = Duration::from_millis(wait.unwrap_or(0)).min(MAX_WAIT);
                self.results(&JobName::new(account, &job), account, after, wait).await
            }
            JobCall::Body { job, item } => {
                self.body(&JobName::new(account, &job), account, &item).await
            }
            JobCall::End { job } => self.end(&JobName::new(account, &job), account).await,
        }
    }

    fn kept(&self, job: &JobName) -> Option<Arc<View>> {
        let now = self.context.now();
        let mut views = self.views();
        let kept = views.get_mut(job)?;
        kept.used = now;
        Some(kept.view.clone())
    }

    fn keep(&self, job: &JobName, head: JobHead, results: ResultList) -> Arc<View> {
        let view = Arc::new(View { head, results: Mutex::new(results) });
        let mut views = self.views();
        if views.len() >= MAX_VIEWS {
            let oldest = views.iter().min_by_key(|(_, kept)| kept.used).map(|(job, _)| job.clone());
            oldest.and_then(|job| views.remove(&job));
        }
        let kept = Kept { view: view.clone(), used: self.context.now() };
        views.entry(job.clone()).or_insert(kept).view.clone()
    }

    fn views(&self) -> std::sync::MutexGuard<'_, HashMap<JobName, Kept>> {
        self.views.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Asks the job's worker for results. Returns `None` if it does not have the job or is not reached.
    async fn results_told(
        &self,
        job: &JobName,
        account: Option<&AccountName>,
        groups: u64,
        wait: Duration,
    ) -> Option<(JobHead, Vec<Vec<Arc<ItemResult>>>)> {
        let owner = self.owners(account).into_iter().next()?;
        let wait_ms = wait.as_millis() as u64;
        let ask = JobAsk::Results { job: job.clone(), groups, wait_ms };
        match self.ask(owner, ask, wait + HOP_TIME).await {
            Ok(JobTold::Results { head, groups }) => Some((*head, groups)),
            _ => None,
        }
    }

    /// Returns what is known of a job, from its worker or the store.
    async fn view(&self, job: &JobName, account: Option<&AccountName>) -> Result<Arc<View>, Error> {
        if let Some(view) = self.kept(job) {
            return Ok(view);
        }
        if let Some((head, groups)) = self.results_told(job, account, 0, Duration::ZERO).await {
            let mut list = ResultList::default();
            append(&mut list, 0, groups);
            return Ok(self.keep(job, head, list));
        }
        let read =
            job_store::open(&self.context, job).await.map_err(|error| store_failed(&error))?;
        let (head, results) = read.ok_or_else(|| not_found(job))?;
        Ok(self.keep(job, head, results))
    }

    async fn results(
        &self,
        job: &JobName,
        account: Option<&AccountName>,
        after: usize,
        wait: Duration,
    ) -> Result<HttpResponse, Error> {
        let until = self.context.now() + wait;
        let view = self.view(job, account).await?;
        loop {
            let (known, groups) = {
                let results = view.results.lock().await;
                (results.len(), results.groups())
            };
            let left = until.since(self.context.now());
            let complete = known >= view.head.total;
            let mut asked_store = false;
            if known <= after && !complete {
                match self.results_told(job, account, groups, left).await {
                    Some((_, told)) => {
                        append(&mut *view.results.lock().await, groups, told);
                    }
                    None => {
                        let mut results = view.results.lock().await;
                        let read = job_store::refresh(&self.context, job, &mut results).await;
                        read.map_err(|error| store_failed(&error))?;
                        asked_store = true;
                    }
                }
            }
            let results = view.results.lock().await;
            let left = until.since(self.context.now());
            let done = results.len() > after || results.len() >= view.head.total;
            if done || left.is_zero() {
                let page = results.page(after, PAGE_BYTES);
                return Ok(json(StatusCode::OK, encode_page(view.head.total, after, page)));
            }
            drop(results);
            if asked_store {
                tokio::time::sleep(left.min(STORE_PAUSE)).await;
            }
        }
    }

    async fn body(
        &self,
        job: &JobName,
        account: Option<&AccountName>,
        item: &str,
    ) -> Result<HttpResponse, Error> {
        let missing = || Error::NotFound { kind: "item".to_owned(), id: item.to_owned() };
        let mut reply = empty(StatusCode::OK);
        if let Some(owner) = self.owners(account).into_iter().next() {
            let ask = JobAsk::Body { job: job.clone(), item: item.to_owned() };
            if let Ok(JobTold::Body(body)) = self.ask(owner, ask, HOP_TIME).await {
                *reply.body_mut() = full(body.ok_or_else(missing)?);
                return Ok(reply);
            }
        }
        let view = self.view(job, account).await?;
        let spec = job_store::spec(&self.context, job, view.head.parts).await;
        let spec = spec.map_err(|error| store_failed(&error))?.ok_or_else(|| not_found(job))?;
        let found = spec.items.into_iter().find(|candidate| candidate.id.as_str() == item);
        *reply.body_mut() = full(found.ok_or_else(missing)?.body);
        Ok(reply)
    }

    async fn end(
        &self,
        job: &JobName,
        account: Option<&AccountName>,
    ) -> Result<HttpResponse, Error> {
        let until = self.context.now() + COMMIT_TIME;
        if let Some(owner) = self.owners(account).into_iter().next() {
            let told = self.ask(owner, JobAsk::End(job.clone()), COMMIT_TIME).await;
            match told {
                Ok(JobTold::Done) => return Ok(empty(StatusCode::OK)),
                Ok(JobTold::Unclear) => return Ok(empty(StatusCode::GATEWAY_TIMEOUT)),
                _ => {}
            }
        }
        // Only jobs that exist can be ended.
        self.view(job, account).await?;
        let key = JobKey::End.of(job);
        let transaction = Transaction {
            expect: vec![(key.clone(), 0)],
            writes: vec![StoreWrite { key, value: Bytes::from_static(b"1"), lease: 0 }],
            removes: Vec::new(),
        };
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
