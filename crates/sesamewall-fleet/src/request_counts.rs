//! Counts of the requests of all instances at targets, and of their starts in the last second.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;

use crate::DomainLoads;
use crate::RequestLimits;
use crate::TargetCount;
use crate::TargetLoad;
use crate::request_limits::LONGEST_WINDOW;

/// Window of the limit on starts at a target that has named none itself.
const START_WINDOW: Duration = Duration::from_secs(1);

/// Time over which the local starts count against the share of a cold target: the second of the
/// limit, and the time by which requests may arrive closer together than they were chosen.
const SHARE_WINDOW: Duration = Duration::from_millis(1100);

/// Time for which a report lists a target after its last request started. It spans several reports,
/// so that no start is missed when some of them are lost.
const IDLE_LISTING: Duration = Duration::from_millis(1500);

/// Reports that are kept until a digest includes them: more than two seconds of reports.
const RETAINED_REPORTS: usize = 128;

#[derive(Clone, Copy, Debug, Default)]
struct Load {
    online: u32,
    batch: u32,
}

/// The last counts of another instance or group.
#[derive(Clone, Debug, Default)]
struct PeerCounts {
    boot_id: u64,
    targets: Vec<TargetCount>,
    started: HashMap<u32, u32>,
}

#[derive(Clone, Copy, Debug, Default)]
struct LocalCount {
    count: TargetCount,
    used: Time,
}

#[derive(Clone, Debug)]
struct Sent {
    sequence: u64,
    targets: Vec<TargetCount>,
}

/// Counts at targets: those of the local instance, and those of all peers, received from the peers
/// themselves (in a hub) or in the digests of the assigned hub (in a member).
#[derive(Clone, Debug, Default)]
pub struct RequestCounts {
    local: HashMap<u32, LocalCount>,
    peer_loads: HashMap<u32, Load>,
    peers: HashMap<InstanceName, PeerCounts>,
    /// Starts of the local group since the start of the process.
    group_started: HashMap<u32, u32>,
    starts: HashMap<u32, VecDeque<(Time, u32)>>,
    /// Times of the starts of the local instance.
    local_starts: HashMap<u32, VecDeque<Time>>,
    limits: RequestLimits,
    /// Loads by failure domain, from digests.
    digest_loads: HashMap<u32, Vec<TargetLoad>>,
    recent: HashMap<u32, u32>,
    sequence: u64,
    sent: VecDeque<Sent>,
    /// Local starts that no digest includes yet, with the report that lists them.
    pending: VecDeque<(u64, u32)>,
}

impl RequestCounts {
    /// Counts a request that the local instance is about to send.
    pub fn start(&mut self, key: u32, batch: bool, now: Time) {
        let local = self.local.entry(key).or_default();
        local.count.key = key;
        local.used = now;
        local.count.started += 1;
        match batch {
            true => local.count.batch += 1,
            false => local.count.online += 1,
        }
        let started = self.group_started.entry(key).or_default();
        *started = started.saturating_add(1);
        self.starts.entry(key).or_default().push_back((now, 1));
        self.local_starts.entry(key).or_default().push_back(now);
        self.pending.push_back((self.sequence + 1, key));
        if self.pending.len() > 4 * RETAINED_REPORTS {
            self.pending.pop_front();
        }
    }

    /// Removes a request of the local instance from the counts.
    pub fn end(&mut self, key: u32, batch: bool) {
        if let Some(local) = self.local.get_mut(&key) {
            match batch {
                true => local.count.batch = local.count.batch.saturating_sub(1),
                false => local.count.online = local.count.online.saturating_sub(1),
            }
        }
    }

    /// Applies the counts of another instance or group. `in_group` is true if its starts count as
    /// those of the local group.
    pub fn on_peer_counts(
        &mut self,
        name: &InstanceName,
        boot_id: u64,
        targets: &[TargetCount],
        in_group: bool,
        now: Time,
    ) {
        let mut peer = self.peers.remove(name).unwrap_or_default();
        subtract(&mut self.peer_loads, &peer.targets);
        let known = peer.boot_id == boot_id;
        if !known {
            peer.started.clear();
        }
        for count in targets {
            let load = self.peer_loads.entry(count.key).or_default();
            load.online += u32::from(count.online);
            load.batch += u32::from(count.batch);
            // The first counts after a start of the peer don't show how many requests started in
            // the last second. All of them may be recent, but hardly more than are still running.
            let before = match peer.started.insert(count.key, count.started) {
                Some(before) => before,
                None if known => 0,
                None => {
                    let running = u32::from(count.online) + u32::from(count.batch);
                    count.started.saturating_sub(running)
                }
            };
            let new_starts = count.started.saturating_sub(before);
            if new_starts > 0 {
                self.starts.entry(count.key).or_default().push_back((now, new_starts));
                if in_group {
                    let started = self.group_started.entry(count.key).or_default();
                    *started = started.saturating_add(new_starts);
                }
            }
        }
        peer.boot_id = boot_id;
        peer.targets = targets.to_vec();
        self.peers.insert(name.clone(), peer);
    }

    /// Removes the counts of another instance or group.
    pub fn drop_peer(&mut self, name: &InstanceName) {
        if let Some(peer) = self.peers.remove(name) {
            subtract(&mut self.peer_loads, &peer.targets);
        }
    }

    /// Applies the loads of a digest that includes the local report `acked`.
    pub fn on_loads(&mut self, acked: u64, domains: &[DomainLoads]) {
        while self.sent.front().is_some_and(|sent| sent.sequence < acked) {
            self.sent.pop_front();
        }
        while self.pending.front().is_some_and(|(sequence, _)| *sequence <= acked) {
            self.pending.pop_front();
        }
        let included = self.sent.front().filter(|sent| sent.sequence == acked);
        let included: Vec<TargetCount> =
            included.map(|sent| sent.targets.clone()).unwrap_or_default();
        for domain in domains {
            for load in self.digest_loads.remove(&domain.domain).unwrap_or_default() {
                self.peer_loads.remove(&load.key);
                self.recent.remove(&load.key);
            }
            for load in &domain.loads {
                let local = included.iter().find(|count| count.key == load.key);
                let local = local.copied().unwrap_or_default();
                let peer_load = Load {
                    online: u32::from(load.online.saturating_sub(local.online)),
                    batch: u32::from(load.batch.saturating_sub(local.batch)),
                };
                self.peer_loads.insert(load.key, peer_load);
                self.recent.insert(load.key, u32::from(load.recent));
            }
            self.digest_loads.insert(domain.domain, domain.loads.clone());
        }
    }

    /// Removes the counts of all peers when the instance becomes a hub or a member.
    pub fn reset_peers(&mut self) {
        self.peer_loads.clear();
        self.peers.clear();
        self.digest_loads.clear();
        self.recent.clear();
    }

    /// Returns the local counts for report `sequence`, and keeps them until a digest includes it.
    pub fn report_counts(&mut self, sequence: u64, now: Time) -> Vec<TargetCount> {
        self.sequence = sequence;
        let targets = self.local_counts(now);
        self.sent.push_back(Sent { sequence, targets: targets.clone() });
        if self.sent.len() > RETAINED_REPORTS {
            self.sent.pop_front();
        }
        targets
    }

    fn local_counts(&self, now: Time) -> Vec<TargetCount> {
        let listed = |local: &&LocalCount| {
            local.count.online > 0 || local.count.batch > 0 || now.since(local.used) < IDLE_LISTING
        };
        self.local.values().filter(listed).map(|local| local.count).collect()
    }

    /// Returns the sums over the local instance and the members `names`, for a beacon.
    pub fn group_counts<'a>(
        &self,
        names: impl Iterator<Item = &'a InstanceName>,
        now: Time,
    ) -> Vec<TargetCount> {
        let mut sums: HashMap<u32, TargetCount> = HashMap::new();
        let local = self.local_counts(now);
        let members = names.filter_map(|name| self.peers.get(name));
        for count in local.iter().chain(members.flat_map(|peer| peer.targets.iter())) {
            let sum = sums.entry(count.key).or_default();
            sum.key = count.key;
            sum.online = sum.online.saturating_add(count.online);
            sum.batch = sum.batch.saturating_add(count.batch);
            sum.started = self.group_started.get(&count.key).copied().unwrap_or_default();
        }
        sums.into_values().collect()
    }

    /// Returns the requests of all instances at a target: online and batch.
    pub fn at(&self, key: u32) -> (u32, u32) {
        let local = self.local.get(&key).map(|local| local.count).unwrap_or_default();
        let peer_load = self.peer_loads.get(&key).copied().unwrap_or_default();
        (peer_load.online + u32::from(local.online), peer_load.batch + u32::from(local.batch))
    }

    /// Returns the counts of the local instance at a target.
    pub fn local_at(&self, key: u32) -> TargetCount {
        self.local.get(&key).map(|local| local.count).unwrap_or_default()
    }

    /// Returns the batch items of the local instance by target.
    pub fn local_batch(&self) -> Vec<(u32, u16)> {
        let counts = self.local.values().map(|local| local.count);
        counts.filter(|count| count.batch > 0).map(|count| (count.key, count.batch)).collect()
    }

    /// Returns the online requests of the local instance.
    pub fn local_online(&self) -> u32 {
        self.local.values().map(|local| u32::from(local.count.online)).sum()
    }

    /// Returns the online requests of the local instance and of all peers from which counts were
    /// received.
    pub fn online(&self) -> u32 {
        self.local_online() + self.peer_loads.values().map(|load| load.online).sum::<u32>()
    }

    /// Returns the limits that targets have named.
    pub fn limits(&self) -> &RequestLimits {
        &self.limits
    }

    /// Returns the limits that targets have named, to change them.
    pub fn limits_mut(&mut self) -> &mut RequestLimits {
        &mut self.limits
    }

    /// Returns the starts of all instances at a target in the window of its limit, or in the last
    /// second if it has named none.
    pub fn recent_starts(&self, key: u32, now: Time) -> u32 {
        if !self.digest_loads.is_empty() {
            let local = self.pending.iter().filter(|(_, started)| *started == key).count() as u32;
            return self.recent.get(&key).copied().unwrap_or_default() + local;
        }
        let window = self.limits.allowance(key).map_or(START_WINDOW, |allowance| allowance.window);
        let recent = |(at, _): &&(Time, u32)| now.since(*at) < window;
        let starts = self.starts.get(&key).into_iter().flatten().filter(recent);
        starts.map(|(_, count)| *count).fold(0, u32::saturating_add)
    }

    /// Returns the starts of the local instance at a target that count against its share.
    pub fn local_starts(&self, key: u32, now: Time) -> u32 {
        let starts = self.local_starts.get(&key).into_iter().flatten();
        starts.filter(|at| now.since(**at) < SHARE_WINDOW).count() as u32
    }

    /// Returns the load of a target for a digest; `None` if there is none.
    pub fn load(&self, key: u32, now: Time) -> Option<TargetLoad> {
        let small = |count: u32| u16::try_from(count).unwrap_or(u16::MAX);
        let (online, batch) = self.at(key);
        let recent = self.recent_starts(key, now);
        let load =
            TargetLoad { key, online: small(online), batch: small(batch), recent: small(recent) };
        (online > 0 || batch > 0 || recent > 0).then_some(load)
    }

    /// Removes old starts, and local counts of targets that have no request and for which `keep`
    /// returns false.
    pub fn on_tick(&mut self, keep: impl Fn(u32) -> bool, now: Time) {
        for starts in self.starts.values_mut() {
            while starts.front().is_some_and(|(at, _)| now.since(*at) >= LONGEST_WINDOW) {
                starts.pop_front();
            }
        }
        self.starts.retain(|_, starts| !starts.is_empty());
        for starts in self.local_starts.values_mut() {
            while starts.front().is_some_and(|at| now.since(*at) >= SHARE_WINDOW) {
                starts.pop_front();
            }
        }
        self.local_starts.retain(|_, starts| !starts.is_empty());
        self.limits.on_tick(&keep, now);
        self.local
            .retain(|key, local| local.count.online > 0 || local.count.batch > 0 || keep(*key));
        self.group_started.retain(|key, _| keep(*key));
        for peer in self.peers.values_mut() {
            peer.started.retain(|key, _| keep(*key));
        }
    }
}

fn subtract(peer_loads: &mut HashMap<u32, Load>, counts: &[TargetCount]) {
    for count in counts {
        if let Some(load) = peer_loads.get_mut(&count.key) {
            load.online = load.online.saturating_sub(u32::from(count.online));
            load.batch = load.batch.saturating_sub(u32::from(count.batch));
            if load.online == 0 && load.batch == 0 {
                peer_loads.remove(&count.key);
            }
        }
    }
}
