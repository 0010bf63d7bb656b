//! Admission of callers' requests while places at the targets are scarce.

use std::sync::Arc;
use std::time::Duration;

use sesamewall_fleet::AdmissionDecision;
use sesamewall_fleet::AdmissionRequest;
use sesamewall_fleet::Catalog;
use sesamewall_fleet::PlacementSettings;
use sesamewall_fleet::Room;
use sesamewall_fleet::SlotCheck;
use sesamewall_fleet::account_key;
use sesamewall_protocol::Time;
use slog::info;

use crate::InstanceContext;
use crate::State;
use crate::caller_request::CallerRequest;

/// Counts a request as one of its account until it is dropped.
pub struct HeldPlace {
    context: Arc<InstanceContext>,
    request: AdmissionRequest,
}

impl Drop for HeldPlace {
    fn drop(&mut self) {
        let now = self.context.now();
        self.context.state().admission.on_end(&self.request, now);
    }
}

fn admission_request(request: &CallerRequest) -> AdmissionRequest {
    let account = request.account.as_deref();
    AdmissionRequest {
        service: request.service.clone(),
        account: account.map_or(0, |account| account_key(&account.name)),
        weight: account.map_or(0.0, |account| account.rate),
        rank: Catalog::rank(&request.route, account),
        hash: request.hash,
    }
}

fn ranks_differ(state: &State) -> bool {
    state.catalog.as_deref().is_some_and(|catalog| catalog.ranks_differ)
}

/// Decides whether a request may take a place. Returns the decision that refuses it as an error.
pub fn admit(context: &InstanceContext, request: &CallerRequest) -> Result<(), AdmissionDecision> {
    let now = context.now();
    let admission_request = admission_request(request);
    let mut guard = context.state();
    let state = &mut *guard;
    let room = Room::of_service(
        &state.targets,
        &state.peers,
        &request.service,
        request.regions(),
        &context.settings.regions,
        PlacementSettings::default().queue,
        now,
    );
    let differ = ranks_differ(state);
    let decision = state.admission.decide(&admission_request, &room, differ, now);
    drop(guard);
    if decision.scarce {
        info!(context.log, "admission while places are scarce"; "request" => request.id_text(),
            "route" => &*request.route.name, "version" => request.version,
            "account" => request.account.as_ref().map(|account| account.name.to_string()),
            "rank" => admission_request.rank, "returning" => decision.returning,
            "free" => decision.free, "kept" => decision.kept, "held" => decision.held,
            "share" => decision.share, "places" => room.places(), "fronts" => room.fronts,
            "counts_ms" => room.age * 1000.0, "stale" => room.stale,
            "admitted" => decision.admitted);
    }
    match decision.admitted {
        true => Ok(()),
        false => {
            let rank = admission_request.rank.to_string();
            context.metrics.admission_refusals.with_label_values(&[&rank]).inc();
            Err(decision)
        }
    }
}

/// Counts a request that is about to be sent to its first target.
pub fn hold_place(context: &Arc<InstanceContext>, request: &CallerRequest) {
    request.place.get_or_init(|| {
        let held = admission_request(request);
        context.state().admission.on_start(&held);
        HeldPlace { context: context.clone(), request: held }
    });
}

/// Returns when a refused caller should return, and records the promise; `None` while ranks do not
/// differ and accounts do not compete.
pub fn promise_return(context: &InstanceContext, request: &CallerRequest) -> Option<Duration> {
    let now = context.now();
    let admission_request = admission_request(request);
    let remaining = request.deadline.since(now);
    let mut guard = context.state();
    let state = &mut *guard;
    let differ = ranks_differ(state);
    let draw = rand::random();
    let retry = state.admission.promise(&admission_request, remaining, differ, draw, now);
    drop(guard);
    let retry = retry?;
    info!(context.log, "return promised"; "request" => request.id_text(),
        "rank" => admission_request.rank, "left_ms" => remaining.as_millis() as u64,
        "expected_free" => retry.expected, "retry_ms" => retry.wait.as_millis() as u64);
    Some(retry.wait)
}

/// Observes the load, and removes old state. Returns the time slots with promised returns that have
/// passed.
pub fn on_tick(context: &InstanceContext, state: &mut State, now: Time) -> Vec<SlotCheck> {
    for service in state.admission.services() {
        let room = Room::of_service(
            &state.targets,
            &state.peers,
            &service,
            None,
            &context.settings.regions,
            PlacementSettings::default().queue,
            now,
        );
        state.admission.observe(&service, &room, now);
    }
    state.admission.on_tick(now)
}

/// Logs and counts what was expected of promised returns and what came.
pub fn log_checks(context: &InstanceContext, checks: &[SlotCheck]) {
    for check in checks {
        context.metrics.returns_promised.inc_by(u64::from(check.promised));
        context.metrics.returns_kept.inc_by(u64::from(check.kept));
        let error = check.expected.zip(check.observed).map(|(expected, seen)| expected - seen);
        if let Some(error) = error {
            context.metrics.return_error.observe(error.abs());
        }
        info!(context.log, "promised returns checked"; "promised" => check.promised,
            "kept" => check.kept, "expected_free" => check.expected, "free" => check.observed,
            "error" => error);
    }
}
