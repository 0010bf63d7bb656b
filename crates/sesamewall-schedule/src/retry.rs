//! Bounds retries.

use std::collections::VecDeque;
use std::time::Duration;

use sesamewall_protocol::Time;

/// Settings of retries.
#[derive(Clone, Debug)]
pub struct RetrySettings {
    /// Retries of one request.
    pub per_request: u32,
    /// Retries of a target group as a share of its requests.
    pub fraction: f64,
    /// Largest number of unused retries kept.
    pub burst: f64,
    /// Age at which a failure no longer counts.
    pub failure_age: Duration,
    /// Number of failures that are remembered.
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

/// Counts the retries that one request has left. Only the instance that accepted the request spends
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

    /// Returns the number of retries left.
    pub fn remaining(&self) -> u32 {
        self.remaining
    }
}

/// Bounds the retries of a target group.
#[derive(Clone, Debug)]
pub struct GroupRetryBudget {
    settings: RetrySettings,
    tokens: f64,
    failures: VecDeque<(Time, bool)>,
}

impl GroupRetryBudget {
    /// Creates the state with a full bucket.
    pub fn new(settings: RetrySettings) -> Self {
        Self { tokens: settings.burst, settings, failures: VecDeque::new() }
    }

    /// Records a request that is sent for the first time.
    pub fn on_request(&mut self) {
        self.tokens = (self.tokens + self.settings.fraction).min(self.settings.burst);
    }

    /// Records a failure; `overload` tells that the target refused for overload.
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
    /// Returns the reason when no retry is allowed; nothing is taken then.
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
