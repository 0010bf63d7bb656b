//! Where an instance gets the updates that it has not read.

use std::net::IpAddr;
use std::net::Ipv4Addr;

use sesamewall_fleet::UpdateSources;
use sesamewall_fleet::Versions;

use crate::support::at;

const HUB: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 1));
const OTHER_HUB: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2));

fn table(version: u64) -> Versions {
    Versions { table: version, ..Versions::default() }
}

/// Guards against an instance that calls the same hub again and again while that hub does not
/// answer.
#[test]
fn another_hub_is_called_while_the_one_with_the_update_does_not_answer() {
    let mut sources = UpdateSources::default();
    let hubs = [HUB, OTHER_HUB];
    sources.on_versions(HUB, table(2), true, at(0));
    assert_eq!(sources.choose(&table(1), &hubs, at(0)), Some(HUB));
    sources.on_failure(HUB, at(0));
    assert_eq!(sources.choose(&table(1), &hubs, at(0)), Some(OTHER_HUB));
    sources.on_failure(OTHER_HUB, at(0));
    assert_eq!(sources.choose(&table(1), &hubs, at(0)), None);
    assert_eq!(sources.choose(&table(1), &hubs, at(400)), Some(HUB));
    assert_eq!(sources.choose(&table(2), &hubs, at(400)), None);
}

/// Guards against an instance that keeps an old state for as long as no hub answers, and against
/// calls to the store by instances that are up to date or have just read it.
#[test]
fn the_store_is_read_when_a_reported_update_is_overdue() {
    let mut sources = UpdateSources::default();
    let report = |sources: &mut UpdateSources, version, millis| {
        sources.on_versions(HUB, table(version), true, at(millis));
    };
    report(&mut sources, 1, 0);
    assert!(!sources.is_store_due(&table(1), at(900)), "nothing is missing");
    report(&mut sources, 2, 1000);
    assert!(!sources.is_store_due(&table(1), at(1000)), "the hub has not been asked yet");
    report(&mut sources, 3, 1500);
    assert!(!sources.is_store_due(&table(1), at(1500)));
    assert!(sources.is_store_due(&table(1), at(1700)));
    assert!(!sources.is_store_due(&table(1), at(1800)), "it was read a moment ago");
    report(&mut sources, 3, 2700);
    assert!(sources.is_store_due(&table(1), at(2700)));
    assert!(!sources.is_store_due(&table(3), at(2800)), "the update was read");
    report(&mut sources, 4, 4000);
    assert!(!sources.is_store_due(&table(3), at(4000)), "the delay starts anew");
}
