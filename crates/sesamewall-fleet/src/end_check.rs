//! How old a worker's knowledge may be that a client has not ended a job.
//!
//! Another instance may store the end of a job while the workers that watch the jobs cannot reach
//! the job's worker. An item must not start later than the platform's deadline after that, so the
//! worker asks the store once its knowledge is too old.

use std::time::Duration;

use sesamewall_protocol::Time;

/// Time from the decision to start an item until it reaches its target: the wait for a confirmed
/// state, and a new connection.
const START_TIME: Duration = Duration::from_millis(500);

/// Settings of the check.
#[derive(Clone, Copy, Debug)]
pub struct EndCheckSettings {
    /// Age up to which the knowledge that a job is open suffices to start an item.
    pub max_age: Duration,
}

impl EndCheckSettings {
    /// Returns the settings with which no item reaches a target later than `deadline` after the end
    /// of its job was stored.
    pub fn within(deadline: Duration) -> Self {
        Self { max_age: deadline.saturating_sub(START_TIME) }
    }
}

/// What to do before an item starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndCheckStep {
    /// The job was open a moment ago.
    Start,
    /// Whether the job is still open has to be read from the store.
    Read,
    /// A read is under way.
    Wait,
}

/// The knowledge of one job.
#[derive(Clone, Copy, Debug)]
pub struct EndCheck {
    /// Time as of which the store had no end of the job.
    open_at: Time,
    is_reading: bool,
}

impl EndCheck {
    /// Creates the knowledge that the store had no end of the job at `open_at`.
    pub fn new(open_at: Time) -> Self {
        Self { open_at, is_reading: false }
    }

    /// Records that the store had no end of the job at `open_at`. Reports arrive out of order, so an
    /// earlier time changes nothing.
    pub fn on_open(&mut self, open_at: Time) {
        self.open_at = self.open_at.max(open_at);
    }

    /// Decides whether an item of the job may start. After `Read`, the caller reads the end of the
    /// job and calls `on_read`.
    pub fn step(&mut self, settings: &EndCheckSettings, now: Time) -> EndCheckStep {
        if now.since(self.open_at) <= settings.max_age {
            return EndCheckStep::Start;
        }
        match std::mem::replace(&mut self.is_reading, true) {
            true => EndCheckStep::Wait,
            false => EndCheckStep::Read,
        }
    }

    /// Records that a read has ended without a result, so that the next step asks for another one.
    pub fn on_not_read(&mut self) {
        self.is_reading = false;
    }

    /// Records that a read that was sent at `sent_at` has returned no end of the job, or has failed.
    /// Items go on in an outage of the store, in which nobody can store an end either.
    pub fn on_read(&mut self, sent_at: Time) {
        self.is_reading = false;
        self.on_open(sent_at);
    }
}
