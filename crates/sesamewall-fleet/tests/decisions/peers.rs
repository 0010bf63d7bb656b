//! Tests of the counts of peers, their liveness, and forwarded beacons.

use std::time::Duration;

use sesamewall_fleet::Beacon;
use sesamewall_fleet::CrashCounts;
use sesamewall_fleet::CrashEvidence;
use sesamewall_fleet::Datagram;
use sesamewall_fleet::Digest;
use sesamewall_fleet::Member;
use sesamewall_fleet::MissingInstance;
use sesamewall_fleet::PartEvidence;
use sesamewall_fleet::PeerSettings;
use sesamewall_fleet::Report;
use sesamewall_fleet::instance_key;
use sesamewall_protocol::InstanceName;

use crate::support::at;
use crate::support::beacon;
use crate::support::count;
use crate::support::digest;
use crate::support::hub;
use crate::support::hub_status;
use crate::support::member;
use crate::support::receive_counts;
use crate::support::report;
use crate::support::table;
use crate::support::worker;

/// Guards against calls to an instance whose beacons arrive only through another one: it cannot be
/// reached.
#[test]
fn forwarded_beacons_are_not_direct_contact() {
    let mut peers = hub("own");
    assert!(peers.on_beacon(beacon("f1", 1), true, at(0)));
    assert_eq!(peers.direct_hubs(at(100)).count(), 1);
    assert!(peers.on_beacon(beacon("f1", 2), false, at(900)));
    assert_eq!(peers.live_hubs(at(1000)).count(), 1);
    assert_eq!(peers.direct_hubs(at(1000)).count(), 0);
}

/// Guards against an instance that treats its fleet as complete while it does not know the fleet's
/// size, or while one of the instances is missing.
#[test]
fn a_fleet_is_complete_when_all_of_it_is_live() {
    let mut peers = hub("own");
    receive_counts(&mut peers, "f1", 1, &[], at(0));
    assert!(!peers.coverage(at(0)).complete, "the size is not known");
    peers.on_fleet_size(3, 3);
    assert!(!peers.coverage(at(0)).complete, "nothing was received from f2");
    receive_counts(&mut peers, "f2", 1, &[], at(600));
    assert!(peers.coverage(at(600)).complete);
    assert!(!peers.coverage(at(800)).complete, "f1 is missing");
}

/// Guards against a member that takes the hubs for the whole fleet after its start, because its first
/// digests list no workers.
#[test]
fn a_view_without_a_list_of_workers_is_not_complete() {
    let mut hub = hub("h1");
    hub.on_fleet_size(1, 2);
    assert!(hub.on_report(report("own", 1, &[]), at(0)));
    assert!(hub.is_view_complete(at(0)));
    let mut member = member("own");
    let first = digest("h1", 1, &hub, &table(&[]), at(0));
    assert!(member.on_digest(first.clone(), at(0)));
    assert!(member.coverage(at(0)).complete && !member.is_view_complete(at(0)));
    let workers = Some(vec![worker("w1", "a", 0, &[])]);
    assert!(member.on_digest(Digest { sequence: 2, workers, ..first }, at(100)));
    assert!(member.is_view_complete(at(100)));
}

/// Guards against counts that add up when beacons arrive twice or out of order.
#[test]
fn old_and_repeated_beacons_change_nothing() {
    let mut peers = hub("own");
    receive_counts(&mut peers, "f1", 2, &[count("t1", 3, 1, 9)], at(0));
    let old = Beacon { targets: vec![count("t1", 8, 8, 20)], ..beacon("f1", 1) };
    assert!(!peers.on_beacon(old, true, at(1)));
    assert_eq!(peers.at_target(count("t1", 0, 0, 0).key), (3, 1));
}

/// Guards against counts of a dead instance that block targets forever.
#[test]
fn counts_of_a_timed_out_instance_are_removed() {
    let mut peers = hub("own");
    receive_counts(&mut peers, "f1", 1, &[count("t1", 8, 0, 8)], at(0));
    let later = at(0) + PeerSettings::default().expiry + Duration::from_millis(1);
    peers.on_tick(|_| true, later);
    assert_eq!(peers.at_target(count("t1", 0, 0, 0).key), (0, 0));
}

/// Guards against batch items that make way for themselves: a hub sends the requests of a former
/// member, which is a hub now, back to it as those of its own group.
#[test]
fn requests_of_a_member_that_became_a_hub_are_counted_once() {
    let mut peers = hub("own");
    assert!(peers.on_report(report("f1", 1, &[count("t1", 0, 1, 1)]), at(0)));
    assert_eq!(peers.group_state(at(10)).targets, [count("t1", 0, 1, 1)]);
    receive_counts(&mut peers, "f1", 2, &[count("t1", 0, 8, 8)], at(100));
    assert_eq!(peers.at_target(count("t1", 0, 0, 0).key), (0, 8));
    let group = peers.group_state(at(100));
    assert_eq!((group.targets, group.members.len()), (Vec::new(), 1));
}

/// Guards against counts of a former process start that are kept beside those of the new one.
#[test]
fn a_restart_replaces_the_counts() {
    let mut peers = hub("own");
    receive_counts(&mut peers, "f1", 50, &[count("t1", 8, 0, 80)], at(0));
    let fresh = Beacon { boot_id: 2, targets: vec![count("t1", 1, 0, 1)], ..beacon("f1", 1) };
    assert!(peers.on_beacon(fresh, true, at(10)));
    assert_eq!(peers.at_target(count("t1", 0, 0, 0).key), (1, 0));
}

/// Guards against a full rate on each side of a split fleet: missing instances reduce the coverage,
/// whether they were live once, are reported by another hub, or are only counted by the store.
#[test]
fn missing_instances_reduce_the_coverage() {
    let mut peers = hub("own");
    peers.on_fleet_size(4, 4);
    receive_counts(&mut peers, "f1", 1, &[], at(0));
    assert_eq!(peers.coverage(at(10)).fronts, 0.5);
    receive_counts(&mut peers, "f2", 1, &[], at(10));
    receive_counts(&mut peers, "f3", 1, &[], at(10));
    assert_eq!(peers.coverage(at(20)).fronts, 1.0);
    assert_eq!(peers.coverage(at(2000)).fronts, 0.25, "all are missing");
    let member = Member { key: 77, front: true };
    let missing = vec![MissingInstance { member, elapsed_ms: 5000 }];
    let beacon = Beacon { missing, ..beacon("f1", 2) };
    assert!(peers.on_beacon(beacon, true, at(2000)));
    assert_eq!(peers.coverage(at(2000)).fronts, 0.4, "two of five are live");
}

/// Guards against a smaller side of a split fleet that treats itself as the whole fleet after a
/// while, and against a machine that was removed and reduces the rates of the others forever.
#[test]
fn only_the_larger_side_removes_missing_instances() {
    let later = |settings: &PeerSettings| at(0) + settings.liveness.removal_timeout * 2;
    let settings = PeerSettings::default();
    for (live, coverage) in [(4, 1.0), (1, 2.0 / 6.0)] {
        let mut peers = hub("own");
        for n in 0..5 {
            receive_counts(&mut peers, &format!("f{n}"), 1, &[], at(0));
        }
        for n in 0..live {
            receive_counts(&mut peers, &format!("f{n}"), 2, &[], later(&settings));
        }
        peers.on_tick(|_| true, later(&settings));
        assert!((peers.coverage(later(&settings)).fronts - coverage).abs() < 1e-9, "{live} live");
    }
}

/// Guards against rates that shrink after a planned stop: an instance that announced its departure
/// is not missing.
#[test]
fn a_departed_instance_is_not_missing() {
    let mut peers = hub("own");
    for name in ["f1", "f2"] {
        receive_counts(&mut peers, name, 1, &[], at(0));
    }
    assert!(peers.on_report(report("m1", 1, &[]), at(0)));
    peers.on_hub_departed(&InstanceName::from("f2"), at(100));
    let leaving = Report { leaving: true, ..report("m1", 2, &[]) };
    assert!(peers.on_report(leaving, at(100)));
    receive_counts(&mut peers, "f1", 2, &[], at(2000));
    assert_eq!(peers.coverage(at(2000)).fronts, 1.0);
    assert!(peers.group_state(at(2000)).departed.len() == 2, "others receive the departures");
}

/// Guards against work at targets that are full with requests unknown to a member, and against
/// requests of the member that are counted twice: a digest includes them as of the report that it
/// acknowledges.
#[test]
fn a_member_counts_each_request_once() {
    let table = table(&[("t1", "a"), ("t2", "b")]);
    let key = count("t1", 0, 0, 0).key;
    let (mut hub_view, mut local) = (hub("h1"), member("m1"));
    receive_counts(&mut hub_view, "h2", 1, &[count("t1", 3, 1, 4)], at(0));
    local.start(key, false, at(0));
    assert!(hub_view.on_report(report("m1", 1, &local.report_counts(1, at(0))), at(1)));
    assert_eq!(hub_view.at_target(key), (4, 1));
    // One more request starts before the digest arrives.
    local.start(key, false, at(2));
    assert!(local.on_digest(digest("h1", 1, &hub_view, &table, at(3)), at(4)));
    assert_eq!(local.at_target(key), (5, 1));
    // The four starts of h2 may be recent: the hub had not received from it before.
    assert_eq!(local.recent_starts(key, at(4)), 6);
    local.end(key, false);
    local.end(key, false);
    assert_eq!(local.at_target(key), (3, 1));
    let counts = local.report_counts(2, at(5));
    assert!(hub_view.on_report(report("m1", 2, &counts), at(6)));
    assert!(local.on_digest(digest("h1", 2, &hub_view, &table, at(7)), at(8)));
    assert_eq!(local.at_target(key), (3, 1));
}

/// Guards against digests that do not include the member's reports, are old, or come from another
/// hub before it knows the member.
#[test]
fn only_digests_that_include_the_member_are_applied() {
    let table = table(&[("t1", "a")]);
    let (mut hub_view, mut local) = (hub("h1"), member("m1"));
    assert!(!local.on_digest(digest("h1", 1, &hub_view, &table, at(0)), at(0)));
    assert!(hub_view.on_report(report("m1", 1, &local.report_counts(1, at(0))), at(0)));
    assert!(local.on_digest(digest("h1", 2, &hub_view, &table, at(0)), at(0)));
    assert!(!local.on_digest(digest("h1", 2, &hub_view, &table, at(0)), at(0)), "repeated");
}

/// Guards against a member that continues with the full rate while no hub is live.
#[test]
fn a_member_without_digests_covers_only_itself() {
    let table = table(&[("t1", "a")]);
    let (mut hub_view, mut local) = (hub("h1"), member("m1"));
    for n in 0..6 {
        receive_counts(&mut hub_view, &format!("h{}", n + 2), 1, &[], at(0));
    }
    assert!(hub_view.on_report(report("m1", 1, &local.report_counts(1, at(0))), at(0)));
    assert!(local.on_digest(digest("h1", 1, &hub_view, &table, at(0)), at(0)));
    assert_eq!(local.coverage(at(100)).fronts, 1.0);
    assert_eq!(local.coverage(at(1000)).fronts, 1.0 / 8.0);
}

/// Guards against online requests that wait behind batch items unknown to their front: an instance
/// between two that do not receive from each other forwards beacons, and only one does.
#[test]
fn one_instance_between_two_forwards_beacons() {
    let names = ["f1", "f2", "f3", "w1"];
    let keys = |list: &[&str]| -> Vec<u32> {
        list.iter().map(|name| instance_key(&InstanceName::from(*name))).collect()
    };
    // f3 and w1 do not receive from each other.
    let direct_hubs = |local: &str| -> Vec<u32> {
        let other = |name: &&str| **name != *local;
        let cut = |name: &&str| !matches!((local, *name), ("f3", "w1") | ("w1", "f3"));
        let list: Vec<&str> = names.iter().copied().filter(|n| other(n) && cut(n)).collect();
        keys(&list)
    };
    let view = |local: &str| {
        let mut peers = hub(local);
        for name in names.iter().filter(|name| **name != local) {
            let beacon = Beacon { direct_hubs: direct_hubs(name), ..beacon(name, 1) };
            peers.on_beacon(beacon, true, at(0));
        }
        peers
    };
    let to = |local: &str| view(local).forward_to(&InstanceName::from("w1"), at(1));
    assert_eq!(to("f1"), vec![InstanceName::from("f3")]);
    assert_eq!(to("f2"), Vec::<InstanceName>::new());
}

/// Guards against requests that crash one target after the other: crashes observed by different
/// instances add up, and the local count of a request that did not cause them is removed after it
/// completed.
#[test]
fn crashes_add_up_over_instances() {
    let mut crash_counts = CrashCounts::default();
    crash_counts.on_crash(1, at(0));
    crash_counts.on_peer_counts(&InstanceName::from("f1"), &[(1, 1)]);
    assert!(!crash_counts.is_blocked(1));
    crash_counts.on_peer_counts(&InstanceName::from("f2"), &[(1, 1)]);
    assert!(crash_counts.is_blocked(1));
    crash_counts.on_crash(2, at(0));
    crash_counts.on_success(2);
    assert_eq!(crash_counts.crashes(2), 0);
}

/// Guards against datagrams that peers cannot decode.
#[test]
fn datagrams_decode_to_what_was_encoded() {
    let beacon = Beacon { targets: vec![count("t1", 3, 1, 9)], ..beacon("f1", 5) };
    let part_evidence = vec![PartEvidence {
        part: 7,
        crashes: vec![CrashEvidence { crash: 1, level: 2, request: 3 }],
        ..PartEvidence::default()
    }];
    let with_evidence = Report { part_evidence, ..report("w2", 1, &[]) };
    let report = Report { worker: Some(worker("w1", "a", 3, &[(7, 2)])), ..report("w1", 1, &[]) };
    let table = table(&[("t1", "a")]);
    let digest = digest("h1", 1, &hub("h1"), &table, at(0));
    let all = [
        Datagram::Hello("127.0.0.1".parse().expect("a constant address")),
        Datagram::Hubs(vec![hub_status("h1", "a")]),
        Datagram::Beacon(Box::new(beacon)),
        Datagram::Report(Box::new(report)),
        Datagram::Report(Box::new(with_evidence)),
        Datagram::Digest(Box::new(digest)),
    ];
    for sent in all {
        assert_eq!(Datagram::decode(&sent.encode()), Some(sent));
    }
    assert_eq!(Datagram::decode(b"noise"), None);
}

/// Guards against sums that overflow for counts that no sound instance sends.
#[test]
fn the_highest_counts_do_not_overflow() {
    let mut peers = hub("own");
    let highest = count("t1", u16::MAX, u16::MAX, u32::MAX);
    let none = count("t1", u16::MAX, u16::MAX, 0);
    for boot_id in 1..4 {
        for name in ["m1", "m2"] {
            for (sequence, counts) in [(1, none), (2, highest)] {
                let report = Report { boot_id, ..report(name, sequence, &[counts]) };
                assert!(peers.on_report(report, at(boot_id)));
            }
        }
    }
    assert_eq!(peers.recent_starts(highest.key, at(4)), u32::MAX);
    let both = 2 * u32::from(u16::MAX);
    assert_eq!(peers.at_target(highest.key), (both, both));
    assert_eq!(peers.group_state(at(4)).targets, [highest]);
}
