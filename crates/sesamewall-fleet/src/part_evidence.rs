//! Evidence that a part of prompts crashes targets: the crashes of its requests, each with a level.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use sesamewall_protocol::Time;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the key of a part of a prompt.
pub fn part_key(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// A crash at which a request with the part was a candidate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct CrashEvidence {
    /// The start of the target that crashed.
    pub crash: u32,
    /// Number of requests in a row that were lost, each sent in knowledge of the one before.
    pub level: u8,
    /// Key of the request, from `request_key`. A request that is sent again has the same one.
    pub request: u32,
}

/// Returns the key of a request in the evidence, given the hash of its path, account and body.
pub fn request_key(hash: u64) -> u32 {
    hash as u32
}

/// Evidence of one instance or group about one part, as in datagrams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PartEvidence {
    /// Key of the part, from `part_key`.
    pub part: u64,
    /// Crashes at which a request with the part was a candidate.
    pub crashes: Vec<CrashEvidence>,
    /// Crashes after which a target has begun to respond to a request with the part.
    pub cleared: Vec<u32>,
    /// Attempts without the part since the first of the crashes.
    pub others: OtherAttempts,
}

/// How attempts without a part ended since the first crash that counts against the part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OtherAttempts {
    /// Attempts whose target began to respond.
    pub begun: u32,
    /// Attempts whose target was lost before, at crashes that no known part explains.
    pub lost: u32,
}

impl OtherAttempts {
    /// Estimates the share of attempts that are lost, from above: as if one more had been lost.
    pub(crate) fn lost_share(&self) -> f64 {
        let lost = f64::from(self.lost) + 1.0;
        lost / (f64::from(self.begun) + lost)
    }

    pub(crate) fn plus(self, other: Self) -> Self {
        let begun = self.begun.saturating_add(other.begun);
        Self { begun, lost: self.lost.saturating_add(other.lost) }
    }

    pub(crate) fn max(self, other: Self) -> Self {
        Self { begun: self.begun.max(other.begun), lost: self.lost.max(other.lost) }
    }
}

/// Evidence about one part, by crash.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartRecord {
    pub(crate) crashes: BTreeMap<u32, CrashEvidence>,
    pub(crate) cleared: BTreeSet<u32>,
    pub(crate) others: OtherAttempts,
    pub(crate) changed_at: Time,
}

impl PartRecord {
    /// Adds a crash. If there are `limit` of them already, it replaces the one of the lowest level,
    /// so that the newest trial of a part with many crashes is known.
    pub(crate) fn add(&mut self, crash: CrashEvidence, limit: usize) {
        if self.crashes.len() >= limit && !self.crashes.contains_key(&crash.crash) {
            let lowest = self.crashes.values().min_by_key(|known| known.level).copied();
            lowest.and_then(|lowest| self.crashes.remove(&lowest.crash));
        }
        let known = self.crashes.entry(crash.crash).or_insert(crash);
        // Of several candidates at a crash, all instances keep the same one.
        let rank = |entry: &CrashEvidence| (entry.level, std::cmp::Reverse(entry.request));
        if rank(&crash) > rank(known) {
            *known = crash;
        }
    }

    /// Marks crashes as cleared.
    pub(crate) fn clear(&mut self, crashes: Vec<u32>) {
        self.cleared.extend(crashes);
        self.crashes.retain(|crash, _| !self.cleared.contains(crash));
    }

    /// Adds the evidence of another source.
    pub(crate) fn merge(&mut self, evidence: &PartEvidence) {
        for crash in &evidence.crashes {
            self.add(*crash, usize::MAX);
        }
        self.cleared.extend(evidence.cleared.iter().copied());
        self.others = self.others.plus(evidence.others);
    }

    /// Returns the crashes that are not cleared.
    pub(crate) fn open(&self) -> impl Iterator<Item = CrashEvidence> {
        self.crashes.values().filter(|entry| !self.cleared.contains(&entry.crash)).copied()
    }

    /// Returns the highest level of the crashes that are not cleared.
    pub(crate) fn level(&self) -> u8 {
        self.open().map(|entry| entry.level).max().unwrap_or_default()
    }

    /// Returns the evidence for a datagram with at most `limit` crashes of the highest levels.
    pub(crate) fn evidence(&self, part: u64, limit: usize) -> PartEvidence {
        let mut crashes: Vec<_> = self.open().collect();
        crashes.sort_by_key(|entry| (std::cmp::Reverse(entry.level), entry.crash));
        crashes.truncate(limit);
        let cleared = self.cleared.iter().copied().take(limit).collect();
        PartEvidence { part, crashes, cleared, others: self.others }
    }
}

/// Returns the number of different requests among crashes.
pub(crate) fn distinct_requests(crashes: impl Iterator<Item = CrashEvidence>) -> usize {
    crashes.map(|entry| entry.request).collect::<BTreeSet<u32>>().len()
}
