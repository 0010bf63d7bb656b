//! What a write without a reply may still do.

/// The condition of a write on one key, and the key's present state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteCondition {
    /// Revision that the key must have; 0 if it must not exist.
    pub expected: u64,
    /// Revision that the key has; 0 if it does not exist.
    pub present: u64,
}

/// Returns whether an earlier try of a write with these conditions, whose reply was lost, may still
/// take effect. A condition on a revision never holds again once it has failed, since revisions only
/// increase; a key that must not exist may be removed.
pub fn may_take_effect(conditions: &[WriteCondition]) -> bool {
    conditions
        .iter()
        .all(|condition| condition.expected == 0 || condition.expected == condition.present)
}
