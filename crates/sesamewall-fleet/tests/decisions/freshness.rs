//! The age of the state, and who reads the store.

use std::time::Duration;

use sesamewall_fleet::Confirmation;
use sesamewall_fleet::DueReads;
use sesamewall_fleet::Freshness;
use sesamewall_fleet::FreshnessSettings;
use sesamewall_fleet::Reader;
use sesamewall_fleet::Versions;
use sesamewall_protocol::Time;

use crate::support::at;

/// Time within which a change has to be in force.
const DEADLINE: Duration = Duration::from_millis(2000);

/// Longest pause of a process that is not noticed.
const UNNOTICED_PAUSE: Duration = Duration::from_millis(600);

const FIRST: Reader = Reader::Watcher { rank: 0 };

const ALL: DueReads = DueReads { operators: true, targets: true };

fn table(version: u64) -> Versions {
    Versions { table: version, ..Versions::default() }
}

fn read_at(time: Time) -> Freshness {
    let mut freshness = Freshness::new(FreshnessSettings::within(DEADLINE), at(0));
    freshness.on_operators_read(time);
    freshness.on_targets_read(time);
    freshness
}

/// Guards against settings whose ages and delays add up to more than the deadline.
#[test]
fn requests_wait_before_the_deadline_whatever_the_rank() {
    for millis in [1000, 2000, 3000, 6000] {
        let deadline = Duration::from_millis(millis);
        let settings = FreshnessSettings::within(deadline);
        let last = settings.read_age + settings.rank_delay * 3;
        assert!(last < settings.member_age && settings.member_age < settings.max_age);
        assert!(settings.max_age < deadline);
    }
    let settings = FreshnessSettings::within(DEADLINE);
    assert!(settings.max_age + UNNOTICED_PAUSE < DEADLINE);
}

/// Guards against instances that all read the store, and against state that nobody reads because
/// the first hub has stopped.
#[test]
fn hubs_read_one_after_the_other_and_members_last() {
    let freshness = read_at(at(0));
    let readers = [FIRST, Reader::Watcher { rank: 1 }, Reader::Watcher { rank: 2 }, Reader::Member];
    let due_in = readers.map(|reader| freshness.due_in(reader, at(0)));
    assert!(due_in.windows(2).all(|pair| pair[0] < pair[1]), "{due_in:?}");
    for (reader, wait) in readers.into_iter().zip(due_in) {
        let time = at(0) + wait;
        assert_eq!(freshness.due(reader, time - Duration::from_millis(1)), DueReads::default());
        assert_eq!(freshness.due(reader, time), ALL);
    }
    let far = freshness.due_in(Reader::Watcher { rank: 40 }, at(0));
    assert!(far < freshness.due_in(Reader::Member, at(0)), "{far:?}");
}

/// Guards against instances that all read the store when the fleet starts.
#[test]
fn a_started_member_waits_for_its_hub() {
    let mut freshness = Freshness::new(FreshnessSettings::within(DEADLINE), at(0));
    assert_eq!(freshness.due(Reader::Member, at(500)), DueReads::default());
    assert!(freshness.due_in(Reader::Member, at(500)) > Duration::ZERO);
    assert!(!freshness.must_wait(at(500)));
    assert_eq!(freshness.due(Reader::Member, at(1100)), ALL);
}

/// Guards against an instance that takes a hub's word for a state that it has not read itself.
#[test]
fn a_confirmation_counts_once_the_instance_has_read_as_far() {
    let mut freshness = read_at(at(0));
    let confirmation = Confirmation { versions: table(2), operators_age: 10, targets_age: 20 };
    freshness.on_confirmation(&confirmation, &table(1), at(1000));
    assert_eq!(freshness.targets_age(at(1000)), Some(Duration::from_millis(1000)));
    freshness.on_versions(&table(2));
    assert_eq!(freshness.targets_age(at(1000)), Some(Duration::from_millis(20)));
    assert_eq!(freshness.age(at(1000)), Some(Duration::from_millis(20)));
    let passed_on = freshness.confirmation(table(2), at(1100)).expect("all was read");
    assert_eq!((passed_on.operators_age, passed_on.targets_age), (110, 120));
}

/// Guards against a confirmation that arrives late and makes the state older.
#[test]
fn an_older_confirmation_changes_nothing() {
    let mut freshness = read_at(at(1000));
    let confirmation = Confirmation { versions: table(1), operators_age: 900, targets_age: 900 };
    freshness.on_confirmation(&confirmation, &table(1), at(1100));
    assert_eq!(freshness.age(at(1100)), Some(Duration::from_millis(100)));
}

/// Guards against members that are told of each read of many hubs, and of none.
#[test]
fn members_are_told_of_progress() {
    let step = Duration::from_millis(200);
    let mut freshness = read_at(at(0));
    assert!(freshness.is_announcement_due(step));
    freshness.on_targets_read(at(700));
    assert!(!freshness.is_announcement_due(step), "the operators' keys are as old as before");
    freshness.on_operators_read(at(700));
    assert!(freshness.is_announcement_due(step));
    assert!(!freshness.is_announcement_due(step));
}

/// Guards against requests that rely on old state, and against requests that wait again and again
/// while nobody can confirm it.
#[test]
fn requests_wait_once_for_a_confirmation() {
    let mut freshness = read_at(at(0));
    assert!(!freshness.must_wait(at(1200)));
    assert!(freshness.must_wait(at(5000)));
    assert!(freshness.must_wait(at(5200)));
    assert!(!freshness.must_wait(at(5250)), "nobody confirms the state");
    assert!(!freshness.must_wait(at(9000)));
    freshness.on_operators_read(at(9000));
    assert!(!freshness.must_wait(at(9010)), "the targets are still old");
    freshness.on_targets_read(at(9010));
    assert!(!freshness.must_wait(at(9020)));
    assert!(freshness.must_wait(at(12_000)), "a new gap");
}

/// Guards against reads in quick succession while the store does not reply.
#[test]
fn a_failed_read_is_repeated_after_a_delay() {
    let mut freshness = read_at(at(0));
    assert_eq!(freshness.due(FIRST, at(1000)), ALL);
    freshness.on_failure(at(1000));
    assert_eq!(freshness.due(FIRST, at(1400)), DueReads::default());
    assert_eq!(freshness.due_in(FIRST, at(1400)), Duration::from_millis(100));
    assert_eq!(freshness.due(FIRST, at(1500)), ALL);
    freshness.on_targets_read(at(1500));
    assert_eq!(freshness.due(FIRST, at(1501)), DueReads { operators: true, targets: false });
}
