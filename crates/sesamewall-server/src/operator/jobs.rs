//! Shows batch jobs.

use std::sync::Arc;

use async_trait::async_trait;
use axum::Json;
use axum::extract::Path;
use axum::extract::State;
use serde::Serialize;
use serde_json::json;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Error;
use sesamewall_protocol::JobId;
use sesamewall_protocol::Result;

use crate::operator::OperatorService;
use crate::operator::response::ApiResult;

/// Most jobs in one response.
const LIST_LIMIT: usize = 1_000;

/// The view of a batch job that operators get.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct JobView {
    /// The job.
    pub id: JobId,
    /// The client account that owns it.
    pub account: AccountName,
    /// State, for example `in_progress`.
    pub state: String,
    /// Items in the job.
    pub total: u64,
    /// Items that completed.
    pub completed: u64,
    /// Items that failed.
    pub failed: u64,
    /// Wall time of the job's creation in milliseconds since the Unix epoch.
    pub created_ms: u64,
    /// Wall time at which the job is due, in milliseconds since the Unix epoch.
    pub due_ms: Option<u64>,
}

/// Reads batch jobs.
#[async_trait]
pub trait JobReader: Send + Sync {
    /// Returns up to `limit` jobs, the latest first.
    async fn list(&self, limit: usize) -> Result<Vec<JobView>>;

    /// Returns one job.
    async fn find(&self, id: &JobId) -> Result<Option<JobView>>;
}

/// Returns the latest jobs.
pub(super) async fn list(State(service): State<Arc<OperatorService>>) -> ApiResult {
    let jobs = match &service.jobs {
        Some(reader) => reader.list(LIST_LIMIT).await?,
        None => Vec::new(),
    };
    Ok(Json(json!({ "jobs": jobs })))
}

/// Returns one job.
pub(super) async fn get(
    State(service): State<Arc<OperatorService>>,
    Path(id): Path<String>,
) -> ApiResult {
    let found = match &service.jobs {
        Some(reader) => reader.find(&JobId::from(id.as_str())).await?,
        None => None,
    };
    let job = found.ok_or(Error::NotFound { kind: "job".to_owned(), id })?;
    Ok(Json(json!({ "job": job })))
}
