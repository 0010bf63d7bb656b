//! The datagram with which instances tell each other their counts.

use std::net::IpAddr;

use serde::Deserialize;
use serde::Serialize;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use xxhash_rust::xxh3::xxh3_64;

use crate::Spending;

/// What an instance has at one target.
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

/// The state of one instance. A lost or reordered beacon does no harm: each carries all counts.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Beacon {
    /// The sender.
    pub instance: InstanceName,
    /// Its address.
    pub address: IpAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Random number of the sender's start.
    pub boot: u64,
    /// Rises with each beacon of a start.
    pub sequence: u64,
    /// The sender takes callers' requests.
    pub front: bool,
    /// The sender runs batch items.
    pub worker: bool,
    /// The sender stops soon.
    pub draining: bool,
    /// The store serves the sender.
    pub store: bool,
    /// Numbers of the instances that the sender hears directly.
    pub heard: Vec<u32>,
    /// Version of the configuration in force at the sender.
    pub config: u64,
    /// Highest store revision of an operators' key that the sender has read.
    pub notices: u64,
    /// Counts at targets, without those that are all zero.
    pub targets: Vec<TargetCount>,
    /// Spending of client accounts.
    pub accounts: Vec<Spending>,
    /// Jobs that the sender runs, and the groups of results that it has committed.
    pub jobs: Vec<(u32, u32)>,
    /// Batch items that wait for a place at the sender.
    pub backlog: u32,
    /// Hashes of requests that were running when targets crashed, with the number of crashes seen.
    pub suspects: Vec<(u64, u8)>,
}

/// Returns the number under which beacons name an instance.
pub fn instance_key(name: &InstanceName) -> u32 {
    xxh3_64(name.as_str().as_bytes()) as u32
}

impl Beacon {
    /// Encodes the beacon for one datagram.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).unwrap_or_default()
    }

    /// Decodes a datagram; `None` for anything else.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(bytes).ok()
    }
}
