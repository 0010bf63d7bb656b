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

use crate::DomainFlow;
use crate::Peers;
use crate::TargetState;
use crate::TargetTable;
use crate::VersionFilter;
use crate::datagrams::domain_key;

/// Settings of placement.
#[derive(Clone, Debug)]
pub struct PlacementSettings {
    /// Online requests that may wait at a target whose slots are all taken by online requests. With
    /// 8 slots one slot becomes free every 90 ms, so two requests wait within the objective of 300
    /// ms.
    pub queue: u32,
    /// Cost of a target in another failure domain, in units of the load cost.
    pub domain_cost: f64,
    /// Cost of a target that does not have the prompt's prefix in its cache.
    pub cache_cost: f64,
    /// Cost of a target whose last requests failed.
    pub failure_cost: f64,
    /// Cost of a cold target at its limit on starts. Below the limit the cost is in proportion to
    /// the starts.
    pub cold_cost: f64,
    /// Cost for an online request of a target that has named a limit; twice as much when it is
    /// reached. For a batch item such a target costs less than others: an item holds a slot for long
    /// by one start, and online requests need the slots of the other targets.
    pub limit_cost: f64,
    /// Fraction of the starts at a target that has named a limit up to which batch items start.
    /// Online requests need the rest.
    pub limit_batch_fraction: f64,
    /// Fraction of a cold target's limit on starts up to which batch items start at a target.
    /// Online requests need the rest, and a worker fills all free slots at once.
    pub batch_fraction: f64,
    /// Load cost of a target whose slots are all taken.
    pub full_cost: f64,
    /// Cost up to which a target of the local failure domain is chosen without comparing targets of
    /// other domains.
    pub local_threshold: f64,
    /// Smallest number of targets that are compared, however old the counts are.
    pub min_compared: usize,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            queue: 2,
            domain_cost: 0.5,
            cache_cost: 0.5,
            failure_cost: 1.0,
            cold_cost: 4.0,
            limit_cost: 3.0,
            limit_batch_fraction: 0.5,
            batch_fraction: 1.0,
            full_cost: 4.0,
            local_threshold: 1.0,
            min_compared: 2,
        }
    }
}

/// A request for a target.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Service whose targets may be chosen.
    pub service: &'a str,
    /// Regions in which the request may run; `None` for all.
    pub regions: Option<&'a HashSet<Arc<str>>>,
    /// Failure domain of the local instance.
    pub domain: &'a DomainName,
    /// Hash of the prompt's prefix, which requests share.
    pub prefix: Option<u64>,
    /// Targets that must not be chosen again.
    pub exclude: &'a [TargetName],
    /// Keys of the targets that may be chosen; `None` for all.
    pub among: Option<&'a HashSet<u32>>,
    /// Slots that must stay free at the target; `None` for online requests, which may queue.
    pub reserved_slots: Option<u32>,
    /// Versions of targets that may be chosen during a rollout; `None` for all.
    pub versions: Option<&'a VersionFilter>,
}

/// The target chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Name of the target.
    pub name: TargetName,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Key of the target in datagrams.
    pub key: u32,
    /// Version of the target's software by its entry, empty if it names none.
    pub version: Arc<str>,
    /// Start of the target by its entry, in Unix milliseconds.
    pub started_ms: u64,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Online requests at the target, by the known counts.
    pub online: u32,
    /// Batch items at the target, by the known counts.
    pub batch: u32,
    /// Whether the target is known to be cold.
    pub cold: bool,
    /// Starts of all instances at the target in the window of its limit, by the known counts.
    pub recent: u32,
}

/// The reason why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum PlacementError {
    /// No target of the service is in service.
    #[display("no target in service")]
    NoTarget,
    /// All slots are taken, and as many requests wait as can start in time.
    #[display("all targets full")]
    Full,
    /// All targets are at their limit on starts.
    #[display("start rate reached")]
    StartRate,
    /// Several targets were chosen, and none of them could be reached or accepted the request.
    #[display("no target reached or accepting")]
    NotAccepted,
}

/// Limits on the starts a second at one target by all instances together; 0 for no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StartLimits {
    /// Limit for cold targets.
    pub cold: f64,
    /// Limit for all other targets, which may have turned cold a moment ago.
    pub warm: f64,
    /// What the platform allows at a cold target, which the fronts of its failure domain share.
    pub allowed: f64,
}

/// Fraction of the platform's limit for cold targets up to which other targets are used. The rest
/// covers starts that the counts do not include yet.
const WARM_FRACTION: f64 = 0.75;

impl StartLimits {
    /// Returns the limits for an instance. A cold target sustains `rate`, and the platform allows
    /// `factor` times as much and `extra` more. `coverage` is the live fraction of the fleet: the
    /// sides of a split fleet together stay below what the platform allows.
    pub fn new(rate: f64, factor: f64, extra: f64, coverage: f64) -> Self {
        if rate <= 0.0 {
            return Self::default();
        }
        let allowed = rate * factor + extra;
        let covered = coverage * allowed;
        let warm = rate.max(WARM_FRACTION * allowed).min(covered);
        Self { cold: rate.min(covered), warm, allowed }
    }
}

/// The state from which a target is chosen.
#[derive(Clone, Copy, Debug)]
pub struct PlacementContext<'a> {
    /// Known targets.
    pub table: &'a TargetTable,
    /// Request counts of all instances.
    pub peers: &'a Peers,
    /// Region of each failure domain.
    pub regions: &'a HashMap<DomainName, Arc<str>>,
    /// Limits on starts.
    pub start_limits: StartLimits,
    /// Live fraction of the fleet, which gets that fraction of what targets take from all instances.
    pub coverage: f64,
    /// Current time.
    pub now: Time,
    /// Usual age of the counts of other instances.
    pub staleness: Duration,
    /// Random number that breaks ties.
    pub draw: u64,
    /// Flow of the service between failure domains; `None` if its targets are in one.
    pub flow: Option<&'a DomainFlow>,
}

/// A target with headroom, and its cost.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    cost: f64,
    target: &'a TargetState,
    online: u32,
    batch: u32,
    cold: bool,
    recent: u32,
}

/// Chooses the target with the lowest cost. The load cost rises with the square of the used
/// fraction of the slots, so that failure domain and cache decide between lightly loaded targets
/// and load decides between full ones. Targets of other failure domains are compared only if all
/// local ones are well loaded.
///
/// Counts are as old as the last datagrams. When many targets are chosen within that time, all
/// choices would fall on the same target, so only some targets, drawn at random, are compared
/// (Mitzenmacher, "How useful is old information?", 2000).
pub fn place(
    settings: &PlacementSettings,
    request: &PlacementRequest<'_>,
    context: &PlacementContext<'_>,
) -> Result<Placement, PlacementError> {
    let local = domain_key(request.domain);
    let mut reason = PlacementError::NoTarget;
    if request.versions.is_some_and(|filter| filter.concentrate) {
        let all = candidates(settings, request, context, &mut reason, |_| true);
        return first_free(&all).ok_or(match reason {
            PlacementError::NoTarget if !all.is_empty() => PlacementError::Full,
            reason => reason,
        });
    }
    if let Some(flow) = context.flow {
        return place_by_flow(settings, request, context, flow);
    }
    let near = candidates(settings, request, context, &mut reason, |target| target.domain == local);
    let mut best = draw_best(settings, context, &near);
    let enough = best.is_some_and(|best| best.cost <= settings.local_threshold);
    if !enough {
        let far =
            candidates(settings, request, context, &mut reason, |target| target.domain != local);
        let other = draw_best(settings, context, &far);
        best = match (best, other) {
            (Some(near), Some(far)) if near.cost <= far.cost => Some(near),
            (near, far) => far.or(near),
        };
    }
    best.map(Placement::from).ok_or(reason)
}

/// Chooses a target of the failure domain that the flow selects. If it has none, the local domain
/// follows, then others in the order of the flow. While the local domain is full, an online request
/// leaves only for a domain with a lower load.
fn place_by_flow(
    settings: &PlacementSettings,
    request: &PlacementRequest<'_>,
    context: &PlacementContext<'_>,
    flow: &DomainFlow,
) -> Result<Placement, PlacementError> {
    let local = domain_key(request.domain);
    let is_far =
        |name: &TargetName| context.table.get(name).is_some_and(|target| target.domain != local);
    let stays = request.reserved_slots.is_some() || request.exclude.iter().any(is_far);
    let first = if stays { local } else { flow.choose(context.draw) };
    let best_in = |domain: u32, reason: &mut PlacementError| {
        let within = |target: &TargetState| target.domain == domain;
        let found = candidates(settings, request, context, reason, within);
        draw_best(settings, context, &found)
    };
    let mut reason = PlacementError::NoTarget;
    if first != local
        && let Some(best) = best_in(first, &mut reason)
    {
        return Ok(best.into());
    }
    let mut reason = PlacementError::NoTarget;
    let near = best_in(local, &mut reason);
    let has_slot = |best: &Candidate<'_>| best.online < best.target.entry.slots;
    if let Some(near) = near.filter(|near| stays || has_slot(near)) {
        return Ok(near.into());
    }
    // All local slots are taken; a request that waits here would start at once elsewhere.
    let is_full = near.is_some() || reason == PlacementError::Full;
    let lower_only = request.reserved_slots.is_none() && is_full;
    let mut others = flow.others(lower_only).into_iter().filter(|domain| *domain != first);
    let far = others.find_map(|domain| {
        best_in(domain, &mut reason).filter(|far| near.is_none() || has_slot(far))
    });
    far.or(near).map(Placement::from).ok_or(reason)
}

impl From<Candidate<'_>> for Placement {
    fn from(candidate: Candidate<'_>) -> Self {
        let Candidate { target, online, batch, cold, recent, .. } = candidate;
        Self {
            name: target.entry.name.clone(),
            address: target.entry.address,
            key: target.key,
            version: target.entry.version.clone(),
            started_ms: target.entry.started_ms,
            slots: target.entry.slots,
            online,
            batch,
            cold,
            recent,
        }
    }
}

/// Returns the target with the lowest key that has a free slot. All instances choose in the same
/// order, so few targets get the requests of a trial.
fn first_free(candidates: &[Candidate<'_>]) -> Option<Placement> {
    let free = candidates
        .iter()
        .filter(|candidate| candidate.online + candidate.batch < candidate.target.entry.slots);
    free.min_by_key(|candidate| candidate.target.key).map(|candidate| Placement::from(*candidate))
}

/// Returns the targets with headroom for which `within` returns true.
fn candidates<'a>(
    settings: &PlacementSettings,
    request: &PlacementRequest<'_>,
    context: &PlacementContext<'a>,
    reason: &mut PlacementError,
    within: impl Fn(&TargetState) -> bool,
) -> Vec<Candidate<'a>> {
    let PlacementContext { table, peers, now, .. } = *context;
    let allowed = |target: &&TargetState| {
        let in_region = request.regions.is_none_or(|set| {
            context.regions.get(&target.entry.domain).is_some_and(|region| set.contains(region))
        });
        let among = request.among.is_none_or(|set| set.contains(&target.key));
        let in_version = request.versions.is_none_or(|filter| filter.allows(&target.entry.version));
        in_region
            && among
            && in_version
            && table.in_service(target, now)
            && !request.exclude.contains(&target.entry.name)
    };
    let eligible =
        || table.of_service(request.service).filter(|target| within(target)).filter(allowed);
    let cache_target = request.prefix.and_then(|prefix| {
        let score = |target: &&TargetState| xxh3_64_with_seed(&target.key.to_le_bytes(), prefix);
        eligible().max_by_key(score).map(|target| target.key)
    });
    let mut candidates = Vec::new();
    for target in eligible() {
        let (online, batch) = peers.at_target(target.key);
        let named = peers.limits().allowance(target.key);
        let named = named.map(|named| named.for_fraction(context.coverage));
        let slots = target.entry.slots;
        let has_headroom = match (request.reserved_slots, &named) {
            (Some(free), None) => (online + batch).saturating_add(free) < slots,
            (Some(free), Some(named)) => {
                (online + batch).saturating_add(free.max(named.online_slots(slots))) < slots
            }
            // A preempted item needs another start, which this target or another one lacks then.
            (None, Some(named)) if named.binds(slots) => {
                online + batch < slots || online < named.online_slots(slots)
            }
            (None, _) => online < slots.saturating_add(settings.queue),
        };
        if !has_headroom {
            *reason = PlacementError::Full;
            continue;
        }
        let far = target.entry.domain != *request.domain;
        let cold = target.is_cold(now);
        let limit = if cold { context.start_limits.cold } else { context.start_limits.warm };
        let recent_starts = peers.recent_starts(target.key, now);
        let recent = f64::from(recent_starts);
        // Starts by peers since the last datagrams are unknown, most of all in another failure
        // domain.
        let batch_limit = context.start_limits.cold * settings.batch_fraction;
        let batch_fraction = request.reserved_slots.map_or(1.0, |_| settings.limit_batch_fraction);
        let at_limit = match request.reserved_slots {
            _ if named.is_some_and(|named| !named.allows(recent, batch_fraction)) => true,
            _ if limit <= 0.0 => false,
            Some(_) => cold || recent + 1.0 > batch_limit.max(1.0),
            None if cold => {
                let allowed = context.start_limits.allowed;
                let share_used = allowed > 0.0 && peers.has_used_share(target.key, allowed, now);
                far || share_used || recent + 1.0 > limit.max(1.0)
            }
            None => recent + 1.0 > limit.max(1.0),
        };
        if at_limit {
            *reason = PlacementError::StartRate;
            continue;
        }
        let uncached = cache_target.is_some_and(|cache_target| cache_target != target.key);
        let jitter = (draw(context, target.key) % 1024) as f64 / 10_240.0;
        let limit_cost = match (&named, request.reserved_slots) {
            (None, _) => 0.0,
            (Some(_), None) if !peers.limits().is_recent(target.key, now) => 0.0,
            (Some(named), None) => settings.limit_cost * (1.0 + recent / named.starts),
            (Some(_), Some(_)) => -settings.limit_cost,
        };
        let cost = load_cost(settings, online, batch, slots)
            + if far { settings.domain_cost } else { 0.0 }
            + if uncached { settings.cache_cost } else { 0.0 }
            + if target.has_failed() { settings.failure_cost } else { 0.0 }
            + if cold && limit > 0.0 { settings.cold_cost * recent / limit } else { 0.0 }
            + limit_cost
            + jitter;
        candidates.push(Candidate { cost, target, online, batch, cold, recent: recent_starts });
    }
    candidates
}

fn draw(context: &PlacementContext<'_>, key: u32) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), context.draw)
}

/// Returns the cheapest of as many candidates as should be compared.
fn draw_best<'a>(
    settings: &PlacementSettings,
    context: &PlacementContext<'a>,
    candidates: &[Candidate<'a>],
) -> Option<Candidate<'a>> {
    let starts: f64 = candidates
        .iter()
        .map(|candidate| context.peers.recent_starts(candidate.target.key, context.now))
        .map(f64::from)
        .sum();
    let unseen_starts = starts * context.staleness.as_secs_f64();
    let count =
        (candidates.len() as f64 / unseen_starts.max(1.0)).ceil().max(settings.min_compared as f64);
    let best = |candidates: &mut dyn Iterator<Item = &Candidate<'a>>| {
        candidates.min_by(|a, b| a.cost.total_cmp(&b.cost)).copied()
    };
    if count >= candidates.len() as f64 {
        return best(&mut candidates.iter());
    }
    let mut drawn: Vec<&Candidate<'a>> = candidates.iter().collect();
    drawn.sort_unstable_by_key(|candidate| draw(context, candidate.target.key));
    let (first, rest) = drawn.split_at(count as usize);
    match best(&mut first.iter().copied()) {
        // All drawn candidates are full.
        Some(full) if full.cost >= settings.full_cost => {
            let other = best(&mut rest.iter().take(count as usize).copied());
            other.filter(|other| other.cost < full.cost).or(Some(full))
        }
        found => found,
    }
}

/// Returns the load cost: below the number of slots it rises with the square of the load, then by a
/// fixed amount for each request that would wait. Batch items at a full target are preempted within
/// milliseconds.
fn load_cost(settings: &PlacementSettings, online: u32, batch: u32, slots: u32) -> f64 {
    let slots = slots.max(1);
    match online + batch {
        total if total < slots => {
            let fraction = f64::from(total) / f64::from(slots);
            settings.full_cost * fraction * fraction
        }
        _ if online < slots => settings.full_cost + f64::from(online) / f64::from(slots),
        _ => 2.0 * settings.full_cost + f64::from(online - slots) * settings.full_cost,
    }
}
