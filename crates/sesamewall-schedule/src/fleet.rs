//! Keeps the targets of one failure domain and finds a place for a request.

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

/// Longest time for which other targets are preferred to one that could not be reached.
const MAX_AVOID: Duration = Duration::from_secs(16);

/// Holds the targets of one failure domain.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) settings: Settings,
    pub(crate) targets: BTreeMap<TargetName, TargetState>,
    pub(crate) models: BTreeMap<ModelName, Vec<TargetName>>,
    pub(crate) headroom: BTreeMap<ModelName, Headroom>,
    pub(crate) ejection: Ejection,
    pub(crate) hints: CacheHints,
    /// Target that takes no other work until the isolated request can run there.
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

    /// Applies a configuration. Targets that return, and all targets when the failure domain
    /// returns, start cold.
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
                state.limit.turn_cold();
                state.leaving_until = Time::ZERO;
            }
            state.limit.set_max(info.max_limit);
            state.info = info.clone();
        }
        for (name, state) in &mut self.targets {
            if !names.contains(name) {
                // Without models the target gets no work, and a return is recognised.
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

    /// Returns the state of a target, created without models when it is not configured.
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

    /// Tells whether a target gets new work.
    pub(crate) fn in_service(&self, target: &TargetName, now: Time) -> bool {
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
            .filter(|name| self.in_service(name, now))
            .filter_map(|name| self.targets.get(name))
            .collect()
    }

    /// Tells whether some target in service may run the request.
    pub(crate) fn can_serve(&self, ask: &SlotRequest, now: Time) -> bool {
        self.serving(&ask.model, now).iter().any(|state| !ask.exclude.contains(&state.info.name))
    }

    /// Returns the limit in force for a target.
    pub(crate) fn limit(&self, state: &TargetState) -> usize {
        let limit = state.limit.limit();
        if self.syncing { limit.min(self.settings.limit.cold_limit as usize) } else { limit }
    }

    /// Tells whether a target takes one more request of the class.
    pub(crate) fn has_room(&self, state: &TargetState, class: Class, now: Time) -> bool {
        let limit = self.limit(state);
        let reserved = self.reserved.as_ref().is_some_and(|(name, _)| name == &state.info.name);
        if reserved || state.isolated.is_some() || state.outstanding >= limit {
            return false;
        }
        match (self.settings.policy, class) {
            (Policy::SharedQueue, _) | (Policy::OnlineFirst, Class::Online) => true,
            // A cold target has no headroom: its ramp needs the full limit to be in use, and one
            // cancelled stream makes room for an online request.
            (Policy::OnlineFirst, Class::Batch)
                if self.settings.stagger && state.in_prompt(now) =>
            {
                false
            }
            (Policy::OnlineFirst, Class::Batch) if state.limit.is_cold() => true,
            (Policy::OnlineFirst, Class::Batch) => {
                let headroom = self.headroom_share(state, now);
                state.outstanding < limit.saturating_sub(headroom).max(1)
            }
            (Policy::FixedSplit { batch }, _) => {
                let part = (limit as f64 * batch) as usize;
                match class {
                    Class::Batch => state.batch_total < part,
                    Class::Online => state.outstanding - state.batch_total < limit - part,
                }
            }
        }
    }

    /// Chooses a target for the request, with the reason.
    pub(crate) fn place(&self, ask: &SlotRequest, now: Time) -> Option<(TargetName, &'static str)> {
        let serving = self.serving(&ask.model, now);
        if ask.class == Class::Batch && self.is_in_prompts(&serving, now) {
            return None;
        }
        let reachable = serving.iter().any(|state| state.avoid_until <= now);
        let fits = |state: &TargetState| match ask.isolated {
            false => self.has_room(state, ask.class, now),
            true => self.is_free_for(state, &ask.request),
        };
        let open: Vec<_> = serving
            .iter()
            .filter(|state| !reachable || state.avoid_until <= now)
            .filter(|state| !ask.exclude.contains(&state.info.name) && fits(state))
            .map(|state| Candidate { name: &state.info.name, work: state.load(now) })
            .collect();
        let total: u64 = serving.iter().map(|state| state.load(now)).sum();
        let mean = total as f64 / serving.len().max(1) as f64;
        let choice = choose(&self.settings.route, &open, mean, ask.work, &ask.prefix, &self.hints)?;
        let reason = if ask.isolated { "runs alone after a crash" } else { choice.reason };
        Some((open[choice.index].name.clone(), reason))
    }

    /// Tells whether an online request would wait for other prompts on each target that has room.
    pub(crate) fn delays_online(&self, ask: &SlotRequest, now: Time) -> bool {
        let usable = |state: &&&TargetState| {
            !ask.exclude.contains(&state.info.name) && self.has_room(state, ask.class, now)
        };
        let staggers = self.settings.stagger && self.settings.policy == Policy::OnlineFirst;
        let serving = self.serving(&ask.model, now);
        let mut open = serving.iter().filter(usable).peekable();
        staggers
            && ask.class == Class::Online
            && open.peek().is_some()
            && open.all(|state| state.in_prompt(now))
    }

    /// Reserves the least loaded target for an isolated request. At most one isolated request runs
    /// or waits for its target in a failure domain, so that one account cannot empty it.
    pub(crate) fn reserve(&mut self, ask: &SlotRequest, now: Time) {
        if self.reserved.is_some() || self.targets.values().any(|state| state.isolated.is_some()) {
            return;
        }
        let chosen = self
            .serving(&ask.model, now)
            .into_iter()
            .filter(|state| !ask.exclude.contains(&state.info.name))
            .min_by_key(|state| (state.outstanding, state.work))
            .map(|state| state.info.name.clone());
        self.reserved = chosen.map(|name| (name, ask.request.clone()));
    }

    /// Applies what the end of a request tells about its target.
    pub(crate) fn learn(&mut self, slot: &SlotState, done: &SlotRelease, now: Time) {
        let leaving_until = now + self.settings.leaving_hold;
        let Some(state) = self.targets.get_mut(&slot.target) else { return };
        let lost = matches!(done.end, SlotResult::Unreachable | SlotResult::Crashed);
        match done.end {
            SlotResult::Whole => {
                state.lost_in_a_row = 0;
                state.avoid_until = Time::ZERO;
                if let Some(micros) = done.first_token_us {
                    state.limit.on_first_token(micros, slot.prompt, now);
                }
            }
            SlotResult::Overloaded => state.limit.on_overload(now),
            SlotResult::Cold => state.limit.turn_cold(),
            SlotResult::Leaving => {
                state.limit.turn_cold();
                state.leaving_until = leaving_until;
            }
            SlotResult::Unreachable | SlotResult::Crashed => {
                state.limit.turn_cold();
                let pause = Duration::from_secs(1 << state.lost_in_a_row.min(4));
                state.avoid_until = now + pause.min(MAX_AVOID);
                state.lost_in_a_row += 1;
            }
            SlotResult::Failed | SlotResult::Cancelled => {}
        }
        if lost {
            self.hints.forget(&slot.target);
        }
        if lost || matches!(done.end, SlotResult::Whole | SlotResult::Failed) {
            self.ejection.on_end(&slot.target, done.end != SlotResult::Whole, now);
        }
        if let (Class::Online, Some(micros)) = (slot.class, done.first_token_us) {
            self.headroom.entry(slot.model.clone()).or_default().on_first_token(micros);
        }
    }

    /// Updates ejection. Targets that come back start cold.
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
                state.limit.turn_cold();
            }
        }
    }

    pub(crate) fn views(&self, now: Time) -> Vec<TargetView> {
        let view = |state: &TargetState| TargetView {
            name: state.info.name.clone(),
            limit: self.limit(state),
            outstanding: state.outstanding,
            batch: state.batch.len(),
            yielding: state.yielding,
            cold: state.limit.is_cold(),
            ejected: self.ejection.is_ejected(&state.info.name),
            in_service: self.in_service(&state.info.name, now),
        };
        self.targets.values().map(view).collect()
    }

    /// Tells whether prompts are in progress on more than half of the targets. A batch stream does not
    /// start then, so that the next online requests find targets without a prompt in progress.
    pub(crate) fn is_in_prompts(&self, serving: &[&TargetState], now: Time) -> bool {
        let busy = serving.iter().filter(|state| state.in_prompt(now)).count();
        self.settings.stagger
            && self.settings.policy == Policy::OnlineFirst
            && 2 * busy > serving.len()
    }

    fn is_free_for(&self, state: &TargetState, request: &RequestId) -> bool {
        let mine = match &self.reserved {
            Some((target, owner)) => target == &state.info.name && owner == request,
            None => self.targets.values().all(|other| other.isolated.is_none()),
        };
        mine && state.outstanding == 0
    }

    /// Returns the slots that one target keeps free: its part of each model's headroom.
    fn headroom_share(&self, state: &TargetState, now: Time) -> usize {
        let share = |model: &ModelName| {
            let slots = self.headroom.get(model).map_or(1, |headroom| headroom.slots(now));
            let slots = (slots as f64 * self.settings.headroom).ceil().max(1.0) as usize;
            slots.div_ceil(self.models.get(model).map_or(1, Vec::len).max(1))
        };
        state.info.models.iter().map(share).sum()
    }
}
