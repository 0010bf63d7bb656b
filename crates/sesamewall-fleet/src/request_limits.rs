//! Limits on the requests a second that targets name in their responses, for all instances together.
//!
//! An instance that has had no response of a target lately learns of its limit from the others: a
//! report carries what the member has heard itself, a beacon what the hub's group has heard, and a
//! digest what the fleet has heard. The response that was heard last counts.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use sesamewall_protocol::Time;
use sesamewall_protocol::seconds;

use crate::RequestRate;

/// Shortest time over which starts are counted at a target with a limit.
const SHORTEST_WINDOW: Duration = Duration::from_secs(2);

/// Longest time over which starts are counted. A target gets at least one start in it, since only its
/// responses tell whether its limit still holds.
pub const LONGEST_WINDOW: Duration = Duration::from_secs(4);

/// Time for which the end of a limit is passed on.
const ENDED_TTL: Duration = Duration::from_secs(10);

/// What a target named in a response, for other instances.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct NamedLimit {
    /// Key of the target, from `target_key`.
    pub key: u32,
    /// Requests a second, as the sender encodes them: instances of other builds may send any number.
    /// `None` if the response named no limit any more.
    pub rate: Option<f32>,
    /// Milliseconds since the response arrived.
    pub age: u32,
}

/// The starts that a target bears within a window, by all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartAllowance {
    /// Number of starts.
    pub starts: f64,
    /// The window.
    pub window: Duration,
}

impl StartAllowance {
    /// Returns the allowance for a limit of `rate`. The window is long enough for a whole number of
    /// starts.
    pub fn new(rate: RequestRate) -> Self {
        let starts = (rate.get() * SHORTEST_WINDOW.as_secs_f64()).ceil().max(1.0);
        let window = (starts / rate.get()).min(LONGEST_WINDOW.as_secs_f64());
        Self { starts, window: seconds(window) }
    }

    /// Returns the allowance of the live `fraction` of the fleet, at least one start.
    pub fn for_fraction(&self, fraction: f64) -> Self {
        Self { starts: (self.starts * fraction).max(1.0), ..*self }
    }

    /// Returns whether another request may start after `recent` starts in the window, if only this
    /// `fraction` of the starts may be used, but at least one.
    pub fn allows(&self, recent: f64, fraction: f64) -> bool {
        recent + 1.0 <= (self.starts * fraction).max(1.0)
    }

    /// Returns whether fewer requests start in a second than a target has slots.
    pub fn binds(&self, slots: u32) -> bool {
        self.rate() < f64::from(slots)
    }

    /// Returns the slots that batch items leave to online requests at a target with `slots` of them:
    /// about as many as requests start in a second, half of them at most.
    pub fn online_slots(&self, slots: u32) -> u32 {
        (self.rate().ceil() as u32).min(slots / 2)
    }

    fn rate(&self) -> f64 {
        self.starts / self.window.as_secs_f64()
    }
}

/// What the response that was heard last has named.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Heard {
    rate: Option<RequestRate>,
    at: Time,
}

/// Limits that targets have named, by key of the target.
#[derive(Clone, Debug, Default)]
pub struct RequestLimits {
    /// Heard by the local instance and, in a hub, by its members.
    group: HashMap<u32, Heard>,
    /// Heard by the groups of other hubs or, in a member, by the fleet.
    others: HashMap<u32, Heard>,
    /// Targets whose last response named a limit that cannot be read.
    unreadable: HashSet<u32>,
}

impl RequestLimits {
    /// Records the limit that a response of a target names; `None` if it names none. Returns whether
    /// the limit has changed.
    pub fn on_response(&mut self, key: u32, rate: Option<RequestRate>, now: Time) -> bool {
        self.unreadable.remove(&key);
        let before = self.rate(key);
        if rate.is_some() || self.group.contains_key(&key) || before.is_some() {
            self.group.insert(key, Heard { rate, at: now });
        }
        before != self.rate(key)
    }

    /// Records a response with a limit that cannot be read; the limit stays what it was. Returns
    /// whether the response before was readable.
    pub fn on_unreadable(&mut self, key: u32) -> bool {
        self.unreadable.insert(key)
    }

    /// Applies the limits in the report of a member.
    pub fn on_member_limits(&mut self, limits: &[NamedLimit], now: Time) {
        merge(&mut self.group, limits, now);
    }

    /// Applies the limits in a beacon of another hub or in a digest.
    pub fn on_fleet_limits(&mut self, limits: &[NamedLimit], now: Time) {
        merge(&mut self.others, limits, now);
    }

    /// Returns the limits that the local instance and its members have heard, for a report or a
    /// beacon.
    pub fn group_limits(&self, now: Time) -> Vec<NamedLimit> {
        listed(self.group.iter().map(|(key, heard)| (*key, *heard)), now)
    }

    /// Returns the limits that the fleet has heard, for a digest.
    pub fn fleet_limits(&self, now: Time) -> Vec<NamedLimit> {
        let keys =
            self.group.keys().chain(self.others.keys().filter(|key| !self.group.contains_key(key)));
        listed(keys.filter_map(|key| Some((*key, self.last_heard(*key)?))), now)
    }

    /// Returns the requests a second that a target bears; `None` without a limit.
    pub fn rate(&self, key: u32) -> Option<RequestRate> {
        self.last_heard(key)?.rate
    }

    /// Returns the starts that a target bears; `None` without a limit.
    pub fn allowance(&self, key: u32) -> Option<StartAllowance> {
        self.rate(key).map(StartAllowance::new)
    }

    /// Returns whether a response of a target was heard a moment ago. Otherwise nobody knows whether
    /// its limit still holds, and a request has to find out.
    pub fn is_recent(&self, key: u32, now: Time) -> bool {
        self.last_heard(key).is_some_and(|heard| now.since(heard.at) < LONGEST_WINDOW)
    }

    /// Removes targets for which `keep` returns false, and limits that ended long ago.
    pub fn on_tick(&mut self, keep: impl Fn(u32) -> bool, now: Time) {
        for heard in [&mut self.group, &mut self.others] {
            heard.retain(|key, heard| keep(*key) && is_listed(heard, now));
        }
        self.unreadable.retain(|key| keep(*key));
    }

    fn last_heard(&self, key: u32) -> Option<Heard> {
        let all = [self.group.get(&key), self.others.get(&key)];
        all.into_iter().flatten().max_by_key(|heard| heard.at).copied()
    }
}

/// Merges the limits that other instances have heard into `known`. A limit that is no rate changes
/// nothing, like one that cannot be read in a response.
fn merge(known: &mut HashMap<u32, Heard>, limits: &[NamedLimit], now: Time) {
    for limit in limits {
        let at = now - Duration::from_millis(u64::from(limit.age));
        let rate = match limit.rate.map(|rate| RequestRate::new(f64::from(rate))) {
            Some(None) => continue,
            rate => rate.flatten(),
        };
        let heard = Heard { rate, at };
        let last = known.entry(limit.key).or_insert(heard);
        if last.at < at {
            *last = heard;
        }
    }
}

fn is_listed(heard: &Heard, now: Time) -> bool {
    heard.rate.is_some() || now.since(heard.at) < ENDED_TTL
}

fn listed(all: impl Iterator<Item = (u32, Heard)>, now: Time) -> Vec<NamedLimit> {
    let age = |at: Time| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
    all.filter(|(_, heard)| is_listed(heard, now))
        .map(|(key, heard)| NamedLimit { key, rate: heard.rate.map(f32::from), age: age(heard.at) })
        .collect()
}
