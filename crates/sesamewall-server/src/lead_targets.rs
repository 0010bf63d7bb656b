//! Derives from the configuration the targets that the lead of a failure domain schedules.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use sesamewall_membership::Configuration;
use sesamewall_protocol::DomainMode;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::ModelName;
use sesamewall_protocol::TargetGroup;
use sesamewall_protocol::TargetName;
use sesamewall_schedule::Config;
use sesamewall_schedule::TargetInfo;

/// Returns the scheduler's configuration for a failure domain.
pub fn targets_of(configuration: &Configuration, domain: &DomainName) -> Config {
    let targets = configuration
        .groups()
        .flat_map(|group| {
            let local = group.targets.iter().filter(|target| target.domain == *domain);
            local.map(|target| TargetInfo {
                name: target.name.clone(),
                address: target.address.clone(),
                models: models_of(group),
                max_limit: group.limit,
                leaving: target.leaving,
            })
        })
        .collect();
    let domain_out = configuration.domain_mode(domain.as_str()) == DomainMode::Out;
    Config { targets, domain_out }
}

/// A plain service is scheduled under the name of its group.
fn models_of(group: &TargetGroup) -> Vec<ModelName> {
    let mut models = group.models.clone();
    models.push(ModelName::from(group.name.as_str()));
    models
}

/// The loaded models of each target under placement.
pub type Loaded = BTreeMap<TargetName, BTreeSet<ModelName>>;

/// Holds the loaded models.
#[derive(Debug, Default)]
pub struct LoadedModels {
    loaded: Mutex<Loaded>,
}

impl LoadedModels {
    /// Locks and returns the loaded models.
    pub fn lock(&self) -> MutexGuard<'_, Loaded> {
        self.loaded.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the loaded models and returns whether they changed.
    pub fn replace(&self, loaded: Loaded) -> bool {
        let mut held = self.lock();
        let changed = *held != loaded;
        *held = loaded;
        changed
    }
}

/// Restricts the models of each target under placement to the loaded ones, so that no request is
/// sent to a target that has not loaded its model.
pub fn retain_loaded(config: &mut Config, loaded: &Loaded) {
    for target in &mut config.targets {
        if let Some(models) = loaded.get(&target.name) {
            target.models.retain(|model| models.contains(model));
        }
    }
}
