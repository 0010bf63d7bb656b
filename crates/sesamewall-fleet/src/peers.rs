//! The state that an instance has received from its peers, as a hub or as a member of a hub's
//! group.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;

use crate::Beacon;
use crate::Digest;
use crate::DomainFronts;
use crate::DomainLoads;
use crate::FleetCoverage;
use crate::FrontList;
use crate::GroupState;
use crate::HubContact;
use crate::HubStatus;
use crate::Identity;
use crate::Liveness;
use crate::Member;
use crate::PeerSettings;
use crate::Report;
use crate::RequestCounts;
use crate::RequestLimits;
use crate::RequestRate;
use crate::RouteOutcomes;
use crate::TargetCount;
use crate::TargetTable;
use crate::WorkerStatus;
use crate::datagrams::domain_key;
use crate::datagrams::instance_key;
use crate::peer_contact::MemberContact;
use crate::peer_contact::ReceivedDigest;
use crate::version_rollout::PeerOutcomes;

/// The view of all peers.
#[derive(Clone, Debug)]
pub struct Peers {
    settings: PeerSettings,
    local: Identity,
    is_hub: bool,
    counts: RequestCounts,
    outcomes: PeerOutcomes,
    liveness: Liveness,
    fronts: DomainFronts,
    hubs: BTreeMap<InstanceName, HubContact>,
    last_direct: HashMap<InstanceName, Time>,
    members: BTreeMap<InstanceName, MemberContact>,
    digest: Option<ReceivedDigest>,
    workers: Vec<WorkerStatus>,
    /// Whether a digest with a list of workers was received.
    workers_listed: bool,
    known_hubs: Vec<HubStatus>,
    /// Time at which state of each failure domain was received last.
    domains_heard: HashMap<u32, Time>,
    /// Failure domains with a live hub, by the last list in a digest.
    hub_domains: Vec<u32>,
}

impl Peers {
    /// Creates the view of a process that has received no datagram.
    pub fn new(settings: PeerSettings, local: Identity) -> Self {
        Self {
            liveness: Liveness::new(settings.liveness.clone()),
            settings,
            fronts: DomainFronts::new(instance_key(&local.name)),
            local,
            is_hub: false,
            counts: RequestCounts::default(),
            outcomes: PeerOutcomes::default(),
            hubs: BTreeMap::new(),
            last_direct: HashMap::new(),
            members: BTreeMap::new(),
            digest: None,
            workers: Vec::new(),
            workers_listed: false,
            known_hubs: Vec::new(),
            domains_heard: HashMap::new(),
            hub_domains: Vec::new(),
        }
    }

    /// Returns whether the local instance is a hub.
    pub fn is_hub(&self) -> bool {
        self.is_hub
    }

    /// Makes the local instance a hub or a member. A change of role removes the counts, beacons,
    /// reports and the digest received from peers, which are then received anew.
    pub fn set_hub(&mut self, is_hub: bool) {
        if self.is_hub != is_hub {
            self.is_hub = is_hub;
            self.counts.reset_peers();
            self.outcomes.reset();
            self.hubs.clear();
            self.members.clear();
            self.digest = None;
        }
    }

    /// Sets the size of the fleet as read from the store: the number of fronts and of all
    /// instances.
    pub fn on_fleet_size(&mut self, fronts: u32, all: u32) {
        self.liveness.on_fleet_size(fronts, all);
    }

    /// Sets the number of fronts of the local failure domain as stored.
    pub fn on_domain_size(&mut self, fronts: u32) {
        self.fronts.on_size(fronts);
    }

    /// Applies the list of a hub. That of another failure domain's hub, which a member without a hub
    /// in its own domain reports to, is ignored.
    pub fn on_front_list(&mut self, list: &FrontList, now: Time) {
        if list.domain == domain_key(&self.local.domain) {
            self.fronts.on_listed(list.fronts.iter().copied(), now);
            if let Some(size) = list.size {
                self.fronts.on_size(size);
            }
        }
    }

    /// Returns the list of the fronts of the local failure domain for the members.
    pub fn front_list(&self) -> FrontList {
        let domain = domain_key(&self.local.domain);
        FrontList { domain, fronts: self.fronts.keys(), size: self.fronts.size() }
    }

    /// Returns whether the local instance has used its share of the `limit` on the starts a second
    /// at a cold target of the local failure domain.
    pub fn has_used_share(&self, key: u32, limit: f64, now: Time) -> bool {
        self.counts.local_starts(key, now) >= self.fronts.share(key, limit)
    }

    /// Applies a hub's beacon. `direct` is true if it came from the hub itself. Returns false for a
    /// beacon that is not newer than the last one.
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
        let peers: Vec<Member> =
            beacon.members.iter().filter(|member| member.key != local_key).copied().collect();
        self.domains_heard.insert(domain_key(&beacon.hub.domain), now);
        if beacon.hub.domain == self.local.domain {
            let fronts = beacon.members.iter().filter(|member| member.front);
            self.fronts.on_listed(fronts.map(|member| member.key), now);
        }
        self.liveness.on_live(&peers, now);
        let missing: Vec<_> =
            beacon.missing.iter().filter(|entry| entry.member.key != local_key).copied().collect();
        self.liveness.on_missing(&missing, now);
        for key in &beacon.departed {
            self.liveness.on_departed(*key, now);
        }
        // A former member is no part of the group any more.
        self.members.remove(&name);
        self.counts.limits_mut().on_fleet_limits(&beacon.limits, now);
        self.counts.on_peer_counts(&name, beacon.boot_id, &beacon.targets, false, now);
        let outcomes = &beacon.rollouts.outcomes;
        self.outcomes.on_received(&name, beacon.boot_id, false, outcomes, now);
        self.hubs.insert(name, HubContact { beacon, received_at: now, direct_at });
        true
    }

    /// Applies a member's report. Returns false for a report that is not newer than the last one.
    pub fn on_report(&mut self, report: Report, now: Time) -> bool {
        let name = report.instance.clone();
        let key = instance_key(&name);
        if report.leaving {
            self.counts.drop_peer(&name);
            self.outcomes.drop_peer(&name);
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
        self.fronts.on_listed(report.front.then_some(key), now);
        self.counts.limits_mut().on_member_limits(&report.limits, now);
        self.counts.on_peer_counts(&name, report.boot_id, &report.targets, true, now);
        let outcomes = &report.rollouts.outcomes;
        self.outcomes.on_received(&name, report.boot_id, true, outcomes, now);
        self.members.insert(name, MemberContact { report, received_at: now });
        true
    }

    /// Records that another hub has announced its departure.
    pub fn on_hub_departed(&mut self, name: &InstanceName, now: Time) {
        self.counts.drop_peer(name);
        self.outcomes.drop_peer(name);
        self.hubs.remove(name);
        self.liveness.on_leave(instance_key(name), now);
    }

    /// Applies a digest of the assigned hub. Returns false if the digest is not newer than the last
    /// one or does not include the local reports.
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
        self.counts.limits_mut().on_fleet_limits(&digest.limits, now);
        self.counts.on_loads(acked, &digest.loads);
        if let Some(workers) = &digest.workers {
            self.workers = workers.clone();
            self.workers_listed = true;
            self.workers.retain(|worker| worker.name != self.local.name);
        }
        if let Some(hubs) = &digest.hubs {
            self.known_hubs = hubs.clone();
            self.hub_domains = hubs.iter().map(|hub| domain_key(&hub.domain)).collect();
        }
        // A hub lists the loads of a domain also while it does not hear from it, but no hub there.
        let listed = digest.loads.iter().map(|loads| loads.domain);
        let heard = listed.filter(|key| self.hub_domains.contains(key));
        self.domains_heard.extend(heard.map(|key| (key, now)));
        self.digest = Some(ReceivedDigest { digest, received_at: now });
        true
    }

    /// Adds hubs that the store or another instance lists.
    pub fn on_hubs(&mut self, hubs: &[HubStatus]) {
        for hub in hubs.iter().filter(|hub| hub.name != self.local.name) {
            match self.known_hubs.iter_mut().find(|known| known.name == hub.name) {
                Some(known) => *known = hub.clone(),
                None => self.known_hubs.push(hub.clone()),
            }
        }
    }

    /// Removes groups and members that have timed out, and old starts. `keep` returns whether a
    /// target still exists.
    pub fn on_tick(&mut self, keep: impl Fn(u32) -> bool, now: Time) {
        let limit = self.settings.expiry;
        let timed_out = |received_at: Time| now.since(received_at) > limit;
        let hubs = self.hubs.iter().filter(|(_, known)| timed_out(known.received_at));
        let members = self.members.iter().filter(|(_, known)| timed_out(known.received_at));
        let expired_names: Vec<InstanceName> =
            hubs.map(|(name, _)| name).chain(members.map(|(name, _)| name)).cloned().collect();
        for name in expired_names {
            self.counts.drop_peer(&name);
            self.outcomes.drop_peer(&name);
            self.hubs.remove(&name);
            self.members.remove(&name);
        }
        self.counts.on_tick(keep, now);
        self.outcomes.on_tick(now);
        self.liveness.on_tick(now);
        self.fronts.on_tick(now);
    }

    fn live_timeout(&self) -> Duration {
        self.settings.liveness.live_timeout
    }

    /// Returns the coverage: the fractions of the fleet from which state is currently received.
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
            // A member without a recent digest has current state only of itself.
            false => FleetCoverage {
                fronts: 1.0 / f64::from(count),
                fleet: 1.0 / f64::from(count),
                front_count: count,
                complete: false,
            },
        }
    }

    /// Returns the number of live fronts and of all live instances.
    pub fn live_counts(&self, now: Time) -> (u32, u32) {
        self.liveness.live_counts(self.local.front, now)
    }

    /// Returns the shortest time between two beacons or digests.
    pub fn interval(&self, now: Time) -> Duration {
        let all = match (self.is_hub, &self.digest) {
            (false, Some(last)) => last.digest.fronts,
            _ => self.live_counts(now).1,
        };
        let (shortest, longest) = self.settings.interval_limits;
        (self.settings.interval * all).clamp(shortest, longest)
    }

    /// Returns the shortest time between two reports.
    pub fn report_interval(&self) -> Duration {
        self.settings.report_interval
    }

    /// Returns the usual age of the state of peers in the local failure domain. A hub receives
    /// state from its members and the other hubs, a member receives it through its assigned hub.
    pub fn staleness(&self, now: Time) -> Duration {
        match self.is_hub {
            true => self.interval(now),
            false => self.settings.report_interval / 2 + self.interval(now) * 3 / 2,
        }
    }

    /// Returns the live hubs, as seen by a hub.
    pub fn live_hubs(&self, now: Time) -> impl Iterator<Item = &HubContact> {
        let limit = self.live_timeout();
        self.hubs.values().filter(move |known| now.since(known.received_at) <= limit)
    }

    /// Returns the hubs whose beacons are received directly. Beacons of other live hubs may arrive
    /// only through a third hub while there is no direct connection to them.
    pub fn direct_hubs(&self, now: Time) -> impl Iterator<Item = &HubContact> {
        let limit = self.live_timeout();
        let fresh =
            move |known: &&HubContact| known.direct_at.is_some_and(|at| now.since(at) <= limit);
        self.hubs.values().filter(fresh)
    }

    /// Returns the boot id of the last beacon of a hub.
    pub fn boot_id(&self, name: &InstanceName) -> Option<u64> {
        self.hubs.get(name).map(|known| known.beacon.boot_id)
    }

    /// Returns the hubs to which the local hub forwards a beacon of `sender`: those that receive
    /// from the local hub but not from the sender, unless a hub with a lower name can forward it.
    pub fn forward_to(&self, sender: &InstanceName, now: Time) -> Vec<InstanceName> {
        let (local, sender_key) = (&self.local.name, instance_key(sender));
        let receives = |contact: &HubContact, key: u32| contact.beacon.direct_hubs.contains(&key);
        let lacking = self.live_hubs(now).filter(|contact| {
            contact.beacon.hub.name != *sender
                && !receives(contact, sender_key)
                && receives(contact, instance_key(local))
        });
        lacking
            .filter(|contact| {
                !self.live_hubs(now).any(|other| {
                    other.beacon.hub.name < *local
                        && other.beacon.hub.name != contact.beacon.hub.name
                        && receives(other, sender_key)
                        && receives(contact, instance_key(&other.beacon.hub.name))
                })
            })
            .map(|contact| contact.beacon.hub.name.clone())
            .collect()
    }

    /// Returns whether the store serves another live hub.
    pub fn peers_reach_store(&self, now: Time) -> bool {
        let hubs = self.live_hubs(now).map(|contact| &contact.beacon.hub);
        hubs.into_iter().any(|hub| hub.store_reachable && hub.name != self.local.name)
    }

    /// Returns the live hubs on a hub, and all known hubs, live or not, on a member.
    pub fn hubs(&self, now: Time) -> Vec<HubStatus> {
        match self.is_hub {
            true => self.live_hubs(now).map(|contact| contact.beacon.hub.clone()).collect(),
            false => self.known_hubs.clone(),
        }
    }

    /// Returns all hubs ever listed by the store or a peer, live or not.
    pub fn known_hubs(&self) -> &[HubStatus] {
        &self.known_hubs
    }

    /// Returns the live workers other than the local one.
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

    /// Returns whether the hubs and workers of all instances of the fleet are known and live.
    pub fn is_view_complete(&self, now: Time) -> bool {
        self.coverage(now).complete && (self.is_hub || self.workers_listed)
    }

    /// Returns the time since state of a failure domain was received last; `None` if no instance
    /// there is known. The state of the local domain counts as present.
    pub fn domain_age(&self, domain: u32, now: Time) -> Option<Duration> {
        let heard = self.domains_heard.get(&domain).map(|at| now.since(*at));
        match domain == domain_key(&self.local.domain) {
            true => Some(Duration::ZERO),
            false => heard.filter(|age| *age <= self.settings.liveness.removal_timeout),
        }
    }

    /// Returns the last digest of the assigned hub and its age.
    pub fn assigned_hub(&self, now: Time) -> Option<(&Digest, Duration)> {
        self.digest.as_ref().map(|last| (&last.digest, now.since(last.received_at)))
    }

    /// Returns the requests of all instances at a target: online and batch.
    pub fn at_target(&self, key: u32) -> (u32, u32) {
        self.counts.at(key)
    }

    /// Returns the counts of the local instance at a target.
    pub fn local_at(&self, key: u32) -> TargetCount {
        self.counts.local_at(key)
    }

    /// Returns the batch items of the local instance by target.
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

    /// Returns the limits that targets have named.
    pub fn limits(&self) -> &RequestLimits {
        self.counts.limits()
    }

    /// Records the limit that a response of a target names, in requests a second; `None` if it names
    /// none. Returns whether the limit has changed.
    pub fn on_named_limit(&mut self, key: u32, rate: Option<RequestRate>, now: Time) -> bool {
        self.counts.limits_mut().on_response(key, rate, now)
    }

    /// Records a response with a limit that cannot be read. Returns whether the response before was
    /// readable.
    pub fn on_unreadable_limit(&mut self, key: u32) -> bool {
        self.counts.limits_mut().on_unreadable(key)
    }

    /// Returns the starts of all instances at a target in the window of its limit, or in the last
    /// second if it has named none.
    pub fn recent_starts(&self, key: u32, now: Time) -> u32 {
        self.counts.recent_starts(key, now)
    }

    /// Counts a request that the local instance is about to send.
    pub fn start(&mut self, key: u32, batch: bool, now: Time) {
        self.counts.start(key, batch, now);
    }

    /// Removes a request of the local instance from the counts.
    pub fn end(&mut self, key: u32, batch: bool) {
        self.counts.end(key, batch);
    }

    /// Returns the local counts for report `sequence`.
    pub fn report_counts(&mut self, sequence: u64, now: Time) -> Vec<TargetCount> {
        self.counts.report_counts(sequence, now)
    }

    /// Returns the state of the group for a beacon. The caller adds the status of the hub itself.
    pub fn group_state(&self, now: Time) -> GroupState {
        let limit = self.live_timeout();
        let live: Vec<_> =
            self.members.values().filter(|known| now.since(known.received_at) <= limit).collect();
        let local = Member { key: instance_key(&self.local.name), front: self.local.front };
        let members = live.iter().map(|known| Member {
            key: instance_key(&known.report.instance),
            front: known.report.front,
        });
        GroupState {
            members: std::iter::once(local).chain(members).collect(),
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

    /// Returns `local` and the targets that any instance could not reach.
    pub fn all_unreachable(&self, local: Vec<u32>, now: Time) -> Vec<u32> {
        let group = self.group_unreachable(local).into_iter();
        let hubs = self.live_hubs(now).flat_map(|known| known.beacon.unreachable.iter());
        distinct(group.chain(hubs.copied()))
    }

    /// Returns the sums of `local` and the members' outcomes during rollouts, for a beacon.
    pub fn group_outcomes(&self, local: &[RouteOutcomes], now: Time) -> Vec<RouteOutcomes> {
        self.outcomes.sums(local, true, self.live_timeout(), now)
    }

    /// Returns the sums of `local` and the outcomes of all instances during rollouts, on a hub.
    pub fn all_outcomes(&self, local: &[RouteOutcomes], now: Time) -> Vec<RouteOutcomes> {
        self.outcomes.sums(local, false, self.live_timeout(), now)
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

    /// Returns the loads of the targets of the local failure domain and of `other`. The caller
    /// passes each of the other domains in turn.
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

fn distinct(keys: impl Iterator<Item = u32>) -> Vec<u32> {
    let mut keys: Vec<u32> = keys.collect();
    keys.sort_unstable();
    keys.dedup();
    keys
}
