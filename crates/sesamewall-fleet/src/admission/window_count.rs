//! Number of events within a sliding window, in a fixed amount of memory.

use std::time::Duration;

use sesamewall_protocol::Time;

/// Number of parts of the window. Events leave the count when their part does.
const PARTS: usize = 8;

/// Number of events in the last parts of a window.
#[derive(Clone, Debug, Default)]
pub struct WindowCount {
    parts: [u32; PARTS],
    newest: u64,
}

impl WindowCount {
    /// Counts an event.
    pub fn add(&mut self, window: Duration, now: Time) {
        let index = part_index(window, now);
        if index >= self.newest + PARTS as u64 {
            self.parts = [0; PARTS];
        } else {
            for skipped in self.newest + 1..=index {
                self.parts[skipped as usize % PARTS] = 0;
            }
        }
        self.newest = self.newest.max(index);
        let part = &mut self.parts[self.newest as usize % PARTS];
        *part = part.saturating_add(1);
    }

    /// Returns the number of events within the window.
    pub fn total(&self, window: Duration, now: Time) -> u32 {
        let index = part_index(window, now).max(self.newest);
        let oldest = (index + 1).saturating_sub(PARTS as u64);
        let present = oldest..=self.newest;
        present.map(|part| self.parts[part as usize % PARTS]).fold(0, u32::saturating_add)
    }
}

fn part_index(window: Duration, now: Time) -> u64 {
    let part = (window.as_micros() as u64 / PARTS as u64).max(1);
    now.as_micros() / part
}
