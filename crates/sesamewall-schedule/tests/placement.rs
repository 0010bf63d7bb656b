//! Tests the placement of models on targets.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sesamewall_protocol::ModelName;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use sesamewall_schedule::PlacedModel;
use sesamewall_schedule::PlacedTarget;
use sesamewall_schedule::Placement;
use sesamewall_schedule::PlacementSettings;

const STEP_SECONDS: u64 = 5;

type Plan = BTreeMap<TargetName, BTreeSet<ModelName>>;

fn at(seconds: u64) -> Time {
    Time::ZERO + Duration::from_secs(seconds)
}

fn targets(count: usize, lost: &[usize]) -> Vec<PlacedTarget> {
    let target = |number: usize| PlacedTarget {
        name: TargetName::from(format!("t{number}")),
        capacity: 2,
        live: !lost.contains(&number),
    };
    (0..count).map(target).collect()
}

fn model(name: &str, demand: f64) -> PlacedModel {
    PlacedModel { model: name.into(), demand, per_replica: 10.0, min_replicas: 1 }
}

fn replicas(plan: &Plan, model: &str) -> usize {
    plan.values().filter(|held| held.contains(&ModelName::from(model))).count()
}

/// Simulates an hour of demand that alternates between two values and returns the number of moves.
fn moves(settings: PlacementSettings, low: f64, high: f64, period: u64) -> u64 {
    let mut placement = Placement::new(settings);
    for seconds in (0..3600).step_by(STEP_SECONDS as usize) {
        let demand = if (seconds / period).is_multiple_of(2) { low } else { high };
        let plan = placement.plan(&[model("m", demand)], &targets(8, &[]), at(seconds));
        assert!(replicas(&plan, "m") >= 1);
    }
    placement.moves()
}

/// Returns the longest time in seconds for which a model had no replica on a live target while
/// targets are lost for 300 s each.
fn unserved(settings: PlacementSettings, losses: &[(usize, u64)]) -> u64 {
    let mut placement = Placement::new(settings);
    let (mut longest, mut since) = (0, 0);
    for seconds in (0..1200).step_by(STEP_SECONDS as usize) {
        let lost: Vec<usize> = losses
            .iter()
            .filter(|(_, from)| (*from..*from + 300).contains(&seconds))
            .map(|(number, _)| *number)
            .collect();
        let models = [model("m", 5.0), model("n", 25.0)];
        let plan = placement.plan(&models, &targets(6, &lost), at(seconds));
        let served = ["m", "n"].iter().all(|name| replicas(&plan, name) > 0);
        since = if served { seconds } else { since };
        longest = longest.max(seconds - since);
    }
    longest
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_26),
        ..ProptestConfig::default()
    })]

    /// Guards against thrashing. An hour has time for 30 cooldowns of two minutes, and a removal
    /// needs ten minutes of low demand, so there are at most six removals, as many additions, and
    /// the first eight replicas.
    #[test]
    fn few_moves_on_oscillation(low in 0.0..40.0_f64, high in 0.0..90.0_f64, period in 5..900_u64) {
        prop_assert!(moves(PlacementSettings::default(), low, high, period) <= 6 + 6 + 8);
    }

    /// Guards against models that stay without a replica after targets are lost.
    #[test]
    fn lost_replicas_are_replaced(losses in prop::collection::vec((0..6_usize, 0..900_u64), 0..4)) {
        let settings = PlacementSettings::default();
        let max_unserved = settings.lost_after.as_secs() + STEP_SECONDS;
        // Six targets with a capacity of two models each can hold both models after the loss of
        // four targets.
        prop_assert!(unserved(settings, &losses) <= max_unserved);
    }
}

/// Guards against checks that do not detect a missing mechanism.
#[test]
fn checks_detect_missing_mechanisms() {
    let disabled = PlacementSettings { hysteresis: false, ..PlacementSettings::default() };
    assert!(moves(disabled, 5.0, 25.0, 10) > 6 + 6 + 8);
    let disabled = PlacementSettings { replace: false, ..PlacementSettings::default() };
    assert!(unserved(disabled, &[(0, 100), (1, 150), (2, 200), (3, 250)]) > 15);
}

/// Guards against sustained demand that adds no replica, and against the removal of the last
/// replica.
#[test]
fn replicas_follow_sustained_demand() {
    let mut placement = Placement::new(PlacementSettings::default());
    let mut plan = |seconds: u64, demand: f64| {
        let plan = placement.plan(&[model("m", demand)], &targets(4, &[]), at(seconds));
        replicas(&plan, "m")
    };
    assert_eq!(plan(0, 35.0), 1);
    let held: Vec<usize> = (0..120).map(|step| plan(step * 10, 35.0)).collect();
    assert_eq!(held.last(), Some(&4));
    let held: Vec<usize> = (120..1_000).map(|step| plan(step * 10, 0.0)).collect();
    assert_eq!((held.first(), held.last()), (Some(&4), Some(&1)));
}
