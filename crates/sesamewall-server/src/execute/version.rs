//! The version of the targets that may go on with a stream.

use sesamewall_membership::Configuration;
use sesamewall_protocol::DomainMode;
use sesamewall_protocol::ModelName;
use sesamewall_protocol::TargetGroup;
use sesamewall_protocol::TargetName;

/// Returns the version of a target of `model`, empty if no target of its group declares one. `None`
/// means that it is not known: others declare one, and this target does not.
pub fn target_version(
    configuration: &Configuration,
    model: &ModelName,
    target: &TargetName,
) -> Option<String> {
    let group = configuration.group_for_model(model.as_str());
    let spec = group.and_then(|group| group.targets.iter().find(|spec| spec.name == *target));
    let version = spec.map(|spec| spec.version.clone()).unwrap_or_default();
    definite(configuration, model, version)
}

/// Returns `version` if it tells the targets of `model` apart. An empty one does not if some target
/// of the group declares a version.
pub fn definite(
    configuration: &Configuration,
    model: &ModelName,
    version: String,
) -> Option<String> {
    let group = configuration.group_for_model(model.as_str());
    let is_declared =
        |group: &TargetGroup| group.targets.iter().any(|spec| !spec.version.is_empty());
    (!version.is_empty() || !group.is_some_and(|group| is_declared(group))).then_some(version)
}

/// Returns the targets of `model` that must not go on with a stream of `version`; `None` if no target
/// may, since the version is not definite any more or all of its targets are out of service.
pub fn other_targets(
    configuration: &Configuration,
    model: &ModelName,
    version: &str,
) -> Option<Vec<TargetName>> {
    definite(configuration, model, version.to_owned())?;
    let Some(group) = configuration.group_for_model(model.as_str()) else {
        return Some(Vec::new());
    };
    let (own, others): (Vec<_>, Vec<_>) =
        group.targets.iter().partition(|spec| spec.version == version);
    let is_out = |domain: &str| configuration.domain_mode(domain) == DomainMode::Out;
    let is_gone = own.iter().all(|spec| spec.leaving || is_out(spec.domain.as_str()));
    match is_gone && !others.is_empty() {
        true => None,
        false => Some(others.into_iter().map(|spec| spec.name.clone()).collect()),
    }
}
