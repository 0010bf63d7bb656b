//! The running batch of an engine: number of streams, duration of a step, and cold state.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use super::EngineSettings;

/// Delay with which load reports show the batch.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// Counts of an engine since its process started.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct EngineCounts {
    /// Requests accepted.
    pub taken: u64,
    /// Requests with a complete response.
    pub whole: u64,
    /// Requests cancelled by the client.
    pub cancelled: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Crashes.
    pub crashes: u64,
    /// Crashes caused by more requests than the cold engine sustains.
    pub cold_overloads: u64,
    /// Largest number of requests that ran at the same time.
    pub peak: u64,
}

#[derive(Debug)]
struct State {
    running: u64,
    started: Instant,
    counts: EngineCounts,
    reported: (Instant, u64),
    next_report: (Instant, u64),
}

/// The running batch.
#[derive(Debug)]
pub struct Batch {
    step: Duration,
    step_per_stream: Duration,
    cold: Duration,
    cold_limit: u64,
    state: Mutex<State>,
}

/// Effect of a new request on the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request runs.
    Runs,
    /// The request overloads the cold engine, which crashes.
    Crashes,
}

impl Batch {
    /// Creates an empty batch.
    pub fn new(settings: &EngineSettings) -> Self {
        let now = Instant::now();
        Self {
            step: settings.step,
            step_per_stream: settings.step_per_stream,
            cold: settings.cold,
            cold_limit: settings.cold_limit,
            state: Mutex::new(State {
                running: 0,
                started: now,
                counts: EngineCounts::default(),
                reported: (now, 0),
                next_report: (now, 0),
            }),
        }
    }

    /// Makes the engine cold, as after a start of its process.
    pub fn restart(&self) {
        let mut state = self.lock();
        state.started = Instant::now();
    }

    /// Adds a request to the batch. A call of [`Batch::finish`] must follow.
    pub fn admit(&self) -> Admission {
        let mut state = self.lock();
        state.running += 1;
        state.counts.taken += 1;
        state.counts.peak = state.counts.peak.max(state.running);
        let cold = state.started.elapsed() < self.cold;
        if cold && state.running > self.cold_limit {
            state.counts.cold_overloads += 1;
            return Admission::Crashes;
        }
        Admission::Runs
    }

    /// Removes a request from the batch and counts it as complete or cancelled.
    pub fn finish(&self, complete: bool) {
        let mut state = self.lock();
        state.running = state.running.saturating_sub(1);
        match complete {
            true => state.counts.whole += 1,
            false => state.counts.cancelled += 1,
        }
    }

    /// Counts a token and returns the duration of the step that generates it.
    pub fn step(&self) -> Duration {
        let mut state = self.lock();
        state.counts.tokens += 1;
        let others = u32::try_from(state.running.saturating_sub(1)).unwrap_or(u32::MAX);
        self.step + self.step_per_stream * others
    }

    /// Counts a crash.
    pub fn record_crash(&self) {
        self.lock().counts.crashes += 1;
    }

    /// Returns the counts.
    pub fn counts(&self) -> EngineCounts {
        self.lock().counts.clone()
    }

    /// Returns the number of running requests as it was about a second ago.
    pub fn lagged_load(&self) -> u64 {
        let mut state = self.lock();
        if state.next_report.0.elapsed() >= REPORT_LAG {
            state.reported = state.next_report;
            state.next_report = (Instant::now(), state.running);
        }
        state.reported.1
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
