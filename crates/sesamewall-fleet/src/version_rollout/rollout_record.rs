//! The stored record of a rollout.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::HaltReason;
use super::RolloutPhase;
use super::VerdictFigures;

/// What a hub stores about a rollout. It is written with the status of the order, conditional on the
/// revisions of the order, the record and the status.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RolloutRecord {
    /// Revision of the order.
    pub revision: u64,
    /// Version of the order.
    pub version: Arc<str>,
    /// Phase that was reached.
    pub phase: RolloutPhase,
    /// Why the rollout was halted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<HaltReason>,
    /// Figures behind the verdict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub figures: Option<VerdictFigures>,
    /// Milliseconds from the order to the verdict.
    #[serde(default)]
    pub elapsed_ms: u64,
}
