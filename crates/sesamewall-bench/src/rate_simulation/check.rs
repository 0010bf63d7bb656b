//! Checks of a history against rate and burst.

use sesamewall_protocol::Time;
use sesamewall_rate::Limits;

use super::History;
use super::RequestFate;

/// Millionths of a request a second times microseconds, for one request.
const REQUEST_UNITS: i128 = 1_000_000_000_000;

/// An admitted request that exceeded rate and burst.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Account number.
    pub account: usize,
    /// Time of the admission.
    pub at: Time,
    /// Requests above rate x time + burst in the worst window that ends here.
    pub excess: f64,
}

/// Returns the admissions for which some window up to them holds more than rate x time + burst.
///
/// A full bucket that loses one request for each admission falls below zero exactly if such a
/// window exists, so one pass covers all pairs of times. While instances differ in their limits,
/// the largest limits applied anywhere count.
pub fn violations(history: &History, start: &[Limits], instances: usize) -> Vec<Violation> {
    let mut found = Vec::new();
    for (account, limits) in start.iter().enumerate() {
        let mut admitted: Vec<Time> = history
            .requests
            .iter()
            .filter(|request| request.1 == account)
            .filter_map(|request| match request.2 {
                RequestFate::Admitted(at, _) => Some(at),
                _ => None,
            })
            .collect();
        admitted.sort_unstable();
        let changes = history.applied.iter().filter(|change| change.2 == account);
        let mut changes = changes.peekable();
        let mut limits = vec![*limits; instances];
        let (mut level, mut last) = (burst(&limits), Time::ZERO);
        for at in admitted {
            while let Some(change) = changes.next_if(|change| change.0 <= at) {
                level = refill(level, &limits, last, change.0);
                limits[change.1] = change.3;
                (level, last) = (level.min(burst(&limits)), change.0);
            }
            level = refill(level, &limits, last, at) - REQUEST_UNITS;
            last = at;
            if level < 0 {
                let excess = -level as f64 / REQUEST_UNITS as f64;
                found.push(Violation { account, at, excess });
            }
        }
    }
    found
}

fn burst(limits: &[Limits]) -> i128 {
    let largest = limits.iter().map(|limits| limits.burst).max().unwrap_or(0);
    i128::from(largest) * (REQUEST_UNITS / 1000)
}

fn refill(level: i128, limits: &[Limits], from: Time, to: Time) -> i128 {
    let rate = limits.iter().map(|limits| limits.rate).max().unwrap_or(0);
    let micros = to.as_micros().saturating_sub(from.as_micros());
    (level + i128::from(rate) * i128::from(micros)).min(burst(limits))
}
