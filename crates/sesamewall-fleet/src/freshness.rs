//! How old the state is that operators and targets write to the store, when it has to be read again,
//! and when requests wait for that.
//!
//! A watch that hears nothing and a store in which nothing changes look the same, so the age of the
//! state is bounded by reads. One hub reads, and the others take its word.

use std::time::Duration;

use sesamewall_protocol::Time;
use sesamewall_protocol::scaled;

use crate::Confirmation;
use crate::Versions;

/// Most hubs in front of the local one that delay its read.
const MAX_RANK: u32 = 3;

/// Settings of the age of the state.
#[derive(Clone, Debug)]
pub struct FreshnessSettings {
    /// Age at which the first hub reads the store.
    pub read_age: Duration,
    /// Additional age for each hub in front of the local one, which has read the store by then.
    pub rank_delay: Duration,
    /// Age at which an instance that does not watch the store reads it: nobody has confirmed its
    /// state.
    pub member_age: Duration,
    /// Age from which requests wait until the state is confirmed.
    pub max_age: Duration,
    /// Longest wait of requests. An instance that reaches nobody goes on with what it knows, since
    /// a failure domain that is cut off has to serve.
    pub max_wait: Duration,
    /// Time between two reads of which the first one failed.
    pub retry_interval: Duration,
}

impl Default for FreshnessSettings {
    fn default() -> Self {
        Self::within(Duration::from_secs(2))
    }
}

impl FreshnessSettings {
    /// Returns the settings with which a change in the store is in force after `deadline`. Part of
    /// it is left for pauses of the process that are too short to be noticed.
    pub fn within(deadline: Duration) -> Self {
        Self {
            read_age: scaled(deadline, 0.35),
            rank_delay: scaled(deadline, 0.05),
            member_age: scaled(deadline, 0.53),
            max_age: scaled(deadline, 0.6),
            max_wait: Duration::from_millis(250),
            retry_interval: deadline / 4,
        }
    }
}

/// The part that the local instance has in reading the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reader {
    /// It watches the store for its failure domain, as the hub of this rank among all that do so.
    Watcher {
        /// Number of hubs in front of it.
        rank: u32,
    },
    /// It relies on a hub.
    Member,
}

/// What has to be read from the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DueReads {
    /// The operators' keys.
    pub operators: bool,
    /// The targets' entries.
    pub targets: bool,
}

/// Times as of which a copy of the state was complete; `None` if it was never read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ReadTimes {
    operators: Option<Time>,
    targets: Option<Time>,
}

impl ReadTimes {
    fn oldest(&self) -> Option<Time> {
        self.operators.min(self.targets)
    }
}

/// Times as of which the local copy of the state was complete, each the time at which a call that
/// read it was sent.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    settings: FreshnessSettings,
    started_at: Time,
    read: ReadTimes,
    /// The last confirmation by a hub, which counts once the local instance has read as far.
    confirmed: Option<(Versions, ReadTimes)>,
    /// Time as of which the state was complete when the members were last told.
    announced: Option<Time>,
    waiting_since: Option<Time>,
    failed_at: Option<Time>,
}

impl Freshness {
    /// Creates the ages of a process that was started at `started_at` and has read nothing. Its
    /// watch or a hub gives it the state before a read of its own is due.
    pub fn new(settings: FreshnessSettings, started_at: Time) -> Self {
        Self { settings, started_at, ..Self::default() }
    }

    /// Records that the operators' keys were read by a call sent at `sent_at`.
    pub fn on_operators_read(&mut self, sent_at: Time) {
        self.read.operators = self.read.operators.max(Some(sent_at));
        self.failed_at = None;
    }

    /// Records that the targets' entries were read by a call sent at `sent_at`.
    pub fn on_targets_read(&mut self, sent_at: Time) {
        self.read.targets = self.read.targets.max(Some(sent_at));
        self.failed_at = None;
    }

    /// Records that the store could not be read.
    pub fn on_failure(&mut self, now: Time) {
        self.failed_at = Some(now);
    }

    /// Records a confirmation by a hub. `local` is how far the local instance has read.
    pub fn on_confirmation(&mut self, confirmation: &Confirmation, local: &Versions, now: Time) {
        let time = |age_ms: u32| Some(now - Duration::from_millis(u64::from(age_ms)));
        let read = ReadTimes {
            operators: time(confirmation.operators_age),
            targets: time(confirmation.targets_age),
        };
        self.confirmed = Some((confirmation.versions, read));
        self.on_versions(local);
    }

    /// Records that the local instance has read as far as `local`.
    pub fn on_versions(&mut self, local: &Versions) {
        let Some((versions, read)) = &self.confirmed else { return };
        if local.config >= versions.config && local.maintenance >= versions.maintenance {
            self.read.operators = self.read.operators.max(read.operators);
        }
        if local.table >= versions.table {
            self.read.targets = self.read.targets.max(read.targets);
        }
    }

    /// Returns what to read from the store now.
    pub fn due(&self, reader: Reader, now: Time) -> DueReads {
        let age = self.due_age(reader);
        let is_due = |read: Option<Time>| {
            now.since(read.unwrap_or(self.started_at)) >= age
                && now >= self.retry_at().unwrap_or(now)
        };
        DueReads { operators: is_due(self.read.operators), targets: is_due(self.read.targets) }
    }

    /// Returns the time until something has to be read from the store.
    pub fn due_in(&self, reader: Reader, now: Time) -> Duration {
        let due_at = self.read.oldest().unwrap_or(self.started_at) + self.due_age(reader);
        due_at.max(self.retry_at().unwrap_or(due_at)).since(now)
    }

    /// Returns whether requests wait for a confirmation of the state.
    pub fn must_wait(&mut self, now: Time) -> bool {
        if self.age(now).is_none_or(|age| age <= self.settings.max_age) {
            self.waiting_since = None;
            return false;
        }
        let since = *self.waiting_since.get_or_insert(now);
        now.since(since) < self.settings.max_wait
    }

    /// Returns the confirmation for other instances; `None` before the first read.
    pub fn confirmation(&self, versions: Versions, now: Time) -> Option<Confirmation> {
        let age_ms = |at: Time| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        Some(Confirmation {
            versions,
            operators_age: age_ms(self.read.operators?),
            targets_age: age_ms(self.read.targets?),
        })
    }

    /// Returns whether the state is complete as of a time at least `step` later than when this last
    /// returned true. A hub tells its members then.
    pub fn is_announcement_due(&mut self, step: Duration) -> bool {
        let Some(oldest) = self.read.oldest() else { return false };
        let is_due = self.announced.is_none_or(|announced| oldest >= announced + step);
        if is_due {
            self.announced = Some(oldest);
        }
        is_due
    }

    /// Returns the age of the state, that of its oldest part; `None` before the first read.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.read.oldest().map(|at| now.since(at))
    }

    /// Returns the age of the target table; `None` if it was never read.
    pub fn targets_age(&self, now: Time) -> Option<Duration> {
        self.read.targets.map(|at| now.since(at))
    }

    fn due_age(&self, reader: Reader) -> Duration {
        match reader {
            Reader::Watcher { rank } => {
                self.settings.read_age + self.settings.rank_delay * rank.min(MAX_RANK)
            }
            Reader::Member => self.settings.member_age,
        }
    }

    fn retry_at(&self) -> Option<Time> {
        self.failed_at.map(|at| at + self.settings.retry_interval)
    }
}
