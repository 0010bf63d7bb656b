//! How much of the fleet batch items may use, and which of them make way for online requests.

use std::collections::HashSet;

use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Peers;
use crate::TargetState;
use crate::TargetTable;

/// Settings of the room for batch items.
#[derive(Clone, Debug)]
pub struct RoomSettings {
    /// Slots that new items leave free at each target while online load is high: what gets free then is
    /// needed again within a moment, and an item that makes way soon has run for little.
    pub peak_free: u32,
    /// Slots that new items leave free at each target otherwise. Items make way within milliseconds.
    pub calm_free: u32,
    /// Part of the slots in use by online requests from which their load counts as high.
    pub peak_part: f64,
}

impl Default for RoomSettings {
    fn default() -> Self {
        Self { peak_free: 2, calm_free: 0, peak_part: 0.4 }
    }
}

/// Decides how many own batch items have to make way at a target.
#[derive(Clone, Debug, Default)]
pub struct BatchRoom {
    settings: RoomSettings,
}

impl BatchRoom {
    /// Creates the decision.
    pub fn new(settings: RoomSettings) -> Self {
        Self { settings }
    }

    /// Returns the slots that a new item leaves free at its target. `online` requests are in flight over
    /// all targets, which have `slots` together.
    pub fn free(&self, online: u32, slots: u32) -> u32 {
        match f64::from(online) >= self.settings.peak_part * f64::from(slots) {
            true => self.settings.peak_free,
            false => self.settings.calm_free,
        }
    }

    /// Returns the numbers of the targets at which the own worker starts items now. The targets are shared
    /// out among the workers that have waiting items, so that two of them never fill the same place.
    pub fn own_targets(
        &self,
        own: &InstanceName,
        table: &TargetTable,
        peers: &Peers,
        now: Time,
    ) -> HashSet<u32> {
        let others: Vec<_> = peers
            .contacts(now)
            .map(|contact| &contact.beacon)
            .filter(|beacon| beacon.worker && !beacon.draining && beacon.backlog > 0)
            .map(|beacon| &beacon.instance)
            .collect();
        let score = |name: &InstanceName, target: u32| {
            xxh3_64_with_seed(name.as_str().as_bytes(), u64::from(target))
        };
        let is_own = |key: &u32| {
            let mine = score(own, *key);
            others.iter().all(|other| score(other, *key) <= mine)
        };
        table.iter().map(|target| target.key).filter(is_own).collect()
    }

    /// Returns how many own items have to leave a target now. All workers compute the same order
    /// from the same counts: those with the lower names make way first.
    pub fn leaving(
        &self,
        own: &InstanceName,
        target: &TargetState,
        peers: &Peers,
        now: Time,
    ) -> u32 {
        let total = peers.at_target(target.key);
        let used = u32::from(total.online) + u32::from(total.batch);
        let mut excess = used.saturating_sub(target.entry.slots).min(u32::from(total.batch));
        let mine = u32::from(peers.own_at(target.key).batch);
        let before = peers
            .contacts(now)
            .filter(|contact| contact.beacon.instance < *own)
            .flat_map(|contact| contact.beacon.targets.iter())
            .filter(|count| count.key == target.key)
            .map(|count| u32::from(count.batch))
            .sum::<u32>();
        excess = excess.saturating_sub(before);
        excess.min(mine)
    }
}
