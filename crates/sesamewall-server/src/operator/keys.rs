//! Grants and withdraws callers' keys.

use std::sync::Arc;

use axum::Json;
use axum::body::Bytes;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::extract::rejection::BytesRejection;
use axum::extract::rejection::QueryRejection;
use rand::Rng;
use serde::Deserialize;
use serde_json::json;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Change;
use sesamewall_protocol::Error;
use sesamewall_protocol::Key;
use sesamewall_protocol::Operation;
use sesamewall_protocol::Resource;
use sesamewall_protocol::ResourceKind;
use sesamewall_protocol::Result;
use sesamewall_protocol::hash_key;

use crate::operator::OperatorService;
use crate::operator::changes::check_author;
use crate::operator::resources;
use crate::operator::response::ApiResult;
use crate::operator::response::read_body;
use crate::operator::response::read_query;

/// Attempts at a change that conflicts with other operators' changes. A grant or a withdrawal does
/// not depend on those changes, apart from the account and the key, which each attempt checks
/// again.
const TRIES: u32 = 5;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GrantBody {
    account: AccountName,
    author: String,
    id: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct WithdrawQuery {
    author: String,
}

/// Creates a key for an account. Its secret appears only in this response.
pub(super) async fn grant(
    State(service): State<Arc<OperatorService>>,
    body: std::result::Result<Bytes, BytesRejection>,
) -> ApiResult {
    let body: GrantBody = read_body(body, service.context.settings.body_limit)?;
    check_author(&body.author)?;
    let secret = format!("sk-{}", hex::encode(rand::rng().random::<[u8; 32]>()));
    let id = body.id.unwrap_or_else(|| format!("key-{:016x}", rand::rng().random::<u64>()));
    let key = Key { id: id.clone(), account: body.account, hash: hash_key(&secret) };
    let change = submit(&service, &body.author, |service| {
        let current = service.context.config.current();
        resources::find(&current, ResourceKind::Account, key.account.as_str())?;
        if resources::find(&current, ResourceKind::Key, &key.id).is_ok() {
            let detail = format!("key `{}` exists; allowed is an unused identifier", key.id);
            return Err(Error::FieldInvalid { field: "id".to_owned(), detail });
        }
        Ok(Operation::Put(Resource::Key(key.clone())))
    })
    .await?;
    Ok(Json(json!({
        "id": id,
        "account": key.account,
        "secret": secret,
        "revision": change.revision,
    })))
}

/// Withdraws a key. Requests that were already admitted run to completion.
pub(super) async fn withdraw(
    State(service): State<Arc<OperatorService>>,
    Path(id): Path<String>,
    query: std::result::Result<Query<WithdrawQuery>, QueryRejection>,
) -> ApiResult {
    let author = read_query(query)?.author;
    check_author(&author)?;
    let change = submit(&service, &author, |service| {
        resources::find(&service.context.config.current(), ResourceKind::Key, &id)?;
        Ok(Operation::Delete { kind: ResourceKind::Key, name: id.clone() })
    })
    .await?;
    Ok(Json(json!({ "id": id, "revision": change.revision })))
}

async fn submit(
    service: &OperatorService,
    author: &str,
    operation: impl Fn(&OperatorService) -> Result<Operation>,
) -> Result<Change> {
    let mut tries = 0;
    loop {
        tries += 1;
        // The revision is read first, so that a change between both reads causes a conflict.
        let against = service.context.config.current().revision();
        let operations = vec![operation(service)?];
        match service.writer.submit(author, against, operations).await {
            Err(Error::RevisionConflict { .. }) if tries < TRIES => {}
            end => return end,
        }
    }
}
