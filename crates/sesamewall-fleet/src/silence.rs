//! Decides how long a silent target is waited for before its request goes on elsewhere.

use std::time::Duration;

use crate::Chosen;
use crate::RouteSpec;

/// Settings of the wait for silent targets.
#[derive(Clone, Debug)]
pub struct SilenceSettings {
    /// Part of an objective after which the rest is needed for another target: a new connection, the
    /// prompt and the first step take some tens of milliseconds.
    pub part: f64,
    /// Shortest wait. Events come some tens of milliseconds apart, and a busy instance reads late.
    pub shortest: Duration,
    /// Longest wait, for targets where the request queues and routes without an objective. Callers give
    /// up after two seconds.
    pub longest: Duration,
}

impl Default for SilenceSettings {
    fn default() -> Self {
        Self {
            part: 0.7,
            shortest: Duration::from_millis(150),
            longest: Duration::from_millis(700),
        }
    }
}

impl SilenceSettings {
    /// Returns the wait for the head of an answer. A request that queues for a slot is not silent.
    pub fn before_answer(&self, route: &RouteSpec, chosen: &Chosen) -> Duration {
        match chosen.online + chosen.batch < chosen.slots {
            true => self.within(route.objective),
            false => self.longest,
        }
    }

    /// Returns the wait between two events of a stream.
    pub fn between_events(&self, route: &RouteSpec) -> Duration {
        self.within(route.gap)
    }

    fn within(&self, objective: Duration) -> Duration {
        match objective.is_zero() {
            true => self.longest,
            false => objective.mul_f64(self.part).clamp(self.shortest, self.longest),
        }
    }
}
