//! Settings, schedule and history of a simulation.

use std::time::Duration;

use sesamewall_protocol::Time;
use sesamewall_rate::HolderSettings;
use sesamewall_rate::Limits;

/// Mechanism that a simulation disables so that a test can detect its absence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DisabledMechanism {
    /// Disables nothing.
    #[default]
    None,
    /// Lets grant holders consume expired tokens.
    Expiry,
    /// Credits each grant twice.
    Counters,
    /// Lets a new lead grant at once, with full buckets.
    Takeover,
    /// Lets a lead grant after its lease ended.
    LeadLease,
    /// Lets a backup lead hold another floor without the floor lease.
    FloorLease,
}

/// Probabilities of network faults in thousandths of the messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    /// Dropped messages.
    pub dropped: u32,
    /// Messages delivered twice.
    pub duplicated: u32,
    /// Messages delayed by up to `max_delay`, so that later ones overtake them.
    pub delayed: u32,
    /// Longest extra delay.
    pub max_delay: Duration,
}

/// Configures a simulation.
#[derive(Clone, Debug)]
pub struct Simulation {
    /// Failure domains.
    pub domains: usize,
    /// Instances; instance i is in failure domain i modulo `domains`.
    pub instances: usize,
    /// Rate and burst per account.
    pub limits: Vec<Limits>,
    /// Settings of the grant holders.
    pub holder: HolderSettings,
    /// Network faults.
    pub network: Network,
    /// One-way latency.
    pub latency: Duration,
    /// Disabled mechanism.
    pub disabled: DisabledMechanism,
    /// Seed of the network.
    pub seed: u64,
}

/// An event of the schedule that the caller gives.
#[derive(Clone, Debug)]
pub enum Step {
    /// A request; a lost instance's requests go to the next one.
    Request {
        /// Account number.
        account: usize,
        /// Instance number.
        instance: usize,
    },
    /// The instance is lost.
    Kill(usize),
    /// A lost instance starts anew.
    Start(usize),
    /// The instance does nothing for a time, while its clock continues to run.
    Pause(usize, Duration),
    /// The instance and its clock stop for a time.
    Freeze(usize, Duration),
    /// Whether the failure domain is partitioned from the others and from the store.
    Partition(usize, bool),
    /// The instance applies new limits of an account.
    Limits(usize, usize, Limits),
}

/// Result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFate {
    /// Lost with its instance, without a result.
    Lost,
    /// Admitted at this time after this wait.
    Admitted(Time, Duration),
    /// Refused.
    Refused,
}

/// Events that a simulation recorded.
#[derive(Debug, Default)]
pub struct History {
    /// Arrival time, account and fate of each request.
    pub requests: Vec<(Time, usize, RequestFate)>,
    /// Token requests sent, per account.
    pub token_requests: Vec<u64>,
    /// Times at which the floors in force exceeded 1, with their sum in billionths.
    pub floor_violations: Vec<(Time, u64)>,
    /// Times at which each account's limits were applied by each instance.
    pub applied: Vec<(Time, usize, usize, Limits)>,
}
