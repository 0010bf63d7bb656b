//! The amounts that leave one failure domain, for one service.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewall_protocol::Time;
use sesamewall_protocol::seconds;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::reach::Reach;
use crate::DomainFlowSettings;

/// Load of a failure domain with targets of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DomainLoad {
    /// Key of the domain, from `domain_key`.
    pub domain: u32,
    /// Slots of the targets in service.
    pub slots: u32,
    /// Slots of all its targets, in service or not.
    pub all_slots: u32,
    /// Online requests in flight at its targets.
    pub online: u32,
    /// Age of the state; `None` if no instance of the domain is known.
    pub age: Option<Duration>,
}

impl DomainLoad {
    /// Returns the online requests per slot in service.
    pub fn load(&self) -> f64 {
        match self.slots {
            0 => f64::INFINITY,
            slots => f64::from(self.online) / f64::from(slots),
        }
    }
}

/// A change of the part of the local requests that leaves for a domain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FlowChange {
    /// Key of the other domain.
    pub domain: u32,
    /// Former part.
    pub before: f64,
    /// New part.
    pub part: f64,
    /// Load of the local domain.
    pub home: f64,
    /// Load of the other domain.
    pub there: f64,
    /// Age of the state of the other domain.
    pub age: Option<Duration>,
    /// Expected wait in the local domain.
    pub home_wait: Duration,
    /// Load of the local domain above which leaving pays off.
    pub level: f64,
    /// The domain cannot be reached.
    pub cut: bool,
}

/// What an instance believes of another domain.
#[derive(Clone, Copy, Debug, Default)]
struct Other {
    /// Part of the local requests that leaves for the domain.
    part: f64,
    /// Mean of that part over the time that a slot is held.
    mean_part: f64,
    load: f64,
    /// It has targets in service, and no connections to it fail.
    usable: bool,
    /// Its load is lower than that of the local domain and than a full one by the margin.
    lower: bool,
}

/// The flow of one service out of the local failure domain.
#[derive(Clone, Debug)]
pub struct DomainFlow {
    settings: DomainFlowSettings,
    local: u32,
    held: f64,
    /// Mean of the requests that would be in flight in the local domain if none left.
    demand: Option<f64>,
    others: BTreeMap<u32, Other>,
    reach: Reach,
    /// No other domain is heard.
    cut_off: bool,
    updated_at: Option<Time>,
}

impl DomainFlow {
    /// Creates a flow without amounts. `local` is the key of the local domain.
    pub fn new(settings: DomainFlowSettings, local: u32) -> Self {
        Self {
            held: settings.held.as_secs_f64(),
            settings,
            local,
            demand: None,
            others: BTreeMap::new(),
            reach: Reach::default(),
            cut_off: false,
            updated_at: None,
        }
    }

    /// Records that an online request has held a slot for `held`.
    pub fn on_end(&mut self, held: Duration) {
        self.held += self.settings.held_weight * (held.as_secs_f64() - self.held);
        self.held = self.held.max(0.001);
    }

    /// Records that a connection to a target failed.
    pub fn on_unreached(&mut self, domain: u32, target: u32, now: Time) {
        self.reach.on_unreached(&self.settings, domain, target, now);
        if self.reach.is_cut(domain)
            && let Some(other) = self.others.get_mut(&domain)
        {
            other.usable = false;
        }
    }

    /// Records a response of a target.
    pub fn on_reached(&mut self, domain: u32) {
        self.reach.on_reached(domain);
    }

    /// Returns the part of the local requests that leaves for each other domain.
    pub fn parts(&self) -> impl Iterator<Item = (u32, f64)> {
        self.others.iter().map(|(domain, other)| (*domain, other.part))
    }

    /// Returns the expected wait of a domain in seconds.
    fn wait(&self, load: f64) -> f64 {
        self.held * (load - self.settings.busy).max(0.0)
    }

    /// Returns the load of the local domain at which its wait equals the cost of leaving.
    fn level(&self) -> f64 {
        self.settings.busy + self.settings.leave_cost() / self.held
    }

    /// Returns the requests beyond what a domain keeps. A domain out of service sends about what its
    /// targets would have got.
    fn excess(&self, load: &DomainLoad) -> f64 {
        match load.slots {
            0 => self.settings.busy * f64::from(load.all_slots.max(1)),
            slots => (f64::from(load.online) - self.level() * f64::from(slots)).max(0.0),
        }
    }

    /// Updates the amounts from the loads of all domains. Returns the changes; there are none if the
    /// last update was a moment ago.
    pub fn update(&mut self, loads: &[DomainLoad], now: Time) -> Vec<FlowChange> {
        let since = self.updated_at.map(|at| now.since(at));
        if since.is_some_and(|since| since < self.settings.interval) {
            return Vec::new();
        }
        self.updated_at = Some(now);
        self.advance_means(since.unwrap_or_default());
        for load in loads {
            match load.age {
                Some(age) => self.reach.on_heard(&self.settings, load.domain, now - age),
                None => self.reach.on_unheard(&self.settings, load.domain, now),
            }
        }
        let absent = DomainLoad {
            domain: self.local,
            slots: 0,
            all_slots: 0,
            online: 0,
            age: Some(Duration::ZERO),
        };
        let home = *loads.iter().find(|load| load.domain == self.local).unwrap_or(&absent);
        let is_known = |domain: u32| loads.iter().any(|load| load.domain == domain);
        let mut changes: Vec<_> = self.end(|domain| !is_known(domain));
        self.others.retain(|domain, _| is_known(*domain));
        let others: Vec<DomainLoad> =
            loads.iter().filter(|load| load.domain != self.local).copied().collect();
        let wanted = self.wanted_parts(&home, &others);
        for (load, wanted) in others.iter().zip(wanted) {
            changes.extend(self.change_part(&home, load, wanted));
        }
        changes
    }

    /// Returns the end of the amounts for the domains for which `ends` returns true.
    pub fn end(&self, ends: impl Fn(u32) -> bool) -> Vec<FlowChange> {
        let ended = self.others.iter().filter(|(domain, other)| other.part > 0.0 && ends(**domain));
        ended
            .map(|(domain, other)| FlowChange {
                domain: *domain,
                before: other.part,
                part: 0.0,
                home: f64::INFINITY,
                there: f64::INFINITY,
                age: None,
                home_wait: Duration::ZERO,
                level: self.level(),
                cut: self.reach.is_cut(*domain),
            })
            .collect()
    }

    /// Moves the means of the parts by the time since the last update.
    fn advance_means(&mut self, since: Duration) {
        let weight = 1.0 - (-since.as_secs_f64() / self.held).exp();
        for other in self.others.values_mut() {
            other.mean_part += weight * (other.part - other.mean_part);
        }
    }

    /// Returns the part that should leave for each of the other domains.
    fn wanted_parts(&mut self, home: &DomainLoad, others: &[DomainLoad]) -> Vec<f64> {
        let DomainFlowSettings { busy, full, max_age, margin, hysteresis, .. } = self.settings;
        let level = self.level();
        let home_load = home.load();
        let is_fresh = |load: &DomainLoad| load.age.is_none_or(|age| age <= max_age);
        // An instance that hears no other domain is cut off itself. Without local targets it has
        // nothing to lose.
        let cut_off = home.slots > 0 && !others.iter().any(is_fresh);
        self.cut_off = cut_off;
        let stays = 1.0 - self.others.values().map(|other| other.mean_part).sum::<f64>();
        let demand = match home.slots {
            0 => self.excess(home),
            _ => f64::from(home.online) / stays.max(0.05),
        };
        let before = self.demand.unwrap_or(demand);
        let demand = before + self.settings.demand_weight * (demand - before);
        self.demand = Some(demand);
        // Other domains are filled to the load at which leaving is worth half of what it is now.
        let fill = match home.slots {
            0 => full,
            _ => busy + 0.5 * (home_load - level).clamp(0.0, full - busy),
        };
        let all_excess: f64 =
            others.iter().filter(|load| is_fresh(load)).map(|load| self.excess(load)).sum::<f64>()
                + self.excess(home);
        let weight = if all_excess > 0.0 { self.excess(home) / all_excess } else { 0.0 };
        let mut rooms = Vec::new();
        for load in others {
            let cut = self.reach.is_cut(load.domain);
            let other = self.others.entry(load.domain).or_default();
            other.load = load.load();
            other.usable = !cut && load.slots > 0;
            // A domain whose slots are nearly all taken helps nobody.
            other.lower = other.load + margin <= home_load.min(full);
            let begins = other.part == 0.0;
            let is_lower = if begins { other.lower } else { other.load < home_load };
            let pays_off = if begins { home_load > level + hysteresis } else { true };
            let timely = is_fresh(load) || home_load >= full;
            let room = fill * f64::from(load.slots) - f64::from(load.online);
            // Senders share free room alike, and give back alike what was too much.
            let share = if room > 0.0 { weight } else { 1.0 };
            let own = other.mean_part * demand;
            let room = match !cut_off && other.usable && is_lower && pays_off && timely {
                true => (own + room * share).max(0.0),
                false => 0.0,
            };
            rooms.push(room);
        }
        let all_rooms: f64 = rooms.iter().sum();
        let needed = match home.slots {
            0 => demand,
            slots => (demand - level * f64::from(slots)).max(0.0),
        };
        let factor = match (home.slots, all_rooms > 0.0) {
            (_, false) => 0.0,
            // Nothing can stay.
            (0, true) => 1.0 / all_rooms,
            (_, true) => (needed / all_rooms).min(1.0) / demand.max(1.0),
        };
        rooms.into_iter().map(|room| (room * factor).min(1.0)).collect()
    }

    /// Moves the part of one domain towards the wanted one.
    fn change_part(
        &mut self,
        home: &DomainLoad,
        load: &DomainLoad,
        wanted: f64,
    ) -> Option<FlowChange> {
        let DomainFlowSettings { step, min_change, full, max_age, .. } = self.settings;
        let home_load = home.load();
        let fresh = load.age.is_none_or(|age| age <= max_age);
        let level = self.level();
        let home_wait = self.wait(home_load.min(10.0));
        let other = self.others.get_mut(&load.domain)?;
        let before = other.part;
        let ends = self.cut_off
            || !other.usable
            || other.load >= home_load
            || (!fresh && home_load < full);
        let part = match wanted - before {
            _ if ends => 0.0,
            change if change > 0.0 && home_load >= full => before + change,
            change => before + change.clamp(-step, step),
        };
        let part = if part < min_change { 0.0 } else { part };
        if part == before || (part > 0.0 && (part - before).abs() < min_change) {
            return None;
        }
        other.part = part;
        Some(FlowChange {
            domain: load.domain,
            before,
            part,
            home: home_load,
            there: load.load(),
            age: load.age,
            home_wait: seconds(home_wait),
            level,
            cut: self.reach.is_cut(load.domain),
        })
    }

    /// Returns the domain in which a request is served, by a random number.
    pub fn choose(&self, draw: u64) -> u32 {
        // Placement uses the same number to compare targets.
        let hash = xxh3_64_with_seed(b"domain", draw);
        let mut rest = hash as f64 / (u64::MAX as f64 + 1.0);
        for (domain, other) in self.others.iter().filter(|(_, other)| other.usable) {
            rest -= other.part;
            if rest < 0.0 {
                return *domain;
            }
        }
        self.local
    }

    /// Returns the other domains that follow the local one, the least loaded first. With
    /// `lower_only` they are only those with a load that is lower than that of the local domain, and
    /// than a full one, by the margin; none if the local domain is cut off.
    pub fn others(&self, lower_only: bool) -> Vec<u32> {
        let follows =
            |other: &Other| other.usable && (!lower_only || (other.lower && !self.cut_off));
        let mut others: Vec<_> = self.others.iter().filter(|(_, other)| follows(other)).collect();
        others.sort_by(|(_, a), (_, b)| a.load.total_cmp(&b.load));
        others.into_iter().map(|(domain, _)| *domain).collect()
    }
}
