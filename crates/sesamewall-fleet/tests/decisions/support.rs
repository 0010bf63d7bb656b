//! Short builders for the tests.

use std::time::Duration;

use sesamewall_fleet::AccountSpec;
use sesamewall_fleet::Beacon;
use sesamewall_fleet::Catalog;
use sesamewall_fleet::Limits;
use sesamewall_fleet::Peers;
use sesamewall_fleet::TargetCount;
use sesamewall_fleet::TargetEntry;
use sesamewall_fleet::TargetTable;
use sesamewall_fleet::target_key;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;

/// Returns the point `millis` milliseconds after the start, with room before it.
pub fn at(millis: u64) -> Time {
    Time::from_millis(1_000_000) + Duration::from_millis(millis)
}

pub fn entry(name: &str, domain: &str) -> TargetEntry {
    TargetEntry {
        name: TargetName::from(name),
        service: "chat".into(),
        address: "127.0.0.1:9".parse().expect("a constant address"),
        domain: DomainName::from(domain),
        slots: 8,
        draining: false,
        born: 1,
    }
}

pub fn table(entries: &[(&str, &str)]) -> TargetTable {
    let mut table = TargetTable::default();
    for (name, domain) in entries {
        table.upsert(entry(name, domain));
    }
    table
}

pub fn beacon(name: &str, sequence: u64) -> Beacon {
    Beacon {
        instance: InstanceName::from(name),
        address: "127.0.0.1".parse().expect("a constant address"),
        domain: DomainName::from("a"),
        boot: 1,
        sequence,
        front: true,
        worker: false,
        draining: false,
        store: true,
        heard: Vec::new(),
        config: 1,
        notices: 0,
        targets: Vec::new(),
        accounts: Vec::new(),
        jobs: Vec::new(),
        backlog: 0,
        suspects: Vec::new(),
    }
}

pub fn count(target: &str, online: u16, batch: u16, started: u32) -> TargetCount {
    TargetCount { key: target_key(&TargetName::from(target)), online, batch, started }
}

pub fn hear(peers: &mut Peers, name: &str, sequence: u64, counts: &[TargetCount], now: Time) {
    let beacon = Beacon { targets: counts.to_vec(), ..beacon(name, sequence) };
    assert!(peers.on_beacon(beacon, true, now));
}

pub fn catalog(rate: f64, burst: f64) -> Catalog {
    let account = AccountSpec { name: AccountName::from("acme"), rate, burst, regions: Vec::new() };
    let accounts = Some(vec![(account, Vec::new())]);
    Catalog::new(1, Limits::default(), Vec::new(), accounts, Vec::new())
}
