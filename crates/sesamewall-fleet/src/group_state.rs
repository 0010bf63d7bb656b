//! The state of a hub's group, for its beacons.

use crate::Member;
use crate::MissingInstance;
use crate::TargetCount;
use crate::WorkerStatus;

/// The state of a group in a beacon.
#[derive(Clone, Debug)]
pub struct GroupState {
    /// Instances of the group, the hub first.
    pub members: Vec<Member>,
    /// Missing instances.
    pub missing: Vec<MissingInstance>,
    /// Instances that departed in order.
    pub departed: Vec<u32>,
    /// Request counts at targets.
    pub targets: Vec<TargetCount>,
    /// Workers of the group, without the hub itself.
    pub workers: Vec<WorkerStatus>,
    /// Keys of the hubs whose beacons are received directly.
    pub direct_hubs: Vec<u32>,
}
