//! Outcomes of rollouts received from members of the group and from other hubs.

use std::collections::HashMap;
use std::time::Duration;

use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;

use super::RouteOutcomes;
use super::merge_outcomes;

/// Time after which outcomes that were not sent again are removed: several of the intervals at which
/// they are sent during a rollout.
const OUTCOME_TTL: Duration = Duration::from_secs(3);

/// The last outcomes of a member or of another hub's group.
#[derive(Clone, Debug, Default)]
struct PeerEntry {
    boot_id: u64,
    in_group: bool,
    /// Time of the last datagram.
    heard_at: Time,
    /// Time of the last datagram with outcomes.
    sent_at: Time,
    outcomes: Vec<RouteOutcomes>,
}

/// The last outcomes of all peers. They are totals, so those of a peer replace its former ones, and
/// those of a lost peer are removed: its members send theirs to another hub.
#[derive(Clone, Debug, Default)]
pub struct PeerOutcomes {
    peers: HashMap<InstanceName, PeerEntry>,
}

impl PeerOutcomes {
    /// Applies a report (`in_group`) or beacon. Without `outcomes` the last ones of the same start
    /// stay.
    pub fn on_received(
        &mut self,
        name: &InstanceName,
        boot_id: u64,
        in_group: bool,
        outcomes: &[RouteOutcomes],
        now: Time,
    ) {
        let known = self.peers.get(name);
        let is_same =
            known.is_some_and(|known| known.boot_id == boot_id && known.in_group == in_group);
        match outcomes.is_empty() {
            true if !is_same => {
                self.peers.remove(name);
            }
            true => {
                if let Some(known) = self.peers.get_mut(name) {
                    known.heard_at = now;
                }
            }
            false => {
                let outcomes = outcomes.to_vec();
                let entry = PeerEntry { boot_id, in_group, heard_at: now, sent_at: now, outcomes };
                self.peers.insert(name.clone(), entry);
            }
        }
    }

    /// Removes the outcomes of a peer.
    pub fn drop_peer(&mut self, name: &InstanceName) {
        self.peers.remove(name);
    }

    /// Removes the outcomes of all peers.
    pub fn reset(&mut self) {
        self.peers.clear();
    }

    /// Removes the outcomes that were not sent again.
    pub fn on_tick(&mut self, now: Time) {
        self.peers.retain(|_, peer| now.since(peer.sent_at) < OUTCOME_TTL);
    }

    /// Returns the sums of `local` and the outcomes of the peers that were heard within
    /// `live_timeout`; only of members of the group if `group_only`.
    pub fn sums(
        &self,
        local: &[RouteOutcomes],
        group_only: bool,
        live_timeout: Duration,
        now: Time,
    ) -> Vec<RouteOutcomes> {
        let counts = |peer: &&PeerEntry| {
            (peer.in_group || !group_only) && now.since(peer.heard_at) <= live_timeout
        };
        let peers = self.peers.values().filter(counts).map(|peer| peer.outcomes.as_slice());
        merge_outcomes(std::iter::once(local).chain(peers))
    }
}
