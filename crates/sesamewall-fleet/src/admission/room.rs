//! Places at the targets that a request may use.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use sesamewall_protocol::DomainName;
use sesamewall_protocol::Time;

use crate::Peers;
use crate::TargetTable;

/// Fraction of the fronts from which state must have been received for the counts to be used.
const MIN_COVERAGE: f64 = 0.5;

/// Places at the targets in reach, by the known counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    /// Requests that the targets run at once.
    pub slots: u32,
    /// Requests that may wait at the targets.
    pub waiting: u32,
    /// Online requests at the targets. Batch items give way to them.
    pub used: u32,
    /// Number of live fronts; of all fronts if the counts are stale.
    pub fronts: u32,
    /// Age in seconds of the counts of the other instances.
    pub age: f64,
    /// The counts of the other instances are missing or too old.
    pub stale: bool,
}

impl Room {
    /// Returns the room at the targets of `service` in `regions`. `queue` requests may wait at each
    /// target. Cold targets are left out, since their slots cannot all be used at once.
    pub fn of_service(
        table: &TargetTable,
        peers: &Peers,
        service: &str,
        regions: Option<&HashSet<Arc<str>>>,
        domain_regions: &HashMap<DomainName, Arc<str>>,
        queue: u32,
        now: Time,
    ) -> Self {
        let in_region = |domain: &DomainName| {
            let region = domain_regions.get(domain);
            regions.is_none_or(|set| region.is_some_and(|region| set.contains(region)))
        };
        let coverage = peers.coverage(now);
        let stale = coverage.fronts < MIN_COVERAGE;
        let count = f64::from(coverage.front_count.max(1));
        let fronts = if stale { count } else { (count * coverage.fronts).round().max(1.0) };
        let mut room = Self {
            slots: 0,
            waiting: 0,
            used: 0,
            fronts: fronts as u32,
            age: peers.staleness(now).as_secs_f64(),
            stale,
        };
        let targets = table.of_service(service).filter(|target| {
            in_region(&target.entry.domain) && table.in_service(target, now) && !target.is_cold(now)
        });
        for target in targets {
            let (online, _) = peers.at_target(target.key);
            let places = target.entry.slots.saturating_add(queue);
            room.slots = room.slots.saturating_add(target.entry.slots);
            room.waiting = room.waiting.saturating_add(queue);
            room.used = room.used.saturating_add(online.min(places));
        }
        room
    }

    /// Returns the number of places.
    pub fn places(&self) -> f64 {
        f64::from(self.slots) + f64::from(self.waiting)
    }

    /// Returns the free places.
    pub fn free(&self) -> f64 {
        (self.places() - f64::from(self.used)).max(0.0)
    }

    /// Returns the free fraction of the places; 1 if there are none, about which placement decides.
    pub fn free_fraction(&self) -> f64 {
        match self.places() {
            places if places > 0.0 => self.free() / places,
            _ => 1.0,
        }
    }

    /// Returns the room as one front sees it that has no counts of the others: its part of the
    /// places, and its own `in_flight` requests.
    pub fn own_part(&self, in_flight: u32) -> Self {
        let part = |count: u32| count.div_ceil(self.fronts.max(1));
        Self {
            slots: part(self.slots),
            waiting: part(self.waiting),
            used: in_flight,
            fronts: 1,
            ..*self
        }
    }
}
