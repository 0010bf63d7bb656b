//! Follows the configuration log: applies changes in order and passes them on.

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

/// Changes that an instance keeps for others that are behind.
pub const RETAINED_CHANGES: usize = 512;

const MAX_PENDING: usize = 1_024;
const MAX_CHUNKS: usize = 64;
const MAX_DIFF_BYTES: usize = 900_000;
const REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// Something that the follower wants done or known.
#[derive(Clone, Debug)]
pub enum ConfigAction {
    /// This configuration is in force from now on; as lead, push its change.
    Applied(Configuration),
    /// Ask this instance for missing changes.
    Request {
        /// The receiver.
        to: InstanceName,
        /// The message.
        message: MembershipMessage,
    },
    /// An accepted change does not validate here; its revision counts, its operations do not.
    Skipped {
        /// The change.
        revision: Revision,
        /// Why.
        error: Error,
    },
}

/// The configuration in force on one instance.
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
    /// Returns a follower at revision 0. Without `in_order` it takes each change as it comes, so
    /// that tests can show that their checks report this.
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

    /// Returns the author of a change that this instance still keeps.
    pub fn author(&self, revision: Revision) -> Option<&str> {
        self.retained.iter().find(|c| c.revision == revision).map(|c| c.author.as_str())
    }

    /// Returns the kept changes that a store restored from a copy at revision `stored` lacks; the
    /// lead creates them again if they are absent.
    pub fn missing_in_store(&self, stored: Revision) -> Vec<Change> {
        self.retained.iter().filter(|change| change.revision > stored).cloned().collect()
    }

    /// Handles changes from the store or a peer, in any order.
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

    /// Handles one chunk of a snapshot from the store or a peer.
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
                // Changes up to a snapshot are not known here, so kept ones would have a gap.
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

    /// Handles the revision that a peer has in force, and asks it for changes if it is ahead.
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

    /// Returns whether a change after the next one is known, so that the next one is missing.
    pub fn has_gap(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the answer to a `ConfigAsk`: the changes after `after`, or a snapshot if the oldest
    /// of them is no longer kept.
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
