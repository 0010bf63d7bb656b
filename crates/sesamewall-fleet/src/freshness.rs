//! How old the state is that operators and targets write to the store.

use std::time::Duration;

use sesamewall_protocol::Time;

/// Times as of which the local copy of that state was complete, each the time at which the call
/// that read it was sent.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    operators: Option<Time>,
    targets: Option<Time>,
}

impl Freshness {
    /// Records that the operators' keys were read by a call sent at `sent_at`.
    pub fn on_operators_read(&mut self, sent_at: Time) {
        self.operators = self.operators.max(Some(sent_at));
    }

    /// Records that the targets' entries were read by a call sent at `sent_at`.
    pub fn on_targets_read(&mut self, sent_at: Time) {
        self.targets = self.targets.max(Some(sent_at));
    }

    /// Returns the age of the target table; `None` if it was never read.
    pub fn targets_age(&self, now: Time) -> Option<Duration> {
        self.targets.map(|at| now.since(at))
    }
}
