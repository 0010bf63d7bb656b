//! Shows refusals and explains the path of one request.

use std::sync::Arc;

use axum::Json;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::extract::rejection::QueryRejection;
use serde::Deserialize;
use serde_json::json;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Decision;
use sesamewall_protocol::DecisionRecord;
use sesamewall_protocol::Error;
use sesamewall_protocol::RequestId;

use crate::operator::OperatorService;
use crate::operator::response::ApiResult;
use crate::operator::response::read_query;
use crate::records::RecordQuery;

/// Limit of the records in a response if the operator sets none.
const DEFAULT_LIMIT: u32 = 1_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RefusalsQuery {
    account: Option<AccountName>,
    #[serde(default)]
    since_ms: u64,
    limit: Option<u32>,
}

/// Returns the latest refusals and the instances that could not be reached.
pub(super) async fn refusals(
    State(service): State<Arc<OperatorService>>,
    query: std::result::Result<Query<RefusalsQuery>, QueryRejection>,
) -> ApiResult {
    let RefusalsQuery { account, since_ms, limit } = read_query(query)?;
    let limit = limit.unwrap_or(DEFAULT_LIMIT);
    let query = RecordQuery::Refusals { account, since_ms, limit };
    let answer = service.records.query(&query).await;
    Ok(Json(json!({ "records": answer.records, "unreachable": answer.unreachable })))
}

/// Returns the recorded path of one request or item.
pub(super) async fn explain(
    State(service): State<Arc<OperatorService>>,
    Path(id): Path<String>,
) -> ApiResult {
    let query = RecordQuery::Path { request: RequestId::from(id.as_str()) };
    let answer = service.records.query(&query).await;
    match (answer.records.is_empty(), answer.unreachable.first()) {
        (true, None) => Err(Error::NotFound { kind: missing(&id).to_owned(), id }.into()),
        (true, Some(instance)) => Err(Error::PeerUnavailable {
            instance: instance.to_string(),
            detail: format!("it may hold the records of `{id}`; no other instance has any"),
        }
        .into()),
        _ => Ok(Json(json!({
            "request": id,
            "summary": summary(&answer.records),
            "records": answer.records,
            "unreachable": answer.unreachable,
        }))),
    }
}

/// Describes the result of the request in one sentence.
fn summary(records: &[DecisionRecord]) -> String {
    let end = records.iter().rev().find_map(|record| match &record.decision {
        Decision::Refused { code, rule, outcome, .. } => {
            Some(format!("ended with code {code} by rule `{rule}`, outcome {outcome}"))
        }
        Decision::Completed { status, tokens } => {
            Some(format!("completed with status {status} and {tokens} tokens"))
        }
        Decision::ItemEnded { code: 0, attempts, .. } => {
            Some(format!("completed after {attempts} failed attempts"))
        }
        Decision::ItemEnded { code, outcome, reason, .. } => {
            Some(format!("ended with code {code}, outcome {outcome}: {reason}"))
        }
        Decision::SegmentEnded { completed, failed, .. } => {
            Some(format!("{completed} items completed, {failed} failed"))
        }
        _ => None,
    });
    end.unwrap_or_else(|| "no end is recorded: still running, or lost with its instance".to_owned())
}

/// Returns the description of what was not found. A path is recorded only for some items of a
/// segment, so the item itself may exist.
fn missing(id: &str) -> &'static str {
    match id.starts_with("batch_req_") {
        true => {
            "a path of its own (kept for the first item of a segment and for failures) for item"
        }
        false => "request",
    }
}
