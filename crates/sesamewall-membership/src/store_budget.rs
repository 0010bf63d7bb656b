//! Limits the store calls of one process, so that the fleet stays within the store's rates.

use std::time::Duration;

use rand::Rng;
use rand::RngCore;
use sesamewall_protocol::Time;
use sesamewall_protocol::seconds;

/// Settings of the store call budget.
#[derive(Clone, Debug)]
pub struct BudgetSettings {
    /// Writes per second for the whole fleet.
    pub writes: f64,
    /// Reads per second for the whole fleet.
    pub reads: f64,
    /// Fraction of these rates that is divided among the processes; the rest covers calls that
    /// coincide.
    pub usable_fraction: f64,
    /// Calls of each kind per second that are reserved for the lead of each failure domain.
    pub lead_calls: f64,
    /// Maximum random delay after an outage.
    pub max_delay: Duration,
    /// Fraction of its share with which a process starts after an outage; it doubles every second.
    pub initial_fraction: f64,
    /// Applies the delay and the slow start after an outage.
    pub slow_start: bool,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            writes: 300.0,
            reads: 1_500.0,
            usable_fraction: 0.8,
            lead_calls: 2.0,
            max_delay: Duration::from_secs(5),
            initial_fraction: 0.125,
            slow_start: true,
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
    /// Renewal by the current lead, and the reads that belong to it.
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
    /// Consumes one token, refilled at `rate` tokens per second, or returns the time at which one
    /// is available.
    fn take(&mut self, now: Time, rate: f64) -> Result<(), Time> {
        self.level = (self.level + now.since(self.at).as_secs_f64() * rate).min(rate.max(1.0));
        self.at = now;
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.level) / rate.max(1e-6);
        // Rounds up, so that a caller that waits exactly until then succeeds.
        Err(now + seconds(wait.min(60.0)) + Duration::from_micros(1))
    }
}

/// The store call budget of one process.
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
    delay_until: Time,
    slow_start_from: Option<Time>,
}

impl StoreBudget {
    /// Returns the budget of a process that starts at `now`. It begins as after an outage, since
    /// many processes may start at the same time.
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
            delay_until: now,
            slow_start_from: None,
        };
        budget.start_delay(now, rng);
        budget
    }

    /// Sets the number of live instances and of failure domains.
    pub fn set_fleet_size(&mut self, live: usize, domains: usize) {
        (self.live, self.domains) = (live.max(1), domains.max(1));
    }

    /// Returns the share of this process in calls per second, without the slow start.
    pub fn share(&self, kind: CallKind) -> f64 {
        let total = match kind {
            CallKind::Read => self.settings.reads,
            CallKind::Write => self.settings.writes,
        };
        let reserved = self.settings.lead_calls * self.domains as f64;
        (total * self.settings.usable_fraction - reserved).max(1.0) / self.live as f64
    }

    /// Counts a call that starts at `now`.
    ///
    /// # Errors
    ///
    /// Returns the time at which to try again if the budget is exhausted.
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
        if now < self.delay_until {
            return Err(self.delay_until);
        }
        let rate = self.share(kind) * self.slow_start_factor(now);
        match kind {
            CallKind::Read => self.reads.take(now, rate),
            CallKind::Write => self.writes.take(now, rate),
        }
    }

    /// Handles a call that did not reach the store or that the store rejected for its rate. The
    /// next normal call, which probes the store, is allowed after a random delay.
    pub fn on_failure(&mut self, now: Time, rng: &mut dyn RngCore) {
        if !self.outage || now >= self.delay_until {
            self.outage = true;
            self.start_delay(now, rng);
        }
    }

    /// Handles a call that the store completed. The first one after an outage begins the slow
    /// start.
    pub fn on_success(&mut self, now: Time) {
        if self.outage {
            self.outage = false;
            self.slow_start_from = self.settings.slow_start.then_some(now);
        }
    }

    fn start_delay(&mut self, now: Time, rng: &mut dyn RngCore) {
        if self.settings.slow_start {
            let max_us = u64::try_from(self.settings.max_delay.as_micros()).unwrap_or(u64::MAX);
            self.delay_until = now + Duration::from_micros(rng.random_range(0..=max_us));
            self.slow_start_from = Some(self.delay_until);
            let bucket = Bucket { level: 1.0, at: self.delay_until };
            (self.reads, self.writes) = (bucket.clone(), bucket);
        }
    }

    fn slow_start_factor(&self, now: Time) -> f64 {
        let doubled = |from: Time| {
            let seconds = now.since(from).as_secs_f64().floor();
            (self.settings.initial_fraction * seconds.exp2()).min(1.0)
        };
        self.slow_start_from.map_or(1.0, doubled)
    }
}
