//! Provides operators with a view of the batch jobs.

use std::sync::Arc;

use async_trait::async_trait;
use serde_json::Value;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Error;
use sesamewall_protocol::JobId;
use sesamewall_protocol::Result;

use crate::BatchService;
use crate::JobReader;
use crate::JobView;

const MS_PER_SECOND: u64 = 1000;

/// Reads jobs from the batch service.
pub struct BatchJobs {
    batch: Arc<BatchService>,
}

impl BatchJobs {
    /// Creates the reader.
    pub fn new(batch: Arc<BatchService>) -> Self {
        Self { batch }
    }
}

#[async_trait]
impl JobReader for BatchJobs {
    async fn list(&self, limit: usize) -> Result<Vec<JobView>> {
        Ok(self.batch.list_jobs().iter().filter_map(view).take(limit).collect())
    }

    async fn find(&self, id: &JobId) -> Result<Option<JobView>> {
        match self.batch.describe_job(id.as_str()).await {
            Ok(job) => Ok(view(&job)),
            Err(Error::NotFound { .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }
}

fn view(job: &Value) -> Option<JobView> {
    let count = |name: &str| job["request_counts"][name].as_u64().unwrap_or(0);
    let seconds = |name: &str| job[name].as_u64().map(|seconds| seconds * MS_PER_SECOND);
    Some(JobView {
        id: JobId::from(job["id"].as_str()?),
        account: AccountName::from(job["account"].as_str().unwrap_or("")),
        state: job["status"].as_str()?.to_owned(),
        total: count("total"),
        completed: count("completed"),
        failed: count("failed"),
        created_ms: seconds("created_at").unwrap_or(0),
        due_ms: seconds("expires_at"),
    })
}
