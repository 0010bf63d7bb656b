//! Checks the fields of one resource without looking at other resources.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use sesamewall_protocol::Account;
use sesamewall_protocol::Error;
use sesamewall_protocol::Key;
use sesamewall_protocol::Operation;
use sesamewall_protocol::RateLimit;
use sesamewall_protocol::Resource;
use sesamewall_protocol::ResourceKind;
use sesamewall_protocol::Result;
use sesamewall_protocol::Route;
use sesamewall_protocol::TargetGroup;
use sesamewall_protocol::TargetKind;

/// Limits the length of resource names.
pub const MAX_NAME_CHARS: usize = 64;

/// Limits the length of model names, which may contain an owner and a version.
pub const MAX_MODEL_CHARS: usize = 128;

/// Limits the operations of one change.
pub const MAX_OPERATIONS: usize = 1_000;

/// Limits the targets of one target group.
pub const MAX_TARGETS: usize = 1_024;

const MAX_PATTERNS: usize = 64;
const MAX_PATH_BYTES: usize = 1_024;

/// Returns the error for a field of the resource `kind` `name`.
pub(crate) fn invalid(
    kind: ResourceKind,
    name: &str,
    field: &str,
    detail: impl Into<String>,
) -> Error {
    Error::ResourceInvalid {
        kind: kind.to_string(),
        name: name.to_owned(),
        field: field.to_owned(),
        detail: detail.into(),
    }
}

/// Checks the fields of an operation.
///
/// # Errors
///
/// Returns `Error::ResourceInvalid` for the first field that is not allowed.
pub(crate) fn check_operation(operation: &Operation) -> Result<()> {
    match operation {
        Operation::Put(resource) => check_resource(resource),
        Operation::Delete { kind, name } => check_name(*kind, name, "name", name, MAX_NAME_CHARS),
    }
}

fn check_resource(resource: &Resource) -> Result<()> {
    let (kind, name) = (resource.kind(), resource.name());
    let field = if kind == ResourceKind::Key { "id" } else { "name" };
    check_name(kind, name, field, name, MAX_NAME_CHARS)?;
    match resource {
        Resource::Account(account) => check_account(account),
        Resource::Key(key) => check_key(key),
        Resource::Route(route) => check_route(route),
        Resource::TargetGroup(group) => check_group(group),
        Resource::Domain(_) => Ok(()),
    }
}

fn check_name(
    kind: ResourceKind,
    name: &str,
    field: &str,
    value: &str,
    max_chars: usize,
) -> Result<()> {
    let model = max_chars == MAX_MODEL_CHARS;
    let allowed = |c: char| {
        c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-') || (model && "/:@+".contains(c))
    };
    if (1..=max_chars).contains(&value.len()) && value.chars().all(allowed) {
        return Ok(());
    }
    let more = if model { ", `/`, `:`, `@`, `+`" } else { "" };
    let detail = format!("must have 1 to {max_chars} letters, digits, `.`, `_`, `-`{more}");
    Err(invalid(kind, name, field, detail))
}

fn check_account(account: &Account) -> Result<()> {
    let name = account.name.as_str();
    check_limit(name, "online", &account.online)?;
    if let Some(batch) = &account.batch {
        check_limit(name, "batch", batch)?;
    }
    if account.weight.is_finite() && account.weight > 0.0 {
        return Ok(());
    }
    Err(invalid(ResourceKind::Account, name, "weight", "must be finite and above 0"))
}

fn check_limit(name: &str, field: &str, limit: &RateLimit) -> Result<()> {
    if !(limit.rate.is_finite() && limit.rate > 0.0) {
        let field = format!("{field}.rate");
        let detail = "must be a finite number of requests a second above 0";
        return Err(invalid(ResourceKind::Account, name, &field, detail));
    }
    if !(limit.burst.is_finite() && limit.burst >= 1.0) {
        let field = format!("{field}.burst");
        let detail = "must be a finite number of requests of at least 1";
        return Err(invalid(ResourceKind::Account, name, &field, detail));
    }
    Ok(())
}

fn check_key(key: &Key) -> Result<()> {
    let kind = ResourceKind::Key;
    check_name(kind, &key.id, "account", key.account.as_str(), MAX_NAME_CHARS)?;
    let hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    if key.hash.len() == 64 && key.hash.chars().all(hex) {
        return Ok(());
    }
    let detail = "must be a SHA-256 in 64 lower-case hexadecimal digits";
    Err(invalid(kind, &key.id, "hash", detail))
}

fn check_route(route: &Route) -> Result<()> {
    let kind = ResourceKind::Route;
    let fail = |field: &str, detail: &str| Err(invalid(kind, &route.name, field, detail));
    check_name(kind, &route.name, "group", &route.group, MAX_NAME_CHARS)?;
    if route.host.is_none() && route.prefix.is_none() {
        return fail("host", "a route must have a host, a path prefix or both");
    }
    if !route.host.as_deref().is_none_or(is_host) {
        return fail("host", "must be 1 to 253 letters, digits, `.` or `-`, without a port");
    }
    if !route.prefix.as_deref().is_none_or(is_path) {
        return fail("prefix", "must be a path that starts with `/`, without spaces, `?` and `#`");
    }
    if route.once_methods.len() > MAX_PATTERNS || route.once_paths.len() > MAX_PATTERNS {
        return fail("once_paths", "at most 64 methods and 64 path prefixes are allowed");
    }
    let method = |text: &String| {
        (1..=32).contains(&text.len()) && text.chars().all(|c| c.is_ascii_uppercase() || c == '-')
    };
    if !route.once_methods.iter().all(method) {
        return fail("once_methods", "must be HTTP methods in upper case");
    }
    if !route.once_paths.iter().all(|path| is_path(path)) {
        return fail(
            "once_paths",
            "must be paths that start with `/`, without spaces, `?` and `#`",
        );
    }
    Ok(())
}

fn is_host(text: &str) -> bool {
    (1..=253).contains(&text.len())
        && text.chars().all(|c| c.is_ascii_alphanumeric() || c == '.' || c == '-')
}

fn is_path(text: &str) -> bool {
    text.starts_with('/')
        && text.len() <= MAX_PATH_BYTES
        && text.chars().all(|c| c.is_ascii_graphic() && c != '?' && c != '#')
}

fn check_group(group: &TargetGroup) -> Result<()> {
    let kind = ResourceKind::TargetGroup;
    let fail = |field: &str, detail: &str| Err(invalid(kind, &group.name, field, detail));
    match group.target_kind {
        TargetKind::Engine if group.models.is_empty() => {
            return fail("models", "a group of engines must name at least one model");
        }
        TargetKind::Service if !group.models.is_empty() => {
            return fail("models", "must be empty for plain services");
        }
        _ => {}
    }
    let mut models = BTreeSet::new();
    for model in &group.models {
        check_name(kind, &group.name, "models", model.as_str(), MAX_MODEL_CHARS)?;
        if !models.insert(model) {
            return fail("models", "each model may be named once");
        }
    }
    if group.limit == 0 {
        return fail("limit", "must be at least 1");
    }
    if let Some(placement) = &group.placement {
        if group.target_kind == TargetKind::Service {
            return fail("placement", "must be absent for plain services");
        }
        let numbers = [
            ("placement.models_per_target", placement.models_per_target),
            ("placement.least_replicas", placement.least_replicas),
            ("placement.requests_per_replica", placement.requests_per_replica),
        ];
        if let Some((field, _)) = numbers.iter().find(|(_, number)| *number == 0) {
            return fail(field, "must be at least 1");
        }
    }
    if group.targets.len() > MAX_TARGETS {
        return fail("targets", &format!("at most {MAX_TARGETS} targets are allowed"));
    }
    check_targets(group)
}

fn check_targets(group: &TargetGroup) -> Result<()> {
    let kind = ResourceKind::TargetGroup;
    let mut names = BTreeSet::new();
    for (index, target) in group.targets.iter().enumerate() {
        let field = |name: &str| format!("targets[{index}].{name}");
        let (name, domain) = (target.name.as_str(), target.domain.as_str());
        check_name(kind, &group.name, &field("name"), name, MAX_NAME_CHARS)?;
        check_name(kind, &group.name, &field("domain"), domain, MAX_NAME_CHARS)?;
        if !target.version.is_empty() {
            let version = &target.version;
            check_name(kind, &group.name, &field("version"), version, MAX_NAME_CHARS)?;
        }
        if !names.insert(name) {
            let detail = format!("target name `{name}` is used twice; names must be unique");
            return Err(invalid(kind, &group.name, &field("name"), detail));
        }
        if !is_address(&target.address) {
            let detail = "must be `http://IP:PORT` with an IP number and a port above 0";
            return Err(invalid(kind, &group.name, &field("address"), detail));
        }
    }
    Ok(())
}

fn is_address(text: &str) -> bool {
    text.strip_prefix("http://")
        .and_then(|rest| rest.parse::<SocketAddr>().ok())
        .is_some_and(|address| address.port() > 0)
}
