//! Adapts the number of concurrent requests of one target to what the target can handle.

use std::time::Duration;

use sesamewall_protocol::Time;

/// Settings of the adaptive concurrency limit.
#[derive(Clone, Debug)]
pub struct LimitSettings {
    /// Concurrent requests allowed on a cold target.
    pub cold_limit: u32,
    /// Starts targets cold; if false, every target starts at its upper limit.
    pub slow_start: bool,
    /// Time for which a cold target must handle `cold_limit` before the limit is doubled. The usual
    /// warm-up of an engine takes two seconds.
    pub cold_time: Duration,
    /// Time for which the target must handle each further limit of the slow start before it is
    /// doubled.
    pub doubling_interval: Duration,
    /// Ratio of the time to first token to its baseline from which the limit is decreased.
    pub slow_ratio: f64,
    /// Ratio of the time to first token to its baseline from which a target counts as cold.
    pub cold_ratio: f64,
    /// Factor by which one decrease multiplies the limit.
    pub decrease: f64,
    /// Number of prompt tokens that take about as long as the fixed part of a time to first token.
    pub prompt_scale: f64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            cold_limit: 1,
            slow_start: true,
            cold_time: Duration::from_millis(2500),
            doubling_interval: Duration::from_millis(200),
            slow_ratio: 3.0,
            cold_ratio: 4.0,
            decrease: 0.8,
            prompt_scale: 512.0,
        }
    }
}

/// Holds the adaptive concurrency limit of one target. A cold target doubles its limit after a
/// complete response at the current limit, but not before `cold_time` has passed at the first limit
/// or `doubling_interval` at a further one, since short responses during the warm-up do not show
/// that the target can handle the doubled load. A warm target follows additive increase and
/// multiplicative decrease (D. Chiu and R. Jain, "Analysis of the Increase and Decrease Algorithms
/// for Congestion Avoidance in Computer Networks", 1989).
#[derive(Clone, Debug)]
pub struct TargetLimit {
    settings: LimitSettings,
    limit: f64,
    max: u32,
    cold: bool,
    period: u64,
    proven_from: Option<Time>,
    baseline_us: Option<f64>,
    smooth_us: f64,
    slow_streak: u32,
    decreased_at: Time,
}

impl TargetLimit {
    /// Creates the limit of a new target, with `max` as its upper limit.
    pub fn new(settings: LimitSettings, max: u32) -> Self {
        let max = max.max(1);
        let cold = settings.slow_start;
        let limit = if cold { settings.cold_limit.min(max) } else { max };
        Self {
            settings,
            limit: f64::from(limit),
            max,
            cold,
            period: 0,
            proven_from: None,
            baseline_us: None,
            smooth_us: 0.0,
            slow_streak: 0,
            decreased_at: Time::ZERO,
        }
    }

    /// Returns the number of requests that may run at once.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Returns whether the target is cold or still in slow start.
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// Returns the number of the current limit period. Only a request granted in this period at the
    /// full limit proves that the target handles the limit.
    pub fn period(&self) -> u64 {
        self.period
    }

    /// Changes the upper limit.
    pub fn set_max(&mut self, max: u32) {
        self.max = max.max(1);
        self.limit = self.limit.min(f64::from(self.max));
    }

    /// Restarts slow start after a sign that the target is cold.
    pub fn mark_cold(&mut self) {
        self.period += 1;
        self.proven_from = None;
        self.slow_streak = 0;
        self.smooth_us = self.baseline_us.unwrap_or(0.0);
        if self.settings.slow_start {
            self.cold = true;
            self.limit = f64::from(self.settings.cold_limit.min(self.max));
        }
    }

    /// Records a time to first token of `micros` microseconds for a prompt of `prompt` tokens.
    /// Returns whether the target became cold.
    pub fn on_first_token(&mut self, micros: u64, prompt: u64, now: Time) -> bool {
        // The time grows with the prompt. Without this correction the shortest prompts would set
        // the baseline, and a mix of prompts would look like an overload.
        let size = 1.0 + prompt as f64 / self.settings.prompt_scale;
        let sample = micros.max(1) as f64 / size;
        let Some(baseline) = self.baseline_us else {
            self.baseline_us = Some(sample);
            self.smooth_us = sample;
            return false;
        };
        // A target in slow start is always slower than its baseline, so only a warm one can become
        // cold.
        let slow = sample > self.settings.cold_ratio * baseline;
        self.slow_streak = if slow && !self.cold { self.slow_streak + 1 } else { 0 };
        if self.slow_streak >= 2 {
            self.mark_cold();
            return true;
        }
        // The baseline falls quickly to faster samples and rises slowly, so that a long overload
        // does not become the baseline.
        let gain = if sample < baseline { 0.1 } else { 0.005 };
        self.baseline_us = Some(baseline + gain * (sample - baseline));
        // A single slow first response of a cold target must not end its slow start.
        let clamped = sample.min(self.settings.cold_ratio * baseline);
        self.smooth_us += 0.2 * (clamped - self.smooth_us);
        let cooldown = Duration::from_micros(2 * self.smooth_us as u64);
        if self.smooth_us > self.settings.slow_ratio * baseline
            && now.since(self.decreased_at) > cooldown
        {
            self.cold = false;
            self.limit = (self.limit * self.settings.decrease).max(1.0);
            self.decreased_at = now;
        }
        false
    }

    /// Returns the expected time to first token for a prompt of `prompt` tokens, in microseconds,
    /// or 0 before the first sample.
    pub fn expected_us(&self, prompt: u64) -> u64 {
        let size = 1.0 + prompt as f64 / self.settings.prompt_scale;
        (self.baseline_us.unwrap_or(0.0) * size) as u64
    }

    /// Records that the target handled its limit in the given period: a request granted at the full
    /// limit at the time `granted` completed.
    pub fn on_complete(&mut self, period: u64, granted: Time, now: Time) {
        let max = f64::from(self.max);
        if self.cold && period == self.period {
            let from = *self.proven_from.get_or_insert(granted);
            let wait = match self.limit <= f64::from(self.settings.cold_limit) {
                true => self.settings.cold_time,
                false => self.settings.doubling_interval,
            };
            if now.since(from) < wait {
                return;
            }
            self.proven_from = None;
            self.limit = (self.limit * 2.0).min(max);
            self.period += 1;
            self.cold = self.limit < max;
        } else if !self.cold && !self.is_slow() {
            // Responses take many times longer than first tokens, so one response at the current
            // limit must be enough for an increase; otherwise the limit could not rise within
            // minutes.
            self.limit = (self.limit.floor() + 1.0).min(max);
            self.period += 1;
        }
    }

    /// Records an overload response.
    pub fn on_overload(&mut self, now: Time) {
        if now.since(self.decreased_at) > Duration::from_micros(2 * self.smooth_us as u64) {
            self.limit = (self.limit * self.settings.decrease).max(1.0);
            self.decreased_at = now;
            self.period += 1;
            // An overload response below the upper limit ends the doubling, unless the decreased
            // limit is below 2.
            self.cold = self.cold && self.limit < 2.0;
        }
    }

    fn is_slow(&self) -> bool {
        self.baseline_us.is_some_and(|baseline| self.smooth_us > 2.0 * baseline)
    }
}
