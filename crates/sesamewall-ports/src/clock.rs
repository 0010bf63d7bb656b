//! Trait for the clock.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use sesamewall_protocol::Time;

/// Reads monotonic and wall time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time of this process.
    fn now(&self) -> Time;

    /// Returns the wall time in milliseconds since the Unix epoch, for display only.
    fn wall_ms(&self) -> u64;
}

/// Clock of the operating system.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self { start: Instant::now() }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Time {
        Time::from_micros(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    fn wall_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}
