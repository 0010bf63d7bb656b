//! Reads, changes, watches and compares resources.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::body::Bytes;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::extract::rejection::BytesRejection;
use axum::extract::rejection::QueryRejection;
use serde::Deserialize;
use serde_json::json;
use sesamewall_protocol::Error;
use sesamewall_protocol::Operation;
use sesamewall_protocol::Resource;
use sesamewall_protocol::Result;
use sesamewall_protocol::Revision;

use crate::operator::OperatorService;
use crate::operator::resources;
use crate::operator::response::ApiResult;
use crate::operator::response::read_body;
use crate::operator::response::read_query;

/// Longest wait of one watch call.
const WATCH_LIMIT: Duration = Duration::from_secs(30);

/// Longest name of an author in characters.
const AUTHOR_LIMIT: usize = 128;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ListQuery {
    kind: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WatchQuery {
    after: Revision,
    wait_ms: Option<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeBody {
    against: Revision,
    operations: Vec<Operation>,
    author: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DiffBody {
    resources: Vec<Resource>,
}

/// Returns the resources of one kind, or of all kinds, with the revision in force.
pub(super) async fn list(
    State(service): State<Arc<OperatorService>>,
    query: std::result::Result<Query<ListQuery>, QueryRejection>,
) -> ApiResult {
    let kind = read_query(query)?.kind;
    let kind = kind.as_deref().map(resources::parse_kind).transpose()?;
    let current = service.context.config.current();
    let found = resources::list(&current, kind);
    Ok(Json(json!({ "revision": current.revision(), "resources": found })))
}

/// Returns one resource with the revision in force.
pub(super) async fn get(
    State(service): State<Arc<OperatorService>>,
    Path((kind, name)): Path<(String, String)>,
) -> ApiResult {
    let current = service.context.config.current();
    let found = resources::find(&current, resources::parse_kind(&kind)?, &name)?;
    Ok(Json(json!({ "revision": current.revision(), "resource": found })))
}

/// Writes a change. All its operations take effect together, or none does.
pub(super) async fn submit(
    State(service): State<Arc<OperatorService>>,
    body: std::result::Result<Bytes, BytesRejection>,
) -> ApiResult {
    let body: ChangeBody = read_body(body, service.context.settings.body_limit)?;
    check_author(&body.author)?;
    if body.operations.is_empty() {
        let detail = "the list is empty; allowed is one operation or more".to_owned();
        return Err(Error::FieldInvalid { field: "operations".to_owned(), detail }.into());
    }
    let change = service.writer.submit(&body.author, body.against, body.operations).await?;
    Ok(Json(json!({ "revision": change.revision, "change": change })))
}

/// Waits for a revision above `after` and returns the operations that led to it. If `after` is not
/// the revision that was in force when the request arrived, the response contains all resources and
/// is marked as `full`.
pub(super) async fn watch(
    State(service): State<Arc<OperatorService>>,
    query: std::result::Result<Query<WatchQuery>, QueryRejection>,
) -> ApiResult {
    let query = read_query(query)?;
    let wait = query.wait_ms.map_or(WATCH_LIMIT, Duration::from_millis).min(WATCH_LIMIT);
    let mut revisions = service.context.config.subscribe();
    let before = service.context.config.current();
    if before.revision() <= query.after {
        let changed = revisions.wait_for(|revision| *revision > query.after);
        // The time limit is not an error: the response then has no operations.
        let _ = tokio::time::timeout(wait, changed).await;
    }
    let after = service.context.config.current();
    let full = before.revision() != query.after && after.revision() > query.after;
    let operations = match full {
        true => resources::list(&after, None).into_iter().map(Operation::Put).collect(),
        false => resources::diff(&before, &after),
    };
    let revision = after.revision();
    Ok(Json(json!({ "revision": revision, "full": full, "operations": operations })))
}

/// Returns the operations by which putting the resources would change the configuration, with the
/// present form of each resource.
pub(super) async fn diff(
    State(service): State<Arc<OperatorService>>,
    body: std::result::Result<Bytes, BytesRejection>,
) -> ApiResult {
    let body: DiffBody = read_body(body, service.context.settings.body_limit)?;
    let current = service.context.config.current();
    let operations = match body.resources.is_empty() {
        true => Vec::new(),
        false => resources::diff_put(&current, body.resources)?,
    };
    let before: Vec<_> = operations
        .iter()
        .map(|operation| match operation {
            Operation::Put(after) => resources::find(&current, after.kind(), after.name()).ok(),
            Operation::Delete { kind, name } => resources::find(&current, *kind, name).ok(),
        })
        .collect();
    let revision = current.revision();
    Ok(Json(json!({ "revision": revision, "operations": operations, "before": before })))
}

/// Checks the name of an author, which is shown to operators whose conflicting changes are refused.
pub(super) fn check_author(author: &str) -> Result<()> {
    if !author.is_empty() && author.chars().count() <= AUTHOR_LIMIT {
        return Ok(());
    }
    let detail = format!("allowed are 1 to {AUTHOR_LIMIT} characters");
    Err(Error::FieldInvalid { field: "author".to_owned(), detail })
}
