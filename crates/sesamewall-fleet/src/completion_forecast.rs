//! Forecasts at the submission of a batch job whether its items can still complete in time.
//!
//! It protects against a load of more batch items than the targets can run before they are due: a
//! job that could only wait is refused at once, with the time after which it would fit.

use std::collections::VecDeque;
use std::time::Duration;

use sesamewall_protocol::Time;
use sesamewall_protocol::scaled;

/// Shortest and longest time after which a refused caller should come back.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(30));

/// Settings of the forecast.
#[derive(Clone, Debug)]
pub struct ForecastSettings {
    /// Time over which the free slots are averaged: it covers some peaks of the online load and the
    /// intervals between them.
    pub window: Duration,
    /// Shortest time over which samples have been taken before the average is used: over a small
    /// part of the window a single peak would weigh too much.
    pub min_history: Duration,
    /// Time between two samples.
    pub interval: Duration,
    /// Factor on the due time beyond which a job is refused.
    pub slack: f64,
}

impl Default for ForecastSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(12),
            min_history: Duration::from_secs(11),
            interval: Duration::from_millis(100),
            slack: 1.1,
        }
    }
}

/// A submitted job.
#[derive(Clone, Copy, Debug)]
pub struct Submission {
    /// Number of its items.
    pub items: u32,
    /// Number of waiting items that start before those of the job.
    pub ahead: f64,
    /// Usual run time of one item.
    pub run: Duration,
    /// Time within which all items are due.
    pub due: Duration,
}

/// The forecast for a job that cannot complete in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateForecast {
    /// Expected time until the last item completes.
    pub expected: Duration,
    /// Time after which the job would complete in time.
    pub retry: Duration,
}

/// Averages the slots that online requests leave free.
#[derive(Clone, Debug, Default)]
pub struct CompletionForecast {
    settings: ForecastSettings,
    samples: VecDeque<(Time, u32)>,
}

impl CompletionForecast {
    /// Returns whether the next sample is due.
    pub fn sample_due(&self, now: Time) -> bool {
        self.samples.back().is_none_or(|(at, _)| now.since(*at) >= self.settings.interval)
    }

    /// Records the slots over all targets that online requests leave free, whether batch items use
    /// them or not.
    pub fn on_free_slots(&mut self, free_slots: u32, now: Time) {
        self.samples.push_back((now, free_slots));
        let window = self.settings.window;
        while self.samples.front().is_some_and(|(at, _)| now.since(*at) > window) {
            self.samples.pop_front();
        }
    }

    fn mean_free_slots(&self, now: Time) -> Option<f64> {
        let (first, _) = self.samples.front()?;
        let sum: f64 = self.samples.iter().map(|(_, free_slots)| f64::from(*free_slots)).sum();
        let is_reliable = now.since(*first) >= self.settings.min_history && sum > 0.0;
        is_reliable.then(|| sum / self.samples.len() as f64)
    }

    /// Returns the forecast for a job that is known to be late. A job without a due time is never
    /// late.
    pub fn late(&self, job: &Submission, now: Time) -> Option<LateForecast> {
        if job.due.is_zero() {
            return None;
        }
        let rounds = (job.ahead + f64::from(job.items)) / self.mean_free_slots(now)?;
        let expected = scaled(job.run, rounds) + job.run;
        let limit = scaled(job.due, self.settings.slack);
        let (shortest, longest) = RETRY_RANGE;
        (expected > limit)
            .then(|| LateForecast { expected, retry: (expected - limit).clamp(shortest, longest) })
    }
}
