//! Results of a run of the fleet model.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewall_protocol::Class;
use sesamewall_protocol::Time;

use crate::engine_model::Interference;

/// State of one request after the run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Position of the account.
    pub account: usize,
    /// Service class.
    pub class: Class,
    /// Arrival of the request.
    pub arrived: Time,
    /// First token, unless the request was refused.
    pub first: Option<Time>,
    /// End of the response, unless the request was refused or still runs.
    pub ended: Option<Time>,
    /// Prompt and output tokens.
    pub work: u64,
    /// Output tokens.
    pub output: u64,
    /// The request was refused.
    pub refused: bool,
    /// Start on the engine, if the request started.
    pub started: Option<Time>,
    /// Other work on the engine that delayed the first token.
    pub interference: Interference,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// All requests.
    pub requests: Vec<Outcome>,
    /// Output tokens of batch streams, by second.
    pub batch_tokens: BTreeMap<u64, u64>,
    /// Cancelled batch streams.
    pub cancelled: u64,
    /// Starts on targets of failure domain 0 (time of the start).
    pub starts_in_first: Vec<Time>,
    /// Largest excess of streams on a target over what its slow start allows, after the outage.
    pub ramp_excess: usize,
    /// Limits of all targets at the end.
    pub limits: Vec<usize>,
    /// Sum of the free slots of all targets over the heartbeats, and the number of summands.
    pub free_slots: (usize, usize),
}

impl Report {
    /// Returns the percentile of online times to first token in microseconds, of requests that
    /// arrived in the window.
    pub fn first_token_us(&self, percent: f64, from: Duration, to: Duration) -> u64 {
        let (from, to) = (Time::ZERO + from, Time::ZERO + to);
        let mut times: Vec<_> = self
            .requests
            .iter()
            .filter(|request| request.class == Class::Online)
            .filter(|request| from <= request.arrived && request.arrived < to)
            .filter_map(|request| Some(request.first?.since(request.arrived).as_micros() as u64))
            .collect();
        times.sort_unstable();
        let rank = (times.len() as f64 * percent / 100.0) as usize;
        times.get(rank.min(times.len().saturating_sub(1))).copied().unwrap_or(0)
    }
}
