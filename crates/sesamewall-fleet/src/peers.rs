//! What an instance has heard of the others, as a hub or as a member of a hub's group.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;

use crate::Beacon;
use crate::Digest;
use crate::DomainLoads;
use crate::FleetCoverage;
use crate::HubStatus;
use crate::Liveness;
use crate::LivenessSettings;
use crate::Member;
use crate::Report;
use crate::RequestCounts;
use crate::TargetCount;
use crate::TargetTable;
use crate::WorkerStatus;
use crate::datagrams::domain_key;
use crate::datagrams::instance_key;

/// Settings of the view of the other instances.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Which instances exist, and which are heard.
    pub liveness: LivenessSettings,
    /// Silence after which the counts of an instance or group are forgotten.
    pub expiry: Duration,
    /// Silence of the home after which a member's word about workers and hubs is too old.
    pub stale_after: Duration,
    /// Shortest time between two beacons or digests of a hub, for each instance of the fleet: the
    /// datagrams of a second stay about the same in fleets of any size.
    pub interval: Duration,
    /// Bounds of that time.
    pub interval_bounds: (Duration, Duration),
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
            interval_bounds: (Duration::from_millis(8), Duration::from_millis(60)),
            report_interval: Duration::from_millis(10),
        }
    }
}

/// Who the own instance is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name.
    pub name: InstanceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// It takes callers' requests.
    pub front: bool,
}

/// What was heard of a hub.
#[derive(Clone, Debug)]
pub struct HubContact {
    /// The last beacon.
    pub beacon: Beacon,
    /// When it came.
    pub received_at: Time,
    /// When the last one came from the hub itself and not through another one.
    pub direct_at: Option<Time>,
}

/// What was heard of a member of the own group.
#[derive(Clone, Debug)]
struct MemberContact {
    report: Report,
    received_at: Time,
}

/// What the home said last.
#[derive(Clone, Debug)]
struct ReceivedDigest {
    digest: Digest,
    received_at: Time,
}

/// The view of all other instances.
#[derive(Clone, Debug)]
pub struct Peers {
    settings: PeerSettings,
    local: Identity,
    is_hub: bool,
    counts: RequestCounts,
    liveness: Liveness,
    hubs: BTreeMap<InstanceName, HubContact>,
    last_direct: HashMap<InstanceName, Time>,
    members: BTreeMap<InstanceName, MemberContact>,
    digest: Option<ReceivedDigest>,
    workers: Vec<WorkerStatus>,
    known_hubs: Vec<HubStatus>,
}

impl Peers {
    /// Creates the view of a process that has heard nobody.
    pub fn new(settings: PeerSettings, local: Identity) -> Self {
        Self {
            liveness: Liveness::new(settings.liveness.clone()),
            settings,
            local,
            is_hub: false,
            counts: RequestCounts::default(),
            hubs: BTreeMap::new(),
            last_direct: HashMap::new(),
            members: BTreeMap::new(),
            digest: None,
            workers: Vec::new(),
            known_hubs: Vec::new(),
        }
    }

    /// Tells whether the own instance is a hub.
    pub fn is_hub(&self) -> bool {
        self.is_hub
    }

    /// Becomes a hub, or a member again. What was known about the others is learned anew.
    pub fn set_hub(&mut self, is_hub: bool) {
        if self.is_hub != is_hub {
            self.is_hub = is_hub;
            self.counts.reset_peers();
            self.hubs.clear();
            self.members.clear();
            self.digest = None;
        }
    }

    /// Takes over the size of the fleet as the store has it: fronts and all instances.
    pub fn on_fleet_size(&mut self, fronts: u32, all: u32) {
        self.liveness.on_fleet_size(fronts, all);
    }

    /// Takes over a hub's beacon, which came from the hub itself if `direct`. Returns false for one
    /// that is older than the last one.
    pub fn on_beacon(&mut self, beacon: Beacon, direct: bool, now: Time) -> bool {
        let name = beacon.hub.name.clone();
        if direct {
            self.last_direct.insert(name.clone(), now);
        }
        let direct_at = self.last_direct.get(&name).copied();
        if let Some(known) = self.hubs.get_mut(&name) {
            known.direct_at = direct_at;
            if known.beacon.boot_id == beacon.boot_id && known.beacon.sequence >= beacon.sequence {
                return false;
            }
        }
        let local_key = instance_key(&self.local.name);
        let others: Vec<Member> =
            beacon.members.iter().filter(|member| member.key != local_key).copied().collect();
        self.liveness.on_live(&others, now);
        let missing: Vec<_> =
            beacon.missing.iter().filter(|word| word.member.key != local_key).copied().collect();
        self.liveness.on_missing(&missing, now);
        for key in &beacon.departed {
            self.liveness.on_departed(*key, now);
        }
        self.counts.on_peer_counts(&name, beacon.boot_id, &beacon.targets, false, now);
        self.hubs.insert(name, HubContact { beacon, received_at: now, direct_at });
        true
    }

    /// Takes over a member's report. Returns false for one that is older than the last one.
    pub fn on_report(&mut self, report: Report, now: Time) -> bool {
        let name = report.instance.clone();
        let key = instance_key(&name);
        if report.leaving {
            self.counts.drop_peer(&name);
            self.members.remove(&name);
            self.liveness.on_leave(key, now);
            return true;
        }
        if let Some(known) = self.members.get(&name)
            && known.report.boot_id == report.boot_id
            && known.report.sequence >= report.sequence
        {
            return false;
        }
        self.liveness.on_live(&[Member { key, front: report.front }], now);
        self.counts.on_peer_counts(&name, report.boot_id, &report.targets, true, now);
        self.members.insert(name, MemberContact { report, received_at: now });
        true
    }

    /// Notes that another hub says that it ends.
    pub fn on_hub_departed(&mut self, name: &InstanceName, now: Time) {
        self.counts.drop_peer(name);
        self.hubs.remove(name);
        self.liveness.on_leave(instance_key(name), now);
    }

    /// Takes over the home's digest. Returns false if it is old or does not include the own reports.
    pub fn on_digest(&mut self, digest: Digest, now: Time) -> bool {
        let key = instance_key(&self.local.name);
        let acked = digest.acked.iter().find(|(member, _)| *member == key);
        let Some((_, acked)) = acked.copied() else { return false };
        let former = self.digest.as_ref().map(|last| &last.digest);
        let same = former.filter(|former| {
            former.hub.name == digest.hub.name && former.boot_id == digest.boot_id
        });
        if self.is_hub || same.is_some_and(|former| former.sequence >= digest.sequence) {
            return false;
        }
        if same.is_none() {
            self.counts.reset_peers();
        }
        self.counts.on_loads(acked, &digest.loads);
        if let Some(workers) = &digest.workers {
            self.workers = workers.clone();
            self.workers.retain(|worker| worker.name != self.local.name);
        }
        if let Some(hubs) = &digest.hubs {
            self.known_hubs = hubs.clone();
        }
        self.digest = Some(ReceivedDigest { digest, received_at: now });
        true
    }

    /// Takes over hubs that the store or another instance names.
    pub fn on_hubs(&mut self, hubs: &[HubStatus]) {
        for hub in hubs.iter().filter(|hub| hub.name != self.local.name) {
            match self.known_hubs.iter_mut().find(|known| known.name == hub.name) {
                Some(known) => *known = hub.clone(),
                None => self.known_hubs.push(hub.clone()),
            }
        }
    }

    /// Forgets silent groups and members and old starts. `keep` names the targets that exist.
    pub fn on_tick(&mut self, keep: impl Fn(u32) -> bool, now: Time) {
        let limit = self.settings.expiry;
        let timed_out = |received_at: Time| now.since(received_at) > limit;
        let hubs = self.hubs.iter().filter(|(_, known)| timed_out(known.received_at));
        let members = self.members.iter().filter(|(_, known)| timed_out(known.received_at));
        let expired_names: Vec<InstanceName> =
            hubs.map(|(name, _)| name).chain(members.map(|(name, _)| name)).cloned().collect();
        for name in expired_names {
            self.counts.drop_peer(&name);
            self.hubs.remove(&name);
            self.members.remove(&name);
        }
        self.counts.on_tick(keep, now);
        self.liveness.on_tick(now);
    }

    fn live_timeout(&self) -> Duration {
        self.settings.liveness.live_timeout
    }

    /// Returns the parts of the fleet that are heard.
    pub fn coverage(&self, now: Time) -> FleetCoverage {
        if self.is_hub {
            return self.liveness.coverage(self.local.front, now);
        }
        let Some(last) = &self.digest else { return self.liveness.coverage(self.local.front, now) };
        let count = last.digest.fronts.max(1);
        match now.since(last.received_at) <= self.live_timeout() {
            true => FleetCoverage {
                fronts: f64::from(last.digest.front_coverage),
                fleet: f64::from(last.digest.fleet_coverage),
                front_count: count,
                complete: last.digest.complete,
            },
            // Without its home a member knows only itself.
            false => FleetCoverage {
                fronts: 1.0 / f64::from(count),
                fleet: 1.0 / f64::from(count),
                front_count: count,
                complete: false,
            },
        }
    }

    /// Returns the fronts and all instances that are heard.
    pub fn live_counts(&self, now: Time) -> (u32, u32) {
        self.liveness.live_counts(self.local.front, now)
    }

    /// Returns the shortest time between two beacons or digests.
    pub fn interval(&self, now: Time) -> Duration {
        let all = match (self.is_hub, &self.digest) {
            (false, Some(last)) => last.digest.fronts,
            _ => self.live_counts(now).1,
        };
        let (shortest, longest) = self.settings.interval_bounds;
        (self.settings.interval * all).clamp(shortest, longest)
    }

    /// Returns the shortest time between two reports.
    pub fn report_interval(&self) -> Duration {
        self.settings.report_interval
    }

    /// Returns the usual age of what is known of the others in the own failure domain: a hub hears its
    /// members and the other hubs, a member hears them through its home.
    pub fn staleness(&self, now: Time) -> Duration {
        match self.is_hub {
            true => self.interval(now),
            false => self.settings.report_interval / 2 + self.interval(now) * 3 / 2,
        }
    }

    /// Returns the hubs in contact, as a hub hears them.
    pub fn live_hubs(&self, now: Time) -> impl Iterator<Item = &HubContact> {
        let limit = self.live_timeout();
        self.hubs.values().filter(move |known| now.since(known.received_at) <= limit)
    }

    /// Returns the hubs that are heard directly. Others in contact may be heard through a third one
    /// while they cannot be reached.
    pub fn direct_hubs(&self, now: Time) -> impl Iterator<Item = &HubContact> {
        let limit = self.live_timeout();
        let fresh =
            move |known: &&HubContact| known.direct_at.is_some_and(|at| now.since(at) <= limit);
        self.hubs.values().filter(fresh)
    }

    /// Returns the random number of the last known start of a hub.
    pub fn boot_id(&self, name: &InstanceName) -> Option<u64> {
        self.hubs.get(name).map(|known| known.beacon.boot_id)
    }

    /// Returns the hubs to which the own one passes a beacon of `sender` on: those that hear the own
    /// hub but not the sender, as far as no hub with a lower name can do it.
    pub fn forward_to(&self, sender: &InstanceName, now: Time) -> Vec<InstanceName> {
        let (local, sender_key) = (&self.local.name, instance_key(sender));
        let hears = |contact: &HubContact, key: u32| contact.beacon.direct_hubs.contains(&key);
        let lacking = self.live_hubs(now).filter(|contact| {
            contact.beacon.hub.name != *sender
                && !hears(contact, sender_key)
                && hears(contact, instance_key(local))
        });
        lacking
            .filter(|contact| {
                !self.live_hubs(now).any(|other| {
                    other.beacon.hub.name < *local
                        && other.beacon.hub.name != contact.beacon.hub.name
                        && hears(other, sender_key)
                        && hears(contact, instance_key(&other.beacon.hub.name))
                })
            })
            .map(|contact| contact.beacon.hub.name.clone())
            .collect()
    }

    /// Tells whether the store serves another hub that is heard.
    pub fn peers_reach_store(&self, now: Time) -> bool {
        let others = self.live_hubs(now).map(|contact| &contact.beacon.hub);
        others.into_iter().any(|hub| hub.store_reachable && hub.name != self.local.name)
    }

    /// Returns the hubs that the instance knows, heard or not.
    pub fn hubs(&self, now: Time) -> Vec<HubStatus> {
        match self.is_hub {
            true => self.live_hubs(now).map(|contact| contact.beacon.hub.clone()).collect(),
            false => self.known_hubs.clone(),
        }
    }

    /// Returns the hubs that were named at some time, heard or not.
    pub fn known_hubs(&self) -> &[HubStatus] {
        &self.known_hubs
    }

    /// Returns the other workers that are heard.
    pub fn workers(&self, now: Time) -> Vec<&WorkerStatus> {
        if self.is_hub {
            let limit = self.live_timeout();
            let members =
                self.members.values().filter(|known| now.since(known.received_at) <= limit);
            let local = members.filter_map(|known| known.report.worker.as_ref());
            return self
                .live_hubs(now)
                .flat_map(|contact| contact.beacon.workers.iter())
                .chain(local)
                .filter(|worker| worker.name != self.local.name)
                .collect();
        }
        let fresh = self
            .digest
            .as_ref()
            .is_some_and(|last| now.since(last.received_at) <= self.settings.stale_after);
        if fresh { self.workers.iter().collect() } else { Vec::new() }
    }

    /// Returns the last digest of the home and the time since it came.
    pub fn assigned_hub(&self, now: Time) -> Option<(&Digest, Duration)> {
        self.digest.as_ref().map(|last| (&last.digest, now.since(last.received_at)))
    }

    /// Returns the requests of all instances at a target: online and batch.
    pub fn at_target(&self, key: u32) -> (u32, u32) {
        self.counts.at(key)
    }

    /// Returns what the own instance has at a target.
    pub fn local_at(&self, key: u32) -> TargetCount {
        self.counts.local_at(key)
    }

    /// Returns the batch items of the own instance by target.
    pub fn local_batch(&self) -> Vec<(u32, u16)> {
        self.counts.local_batch()
    }

    /// Returns the online requests of all instances.
    pub fn online_total(&self) -> u32 {
        match (self.is_hub, &self.digest) {
            (false, Some(last)) => last.digest.online.max(self.counts.local_online()),
            _ => self.counts.online(),
        }
    }

    /// Returns the starts of all instances at a target in the last second.
    pub fn recent_starts(&self, key: u32, now: Time) -> u32 {
        self.counts.recent_starts(key, now)
    }

    /// Counts an own request that is about to be sent.
    pub fn start(&mut self, key: u32, batch: bool, now: Time) {
        self.counts.start(key, batch, now);
    }

    /// Ends the counting of an own request.
    pub fn end(&mut self, key: u32, batch: bool) {
        self.counts.end(key, batch);
    }

    /// Returns the own counts for report `sequence`.
    pub fn report_counts(&mut self, sequence: u64, now: Time) -> Vec<TargetCount> {
        self.counts.report_counts(sequence, now)
    }

    /// Returns the group's part of a beacon. The caller adds the hub's own state.
    pub fn group_state(&self, now: Time) -> GroupState {
        let limit = self.live_timeout();
        let live: Vec<_> =
            self.members.values().filter(|known| now.since(known.received_at) <= limit).collect();
        let local = Member { key: instance_key(&self.local.name), front: self.local.front };
        let others = live.iter().map(|known| Member {
            key: instance_key(&known.report.instance),
            front: known.report.front,
        });
        GroupState {
            members: std::iter::once(local).chain(others).collect(),
            missing: self.liveness.missing(now),
            departed: self.liveness.departed(),
            targets: self.counts.group_counts(self.members.keys(), now),
            workers: live.iter().filter_map(|known| known.report.worker.clone()).collect(),
            direct_hubs: self
                .direct_hubs(now)
                .map(|known| instance_key(&known.beacon.hub.name))
                .collect(),
        }
    }

    /// Returns `local` and the targets that members could not reach.
    pub fn group_unreachable(&self, local: Vec<u32>) -> Vec<u32> {
        let members = self.members.values().flat_map(|known| known.report.unreachable.iter());
        distinct(local.into_iter().chain(members.copied()))
    }

    /// Returns `local` and the targets that anybody could not reach.
    pub fn all_unreachable(&self, local: Vec<u32>, now: Time) -> Vec<u32> {
        let group = self.group_unreachable(local).into_iter();
        let hubs = self.live_hubs(now).flat_map(|known| known.beacon.unreachable.iter());
        distinct(group.chain(hubs.copied()))
    }

    /// Returns the members with their last reports, for a digest.
    pub fn acked(&self) -> Vec<(u32, u64)> {
        let reports = self.members.values().map(|known| &known.report);
        reports.map(|report| (instance_key(&report.instance), report.sequence)).collect()
    }

    /// Returns the addresses of the members; with `true` for workers.
    pub fn member_addresses(&self) -> Vec<(IpAddr, bool)> {
        let reports = self.members.values().map(|known| &known.report);
        reports.map(|report| (report.address, report.worker.is_some())).collect()
    }

    /// Returns the names of the members.
    pub fn member_names(&self) -> Vec<InstanceName> {
        self.members.keys().cloned().collect()
    }

    /// Returns the loads of the own failure domain's targets and of `other`, one of the others in turn.
    pub fn loads(&self, table: &TargetTable, other: Option<u32>, now: Time) -> Vec<DomainLoads> {
        let local = domain_key(&self.local.domain);
        let wanted = std::iter::once(local).chain(other.filter(|other| *other != local));
        wanted
            .map(|domain| DomainLoads {
                domain,
                loads: table
                    .iter()
                    .filter(|target| target.domain == domain)
                    .filter_map(|target| self.counts.load(target.key, now))
                    .collect(),
            })
            .collect()
    }
}

/// The part of a beacon that speaks for the group.
#[derive(Clone, Debug)]
pub struct GroupState {
    /// The group, the hub first.
    pub members: Vec<Member>,
    /// Instances that are not heard.
    pub missing: Vec<crate::MissingInstance>,
    /// Instances that ended in order.
    pub departed: Vec<u32>,
    /// Counts at targets.
    pub targets: Vec<TargetCount>,
    /// Workers, without the hub itself.
    pub workers: Vec<WorkerStatus>,
    /// Numbers of the hubs that are heard directly.
    pub direct_hubs: Vec<u32>,
}

fn distinct(keys: impl Iterator<Item = u32>) -> Vec<u32> {
    let mut keys: Vec<u32> = keys.collect();
    keys.sort_unstable();
    keys.dedup();
    keys
}
