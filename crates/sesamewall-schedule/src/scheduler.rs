//! Decides admission to all targets of one failure domain.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use sesamewall_protocol::Class;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::ModelName;
use sesamewall_protocol::Numbers;
use sesamewall_protocol::RequestId;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::CacheHint;
use sesamewall_protocol::peer::HeldSlot;
use sesamewall_protocol::peer::SlotRelease;
use sesamewall_protocol::peer::SlotRequest;
use sesamewall_protocol::peer::SlotResult;

use crate::Action;
use crate::Config;
use crate::Entry;
use crate::FairQueue;
use crate::Policy;
use crate::Settings;
use crate::TargetView;
use crate::fleet::Fleet;
use crate::state::SlotKey;
use crate::state::SlotState;
use crate::state::Waiting;

pub(crate) const QUEUE_FULL: u16 = 4001;
pub(crate) const QUEUE_TIMEOUT: u16 = 4002;
pub(crate) const NO_TARGET: u16 = 4003;
pub(crate) const NOT_LEAD: u16 = 8003;

pub(crate) type Queues = [FairQueue<Waiting>; 2];

/// Grants slots on the targets of one failure domain. The lead of the failure domain runs it and
/// sends the returned actions. An `Action` that an instance receives twice has no further effect.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) fleet: Fleet,
    pub(crate) queues: BTreeMap<ModelName, Queues>,
    pub(crate) slots: BTreeMap<SlotKey, SlotState>,
    pub(crate) by_request: HashMap<RequestId, SlotKey>,
    pub(crate) epoch: u64,
    pub(crate) valid_until: Time,
    pub(crate) next_slot: u64,
    unsynced: BTreeSet<InstanceName>,
    sync_end: Time,
}

impl Scheduler {
    /// Creates the state of a lead whose term starts at `now` with `epoch`. `instances` are the
    /// live instances of the failure domain, which must report their slots first; it is empty when
    /// the failure domain starts for the first time.
    pub fn new(
        settings: Settings,
        epoch: u64,
        instances: impl IntoIterator<Item = InstanceName>,
        now: Time,
    ) -> Self {
        let unsynced: BTreeSet<_> = instances.into_iter().collect();
        let sync_end = now + settings.sync_timeout;
        let syncing = !unsynced.is_empty() && sync_end > now;
        Self {
            fleet: Fleet::new(settings, syncing),
            queues: BTreeMap::new(),
            slots: BTreeMap::new(),
            by_request: HashMap::new(),
            epoch,
            valid_until: Time::ZERO,
            next_slot: 1,
            unsynced,
            sync_end,
        }
    }

    /// Sets the end of the lead's lease, after which no slot is granted unless a later end is set.
    pub fn set_valid_until(&mut self, valid_until: Time) {
        self.valid_until = valid_until;
    }

    /// Applies a configuration.
    pub fn on_config(&mut self, config: &Config, now: Time) -> Vec<Action> {
        self.fleet.configure(config);
        let mut actions = self.deny_unservable(now);
        self.queues.retain(|model, queues| {
            self.fleet.models.contains_key(model) || queues.iter().any(|queue| !queue.is_empty())
        });
        self.dispatch_all(now, &mut actions);
        actions
    }

    /// Handles a slot request of the instance `from`. A repeated request gets the same slot. A
    /// request that may not wait is denied at once unless a slot is free or is being released, so
    /// that the instance can try another failure domain. An online request that may not wait is
    /// also denied while each target with a free slot computes a prompt, since engines compute
    /// prompts in arrival order.
    pub fn on_request(
        &mut self,
        slot_request: SlotRequest,
        from: &InstanceName,
        now: Time,
    ) -> Vec<Action> {
        if now >= self.valid_until {
            return vec![deny(
                &slot_request,
                from,
                NOT_LEAD,
                Vec::new(),
                "the lead's lease has ended",
            )];
        }
        if !self.fleet.can_serve(&slot_request, now) {
            let excluded = ("excluded".to_owned(), slot_request.exclude.len() as f64);
            let reason = "no target in service may run the request";
            return vec![deny(&slot_request, from, NO_TARGET, vec![excluded], reason)];
        }
        if let Some(grant) = self.repeated_grant(&slot_request, from) {
            return vec![grant];
        }
        if slot_request.wait_us == 0 && self.fleet.delays_online(&slot_request, now) {
            let index = self.queue_index(slot_request.class);
            let queues = self.queues.get(&slot_request.model);
            let numbers = queues.map_or(Vec::new(), |queues| numbers_of(&queues[index]));
            let reason = "all targets with a free slot compute prompts and the ask may not wait";
            return vec![deny(&slot_request, from, QUEUE_TIMEOUT, numbers, reason)];
        }
        if slot_request.class == Class::Online {
            self.fleet.headroom.entry(slot_request.model.clone()).or_default().on_arrival(now);
        }
        let model = slot_request.model.clone();
        let index = self.queue_index(slot_request.class);
        if slot_request.wait_us == 0 && self.is_congested(&slot_request.model, index, now) {
            let numbers =
                self.queues.get(&model).map_or(Vec::new(), |queues| numbers_of(&queues[index]));
            let reason = "others wait and the ask may not";
            return vec![deny(&slot_request, from, QUEUE_TIMEOUT, numbers, reason)];
        }
        let request = slot_request.request.clone();
        let settings = &self.fleet.settings;
        let no_wait = slot_request.wait_us == 0;
        let wait = match no_wait {
            true => settings.preempt_resend,
            false => Duration::from_micros(slot_request.wait_us).min(settings.max_wait),
        };
        let entry = Entry {
            request: slot_request.request.clone(),
            account: slot_request.account.clone(),
            weight: slot_request.weight,
            work: slot_request.work.max(1),
            urgent: slot_request.urgent && slot_request.class == Class::Batch,
            arrived: now,
            deadline: now + wait,
            item: Waiting { slot_request, from: from.clone() },
        };
        let queue = &mut self.queues_of(&model)[index];
        queue.remove(&entry.request, now);
        let refused = queue.push(entry, now);
        let numbers = numbers_of(queue);
        let mut actions = Vec::new();
        for entry in refused {
            let reason = "the queue is full and the account has the largest backlog";
            self.drop_reservation(&entry.request);
            actions.push(deny_entry(&entry, QUEUE_FULL, numbers.clone(), reason));
        }
        self.dispatch(&model, now, &mut actions);
        if no_wait {
            actions.extend(self.deny_unless_freeing(&request, &model, index, now));
        }
        actions
    }

    /// Handles the release of a slot at the end of its request. A repeated report changes nothing.
    pub fn on_release(&mut self, release: &SlotRelease, now: Time) -> Vec<Action> {
        let key = (release.epoch, release.slot);
        let Some(slot) = self.slots.get(&key).cloned() else { return Vec::new() };
        self.fleet.on_release(&slot, release, now);
        if let Some(state) = self.fleet.targets.get_mut(&slot.target) {
            state.confirm(key, true, release.end == SlotResult::Whole, now);
        }
        self.remove_slot(key);
        let index = self.queue_index(slot.class);
        if let Some(queues) = self.queues.get_mut(&slot.model) {
            queues[index].correct(&slot.account, slot.work, release.work);
        }
        let mut actions = Vec::new();
        if release.end == SlotResult::Leaving {
            actions = self.deny_unservable(now);
        }
        self.dispatch_target(&slot, now, &mut actions);
        actions
    }

    /// Handles the disconnect of a caller whose request waits. A request that has a slot ends with
    /// `on_release`.
    pub fn on_cancel(&mut self, request: &RequestId, now: Time) -> Vec<Action> {
        for queues in self.queues.values_mut() {
            for queue in queues {
                queue.remove(request, now);
            }
        }
        let mut actions = Vec::new();
        if self.drop_reservation(request) {
            self.dispatch_all(now, &mut actions);
        }
        actions
    }

    /// Applies a cache hint of a target.
    pub fn on_hint(&mut self, hint: &CacheHint) {
        if self.fleet.targets.contains_key(&hint.target) {
            self.fleet.hints.on_hint(hint);
        }
    }

    /// Applies the list of all slots that an instance holds. Slots of the instance that are not
    /// listed count as released, unless their grant may still be in transit.
    pub fn on_sync(
        &mut self,
        instance: &InstanceName,
        held: &[HeldSlot],
        now: Time,
    ) -> Vec<Action> {
        let listed: BTreeSet<SlotKey> = held.iter().map(|slot| (slot.epoch, slot.slot)).collect();
        let grace = self.fleet.settings.held_grace;
        let absent: Vec<_> = self
            .slots
            .iter()
            .filter(|(key, slot)| &slot.holder == instance && !listed.contains(*key))
            .filter(|(_, slot)| now.since(slot.granted) >= grace)
            .map(|(key, _)| *key)
            .collect();
        for key in absent {
            self.remove_slot(key);
        }
        for slot in held {
            self.restore_slot(instance, slot, now);
        }
        self.unsynced.remove(instance);
        self.fleet.syncing &= !self.unsynced.is_empty();
        let mut actions = Vec::new();
        self.dispatch_all(now, &mut actions);
        actions
    }

    /// Handles the loss of an instance. Its waiting requests are dropped. Its slots stay counted
    /// for `lost_ttl`, since the targets may still run their requests.
    pub fn on_instance_lost(&mut self, instance: &InstanceName, now: Time) -> Vec<Action> {
        let expires = now + self.fleet.settings.lost_ttl;
        for slot in self.slots.values_mut().filter(|slot| &slot.holder == instance) {
            slot.expires.get_or_insert(expires);
        }
        let mut dropped = Vec::new();
        for queue in self.queues.values_mut().flatten() {
            dropped.extend(queue.remove_where(now, |entry| &entry.item.from == instance));
        }
        for entry in dropped {
            self.drop_reservation(&entry.request);
        }
        let mut actions = Vec::new();
        self.dispatch_all(now, &mut actions);
        actions
    }

    /// Handles timeouts and starts staggered batch streams. It is called about every 10 ms.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.deny_timed_out(now);
        let expired: Vec<_> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.expires.is_some_and(|at| at <= now))
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            self.remove_slot(key);
        }
        if now >= self.sync_end {
            self.fleet.syncing = false;
        }
        self.fleet.update_ejection(now);
        self.resend_preemptions(now, &mut actions);
        self.dispatch_all(now, &mut actions);
        actions
    }

    /// Returns the state of all targets.
    pub fn targets(&self, now: Time) -> Vec<TargetView> {
        self.fleet.views(now)
    }

    /// Returns the number of requests of a class that wait for a model.
    pub fn waiting(&self, class: Class, model: &ModelName) -> usize {
        let index = self.queue_index(class);
        self.queues.get(model).map_or(0, |queues| queues[index].len())
    }

    /// Returns the number of slots granted and not released.
    pub fn outstanding(&self) -> usize {
        self.slots.len()
    }

    /// Returns for each model the number of requests of both classes that wait or run.
    pub fn demand(&self) -> BTreeMap<ModelName, usize> {
        let mut demand = BTreeMap::new();
        for (model, queues) in &self.queues {
            let waiting: usize = queues.iter().map(|queue| queue.len()).sum();
            *demand.entry(model.clone()).or_insert(0) += waiting;
        }
        for slot in self.slots.values() {
            *demand.entry(slot.model.clone()).or_insert(0) += 1;
        }
        demand
    }

    pub(crate) fn queue_index(&self, class: Class) -> usize {
        let shared = self.fleet.settings.policy == Policy::SharedQueue;
        usize::from(class == Class::Batch && !shared)
    }

    /// Stops counting a slot and returns it.
    pub(crate) fn remove_slot(&mut self, key: SlotKey) -> Option<SlotState> {
        let slot = self.slots.remove(&key)?;
        if self.by_request.get(&slot.request) == Some(&key) {
            self.by_request.remove(&slot.request);
        }
        if let Some(state) = self.fleet.targets.get_mut(&slot.target) {
            state.remove(key, &slot);
            if !state.present && state.outstanding == 0 {
                self.fleet.targets.remove(&slot.target);
            }
        }
        Some(slot)
    }

    pub(crate) fn drop_reservation(&mut self, request: &RequestId) -> bool {
        let is_owner = self.fleet.reserved.as_ref().is_some_and(|(_, owner)| owner == request);
        if is_owner {
            self.fleet.reserved = None;
        }
        is_owner
    }

    fn queues_of(&mut self, model: &ModelName) -> &mut Queues {
        let settings = &self.fleet.settings.queue;
        self.queues
            .entry(model.clone())
            .or_insert_with(|| [0, 1].map(|_| FairQueue::new(settings.clone())))
    }

    /// Returns the granted slot when the instance repeats its request, for example after the loss
    /// of a reply.
    fn repeated_grant(&self, slot_request: &SlotRequest, from: &InstanceName) -> Option<Action> {
        let slot = self.slots.get(self.by_request.get(&slot_request.request)?)?;
        let usable = &slot.holder == from
            && slot.preempt_sent.is_none()
            && !slot_request.exclude.contains(&slot.target);
        let slot = slot.grant.clone().filter(|_| usable)?;
        Some(Action::Grant { to: from.clone(), slot })
    }

    /// Returns whether requests wait and no batch stream can be cancelled for one more. A request
    /// that may not wait must not enter such a queue, since another one could be refused for it.
    fn is_congested(&self, model: &ModelName, index: usize, now: Time) -> bool {
        let is_waiting = self.queues.get(model).is_some_and(|queues| !queues[index].is_empty());
        is_waiting && self.fleet.serving(model, now).iter().all(|state| state.batch.is_empty())
    }

    fn deny_unless_freeing(
        &mut self,
        request: &RequestId,
        model: &ModelName,
        index: usize,
        now: Time,
    ) -> Option<Action> {
        let freeing: usize =
            self.fleet.serving(model, now).iter().map(|state| state.preempting).sum();
        let queue = &mut self.queues.get_mut(model)?[index];
        if queue.len() <= freeing {
            return None;
        }
        let numbers = numbers_of(queue);
        let entry = queue.remove(request, now)?;
        self.drop_reservation(request);
        Some(deny_entry(&entry, QUEUE_TIMEOUT, numbers, "no slot is free and the ask may not wait"))
    }

    fn restore_slot(&mut self, instance: &InstanceName, held: &HeldSlot, now: Time) {
        let key = (held.epoch, held.slot);
        if let Some(slot) = self.slots.get_mut(&key) {
            slot.expires = None;
            if let Some(state) = self.fleet.targets.get_mut(&held.target) {
                state.confirm(key, false, false, now);
            }
            return;
        }
        if held.epoch == self.epoch {
            // This lead granted the slot, and the release of the slot was already reported.
            return;
        }
        let slot = SlotState {
            request: held.request.clone(),
            account: held.account.clone(),
            class: held.class,
            model: held.model.clone(),
            target: held.target.clone(),
            holder: instance.clone(),
            work: held.work,
            prompt: held.prompt,
            isolated: held.isolated,
            granted: now,
            preempt_sent: None,
            expires: None,
            grant: None,
        };
        self.fleet.target_mut(&held.target).add(key, &slot);
        self.by_request.insert(held.request.clone(), key);
        self.slots.insert(key, slot);
    }

    fn deny_timed_out(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut ended = Vec::new();
        for queue in self.queues.values_mut().flatten() {
            let entries = queue.remove_where(now, |entry| entry.deadline <= now);
            let numbers = numbers_of(queue);
            for entry in entries {
                let reason = "no target became free in time";
                actions.push(deny_entry(&entry, QUEUE_TIMEOUT, numbers.clone(), reason));
                ended.push(entry.request);
            }
        }
        for request in ended {
            self.drop_reservation(&request);
        }
        actions
    }

    /// Denies waiting requests that no target in service may run any more.
    fn deny_unservable(&mut self, now: Time) -> Vec<Action> {
        let mut entries = Vec::new();
        let fleet = &self.fleet;
        for queue in self.queues.values_mut().flatten() {
            entries.extend(
                queue.remove_where(now, |entry| !fleet.can_serve(&entry.item.slot_request, now)),
            );
        }
        let unusable = |name| !fleet.is_in_service(name, now);
        if fleet.reserved.as_ref().is_some_and(|(name, _)| unusable(name)) {
            self.fleet.reserved = None;
        }
        let mut actions = Vec::new();
        for entry in entries {
            self.drop_reservation(&entry.request);
            let reason = "no target in service may run the request";
            actions.push(deny_entry(&entry, NO_TARGET, Vec::new(), reason));
        }
        actions
    }
}

fn numbers_of(queue: &FairQueue<Waiting>) -> Numbers {
    let rate = queue.rate().unwrap_or(0.0);
    [
        ("queue_entries", queue.len() as f64),
        ("queue_tokens", queue.work() as f64),
        ("tokens_per_second", rate),
    ]
    .map(|(name, number)| (name.to_owned(), number))
    .to_vec()
}

fn deny_entry(entry: &Entry<Waiting>, code: u16, numbers: Numbers, reason: &str) -> Action {
    deny(&entry.item.slot_request, &entry.item.from, code, numbers, reason)
}

fn deny(
    slot_request: &SlotRequest,
    to: &InstanceName,
    code: u16,
    numbers: Numbers,
    reason: &str,
) -> Action {
    let reason = reason.to_owned();
    Action::Deny { to: to.clone(), request: slot_request.request.clone(), code, numbers, reason }
}
