//! Decides whether a request may take a place, and when a refused caller should return.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sesamewall_protocol::Time;

use super::account_demand::AccountDemand;
use super::load_phases::LoadPhases;
use super::load_phases::PhaseSettings;
use super::promised_returns::PromisedReturns;
use super::promised_returns::SlotCheck;
use super::return_schedule::RetryTime;
use super::return_schedule::ReturnSettings;
use super::return_schedule::choose_return;
use super::room::Room;

/// Settings of admission.
#[derive(Clone, Debug)]
pub struct AdmissionSettings {
    /// Free fraction of the places below which they are scarce.
    pub scarce: f64,
    /// Time over which arrivals and requests of accounts are counted.
    pub window: Duration,
    /// Time for whose arrivals places are kept for those that go first. The age of the counts is
    /// added.
    pub horizon: Duration,
    /// Settings of the observation of the load.
    pub phases: PhaseSettings,
    /// Settings of the times at which refused callers should return.
    pub returns: ReturnSettings,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            scarce: 0.25,
            window: Duration::from_secs(2),
            horizon: Duration::from_millis(100),
            phases: PhaseSettings::default(),
            returns: ReturnSettings::default(),
        }
    }
}

/// A request that asks for a place.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Service of the request.
    pub service: Arc<str>,
    /// Key of the account, from `account_key`; 0 without one.
    pub account: u32,
    /// Weight of the account within its rank; 0 counts as 1.
    pub weight: f64,
    /// Rank of the request; 0 is the highest.
    pub rank: u32,
    /// Hash that recognises a request that the caller sends again.
    pub hash: u64,
}

/// Whether a request may take a place, and the inputs of the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionDecision {
    /// The request may take a place.
    pub admitted: bool,
    /// The caller returns as promised.
    pub returning: bool,
    /// Places are scarce, and ranks differ or accounts compete.
    pub scarce: bool,
    /// Free places.
    pub free: f64,
    /// Places kept for those that go first.
    pub kept: f64,
    /// Requests that the account holds at this instance.
    pub held: f64,
    /// Fair share of the account.
    pub share: f64,
}

#[derive(Clone, Debug, Default)]
struct ServiceState {
    demand: AccountDemand,
    phases: LoadPhases,
    promised: PromisedReturns,
}

/// Admission at one instance, by service.
#[derive(Clone, Debug, Default)]
pub struct AdmissionControl {
    settings: AdmissionSettings,
    services: HashMap<Arc<str>, ServiceState>,
}

impl AdmissionControl {
    /// Creates the state of a newly started process.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self { settings, services: HashMap::new() }
    }

    /// Decides about a request, and counts it as an arrival. `ranks_differ` is true if the
    /// configuration has more than one rank.
    pub fn decide(
        &mut self,
        request: &AdmissionRequest,
        room: &Room,
        ranks_differ: bool,
        now: Time,
    ) -> AdmissionDecision {
        let settings = &self.settings;
        let window = settings.window;
        let state = service_state(&mut self.services, settings, &request.service);
        let AdmissionRequest { account, weight, rank, hash, .. } = *request;
        state.demand.on_arrival(rank, account, weight, window, now);
        let returning = state.promised.take(hash, now);
        let room = match room.stale {
            true => room.own_part(state.demand.in_flight()),
            false => *room,
        };
        state.observe(&room, now);
        let free = room.free();
        let competing = ranks_differ || state.demand.active_accounts() > 1;
        let scarce = competing && room.free_fraction() < settings.scarce;
        let mut decision = AdmissionDecision {
            admitted: true,
            returning,
            scarce,
            free,
            kept: 0.0,
            held: 0.0,
            share: 0.0,
        };
        if !scarce {
            return decision;
        }
        let fronts = f64::from(room.fronts);
        let share = state.demand.share(rank, account, free / fronts, window, now);
        let over = share.is_over();
        let horizon = settings.horizon.as_secs_f64();
        let higher = state.demand.rate(|other| other < rank, window, now);
        let owed = if over { share.owed_rate } else { 0.0 };
        let goes_before_new = returning && !over;
        let returns = match goes_before_new {
            true => 0.0,
            false => state.promised.rate(rank, now),
        };
        let first = (higher + owed + returns) * horizon;
        let all = state.demand.rate(|_| true, window, now);
        decision.kept = match first {
            first if first > 0.0 => {
                (fronts * (first + all * room.age)).min(f64::from(room.waiting))
            }
            _ => 0.0,
        };
        decision.held = share.held;
        decision.share = share.share;
        // With nothing kept, placement decides as it does without admission.
        decision.admitted = decision.kept <= 0.0 || free > decision.kept;
        decision
    }

    /// Counts a request that is about to be sent.
    pub fn on_start(&mut self, request: &AdmissionRequest) {
        if let Some(state) = self.services.get_mut(&request.service) {
            state.demand.on_start(request.rank, request.account);
        }
    }

    /// Counts the end of a request that was counted by `on_start`.
    pub fn on_end(&mut self, request: &AdmissionRequest, now: Time) {
        if let Some(state) = self.services.get_mut(&request.service) {
            state.demand.on_end(request.rank, request.account, self.settings.window, now);
        }
    }

    /// Returns when a refused caller should return that has `remaining` time left, and records the
    /// promise. Returns `None` while ranks do not differ and accounts do not compete. `draw` is a
    /// random number.
    pub fn promise(
        &mut self,
        request: &AdmissionRequest,
        remaining: Duration,
        ranks_differ: bool,
        draw: u64,
        now: Time,
    ) -> Option<RetryTime> {
        let settings = &self.settings;
        let state = service_state(&mut self.services, settings, &request.service);
        if !ranks_differ && state.demand.active_accounts() <= 1 {
            return None;
        }
        let ServiceState { phases, promised, .. } = state;
        let retry = choose_return(&settings.returns, phases, promised, remaining, draw, now);
        promised.add(request.hash, request.rank, now + retry.wait, retry.expected);
        Some(retry)
    }

    /// Takes the room of a service between requests.
    pub fn observe(&mut self, service: &Arc<str>, room: &Room, now: Time) {
        if !room.stale
            && let Some(state) = self.services.get_mut(service)
        {
            state.observe(room, now);
        }
    }

    /// Removes old state. Returns the time slots with promised returns that have passed.
    pub fn on_tick(&mut self, now: Time) -> Vec<SlotCheck> {
        let mut checks = Vec::new();
        for state in self.services.values_mut() {
            state.demand.on_tick(self.settings.window, now);
            checks.extend(state.promised.on_tick(now));
        }
        checks
    }

    /// Returns the services that had requests.
    pub fn services(&self) -> Vec<Arc<str>> {
        self.services.keys().cloned().collect()
    }
}

impl ServiceState {
    fn observe(&mut self, room: &Room, now: Time) {
        let free = room.free_fraction();
        self.phases.observe(free, now);
        self.promised.observe(free, now);
    }
}

fn service_state<'a>(
    services: &'a mut HashMap<Arc<str>, ServiceState>,
    settings: &AdmissionSettings,
    service: &Arc<str>,
) -> &'a mut ServiceState {
    services.entry(service.clone()).or_insert_with(|| ServiceState {
        phases: LoadPhases::new(settings.phases.clone()),
        ..ServiceState::default()
    })
}
