//! Guards against affinity that overloads a target, and against the use of outdated cache hints.

use std::collections::BTreeMap;

use sesamewall_protocol::TargetName;
use sesamewall_protocol::peer::CacheHint;
use sesamewall_schedule::CacheHints;
use sesamewall_schedule::Candidate;
use sesamewall_schedule::RouteSettings;
use sesamewall_schedule::choose;

/// Returns the ratio of the largest work to the mean work when all requests share one prefix.
fn imbalance(settings: &RouteSettings) -> f64 {
    let names: Vec<_> = (0..4).map(|index| TargetName::from(format!("t{index}"))).collect();
    let mut work = vec![0_u64; 4];
    for _ in 0..400 {
        let candidates: Vec<_> =
            names.iter().zip(&work).map(|(name, work)| Candidate { name, work: *work }).collect();
        let mean = work.iter().sum::<u64>() as f64 / 4.0;
        let prefix = vec![7; 1000];
        let hints = CacheHints::default();
        let choice = choose(settings, &candidates, mean, 20_000, &prefix, &hints).unwrap();
        work[choice.index] += 20_000;
    }
    let mean = work.iter().sum::<u64>() as f64 / 4.0;
    *work.iter().max().unwrap() as f64 / mean
}

#[test]
fn affinity_keeps_the_load_bound() {
    assert!(imbalance(&RouteSettings::default()) <= 1.3);
    let unbounded = RouteSettings {
        load_bound: f64::MAX,
        rendezvous_fraction: 1000.0,
        ..RouteSettings::default()
    };
    assert!(imbalance(&unbounded) >= imbalance(&RouteSettings::default()));
}

#[test]
fn same_prefix_goes_to_the_same_target() {
    let names: Vec<_> = (0..4).map(|index| TargetName::from(format!("t{index}"))).collect();
    let mut chosen = BTreeMap::new();
    for prefix in 0..200_u64 {
        let candidates: Vec<_> = names.iter().map(|name| Candidate { name, work: 0 }).collect();
        let hints = CacheHints::default();
        let settings = RouteSettings::default();
        let choice = choose(&settings, &candidates, 0.0, 100, &[prefix], &hints).unwrap();
        let again = choose(&settings, &candidates, 0.0, 100, &[prefix], &hints).unwrap();
        assert_eq!(choice, again);
        *chosen.entry(choice.index).or_insert(0) += 1;
    }
    assert!(chosen.len() == 4 && chosen.values().all(|count| *count > 25), "{chosen:?}");
}

#[test]
fn hints_with_gaps_are_dropped() {
    let target = TargetName::from("t0");
    let hint = |sequence, added: &[u64]| CacheHint {
        target: target.clone(),
        sequence,
        added: added.to_vec(),
        removed: Vec::new(),
    };
    let mut hints = CacheHints::default();
    hints.on_hint(&hint(1, &[1, 2]));
    hints.on_hint(&hint(2, &[3]));
    assert_eq!(hints.matching(&target, &[1, 2, 3, 4]), 3);
    hints.on_hint(&hint(1, &[4]));
    assert_eq!(hints.matching(&target, &[1, 2, 3, 4]), 3, "an old hint must not count");
    hints.on_hint(&hint(5, &[1]));
    assert_eq!(hints.matching(&target, &[1, 2, 3, 4]), 1, "blocks before a gap are unknown");
}
