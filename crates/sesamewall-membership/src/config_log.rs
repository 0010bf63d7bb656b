//! Follows the configuration log: applies changes in order and provides them to peers.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use sesamewall_protocol::Change;
use sesamewall_protocol::Error;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Revision;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::MembershipMessage;

use crate::Configuration;
use crate::log_format::decode_chunk;
use crate::log_format::decode_snapshot;
use crate::log_format::encode_snapshot;

/// Number of changes that an instance retains for peers that are behind.
pub const RETAINED_CHANGES: usize = 512;

const MAX_PENDING: usize = 1_024;
const MAX_CHUNKS: usize = 64;
const MAX_DIFF_BYTES: usize = 900_000;
const REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// An action or an event that `ConfigFollower` returns to its caller.
#[derive(Clone, Debug)]
pub enum ConfigAction {
    /// This configuration is now in force; the lead pushes its change to the peers.
    Applied(Configuration),
    /// Request missing changes from this instance.
    Request {
        /// The receiver.
        to: InstanceName,
        /// The message.
        message: MembershipMessage,
    },
    /// An accepted change is not valid on this instance: its revision is counted, and its
    /// operations are not applied.
    Skipped {
        /// The change.
        revision: Revision,
        /// The reason.
        error: Error,
    },
}

/// Follows the configuration log on one instance and holds the configuration in force.
#[derive(Clone, Debug)]
pub struct ConfigFollower {
    config: Configuration,
    retained: VecDeque<Change>,
    pending: BTreeMap<Revision, Change>,
    chunks: BTreeMap<(Revision, u32), (u32, String)>,
    last_request: Option<Time>,
    ignored: u64,
    in_order: bool,
}

impl Default for ConfigFollower {
    fn default() -> Self {
        Self::new(true)
    }
}

impl ConfigFollower {
    /// Returns a follower at revision 0. Without `in_order` it applies each change on arrival, so
    /// that a test can detect the absence of ordering.
    pub fn new(in_order: bool) -> Self {
        Self {
            config: Configuration::default(),
            retained: VecDeque::new(),
            pending: BTreeMap::new(),
            chunks: BTreeMap::new(),
            last_request: None,
            ignored: 0,
            in_order,
        }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Configuration {
        &self.config
    }

    /// Returns how many duplicate, old or damaged changes and chunks were ignored.
    pub fn ignored(&self) -> u64 {
        self.ignored
    }

    /// Returns the author of a change that this instance still retains.
    pub fn author(&self, revision: Revision) -> Option<&str> {
        self.retained.iter().find(|c| c.revision == revision).map(|c| c.author.as_str())
    }

    /// Returns the retained changes that are missing in a store restored from a backup at revision
    /// `stored`; the lead creates them again if they are absent.
    pub fn missing_in_store(&self, stored: Revision) -> Vec<Change> {
        self.retained.iter().filter(|change| change.revision > stored).cloned().collect()
    }

    /// Adds changes from the store or a peer, in any order, and applies those whose predecessors
    /// are applied.
    pub fn add_changes(&mut self, changes: impl IntoIterator<Item = Change>) -> Vec<ConfigAction> {
        let mut actions = Vec::new();
        for change in changes {
            if !self.in_order {
                let at = change.revision.saturating_sub(1);
                let forced = Configuration::from_resources(at, self.config.resources());
                self.config = forced.unwrap_or_default();
                self.apply(change, &mut actions);
                continue;
            }
            let is_applied = change.revision <= self.config.revision();
            let is_next = change.revision == self.config.revision() + 1;
            let is_full = self.pending.len() >= MAX_PENDING && !is_next;
            if is_applied || is_full || self.pending.contains_key(&change.revision) {
                self.ignored += 1;
                continue;
            }
            self.pending.insert(change.revision, change);
            self.apply_pending(&mut actions);
        }
        actions
    }

    /// Adds one chunk of a snapshot from the store or a peer, and applies the snapshot once it is
    /// complete.
    pub fn add_chunk(&mut self, chunk: &str) -> Vec<ConfigAction> {
        let mut actions = Vec::new();
        let Ok((header, body)) = decode_chunk(chunk) else {
            self.ignored += 1;
            return actions;
        };
        let revision = header.revision;
        if revision <= self.config.revision() {
            self.ignored += 1;
            return actions;
        }
        if self.chunks.len() >= MAX_CHUNKS {
            self.chunks.clear();
        }
        self.chunks.insert((revision, header.part), (header.parts, body.to_owned()));
        let chunk_range = (revision, 0)..=(revision, u32::MAX);
        if self.chunks.range(chunk_range.clone()).count() < header.parts as usize {
            return actions;
        }
        let bodies = self.chunks.range(chunk_range).map(|(_, (_, body))| body.as_str());
        match decode_snapshot(revision, bodies) {
            Ok(config) => {
                self.config = config;
                // The changes up to the snapshot are not known, so the retained changes would have
                // a gap.
                self.retained.clear();
                self.pending = self.pending.split_off(&(revision + 1));
                actions.push(ConfigAction::Applied(self.config.clone()));
                self.apply_pending(&mut actions);
            }
            Err(error) => actions.push(ConfigAction::Skipped { revision, error }),
        }
        self.chunks.retain(|(stored, _), _| *stored > revision);
        actions
    }

    /// Handles the revision that a peer has in force, and requests changes from the peer if it is
    /// ahead.
    pub fn on_peer_revision(
        &mut self,
        now: Time,
        from: &InstanceName,
        revision: Revision,
    ) -> Vec<ConfigAction> {
        let after = self.config.revision();
        let wait = self.last_request.is_some_and(|last| now.since(last) < REQUEST_INTERVAL);
        if revision <= after || wait {
            return Vec::new();
        }
        self.last_request = Some(now);
        let message = MembershipMessage::ConfigAsk { after };
        vec![ConfigAction::Request { to: from.clone(), message }]
    }

    /// Returns whether the next change is missing while a later one is known.
    pub fn has_gap(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the reply to a `ConfigAsk`: the changes after `after`, or a snapshot if the oldest
    /// of them is no longer retained.
    pub fn changes_since(&self, after: Revision) -> Vec<MembershipMessage> {
        if after >= self.config.revision() {
            return Vec::new();
        }
        let changes: Vec<&Change> = self.retained.iter().filter(|c| c.revision > after).collect();
        if changes.first().is_none_or(|change| change.revision != after + 1) {
            let chunks = encode_snapshot(&self.config).unwrap_or_default();
            let message = |chunk| MembershipMessage::ConfigSnapshot { chunk };
            return chunks.into_iter().map(message).collect();
        }
        let mut bytes = 0;
        let mut fits = |change: &&Change| {
            let first = bytes == 0;
            bytes += serde_json::to_vec(change).map_or(0, |value| value.len());
            first || bytes <= MAX_DIFF_BYTES
        };
        let changes = changes.into_iter().take_while(|change| fits(change)).cloned().collect();
        vec![MembershipMessage::ConfigDiff { changes }]
    }

    fn apply_pending(&mut self, actions: &mut Vec<ConfigAction>) {
        while let Some(change) = self.pending.remove(&(self.config.revision() + 1)) {
            self.apply(change, actions);
        }
    }

    fn apply(&mut self, change: Change, actions: &mut Vec<ConfigAction>) {
        self.config = self.config.apply(&change).unwrap_or_else(|error| {
            actions.push(ConfigAction::Skipped { revision: change.revision, error });
            self.config.skip()
        });
        self.retained.push_back(change);
        if self.retained.len() > RETAINED_CHANGES {
            self.retained.pop_front();
        }
        actions.push(ConfigAction::Applied(self.config.clone()));
    }
}
