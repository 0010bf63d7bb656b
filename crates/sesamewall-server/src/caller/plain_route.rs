//! Calls on routes to plain HTTP services.

use sesamewall_membership::Configuration;
use sesamewall_protocol::Class;
use sesamewall_protocol::Error;
use sesamewall_protocol::ModelName;
use sesamewall_protocol::Result;
use sesamewall_protocol::Route;
use sesamewall_schedule::body_hash;

use super::headers;
use crate::ItemRequest;
use crate::execute::Call;

/// Methods that may be repeated because they are idempotent (RFC 9110, section 9.2.2).
const IDEMPOTENT_METHODS: [&str; 6] = ["GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"];

/// Returns whether a call on a route may be repeated after an unknown outcome.
pub fn is_idempotent(route: &Route, method: &str, path: &str) -> bool {
    let once = route.once_methods.iter().any(|marked| marked.eq_ignore_ascii_case(method))
        || route.once_paths.iter().any(|marked| path.starts_with(marked));
    !once && IDEMPOTENT_METHODS.iter().any(|known| known.eq_ignore_ascii_case(method))
}

/// Returns the path and the query of an item without credentials.
fn clean_path(configuration: &Configuration, path: &str) -> Result<String> {
    let uri = path.parse().map_err(|_| Error::RouteUnknown { path: path.to_owned() })?;
    Ok(headers::clean_query(configuration, &uri))
}

/// Returns the call of a batch item on a plain route.
///
/// # Errors
///
/// Returns `Error::RouteUnknown` if no route matches the path.
pub fn plain_route_call(configuration: &Configuration, item: &ItemRequest) -> Result<Call> {
    let route = configuration
        .route(None, &item.path)
        .ok_or_else(|| Error::RouteUnknown { path: item.path.clone() })?;
    let size = item.body.len() as u64;
    Ok(Call {
        request: item.request.clone(),
        account: Some(item.account.clone()),
        class: Class::Batch,
        model: ModelName::from(route.group.as_str()),
        method: item.method.clone(),
        path: clean_path(configuration, &item.path)?,
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        body: item.body.clone(),
        digest: body_hash(&item.body),
        prompt: 1 + size / 1024,
        work: 1 + size / 1024,
        prefix: Vec::new(),
        idempotent: is_idempotent(route, &item.method, &item.path),
        forwarded: false,
        no_wait: false,
        resume_from: 0,
        resume_version: String::new(),
        urgent: item.urgent,
        trace: Some(item.trace.clone()),
        cancel: item.cancel.clone(),
    })
}
