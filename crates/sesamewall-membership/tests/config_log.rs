//! Guards against a configuration log that an instance cannot follow after trimming, damage or a
//! restore of the store.

use sesamewall_membership::ChangeRequest;
use sesamewall_membership::ChangeWriter;
use sesamewall_membership::ConfigFollower;
use sesamewall_membership::SnapshotPlan;
use sesamewall_membership::log_format::MAX_VALUE_BYTES;
use sesamewall_membership::log_format::SnapshotHead;
use sesamewall_membership::log_format::change_key;
use sesamewall_membership::snapshot_due;
use sesamewall_protocol::Change;
use sesamewall_protocol::Error;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::MembershipMessage;

use crate::fixtures::account;
use crate::fixtures::change;

/// Returns `count` changes of 20 accounts each.
fn history(count: u64) -> Vec<Change> {
    let operations = |n: u64| (0..20).map(|k| account(&format!("account-{n}-{k}"))).collect();
    (1..=count).map(|n| change(n, &format!("op{n}"), operations(n))).collect()
}

fn follower_of(changes: &[Change]) -> ConfigFollower {
    let mut follower = ConfigFollower::default();
    follower.add_changes(changes.iter().cloned());
    follower
}

#[test]
fn snapshot_and_later_changes_start_an_instance() {
    let changes = history(600);
    let at_512 = follower_of(&changes[..512]);
    assert!(snapshot_due(512, Some(SnapshotHead { revision: 256, parts: 1 })));
    assert!(!snapshot_due(511, Some(SnapshotHead { revision: 256, parts: 1 })));
    let old = Some(SnapshotHead { revision: 256, parts: 1 });
    let plan = SnapshotPlan::new(at_512.config(), old).unwrap();
    assert!(plan.chunks.len() > 1, "the snapshot must need several chunks");
    assert!(plan.chunks.iter().all(|(_, chunk)| chunk.len() <= MAX_VALUE_BYTES));
    assert!(plan.delete.contains(&change_key(256)) && !plan.delete.contains(&change_key(257)));
    let mut fresh = ConfigFollower::default();
    fresh.add_changes(changes[520..].iter().cloned());
    assert!(fresh.has_gap() && fresh.config().revision() == 0);
    // Chunks arrive in reverse order, and one first arrives damaged.
    for (_, chunk) in plan.chunks.iter().rev() {
        fresh.add_chunk(&chunk.replacen("account-1-", "account-9-", 1));
        fresh.add_chunk(chunk);
    }
    assert_eq!(fresh.config().revision(), 512);
    fresh.add_changes(changes[512..520].iter().cloned());
    assert_eq!(fresh.config().revision(), 600);
    assert!(fresh.config().diff(follower_of(&changes).config()).is_empty());
}

#[test]
fn an_instance_far_behind_gets_a_snapshot_from_a_peer() {
    let peer = follower_of(&history(600));
    let mut fresh = ConfigFollower::default();
    assert_eq!(fresh.on_peer_revision(Time::from_millis(1), &"i1".into(), 600).len(), 1);
    for message in peer.changes_since(0) {
        let MembershipMessage::ConfigSnapshot { chunk } = message else { panic!("{message:?}") };
        fresh.add_chunk(&chunk);
    }
    assert_eq!(fresh.config().revision(), 600);
    let [MembershipMessage::ConfigDiff { changes }] = &peer.changes_since(590)[..] else {
        panic!()
    };
    assert_eq!(changes.len(), 10);
    assert!(peer.changes_since(600).is_empty());
}

#[test]
fn old_values_of_a_restored_store_are_ignored() {
    let changes = history(20);
    let mut follower = follower_of(&changes);
    let other = change(15, "other", vec![account("other")]);
    assert!(follower.add_changes([changes[3].clone(), other]).is_empty());
    assert_eq!((follower.config().revision(), follower.ignored()), (20, 2));
    assert!(follower.config().account("other").is_none());
    let missing: Vec<u64> = follower.missing_in_store(17).iter().map(|c| c.revision).collect();
    assert_eq!(missing, [18, 19, 20]);
}

#[test]
fn a_change_against_an_old_revision_names_the_winner() {
    let follower = follower_of(&history(3));
    let request = ChangeRequest {
        against: 2,
        token: "t".into(),
        author: "late".into(),
        at_ms: 0,
        operations: vec![account("late")],
    };
    let error = ChangeWriter::start(&follower, request, true).unwrap_err();
    let winner = "op3".to_owned();
    assert_eq!(error, Error::RevisionConflict { against: 2, current: 3, winner });
}
