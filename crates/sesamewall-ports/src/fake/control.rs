//! Target control in memory.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_trait::async_trait;
use sesamewall_protocol::ModelName;

use crate::ControlAction;
use crate::ControlCommand;
use crate::ControlResult;
use crate::ControlStatus;
use crate::TargetControl;

/// Executes commands on in-memory targets. An address without a target does not respond.
#[derive(Debug, Default)]
pub struct FakeControl {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    targets: BTreeMap<String, ControlStatus>,
    commands: Vec<ControlCommand>,
}

impl FakeControl {
    /// Adds a target with the given models loaded.
    pub fn add(&self, address: &str, models: &[&str]) {
        let models = models.iter().map(|model| ModelName::from(*model)).collect();
        let status = ControlStatus { models, role: None };
        self.lock().targets.insert(address.to_owned(), status);
    }

    /// Removes a target.
    pub fn remove(&self, address: &str) {
        self.lock().targets.remove(address);
    }

    /// Returns the commands that were executed.
    pub fn commands(&self) -> Vec<ControlCommand> {
        self.lock().commands.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl TargetControl for FakeControl {
    async fn send_command(&self, command: ControlCommand) -> ControlResult {
        let mut state = self.lock();
        let Some(status) = state.targets.get_mut(&command.address) else {
            return ControlResult::NotSent;
        };
        match &command.action {
            ControlAction::Load(model) => {
                status.models.retain(|loaded| loaded != model);
                status.models.push(model.clone());
            }
            ControlAction::Unload(model) => status.models.retain(|loaded| loaded != model),
            ControlAction::SetRole(role) => status.role = Some(role.clone()),
        }
        state.commands.push(command);
        ControlResult::Done
    }

    async fn read(&self, address: &str) -> Option<ControlStatus> {
        self.lock().targets.get(address).cloned()
    }
}
