//! Reads resources of a configuration for the operators' API.

use sesamewall_membership::Configuration;
use sesamewall_protocol::Change;
use sesamewall_protocol::Error;
use sesamewall_protocol::Operation;
use sesamewall_protocol::Resource;
use sesamewall_protocol::ResourceKind;
use sesamewall_protocol::Result;

/// Returns the resources of one kind, or of all kinds.
pub(super) fn list(configuration: &Configuration, kind: Option<ResourceKind>) -> Vec<Resource> {
    let mut found = configuration.resources();
    found.retain(|resource| kind.is_none_or(|kind| resource.kind() == kind));
    found
}

/// Returns one resource.
pub(super) fn find(
    configuration: &Configuration,
    kind: ResourceKind,
    name: &str,
) -> Result<Resource> {
    configuration.resource(kind, name).ok_or_else(|| not_found(kind, name))
}

/// Returns the operations that lead from one configuration to a later one.
pub(super) fn diff(from: &Configuration, to: &Configuration) -> Vec<Operation> {
    from.diff(to)
}

/// Returns the operations by which putting `resources` would change the configuration.
pub(super) fn diff_put(
    configuration: &Configuration,
    resources: Vec<Resource>,
) -> Result<Vec<Operation>> {
    let operations: Vec<_> = resources.into_iter().map(Operation::Put).collect();
    let next = configuration.apply(&Change {
        revision: configuration.revision() + 1,
        token: String::new(),
        author: String::new(),
        at_ms: 0,
        operations,
    })?;
    Ok(configuration.diff(&next))
}

/// Returns the error for a resource that does not exist.
pub(super) fn not_found(kind: ResourceKind, name: &str) -> Error {
    Error::NotFound { kind: kind.to_string(), id: name.to_owned() }
}

/// Reads the kind of a resource, in singular or plural. Rates are part of accounts.
pub(super) fn parse_kind(text: &str) -> Result<ResourceKind> {
    match text.strip_suffix('s').unwrap_or(text) {
        "account" | "rate" => Ok(ResourceKind::Account),
        "key" => Ok(ResourceKind::Key),
        "route" => Ok(ResourceKind::Route),
        "target-group" => Ok(ResourceKind::TargetGroup),
        "domain" => Ok(ResourceKind::Domain),
        _ => Err(Error::FieldInvalid {
            field: "kind".to_owned(),
            detail: format!(
                "`{text}` is not a kind; allowed are account, rate, key, route, target-group, \
                 domain (jobs are at /api/jobs)"
            ),
        }),
    }
}
