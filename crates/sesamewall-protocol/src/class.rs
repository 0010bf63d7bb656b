//! Service classes.

use serde::Deserialize;
use serde::Serialize;

/// Service class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A caller waits for the response on an open connection.
    Online,
    /// The request is an item of a batch job, which is due much later.
    Batch,
}
