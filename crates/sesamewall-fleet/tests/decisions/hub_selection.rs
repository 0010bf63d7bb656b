//! Tests of the hub selection of members, and of the claims for hub records.

use std::collections::BTreeMap;

use sesamewall_fleet::HubClaimSettings;
use sesamewall_fleet::HubSelector;
use sesamewall_fleet::HubSelectorSettings;
use sesamewall_fleet::HubStatus;
use sesamewall_fleet::RecordStep;
use sesamewall_fleet::StoredRecord;
use sesamewall_fleet::compare_records;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;

use crate::support::at;
use crate::support::hub_status;

fn selector(local: &str) -> HubSelector {
    HubSelector::new(
        HubSelectorSettings::default(),
        InstanceName::from(local),
        DomainName::from("a"),
    )
}

fn hubs() -> Vec<HubStatus> {
    vec![
        hub_status("h1", "a"),
        hub_status("h2", "a"),
        hub_status("h3", "a"),
        hub_status("far", "b"),
    ]
}

/// Guards against a hub that serves all members of its failure domain alone.
#[test]
fn members_spread_over_the_hubs_of_their_failure_domain() {
    let mut chosen: BTreeMap<String, u32> = BTreeMap::new();
    for n in 0..30 {
        let choice = selector(&format!("m{n}")).choose(&hubs(), at(0));
        let (hub, moved) = choice.expect("hubs are known");
        assert!(moved);
        *chosen.entry(hub.to_string()).or_default() += 1;
    }
    assert_eq!(chosen.len(), 3, "{chosen:?}");
    assert!(chosen.values().all(|count| *count >= 4), "{chosen:?}");
}

/// Guards against a member that stays with a hub that has timed out: it tries the other hubs of its
/// failure domain, then those of other domains, and returns to its usual hub later.
#[test]
fn a_member_leaves_a_timed_out_hub_and_returns() {
    let settings = HubSelectorSettings::default();
    let mut selector = selector("m1");
    let (first, _) = selector.choose(&hubs(), at(0)).expect("hubs are known");
    selector.on_digest(&first, at(10));
    assert_eq!(selector.choose(&hubs(), at(20)), Some((first.clone(), false)));
    let timed_out = at(10) + settings.heartbeat_timeout * 2;
    let (second, moved) = selector.choose(&hubs(), timed_out).expect("another hub");
    assert!(moved && second != first);
    let mut tried = vec![first.clone(), second];
    for step in 1..=2 {
        let now = timed_out + settings.reply_timeout * 2 * step;
        let (next, moved) = selector.choose(&hubs(), now).expect("another hub");
        assert!(moved && !tried.contains(&next), "{next} was tried");
        tried.push(next);
    }
    assert_eq!(tried[3].as_str(), "far", "other failure domains come last");
    let now = timed_out + settings.reply_timeout * 8;
    selector.on_digest(&tried[3], now);
    assert_eq!(selector.choose(&hubs(), now).map(|(_, moved)| moved), Some(false));
    let back = now + settings.return_delay * 2;
    selector.on_digest(&tried[3], back);
    let (hub, moved) = selector.choose(&hubs(), back).expect("a hub");
    assert!(moved && hub == first, "{hub}");
}

/// Guards against members that keep a hub that reports that it is draining.
#[test]
fn a_member_leaves_a_draining_hub() {
    let mut selector = selector("m1");
    let (first, _) = selector.choose(&hubs(), at(0)).expect("hubs are known");
    selector.on_digest(&first, at(10));
    let mut list = hubs();
    list.iter_mut().filter(|hub| hub.name == first).for_each(|hub| hub.draining = true);
    let (next, moved) = selector.choose(&list, at(20)).expect("another hub");
    assert!(moved && next != first);
}

/// Guards against small machines as hubs where larger ones exist, and against a fleet of small ones
/// without hubs.
#[test]
fn large_machines_claim_hub_records_first() {
    let settings = HubClaimSettings::default();
    let longest = |front, share| settings.wait(front, share, 1.0);
    assert!(longest(true, 0.5) < settings.wait(true, 0.12, 0.0));
    assert!(settings.wait(true, 0.5, 0.0) < settings.wait(false, 0.5, 0.0));
    assert!(longest(false, 0.12).as_secs_f64() < 3.0);
}

fn record(name: &str, number: usize) -> StoredRecord {
    StoredRecord { name: InstanceName::from(name), number, revision: 10 + number as u64 }
}

/// Guards against a failure domain with fewer hubs, because a claim that took effect late has
/// occupied a record for an instance that is a member or has another record.
#[test]
fn records_that_an_instance_does_not_keep_are_taken_or_removed() {
    let local = InstanceName::from("h1");
    let alone = [record("h0", 0), record("h1", 1), record("h2", 2)];
    let twice = [record("h0", 0), record("h1", 1), record("h1", 2)];
    let none = [record("h0", 0)];
    let take = RecordStep::Take { number: 1, revision: 11 };
    let remove = |number: usize| RecordStep::Remove { number, revision: 10 + number as u64 };
    assert_eq!(compare_records(&local, Some(1), &alone), []);
    assert_eq!(compare_records(&local, None, &alone), [take]);
    assert_eq!(compare_records(&local, Some(1), &twice), [remove(2)]);
    assert_eq!(compare_records(&local, Some(2), &twice), [remove(1)]);
    assert_eq!(compare_records(&local, None, &twice), [take, remove(2)]);
    assert_eq!(compare_records(&local, Some(2), &alone), [RecordStep::ClaimAgain]);
    assert_eq!(compare_records(&local, Some(1), &none), [RecordStep::ClaimAgain]);
    assert_eq!(compare_records(&local, None, &none), []);
}
