//! The targets that the lead of a failure domain admits to, from the configuration.

use sesamewall_membership::Configuration;
use sesamewall_protocol::DomainMode;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::ModelName;
use sesamewall_protocol::TargetGroup;
use sesamewall_schedule::Config;
use sesamewall_schedule::TargetInfo;

/// Returns the scheduler's configuration for a failure domain.
pub fn targets_of(configuration: &Configuration, domain: &DomainName) -> Config {
    let targets = configuration
        .groups()
        .flat_map(|group| {
            let own = group.targets.iter().filter(|target| target.domain == *domain);
            own.map(|target| TargetInfo {
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
