//! Decides how long a request waits for a stalled target before it continues at another one.

use std::time::Duration;

use sesamewall_protocol::scaled;

use crate::Placement;
use crate::RouteSpec;

/// Settings of the wait for stalled targets.
#[derive(Clone, Debug)]
pub struct StallSettings {
    /// Fraction of an objective to wait. The rest is needed for another target: a new connection,
    /// the prompt and the first step take some tens of milliseconds.
    pub fraction: f64,
    /// Shortest wait. Events come some tens of milliseconds apart, and a busy instance reads late.
    pub shortest: Duration,
    /// Longest wait, used for targets where the request queues and for routes without an objective.
    /// Callers give up after two seconds.
    pub longest: Duration,
}

impl Default for StallSettings {
    fn default() -> Self {
        Self {
            fraction: 0.7,
            shortest: Duration::from_millis(150),
            longest: Duration::from_millis(700),
        }
    }
}

impl StallSettings {
    /// Returns the longest wait for the head of a response. A target where the request queues for a
    /// slot has not stalled.
    pub fn first_byte(&self, route: &RouteSpec, placement: &Placement) -> Duration {
        match placement.online + placement.batch < placement.slots {
            true => self.within(route.objective),
            false => self.longest,
        }
    }

    /// Returns the longest wait between two events of a stream.
    pub fn event_gap(&self, route: &RouteSpec) -> Duration {
        self.within(route.gap)
    }

    fn within(&self, objective: Duration) -> Duration {
        match objective.is_zero() {
            true => self.longest,
            false => scaled(objective, self.fraction).clamp(self.shortest, self.longest),
        }
    }
}
