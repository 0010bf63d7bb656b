//! Outcome of a request: whether a target ran it, as far as is known.

use serde::Deserialize;
use serde::Serialize;

/// Whether a request was run by a target, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No byte of the request reached a target, or the target reported that it did not run it.
    #[display("not-run")]
    NotRun,
    /// The target ran the request and responded.
    #[display("run")]
    Run,
    /// The request was sent and its result is not known.
    #[display("unknown")]
    Unknown,
}

impl Outcome {
    /// Returns the outcome of two attempts together, which is unknown if either one is unknown.
    pub fn combine(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
            (Self::Run, _) | (_, Self::Run) => Self::Run,
            (Self::NotRun, Self::NotRun) => Self::NotRun,
        }
    }
}
