//! The port for control commands to targets.

use async_trait::async_trait;
use sesamewall_protocol::ModelName;

/// What a command changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlAction {
    /// Load a model, a version or an adapter.
    Load(ModelName),
    /// Unload it.
    Unload(ModelName),
    /// Change the role.
    SetRole(String),
}

/// A command to one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlCommand {
    /// Base URL of the target.
    pub address: String,
    /// Fencing token.
    pub fence: u64,
    /// What to change.
    pub action: ControlAction,
}

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlResult {
    /// The target did it.
    Done,
    /// The target refused it.
    Refused,
    /// Nothing was sent.
    NotSent,
    /// The command may have been or may still be done.
    Unclear,
}

/// What a target has loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControlStatus {
    /// Loaded models.
    pub models: Vec<ModelName>,
    /// The role, if the target has one.
    pub role: Option<String>,
}

/// Gives control commands to targets and reads what they have loaded.
#[async_trait]
pub trait TargetControl: Send + Sync {
    /// Sends a command. It gives up within 2 s; the command arrives within that time or not at all.
    async fn send_command(&self, command: ControlCommand) -> ControlResult;

    /// Reads what the target at `address` has loaded, or `None` if it does not answer.
    async fn read(&self, address: &str) -> Option<ControlStatus>;
}
