//! The table of known targets, and whether they may get new work.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Peers;
use crate::datagrams::domain_key;

/// Time after the store's recovery within which the expired entries of live targets are written
/// again. The platform guarantees it.
const EXPIRY_GRACE: Duration = Duration::from_millis(2000);

/// Usual time between two entries of a target if the platform names none. An entry expires after
/// three of them.
const DEFAULT_HEARTBEAT: Duration = Duration::from_millis(1200);

/// Time for which a target that could not be reached or has stalled gets no new work. It is the
/// usual time between two entries of a target.
const BACKOFF: Duration = Duration::from_millis(1200);

/// Longest time without new work for a target that failed several times in a row.
const MAX_BACKOFF: Duration = Duration::from_millis(4800);

/// Time for which a target that could not be reached is reported to other instances. Each further
/// attempt starts it again.
const UNREACHABLE_TIME: Duration = Duration::from_millis(2500);

/// Time for which a target that has said in a response that it leaves is remembered, longer than
/// any target takes to stop.
const LEAVING_TTL: Duration = Duration::from_secs(600);

/// Time after which a target is tried again at whose address another one has responded. The entry of a
/// target that has gone is removed before. A target does not run a request that names another one.
const MISDIRECTED_RETRY: Duration = Duration::from_secs(15);

/// Returns the key of a target in datagrams.
pub fn target_key(name: &TargetName) -> u32 {
    xxh3_64(name.as_str().as_bytes()) as u32
}

/// The entry that a target writes to the store.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TargetEntry {
    /// Name of the target, as given by this start.
    pub name: TargetName,
    /// Service that the target belongs to.
    pub service: Arc<str>,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Failure domain of the target.
    pub domain: DomainName,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// The target is about to stop.
    pub draining: bool,
    /// Start of the target's process in Unix milliseconds, 0 if unknown. It serves only to
    /// distinguish starts.
    pub started_ms: u64,
    /// Time for which the target stays cold, counted from the entry.
    pub cold: Duration,
    /// Version of the target's software, empty if it names none. Instances of builds that do not know
    /// versions cannot read entries with one from another instance.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub version: Arc<str>,
}

/// A known target.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// The target's last entry.
    pub entry: TargetEntry,
    /// Key of the target in datagrams.
    pub key: u32,
    /// Key of its failure domain in datagrams.
    pub domain: u32,
    /// Store revision of the entry, for instances that read the table through another instance.
    pub revision: u64,
    cold_until: Time,
    /// Time of the last attempt of the local instance that could not connect; `None` after a
    /// successful response.
    unreachable_at: Option<Time>,
    backoff_until: Time,
    failures: u32,
    /// Time at which another target responded at the address; `None` if none has.
    misdirected_at: Option<Time>,
    /// The target has said in a response that it leaves.
    leaving: bool,
    expired_at: Option<Time>,
}

impl TargetState {
    /// Returns whether the target may get new work, evacuated domains aside.
    pub fn is_usable(&self, now: Time) -> bool {
        !self.has_left() && self.backoff_until <= now
    }

    /// Returns whether the target gets no new work until it starts again.
    pub fn has_left(&self) -> bool {
        self.entry.draining || self.leaving || self.misdirected_at.is_some()
    }

    /// Returns whether the target may be cold: its entry says so, or it could not be reached a
    /// moment ago.
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Returns whether the target's entry was removed around an outage of the store and the target
    /// stays until the grace time has passed.
    pub fn is_expired(&self) -> bool {
        self.expired_at.is_some()
    }

    /// Returns whether the target has failed and has not responded since.
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }
}

/// All known targets.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    targets: BTreeMap<TargetName, TargetState>,
    evacuated: BTreeSet<DomainName>,
    /// Time between two entries of a target; `None` if the platform names none.
    heartbeat: Option<Duration>,
    /// Time at which the store was last known to be reachable.
    store_reached_at: Option<Time>,
    /// Time from which the store has not been reachable.
    store_lost_at: Option<Time>,
    /// End of the last outage in which entries may have expired.
    store_recovered_at: Option<Time>,
    /// Time for which a target is cold after its start.
    cold_time: Duration,
    /// Starts that have said in a response that they leave, and when. They outlast the entries,
    /// which may be removed and written again while the target stops.
    leaving: HashMap<(TargetName, u64), Time>,
}

impl TargetTable {
    /// Sets the time for which a target is cold after its start.
    pub fn set_cold_time(&mut self, time: Duration) {
        self.cold_time = time;
    }

    /// Sets the time between two entries of a target.
    pub fn set_heartbeat(&mut self, heartbeat: Option<Duration>) {
        self.heartbeat = heartbeat;
    }

    /// Returns the targets of a service.
    pub fn of_service<'a, 's>(
        &'a self,
        service: &'s str,
    ) -> impl Iterator<Item = &'a TargetState> + use<'a, 's> {
        self.targets.values().filter(move |target| &*target.entry.service == service)
    }

    /// Returns a target.
    pub fn get(&self, name: &TargetName) -> Option<&TargetState> {
        self.targets.get(name)
    }

    /// Returns a key of the present start of a target, to recognise its crash on all instances.
    pub fn start_key(&self, name: &TargetName) -> u32 {
        let started_ms = self.targets.get(name).map_or(0, |target| target.entry.started_ms);
        xxh3_64_with_seed(name.as_str().as_bytes(), started_ms) as u32
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = &TargetState> {
        self.targets.values()
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns whether a target may get new work now.
    pub fn in_service(&self, target: &TargetState, now: Time) -> bool {
        target.is_usable(now) && !self.evacuated.contains(&target.entry.domain)
    }

    /// Returns whether a target may get new work now or after a back-off.
    pub fn may_serve(&self, target: &TargetState) -> bool {
        !target.has_left() && !self.evacuated.contains(&target.entry.domain)
    }

    /// Returns whether a request that was placed at the target `name` at `address` may be sent now.
    /// The target may have left since it was chosen; back-offs do not matter any more.
    pub fn may_receive(&self, name: &TargetName, address: SocketAddr) -> bool {
        let target = self.targets.get(name).filter(|target| target.entry.address == address);
        target.is_some_and(|target| self.may_serve(target))
    }

    /// Applies an entry, unless a later one was applied before: calls that read the store overlap. A
    /// new start under the same name resets the failures of the former one.
    pub fn upsert(&mut self, entry: TargetEntry, revision: u64, now: Time) {
        let fresh = TargetState {
            key: target_key(&entry.name),
            domain: domain_key(&entry.domain),
            revision,
            cold_until: now + entry.cold,
            unreachable_at: None,
            entry: entry.clone(),
            backoff_until: Time::ZERO,
            failures: 0,
            misdirected_at: None,
            leaving: self.leaving.contains_key(&(entry.name.clone(), entry.started_ms)),
            expired_at: None,
        };
        let known = self.targets.entry(entry.name.clone()).or_insert_with(|| fresh.clone());
        if revision < known.revision {
            return;
        }
        match known.entry.started_ms != entry.started_ms || known.entry.address != entry.address {
            true => *known = fresh,
            false => {
                if known.entry != entry {
                    known.cold_until = now + entry.cold;
                }
                // An entry that is written again after it expired may be unchanged; its new
                // revision makes other instances read it.
                known.revision = revision;
                known.entry = entry;
                known.expired_at = None;
            }
        }
    }

    /// Removes a target whose entry was removed from the store. Around an outage of the store,
    /// entries of live targets expire; these targets stay until the grace time after the outage has
    /// passed. Returns whether the target stays.
    pub fn remove(&mut self, name: &TargetName, now: Time) -> bool {
        let outage = self.store_lost_at.is_some_and(|lost| self.may_expire_entries(lost, now))
            || self.store_recovered_at.is_some_and(|back| now.since(back) < EXPIRY_GRACE);
        match self.targets.get_mut(name) {
            Some(target) if outage && !target.has_left() => {
                target.expired_at.get_or_insert(now);
                true
            }
            _ => {
                self.targets.remove(name);
                false
            }
        }
    }

    /// Removes the targets whose keys are not in `present`. The instance that sent the keys has
    /// waited for expired entries. Returns the number of removed targets.
    pub fn retain_keys(&mut self, present: &HashSet<u32>) -> usize {
        let before = self.targets.len();
        self.targets.retain(|_, target| present.contains(&target.key));
        for target in self.targets.values_mut() {
            target.expired_at = None;
        }
        before - self.targets.len()
    }

    /// Removes a target whose entry was removed from the store at `revision`, unless a later entry
    /// is known. Returns whether the target stays.
    pub fn remove_at(&mut self, name: &TargetName, revision: u64, now: Time) -> bool {
        let is_later = self.targets.get(name).is_some_and(|target| target.revision > revision);
        is_later || self.remove(name, now)
    }

    /// Replaces the whole table after a complete read. Entries come with their store revisions.
    pub fn replace(&mut self, entries: Vec<(TargetEntry, u64)>, now: Time) {
        let listed: BTreeSet<_> = entries.iter().map(|(entry, _)| entry.name.clone()).collect();
        for (entry, revision) in entries {
            self.upsert(entry, revision, now);
        }
        let known: Vec<_> = self.targets.keys().cloned().collect();
        for name in known.into_iter().filter(|name| !listed.contains(name)) {
            self.remove(&name, now);
        }
    }

    /// Records the result of a call of the local instance to the store. If the store serves peers,
    /// a failed call shows a cut of the local path only: entries have not expired in an outage, and
    /// a target whose entry is removed has stopped.
    pub fn on_store_call(&mut self, succeeded: bool, peers: &Peers, now: Time) {
        self.on_store(succeeded || peers.peers_reach_store(now), now);
    }

    /// Records whether the store is reachable.
    pub fn on_store(&mut self, reachable: bool, now: Time) {
        match (reachable, self.store_lost_at) {
            (false, None) => self.store_lost_at = Some(self.store_reached_at.unwrap_or(now)),
            (true, Some(lost)) => {
                self.store_lost_at = None;
                if self.may_expire_entries(lost, now) {
                    self.store_recovered_at = Some(now);
                }
            }
            _ => {}
        }
        if reachable {
            self.store_reached_at = Some(now);
        }
    }

    /// Returns whether entries of live targets may expire in an outage from `lost` to `now`. A watch
    /// that is cut looks like an outage, too, but is over before a target misses an entry.
    fn may_expire_entries(&self, lost: Time, now: Time) -> bool {
        now.since(lost) >= self.heartbeat.unwrap_or(DEFAULT_HEARTBEAT)
    }

    /// Removes the targets whose entries were not written again after an outage, and returns their
    /// names.
    pub fn on_tick(&mut self, now: Time) -> Vec<TargetName> {
        let over = self.store_lost_at.is_none()
            && self.store_recovered_at.is_none_or(|back| now.since(back) >= EXPIRY_GRACE);
        if !over {
            return Vec::new();
        }
        let removed: Vec<_> = self
            .targets
            .values()
            .filter(|target| target.expired_at.is_some())
            .map(|target| target.entry.name.clone())
            .collect();
        for name in &removed {
            self.targets.remove(name);
        }
        removed
    }

    /// Returns whether the entry of a target has expired around an outage of the store and the
    /// target stays until the grace time has passed.
    pub fn has_expired(&self) -> bool {
        self.targets.values().any(|target| target.expired_at.is_some())
    }

    /// Sets the failure domains that are out of service. The targets of domains that return to
    /// service may have turned cold.
    pub fn set_evacuated(&mut self, domains: BTreeSet<DomainName>, now: Time) {
        for target in self.targets.values_mut() {
            let domain = &target.entry.domain;
            if self.evacuated.contains(domain) && !domains.contains(domain) {
                target.cold_until = target.cold_until.max(now + self.cold_time);
            }
        }
        self.evacuated = domains;
    }

    /// Returns the failure domains that are out of service.
    pub fn evacuated(&self) -> &BTreeSet<DomainName> {
        &self.evacuated
    }

    /// Records that a target could not be reached, stalled or broke a connection.
    pub fn on_failure(&mut self, name: &TargetName, now: Time) {
        if let Some(target) = self.targets.get_mut(name) {
            let time = (BACKOFF * (1 << target.failures.min(2))).min(MAX_BACKOFF);
            target.failures += 1;
            target.backoff_until = target.backoff_until.max(now + time);
        }
    }

    /// Records that a target could not be reached. It may be down, and is cold when it comes back.
    pub fn on_unreachable(&mut self, name: &TargetName, now: Time) {
        let cold_time = self.cold_time;
        if let Some(target) = self.targets.get_mut(name) {
            target.unreachable_at = Some(now);
            // The cold state ends by itself: batch items are not sent to cold targets, so a worker
            // alone would never find that the target is back.
            target.cold_until = target.cold_until.max(now + UNREACHABLE_TIME + cold_time);
        }
    }

    /// Records that some instance could not reach these targets.
    pub fn on_peers_unreachable(&mut self, keys: &[u32], now: Time) {
        if keys.is_empty() {
            return;
        }
        for target in self.targets.values_mut().filter(|target| keys.contains(&target.key)) {
            target.cold_until = target.cold_until.max(now + self.cold_time);
        }
    }

    /// Returns the keys of the targets that the local instance could not reach a moment ago.
    pub fn unreachable(&self, now: Time) -> Vec<u32> {
        let is_unreachable = |target: &&TargetState| {
            target.unreachable_at.is_some_and(|at| now.since(at) < UNREACHABLE_TIME)
        };
        self.targets.values().filter(is_unreachable).map(|target| target.key).collect()
    }

    /// Records that a target refused a request because of its load or because it stops. The target
    /// gets no new work for `backoff`.
    pub fn on_refusal(&mut self, name: &TargetName, backoff: Duration, now: Time) {
        if let Some(target) = self.targets.get_mut(name) {
            target.backoff_until = target.backoff_until.max(now + backoff);
        }
    }

    /// Records that another target responds at the address. A new start of the target brings it back
    /// into service, or the time after which it is tried again.
    pub fn on_misdirected(&mut self, name: &TargetName, now: Time) {
        if let Some(target) = self.targets.get_mut(name) {
            target.misdirected_at = Some(now);
        }
    }

    /// Brings targets back into service at whose addresses others responded long ago, and returns
    /// their names. No request went there since, which could have shown that they are back.
    pub fn retry_misdirected(&mut self, now: Time) -> Vec<TargetName> {
        let is_due = |at: Time| now.since(at) >= MISDIRECTED_RETRY;
        let due =
            self.targets.values_mut().filter(|target| target.misdirected_at.is_some_and(is_due));
        due.map(|target| {
            target.misdirected_at = None;
            target.entry.name.clone()
        })
        .collect()
    }

    /// Records that a target has said in a response that it leaves. Returns whether that is new.
    pub fn on_leaving(&mut self, name: &TargetName, now: Time) -> bool {
        let Some(target) = self.targets.get_mut(name) else { return false };
        self.leaving.retain(|_, said_at| now.since(*said_at) < LEAVING_TTL);
        self.leaving.insert((name.clone(), target.entry.started_ms), now);
        !std::mem::replace(&mut target.leaving, true)
    }

    /// Records a successful response.
    pub fn on_success(&mut self, name: &TargetName, now: Time) {
        if let Some(target) = self.targets.get_mut(name) {
            target.failures = 0;
            if target.unreachable_at.take().is_some() {
                target.cold_until = target.cold_until.max(now + self.cold_time);
            }
        }
    }
}
