//! The callers' interface to batch jobs.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http::request::Parts;
use sesamewall_fleet::AccountSpec;
use sesamewall_fleet::JobSpec;
use sesamewall_fleet::ResultList;
use sesamewall_fleet::RouteSpec;
use sesamewall_fleet::job_key;
use sesamewall_platform::JobCall;
use sesamewall_platform::REQUEST_ID;
use sesamewall_platform::WAIT_MS;
use sesamewall_platform::decode_job;
use sesamewall_platform::encode_page;
use sesamewall_ports::StoreError;
use sesamewall_ports::StoreWrite;
use sesamewall_ports::Transaction;
use sesamewall_protocol::Error;
use sesamewall_protocol::JobId;
use sesamewall_protocol::Time;
use slog::info;
use tokio::sync::Mutex;

use crate::Node;
use crate::job_keys::JobKey;
use crate::job_store;
use crate::job_store::JobHead;
use crate::job_store::Written;
use crate::node::wall_millis;
use crate::reply::Reply;
use crate::reply::empty;
use crate::reply::full;
use crate::reply::json;

/// Most output bytes in one page: a page stays below 1 MB in JSON even if every byte is escaped.
const PAGE_BYTES: usize = 400 << 10;

/// Jobs whose results are kept in memory; the one read longest ago goes first.
const MAX_VIEWS: usize = 64;

/// Longest time for the acceptance or the end of a job. Clients allow about the objective of the
/// route, a second in the longest case.
const COMMIT_TIME: Duration = Duration::from_millis(900);

/// Longest wait for a result, as clients may ask for.
const MAX_WAIT: Duration = Duration::from_millis(1000);

/// Time between two looks at the word of a job's worker while a reader waits.
const NEWS_INTERVAL: Duration = Duration::from_millis(150);

struct View {
    head: JobHead,
    results: Mutex<ResultList>,
}

struct Kept {
    view: Arc<View>,
    used: Time,
}

/// The callers' interface to batch jobs.
pub struct JobApi {
    node: Arc<Node>,
    views: std::sync::Mutex<HashMap<JobId, Kept>>,
}

fn store_failed(error: &StoreError) -> Error {
    Error::StoreUnavailable { detail: error.to_string() }
}

fn not_found(job: &JobId) -> Error {
    Error::NotFound { kind: "job".to_owned(), id: job.to_string() }
}

impl JobApi {
    /// Creates the interface.
    pub fn new(node: Arc<Node>) -> Self {
        Self { node, views: std::sync::Mutex::default() }
    }

    /// Accepts a job.
    ///
    /// # Errors
    ///
    /// Returns an error with a status that promises that nothing runs only if that is sure.
    pub async fn submit(
        &self,
        route: &RouteSpec,
        account: Option<&AccountSpec>,
        host: &str,
        head: &Parts,
        body: &Bytes,
    ) -> Result<Reply, Error> {
        let id = head.headers.get(REQUEST_ID).and_then(|id| id.to_str().ok()).unwrap_or_default();
        if id.is_empty() || id.contains('/') {
            let detail = "the job needs an identifier".to_owned();
            return Err(Error::HeadersInvalid { detail });
        }
        let items = decode_job(body).map_err(|detail| Error::BodyNotJson { detail })?;
        let spec = JobSpec {
            id: JobId::from(id),
            account: account.map(|account| account.name.clone()),
            host: host.to_owned(),
            path: head.uri.path().to_owned(),
            items,
        };
        let accepted = wall_millis();
        let transaction =
            job_store::accept(&spec, accepted).map_err(|error| store_failed(&error))?;
        let until = self.node.now() + COMMIT_TIME;
        let result = job_store::commit_once(&self.node, &transaction, until).await;
        info!(self.node.log, "job submitted"; "job" => %spec.id, "route" => &*route.name,
            "items" => spec.items.len(), "end" => format!("{result:?}"));
        if let Ok(Written::Done(_)) = result {
            let head = JobHead {
                account: spec.account.clone(),
                total: spec.items.len(),
                parts: transaction.writes.len() - 2,
                accepted,
            };
            self.keep(&spec.id, head, ResultList::default());
        }
        match result {
            // A refused condition means that the job was accepted before.
            Ok(Written::Done(_) | Written::Refused) => Ok(empty(StatusCode::ACCEPTED)),
            Err(_) => Ok(empty(StatusCode::GATEWAY_TIMEOUT)),
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
    ) -> Result<Reply, Error> {
        let job = match &call {
            JobCall::Results { job, .. } | JobCall::Body { job, .. } | JobCall::End { job } => job,
        };
        let view = self.view(job).await?;
        if view.head.account.as_ref() != account.map(|account| &account.name) {
            return Err(not_found(job));
        }
        match &call {
            JobCall::Results { job, after } => {
                let wait =
                    headers.get(&WAIT_MS).and_then(|value| value.to_str().ok()?.parse().ok());
                let wait = Duration::from_millis(wait.unwrap_or(0)).min(MAX_WAIT);
                self.results(job, &view, *after, wait).await
            }
            JobCall::Body { job, item } => self.body(job, &view, item).await,
            JobCall::End { job } => self.end(job).await,
        }
    }

    async fn view(&self, job: &JobId) -> Result<Arc<View>, Error> {
        if let Some(kept) = self.views().get_mut(job) {
            kept.used = self.node.now();
            return Ok(kept.view.clone());
        }
        let read = job_store::open(&self.node, job).await.map_err(|error| store_failed(&error))?;
        let (head, results) = read.ok_or_else(|| not_found(job))?;
        Ok(self.keep(job, head, results))
    }

    fn keep(&self, job: &JobId, head: JobHead, results: ResultList) -> Arc<View> {
        let view = Arc::new(View { head, results: Mutex::new(results) });
        let mut views = self.views();
        if views.len() >= MAX_VIEWS {
            let oldest = views.iter().min_by_key(|(_, kept)| kept.used).map(|(job, _)| job.clone());
            oldest.and_then(|job| views.remove(&job));
        }
        let kept = Kept { view: view.clone(), used: self.node.now() };
        views.entry(job.clone()).or_insert(kept).view.clone()
    }

    fn views(&self) -> std::sync::MutexGuard<'_, HashMap<JobId, Kept>> {
        self.views.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    async fn results(
        &self,
        job: &JobId,
        view: &View,
        after: usize,
        wait: Duration,
    ) -> Result<Reply, Error> {
        let until = self.node.now() + wait;
        let key = job_key(job);
        loop {
            let mut results = view.results.lock().await;
            let now = self.node.now();
            // The job's worker says in its beacons how much there is; the store is read for more.
            let groups = self.node.state().peers.job_groups(key, now);
            let news = groups.is_none_or(|groups| u64::from(groups) > results.groups());
            if news && results.len() <= after && results.len() < view.head.total {
                let read = job_store::refresh(&self.node, job, &mut results).await;
                read.map_err(|error| store_failed(&error))?;
            }
            let left = until.since(self.node.now());
            if results.len() > after || results.len() >= view.head.total || left.is_zero() {
                let page = results.page(after, PAGE_BYTES);
                return Ok(json(StatusCode::OK, encode_page(view.head.total, after, page)));
            }
            drop(results);
            let pause = if groups.is_some() { left.min(NEWS_INTERVAL) } else { left };
            tokio::time::sleep(pause).await;
        }
    }

    async fn body(&self, job: &JobId, view: &View, item: &str) -> Result<Reply, Error> {
        let spec = job_store::spec(&self.node, job, view.head.parts).await;
        let spec = spec.map_err(|error| store_failed(&error))?.ok_or_else(|| not_found(job))?;
        let found = spec.items.into_iter().find(|candidate| candidate.id.as_str() == item);
        let missing = Error::NotFound { kind: "item".to_owned(), id: item.to_owned() };
        let mut reply = empty(StatusCode::OK);
        *reply.body_mut() = full(found.ok_or(missing)?.body);
        Ok(reply)
    }

    async fn end(&self, job: &JobId) -> Result<Reply, Error> {
        let key = JobKey::End.of(job);
        let transaction = Transaction {
            expect: vec![(key.clone(), 0)],
            writes: vec![StoreWrite { key, value: Bytes::from_static(b"1"), lease: 0 }],
            removes: Vec::new(),
        };
        let until = self.node.now() + COMMIT_TIME;
        let result = job_store::commit_once(&self.node, &transaction, until).await;
        info!(self.node.log, "job ended by its client"; "job" => %job,
            "end" => format!("{result:?}"));
        match result {
            Ok(_) => Ok(empty(StatusCode::OK)),
            Err(_) => Ok(empty(StatusCode::GATEWAY_TIMEOUT)),
        }
    }
}
