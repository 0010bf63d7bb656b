//! A prefix cache of limited size that publishes its events late and with gaps.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use sesamewall_ports::CacheEvent;
use sesamewall_ports::PREFIX_BLOCK_BYTES;
use xxhash_rust::xxh3::Xxh3;

const EVENT_DELAY: Duration = Duration::from_millis(500);
const EVENT_LIMIT: usize = 4096;

/// A prefix cache with least-recently-stored eviction.
#[derive(Debug)]
pub struct PrefixCache {
    limit: usize,
    present: HashSet<u64>,
    order: VecDeque<u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    number: u64,
}

impl PrefixCache {
    /// Creates an empty cache of `limit` blocks.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            present: HashSet::new(),
            order: VecDeque::new(),
            events: VecDeque::new(),
            number: 0,
        }
    }

    /// Deletes all blocks.
    pub fn clear(&mut self) {
        self.present.clear();
        self.order.clear();
    }

    /// Stores the blocks of `prompt`, hashed as described at [`CacheEvent::block`], and returns the
    /// fraction of them that was already present as a prefix.
    pub fn store_prompt(&mut self, prompt: &str, event_gap: u64) -> f64 {
        let mut hasher = Xxh3::new();
        let mut blocks = 0_u32;
        let mut hits = 0_u32;
        for block in prompt.as_bytes().chunks_exact(PREFIX_BLOCK_BYTES) {
            hasher.update(block);
            let digest = hasher.digest();
            blocks += 1;
            match self.present.insert(digest) {
                false if hits + 1 == blocks => hits += 1,
                false => {}
                true => self.store_block(digest, event_gap),
            }
        }
        f64::from(hits) / f64::from(blocks.max(1))
    }

    /// Returns the published events with a number above `after`.
    pub fn events_after(&self, after: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at, event)| at.elapsed() >= EVENT_DELAY && event.number > after)
            .map(|(_, event)| *event)
            .collect()
    }

    fn store_block(&mut self, digest: u64, event_gap: u64) {
        self.order.push_back(digest);
        self.publish(digest, true, event_gap);
        if self.order.len() <= self.limit {
            return;
        }
        if let Some(evicted) = self.order.pop_front() {
            self.present.remove(&evicted);
            self.publish(evicted, false, event_gap);
        }
    }

    fn publish(&mut self, block: u64, stored: bool, event_gap: u64) {
        self.number += 1;
        if event_gap > 0 && self.number.is_multiple_of(event_gap) {
            return;
        }
        if self.events.len() == EVENT_LIMIT {
            self.events.pop_front();
        }
        let event = CacheEvent { number: self.number, block, stored };
        self.events.push_back((Instant::now(), event));
    }
}
