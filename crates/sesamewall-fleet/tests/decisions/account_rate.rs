//! Tests of the rate limit of an account over instances that report their usage to each other.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::proptest;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sesamewall_fleet::AccountRates;
use sesamewall_fleet::AccountUsage;
use sesamewall_fleet::RateSettings;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::InstanceName;

use crate::support::at;
use crate::support::catalog;

const INSTANCES: usize = 4;
const STEP_MS: u64 = 5;
const WINDOW_MS: u64 = 5000;

struct Front {
    rates: AccountRates,
    boot_id: u64,
    /// Reports in flight: arrival, sender, boot id, report.
    inbox: VecDeque<(u64, usize, u64, Vec<AccountUsage>)>,
    /// Other instances from which a report was received since the start.
    received: BTreeSet<usize>,
    /// Requests that wait for the level of the bucket.
    held: usize,
}

struct Run {
    admitted: Vec<u64>,
    requested: u64,
}

/// What happens to the fleet besides the traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Two halves of the fleet are cut off from each other between two times.
    Split(u64, u64),
    /// All processes are killed and restart 500 ms later.
    KillAll(u64),
    /// One process is killed and restarts 500 ms later.
    KillOne(u64),
}

fn front(full: bool, now: u64) -> AccountRates {
    let mut rates = AccountRates::new(RateSettings::default());
    rates.configure(&catalog(40.0, 40.0), full, at(now));
    rates
}

/// Simulates `per_second` requests a second at random instances. Reports take up to 20 ms.
fn simulate(seed: u64, per_second: f64, length_ms: u64, fault: Fault) -> Run {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let account = AccountName::from("acme");
    let names: Vec<_> = (0..INSTANCES).map(|n| InstanceName::from(format!("f{n}"))).collect();
    let mut fronts: Vec<Front> = (0..INSTANCES)
        .map(|_| Front {
            rates: front(true, 0),
            boot_id: 1,
            inbox: VecDeque::new(),
            received: BTreeSet::new(),
            held: 0,
        })
        .collect();
    let mut run = Run { admitted: Vec::new(), requested: 0 };
    for now in (0..length_ms).step_by(STEP_MS as usize) {
        let is_down = |n: usize| match fault {
            Fault::KillAll(from) => (from..from + 500).contains(&now),
            Fault::KillOne(from) => n == 0 && (from..from + 500).contains(&now),
            _ => false,
        };
        let is_split = |a: usize, b: usize| match fault {
            Fault::Split(from, to) => (from..to).contains(&now) && (a < 2) != (b < 2),
            _ => false,
        };
        let coverage = |n: usize| {
            let live =
                (0..INSTANCES).filter(|other| !is_split(n, *other) && !is_down(*other)).count();
            live as f64 / INSTANCES as f64
        };
        for (n, local) in fronts.iter_mut().enumerate() {
            let restarted = match fault {
                Fault::KillAll(from) => now == from + 500,
                Fault::KillOne(from) => n == 0 && now == from + 500,
                _ => false,
            };
            if restarted {
                local.rates = front(false, now);
                local.boot_id += 1;
                local.inbox.clear();
                local.received.clear();
            }
            while let Some((due, from, boot_id, report)) = local.inbox.front().cloned() {
                if due > now {
                    break;
                }
                local.inbox.pop_front();
                local.rates.on_hub_beacon(&names[from], boot_id, &report, coverage(n), at(now));
                local.received.insert(from);
                if local.received.len() == INSTANCES - 1 {
                    local.rates.assume_levels(at(now));
                }
            }
            while local.held > 0 && local.rates.unknown_until(&account, at(now)).is_none() {
                local.held -= 1;
                if local.rates.take(&account, coverage(n), at(now)).is_ok() {
                    run.admitted.push(now);
                }
            }
        }
        if rng.random_bool((per_second * STEP_MS as f64 / 1000.0).min(1.0)) {
            let n = rng.random_range(0..INSTANCES);
            if !is_down(n) {
                run.requested += 1;
                if fronts[n].rates.unknown_until(&account, at(now)).is_some() {
                    fronts[n].held += 1;
                } else if fronts[n].rates.take(&account, coverage(n), at(now)).is_ok() {
                    run.admitted.push(now);
                }
            }
        }
        for n in (0..INSTANCES).filter(|n| !is_down(*n)) {
            let (boot_id, report) =
                (fronts[n].boot_id, fronts[n].rates.group_usage(now / STEP_MS, at(now)));
            for other in (0..INSTANCES).filter(|other| *other != n && !is_split(n, *other)) {
                if !rng.random_bool(0.05) {
                    let due = now + rng.random_range(1..20);
                    fronts[other].inbox.push_back((due, n, boot_id, report.clone()));
                }
            }
        }
    }
    run
}

/// Returns the most admitted requests in any window.
fn max_in_window(admitted: &[u64]) -> usize {
    let in_window = |from: u64| {
        let window = from..from + WINDOW_MS;
        admitted.iter().filter(|t| window.contains(t)).count()
    };
    admitted.iter().map(|from| in_window(*from)).max().unwrap_or_default()
}

/// The platform's limit: rate over the window and burst, a tenth more, and twenty requests.
const LIMIT: usize = ((40 * 5 + 40) * 11) / 10 + 20;

/// Guards against an account that gets more than its rate and burst, also while the fleet is split,
/// restarts at once, or loses one process.
#[test]
fn the_limit_holds_under_faults() {
    let faults = [
        Fault::None,
        Fault::Split(4000, 9000),
        Fault::Split(3000, 4200),
        Fault::KillAll(4000),
        Fault::KillAll(9000),
        Fault::KillOne(5000),
    ];
    for fault in faults {
        for seed in 0..20 {
            let run = simulate(seed, 180.0, 15_000, fault);
            let most = max_in_window(&run.admitted);
            assert!(most <= LIMIT, "{fault:?} seed {seed}: {most} in a window, limit {LIMIT}");
        }
    }
}

/// Guards against refusals of requests within the rate when all instances are live.
#[test]
fn requests_within_the_rate_are_admitted() {
    for seed in 0..20 {
        let run = simulate(seed, 30.0, 15_000, Fault::None);
        assert_eq!(run.admitted.len() as u64, run.requested, "seed {seed}");
    }
}

/// Guards against refusals after all instances restarted: traffic at three quarters of the rate is
/// served again as soon as the instances have received from each other.
#[test]
fn requests_are_admitted_after_a_full_restart() {
    for seed in 0..20 {
        let run = simulate(seed, 30.0, 15_000, Fault::KillAll(5000));
        assert_eq!(run.admitted.len() as u64, run.requested, "seed {seed}");
    }
}

/// Guards against a refusal without a usable retry time.
#[test]
fn a_refusal_returns_the_time_of_the_next_token() {
    let mut rates = front(true, 0);
    let account = AccountName::from("acme");
    for _ in 0..40 {
        rates.take(&account, 1.0, at(0)).expect("within the burst");
    }
    let wait = rates.take(&account, 1.0, at(0)).expect_err("the bucket is empty");
    assert!(wait <= Duration::from_millis(26), "{wait:?}");
    rates.take(&account, 1.0, at(0) + wait).expect("a token has come");
}

/// Simulates `per_second` requests a second at the members of three hubs: reports every 10 ms,
/// digests and beacons every 40 ms. Member 0 has no assigned hub from 5 to 7 s, and hub 0 restarts
/// at 9 s.
fn simulate_groups(seed: u64, per_second: f64, length_ms: u64) -> Run {
    const HUBS: usize = 3;
    const MEMBERS: usize = 9;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let account = AccountName::from("acme");
    let hub_names: Vec<_> = (0..HUBS).map(|n| InstanceName::from(format!("h{n}"))).collect();
    let names: Vec<_> = (0..MEMBERS).map(|n| InstanceName::from(format!("m{n}"))).collect();
    let mut hubs: Vec<AccountRates> = (0..HUBS).map(|_| front(true, 0)).collect();
    let mut boot_ids = [1u64; HUBS];
    let mut members: Vec<AccountRates> = (0..MEMBERS).map(|_| front(true, 0)).collect();
    let mut run = Run { admitted: Vec::new(), requested: 0 };
    for now in (0..length_ms).step_by(STEP_MS as usize) {
        let (time, sequence) = (at(now), 1 + now / STEP_MS);
        let is_cut = |member: usize| member == 0 && (5000..7000).contains(&now);
        if now == 9000 {
            hubs[0] = front(false, now);
            boot_ids[0] += 1;
        }
        for (n, member) in members.iter_mut().enumerate().filter(|(n, _)| !is_cut(*n)) {
            let report = member.local_usage(sequence, time);
            if now % 10 == 0 {
                hubs[n % HUBS].on_member_report(&names[n], 1, &report, time);
            }
            if now % 40 == 0 {
                let (known, low_accounts) = hubs[n % HUBS].low_accounts(1.0, time);
                member.on_digest(sequence, known, &low_accounts, 1.0, time);
            }
        }
        if now % 40 == 20 {
            let reports: Vec<_> = hubs.iter().map(|hub| hub.group_usage(sequence, time)).collect();
            for (to, hub) in hubs.iter_mut().enumerate() {
                for from in (0..HUBS).filter(|from| *from != to) {
                    hub.on_hub_beacon(&hub_names[from], boot_ids[from], &reports[from], 1.0, time);
                }
            }
        }
        if rng.random_bool((per_second * STEP_MS as f64 / 1000.0).min(1.0)) {
            run.requested += 1;
            let n = rng.random_range(0..MEMBERS);
            let coverage = if is_cut(n) { 1.0 / MEMBERS as f64 } else { 1.0 };
            if members[n].take(&account, coverage, time).is_ok() {
                run.admitted.push(now);
            }
        }
    }
    run
}

/// Guards against an account that gets more than its rate and burst through the members of several hubs,
/// and against refusals within the rate there.
#[test]
fn the_limit_holds_over_hubs_and_members() {
    for seed in 0..20 {
        let most = max_in_window(&simulate_groups(seed, 180.0, 15_000).admitted);
        assert!(most <= LIMIT, "seed {seed}: {most} in a window, limit {LIMIT}");
        assert!(most >= 40 * 5, "seed {seed}: {most} in a window: less than the rate");
        let run = simulate_groups(seed, 25.0, 15_000);
        assert_eq!(run.admitted.len() as u64, run.requested, "seed {seed}");
    }
}

/// Guards against tokens that are lost when a request that no target ran returns its token.
#[test]
fn a_refunded_token_is_not_counted() {
    let account = AccountName::from("acme");
    let (mut hub, mut other, mut member) = (front(true, 0), front(true, 0), front(true, 0));
    let (name, local) = (InstanceName::from("m1"), InstanceName::from("h1"));
    for step in 1..200u64 {
        let now = at(step);
        member.take(&account, 1.0, now).expect("the bucket is full but for one token");
        hub.on_member_report(&name, 1, &member.local_usage(2 * step, now), now);
        other.on_hub_beacon(&local, 1, &hub.group_usage(step, now), 1.0, now);
        member.refund(&account, now);
        hub.on_member_report(&name, 1, &member.local_usage(2 * step + 1, now), now);
        other.on_hub_beacon(&local, 1, &hub.group_usage(step, now), 1.0, now);
    }
    for rates in [&hub, &other, &member] {
        assert!(
            rates.level(&account).is_some_and(|level| level > 39.0),
            "{:?}",
            rates.level(&account)
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Guards against two halves of a split fleet that together exceed the limit.
    #[test]
    fn split_fleets_stay_within_the_limit(seed in any::<u64>(), from in 1000u64..6000, len in 800u64..6000) {
        let run = simulate(seed, 200.0, 14_000, Fault::Split(from, from + len));
        assert!(max_in_window(&run.admitted) <= LIMIT);
    }
}
