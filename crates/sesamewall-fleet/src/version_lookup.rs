//! Which instances hold the record of a stream's version, and how it is looked up there.

use std::net::IpAddr;
use std::time::Duration;

use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::HubStatus;
use crate::StreamVersion;
use crate::WorkerStatus;

/// An instance that may hold records.
struct Candidate<'a> {
    name: &'a InstanceName,
    address: IpAddr,
    domain: &'a DomainName,
    draining: bool,
}

/// Rank of a candidate: whether it is about to stop, its score, and its address.
type Rank = (bool, u64, IpAddr);

impl<'a> From<&'a WorkerStatus> for Candidate<'a> {
    fn from(worker: &'a WorkerStatus) -> Self {
        let WorkerStatus { name, address, domain, draining, .. } = worker;
        Self { name, address: *address, domain, draining: *draining }
    }
}

impl<'a> From<&'a HubStatus> for Candidate<'a> {
    fn from(hub: &'a HubStatus) -> Self {
        let HubStatus { name, address, domain, draining, .. } = hub;
        Self { name, address: *address, domain, draining: *draining }
    }
}

/// The candidates for a stream with their ranks, which are the same at all instances (rendezvous
/// hashing). Those that stop come last.
fn ranked<'a>(
    stream: u64,
    local: &InstanceName,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Vec<(Rank, Candidate<'a>)> {
    let others = candidates.filter(|candidate| candidate.name != local);
    let rank = |candidate: &Candidate<'_>| {
        let score = xxh3_64_with_seed(candidate.name.as_str().as_bytes(), stream);
        (candidate.draining, score, candidate.address)
    };
    others.map(|candidate| (rank(&candidate), candidate)).collect()
}

/// Returns the first candidate for which `filter` returns true.
fn first<'a, 'c>(
    candidates: &'c [(Rank, Candidate<'a>)],
    filter: impl Fn(&Candidate<'a>) -> bool,
) -> Option<&'c Candidate<'a>> {
    let matching = candidates.iter().filter(|(_, candidate)| filter(candidate));
    matching.min_by_key(|(rank, _)| *rank).map(|(_, candidate)| candidate)
}

/// Returns the addresses of the instances that hold the record of a stream, as seen by the instance
/// `local` in `domain`: the first two workers that are in different failure domains, and in the
/// local domain the first worker and the first hub. Hubs take the place of workers if there are
/// none.
///
/// A kill of all fronts leaves the workers, the loss of a failure domain leaves one of the first two,
/// and an instance of a domain that is cut off finds the holders there.
pub fn version_holders(
    stream: u64,
    local: &InstanceName,
    domain: &DomainName,
    workers: &[&WorkerStatus],
    hubs: &[HubStatus],
) -> Vec<IpAddr> {
    let hubs = ranked(stream, local, hubs.iter().map(Candidate::from));
    let workers = ranked(stream, local, workers.iter().map(|worker| Candidate::from(*worker)));
    let main = if workers.is_empty() { &hubs } else { &workers };
    let one = first(main, |_| true);
    let is_one = |other: &Candidate<'_>| one.is_some_and(|one| one.address == other.address);
    let is_apart = |other: &Candidate<'_>| one.is_some_and(|one| one.domain != other.domain);
    let other = first(main, is_apart).or_else(|| first(main, |other| !is_one(other)));
    let is_near = |candidate: &Candidate<'_>| candidate.domain == domain;
    let near = [first(main, is_near), first(&hubs, is_near)];
    let mut holders: Vec<IpAddr> = Vec::new();
    for holder in [one, other].into_iter().chain(near).flatten() {
        if !holders.contains(&holder.address) {
            holders.push(holder.address);
        }
    }
    holders
}

/// Settings of lookups.
#[derive(Clone, Debug)]
pub struct VersionLookupSettings {
    /// Time after which a silent holder is asked again: a datagram or its answer was lost.
    pub resend: Duration,
    /// Longest time of a lookup.
    pub limit: Duration,
    /// Interval between two looks at the view of the fleet while it is incomplete.
    pub view_interval: Duration,
}

impl Default for VersionLookupSettings {
    fn default() -> Self {
        Self {
            resend: Duration::from_millis(40),
            limit: Duration::from_millis(250),
            view_interval: Duration::from_millis(10),
        }
    }
}

/// What to do next in a lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookupStep {
    /// Send the query to these holders.
    Ask(Vec<IpAddr>),
    /// Wait for an answer, at most this long.
    Wait(Duration),
    /// The lookup has ended.
    Done(LookupEnd),
}

/// Result of a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupEnd {
    /// Key of the version.
    Known(u64),
    /// Holders know different versions, or one of them has records of different versions.
    Conflicting,
    /// No holder knows the version.
    Unknown {
        /// Whether a holder was silent or none could be asked, so that a later lookup may succeed.
        silent: bool,
    },
}

#[derive(Clone, Copy, Debug)]
struct AskedHolder {
    address: IpAddr,
    asked_at: Option<Time>,
    answered: bool,
}

/// One lookup of a stream's version at its holders.
#[derive(Clone, Debug)]
pub struct VersionLookup {
    settings: VersionLookupSettings,
    started_at: Time,
    holders: Vec<AskedHolder>,
    /// Whether all instances of the fleet are in the view, so that the holders are the right ones.
    complete: bool,
    end: Option<LookupEnd>,
}

impl VersionLookup {
    /// Starts a lookup.
    pub fn new(settings: VersionLookupSettings, now: Time) -> Self {
        Self { settings, started_at: now, holders: Vec::new(), complete: false, end: None }
    }

    /// Returns whether the holders may still change: some time after a start, the view of the fleet
    /// lacks instances.
    pub fn awaits_view(&self) -> bool {
        !self.complete || self.holders.is_empty()
    }

    /// Sets the holders in the present view. `complete` is true if the view lacks no instance.
    /// Holders of an earlier view remain.
    pub fn on_view(&mut self, holders: &[IpAddr], complete: bool) {
        self.complete = complete;
        for address in holders {
            if !self.holders.iter().any(|holder| holder.address == *address) {
                let holder = AskedHolder { address: *address, asked_at: None, answered: false };
                self.holders.push(holder);
            }
        }
    }

    /// Applies an answer, or what the local instance has learned meanwhile if there is no address.
    pub fn on_version(&mut self, from: Option<IpAddr>, version: StreamVersion) {
        for holder in self.holders.iter_mut().filter(|holder| Some(holder.address) == from) {
            holder.answered = true;
        }
        self.end = match (version, self.end) {
            (StreamVersion::Unknown, end) => end,
            (StreamVersion::Conflicting, _) => Some(LookupEnd::Conflicting),
            (StreamVersion::Known(version), Some(LookupEnd::Known(known))) if known != version => {
                Some(LookupEnd::Conflicting)
            }
            (StreamVersion::Known(_), Some(LookupEnd::Conflicting)) => self.end,
            (StreamVersion::Known(version), _) => Some(LookupEnd::Known(version)),
        };
    }

    /// Returns what to do next. Queries that it returns count as sent.
    pub fn next_step(&mut self, now: Time) -> LookupStep {
        if let Some(end) = self.end {
            return LookupStep::Done(end);
        }
        let all_answered = self.complete && self.holders.iter().all(|holder| holder.answered);
        let ends_at = self.started_at + self.settings.limit;
        if all_answered || now >= ends_at {
            // An incomplete view may lack the instances that hold the record.
            return LookupStep::Done(LookupEnd::Unknown { silent: !all_answered });
        }
        let resend = self.settings.resend;
        let is_due = |holder: &AskedHolder| {
            !holder.answered && holder.asked_at.is_none_or(|at| now.since(at) >= resend)
        };
        let mut due = Vec::new();
        for holder in self.holders.iter_mut().filter(|holder| is_due(holder)) {
            holder.asked_at = Some(now);
            due.push(holder.address);
        }
        if !due.is_empty() {
            return LookupStep::Ask(due);
        }
        let waiting = self.holders.iter().filter(|holder| !holder.answered);
        let resend_at = waiting.filter_map(|holder| holder.asked_at).map(|at| at + resend).min();
        let mut wait = resend_at.unwrap_or(ends_at).min(ends_at).since(now);
        if self.awaits_view() {
            wait = wait.min(self.settings.view_interval);
        }
        LookupStep::Wait(wait.max(Duration::from_micros(1)))
    }
}
