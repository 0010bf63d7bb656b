//! Computes how many slots are kept free for online requests.

use std::collections::VecDeque;
use std::time::Duration;

use sesamewall_protocol::Time;

const HISTORY_S: u64 = 60;
const MAX_ARRIVALS: usize = 4096;

/// Tracks the largest number of online arrivals within one time to first token over the last
/// minute.
#[derive(Clone, Debug)]
pub struct Headroom {
    arrivals: VecDeque<Time>,
    peaks: VecDeque<(u64, usize)>,
    window_us: f64,
}

impl Default for Headroom {
    fn default() -> Self {
        Self { arrivals: VecDeque::new(), peaks: VecDeque::new(), window_us: 200_000.0 }
    }
}

impl Headroom {
    /// Records an online arrival.
    pub fn on_arrival(&mut self, now: Time) {
        let window = Duration::from_micros(self.window_us as u64);
        while self.arrivals.front().is_some_and(|first| now.since(*first) > window) {
            self.arrivals.pop_front();
        }
        if self.arrivals.len() < MAX_ARRIVALS {
            self.arrivals.push_back(now);
        }
        let second = now.as_micros() / 1_000_000;
        let count = self.arrivals.len();
        match self.peaks.back_mut() {
            Some((last, peak)) if *last == second => *peak = count.max(*peak),
            _ => self.peaks.push_back((second, count)),
        }
        self.drop_expired(now);
    }

    /// Records a time to first token in microseconds, which adjusts the length of the window.
    pub fn on_first_token(&mut self, micros: u64) {
        let sample = (micros as f64).clamp(10_000.0, 5_000_000.0);
        self.window_us += 0.05 * (sample - self.window_us);
    }

    /// Returns the number of slots to keep free, at least 1.
    pub fn slots(&self, now: Time) -> usize {
        let oldest = (now.as_micros() / 1_000_000).saturating_sub(HISTORY_S);
        let recent = self.peaks.iter().filter(|(second, _)| *second >= oldest);
        recent.map(|(_, peak)| *peak).max().unwrap_or(0).max(1)
    }

    fn drop_expired(&mut self, now: Time) {
        let second = now.as_micros() / 1_000_000;
        while self.peaks.front().is_some_and(|(first, _)| second.saturating_sub(*first) > HISTORY_S)
        {
            self.peaks.pop_front();
        }
    }
}
