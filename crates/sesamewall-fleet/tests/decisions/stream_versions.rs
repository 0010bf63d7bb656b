//! Tests of the records of the versions that began streams, and of their lookup.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prelude::proptest;
use sesamewall_fleet::BegunStream;
use sesamewall_fleet::Catalog;
use sesamewall_fleet::Datagram;
use sesamewall_fleet::HubStatus;
use sesamewall_fleet::Limits;
use sesamewall_fleet::LookupEnd;
use sesamewall_fleet::LookupStep;
use sesamewall_fleet::RECORD_TTL;
use sesamewall_fleet::RouteKind;
use sesamewall_fleet::RouteSpec;
use sesamewall_fleet::StreamRecord;
use sesamewall_fleet::StreamVersion;
use sesamewall_fleet::StreamVersionSettings;
use sesamewall_fleet::StreamVersions;
use sesamewall_fleet::TargetEntry;
use sesamewall_fleet::TargetTable;
use sesamewall_fleet::UnsettledRecords;
use sesamewall_fleet::UnsettledSettings;
use sesamewall_fleet::VersionAnswer;
use sesamewall_fleet::VersionHistory;
use sesamewall_fleet::VersionHistorySettings;
use sesamewall_fleet::VersionLookup;
use sesamewall_fleet::VersionLookupSettings;
use sesamewall_fleet::VersionQuery;
use sesamewall_fleet::WorkerStatus;
use sesamewall_fleet::record_ttl;
use sesamewall_fleet::response_version;
use sesamewall_fleet::service_names;
use sesamewall_fleet::stream_key;
use sesamewall_fleet::version_holders;
use sesamewall_fleet::version_key;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::TargetName;

use crate::support::at;
use crate::support::entry;
use crate::support::hub_status;
use crate::support::worker;

const TTL: Duration = Duration::from_secs(30);

pub fn address(number: u8) -> IpAddr {
    IpAddr::from([127, 0, 1, number])
}

pub fn workers(domains: &[&str]) -> Vec<WorkerStatus> {
    let numbered = domains.iter().zip(1u8..);
    numbered
        .map(|(domain, n)| WorkerStatus {
            address: address(n),
            ..worker(&format!("w{n}"), domain, 0, &[])
        })
        .collect()
}

pub fn hubs(domains: &[&str]) -> Vec<HubStatus> {
    let numbered = domains.iter().zip(101u8..);
    numbered
        .map(|(domain, n)| HubStatus {
            address: address(n),
            ..hub_status(&format!("h{n}"), domain)
        })
        .collect()
}

/// Returns the holders of a stream as seen by an instance of `domain`.
pub fn holders(
    stream: u64,
    domain: &str,
    workers: &[WorkerStatus],
    hubs: &[HubStatus],
) -> Vec<IpAddr> {
    let workers: Vec<_> = workers.iter().collect();
    version_holders(stream, &InstanceName::from("own"), &DomainName::from(domain), &workers, hubs)
}

pub fn versioned(name: &str, version: &str) -> TargetEntry {
    TargetEntry { version: version.into(), ..entry(name, "a") }
}

fn table(entries: &[(&str, &str)]) -> TargetTable {
    let mut table = TargetTable::default();
    for (name, version) in entries {
        table.upsert(versioned(name, version), 1, at(0));
    }
    table
}

pub fn route(services: &[&str]) -> RouteSpec {
    RouteSpec {
        name: "talk".into(),
        host: "a.example".into(),
        prefix: "/talk/".into(),
        kind: RouteKind::Stream { resumable: true },
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(300),
        gap: Duration::from_millis(300),
        attempts: 2,
        services: services.iter().map(|service| (Arc::from(*service), 1)).collect(),
        public: false,
        regions: Vec::new(),
        due: Duration::ZERO,
        keep: Duration::ZERO,
        max_waiting: 0,
        priority: 0,
    }
}

pub fn catalog(version: u64, route: RouteSpec) -> Catalog {
    Catalog::new(version, Limits::default(), vec![route], None, Vec::new())
}

/// Guards against a stream of one account that goes on as a stream of another account, which may
/// have chosen the same id.
#[test]
fn streams_of_two_accounts_have_different_keys() {
    let key = |account: &str, id: &str| stream_key(Some(&AccountName::from(account)), id);
    assert_eq!(key("acme", "id-1"), key("acme", "id-1"));
    assert_ne!(key("acme", "id-1"), key("other", "id-1"));
    assert_ne!(key("acme", "id-1"), key("acmei", "d-1"));
    assert_ne!(key("acme", "id-1"), stream_key(None, "id-1"));
}

/// Guards against a stream that goes on after two attempts with its id began at different versions:
/// none of them is known to be right, in whatever order the records arrive.
#[test]
fn two_versions_of_one_stream_make_it_unknown() {
    let mut known = StreamVersions::default();
    let one = StreamVersion::Known(version_key("v1"));
    known.add(7, one, TTL, at(0));
    assert_eq!(known.get(7, at(1)).0, one);
    known.add(7, StreamVersion::Known(version_key("v2")), TTL, at(2));
    known.add(7, one, TTL, at(3));
    assert_eq!(known.get(7, at(4)).0, StreamVersion::Conflicting);
    known.add(8, StreamVersion::Conflicting, TTL, at(0));
    known.add(8, one, TTL, at(1));
    assert_eq!(known.get(8, at(2)).0, StreamVersion::Conflicting, "a holder's word counts");
}

/// Guards against records that stay for ever, and against one that a late repetition of its
/// datagram ends early.
#[test]
fn a_record_lasts_until_its_latest_expiry() {
    let mut known = StreamVersions::default();
    let version = StreamVersion::Known(1);
    known.add(7, version, Duration::from_millis(500), at(0));
    known.add(7, version, Duration::from_millis(100), at(1));
    assert_eq!(known.get(7, at(499)), (version, Duration::from_millis(1)));
    assert_eq!(known.get(7, at(500)).0, StreamVersion::Unknown);
    known.on_tick(at(500));
    assert!(known.is_empty());
    known.add(7, StreamVersion::Known(2), TTL, at(600));
    assert_eq!(known.get(7, at(601)).0, StreamVersion::Known(2));
}

/// Guards against memory that grows with the streams that callers begin: beyond the bound the record
/// that expires first is dropped.
#[test]
fn the_number_of_records_is_bounded() {
    let mut known = StreamVersions::new(StreamVersionSettings {
        max_records: 100,
        ..StreamVersionSettings::default()
    });
    for stream in 0..10_000 {
        known.add(stream, StreamVersion::Known(1), TTL, at(stream));
        assert!(known.len() <= 100);
    }
    assert_eq!(known.get(9_899, at(10_000)).0, StreamVersion::Unknown);
    assert_eq!(known.get(9_900, at(10_000)).0, StreamVersion::Known(1));
}

proptest! {
    /// Guards against a wrong version after any series of records, repeated, late or in another
    /// order, with evictions: a known version is one that was recorded, and the only one that was
    /// recorded while the records of the stream lasted.
    #[test]
    fn a_known_version_is_the_only_recorded_one(
        adds in vec((0u64..6, 0u64..3, 1u64..40, 0u64..20), 1..60),
        max_records in 1usize..8,
    ) {
        let mut known = StreamVersions::new(StreamVersionSettings {
            max_records,
            ..StreamVersionSettings::default()
        });
        let mut live: Vec<(u64, u64, u64)> = Vec::new();
        let mut now = 0;
        for (stream, version, ttl, step) in adds {
            now += step;
            let ttl_time = Duration::from_millis(ttl);
            known.add(stream, StreamVersion::Known(version), ttl_time, at(now));
            live.push((stream, version, now + ttl));
            known.on_tick(at(now));
            assert!(known.len() <= max_records);
            for stream in 0..6 {
                let StreamVersion::Known(version) = known.get(stream, at(now)).0 else { continue };
                let recorded = |(s, v, until): &&(u64, u64, u64)| {
                    *s == stream && *v == version && *until > now
                };
                assert!(live.iter().any(|add| recorded(&add)));
            }
        }
    }

    /// Guards against a take-up that no holder can answer after the loss of any one worker or of any
    /// one failure domain between the record and the query, at an instance of any domain.
    #[test]
    fn a_holder_is_left_after_a_loss(
        stream in any::<u64>(),
        places in vec(0usize..4, 2..12),
        lost in any::<proptest::sample::Index>(),
        origin in 0usize..4,
        asks in 0usize..4,
    ) {
        let names = ["a", "b", "c", "d"];
        let domains: Vec<&str> = places.iter().map(|place| names[*place]).collect();
        let all = workers(&domains);
        let hubs = hubs(&names);
        let told = holders(stream, names[origin], &all, &hubs);
        let lost = lost.get(&all);
        let others: Vec<_> = all.iter().filter(|w| w.name != lost.name).cloned().collect();
        let asked = holders(stream, names[asks], &others, &hubs);
        assert!(asked.iter().any(|holder| told.contains(holder)), "{told:?} {asked:?}");
        let apart: Vec<_> = all.iter().filter(|w| w.domain != lost.domain).cloned().collect();
        if !apart.is_empty() {
            let asked = holders(stream, names[asks], &apart, &hubs);
            assert!(asked.iter().any(|holder| told.contains(holder)), "{told:?} {asked:?}");
        }
    }

    /// Guards against holders that depend on the order in which an instance lists its peers, and
    /// against more datagrams for a stream than four.
    #[test]
    fn all_instances_of_a_domain_choose_the_same_holders(stream in any::<u64>(), turn in 0usize..6) {
        let mut workers = workers(&["a", "b", "a", "c", "c", "b"]);
        let mut hubs = hubs(&["a", "b", "c", "a"]);
        let before = holders(stream, "b", &workers, &hubs);
        workers.rotate_left(turn);
        hubs.rotate_left(turn % 4);
        assert_eq!(holders(stream, "b", &workers, &hubs), before);
        assert!((2..=4).contains(&before.len()));
    }
}

/// Guards against records that are all lost when every front is killed: two of the holders are
/// workers, in two failure domains. One worker and one hub are in the domain of the sender, for the
/// case that the domain is cut off.
#[test]
fn holders_are_of_both_roles_and_in_several_domains() {
    let (workers, hubs) = (workers(&["a", "b", "c", "a", "b", "c"]), hubs(&["a", "b", "c"]));
    for stream in 0..100 {
        let found = holders(stream, "c", &workers, &hubs);
        let domains: Vec<_> =
            workers.iter().filter(|w| found.contains(&w.address)).map(|w| &w.domain).collect();
        assert!(domains.len() >= 2 && domains.iter().any(|domain| *domain != domains[0]));
        assert!(domains.iter().any(|domain| domain.as_str() == "c"));
        assert!(found.contains(&address(103)), "the hub of domain c: {found:?}");
    }
}

/// Guards against records only at instances that are about to stop, and against no holder at all in a
/// fleet without workers.
#[test]
fn draining_workers_come_last_and_hubs_replace_workers() {
    let mut workers = workers(&["a", "b", "c", "d"]);
    workers[0].draining = true;
    for stream in 0..50 {
        assert!(!holders(stream, "e", &workers, &[]).contains(&address(1)));
    }
    let found = holders(3, "a", &[], &hubs(&["a", "b", "c"]));
    assert!((2..=3).contains(&found.len()) && found.contains(&address(101)), "{found:?}");
    assert!(holders(3, "a", &[], &[]).is_empty());
}

fn lookup() -> VersionLookup {
    VersionLookup::new(VersionLookupSettings::default(), at(0))
}

/// Guards against a take-up that is refused because one datagram was lost: a silent holder is asked
/// again, and the first positive answer ends the lookup.
#[test]
fn a_silent_holder_is_asked_again() {
    let mut lookup = lookup();
    lookup.on_view(&[address(1), address(2)], true);
    assert_eq!(lookup.next_step(at(0)), LookupStep::Ask(vec![address(1), address(2)]));
    lookup.on_version(Some(address(2)), StreamVersion::Unknown);
    assert_eq!(lookup.next_step(at(10)), LookupStep::Wait(Duration::from_millis(30)));
    assert_eq!(lookup.next_step(at(40)), LookupStep::Ask(vec![address(1)]));
    lookup.on_version(Some(address(1)), StreamVersion::Known(9));
    assert_eq!(lookup.next_step(at(50)), LookupStep::Done(LookupEnd::Known(9)));
}

/// Guards against a take-up that is held although nobody can answer it, and against a retry time for
/// one that cannot succeed later.
#[test]
fn a_lookup_ends_once_all_have_answered_or_its_time_is_over() {
    let mut lookup = lookup();
    lookup.on_view(&[address(1), address(2)], true);
    lookup.next_step(at(0));
    lookup.on_version(Some(address(1)), StreamVersion::Unknown);
    lookup.on_version(Some(address(1)), StreamVersion::Unknown);
    assert!(
        matches!(lookup.next_step(at(1)), LookupStep::Wait(_)),
        "a repeated answer counts once"
    );
    let mut silent = lookup.clone();
    lookup.on_version(Some(address(2)), StreamVersion::Unknown);
    let end = LookupEnd::Unknown { silent: false };
    assert_eq!(lookup.next_step(at(2)), LookupStep::Done(end));
    let mut asked = 0;
    for now in 2..250 {
        match silent.next_step(at(now)) {
            LookupStep::Ask(to) => asked += to.len(),
            step => assert!(matches!(step, LookupStep::Wait(_)), "{step:?} at {now}"),
        }
    }
    assert!((5..=6).contains(&asked), "{asked}");
    let end = LookupEnd::Unknown { silent: true };
    assert_eq!(silent.next_step(at(250)), LookupStep::Done(end));
}

/// Guards against take-ups that an instance refuses right after its start, when it has heard of no
/// worker or only of some that do not hold the record.
#[test]
fn a_lookup_waits_for_the_view_of_the_fleet() {
    let mut lookup = lookup();
    lookup.on_view(&[], false);
    assert_eq!(lookup.next_step(at(0)), LookupStep::Wait(Duration::from_millis(10)));
    lookup.on_view(&[address(1)], false);
    assert_eq!(lookup.next_step(at(10)), LookupStep::Ask(vec![address(1)]));
    lookup.on_version(Some(address(1)), StreamVersion::Unknown);
    assert_eq!(lookup.next_step(at(11)), LookupStep::Wait(Duration::from_millis(10)));
    lookup.on_view(&[address(1), address(2)], true);
    assert_eq!(lookup.next_step(at(20)), LookupStep::Ask(vec![address(2)]));
    lookup.on_version(Some(address(2)), StreamVersion::Known(9));
    assert_eq!(lookup.next_step(at(21)), LookupStep::Done(LookupEnd::Known(9)));
}

/// Guards against a stream that goes on although two holders name different versions.
#[test]
fn different_answers_make_the_version_unknown() {
    let mut lookup = lookup();
    lookup.on_view(&[address(1), address(2)], true);
    lookup.next_step(at(0));
    lookup.on_version(Some(address(1)), StreamVersion::Known(1));
    lookup.on_version(Some(address(2)), StreamVersion::Known(2));
    assert_eq!(lookup.next_step(at(1)), LookupStep::Done(LookupEnd::Conflicting));
}

/// Guards against a version that is taken from an entry that no longer describes the process that
/// sent the event: its target has started again meanwhile.
#[test]
fn a_changed_entry_makes_the_version_unknown() {
    let mut table = table(&[("t1", "v1"), ("t2", "v2")]);
    let name = TargetName::from("t1");
    let one: Arc<str> = "v1".into();
    let version = |table: &TargetTable| response_version(table, "chat", &name, &one, 1);
    assert_eq!(version(&table), Some(one.clone()));
    table.upsert(TargetEntry { started_ms: 2, ..versioned("t1", "v1") }, 2, at(1));
    assert_eq!(version(&table), None, "another start");
    table.upsert(versioned("t1", "v2"), 3, at(2));
    assert_eq!(version(&table), None, "another version");
    table.remove(&name, at(3));
    assert_eq!(version(&table), Some(one.clone()), "a target without its entry serves on");
}

/// Age of a table that was read a moment ago.
const AGE: Option<Duration> = Some(Duration::ZERO);

/// Guards against a record of the version before a restart: the target began the stream after it had
/// started again, before its new entry was read. A target that starts again later, after a crash,
/// leaves the record as it is.
#[test]
fn a_restart_that_was_read_late_makes_the_version_doubtful() {
    let begun = |stream: u64, begun_ms: u64| BegunStream {
        stream,
        target: TargetName::from("t1"),
        started_ms: 1,
        begun_ms,
        begun_at: at(0),
    };
    let mut known = StreamVersions::default();
    known.on_begun(begun(7, 10_000));
    known.on_begun(begun(8, 3000));
    let mut table = table(&[("t1", "v1")]);
    assert!(known.take_doubtful(&table, AGE, at(100)).is_empty());
    table.upsert(TargetEntry { started_ms: 9500, ..versioned("t1", "v2") }, 2, at(200));
    assert_eq!(known.take_doubtful(&table, AGE, at(200)), [7]);
    assert!(known.take_doubtful(&table, AGE, at(300)).is_empty());
    known.on_begun(begun(10, 10_000));
    known.on_lost(10);
    assert!(known.take_doubtful(&table, AGE, at(400)).is_empty(), "the former start has crashed");
    known.on_begun(begun(9, 10_000));
    assert!(known.take_doubtful(&TargetTable::default(), AGE, at(3000)).is_empty());
    assert!(known.take_doubtful(&table, AGE, at(3000)).is_empty(), "compared for a limited time");
    known.on_begun(begun(11, 10_000));
    let never = RECORD_TTL.as_millis() as u64;
    assert!(known.take_doubtful(&TargetTable::default(), None, at(never)).is_empty());
    assert!(known.take_doubtful(&table, AGE, at(never)).is_empty(), "the record has expired");
}

/// Guards against a wrong version that stays recorded because the instance could read the new entry of
/// the target only long after the first event, when its cut was over.
#[test]
fn a_stream_is_compared_until_the_table_is_newer_than_it() {
    let mut known = StreamVersions::default();
    known.on_begun(BegunStream {
        stream: 7,
        target: TargetName::from("t1"),
        started_ms: 1,
        begun_ms: 10_000,
        begun_at: at(1000),
    });
    let mut table = table(&[("t1", "v1")]);
    // Cut off at 0: the table grows old.
    for now in (1000..6000).step_by(250) {
        assert!(known.take_doubtful(&table, Some(Duration::from_millis(now)), at(now)).is_empty());
    }
    table.upsert(TargetEntry { started_ms: 9500, ..versioned("t1", "v2") }, 2, at(6000));
    assert_eq!(known.take_doubtful(&table, AGE, at(6000)), [7]);
}

/// Guards against memory that grows with the streams that begin within the time of the comparison.
#[test]
fn the_number_of_compared_streams_is_bounded() {
    let settings = StreamVersionSettings { max_compared: 10, ..StreamVersionSettings::default() };
    let mut known = StreamVersions::new(settings);
    for stream in 0..100 {
        let target = TargetName::from("t1");
        known.on_begun(BegunStream {
            stream,
            target,
            started_ms: 1,
            begun_ms: 10,
            begun_at: at(0),
        });
    }
    let mut table = TargetTable::default();
    table.upsert(TargetEntry { started_ms: 2, ..versioned("t1", "v2") }, 2, at(1));
    assert_eq!(known.take_doubtful(&table, AGE, at(1)), (90..100).collect::<Vec<_>>());
}

/// Guards against targets without a version that count as one version beside targets that name
/// theirs, and against a service without any versions whose streams cannot go on.
#[test]
fn targets_without_a_version_are_alike_only_among_themselves() {
    let name = TargetName::from("t1");
    let none: Arc<str> = "".into();
    let version = |table: &TargetTable| response_version(table, "chat", &name, &none, 1);
    assert_eq!(version(&table(&[("t1", ""), ("t2", "")])), Some(none.clone()));
    assert_eq!(version(&table(&[("t1", ""), ("t2", "v1")])), None);
}

/// Observes a table each 250 ms between two times in milliseconds.
fn observe(history: &mut VersionHistory, table: &TargetTable, from: u64, to: u64) {
    for now in (from..=to).step_by(250) {
        history.on_table(table, Some(Duration::from_millis(700)), at(now));
    }
}

fn history() -> VersionHistory {
    let mut history = VersionHistory::new(VersionHistorySettings::default());
    history.on_catalog(&catalog(1, route(&["chat"])), at(0));
    history.on_watch_started(&TargetTable::default(), 1, at(0));
    history
}

const LIFE: u64 = RECORD_TTL.as_millis() as u64;

fn sole(history: &VersionHistory, now: u64) -> Option<Arc<str>> {
    let route = route(&["chat"]);
    let life = record_ttl(route.timeout);
    history.sole_version(&route.name, &service_names(&route), life, at(now))
}

/// Guards against a stream that goes on at the only present version of a service that had another
/// one when the stream may have begun, also before this process started.
#[test]
fn a_version_is_the_only_one_after_the_life_of_a_stream() {
    let mut history = history();
    let both = table(&[("t1", "v1"), ("t2", "v2")]);
    observe(&mut history, &table(&[("t1", "v1")]), 0, LIFE - 250);
    assert_eq!(sole(&history, LIFE - 250), None, "streams may be older than the process");
    observe(&mut history, &table(&[("t1", "v1")]), LIFE, LIFE);
    assert_eq!(sole(&history, LIFE).as_deref(), Some("v1"));
    observe(&mut history, &both, LIFE + 250, LIFE + 250);
    assert_eq!(sole(&history, LIFE + 250), None);
    let gone = 2 * LIFE + 250;
    observe(&mut history, &table(&[("t1", "v1")]), LIFE + 500, gone);
    assert_eq!(sole(&history, gone), None, "the last stream of the other version may live");
    observe(&mut history, &table(&[("t1", "v1")]), gone + 250, gone + 250);
    assert_eq!(sole(&history, gone + 250).as_deref(), Some("v1"));
}

/// Guards against a version that counts as the only one although others may have come and gone
/// unseen: during a pause of the process, or while the table could not be read.
#[test]
fn gaps_in_what_was_seen_start_the_time_again() {
    let one = table(&[("t1", "v1")]);
    let mut paused = history();
    observe(&mut paused, &one, 0, LIFE);
    assert_eq!(sole(&paused, LIFE + 2000), None, "not observed lately");
    observe(&mut paused, &one, LIFE + 2000, LIFE + 4000);
    assert_eq!(sole(&paused, LIFE + 4000), None);
    let mut stale = history();
    observe(&mut stale, &one, 0, LIFE);
    stale.on_table(&one, Some(Duration::from_millis(3100)), at(LIFE + 250));
    assert_eq!(sole(&stale, LIFE + 250), None);
    observe(&mut stale, &one, LIFE + 500, LIFE + 2000);
    assert_eq!(sole(&stale, LIFE + 2000), None);
    let mut unread = history();
    for now in (0..=LIFE).step_by(250) {
        unread.on_table(&one, None, at(now));
    }
    assert_eq!(sole(&unread, LIFE), None);
}

/// Guards against a version that counts as the only one because the targets of another one came and
/// went between two states of the table.
#[test]
fn a_version_that_came_and_went_between_two_tables_is_seen() {
    let mut history = history();
    let one = table(&[("t1", "v1")]);
    observe(&mut history, &one, 0, LIFE);
    assert_eq!(sole(&history, LIFE).as_deref(), Some("v1"));
    history.on_entry(&versioned("t2", "v2"), at(LIFE + 100));
    history.on_watched(7);
    observe(&mut history, &one, LIFE + 250, 2 * LIFE);
    assert_eq!(history.revision(), Some(7));
    assert_eq!(sole(&history, LIFE + 250), None);
    assert_eq!(sole(&history, 2 * LIFE), None, "the last stream of the other version may live");
}

/// Guards against an instance that shows a version to be the only one from tables that others have
/// read: it does not see what came and went between them.
#[test]
fn only_a_watch_without_a_gap_shows_a_version_to_be_the_only_one() {
    let one = table(&[("t1", "v1")]);
    let mut member = VersionHistory::new(VersionHistorySettings::default());
    member.on_catalog(&catalog(1, route(&["chat"])), at(0));
    observe(&mut member, &one, 0, LIFE);
    assert_eq!((sole(&member, LIFE), member.revision()), (None, None));
    let mut ended = history();
    observe(&mut ended, &one, 0, LIFE);
    ended.on_watch_ended();
    observe(&mut ended, &one, LIFE + 250, LIFE + 250);
    assert_eq!((sole(&ended, LIFE + 250), ended.revision()), (None, None));
    let mut again = history();
    observe(&mut again, &one, 0, LIFE);
    again.on_watch_started(&one, 9, at(LIFE + 100));
    observe(&mut again, &one, LIFE + 250, LIFE + 250);
    assert_eq!(sole(&again, LIFE + 250), None, "the history of the store had a gap");
    observe(&mut again, &one, LIFE + 500, 2 * LIFE + 250);
    assert_eq!(sole(&again, 2 * LIFE + 250).as_deref(), Some("v1"));
}

/// Guards against a stream that began at a service that its route has left: the versions of the
/// present service tell nothing about it.
#[test]
fn a_change_of_the_services_of_a_route_starts_the_time_again() {
    let mut history = history();
    let one = table(&[("t1", "v1")]);
    history.on_catalog(&catalog(2, route(&["other"])), at(0));
    observe(&mut history, &one, 0, LIFE);
    history.on_catalog(&catalog(3, route(&["chat"])), at(LIFE));
    assert_eq!(sole(&history, LIFE), None);
    observe(&mut history, &one, LIFE + 250, 2 * LIFE);
    history.on_catalog(&catalog(4, route(&["chat"])), at(2 * LIFE));
    assert_eq!(sole(&history, 2 * LIFE).as_deref(), Some("v1"), "other changes do not matter");
}

/// Guards against streams that begin right after a start and are known to their front alone: the
/// workers that the front hears of a moment later get the records, each once.
#[test]
fn records_of_a_start_reach_the_holders_that_appear_later() {
    let mut records = UnsettledRecords::new(UnsettledSettings::default(), at(0));
    let version = StreamVersion::Known(1);
    let record = |stream| StreamRecord { stream, version, remaining_ms: 30_000 };
    records.on_sent(record(7), Vec::new(), false, at(10));
    let one = |_| vec![address(1)];
    let two = |_| vec![address(1), address(2)];
    assert_eq!(records.take_due(one, false, at(250)), [(record(7), vec![address(1)])]);
    assert!(records.take_due(one, false, at(500)).is_empty());
    records.on_sent(record(8), vec![address(1)], false, at(600));
    let further = |stream| (record(stream), vec![address(2)]);
    assert_eq!(records.take_due(two, true, at(750)), [further(7), further(8)]);
    assert!(records.take_due(|_| vec![address(3)], true, at(1000)).is_empty(), "settled");
    records.on_sent(record(9), Vec::new(), false, at(3000));
    assert!(records.take_due(two, false, at(3100)).is_empty(), "long after the start");
}

/// Guards against datagrams that lose a field on the way.
#[test]
fn datagrams_about_stream_versions_survive_the_way() {
    let all = [
        Datagram::StreamRecord(StreamRecord {
            stream: 1,
            version: StreamVersion::Known(u64::MAX),
            remaining_ms: 30_000,
        }),
        Datagram::VersionQuery(VersionQuery { query: 5, stream: 1 }),
        Datagram::VersionAnswer(VersionAnswer {
            query: 5,
            version: StreamVersion::Known(2),
            remaining_ms: 1,
        }),
        Datagram::VersionAnswer(VersionAnswer {
            query: 5,
            version: StreamVersion::Conflicting,
            remaining_ms: 1,
        }),
    ];
    for sent in all {
        assert_eq!(Datagram::decode(&sent.encode()), Some(sent));
    }
}
