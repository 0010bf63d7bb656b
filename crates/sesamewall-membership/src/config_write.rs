//! Writes an operator's change and snapshots to the configuration log.

use sesamewall_ports::StoreError;
use sesamewall_protocol::Change;
use sesamewall_protocol::Error;
use sesamewall_protocol::Operation;
use sesamewall_protocol::Result;
use sesamewall_protocol::Revision;

use crate::Configuration;
use crate::config_log::ConfigFollower;
use crate::log_format::SNAPSHOT_INTERVAL;
use crate::log_format::SnapshotHead;
use crate::log_format::change_key;
use crate::log_format::chunk_key;
use crate::log_format::decode_change;
use crate::log_format::encode_change;
use crate::log_format::encode_snapshot;

const MAX_ATTEMPTS: u32 = 8;

/// The next step of an operator's write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteAction {
    /// Create `key` with `value` if it is absent and pass the result to `ChangeWriter::on_written`.
    Create {
        /// Full key.
        key: String,
        /// The value.
        value: Vec<u8>,
    },
    /// Read `key` and pass the result to `ChangeWriter::on_read`.
    Read {
        /// Full key.
        key: String,
    },
    /// The change is accepted; pass it to the local `ConfigFollower` at once.
    Accepted(Change),
    /// The change is not accepted, or its outcome is unknown if the error message says so.
    Refused(Error),
}

/// A change requested by an operator.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    /// Revision that the change was made against.
    pub against: Revision,
    /// Random token by which the writer recognises its change.
    pub token: String,
    /// Author of the change.
    pub author: String,
    /// Wall time in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Operations of the change.
    pub operations: Vec<Operation>,
}

/// Writes one change. Creating the key of its revision is the commit point.
#[derive(Clone, Debug)]
pub struct ChangeWriter {
    change: Change,
    value: Vec<u8>,
    outcome_unknown: bool,
    attempts: u32,
    read_back: bool,
}

impl ChangeWriter {
    /// Checks `request` against the configuration in force and returns the first step. Without
    /// `read_back`, an unknown outcome counts as a failure, so that a test can detect the absence
    /// of the read.
    ///
    /// # Errors
    ///
    /// Returns `Error::RevisionConflict` if the request was made against another revision, and the
    /// errors of `Configuration::validate` and `encode_change`.
    pub fn start(
        follower: &ConfigFollower,
        request: ChangeRequest,
        read_back: bool,
    ) -> Result<(Self, WriteAction)> {
        let config = follower.config();
        let (against, current) = (request.against, config.revision());
        if against != current {
            let winner = follower.author(against + 1).unwrap_or("an earlier author").to_owned();
            return Err(Error::RevisionConflict { against, current, winner });
        }
        config.validate(&request.operations)?;
        let change = Change {
            revision: against + 1,
            token: request.token,
            author: request.author,
            at_ms: request.at_ms,
            operations: request.operations,
        };
        let value = encode_change(&change)?;
        let mut writer = Self { change, value, outcome_unknown: false, attempts: 0, read_back };
        let action = writer.create();
        Ok((writer, action))
    }

    /// Handles the result of `WriteAction::Create`.
    pub fn on_written(&mut self, result: std::result::Result<u64, StoreError>) -> WriteAction {
        match result {
            Ok(_) => WriteAction::Accepted(self.change.clone()),
            Err(StoreError::Unclear) if !self.read_back => self.refuse("the answer was lost"),
            Err(StoreError::Unclear) => {
                self.outcome_unknown = true;
                self.read_change()
            }
            Err(StoreError::Conflict) => self.read_change(),
            Err(error) if self.outcome_unknown => self.retry(&error),
            Err(error) => self.refuse(&error.to_string()),
        }
    }

    /// Handles the result of `WriteAction::Read`.
    pub fn on_read(
        &mut self,
        result: std::result::Result<Option<&[u8]>, StoreError>,
    ) -> WriteAction {
        match result {
            Ok(Some(value)) => match decode_change(value) {
                Ok(found) if found.token == self.change.token => {
                    WriteAction::Accepted(self.change.clone())
                }
                Ok(found) => WriteAction::Refused(Error::RevisionConflict {
                    against: self.change.revision - 1,
                    current: found.revision,
                    winner: found.author,
                }),
                Err(error) => WriteAction::Refused(error),
            },
            Ok(None) => self.create(),
            Err(error) => self.retry(&error),
        }
    }

    fn create(&mut self) -> WriteAction {
        self.attempts += 1;
        if self.attempts > MAX_ATTEMPTS {
            return self.refuse("too many attempts");
        }
        let key = change_key(self.change.revision);
        WriteAction::Create { key, value: self.value.clone() }
    }

    fn read_change(&self) -> WriteAction {
        WriteAction::Read { key: change_key(self.change.revision) }
    }

    fn retry(&mut self, error: &StoreError) -> WriteAction {
        self.attempts += 1;
        if self.attempts > MAX_ATTEMPTS {
            self.refuse(&error.to_string())
        } else {
            self.read_change()
        }
    }

    fn refuse(&self, reason: &str) -> WriteAction {
        let (revision, token) = (self.change.revision, &self.change.token);
        let detail = if self.outcome_unknown {
            format!("{reason}; whether revision {revision} has token {token} is unknown")
        } else {
            format!("{reason}; nothing was written")
        };
        WriteAction::Refused(Error::StoreUnavailable { detail })
    }
}

/// Returns whether the writer of `revision` must store a snapshot, given the newest one.
pub fn snapshot_due(revision: Revision, newest: Option<SnapshotHead>) -> bool {
    revision >= newest.map_or(0, |head| head.revision) + SNAPSHOT_INTERVAL
}

/// The store calls that write a snapshot, in this order. Each step starts only after the previous
/// one succeeded; a chunk that exists already counts as written.
#[derive(Clone, Debug)]
pub struct SnapshotPlan {
    /// Keys and values to create if absent.
    pub chunks: Vec<(String, String)>,
    /// The value for `SNAPSHOT_HEAD`, to be written with compare-and-swap if the stored revision
    /// is lower.
    pub head: SnapshotHead,
    /// Keys of changes and chunks to delete after that; absent keys are skipped.
    pub delete: Vec<String>,
}

impl SnapshotPlan {
    /// Returns the plan for `config`. The changes of one snapshot interval before the snapshot are
    /// retained for instances that are behind.
    ///
    /// # Errors
    ///
    /// Returns `Error::Internal` if a resource cannot be encoded.
    pub fn new(config: &Configuration, newest: Option<SnapshotHead>) -> Result<Self> {
        let revision = config.revision();
        let chunks = encode_snapshot(config)?;
        let parts = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
        let keyed = (0..parts).map(|part| chunk_key(revision, part)).zip(chunks).collect();
        let last = revision.saturating_sub(SNAPSHOT_INTERVAL);
        let first = last.saturating_sub(2 * SNAPSHOT_INTERVAL) + 1;
        let changes = (first..=last).map(change_key);
        let old = newest.filter(|head| head.revision < revision);
        let old_chunks = old
            .into_iter()
            .flat_map(|head| (0..head.parts).map(move |part| chunk_key(head.revision, part)));
        let delete = changes.chain(old_chunks).collect();
        Ok(Self { chunks: keyed, head: SnapshotHead { revision, parts }, delete })
    }
}
