//! Tests of the choice of a target for a request.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use sesamewall_fleet::Peers;
use sesamewall_fleet::Placement;
use sesamewall_fleet::PlacementContext;
use sesamewall_fleet::PlacementError;
use sesamewall_fleet::PlacementRequest;
use sesamewall_fleet::PlacementSettings;
use sesamewall_fleet::StartLimits;
use sesamewall_fleet::TargetCount;
use sesamewall_fleet::TargetEntry;
use sesamewall_fleet::TargetTable;
use sesamewall_fleet::place;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;

use crate::support::at;
use crate::support::count;
use crate::support::entry;
use crate::support::hub;
use crate::support::receive_counts;
use crate::support::table;

fn request(domain: &DomainName) -> PlacementRequest<'_> {
    PlacementRequest {
        service: "chat",
        regions: None,
        domain,
        prefix: None,
        exclude: &[],
        among: None,
        reserved_slots: None,
        versions: None,
    }
}

fn choose(
    request: &PlacementRequest<'_>,
    table: &TargetTable,
    peers: &Peers,
    now: Time,
) -> Result<Placement, PlacementError> {
    let regions = HashMap::new();
    let start_limits = StartLimits { cold: 17.0, warm: 17.0, ..StartLimits::default() };
    let staleness = Duration::from_millis(8);
    let context = PlacementContext {
        table,
        peers,
        regions: &regions,
        start_limits,
        coverage: 1.0,
        now,
        staleness,
        draw: 7,
        flow: None,
    };
    place(&PlacementSettings::default(), request, &context)
}

fn name(placement: Result<Placement, PlacementError>) -> String {
    placement.expect("a target has headroom").name.to_string()
}

/// Guards against requests that cross failure domains without need.
#[test]
fn the_local_failure_domain_comes_first() {
    let table = table(&[("t1", "a"), ("t2", "b")]);
    let domain = DomainName::from("b");
    let peers = hub("own");
    assert_eq!(name(choose(&request(&domain), &table, &peers, at(0))), "t2");
}

/// Guards against an overloaded failure domain: a full local target loses to a free one elsewhere.
#[test]
fn load_goes_before_the_failure_domain() {
    let table = table(&[("t1", "a"), ("t2", "b")]);
    let domain = DomainName::from("b");
    let mut peers = hub("own");
    receive_counts(&mut peers, "f1", 1, &[count("t2", 7, 0, 7)], at(0));
    assert_eq!(name(choose(&request(&domain), &table, &peers, at(1000))), "t1");
}

/// Guards against online requests that queue at one target although batch items can be preempted at
/// another.
#[test]
fn batch_is_preempted_before_online_requests_queue() {
    let table = table(&[("t1", "a"), ("t2", "a")]);
    let domain = DomainName::from("a");
    let mut peers = hub("own");
    let counts = [count("t1", 8, 0, 8), count("t2", 2, 6, 8)];
    receive_counts(&mut peers, "f1", 1, &counts, at(0));
    assert_eq!(name(choose(&request(&domain), &table, &peers, at(1000))), "t2");
}

/// Guards against requests that wait although they cannot start in time: the overload of a peak is
/// refused at once.
#[test]
fn a_full_fleet_refuses_at_once() {
    let table = table(&[("t1", "a"), ("t2", "b")]);
    let domain = DomainName::from("a");
    let mut peers = hub("own");
    let counts = [count("t1", 10, 0, 10), count("t2", 10, 0, 10)];
    receive_counts(&mut peers, "f1", 1, &counts, at(0));
    assert_eq!(choose(&request(&domain), &table, &peers, at(1000)), Err(PlacementError::Full));
}

/// Guards against batch items that take the last free slots.
#[test]
fn batch_leaves_slots_free() {
    let table = table(&[("t1", "a")]);
    let domain = DomainName::from("a");
    let mut peers = hub("own");
    receive_counts(&mut peers, "f1", 1, &[count("t1", 7, 0, 7)], at(0));
    let batch = PlacementRequest { reserved_slots: Some(1), ..request(&domain) };
    assert_eq!(choose(&batch, &table, &peers, at(1000)), Err(PlacementError::Full));
    assert_eq!(name(choose(&request(&domain), &table, &peers, at(1000))), "t1");
}

/// Guards against overload of a target that turned cold without notice: starts of all instances in
/// any second stay within its rate.
#[test]
fn starts_in_a_second_are_limited() {
    let table = table(&[("t1", "a")]);
    let domain = DomainName::from("a");
    let key = count("t1", 0, 0, 0).key;
    let mut peers = hub("own");
    let mut started = Vec::new();
    for millis in (0..4000).step_by(5) {
        // Another instance sends seven requests a second.
        if millis % 140 == 0 {
            let sent = 1 + millis as u32 / 140;
            receive_counts(&mut peers, "f1", 1 + millis, &[count("t1", 0, 0, sent)], at(millis));
            started.push(millis);
        }
        if choose(&request(&domain), &table, &peers, at(millis)).is_ok() {
            peers.start(key, false, at(millis));
            peers.end(key, false);
            started.push(millis);
        }
        peers.on_tick(|_| true, at(millis));
    }
    let window = |from: &u64| started.iter().filter(|t| (*from..*from + 1000).contains(t)).count();
    let most = started.iter().map(window).max().unwrap_or_default();
    // The platform's limit: one and a half times the rate and five more.
    assert!(most <= (17 * 3) / 2 + 5, "{most} starts in a second");
    assert!(started.len() >= 4 * 16, "{} starts in four seconds", started.len());
}

/// Guards against a cut-off failure domain that refuses a load that its own targets sustain, and
/// against sides of a split fleet that together start more than a cold target may get.
#[test]
fn sides_of_a_split_fleet_share_the_limit() {
    let whole = 17.0 * 1.5 + 5.0;
    for sides in [vec![1.0], vec![0.5, 0.5], vec![0.25, 0.75], vec![0.25; 4], vec![1.0 / 12.0; 12]]
    {
        let limits = || sides.iter().map(|side| StartLimits::new(17.0, 1.5, 5.0, *side));
        for sum in [limits().map(|b| b.cold).sum::<f64>(), limits().map(|b| b.warm).sum::<f64>()] {
            assert!(sum <= whole + 1e-9, "{sides:?}: {sum}");
        }
    }
    assert_eq!(StartLimits::new(17.0, 1.5, 5.0, 1.0).cold, 17.0);
    assert!(StartLimits::new(17.0, 1.5, 5.0, 0.25).cold > 7.0);
    assert_eq!(StartLimits::new(0.0, 1.5, 5.0, 1.0), StartLimits::default());
}

/// Guards against a warm fleet that refuses at its peak a load that only cold targets cannot
/// sustain. Load: eight starts a second at each target, which sustain seven while they are cold.
#[test]
fn only_cold_targets_have_the_cold_limit() {
    let mut table = table(&[("t1", "a")]);
    let cold = TargetEntry { cold: Duration::from_secs(3), ..entry("t2", "a") };
    table.upsert(cold, 2, at(0));
    let peers = hub("own");
    let limits = StartLimits::new(6.9, 1.5, 5.0, 1.0);
    assert!(limits.cold < 7.0 && limits.warm > 10.0, "{limits:?}");
    let a = DomainName::from("a");
    let count = |now: u64| {
        let mut peers = peers.clone();
        let mut starts: HashMap<String, u32> = HashMap::new();
        let regions = HashMap::new();
        for draw in 0..60 {
            let ctx = PlacementContext {
                table: &table,
                peers: &peers,
                regions: &regions,
                start_limits: limits,
                coverage: 1.0,
                now: at(now),
                staleness: Duration::from_millis(8),
                draw,
                flow: None,
            };
            let Ok(pick) = place(&PlacementSettings::default(), &request(&a), &ctx) else { break };
            peers.start(pick.key, false, at(now));
            peers.end(pick.key, false);
            *starts.entry(pick.name.to_string()).or_default() += 1;
        }
        (starts["t1"], starts["t2"])
    };
    let (warm, cold) = count(0);
    assert!(warm > 8 && cold < 7, "{warm} and {cold}");
    let (warm, former) = count(3500);
    assert!(warm > 8 && former > 8, "{warm} and {former}");
}

/// Guards against batch items that never start again: a worker that could not reach any target and
/// sends nothing but batch items tries the targets again after a while.
#[test]
fn a_worker_tries_unreachable_targets_again() {
    let mut table = table(&[("t1", "a"), ("t2", "b")]);
    table.set_cold_time(Duration::from_secs(3));
    let domain = DomainName::from("a");
    let peers = hub("own");
    for name in ["t1", "t2"] {
        table.on_failure(&TargetName::from(name), at(0));
        table.on_unreachable(&TargetName::from(name), at(0));
    }
    let batch = PlacementRequest { reserved_slots: Some(0), ..request(&domain) };
    assert!(choose(&batch, &table, &peers, at(1000)).is_err());
    assert!(choose(&batch, &table, &peers, at(8000)).is_ok());
}

/// Guards against many instances that choose with the same stale counts and all take the target
/// that was the least loaded. Load: fourteen choices in a failure domain of 17 targets before the
/// next counts arrive.
#[test]
fn stale_counts_do_not_overload_one_target() {
    let names: Vec<String> = (0..17).map(|n| format!("t{n}")).collect();
    let entries: Vec<_> = names.iter().map(|name| (&**name, "a")).collect();
    let table = table(&entries);
    let domain = DomainName::from("a");
    let mut peers = hub("own");
    let counts: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(n, name)| count(name, if n == 3 { 1 } else { 4 }, 0, 0))
        .collect();
    receive_counts(&mut peers, "f1", 1, &counts, at(0));
    let later: Vec<_> = counts.iter().map(|count| TargetCount { started: 16, ..*count }).collect();
    receive_counts(&mut peers, "f1", 2, &later, at(100));
    let regions = HashMap::new();
    let most = |staleness: Duration| {
        let mut placement: HashMap<String, u32> = HashMap::new();
        for draw in 0..14 {
            let start_limits = StartLimits::default();
            let now = at(150);
            let (table, peers, regions) = (&table, &peers, &regions);
            let context = PlacementContext {
                table,
                peers,
                regions,
                start_limits,
                coverage: 1.0,
                now,
                staleness,
                draw,
                flow: None,
            };
            let result = place(&PlacementSettings::default(), &request(&domain), &context);
            *placement.entry(name(result)).or_default() += 1;
        }
        placement.into_values().max().unwrap_or_default()
    };
    assert_eq!(most(Duration::ZERO), 14, "fresh counts: the least loaded");
    let old = most(Duration::from_millis(60));
    assert!(old <= 5, "{old} of 14 choices on one target");
}

/// Guards against use of a failure domain that the operators have evacuated.
#[test]
fn an_evacuated_failure_domain_gets_nothing() {
    let mut table = table(&[("t1", "a"), ("t2", "b")]);
    let domain = DomainName::from("a");
    table.set_evacuated([DomainName::from("a")].into(), at(0));
    let peers = hub("own");
    assert_eq!(name(choose(&request(&domain), &table, &peers, at(0))), "t2");
    table.set_evacuated([DomainName::from("a"), DomainName::from("b")].into(), at(0));
    assert_eq!(choose(&request(&domain), &table, &peers, at(0)), Err(PlacementError::NoTarget));
}

/// Guards against work in a region where a route or account may not run.
#[test]
fn placement_respects_regions() {
    let table = table(&[("t1", "a"), ("t2", "b")]);
    let domain = DomainName::from("a");
    let peers = hub("own");
    let regions: HashMap<DomainName, Arc<str>> =
        [(DomainName::from("a"), "north".into()), (DomainName::from("b"), "south".into())].into();
    let allowed: HashSet<Arc<str>> = [Arc::from("south")].into();
    let request = PlacementRequest { regions: Some(&allowed), ..request(&domain) };
    let context = PlacementContext {
        table: &table,
        peers: &peers,
        regions: &regions,
        start_limits: StartLimits::default(),
        coverage: 1.0,
        now: at(0),
        staleness: Duration::ZERO,
        draw: 1,
        flow: None,
    };
    assert_eq!(name(place(&PlacementSettings::default(), &request, &context)), "t2");
}

/// Guards against a retry at the target that just failed, and against use of a target that stalled.
#[test]
fn failed_targets_are_excluded_for_a_while() {
    let mut table = table(&[("t1", "a"), ("t2", "b")]);
    let domain = DomainName::from("a");
    let peers = hub("own");
    let tried = [TargetName::from("t1")];
    let again = PlacementRequest { exclude: &tried, ..request(&domain) };
    assert_eq!(name(choose(&again, &table, &peers, at(0))), "t2");
    table.on_failure(&TargetName::from("t1"), at(0));
    assert_eq!(name(choose(&request(&domain), &table, &peers, at(100))), "t2");
    let later = at(0) + Duration::from_secs(2);
    table.on_success(&TargetName::from("t1"), later);
    assert_eq!(name(choose(&request(&domain), &table, &peers, later)), "t1");
}

/// Guards against overloaded targets by cache affinity: requests with one prefix share a target
/// while its load is low.
#[test]
fn a_shared_prefix_stays_on_one_target_while_it_is_light() {
    let table = table(&[("t1", "a"), ("t2", "a"), ("t3", "a")]);
    let domain = DomainName::from("a");
    let mut peers = hub("own");
    let request = PlacementRequest { prefix: Some(42), ..request(&domain) };
    let cache_target = name(choose(&request, &table, &peers, at(0)));
    receive_counts(&mut peers, "f1", 1, &[count(&cache_target, 2, 0, 2)], at(0));
    assert_eq!(name(choose(&request, &table, &peers, at(1000))), cache_target);
    receive_counts(&mut peers, "f1", 2, &[count(&cache_target, 7, 0, 7)], at(1000));
    assert_ne!(name(choose(&request, &table, &peers, at(2000))), cache_target);
}

/// Guards against sums that overflow for entries that an instance of another version has passed on.
#[test]
fn the_highest_number_of_slots_does_not_overflow() {
    let mut table = TargetTable::default();
    table.upsert(TargetEntry { slots: u32::MAX, ..entry("t1", "a") }, 1, at(0));
    let domain = DomainName::from("a");
    let peers = hub("own");
    for reserved_slots in [None, Some(0), Some(u32::MAX - 1)] {
        let request = PlacementRequest { reserved_slots, ..request(&domain) };
        assert_eq!(name(choose(&request, &table, &peers, at(0))), "t1");
    }
}
