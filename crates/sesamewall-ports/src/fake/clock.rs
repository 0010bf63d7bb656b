//! A clock that tests advance.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sesamewall_protocol::Time;

use crate::Clock;

/// A clock that advances only by [`FakeClock::advance`].
#[derive(Debug, Default)]
pub struct FakeClock {
    micros: AtomicU64,
}

impl FakeClock {
    /// Advances the clock by the given duration.
    pub fn advance(&self, by: Duration) {
        let micros = u64::try_from(by.as_micros()).unwrap_or(u64::MAX);
        self.micros.fetch_add(micros, Ordering::SeqCst);
    }
}

impl Clock for FakeClock {
    fn now(&self) -> Time {
        Time::from_micros(self.micros.load(Ordering::SeqCst))
    }

    fn wall_ms(&self) -> u64 {
        self.micros.load(Ordering::SeqCst) / 1000
    }
}
