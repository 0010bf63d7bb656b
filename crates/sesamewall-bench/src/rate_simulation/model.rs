//! Settings, schedule and history of a simulation.

use std::time::Duration;

use sesamewall_protocol::Time;
use sesamewall_rate::HolderSettings;
use sesamewall_rate::Limits;

/// Mechanism to disable, to show that the checks find its absence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DisabledMechanism {
    /// Disables nothing.
    #[default]
    None,
    /// Lets holders spend expired tokens.
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

/// Network faults in thousandths of the messages.
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
    /// Holder settings.
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
    /// The instance does nothing for a time, in which its clock runs on.
    Pause(usize, Duration),
    /// The instance and its clock stand still for a time.
    Freeze(usize, Duration),
    /// The failure domain is cut off from the others and from the store, or no longer is.
    Partition(usize, bool),
    /// The instance applies new limits of an account.
    Limits(usize, usize, Limits),
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFate {
    /// Without outcome: lost with its instance.
    Lost,
    /// Admitted at this time after this wait.
    Admitted(Time, Duration),
    /// Refused.
    Refused,
}

/// What the simulation saw.
#[derive(Debug, Default)]
pub struct History {
    /// Arrival time, account and fate of each request.
    pub requests: Vec<(Time, usize, RequestFate)>,
    /// Asks sent, per account.
    pub token_requests: Vec<u64>,
    /// Times at which the floors in force exceeded 1, with their sum in billionths.
    pub floor_violations: Vec<(Time, u64)>,
    /// Times at which each account's limits were applied by each instance.
    pub applied: Vec<(Time, usize, usize, Limits)>,
}
