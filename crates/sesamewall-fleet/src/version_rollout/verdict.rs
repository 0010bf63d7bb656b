//! The comparison of the new version with the old one.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use sesamewall_protocol::scaled;

use super::RolloutOrder;
use super::RolloutPhase;
use super::RolloutSettings;
use super::RouteOutcomes;
use super::chance::tail_probability;
use super::rollout_key;
use super::version_outcomes::above;
use super::version_outcomes::quantile;
use super::version_outcomes::total;

/// Fraction of the old version's responses whose time is usual.
const USUAL_FRACTION: f64 = 0.9;

/// Why a rollout is halted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum HaltReason {
    /// More responses of the new version fail.
    #[display("failures")]
    Failures,
    /// More responses of the new version begin late.
    #[display("slow first events")]
    SlowFirst,
    /// More responses of the new version take long.
    #[display("slow responses")]
    SlowWhole,
    /// The period ended before promotion.
    #[display("period ended")]
    Expired,
}

/// The figures behind a verdict.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct VerdictFigures {
    /// Key of the route; `None` for all routes together.
    pub route: Option<u32>,
    /// Bad responses of the new version.
    pub new_bad: u32,
    /// Counted responses of the new version.
    pub new_total: u32,
    /// Bad responses of the old version.
    pub old_bad: u32,
    /// Counted responses of the old version.
    pub old_total: u32,
    /// Probability that these occur by chance.
    pub chance: f64,
}

/// What is known about a rollout apart from the outcomes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutFacts {
    /// Time since the order.
    pub elapsed: Duration,
    /// Time since the local instance learned of the promotion.
    pub promoted_for: Option<Duration>,
    /// Slots of the old targets in service.
    pub old_slots: u32,
    /// Slots of the new targets in service that are not cold.
    pub new_slots: u32,
    /// Requests of all instances at old targets.
    pub at_old: u32,
    /// Time since when none was seen there.
    pub idle_for: Option<Duration>,
    /// The counts of all instances are current.
    pub complete: bool,
}

/// What a hub should do about a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Nothing yet.
    Wait,
    /// Send nothing to the new version any more.
    Halt {
        /// Why.
        reason: HaltReason,
        /// The figures behind the verdict.
        figures: VerdictFigures,
    },
    /// Store the phase `Promoting`.
    Promote,
    /// Store the phase `Completed`.
    Complete,
}

/// Judges a rollout. `outcomes` are those of all instances; entries of other orders are ignored.
pub fn judge(
    settings: &RolloutSettings,
    order: &RolloutOrder,
    phase: RolloutPhase,
    outcomes: &[RouteOutcomes],
    facts: &RolloutFacts,
) -> Verdict {
    let service = rollout_key(&order.service);
    let of_order =
        |entry: &&RouteOutcomes| entry.service == service && entry.revision == order.revision;
    let routes: Vec<&RouteOutcomes> = outcomes.iter().filter(of_order).collect();
    match phase {
        RolloutPhase::RolledBack | RolloutPhase::Completed => Verdict::Wait,
        _ if let Some(halt) = find_bad(settings, &routes) => halt,
        RolloutPhase::Trial if may_promote(settings, order, &routes, facts) => Verdict::Promote,
        RolloutPhase::Trial if facts.elapsed >= scaled(order.period, settings.expire_fraction) => {
            let figures = VerdictFigures { chance: 1.0, ..VerdictFigures::default() };
            Verdict::Halt { reason: HaltReason::Expired, figures }
        }
        RolloutPhase::Promoting if may_complete(settings, order, facts) => Verdict::Complete,
        RolloutPhase::Trial | RolloutPhase::Promoting => Verdict::Wait,
    }
}

fn may_promote(
    settings: &RolloutSettings,
    order: &RolloutOrder,
    routes: &[&RouteOutcomes],
    facts: &RolloutFacts,
) -> bool {
    let is_sparse = facts.elapsed >= scaled(order.period, settings.sparse_fraction);
    let is_tested = |route: &&RouteOutcomes| {
        let least = if route.batch { settings.min_items } else { settings.min_responses };
        route.new.responses >= least
    };
    let sum = |of: fn(&RouteOutcomes) -> u32| -> f64 {
        routes.iter().map(|route| f64::from(of(route))).sum()
    };
    let new = sum(|route| route.new.responses);
    let expected = settings.trial_share() * (new + sum(|route| route.old.responses));
    // A version of which no response ends is not promoted, however long the trial lasted.
    let responds = new >= f64::from(settings.min_bad).min(expected.floor());
    let has_slots =
        f64::from(facts.new_slots) >= settings.min_slots * f64::from(facts.old_slots.max(1));
    facts.elapsed >= scaled(order.period, settings.promote_fraction)
        && (is_sparse || routes.iter().all(is_tested))
        && responds
        && has_slots
}

fn may_complete(settings: &RolloutSettings, order: &RolloutOrder, facts: &RolloutFacts) -> bool {
    let waits_for_missing =
        !facts.complete && facts.elapsed < scaled(order.period, settings.missing_fraction);
    facts.promoted_for.is_some_and(|time| time >= settings.settle_time)
        && facts.at_old == 0
        && facts.idle_for.is_some_and(|time| time >= settings.idle_time)
        && !waits_for_missing
}

/// Returns the halt for the first comparison that shows the new version to be bad, by route and over
/// all routes.
fn find_bad(settings: &RolloutSettings, routes: &[&RouteOutcomes]) -> Option<Verdict> {
    let reasons = [HaltReason::Failures, HaltReason::SlowFirst, HaltReason::SlowWhole];
    reasons.into_iter().find_map(|reason| {
        let by_route: Vec<VerdictFigures> =
            routes.iter().map(|route| compare(settings, reason, route)).collect();
        let all = by_route.iter().fold(VerdictFigures::default(), |all, route| VerdictFigures {
            new_bad: all.new_bad.saturating_add(route.new_bad),
            new_total: all.new_total.saturating_add(route.new_total),
            old_bad: all.old_bad.saturating_add(route.old_bad),
            old_total: all.old_total.saturating_add(route.old_total),
            ..all
        });
        by_route.into_iter().chain(std::iter::once(all)).find_map(|figures| {
            let chance = chance(settings, &figures);
            let is_bad = figures.new_bad >= settings.min_bad && chance < settings.chance_bound;
            let figures = VerdictFigures { chance, ..figures };
            is_bad.then_some(Verdict::Halt { reason, figures })
        })
    })
}

/// Returns the bad responses of a route on both sides.
fn compare(
    settings: &RolloutSettings,
    reason: HaltReason,
    route: &RouteOutcomes,
) -> VerdictFigures {
    let (old, new) = (&route.old, &route.new);
    let (old_times, new_times) = match reason {
        HaltReason::SlowFirst => (&old.first, &new.first),
        HaltReason::SlowWhole => (&old.whole, &new.whole),
        HaltReason::Failures | HaltReason::Expired => {
            return VerdictFigures {
                route: Some(route.route),
                new_bad: new.failures,
                new_total: new.responses,
                old_bad: old.failures,
                old_total: old.responses,
                chance: 1.0,
            };
        }
    };
    let (old_total, new_total) = (total(old_times), total(new_times));
    if old_total < settings.min_timed {
        return VerdictFigures {
            route: Some(route.route),
            chance: 1.0,
            ..VerdictFigures::default()
        };
    }
    let usual = quantile(old_times, USUAL_FRACTION) * settings.slow_factor;
    let limit = usual.max(settings.slow_floor.as_secs_f64() * 1000.0);
    VerdictFigures {
        route: Some(route.route),
        new_bad: above(new_times, limit).floor() as u32,
        new_total,
        old_bad: above(old_times, limit).ceil() as u32,
        old_total,
        chance: 1.0,
    }
}

/// Returns the probability of the new version's bad responses at the old version's rate and the
/// margin. The old rate is estimated as if one response had failed and one had not, so that few old
/// responses do not count as a rate of 0.
fn chance(settings: &RolloutSettings, figures: &VerdictFigures) -> f64 {
    let old_total = f64::from(figures.old_total) + 2.0;
    let old_rate = (f64::from(figures.old_bad) + 1.0) / old_total;
    let deviation = (old_rate * (1.0 - old_rate) / old_total).sqrt();
    let rate = old_rate + settings.rate_deviations * deviation + settings.rate_margin;
    tail_probability(figures.new_bad, figures.new_total, rate)
}
