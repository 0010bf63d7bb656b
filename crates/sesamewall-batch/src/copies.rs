//! Chooses storage instances and decides about repair.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewall_ports::ListedInstance;
use sesamewall_ports::ListedState;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;

/// Copies of each blob.
pub const COPIES_PER_BLOB: usize = 2;
/// A storage instance that is missing for this long is replaced.
pub const REPAIR_DELAY: Duration = Duration::from_secs(30);

/// Chooses up to `wanted` storage instances that are not in `taken`, in failure domains that
/// differ from each other and from those of `taken` where there are enough. `start` spreads the
/// choice.
pub fn choose_storage(
    instances: &[ListedInstance],
    current: &[InstanceName],
    count: usize,
    start: u64,
) -> Vec<InstanceName> {
    let mut candidates: Vec<&ListedInstance> = instances
        .iter()
        .filter(|instance| instance.bulk && instance.state == ListedState::Live)
        .filter(|instance| !current.contains(&instance.name))
        .collect();
    candidates.sort_by(|a, b| a.name.cmp(&b.name));
    if !candidates.is_empty() {
        let offset = (start % candidates.len() as u64) as usize;
        candidates.rotate_left(offset);
    }
    let mut domains: Vec<_> = instances
        .iter()
        .filter(|instance| current.contains(&instance.name))
        .map(|instance| instance.domain.clone())
        .collect();
    let mut chosen = Vec::new();
    while chosen.len() < count && !candidates.is_empty() {
        let position =
            candidates.iter().position(|instance| !domains.contains(&instance.domain)).unwrap_or(0);
        let instance = candidates.remove(position);
        domains.push(instance.domain.clone());
        chosen.push(instance.name.clone());
    }
    chosen
}

/// Remembers since when storage instances are missing.
#[derive(Debug, Default)]
pub struct RepairTracker {
    missing: BTreeMap<InstanceName, Time>,
}

impl RepairTracker {
    /// Tells whether `holder` has been missing long enough to be replaced. A holder is missing if
    /// it is not live, or lacks the blob.
    pub fn is_lost(&mut self, storage: &InstanceName, live: bool, now: Time) -> bool {
        if live {
            self.missing.remove(storage);
            return false;
        }
        let since = *self.missing.entry(storage.clone()).or_insert(now);
        now.since(since) >= REPAIR_DELAY
    }
}
