//! Starts at cold targets by many instances that do not know of each other's starts yet.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sesamewall_fleet::Beacon;
use sesamewall_fleet::Datagram;
use sesamewall_fleet::DomainFronts;
use sesamewall_fleet::FrontList;
use sesamewall_fleet::Peers;
use sesamewall_fleet::PlacementContext;
use sesamewall_fleet::PlacementRequest;
use sesamewall_fleet::PlacementSettings;
use sesamewall_fleet::StartLimits;
use sesamewall_fleet::TargetEntry;
use sesamewall_fleet::TargetTable;
use sesamewall_fleet::place;
use sesamewall_protocol::DomainName;

use crate::support::at;
use crate::support::beacon;
use crate::support::entry;
use crate::support::hub;
use crate::support::member;
use crate::support::report;

/// Factor and extra requests within which the users count what a cold target gets in a second.
const COUNTED: (f64, f64) = (1.5, 5.0);

/// Time between two beacons of an instance in milliseconds.
const BEACON_INTERVAL: u64 = 20;

/// Time for which a request holds its slot in milliseconds.
const SERVICE_TIME: u64 = 300;

/// Length of a play in milliseconds.
const LENGTH: u64 = 2500;

/// A failure domain whose targets are all cold, and the load on its instances.
#[derive(Clone, Copy, Debug)]
struct Play {
    /// Instances, all of them hubs.
    instances: usize,
    targets: usize,
    /// Starts a second that a cold target sustains.
    rate: f64,
    /// Time that a beacon takes in milliseconds.
    delay: u64,
    /// Requests a second at each instance, in the first part of each 500 ms.
    load: f64,
    /// Length of that part in milliseconds.
    burst: u64,
    seed: u64,
}

/// What a play has shown.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    /// Most starts at one target within a second.
    most: usize,
    served: usize,
    refused: usize,
}

fn name(n: usize) -> String {
    format!("h{n}")
}

/// Returns the start limits of an instance that knows the whole fleet to be live.
fn limits(rate: f64) -> StartLimits {
    let (factor, extra) = COUNTED;
    StartLimits::new(rate, factor, extra, 1.0)
}

fn choose(
    peers: &Peers,
    table: &TargetTable,
    rate: f64,
    staleness: u64,
    draw: u64,
    now: u64,
) -> Option<u32> {
    let domain = DomainName::from("a");
    let request = PlacementRequest {
        service: "chat",
        regions: None,
        domain: &domain,
        prefix: None,
        exclude: &[],
        among: None,
        reserved_slots: None,
        versions: None,
    };
    let regions = HashMap::new();
    let context = PlacementContext {
        table,
        peers,
        regions: &regions,
        start_limits: limits(rate),
        coverage: 1.0,
        now: at(now),
        staleness: Duration::from_millis(staleness),
        draw,
        flow: None,
    };
    place(&PlacementSettings::default(), &request, &context).ok().map(|target| target.key)
}

/// Returns a table in which all targets are cold for the whole play.
fn cold_table(targets: usize) -> TargetTable {
    let mut table = TargetTable::default();
    for n in 0..targets {
        let cold = Duration::from_secs(10);
        table.upsert(TargetEntry { cold, ..entry(&format!("t{n}"), "a") }, 1, at(0));
    }
    table
}

/// Returns the most entries of `starts` within a second.
fn most_in_second(starts: &[u64]) -> usize {
    let within =
        |first: &u64| starts.iter().filter(|s| (*first..*first + 1000).contains(s)).count();
    starts.iter().map(within).max().unwrap_or_default()
}

impl Play {
    /// Plays instances that have just started: each knows of the others, and of no start.
    fn run(&self) -> Outcome {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let table = cold_table(self.targets);
        let mut hubs: Vec<Peers> = (0..self.instances).map(|n| hub(&name(n))).collect();
        for (n, hub) in hubs.iter_mut().enumerate() {
            let count = self.instances as u32;
            hub.on_fleet_size(count, count);
            hub.on_domain_size(count);
            for other in (0..self.instances).filter(|other| *other != n) {
                hub.on_beacon(beacon(&name(other), 1), true, at(0));
            }
        }
        let mut under_way: VecDeque<(u64, usize, Beacon)> = VecDeque::new();
        let mut running: Vec<(u64, usize, u32)> = Vec::new();
        let mut starts: HashMap<u32, Vec<u64>> = HashMap::new();
        let mut outcome = Outcome::default();
        for now in 0..LENGTH {
            let (ended, rest) = running.into_iter().partition(|(end, ..)| *end <= now);
            running = rest;
            let ended: Vec<(u64, usize, u32)> = ended;
            ended.into_iter().for_each(|(_, n, key)| hubs[n].end(key, false));
            while under_way.front().is_some_and(|(due, ..)| *due <= now) {
                let Some((_, from, sent)) = under_way.pop_front() else { break };
                for to in (0..self.instances).filter(|to| *to != from) {
                    if rng.random_bool(0.98) {
                        hubs[to].on_beacon(sent.clone(), true, at(now));
                    }
                }
            }
            for (n, hub) in hubs.iter_mut().enumerate() {
                if (now + n as u64).is_multiple_of(BEACON_INTERVAL) {
                    let state = hub.group_state(at(now));
                    let sequence = 2 + now / BEACON_INTERVAL;
                    let (targets, members) = (state.targets, state.members);
                    let sent = Beacon { targets, members, ..beacon(&name(n), sequence) };
                    under_way.push_back((now + self.delay, n, sent));
                }
                let loaded = now % 500 < self.burst;
                if !loaded || !rng.random_bool((self.load / 1000.0).min(1.0)) {
                    continue;
                }
                let age = self.delay + BEACON_INTERVAL;
                match choose(hub, &table, self.rate, age, rng.random(), now) {
                    Some(key) => {
                        hub.start(key, false, at(now));
                        running.push((now + SERVICE_TIME, n, key));
                        starts.entry(key).or_default().push(now);
                        outcome.served += 1;
                    }
                    None => outcome.refused += 1,
                }
            }
        }
        outcome.most = starts.values().map(|starts| most_in_second(starts)).max().unwrap_or(0);
        outcome
    }

    /// Returns how many starts in a second the users allow at a cold target.
    fn allowed(&self) -> usize {
        let (factor, extra) = COUNTED;
        (self.rate * factor + extra) as usize
    }
}

/// The traced case: 19 instances that have just started get their first requests within 30 ms.
const FIRST_REQUESTS: Play =
    Play { instances: 19, targets: 6, rate: 11.0, delay: 60, load: 130.0, burst: 40, seed: 1 };

/// Guards against a cold target that is flooded by instances that have just started and do not know
/// of each other's starts.
#[test]
fn first_requests_after_a_start_keep_the_limit_of_cold_targets() {
    for seed in 0..20 {
        let play = Play { seed, ..FIRST_REQUESTS };
        let outcome = play.run();
        assert!(outcome.most <= play.allowed(), "seed {seed}: {outcome:?}");
        assert!(outcome.served > 0, "seed {seed}: {outcome:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a limit that holds only as long as the counts of other instances are recent,
    /// for any number of instances and any load.
    #[test]
    fn late_counts_keep_the_limit_of_cold_targets(
        instances in 2_usize..40,
        targets in 1_usize..20,
        rate in 5.0_f64..20.0,
        delay in 5_u64..250,
        load in 1.0_f64..400.0,
        burst in 10_u64..500,
        seed: u64,
    ) {
        let play = Play { instances, targets, rate, delay, load, burst, seed };
        let outcome = play.run();
        prop_assert!(outcome.most <= play.allowed(), "{outcome:?}, allowed {}", play.allowed());
    }
}

/// Guards against a limit that keeps a cold failure domain from taking a calm load. Load: half of
/// what its targets sustain, evenly over the instances.
#[test]
fn a_calm_load_is_served_by_cold_targets() {
    for (instances, rate) in [(2, 17.0), (19, 11.0), (28, 6.9)] {
        let targets = 15;
        let load = 0.5 * rate * targets as f64 / instances as f64;
        let play = Play { instances, targets, rate, delay: 60, load, burst: 500, seed: 5 };
        let outcome = play.run();
        assert!(outcome.refused * 100 <= outcome.served, "{instances}: {outcome:?}");
    }
}

/// Returns the view that each of `count` fronts has of the others once all are listed.
fn all_listed(count: u32) -> Vec<DomainFronts> {
    let view = |local| {
        let mut fronts = DomainFronts::new(local);
        fronts.on_listed(0..count, at(0));
        fronts.on_size(count);
        fronts
    };
    (0..count).map(view).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against shares that together exceed the limit, and against a target that no front may
    /// use.
    #[test]
    fn shares_add_up_to_the_limit(count in 1_u32..120, limit in 1.0_f64..60.0, target: u32) {
        let sum: u32 = all_listed(count).iter().map(|fronts| fronts.share(target, limit)).sum();
        prop_assert!(f64::from(sum) <= limit, "{sum}");
        prop_assert!(sum > 0);
    }
}

/// Guards against fronts that have just started and know few of the others: those of one hub know the
/// same ones, and the shares that they take for themselves add up.
#[test]
fn fronts_that_know_few_others_stay_within_the_limit() {
    for (count, limit) in [(19, 21.5), (21, 21.5), (28, 15.35)] {
        for (hubs, known) in (1..4).flat_map(|hubs| (0..=count).map(move |known| (hubs, known))) {
            for target in 0..100 {
                let share = |local: u32| {
                    let mut fronts = DomainFronts::new(local);
                    fronts.on_size(count);
                    let group = (0..count).filter(|key| key % hubs == local % hubs);
                    fronts.on_listed(group.take(known as usize), at(0));
                    fronts.share(target, limit)
                };
                let sum: u32 = (0..count).map(share).sum();
                assert!(f64::from(sum) <= limit, "{count} fronts, {hubs} hubs, {known}: {sum}");
            }
        }
    }
}

/// Guards against a front that takes the whole limit, since it knows neither the others nor their
/// number, and against a size that is no longer true.
#[test]
fn the_size_counts_until_the_fronts_are_listed() {
    let mut fronts = DomainFronts::new(1);
    assert_eq!(fronts.share(7, 21.0), 1, "the size is not known");
    fronts.on_size(19);
    assert_eq!(fronts.share(7, 21.0), 1);
    fronts.on_size(28);
    assert_eq!(fronts.share(7, 21.0), 0, "it may not be among the first");
    fronts.on_size(10);
    assert_eq!(fronts.share(7, 21.0), 2);
}

/// Guards against a front that is cut off and keeps its share, while the others divide it among
/// themselves.
#[test]
fn a_silent_front_keeps_its_share() {
    let mut hub = hub("h0");
    hub.on_domain_size(5);
    let names = |count: usize| (0..count).map(|n| report(&format!("m{n}"), 1, &[]));
    assert!(names(9).all(|report| hub.on_report(report, at(0))));
    let starts = |hub: &Peers, now: u64| {
        let mut hub = hub.clone();
        let mut count = 0;
        while !hub.has_used_share(7, 21.0, at(now)) {
            hub.start(7, false, at(now));
            count += 1;
        }
        count
    };
    assert_eq!(starts(&hub, 0), 2);
    hub.on_tick(|_| true, at(40_000));
    assert_eq!(starts(&hub, 40_000), 2);
    hub.on_tick(|_| true, at(61_000));
    assert_eq!(starts(&hub, 61_000), 4);
}

/// Guards against members that do not learn of the other fronts or their number, against a list of
/// another failure domain, and against one that an instance of the same build cannot read.
#[test]
fn members_learn_of_the_fronts_from_their_hub() {
    let mut hub = hub("h0");
    hub.on_domain_size(20);
    for n in 1..20 {
        hub.on_report(report(&format!("m{n}"), 1, &[]), at(0));
    }
    let sent = Datagram::FrontList(hub.front_list());
    let Some(Datagram::FrontList(list)) = Datagram::decode(&sent.encode()) else {
        panic!("the list cannot be read");
    };
    let mut member = member("m1");
    member.on_domain_size(1);
    member.start(7, false, at(10));
    assert!(!member.has_used_share(7, 21.0, at(11)), "no other front is known");
    member.on_front_list(&FrontList { domain: list.domain + 1, ..list.clone() }, at(12));
    assert!(!member.has_used_share(7, 21.0, at(12)), "the list is of another domain");
    member.on_front_list(&list, at(12));
    assert!(member.has_used_share(7, 21.0, at(13)));
    assert!(member.has_used_share(7, 21.0, at(1109)), "a request may be sent later than chosen");
    assert!(!member.has_used_share(7, 21.0, at(1110)), "a later second has a share of its own");
}
