//! Limits retries.

use std::collections::VecDeque;
use std::time::Duration;

use sesamewall_protocol::Time;

/// Settings of retries.
#[derive(Clone, Debug)]
pub struct RetrySettings {
    /// Number of retries of one request.
    pub per_request: u32,
    /// Retries of a target group as a fraction of its requests.
    pub fraction: f64,
    /// Largest number of unused retries that a target group keeps.
    pub burst: f64,
    /// Age at which a failure no longer counts.
    pub failure_age: Duration,
    /// Number of failures that are kept.
    pub max_failures: usize,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            per_request: 2,
            fraction: 0.1,
            burst: 10.0,
            failure_age: Duration::from_secs(10),
            max_failures: 64,
        }
    }
}

/// Counts the remaining retries of one request. Only the instance that accepted the request uses
/// them.
#[derive(Clone, Debug)]
pub struct RequestRetryBudget {
    remaining: u32,
}

impl RequestRetryBudget {
    /// Creates a full budget.
    pub fn new(settings: &RetrySettings) -> Self {
        Self { remaining: settings.per_request }
    }

    /// Returns the number of remaining retries.
    pub fn remaining(&self) -> u32 {
        self.remaining
    }
}

/// Limits the retries of a target group.
#[derive(Clone, Debug)]
pub struct GroupRetryBudget {
    settings: RetrySettings,
    tokens: f64,
    failures: VecDeque<(Time, bool)>,
}

impl GroupRetryBudget {
    /// Creates a full budget without recorded failures.
    pub fn new(settings: RetrySettings) -> Self {
        Self { tokens: settings.burst, settings, failures: VecDeque::new() }
    }

    /// Records the first attempt of a request.
    pub fn on_request(&mut self) {
        self.tokens = (self.tokens + self.settings.fraction).min(self.settings.burst);
    }

    /// Records a failure; `overload` is true if the target refused the request because of overload.
    pub fn on_failure(&mut self, overload: bool, now: Time) {
        if self.failures.len() >= self.settings.max_failures {
            self.failures.pop_front();
        }
        self.failures.push_back((now, overload));
    }

    /// Takes one retry of the request and one of the group.
    ///
    /// # Errors
    ///
    /// Returns the reason if no retry is allowed; no retry is taken in this case.
    pub fn try_retry(
        &mut self,
        budget: &mut RequestRetryBudget,
        now: Time,
    ) -> Result<(), &'static str> {
        let age = self.settings.failure_age;
        self.failures.retain(|(at, _)| now.since(*at) <= age);
        let overloads = self.failures.iter().filter(|(_, overload)| *overload).count();
        match () {
            () if budget.remaining == 0 => Err("retry budget of the request is used up"),
            () if 2 * overloads > self.failures.len() => Err("most recent failures are overload"),
            () if self.tokens < 1.0 => Err("retry share of the target group is used up"),
            () => {
                budget.remaining -= 1;
                self.tokens -= 1.0;
                Ok(())
            }
        }
    }
}
