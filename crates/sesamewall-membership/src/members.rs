//! Tracks which instances and failure domains can be reached.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sesamewall_ports::ListedInstance;
use sesamewall_ports::ListedState;
use sesamewall_protocol::DomainMode;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::DomainDigest;
use sesamewall_protocol::peer::Heartbeat;
use sesamewall_protocol::peer::HeartbeatReply;
use sesamewall_protocol::peer::LeadNotice;
use sesamewall_protocol::peer::MembershipMessage;

use crate::Configuration;

/// Time without a message after which an instance is not used as a peer.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const MAX_INSTANCES: usize = 4_096;
const MAX_DOMAINS: usize = 64;
const PROBE_COUNT: usize = 2;

/// Crash marks of requests that were running when a target crashed: account, hash of the request in
/// hex, number of marks.
pub type CrashMarkList = Vec<(String, String, u8)>;

/// State that an instance reports with its heartbeats.
#[derive(Clone, Debug)]
pub struct MemberReport<'a> {
    /// The lead that the instance observed last.
    pub lead: Option<&'a InstanceName>,
    /// The lead notice of the instance, if it is lead.
    pub notice: Option<LeadNotice>,
    /// Revision of the configuration in force.
    pub revision: u64,
    /// Crash marks to forward.
    pub crash_marks: CrashMarkList,
}

/// An action or an event that `Members` returns to its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a message.
    Send {
        /// The receiver.
        to: InstanceName,
        /// The message.
        message: MembershipMessage,
    },
    /// The sender has this configuration revision; pass it to `ConfigFollower::on_peer_revision`.
    Revision {
        /// The sender.
        from: InstanceName,
        /// Its revision.
        revision: u64,
    },
    /// The sender forwarded crash marks.
    CrashMarks(CrashMarkList),
}

/// Whether a failure domain receives work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DomainState {
    /// It is in service and can be reached.
    In,
    /// Operators took it out of service.
    Out,
    /// No live lead of the failure domain is known.
    Unreachable,
}

/// The state of a failure domain as observed by one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainView {
    /// The failure domain.
    pub name: DomainName,
    /// Whether it receives work.
    pub state: DomainState,
    /// Its lead with the epoch, if known.
    pub lead: Option<(InstanceName, u64)>,
    /// Its instances that may be used as peers.
    pub live: Vec<InstanceName>,
    /// Its instances that are about to stop and receive no new work.
    pub leaving: Vec<InstanceName>,
}

#[derive(Clone, Debug)]
struct LastSeen {
    at: Time,
    leaving: bool,
}

#[derive(Clone, Debug)]
struct RemoteDomain {
    at: Time,
    lead: InstanceName,
    epoch: u64,
    view: u32,
    instances: Vec<(InstanceName, bool)>,
}

/// Directory of the instances and failure domains that are known to one instance.
#[derive(Clone, Debug)]
pub struct Members {
    local: InstanceName,
    domain: DomainName,
    listed: BTreeMap<InstanceName, ListedInstance>,
    last_seen: BTreeMap<InstanceName, LastSeen>,
    remote: BTreeMap<DomainName, RemoteDomain>,
    leads: Vec<(DomainName, InstanceName, u64)>,
    leads_at: Time,
    is_lead: bool,
    last_heartbeat: Option<Time>,
    probe_offset: usize,
    leaving: bool,
}

impl Members {
    /// Returns the state of an instance that starts.
    pub fn new(local: InstanceName, domain: DomainName) -> Self {
        Self {
            local,
            domain,
            listed: BTreeMap::new(),
            last_seen: BTreeMap::new(),
            remote: BTreeMap::new(),
            leads: Vec::new(),
            leads_at: Time::ZERO,
            is_lead: false,
            last_heartbeat: None,
            probe_offset: 0,
            leaving: false,
        }
    }

    /// Sets the instance list, which is a source of names. Messages received from an instance take
    /// precedence over it.
    pub fn set_list(&mut self, list: Vec<ListedInstance>) {
        let entries = list.into_iter().take(MAX_INSTANCES);
        self.listed = entries.map(|entry| (entry.name.clone(), entry)).collect();
    }

    /// Announces with the next heartbeats that this instance is about to stop.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns the other known instances of the local failure domain, live or not.
    pub fn domain_peers(&self) -> BTreeSet<InstanceName> {
        let listed = self.listed.values().filter(|entry| entry.domain == self.domain);
        let names = listed.map(|entry| &entry.name).chain(self.last_seen.keys());
        names.filter(|name| **name != self.local).cloned().collect()
    }

    /// Removes old entries and returns the messages that are due: a heartbeat to the lead or,
    /// on the lead, digests to the other leads.
    pub fn tick(&mut self, now: Time, report: &MemberReport<'_>) -> Vec<MemberAction> {
        self.is_lead = report.notice.is_some();
        // Entries outlive `HEARTBEAT_TIMEOUT` so that the promise round of a lead still includes
        // them.
        self.last_seen.retain(|_, seen| now.since(seen.at) < HEARTBEAT_TIMEOUT * 4);
        self.remote.retain(|_, remote| now.since(remote.at) < HEARTBEAT_TIMEOUT * 20);
        if self.last_heartbeat.is_some_and(|last| now.since(last) < HEARTBEAT_INTERVAL) {
            return Vec::new();
        }
        self.last_heartbeat = Some(now);
        match (&report.notice, report.lead) {
            (Some(notice), _) => self.send_digests(now, notice.epoch, report),
            (None, Some(lead)) if *lead != self.local => {
                let heartbeat = Heartbeat {
                    revision: report.revision,
                    view: leads_view(&self.leads),
                    leaving: self.leaving,
                    suspects: report.crash_marks.clone(),
                };
                vec![send(lead, MembershipMessage::Heartbeat(heartbeat))]
            }
            _ => Vec::new(),
        }
    }

    /// Handles a message from `from` in `domain`. Each message is direct evidence that its sender
    /// is live.
    pub fn on_message(
        &mut self,
        now: Time,
        from: &InstanceName,
        domain: &DomainName,
        message: &MembershipMessage,
        report: &MemberReport<'_>,
    ) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        if *domain == self.domain && self.last_seen.len() < MAX_INSTANCES {
            let before = self.last_seen.get(from).is_some_and(|seen| seen.leaving);
            let leaving = match message {
                MembershipMessage::Heartbeat(heartbeat) => heartbeat.leaving,
                _ => before,
            };
            self.last_seen.insert(from.clone(), LastSeen { at: now, leaving });
        }
        match message {
            MembershipMessage::Heartbeat(heartbeat) => {
                actions.push(revision(from, heartbeat.revision));
                actions.extend(crash_marks(&heartbeat.suspects));
                let leads = self.reachable_leads(now, report);
                let differ = leads_view(&leads) != heartbeat.view && report.notice.is_some();
                let reply = HeartbeatReply {
                    revision: report.revision,
                    notice: report.notice.clone(),
                    leads: differ.then_some(leads),
                    suspects: report.crash_marks.clone(),
                };
                actions.push(send(from, MembershipMessage::HeartbeatReply(reply)));
            }
            MembershipMessage::HeartbeatReply(reply) => {
                actions.push(revision(from, reply.revision));
                actions.extend(crash_marks(&reply.suspects));
                if reply.notice.is_some() {
                    self.leads_at = now;
                    self.leads = reply.leads.clone().unwrap_or_else(|| self.leads.clone());
                }
            }
            MembershipMessage::Digest(digest) => {
                // An instance that is not lead forwards a digest that came from its author to its lead.
                match report.lead {
                    Some(lead) if report.notice.is_none() && *lead != self.local => {
                        let is_direct = *from == digest.lead;
                        let forwarded = is_direct.then(|| send(lead, message.clone()));
                        actions.extend(forwarded);
                    }
                    _ => actions.extend(self.on_digest(now, digest, report)),
                }
            }
            _ => {}
        }
        actions
    }

    /// Returns whether `name` may be used as a peer: in the last 3 s, this instance received a
    /// message from it or a digest of its lead that lists it.
    pub fn is_live(&self, name: &InstanceName, now: Time) -> bool {
        let direct =
            self.last_seen.get(name).is_some_and(|seen| now.since(seen.at) < HEARTBEAT_TIMEOUT);
        let in_digest = |remote: &RemoteDomain| {
            now.since(remote.at) < HEARTBEAT_TIMEOUT
                && remote.instances.iter().any(|(other, _)| other == name)
        };
        *name == self.local || direct || self.remote.values().any(in_digest)
    }

    /// Returns each failure domain that is configured, in the instance list or reported by a lead.
    pub fn domain_view(&self, now: Time, config: &Configuration) -> Vec<DomainView> {
        let configured = config.domains().map(|domain| &domain.name);
        let listed = self.listed.values().map(|entry| &entry.domain);
        let reported = self.remote.keys().chain(self.leads.iter().map(|(domain, ..)| domain));
        let mut names: BTreeSet<&DomainName> = configured.chain(listed).chain(reported).collect();
        names.insert(&self.domain);
        names.into_iter().map(|name| self.view_of(name, now, config)).collect()
    }

    fn view_of(&self, name: &DomainName, now: Time, config: &Configuration) -> DomainView {
        let remote =
            self.remote.get(name).filter(|remote| now.since(remote.at) < HEARTBEAT_TIMEOUT);
        let reported = self.leads.iter().find(|(domain, ..)| domain == name);
        let reported =
            reported.filter(|_| !self.is_lead && now.since(self.leads_at) < HEARTBEAT_TIMEOUT);
        let lead = match (remote, reported) {
            (Some(remote), _) => Some((remote.lead.clone(), remote.epoch)),
            (None, Some((_, lead, epoch))) => Some((lead.clone(), *epoch)),
            (None, None) => None,
        };
        let reachable = *name == self.domain || lead.is_some();
        let state = match config.domain_mode(name.as_str()) {
            DomainMode::Out => DomainState::Out,
            DomainMode::In if reachable => DomainState::In,
            DomainMode::In => DomainState::Unreachable,
        };
        let known = match remote {
            _ if *name == self.domain => self.local_instances(now),
            Some(remote) => remote.instances.clone(),
            None => lead.iter().map(|(lead, _)| (lead.clone(), false)).collect(),
        };
        let listed_leaving = |name: &InstanceName| {
            self.listed.get(name).is_some_and(|entry| entry.state == ListedState::Leaving)
        };
        let (leaving, live): (Vec<_>, Vec<_>) =
            known.into_iter().partition(|(name, leaving)| *leaving || listed_leaving(name));
        let names = |list: Vec<(InstanceName, bool)>| list.into_iter().map(|(name, _)| name);
        let (live, leaving) = (names(live).collect(), names(leaving).collect());
        DomainView { name: name.clone(), state, lead, live, leaving }
    }

    fn local_instances(&self, now: Time) -> Vec<(InstanceName, bool)> {
        let live = self.last_seen.iter().filter(|(_, seen)| now.since(seen.at) < HEARTBEAT_TIMEOUT);
        let mut names: Vec<_> = live.map(|(name, seen)| (name.clone(), seen.leaving)).collect();
        names.push((self.local.clone(), self.leaving));
        names.sort();
        names
    }

    fn reachable_leads(
        &self,
        now: Time,
        report: &MemberReport<'_>,
    ) -> Vec<(DomainName, InstanceName, u64)> {
        let notice = report.notice.as_ref();
        let local_lead =
            notice.map(|notice| (self.domain.clone(), self.local.clone(), notice.epoch));
        let live =
            self.remote.iter().filter(|(_, remote)| now.since(remote.at) < HEARTBEAT_TIMEOUT);
        let others = live.map(|(name, r)| (name.clone(), r.lead.clone(), r.epoch));
        let mut leads: Vec<_> = local_lead.into_iter().chain(others).collect();
        leads.sort();
        leads
    }

    fn send_digests(
        &mut self,
        now: Time,
        epoch: u64,
        report: &MemberReport<'_>,
    ) -> Vec<MemberAction> {
        let instances = self.local_instances(now);
        self.probe_offset = self.probe_offset.wrapping_add(PROBE_COUNT);
        let listed = self.listed.values().map(|entry| &entry.domain);
        let mut domains: BTreeSet<&DomainName> = listed.chain(self.remote.keys()).collect();
        domains.remove(&self.domain);
        let mut actions = Vec::new();
        for domain in domains {
            let remote = self.remote.get(domain);
            let live = remote.filter(|remote| now.since(remote.at) < HEARTBEAT_TIMEOUT);
            // A receiver with a different view replies and then receives the complete list.
            let known = remote.map_or(0, |remote| remote.view);
            let message = self.local_digest(epoch, report, &instances, known, live.is_none());
            match live {
                Some(remote) => actions.push(send(&remote.lead, message)),
                None => {
                    let names: Vec<&InstanceName> = self
                        .listed
                        .values()
                        .filter(|e| e.domain == *domain)
                        .map(|e| &e.name)
                        .collect();
                    let picked = (0..PROBE_COUNT.min(names.len()))
                        .map(|n| (self.probe_offset + n) % names.len());
                    actions.extend(picked.map(|at| send(names[at], message.clone())));
                }
            }
        }
        actions
    }

    fn on_digest(
        &mut self,
        now: Time,
        digest: &DomainDigest,
        report: &MemberReport<'_>,
    ) -> Vec<MemberAction> {
        let mut actions = vec![revision(&digest.lead, digest.revision)];
        actions.extend(crash_marks(&digest.suspects));
        let before = self.remote.get(&digest.domain);
        let fresh = before.filter(|remote| now.since(remote.at) < HEARTBEAT_TIMEOUT);
        let old = fresh.is_some_and(|remote| remote.epoch > digest.epoch);
        let full = before.is_none() && self.remote.len() >= MAX_DOMAINS;
        if old || full || digest.domain == self.domain {
            return actions;
        }
        let kept = before.filter(|r| r.view == digest.view).map(|r| r.instances.clone());
        let instances = digest.instances.clone().or(kept);
        let view = if instances.is_some() { digest.view } else { 0 };
        let stale = before.map(|r| r.instances.clone()).unwrap_or_default();
        let remote = RemoteDomain {
            at: now,
            lead: digest.lead.clone(),
            epoch: digest.epoch,
            view,
            instances: instances.unwrap_or(stale),
        };
        self.remote.insert(digest.domain.clone(), remote);
        let instances = self.local_instances(now);
        match &report.notice {
            Some(notice) if digest.known != instances_view(&instances) => {
                let reply = self.local_digest(notice.epoch, report, &instances, view, true);
                actions.push(send(&digest.lead, reply));
            }
            _ => {}
        }
        actions
    }

    fn local_digest(
        &self,
        epoch: u64,
        report: &MemberReport<'_>,
        instances: &[(InstanceName, bool)],
        known: u32,
        full: bool,
    ) -> MembershipMessage {
        MembershipMessage::Digest(DomainDigest {
            domain: self.domain.clone(),
            epoch,
            revision: report.revision,
            lead: self.local.clone(),
            view: instances_view(instances),
            known,
            instances: full.then(|| instances.to_vec()),
            suspects: report.crash_marks.clone(),
        })
    }
}

fn leads_view(leads: &[(DomainName, InstanceName, u64)]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    for (domain, lead, epoch) in leads {
        hasher.update(domain.as_str().as_bytes());
        hasher.update(b"\0");
        hasher.update(lead.as_str().as_bytes());
        hasher.update(&epoch.to_be_bytes());
    }
    hasher.finalize()
}

fn instances_view(instances: &[(InstanceName, bool)]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    for (name, leaving) in instances {
        hasher.update(name.as_str().as_bytes());
        hasher.update(&[0, u8::from(*leaving)]);
    }
    hasher.finalize()
}

fn send(to: &InstanceName, message: MembershipMessage) -> MemberAction {
    MemberAction::Send { to: to.clone(), message }
}

fn revision(from: &InstanceName, revision: u64) -> MemberAction {
    MemberAction::Revision { from: from.clone(), revision }
}

fn crash_marks(marks: &CrashMarkList) -> Option<MemberAction> {
    (!marks.is_empty()).then(|| MemberAction::CrashMarks(marks.clone()))
}
