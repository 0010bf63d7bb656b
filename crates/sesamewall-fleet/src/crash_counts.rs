//! Counts, over all instances, of the target crashes during which a request was running.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;

/// Number of crashes from which a request is not run again. Requests that do not cause the
/// crashes rarely run during three of them.
const CRASH_LIMIT: u32 = 3;

/// Time after its last crash for which a local count is kept.
const COUNT_TTL: Duration = Duration::from_secs(600);

/// Most local counts kept; the oldest are removed first.
const MAX_LOCAL: usize = 256;

#[derive(Clone, Debug)]
struct LocalCount {
    crashes: u8,
    at: Time,
}

/// Counts of crashes by request hash. Each instance counts the crashes that it observed; the sum
/// over all instances decides.
#[derive(Clone, Debug, Default)]
pub struct CrashCounts {
    local: HashMap<u64, LocalCount>,
    peers: HashMap<InstanceName, HashMap<u64, u8>>,
    /// Sums over the fleet from the last digest of the assigned hub.
    totals: HashMap<u64, u8>,
}

impl CrashCounts {
    /// Counts a crash during which the request was running.
    pub fn on_crash(&mut self, hash: u64, now: Time) {
        let local = self.local.entry(hash).or_insert(LocalCount { crashes: 0, at: now });
        local.crashes = local.crashes.saturating_add(1);
        local.at = now;
        if self.local.len() > MAX_LOCAL {
            let oldest = self.local.iter().min_by_key(|(_, local)| local.at).map(|(hash, _)| *hash);
            oldest.and_then(|hash| self.local.remove(&hash));
        }
    }

    /// Removes the local count of a request that completed.
    pub fn on_success(&mut self, hash: u64) {
        if !self.local.is_empty() {
            self.local.remove(&hash);
        }
    }

    /// Replaces the counts of another instance.
    pub fn on_peer_counts(&mut self, instance: &InstanceName, counts: &[(u64, u8)]) {
        match counts.is_empty() {
            true => self.peers.remove(instance),
            false => self.peers.insert(instance.clone(), counts.iter().copied().collect()),
        };
    }

    /// Replaces the sums over the fleet by those of the assigned hub's digest.
    pub fn on_totals(&mut self, totals: &[(u64, u8)]) {
        self.totals = totals.iter().copied().collect();
    }

    /// Returns the crashes of a request over all instances.
    pub fn crashes(&self, hash: u64) -> u32 {
        let local = self.local.get(&hash).map_or(0, |local| u32::from(local.crashes));
        let peers = self.peers.values().filter_map(|counts| counts.get(&hash));
        let sum = local + peers.map(|count| u32::from(*count)).sum::<u32>();
        sum.max(self.totals.get(&hash).copied().map_or(0, u32::from))
    }

    /// Returns the sums over the local instance and the instances of `group`.
    pub fn group_counts(&self, group: &[InstanceName]) -> Vec<(u64, u8)> {
        let mut sums: HashMap<u64, u8> = self.local_counts().into_iter().collect();
        for counts in group.iter().filter_map(|name| self.peers.get(name)) {
            for (hash, crashes) in counts {
                let sum = sums.entry(*hash).or_default();
                *sum = sum.saturating_add(*crashes);
            }
        }
        sums.into_iter().collect()
    }

    /// Returns the sums over all instances.
    pub fn totals(&self) -> Vec<(u64, u8)> {
        let local = self.local.keys();
        let peers = self.peers.values().flat_map(|counts| counts.keys());
        let hashes: HashSet<u64> = local.chain(peers).copied().collect();
        let small = |count: u32| u8::try_from(count).unwrap_or(u8::MAX);
        hashes.into_iter().map(|hash| (hash, small(self.crashes(hash)))).collect()
    }

    /// Returns whether a request must not run again.
    pub fn is_blocked(&self, hash: u64) -> bool {
        self.crashes(hash) >= CRASH_LIMIT
    }

    /// Returns the local counts for the next report.
    pub fn local_counts(&self) -> Vec<(u64, u8)> {
        self.local.iter().map(|(hash, local)| (*hash, local.crashes)).collect()
    }

    /// Removes old local counts.
    pub fn on_tick(&mut self, now: Time) {
        self.local.retain(|_, local| now.since(local.at) < COUNT_TTL);
    }
}
