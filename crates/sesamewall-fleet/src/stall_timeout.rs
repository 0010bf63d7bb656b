//! Decides how long a silent target is waited for before its request goes on elsewhere.

use std::time::Duration;

use crate::Placement;
use crate::RouteSpec;

/// Settings of the wait for silent targets.
#[derive(Clone, Debug)]
pub struct StallSettings {
    /// Part of an objective after which the rest is needed for another target: a new connection, the
    /// prompt and the first step take some tens of milliseconds.
    pub fraction: f64,
    /// Shortest wait. Events come some tens of milliseconds apart, and a busy instance reads late.
    pub shortest: Duration,
    /// Longest wait, for targets where the request queues and routes without an objective. Callers give
    /// up after two seconds.
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
    /// Returns the wait for the head of an answer. A request that queues for a slot is not silent.
    pub fn first_byte(&self, route: &RouteSpec, placement: &Placement) -> Duration {
        match placement.online + placement.batch < placement.slots {
            true => self.within(route.objective),
            false => self.longest,
        }
    }

    /// Returns the wait between two events of a stream.
    pub fn event_gap(&self, route: &RouteSpec) -> Duration {
        self.within(route.gap)
    }

    fn within(&self, objective: Duration) -> Duration {
        match objective.is_zero() {
            true => self.longest,
            false => objective.mul_f64(self.fraction).clamp(self.shortest, self.longest),
        }
    }
}
