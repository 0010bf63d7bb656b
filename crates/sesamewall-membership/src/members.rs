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
pub const SILENCE: Duration = Duration::from_secs(3);

const HEARTBEAT_EVERY: Duration = Duration::from_secs(1);
const MAX_INSTANCES: usize = 4_096;
const MAX_DOMAINS: usize = 64;
const PROBED: usize = 2;

/// Marks of requests that were running at a crash: account, hash in hex, marks.
pub type Suspects = Vec<(String, String, u8)>;

/// What one instance reports with its heartbeats.
#[derive(Clone, Debug)]
pub struct Report<'a> {
    /// The lead that it believes.
    pub lead: Option<&'a InstanceName>,
    /// Its own lead notice, if it is lead now.
    pub notice: Option<LeadNotice>,
    /// Revision of the configuration in force.
    pub revision: u64,
    /// Suspects to pass on.
    pub suspects: Suspects,
}

/// Something that members want done.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a message.
    Send {
        /// The receiver.
        to: InstanceName,
        /// The message.
        message: MembershipMessage,
    },
    /// The sender has this configuration revision; give it to `Follower::hear`.
    Revision {
        /// The sender.
        from: InstanceName,
        /// Its revision.
        revision: u64,
    },
    /// The sender passed on suspects.
    Suspects(Suspects),
}

/// Whether a failure domain gets work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DomainState {
    /// It is in service and can be reached.
    In,
    /// Operators took it out of service.
    Out,
    /// Its lead has not been heard of.
    Unreachable,
}

/// A failure domain as one instance sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainView {
    /// The failure domain.
    pub name: DomainName,
    /// Whether it gets work.
    pub state: DomainState,
    /// Its lead with the epoch, if known.
    pub lead: Option<(InstanceName, u64)>,
    /// Its instances that may be used as peers.
    pub live: Vec<InstanceName>,
    /// Its instances that are about to stop and get no new work.
    pub leaving: Vec<InstanceName>,
}

#[derive(Clone, Debug)]
struct Heard {
    at: Time,
    leaving: bool,
}

#[derive(Clone, Debug)]
struct Remote {
    at: Time,
    lead: InstanceName,
    epoch: u64,
    view: u32,
    instances: Vec<(InstanceName, bool)>,
}

/// The instances that one instance knows.
#[derive(Clone, Debug)]
pub struct Members {
    own: InstanceName,
    domain: DomainName,
    listed: BTreeMap<InstanceName, ListedInstance>,
    heard: BTreeMap<InstanceName, Heard>,
    remote: BTreeMap<DomainName, Remote>,
    leads: Vec<(DomainName, InstanceName, u64)>,
    leads_at: Time,
    leading: bool,
    last_heartbeat: Option<Time>,
    probe: usize,
    leaving: bool,
}

impl Members {
    /// Returns the state of an instance that starts.
    pub fn new(own: InstanceName, domain: DomainName) -> Self {
        Self {
            own,
            domain,
            listed: BTreeMap::new(),
            heard: BTreeMap::new(),
            remote: BTreeMap::new(),
            leads: Vec::new(),
            leads_at: Time::ZERO,
            leading: false,
            last_heartbeat: None,
            probe: 0,
            leaving: false,
        }
    }

    /// Takes the instance list as a source of names. It does not overrule direct evidence.
    pub fn set_list(&mut self, list: Vec<ListedInstance>) {
        let entries = list.into_iter().take(MAX_INSTANCES);
        self.listed = entries.map(|entry| (entry.name.clone(), entry)).collect();
    }

    /// Tells the others with the next heartbeats that this instance is about to stop.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns the other known instances of the own failure domain, live or not.
    pub fn domain_peers(&self) -> BTreeSet<InstanceName> {
        let listed = self.listed.values().filter(|entry| entry.domain == self.domain);
        let names = listed.map(|entry| &entry.name).chain(self.heard.keys());
        names.filter(|name| **name != self.own).cloned().collect()
    }

    /// Handles the passing of time: heartbeats to the lead, or digests to the other leads.
    pub fn tick(&mut self, now: Time, report: &Report<'_>) -> Vec<MemberAction> {
        self.leading = report.notice.is_some();
        // Entries outlive SILENCE so that a lead's promise round still names them.
        self.heard.retain(|_, heard| now.since(heard.at) < SILENCE * 4);
        self.remote.retain(|_, remote| now.since(remote.at) < SILENCE * 20);
        if self.last_heartbeat.is_some_and(|last| now.since(last) < HEARTBEAT_EVERY) {
            return Vec::new();
        }
        self.last_heartbeat = Some(now);
        match (&report.notice, report.lead) {
            (Some(notice), _) => self.digests(now, notice.epoch, report),
            (None, Some(lead)) if *lead != self.own => {
                let heartbeat = Heartbeat {
                    revision: report.revision,
                    view: leads_view(&self.leads),
                    leaving: self.leaving,
                    suspects: report.suspects.clone(),
                };
                vec![send(lead, MembershipMessage::Heartbeat(heartbeat))]
            }
            _ => Vec::new(),
        }
    }

    /// Handles a message from `from` in `domain`. Each message is direct evidence of its sender.
    pub fn message(
        &mut self,
        now: Time,
        from: &InstanceName,
        domain: &DomainName,
        message: &MembershipMessage,
        report: &Report<'_>,
    ) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        if *domain == self.domain && self.heard.len() < MAX_INSTANCES {
            let before = self.heard.get(from).is_some_and(|heard| heard.leaving);
            let leaving = match message {
                MembershipMessage::Heartbeat(heartbeat) => heartbeat.leaving,
                _ => before,
            };
            self.heard.insert(from.clone(), Heard { at: now, leaving });
        }
        match message {
            MembershipMessage::Heartbeat(heartbeat) => {
                actions.push(revision(from, heartbeat.revision));
                actions.extend(suspects(&heartbeat.suspects));
                let leads = self.reachable_leads(now, report);
                let differ = leads_view(&leads) != heartbeat.view && report.notice.is_some();
                let reply = HeartbeatReply {
                    revision: report.revision,
                    notice: report.notice.clone(),
                    leads: differ.then_some(leads),
                    suspects: report.suspects.clone(),
                };
                actions.push(send(from, MembershipMessage::HeartbeatReply(reply)));
            }
            MembershipMessage::HeartbeatReply(reply) => {
                actions.push(revision(from, reply.revision));
                actions.extend(suspects(&reply.suspects));
                if reply.notice.is_some() {
                    self.leads_at = now;
                    self.leads = reply.leads.clone().unwrap_or_else(|| self.leads.clone());
                }
            }
            MembershipMessage::Digest(digest) => {
                // A digest that met an instance that is not lead goes on to the lead.
                match report.lead {
                    Some(lead) if report.notice.is_none() && *lead != self.own => {
                        let known = *from == digest.lead;
                        let pass = known.then(|| send(lead, message.clone()));
                        actions.extend(pass);
                    }
                    _ => actions.extend(self.digest(now, digest, report)),
                }
            }
            _ => {}
        }
        actions
    }

    /// Returns whether `name` may be used as a peer: evidence in the last 3 s, direct or through
    /// the digest of its lead.
    pub fn is_live(&self, name: &InstanceName, now: Time) -> bool {
        let direct = self.heard.get(name).is_some_and(|heard| now.since(heard.at) < SILENCE);
        let named = |remote: &Remote| {
            now.since(remote.at) < SILENCE
                && remote.instances.iter().any(|(other, _)| other == name)
        };
        *name == self.own || direct || self.remote.values().any(named)
    }

    /// Returns each failure domain that is configured, listed or heard of.
    pub fn domain_view(&self, now: Time, config: &Configuration) -> Vec<DomainView> {
        let configured = config.domains().map(|domain| &domain.name);
        let listed = self.listed.values().map(|entry| &entry.domain);
        let heard = self.remote.keys().chain(self.leads.iter().map(|(domain, ..)| domain));
        let mut names: BTreeSet<&DomainName> = configured.chain(listed).chain(heard).collect();
        names.insert(&self.domain);
        names.into_iter().map(|name| self.view_of(name, now, config)).collect()
    }

    fn view_of(&self, name: &DomainName, now: Time, config: &Configuration) -> DomainView {
        let remote = self.remote.get(name).filter(|remote| now.since(remote.at) < SILENCE);
        let told = self.leads.iter().find(|(domain, ..)| domain == name);
        let told = told.filter(|_| !self.leading && now.since(self.leads_at) < SILENCE);
        let lead = match (remote, told) {
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
            _ if *name == self.domain => self.own_instances(now),
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

    fn own_instances(&self, now: Time) -> Vec<(InstanceName, bool)> {
        let live = self.heard.iter().filter(|(_, heard)| now.since(heard.at) < SILENCE);
        let mut names: Vec<_> = live.map(|(name, heard)| (name.clone(), heard.leaving)).collect();
        names.push((self.own.clone(), self.leaving));
        names.sort();
        names
    }

    fn reachable_leads(
        &self,
        now: Time,
        report: &Report<'_>,
    ) -> Vec<(DomainName, InstanceName, u64)> {
        let own = report.notice.as_ref();
        let own = own.map(|notice| (self.domain.clone(), self.own.clone(), notice.epoch));
        let live = self.remote.iter().filter(|(_, remote)| now.since(remote.at) < SILENCE);
        let others = live.map(|(name, r)| (name.clone(), r.lead.clone(), r.epoch));
        let mut leads: Vec<_> = own.into_iter().chain(others).collect();
        leads.sort();
        leads
    }

    fn digests(&mut self, now: Time, epoch: u64, report: &Report<'_>) -> Vec<MemberAction> {
        let instances = self.own_instances(now);
        self.probe = self.probe.wrapping_add(PROBED);
        let listed = self.listed.values().map(|entry| &entry.domain);
        let mut domains: BTreeSet<&DomainName> = listed.chain(self.remote.keys()).collect();
        domains.remove(&self.domain);
        let mut actions = Vec::new();
        for domain in domains {
            let remote = self.remote.get(domain);
            let live = remote.filter(|remote| now.since(remote.at) < SILENCE);
            // A receiver that knows another view answers, and then gets the whole list.
            let known = remote.map_or(0, |remote| remote.view);
            let message = self.own_digest(epoch, report, &instances, known, live.is_none());
            match live {
                Some(remote) => actions.push(send(&remote.lead, message)),
                None => {
                    let names: Vec<&InstanceName> = self
                        .listed
                        .values()
                        .filter(|e| e.domain == *domain)
                        .map(|e| &e.name)
                        .collect();
                    let picked =
                        (0..PROBED.min(names.len())).map(|n| (self.probe + n) % names.len());
                    actions.extend(picked.map(|at| send(names[at], message.clone())));
                }
            }
        }
        actions
    }

    fn digest(
        &mut self,
        now: Time,
        digest: &DomainDigest,
        report: &Report<'_>,
    ) -> Vec<MemberAction> {
        let mut actions = vec![revision(&digest.lead, digest.revision)];
        actions.extend(suspects(&digest.suspects));
        let before = self.remote.get(&digest.domain);
        let fresh = before.filter(|remote| now.since(remote.at) < SILENCE);
        let old = fresh.is_some_and(|remote| remote.epoch > digest.epoch);
        let full = before.is_none() && self.remote.len() >= MAX_DOMAINS;
        if old || full || digest.domain == self.domain {
            return actions;
        }
        let kept = before.filter(|r| r.view == digest.view).map(|r| r.instances.clone());
        let instances = digest.instances.clone().or(kept);
        let view = if instances.is_some() { digest.view } else { 0 };
        let stale = before.map(|r| r.instances.clone()).unwrap_or_default();
        let remote = Remote {
            at: now,
            lead: digest.lead.clone(),
            epoch: digest.epoch,
            view,
            instances: instances.unwrap_or(stale),
        };
        self.remote.insert(digest.domain.clone(), remote);
        let own = self.own_instances(now);
        match &report.notice {
            Some(notice) if digest.known != instances_view(&own) => {
                let answer = self.own_digest(notice.epoch, report, &own, view, true);
                actions.push(send(&digest.lead, answer));
            }
            _ => {}
        }
        actions
    }

    fn own_digest(
        &self,
        epoch: u64,
        report: &Report<'_>,
        instances: &[(InstanceName, bool)],
        known: u32,
        full: bool,
    ) -> MembershipMessage {
        MembershipMessage::Digest(DomainDigest {
            domain: self.domain.clone(),
            epoch,
            revision: report.revision,
            lead: self.own.clone(),
            view: instances_view(instances),
            known,
            instances: full.then(|| instances.to_vec()),
            suspects: report.suspects.clone(),
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

fn suspects(suspects: &Suspects) -> Option<MemberAction> {
    (!suspects.is_empty()).then(|| MemberAction::Suspects(suspects.clone()))
}
