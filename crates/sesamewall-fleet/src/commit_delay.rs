//! Decides how long finished items wait to be committed together with others.

use std::time::Duration;

use sesamewall_protocol::Time;

/// Settings of the commit delay.
#[derive(Clone, Debug)]
pub struct CommitSettings {
    /// Wait while the results are not due yet. Each group costs a write, and a read for each
    /// instance with a reader; results that a worker loses with its process are run again.
    pub early: Duration,
    /// Wait when the results are nearly or already due. Readers poll about twice a second.
    pub late: Duration,
    /// Time before the due time from which results count as nearly due: the early wait, the write, and
    /// a read.
    pub margin: Duration,
}

impl Default for CommitSettings {
    fn default() -> Self {
        Self {
            early: Duration::from_millis(1500),
            late: Duration::from_millis(400),
            margin: Duration::from_millis(3500),
        }
    }
}

impl CommitSettings {
    /// Returns the wait of a result that arrived at `from`, of a job that is due at `due`.
    pub fn delay(&self, due: Time, from: Time) -> Duration {
        match from + self.margin < due {
            true => self.early,
            false => self.late,
        }
    }
}
