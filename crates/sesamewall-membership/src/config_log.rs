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
pub const KEPT_CHANGES: usize = 512;

const MAX_WAITING: usize = 1_024;
const MAX_CHUNKS: usize = 64;
const MAX_SENT_BYTES: usize = 900_000;
const ASK_EVERY: Duration = Duration::from_millis(300);

/// Something that the follower wants done or known.
#[derive(Clone, Debug)]
pub enum LogAction {
    /// This configuration is in force from now on; as lead, push its change.
    Applied(Configuration),
    /// Ask this instance for missing changes.
    Ask {
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
pub struct Follower {
    config: Configuration,
    kept: VecDeque<Change>,
    waiting: BTreeMap<Revision, Change>,
    chunks: BTreeMap<(Revision, u32), (u32, String)>,
    asked: Option<Time>,
    ignored: u64,
    in_order: bool,
}

impl Default for Follower {
    fn default() -> Self {
        Self::new(true)
    }
}

impl Follower {
    /// Returns a follower at revision 0. Without `in_order` it takes each change as it comes, so
    /// that tests can show that their checks report this.
    pub fn new(in_order: bool) -> Self {
        Self {
            config: Configuration::default(),
            kept: VecDeque::new(),
            waiting: BTreeMap::new(),
            chunks: BTreeMap::new(),
            asked: None,
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
        self.kept.iter().find(|c| c.revision == revision).map(|c| c.author.as_str())
    }

    /// Returns the kept changes that a store restored from a copy at revision `stored` lacks; the
    /// lead creates them again if they are absent.
    pub fn missing_in_store(&self, stored: Revision) -> Vec<Change> {
        self.kept.iter().filter(|change| change.revision > stored).cloned().collect()
    }

    /// Handles changes from the store or a peer, in any order.
    pub fn offer(&mut self, changes: impl IntoIterator<Item = Change>) -> Vec<LogAction> {
        let mut actions = Vec::new();
        for change in changes {
            if !self.in_order {
                let at = change.revision.saturating_sub(1);
                let forced = Configuration::from_resources(at, self.config.resources());
                self.config = forced.unwrap_or_default();
                self.apply(change, &mut actions);
                continue;
            }
            let behind = change.revision <= self.config.revision();
            let next = change.revision == self.config.revision() + 1;
            let full = self.waiting.len() >= MAX_WAITING && !next;
            if behind || full || self.waiting.contains_key(&change.revision) {
                self.ignored += 1;
                continue;
            }
            self.waiting.insert(change.revision, change);
            self.apply_waiting(&mut actions);
        }
        actions
    }

    /// Handles one chunk of a snapshot from the store or a peer.
    pub fn offer_chunk(&mut self, chunk: &str) -> Vec<LogAction> {
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
        let whole = (revision, 0)..=(revision, u32::MAX);
        if self.chunks.range(whole.clone()).count() < header.parts as usize {
            return actions;
        }
        let bodies = self.chunks.range(whole).map(|(_, (_, body))| body.as_str());
        match decode_snapshot(revision, bodies) {
            Ok(config) => {
                self.config = config;
                // Changes up to a snapshot are not known here, so kept ones would have a gap.
                self.kept.clear();
                self.waiting = self.waiting.split_off(&(revision + 1));
                actions.push(LogAction::Applied(self.config.clone()));
                self.apply_waiting(&mut actions);
            }
            Err(error) => actions.push(LogAction::Skipped { revision, error }),
        }
        self.chunks.retain(|(kept, _), _| *kept > revision);
        actions
    }

    /// Handles the revision that a peer has in force, and asks it for changes if it is ahead.
    pub fn hear(&mut self, now: Time, from: &InstanceName, revision: Revision) -> Vec<LogAction> {
        let after = self.config.revision();
        let wait = self.asked.is_some_and(|asked| now.since(asked) < ASK_EVERY);
        if revision <= after || wait {
            return Vec::new();
        }
        self.asked = Some(now);
        let message = MembershipMessage::ConfigAsk { after };
        vec![LogAction::Ask { to: from.clone(), message }]
    }

    /// Returns whether a change after the next one is known, so that the next one is missing.
    pub fn has_gap(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the answer to a `ConfigAsk`: the changes after `after`, or a snapshot if the oldest
    /// of them is no longer kept.
    pub fn answer(&self, after: Revision) -> Vec<MembershipMessage> {
        if after >= self.config.revision() {
            return Vec::new();
        }
        let changes: Vec<&Change> = self.kept.iter().filter(|c| c.revision > after).collect();
        if changes.first().is_none_or(|change| change.revision != after + 1) {
            let chunks = encode_snapshot(&self.config).unwrap_or_default();
            let message = |chunk| MembershipMessage::ConfigSnapshot { chunk };
            return chunks.into_iter().map(message).collect();
        }
        let mut bytes = 0;
        let mut fits = |change: &&Change| {
            let first = bytes == 0;
            bytes += serde_json::to_vec(change).map_or(0, |value| value.len());
            first || bytes <= MAX_SENT_BYTES
        };
        let changes = changes.into_iter().take_while(|change| fits(change)).cloned().collect();
        vec![MembershipMessage::ConfigDiff { changes }]
    }

    fn apply_waiting(&mut self, actions: &mut Vec<LogAction>) {
        while let Some(change) = self.waiting.remove(&(self.config.revision() + 1)) {
            self.apply(change, actions);
        }
    }

    fn apply(&mut self, change: Change, actions: &mut Vec<LogAction>) {
        self.config = self.config.apply(&change).unwrap_or_else(|error| {
            actions.push(LogAction::Skipped { revision: change.revision, error });
            self.config.skip()
        });
        self.kept.push_back(change);
        if self.kept.len() > KEPT_CHANGES {
            self.kept.pop_front();
        }
        actions.push(LogAction::Applied(self.config.clone()));
    }
}
