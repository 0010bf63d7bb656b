//! Decides whether the route of an accepted job has been removed.
//!
//! The load that this answers: a worker that was paused, restarted or cut off has jobs on routes that
//! were added meanwhile.

/// What a worker knows when its configuration lacks the route of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteAbsence {
    /// Version of the configuration under which the job was accepted.
    pub accepted_version: u64,
    /// Version of the worker's configuration.
    pub local_version: u64,
    /// Whether the worker's state has been confirmed lately.
    pub confirmed: bool,
}

impl RouteAbsence {
    /// Returns whether the route was removed after the job was accepted. An older configuration may
    /// lack the route because it was not added yet, and one that is not confirmed may be older than
    /// another in which the route is back.
    pub fn is_certain(&self) -> bool {
        self.confirmed && self.local_version >= self.accepted_version
    }
}
