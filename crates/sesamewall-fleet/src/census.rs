//! Which instances exist, and which part of them is heard.

use std::collections::HashMap;
use std::time::Duration;

use sesamewall_protocol::Time;

use crate::Member;
use crate::Missing;

/// Settings of the census.
#[derive(Clone, Debug)]
pub struct CensusSettings {
    /// Silence after which an instance is not heard: several intervals of the messages.
    pub contact_time: Duration,
    /// Silence after which an instance that did not say that it ends no longer exists, for those that
    /// hear most of the fleet. Cuts usually last some seconds.
    pub missing_time: Duration,
    /// Time for which the end of an instance is passed on.
    pub gone_time: Duration,
}

impl Default for CensusSettings {
    fn default() -> Self {
        Self {
            contact_time: Duration::from_millis(700),
            missing_time: Duration::from_secs(30),
            gone_time: Duration::from_secs(3),
        }
    }
}

/// Which part of the fleet is heard, the own instance included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Parts {
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
struct Known {
    front: bool,
    heard: Time,
}

/// All instances but the own one.
#[derive(Clone, Debug, Default)]
pub struct Census {
    settings: CensusSettings,
    known: HashMap<u32, Known>,
    gone: HashMap<u32, Time>,
    /// Fronts and all instances of the fleet as the store has them; `None` before it was read.
    size: Option<(u32, u32)>,
    /// Most of the size has been heard at some time, so that the own list is better.
    settled: bool,
}

impl Census {
    /// Creates a census without instances.
    pub fn new(settings: CensusSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Takes over the size of the fleet as the store has it: fronts and all instances.
    pub fn on_size(&mut self, fronts: u32, all: u32) {
        self.size = Some((fronts, all));
    }

    /// Notes instances that are heard now, by themselves or through their hub.
    pub fn on_heard(&mut self, members: &[Member], now: Time) {
        for member in members {
            self.gone.remove(&member.key);
            self.known.insert(member.key, Known { front: member.front, heard: now });
        }
        let (_, all) = self.size.unwrap_or_default();
        self.settled |= self.size.is_some() && 2 * (self.heard(now).1 + 1) > all;
    }

    /// Takes over instances that another hub knows and does not hear.
    pub fn on_missing(&mut self, missing: &[Missing], now: Time) {
        for Missing { member, silent_ms } in missing {
            let heard = now - Duration::from_millis(u64::from(*silent_ms));
            if !self.gone.contains_key(&member.key) {
                self.known.entry(member.key).or_insert(Known { front: member.front, heard });
            }
        }
    }

    /// Notes that an instance ended in order.
    pub fn on_gone(&mut self, key: u32, now: Time) {
        let recent = |known: &Known| now.since(known.heard) < self.settings.contact_time;
        // It may be back already.
        if self.gone.contains_key(&key) || self.known.get(&key).is_none_or(recent) {
            return;
        }
        self.left(key, now);
    }

    /// Notes that an instance says itself that it ends.
    pub fn left(&mut self, key: u32, now: Time) {
        self.known.remove(&key);
        self.gone.insert(key, now);
    }

    /// Returns the instances that ended in order a moment ago.
    pub fn gone(&self) -> Vec<u32> {
        self.gone.keys().copied().collect()
    }

    /// Returns the instances that are not heard.
    pub fn missing(&self, now: Time) -> Vec<Missing> {
        let silent = |known: &Known| now.since(known.heard) > self.settings.contact_time;
        let missing = self.known.iter().filter(|(_, known)| silent(known));
        missing
            .map(|(key, known)| Missing {
                member: Member { key: *key, front: known.front },
                silent_ms: now.since(known.heard).as_millis() as u32,
            })
            .collect()
    }

    fn heard(&self, now: Time) -> (u32, u32) {
        let limit = self.settings.contact_time;
        let live = self.known.values().filter(|known| now.since(known.heard) <= limit);
        live.fold((0, 0), |(fronts, all), known| (fronts + u32::from(known.front), all + 1))
    }

    /// Returns the parts that are heard. `own_front` tells that the own instance takes callers'
    /// requests.
    pub fn parts(&self, own_front: bool, now: Time) -> Parts {
        let own = u32::from(own_front);
        let (heard_fronts, heard) = self.heard(now);
        let fronts = self.known.values().filter(|known| known.front).count() as u32 + own;
        let all = self.known.len() as u32 + 1;
        // Right after a start few are known, and the store's word is all there is.
        let (size_fronts, size) = match (self.size, self.settled) {
            (Some(size), false) => size,
            _ => (0, 0),
        };
        let (fronts, all) = (fronts.max(size_fronts).max(1), all.max(size).max(1));
        Parts {
            fronts: f64::from(heard_fronts + own).max(1.0).min(f64::from(fronts))
                / f64::from(fronts),
            fleet: f64::from(heard + 1).min(f64::from(all)) / f64::from(all),
            front_count: fronts,
            complete: self.size.is_some() && heard + 1 >= all,
        }
    }

    /// Returns the number of fronts and of all instances that are heard, the own one included.
    pub fn live(&self, own_front: bool, now: Time) -> (u32, u32) {
        let (fronts, all) = self.heard(now);
        (fronts + u32::from(own_front), all + 1)
    }

    /// Forgets instances that no longer exist.
    pub fn on_tick(&mut self, now: Time) {
        let CensusSettings { missing_time, gone_time, .. } = self.settings;
        self.gone.retain(|_, at| now.since(*at) < gone_time);
        // The smaller part of a split fleet forgets nobody, so that it never takes itself for the whole.
        let heard = self.heard(now).1 as usize + 1;
        if 2 * heard > self.known.len() + 1 {
            self.known.retain(|_, known| now.since(known.heard) < missing_time);
        }
    }
}
