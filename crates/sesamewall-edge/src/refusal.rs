//! Refusals and failures that are caused by the system itself, not by a target's response.

use std::time::Duration;

use sesamewall_protocol::Error;

/// A refusal or failure that is caused by the system itself, not by a target's response.
pub struct Refusal {
    /// The error.
    pub error: Error,
    /// Time after which the caller should try again; `None` if trying again does not help.
    pub retry: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal that does not tell when to try again.
    pub fn new(error: Error) -> Self {
        Self { error, retry: None }
    }

    /// Creates a refusal of a request that may succeed after `retry`.
    pub fn later(error: Error, retry: Duration) -> Self {
        Self { error, retry: Some(retry) }
    }

    /// Returns whether the connection is closed afterwards, because the rest of the body is not read.
    pub fn ends_connection(&self) -> bool {
        matches!(
            self.error,
            Error::BodyTooLarge { .. }
                | Error::BodyTimeout { .. }
                | Error::BodyTooSlow { .. }
                | Error::MemoryExhausted
        )
    }

    /// Returns the numbers on which the refusal was based, as text for the log.
    pub fn inputs(&self) -> String {
        let numbers = match &self.error {
            Error::RateExceeded { numbers, .. }
            | Error::TokensWaiting { numbers, .. }
            | Error::JobLate { numbers, .. }
            | Error::PoisonPart { numbers, .. }
            | Error::QueueTimeout { numbers, .. } => numbers,
            _ => return String::new(),
        };
        let texts = numbers.iter().map(|(name, value)| format!("{name}={value:.2}"));
        texts.collect::<Vec<_>>().join(" ")
    }
}
