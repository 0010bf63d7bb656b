//! Reads the prefix-cache events of the engines of a failure domain, at its lead.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use sesamewall_ports::CacheEvent;
use sesamewall_ports::Target;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::peer::CacheHint;

/// Period in which each target is asked once.
pub const POLL_PERIOD: Duration = Duration::from_secs(2);
/// Events taken from one target in a period. Older ones are skipped, which counts as a gap.
const EVENT_LIMIT: usize = 4096;

/// Remembers the last event read of each target. Positions are forgotten with the lead, so that a
/// new lead reads all events that the target still publishes.
#[derive(Debug, Default)]
pub struct CachePoll {
    last: Mutex<HashMap<TargetName, u64>>,
}

impl CachePoll {
    /// Forgets the positions of targets for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&TargetName) -> bool) {
        self.lock().retain(|name, _| keep(name));
    }

    /// Asks a target for its new events. A failed poll is repeated in the next period.
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
