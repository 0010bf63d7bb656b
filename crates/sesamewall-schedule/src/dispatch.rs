//! Grants slots to waiting requests and cancels batch streams for online ones.

use std::collections::BTreeMap;

use sesamewall_protocol::Class;
use sesamewall_protocol::ModelName;
use sesamewall_protocol::RequestId;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::Slot;
use sesamewall_protocol::peer::SlotRequest;

use crate::Action;
use crate::Entry;
use crate::Policy;
use crate::Scheduler;
use crate::Settings;
use crate::state::SlotKey;
use crate::state::SlotState;
use crate::state::TargetState;
use crate::state::Waiting;

impl Scheduler {
    /// Grants what can be granted on all targets.
    pub(crate) fn dispatch_all(&mut self, now: Time, actions: &mut Vec<Action>) {
        let models: Vec<_> = self.queues.keys().cloned().collect();
        self.dispatch_models(&models, now, actions);
    }

    /// Grants what the end of `slot` makes possible.
    pub(crate) fn dispatch_target(
        &mut self,
        slot: &SlotState,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let models = match self.fleet.targets.get(&slot.target) {
            Some(state) => state.info.models.clone(),
            None => Vec::new(),
        };
        self.dispatch_models(&models, now, actions);
    }

    /// Grants what can be granted to requests for `model`.
    pub(crate) fn dispatch(&mut self, model: &ModelName, now: Time, actions: &mut Vec<Action>) {
        self.dispatch_models(std::slice::from_ref(model), now, actions);
    }

    /// Sends cancellations again whose slot did not come back.
    pub(crate) fn resend_yields(&mut self, now: Time, actions: &mut Vec<Action>) {
        let resend = self.fleet.settings.yield_resend;
        for (key, slot) in &mut self.slots {
            if slot.expires.is_none() && slot.yield_sent.is_some_and(|at| now.since(at) >= resend) {
                slot.yield_sent = Some(now);
                actions.push(cancel(*key, slot, "the cancellation was not answered"));
            }
        }
    }

    fn dispatch_models(&mut self, models: &[ModelName], now: Time, actions: &mut Vec<Action>) {
        if now >= self.valid_until || self.fleet.domain_out {
            return;
        }
        for model in models {
            self.serve(model, Class::Online, now, actions);
        }
        if self.fleet.settings.policy == Policy::OnlineFirst {
            for model in models {
                self.make_room(model, now, actions);
            }
        }
        if self.fleet.settings.policy != Policy::SharedQueue {
            for model in models {
                if !self.online_waits_beside(model) {
                    self.serve(model, Class::Batch, now, actions);
                }
            }
        }
    }

    fn serve(&mut self, model: &ModelName, class: Class, now: Time, actions: &mut Vec<Action>) {
        let index = self.queue_index(class);
        loop {
            let Some(queues) = self.queues.get_mut(model) else { return };
            if queues[index].is_empty() {
                return;
            }
            let fleet = &self.fleet;
            let serving = fleet.serving(model, now);
            // Without this check a full queue would be searched although nothing can start.
            let open = !(class == Class::Batch && fleet.is_in_prompts(&serving, now))
                && serving
                    .iter()
                    .any(|state| state.outstanding == 0 || fleet.has_room(state, class, now));
            let mut chosen = None;
            let entry = match open {
                true => queues[index].pop(now, |entry| {
                    chosen = fleet.place(&entry.item.ask, now);
                    chosen.is_some()
                }),
                false => None,
            };
            let (Some(entry), Some((target, reason))) = (entry, chosen) else { break };
            let starting = self.fleet.targets.get(&target).and_then(|state| {
                state.starting_batch(now).filter(|_| fleet_yields(&self.fleet.settings, class))
            });
            actions.push(self.grant(entry, target, reason, now));
            if let Some(key) = starting {
                let reason = "its prompt would delay an online request";
                self.send_cancel(key, reason, now, actions);
            }
        }
        self.reserve_isolated(model, index, now, actions);
    }

    fn grant(
        &mut self,
        entry: Entry<Waiting>,
        target: TargetName,
        reason: &str,
        now: Time,
    ) -> Action {
        let Entry { item: Waiting { ask, from }, arrived, work, .. } = entry;
        let key = (self.epoch, self.next_slot);
        self.next_slot += 1;
        self.drop_reservation(&ask.request);
        let state = self.fleet.target_mut(&target);
        let grant = Slot {
            slot: key.1,
            epoch: key.0,
            request: ask.request.clone(),
            target: target.clone(),
            address: state.info.address.clone(),
            reason: reason.to_owned(),
            wait_us: now.since(arrived).as_micros() as u64,
        };
        let full = state.outstanding + 1 >= state.limit.limit() && !ask.isolated;
        let slot = SlotState {
            request: ask.request.clone(),
            account: ask.account,
            class: ask.class,
            model: ask.model,
            target,
            holder: from.clone(),
            work,
            prompt: ask.prompt,
            isolated: ask.isolated,
            granted: now,
            yield_sent: None,
            expires: None,
            grant: Some(grant.clone()),
        };
        state.add(key, &slot);
        state.add_prompt(key, &slot, now);
        if full {
            state.start_proof(key, now);
        }
        self.by_request.insert(ask.request, key);
        self.slots.insert(key, slot);
        Action::Grant { to: from, slot: grant }
    }

    /// Cancels batch streams until each waiting online request has a slot that is free or on its way
    /// back.
    fn make_room(&mut self, model: &ModelName, now: Time, actions: &mut Vec<Action>) {
        let Some(queues) = self.queues.get(model) else { return };
        let serving = self.fleet.serving(model, now);
        if queues[0].is_empty() || serving.iter().all(|state| state.batch.is_empty()) {
            return;
        }
        let usable = |state: &&&TargetState| {
            let name = &state.info.name;
            let reserved = self.fleet.reserved.as_ref().is_some_and(|(target, _)| target == name);
            state.isolated.is_none() && !reserved
        };
        let mut free: BTreeMap<TargetName, i64> = serving
            .iter()
            .filter(usable)
            .map(|state| {
                let running = (state.outstanding - state.yielding) as i64;
                (state.info.name.clone(), self.fleet.limit(state) as i64 - running)
            })
            .collect();
        for ask in self.online_waits(model) {
            let allowed = |name: &TargetName| !ask.exclude.contains(name);
            let open = free.iter_mut().find(|(name, slots)| **slots > 0 && allowed(name));
            if let Some((_, slots)) = open {
                *slots -= 1;
                continue;
            }
            let best = free
                .iter()
                .filter(|(name, _)| allowed(name))
                .filter_map(|(name, slots)| self.cancellable(name, 1 - slots, now))
                .min();
            let Some((_, _, target, keys)) = best else { continue };
            if let Some(slots) = free.get_mut(&target) {
                *slots += keys.len() as i64 - 1;
            }
            for key in keys {
                self.send_cancel(key, "an online request needs the slot", now, actions);
            }
        }
    }

    /// Returns the `needed` batch streams on a target that have the least work to repeat.
    fn cancellable(
        &self,
        target: &TargetName,
        needed: i64,
        now: Time,
    ) -> Option<(usize, u64, TargetName, Vec<SlotKey>)> {
        let needed = usize::try_from(needed).ok()?;
        let state = self.fleet.targets.get(target)?;
        let redo = |key: &SlotKey| self.slots.get(key).map_or(u64::MAX, |slot| slot.redo(now));
        let mut keys: Vec<_> = state.batch.iter().map(|key| (redo(key), *key)).collect();
        if keys.len() < needed {
            return None;
        }
        keys.sort_unstable();
        keys.truncate(needed);
        let total = keys.iter().map(|(redo, _)| *redo).sum();
        Some((needed, total, target.clone(), keys.into_iter().map(|(_, key)| key).collect()))
    }

    /// Returns the waiting online asks for a model and for the models that share targets with it,
    /// oldest first. Isolated requests have their own target.
    fn online_waits(&self, model: &ModelName) -> Vec<SlotRequest> {
        let mut waits: Vec<_> = self
            .neighbours(model)
            .iter()
            .filter_map(|name| self.queues.get(name))
            .flat_map(|queues| queues[0].iter())
            .filter(|entry| !entry.item.ask.isolated)
            .map(|entry| (entry.arrived, &entry.request, &entry.item.ask))
            .collect();
        waits.sort_by(|left, right| (left.0, left.1).cmp(&(right.0, right.1)));
        waits.into_iter().map(|(_, _, ask)| ask.clone()).collect()
    }

    fn online_waits_beside(&self, model: &ModelName) -> bool {
        self.neighbours(model)
            .iter()
            .filter_map(|name| self.queues.get(name))
            .any(|queues| queues[0].iter().any(|entry| !entry.item.ask.isolated))
    }

    /// Returns the models that share a target with `model`, itself included.
    fn neighbours(&self, model: &ModelName) -> Vec<ModelName> {
        let targets = self.fleet.models.get(model).map_or(&[][..], Vec::as_slice);
        let mut models: Vec<_> = targets
            .iter()
            .filter_map(|name| self.fleet.targets.get(name))
            .flat_map(|state| state.info.models.iter().cloned())
            .collect();
        models.sort();
        models.dedup();
        models
    }

    fn reserve_isolated(
        &mut self,
        model: &ModelName,
        index: usize,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let Some(queues) = self.queues.get(model) else { return };
        let oldest: Option<(Time, RequestId, SlotRequest)> = queues[index]
            .iter()
            .filter(|entry| entry.item.ask.isolated)
            .map(|entry| (entry.arrived, entry.request.clone(), entry.item.ask.clone()))
            .min_by(|left, right| (left.0, &left.1).cmp(&(right.0, &right.1)));
        let Some((_, request, ask)) = oldest else { return };
        self.fleet.reserve(&ask, now);
        let target = match &self.fleet.reserved {
            Some((target, owner)) if *owner == request && ask.class == Class::Online => target,
            _ => return,
        };
        let keys: Vec<_> = match self.fleet.targets.get(target) {
            Some(state) => state.batch.iter().copied().collect(),
            None => return,
        };
        for key in keys {
            self.send_cancel(key, "a request must run alone on the target", now, actions);
        }
    }

    fn send_cancel(&mut self, key: SlotKey, reason: &str, now: Time, actions: &mut Vec<Action>) {
        let Some(slot) = self.slots.get_mut(&key) else { return };
        slot.yield_sent = Some(now);
        if let Some(state) = self.fleet.targets.get_mut(&slot.target) {
            state.batch.remove(&key);
            state.yielding += 1;
        }
        actions.push(cancel(key, slot, reason));
    }
}

fn fleet_yields(settings: &Settings, class: Class) -> bool {
    class == Class::Online && settings.policy == Policy::OnlineFirst && settings.stagger
}

fn cancel(key: SlotKey, slot: &SlotState, reason: &str) -> Action {
    Action::Yield {
        to: slot.holder.clone(),
        slot: key.1,
        epoch: key.0,
        request: slot.request.clone(),
        reason: reason.to_owned(),
    }
}
