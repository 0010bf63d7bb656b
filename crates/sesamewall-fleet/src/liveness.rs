//! Which instances exist, and the fraction of them that is live.

use std::collections::HashMap;
use std::time::Duration;

use sesamewall_protocol::Time;

use crate::Member;
use crate::MissingInstance;

/// Settings of the liveness of instances.
#[derive(Clone, Debug)]
pub struct LivenessSettings {
    /// Time without a datagram after which an instance is no longer live: several intervals of the
    /// datagrams.
    pub live_timeout: Duration,
    /// Time without a datagram after which an instance that did not announce its departure is
    /// removed. Only instances that receive from more than half of the fleet remove others. The
    /// timeout is longer than usual network interruptions, which last some seconds.
    pub removal_timeout: Duration,
    /// Time for which the departure of an instance is forwarded, and for which reports of it as
    /// missing are ignored.
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

/// Coverage: the fractions of the fleet that are live, including the local instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetCoverage {
    /// Live fraction of the fronts.
    pub fronts: f64,
    /// Live fraction of all instances.
    pub fleet: f64,
    /// Number of existing fronts, live or not.
    pub front_count: u32,
    /// The size of the fleet is known, and all of it is live.
    pub complete: bool,
}

#[derive(Clone, Copy, Debug)]
struct KnownInstance {
    front: bool,
    received_at: Time,
}

/// The liveness of all peers.
#[derive(Clone, Debug, Default)]
pub struct Liveness {
    settings: LivenessSettings,
    known: HashMap<u32, KnownInstance>,
    departed: HashMap<u32, Time>,
    /// Number of fronts and of all instances as read from the store; `None` before the first read.
    size: Option<(u32, u32)>,
    /// True once more than half of the stored size has been live. From then on the local list is
    /// used, since it is more accurate than the stored size.
    settled: bool,
}

impl Liveness {
    /// Creates a state without instances.
    pub fn new(settings: LivenessSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Sets the size of the fleet as read from the store: the number of fronts and of all
    /// instances.
    pub fn on_fleet_size(&mut self, fronts: u32, all: u32) {
        self.size = Some((fronts, all));
    }

    /// Records instances as live now: a datagram was received from them or from their hub.
    pub fn on_live(&mut self, members: &[Member], now: Time) {
        for member in members {
            self.departed.remove(&member.key);
            self.known.insert(member.key, KnownInstance { front: member.front, received_at: now });
        }
        let (_, all) = self.size.unwrap_or_default();
        self.settled |= self.size.is_some() && 2 * (self.live_peers(now).1 + 1) > all;
    }

    /// Adds instances that another hub reports as missing.
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

    /// Records a departure that a hub reports. It is ignored for an instance that is live, unknown
    /// or already departed.
    pub fn on_departed(&mut self, key: u32, now: Time) {
        let recent =
            |known: &KnownInstance| now.since(known.received_at) < self.settings.live_timeout;
        // A live instance may have restarted after the reported departure.
        if self.departed.contains_key(&key) || self.known.get(&key).is_none_or(recent) {
            return;
        }
        self.on_leave(key, now);
    }

    /// Records that an instance has announced its departure.
    pub fn on_leave(&mut self, key: u32, now: Time) {
        self.known.remove(&key);
        self.departed.insert(key, now);
    }

    /// Returns the instances that departed recently.
    pub fn departed(&self) -> Vec<u32> {
        self.departed.keys().copied().collect()
    }

    /// Returns the missing instances.
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

    /// Returns the number of live fronts and of all live peers, without the local instance.
    fn live_peers(&self, now: Time) -> (u32, u32) {
        let limit = self.settings.live_timeout;
        let live = self.known.values().filter(|known| now.since(known.received_at) <= limit);
        live.fold((0, 0), |(fronts, all), known| (fronts + u32::from(known.front), all + 1))
    }

    /// Returns the coverage. `local_front` is true if the local instance takes callers' requests.
    pub fn coverage(&self, local_front: bool, now: Time) -> FleetCoverage {
        let local = u32::from(local_front);
        let (live_fronts, live) = self.live_peers(now);
        let fronts = self.known.values().filter(|known| known.front).count() as u32 + local;
        let all = self.known.len() as u32 + 1;
        // Shortly after a start few instances are known, and only the stored size is reliable.
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

    /// Returns the number of live fronts and of all live instances, including the local one.
    pub fn live_counts(&self, local_front: bool, now: Time) -> (u32, u32) {
        let (fronts, all) = self.live_peers(now);
        (fronts + u32::from(local_front), all + 1)
    }

    /// Removes instances that no longer exist, and old departures.
    pub fn on_tick(&mut self, now: Time) {
        let LivenessSettings { removal_timeout, departure_ttl, .. } = self.settings;
        self.departed.retain(|_, at| now.since(*at) < departure_ttl);
        // The smaller side of a split fleet removes no instance, so that it never treats itself as
        // the whole fleet.
        let live = self.live_peers(now).1 as usize + 1;
        if 2 * live > self.known.len() + 1 {
            self.known.retain(|_, known| now.since(known.received_at) < removal_timeout);
        }
    }
}
