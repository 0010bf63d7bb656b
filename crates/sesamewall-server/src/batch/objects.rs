//! JSON objects and result lines in the format of the OpenAI API.

use bytes::Bytes;
use serde_json::Value;
use serde_json::json;
use sesamewall_batch::Counts;
use sesamewall_batch::FileRecord;
use sesamewall_batch::FileSource;
use sesamewall_batch::JobRecord;
use sesamewall_batch::JobState;
use sesamewall_protocol::Error;
use sesamewall_protocol::JobId;
use sesamewall_protocol::Outcome;
use sesamewall_protocol::RequestId;
use sha2::Digest;
use sha2::Sha256;

use super::lifecycle::output_id;

pub(super) fn file_object(file: &FileRecord, retention_seconds: u64) -> Value {
    let copies = match &file.source {
        FileSource::Blob(blob) => json!(blob.holders.len()),
        FileSource::Results { .. } => Value::Null,
    };
    json!({
        "id": file.id,
        "object": "file",
        "bytes": file.bytes,
        "created_at": file.created_ms / 1000,
        "expires_at": file.created_ms / 1000 + retention_seconds,
        "filename": file.filename,
        "purpose": file.purpose,
        "status": "processed",
        "copies": copies,
    })
}

pub(super) fn batch_object(job: &JobRecord, counts: Counts) -> Value {
    let seconds = |at: Option<u64>| at.map(|at| at / 1000);
    let ended = |state: JobState| seconds(job.ended_ms.filter(|_| job.state == state));
    let files_ready = job.state.is_ended();
    let output = (files_ready && counts.completed > 0).then(|| output_id(&job.id, false));
    let errors = (files_ready && counts.failed > 0).then(|| output_id(&job.id, true));
    json!({
        "id": job.id,
        "object": "batch",
        "endpoint": job.endpoint,
        "errors": null,
        "input_file_id": job.file,
        "completion_window": "24h",
        "status": job.state,
        "output_file_id": output,
        "error_file_id": errors,
        "created_at": job.created_ms / 1000,
        "in_progress_at": job.created_ms / 1000,
        "expires_at": job.due_ms / 1000,
        "completed_at": ended(JobState::Completed),
        "expired_at": ended(JobState::Expired),
        "cancelling_at": seconds(job.cancelling_ms),
        "cancelled_at": ended(JobState::Cancelled),
        "request_counts": counts,
        "metadata": job.metadata,
    })
}

/// Returns a list page. `has_more` states whether more objects follow.
pub(super) fn list_object(data: Vec<Value>, has_more: bool) -> Value {
    let id = |value: Option<&Value>| value.map(|value| value["id"].clone());
    json!({
        "object": "list",
        "first_id": id(data.first()),
        "last_id": id(data.last()),
        "has_more": has_more,
        "data": data,
    })
}

/// Identifies an item in result lines and decision records.
#[derive(Clone, Debug)]
pub(super) struct ItemName {
    /// Identifier of the item and of its decision records.
    pub(super) id: String,
    /// The caller's identifier. Absent if the input was lost.
    pub(super) custom_id: Option<String>,
}

impl ItemName {
    /// Returns the name of an item. The identifier depends only on the job and the caller's
    /// identifier, so that operators can find the item's records with these two.
    pub(super) fn new(job: &JobId, custom_id: &str) -> Self {
        let digest = hex::encode(&Sha256::digest(custom_id.as_bytes())[..8]);
        Self { id: format!("batch_req_{job}_{digest}"), custom_id: Some(custom_id.to_owned()) }
    }

    /// Returns the name of an item whose line was lost. The identifier contains the segment and the
    /// item's number in it.
    pub(super) fn lost(job: &JobId, segment: u32, item: u32) -> Self {
        Self { id: format!("batch_req_{job}_{segment:05}.{item:03}"), custom_id: None }
    }
}

/// Returns the result line for a complete response.
pub(super) fn response_line(
    name: &ItemName,
    request: &RequestId,
    status: u16,
    body: &Bytes,
) -> String {
    let body: Value = serde_json::from_slice(body)
        .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(body).into_owned()));
    json!({
        "id": name.id,
        "custom_id": name.custom_id,
        "response": {"status_code": status, "request_id": request, "body": body},
        "error": null,
    })
    .to_string()
}

/// Returns the result line for an item that ended with an error. `outcome` is the combined outcome
/// of all its attempts.
pub(super) fn error_line(name: &ItemName, error: &Error, outcome: Outcome) -> String {
    json!({
        "id": name.id,
        "custom_id": name.custom_id,
        "response": null,
        "error": {
            "code": error.code().to_string(),
            "message": error.to_string(),
            "outcome": outcome,
        },
    })
    .to_string()
}
