//! Which versions of a service's targets a request may use.

use std::sync::Arc;

use sesamewall_protocol::Time;

use crate::TargetState;
use crate::TargetTable;

/// The two sides of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSide {
    /// Targets of all versions other than the order's.
    Old,
    /// Targets of the order's version.
    New,
}

/// The targets that a request may use, by version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionFilter {
    /// Version of the order.
    pub version: Arc<str>,
    /// Side of the rollout that may be used.
    pub side: VersionSide,
    /// Versions of former orders that were halted or withdrawn, which may not be used either.
    pub banned: Vec<Arc<str>>,
    /// The request goes to the target with the lowest key that has a free slot, so that few targets
    /// get the requests of a trial and are loaded like those of the old version.
    pub concentrate: bool,
}

impl VersionFilter {
    /// Returns the filter for the continuation of a stream that `version` began. It does not depend
    /// on rollouts, which move new requests only.
    pub fn only(version: Arc<str>) -> Self {
        Self { version, side: VersionSide::New, banned: Vec::new(), concentrate: false }
    }

    /// Returns whether a target of `version` may be used.
    pub fn allows(&self, version: &str) -> bool {
        let is_new = *self.version == *version;
        match self.side {
            VersionSide::New => is_new,
            VersionSide::Old => !is_new && !self.banned.iter().any(|banned| **banned == *version),
        }
    }
}

/// The versions that a new request may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionChoice {
    /// Any target of the service: there is no rollout.
    Any,
    /// Only the targets of the filter. If none of them has room, the request is refused.
    Only(VersionFilter),
    /// Targets of the new version, and those of the old one if no new one has room.
    Trial {
        /// The targets of the new version.
        new: VersionFilter,
        /// The targets of the old version.
        old: VersionFilter,
    },
}

/// Targets of the two sides of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionSupply {
    /// Old targets that are known and do not stop.
    pub old_targets: u32,
    /// New targets that are known and do not stop.
    pub new_targets: u32,
    /// Slots of the old targets in service.
    pub old_slots: u32,
    /// Slots of the new targets in service that are not cold.
    pub new_slots: u32,
}

impl VersionSupply {
    /// Returns the targets of a service by side of the rollout to `version`. Targets for which
    /// `is_banned` returns true belong to neither side.
    pub fn new(
        table: &TargetTable,
        service: &str,
        version: &str,
        is_banned: impl Fn(&str) -> bool,
        now: Time,
    ) -> Self {
        let mut supply = Self::default();
        let known = |target: &&TargetState| !target.entry.draining;
        for target in table.of_service(service).filter(known) {
            let entry = &target.entry;
            let in_service = table.in_service(target, now);
            match *entry.version == *version {
                true => {
                    supply.new_targets += 1;
                    if in_service && !target.is_cold(now) {
                        supply.new_slots += entry.slots;
                    }
                }
                false if !is_banned(&entry.version) => {
                    supply.old_targets += 1;
                    if in_service {
                        supply.old_slots += entry.slots;
                    }
                }
                false => {}
            }
        }
        supply
    }
}
