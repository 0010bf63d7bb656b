//! Chooses the targets at which a stream goes on.
//!
//! What the targets of two versions write doesn't fit together, so a stream goes on only at the
//! version that began it.

use std::sync::Arc;
use std::time::Duration;

use sesamewall_fleet::PlacementError;
use sesamewall_fleet::TargetState;
use sesamewall_fleet::VersionFilter;
use sesamewall_fleet::is_comparable;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;

use crate::InstanceContext;
use crate::State;
use crate::caller_request::CallerRequest;
use crate::version_run::ChosenTarget;

/// Longest wait for a place at a target of the version of a stream. The places of other versions do
/// not help, and those of a target become free every some hundred milliseconds.
const PLACE_WAIT: Duration = Duration::from_millis(1000);

/// Interval between two tries to get a place.
const PLACE_INTERVAL: Duration = Duration::from_millis(10);

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
