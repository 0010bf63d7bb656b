//! Decides which models are loaded on which targets of a failure domain.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sesamewall_protocol::ModelName;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;

/// Settings of the placement. Each boolean disables one mechanism when it is false, so that a test
/// can detect the absence of the mechanism.
#[derive(Clone, Debug)]
pub struct PlacementSettings {
    /// Time for which demand must exceed the replicas' capacity before a replica is added.
    pub scale_up_delay: Duration,
    /// Time for which demand must be below the threshold before a replica is removed.
    pub scale_down_delay: Duration,
    /// Least time between two moves of a model, not counting replacements.
    pub move_cooldown: Duration,
    /// Time for which a target must be absent before its replicas are replaced.
    pub lost_after: Duration,
    /// Fraction of the capacity of the remaining replicas below which demand must be before a
    /// replica is removed.
    pub scale_down_threshold: f64,
    /// Moves wait for sustained demand and for the end of the cooldown.
    pub hysteresis: bool,
    /// Replaces replicas on lost targets.
    pub replace: bool,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            scale_up_delay: Duration::from_secs(30),
            scale_down_delay: Duration::from_secs(600),
            move_cooldown: Duration::from_secs(120),
            lost_after: Duration::from_secs(10),
            scale_down_threshold: 0.7,
            hysteresis: true,
            replace: true,
        }
    }
}

/// A model to place.
#[derive(Clone, Debug)]
pub struct PlacedModel {
    /// The model.
    pub model: ModelName,
    /// Number of waiting and running requests.
    pub demand: f64,
    /// Number of requests that one replica serves at a time.
    pub per_replica: f64,
    /// Smallest number of replicas, at least 1.
    pub min_replicas: usize,
}

/// A target on which models can be loaded.
#[derive(Clone, Debug)]
pub struct PlacedTarget {
    /// The target.
    pub name: TargetName,
    /// Number of models that the target can have loaded.
    pub capacity: usize,
    /// Whether the target takes work.
    pub live: bool,
}

#[derive(Clone, Debug, Default)]
struct Replicas {
    targets: BTreeSet<TargetName>,
    above_since: Option<Time>,
    below_since: Option<Time>,
    moved_at: Option<Time>,
}

/// The placement of models in a failure domain. It keeps the replicas of each model; a new lead
/// adopts them from the models that the targets have loaded.
#[derive(Clone, Debug)]
pub struct Placement {
    settings: PlacementSettings,
    models: BTreeMap<ModelName, Replicas>,
    absent: BTreeMap<TargetName, Time>,
    moves: u64,
}

impl Placement {
    /// Creates an empty placement.
    pub fn new(settings: PlacementSettings) -> Self {
        Self { settings, models: BTreeMap::new(), absent: BTreeMap::new(), moves: 0 }
    }

    /// Returns the number of replicas that were added or removed.
    pub fn moves(&self) -> u64 {
        self.moves
    }

    /// Records that a target has a model loaded, so that the model stays there.
    pub fn adopt(&mut self, model: &ModelName, target: &TargetName) {
        self.models.entry(model.clone()).or_default().targets.insert(target.clone());
    }

    /// Returns the models that each live target should have loaded.
    pub fn plan(
        &mut self,
        models: &[PlacedModel],
        targets: &[PlacedTarget],
        now: Time,
    ) -> BTreeMap<TargetName, BTreeSet<ModelName>> {
        self.record_absent(targets, now);
        self.models.retain(|name, _| models.iter().any(|model| model.model == *name));
        for model in models {
            self.models.entry(model.model.clone()).or_default();
            self.drop_lost(model, now);
            self.add_required(model, targets, now);
            self.adjust_to_demand(model, targets, now);
        }
        let mut plan: BTreeMap<TargetName, BTreeSet<ModelName>> = targets
            .iter()
            .filter(|target| target.live)
            .map(|target| (target.name.clone(), BTreeSet::new()))
            .collect();
        for (model, replicas) in &self.models {
            for target in &replicas.targets {
                if let Some(held) = plan.get_mut(target) {
                    held.insert(model.clone());
                }
            }
        }
        plan
    }

    fn record_absent(&mut self, targets: &[PlacedTarget], now: Time) {
        let live =
            |name: &TargetName| targets.iter().any(|target| target.live && target.name == *name);
        let held = self.models.values().flat_map(|replicas| replicas.targets.iter());
        let missing: BTreeSet<TargetName> = held.filter(|name| !live(name)).cloned().collect();
        self.absent.retain(|name, _| missing.contains(name));
        for name in missing {
            self.absent.entry(name).or_insert(now);
        }
    }

    fn drop_lost(&mut self, model: &PlacedModel, now: Time) {
        let Some(replicas) = self.models.get_mut(&model.model) else { return };
        let (absent, wait) = (&self.absent, self.settings.lost_after);
        if self.settings.replace {
            replicas
                .targets
                .retain(|name| absent.get(name).is_none_or(|since| now.since(*since) < wait));
        }
    }

    /// Adds replicas up to the minimum without waiting for the cooldown, since a model without a
    /// replica is not served at all.
    fn add_required(&mut self, model: &PlacedModel, targets: &[PlacedTarget], now: Time) {
        while self.replica_count(&model.model) < model.min_replicas.max(1) {
            if !self.add(model, targets, now) {
                return;
            }
        }
    }

    fn adjust_to_demand(&mut self, model: &PlacedModel, targets: &[PlacedTarget], now: Time) {
        let count = self.replica_count(&model.model);
        let max_demand = count as f64 * model.per_replica;
        let rest = max_demand - model.per_replica;
        let above = model.demand > max_demand;
        let below = count > model.min_replicas.max(1)
            && model.demand < rest * self.settings.scale_down_threshold;
        let hysteresis = self.settings.hysteresis;
        let (scale_up_delay, scale_down_delay) =
            (self.settings.scale_up_delay, self.settings.scale_down_delay);
        let cooldown = self.settings.move_cooldown;
        let Some(replicas) = self.models.get_mut(&model.model) else { return };
        let since = |mark: &mut Option<Time>, holds: bool| {
            *mark = holds.then(|| mark.unwrap_or(now));
            mark.map(|since| now.since(since))
        };
        let above = since(&mut replicas.above_since, above);
        let below = since(&mut replicas.below_since, below);
        let paused = replicas.moved_at.is_some_and(|moved| now.since(moved) < cooldown);
        if hysteresis && paused {
            return;
        }
        let lasted = |held: Option<Duration>, wait: Duration| {
            held.is_some_and(|held| !hysteresis || held >= wait)
        };
        if lasted(above, scale_up_delay) {
            self.add(model, targets, now);
        } else if lasted(below, scale_down_delay) {
            self.remove(model, now);
        }
    }

    fn replica_count(&self, model: &ModelName) -> usize {
        self.models.get(model).map_or(0, |replicas| replicas.targets.len())
    }

    fn model_count(&self, target: &TargetName) -> usize {
        self.models.values().filter(|replicas| replicas.targets.contains(target)).count()
    }

    /// Places a replica on the live target with the most free capacity. Returns whether there was
    /// such a target.
    fn add(&mut self, model: &PlacedModel, targets: &[PlacedTarget], now: Time) -> bool {
        let Some(replicas) = self.models.get(&model.model) else { return false };
        let free =
            |target: &PlacedTarget| target.capacity.saturating_sub(self.model_count(&target.name));
        let best = targets
            .iter()
            .filter(|target| target.live && !replicas.targets.contains(&target.name))
            .filter(|target| free(target) > 0)
            .max_by(|a, b| free(a).cmp(&free(b)).then(b.name.cmp(&a.name)));
        let Some(best) = best.map(|target| target.name.clone()) else { return false };
        self.record_move(&model.model, now, |held| {
            held.insert(best);
        });
        true
    }

    /// Removes the replica on the target with the most models. At least `min_replicas` replicas
    /// stay.
    fn remove(&mut self, model: &PlacedModel, now: Time) {
        let Some(replicas) = self.models.get(&model.model) else { return };
        if replicas.targets.len() <= model.min_replicas.max(1) {
            return;
        }
        let fullest =
            replicas.targets.iter().max_by_key(|target| self.model_count(target)).cloned();
        self.record_move(&model.model, now, |held| {
            if let Some(target) = &fullest {
                held.remove(target);
            }
        });
    }

    fn record_move(
        &mut self,
        model: &ModelName,
        now: Time,
        change: impl FnOnce(&mut BTreeSet<TargetName>),
    ) {
        let Some(replicas) = self.models.get_mut(model) else { return };
        change(&mut replicas.targets);
        replicas.moved_at = Some(now);
        replicas.above_since = None;
        replicas.below_since = None;
        self.moves += 1;
    }
}
