//! How much of the fleet batch items may use, and which of them make way for online requests.

use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;

use crate::Peers;
use crate::TargetState;

/// Settings of the room for batch items.
#[derive(Clone, Debug)]
pub struct RoomSettings {
    /// Slots that batch items leave free at each target: room for the online requests that arrive while
    /// items make way.
    pub free: u32,
}

impl Default for RoomSettings {
    fn default() -> Self {
        Self { free: 2 }
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

    /// Returns the slots that a new item leaves free at its target.
    pub fn free(&self) -> u32 {
        self.settings.free
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
