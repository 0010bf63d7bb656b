//! Guards against the ejection of too many targets of a failure domain, and against targets that
//! never return.

use std::collections::BTreeMap;

use proptest::prop_assert;
use proptest::proptest;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use sesamewall_schedule::Ejection;
use sesamewall_schedule::EjectionSettings;

fn names(count: usize) -> Vec<TargetName> {
    (0..count).map(|index| TargetName::from(format!("t{index}"))).collect()
}

/// Returns the largest fraction of a model's targets that was ejected at the same time.
fn largest_fraction(settings: EjectionSettings, seed: u64) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut ejection = Ejection::new(settings);
    let mut worst = 0.0_f64;
    for step in 0..2000 {
        let now = Time::from_millis(step * 50);
        let all = names(1 + (step as usize / 400) % 5);
        let models = BTreeMap::from([("m", all.clone()), ("n", all[..1].to_vec())]);
        // The failing target changes, so that each target becomes an outlier in turn.
        let bad = (step as usize / 60) % all.len();
        let pick = rng.random_range(0..all.len());
        ejection.on_result(&all[pick], pick == bad || rng.random_bool(0.1), now);
        ejection.update(&models, now);
        for peers in models.values() {
            let out = peers.iter().filter(|target| ejection.is_ejected(target)).count();
            worst = worst.max(out as f64 / peers.len() as f64);
        }
    }
    worst
}

proptest! {
    #![proptest_config(crate::admission::config(40))]

    /// Guards the limit of half of a model's targets, also when targets are removed.
    #[test]
    fn at_most_half_is_ejected(seed: u64) {
        let worst = largest_fraction(EjectionSettings::default(), seed);
        prop_assert!(worst <= 0.5, "{worst}");
    }
}

#[test]
fn check_detects_missing_limit() {
    let settings = EjectionSettings { max_fraction: 1.0, ..EjectionSettings::default() };
    assert!((0..10).any(|seed| largest_fraction(settings.clone(), seed) > 0.5));
}

/// Guards against a failing target that stays in use, and against an ejected one that never
/// returns.
#[test]
fn outlier_is_ejected_and_returns() {
    let all = names(3);
    let models = BTreeMap::from([("m", all.clone())]);
    let mut ejection = Ejection::new(EjectionSettings::default());
    for step in 0..30 {
        ejection.on_result(&all[step % 3], step % 3 == 0, Time::from_millis(step as u64));
    }
    assert!(ejection.update(&models, Time::from_millis(100)).is_empty());
    assert!(ejection.is_ejected(&all[0]) && !ejection.is_ejected(&all[1]));
    assert_eq!(ejection.update(&models, Time::from_millis(5100)), vec![all[0].clone()]);
    assert!(!ejection.is_ejected(&all[0]));
}
