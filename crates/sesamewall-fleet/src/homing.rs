//! Decides which hub is a member's home, and which instances become hubs.

use std::time::Duration;

use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::HubWord;
use crate::message::instance_key;

/// Hubs of a failure domain. Three bear the loss of one while another one is restarted.
pub const HUB_SEATS: usize = 3;

/// Settings of the choice of a home.
#[derive(Clone, Debug)]
pub struct HomeSettings {
    /// Silence of the home after which the next hub is tried: several of the longest intervals
    /// between two digests.
    pub silence: Duration,
    /// Time for which a new home may leave a report without an answer.
    pub answer_time: Duration,
    /// Time for which a better hub has to be heard before a member goes back to it.
    pub return_time: Duration,
}

impl Default for HomeSettings {
    fn default() -> Self {
        Self {
            silence: Duration::from_millis(400),
            answer_time: Duration::from_millis(150),
            return_time: Duration::from_secs(3),
        }
    }
}

/// The choice of a member's home.
#[derive(Clone, Debug)]
pub struct Homing {
    settings: HomeSettings,
    own: InstanceName,
    domain: DomainName,
    home: Option<InstanceName>,
    since: Time,
    answered: Option<Time>,
    /// Hubs that did not answer since the last one did.
    tried: Vec<InstanceName>,
    better: Option<Time>,
}

impl Homing {
    /// Creates the choice of a member without a home.
    pub fn new(settings: HomeSettings, own: InstanceName, domain: DomainName) -> Self {
        Self {
            settings,
            own,
            domain,
            home: None,
            since: Time::ZERO,
            answered: None,
            tried: Vec::new(),
            better: None,
        }
    }

    /// Notes a digest of the home.
    pub fn on_digest(&mut self, hub: &InstanceName, now: Time) {
        if self.home.as_ref() == Some(hub) {
            self.answered = Some(now);
            self.tried.clear();
        }
    }

    /// Returns the home; `None` while no hub is known.
    pub fn home(&self) -> Option<&InstanceName> {
        self.home.as_ref()
    }

    /// Returns the hub that should be the home now, and whether that is a change. Hubs of the own
    /// failure domain come first; members spread over them by hashes of both names.
    pub fn choose(&mut self, hubs: &[HubWord], now: Time) -> Option<(InstanceName, bool)> {
        let score = |hub: &HubWord| {
            let near = hub.domain == self.domain;
            let spread =
                xxh3_64_with_seed(hub.name.as_str().as_bytes(), u64::from(instance_key(&self.own)));
            (!hub.draining, near, spread)
        };
        let best = hubs.iter().filter(|hub| hub.name != self.own).max_by_key(|hub| score(hub));
        let present = self.home.as_ref().and_then(|home| hubs.iter().find(|hub| hub.name == *home));
        let silent = match self.answered {
            Some(at) => now.since(at) > self.settings.silence,
            None => now.since(self.since) > self.settings.answer_time,
        };
        let leaving = present.is_none_or(|hub| hub.draining);
        if let (Some(home), false, false) = (&self.home, silent, leaving) {
            let ranked = best.filter(|best| present.is_some_and(|hub| score(best) > score(hub)));
            match (ranked, self.better) {
                (Some(_), Some(since)) if now.since(since) >= self.settings.return_time => {}
                (Some(_), Some(_)) => return Some((home.clone(), false)),
                (Some(_), None) => {
                    self.better = Some(now);
                    return Some((home.clone(), false));
                }
                (None, _) => {
                    self.better = None;
                    return Some((home.clone(), false));
                }
            }
        }
        if let (Some(home), true) = (&self.home, silent) {
            self.tried.push(home.clone());
        }
        let mut untried: Vec<_> = hubs
            .iter()
            .filter(|hub| hub.name != self.own && !self.tried.contains(&hub.name))
            .collect();
        if untried.is_empty() {
            self.tried.clear();
            untried = hubs.iter().filter(|hub| hub.name != self.own).collect();
        }
        let next = untried.into_iter().max_by_key(|hub| score(hub))?.name.clone();
        self.home = Some(next.clone());
        self.since = now;
        self.answered = None;
        self.better = None;
        Some((next, true))
    }
}

/// Settings of the seats of hubs.
#[derive(Clone, Debug)]
pub struct SeatSettings {
    /// Part of a core from which a machine counts as large.
    pub large_share: f64,
    /// Wait of a machine with no core at all, less for larger ones, before it takes a free seat.
    pub small_wait: Duration,
    /// Further wait of a machine that takes no callers' requests: callers' machines are seldom cut off
    /// from all others at once.
    pub worker_wait: Duration,
    /// Longest random wait on top.
    pub spread: Duration,
    /// Time for which a seat has to be free before it is taken, unless the process has just started:
    /// its holder may be back in a moment.
    pub vacant_time: Duration,
}

impl Default for SeatSettings {
    fn default() -> Self {
        Self {
            large_share: 0.5,
            small_wait: Duration::from_millis(1000),
            worker_wait: Duration::from_millis(300),
            spread: Duration::from_millis(1000),
            vacant_time: Duration::from_secs(4),
        }
    }
}

impl SeatSettings {
    /// Returns the wait before an instance takes a free seat. `share` is its part of a core, `draw` a
    /// random number from 0 to 1.
    pub fn wait(&self, front: bool, share: f64, draw: f64) -> Duration {
        let small = (1.0 - share / self.large_share).clamp(0.0, 1.0);
        let worker = if front { Duration::ZERO } else { self.worker_wait };
        self.small_wait.mul_f64(small) + worker + self.spread.mul_f64(draw * small)
    }
}
