//! Control commands to engines over HTTP/1.1.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Method;
use serde_json::Value;
use serde_json::json;
use sesamewall_ports::ControlAction;
use sesamewall_ports::ControlCommand;
use sesamewall_ports::ControlResult;
use sesamewall_ports::ControlStatus;
use sesamewall_ports::TargetControl;
use sesamewall_protocol::ModelName;

use crate::http_client;
use crate::http_client::CallError;
use crate::http_client::TargetClient;

/// Limits a command to less than the 2 s for which leads assume it may be in flight.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);
const JSON: &str = "application/json";

/// Controls engines that accept commands with `POST /orders` and list their models with
/// `GET /v1/models`.
pub struct HttpControl {
    client: TargetClient,
}

impl Default for HttpControl {
    fn default() -> Self {
        Self { client: http_client::new_target_client() }
    }
}

fn body(command: &ControlCommand) -> Bytes {
    let fence = command.fence;
    let body = match &command.action {
        ControlAction::Load(model) => json!({ "fence": fence, "kind": "load", "model": model }),
        ControlAction::Unload(model) => json!({ "fence": fence, "kind": "unload", "model": model }),
        ControlAction::SetRole(role) => json!({ "fence": fence, "kind": "role", "role": role }),
    };
    Bytes::from(body.to_string())
}

#[async_trait]
impl TargetControl for HttpControl {
    async fn send_command(&self, command: ControlCommand) -> ControlResult {
        let url = format!("{}/orders", command.address.trim_end_matches('/'));
        let body = body(&command);
        match http_client::call(&self.client, Method::POST, url, JSON, body, CALL_LIMIT).await {
            Ok(response) if response.status().is_success() => ControlResult::Done,
            Ok(response) if response.status().is_client_error() => ControlResult::Refused,
            Ok(_) | Err(CallError::Unclear) => ControlResult::Unclear,
            Err(CallError::NotSent) => ControlResult::NotSent,
        }
    }

    async fn read(&self, address: &str) -> Option<ControlStatus> {
        let url = format!("{}/v1/models", address.trim_end_matches('/'));
        let empty = Bytes::new();
        let call = http_client::call(&self.client, Method::GET, url, JSON, empty, CALL_LIMIT);
        let response = call.await.ok().filter(|response| response.status().is_success())?;
        let list: Value = serde_json::from_slice(response.body()).ok()?;
        let names = list["data"].as_array()?.iter().filter_map(|model| model["id"].as_str());
        let role = list["role"].as_str().map(str::to_owned);
        Some(ControlStatus { models: names.map(ModelName::from).collect(), role })
    }
}
