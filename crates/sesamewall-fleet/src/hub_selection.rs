//! Selects the assigned hub of a member, and determines how long an instance waits before it
//! becomes a hub.

use std::time::Duration;

use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;
use sesamewall_protocol::scaled;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::HubStatus;
use crate::datagrams::instance_key;

/// Hubs per failure domain. Three sustain the loss of one while another one is restarted.
pub const HUBS_PER_DOMAIN: usize = 3;

/// Settings of the hub selection.
#[derive(Clone, Debug)]
pub struct HubSelectorSettings {
    /// Time without a digest after which the assigned hub has timed out and the next hub is tried:
    /// several of the longest intervals between two digests.
    pub heartbeat_timeout: Duration,
    /// Time within which a newly assigned hub has to reply to a report with a digest.
    pub reply_timeout: Duration,
    /// Time for which a better hub has to be live before a member returns to it.
    pub return_delay: Duration,
}

impl Default for HubSelectorSettings {
    fn default() -> Self {
        Self {
            heartbeat_timeout: Duration::from_millis(400),
            reply_timeout: Duration::from_millis(150),
            return_delay: Duration::from_secs(3),
        }
    }
}

/// Selects the assigned hub of a member.
#[derive(Clone, Debug)]
pub struct HubSelector {
    settings: HubSelectorSettings,
    local: InstanceName,
    domain: DomainName,
    assigned_hub: Option<InstanceName>,
    since: Time,
    last_digest: Option<Time>,
    /// Hubs that have timed out since the last digest.
    tried_hubs: Vec<InstanceName>,
    better_since: Option<Time>,
}

impl HubSelector {
    /// Creates a selector of a member without an assigned hub.
    pub fn new(settings: HubSelectorSettings, local: InstanceName, domain: DomainName) -> Self {
        Self {
            settings,
            local,
            domain,
            assigned_hub: None,
            since: Time::ZERO,
            last_digest: None,
            tried_hubs: Vec::new(),
            better_since: None,
        }
    }

    /// Records a digest, if it comes from the assigned hub.
    pub fn on_digest(&mut self, hub: &InstanceName, now: Time) {
        if self.assigned_hub.as_ref() == Some(hub) {
            self.last_digest = Some(now);
            self.tried_hubs.clear();
        }
    }

    /// Returns the assigned hub; `None` while no hub is known.
    pub fn assigned_hub(&self) -> Option<&InstanceName> {
        self.assigned_hub.as_ref()
    }

    /// Selects the assigned hub, and returns it and whether it has changed. Hubs of the local
    /// failure domain are preferred; members spread over them by hashes of both names.
    pub fn choose(&mut self, hubs: &[HubStatus], now: Time) -> Option<(InstanceName, bool)> {
        let score = |hub: &HubStatus| {
            let same_domain = hub.domain == self.domain;
            let spread = xxh3_64_with_seed(
                hub.name.as_str().as_bytes(),
                u64::from(instance_key(&self.local)),
            );
            (!hub.draining, same_domain, spread)
        };
        let best = hubs.iter().filter(|hub| hub.name != self.local).max_by_key(|hub| score(hub));
        let present = self
            .assigned_hub
            .as_ref()
            .and_then(|assigned_hub| hubs.iter().find(|hub| hub.name == *assigned_hub));
        let timed_out = match self.last_digest {
            Some(at) => now.since(at) > self.settings.heartbeat_timeout,
            None => now.since(self.since) > self.settings.reply_timeout,
        };
        let leaving = present.is_none_or(|hub| hub.draining);
        if let (Some(assigned_hub), false, false) = (&self.assigned_hub, timed_out, leaving) {
            let ranked = best.filter(|best| present.is_some_and(|hub| score(best) > score(hub)));
            match (ranked, self.better_since) {
                (Some(_), Some(since)) if now.since(since) >= self.settings.return_delay => {}
                (Some(_), Some(_)) => return Some((assigned_hub.clone(), false)),
                (Some(_), None) => {
                    self.better_since = Some(now);
                    return Some((assigned_hub.clone(), false));
                }
                (None, _) => {
                    self.better_since = None;
                    return Some((assigned_hub.clone(), false));
                }
            }
        }
        if let (Some(assigned_hub), true) = (&self.assigned_hub, timed_out) {
            self.tried_hubs.push(assigned_hub.clone());
        }
        let mut untried: Vec<_> = hubs
            .iter()
            .filter(|hub| hub.name != self.local && !self.tried_hubs.contains(&hub.name))
            .collect();
        if untried.is_empty() {
            self.tried_hubs.clear();
            untried = hubs.iter().filter(|hub| hub.name != self.local).collect();
        }
        let next = untried.into_iter().max_by_key(|hub| score(hub))?.name.clone();
        self.assigned_hub = Some(next.clone());
        self.since = now;
        self.last_digest = None;
        self.better_since = None;
        Some((next, true))
    }
}

/// Settings of the claims for hub records.
#[derive(Clone, Debug)]
pub struct HubClaimSettings {
    /// Fraction of a CPU core from which a machine counts as large.
    pub large_cpu: f64,
    /// Wait of a machine without any CPU share before it claims a vacant hub record; larger
    /// machines wait less.
    pub small_wait: Duration,
    /// Additional wait of a machine that takes no callers' requests. Machines that serve callers
    /// are seldom cut off from all others at once.
    pub worker_wait: Duration,
    /// Longest random wait that is added.
    pub spread: Duration,
    /// Time for which a hub record has to be vacant before it is claimed, because its former hub
    /// may be back in a moment. A process that has just started does not wait.
    pub vacancy_delay: Duration,
}

impl Default for HubClaimSettings {
    fn default() -> Self {
        Self {
            large_cpu: 0.5,
            small_wait: Duration::from_millis(1000),
            worker_wait: Duration::from_millis(300),
            spread: Duration::from_millis(1000),
            vacancy_delay: Duration::from_secs(4),
        }
    }
}

impl HubClaimSettings {
    /// Returns the wait before an instance claims a vacant hub record. `share` is its fraction of a
    /// CPU core, `draw` a random number from 0 to 1.
    pub fn wait(&self, front: bool, share: f64, draw: f64) -> Duration {
        let small = (1.0 - share / self.large_cpu).clamp(0.0, 1.0);
        let worker = if front { Duration::ZERO } else { self.worker_wait };
        scaled(self.small_wait, small) + worker + scaled(self.spread, draw * small)
    }
}

/// A hub record of the local failure domain, as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The instance that the record names.
    pub name: InstanceName,
    /// Number of the record.
    pub number: usize,
    /// Store revision of the record.
    pub revision: u64,
}

/// What an instance does about a hub record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordStep {
    /// Claims the record, which names the instance, and acts as a hub.
    Take {
        /// Number of the record.
        number: usize,
        /// Store revision of the record.
        revision: u64,
    },
    /// Removes a record that names the instance in addition to the one that it keeps.
    Remove {
        /// Number of the record.
        number: usize,
        /// Store revision of the record.
        revision: u64,
    },
    /// Claims a record again, since the store does not have the one that the instance keeps.
    ClaimAgain,
}

/// Compares the hub records of the local failure domain with the record that the instance `local`
/// keeps; a member keeps none. A claim without a reply may have taken effect after it was given up,
/// and its record stays as long as the lease of the instance.
pub fn compare_records(
    local: &InstanceName,
    kept: Option<usize>,
    records: &[StoredRecord],
) -> Vec<RecordStep> {
    let own: Vec<&StoredRecord> = records.iter().filter(|record| record.name == *local).collect();
    let first = own.first().map(|record| record.number);
    let (keep, step) = match (kept, first) {
        (Some(kept), _) if own.iter().any(|record| record.number == kept) => (Some(kept), None),
        (Some(_), _) => (None, Some(RecordStep::ClaimAgain)),
        (None, first) => {
            let take = own.first().map(|record| RecordStep::Take {
                number: record.number,
                revision: record.revision,
            });
            (first, take)
        }
    };
    let extra = own
        .iter()
        .filter(|record| keep.is_some_and(|keep| keep != record.number))
        .map(|record| RecordStep::Remove { number: record.number, revision: record.revision });
    step.into_iter().chain(extra).collect()
}
