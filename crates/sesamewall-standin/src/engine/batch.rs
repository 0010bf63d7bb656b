//! The running batch of an engine: how many streams run, how long a step takes, whether it is cold.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use super::EngineSettings;

/// Load reports show the batch as it was this long ago.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// Counts of an engine since its process started.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct EngineCounts {
    /// Requests taken.
    pub taken: u64,
    /// Requests answered in full.
    pub whole: u64,
    /// Requests cancelled by the client.
    pub cancelled: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Crashes.
    pub crashes: u64,
    /// Crashes since more requests ran than the cold engine bears.
    pub cold_overloads: u64,
    /// Most requests running at a time.
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

/// What the engine does with a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs.
    Runs,
    /// The cold engine falls over.
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

    /// Starts cold with an empty batch.
    pub fn restart(&self) {
        let mut state = self.lock();
        state.started = Instant::now();
    }

    /// Takes a request into the batch. [`Batch::leave`] must follow.
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

    /// Removes a request from the batch.
    pub fn finish(&self, complete: bool) {
        let mut state = self.lock();
        state.running = state.running.saturating_sub(1);
        match complete {
            true => state.counts.whole += 1,
            false => state.counts.cancelled += 1,
        }
    }

    /// Counts a token and returns the time of the step that makes it.
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
