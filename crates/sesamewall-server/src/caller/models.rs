//! Response bodies of `GET /v1/models`.

use serde_json::Value;
use serde_json::json;
use sesamewall_membership::Configuration;
use sesamewall_protocol::Error;
use sesamewall_protocol::Result;

/// Returns the list of models.
pub fn list(configuration: &Configuration) -> Value {
    let data: Vec<Value> =
        configuration.models().map(|(name, group)| model(name.as_str(), &group.name)).collect();
    json!({ "object": "list", "data": data })
}

/// Returns the entry of one model.
///
/// # Errors
///
/// Returns `Error::ModelUnknown` if no target group serves the model.
pub fn get(configuration: &Configuration, name: &str) -> Result<Value> {
    let group = configuration
        .group_for_model(name)
        .ok_or_else(|| Error::ModelUnknown { model: name.to_owned() })?;
    Ok(model(name, &group.name))
}

fn model(name: &str, group: &str) -> Value {
    json!({ "id": name, "object": "model", "created": 0, "owned_by": group })
}
