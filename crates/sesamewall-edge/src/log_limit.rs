//! Limits the log lines about clients, which a hostile client could cause in any number.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Lines in one interval.
const LINES: u32 = 20;

/// Length of an interval.
const INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Interval {
    since: Instant,
    lines: u32,
    suppressed: u64,
}

/// Limits the log lines of one kind.
#[derive(Debug)]
pub struct LogLimit(Mutex<Interval>);

impl Default for LogLimit {
    fn default() -> Self {
        Self(Mutex::new(Interval { since: Instant::now(), lines: 0, suppressed: 0 }))
    }
}

impl LogLimit {
    /// Returns whether a line may be written: the number of lines that were left out before it, or
    /// `None` if it has to be left out too.
    pub fn next_line(&self) -> Option<u64> {
        let mut interval = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if interval.since.elapsed() >= INTERVAL {
            interval.since = Instant::now();
            interval.lines = 0;
        }
        if interval.lines >= LINES {
            interval.suppressed += 1;
            return None;
        }
        interval.lines += 1;
        Some(std::mem::take(&mut interval.suppressed))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a log that grows with each refused client.
    #[test]
    fn lines_beyond_the_limit_are_counted_and_left_out() {
        let limit = LogLimit::default();
        let written = (0..100).filter_map(|_| limit.next_line()).count();
        assert_eq!(written, LINES as usize);
    }
}
