//! Keeps the targets of one failure domain and chooses the target of a request.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sesamewall_protocol::Class;
use sesamewall_protocol::ModelName;
use sesamewall_protocol::RequestId;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::SlotRelease;
use sesamewall_protocol::peer::SlotRequest;
use sesamewall_protocol::peer::SlotResult;

use crate::CacheHints;
use crate::Candidate;
use crate::Config;
use crate::Ejection;
use crate::Headroom;
use crate::Policy;
use crate::Settings;
use crate::TargetInfo;
use crate::TargetLimit;
use crate::TargetView;
use crate::choose;
use crate::state::SlotState;
use crate::state::TargetState;

/// Longest time for which other targets are preferred to an unreachable one.
const MAX_BACKOFF: Duration = Duration::from_secs(16);

/// Holds the targets of one failure domain.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) settings: Settings,
    pub(crate) targets: BTreeMap<TargetName, TargetState>,
    pub(crate) models: BTreeMap<ModelName, Vec<TargetName>>,
    pub(crate) headroom: BTreeMap<ModelName, Headroom>,
    pub(crate) ejection: Ejection,
    pub(crate) hints: CacheHints,
    /// Target that gets no other work until the isolated request can run there.
    pub(crate) reserved: Option<(TargetName, RequestId)>,
    pub(crate) domain_out: bool,
    pub(crate) syncing: bool,
}

impl Fleet {
    pub(crate) fn new(settings: Settings, syncing: bool) -> Self {
        Self {
            ejection: Ejection::new(settings.ejection.clone()),
            settings,
            targets: BTreeMap::new(),
            models: BTreeMap::new(),
            headroom: BTreeMap::new(),
            hints: CacheHints::default(),
            reserved: None,
            domain_out: false,
            syncing,
        }
    }

    /// Applies a configuration. A target that returns to service starts cold, and so do all targets
    /// when the failure domain returns to service.
    pub(crate) fn configure(&mut self, config: &Config) {
        let back = self.domain_out && !config.domain_out;
        self.domain_out = config.domain_out;
        let names: BTreeSet<_> = config.targets.iter().map(|info| &info.name).collect();
        for (name, state) in &mut self.targets {
            state.present = names.contains(name);
        }
        self.targets.retain(|_, state| state.present || state.outstanding > 0);
        for info in &config.targets {
            let limit = TargetLimit::new(self.settings.limit.clone(), info.max_limit);
            let state = self
                .targets
                .entry(info.name.clone())
                .or_insert_with(|| TargetState::new(info.clone(), limit));
            let returns = state.info.leaving && !info.leaving;
            let absent = !state.info.models.iter().any(|model| info.models.contains(model));
            if back || returns || absent {
                state.limit.mark_cold();
                state.leaving_until = Time::ZERO;
            }
            state.limit.set_max(info.max_limit);
            state.info = info.clone();
        }
        for (name, state) in &mut self.targets {
            if !names.contains(name) {
                // Without models the target gets no work, and its return with models is detected.
                state.info.models.clear();
            }
        }
        self.models.clear();
        for info in &config.targets {
            for model in &info.models {
                self.models.entry(model.clone()).or_default().push(info.name.clone());
            }
        }
        self.headroom.retain(|model, _| self.models.contains_key(model));
        self.hints.retain(|target| names.contains(target));
        self.ejection.retain(|target| names.contains(target));
    }

    /// Returns the state of a target. A target that is not configured is created without models.
    pub(crate) fn target_mut(&mut self, name: &TargetName) -> &mut TargetState {
        let settings = &self.settings.limit;
        self.targets.entry(name.clone()).or_insert_with(|| {
            let info = TargetInfo {
                name: name.clone(),
                address: String::new(),
                models: Vec::new(),
                max_limit: 1,
                leaving: false,
            };
            let mut state = TargetState::new(info, TargetLimit::new(settings.clone(), 1));
            state.present = false;
            state
        })
    }

    /// Returns whether a target gets new work.
    pub(crate) fn is_in_service(&self, target: &TargetName, now: Time) -> bool {
        !self.domain_out
            && !self.ejection.is_ejected(target)
            && self.targets.get(target).is_some_and(|state| {
                state.present && !state.info.leaving && state.leaving_until <= now
            })
    }

    /// Returns the targets in service for a model.
    pub(crate) fn serving(&self, model: &ModelName, now: Time) -> Vec<&TargetState> {
        let names = self.models.get(model).map_or(&[][..], Vec::as_slice);
        names
            .iter()
            .filter(|name| self.is_in_service(name, now))
            .filter_map(|name| self.targets.get(name))
            .collect()
    }

    /// Returns whether a target in service may run the request.
    pub(crate) fn can_serve(&self, slot_request: &SlotRequest, now: Time) -> bool {
        self.serving(&slot_request.model, now)
            .iter()
            .any(|state| !slot_request.exclude.contains(&state.info.name))
    }

    /// Returns the limit that currently applies to a target.
    pub(crate) fn limit(&self, state: &TargetState) -> usize {
        let limit = state.limit.limit();
        if self.syncing { limit.min(self.settings.limit.cold_limit as usize) } else { limit }
    }

    /// Returns whether a target can take one more request of the class.
    pub(crate) fn has_free_slot(&self, state: &TargetState, class: Class, now: Time) -> bool {
        let limit = self.limit(state);
        let reserved = self.reserved.as_ref().is_some_and(|(name, _)| name == &state.info.name);
        if reserved || state.isolated.is_some() || state.outstanding >= limit {
            return false;
        }
        match (self.settings.policy, class) {
            (Policy::SharedQueue, _) | (Policy::OnlineFirst, Class::Online) => true,
            // A cold target has no headroom: its slow start needs the full limit to be in use, and
            // one cancelled stream frees a slot for an online request.
            (Policy::OnlineFirst, Class::Batch)
                if self.settings.stagger && state.has_prompt(now) =>
            {
                false
            }
            (Policy::OnlineFirst, Class::Batch) if state.limit.is_cold() => true,
            (Policy::OnlineFirst, Class::Batch) => {
                let headroom = self.headroom_slots(state, now);
                state.outstanding < limit.saturating_sub(headroom).max(1)
            }
            (Policy::FixedSplit { batch }, _) => {
                let batch_limit = (limit as f64 * batch) as usize;
                match class {
                    Class::Batch => state.batch_total < batch_limit,
                    Class::Online => state.outstanding - state.batch_total < limit - batch_limit,
                }
            }
        }
    }

    /// Chooses a target for the request and returns it with the reason of the choice.
    pub(crate) fn choose_target(
        &self,
        slot_request: &SlotRequest,
        now: Time,
    ) -> Option<(TargetName, &'static str)> {
        let serving = self.serving(&slot_request.model, now);
        if slot_request.class == Class::Batch && self.is_prompt_bound(&serving, now) {
            return None;
        }
        let reachable = serving.iter().any(|state| state.backoff_until <= now);
        let fits = |state: &TargetState| match slot_request.isolated {
            false => self.has_free_slot(state, slot_request.class, now),
            true => self.is_free_for(state, &slot_request.request),
        };
        let open: Vec<_> = serving
            .iter()
            .filter(|state| !reachable || state.backoff_until <= now)
            .filter(|state| !slot_request.exclude.contains(&state.info.name) && fits(state))
            .map(|state| Candidate { name: &state.info.name, work: state.load(now) })
            .collect();
        let total: u64 = serving.iter().map(|state| state.load(now)).sum();
        let mean = total as f64 / serving.len().max(1) as f64;
        let choice = choose(
            &self.settings.route,
            &open,
            mean,
            slot_request.work,
            &slot_request.prefix,
            &self.hints,
        )?;
        let reason = if slot_request.isolated { "runs alone after a crash" } else { choice.reason };
        Some((open[choice.index].name.clone(), reason))
    }

    /// Returns whether an online request would wait for other prompts on each target that has a
    /// free slot.
    pub(crate) fn delays_online(&self, slot_request: &SlotRequest, now: Time) -> bool {
        let usable = |state: &&&TargetState| {
            !slot_request.exclude.contains(&state.info.name)
                && self.has_free_slot(state, slot_request.class, now)
        };
        let staggers = self.settings.stagger && self.settings.policy == Policy::OnlineFirst;
        let serving = self.serving(&slot_request.model, now);
        let mut open = serving.iter().filter(usable).peekable();
        staggers
            && slot_request.class == Class::Online
            && open.peek().is_some()
            && open.all(|state| state.has_prompt(now))
    }

    /// Reserves the least loaded target for an isolated request. At most one isolated request runs
    /// or waits for its target in a failure domain, so that one account cannot take all targets of
    /// the failure domain out of use.
    pub(crate) fn reserve(&mut self, slot_request: &SlotRequest, now: Time) {
        if self.reserved.is_some() || self.targets.values().any(|state| state.isolated.is_some()) {
            return;
        }
        let chosen = self
            .serving(&slot_request.model, now)
            .into_iter()
            .filter(|state| !slot_request.exclude.contains(&state.info.name))
            .min_by_key(|state| (state.outstanding, state.work))
            .map(|state| state.info.name.clone());
        self.reserved = chosen.map(|name| (name, slot_request.request.clone()));
    }

    /// Updates the state of the target with the result of a request.
    pub(crate) fn on_release(&mut self, slot: &SlotState, release: &SlotRelease, now: Time) {
        let leaving_until = now + self.settings.leaving_backoff;
        let Some(state) = self.targets.get_mut(&slot.target) else { return };
        let lost = matches!(release.end, SlotResult::Unreachable | SlotResult::Crashed);
        match release.end {
            SlotResult::Whole => {
                state.consecutive_losses = 0;
                state.backoff_until = Time::ZERO;
                if let Some(micros) = release.first_token_us {
                    state.limit.on_first_token(micros, slot.prompt, now);
                }
            }
            SlotResult::Overloaded => state.limit.on_overload(now),
            SlotResult::Cold => state.limit.mark_cold(),
            SlotResult::Leaving => {
                state.limit.mark_cold();
                state.leaving_until = leaving_until;
            }
            SlotResult::Unreachable | SlotResult::Crashed => {
                state.limit.mark_cold();
                let backoff = Duration::from_secs(1 << state.consecutive_losses.min(4));
                state.backoff_until = now + backoff.min(MAX_BACKOFF);
                state.consecutive_losses += 1;
            }
            SlotResult::Failed | SlotResult::Cancelled => {}
        }
        if lost {
            self.hints.remove(&slot.target);
        }
        if lost || matches!(release.end, SlotResult::Whole | SlotResult::Failed) {
            self.ejection.on_result(&slot.target, release.end != SlotResult::Whole, now);
        }
        if let (Class::Online, Some(micros)) = (slot.class, release.first_token_us) {
            self.headroom.entry(slot.model.clone()).or_default().on_first_token(micros);
        }
    }

    /// Updates ejection. Targets whose ejection ends start cold.
    pub(crate) fn update_ejection(&mut self, now: Time) {
        let targets = &self.targets;
        let alive = |name: &&TargetName| {
            targets.get(*name).is_some_and(|state| {
                state.present && !state.info.leaving && state.leaving_until <= now
            })
        };
        let models: BTreeMap<_, Vec<_>> = self
            .models
            .iter()
            .map(|(model, names)| (model.clone(), names.iter().filter(alive).cloned().collect()))
            .collect();
        for target in self.ejection.update(&models, now) {
            if let Some(state) = self.targets.get_mut(&target) {
                state.limit.mark_cold();
            }
        }
    }

    pub(crate) fn views(&self, now: Time) -> Vec<TargetView> {
        let view = |state: &TargetState| TargetView {
            name: state.info.name.clone(),
            limit: self.limit(state),
            outstanding: state.outstanding,
            batch: state.batch.len(),
            yielding: state.preempting,
            cold: state.limit.is_cold(),
            ejected: self.ejection.is_ejected(&state.info.name),
            in_service: self.is_in_service(&state.info.name, now),
        };
        self.targets.values().map(view).collect()
    }

    /// Returns whether prompts are in progress on more than half of the targets. No batch stream
    /// starts in this state, so that the next online requests find targets without a prompt in
    /// progress.
    pub(crate) fn is_prompt_bound(&self, serving: &[&TargetState], now: Time) -> bool {
        let busy = serving.iter().filter(|state| state.has_prompt(now)).count();
        self.settings.stagger
            && self.settings.policy == Policy::OnlineFirst
            && 2 * busy > serving.len()
    }

    fn is_free_for(&self, state: &TargetState, request: &RequestId) -> bool {
        let is_owner = match &self.reserved {
            Some((target, owner)) => target == &state.info.name && owner == request,
            None => self.targets.values().all(|other| other.isolated.is_none()),
        };
        is_owner && state.outstanding == 0
    }

    /// Returns the number of slots that one target keeps free: its fraction of the headroom of each
    /// model.
    fn headroom_slots(&self, state: &TargetState, now: Time) -> usize {
        let share = |model: &ModelName| {
            let slots = self.headroom.get(model).map_or(1, |headroom| headroom.slots(now));
            let slots = (slots as f64 * self.settings.headroom).ceil().max(1.0) as usize;
            slots.div_ceil(self.models.get(model).map_or(1, Vec::len).max(1))
        };
        state.info.models.iter().map(share).sum()
    }
}
