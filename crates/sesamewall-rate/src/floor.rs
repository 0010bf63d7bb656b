//! Decides about the floor of a failure domain, its guaranteed share of the rates: whether the full
//! floor or only its reserve is in force, or the backup lead has claimed the upper part.
//!
//! The lead of the failure domain (home lead) writes `lead/<domain>` and then reads
//! `floor/<domain>`; the backup lead, of another failure domain, writes `floor/<domain>` and then
//! reads `lead/<domain>`. So at least one of them observes the write of the other, and the upper
//! part of the floor (the floor without its reserve) is never in force at both.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use sesamewall_protocol::Time;

use crate::GRANT_WAIT;

/// Duration of the floor lease, of a promise and of a claim. It equals the lease of the lead of a
/// failure domain, whose renewal confirms the floor.
pub const FLOOR_LEASE: Duration = Duration::from_secs(2);

/// Margin beyond the lease for which the other lead waits.
pub const FLOOR_MARGIN: Duration = Duration::from_millis(500);

/// Time between two renewals of a claim.
pub const FLOOR_RENEWAL: Duration = Duration::from_millis(600);

/// Upper part of the floor of another failure domain, claimed by its backup lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Inherited {
    /// Share in billionths.
    pub share: u64,
    /// Start of the refill, after the grants of the other lead have expired.
    pub from: Time,
    /// End of the claim.
    pub until: Time,
}

/// The store record `floor/<domain>`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FloorRecord {
    /// Epoch of the backup lead that claims the upper part of the floor.
    pub claimant: Option<u64>,
    /// True if the home lead requests the return of the upper part.
    pub return_requested: bool,
}

/// A store call that the floor lease needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FloorCall {
    /// Reads `floor/<domain>`.
    ReadFloor,
    /// Reads `lead/<domain>`.
    ReadLead,
    /// Writes `floor/<domain>` if its version is `expect` (0: the record is absent).
    Write {
        /// Version that the writer last observed.
        expect: u64,
        /// New record.
        record: FloorRecord,
    },
}

/// Times of the floor lease and of claims.
#[derive(Clone, Copy, Debug)]
pub struct FloorSettings {
    /// Duration of the lease, of a promise and of a claim.
    pub lease: Duration,
    /// Time without a change after which the lease, promise or claim of the other lead has expired.
    pub lease_timeout: Duration,
    /// Time after which the grants of the other lead have expired.
    pub grant_wait: Duration,
    /// Time between two renewals of a claim.
    pub renewal_interval: Duration,
}

impl Default for FloorSettings {
    fn default() -> Self {
        Self {
            lease: FLOOR_LEASE,
            lease_timeout: FLOOR_LEASE + FLOOR_MARGIN,
            grant_wait: GRANT_WAIT,
            renewal_interval: FLOOR_RENEWAL,
        }
    }
}

/// State of the home lead: decides whether its full floor is in force.
#[derive(Debug)]
pub struct Floor {
    settings: FloorSettings,
    lease_until: Time,
    full_from: Option<Time>,
    version: Option<u64>,
    pending: Option<Pending>,
    claim: Option<ObservedClaim>,
}

/// A renewal that the store confirmed after the floor lease had expired. It takes effect once the
/// floor record has been read.
#[derive(Debug)]
struct Pending {
    confirmed: Time,
    until: Time,
}

#[derive(Debug)]
struct ObservedClaim {
    version: u64,
    since: Time,
    record: FloorRecord,
}

impl Floor {
    /// Returns the state of a new lead, for which only the reserve is in force.
    pub fn new(settings: FloorSettings) -> Self {
        let lease_until = Time::ZERO;
        Self { settings, lease_until, full_from: None, version: None, pending: None, claim: None }
    }

    /// Records that the store confirmed the renewal of `lead/<domain>` that was sent at `sent`.
    pub fn on_renewed(&mut self, sent: Time, now: Time) {
        let until = sent + self.settings.lease;
        if now < self.lease_until {
            self.lease_until = self.lease_until.max(until);
            return;
        }
        match &mut self.pending {
            Some(pending) if now < pending.until => pending.until = pending.until.max(until),
            _ => self.pending = Some(Pending { confirmed: now, until }),
        }
    }

    /// Applies a promise that was requested at `sent`. According to the backup lead, the floor has
    /// not been claimed for `clear_for`.
    pub fn on_promised(&mut self, sent: Time, clear_for: Duration, now: Time) {
        if now >= self.lease_until || self.full_from.is_none() {
            let from = now + self.settings.grant_wait.saturating_sub(clear_for);
            self.full_from = Some(from);
            self.version = None;
        }
        self.lease_until = self.lease_until.max(sent + self.settings.lease);
    }

    /// Applies the floor record, read by a call that began at `started`. The version of an absent
    /// record is 0.
    pub fn on_floor_read(&mut self, record: FloorRecord, version: u64, started: Time, now: Time) {
        if record.claimant.is_some() {
            let same = self.claim.as_ref().filter(|claim| claim.version == version);
            let since = same.map_or(now, |claim| claim.since);
            self.claim = Some(ObservedClaim { version, since, record });
            if now >= self.lease_until {
                self.version = None;
                self.full_from = None;
            }
            return;
        }
        self.claim = None;
        if let Some(pending) = self.pending.take_if(|pending| started >= pending.confirmed) {
            if self.version != Some(version) || self.full_from.is_none() {
                self.full_from = Some(now + self.settings.grant_wait);
            }
            self.version = Some(version);
            self.lease_until = self.lease_until.max(pending.until);
        }
    }

    /// Records that `record` was written and has the new `version`.
    pub fn on_floor_written(&mut self, record: FloorRecord, version: u64) {
        match &mut self.claim {
            Some(claim) if record.claimant.is_some() => {
                claim.version = version;
                claim.record = record;
            }
            _ => self.claim = None,
        }
    }

    /// Records that a write found another version, or that its outcome is unknown.
    pub fn on_conflict(&mut self) {
        self.claim = None;
    }

    /// Returns the store call that is due, at most one.
    pub fn tick(&self, now: Time) -> Option<FloorCall> {
        self.pending.as_ref().filter(|pending| now < pending.until)?;
        let Some(claim) = &self.claim else { return Some(FloorCall::ReadFloor) };
        let record = FloorRecord { return_requested: true, ..claim.record };
        if now >= claim.since + self.settings.lease_timeout {
            let record = FloorRecord::default();
            return Some(FloorCall::Write { expect: claim.version, record });
        }
        if !claim.record.return_requested {
            return Some(FloorCall::Write { expect: claim.version, record });
        }
        Some(FloorCall::ReadFloor)
    }

    /// Returns the time until which the full floor is in force, or zero while only the reserve is.
    pub fn full_until(&self, now: Time) -> Time {
        match self.full_from {
            Some(from) if from <= now => self.lease_until,
            _ => Time::ZERO,
        }
    }
}

/// State of the backup lead: decides whether it claims the upper part of the floor of another
/// failure domain.
#[derive(Debug)]
pub struct FloorBackup {
    settings: FloorSettings,
    epoch: u64,
    share: u64,
    lead_version: Option<u64>,
    unchanged_since: Time,
    promised_until: Time,
    floor: Option<(u64, FloorRecord)>,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Idle { clear_since: Time },
    Claiming,
    Verifying { claimed_at: Time, until: Time },
    Held { from: Time, until: Time, renewed_at: Time },
    Releasing { since: Time },
}

impl FloorBackup {
    /// Returns the state of a backup lead that took over at `now` with `epoch`. `share` is the
    /// upper part of the other floor, in billionths.
    pub fn new(settings: FloorSettings, epoch: u64, share: u64, now: Time) -> Self {
        Self {
            settings,
            epoch,
            share,
            lead_version: None,
            unchanged_since: now,
            promised_until: now + settings.lease_timeout,
            floor: None,
            state: State::Idle { clear_since: now },
        }
    }

    /// Promises not to claim the floor, and returns the time for which this lead has not claimed
    /// it. Returns `None`, without a promise, if this lead has claimed the floor or may have.
    pub fn promise(&mut self, now: Time) -> Option<Duration> {
        let State::Idle { clear_since } = self.state else { return None };
        self.promised_until = now + self.settings.lease_timeout;
        Some(now.since(clear_since))
    }

    /// Applies the version of `lead/<domain>`, read by a call that began at `started`.
    pub fn on_lead_read(&mut self, version: u64, started: Time, now: Time) {
        let same = self.lead_version == Some(version);
        if !same {
            self.lead_version = Some(version);
            self.unchanged_since = now;
        }
        match self.state {
            State::Verifying { .. } if !same => self.state = State::Releasing { since: now },
            State::Verifying { claimed_at, until } if started >= claimed_at => {
                let from = claimed_at + self.settings.grant_wait;
                self.state = State::Held { from, until, renewed_at: claimed_at };
            }
            _ => {}
        }
    }

    /// Applies the floor record.
    pub fn on_floor_read(&mut self, record: FloorRecord, version: u64, now: Time) {
        self.floor = Some((version, record));
        let is_claimant = record.claimant == Some(self.epoch);
        self.state = match self.state {
            State::Claiming if !is_claimant => State::Idle { clear_since: now },
            State::Releasing { since } if !is_claimant => State::Idle { clear_since: since },
            State::Held { .. } | State::Verifying { .. }
                if !is_claimant || record.return_requested =>
            {
                State::Releasing { since: now }
            }
            state => state,
        };
    }

    /// Records that `record`, sent at `sent`, was written and has the new `version`.
    pub fn on_floor_written(&mut self, record: FloorRecord, version: u64, sent: Time, now: Time) {
        self.floor = Some((version, record));
        let until = sent + self.settings.lease;
        let is_claimant = record.claimant == Some(self.epoch);
        self.state = match self.state {
            State::Claiming if is_claimant => State::Verifying { claimed_at: now, until },
            State::Verifying { claimed_at, .. } => State::Verifying { claimed_at, until },
            State::Held { from, .. } if is_claimant => State::Held { from, until, renewed_at: now },
            State::Releasing { since } if !is_claimant => State::Idle { clear_since: since },
            state => state,
        };
    }

    /// Records that a write found another version. The next call reads the record again, which
    /// decides the next step.
    pub fn on_conflict(&mut self) {
        self.floor = None;
    }

    /// Returns the store call that is due, at most one. The caller makes one call at a time and
    /// reports its result; if the outcome is unknown, it reports a conflict.
    pub fn tick(&mut self, now: Time) -> Option<FloorCall> {
        if let State::Held { until, .. } | State::Verifying { until, .. } = self.state
            && now >= until
        {
            self.state = State::Releasing { since: now };
        }
        let Some((version, record)) = self.floor else { return Some(FloorCall::ReadFloor) };
        let claim = FloorRecord { claimant: Some(self.epoch), return_requested: false };
        let write = |record| Some(FloorCall::Write { expect: version, record });
        match self.state {
            State::Idle { .. } if self.can_claim(now) => {
                self.state = State::Claiming;
                write(claim)
            }
            State::Idle { .. } => Some(FloorCall::ReadLead),
            State::Claiming => write(claim),
            State::Verifying { .. } => Some(FloorCall::ReadLead),
            State::Held { renewed_at, .. }
                if now >= renewed_at + self.settings.renewal_interval =>
            {
                write(claim)
            }
            State::Held { .. } => Some(FloorCall::ReadFloor),
            State::Releasing { .. } if record.claimant == Some(self.epoch) => {
                write(FloorRecord::default())
            }
            State::Releasing { .. } => Some(FloorCall::ReadFloor),
        }
    }

    /// Returns the upper part of the floor, if the claim of this lead is verified and not expired.
    pub fn inherited(&self, now: Time) -> Option<Inherited> {
        match self.state {
            State::Held { from, until, .. } if now < until => {
                Some(Inherited { share: self.share, from, until })
            }
            _ => None,
        }
    }

    fn can_claim(&self, now: Time) -> bool {
        self.lead_version.is_some()
            && now >= self.unchanged_since + self.settings.lease_timeout
            && now >= self.promised_until
    }
}
