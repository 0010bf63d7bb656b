//! Requests that were running when targets crashed, over all instances.

use std::collections::HashMap;
use std::collections::HashSet;
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
    /// Sums over the fleet, as the home says them.
    totals: HashMap<u64, u8>,
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

    /// Takes over the sums of the home's digest.
    pub fn on_totals(&mut self, totals: &[(u64, u8)]) {
        self.totals = totals.iter().copied().collect();
    }

    /// Returns the crashes of a request over all instances.
    pub fn crashes(&self, hash: u64) -> u32 {
        let own = self.own.get(&hash).map_or(0, |own| u32::from(own.crashes));
        let others = self.others.values().filter_map(|counts| counts.get(&hash));
        let heard = own + others.map(|count| u32::from(*count)).sum::<u32>();
        heard.max(self.totals.get(&hash).copied().map_or(0, u32::from))
    }

    /// Returns the sums over the own instance and those of `group`.
    pub fn group_report(&self, group: &[InstanceName]) -> Vec<(u64, u8)> {
        let mut sums: HashMap<u64, u8> = self.report().into_iter().collect();
        for counts in group.iter().filter_map(|name| self.others.get(name)) {
            for (hash, crashes) in counts {
                let sum = sums.entry(*hash).or_default();
                *sum = sum.saturating_add(*crashes);
            }
        }
        sums.into_iter().collect()
    }

    /// Returns the sums over all instances.
    pub fn totals(&self) -> Vec<(u64, u8)> {
        let own = self.own.keys();
        let others = self.others.values().flat_map(|counts| counts.keys());
        let hashes: HashSet<u64> = own.chain(others).copied().collect();
        let small = |count: u32| u8::try_from(count).unwrap_or(u8::MAX);
        hashes.into_iter().map(|hash| (hash, small(self.crashes(hash)))).collect()
    }

    /// Tells whether a request must not run again.
    pub fn refused(&self, hash: u64) -> bool {
        self.crashes(hash) >= REFUSE_AT
    }

    /// Returns the own counts for the next report.
    pub fn report(&self) -> Vec<(u64, u8)> {
        self.own.iter().map(|(hash, own)| (*hash, own.crashes)).collect()
    }

    /// Drops old counts.
    pub fn on_tick(&mut self, now: Time) {
        self.own.retain(|_, own| now.since(own.at) < LIFE);
    }
}
