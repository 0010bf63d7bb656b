//! How the responses of one version of a service's targets ended.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Number of buckets: the last one holds all durations from about nine minutes.
const BUCKETS: usize = 20;

/// Counts of responses, and histograms of their durations. Bucket 0 holds durations below one
/// millisecond, bucket n those from `2^(n-1)` to `2^n` milliseconds. Trailing empty buckets are left
/// out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VersionOutcomes {
    /// Responses that ended, refusals aside.
    pub responses: u32,
    /// Those of them that failed, broke or stalled.
    pub failures: u32,
    /// Times to the first event.
    pub first: Vec<u32>,
    /// Times of whole responses.
    pub whole: Vec<u32>,
}

impl VersionOutcomes {
    /// Counts the time to the first event of a response.
    pub fn on_first_event(&mut self, time: Duration) {
        add(&mut self.first, bucket(time), 1);
    }

    /// Counts a response that ended; `time` is that of a whole response of a target that is neither
    /// cold nor young.
    pub fn on_end(&mut self, failed: bool, time: Option<Duration>) {
        self.responses = self.responses.saturating_add(1);
        self.failures = self.failures.saturating_add(u32::from(failed));
        if let Some(time) = time.filter(|_| !failed) {
            add(&mut self.whole, bucket(time), 1);
        }
    }

    /// Adds the counts of other instances.
    pub fn merge(&mut self, other: &Self) {
        self.responses = self.responses.saturating_add(other.responses);
        self.failures = self.failures.saturating_add(other.failures);
        for (counts, others) in [(&mut self.first, &other.first), (&mut self.whole, &other.whole)] {
            for (index, count) in others.iter().take(BUCKETS).enumerate() {
                add(counts, index, *count);
            }
        }
    }

    /// Returns whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        self.responses == 0 && self.first.is_empty()
    }
}

fn bucket(time: Duration) -> usize {
    let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    ((u64::BITS - millis.leading_zeros()) as usize).min(BUCKETS - 1)
}

fn add(counts: &mut Vec<u32>, index: usize, count: u32) {
    if count == 0 {
        return;
    }
    if counts.len() <= index {
        counts.resize(index + 1, 0);
    }
    counts[index] = counts[index].saturating_add(count);
}

/// Returns the bounds of a bucket in milliseconds.
fn bounds(index: usize) -> (f64, f64) {
    match index {
        0 => (0.0, 1.0),
        _ => (2f64.powi(index as i32 - 1), 2f64.powi(index as i32)),
    }
}

/// Returns the number of durations in a histogram.
pub(super) fn total(counts: &[u32]) -> u32 {
    counts.iter().copied().fold(0, u32::saturating_add)
}

/// Returns the duration in milliseconds below which `fraction` of a histogram lies, with durations
/// spread evenly within a bucket.
pub(super) fn quantile(counts: &[u32], fraction: f64) -> f64 {
    let mut left = fraction * f64::from(total(counts));
    for (index, count) in counts.iter().enumerate() {
        let (low, high) = bounds(index);
        let count = f64::from(*count);
        if left <= count && count > 0.0 {
            return low + (high - low) * left / count;
        }
        left -= count;
    }
    bounds(counts.len()).0
}

/// Returns the number of durations above `limit` milliseconds, with durations spread evenly within a
/// bucket.
pub(super) fn above(counts: &[u32], limit: f64) -> f64 {
    let parts = counts.iter().enumerate().map(|(index, count)| {
        let (low, high) = bounds(index);
        f64::from(*count) * ((high - limit) / (high - low)).clamp(0.0, 1.0)
    });
    parts.sum()
}
