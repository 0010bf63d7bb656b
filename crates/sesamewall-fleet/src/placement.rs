//! Chooses the target of a request from the counts of all instances.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use sesamewall_protocol::DomainName;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Peers;
use crate::TargetState;
use crate::TargetTable;

/// Settings of placement.
#[derive(Clone, Debug)]
pub struct PlaceSettings {
    /// Online requests that may wait at a target whose slots are all taken by online requests. With
    /// 8 slots one gets free every 90 ms, so two wait within the objective of 300 ms.
    pub queue: u32,
    /// Cost of another failure domain, in units of the load cost.
    pub domain_cost: f64,
    /// Cost of a target without the prompt's first parts in its cache.
    pub cache_cost: f64,
    /// Cost of a target whose last answers failed.
    pub failure_cost: f64,
    /// Load cost of a target whose slots are all taken.
    pub full_cost: f64,
}

impl Default for PlaceSettings {
    fn default() -> Self {
        Self { queue: 2, domain_cost: 0.5, cache_cost: 0.5, failure_cost: 1.0, full_cost: 4.0 }
    }
}

/// A request that looks for a target.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a str,
    /// Regions in which it may run; `None` for all.
    pub regions: Option<&'a HashSet<Arc<str>>>,
    /// Failure domain of the instance.
    pub domain: &'a DomainName,
    /// Hash of the prompt parts that requests share.
    pub prefix: Option<u64>,
    /// Targets that it must not get again.
    pub exclude: &'a [TargetName],
    /// Numbers of the targets that it may get; `None` for all.
    pub among: Option<&'a HashSet<u32>>,
    /// Slots that it must leave free at the target; `None` for online requests, which may queue.
    pub leave_free: Option<u32>,
}

/// A target for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Chosen {
    /// The target.
    pub name: TargetName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its number in beacons.
    pub key: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Online requests there, as known.
    pub online: u32,
    /// Batch items there, as known.
    pub batch: u32,
}

/// Why there is no target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum NoPlace {
    /// No target of the service is in service.
    #[display("no target in service")]
    NoTarget,
    /// All slots are taken and as many requests wait as can start in time.
    #[display("all targets full")]
    Full,
    /// All targets have got the starts of this second.
    #[display("start rate reached")]
    StartRate,
}

/// Returns the starts a second that an instance lets a target have, counted over all instances that it
/// hears; 0 for no bound. A cold target bears `rate`, and the platform allows `factor` times as much and
/// `extra` more, which is left for counts under way. `part` is the part of the fleet that is heard: the
/// parts of a split fleet together stay below what the platform allows.
pub fn start_bound(rate: f64, factor: f64, extra: f64, part: f64) -> f64 {
    rate.min(part * (rate * factor + extra))
}

/// Chooses the target with the lowest cost. Load counts by the square of its part of the slots, so
/// that failure domain and cache decide between lightly loaded targets and load between full ones.
/// `starts` is the bound on starts a second at one target, 0 for none; `draw` is a random number that
/// breaks ties.
#[allow(clippy::too_many_arguments)]
pub fn place(
    settings: &PlaceSettings,
    ask: &Ask<'_>,
    table: &TargetTable,
    peers: &Peers,
    regions: &HashMap<DomainName, Arc<str>>,
    starts: f64,
    now: Time,
    draw: u64,
) -> Result<Chosen, NoPlace> {
    let allowed = |target: &&TargetState| {
        let region = regions.get(&target.entry.domain);
        let here = ask.regions.is_none_or(|set| region.is_some_and(|region| set.contains(region)));
        let among = ask.among.is_none_or(|set| set.contains(&target.key));
        here && among && table.in_service(target, now) && !ask.exclude.contains(&target.entry.name)
    };
    let candidates: Vec<_> = table.of_service(ask.service).filter(allowed).collect();
    let home = ask.prefix.and_then(|prefix| {
        let score = |target: &&&TargetState| {
            xxh3_64_with_seed(target.entry.name.as_str().as_bytes(), prefix)
        };
        candidates.iter().max_by_key(score).map(|target| target.key)
    });
    let mut reason = NoPlace::NoTarget;
    let mut best: Option<(f64, Chosen)> = None;
    for target in candidates {
        let count = peers.at_target(target.key);
        let (online, batch) = (u32::from(count.online), u32::from(count.batch));
        let room = match ask.leave_free {
            Some(free) => online + batch + free < target.entry.slots,
            None => online < target.entry.slots + settings.queue,
        };
        if !room {
            reason = NoPlace::Full;
            continue;
        }
        let recent = peers.recent_starts(target.key, now);
        if starts > 0.0 && f64::from(recent + 1) > starts.max(1.0) {
            reason = NoPlace::StartRate;
            continue;
        }
        let load = load_cost(settings, online, batch, target.entry.slots);
        let far = target.entry.domain != *ask.domain;
        let uncached = home.is_some_and(|home| home != target.key);
        let jitter = (xxh3_64_with_seed(&target.key.to_le_bytes(), draw) % 1024) as f64 / 10_240.0;
        let cost = load
            + if far { settings.domain_cost } else { 0.0 }
            + if uncached { settings.cache_cost } else { 0.0 }
            + if target.failed() { settings.failure_cost } else { 0.0 }
            + jitter;
        if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
            let chosen = Chosen {
                name: target.entry.name.clone(),
                address: target.entry.address,
                key: target.key,
                slots: target.entry.slots,
                online,
                batch,
            };
            best = Some((cost, chosen));
        }
    }
    best.map(|(_, chosen)| chosen).ok_or(reason)
}

/// Returns the cost of load: below the slots by the square, then higher for each request that would
/// wait. Batch items at a full target make way within milliseconds.
fn load_cost(settings: &PlaceSettings, online: u32, batch: u32, slots: u32) -> f64 {
    let slots = slots.max(1);
    match online + batch {
        total if total < slots => {
            let part = f64::from(total) / f64::from(slots);
            settings.full_cost * part * part
        }
        _ if online < slots => settings.full_cost + f64::from(online) / f64::from(slots),
        _ => 2.0 * settings.full_cost + f64::from(online - slots) * settings.full_cost,
    }
}
