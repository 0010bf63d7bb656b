//! Chooses the target of a request.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use sesamewall_protocol::TargetName;
use sesamewall_protocol::peer::CacheHint;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const MAX_BLOCKS: usize = 4096;

/// Settings of routing.
#[derive(Clone, Debug)]
pub struct RouteSettings {
    /// Prefers targets that probably have the prefix of the request in their cache.
    pub affinity: bool,
    /// Ratio of the load to the mean above which a target is not preferred for its cache.
    pub load_bound: f64,
    /// Number of tokens in one prefix block.
    pub block_tokens: u64,
    /// Fraction of the prefix that is expected in the cache of the rendezvous target without a
    /// hint.
    pub rendezvous_fraction: f64,
}

impl Default for RouteSettings {
    fn default() -> Self {
        Self { affinity: true, load_bound: 1.25, block_tokens: 64, rendezvous_fraction: 0.5 }
    }
}

/// A target that can take the request now.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The target.
    pub name: &'a TargetName,
    /// Expected work in tokens of requests that were sent and have not completed.
    pub work: u64,
}

/// A chosen target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Index in the candidates.
    pub index: usize,
    /// Reason of the choice.
    pub reason: &'static str,
}

/// Chooses among `candidates`. `mean` is the mean outstanding work of all targets in service for
/// the model, including full ones. The load bound follows V. Mirrokni, M. Thorup and M.
/// Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2016; the rendezvous target of a prefix
/// follows D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
pub fn choose(
    settings: &RouteSettings,
    candidates: &[Candidate<'_>],
    mean: f64,
    work: u64,
    prefix: &[u64],
    hints: &CacheHints,
) -> Option<Choice> {
    let rendezvous = prefix
        .first()
        .filter(|_| settings.affinity)
        .and_then(|block| candidates.iter().map(|candidate| score(*block, candidate.name)).max());
    let prefix_tokens = prefix.len() as u64 * settings.block_tokens;
    let costs = candidates.iter().enumerate().map(|(index, candidate)| {
        let loaded = candidate.work as f64 > settings.load_bound * (mean + work as f64);
        let is_rendezvous = rendezvous.is_some_and(|best| best == score(prefix[0], candidate.name));
        let hinted = hints.matching(candidate.name, prefix) as u64 * settings.block_tokens;
        let saving = match () {
            () if !settings.affinity || loaded => 0,
            () if is_rendezvous => {
                hinted.max((prefix_tokens as f64 * settings.rendezvous_fraction) as u64)
            }
            () => hinted,
        };
        let reason = match saving {
            0 => "least outstanding work",
            _ if hinted == saving => "prefix cache hint",
            _ => "prefix affinity",
        };
        let cost = candidate.work as i128 - i128::from(saving.min(work));
        (cost, candidate.work, candidate.name, index, reason)
    });
    let (_, _, _, index, reason) = costs.min()?;
    Some(Choice { index, reason })
}

fn score(block: u64, target: &TargetName) -> u64 {
    xxh3_64_with_seed(target.as_str().as_bytes(), block)
}

#[derive(Clone, Debug, Default)]
struct Blocks {
    present: HashSet<u64>,
    order: VecDeque<u64>,
    sequence: u64,
}

/// Keeps the prefix blocks that targets probably have in their caches.
#[derive(Clone, Debug, Default)]
pub struct CacheHints {
    targets: HashMap<TargetName, Blocks>,
}

impl CacheHints {
    /// Applies a hint. An old hint is ignored. After a gap in the sequence all earlier blocks of
    /// the target are dropped, since a missing hint may have removed them.
    pub fn on_hint(&mut self, hint: &CacheHint) {
        let blocks = self.targets.entry(hint.target.clone()).or_default();
        if hint.sequence <= blocks.sequence {
            return;
        }
        if hint.sequence != blocks.sequence + 1 {
            *blocks = Blocks::default();
        }
        blocks.sequence = hint.sequence;
        for block in &hint.removed {
            blocks.present.remove(block);
        }
        for block in &hint.added {
            if blocks.present.insert(*block) {
                blocks.order.push_back(*block);
            }
        }
        while blocks.order.len() > MAX_BLOCKS {
            if let Some(old) = blocks.order.pop_front() {
                blocks.present.remove(&old);
            }
        }
    }

    /// Returns the number of leading blocks of `prefix` that the target probably has in its cache.
    pub fn matching(&self, target: &TargetName, prefix: &[u64]) -> usize {
        self.targets.get(target).map_or(0, |blocks| {
            prefix.iter().take_while(|block| blocks.present.contains(block)).count()
        })
    }

    /// Removes all blocks of a target that lost its cache.
    pub fn remove(&mut self, target: &TargetName) {
        if let Some(blocks) = self.targets.get_mut(target) {
            blocks.present.clear();
            blocks.order.clear();
        }
    }

    /// Removes all targets for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&TargetName) -> bool) {
        self.targets.retain(|target, _| keep(target));
    }
}
