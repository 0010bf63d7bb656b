//! Requests that were running when targets crashed, over all instances.

use std::collections::HashMap;
use std::time::Duration;

use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;

/// Crashes from which a request is not run again. Innocent requests rarely meet three crashes.
const REFUSE_AT: u32 = 3;

/// Time after which an own count is forgotten.
const LIFE: Duration = Duration::from_secs(600);

/// Most own counts kept; the oldest go first.
const MAX_OWN: usize = 256;

#[derive(Clone, Debug)]
struct Own {
    crashes: u8,
    at: Time,
}

/// Counts of crashes by request hash: each instance counts what it saw, the sum decides.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    own: HashMap<u64, Own>,
    others: HashMap<InstanceName, HashMap<u64, u8>>,
}

impl Suspects {
    /// Counts a crash during which the request was running.
    pub fn on_crash(&mut self, hash: u64, now: Time) {
        let own = self.own.entry(hash).or_insert(Own { crashes: 0, at: now });
        own.crashes = own.crashes.saturating_add(1);
        own.at = now;
        if self.own.len() > MAX_OWN {
            let oldest = self.own.iter().min_by_key(|(_, own)| own.at).map(|(hash, _)| *hash);
            oldest.and_then(|hash| self.own.remove(&hash));
        }
    }

    /// Forgets the own count of a request that ended well.
    pub fn on_success(&mut self, hash: u64) {
        if !self.own.is_empty() {
            self.own.remove(&hash);
        }
    }

    /// Takes over the counts of another instance.
    pub fn on_report(&mut self, instance: &InstanceName, counts: &[(u64, u8)]) {
        match counts.is_empty() {
            true => self.others.remove(instance),
            false => self.others.insert(instance.clone(), counts.iter().copied().collect()),
        };
    }

    /// Returns the crashes of a request over all instances.
    pub fn crashes(&self, hash: u64) -> u32 {
        let own = self.own.get(&hash).map_or(0, |own| u32::from(own.crashes));
        let others = self.others.values().filter_map(|counts| counts.get(&hash));
        own + others.map(|count| u32::from(*count)).sum::<u32>()
    }

    /// Tells whether a request must not run again.
    pub fn refused(&self, hash: u64) -> bool {
        self.crashes(hash) >= REFUSE_AT
    }

    /// Returns the own counts for the next beacon.
    pub fn report(&self) -> Vec<(u64, u8)> {
        self.own.iter().map(|(hash, own)| (*hash, own.crashes)).collect()
    }

    /// Drops old counts.
    pub fn on_tick(&mut self, now: Time) {
        self.own.retain(|_, own| now.since(own.at) < LIFE);
    }
}
