//! Decides which instance is lead of a failure domain.
//!
//! Assumes that a failure domain is not partitioned internally while only part of it reaches the
//! store, nor while none of it does, and that the clocks of its instances drift apart by at most
//! `margin` during a lease.

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
use crate::lead_types::HeldLease;
use crate::lead_types::LeadAction;
use crate::lead_types::LeadRecord;
use crate::lead_types::LeadSettings;
use crate::lead_types::Promise;
use crate::lead_types::PromiseRound;
use crate::lead_types::RecordState;

const RETRY_INTERVAL: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const RANK_DELAY: Duration = Duration::from_millis(100);
const MAX_RANK: u32 = 5;
const NOTIFIED_PEERS: usize = 2;

/// Tracks the lead lease of one failure domain on one of its instances.
#[derive(Clone, Debug)]
pub struct Lead {
    settings: LeadSettings,
    local: InstanceName,
    peers: BTreeSet<InstanceName>,
    last_seen: BTreeMap<InstanceName, Time>,
    held: Option<HeldLease>,
    lead: Option<InstanceName>,
    lead_contact: Time,
    store_contact: Time,
    highest_epoch: u64,
    /// Highest epoch that a candidate proposed; possibly no lead has ever held it.
    highest_proposed: u64,
    record_state: Option<RecordState>,
    promise: Option<Promise>,
    claim_until: Time,
    call: Option<Call>,
    unclear_write: Option<(LeadRecord, Time)>,
    call_count: u64,
    last_call: Time,
    last_request: Time,
    round: Option<PromiseRound>,
    last_tick: Time,
    resumed_at: Time,
    leaving: bool,
    /// Whether an epoch was observed since the start. Without one, a takeover could reuse an epoch
    /// of an earlier lead.
    epoch_known: bool,
    outgoing_handover: Option<HandOver>,
    incoming_handover: Option<(InstanceName, LeadNotice)>,
}

impl Lead {
    /// Returns the state of an instance that starts at `now`.
    pub fn new(local: InstanceName, settings: LeadSettings, now: Time) -> Self {
        Self {
            settings,
            local,
            peers: BTreeSet::new(),
            last_seen: BTreeMap::new(),
            held: None,
            lead: None,
            lead_contact: now,
            store_contact: now,
            highest_epoch: 0,
            highest_proposed: 0,
            record_state: None,
            promise: None,
            claim_until: Time::ZERO,
            call: None,
            unclear_write: None,
            call_count: 0,
            last_call: Time::ZERO,
            last_request: Time::ZERO,
            round: None,
            last_tick: now,
            resumed_at: now,
            leaving: false,
            epoch_known: false,
            outgoing_handover: None,
            incoming_handover: None,
        }
    }

    /// Returns the end of the local lease, if there is one. The caller checks it immediately before
    /// each grant.
    pub fn valid_until(&self) -> Option<Time> {
        self.held.as_ref().map(|held| held.store_until.max(held.promise_until))
    }

    /// Returns the epoch of the local lease, the fencing token, if this instance may grant at
    /// `now`.
    pub fn epoch(&self, now: Time) -> Option<u64> {
        let until = self.valid_until()?;
        let valid = now < until || !self.settings.check_lease;
        self.held.as_ref().filter(|_| valid).map(|held| held.epoch)
    }

    /// Returns this instance if it is lead, otherwise the lead that it observed last.
    pub fn lead(&self) -> Option<&InstanceName> {
        if self.held.is_some() { Some(&self.local) } else { self.lead.as_ref() }
    }

    /// Returns the highest epoch that this instance has observed.
    pub fn highest_epoch(&self) -> u64 {
        self.highest_epoch
    }

    /// Returns the notice for heartbeat replies, if this instance is lead at `now`.
    pub fn notice(&self, now: Time) -> Option<LeadNotice> {
        self.epoch(now)?;
        let held = self.held.as_ref()?;
        let age_ms = u64::try_from(now.since(held.renewed_at).as_millis()).unwrap_or(u64::MAX);
        Some(LeadNotice { epoch: held.epoch, version: held.version.unwrap_or(0), age_ms })
    }

    /// Sets the names of the other instances of the failure domain.
    pub fn set_peers(&mut self, names: impl IntoIterator<Item = InstanceName>) {
        self.peers = names.into_iter().filter(|name| *name != self.local).collect();
        self.last_seen.retain(|name, _| self.peers.contains(name));
    }

    /// Ends an expired lease and a store call that timed out, and returns the actions that are due.
    /// The caller runs it at least every 100 ms.
    pub fn tick(&mut self, now: Time, rng: &mut dyn RngCore) -> Vec<LeadAction> {
        let mut actions = Vec::new();
        // After a pause of this process, messages of a new lead may still be queued.
        if now.since(self.last_tick) > RETRY_INTERVAL {
            self.resumed_at = now;
        }
        self.last_tick = now;
        self.end_expired_lease(now, &mut actions);
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
    pub fn on_read(
        &mut self,
        now: Time,
        call: u64,
        result: Result<Option<(u64, LeadRecord)>, StoreError>,
    ) -> Vec<LeadAction> {
        let mut actions = Vec::new();
        let Some(_) = self.call.take_if(|pending| pending.number == call) else { return actions };
        let Ok(found) = result else { return actions };
        self.store_contact = now;
        let (version, record) = match found {
            Some((version, record)) => (version, Some(record)),
            None => (0, None),
        };
        self.observe_record(version, record.clone(), now);
        if let Some((written, start)) =
            self.unclear_write.take_if(|(written, _)| record.as_ref() == Some(written))
        {
            self.confirm_write(now, &written, version, start, &mut actions);
        }
        let higher = |held: &HeldLease| {
            record.as_ref().is_some_and(|r| r.instance != self.local && r.epoch >= held.epoch)
        };
        if self.held.as_ref().is_some_and(higher) {
            self.step_down(&mut actions);
        } else if let Some(held) = &mut self.held {
            held.version = Some(version);
        }
        actions
    }

    /// Handles the result of a write: the new version or the failure.
    pub fn on_written(
        &mut self,
        now: Time,
        call: u64,
        result: Result<u64, StoreError>,
    ) -> Vec<LeadAction> {
        let mut actions = Vec::new();
        if let Some(HandOver { to, mut notice, .. }) =
            self.outgoing_handover.take_if(|h| h.call == call)
        {
            notice.version = result.unwrap_or(notice.version);
            actions.push(send(&to, MembershipMessage::HandOver(notice)));
            return actions;
        }
        if self.call.as_ref().is_none_or(|pending| pending.number != call) {
            return actions;
        }
        match result {
            Err(StoreError::Unclear) => self.end_call_unclear(),
            Ok(version) => {
                self.store_contact = now;
                let done = self.call.take();
                if let Some(Call { start, put: Some(record), .. }) = done {
                    self.confirm_write(now, &record, version, start, &mut actions);
                }
            }
            Err(error) => {
                self.call = None;
                self.claim_until = Time::ZERO;
                if error == StoreError::Conflict {
                    self.store_contact = now;
                    self.clear_version();
                }
            }
        }
        actions
    }

    /// Handles a message from an instance of the local failure domain.
    pub fn on_message(
        &mut self,
        now: Time,
        from: &InstanceName,
        message: &MembershipMessage,
    ) -> Vec<LeadAction> {
        let mut actions = Vec::new();
        if from == &self.local {
            return actions;
        }
        if self.peers.contains(from) {
            self.last_seen.insert(from.clone(), now);
        }
        self.end_expired_lease(now, &mut actions);
        match message {
            MembershipMessage::LeadAsk => actions.push(send(from, self.lead_reply(now))),
            MembershipMessage::HeartbeatReply(reply) => {
                if let Some(notice) = &reply.notice {
                    self.on_lead_notice(now, from, notice, &mut actions);
                }
            }
            MembershipMessage::LeadNotice(notice) => {
                self.on_lead_notice(now, from, notice, &mut actions)
            }
            MembershipMessage::PromiseAsk(request) => {
                self.on_promise_request(now, from, request, &mut actions)
            }
            MembershipMessage::PromiseReply(reply) => {
                self.on_promise_reply(now, from, reply, &mut actions)
            }
            MembershipMessage::HandOver(notice) if notice.epoch >= self.highest_epoch => {
                self.highest_epoch = notice.epoch;
                self.observe_record(notice.version, None, now);
                self.incoming_handover = Some((from.clone(), notice.clone()));
                self.promise = self.promise.take().filter(|promise| &promise.to != from);
            }
            _ => {}
        }
        actions
    }

    /// Ends the local lease for a shutdown and hands it over to a live peer. After this, the
    /// instance makes no more claims.
    pub fn shut_down(&mut self, now: Time, rng: &mut dyn RngCore) -> Vec<LeadAction> {
        let mut actions = Vec::new();
        self.leaving = true;
        let Some(notice) = self.notice(now) else { return actions };
        let live = |name: &&InstanceName| self.is_live(name, now);
        let successor = self.peers.iter().find(live).cloned();
        self.step_down(&mut actions);
        let Some(to) = successor else { return actions };
        let renewal = self.call.take_if(|call| call.put.is_some());
        if let Some(Call { number: call, .. }) = renewal {
            // The successor needs the record version that the renewal in flight writes.
            self.outgoing_handover = Some(HandOver { call, to, notice });
        } else if notice.version > 0 {
            let (epoch, token) = (notice.epoch, rng.next_u64());
            let record = LeadRecord { instance: to.clone(), epoch, token, handed_over: true };
            self.call_count += 1;
            let (call, expect) = (self.call_count, Precondition::Version(notice.version));
            self.outgoing_handover = Some(HandOver { call, to, notice });
            actions.push(LeadAction::Put { call, record, expect });
        } else {
            actions.push(send(&to, MembershipMessage::HandOver(notice)));
        }
        actions
    }

    fn claim_delay(&self) -> Duration {
        if self.settings.wait_lease {
            self.settings.lease + self.settings.margin
        } else {
            Duration::ZERO
        }
    }

    fn is_live(&self, name: &InstanceName, now: Time) -> bool {
        let timeout = self.settings.lease + self.settings.margin;
        self.last_seen.get(name).is_some_and(|last| now.since(*last) < timeout)
    }

    fn end_expired_lease(&mut self, now: Time, actions: &mut Vec<LeadAction>) {
        if self.settings.check_lease && self.valid_until().is_some_and(|until| now >= until) {
            self.step_down(actions);
            self.lead_contact = now;
        }
    }

    fn step_down(&mut self, actions: &mut Vec<LeadAction>) {
        if let Some(held) = self.held.take() {
            actions.push(LeadAction::Lost(held.epoch));
            (self.lead, self.round) = (None, None);
        }
    }

    fn end_call_unclear(&mut self) {
        if let Some(Call { start, put: Some(record), .. }) = self.call.take() {
            self.unclear_write = Some((record, start));
            self.clear_version();
        }
    }

    /// Clears the known version of the record, so that the next store call is a read.
    fn clear_version(&mut self) {
        self.record_state = None;
        if let Some(held) = &mut self.held {
            held.version = None;
        }
    }

    fn observe_record(&mut self, version: u64, record: Option<LeadRecord>, since: Time) {
        self.epoch_known = true;
        self.highest_epoch = self.highest_epoch.max(record.as_ref().map_or(0, |r| r.epoch));
        match &mut self.record_state {
            Some(seen) if seen.version == version => seen.record = record.or(seen.record.take()),
            _ => self.record_state = Some(RecordState { version, record, since }),
        }
    }

    fn confirm_write(
        &mut self,
        now: Time,
        record: &LeadRecord,
        version: u64,
        start: Time,
        actions: &mut Vec<LeadAction>,
    ) {
        let until = start + self.settings.lease;
        self.unclear_write = None;
        if now >= until || self.leaving || record.instance != self.local {
            return;
        }
        match &mut self.held {
            Some(held) if held.epoch == record.epoch => {
                (held.version, held.renewed_at, held.store_until) = (Some(version), start, until);
            }
            _ => {
                self.take_lead(record.epoch, actions);
                if let Some(held) = &mut self.held {
                    (held.version, held.renewed_at, held.store_until) =
                        (Some(version), start, until);
                }
            }
        }
        let notice = self.notice(now);
        for (to, notice) in self.peers.iter().take(NOTIFIED_PEERS).zip(notice.iter().cycle()) {
            actions.push(send(to, MembershipMessage::LeadNotice(notice.clone())));
        }
    }

    fn take_lead(&mut self, epoch: u64, actions: &mut Vec<LeadAction>) {
        let zero = Time::ZERO;
        self.held = Some(HeldLease {
            epoch,
            version: None,
            renewed_at: zero,
            store_until: zero,
            promise_until: zero,
        });
        self.highest_epoch = self.highest_epoch.max(epoch);
        (self.lead, self.promise, self.incoming_handover) = (Some(self.local.clone()), None, None);
        actions.push(LeadAction::Gained(epoch));
    }

    fn tick_lead(&mut self, now: Time, rng: &mut dyn RngCore, actions: &mut Vec<LeadAction>) {
        let Some(held) = self.held.clone() else { return };
        let due =
            if held.version.is_some() { self.settings.renew_interval } else { RETRY_INTERVAL };
        if self.call.is_none() && now.since(self.last_call) >= due {
            match held.version {
                Some(version) => {
                    let record = LeadRecord {
                        instance: self.local.clone(),
                        epoch: held.epoch,
                        token: rng.next_u64(),
                        handed_over: false,
                    };
                    self.start_put(now, record, version, actions);
                }
                None => self.start_read(now, actions),
            }
        }
        let late = self.settings.renew_interval + RETRY_INTERVAL;
        if now + self.settings.lease > held.store_until + late
            && now.since(self.last_request) >= RETRY_INTERVAL
        {
            self.start_round(now, held.epoch, true, actions);
        }
    }

    fn tick_follower(&mut self, now: Time, rng: &mut dyn RngCore, actions: &mut Vec<LeadAction>) {
        if !self.epoch_known && self.call.is_none() && now.since(self.last_call) >= RETRY_INTERVAL {
            self.start_read(now, actions);
        }
        let lead_lost = now.since(self.lead_contact) >= self.settings.contact_timeout;
        if !lead_lost && self.settings.wait_lease && self.incoming_handover.is_none() {
            return;
        }
        if now.since(self.last_request) >= RETRY_INTERVAL {
            let wait = self.claim_delay();
            let store_lost = now.since(self.store_contact) >= wait && self.can_claim(now);
            let has_lower = self.peers.iter().any(|name| {
                *name < self.local
                    && self.last_seen.get(name).is_some_and(|last| now.since(*last) < wait)
            });
            if store_lost && !has_lower && self.epoch_known {
                self.start_round(now, self.next_epoch(), false, actions);
            } else {
                self.last_request = now;
                actions.extend(self.peers.iter().map(|to| send(to, MembershipMessage::LeadAsk)));
            }
        }
        if self.call.is_some() {
            return;
        }
        let is_handed = |seen: &RecordState| self.is_handed_over(seen);
        let rank =
            u32::try_from(self.peers.range(..self.local.clone()).count()).unwrap_or(MAX_RANK);
        let wait = self.claim_delay() + RANK_DELAY * rank.min(MAX_RANK);
        let ready = |seen: &RecordState| is_handed(seen) || now.since(seen.since) >= wait;
        let claimable = self.record_state.as_ref().is_some_and(is_handed) || self.can_claim(now);
        match &self.record_state {
            Some(seen) if claimable && ready(seen) && self.promised_candidate(now).is_none() => {
                let (epoch, token) = (self.next_epoch(), rng.next_u64());
                let version = seen.version;
                let instance = self.local.clone();
                let record = LeadRecord { instance, epoch, token, handed_over: false };
                self.start_put(now, record, version, actions);
            }
            _ if now.since(self.last_call) >= RETRY_INTERVAL => self.start_read(now, actions),
            _ => {}
        }
    }

    /// Returns whether the last lead handed the lease over with the record in this state.
    fn is_handed_over(&self, seen: &RecordState) -> bool {
        match (&seen.record, &self.incoming_handover) {
            (Some(r), _) if r.handed_over => r.instance == self.local,
            (Some(r), Some((from, notice))) => r.instance == *from && r.epoch == notice.epoch,
            (None, Some((_, notice))) => seen.version == notice.version && notice.version > 0,
            _ => false,
        }
    }

    /// Returns whether the delay before a claim has passed since the last contact with a lead and
    /// since the last pause of this process.
    fn can_claim(&self, now: Time) -> bool {
        let wait = self.claim_delay();
        now.since(self.lead_contact) >= wait && now.since(self.resumed_at) >= wait
    }

    /// Returns the reply to a `LeadAsk`. From it, an instance that restarted during a store outage
    /// obtains the epochs that are not in the store.
    fn lead_reply(&self, now: Time) -> MembershipMessage {
        let reply = PromiseReply { sequence: 0, promised: false, epoch: self.next_epoch() - 1 };
        let notice = self.notice(now).map(MembershipMessage::LeadNotice);
        notice.unwrap_or(MembershipMessage::PromiseReply(reply))
    }

    fn next_epoch(&self) -> u64 {
        self.highest_epoch.max(self.highest_proposed) + 1
    }

    fn promised_candidate(&self, now: Time) -> Option<&InstanceName> {
        let held = self.promise.as_ref().filter(|promise| now < promise.until);
        held.map(|promise| &promise.to).filter(|to| **to != self.local)
    }

    fn start_read(&mut self, now: Time, actions: &mut Vec<LeadAction>) {
        self.call_count += 1;
        self.last_call = now;
        self.call = Some(Call { number: self.call_count, start: now, put: None });
        actions.push(LeadAction::Read { call: self.call_count });
    }

    fn start_put(
        &mut self,
        now: Time,
        record: LeadRecord,
        version: u64,
        actions: &mut Vec<LeadAction>,
    ) {
        let expect =
            if version == 0 { Precondition::Absent } else { Precondition::Version(version) };
        self.call_count += 1;
        self.last_call = now;
        self.claim_until = now + self.settings.lease;
        self.call = Some(Call { number: self.call_count, start: now, put: Some(record.clone()) });
        actions.push(LeadAction::Put { call: self.call_count, record, expect });
    }

    fn start_round(&mut self, now: Time, epoch: u64, holds: bool, actions: &mut Vec<LeadAction>) {
        let sequence = self.round.as_ref().map_or(now.as_micros(), |round| round.sequence + 1);
        self.last_request = now;
        self.round = Some(PromiseRound { sequence, start: now, epoch, promised: BTreeSet::new() });
        let request = MembershipMessage::PromiseAsk(PromiseRequest { sequence, epoch, holds });
        actions.extend(self.peers.iter().map(|to| send(to, request.clone())));
        self.finish_round(now, actions);
    }

    fn finish_round(&mut self, now: Time, actions: &mut Vec<LeadAction>) {
        let Some(round) = &self.round else { return };
        let missing = |n: &InstanceName| self.is_live(n, now) && !round.promised.contains(n);
        let until = round.start + self.settings.lease;
        if self.peers.iter().any(missing) || now >= until {
            return;
        }
        let epoch = round.epoch;
        if self.held.is_none() {
            let outstanding = self.claim_until > now || self.promised_candidate(now).is_some();
            if outstanding || self.leaving || !self.can_claim(now) {
                return;
            }
            self.take_lead(epoch, actions);
        }
        if let Some(held) = self.held.as_mut().filter(|held| held.epoch == epoch) {
            held.promise_until = held.promise_until.max(until);
        }
    }

    fn on_lead_notice(
        &mut self,
        now: Time,
        from: &InstanceName,
        notice: &LeadNotice,
        actions: &mut Vec<LeadAction>,
    ) {
        if notice.epoch < self.highest_epoch {
            return;
        }
        if self.held.as_ref().is_some_and(|held| notice.epoch > held.epoch) {
            self.step_down(actions);
        }
        if self.held.is_some() {
            return;
        }
        (self.highest_epoch, self.lead_contact, self.lead) =
            (notice.epoch, now, Some(from.clone()));
        self.epoch_known = true;
        self.incoming_handover =
            self.incoming_handover.take().filter(|(_, handed)| handed.epoch >= notice.epoch);
        if notice.version > 0
            && self.record_state.as_ref().is_none_or(|s| s.version < notice.version)
        {
            self.observe_record(notice.version, None, now - Duration::from_millis(notice.age_ms));
        }
    }

    fn on_promise_request(
        &mut self,
        now: Time,
        from: &InstanceName,
        request: &PromiseRequest,
        actions: &mut Vec<LeadAction>,
    ) {
        let newer = self.held.as_ref().is_some_and(|h| request.holds && request.epoch > h.epoch);
        if newer {
            self.step_down(actions);
        }
        let other = self.promised_candidate(now).is_some_and(|to| to != from);
        let has_lead =
            self.lead.as_ref() != Some(from) && now.since(self.lead_contact) < self.claim_delay();
        let claiming = self.held.is_none() && self.claim_until > now;
        let old = request.epoch < self.highest_epoch;
        // A candidate that is denied here may still become lead if its other peers consider this
        // instance timed out.
        self.highest_proposed = self.highest_proposed.max(request.epoch);
        self.epoch_known = true;
        let promised =
            self.held.is_none() && !other && !claiming && !old && (request.holds || !has_lead);
        if promised {
            let until = now + self.settings.lease;
            self.promise = Some(Promise { to: from.clone(), until });
            if request.holds {
                (self.highest_epoch, self.lead_contact) = (request.epoch, now);
                self.lead = Some(from.clone());
            }
        }
        let (sequence, epoch) = (request.sequence, self.highest_epoch.max(self.highest_proposed));
        let reply = PromiseReply { sequence, promised, epoch };
        actions.push(send(from, MembershipMessage::PromiseReply(reply)));
    }

    fn on_promise_reply(
        &mut self,
        now: Time,
        from: &InstanceName,
        reply: &PromiseReply,
        actions: &mut Vec<LeadAction>,
    ) {
        self.highest_proposed = self.highest_proposed.max(reply.epoch);
        self.epoch_known |= reply.epoch > 0;
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
