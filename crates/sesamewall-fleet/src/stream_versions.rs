//! Records of the target versions that began streams.
//!
//! A stream goes on only at the version that began it. The instance that forwards its first event
//! records the version and sends the record to a few others, its holders. A record only raises the
//! share of the streams that go on: without one the version counts as unknown.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

use crate::TargetTable;

/// Shortest time for which a record is kept: twice the time within which a client without a limit of
/// its own has its response.
pub const RECORD_TTL: Duration = Duration::from_secs(30);

/// Returns the longest time from the first event of a stream to a take-up of it, for a route with
/// this time limit. The clients' tries share one time budget; the factor covers clients that give
/// each try a budget of its own and take up once.
pub fn record_ttl(timeout: Duration) -> Duration {
    RECORD_TTL.max(timeout * 2)
}

/// Returns the key of the stream that the attempt `id` of an account began. Clients choose the ids,
/// so equal ids of two accounts name two streams.
pub fn stream_key(account: Option<&AccountName>, id: &str) -> u64 {
    let mut hash = Xxh3::new();
    let account = account.map_or("", AccountName::as_str);
    hash.update(&(account.len() as u64).to_le_bytes());
    hash.update(account.as_bytes());
    hash.update(id.as_bytes());
    hash.digest()
}

/// Returns the key of a version in records.
pub fn version_key(version: &str) -> u64 {
    xxh3_64(version.as_bytes())
}

/// What an instance knows of the version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StreamVersion {
    /// There is no record.
    Unknown,
    /// Key of the version, from `version_key`.
    Known(u64),
    /// Two records name different versions.
    Conflicting,
}

/// A record for the holders of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StreamRecord {
    /// Key of the stream, from `stream_key`.
    pub stream: u64,
    /// The version that began it, or that it is in doubt.
    pub version: StreamVersion,
    /// Milliseconds for which the record is kept.
    pub remaining_ms: u32,
}

/// Question of an instance for the version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VersionQuery {
    /// Random number that the answer repeats.
    pub query: u64,
    /// Key of the stream.
    pub stream: u64,
}

/// Answer of a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VersionAnswer {
    /// Number of the query.
    pub query: u64,
    /// What the holder knows.
    pub version: StreamVersion,
    /// Milliseconds for which the holder keeps the record; 0 without one.
    pub remaining_ms: u32,
}

/// Settings of the records.
#[derive(Clone, Debug)]
pub struct StreamVersionSettings {
    /// Largest number of records. The record that expires first makes room for another one.
    pub max_records: usize,
    /// Largest number of begun streams whose targets' entries are compared once more. Beyond it the
    /// oldest one is not compared.
    pub max_compared: usize,
    /// Longest time until a target has written the entry of a new start, and a table shows it that is
    /// as new.
    pub compare_time: Duration,
    /// Largest difference between the clocks of this instance and of a target.
    pub clock_skew: Duration,
}

impl Default for StreamVersionSettings {
    fn default() -> Self {
        Self {
            max_records: 1 << 16,
            max_compared: 1 << 12,
            compare_time: Duration::from_secs(3),
            clock_skew: Duration::from_millis(250),
        }
    }
}

/// A stream that began here a moment ago. Its target may have started again just before, with another
/// version that this instance had not read yet.
#[derive(Clone, Debug)]
pub struct BegunStream {
    /// Key of the stream.
    pub stream: u64,
    /// The target that sent the first event.
    pub target: TargetName,
    /// Start of the target by its entry, in Unix milliseconds.
    pub started_ms: u64,
    /// Time of day of the first event, in Unix milliseconds.
    pub begun_ms: u64,
    /// Time of the first event.
    pub begun_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    version: StreamVersion,
    expires_at: Time,
}

/// The records of one instance: those of streams that it forwarded, and those that it holds for
/// others.
#[derive(Clone, Debug, Default)]
pub struct StreamVersions {
    settings: StreamVersionSettings,
    records: HashMap<u64, Record>,
    expiries: BTreeSet<(Time, u64)>,
    begun: VecDeque<BegunStream>,
}

impl StreamVersions {
    /// Creates an empty set of records.
    pub fn new(settings: StreamVersionSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Adds a record that is kept for `ttl`. A record of another version for the same stream makes
    /// its version unknown to all that hear of it.
    pub fn add(&mut self, stream: u64, version: StreamVersion, ttl: Duration, now: Time) {
        if version == StreamVersion::Unknown || ttl.is_zero() {
            return;
        }
        let mut record = Record { version, expires_at: now + ttl };
        if let Some(known) = self.records.get(&stream).copied() {
            self.expiries.remove(&(known.expires_at, stream));
            if known.expires_at > now {
                record.expires_at = record.expires_at.max(known.expires_at);
                if known.version != version {
                    record.version = StreamVersion::Conflicting;
                }
            }
        }
        self.records.insert(stream, record);
        self.expiries.insert((record.expires_at, stream));
        while self.records.len() > self.settings.max_records {
            let Some((_, first)) = self.expiries.pop_first() else { return };
            self.records.remove(&first);
        }
    }

    /// Returns what is known of a stream, and how long the record is kept.
    pub fn get(&self, stream: u64, now: Time) -> (StreamVersion, Duration) {
        match self.records.get(&stream) {
            Some(record) if record.expires_at > now => {
                (record.version, record.expires_at.since(now))
            }
            _ => (StreamVersion::Unknown, Duration::ZERO),
        }
    }

    /// Adds a stream that began here, so that the entry of its target is compared again.
    pub fn on_begun(&mut self, begun: BegunStream) {
        self.begun.push_back(begun);
        while self.begun.len() > self.settings.max_compared {
            self.begun.pop_front();
        }
    }

    /// Records that the connection to the target of a begun stream was lost before another start of the
    /// target was read: the start that began the stream has crashed.
    pub fn on_lost(&mut self, stream: u64) {
        self.begun.retain(|begun| begun.stream != stream);
    }

    /// Returns the begun streams whose targets turn out to have started again before the first event.
    /// Their versions are in doubt. `age` is the age of the table; `None` if it was never read.
    pub fn take_doubtful(
        &mut self,
        table: &TargetTable,
        age: Option<Duration>,
        now: Time,
    ) -> Vec<u64> {
        let StreamVersionSettings { compare_time, clock_skew, .. } = self.settings;
        let skew_ms = clock_skew.as_millis() as u64;
        let mut doubtful = Vec::new();
        self.begun.retain(|begun| {
            let known = table.get(&begun.target).map(|target| target.entry.started_ms);
            let is_doubtful = known.is_some_and(|started_ms| {
                started_ms != begun.started_ms && started_ms <= begun.begun_ms + skew_ms
            });
            if is_doubtful {
                doubtful.push(begun.stream);
            }
            let since_begun = now.since(begun.begun_at);
            // What the table shows is as old as the table.
            let shown = age.map_or(Duration::ZERO, |age| since_begun.saturating_sub(age));
            !is_doubtful && shown < compare_time && since_begun < RECORD_TTL
        });
        doubtful
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes expired records.
    pub fn on_tick(&mut self, now: Time) {
        while let Some((_, stream)) = self.expiries.first().copied().filter(|(at, _)| *at <= now) {
            self.expiries.pop_first();
            self.records.remove(&stream);
        }
    }
}

/// Returns the version that a response of a target has, as far as its entry shows: the target was
/// chosen with `version` and `started_ms`, and the first event has just arrived. `None` if its entry
/// has changed since, because either start may have sent the event.
///
/// Targets without a version have a common one only while no target of the service names any.
pub fn response_version(
    table: &TargetTable,
    service: &str,
    target: &TargetName,
    version: &Arc<str>,
    started_ms: u64,
) -> Option<Arc<str>> {
    let is_same = table.get(target).is_none_or(|known| {
        known.entry.version == *version && known.entry.started_ms == started_ms
    });
    (is_same && is_comparable(table, service, version)).then(|| version.clone())
}

/// Returns whether targets with the same `version` text in their entries have the same version.
pub fn is_comparable(table: &TargetTable, service: &str, version: &str) -> bool {
    let names_none = || table.of_service(service).all(|target| target.entry.version.is_empty());
    !version.is_empty() || names_none()
}
