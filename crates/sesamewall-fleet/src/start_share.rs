//! The share of one instance in the starts at a cold target.
//!
//! The starts of other instances become known only with their next datagrams. Until then each
//! instance would use all that it believes to be left of a common limit. Shares need no counts, only
//! the number of the failure domain's fronts, and their list if there are more fronts than starts.
//! They add up to no more than the limit as long as that number is not known too small.

use std::collections::HashMap;
use std::time::Duration;

use sesamewall_protocol::Time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time for which a front that is no longer listed keeps its share. It may only be cut off, and still
/// use it. The stored size follows the removal of an instance, which takes 30 s.
const LISTING_TTL: Duration = Duration::from_secs(60);

/// The fronts of the local failure domain, live or not.
#[derive(Clone, Debug)]
pub struct DomainFronts {
    /// Key of the local instance.
    local: u32,
    /// Keys of the other fronts, and when they were listed last.
    listed: HashMap<u32, Time>,
    /// Number of the domain's fronts as stored; `None` while it is not known.
    size: Option<u32>,
}

impl DomainFronts {
    /// Creates a state in which only the local instance is known, by its key.
    pub fn new(local: u32) -> Self {
        Self { local, listed: HashMap::new(), size: None }
    }

    /// Records fronts that another instance of the failure domain lists, by their keys.
    pub fn on_listed(&mut self, keys: impl IntoIterator<Item = u32>, now: Time) {
        let others = keys.into_iter().filter(|key| *key != self.local);
        self.listed.extend(others.map(|key| (key, now)));
    }

    /// Sets the number of fronts as stored.
    pub fn on_size(&mut self, fronts: u32) {
        self.size = Some(fronts);
    }

    /// Returns the number of fronts as stored; `None` while it is not known.
    pub fn size(&self) -> Option<u32> {
        self.size
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
    /// fronts than starts, the fronts that come first for this target get one each. A front that does
    /// not know all of them then gets none, since it cannot tell whether it is among the first.
    pub fn share(&self, target: u32, limit: f64) -> u32 {
        let limit = limit.max(1.0) as u32;
        let known = self.listed.len() as u32 + 1;
        let all = known.max(self.size.unwrap_or_default());
        match self.size {
            // There may be many more fronts than the known ones.
            None => u32::from(known <= limit),
            Some(_) if all <= limit => limit / all,
            Some(_) if known < all => 0,
            Some(_) => u32::from(self.rank(target) < limit as usize),
        }
    }

    /// Returns how many fronts come before the local one for a target.
    fn rank(&self, target: u32) -> usize {
        let score = |key: u32| (xxh3_64_with_seed(&key.to_le_bytes(), u64::from(target)), key);
        let local = score(self.local);
        self.listed.keys().filter(|key| score(**key) < local).count()
    }
}
