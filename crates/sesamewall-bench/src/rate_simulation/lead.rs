//! Leads, store and floor leases of the simulated fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewall_membership::LEAD_LEASE;
use sesamewall_membership::LEAD_MARGIN;
use sesamewall_membership::LEAD_RENEWAL;
use sesamewall_protocol::Time;
use sesamewall_rate::Floor;
use sesamewall_rate::FloorBackup;
use sesamewall_rate::FloorCall;
use sesamewall_rate::FloorSettings;
use sesamewall_rate::Grantor;
use sesamewall_rate::GrantorSettings;
use sesamewall_rate::SHARE_UNIT;
use sesamewall_rate::reserve_share;

use super::DisabledMechanism;
use super::fleet::Call;
use super::fleet::CallKind;
use super::fleet::CallReply;
use super::fleet::Event;
use super::fleet::Fleet;
use super::fleet::Lead;

const LEAD_TICK: Duration = Duration::from_millis(100);
const STALE: Duration = Duration::from_secs(60);

impl Fleet {
    /// Makes a live instance the lead of the failure domain.
    pub(super) fn elect_lead(&mut self, domain: usize) {
        let (old, epoch) = self.leads[domain];
        let count = self.domains.len();
        if self.instances.get(old).is_some_and(|lead| lead.lead.is_some()) && self.is_ready(old) {
            return;
        }
        // The record of a lead stays unchanged for the lease and 0.5 s before a successor claims
        // it.
        let former =
            self.instances.get(old).and_then(|former| Some((former, former.lead.as_ref()?)));
        let end = former.map(|(former, lead)| lead.valid_until + former.clock_lag + LEAD_MARGIN);
        if let Some(end) = end.filter(|end| self.now < *end) {
            return self.push(end, Event::ElectLead(domain));
        }
        let candidates = (0..self.instances.len()).filter(|i| i % count == domain && *i != old);
        let ready: Vec<_> = candidates.filter(|i| self.is_ready(*i)).collect();
        let restarted =
            self.instances.get(old).is_some_and(|lead| lead.alive && lead.lead.is_none());
        let Some(i) = ready.first().copied().or(restarted.then_some(old)) else { return };
        if self.instances.get(old).is_some_and(|lead| lead.alive) && old != i {
            // Half of the instances receive the change of the lead late.
            for j in (0..self.instances.len()).filter(|j| j % 2 == 1) {
                self.stale_leads.insert((j, domain), (old, self.now + STALE));
            }
        }
        self.leads[domain] = (i, epoch + 1);
        self.lead_records[domain] += 1;
        let now = self.clock(i);
        let lead = self.new_lead(i, domain, epoch + 1, now);
        self.instances[i].lead = Some(lead);
        self.push(self.now, Event::LeadTick(i));
    }

    fn new_lead(&self, i: usize, domain: usize, epoch: u64, now: Time) -> Lead {
        let share = SHARE_UNIT / self.domains.len() as u64;
        let early_takeover = self.simulation.disabled == DisabledMechanism::Takeover && epoch > 1;
        let settings = GrantorSettings { epoch, share, ..GrantorSettings::default() };
        let start = if early_takeover { Time::ZERO } else { now };
        let mut grantor = Grantor::new(settings, start);
        for (name, limits) in self.names.iter().zip(&self.instances[i].limits) {
            grantor.set_limits(name, *limits, start);
        }
        if early_takeover {
            grantor.set_floor(now + LEAD_LEASE, BTreeMap::new(), start);
        }
        let floor = Floor::new(FloorSettings::default());
        let upper = share - reserve_share(share);
        let backup = FloorBackup::new(FloorSettings::default(), epoch, upper, now);
        let (renewed, valid_until) = (now - LEAD_LEASE, now + LEAD_LEASE);
        let (local_call, backup_call) = (None, None);
        Lead {
            domain,
            epoch,
            grantor,
            floor,
            backup,
            valid_until,
            renewed,
            local_call,
            backup_call,
        }
    }

    /// Returns the failure domain whose floor the lead of `domain` backs up.
    fn backed_domain(&self, domain: usize) -> usize {
        (domain + self.domains.len() - 1) % self.domains.len()
    }

    pub(super) fn lead_tick(&mut self, i: usize) {
        let now = self.clock(i);
        let disabled = self.simulation.disabled;
        let Some(domain) = self.instances[i].lead.as_ref().map(|lead| lead.domain) else { return };
        let backed_domain = self.domains[self.backed_domain(domain)].clone();
        let Some(lead) = &mut self.instances[i].lead else { return };
        let mut calls = Vec::new();
        if now >= lead.renewed + LEAD_RENEWAL {
            lead.renewed = now;
            calls.push(CallKind::Renew);
            // Represents the promises of the other instances of a partitioned failure domain.
            if self.partitioned[domain] && now < lead.valid_until {
                lead.valid_until = now + LEAD_LEASE;
            }
        }
        let free =
            |call: Option<Time>| call.is_none_or(|at| now >= at + Duration::from_millis(500));
        if free(lead.local_call) {
            lead.local_call = None;
            calls.extend(lead.floor.tick(now).map(CallKind::LocalFloor));
        }
        if free(lead.backup_call) && now < lead.valid_until {
            if lead.backup_call.take().is_some() {
                lead.backup.on_conflict();
            }
            calls.extend(lead.backup.tick(now).map(CallKind::BackupFloor));
        }
        for call in &calls {
            match call {
                CallKind::LocalFloor(_) => lead.local_call = Some(now),
                CallKind::BackupFloor(_) => lead.backup_call = Some(now),
                CallKind::Renew => {}
            }
        }
        let mut inherited = lead.backup.inherited(now);
        let mut full_until = lead.floor.full_until(now);
        if matches!(disabled, DisabledMechanism::FloorLease | DisabledMechanism::Takeover) {
            full_until = now + LEAD_LEASE;
        }
        if full_until > Time::ZERO {
            full_until = full_until.min(lead.valid_until);
        }
        if let Some(part) = &mut inherited {
            part.until = part.until.min(lead.valid_until);
        }
        let parts: BTreeMap<_, _> =
            inherited.into_iter().map(|part| (backed_domain.clone(), part)).collect();
        lead.grantor.set_floor(full_until, parts, now);
        lead.grantor.tick(now);
        let id = (i, lead.epoch);
        let renewing = calls.iter().any(|kind| matches!(kind, CallKind::Renew));
        if renewing {
            self.request_promise(id.0, id.1, now);
        }
        for kind in calls {
            let call = Call { lead: id, kind, sent: now };
            self.store_send(domain, Event::StoreCall(call));
        }
        self.check_floors();
        self.push(self.now + LEAD_TICK, Event::LeadTick(i));
    }

    /// Records a violation if the leased part of a floor (all but its reserve) is in force at two
    /// leads.
    fn check_floors(&mut self) {
        for domain in 0..self.domains.len() {
            let mut holders = 0;
            for i in 0..self.instances.len() {
                let now = self.clock(i);
                let Some(lead) = self.instances[i].lead.as_ref() else { continue };
                let valid = now < lead.valid_until;
                let ignores_lease = self.simulation.disabled == DisabledMechanism::FloorLease;
                let full = ignores_lease || now < lead.floor.full_until(now);
                let held = lead.backup.inherited(now).is_some_and(|part| part.from <= now);
                holders += u64::from(valid && lead.domain == domain && full);
                holders += u64::from(valid && self.backed_domain(lead.domain) == domain && held);
            }
            if holders > 1 {
                self.history.floor_violations.push((self.now, holders));
            }
        }
    }

    /// Executes a store call of a lead; each call takes effect at once.
    pub(super) fn store_call(&mut self, call: Call) {
        let Call { lead, kind, .. } = call;
        let domain = lead.0 % self.domains.len();
        let reply = match kind {
            CallKind::Renew if self.leads[domain] != lead => return,
            CallKind::Renew => {
                self.lead_records[domain] += 1;
                CallReply::Done(self.lead_records[domain])
            }
            CallKind::LocalFloor(write) => self.floor_call(domain, write),
            CallKind::BackupFloor(write) => self.floor_call(self.backed_domain(domain), write),
        };
        self.store_send(domain, Event::StoreReply(call, reply));
    }

    fn floor_call(&mut self, domain: usize, write: FloorCall) -> CallReply {
        let floor = &mut self.floor_records[domain];
        match write {
            FloorCall::ReadFloor => CallReply::Floor(floor.0, floor.1),
            FloorCall::ReadLead => CallReply::Lead(self.lead_records[domain]),
            FloorCall::Write { expect, .. } if expect != floor.1 => CallReply::Conflict,
            FloorCall::Write { record, .. } => {
                *floor = (record, floor.1 + 1);
                CallReply::Done(floor.1)
            }
        }
    }

    fn store_send(&mut self, domain: usize, event: Event) {
        let network = self.simulation.network;
        if self.partitioned[domain] || self.chance(network.dropped) {
            return;
        }
        let delay = self.delay(network);
        self.push(self.now + delay, event);
    }

    /// Applies a store reply, unless the lead has changed or the call was abandoned.
    pub(super) fn store_reply(&mut self, call: Call, reply: CallReply) {
        let now = self.clock(call.lead.0);
        let Some(lead) = &mut self.instances[call.lead.0].lead else { return };
        if lead.epoch != call.lead.1 {
            return;
        }
        let sent = call.sent;
        match (call.kind, reply) {
            (CallKind::Renew, _) => {
                lead.valid_until = lead.valid_until.max(sent + LEAD_LEASE);
                lead.floor.on_renewed(sent, now);
            }
            (CallKind::LocalFloor(write), reply) if lead.local_call == Some(sent) => {
                lead.local_call = None;
                match (write, reply) {
                    (_, CallReply::Floor(record, version)) => {
                        lead.floor.on_floor_read(record, version, sent, now);
                    }
                    (FloorCall::Write { record, .. }, CallReply::Done(version)) => {
                        lead.floor.on_floor_written(record, version);
                    }
                    _ => lead.floor.on_conflict(),
                }
            }
            (CallKind::BackupFloor(write), reply) if lead.backup_call == Some(sent) => {
                lead.backup_call = None;
                match (write, reply) {
                    (_, CallReply::Floor(record, version)) => {
                        lead.backup.on_floor_read(record, version, now);
                    }
                    (_, CallReply::Lead(version)) => lead.backup.on_lead_read(version, sent, now),
                    (FloorCall::Write { record, .. }, CallReply::Done(version)) => {
                        lead.backup.on_floor_written(record, version, sent, now);
                    }
                    _ => lead.backup.on_conflict(),
                }
            }
            _ => {}
        }
    }

    fn request_promise(&mut self, i: usize, epoch: u64, sent: Time) {
        let count = self.domains.len();
        let to = self.leads[(i + 1) % count].0;
        self.send(i, to, || Event::PromiseRequest(to, (i, epoch), sent));
    }

    /// Replies to a request for a promise not to claim the floor.
    pub(super) fn on_promise_request(&mut self, to: usize, sender: (usize, u64), sent: Time) {
        let now = self.clock(to);
        let Some(lead) = &mut self.instances[to].lead else { return };
        if now >= lead.valid_until {
            return;
        }
        let Some(clear) = lead.backup.promise(now) else { return };
        self.send(to, sender.0, || Event::Promise(sender, sent, clear));
    }

    /// Applies a promise.
    pub(super) fn on_promise(&mut self, sender: (usize, u64), sent: Time, clear: Duration) {
        let now = self.clock(sender.0);
        let lead = self.instances[sender.0].lead.as_mut();
        if let Some(lead) = lead.filter(|lead| lead.epoch == sender.1) {
            lead.floor.on_promised(sent, clear, now);
        }
    }
}
