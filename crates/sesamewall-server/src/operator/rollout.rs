//! Shows which revision is in force at each instance.

use std::collections::BTreeMap;
use std::sync::Arc;

use axum::Json;
use axum::extract::State;
use futures::StreamExt;
use serde::Serialize;
use serde_json::json;
use sesamewall_ports::ListedInstance;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Revision;
use sesamewall_protocol::peer::OperatorMessage;

use crate::operator::OperatorService;
use crate::operator::response::ApiResult;

/// Instances queried at a time.
const PARALLEL: usize = 32;

#[derive(Serialize)]
struct InstanceRollout {
    instance: InstanceName,
    domain: DomainName,
    revision: Option<Revision>,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<String>,
}

/// Queries the revision of every instance that is considered live or is in the platform's list.
pub(super) async fn rollout(State(service): State<Arc<OperatorService>>) -> ApiResult {
    let mut instances = BTreeMap::new();
    // Without the platform's list, the live instances are still shown.
    let listed = service.context.instances.list().await.unwrap_or_default();
    for instance in listed.into_iter().chain(service.context.directory.instances()) {
        instances.insert(instance.name.clone(), instance);
    }
    instances.insert(service.context.local.name.clone(), service.context.local.clone());
    let mut found: Vec<InstanceRollout> = futures::stream::iter(instances.into_values())
        .map(|instance| query_revision(&service, instance))
        .buffer_unordered(PARALLEL)
        .collect()
        .await;
    found.sort_by(|a, b| a.instance.cmp(&b.instance));
    // Another instance may be ahead of this one for a moment.
    let revision = found.iter().filter_map(|instance| instance.revision).max().unwrap_or_default();
    for instance in &mut found {
        instance.state = match instance.revision {
            Some(local) if local == revision => "current",
            Some(_) => "behind",
            None => "unreachable",
        };
    }
    let complete = found.iter().all(|instance| instance.state == "current");
    Ok(Json(json!({ "revision": revision, "complete": complete, "instances": found })))
}

async fn query_revision(service: &OperatorService, instance: ListedInstance) -> InstanceRollout {
    let (revision, detail) =
        match service.query_instance(&instance, OperatorMessage::AskRevision).await {
            Ok(OperatorMessage::Revision { revision }) => (Some(revision), None),
            Ok(_) => (None, Some("unexpected reply".to_owned())),
            Err(error) => (None, Some(error.to_string())),
        };
    let ListedInstance { name, domain, .. } = instance;
    InstanceRollout { instance: name, domain, revision, state: "", detail }
}
