//! Shows the whole state of one process.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use axum::Json;
use axum::extract::Query;
use axum::extract::State;
use axum::extract::rejection::QueryRejection;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use sesamewall_protocol::Error;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Result;
use sesamewall_protocol::peer::OperatorMessage;

use crate::operator::OperatorService;
use crate::operator::redact;
use crate::operator::response::ApiResult;
use crate::operator::response::read_query;

/// A part of the process that can show its state.
pub trait StateDump: Send + Sync {
    /// Returns the name of the part, unique within the process.
    fn name(&self) -> &'static str;

    /// Returns the state of the part, without secrets.
    fn dump(&self) -> Value;
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct StateQuery {
    instance: Option<InstanceName>,
}

/// Returns the state of this process, or of the instance that the query names.
pub(super) async fn state(
    State(service): State<Arc<OperatorService>>,
    query: std::result::Result<Query<StateQuery>, QueryRejection>,
) -> ApiResult {
    let name = read_query(query)?.instance.unwrap_or_else(|| service.context.local.name.clone());
    Ok(Json(query_state(&service, &name).await?))
}

async fn query_state(service: &OperatorService, name: &InstanceName) -> Result<Value> {
    if *name == service.context.local.name {
        return Ok(dump(service));
    }
    let found = match service.context.directory.find(name) {
        Some(instance) => Some(instance),
        // An instance that is not considered live may still reply.
        None => {
            let listed = service.context.instances.list().await.unwrap_or_default();
            listed.into_iter().find(|instance| instance.name == *name)
        }
    };
    let not_found = || Error::NotFound { kind: "instance".to_owned(), id: name.to_string() };
    let instance = found.ok_or_else(not_found)?;
    let unclear = |detail: String| Error::PeerUnavailable { instance: name.to_string(), detail };
    match service.query_instance(&instance, OperatorMessage::AskState).await? {
        OperatorMessage::State { json } => {
            serde_json::from_str(&json).map_err(|error| unclear(error.to_string()))
        }
        _ => Err(unclear("unexpected reply".to_owned())),
    }
}

/// Returns the state of this process as JSON, without secrets.
pub(super) fn dump(service: &OperatorService) -> Value {
    let parts = service.dumps.iter().map(|part| (part.name(), part.dump()));
    redact::object([("node", dump_instance(service))].into_iter().chain(parts))
}

fn dump_instance(service: &OperatorService) -> Value {
    let context = &service.context;
    let (waiting, dropped) = service.records.waiting();
    json!({
        "instance": context.local,
        "settings": context.settings,
        "uptime_ms": context.clock.now().as_micros() / 1000,
        "wall_ms": context.clock.wall_ms(),
        "draining": context.draining.load(Ordering::Relaxed),
        "revision": context.config.current().revision(),
        "instances": context.directory.instances(),
        "leads": context.directory.leads(),
        "records": {
            "waiting": waiting,
            "dropped": dropped,
            "stored_bytes": service.records.stored_bytes(),
        },
    })
}
