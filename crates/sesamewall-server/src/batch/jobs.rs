//! HTTP handlers for jobs, and the job functions that the operator API uses.

use std::sync::Arc;
use std::time::Duration;

use axum::Extension;
use axum::Json;
use axum::body::Body;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::extract::rejection::QueryRejection;
use axum::http::HeaderMap;
use axum::http::HeaderValue;
use axum::response::IntoResponse;
use axum::response::Response;
use serde::Deserialize;
use serde_json::Value;
use sesamewall_batch::FileRecord;
use sesamewall_batch::FileSource;
use sesamewall_batch::JobRecord;
use sesamewall_batch::JobState;
use sesamewall_ports::Precondition;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Error;
use sesamewall_protocol::JobId;
use sesamewall_protocol::Result;
use sha2::Digest;
use sha2::Sha256;

use super::BatchService;
use super::objects::batch_object;
use super::objects::list_object;
use super::records::job_key;
use super::records::list_key;
use super::records::list_prefix;
use super::records::open_key;
use crate::Caller;
use crate::error_response;

const WINDOW_MS: u64 = 24 * 3600 * 1000;
const METADATA_LIMIT_BYTES: usize = 16 << 10;
const PAGE_LIMIT: usize = 100;

#[derive(Deserialize)]
struct JobRequest {
    input_file_id: String,
    endpoint: String,
    completion_window: String,
    #[serde(default)]
    metadata: Value,
}

/// Query parameters of a list request.
#[derive(Deserialize)]
pub(super) struct Page {
    /// Identifier of the object after which the page starts.
    pub(super) after: Option<String>,
    /// Largest number of objects in the page.
    pub(super) limit: Option<usize>,
}

impl Page {
    pub(super) fn size(&self) -> usize {
        self.limit.unwrap_or(20).clamp(1, PAGE_LIMIT)
    }
}

/// Returns the HTTP response for a result.
pub(super) fn json_response(result: Result<Value>, caller: &Caller) -> Response {
    match result {
        Ok(value) => {
            let mut response = Json(value).into_response();
            if let Ok(id) = HeaderValue::from_str(caller.request.as_str()) {
                response.headers_mut().insert("x-request-id", id);
            }
            response
        }
        Err(error) => error_response(&error, &caller.request),
    }
}

/// Returns the page that a list request names in its query.
pub(super) fn parse_page(query: std::result::Result<Query<Page>, QueryRejection>) -> Result<Page> {
    let Query(page) = query.map_err(|error| invalid_field("limit", &error.body_text()))?;
    Ok(page)
}

fn invalid_field(name: &str, detail: &str) -> Error {
    Error::FieldInvalid { field: name.to_owned(), detail: detail.to_owned() }
}

pub(super) async fn create(
    State(service): State<Arc<BatchService>>,
    Extension(caller): Extension<Caller>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let key = headers.get("idempotency-key").map(|value| value.as_bytes().to_vec());
    let limit = service.context.settings.body_limit;
    let seconds = service.context.settings.body_seconds;
    let read = axum::body::to_bytes(body, limit);
    let result = match tokio::time::timeout(Duration::from_secs(seconds), read).await {
        Err(_) => Err(Error::BodyTimeout { seconds }),
        Ok(Ok(body)) => service.create_job(&caller.account, key.as_deref(), &body).await,
        Ok(Err(_)) => Err(Error::BodyTooLarge { limit }),
    };
    json_response(result, &caller)
}

pub(super) async fn list(
    State(service): State<Arc<BatchService>>,
    Extension(caller): Extension<Caller>,
    query: std::result::Result<Query<Page>, QueryRejection>,
) -> Response {
    let result = match parse_page(query) {
        Ok(page) => service.account_jobs(&caller.account, &page).await,
        Err(error) => Err(error),
    };
    json_response(result, &caller)
}

pub(super) async fn describe(
    State(service): State<Arc<BatchService>>,
    Extension(caller): Extension<Caller>,
    Path(id): Path<String>,
) -> Response {
    let result = async {
        service.account_job(&caller.account, &id).await?;
        service.describe_job(&id).await
    };
    json_response(result.await, &caller)
}

pub(super) async fn cancel(
    State(service): State<Arc<BatchService>>,
    Extension(caller): Extension<Caller>,
    Path(id): Path<String>,
) -> Response {
    let result = async {
        service.account_job(&caller.account, &id).await?;
        service.cancel_job(&id).await
    };
    json_response(result.await, &caller)
}

impl BatchService {
    /// Returns the jobs that have not ended, as this instance last received them, for operators.
    pub fn list_jobs(&self) -> Vec<Value> {
        let state = self.state();
        state.jobs.values().map(|job| batch_object(&job.record, job.record.counts)).collect()
    }

    /// Returns a job with its progress, for its account or operators.
    pub async fn describe_job(&self, id: &str) -> Result<Value> {
        let (job, _) = self.job(id).await?;
        let counts = self.progress(&job).await?;
        let mut object = batch_object(&job, counts);
        object["account"] = serde_json::json!(job.account);
        Ok(object)
    }

    /// Cancels a job. A repeated cancellation is accepted; returns [`Error::JobState`] if the job
    /// has ended otherwise.
    pub async fn cancel_job(&self, id: &str) -> Result<Value> {
        let job = self.stop_job(id, false).await?;
        match job.state {
            JobState::Cancelling | JobState::Cancelled => {
                Ok(batch_object(&job, self.progress(&job).await?))
            }
            state => Err(Error::JobState { job: id.to_owned(), state: state.to_string() }),
        }
    }

    async fn account_job(&self, account: &AccountName, id: &str) -> Result<JobRecord> {
        match self.job(id).await? {
            (job, _) if job.account == *account => Ok(job),
            _ => Err(Error::NotFound { kind: "batch".to_owned(), id: id.to_owned() }),
        }
    }

    async fn account_jobs(&self, account: &AccountName, page: &Page) -> Result<Value> {
        let after = match &page.after {
            Some(id) => {
                list_key(account, "jobs", self.account_job(account, id).await?.created_ms, id)
            }
            None => String::new(),
        };
        let size = page.size();
        let prefix = list_prefix(account, "jobs");
        let entries = self.records.list(&prefix, &after, size + 1).await?;
        let mut data = Vec::new();
        for entry in entries.iter().take(size) {
            let id: String = super::records::decode(entry)?;
            // The entry is written before the job record, so a refused job has an entry but no
            // record.
            if let Ok(job) = self.account_job(account, &id).await {
                let counts = self.progress(&job).await?;
                data.push(batch_object(&job, counts));
            }
        }
        Ok(list_object(data, entries.len() > size))
    }

    async fn create_job(
        &self,
        account: &AccountName,
        key: Option<&[u8]>,
        body: &[u8],
    ) -> Result<Value> {
        let request: JobRequest = serde_json::from_slice(body)
            .map_err(|error| Error::BodyNotJson { detail: error.to_string() })?;
        if request.completion_window != "24h" {
            return Err(invalid_field("completion_window", "only `24h` is supported"));
        }
        if request.metadata.to_string().len() > METADATA_LIMIT_BYTES {
            return Err(invalid_field("metadata", "at most 16 KiB are allowed"));
        }
        let id = self.job_id(account, key);
        if key.is_some()
            && let Some((job, version)) = self.records.get(&job_key(id.as_str())).await?
        {
            return self.existing_job(job, version, &request).await;
        }
        let file = self.account_file(account, &request.input_file_id).await?;
        if !matches!(file.source, FileSource::Blob(_)) {
            return Err(invalid_field("input_file_id", "the file is not a batch input file"));
        }
        if file.endpoint != request.endpoint {
            return Err(invalid_field("endpoint", "the lines of the file name another url"));
        }
        let job = self.new_job(id, &file, request.metadata.clone(), key.is_some());
        let entry = list_key(account, "jobs", job.created_ms, job.id.as_str());
        self.records.put(&entry, &job.id, Precondition::Absent).await?;
        // Writes the open entry first, so that every worker finds a job whose record exists.
        let open = open_key(job.id.as_str());
        self.records.put(&open, &job.created_ms, Precondition::Absent).await?;
        let stored = job_key(job.id.as_str());
        match self.records.put(&stored, &job, Precondition::Absent).await? {
            Some(version) => {
                self.observe_job(&job, version);
                Ok(batch_object(&job, job.counts))
            }
            None => {
                let (found, version) = self.job(job.id.as_str()).await?;
                self.existing_job(found, version, &request).await
            }
        }
    }

    /// Returns the job that exists for a resent request. Returns [`Error::IdempotencyMismatch`] if
    /// the key was used with a different request.
    async fn existing_job(
        &self,
        job: JobRecord,
        version: u64,
        request: &JobRequest,
    ) -> Result<Value> {
        let same = job.file == request.input_file_id
            && job.endpoint == request.endpoint
            && job.metadata == request.metadata;
        if !same {
            return Err(Error::IdempotencyMismatch);
        }
        self.observe_job(&job, version);
        Ok(batch_object(&job, self.progress(&job).await?))
    }

    /// Returns the identifier of a new job. With an idempotency key it is a hash of the account and
    /// the key, so that a resent request gets the same job at every instance.
    fn job_id(&self, account: &AccountName, key: Option<&[u8]>) -> JobId {
        let Some(key) = key else {
            return JobId::from(format!("batch_{}", self.token()));
        };
        let mut hash = Sha256::new();
        hash.update((account.as_str().len() as u64).to_le_bytes());
        hash.update(account.as_str().as_bytes());
        hash.update(key);
        JobId::from(format!("batch_{}", hex::encode(&hash.finalize()[..16])))
    }

    fn new_job(&self, id: JobId, file: &FileRecord, metadata: Value, keyed: bool) -> JobRecord {
        let created_ms = self.context.clock.wall_ms();
        let total = file.segments.iter().map(|range| u64::from(range.items)).sum();
        let work = file.segments.iter().map(|range| range.work).sum();
        JobRecord {
            id,
            account: file.account.clone(),
            file: file.id.clone(),
            endpoint: file.endpoint.clone(),
            state: JobState::InProgress,
            expired: false,
            segments: file.segments.len() as u32,
            counts: sesamewall_batch::Counts { total, completed: 0, failed: 0 },
            work,
            created_ms,
            due_ms: created_ms + WINDOW_MS,
            cancelling_ms: None,
            ended_ms: None,
            metadata,
            keyed,
            token: self.token(),
        }
    }
}
