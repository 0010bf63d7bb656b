//! Decides which instance is lead of a failure domain.
//!
//! Assumes that a failure domain is not partitioned internally while half of it still reaches the
//! store, nor while none of it does, and that clocks run at the same rate within `margin` a lease.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngCore;
use sesamewall_ports::Precondition;
use sesamewall_ports::StoreError;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::LeadNotice;
use sesamewall_protocol::peer::MembershipMessage;
use sesamewall_protocol::peer::PromiseReply;
use sesamewall_protocol::peer::PromiseRequest;

use crate::lead_types::Call;
use crate::lead_types::HandOver;
use crate::lead_types::Held;
use crate::lead_types::LeadAction;
use crate::lead_types::LeadRecord;
use crate::lead_types::LeadSettings;
use crate::lead_types::Promise;
use crate::lead_types::Round;
use crate::lead_types::Seen;

const RETRY: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const RANK_DELAY: Duration = Duration::from_millis(100);
const MAX_RANK: u32 = 5;
const NOTIFIED: usize = 2;

/// The lead lease of one failure domain as one of its instances sees it.
#[derive(Clone, Debug)]
pub struct Lead {
    settings: LeadSettings,
    own: InstanceName,
    peers: BTreeSet<InstanceName>,
    evidence: BTreeMap<InstanceName, Time>,
    held: Option<Held>,
    lead: Option<InstanceName>,
    contact: Time,
    store_contact: Time,
    highest: u64,
    /// Highest epoch that a candidate offered; it may never have been held.
    offered: u64,
    seen: Option<Seen>,
    promise: Option<Promise>,
    claim_until: Time,
    call: Option<Call>,
    unclear: Option<(LeadRecord, Time)>,
    calls: u64,
    last_call: Time,
    last_ask: Time,
    round: Option<Round>,
    last_tick: Time,
    running: Time,
    leaving: bool,
    /// An epoch is known since the start; else a takeover could repeat an epoch held before.
    informed: bool,
    handing: Option<HandOver>,
    handed: Option<(InstanceName, LeadNotice)>,
}

impl Lead {
    /// Returns the state of an instance that starts at `now`.
    pub fn new(own: InstanceName, settings: LeadSettings, now: Time) -> Self {
        Self {
            settings,
            own,
            peers: BTreeSet::new(),
            evidence: BTreeMap::new(),
            held: None,
            lead: None,
            contact: now,
            store_contact: now,
            highest: 0,
            offered: 0,
            seen: None,
            promise: None,
            claim_until: Time::ZERO,
            call: None,
            unclear: None,
            calls: 0,
            last_call: Time::ZERO,
            last_ask: Time::ZERO,
            round: None,
            last_tick: now,
            running: now,
            leaving: false,
            informed: false,
            handing: None,
            handed: None,
        }
    }

    /// Returns the end of the own lease, if there is one. Check it directly before each grant.
    pub fn valid_until(&self) -> Option<Time> {
        self.held.as_ref().map(|held| held.store_until.max(held.promise_until))
    }

    /// Returns the own epoch, the fencing token, if this instance may grant at `now`.
    pub fn epoch(&self, now: Time) -> Option<u64> {
        let until = self.valid_until()?;
        let valid = now < until || !self.settings.expire;
        self.held.as_ref().filter(|_| valid).map(|held| held.epoch)
    }

    /// Returns the lead that this instance last heard of.
    pub fn lead(&self) -> Option<&InstanceName> {
        if self.held.is_some() { Some(&self.own) } else { self.lead.as_ref() }
    }

    /// Returns the highest epoch that this instance has seen.
    pub fn highest_epoch(&self) -> u64 {
        self.highest
    }

    /// Returns the notice for heartbeat replies, if this instance is lead at `now`.
    pub fn notice(&self, now: Time) -> Option<LeadNotice> {
        self.epoch(now)?;
        let held = self.held.as_ref()?;
        let age_ms = u64::try_from(now.since(held.renewed).as_millis()).unwrap_or(u64::MAX);
        Some(LeadNotice { epoch: held.epoch, version: held.version.unwrap_or(0), age_ms })
    }

    /// Sets the names of the other instances of the failure domain.
    pub fn set_peers(&mut self, names: impl IntoIterator<Item = InstanceName>) {
        self.peers = names.into_iter().filter(|name| *name != self.own).collect();
        self.evidence.retain(|name, _| self.peers.contains(name));
    }

    /// Handles the passing of time; call it at least every 100 ms.
    pub fn tick(&mut self, now: Time, rng: &mut dyn RngCore) -> Vec<LeadAction> {
        let mut actions = Vec::new();
        // After a pause, messages of a new lead may still wait in queues.
        if now.since(self.last_tick) > RETRY {
            self.running = now;
        }
        self.last_tick = now;
        self.expire(now, &mut actions);
        if self.call.as_ref().is_some_and(|call| now.since(call.start) >= CALL_TIMEOUT) {
            self.end_call_unclear();
        }
        if self.held.is_some() {
            self.tick_lead(now, rng, &mut actions);
        } else if !self.leaving {
            self.tick_follower(now, rng, &mut actions);
        }
        actions
    }

    /// Handles the result of a read: the version and value, or `None` if the record is absent.
    pub fn read(
        &mut self,
        now: Time,
        call: u64,
        result: Result<Option<(u64, LeadRecord)>, StoreError>,
    ) -> Vec<LeadAction> {
        let mut actions = Vec::new();
        let Some(_) = self.call.take_if(|own| own.number == call) else { return actions };
        let Ok(found) = result else { return actions };
        self.store_contact = now;
        let (version, record) = match found {
            Some((version, record)) => (version, Some(record)),
            None => (0, None),
        };
        self.see(version, record.clone(), now);
        if let Some((written, start)) =
            self.unclear.take_if(|(own, _)| record.as_ref() == Some(own))
        {
            self.hold_written(now, &written, version, start, &mut actions);
        }
        let higher = |held: &Held| {
            record.as_ref().is_some_and(|r| r.instance != self.own && r.epoch >= held.epoch)
        };
        if self.held.as_ref().is_some_and(higher) {
            self.lose(&mut actions);
        } else if let Some(held) = &mut self.held {
            held.version = Some(version);
        }
        actions
    }

    /// Handles the result of a write: the new version or the failure.
    pub fn written(
        &mut self,
        now: Time,
        call: u64,
        result: Result<u64, StoreError>,
    ) -> Vec<LeadAction> {
        let mut actions = Vec::new();
        if let Some(HandOver { to, mut notice, .. }) = self.handing.take_if(|h| h.call == call) {
            notice.version = result.unwrap_or(notice.version);
            actions.push(send(&to, MembershipMessage::HandOver(notice)));
            return actions;
        }
        if self.call.as_ref().is_none_or(|own| own.number != call) {
            return actions;
        }
        match result {
            Err(StoreError::Unclear) => self.end_call_unclear(),
            Ok(version) => {
                self.store_contact = now;
                let done = self.call.take();
                if let Some(Call { start, put: Some(record), .. }) = done {
                    self.hold_written(now, &record, version, start, &mut actions);
                }
            }
            Err(error) => {
                self.call = None;
                self.claim_until = Time::ZERO;
                if error == StoreError::Conflict {
                    self.store_contact = now;
                    self.forget_version();
                }
            }
        }
        actions
    }

    /// Handles a message of an instance of the own failure domain.
    pub fn message(
        &mut self,
        now: Time,
        from: &InstanceName,
        message: &MembershipMessage,
    ) -> Vec<LeadAction> {
        let mut actions = Vec::new();
        if from == &self.own {
            return actions;
        }
        if self.peers.contains(from) {
            self.evidence.insert(from.clone(), now);
        }
        self.expire(now, &mut actions);
        match message {
            MembershipMessage::LeadAsk => actions.push(send(from, self.answer(now))),
            MembershipMessage::HeartbeatReply(reply) => {
                if let Some(notice) = &reply.notice {
                    self.hear(now, from, notice, &mut actions);
                }
            }
            MembershipMessage::LeadNotice(notice) => self.hear(now, from, notice, &mut actions),
            MembershipMessage::PromiseAsk(ask) => self.promise(now, from, ask, &mut actions),
            MembershipMessage::PromiseReply(reply) => self.promised(now, from, reply, &mut actions),
            MembershipMessage::HandOver(notice) if notice.epoch >= self.highest => {
                self.highest = notice.epoch;
                self.see(notice.version, None, now);
                self.handed = Some((from.clone(), notice.clone()));
                self.promise = self.promise.take().filter(|promise| &promise.to != from);
            }
            _ => {}
        }
        actions
    }

    /// Ends the own lease for a shutdown and names the successor. This instance claims no more.
    pub fn shut_down(&mut self, now: Time, rng: &mut dyn RngCore) -> Vec<LeadAction> {
        let mut actions = Vec::new();
        self.leaving = true;
        let Some(notice) = self.notice(now) else { return actions };
        let live = |name: &&InstanceName| self.is_live(name, now);
        let successor = self.peers.iter().find(live).cloned();
        self.lose(&mut actions);
        let Some(to) = successor else { return actions };
        let renewal = self.call.take_if(|call| call.put.is_some());
        if let Some(Call { number: call, .. }) = renewal {
            // The successor needs the version that the renewal in flight writes.
            self.handing = Some(HandOver { call, to, notice });
        } else if notice.version > 0 {
            let (epoch, token) = (notice.epoch, rng.next_u64());
            let record = LeadRecord { instance: to.clone(), epoch, token, handed_over: true };
            self.calls += 1;
            let (call, expect) = (self.calls, Precondition::Version(notice.version));
            self.handing = Some(HandOver { call, to, notice });
            actions.push(LeadAction::Put { call, record, expect });
        } else {
            actions.push(send(&to, MembershipMessage::HandOver(notice)));
        }
        actions
    }

    fn wait(&self) -> Duration {
        if self.settings.wait { self.settings.lease + self.settings.margin } else { Duration::ZERO }
    }

    fn is_live(&self, name: &InstanceName, now: Time) -> bool {
        let silence = self.settings.lease + self.settings.margin;
        self.evidence.get(name).is_some_and(|last| now.since(*last) < silence)
    }

    fn expire(&mut self, now: Time, actions: &mut Vec<LeadAction>) {
        if self.settings.expire && self.valid_until().is_some_and(|until| now >= until) {
            self.lose(actions);
            self.contact = now;
        }
    }

    fn lose(&mut self, actions: &mut Vec<LeadAction>) {
        if let Some(held) = self.held.take() {
            actions.push(LeadAction::Lost(held.epoch));
            (self.lead, self.round) = (None, None);
        }
    }

    fn end_call_unclear(&mut self) {
        if let Some(Call { start, put: Some(record), .. }) = self.call.take() {
            self.unclear = Some((record, start));
            self.forget_version();
        }
    }

    /// Makes the next store call a read.
    fn forget_version(&mut self) {
        self.seen = None;
        if let Some(held) = &mut self.held {
            held.version = None;
        }
    }

    fn see(&mut self, version: u64, record: Option<LeadRecord>, since: Time) {
        self.informed = true;
        self.highest = self.highest.max(record.as_ref().map_or(0, |record| record.epoch));
        match &mut self.seen {
            Some(seen) if seen.version == version => seen.record = record.or(seen.record.take()),
            _ => self.seen = Some(Seen { version, record, since }),
        }
    }

    fn hold_written(
        &mut self,
        now: Time,
        record: &LeadRecord,
        version: u64,
        start: Time,
        actions: &mut Vec<LeadAction>,
    ) {
        let until = start + self.settings.lease;
        self.unclear = None;
        if now >= until || self.leaving || record.instance != self.own {
            return;
        }
        match &mut self.held {
            Some(held) if held.epoch == record.epoch => {
                (held.version, held.renewed, held.store_until) = (Some(version), start, until);
            }
            _ => {
                self.hold(record.epoch, actions);
                if let Some(held) = &mut self.held {
                    (held.version, held.renewed, held.store_until) = (Some(version), start, until);
                }
            }
        }
        let notice = self.notice(now);
        for (to, notice) in self.peers.iter().take(NOTIFIED).zip(notice.iter().cycle()) {
            actions.push(send(to, MembershipMessage::LeadNotice(notice.clone())));
        }
    }

    fn hold(&mut self, epoch: u64, actions: &mut Vec<LeadAction>) {
        let zero = Time::ZERO;
        self.held = Some(Held {
            epoch,
            version: None,
            renewed: zero,
            store_until: zero,
            promise_until: zero,
        });
        self.highest = self.highest.max(epoch);
        (self.lead, self.promise, self.handed) = (Some(self.own.clone()), None, None);
        actions.push(LeadAction::Gained(epoch));
    }

    fn tick_lead(&mut self, now: Time, rng: &mut dyn RngCore, actions: &mut Vec<LeadAction>) {
        let Some(held) = self.held.clone() else { return };
        let due = if held.version.is_some() { self.settings.renew } else { RETRY };
        if self.call.is_none() && now.since(self.last_call) >= due {
            match held.version {
                Some(version) => {
                    let record = LeadRecord {
                        instance: self.own.clone(),
                        epoch: held.epoch,
                        token: rng.next_u64(),
                        handed_over: false,
                    };
                    self.put(now, record, version, actions);
                }
                None => self.start_read(now, actions),
            }
        }
        let late = self.settings.renew + RETRY;
        if now + self.settings.lease > held.store_until + late && now.since(self.last_ask) >= RETRY
        {
            self.start_round(now, held.epoch, true, actions);
        }
    }

    fn tick_follower(&mut self, now: Time, rng: &mut dyn RngCore, actions: &mut Vec<LeadAction>) {
        if !self.informed && self.call.is_none() && now.since(self.last_call) >= RETRY {
            self.start_read(now, actions);
        }
        let quiet = now.since(self.contact) >= self.settings.suspect;
        if !quiet && self.settings.wait && self.handed.is_none() {
            return;
        }
        if now.since(self.last_ask) >= RETRY {
            let wait = self.wait();
            let silent = now.since(self.store_contact) >= wait && self.may_claim(now);
            let lower = self.peers.iter().any(|name| {
                *name < self.own
                    && self.evidence.get(name).is_some_and(|last| now.since(*last) < wait)
            });
            if silent && !lower && self.informed {
                self.start_round(now, self.next_epoch(), false, actions);
            } else {
                self.last_ask = now;
                actions.extend(self.peers.iter().map(|to| send(to, MembershipMessage::LeadAsk)));
            }
        }
        if self.call.is_some() {
            return;
        }
        let handed = |seen: &Seen| self.is_handed_over(seen);
        let rank = u32::try_from(self.peers.range(..self.own.clone()).count()).unwrap_or(MAX_RANK);
        let wait = self.wait() + RANK_DELAY * rank.min(MAX_RANK);
        let ready = |seen: &Seen| handed(seen) || now.since(seen.since) >= wait;
        let free = self.seen.as_ref().is_some_and(handed) || self.may_claim(now);
        match &self.seen {
            Some(seen) if free && ready(seen) && self.promise_to(now).is_none() => {
                let (epoch, token) = (self.next_epoch(), rng.next_u64());
                let version = seen.version;
                let instance = self.own.clone();
                let record = LeadRecord { instance, epoch, token, handed_over: false };
                self.put(now, record, version, actions);
            }
            _ if now.since(self.last_call) >= RETRY => self.start_read(now, actions),
            _ => {}
        }
    }

    /// Returns whether the state of the record is one that its last holder handed over.
    fn is_handed_over(&self, seen: &Seen) -> bool {
        match (&seen.record, &self.handed) {
            (Some(r), _) if r.handed_over => r.instance == self.own,
            (Some(r), Some((from, notice))) => r.instance == *from && r.epoch == notice.epoch,
            (None, Some((_, notice))) => seen.version == notice.version && notice.version > 0,
            _ => false,
        }
    }

    /// Returns whether no lead has been heard of for the wait before a claim.
    fn may_claim(&self, now: Time) -> bool {
        let wait = self.wait();
        now.since(self.contact) >= wait && now.since(self.running) >= wait
    }

    /// Returns the answer to a lead ask. An instance that restarted during a store outage learns
    /// the epochs that are not in the store from it.
    fn answer(&self, now: Time) -> MembershipMessage {
        let seen = PromiseReply { sequence: 0, promised: false, epoch: self.next_epoch() - 1 };
        let notice = self.notice(now).map(MembershipMessage::LeadNotice);
        notice.unwrap_or(MembershipMessage::PromiseReply(seen))
    }

    fn next_epoch(&self) -> u64 {
        self.highest.max(self.offered) + 1
    }

    fn promise_to(&self, now: Time) -> Option<&InstanceName> {
        let held = self.promise.as_ref().filter(|promise| now < promise.until);
        held.map(|promise| &promise.to).filter(|to| **to != self.own)
    }

    fn start_read(&mut self, now: Time, actions: &mut Vec<LeadAction>) {
        self.calls += 1;
        self.last_call = now;
        self.call = Some(Call { number: self.calls, start: now, put: None });
        actions.push(LeadAction::Read { call: self.calls });
    }

    fn put(&mut self, now: Time, record: LeadRecord, version: u64, actions: &mut Vec<LeadAction>) {
        let expect =
            if version == 0 { Precondition::Absent } else { Precondition::Version(version) };
        self.calls += 1;
        self.last_call = now;
        self.claim_until = now + self.settings.lease;
        self.call = Some(Call { number: self.calls, start: now, put: Some(record.clone()) });
        actions.push(LeadAction::Put { call: self.calls, record, expect });
    }

    fn start_round(&mut self, now: Time, epoch: u64, holds: bool, actions: &mut Vec<LeadAction>) {
        let sequence = self.round.as_ref().map_or(now.as_micros(), |round| round.sequence + 1);
        self.last_ask = now;
        self.round = Some(Round { sequence, start: now, epoch, promised: BTreeSet::new() });
        let ask = MembershipMessage::PromiseAsk(PromiseRequest { sequence, epoch, holds });
        actions.extend(self.peers.iter().map(|to| send(to, ask.clone())));
        self.finish_round(now, actions);
    }

    fn finish_round(&mut self, now: Time, actions: &mut Vec<LeadAction>) {
        let Some(round) = &self.round else { return };
        let missing =
            |name: &InstanceName| self.is_live(name, now) && !round.promised.contains(name);
        let until = round.start + self.settings.lease;
        if self.peers.iter().any(missing) || now >= until {
            return;
        }
        let epoch = round.epoch;
        if self.held.is_none() {
            let outstanding = self.claim_until > now || self.promise_to(now).is_some();
            if outstanding || self.leaving || !self.may_claim(now) {
                return;
            }
            self.hold(epoch, actions);
        }
        if let Some(held) = self.held.as_mut().filter(|held| held.epoch == epoch) {
            held.promise_until = held.promise_until.max(until);
        }
    }

    fn hear(
        &mut self,
        now: Time,
        from: &InstanceName,
        notice: &LeadNotice,
        actions: &mut Vec<LeadAction>,
    ) {
        if notice.epoch < self.highest {
            return;
        }
        if self.held.as_ref().is_some_and(|held| notice.epoch > held.epoch) {
            self.lose(actions);
        }
        if self.held.is_some() {
            return;
        }
        (self.highest, self.contact, self.lead) = (notice.epoch, now, Some(from.clone()));
        self.informed = true;
        self.handed = self.handed.take().filter(|(_, handed)| handed.epoch >= notice.epoch);
        if notice.version > 0 && self.seen.as_ref().is_none_or(|s| s.version < notice.version) {
            self.see(notice.version, None, now - Duration::from_millis(notice.age_ms));
        }
    }

    fn promise(
        &mut self,
        now: Time,
        from: &InstanceName,
        ask: &PromiseRequest,
        actions: &mut Vec<LeadAction>,
    ) {
        let newer = self.held.as_ref().is_some_and(|held| ask.holds && ask.epoch > held.epoch);
        if newer {
            self.lose(actions);
        }
        let other = self.promise_to(now).is_some_and(|to| to != from);
        let led = self.lead.as_ref() != Some(from) && now.since(self.contact) < self.wait();
        let claiming = self.held.is_none() && self.claim_until > now;
        let old = ask.epoch < self.highest;
        // A refused candidate may still become lead, if others count this instance as lost.
        self.offered = self.offered.max(ask.epoch);
        self.informed = true;
        let promised = self.held.is_none() && !other && !claiming && !old && (ask.holds || !led);
        if promised {
            let until = now + self.settings.lease;
            self.promise = Some(Promise { to: from.clone(), until });
            if ask.holds {
                (self.highest, self.contact) = (ask.epoch, now);
                self.lead = Some(from.clone());
            }
        }
        let (sequence, epoch) = (ask.sequence, self.highest.max(self.offered));
        let reply = PromiseReply { sequence, promised, epoch };
        actions.push(send(from, MembershipMessage::PromiseReply(reply)));
    }

    fn promised(
        &mut self,
        now: Time,
        from: &InstanceName,
        reply: &PromiseReply,
        actions: &mut Vec<LeadAction>,
    ) {
        self.offered = self.offered.max(reply.epoch);
        self.informed |= reply.epoch > 0;
        let Some(round) = &mut self.round else { return };
        if reply.promised && round.sequence == reply.sequence {
            round.promised.insert(from.clone());
            self.finish_round(now, actions);
        }
    }
}

fn send(to: &InstanceName, message: MembershipMessage) -> LeadAction {
    LeadAction::Send { to: to.clone(), message }
}
