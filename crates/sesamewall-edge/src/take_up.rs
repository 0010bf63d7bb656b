//! Finds out where a stream may go on that a client takes up again, and chooses targets there.
//!
//! What the targets of two versions write doesn't fit together, so a stream goes on only at the
//! version that began it. Without that knowledge the request is refused and not run.

use std::sync::Arc;
use std::time::Duration;

use sesamewall_fleet::LookupEnd;
use sesamewall_fleet::PlacementError;
use sesamewall_fleet::TargetState;
use sesamewall_fleet::VersionFilter;
use sesamewall_fleet::is_comparable;
use sesamewall_fleet::stream_key;
use sesamewall_fleet::version_key;
use sesamewall_protocol::Error;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use slog::info;

use crate::InstanceContext;
use crate::State;
use crate::caller_request::CallerRequest;
use crate::refusal::Refusal;
use crate::sole_version;
use crate::state_exchange;
use crate::version_run::ChosenTarget;

/// Longest wait for a place at a target of the version of a stream, and for a token of the account.
/// The places of other versions do not help, and those of a target become free every some hundred
/// milliseconds.
pub const PLACE_WAIT: Duration = Duration::from_millis(1000);

/// Interval between two tries to get a place or a token.
pub const PLACE_INTERVAL: Duration = Duration::from_millis(10);

/// Retry time sent to a client when a holder of the version's record was silent: it may be back by
/// then.
const SILENT_RETRY: Duration = Duration::from_millis(500);

/// Retry time sent to a client while no target of the service is known.
const NO_TARGET_RETRY: Duration = Duration::from_millis(500);

/// From where the version that began a stream is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display)]
enum VersionSource {
    #[display("local")]
    Local,
    #[display("holder")]
    Holder,
    #[display("sole version")]
    Sole,
    #[display("none")]
    Nothing,
}

/// What was found out about the version that began a stream.
struct Origin {
    /// Key of the version; `None` if it is unknown.
    version: Option<u64>,
    source: VersionSource,
    /// Whether a later lookup may succeed.
    silent: bool,
}

/// Finds the version that began the stream that the request takes up, and restricts the request to
/// its targets. Other requests stay as they are.
///
/// # Errors
///
/// Returns `Error::StreamVersionUnknown` if the version is not known, `Error::StreamVersionGone` if
/// no target has it any more, and `Error::NoTarget` if no target at all is known.
pub async fn prepare(
    context: &InstanceContext,
    request: &mut CallerRequest,
) -> Result<(), Refusal> {
    if !request.is_take_up() {
        return Ok(());
    }
    let started = context.now();
    let origin = find_origin(context, request).await;
    let result = restrict(context, request, &origin);
    let label = match (&result, origin.source) {
        (Ok(()), VersionSource::Local) => "local",
        (Ok(()), VersionSource::Holder) => "holder",
        (Ok(()), _) => "sole",
        (Err(refusal), _) if refusal.error == Error::StreamVersionUnknown => "unknown",
        (Err(_), _) => "gone",
    };
    context.metrics.take_ups.with_label_values(&[label]).inc();
    let now = context.now();
    info!(context.log, "stream taken up"; "request" => request.id_text(),
    "origin" => request.origin(), "after" => request.last_event_id(),
    "begun_at" => request.continues.as_ref().map(|filter| &*filter.version),
    "version_key" => origin.version.map(|key| format!("{key:016x}")),
    "stream" => stream_of(request).map(|stream| format!("{stream:016x}")),
    "source" => %origin.source, "silent" => origin.silent, "service" => &*request.service,
    "waited_ms" => now.since(started).as_millis() as u64,
    "end" => match &result {
        Ok(()) => "goes on".to_owned(),
        Err(refusal) => refusal.error.to_string(),
    });
    result
}

async fn find_origin(context: &InstanceContext, request: &CallerRequest) -> Origin {
    let end = match stream_of(request) {
        Some(stream) => state_exchange::look_up(context, stream).await,
        None => (LookupEnd::Unknown { silent: false }, false),
    };
    let silent = match end {
        (LookupEnd::Known(version), local) => {
            let source = if local { VersionSource::Local } else { VersionSource::Holder };
            return Origin { version: Some(version), source, silent: false };
        }
        (LookupEnd::Conflicting, _) => {
            return Origin { version: None, source: VersionSource::Nothing, silent: false };
        }
        (LookupEnd::Unknown { silent }, _) => silent,
    };
    match sole_version::find(context, request).await {
        Some(version) => {
            Origin { version: Some(version_key(&version)), source: VersionSource::Sole, silent }
        }
        None => Origin { version: None, source: VersionSource::Nothing, silent },
    }
}

/// Returns the key of the stream that the request takes up.
fn stream_of(request: &CallerRequest) -> Option<u64> {
    let account = request.account.as_ref().map(|account| &account.name);
    request.origin().map(|origin| stream_key(account, origin))
}

/// Returns the key under which the version of the request's stream is recorded: that of the attempt
/// that brought its first event.
pub fn recorded_stream(request: &CallerRequest) -> Option<u64> {
    match request.is_take_up() {
        true => stream_of(request),
        false => {
            let account = request.account.as_ref().map(|account| &account.name);
            let id = request.id.to_str().ok().filter(|id| !id.is_empty());
            id.filter(|_| request.is_resumable()).map(|id| stream_key(account, id))
        }
    }
}

/// Restricts the request to the version of `origin`, at a service of its route that has it.
fn restrict(
    context: &InstanceContext,
    request: &mut CallerRequest,
    origin: &Origin,
) -> Result<(), Refusal> {
    let retry = origin.silent.then_some(SILENT_RETRY);
    let unknown = || Refusal { error: Error::StreamVersionUnknown, retry };
    let key = origin.version.ok_or_else(unknown)?;
    let state = context.state();
    let others = request.route.services.iter().filter(|(_, weight)| *weight > 0);
    let services = std::iter::once(&request.service).chain(others.map(|(service, _)| service));
    let services: Vec<Arc<str>> = services.cloned().collect();
    let targets = |service| state.targets.of_service(service);
    if services.iter().all(|service| targets(service).next().is_none()) {
        let model = request.route.name.to_string();
        return Err(Refusal::later(Error::NoTarget { model }, NO_TARGET_RETRY));
    }
    let found = services.iter().find_map(|service| {
        let mut serving =
            targets(service).filter(|target| may_serve(context, &state, request, target));
        let target = serving.find(|target| version_key(&target.entry.version) == key)?;
        Some((service.clone(), target.entry.version.clone()))
    });
    let (service, version) = found.ok_or_else(|| Refusal::new(Error::StreamVersionGone))?;
    if !is_comparable(&state.targets, &service, &version) {
        return Err(Refusal::new(Error::StreamVersionUnknown));
    }
    drop(state);
    request.service = service;
    request.continues = Some(VersionFilter::only(version));
    Ok(())
}

/// Returns whether a target may get the request now or soon: it has neither left nor is its failure
/// domain out of service.
fn may_serve(
    context: &InstanceContext,
    state: &State,
    request: &CallerRequest,
    target: &TargetState,
) -> bool {
    let in_region = request.regions().is_none_or(|set| {
        let region = context.settings.regions.get(&target.entry.domain);
        region.is_some_and(|region| set.contains(region))
    });
    in_region && state.targets.may_serve(target)
}

/// Returns whether the request has a target of the version, with a place or not, that is not in
/// `tried`.
pub fn has_target(
    context: &InstanceContext,
    request: &CallerRequest,
    filter: &VersionFilter,
    tried: &[TargetName],
) -> bool {
    let state = context.state();
    state.targets.of_service(&request.service).any(|target| {
        filter.allows(&target.entry.version)
            && !tried.contains(&target.entry.name)
            && may_serve(context, &state, request, target)
    })
}

/// Chooses a target for the next attempt. With a `filter` it waits for a place for a while, since
/// the targets of other versions cannot take the request.
///
/// # Errors
///
/// Returns why no target was chosen.
pub async fn choose(
    context: &Arc<InstanceContext>,
    request: &CallerRequest,
    filter: Option<&VersionFilter>,
    tried: &[TargetName],
) -> Result<ChosenTarget, PlacementError> {
    let until: Time = request.deadline.min(context.now() + PLACE_WAIT);
    loop {
        if let Some(filter) = filter
            && !is_comparable(&context.state().targets, &request.service, &filter.version)
        {
            return Err(PlacementError::NoTarget);
        }
        let reason = match (request.choose(context, filter, tried), filter) {
            (Err(reason), Some(filter)) if has_target(context, request, filter, tried) => reason,
            (result, _) => return result,
        };
        if context.now() >= until {
            return Err(match reason {
                // All targets of the version have failed a moment ago.
                PlacementError::NoTarget => PlacementError::Full,
                reason => reason,
            });
        }
        tokio::time::sleep(PLACE_INTERVAL).await;
    }
}
