//! The datagrams with which instances tell each other their state.
//!
//! Each failure domain has a few hubs. A member sends reports to one hub, its home; a hub sends
//! digests to its members and beacons to all other hubs. Every datagram carries whole counts, so a
//! lost, repeated or reordered one does no harm.

use std::net::IpAddr;

use serde::Deserialize;
use serde::Serialize;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use xxhash_rust::xxh3::xxh3_64;

/// Requests at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetCount {
    /// The target, as `target_key` numbers it.
    pub key: u32,
    /// Online requests sent and not ended.
    pub online: u16,
    /// Batch items sent and not ended.
    pub batch: u16,
    /// Requests sent since the start of the process.
    pub started: u32,
}

/// Requests of the whole fleet at one target, as a hub sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target, as `target_key` numbers it.
    pub key: u32,
    /// Online requests sent and not ended.
    pub online: u16,
    /// Batch items sent and not ended.
    pub batch: u16,
    /// Requests sent in the last second.
    pub recent: u16,
}

/// Loads of the targets of one failure domain; targets that are not listed have none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DomainLoads {
    /// The failure domain, numbered by its name's hash.
    pub domain: u32,
    /// Its loaded targets.
    pub loads: Vec<TargetLoad>,
}

/// What an instance or a group of instances says about one client account.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AccountUsage {
    /// The account, numbered by its name's hash.
    pub account: u32,
    /// Requests sent on since the start of the process.
    pub consumed: i64,
    /// Tokens that the sender sees in the bucket; `None` while it does not know.
    pub level: Option<f32>,
}

/// How far a process has read what the operators and targets wrote to the store. Each part only rises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Versions {
    /// Version of the configuration in force.
    pub config: u64,
    /// Highest store revision of an operators' key.
    pub maintenance: u64,
    /// Store revision of the list of targets.
    pub table: u64,
}

impl Versions {
    /// Tells whether any part is below that of `other`.
    pub fn is_behind(&self, other: &Self) -> bool {
        self.config < other.config
            || self.maintenance < other.maintenance
            || self.table < other.table
    }

    /// Returns the higher of each part.
    pub fn merge(&self, other: &Self) -> Self {
        Self {
            config: self.config.max(other.config),
            maintenance: self.maintenance.max(other.maintenance),
            table: self.table.max(other.table),
        }
    }
}

/// An instance of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// The instance, as `instance_key` numbers it.
    pub key: u32,
    /// It takes callers' requests.
    pub front: bool,
}

/// An instance that exists and is not heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MissingInstance {
    /// The instance.
    pub member: Member,
    /// Milliseconds since it was heard last.
    pub elapsed_ms: u32,
}

/// What a worker says about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerStatus {
    /// Its name.
    pub name: InstanceName,
    /// Its address.
    pub address: IpAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Random number of its start.
    pub boot_id: u64,
    /// It takes no new jobs.
    pub draining: bool,
    /// The store serves it.
    pub store_reachable: bool,
    /// Batch items that wait for a place.
    pub backlog: u32,
    /// Batch items that run, by target.
    pub batch: Vec<(u32, u16)>,
}

/// Where a hub is, as others say it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HubStatus {
    /// Its name.
    pub name: InstanceName,
    /// Its address.
    pub address: IpAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// The store serves it.
    pub store_reachable: bool,
    /// It stops soon.
    pub draining: bool,
}

/// State of a hub and the sums over its group: itself and its members.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Beacon {
    /// The hub.
    pub hub: HubStatus,
    /// Random number of the hub's start.
    pub boot_id: u64,
    /// Rises with each beacon of a start.
    pub sequence: u64,
    /// Numbers of the hubs that the sender hears directly.
    pub direct_hubs: Vec<u32>,
    /// What the sender has read.
    pub versions: Versions,
    /// The group.
    pub members: Vec<Member>,
    /// Instances that are not heard.
    pub missing: Vec<MissingInstance>,
    /// Instances that ended in order a moment ago.
    pub departed: Vec<u32>,
    /// Counts of the group at targets.
    pub targets: Vec<TargetCount>,
    /// Spending of the group; accounts without news may be left out.
    pub accounts: Vec<AccountUsage>,
    /// The workers of the group.
    pub workers: Vec<WorkerStatus>,
    /// Hashes of requests that were running when targets crashed, with the crashes seen by the group.
    pub crash_counts: Vec<(u64, u8)>,
    /// Targets that someone of the group could not reach.
    pub unreachable: Vec<u32>,
}

/// State of a member, for its home.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// The member.
    pub instance: InstanceName,
    /// Its address.
    pub address: IpAddr,
    /// Random number of its start.
    pub boot_id: u64,
    /// Rises with each report of a start.
    pub sequence: u64,
    /// It takes callers' requests.
    pub front: bool,
    /// It has stopped and sends no further report.
    pub leaving: bool,
    /// Its counts at targets.
    pub targets: Vec<TargetCount>,
    /// Its spending; accounts without news may be left out.
    pub accounts: Vec<(u32, i64)>,
    /// What it says as a worker.
    pub worker: Option<WorkerStatus>,
    /// Crashes that it saw, by hash of the request.
    pub crash_counts: Vec<(u64, u8)>,
    /// Targets that it could not reach, as `target_key` numbers them.
    pub unreachable: Vec<u32>,
}

/// What a hub knows of the fleet, for its members.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Digest {
    /// The hub.
    pub hub: HubStatus,
    /// Random number of the hub's start.
    pub boot_id: u64,
    /// Rises with each digest of a start.
    pub sequence: u64,
    /// Number and last report of each member; the digest includes what these say.
    pub acked: Vec<(u32, u64)>,
    /// What the hub has read.
    pub versions: Versions,
    /// Loads of the own failure domain's targets, and in turn those of the others.
    pub loads: Vec<DomainLoads>,
    /// Online requests of the whole fleet.
    pub online: u32,
    /// Part of the fronts that is heard.
    pub front_coverage: f32,
    /// Part of all instances that is heard.
    pub fleet_coverage: f32,
    /// Number of the fronts that exist.
    pub fronts: u32,
    /// All instances are heard.
    pub complete: bool,
    /// The levels of the accounts' buckets are known.
    pub levels_known: bool,
    /// Accounts with less in their buckets than `LOW_FRACTION` of the burst.
    pub low_accounts: Vec<(u32, f32)>,
    /// Crashes seen by the fleet, by hash of the request.
    pub crash_counts: Vec<(u64, u8)>,
    /// Targets that someone could not reach.
    pub unreachable: Vec<u32>,
    /// All workers, now and then.
    pub workers: Option<Vec<WorkerStatus>>,
    /// All hubs that are heard, now and then.
    pub hubs: Option<Vec<HubStatus>>,
}

/// A message between two instances.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Datagram {
    /// A started instance asks for the hubs.
    Hello(IpAddr),
    /// The hubs that the sender knows.
    Hubs(Vec<HubStatus>),
    /// From a hub to a hub.
    Beacon(Box<Beacon>),
    /// From a member to its home.
    Report(Box<Report>),
    /// From a hub to its members.
    Digest(Box<Digest>),
}

impl Datagram {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding into memory fails only for types that these messages do not have.
        rmp_serde::to_vec(self).unwrap_or_default()
    }

    /// Decodes a message; `None` for anything else.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(bytes).ok()
    }
}

/// Returns the number under which messages name an instance.
pub fn instance_key(name: &InstanceName) -> u32 {
    xxh3_64(name.as_str().as_bytes()) as u32
}

/// Returns the number under which messages name a failure domain.
pub fn domain_key(name: &DomainName) -> u32 {
    xxh3_64(name.as_str().as_bytes()) as u32
}
