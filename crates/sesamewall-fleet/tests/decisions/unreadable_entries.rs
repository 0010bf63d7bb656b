//! Tests of the record of unreadable entries.

use std::collections::HashSet;

use sesamewall_fleet::UnreadableEntries;
use sesamewall_fleet::UnreadableSettings;

/// Guards against a log line at each read for an entry that stays unreadable.
#[test]
fn an_unreadable_entry_is_logged_when_it_changes() {
    let mut entries = UnreadableEntries::default();
    assert!(entries.on_unreadable("a", "no JSON"));
    for _ in 0..100 {
        assert!(!entries.on_unreadable("a", "no JSON"));
        entries.retain(&HashSet::from(["a", "b"]));
    }
    assert!(entries.on_unreadable("a", "no address"));
    entries.on_readable("a");
    assert!(entries.on_unreadable("a", "no address"));
    entries.retain(&HashSet::from(["b"]));
    assert!(entries.on_unreadable("a", "no address"));
}

/// Guards against memory and log lines without a bound for a writer that leaves ever new entries.
#[test]
fn the_lines_of_many_unreadable_entries_are_bounded() {
    let settings = UnreadableSettings::default();
    let limit = settings.max_entries;
    let mut entries = UnreadableEntries::new(settings);
    let keys = (0..10 * limit).map(|number| format!("key{number}"));
    let lines = keys.filter(|key| entries.on_unreadable(key, "no JSON")).count();
    assert_eq!(lines, limit);
    entries.on_readable("key0");
    assert!(entries.on_unreadable("key-new", "no JSON"));
}
