//! What one instance knows about one order.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use sesamewall_protocol::Time;

use super::HaltReason;
use super::RolloutOrder;
use super::RolloutPhase;
use super::RolloutProgress;
use super::VerdictFigures;
use super::VersionOutcomes;
use super::rollout_key;

/// A request that was sent during a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionRun {
    pub(super) service: u32,
    pub(super) revision: u64,
    pub(super) route: u32,
    pub(super) is_new: bool,
}

impl VersionRun {
    /// Returns whether the request was sent to the new version.
    pub fn is_new(&self) -> bool {
        self.is_new
    }
}

/// Requests of the local instance on one route since it learned of the order.
#[derive(Clone, Debug, Default)]
pub(super) struct LocalRoute {
    pub(super) batch: bool,
    pub(super) sent: u32,
    pub(super) sent_new: u32,
    pub(super) old: VersionOutcomes,
    pub(super) new: VersionOutcomes,
}

/// A halt by the local hub.
#[derive(Clone, Copy, Debug)]
pub(super) struct Halt {
    pub(super) reason: HaltReason,
    pub(super) figures: VerdictFigures,
}

/// An order and what is known about it.
#[derive(Clone, Debug)]
pub(super) struct Rollout {
    pub(super) order: RolloutOrder,
    pub(super) key: u32,
    /// Time of the order, as far as is known from the first instance that learned of it.
    pub(super) ordered_at: Time,
    pub(super) phase: Option<RolloutPhase>,
    pub(super) promoted_at: Option<Time>,
    /// Time at which the local instance learned of a halt.
    pub(super) halted_at: Option<Time>,
    /// Time since when no request was seen at an old target.
    pub(super) idle_since: Option<Time>,
    /// Phase of the stored record of this order.
    pub(super) stored: Option<RolloutPhase>,
    pub(super) halt: Option<Halt>,
    /// A later order is known from peers, which this instance has not read.
    pub(super) overtaken: bool,
    pub(super) routes: BTreeMap<u32, LocalRoute>,
}

impl Rollout {
    pub(super) fn new(order: RolloutOrder, now: Time) -> Self {
        Self {
            key: rollout_key(&order.service),
            order,
            ordered_at: now,
            phase: None,
            promoted_at: None,
            halted_at: None,
            idle_since: None,
            stored: None,
            halt: None,
            overtaken: false,
            routes: BTreeMap::new(),
        }
    }

    /// Raises the phase; a lower one changes nothing. Returns whether it has changed.
    pub(super) fn raise(&mut self, phase: RolloutPhase, now: Time) -> bool {
        if self.phase >= Some(phase) {
            return false;
        }
        self.phase = Some(phase);
        match phase {
            RolloutPhase::Promoting => self.promoted_at = Some(now),
            RolloutPhase::RolledBack => self.halted_at = Some(now),
            RolloutPhase::Trial | RolloutPhase::Completed => {}
        }
        true
    }

    /// Applies the progress known to a peer. Returns whether the phase has changed.
    pub(super) fn on_progress(&mut self, progress: &RolloutProgress, now: Time) -> bool {
        match progress.revision.cmp(&self.order.revision) {
            Ordering::Less => false,
            Ordering::Equal => {
                let age = Duration::from_millis(progress.age.into());
                if now.since(self.ordered_at) < age {
                    self.ordered_at = now - age;
                }
                self.raise(progress.phase, now)
            }
            Ordering::Greater => !std::mem::replace(&mut self.overtaken, true),
        }
    }

    /// Returns whether a halt is known that is not stored and was decided by another hub.
    pub(super) fn needs_figures(&self) -> bool {
        self.phase == Some(RolloutPhase::RolledBack)
            && self.stored < self.phase
            && self.halt.is_none()
    }

    pub(super) fn progress(&self, now: Time) -> Option<RolloutProgress> {
        let age = u32::try_from(now.since(self.ordered_at).as_millis()).unwrap_or(u32::MAX);
        let revision = self.order.revision;
        self.phase.map(|phase| RolloutProgress { service: self.key, revision, phase, age })
    }
}
