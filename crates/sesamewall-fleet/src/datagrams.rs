//! The datagrams with which instances send each other their state.
//!
//! Each failure domain has a few hubs. A member sends reports to one hub, its assigned hub; a hub
//! sends digests to its members and beacons to all other hubs. Every datagram carries complete
//! counts, so a lost, repeated or reordered one does no harm.

use std::net::IpAddr;

use rmp_serde::Deserializer;
use serde::Deserialize;
use serde::Serialize;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use xxhash_rust::xxh3::xxh3_64;

use crate::NamedLimit;
use crate::PartEvidence;
use crate::RolloutNews;
use crate::StreamRecord;
use crate::VersionAnswer;
use crate::VersionQuery;

/// Requests of one instance or group at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetCount {
    /// Key of the target, from `target_key`.
    pub key: u32,
    /// Online requests sent and not ended.
    pub online: u16,
    /// Batch items sent and not ended.
    pub batch: u16,
    /// Requests sent since the start of the process.
    pub started: u32,
}

/// Requests of the whole fleet at one target, as counted by a hub.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetLoad {
    /// Key of the target, from `target_key`.
    pub key: u32,
    /// Online requests sent and not ended.
    pub online: u16,
    /// Batch items sent and not ended.
    pub batch: u16,
    /// Requests sent in the last second, or in the window of the limit that the target has named.
    pub recent: u16,
}

/// Loads of the targets of one failure domain; targets that are not listed have no requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DomainLoads {
    /// Key of the failure domain, from `domain_key`.
    pub domain: u32,
    /// Its loaded targets.
    pub loads: Vec<TargetLoad>,
}

/// Usage of one client account by an instance or a group of instances.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AccountUsage {
    /// Key of the account, from `account_key`.
    pub account: u32,
    /// Tokens consumed since the start of the process, one per forwarded request.
    pub consumed: i64,
    /// Level of the bucket at the sender; `None` while it is unknown there.
    pub level: Option<f32>,
}

/// How far a process has read the keys that operators and targets write to the store. No field ever
/// decreases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Versions {
    /// Version of the configuration in force.
    pub config: u64,
    /// Highest store revision of the operators' keys, which give the maintenance state.
    pub maintenance: u64,
    /// Store revision of the target table.
    pub table: u64,
}

impl Versions {
    /// Returns whether any field is lower than that of `other`.
    pub fn is_behind(&self, other: &Self) -> bool {
        self.config < other.config
            || self.maintenance < other.maintenance
            || self.table < other.table
    }

    /// Returns the higher value of each field.
    pub fn merge(&self, other: &Self) -> Self {
        Self {
            config: self.config.max(other.config),
            maintenance: self.maintenance.max(other.maintenance),
            table: self.table.max(other.table),
        }
    }
}

/// How far a hub has read, and how long ago that was complete. It is a datagram of its own, since
/// an instance of another build ignores it and reads the other datagrams as before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Confirmation {
    /// Versions that the sender has read.
    pub versions: Versions,
    /// Milliseconds since the call that read the operators' keys was sent.
    pub operators_age: u32,
    /// Milliseconds since the call that read the targets' entries was sent.
    pub targets_age: u32,
}

/// An instance of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Key of the instance, from `instance_key`.
    pub key: u32,
    /// The instance takes callers' requests.
    pub front: bool,
}

/// A known instance from which nothing was received within the live timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MissingInstance {
    /// The instance.
    pub member: Member,
    /// Milliseconds since the last datagram from the instance.
    pub elapsed_ms: u32,
}

/// Status of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerStatus {
    /// Name of the instance.
    pub name: InstanceName,
    /// Address of the instance.
    pub address: IpAddr,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Random number of the process start.
    pub boot_id: u64,
    /// The worker takes no new jobs.
    pub draining: bool,
    /// The instance can reach the store.
    pub store_reachable: bool,
    /// Batch items that wait for a slot.
    pub backlog: u32,
    /// Running batch items by target.
    pub batch: Vec<(u32, u16)>,
}

/// Address and status of a hub, as instances forward it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HubStatus {
    /// Name of the instance.
    pub name: InstanceName,
    /// Address of the instance.
    pub address: IpAddr,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// The instance can reach the store.
    pub store_reachable: bool,
    /// The hub is about to stop.
    pub draining: bool,
}

/// State of a hub, and the sums over its group: the hub and its members.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Beacon {
    /// The hub.
    pub hub: HubStatus,
    /// Random number of the start of the hub's process.
    pub boot_id: u64,
    /// Number that rises with each beacon of a process start.
    pub sequence: u64,
    /// Keys of the hubs whose beacons the sender receives directly.
    pub direct_hubs: Vec<u32>,
    /// Versions that the sender has read.
    pub versions: Versions,
    /// Live instances of the group.
    pub members: Vec<Member>,
    /// Missing instances.
    pub missing: Vec<MissingInstance>,
    /// Keys of the instances that departed recently.
    pub departed: Vec<u32>,
    /// Counts of the group at targets.
    pub targets: Vec<TargetCount>,
    /// Usage by the group; accounts without a recent change may be left out.
    pub accounts: Vec<AccountUsage>,
    /// The workers of the group.
    pub workers: Vec<WorkerStatus>,
    /// Number of target crashes during which a request was running, as observed by the group, by
    /// hash of the request.
    pub crash_counts: Vec<(u64, u8)>,
    /// Keys of the targets that an instance of the group could not reach.
    pub unreachable: Vec<u32>,
    /// Evidence of the group against parts of prompts.
    #[serde(default)]
    pub part_evidence: Vec<PartEvidence>,
    /// Limits that targets have named, as far as the group has heard. Instances of builds that do not
    /// know them cannot read datagrams with any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<NamedLimit>,
    /// State of the rollouts. It is encoded after the datagram, see `Datagram::encode`.
    #[serde(skip)]
    pub rollouts: RolloutNews,
}

/// The fronts of a failure domain, live or not, as its hub knows them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FrontList {
    /// Key of the failure domain, from `domain_key`.
    pub domain: u32,
    /// Keys of the fronts, from `instance_key`.
    pub fronts: Vec<u32>,
    /// Number of the fronts as stored; `None` if the hub does not know it.
    pub size: Option<u32>,
}

/// State of a member, for its assigned hub.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// The member.
    pub instance: InstanceName,
    /// Address of the instance.
    pub address: IpAddr,
    /// Random number of the process start.
    pub boot_id: u64,
    /// Number that rises with each report of a process start.
    pub sequence: u64,
    /// The instance takes callers' requests.
    pub front: bool,
    /// The member has stopped and sends no further report.
    pub leaving: bool,
    /// Request counts of the member at targets.
    pub targets: Vec<TargetCount>,
    /// Tokens consumed by the member, by account; accounts without a recent change may be left out.
    pub accounts: Vec<(u32, i64)>,
    /// Status of the member as a worker; `None` if it is none.
    pub worker: Option<WorkerStatus>,
    /// Target crashes that the member observed, by hash of the request.
    pub crash_counts: Vec<(u64, u8)>,
    /// Keys of the targets that the member could not reach, from `target_key`.
    pub unreachable: Vec<u32>,
    /// Evidence of the member against parts of prompts.
    #[serde(default)]
    pub part_evidence: Vec<PartEvidence>,
    /// Limits that targets have named, as far as the member has heard. Instances of builds that do not
    /// know them cannot read datagrams with any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<NamedLimit>,
    /// State of the rollouts. It is encoded after the datagram, see `Datagram::encode`.
    #[serde(skip)]
    pub rollouts: RolloutNews,
}

/// State of the fleet as known to a hub, for its members.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Digest {
    /// The hub.
    pub hub: HubStatus,
    /// Random number of the start of the hub's process.
    pub boot_id: u64,
    /// Number that rises with each digest of a process start.
    pub sequence: u64,
    /// Key and last report of each member; the digest includes the state of these reports.
    pub acked: Vec<(u32, u64)>,
    /// Versions that the hub has read.
    pub versions: Versions,
    /// Loads of the targets of the hub's failure domain, and of one of the other domains in turn.
    pub loads: Vec<DomainLoads>,
    /// Online requests of the whole fleet.
    pub online: u32,
    /// Front coverage: fraction of the fronts from which state is currently received.
    #[serde(deserialize_with = "fraction")]
    pub front_coverage: f32,
    /// Fleet coverage: fraction of all instances from which state is currently received.
    #[serde(deserialize_with = "fraction")]
    pub fleet_coverage: f32,
    /// Number of existing fronts, live or not.
    pub fronts: u32,
    /// All instances are live.
    pub complete: bool,
    /// The levels of the accounts' buckets are known.
    pub levels_known: bool,
    /// Keys and levels of the accounts with a level below `LOW_FRACTION` of the burst.
    pub low_accounts: Vec<(u32, f32)>,
    /// Target crashes observed by the fleet, by hash of the request.
    pub crash_counts: Vec<(u64, u8)>,
    /// Keys of the targets that some instance could not reach.
    pub unreachable: Vec<u32>,
    /// All live workers; sent only in some digests.
    pub workers: Option<Vec<WorkerStatus>>,
    /// All live hubs; sent only in some digests.
    pub hubs: Option<Vec<HubStatus>>,
    /// Evidence of the fleet against parts of prompts.
    #[serde(default)]
    pub part_evidence: Vec<PartEvidence>,
    /// Limits that targets have named, as far as the fleet has heard. Instances of builds that do not
    /// know them cannot read datagrams with any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<NamedLimit>,
    /// State of the rollouts. It is encoded after the datagram, see `Datagram::encode`.
    #[serde(skip)]
    pub rollouts: RolloutNews,
}

/// Decodes a fraction, from 0 to 1; anything else becomes the nearest one, and 0 if it is undefined.
fn fraction<'de, D: serde::Deserializer<'de>>(from: D) -> Result<f32, D::Error> {
    f32::deserialize(from).map(|value| if value.is_nan() { 0.0 } else { value.clamp(0.0, 1.0) })
}

/// A datagram between two instances.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Datagram {
    /// Request of a started instance for the list of hubs, with its address.
    Hello(IpAddr),
    /// Reply to a hello: the hubs that are known to the sender.
    Hubs(Vec<HubStatus>),
    /// From a hub to a hub.
    Beacon(Box<Beacon>),
    /// From a member to its assigned hub.
    Report(Box<Report>),
    /// From a hub to its members.
    Digest(Box<Digest>),
    /// From a hub that has read the store to all hubs, and from each hub to its members.
    Confirmation(Confirmation),
    /// From a hub to its members.
    FrontList(FrontList),
    /// From the instance that forwards the first event of a stream to the holders of its version.
    StreamRecord(StreamRecord),
    /// From an instance at which a client takes a stream up to the holders of its version.
    VersionQuery(VersionQuery),
    /// From a holder to the instance that asked.
    VersionAnswer(VersionAnswer),
}

impl Datagram {
    /// Encodes the datagram. The state of rollouts follows it while there is any: fields are encoded
    /// by position, so a second one that may be left out could not be told from `limits`, and
    /// instances of builds that do not know it read the datagram without it.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding into memory fails only for types that these datagrams do not contain.
        let mut bytes = rmp_serde::to_vec(self).unwrap_or_default();
        if let Some(news) = self.rollouts().filter(|news| !news.is_empty()) {
            bytes.extend(rmp_serde::to_vec(news).unwrap_or_default());
        }
        bytes
    }

    /// Decodes a datagram; `None` for any other bytes. Bytes after it that are no state of rollouts
    /// are ignored, as they were before there was any.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let mut rest = bytes;
        let mut datagram = Self::deserialize(&mut Deserializer::new(&mut rest)).ok()?;
        if let (false, Some(rollouts)) = (rest.is_empty(), datagram.rollouts_mut()) {
            *rollouts = rmp_serde::from_slice(rest).unwrap_or_default();
        }
        Some(datagram)
    }

    fn rollouts(&self) -> Option<&RolloutNews> {
        match self {
            Self::Beacon(beacon) => Some(&beacon.rollouts),
            Self::Report(report) => Some(&report.rollouts),
            Self::Digest(digest) => Some(&digest.rollouts),
            Self::Hello(_)
            | Self::Hubs(_)
            | Self::Confirmation(_)
            | Self::FrontList(_)
            | Self::StreamRecord(_)
            | Self::VersionQuery(_)
            | Self::VersionAnswer(_) => None,
        }
    }

    fn rollouts_mut(&mut self) -> Option<&mut RolloutNews> {
        match self {
            Self::Beacon(beacon) => Some(&mut beacon.rollouts),
            Self::Report(report) => Some(&mut report.rollouts),
            Self::Digest(digest) => Some(&mut digest.rollouts),
            Self::Hello(_)
            | Self::Hubs(_)
            | Self::Confirmation(_)
            | Self::FrontList(_)
            | Self::StreamRecord(_)
            | Self::VersionQuery(_)
            | Self::VersionAnswer(_) => None,
        }
    }
}

/// Returns the key of an instance in datagrams.
pub fn instance_key(name: &InstanceName) -> u32 {
    xxh3_64(name.as_str().as_bytes()) as u32
}

/// Returns the key of a failure domain in datagrams.
pub fn domain_key(name: &DomainName) -> u32 {
    xxh3_64(name.as_str().as_bytes()) as u32
}
