//! Decides how many slots batch items may use, and which items are preempted for online requests.

use std::collections::HashSet;
use std::time::Duration;

use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Peers;
use crate::TargetState;
use crate::TargetTable;
use crate::datagrams::domain_key;

/// Settings of the headroom for batch items.
#[derive(Clone, Debug)]
pub struct HeadroomSettings {
    /// Slots that new items leave free at each target while the online load is high. Online
    /// requests soon need every slot that becomes free then, and an item that is preempted shortly
    /// after its start has made little progress.
    pub peak_reserve: u32,
    /// Fraction of the slots in use by online requests from which the online load counts as high.
    pub peak_fraction: f64,
    /// Time to preempt an item, in addition to the age of the counts: the target has to notice that
    /// its connection has ended.
    pub preempt_time: Duration,
    /// Time for which a past peak of the rate of online requests is expected to return.
    pub peak_memory: Duration,
    /// Weight of a worker at targets of the same failure domain. Results that cross domains incur a
    /// charge.
    pub near_weight: f64,
}

impl Default for HeadroomSettings {
    fn default() -> Self {
        Self {
            peak_reserve: 2,
            peak_fraction: 0.4,
            preempt_time: Duration::from_millis(30),
            peak_memory: Duration::from_secs(8),
            near_weight: 4.0,
        }
    }
}

/// Decides where batch items start, and how many local items are preempted at a target.
#[derive(Clone, Debug, Default)]
pub struct BatchHeadroom {
    settings: HeadroomSettings,
    /// Highest rate of starts a second at one target, and the time at which it was recorded.
    peak: (f64, Time),
}

impl BatchHeadroom {
    /// Creates a state without a recorded peak.
    pub fn new(settings: HeadroomSettings) -> Self {
        Self { settings, peak: (0.0, Time::ZERO) }
    }

    /// Records the mean number of starts per target in the last second.
    pub fn on_starts(&mut self, rate: f64, now: Time) {
        let (peak, at) = self.peak;
        if rate >= peak || now.since(at) > self.settings.peak_memory {
            self.peak = (rate, now);
        }
    }

    /// Returns the slots that a new item leaves free at its target. `online` requests are in flight
    /// over all targets, which have `slots` together; `staleness` is the age of the counts. Between
    /// peaks the free slots have to suffice for the online requests that arrive before items are
    /// preempted.
    pub fn reserved_slots(&self, online: u32, slots: u32, staleness: Duration) -> u32 {
        let reaction = (staleness + self.settings.preempt_time).as_secs_f64();
        let unseen_starts = (self.peak.0 * reaction).round() as u32;
        match f64::from(online) >= self.settings.peak_fraction * f64::from(slots) {
            true => self.settings.peak_reserve.max(unseen_starts),
            false => unseen_starts,
        }
    }

    /// Returns the keys of the targets at which the local worker starts items now. The targets are
    /// divided among the workers that have waiting items, so that no two of them fill the same
    /// slot: each target is assigned to one worker with a probability by the workers' backlogs, and
    /// workers of the target's failure domain have a higher weight.
    pub fn assigned_targets(
        &self,
        local: &LocalBacklog<'_>,
        table: &TargetTable,
        peers: &Peers,
        now: Time,
    ) -> HashSet<u32> {
        let peer_workers: Vec<_> = peers
            .workers(now)
            .into_iter()
            .filter(|worker| !worker.draining && worker.backlog > 0)
            .map(|worker| (domain_key(&worker.domain), worker.backlog, &worker.name))
            .collect();
        let local_domain = domain_key(local.domain);
        let is_assigned = |target: &TargetState| {
            let local_score = self.score(local.name, local.backlog, local_domain, target);
            peer_workers.iter().all(|(domain, backlog, name)| {
                self.score(name, *backlog, *domain, target) <= local_score
            })
        };
        table.iter().filter(|target| is_assigned(target)).map(|target| target.key).collect()
    }

    /// Scores a worker at a target by weighted rendezvous hashing (Thaler and Ravishankar 1998,
    /// with the weights of Schindelhauer and Schomaker 2005). Weights are rounded to powers of two,
    /// so that few targets are reassigned when backlogs change a little.
    fn score(&self, name: &InstanceName, backlog: u32, domain: u32, target: &TargetState) -> f64 {
        let hash = xxh3_64_with_seed(name.as_str().as_bytes(), u64::from(target.key));
        let unit = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        let near = if domain == target.domain { self.settings.near_weight } else { 1.0 };
        let weight = backlog.max(1).checked_next_power_of_two().unwrap_or(u32::MAX);
        -near * f64::from(weight) / unit.ln()
    }

    /// Returns the number of local items to preempt at a target now. All workers compute the same
    /// order from the same counts: items of the workers with the lower names are preempted first.
    pub fn preempt_count(
        &self,
        local: &InstanceName,
        target: &TargetState,
        peers: &Peers,
        now: Time,
    ) -> u32 {
        let local_batch = u32::from(peers.local_at(target.key).batch);
        if local_batch == 0 {
            return 0;
        }
        let (online, batch) = peers.at_target(target.key);
        let excess = (online + batch).saturating_sub(target.entry.slots).min(batch);
        let before = peers
            .workers(now)
            .into_iter()
            .filter(|worker| worker.name < *local)
            .flat_map(|worker| worker.batch.iter())
            .filter(|(key, _)| *key == target.key)
            .map(|(_, batch)| u32::from(*batch))
            .sum::<u32>();
        excess.saturating_sub(before).min(local_batch)
    }
}

/// The local worker, as input to the assignment of targets.
#[derive(Clone, Copy, Debug)]
pub struct LocalBacklog<'a> {
    /// Name of the worker.
    pub name: &'a InstanceName,
    /// Failure domain of the worker.
    pub domain: &'a DomainName,
    /// Number of its waiting items.
    pub backlog: u32,
}
