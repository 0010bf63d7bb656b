//! Service classes.

use serde::Deserialize;
use serde::Serialize;

/// Tells whether a caller waits for the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A caller waits on an open connection.
    Online,
    /// An item of a batch job, due much later.
    Batch,
}
