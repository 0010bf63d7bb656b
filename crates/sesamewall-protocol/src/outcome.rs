//! What is known about the execution of a request.

use serde::Deserialize;
use serde::Serialize;

/// Tells a caller whether its request was run by a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No byte of the request reached a target, or the target said that it did not run it.
    #[display("not-run")]
    NotRun,
    /// The target ran the request and answered.
    #[display("run")]
    Run,
    /// The request was sent and its end is not known.
    #[display("unknown")]
    Unknown,
}

impl Outcome {
    /// Returns what is known about two attempts together: a doubt about either of them stays.
    pub fn combine(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
            (Self::Run, _) | (_, Self::Run) => Self::Run,
            (Self::NotRun, Self::NotRun) => Self::NotRun,
        }
    }
}
