//! Objects in the shapes of the OpenAI API.

use bytes::Bytes;
use serde_json::Value;
use serde_json::json;
use sesamewall_batch::Counts;
use sesamewall_batch::FileRecord;
use sesamewall_batch::FileSource;
use sesamewall_batch::InputLine;
use sesamewall_batch::JobRecord;
use sesamewall_batch::JobState;
use sesamewall_protocol::Error;
use sesamewall_protocol::JobId;
use sesamewall_protocol::RequestId;

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

/// Returns a list page; `has_more` tells whether more objects follow.
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

fn line_id(job: &JobId, item: u32) -> String {
    format!("batch_req_{job}_{item}")
}

/// Returns the line for a complete response.
pub(super) fn answer_line(
    job: &JobId,
    item: u32,
    line: &InputLine,
    request: &RequestId,
    status: u16,
    body: &Bytes,
) -> String {
    let body: Value = serde_json::from_slice(body)
        .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(body).into_owned()));
    json!({
        "id": line_id(job, item),
        "custom_id": line.custom_id,
        "response": {"status_code": status, "request_id": request, "body": body},
        "error": null,
    })
    .to_string()
}

/// Returns the line for an item that ended with an error.
pub(super) fn error_line(job: &JobId, item: u32, line: &InputLine, error: &Error) -> String {
    json!({
        "id": line_id(job, item),
        "custom_id": line.custom_id,
        "response": null,
        "error": {
            "code": error.code().to_string(),
            "message": error.to_string(),
            "outcome": error.outcome(),
        },
    })
    .to_string()
}

/// Returns the line for a non-idempotent item of which it is not known whether it ran.
pub(super) fn unknown_line(job: &JobId, item: u32, line: &InputLine) -> String {
    json!({
        "id": line_id(job, item),
        "custom_id": line.custom_id,
        "response": null,
        "error": {
            "code": "outcome_unknown",
            "message": "the item may have been run and is not run again",
            "outcome": "unknown",
        },
    })
    .to_string()
}
