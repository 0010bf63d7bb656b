//! Tests of rate and burst under faults, and of the checks themselves: they must detect each
//! mechanism that is disabled.

use std::time::Duration;

use proptest::prelude::ProptestConfig;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use sesamewall_bench::rate_simulation::DisabledMechanism;
use sesamewall_bench::rate_simulation::History;
use sesamewall_bench::rate_simulation::Network;
use sesamewall_bench::rate_simulation::RequestFate;
use sesamewall_bench::rate_simulation::Simulation;
use sesamewall_bench::rate_simulation::Step;
use sesamewall_bench::rate_simulation::Violation;
use sesamewall_bench::rate_simulation::simulate;
use sesamewall_bench::rate_simulation::violations;
use sesamewall_bench::wrongful_refusals::random_faults;
use sesamewall_protocol::Time;
use sesamewall_rate::HolderSettings;
use sesamewall_rate::Limits;

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, rng_seed: RngSeed::Fixed(7),
        failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against admissions above rate x time + burst in any window, with lost, duplicated and
    /// reordered messages, pauses, lost leads, partitions and lowered limits.
    #[test]
    fn rate_and_burst_hold(seed in 1_000_000u64..2_000_000) {
        let (history, found) = random_faults(seed, DisabledMechanism::None);
        prop_assert_eq!(found, vec![], "seed {}", seed);
        prop_assert_eq!(&history.floor_violations, &vec![], "seed {}", seed);
    }
}

/// Returns the violations in a fleet with 3 failure domains whose holders keep many tokens. From
/// the start of a burst, one request arrives per millisecond and instance.
fn scenario(
    mechanism: DisabledMechanism,
    faults: &[(u64, Step)],
    bursts: &[(u64, u64)],
) -> Vec<Violation> {
    let limits = vec![Limits { rate: 100_000_000, burst: 3_000_000, revision: 1 }];
    let holder = HolderSettings {
        idle_timeout: Duration::from_secs(60),
        prefetch_divisor: 1,
        ..HolderSettings::default()
    };
    let mut steps: Vec<_> =
        faults.iter().map(|(at, step)| (Time::from_millis(*at), step.clone())).collect();
    // Instance 5 has steady traffic, so it holds prefetched tokens.
    let steady =
        |i: u64| (Time::from_millis(40_000 + i * 10), Step::Request { account: 0, instance: 5 });
    steps.extend((0..500).map(steady));
    for (from, count) in bursts {
        for i in 0..*count {
            let at = Time::from_millis(from + i / 6);
            steps.push((at, Step::Request { account: 0, instance: (i % 6) as usize }));
        }
    }
    let simulation = Simulation {
        domains: 3,
        instances: 6,
        limits: limits.clone(),
        holder,
        network: Network::default(),
        latency: Duration::from_millis(1),
        disabled: mechanism,
        seed: 1,
    };
    let history = simulate(simulation, steps, Time::from_millis(100_000));
    violations(&history, &limits, 6)
}

fn assert_detected(mechanism: DisabledMechanism, faults: &[(u64, Step)], bursts: &[(u64, u64)]) {
    let baseline = scenario(DisabledMechanism::None, faults, bursts);
    assert!(baseline.is_empty(), "{:?}", baseline.first());
    let found = scenario(mechanism, faults, bursts);
    println!("{mechanism:?}: {} breaches, first {:?}", found.len(), found.first());
    assert!(!found.is_empty(), "the check does not detect {mechanism:?}");
}

/// Shows that use of expired tokens is detected: while instance 5 is paused, its tokens expire
/// at the lead and are granted again.
#[test]
fn check_detects_ignored_expiry() {
    let pause = Step::Pause(5, Duration::from_millis(20_000));
    assert_detected(DisabledMechanism::Expiry, &[(45_000, pause)], &[(64_900, 6_000)]);
}

/// Shows that tokens credited twice are detected.
#[test]
fn check_detects_double_credit() {
    assert_detected(DisabledMechanism::Counters, &[], &[(50_000, 6_000)]);
}

/// Shows that a new lead that starts with full buckets is detected.
#[test]
fn check_detects_early_takeover() {
    assert_detected(
        DisabledMechanism::Takeover,
        &[(51_200, Step::Kill(0))],
        &[(50_000, 6_000), (54_800, 6_000)],
    );
}

/// Shows that a former lead that continues to grant is detected.
#[test]
fn check_detects_ignored_lead_lease() {
    let pause = Step::Pause(0, Duration::from_millis(5_000));
    assert_detected(DisabledMechanism::LeadLease, &[(46_000, pause)], &[(95_000, 6_000)]);
}

/// Shows that a floor in force at two leads is detected.
#[test]
fn check_detects_ignored_floor_lease() {
    let doubled = |seed| random_faults(seed, DisabledMechanism::FloorLease).0.floor_violations;
    let found = (0..20).map(doubled).find(|found| !found.is_empty());
    println!("FloorLease: first {:?}", found.as_ref().map(|found| found[0]));
    assert!(found.is_some());
}

/// Shows that the recurrence of the checker gives the same result as a comparison of all pairs of
/// times.
#[test]
fn recurrence_matches_all_pairs() {
    let limits = Limits { rate: 1_000_000, burst: 2_000, revision: 1 };
    let millis = [0, 100, 1_000, 1_900, 3_500, 3_600, 3_700, 6_000, 6_100, 6_200];
    for count in 1..=millis.len() {
        let request = |at: &u64| {
            (
                Time::from_millis(*at),
                0,
                RequestFate::Admitted(Time::from_millis(*at), Duration::ZERO),
            )
        };
        let requests: Vec<_> = millis[..count].iter().map(request).collect();
        let history = History { requests, ..History::default() };
        let last = count - 1;
        let over = (0..count)
            .any(|first| (last - first + 1) as u64 * 1000 > millis[last] - millis[first] + 2_000);
        let found = violations(&history, &[limits], 1);
        let at_last = found.iter().any(|violation| violation.at == Time::from_millis(millis[last]));
        assert_eq!(at_last, over, "prefix of {count}");
    }
}
