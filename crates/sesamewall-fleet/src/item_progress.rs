//! The progress of one batch item over its attempts.

use std::time::Duration;

use sesamewall_protocol::Time;

use crate::ResultState;
use crate::StreamEvent;

/// Most bytes of an item's output: a result has to fit into one value of the store. A target that sends
/// more is at fault.
const MAX_OUTPUT: usize = 512 << 10;

/// Settings of item runs.
#[derive(Clone, Debug)]
pub struct ItemSettings {
    /// Pause after a failed attempt, doubled with each one in a row.
    pub backoff: Duration,
    /// Longest pause.
    pub max_backoff: Duration,
}

impl Default for ItemSettings {
    fn default() -> Self {
        Self { backoff: Duration::from_millis(100), max_backoff: Duration::from_secs(1) }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemEnd {
    /// The stream ended whole.
    Whole,
    /// The target answered that the item can never be done.
    Impossible,
    /// The target ran the item and failed.
    Failed,
    /// The target did not run the item.
    NotRun,
    /// The stream broke off, or the outcome is unknown.
    Broken,
    /// The item made way for online requests.
    MadeWay,
}

/// What is known of an item that has no result yet.
#[derive(Clone, Debug, Default)]
pub struct ItemProgress {
    output: Vec<u8>,
    events: u64,
    last_id: Option<u64>,
    failures: u32,
    breaks: u32,
    not_before: Time,
}

impl ItemProgress {
    /// Returns the id after which the next attempt goes on.
    pub fn resume_after(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the earliest time of the next attempt.
    pub fn not_before(&self) -> Time {
        self.not_before
    }

    /// Returns the output so far.
    pub fn into_output(self) -> Vec<u8> {
        self.output
    }

    /// Returns the events so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Adds an event. Returns false if the stream does not go on where the last one ended, or goes on
    /// beyond all bounds; what it sent is dropped then.
    pub fn on_event(&mut self, event: &StreamEvent) -> bool {
        let Some(id) = event.id else { return false };
        match self.last_id {
            Some(last) if id <= last => return false,
            Some(last) if id != last + 1 => return false,
            _ => {}
        }
        let data = event.data();
        if self.output.len() + data.len() > MAX_OUTPUT {
            self.restart();
            return false;
        }
        if self.events > 0 {
            self.output.push(b'\n');
        }
        self.output.extend_from_slice(&data);
        self.events += 1;
        self.last_id = Some(id);
        true
    }

    /// Notes the end of an attempt. Returns the state of the result if the item has ended.
    /// `attempts` is the number of failures after which the item is given up.
    pub fn on_end(
        &mut self,
        settings: &ItemSettings,
        end: ItemEnd,
        attempts: u32,
        now: Time,
    ) -> Option<ResultState> {
        let backoff = (settings.backoff * (1 << self.breaks.min(4))).min(settings.max_backoff);
        match end {
            ItemEnd::Whole => return Some(ResultState::Completed),
            ItemEnd::Impossible => return Some(ResultState::GivenUp),
            ItemEnd::Failed => {
                self.failures += 1;
                self.not_before = now + backoff;
                // A failed run tells nothing about the text so far: the next one starts anew.
                self.restart();
                if self.failures >= attempts.max(1) {
                    return Some(ResultState::GivenUp);
                }
            }
            ItemEnd::NotRun => self.not_before = now + settings.backoff,
            ItemEnd::Broken => {
                self.breaks += 1;
                self.not_before = now + backoff;
            }
            ItemEnd::MadeWay => {}
        }
        None
    }

    fn restart(&mut self) {
        self.output.clear();
        self.events = 0;
        self.last_id = None;
    }
}
