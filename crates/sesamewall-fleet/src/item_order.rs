//! The order in which waiting batch items start, and in which running ones are preempted.

use std::time::Duration;

use sesamewall_protocol::Time;
use sesamewall_protocol::seconds;

/// Weight of the newest item in the mean run time.
const MEAN_WEIGHT: f64 = 0.1;

/// Assumed run time of an item before any has completed.
const FIRST_RUN_TIME: Duration = Duration::from_secs(5);

/// Assumed number of events of an item before any has completed.
const FIRST_EVENTS: f64 = 190.0;

/// Estimates run times from the items that have completed.
#[derive(Clone, Debug)]
pub struct RunTimeEstimate {
    seconds: f64,
    events: f64,
}

impl Default for RunTimeEstimate {
    fn default() -> Self {
        Self { seconds: FIRST_RUN_TIME.as_secs_f64(), events: FIRST_EVENTS }
    }
}

impl RunTimeEstimate {
    /// Records an attempt that ran without a break through its last `events` events to the end.
    pub fn on_complete(&mut self, run: Duration, events: u64) {
        self.seconds += MEAN_WEIGHT * (run.as_secs_f64() - self.seconds);
        self.events += MEAN_WEIGHT * (events as f64 - self.events);
    }

    /// Returns the expected time to the end of an item that has produced `events` events.
    pub fn remaining(&self, events: u64) -> Duration {
        let fraction = (1.0 - events as f64 / self.events.max(1.0)).clamp(0.05, 1.0);
        seconds(self.seconds * fraction)
    }
}

/// Rank of an item: lower ranks start first, higher ranks are preempted first. Items that can still
/// complete in time are ordered by their due time; items that can no longer do so come after all
/// others, so that under overload some items complete in time instead of all completing late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemRank {
    late: bool,
    due: Time,
}

impl ItemRank {
    /// Ranks an item that needs `remaining` and is due at `due`.
    pub fn new(due: Time, remaining: Duration, now: Time) -> Self {
        Self { late: now + remaining > due, due }
    }

    /// Returns whether the item cannot complete in time.
    pub fn is_late(&self) -> bool {
        self.late
    }
}
