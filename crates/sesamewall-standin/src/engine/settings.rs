//! Settings of an engine.

use std::time::Duration;

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name, for counts.
    pub name: String,
    /// Models served.
    pub models: Vec<String>,
    /// Time of one step with no other stream running.
    pub step: Duration,
    /// Time that each further running stream adds to a step.
    pub step_per_stream: Duration,
    /// Prefill time of one prompt token that is not cached.
    pub prefill_per_token: Duration,
    /// Time from a start until the engine is warm.
    pub cold: Duration,
    /// Concurrent requests that a cold engine sustains; more of them crash it.
    pub cold_limit: u64,
    /// Time that the port stays closed after a crash.
    pub down: Duration,
    /// Blocks in the prefix cache.
    pub cache_blocks: usize,
    /// Whether commands with an old fencing token are refused.
    pub fenced: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            name: "engine".to_owned(),
            models: vec!["standin-1".to_owned()],
            step: Duration::from_millis(2),
            step_per_stream: Duration::from_micros(100),
            prefill_per_token: Duration::from_micros(20),
            cold: Duration::from_secs(2),
            cold_limit: 4,
            down: Duration::from_millis(500),
            cache_blocks: 1024,
            fenced: true,
        }
    }
}
