//! Grants slots to waiting requests and preempts batch streams for online requests.

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
    /// Grants free slots on all targets to waiting requests.
    pub(crate) fn dispatch_all(&mut self, now: Time, actions: &mut Vec<Action>) {
        let models: Vec<_> = self.queues.keys().cloned().collect();
        self.dispatch_models(&models, now, actions);
    }

    /// Grants slots that the release of `slot` made available.
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

    /// Grants free slots to waiting requests for `model`.
    pub(crate) fn dispatch(&mut self, model: &ModelName, now: Time, actions: &mut Vec<Action>) {
        self.dispatch_models(std::slice::from_ref(model), now, actions);
    }

    /// Sends cancellations again whose slots were not released within `preempt_resend`.
    pub(crate) fn resend_preemptions(&mut self, now: Time, actions: &mut Vec<Action>) {
        let resend = self.fleet.settings.preempt_resend;
        for (key, slot) in &mut self.slots {
            if slot.expires.is_none() && slot.preempt_sent.is_some_and(|at| now.since(at) >= resend)
            {
                slot.preempt_sent = Some(now);
                actions.push(preempt_action(*key, slot, "the cancellation was not answered"));
            }
        }
    }

    fn dispatch_models(&mut self, models: &[ModelName], now: Time, actions: &mut Vec<Action>) {
        if now >= self.valid_until || self.fleet.domain_out {
            return;
        }
        for model in models {
            self.grant_waiting(model, Class::Online, now, actions);
        }
        if self.fleet.settings.policy == Policy::OnlineFirst {
            for model in models {
                self.preempt_for_online(model, now, actions);
            }
        }
        if self.fleet.settings.policy != Policy::SharedQueue {
            for model in models {
                if !self.has_waiting_online(model) {
                    self.grant_waiting(model, Class::Batch, now, actions);
                }
            }
        }
    }

    fn grant_waiting(
        &mut self,
        model: &ModelName,
        class: Class,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let index = self.queue_index(class);
        loop {
            let Some(queues) = self.queues.get_mut(model) else { return };
            if queues[index].is_empty() {
                return;
            }
            let fleet = &self.fleet;
            let serving = fleet.serving(model, now);
            // Avoids a search of a full queue when no request can start.
            let open = !(class == Class::Batch && fleet.is_prompt_bound(&serving, now))
                && serving
                    .iter()
                    .any(|state| state.outstanding == 0 || fleet.has_free_slot(state, class, now));
            let mut chosen = None;
            let entry = match open {
                true => queues[index].pop(now, |entry| {
                    chosen = fleet.choose_target(&entry.item.slot_request, now);
                    chosen.is_some()
                }),
                false => None,
            };
            let (Some(entry), Some((target, reason))) = (entry, chosen) else { break };
            let delaying = self.fleet.targets.get(&target).and_then(|state| {
                state
                    .delaying_batch(now)
                    .filter(|_| can_preempt_prompt(&self.fleet.settings, class))
            });
            actions.push(self.grant(entry, target, reason, now));
            if let Some(key) = delaying {
                let reason = "its prompt would delay an online request";
                self.preempt_slot(key, reason, now, actions);
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
        let Entry { item: Waiting { slot_request, from }, arrived, work, .. } = entry;
        let key = (self.epoch, self.next_slot);
        self.next_slot += 1;
        self.drop_reservation(&slot_request.request);
        let state = self.fleet.target_mut(&target);
        let grant = Slot {
            slot: key.1,
            epoch: key.0,
            request: slot_request.request.clone(),
            target: target.clone(),
            address: state.info.address.clone(),
            reason: reason.to_owned(),
            wait_us: now.since(arrived).as_micros() as u64,
        };
        let full = state.outstanding + 1 >= state.limit.limit() && !slot_request.isolated;
        let slot = SlotState {
            request: slot_request.request.clone(),
            account: slot_request.account,
            class: slot_request.class,
            model: slot_request.model,
            target,
            holder: from.clone(),
            work,
            prompt: slot_request.prompt,
            isolated: slot_request.isolated,
            granted: now,
            preempt_sent: None,
            expires: None,
            grant: Some(grant.clone()),
        };
        state.add(key, &slot);
        state.add_prompt(key, &slot, now);
        if full {
            state.start_proof(key, now);
        }
        self.by_request.insert(slot_request.request, key);
        self.slots.insert(key, slot);
        Action::Grant { to: from, slot: grant }
    }

    /// Cancels batch streams until each waiting online request has a slot that is free or is being
    /// released.
    fn preempt_for_online(&mut self, model: &ModelName, now: Time, actions: &mut Vec<Action>) {
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
                let running = (state.outstanding - state.preempting) as i64;
                (state.info.name.clone(), self.fleet.limit(state) as i64 - running)
            })
            .collect();
        for slot_request in self.waiting_online(model) {
            let allowed = |name: &TargetName| !slot_request.exclude.contains(name);
            let open = free.iter_mut().find(|(name, slots)| **slots > 0 && allowed(name));
            if let Some((_, slots)) = open {
                *slots -= 1;
                continue;
            }
            let best = free
                .iter()
                .filter(|(name, _)| allowed(name))
                .filter_map(|(name, slots)| self.preemption_candidates(name, 1 - slots, now))
                .min();
            let Some((_, _, target, keys)) = best else { continue };
            if let Some(slots) = free.get_mut(&target) {
                *slots += keys.len() as i64 - 1;
            }
            for key in keys {
                self.preempt_slot(key, "an online request needs the slot", now, actions);
            }
        }
    }

    /// Returns the `needed` batch streams on a target whose cancellation repeats the least work, or
    /// `None` if the target has fewer of them.
    fn preemption_candidates(
        &self,
        target: &TargetName,
        needed: i64,
        now: Time,
    ) -> Option<(usize, u64, TargetName, Vec<SlotKey>)> {
        let needed = usize::try_from(needed).ok()?;
        let state = self.fleet.targets.get(target)?;
        let repeated_work =
            |key: &SlotKey| self.slots.get(key).map_or(u64::MAX, |slot| slot.repeated_work(now));
        let mut keys: Vec<_> = state.batch.iter().map(|key| (repeated_work(key), *key)).collect();
        if keys.len() < needed {
            return None;
        }
        keys.sort_unstable();
        keys.truncate(needed);
        let total = keys.iter().map(|(repeated_work, _)| *repeated_work).sum();
        Some((needed, total, target.clone(), keys.into_iter().map(|(_, key)| key).collect()))
    }

    /// Returns the waiting online requests for a model and for the models that share targets with
    /// it, oldest first. Isolated requests are left out, since a target is reserved for them.
    fn waiting_online(&self, model: &ModelName) -> Vec<SlotRequest> {
        let mut waiting: Vec<_> = self
            .models_sharing_targets(model)
            .iter()
            .filter_map(|name| self.queues.get(name))
            .flat_map(|queues| queues[0].iter())
            .filter(|entry| !entry.item.slot_request.isolated)
            .map(|entry| (entry.arrived, &entry.request, &entry.item.slot_request))
            .collect();
        waiting.sort_by(|left, right| (left.0, left.1).cmp(&(right.0, right.1)));
        waiting.into_iter().map(|(_, _, slot_request)| slot_request.clone()).collect()
    }

    fn has_waiting_online(&self, model: &ModelName) -> bool {
        self.models_sharing_targets(model)
            .iter()
            .filter_map(|name| self.queues.get(name))
            .any(|queues| queues[0].iter().any(|entry| !entry.item.slot_request.isolated))
    }

    /// Returns the models that share a target with `model`, including `model`.
    fn models_sharing_targets(&self, model: &ModelName) -> Vec<ModelName> {
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
            .filter(|entry| entry.item.slot_request.isolated)
            .map(|entry| (entry.arrived, entry.request.clone(), entry.item.slot_request.clone()))
            .min_by(|left, right| (left.0, &left.1).cmp(&(right.0, &right.1)));
        let Some((_, request, slot_request)) = oldest else { return };
        self.fleet.reserve(&slot_request, now);
        let target = match &self.fleet.reserved {
            Some((target, owner)) if *owner == request && slot_request.class == Class::Online => {
                target
            }
            _ => return,
        };
        let keys: Vec<_> = match self.fleet.targets.get(target) {
            Some(state) => state.batch.iter().copied().collect(),
            None => return,
        };
        for key in keys {
            self.preempt_slot(key, "a request must run alone on the target", now, actions);
        }
    }

    fn preempt_slot(&mut self, key: SlotKey, reason: &str, now: Time, actions: &mut Vec<Action>) {
        let Some(slot) = self.slots.get_mut(&key) else { return };
        slot.preempt_sent = Some(now);
        if let Some(state) = self.fleet.targets.get_mut(&slot.target) {
            state.batch.remove(&key);
            state.preempting += 1;
        }
        actions.push(preempt_action(key, slot, reason));
    }
}

fn can_preempt_prompt(settings: &Settings, class: Class) -> bool {
    class == Class::Online && settings.policy == Policy::OnlineFirst && settings.stagger
}

fn preempt_action(key: SlotKey, slot: &SlotState, reason: &str) -> Action {
    Action::Yield {
        to: slot.holder.clone(),
        slot: key.1,
        epoch: key.0,
        request: slot.request.clone(),
        reason: reason.to_owned(),
    }
}
