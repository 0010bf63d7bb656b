//! Tests of what a write without a reply may still do.

use sesamewall_fleet::WriteCondition;
use sesamewall_fleet::may_take_effect;

/// Guards against a refusal of a job whose acceptance takes effect afterwards: another key that must
/// not exist does not stop an earlier try for good, a changed revision does.
#[test]
fn only_a_changed_revision_stops_an_earlier_try() {
    let absent = |present| WriteCondition { expected: 0, present };
    let claimed = |present| WriteCondition { expected: 7, present };
    assert!(may_take_effect(&[absent(0), absent(5)]));
    assert!(may_take_effect(&[absent(5), claimed(7)]));
    assert!(!may_take_effect(&[absent(0), claimed(9)]));
    assert!(!may_take_effect(&[absent(5), claimed(0)]));
}
