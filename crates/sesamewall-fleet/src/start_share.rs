//! The share of one instance in the starts at a cold target.
//!
//! The starts of other instances become known only with their next datagrams. Until then each
//! instance would use all that it believes to be left of a common limit. Shares need no news: those
//! of all fronts of a failure domain add up to no more than the limit.

use std::collections::HashMap;
use std::time::Duration;

use sesamewall_protocol::Time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time for which a front that is no longer listed keeps its share. It may only be cut off, and still
/// use it.
const LISTING_TTL: Duration = Duration::from_secs(30);

/// The fronts of the local failure domain, live or not.
#[derive(Clone, Debug)]
pub struct DomainFronts {
    /// Key of the local instance.
    local: u32,
    /// Keys of the other fronts, and when they were listed last.
    listed: HashMap<u32, Time>,
    /// Number of the domain's fronts as read from the store; 0 before the first read.
    stored: usize,
}

impl DomainFronts {
    /// Creates a state in which only the local instance is known, by its key.
    pub fn new(local: u32) -> Self {
        Self { local, listed: HashMap::new(), stored: 0 }
    }

    /// Records fronts that another instance of the failure domain lists, by their keys.
    pub fn on_listed(&mut self, keys: impl IntoIterator<Item = u32>, now: Time) {
        let others = keys.into_iter().filter(|key| *key != self.local);
        self.listed.extend(others.map(|key| (key, now)));
    }

    /// Sets the number of fronts as read from the store.
    pub fn on_stored_size(&mut self, fronts: u32) {
        self.stored = fronts as usize;
    }

    /// Removes fronts that nobody has listed for a long time.
    pub fn on_tick(&mut self, now: Time) {
        self.listed.retain(|_, listed_at| now.since(*listed_at) < LISTING_TTL);
    }

    /// Returns the keys of all known fronts, the local instance among them.
    pub fn keys(&self) -> Vec<u32> {
        std::iter::once(self.local).chain(self.listed.keys().copied()).collect()
    }

    /// Returns how many requests the local instance may start at the target with the key `target`
    /// within the window of `limit`, a number of starts by all fronts together. If there are more
    /// fronts than starts, the fronts that come first for this target get one each.
    pub fn share(&self, target: u32, limit: f64) -> u32 {
        let limit = limit.max(1.0);
        let known = self.listed.len() + 1;
        let all = known.max(self.stored);
        if all as f64 <= limit {
            return (limit / all as f64) as u32;
        }
        let score = |key: u32| (xxh3_64_with_seed(&key.to_le_bytes(), u64::from(target)), key);
        let local = score(self.local);
        let rank = self.listed.keys().filter(|key| score(**key) < local).count();
        // Of the fronts that are not known yet, as many come first as of the known ones.
        let first = limit.floor() * known as f64 / all as f64;
        u32::from((rank as f64) < first.floor().max(1.0))
    }
}
