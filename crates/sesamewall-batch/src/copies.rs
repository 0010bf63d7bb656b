//! Chooses the storage instances of blobs and decides when a copy is repaired.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewall_ports::ListedInstance;
use sesamewall_ports::ListedState;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;

/// Number of copies of each blob.
pub const COPIES_PER_BLOB: usize = 2;
/// Time for which a storage instance must be missing before it is replaced.
pub const REPAIR_DELAY: Duration = Duration::from_secs(30);

/// Chooses up to `count` storage instances that are not in `current`, the instances that have a
/// copy already. Their failure domains differ from each other and from those of `current` if there
/// are enough. `start` spreads the choice over the instances.
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

/// Tracks the time since which each storage instance has been missing.
#[derive(Debug, Default)]
pub struct RepairTracker {
    missing: BTreeMap<InstanceName, Time>,
}

impl RepairTracker {
    /// Returns whether `storage` has been missing long enough to be replaced. A storage instance is
    /// missing if it is not live, or lacks the blob.
    pub fn is_lost(&mut self, storage: &InstanceName, live: bool, now: Time) -> bool {
        if live {
            self.missing.remove(storage);
            return false;
        }
        let since = *self.missing.entry(storage.clone()).or_insert(now);
        now.since(since) >= REPAIR_DELAY
    }
}
