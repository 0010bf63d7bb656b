//! Token bucket in thousandths of a request.

use sesamewall_protocol::Time;

/// Millionths of a request a second times microseconds, for one thousandth of a request.
const UNIT: u128 = 1_000_000_000;

/// Holds tokens in thousandths of a request. The refill keeps its remainder, so no token is lost or
/// won by the moments at which it is computed.
#[derive(Clone, Debug, PartialEq)]
pub struct Bucket {
    rate: u64,
    level: u64,
    remainder: u128,
    at: Time,
}

impl Bucket {
    /// Returns a bucket with `level` tokens at `now` and a refill of `rate` millionths a second.
    pub fn new(rate: u64, level: u64, now: Time) -> Self {
        Self { rate, level, remainder: 0, at: now }
    }

    /// Returns the tokens at the last refill.
    pub fn level(&self) -> u64 {
        self.level
    }

    /// Returns the time of the last refill.
    pub fn at(&self) -> Time {
        self.at
    }

    /// Refills up to `now` without exceeding `capacity`, and returns the tokens that did not fit.
    pub fn refill(&mut self, now: Time, capacity: u64) -> u64 {
        let micros = u128::from(now.as_micros().saturating_sub(self.at.as_micros()));
        self.at = self.at.max(now);
        let amount = u128::from(self.rate) * micros + self.remainder;
        self.remainder = amount % UNIT;
        let full = u128::from(self.level) + amount / UNIT;
        let full = u64::try_from(full).unwrap_or(u64::MAX);
        self.level = full.min(capacity);
        if full >= capacity {
            self.remainder = 0;
        }
        full - self.level
    }

    /// Changes the refill from the last refill on.
    pub fn set_rate(&mut self, rate: u64) {
        self.rate = rate;
    }

    /// Takes up to `wanted` tokens and returns how many.
    pub fn take(&mut self, wanted: u64) -> u64 {
        let taken = wanted.min(self.level);
        self.level -= taken;
        taken
    }

    /// Puts `tokens` back without exceeding `capacity`.
    pub fn put(&mut self, tokens: u64, capacity: u64) {
        self.level = self.level.saturating_add(tokens).min(capacity);
    }
}
