//! Polls the prefix-cache events of the engines of a failure domain while this instance is its
//! lead.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use sesamewall_ports::CacheEvent;
use sesamewall_ports::Target;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::peer::CacheHint;

/// Interval between two polls of a target.
pub const POLL_PERIOD: Duration = Duration::from_secs(2);
/// Most events accepted from one target in an interval. Older ones are skipped, which counts as a
/// gap.
const EVENT_LIMIT: usize = 4096;

/// Stores the position of the last event read from each target. The positions are removed when this
/// instance ceases to be lead, so that a new lead reads all events that the target still publishes.
#[derive(Debug, Default)]
pub struct CachePoll {
    last: Mutex<HashMap<TargetName, u64>>,
}

impl CachePoll {
    /// Removes the positions of targets for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&TargetName) -> bool) {
        self.lock().retain(|name, _| keep(name));
    }

    /// Reads the new events of a target. A failed poll is repeated after the next interval.
    pub async fn poll(
        &self,
        target: &Arc<dyn Target>,
        name: &TargetName,
        address: &str,
    ) -> Vec<CacheHint> {
        let after = self.lock().get(name).copied().unwrap_or(0);
        let Ok(events) = target.cache_events(address, after).await else { return Vec::new() };
        let skipped = events.len().saturating_sub(EVENT_LIMIT);
        let hints: Vec<_> = events[skipped..].iter().map(|event| hint(name, event)).collect();
        if let Some(last) = hints.last() {
            self.lock().insert(name.clone(), last.sequence);
        }
        hints
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<TargetName, u64>> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn hint(target: &TargetName, event: &CacheEvent) -> CacheHint {
    let (added, removed) = match event.stored {
        true => (vec![event.block], Vec::new()),
        false => (Vec::new(), vec![event.block]),
    };
    CacheHint { target: target.clone(), sequence: event.number, added, removed }
}
