//! Settings of the state that an instance receives from its peers.

use std::time::Duration;

use crate::LivenessSettings;

/// Settings of the view of the peers.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Settings of the liveness of instances.
    pub liveness: LivenessSettings,
    /// Age of the last datagram of an instance or group after which its counts are removed.
    pub expiry: Duration,
    /// Age of the last digest after which a member no longer uses its list of workers.
    pub stale_after: Duration,
    /// Shortest time between two beacons or digests of a hub, per instance of the fleet. It grows
    /// with the fleet so that the number of datagrams a second stays about the same in fleets of
    /// any size.
    pub interval: Duration,
    /// Shortest and longest value of the time between two beacons or digests.
    pub interval_limits: (Duration, Duration),
    /// Shortest time between two reports of a member.
    pub report_interval: Duration,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            liveness: LivenessSettings::default(),
            expiry: Duration::from_millis(1500),
            stale_after: Duration::from_secs(3),
            interval: Duration::from_micros(200),
            interval_limits: (Duration::from_millis(8), Duration::from_millis(60)),
            report_interval: Duration::from_millis(10),
        }
    }
}
