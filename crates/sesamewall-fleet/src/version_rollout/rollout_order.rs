//! The orders of the operators, and what instances tell each other about them.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::RouteOutcomes;

/// Order of the operators to move the traffic of a service to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Service whose traffic moves.
    pub service: Arc<str>,
    /// Version to which it moves. Targets of all other versions are old.
    pub version: Arc<str>,
    /// Time within which the rollout should end.
    pub period: Duration,
    /// Store revision of the order, which identifies it.
    pub revision: u64,
}

/// Phase of a rollout. A phase never returns to a lower one for the same order. `Completed` and
/// `Promoting` come from the stored record only, and nothing follows a stored `Completed`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// A small share of the requests goes to the new version.
    #[display("trial")]
    Trial,
    /// All new requests go to the new version, and the old targets still run.
    #[display("promoting")]
    Promoting,
    /// The new version is bad or came too late: all requests go to the old one.
    #[display("rolled back")]
    RolledBack,
    /// The old targets may stop.
    #[display("completed")]
    Completed,
}

/// The highest phase known of an order, for datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RolloutProgress {
    /// Key of the service, from `rollout_key`.
    pub service: u32,
    /// Revision of the order.
    pub revision: u64,
    /// Highest phase known.
    pub phase: RolloutPhase,
    /// Milliseconds since the order, by the first instance that learned of it.
    pub age: u32,
}

/// State of the rollouts in a datagram.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RolloutNews {
    /// Outcomes of the member in a report, of the group in a beacon. They are totals since the
    /// order; an empty list repeats the last one.
    pub outcomes: Vec<RouteOutcomes>,
    /// Progress of the orders, in beacons and digests.
    pub progress: Vec<RolloutProgress>,
}

impl RolloutNews {
    /// Returns whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.outcomes.is_empty() && self.progress.is_empty()
    }
}

/// Returns the key of a service or route in the datagrams of rollouts.
pub fn rollout_key(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}
