//! Sends control commands to the targets of the local failure domain while this instance is lead.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::join_all;
use serde_json::json;
use sesamewall_ports::ControlAction;
use sesamewall_ports::ControlCommand;
use sesamewall_ports::ControlResult;
use sesamewall_ports::ControlStatus;
use sesamewall_ports::TargetControl;
use sesamewall_protocol::ModelName;
use sesamewall_protocol::PlacementSpec;
use sesamewall_protocol::TargetGroup;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use sesamewall_schedule::CommandAction;
use sesamewall_schedule::CommandKind;
use sesamewall_schedule::CommandPlanner;
use sesamewall_schedule::CommandResult;
use sesamewall_schedule::CommandSettings;
use sesamewall_schedule::PlacedModel;
use sesamewall_schedule::PlacedTarget;
use sesamewall_schedule::Placement;
use sesamewall_schedule::PlacementSettings;
use sesamewall_schedule::TargetCommand;
use sesamewall_schedule::TargetLoadState;
use slog::info;

use crate::InstanceContext;

const TICK: Duration = Duration::from_millis(500);
/// Loads that all leads together may start at once. Holds if the share of each lead is at least 1,
/// which is the minimum for one lead.
const FLEET_LOAD_BURST: f64 = 8.0;
/// Time for which a new lead reads all targets before it places models: 5 s until commands may be
/// sent, and time for a read that fails once.
const PLAN_AFTER: Duration = Duration::from_secs(12);

/// The interface between model placement and the admission of requests to targets.
pub trait Admission: Send + Sync {
    /// Returns the number of requests that wait for or run on each model.
    fn demand(&self) -> BTreeMap<ModelName, usize>;

    /// Sets the models that are loaded on the targets under placement.
    fn set_loaded(&self, loaded: BTreeMap<TargetName, BTreeSet<ModelName>>);
}

/// Places models on targets and sends the commands that this requires.
pub struct ControlService {
    context: Arc<InstanceContext>,
    control: Arc<dyn TargetControl>,
    admission: Arc<dyn Admission>,
    state: Mutex<State>,
}

struct State {
    planner: CommandPlanner,
    placements: BTreeMap<String, Placement>,
    published: BTreeMap<TargetName, BTreeSet<ModelName>>,
    epoch: u64,
    since: Time,
}

/// The targets of the local failure domain in a group under placement.
struct GroupTargets {
    group: Arc<TargetGroup>,
    spec: PlacementSpec,
    targets: Vec<(TargetName, String, bool)>,
}

impl ControlService {
    /// Creates the service.
    pub fn new(
        context: Arc<InstanceContext>,
        control: Arc<dyn TargetControl>,
        admission: Arc<dyn Admission>,
    ) -> Arc<Self> {
        let share = 1.0 / context.settings.domains.len().max(1) as f64;
        let settings = CommandSettings {
            loads_per_second: f64::from(context.settings.weight_loads_per_minute) / 60.0 * share,
            load_burst: (FLEET_LOAD_BURST * share).max(1.0),
            ..CommandSettings::default()
        };
        let state = State {
            planner: CommandPlanner::new(settings),
            placements: BTreeMap::new(),
            published: BTreeMap::new(),
            epoch: 0,
            since: Time::ZERO,
        };
        Arc::new(Self { context, control, admission, state: Mutex::new(state) })
    }

    /// Starts the background task.
    pub fn spawn(self: &Arc<Self>) {
        let service = Arc::clone(self);
        self.context.tasks.spawn_essential("control", async move {
            loop {
                tokio::time::sleep(TICK).await;
                service.tick().await;
            }
        });
    }

    /// Returns the state for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let state = self.lock();
        let moves: BTreeMap<&String, u64> =
            state.placements.iter().map(|(group, placement)| (group, placement.moves())).collect();
        json!({ "epoch": state.epoch, "moves": moves })
    }

    /// Reads targets, places models and sends commands, as far as each is due. Returns when all
    /// calls have ended, at most 2 s later.
    pub async fn tick(&self) {
        let groups = self.groups();
        let actions = {
            let now = self.context.clock.now();
            let state = &mut *self.lock();
            let draining = self.context.draining.load(Ordering::Relaxed);
            let term = self.context.lead.valid(now).filter(|_| !draining && !groups.is_empty());
            let Some(term) = term else {
                if state.epoch != 0 {
                    state.epoch = 0;
                    state.placements.clear();
                    state.published.clear();
                    state.planner.end_term();
                    self.admission.set_loaded(BTreeMap::new());
                }
                return;
            };
            state.planner.on_term(term.epoch, term.valid_until, now);
            if state.epoch != term.epoch {
                state.epoch = term.epoch;
                state.since = now;
                state.placements.clear();
            }
            let desired = state.plan(&groups, &self.admission.demand(), now);
            state.planner.set_desired(desired);
            state.planner.next(now)
        };
        let addresses: BTreeMap<&TargetName, &String> = groups
            .iter()
            .flat_map(|placed| placed.targets.iter().map(|(name, address, _)| (name, address)))
            .collect();
        join_all(actions.into_iter().map(|action| self.act(action, &addresses))).await;
        self.publish(&groups);
    }

    async fn act(&self, action: CommandAction, addresses: &BTreeMap<&TargetName, &String>) {
        match action {
            CommandAction::Read(target) => {
                let observed = match addresses.get(&target) {
                    Some(address) => self.control.read(address).await,
                    None => None,
                };
                let observed = observed.map(|ControlStatus { models, role }| TargetLoadState {
                    models: models.into_iter().collect(),
                    role,
                });
                let now = self.context.clock.now();
                self.lock().planner.on_read(&target, observed, now);
            }
            CommandAction::Send(command) => {
                let result = match addresses.get(&command.target) {
                    Some(address) => self.send(&command, address).await,
                    None => CommandResult::NotSent,
                };
                let now = self.context.clock.now();
                self.lock().planner.on_result(&command, result, now);
            }
        }
    }

    async fn send(&self, target_command: &TargetCommand, address: &str) -> CommandResult {
        let command = ControlCommand {
            address: address.to_owned(),
            fence: target_command.fence,
            action: match &target_command.kind {
                CommandKind::Load(model) => ControlAction::Load(model.clone()),
                CommandKind::Unload(model) => ControlAction::Unload(model.clone()),
                CommandKind::SetRole(role) => ControlAction::SetRole(role.clone()),
            },
        };
        if !self.lock().planner.may_send(target_command, self.context.clock.now()) {
            return CommandResult::NotSent;
        }
        let result = self.control.send_command(command).await;
        info!(self.context.log, "order to target"; "target" => target_command.target.as_str(),
            "fence" => target_command.fence, "order" => format!("{:?}", target_command.kind),
            "end" => format!("{result:?}"));
        let label = match result {
            ControlResult::Done => "order_done",
            ControlResult::Refused => "order_refused",
            ControlResult::NotSent => "order_not_sent",
            ControlResult::Unclear => "order_unclear",
        };
        self.context.metrics.changes.with_label_values(&[label]).inc();
        match result {
            ControlResult::Done => CommandResult::Done,
            ControlResult::Refused => CommandResult::Refused,
            ControlResult::NotSent => CommandResult::NotSent,
            ControlResult::Unclear => CommandResult::Unclear,
        }
    }

    /// Publishes the loaded models to admission. A target whose observed state is unknown keeps its
    /// last known models, since admission detects lost targets itself.
    fn publish(&self, groups: &[GroupTargets]) {
        let loaded = {
            let state = &mut *self.lock();
            let names: BTreeSet<&TargetName> = groups
                .iter()
                .flat_map(|placed| placed.targets.iter().map(|(name, _, _)| name))
                .collect();
            state.published.retain(|name, _| names.contains(name));
            for name in names {
                if let Some(observed) = state.planner.observed_state(name) {
                    state.published.insert(name.clone(), observed.models.clone());
                }
            }
            state.published.clone()
        };
        self.admission.set_loaded(loaded);
    }

    fn groups(&self) -> Vec<GroupTargets> {
        let domain = &self.context.local.domain;
        let configuration = self.context.config.current();
        let groups = configuration.groups().filter_map(|group| {
            let spec = group.placement?;
            let local = group.targets.iter().filter(|target| target.domain == *domain);
            let targets: Vec<_> = local
                .map(|target| (target.name.clone(), target.address.clone(), target.leaving))
                .collect();
            (!targets.is_empty()).then(|| GroupTargets { group: Arc::clone(group), spec, targets })
        });
        groups.collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the desired state of each target. Until the targets have been read, it is empty,
    /// which leaves each target with its present models.
    fn plan(
        &mut self,
        groups: &[GroupTargets],
        demand: &BTreeMap<ModelName, usize>,
        now: Time,
    ) -> BTreeMap<TargetName, TargetLoadState> {
        let mut desired = BTreeMap::new();
        let ready = now.since(self.since) >= PLAN_AFTER;
        for placed in groups {
            let names = placed.targets.iter().map(|(name, _, _)| name.clone());
            desired.extend(names.map(|name| (name, TargetLoadState::default())));
            if ready {
                for (name, models) in self.place(placed, demand, now) {
                    desired.insert(name, TargetLoadState { models, role: None });
                }
            }
        }
        desired
    }

    fn place(
        &mut self,
        placed: &GroupTargets,
        demand: &BTreeMap<ModelName, usize>,
        now: Time,
    ) -> BTreeMap<TargetName, BTreeSet<ModelName>> {
        let planner = &self.planner;
        let placement = self.placements.entry(placed.group.name.clone()).or_insert_with(|| {
            let mut placement = Placement::new(PlacementSettings::default());
            for (name, _, _) in &placed.targets {
                let held =
                    planner.observed_state(name).into_iter().flat_map(|observed| &observed.models);
                for model in held.filter(|model| placed.group.models.contains(model)) {
                    placement.adopt(model, name);
                }
            }
            placement
        });
        let models: Vec<PlacedModel> = placed
            .group
            .models
            .iter()
            .map(|model| PlacedModel {
                model: model.clone(),
                demand: demand.get(model).copied().unwrap_or(0) as f64,
                per_replica: f64::from(placed.spec.requests_per_replica),
                min_replicas: placed.spec.least_replicas as usize,
            })
            .collect();
        let targets: Vec<PlacedTarget> = placed
            .targets
            .iter()
            .map(|(name, _, leaving)| PlacedTarget {
                name: name.clone(),
                capacity: placed.spec.models_per_target as usize,
                live: !leaving && planner.observed_state(name).is_some(),
            })
            .collect();
        placement.plan(&models, &targets, now)
    }
}
