//! Targets with headroom that the worker to which they are assigned does not use.
//!
//! The assignment of targets to workers knows only how many items wait, not whether they can run
//! there: they may be for another service or region, or be held. Its load is several workers with
//! waiting items.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use sesamewall_protocol::Time;

/// Settings of the search for unused targets.
#[derive(Clone, Debug)]
pub struct UnusedSettings {
    /// Time for which a target has headroom until other workers use it. The worker to which it is
    /// assigned needs milliseconds.
    pub delay: Duration,
}

impl Default for UnusedSettings {
    fn default() -> Self {
        Self { delay: Duration::from_secs(1) }
    }
}

/// Finds the targets that other workers leave unused.
#[derive(Clone, Debug, Default)]
pub struct UnusedTargets {
    settings: UnusedSettings,
    /// Time since which each target has headroom, by its key.
    since: HashMap<u32, Time>,
}

impl UnusedTargets {
    /// Records the targets of other workers that have headroom now, and returns those that have had
    /// it for a while. Without waiting items the caller passes no targets.
    pub fn update(&mut self, free: HashSet<u32>, now: Time) -> HashSet<u32> {
        self.since.retain(|key, _| free.contains(key));
        for key in free {
            self.since.entry(key).or_insert(now);
        }
        let is_unused = |since: &Time| now.since(*since) >= self.settings.delay;
        let unused = self.since.iter().filter(|(_, since)| is_unused(since));
        unused.map(|(key, _)| *key).collect()
    }
}
