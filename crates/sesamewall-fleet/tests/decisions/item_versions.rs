//! Tests of the version at which a batch item with an output goes on.

use std::collections::BTreeSet;

use sesamewall_fleet::ItemEnd;
use sesamewall_fleet::ItemProgress;
use sesamewall_fleet::ItemSettings;
use sesamewall_fleet::NextRun;
use sesamewall_fleet::RestartCause;
use sesamewall_fleet::ResultState;
use sesamewall_fleet::ServiceVersion;
use sesamewall_fleet::StreamEvent;
use sesamewall_fleet::TargetEntry;
use sesamewall_fleet::TargetStart;
use sesamewall_fleet::TargetState;
use sesamewall_fleet::TargetTable;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;

use crate::support::at;
use crate::support::entry;

fn event(id: u64) -> StreamEvent {
    StreamEvent { bytes: format!("id: {id}\ndata: {id}\n\n").into_bytes(), id: Some(id) }
}

fn versioned(name: &str, version: &str) -> TargetEntry {
    TargetEntry { version: version.into(), ..entry(name, "a") }
}

/// Returns a table with targets of the service `chat`, by name and version.
fn table(targets: &[(&str, &str)]) -> TargetTable {
    let mut table = TargetTable::default();
    for (name, version) in targets {
        table.upsert(versioned(name, version), 1, at(0));
    }
    table
}

fn version(name: &str) -> Option<ServiceVersion> {
    Some(ServiceVersion { service: "chat".into(), version: name.into() })
}

/// Returns the progress of an item that a target of this version began and broke off.
fn broken_off(version: Option<ServiceVersion>) -> ItemProgress {
    let mut progress = ItemProgress::default();
    assert!(progress.begin(version));
    assert!(progress.on_event(&event(1)));
    assert_eq!(progress.on_end(&ItemSettings::default(), ItemEnd::Broken, 3, at(0)), None);
    progress
}

fn next_run(progress: &ItemProgress, table: &TargetTable, now: Time) -> NextRun {
    progress.next_run(&ItemSettings::default(), table, "chat", |_| true, now)
}

fn target(name: &str) -> TargetName {
    TargetName::from(name)
}

/// Guards against an output that joins the events of two versions, or of the versions of two services
/// that have the same name.
#[test]
fn an_output_goes_on_only_at_its_version() {
    let mut progress = broken_off(version("v1"));
    let targets = table(&[("t1", "v1"), ("t2", "v2")]);
    assert_eq!(next_run(&progress, &targets, at(0)), NextRun::Continue("v1".into()));
    let other = ServiceVersion { service: "other".into(), version: "v1".into() };
    for wrong in [version("v2"), Some(other), None] {
        assert!(!progress.begin(wrong));
    }
    assert_eq!(progress.events(), 1);
    assert!(progress.begin(version("v1")));
    assert!(progress.on_event(&event(2)));
    assert_eq!(progress.into_output(), b"1\n2");
}

/// Guards against an output that goes on at another service with a version of the same name.
#[test]
fn an_output_does_not_go_on_at_another_service() {
    let progress = broken_off(version("v1"));
    let mut targets = table(&[("t1", "v1")]);
    targets.upsert(TargetEntry { service: "other".into(), ..versioned("t2", "v1") }, 1, at(0));
    let settings = ItemSettings::default();
    let moved = progress.next_run(&settings, &targets, "other", |_| true, at(0));
    assert_eq!(moved, NextRun::Restart(RestartCause::Gone));
}

/// Guards against items that wait for a version without targets: those that leave, are evacuated or
/// may not run the item do not count.
#[test]
fn an_item_restarts_at_once_without_a_target_of_its_version() {
    let progress = broken_off(version("v1"));
    let gone = NextRun::Restart(RestartCause::Gone);
    assert_eq!(next_run(&progress, &table(&[("t2", "v2")]), at(0)), gone);
    let mut draining = table(&[("t2", "v2")]);
    draining.upsert(TargetEntry { draining: true, ..versioned("t1", "v1") }, 1, at(0));
    assert_eq!(next_run(&progress, &draining, at(0)), gone);
    let mut targets = table(&[("t1", "v1"), ("t2", "v2")]);
    let is_new = |target: &TargetState| &*target.entry.version == "v2";
    let settings = ItemSettings::default();
    assert_eq!(progress.next_run(&settings, &targets, "chat", is_new, at(0)), gone);
    targets.on_failure(&target("t1"), at(0));
    assert_eq!(next_run(&progress, &targets, at(0)), NextRun::Continue("v1".into()));
    targets.on_leaving(&target("t1"), at(0));
    assert_eq!(next_run(&progress, &targets, at(0)), gone);
    let mut restarted = progress;
    assert_eq!(restarted.restart(), 1);
    assert_eq!(next_run(&restarted, &targets, at(0)), NextRun::First);
    assert_eq!(restarted.resume_after(), None);
    assert!(restarted.begin(version("v2")));
    assert!(restarted.on_event(&event(1)));
    assert_eq!(next_run(&restarted, &targets, at(0)), NextRun::Continue("v2".into()));
}

/// Guards against items that never end since the targets of their version have no place, refuse them
/// or break them off without an event, and against waits that earlier attempts have used up.
#[test]
fn the_wait_for_a_place_at_the_version_is_bounded() {
    let settings = ItemSettings::default();
    let targets = table(&[("t1", "v1"), ("t2", "v2")]);
    let over = at(1000) + settings.version_wait;
    let (goes_on, no_place) =
        (NextRun::Continue("v1".into()), NextRun::Restart(RestartCause::NoPlace));
    let mut progress = broken_off(version("v1"));
    assert_eq!(next_run(&progress, &targets, over), goes_on, "no place was asked for yet");
    progress.on_no_place(at(1000));
    progress.on_no_place(at(1500));
    assert_eq!(next_run(&progress, &targets, at(1001)), goes_on);
    assert_eq!(next_run(&progress, &targets, over), no_place);
    for end in [ItemEnd::Refused, ItemEnd::NotRun, ItemEnd::Broken] {
        let mut refused = broken_off(version("v1"));
        refused.on_end(&settings, end, 3, at(1000));
        refused.on_end(&settings, end, 3, at(1500));
        assert_eq!(next_run(&refused, &targets, over), no_place, "{end:?}");
    }
    assert!(progress.begin(version("v1")));
    assert_eq!(next_run(&progress, &targets, over), goes_on);
    progress.on_event(&event(2));
    progress.on_end(&settings, ItemEnd::MadeWay, 3, at(1500));
    assert_eq!(next_run(&progress, &targets, over), goes_on, "a preempted item has not waited yet");
}

/// Guards against a target whose entry names no version and that is taken for another one without a
/// name, although versions are in use.
#[test]
fn no_name_is_a_version_only_if_no_target_names_one() {
    let unnamed = table(&[("t1", ""), ("t2", "")]);
    let start = TargetStart::of(&unnamed, &target("t1")).expect("a known target");
    assert_eq!(start.known_version(&unnamed), version(""));
    let progress = broken_off(version(""));
    assert_eq!(next_run(&progress, &unnamed, at(0)), NextRun::Continue("".into()));
    let mixed = table(&[("t1", ""), ("t2", ""), ("t3", "v1")]);
    assert_eq!(start.known_version(&mixed), None);
    let unknown = NextRun::Restart(RestartCause::Unknown);
    assert_eq!(next_run(&progress, &mixed, at(0)), unknown);
    let begun_in_mix = broken_off(None);
    assert_eq!(next_run(&begun_in_mix, &mixed, at(0)), unknown);
}

/// Guards against events that are taken for those of the version that the target had when it was
/// chosen: it has started again since, as another version or not, or its entry is gone.
#[test]
fn the_version_is_known_only_while_the_entry_stays() {
    let targets = table(&[("t1", "v1")]);
    let start = TargetStart::of(&targets, &target("t1")).expect("a known target");
    assert_eq!(start.known_version(&targets), version("v1"));
    assert!(!start.is_replaced(&targets));
    let mut later = targets.clone();
    later.upsert(TargetEntry { draining: true, ..versioned("t1", "v1") }, 2, at(0));
    assert_eq!(start.known_version(&later), version("v1"));
    for entry in [
        TargetEntry { started_ms: 2, ..versioned("t1", "v1") },
        TargetEntry { started_ms: 2, ..versioned("t1", "v2") },
        versioned("t1", "v2"),
    ] {
        let mut changed = targets.clone();
        changed.upsert(entry, 2, at(0));
        assert_eq!(start.known_version(&changed), None);
        assert!(start.is_replaced(&changed));
    }
    assert_eq!(start.known_version(&TargetTable::default()), None);
    assert!(!start.is_replaced(&TargetTable::default()));
}

/// Guards against a completed item of which a restarted target of another version wrote the end, and
/// against items that run again although one start wrote all of their output.
#[test]
fn the_output_of_a_replaced_target_is_not_continued() {
    let (settings, targets) = (ItemSettings::default(), table(&[("t1", "v1")]));
    let mut resumed = broken_off(version("v1"));
    assert!(resumed.begin(version("v1")));
    resumed.on_event(&event(2));
    assert_eq!(resumed.on_replaced(ItemEnd::Whole), ItemEnd::Broken);
    assert_eq!(resumed.on_end(&settings, ItemEnd::Broken, 3, at(0)), None);
    let unknown = NextRun::Restart(RestartCause::Unknown);
    assert_eq!(next_run(&resumed, &targets, at(0)), unknown);
    let mut first = ItemProgress::default();
    assert!(first.begin(version("v1")));
    first.on_event(&event(1));
    assert_eq!(first.clone().on_replaced(ItemEnd::Broken), ItemEnd::Broken);
    let end = first.on_replaced(ItemEnd::Whole);
    assert_eq!(first.on_end(&settings, end, 3, at(0)), Some(ResultState::Completed));
    let mut untouched = broken_off(version("v1"));
    assert_eq!(untouched.on_replaced(ItemEnd::NotRun), ItemEnd::NotRun);
    assert_eq!(next_run(&untouched, &targets, at(0)), NextRun::Continue("v1".into()));
}

/// Guards against items of evacuated failure domains that wait for targets which get nothing.
#[test]
fn evacuated_targets_can_be_left_out() {
    let progress = broken_off(version("v1"));
    let mut targets = table(&[("t1", "v1"), ("t2", "v2")]);
    targets.set_evacuated(BTreeSet::from([DomainName::from("a")]), at(0));
    let is_open = |target: &TargetState| !targets.evacuated().contains(&target.entry.domain);
    let settings = ItemSettings::default();
    let next = progress.next_run(&settings, &targets, "chat", is_open, at(0));
    assert_eq!(next, NextRun::Restart(RestartCause::Gone));
}
