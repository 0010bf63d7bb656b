//! Guards against a burst of store calls when an outage ends.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sesamewall_membership::BudgetSettings;
use sesamewall_membership::CallKind;
use sesamewall_membership::Priority;
use sesamewall_membership::StoreBudget;
use sesamewall_protocol::Time;

const FLEET: usize = 380;
const DOMAINS: usize = 7;
const OUTAGE_MS: (u64, u64) = (20_000, 40_000);
const END_MS: u64 = 100_000;

/// Returns the maximum of writes and the maximum of reads that reach the store in any second after
/// the outage, and the writes of the last second, when every process calls as often as its budget
/// allows.
fn peak_calls(slow_start: bool, seed: u64) -> (usize, usize, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let settings = BudgetSettings { slow_start, ..BudgetSettings::default() };
    let mut fleet: Vec<StoreBudget> =
        (0..FLEET).map(|_| StoreBudget::new(settings.clone(), Time::ZERO, &mut rng)).collect();
    fleet.iter_mut().for_each(|budget| budget.set_fleet_size(FLEET, DOMAINS));
    let mut calls = [Vec::new(), Vec::new()];
    for ms in (0..END_MS).step_by(20) {
        let now = Time::from_millis(ms);
        let down = (OUTAGE_MS.0..OUTAGE_MS.1).contains(&ms);
        for (number, budget) in fleet.iter_mut().enumerate() {
            let lead = number < DOMAINS;
            let kinds = [CallKind::Write, CallKind::Read];
            for (kind, list) in kinds.into_iter().zip(&mut calls) {
                for priority in [Priority::LeadRenewal, Priority::Normal] {
                    let renewal = priority == Priority::LeadRenewal;
                    if (renewal && !lead) || budget.start_call(now, kind, priority).is_err() {
                        continue;
                    }
                    match down {
                        true => budget.on_failure(now, &mut rng),
                        false => budget.on_success(now),
                    }
                    if ms >= OUTAGE_MS.1 {
                        list.push(ms);
                    }
                }
            }
        }
    }
    let most = |list: &Vec<u64>| {
        let within =
            |from: &u64| list.iter().filter(|ms| (*from..*from + 1_000).contains(ms)).count();
        (OUTAGE_MS.1..END_MS).step_by(100).map(|from| within(&from)).max().unwrap()
    };
    let last = calls[0].iter().filter(|ms| **ms >= END_MS - 1_000).count();
    (most(&calls[0]), most(&calls[1]), last)
}

#[test]
fn fleet_stays_within_the_store_rates_after_an_outage() {
    for seed in 0..4 {
        let (writes, reads, last) = peak_calls(true, seed);
        println!("seed {seed}: busiest second {writes} writes, {reads} reads; last {last} writes");
        assert!(writes <= 300 && reads <= 1_500, "{writes} writes, {reads} reads in a second");
        assert!(last > 150, "the slow start must end at the share, last second had {last} writes");
    }
}

#[test]
fn checker_reports_a_burst_without_slow_start() {
    let (writes, ..) = peak_calls(false, 1);
    assert!(writes > 300, "{writes} writes");
}

#[test]
fn renewals_go_before_other_calls() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut budget = StoreBudget::new(BudgetSettings::default(), Time::ZERO, &mut rng);
    budget.set_fleet_size(FLEET, DOMAINS);
    for second in 1..60 {
        let now = Time::from_millis(second * 1_000);
        while budget.start_call(now, CallKind::Write, Priority::Normal).is_ok() {}
        budget.start_call(now, CallKind::Write, Priority::LeadRenewal).unwrap();
    }
}
