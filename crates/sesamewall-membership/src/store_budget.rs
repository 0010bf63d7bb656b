//! Bounds the store calls of one process, so that the fleet stays within the store's rates.

use std::time::Duration;

use rand::Rng;
use rand::RngCore;
use sesamewall_protocol::Time;

/// Settings of the store call budget.
#[derive(Clone, Debug)]
pub struct BudgetSettings {
    /// Writes a second for the whole fleet.
    pub writes: f64,
    /// Reads a second for the whole fleet.
    pub reads: f64,
    /// Part of these that processes share out; the rest covers calls that coincide.
    pub part: f64,
    /// Calls of each kind a second kept back for the lead of each failure domain.
    pub lead_calls: f64,
    /// Longest random delay after an outage.
    pub delay: Duration,
    /// Part of the share with which a process starts after an outage; it doubles each second.
    pub start: f64,
    /// Applies the delay and the slow start after an outage.
    pub ramp: bool,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            writes: 300.0,
            reads: 1_500.0,
            part: 0.8,
            lead_calls: 2.0,
            delay: Duration::from_secs(5),
            start: 0.125,
            ramp: true,
        }
    }
}

/// Kind of a store call. A waiting watch counts as a read when it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Get, list or watch.
    Read,
    /// Put or delete.
    Write,
}

/// Priority of a store call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// Renewal by the lead in office, and reads that belong to it.
    LeadRenewal,
    /// All other calls.
    Normal,
}

#[derive(Clone, Debug)]
struct Bucket {
    level: f64,
    at: Time,
}

impl Bucket {
    /// Takes one call at `rate` calls a second, or returns the time at which there is one.
    fn take(&mut self, now: Time, rate: f64) -> Result<(), Time> {
        self.level = (self.level + now.since(self.at).as_secs_f64() * rate).min(rate.max(1.0));
        self.at = now;
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.level) / rate.max(1e-6);
        // Rounds up, so that a caller that waits for exactly this long gets its call.
        Err(now + Duration::from_secs_f64(wait.min(60.0)) + Duration::from_micros(1))
    }
}

/// The budget of one process.
#[derive(Clone, Debug)]
pub struct StoreBudget {
    settings: BudgetSettings,
    live: usize,
    domains: usize,
    reads: Bucket,
    writes: Bucket,
    lead_reads: Bucket,
    lead_writes: Bucket,
    outage: bool,
    open_at: Time,
    ramp_from: Option<Time>,
}

impl StoreBudget {
    /// Returns the budget of a process that starts at `now`; it starts as after an outage, since
    /// many processes may start together.
    pub fn new(settings: BudgetSettings, now: Time, rng: &mut dyn RngCore) -> Self {
        let bucket = Bucket { level: 1.0, at: now };
        let mut budget = Self {
            settings,
            live: 1,
            domains: 1,
            reads: bucket.clone(),
            writes: bucket.clone(),
            lead_reads: bucket.clone(),
            lead_writes: bucket,
            outage: false,
            open_at: now,
            ramp_from: None,
        };
        budget.delay(now, rng);
        budget
    }

    /// Sets the number of live instances and of failure domains.
    pub fn set_fleet(&mut self, live: usize, domains: usize) {
        (self.live, self.domains) = (live.max(1), domains.max(1));
    }

    /// Returns the share of this process in calls a second, without the slow start.
    pub fn share(&self, kind: CallKind) -> f64 {
        let total = match kind {
            CallKind::Read => self.settings.reads,
            CallKind::Write => self.settings.writes,
        };
        let kept = self.settings.lead_calls * self.domains as f64;
        (total * self.settings.part - kept).max(1.0) / self.live as f64
    }

    /// Counts a call that starts at `now`.
    ///
    /// # Errors
    ///
    /// Returns the time at which to try again.
    pub fn start_call(
        &mut self,
        now: Time,
        kind: CallKind,
        priority: Priority,
    ) -> Result<(), Time> {
        if priority == Priority::LeadRenewal {
            let bucket = match kind {
                CallKind::Read => &mut self.lead_reads,
                CallKind::Write => &mut self.lead_writes,
            };
            return bucket.take(now, self.settings.lead_calls);
        }
        if now < self.open_at {
            return Err(self.open_at);
        }
        let rate = self.share(kind) * self.ramp(now);
        match kind {
            CallKind::Read => self.reads.take(now, rate),
            CallKind::Write => self.writes.take(now, rate),
        }
    }

    /// Handles a call that did not reach the store or that the store refused for its rate. The next
    /// normal call, which probes the store, comes after a random delay.
    pub fn failed(&mut self, now: Time, rng: &mut dyn RngCore) {
        if !self.outage || now >= self.open_at {
            self.outage = true;
            self.delay(now, rng);
        }
    }

    /// Handles an answered call. The first one after an outage starts the ramp.
    pub fn succeeded(&mut self, now: Time) {
        if self.outage {
            self.outage = false;
            self.ramp_from = self.settings.ramp.then_some(now);
        }
    }

    fn delay(&mut self, now: Time, rng: &mut dyn RngCore) {
        if self.settings.ramp {
            let most = u64::try_from(self.settings.delay.as_micros()).unwrap_or(u64::MAX);
            self.open_at = now + Duration::from_micros(rng.random_range(0..=most));
            self.ramp_from = Some(self.open_at);
            let bucket = Bucket { level: 1.0, at: self.open_at };
            (self.reads, self.writes) = (bucket.clone(), bucket);
        }
    }

    fn ramp(&self, now: Time) -> f64 {
        let doubled = |from: Time| {
            let seconds = now.since(from).as_secs_f64().floor();
            (self.settings.start * seconds.exp2()).min(1.0)
        };
        self.ramp_from.map_or(1.0, doubled)
    }
}
