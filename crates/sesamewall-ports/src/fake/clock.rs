//! A clock that tests move by hand.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sesamewall_protocol::Time;

use crate::Clock;

/// A clock that moves only by [`FakeClock::advance`].
#[derive(Debug, Default)]
pub struct FakeClock {
    micros: AtomicU64,
}

impl FakeClock {
    /// Moves the clock forward.
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
