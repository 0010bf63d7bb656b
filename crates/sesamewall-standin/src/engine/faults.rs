//! Fault switches of an engine.

use serde::Deserialize;
use serde::Serialize;

/// Faults of an engine, set while it runs. A field that is left out is off.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// A request whose body contains this text crashes the engine once it runs.
    pub crash_marker: Option<String>,
    /// Delay before the head of each response, in milliseconds.
    pub late_ms: u64,
    /// Responses carry the identifier of another attempt.
    pub crossed: bool,
    /// Streams end without their end marker after this many tokens.
    pub cut_after: Option<u64>,
    /// New requests are refused with the reason `leaving`.
    pub leaving: bool,
    /// The engine becomes cold once, without notice.
    pub cold_now: bool,
    /// The engine crashes once.
    pub crash_now: bool,
    /// Every n-th cache event is not published.
    pub event_gap: u64,
}
