//! Which instances exist, and which part of them is heard.

use std::collections::HashMap;
use std::time::Duration;

use sesamewall_protocol::Time;

use crate::Member;
use crate::MissingInstance;

/// Settings of the census.
#[derive(Clone, Debug)]
pub struct LivenessSettings {
    /// Silence after which an instance is not heard: several intervals of the messages.
    pub live_timeout: Duration,
    /// Silence after which an instance that did not say that it ends no longer exists, for those that
    /// hear most of the fleet. Cuts usually last some seconds.
    pub removal_timeout: Duration,
    /// Time for which the end of an instance is passed on.
    pub departure_ttl: Duration,
}

impl Default for LivenessSettings {
    fn default() -> Self {
        Self {
            live_timeout: Duration::from_millis(700),
            removal_timeout: Duration::from_secs(30),
            departure_ttl: Duration::from_secs(3),
        }
    }
}

/// Which part of the fleet is heard, the own instance included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetCoverage {
    /// Part of the fronts.
    pub fronts: f64,
    /// Part of all instances.
    pub fleet: f64,
    /// Number of the fronts that exist.
    pub front_count: u32,
    /// The size of the fleet is known, and all of it is heard.
    pub complete: bool,
}

#[derive(Clone, Copy, Debug)]
struct KnownInstance {
    front: bool,
    received_at: Time,
}

/// All instances but the own one.
#[derive(Clone, Debug, Default)]
pub struct Liveness {
    settings: LivenessSettings,
    known: HashMap<u32, KnownInstance>,
    departed: HashMap<u32, Time>,
    /// Fronts and all instances of the fleet as the store has them; `None` before it was read.
    size: Option<(u32, u32)>,
    /// Most of the size has been heard at some time, so that the own list is better.
    settled: bool,
}

impl Liveness {
    /// Creates a census without instances.
    pub fn new(settings: LivenessSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Takes over the size of the fleet as the store has it: fronts and all instances.
    pub fn on_fleet_size(&mut self, fronts: u32, all: u32) {
        self.size = Some((fronts, all));
    }

    /// Notes instances that are heard now, by themselves or through their hub.
    pub fn on_live(&mut self, members: &[Member], now: Time) {
        for member in members {
            self.departed.remove(&member.key);
            self.known.insert(member.key, KnownInstance { front: member.front, received_at: now });
        }
        let (_, all) = self.size.unwrap_or_default();
        self.settled |= self.size.is_some() && 2 * (self.live_peers(now).1 + 1) > all;
    }

    /// Takes over instances that another hub knows and does not hear.
    pub fn on_missing(&mut self, missing: &[MissingInstance], now: Time) {
        for MissingInstance { member, elapsed_ms } in missing {
            let received_at = now - Duration::from_millis(u64::from(*elapsed_ms));
            if !self.departed.contains_key(&member.key) {
                self.known
                    .entry(member.key)
                    .or_insert(KnownInstance { front: member.front, received_at });
            }
        }
    }

    /// Notes that an instance ended in order.
    pub fn on_departed(&mut self, key: u32, now: Time) {
        let recent =
            |known: &KnownInstance| now.since(known.received_at) < self.settings.live_timeout;
        // It may be back already.
        if self.departed.contains_key(&key) || self.known.get(&key).is_none_or(recent) {
            return;
        }
        self.on_leave(key, now);
    }

    /// Notes that an instance says itself that it ends.
    pub fn on_leave(&mut self, key: u32, now: Time) {
        self.known.remove(&key);
        self.departed.insert(key, now);
    }

    /// Returns the instances that ended in order a moment ago.
    pub fn departed(&self) -> Vec<u32> {
        self.departed.keys().copied().collect()
    }

    /// Returns the instances that are not heard.
    pub fn missing(&self, now: Time) -> Vec<MissingInstance> {
        let is_missing =
            |known: &KnownInstance| now.since(known.received_at) > self.settings.live_timeout;
        let missing = self.known.iter().filter(|(_, known)| is_missing(known));
        missing
            .map(|(key, known)| MissingInstance {
                member: Member { key: *key, front: known.front },
                elapsed_ms: now.since(known.received_at).as_millis() as u32,
            })
            .collect()
    }

    fn live_peers(&self, now: Time) -> (u32, u32) {
        let limit = self.settings.live_timeout;
        let live = self.known.values().filter(|known| now.since(known.received_at) <= limit);
        live.fold((0, 0), |(fronts, all), known| (fronts + u32::from(known.front), all + 1))
    }

    /// Returns the parts that are heard. `local_front` tells that the own instance takes callers'
    /// requests.
    pub fn coverage(&self, local_front: bool, now: Time) -> FleetCoverage {
        let local = u32::from(local_front);
        let (live_fronts, live) = self.live_peers(now);
        let fronts = self.known.values().filter(|known| known.front).count() as u32 + local;
        let all = self.known.len() as u32 + 1;
        // Right after a start few are known, and the store's word is all there is.
        let (size_fronts, size) = match (self.size, self.settled) {
            (Some(size), false) => size,
            _ => (0, 0),
        };
        let (fronts, all) = (fronts.max(size_fronts).max(1), all.max(size).max(1));
        FleetCoverage {
            fronts: f64::from(live_fronts + local).max(1.0).min(f64::from(fronts))
                / f64::from(fronts),
            fleet: f64::from(live + 1).min(f64::from(all)) / f64::from(all),
            front_count: fronts,
            complete: self.size.is_some() && live + 1 >= all,
        }
    }

    /// Returns the number of fronts and of all instances that are heard, the own one included.
    pub fn live_counts(&self, local_front: bool, now: Time) -> (u32, u32) {
        let (fronts, all) = self.live_peers(now);
        (fronts + u32::from(local_front), all + 1)
    }

    /// Forgets instances that no longer exist.
    pub fn on_tick(&mut self, now: Time) {
        let LivenessSettings { removal_timeout, departure_ttl, .. } = self.settings;
        self.departed.retain(|_, at| now.since(*at) < departure_ttl);
        // The smaller part of a split fleet forgets nobody, so that it never takes itself for the whole.
        let live = self.live_peers(now).1 as usize + 1;
        if 2 * live > self.known.len() + 1 {
            self.known.retain(|_, known| now.since(known.received_at) < removal_timeout);
        }
    }
}
