//! Trait for control commands to targets.

use async_trait::async_trait;
use sesamewall_protocol::ModelName;

/// Change that a command makes at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlAction {
    /// Loads a model, a version or an adapter.
    Load(ModelName),
    /// Unloads a model, a version or an adapter.
    Unload(ModelName),
    /// Sets the role of the target.
    SetRole(String),
}

/// A command to one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlCommand {
    /// Base URL of the target.
    pub address: String,
    /// Fencing token.
    pub fence: u64,
    /// The change to make.
    pub action: ControlAction,
}

/// Result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlResult {
    /// The target executed the command.
    Done,
    /// The target refused the command.
    Refused,
    /// Nothing was sent.
    NotSent,
    /// The command may have been executed or may still be executed.
    Unclear,
}

/// Models that a target has loaded, and its role.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControlStatus {
    /// Loaded models.
    pub models: Vec<ModelName>,
    /// The role, if the target has one.
    pub role: Option<String>,
}

/// Sends control commands to targets and reads their status.
#[async_trait]
pub trait TargetControl: Send + Sync {
    /// Sends a command. Returns within 2 s; the command arrives within that time or not at all.
    async fn send_command(&self, command: ControlCommand) -> ControlResult;

    /// Returns the status of the target at `address`, or `None` if it does not respond.
    async fn read(&self, address: &str) -> Option<ControlStatus>;
}
