//! Chooses the target of a request from the counts of all instances.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sesamewall_protocol::DomainName;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Peers;
use crate::TargetState;
use crate::TargetTable;
use crate::message::domain_key;

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
    /// Cost of a cold target that has got all the starts that it bears; less for fewer.
    pub cold_cost: f64,
    /// Part of the starts that a cold target bears up to which batch items start at a target: online
    /// requests need the rest, and a worker fills all free places at once.
    pub batch_starts: f64,
    /// Load cost of a target whose slots are all taken.
    pub full_cost: f64,
    /// Cost up to which a target of the own failure domain is taken without a look at the others.
    pub near_enough: f64,
    /// Targets that are compared at least, however old the counts are.
    pub least_compared: usize,
}

impl Default for PlaceSettings {
    fn default() -> Self {
        Self {
            queue: 2,
            domain_cost: 0.5,
            cache_cost: 0.5,
            failure_cost: 1.0,
            cold_cost: 4.0,
            batch_starts: 1.0,
            full_cost: 4.0,
            near_enough: 1.0,
            least_compared: 2,
        }
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
    /// Its number in messages.
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

/// Bounds on the starts a second that one target gets from all instances together; 0 for none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StartBounds {
    /// For targets that said that they are cold.
    pub cold: f64,
    /// For all others: they may have turned cold a moment ago.
    pub warm: f64,
}

/// Part of what the platform lets a cold target have that other targets get; the rest is for counts
/// under way.
const WARM_PART: f64 = 0.75;

impl StartBounds {
    /// Returns the bounds of an instance. A cold target bears `rate`, and the platform allows `factor`
    /// times as much and `extra` more. `part` is the part of the fleet that is heard: the parts of a
    /// split fleet together stay below what the platform allows.
    pub fn new(rate: f64, factor: f64, extra: f64, part: f64) -> Self {
        if rate <= 0.0 {
            return Self::default();
        }
        let allowed = part * (rate * factor + extra);
        Self {
            cold: rate.min(allowed),
            warm: rate.max(WARM_PART * (rate * factor + extra)).min(allowed),
        }
    }
}

/// What a choice is made from.
#[derive(Clone, Copy, Debug)]
pub struct Scene<'a> {
    /// The known targets.
    pub table: &'a TargetTable,
    /// The counts of all instances.
    pub peers: &'a Peers,
    /// Region of each failure domain.
    pub regions: &'a HashMap<DomainName, Arc<str>>,
    /// Bounds on starts.
    pub starts: StartBounds,
    /// The time.
    pub now: Time,
    /// Usual age of the counts of other instances.
    pub staleness: Duration,
    /// Random number that breaks ties.
    pub draw: u64,
}

/// A target with room, and what it costs.
#[derive(Clone, Copy, Debug)]
struct Offer<'a> {
    cost: f64,
    target: &'a TargetState,
    online: u32,
    batch: u32,
}

/// Chooses the target with the lowest cost. Load counts by the square of its part of the slots, so
/// that failure domain and cache decide between lightly loaded targets and load between full ones.
/// Targets of other failure domains are looked at only if all of the own one are well loaded.
///
/// Counts are as old as the messages between instances. When many choices are made in that time, all of
/// them would fall on the same target, so only some targets, drawn at random, are compared (Mitzenmacher,
/// "How useful is old information?", 2000).
pub fn place(
    settings: &PlaceSettings,
    ask: &Ask<'_>,
    scene: &Scene<'_>,
) -> Result<Chosen, NoPlace> {
    let own = domain_key(ask.domain);
    let mut reason = NoPlace::NoTarget;
    let near = offers(settings, ask, scene, &mut reason, |target| target.domain == own);
    let mut best = draw_best(settings, scene, &near);
    let enough = best.is_some_and(|best| best.cost <= settings.near_enough);
    if !enough {
        let far = offers(settings, ask, scene, &mut reason, |target| target.domain != own);
        let other = draw_best(settings, scene, &far);
        best = match (best, other) {
            (Some(near), Some(far)) if near.cost <= far.cost => Some(near),
            (near, far) => far.or(near),
        };
    }
    let Offer { target, online, batch, .. } = best.ok_or(reason)?;
    Ok(Chosen {
        name: target.entry.name.clone(),
        address: target.entry.address,
        key: target.key,
        slots: target.entry.slots,
        online,
        batch,
    })
}

/// Returns the targets with room among those `within`.
fn offers<'a>(
    settings: &PlaceSettings,
    ask: &Ask<'_>,
    scene: &Scene<'a>,
    reason: &mut NoPlace,
    within: impl Fn(&TargetState) -> bool,
) -> Vec<Offer<'a>> {
    let Scene { table, peers, now, .. } = *scene;
    let allowed = |target: &&TargetState| {
        let here = ask.regions.is_none_or(|set| {
            scene.regions.get(&target.entry.domain).is_some_and(|region| set.contains(region))
        });
        let among = ask.among.is_none_or(|set| set.contains(&target.key));
        here && among && table.in_service(target, now) && !ask.exclude.contains(&target.entry.name)
    };
    let candidates =
        || table.of_service(ask.service).filter(|target| within(target)).filter(allowed);
    let home = ask.prefix.and_then(|prefix| {
        let score = |target: &&TargetState| xxh3_64_with_seed(&target.key.to_le_bytes(), prefix);
        candidates().max_by_key(score).map(|target| target.key)
    });
    let mut offers = Vec::new();
    for target in candidates() {
        let (online, batch) = peers.at_target(target.key);
        let room = match ask.leave_free {
            Some(free) => online + batch + free < target.entry.slots,
            None => online < target.entry.slots + settings.queue,
        };
        if !room {
            *reason = NoPlace::Full;
            continue;
        }
        let far = target.entry.domain != *ask.domain;
        let cold = target.cold(now);
        let bound = if cold { scene.starts.cold } else { scene.starts.warm };
        let recent = f64::from(peers.recent_starts(target.key, now));
        // What others start meanwhile is not known, least of all in another failure domain.
        let batch_bound = scene.starts.cold * settings.batch_starts;
        let started = match ask.leave_free {
            _ if bound <= 0.0 => false,
            Some(_) => cold || recent + 1.0 > batch_bound.max(1.0),
            None => (cold && far) || recent + 1.0 > bound.max(1.0),
        };
        if started {
            *reason = NoPlace::StartRate;
            continue;
        }
        let uncached = home.is_some_and(|home| home != target.key);
        let jitter = (draw(scene, target.key) % 1024) as f64 / 10_240.0;
        let cost = load_cost(settings, online, batch, target.entry.slots)
            + if far { settings.domain_cost } else { 0.0 }
            + if uncached { settings.cache_cost } else { 0.0 }
            + if target.failed() { settings.failure_cost } else { 0.0 }
            + if cold && bound > 0.0 { settings.cold_cost * recent / bound } else { 0.0 }
            + jitter;
        offers.push(Offer { cost, target, online, batch });
    }
    offers
}

fn draw(scene: &Scene<'_>, key: u32) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), scene.draw)
}

/// Returns the best of as many offers as should be compared.
fn draw_best<'a>(
    settings: &PlaceSettings,
    scene: &Scene<'a>,
    offers: &[Offer<'a>],
) -> Option<Offer<'a>> {
    let starts: u32 =
        offers.iter().map(|offer| scene.peers.recent_starts(offer.target.key, scene.now)).sum();
    let unseen = f64::from(starts) * scene.staleness.as_secs_f64();
    let count = (offers.len() as f64 / unseen.max(1.0)).ceil().max(settings.least_compared as f64);
    let best = |offers: &mut dyn Iterator<Item = &Offer<'a>>| {
        offers.min_by(|a, b| a.cost.total_cmp(&b.cost)).copied()
    };
    if count >= offers.len() as f64 {
        return best(&mut offers.iter());
    }
    let mut drawn: Vec<&Offer<'a>> = offers.iter().collect();
    drawn.sort_unstable_by_key(|offer| draw(scene, offer.target.key));
    let (first, rest) = drawn.split_at(count as usize);
    match best(&mut first.iter().copied()) {
        // All that were drawn are full.
        Some(full) if full.cost >= settings.full_cost => {
            let other = best(&mut rest.iter().take(count as usize).copied());
            other.filter(|other| other.cost < full.cost).or(Some(full))
        }
        found => found,
    }
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
