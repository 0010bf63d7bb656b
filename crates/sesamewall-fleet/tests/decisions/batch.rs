//! Tests of the headroom for batch items, their order, the commit delay and the list of results.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use sesamewall_fleet::BatchHeadroom;
use sesamewall_fleet::Beacon;
use sesamewall_fleet::CommitSettings;
use sesamewall_fleet::GroupWrites;
use sesamewall_fleet::ItemRank;
use sesamewall_fleet::ItemResult;
use sesamewall_fleet::LocalBacklog;
use sesamewall_fleet::ResultList;
use sesamewall_fleet::ResultState;
use sesamewall_fleet::RunTimeEstimate;
use sesamewall_fleet::TargetTable;
use sesamewall_fleet::UnusedSettings;
use sesamewall_fleet::UnusedTargets;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::ItemId;
use sesamewall_protocol::TargetName;

use crate::support::at;
use crate::support::beacon;
use crate::support::count;
use crate::support::hub;
use crate::support::receive_counts;
use crate::support::table;
use crate::support::worker;

/// Guards against online requests that wait behind batch items, and against workers that all cancel
/// for the same request: together they free as many slots as are missing.
#[test]
fn workers_together_preempt_for_the_missing_slots() {
    let table = table(&[("t1", "a")]);
    let target = table.get(&TargetName::from("t1")).expect("in the table");
    let workers = [("w1", 2u16), ("w2", 3), ("w3", 1)];
    for online in 0..=10u16 {
        let mut preempted = 0;
        for (local, local_batch) in workers {
            let mut peers = hub(local);
            for _ in 0..local_batch {
                peers.start(target.key, true, at(0));
            }
            receive_counts(&mut peers, "f1", 1, &[count("t1", online, 0, online.into())], at(0));
            for (name, batch) in workers.iter().filter(|(name, _)| *name != local) {
                let counts = vec![count("t1", 0, *batch, (*batch).into())];
                let status = worker(name, "a", 0, &[(target.key, *batch)]);
                let beacon = Beacon { targets: counts, workers: vec![status], ..beacon(name, 1) };
                assert!(peers.on_beacon(beacon, true, at(0)));
            }
            let headroom = BatchHeadroom::default();
            preempted += headroom.preempt_count(&InstanceName::from(local), target, &peers, at(1));
        }
        let missing = (u32::from(online) + 6).saturating_sub(8).min(6);
        assert_eq!(preempted, missing, "{online} online requests");
    }
}

/// Returns the targets assigned to each worker, by the workers' backlogs.
fn assigned(table: &TargetTable, workers: &[(&str, &str, u32)]) -> Vec<HashSet<u32>> {
    let view = |local: &str| {
        let mut peers = hub(local);
        for (name, domain, backlog) in workers.iter().filter(|(name, ..)| *name != local) {
            let statuses = vec![worker(name, domain, *backlog, &[])];
            assert!(peers.on_beacon(Beacon { workers: statuses, ..beacon(name, 1) }, true, at(0)));
        }
        peers
    };
    let assignment = |(name, domain, backlog): &(&str, &str, u32)| {
        let (local, domain) = (InstanceName::from(*name), DomainName::from(*domain));
        let local = LocalBacklog { name: &local, domain: &domain, backlog: *backlog };
        match backlog {
            0 => HashSet::new(),
            _ => BatchHeadroom::default().assigned_targets(&local, table, &view(name), at(1)),
        }
    };
    workers.iter().map(assignment).collect()
}

/// Guards against workers that all fill the same free slot and then cancel each other's items: each
/// target is assigned to one of the workers with waiting items, also when the set of these workers
/// changes.
#[test]
fn each_target_is_assigned_to_one_worker() {
    let names: Vec<String> = (0..12).map(|n| format!("t{n}")).collect();
    let entries: Vec<_> = names.iter().map(|name| (&**name, "a")).collect();
    let table = table(&entries);
    for waiting in 1..16u32 {
        let backlog = |index: u32| if waiting & (1 << index) != 0 { 3 + 9 * index } else { 0 };
        let names = ["w1", "w2", "w3", "w4"];
        let workers: Vec<_> =
            (0..4).map(|index| (names[index as usize], "a", backlog(index))).collect();
        let mut owners: HashMap<u32, u32> = HashMap::new();
        for key in assigned(&table, &workers).into_iter().flatten() {
            *owners.entry(key).or_default() += 1;
        }
        assert_eq!(owners.len(), 12, "{waiting:b}: a target without a worker");
        assert!(owners.values().all(|count| *count == 1), "{waiting:b}: {owners:?}");
    }
}

/// Guards against items that wait for targets which the worker they are assigned to cannot use, and
/// against two workers that fill the same slots: a target counts as unused only after it has had
/// headroom for a while.
#[test]
fn targets_that_their_worker_leaves_unused_go_to_others() {
    let mut unused = UnusedTargets::default();
    let millis = |ms: u64| at(0) + Duration::from_millis(ms);
    let delay = UnusedSettings::default().delay;
    let step = Duration::from_millis(25);
    let mut now = millis(0);
    while now.since(millis(0)) < delay {
        // Target 2 is filled and freed again by its worker.
        let used = now.since(millis(0)).as_millis() % 500 == 0;
        let free = if used { HashSet::from([1]) } else { HashSet::from([1, 2]) };
        assert_eq!(unused.update(free, now), HashSet::new());
        now = now + step;
    }
    assert_eq!(unused.update(HashSet::from([1, 2]), now), HashSet::from([1]));
    assert_eq!(unused.update(HashSet::new(), now), HashSet::new());
    assert_eq!(unused.update(HashSet::from([1, 2]), now + step), HashSet::new());
}

/// Guards against a worker with a long backlog that gets as few slots as one with a single item,
/// and against results that cross failure domains without need. Load: one account with most of the
/// items.
#[test]
fn assignments_follow_backlogs_and_failure_domains() {
    let names: Vec<String> = (0..200).map(|n| format!("t{n}")).collect();
    let domain = |n: usize| if n.is_multiple_of(2) { "a" } else { "b" };
    let entries: Vec<_> = names.iter().enumerate().map(|(n, name)| (&**name, domain(n))).collect();
    let table = table(&entries);
    let assignment = assigned(&table, &[("w1", "a", 64), ("w2", "a", 4)]);
    assert!(
        assignment[0].len() > 4 * assignment[1].len(),
        "{} and {}",
        assignment[0].len(),
        assignment[1].len()
    );
    let assignment = assigned(&table, &[("w1", "a", 8), ("w2", "b", 8)]);
    let domain_targets = |n: usize, domain: &str| {
        let in_domain = table.iter().filter(|target| target.entry.domain.as_str() == domain);
        in_domain.filter(|target| assignment[n].contains(&target.key)).count()
    };
    assert!(
        domain_targets(0, "a") > 70 && domain_targets(1, "b") > 70,
        "of 100 targets in each domain"
    );
}

/// Guards against batch items that start into a peak and are preempted at once, against slots that
/// stay empty between peaks although items are preempted fast, and against peaks whose first
/// requests queue because items are preempted too late. Load: peaks of eight requests a second at
/// each target.
#[test]
fn reserved_slots_follow_online_load() {
    let mut headroom = BatchHeadroom::default();
    let (fast, slow) = (Duration::from_millis(8), Duration::from_millis(100));
    assert_eq!(headroom.reserved_slots(10, 96, fast), 0);
    assert!(headroom.reserved_slots(60, 96, fast) > 0);
    headroom.on_starts(8.0, at(0));
    headroom.on_starts(1.0, at(1000));
    assert_eq!(headroom.reserved_slots(10, 96, fast), 0);
    assert_eq!(
        headroom.reserved_slots(10, 96, slow),
        1,
        "one request arrives before items are preempted"
    );
    headroom.on_starts(1.0, at(60_000));
    assert_eq!(headroom.reserved_slots(10, 96, slow), 0, "peaks have ended");
}

/// Guards against results that complete in time but are listed too late. The commit delay, a slow
/// write and the next read end before the due time, or the delay is the short one.
#[test]
fn the_commit_delay_keeps_results_on_time() {
    let settings = CommitSettings::default();
    let due = at(18_000);
    let (write, read) = (Duration::from_millis(1000), Duration::from_millis(700));
    for millis in (0..25_000).step_by(50) {
        let from = at(millis);
        let delay = settings.delay(due, from);
        assert!(delay == settings.late || from + delay + write + read <= due, "{millis}");
    }
    assert!(settings.delay(due, at(1000)) > settings.late);
}

/// Simulates a fleet with `slots` slots and jobs of ten items of five seconds, due after 18 s, at
/// twice the capacity, and returns the fraction of the items that complete in time.
fn on_time_fraction(slots: usize, feasible_first: bool) -> f64 {
    let run = Duration::from_secs(5);
    let times = RunTimeEstimate::default();
    let per_second = slots as f64 / 5.0 * 2.0;
    let mut waiting: Vec<u64> = Vec::new();
    let mut ends: Vec<(u64, u64)> = Vec::new();
    let (mut requested, mut on_time) = (0.0, 0);
    for now in (0..60_000u64).step_by(100) {
        requested += per_second / 10.0;
        while (waiting.len() + ends.len() + on_time) < requested as usize {
            waiting.push(now);
        }
        for (end, submitted) in std::mem::take(&mut ends) {
            match end <= now {
                true if end <= submitted + 18_000 => on_time += 1,
                true => requested += 1.0,
                false => ends.push((end, submitted)),
            }
        }
        let rank = |submitted: &u64| match feasible_first {
            true => ItemRank::new(at(submitted + 18_000), times.remaining(0), at(now)),
            false => ItemRank::new(at(submitted + 1_000_000), Duration::ZERO, at(now)),
        };
        waiting.sort_by_key(rank);
        while ends.len() < slots && !waiting.is_empty() {
            let submitted = waiting.remove(0);
            ends.push((now + run.as_millis() as u64, submitted));
        }
    }
    on_time as f64 / (slots as f64 / 5.0 * 60.0)
}

/// Guards against a backlog in which every item completes late: under twice the load that the fleet
/// sustains, most of its capacity still goes to items that complete in time. Load: jobs of ten
/// items, due in 18 s.
#[test]
fn overload_leaves_most_capacity_to_items_in_time() {
    let (first_come, feasible) = (on_time_fraction(10, false), on_time_fraction(10, true));
    assert!(feasible >= 0.75, "feasible first: {feasible}, first come first served: {first_come}");
    assert!(feasible > first_come + 0.2, "feasible first: {feasible}, first come: {first_come}");
}

/// Guards against late items that start before items that can still complete in time.
#[test]
fn late_items_come_last() {
    let remaining = Duration::from_secs(5);
    let soon = ItemRank::new(at(6_000), remaining, at(0));
    let later = ItemRank::new(at(9_000), remaining, at(0));
    let late = ItemRank::new(at(4_000), remaining, at(0));
    assert!(soon < later && later < late && late.is_late());
}

fn result(id: &str, bytes: usize) -> ItemResult {
    let output = vec![b'x'; bytes];
    ItemResult { id: ItemId::from(id), state: ResultState::Completed, output }
}

/// Guards against results that change their position: groups out of order are ignored.
#[test]
fn results_keep_their_positions() {
    let mut list = ResultList::default();
    assert!(!list.append(1, vec![result("b", 1)]));
    assert!(list.append(0, vec![result("a", 1)]));
    assert!(list.append(1, vec![result("b", 1), result("c", 1)]));
    assert!(!list.append(1, vec![result("d", 1)]));
    let ids: Vec<_> = list.page(1, 100).iter().map(|result| result.id.to_string()).collect();
    assert_eq!(ids, ["b", "c"]);
}

/// Guards against pages without progress and pages that are too large.
#[test]
fn a_page_has_at_least_one_result_and_is_limited() {
    let mut list = ResultList::default();
    list.append(0, vec![result("a", 500), result("b", 500), result("c", 500)]);
    assert_eq!(list.page(0, 100).len(), 1);
    assert_eq!(list.page(0, 1100).len(), 2);
    assert!(list.page(3, 100).is_empty());
    assert!(list.page(9, 100).is_empty());
}

/// Guards against results that one front lists and another does not: a group without a reply may
/// take effect after its worker has given it up and before the next group is written.
#[test]
fn readers_use_the_store_until_the_effect_of_a_group_is_known() {
    let mut writes = GroupWrites::default();
    assert!(writes.are_known(at(0)));
    writes.on_sent(at(1000));
    assert!(writes.are_known(at(1100)));
    assert!(!writes.are_known(at(1200)));
    // The first write was given up, and a different group is sent to the same position.
    writes.on_sent(at(21_000));
    assert!(!writes.are_known(at(21_000)));
    writes.on_known();
    assert!(writes.are_known(at(22_000)));
}
