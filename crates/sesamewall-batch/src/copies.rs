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
    taken: &[InstanceName],
    wanted: usize,
    start: u64,
) -> Vec<InstanceName> {
    let mut candidates: Vec<&ListedInstance> = instances
        .iter()
        .filter(|found| found.bulk && found.state == ListedState::Live)
        .filter(|found| !taken.contains(&found.name))
        .collect();
    candidates.sort_by(|a, b| a.name.cmp(&b.name));
    if !candidates.is_empty() {
        let turn = (start % candidates.len() as u64) as usize;
        candidates.rotate_left(turn);
    }
    let mut domains: Vec<_> = instances
        .iter()
        .filter(|found| taken.contains(&found.name))
        .map(|found| found.domain.clone())
        .collect();
    let mut chosen = Vec::new();
    while chosen.len() < wanted && !candidates.is_empty() {
        let place =
            candidates.iter().position(|found| !domains.contains(&found.domain)).unwrap_or(0);
        let found = candidates.remove(place);
        domains.push(found.domain.clone());
        chosen.push(found.name.clone());
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
    pub fn is_lost(&mut self, holder: &InstanceName, live: bool, now: Time) -> bool {
        if live {
            self.missing.remove(holder);
            return false;
        }
        let since = *self.missing.entry(holder.clone()).or_insert(now);
        now.since(since) >= REPAIR_DELAY
    }
}
