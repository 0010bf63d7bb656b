//! Counts of other instances, contact, and beacons that are passed on.

use std::time::Duration;

use sesamewall_fleet::Beacon;
use sesamewall_fleet::PeerSettings;
use sesamewall_fleet::Peers;
use sesamewall_fleet::Suspects;
use sesamewall_fleet::instance_key;
use sesamewall_protocol::InstanceName;

use crate::support::at;
use crate::support::beacon;
use crate::support::count;
use crate::support::hear;

/// Guards against calls to an instance that is heard only through another one: it cannot be reached.
#[test]
fn direct_contact_ends_although_others_pass_beacons_on() {
    let mut peers = Peers::new(PeerSettings::default());
    assert!(peers.on_beacon(beacon("f1", 1), true, at(0)));
    assert_eq!(peers.direct_contacts(at(100)).count(), 1);
    assert!(peers.on_beacon(beacon("f1", 2), false, at(900)));
    assert_eq!(peers.contacts(at(1000)).count(), 1);
    assert_eq!(peers.direct_contacts(at(1000)).count(), 0);
}

/// Guards against an instance that takes its fleet for complete while it has not read who belongs to it,
/// or has not heard one of them for a while.
#[test]
fn a_fleet_is_complete_when_all_registered_are_heard() {
    let mut peers = Peers::new(PeerSettings::default());
    hear(&mut peers, "f1", 1, &[], at(0));
    assert!(!peers.all_heard(at(0)), "no list was read");
    let names = ["f1", "f2"].map(InstanceName::from);
    peers.set_registered(names.into_iter().collect());
    assert!(!peers.all_heard(at(0)), "f2 was never heard");
    hear(&mut peers, "f2", 1, &[], at(600));
    assert!(peers.all_heard(at(600)));
    assert!(!peers.all_heard(at(800)), "f1 is silent");
}

/// Guards against counts that add up when beacons come twice or out of order.
#[test]
fn old_and_repeated_beacons_change_nothing() {
    let mut peers = Peers::new(PeerSettings::default());
    hear(&mut peers, "f1", 2, &[count("t1", 3, 1, 9)], at(0));
    let old = Beacon { targets: vec![count("t1", 8, 8, 20)], ..beacon("f1", 1) };
    assert!(!peers.on_beacon(old, true, at(1)));
    let total = peers.at_target(count("t1", 0, 0, 0).key);
    assert_eq!((total.online, total.batch), (3, 1));
}

/// Guards against counts of a dead instance that block targets for ever.
#[test]
fn counts_of_a_silent_instance_are_forgotten() {
    let mut peers = Peers::new(PeerSettings::default());
    hear(&mut peers, "f1", 1, &[count("t1", 8, 0, 8)], at(0));
    peers.on_tick(at(0) + PeerSettings::default().forget_time + Duration::from_millis(1));
    assert_eq!(peers.at_target(count("t1", 0, 0, 0).key).online, 0);
}

/// Guards against counts of a former start that stay beside those of the new one.
#[test]
fn a_restart_replaces_the_counts() {
    let mut peers = Peers::new(PeerSettings::default());
    hear(&mut peers, "f1", 50, &[count("t1", 8, 0, 80)], at(0));
    let fresh = Beacon { boot: 2, targets: vec![count("t1", 1, 0, 1)], ..beacon("f1", 1) };
    assert!(peers.on_beacon(fresh, true, at(10)));
    assert_eq!(peers.at_target(count("t1", 0, 0, 0).key).online, 1);
}

/// Guards against a full rate in each part of a split fleet: registered instances that are not heard
/// make the own part smaller.
#[test]
fn missing_instances_shrink_the_own_part() {
    let mut peers = Peers::new(PeerSettings::default());
    peers.set_registered(["f1", "f2", "f3"].map(InstanceName::from).into());
    hear(&mut peers, "f1", 1, &[], at(0));
    assert_eq!(peers.heard_part(at(10), |beacon| beacon.front), 0.5);
    hear(&mut peers, "f2", 1, &[], at(10));
    hear(&mut peers, "f3", 1, &[], at(10));
    assert_eq!(peers.heard_part(at(20), |beacon| beacon.front), 1.0);
}

/// Guards against online requests behind batch items that their front does not see: an instance
/// between two that do not hear each other passes beacons on, and only one does.
#[test]
fn one_instance_between_two_passes_beacons_on() {
    let names = ["f1", "f2", "f3", "w1"];
    let keys = |list: &[&str]| -> Vec<u32> {
        list.iter().map(|name| instance_key(&InstanceName::from(*name))).collect()
    };
    // f3 and w1 do not hear each other.
    let heard = |own: &str| -> Vec<u32> {
        let other = |name: &&str| **name != *own;
        let cut = |name: &&str| !matches!((own, *name), ("f3", "w1") | ("w1", "f3"));
        let list: Vec<&str> = names.iter().copied().filter(|n| other(n) && cut(n)).collect();
        keys(&list)
    };
    let view = |own: &str| {
        let mut peers = Peers::new(PeerSettings::default());
        for name in names.iter().filter(|name| **name != own) {
            let beacon = Beacon { heard: heard(name), ..beacon(name, 1) };
            peers.on_beacon(beacon, true, at(0));
        }
        peers
    };
    let to = |own: &str| {
        let (own_name, sender) = (InstanceName::from(own), InstanceName::from("w1"));
        view(own).pass_on_to(&own_name, &sender, at(1))
    };
    assert_eq!(to("f1"), vec![InstanceName::from("f3")]);
    assert_eq!(to("f2"), Vec::<InstanceName>::new());
}

/// Guards against stale words about results: a worker's word counts while it is fresh.
#[test]
fn the_word_about_a_job_gets_old() {
    let mut peers = Peers::new(PeerSettings::default());
    let beacon = Beacon { jobs: vec![(7, 3)], ..beacon("w1", 1) };
    peers.on_beacon(beacon, true, at(0));
    assert_eq!(peers.job_groups(7, at(100)), Some(3));
    assert_eq!(peers.job_groups(8, at(100)), None);
    assert_eq!(peers.job_groups(7, at(900)), None);
}

/// Guards against results that disappear: a former worker that is heard again after a cut knows fewer
/// groups than the present one.
#[test]
fn the_word_of_the_worker_that_knows_most_counts() {
    let mut peers = Peers::new(PeerSettings::default());
    for (name, groups) in [("w1", 1), ("w2", 6), ("w3", 0)] {
        let beacon = Beacon { jobs: vec![(7, groups)], ..beacon(name, 1) };
        peers.on_beacon(beacon, true, at(0));
    }
    assert_eq!(peers.job_groups(7, at(100)), Some(6));
}

/// Guards against requests that crash one target after the other: crashes seen by different instances
/// add up, and an innocent request is forgotten after it ended well.
#[test]
fn crashes_add_up_over_instances() {
    let mut suspects = Suspects::default();
    suspects.on_crash(1, at(0));
    suspects.on_report(&InstanceName::from("f1"), &[(1, 1)]);
    assert!(!suspects.refused(1));
    suspects.on_report(&InstanceName::from("f2"), &[(1, 1)]);
    assert!(suspects.refused(1));
    suspects.on_crash(2, at(0));
    suspects.on_success(2);
    assert_eq!(suspects.crashes(2), 0);
}

/// Guards against beacons that peers cannot read.
#[test]
fn beacons_survive_the_wire() {
    let sent = Beacon { targets: vec![count("t1", 3, 1, 9)], ..beacon("f1", 5) };
    assert_eq!(Beacon::decode(&sent.encode()), Some(sent));
    assert_eq!(Beacon::decode(b"noise"), None);
}
