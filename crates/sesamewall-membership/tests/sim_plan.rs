//! Inputs and results of a simulated run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Time after the last fault by which a lead must exist: a read (1.5 s contact timeout, 0.5 s to
/// the next retry), the delay of 2.5 s before a claim, the rank delay of up to 0.5 s and one lost
/// call of 1 s, rounded up.
pub const RECOVERY_MS: u64 = 7_000;

/// A fault; times are in milliseconds.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    StoreDown { from: u64, len: u64 },
    Partition { domain: usize, peers: bool, store: bool, from: u64, len: u64 },
    Pause { node: usize, from: u64, len: u64 },
    Crash { node: usize, from: u64, len: u64 },
    ShutDown { node: usize, from: u64, len: u64 },
    NoStore { node: usize, from: u64, len: u64 },
}

/// Inputs of a run: faults, operators' writes as (instance, time), and which mechanisms are enabled.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(default)]
pub struct Plan {
    pub seed: u64,
    pub faults: Vec<Fault>,
    pub writes: Vec<(usize, u64)>,
    pub loss: f64,
    pub end: u64,
    pub wait: bool,
    pub expire: bool,
    pub in_order: bool,
    pub read_back: bool,
    /// Checks also during faults that an accepted revision is in force within 6 s.
    pub strict: bool,
    /// Requests missing revisions that a heartbeat or digest reveals.
    pub ask: bool,
    pub margin_ms: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            faults: Vec::new(),
            writes: Vec::new(),
            loss: 0.05,
            end: 25_000,
            wait: true,
            expire: true,
            in_order: true,
            read_back: true,
            strict: false,
            ask: true,
            margin_ms: 500,
        }
    }
}

/// Results of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    pub violations: BTreeSet<String>,
    pub revision: u64,
    pub accepted: usize,
    pub conflicts: usize,
    pub leads: BTreeMap<usize, BTreeSet<(u64, usize)>>,
    /// Longest time without a valid lead after the first one, in milliseconds.
    pub leadless: BTreeMap<usize, u64>,
}
