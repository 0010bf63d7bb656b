//! Whether a worker knows all groups of results that the store has.

use std::time::Duration;

use sesamewall_protocol::Time;

/// Time for which the write of a group may be in progress before readers are sent to the store.
const WRITE_GRACE: Duration = Duration::from_millis(150);

/// The writes of a job's groups whose effect is unknown. A group without a reply may be in the
/// store, and may take effect late as long as the claim of the worker is unchanged and its position
/// is free.
#[derive(Clone, Debug, Default)]
pub struct GroupWrites {
    /// Time since which the effect of a write is unknown.
    since: Option<Time>,
}

impl GroupWrites {
    /// Records that a group is sent to the store.
    pub fn on_sent(&mut self, now: Time) {
        self.since.get_or_insert(now);
    }

    /// Records that the store has confirmed the last group, or that the results were read when no
    /// earlier write could take effect any more.
    pub fn on_known(&mut self) {
        self.since = None;
    }

    /// Returns the time from which the store may have results that the worker does not know; `None`
    /// while all are known.
    pub fn unknown_from(&self) -> Option<Time> {
        self.since.map(|since| since + WRITE_GRACE)
    }

    /// Returns whether readers may be served without a read of the store.
    pub fn are_known(&self, now: Time) -> bool {
        self.unknown_from().is_none_or(|from| now < from)
    }
}
