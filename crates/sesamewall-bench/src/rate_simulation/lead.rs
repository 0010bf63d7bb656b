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

use super::Sabotage;
use super::fleet::Answer;
use super::fleet::Call;
use super::fleet::Event;
use super::fleet::Fleet;
use super::fleet::Kind;
use super::fleet::Lead;

const LEAD_TICK: Duration = Duration::from_millis(100);
const STALE: Duration = Duration::from_secs(60);

impl Fleet {
    /// Makes a live instance the lead of the failure domain.
    pub(super) fn succeed(&mut self, domain: usize) {
        let (old, epoch) = self.leads[domain];
        let count = self.domains.len();
        if self.instances.get(old).is_some_and(|lead| lead.lead.is_some()) && self.ready(old) {
            return;
        }
        // The record of a lead stays unchanged for the lease and 0.5 s before a successor claims it.
        let former =
            self.instances.get(old).and_then(|former| Some((former, former.lead.as_ref()?)));
        let end = former.map(|(former, lead)| lead.valid_until + former.clock_behind + LEAD_MARGIN);
        if let Some(end) = end.filter(|end| self.now < *end) {
            return self.push(end, Event::Succeed(domain));
        }
        let candidates = (0..self.instances.len()).filter(|i| i % count == domain && *i != old);
        let ready: Vec<_> = candidates.filter(|i| self.ready(*i)).collect();
        let own = self.instances.get(old).is_some_and(|lead| lead.alive && lead.lead.is_none());
        let Some(i) = ready.first().copied().or(own.then_some(old)) else { return };
        if self.instances.get(old).is_some_and(|lead| lead.alive) && old != i {
            // Half of the instances learn of the new lead late.
            for j in (0..self.instances.len()).filter(|j| j % 2 == 1) {
                self.stale.insert((j, domain), (old, self.now + STALE));
            }
        }
        self.leads[domain] = (i, epoch + 1);
        self.lead_records[domain] += 1;
        let now = self.clock(i);
        let lead = self.lead(i, domain, epoch + 1, now);
        self.instances[i].lead = Some(lead);
        self.push(self.now, Event::LeadTick(i));
    }

    fn lead(&self, i: usize, domain: usize, epoch: u64, now: Time) -> Lead {
        let share = SHARE_UNIT / self.domains.len() as u64;
        let hasty = self.simulation.sabotage == Sabotage::Takeover && epoch > 1;
        let settings = GrantorSettings { epoch, share, ..GrantorSettings::default() };
        let early = if hasty { Time::ZERO } else { now };
        let mut grantor = Grantor::new(settings, early);
        for (name, limits) in self.names.iter().zip(&self.instances[i].limits) {
            grantor.set_limits(name, *limits, early);
        }
        if hasty {
            grantor.set_floor(now + LEAD_LEASE, BTreeMap::new(), early);
        }
        let floor = Floor::new(FloorSettings::default());
        let upper = share - reserve_share(share);
        let backup = FloorBackup::new(FloorSettings::default(), epoch, upper, now);
        let (renewed, valid_until) = (now - LEAD_LEASE, now + LEAD_LEASE);
        let (home_call, backup_call) = (None, None);
        Lead { domain, epoch, grantor, floor, backup, valid_until, renewed, home_call, backup_call }
    }

    /// Returns the failure domain whose floor the lead of `domain` backs up.
    fn backed(&self, domain: usize) -> usize {
        (domain + self.domains.len() - 1) % self.domains.len()
    }

    pub(super) fn lead_tick(&mut self, i: usize) {
        let now = self.clock(i);
        let sabotage = self.simulation.sabotage;
        let Some(domain) = self.instances[i].lead.as_ref().map(|lead| lead.domain) else { return };
        let backed = self.domains[self.backed(domain)].clone();
        let Some(lead) = &mut self.instances[i].lead else { return };
        let mut calls = Vec::new();
        if now >= lead.renewed + LEAD_RENEWAL {
            lead.renewed = now;
            calls.push(Kind::Renew);
            // Stands for the promises of the other instances of a failure domain that is cut off.
            if self.cut[domain] && now < lead.valid_until {
                lead.valid_until = now + LEAD_LEASE;
            }
        }
        let free =
            |call: Option<Time>| call.is_none_or(|at| now >= at + Duration::from_millis(500));
        if free(lead.home_call) {
            lead.home_call = None;
            calls.extend(lead.floor.tick(now).map(Kind::Home));
        }
        if free(lead.backup_call) && now < lead.valid_until {
            if lead.backup_call.take().is_some() {
                lead.backup.on_conflict();
            }
            calls.extend(lead.backup.tick(now).map(Kind::Backup));
        }
        for call in &calls {
            match call {
                Kind::Home(_) => lead.home_call = Some(now),
                Kind::Backup(_) => lead.backup_call = Some(now),
                Kind::Renew => {}
            }
        }
        let mut inherited = lead.backup.inherited(now);
        let mut full_until = lead.floor.full_until(now);
        if matches!(sabotage, Sabotage::FloorLease | Sabotage::Takeover) {
            full_until = now + LEAD_LEASE;
        }
        if full_until > Time::ZERO {
            full_until = full_until.min(lead.valid_until);
        }
        if let Some(part) = &mut inherited {
            part.until = part.until.min(lead.valid_until);
        }
        let parts: BTreeMap<_, _> =
            inherited.into_iter().map(|part| (backed.clone(), part)).collect();
        lead.grantor.set_floor(full_until, parts, now);
        lead.grantor.tick(now);
        let id = (i, lead.epoch);
        let renewing = calls.iter().any(|kind| matches!(kind, Kind::Renew));
        if renewing {
            self.ask_promise(id.0, id.1, now);
        }
        for kind in calls {
            let call = Call { lead: id, kind, sent: now };
            self.store_send(domain, Event::StoreCall(call));
        }
        self.check_floors();
        self.push(self.now + LEAD_TICK, Event::LeadTick(i));
    }

    /// Notes whether the upper parts of the floors are in force at two leads.
    fn check_floors(&mut self) {
        for domain in 0..self.domains.len() {
            let mut holders = 0;
            for i in 0..self.instances.len() {
                let now = self.clock(i);
                let Some(lead) = self.instances[i].lead.as_ref() else { continue };
                let valid = now < lead.valid_until;
                let unbound = self.simulation.sabotage == Sabotage::FloorLease;
                let full = unbound || now < lead.floor.full_until(now);
                let held = lead.backup.inherited(now).is_some_and(|part| part.from <= now);
                holders += u64::from(valid && lead.domain == domain && full);
                holders += u64::from(valid && self.backed(lead.domain) == domain && held);
            }
            if holders > 1 {
                self.history.floor_breaches.push((self.now, holders));
            }
        }
    }

    /// Executes a store call of a lead; each call takes effect at once.
    pub(super) fn store_call(&mut self, call: Call) {
        let Call { lead, kind, .. } = call;
        let domain = lead.0 % self.domains.len();
        let answer = match kind {
            Kind::Renew if self.leads[domain] != lead => return,
            Kind::Renew => {
                self.lead_records[domain] += 1;
                Answer::Done(self.lead_records[domain])
            }
            Kind::Home(write) => self.floor_call(domain, write),
            Kind::Backup(write) => self.floor_call(self.backed(domain), write),
        };
        self.store_send(domain, Event::StoreReply(call, answer));
    }

    fn floor_call(&mut self, domain: usize, write: FloorCall) -> Answer {
        let floor = &mut self.floor_records[domain];
        match write {
            FloorCall::ReadFloor => Answer::Floor(floor.0, floor.1),
            FloorCall::ReadLead => Answer::Lead(self.lead_records[domain]),
            FloorCall::Write { expect, .. } if expect != floor.1 => Answer::Conflict,
            FloorCall::Write { record, .. } => {
                *floor = (record, floor.1 + 1);
                Answer::Done(floor.1)
            }
        }
    }

    fn store_send(&mut self, domain: usize, event: Event) {
        let network = self.simulation.network;
        if self.cut[domain] || self.chance(network.dropped) {
            return;
        }
        let delay = self.delay(network);
        self.push(self.now + delay, event);
    }

    /// Takes in a store reply, unless the lead is another one or the call was given up.
    pub(super) fn store_reply(&mut self, call: Call, answer: Answer) {
        let now = self.clock(call.lead.0);
        let Some(lead) = &mut self.instances[call.lead.0].lead else { return };
        if lead.epoch != call.lead.1 {
            return;
        }
        let sent = call.sent;
        match (call.kind, answer) {
            (Kind::Renew, _) => {
                lead.valid_until = lead.valid_until.max(sent + LEAD_LEASE);
                lead.floor.on_renewed(sent, now);
            }
            (Kind::Home(write), answer) if lead.home_call == Some(sent) => {
                lead.home_call = None;
                match (write, answer) {
                    (_, Answer::Floor(record, version)) => {
                        lead.floor.on_floor_read(record, version, sent, now);
                    }
                    (FloorCall::Write { record, .. }, Answer::Done(version)) => {
                        lead.floor.on_floor_written(record, version);
                    }
                    _ => lead.floor.on_conflict(),
                }
            }
            (Kind::Backup(write), answer) if lead.backup_call == Some(sent) => {
                lead.backup_call = None;
                match (write, answer) {
                    (_, Answer::Floor(record, version)) => {
                        lead.backup.on_floor_read(record, version, now);
                    }
                    (_, Answer::Lead(version)) => lead.backup.on_lead_read(version, sent, now),
                    (FloorCall::Write { record, .. }, Answer::Done(version)) => {
                        lead.backup.on_floor_written(record, version, sent, now);
                    }
                    _ => lead.backup.on_conflict(),
                }
            }
            _ => {}
        }
    }

    fn ask_promise(&mut self, i: usize, epoch: u64, sent: Time) {
        let count = self.domains.len();
        let to = self.leads[(i + 1) % count].0;
        self.send(i, to, || Event::AskPromise(to, (i, epoch), sent));
    }

    /// Answers a request for a promise not to claim the floor.
    pub(super) fn on_ask_promise(&mut self, to: usize, home: (usize, u64), sent: Time) {
        let now = self.clock(to);
        let Some(lead) = &mut self.instances[to].lead else { return };
        if now >= lead.valid_until {
            return;
        }
        let Some(clear) = lead.backup.promise(now) else { return };
        self.send(to, home.0, || Event::Promise(home, sent, clear));
    }

    /// Takes in a promise.
    pub(super) fn on_promise(&mut self, home: (usize, u64), sent: Time, clear: Duration) {
        let now = self.clock(home.0);
        let lead = self.instances[home.0].lead.as_mut();
        if let Some(lead) = lead.filter(|lead| lead.epoch == home.1) {
            lead.floor.on_promised(sent, clear, now);
        }
    }
}
