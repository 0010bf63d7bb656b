//! Chooses targets by version during a rollout, and counts how requests end there.

use std::sync::Arc;
use std::time::Duration;

use sesamewall_fleet::Placement;
use sesamewall_fleet::PlacementContext;
use sesamewall_fleet::PlacementError;
use sesamewall_fleet::PlacementRequest;
use sesamewall_fleet::PlacementSettings;
use sesamewall_fleet::RolloutPhase;
use sesamewall_fleet::RolloutSettings;
use sesamewall_fleet::StartLimits;
use sesamewall_fleet::VersionChoice;
use sesamewall_fleet::VersionFilter;
use sesamewall_fleet::VersionRun;
use sesamewall_fleet::VersionSide;
use sesamewall_fleet::place;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;

use crate::InstanceContext;
use crate::State;
use crate::instance_context::wall_millis;

/// The target chosen for a request.
pub struct ChosenTarget {
    /// The target.
    pub placement: Placement,
    /// The request as it is counted; `None` if its service has no rollout.
    pub run: Option<CountedRun>,
}

/// A request that was sent during a rollout. It is counted once it ends with a response or a failure;
/// one that was not run, was taken back or has lost its caller is dropped.
pub struct CountedRun {
    context: Arc<InstanceContext>,
    run: VersionRun,
    service: Arc<str>,
    route: Arc<str>,
    version: Arc<str>,
    sent_at: Time,
    /// Whether times count: the target is neither cold nor young.
    timed: bool,
    /// Whether the time of the whole response does not count.
    partial: bool,
    begun: bool,
    ended: bool,
}

impl CountedRun {
    /// Returns whether the request was sent to the new version.
    pub fn is_new(&self) -> bool {
        self.run.is_new()
    }

    /// Returns whether the request may still be sent to the version for which it was chosen: no halt
    /// or promotion has become known since.
    pub fn is_allowed(&self) -> bool {
        let now = self.context.now();
        let state = self.context.state();
        let rollouts = &state.rollouts;
        let phase = rollouts.order(&self.service).and_then(|(_, phase)| phase);
        match rollouts.version_choice(&self.service, &self.route, &state.targets, now) {
            // In a trial the share of the new version includes this request.
            _ if phase == Some(RolloutPhase::Trial) => true,
            VersionChoice::Only(filter) => filter.allows(&self.version),
            VersionChoice::Any | VersionChoice::Trial { .. } => true,
        }
    }

    /// Leaves out the time of the whole response: it is the rest of one that another target has
    /// begun, or no success.
    pub fn skip_whole_time(&mut self) {
        self.partial = true;
    }

    /// Counts the first event or a complete body.
    pub fn on_begun(&mut self) {
        if !self.begun && !self.ended {
            self.begun = true;
            let time = self.time();
            self.context.state().rollouts.on_first_event(&self.run, time);
        }
    }

    /// Counts the end of the response.
    pub fn on_end(&mut self, failed: bool) {
        if self.ended {
            return;
        }
        self.ended = true;
        let time = self.time().filter(|_| !self.partial);
        self.context.state().rollouts.on_outcome(&self.run, failed, time);
        if failed {
            let labels = [&*self.service, version_label(self.is_new())];
            self.context.metrics.rollout_bad.with_label_values(&labels).inc();
        }
    }

    fn time(&self) -> Option<Duration> {
        self.timed.then(|| self.context.now().since(self.sent_at))
    }
}

/// Returns the value of the metrics label for a side of a rollout.
fn version_label(is_new: bool) -> &'static str {
    if is_new { "new" } else { "old" }
}

/// Returns whether a target in `tried` has the version of `new`: another attempt of the same request
/// goes to the old version.
fn has_tried(state: &State, new: &VersionFilter, tried: &[TargetName]) -> bool {
    let is_new = |name| state.targets.get(name).is_some_and(|t| t.entry.version == new.version);
    tried.iter().any(is_new)
}

/// Places a request at a target of the versions that it may use.
fn place_in(
    context: &InstanceContext,
    state: &State,
    request: &PlacementRequest<'_>,
    choice: &VersionChoice,
    now: Time,
) -> Result<Placement, PlacementError> {
    let catalog = state.catalog.as_deref();
    let service = catalog.and_then(|catalog| catalog.service(request.service));
    let rate = service.map_or(0.0, |service| service.cold_rate);
    let limits = &context.settings.platform_limits;
    let coverage = state.fleet_coverage(now);
    let placement_context = PlacementContext {
        table: &state.targets,
        peers: &state.peers,
        regions: &context.settings.regions,
        start_limits: StartLimits::new(rate, limits.cold_factor, limits.cold_extra, coverage),
        coverage,
        now,
        staleness: state.peers.staleness(now),
        draw: rand::random(),
        flow: state.flows.get(request.service),
    };
    let place_among = |versions| {
        let request = PlacementRequest { versions, ..request.clone() };
        place(&PlacementSettings::default(), &request, &placement_context)
    };
    match choice {
        VersionChoice::Any => place_among(None),
        VersionChoice::Only(filter) => place_among(Some(filter)),
        VersionChoice::Trial { new, old } if has_tried(state, new, request.exclude) => {
            place_among(Some(old))
        }
        VersionChoice::Trial { new, old } => {
            place_among(Some(new)).or_else(|_| place_among(Some(old)))
        }
    }
}

/// Returns whether a request of `route` has a place at a target. Nothing is counted.
pub fn has_place(context: &InstanceContext, request: &PlacementRequest<'_>, route: &str) -> bool {
    let now = context.now();
    let state = context.state();
    let choice = state.rollouts.version_choice(request.service, route, &state.targets, now);
    place_in(context, &state, request, &choice, now).is_ok()
}

/// Chooses a target for a request of `route` from the state that this instance currently has, and
/// counts the request at its version. The choice and the count are one step, so that requests that
/// are chosen at the same time stay within the share of the new version together.
pub fn choose(
    context: &Arc<InstanceContext>,
    request: &PlacementRequest<'_>,
    route: &str,
    batch: bool,
) -> Result<ChosenTarget, PlacementError> {
    let now = context.now();
    let mut guard = context.state();
    let state = &mut *guard;
    let choice = state.rollouts.version_choice(request.service, route, &state.targets, now);
    let placement = place_in(context, state, request, &choice, now)?;
    if choice == VersionChoice::Any {
        return Ok(ChosenTarget { placement, run: None });
    }
    let target = state.targets.get(&placement.name);
    let version = target.map(|target| target.entry.version.clone()).unwrap_or_default();
    let age = target.map(|target| wall_millis().saturating_sub(target.entry.started_ms));
    let min_age = RolloutSettings::default().min_age.as_millis() as u64;
    let timed = target.is_some_and(|target| !target.is_cold(now)) && age >= Some(min_age);
    let run = state.rollouts.on_sent(request.service, route, batch, &version);
    drop(guard);
    let run = run.map(|run| {
        let labels = [request.service, version_label(run.is_new())];
        context.metrics.rollout_requests.with_label_values(&labels).inc();
        CountedRun {
            context: context.clone(),
            run,
            service: request.service.into(),
            route: route.into(),
            version,
            sent_at: now,
            timed,
            partial: false,
            begun: false,
            ended: false,
        }
    });
    Ok(ChosenTarget { placement, run })
}

/// Chooses a target of one version for the rest of a response that a target of this version has
/// begun. A rollout's choice applies to new requests only, so the request is not counted in it.
pub fn choose_version(
    context: &Arc<InstanceContext>,
    request: &PlacementRequest<'_>,
    version: &Arc<str>,
) -> Result<ChosenTarget, PlacementError> {
    let filter = VersionFilter {
        version: version.clone(),
        side: VersionSide::New,
        banned: Vec::new(),
        concentrate: false,
    };
    let now = context.now();
    let state = context.state();
    let placement = place_in(context, &state, request, &VersionChoice::Only(filter), now)?;
    Ok(ChosenTarget { placement, run: None })
}
