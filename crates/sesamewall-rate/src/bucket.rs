//! Token bucket in thousandths of a request.

use sesamewall_protocol::Time;

/// Divisor that converts a rate (millionths of a request per second) times microseconds to
/// thousandths of a request.
const UNIT: u128 = 1_000_000_000;

/// A token bucket that counts in thousandths of a request. The refill keeps its remainder, so the
/// times at which it is computed neither lose nor add tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct Bucket {
    rate: u64,
    level: u64,
    remainder: u128,
    at: Time,
}

impl Bucket {
    /// Returns a bucket with `level` tokens at `now` that refills at `rate` millionths of a request
    /// per second.
    pub fn new(rate: u64, level: u64, now: Time) -> Self {
        Self { rate, level, remainder: 0, at: now }
    }

    /// Returns the level at the last refill.
    pub fn level(&self) -> u64 {
        self.level
    }

    /// Returns the time of the last refill.
    pub fn at(&self) -> Time {
        self.at
    }

    /// Refills up to `now` without exceeding `capacity`, and returns the tokens that overflowed.
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

    /// Sets the refill rate from the last refill on, in millionths of a request per second.
    pub fn set_rate(&mut self, rate: u64) {
        self.rate = rate;
    }

    /// Takes up to `wanted` tokens and returns the number taken.
    pub fn take(&mut self, wanted: u64) -> u64 {
        let taken = wanted.min(self.level);
        self.level -= taken;
        taken
    }

    /// Adds `tokens` without exceeding `capacity`.
    pub fn put(&mut self, tokens: u64, capacity: u64) {
        self.level = self.level.saturating_add(tokens).min(capacity);
    }
}
