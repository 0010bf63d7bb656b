//! Decides which requests an instance still serves in a planned stop.
//!
//! The process has to end within the grace period. Callers keep using open connections until then,
//! most of all those on which a long stream was running, and the load balancer sends new connections
//! until it has noticed the stop. Both come at the usual rate of requests, so the decision is made
//! for each request and not by closing connections. A refused request costs its caller a trip to
//! another instance. A request that is cut costs the answer, and one that may run only once cannot be
//! sent again.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sesamewall_protocol::Time;

use crate::RouteKind;

/// Settings of a planned stop.
#[derive(Clone, Debug)]
pub struct StopSettings {
    /// Time from the signal to the forced end of the process.
    pub grace_period: Duration,
    /// Time before the forced end at which the process must have ended.
    pub kill_margin: Duration,
    /// Time before that at which all answers must be complete, so that they can still be sent.
    pub answer_margin: Duration,
    /// Time after the signal in which callers may not have noticed the stop: the load balancer takes
    /// the instance out of service, and connections that were accepted until then carry a request.
    pub notice_time: Duration,
    /// Factor on the longest recent duration for which a request that may run only once needs room.
    pub once_factor: u32,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self {
            grace_period: Duration::from_secs(8),
            kill_margin: Duration::from_millis(700),
            answer_margin: Duration::from_millis(150),
            notice_time: Duration::from_millis(3000),
            once_factor: 2,
        }
    }
}

/// A request that arrives in a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct StopRequest {
    /// Kind of its route.
    pub kind: RouteKind,
    /// Time by which its caller expects the answer at the latest.
    pub deadline: Time,
    /// Longest recent duration of a request of the route; `None` if none has ended.
    pub longest: Option<Duration>,
}

/// A planned stop of the instance.
#[derive(Clone, Debug, Default)]
pub struct PlannedStop {
    settings: StopSettings,
    began_at: Option<Time>,
}

impl PlannedStop {
    /// Creates the state of an instance that does not stop.
    pub fn new(settings: StopSettings) -> Self {
        Self { settings, began_at: None }
    }

    /// Records the signal. Only the first one counts.
    pub fn begin(&mut self, now: Time) {
        self.began_at.get_or_insert(now);
    }

    /// Returns the time by which the process must have ended; `None` without a stop.
    pub fn ends_at(&self) -> Option<Time> {
        let StopSettings { grace_period, kill_margin, .. } = self.settings;
        self.began_at.map(|at| at + grace_period.saturating_sub(kill_margin))
    }

    /// Returns the time by which all answers must be complete; `None` without a stop.
    pub fn answers_until(&self) -> Option<Time> {
        self.ends_at().map(|end| end - self.settings.answer_margin)
    }

    /// Returns whether a request is served that has not been passed on yet. A request whose time
    /// limit fits always is. Until callers can have noticed the stop, others are served unless the
    /// route's recent durations speak against it. Later, only a request is served that may be
    /// repeated, is answered as a whole, and usually ends in time: a stream that is cut has no
    /// complete answer even if it may be resumed.
    pub fn serves(&self, request: &StopRequest, now: Time) -> bool {
        let (Some(began_at), Some(until)) = (self.began_at, self.answers_until()) else {
            return true;
        };
        let room = until.since(now);
        let is_late = now.since(began_at) > self.settings.notice_time;
        let needed = request.longest.map(|longest| match request.kind.may_repeat() {
            true => longest,
            false => longest * self.settings.once_factor,
        });
        match request.kind {
            _ if request.deadline <= until => true,
            _ if room.is_zero() => false,
            _ if !is_late => needed.is_none_or(|needed| needed <= room),
            RouteKind::Idempotent | RouteKind::Batch => needed.is_some_and(|needed| needed <= room),
            RouteKind::AtMostOnce | RouteKind::Stream { .. } => false,
        }
    }
}

/// Time after which a duration no longer counts as recent; it counts up to twice as long.
const RECENT_TIME: Duration = Duration::from_secs(30);

/// Most routes whose durations are kept.
const MAX_ROUTES: usize = 4096;

#[derive(Clone, Copy, Debug, Default)]
struct LongestDurations {
    current: Duration,
    former: Duration,
}

/// The longest recent durations of requests by route.
#[derive(Clone, Debug, Default)]
pub struct RouteDurations {
    routes: HashMap<Arc<str>, LongestDurations>,
    turned_at: Time,
}

impl RouteDurations {
    /// Records how long a request of a route took from its arrival to the end of its answer.
    pub fn on_end(&mut self, route: &Arc<str>, duration: Duration, now: Time) {
        if now.since(self.turned_at) >= RECENT_TIME {
            self.turned_at = now;
            self.routes.retain(|_, longest| !longest.current.is_zero());
            for longest in self.routes.values_mut() {
                longest.former = std::mem::take(&mut longest.current);
            }
        }
        if self.routes.len() < MAX_ROUTES || self.routes.contains_key(route) {
            let longest = self.routes.entry(route.clone()).or_default();
            longest.current = longest.current.max(duration);
        }
    }

    /// Returns the longest recent duration of a route.
    pub fn longest(&self, route: &str) -> Option<Duration> {
        self.routes.get(route).map(|longest| longest.current.max(longest.former))
    }
}
