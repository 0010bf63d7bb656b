//! The rollouts as known to one instance.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sesamewall_protocol::Time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::RolloutFacts;
use super::RolloutOrder;
use super::RolloutPhase;
use super::RolloutProgress;
use super::RolloutRecord;
use super::RolloutSettings;
use super::RouteOutcomes;
use super::Verdict;
use super::VersionChoice;
use super::VersionFilter;
use super::VersionOutcomes;
use super::VersionRun;
use super::VersionSide;
use super::VersionSupply;
use super::judge;
use super::rollout_key;
use super::rollout_state::Halt;
use super::rollout_state::LocalRoute;
use super::rollout_state::Rollout;
use crate::Peers;
use crate::TargetTable;

/// Versions of ended orders that are remembered for a service.
const MAX_BANNED: usize = 8;

/// Orders whose progress is kept before the orders themselves are read, and withdrawn orders.
const MAX_UNREAD: usize = 64;

/// Time for which instances that cannot read the store hear that an order was withdrawn.
const WITHDRAWAL_TTL: Duration = Duration::from_secs(60);

/// When the state of rollouts was last sent in a stream of datagrams.
#[derive(Clone, Debug, Default)]
pub struct NewsTimer {
    changes: u64,
    sent_at: Option<Time>,
}

/// An order that was withdrawn.
#[derive(Clone, Copy, Debug)]
struct Withdrawal {
    service: u32,
    revision: u64,
    withdrawn_at: Time,
}

/// All rollouts as known to the local instance.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
    settings: RolloutSettings,
    local: u32,
    rollouts: BTreeMap<Arc<str>, Rollout>,
    /// Versions of former orders that were halted, withdrawn or overtaken, by service.
    banned: BTreeMap<Arc<str>, Vec<Arc<str>>>,
    withdrawn: Vec<Withdrawal>,
    /// Progress of orders that this instance has not read, and when it was received.
    unread: BTreeMap<u32, (RolloutProgress, Time)>,
    contact_at: Option<Time>,
    /// Number of changes of orders and phases.
    changes: u64,
}

impl Rollouts {
    /// Creates the state of a process that knows no order. `local` is the key of the instance.
    pub fn new(settings: RolloutSettings, local: u32) -> Self {
        Self { settings, local, ..Self::default() }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &RolloutSettings {
        &self.settings
    }

    /// Replaces the orders by those read from the store, by service. An order that is not listed any
    /// more was withdrawn. An order with a lower revision than the known one was read before it and
    /// is ignored. Returns the services whose order has changed.
    pub fn set_orders(
        &mut self,
        mut orders: BTreeMap<Arc<str>, RolloutOrder>,
        now: Time,
    ) -> Vec<Arc<str>> {
        let mut changed = Vec::new();
        let known: Vec<Arc<str>> = self.rollouts.keys().cloned().collect();
        for service in known.into_iter().filter(|service| !orders.contains_key(service)) {
            if let Some(former) = self.rollouts.remove(&service) {
                self.end_order(&former);
                self.add_withdrawal(&former, now);
            }
            changed.push(service);
        }
        orders.retain(|service, order| {
            self.rollouts.get(service).is_none_or(|known| known.order.revision < order.revision)
        });
        for (service, order) in orders {
            if let Some(former) = self.rollouts.remove(&service) {
                self.end_order(&former);
            }
            if let Some(banned) = self.banned.get_mut(&service) {
                banned.retain(|version| *version != order.version);
            }
            let mut rollout = Rollout::new(order, now);
            if let Some((progress, received_at)) = self.unread.remove(&rollout.key) {
                let since = u32::try_from(now.since(received_at).as_millis()).unwrap_or(u32::MAX);
                let age = progress.age.saturating_add(since);
                rollout.on_progress(&RolloutProgress { age, ..progress }, now);
            }
            self.rollouts.insert(service.clone(), rollout);
            changed.push(service);
        }
        self.changes += u64::from(!changed.is_empty());
        changed
    }

    /// Bans the version of an order that ended before its completion.
    fn end_order(&mut self, former: &Rollout) {
        if former.phase != Some(RolloutPhase::Completed) {
            self.ban(&former.order.service, &former.order.version);
        }
    }

    fn ban(&mut self, service: &Arc<str>, version: &Arc<str>) {
        let banned = self.banned.entry(service.clone()).or_default();
        banned.retain(|known| known != version);
        banned.push(version.clone());
        if banned.len() > MAX_BANNED {
            banned.remove(0);
        }
    }

    fn add_withdrawal(&mut self, former: &Rollout, now: Time) {
        if former.phase == Some(RolloutPhase::Completed) {
            return;
        }
        let (service, revision) = (former.key, former.order.revision);
        self.withdrawn.push(Withdrawal { service, revision, withdrawn_at: now });
        if self.withdrawn.len() > MAX_UNREAD {
            self.withdrawn.remove(0);
        }
    }

    /// Applies the progress in a peer's beacon or digest. Returns the services whose phase has
    /// changed.
    pub fn on_progress(&mut self, progress: &[RolloutProgress], now: Time) -> Vec<Arc<str>> {
        let mut changed = Vec::new();
        for entry in progress {
            let known = self.rollouts.iter_mut().find(|(_, known)| known.key == entry.service);
            if let Some((service, rollout)) = known {
                if rollout.on_progress(entry, now) {
                    changed.push(service.clone());
                }
                if entry.revision <= rollout.order.revision {
                    continue;
                }
            }
            self.keep_unread(entry, now);
        }
        self.changes += u64::from(!changed.is_empty());
        changed
    }

    fn keep_unread(&mut self, progress: &RolloutProgress, now: Time) {
        let rank = |progress: &RolloutProgress| (progress.revision, progress.phase);
        let known = self.unread.get(&progress.service);
        let is_newer = known.is_none_or(|(known, _)| rank(known) < rank(progress));
        if is_newer && (known.is_some() || self.unread.len() < MAX_UNREAD) {
            self.unread.insert(progress.service, (*progress, now));
        }
    }

    /// Applies the stored record of a service, which was read after its order; `None` if there is
    /// none. Without a record of the present order its trial begins. Returns whether the phase has
    /// changed.
    pub fn on_record(&mut self, service: &str, record: Option<&RolloutRecord>, now: Time) -> bool {
        let Some(rollout) = self.rollouts.get_mut(service) else { return false };
        let changed = match record {
            Some(record) if record.revision == rollout.order.revision => {
                rollout.stored = rollout.stored.max(Some(record.phase));
                rollout.raise(record.phase, now)
            }
            Some(record) if record.revision > rollout.order.revision => {
                !std::mem::replace(&mut rollout.overtaken, true)
            }
            former => {
                let changed = rollout.raise(RolloutPhase::Trial, now);
                let service = rollout.order.service.clone();
                let former = former.filter(|former| former.version != rollout.order.version);
                match former {
                    Some(former) if former.phase == RolloutPhase::Completed => {
                        if let Some(banned) = self.banned.get_mut(&service) {
                            banned.retain(|version| *version != former.version);
                        }
                    }
                    Some(former) => self.ban(&service, &former.version),
                    None => {}
                }
                changed
            }
        };
        self.changes += u64::from(changed);
        changed
    }

    /// Applies a verdict of the local hub: a halt takes effect at once, promotion and completion when
    /// their record is read. Returns whether the phase has changed.
    pub fn on_verdict(&mut self, service: &str, verdict: &Verdict, now: Time) -> bool {
        let Verdict::Halt { reason, figures } = *verdict else { return false };
        let Some(rollout) = self.rollouts.get_mut(service) else { return false };
        let changed = rollout.raise(RolloutPhase::RolledBack, now);
        rollout.halt.get_or_insert(Halt { reason, figures });
        self.changes += u64::from(changed);
        changed
    }

    /// Records contact to a hub: a digest of the assigned hub on a member; on a hub, a beacon of
    /// another hub, a served call of the store, or that there is no other hub.
    pub fn on_hub_contact(&mut self, now: Time) {
        self.contact_at = Some(now);
    }

    /// Returns whether the local instance had contact to a hub a moment ago.
    pub fn has_hub_contact(&self, now: Time) -> bool {
        self.contact_at.is_some_and(|at| now.since(at) <= self.settings.contact_timeout)
    }

    /// Returns the versions that a new request or batch item of a route may use.
    pub fn version_choice(
        &self,
        service: &str,
        route: &str,
        table: &TargetTable,
        now: Time,
    ) -> VersionChoice {
        let Some(rollout) = self.rollouts.get(service) else {
            return self.without_order(service, table);
        };
        let version = &rollout.order.version;
        let (supply, banned) = self.supply(service, version, table, now);
        let filter = |side, concentrate| VersionFilter {
            version: version.clone(),
            side,
            banned: banned.to_vec(),
            concentrate,
        };
        let only = |side| VersionChoice::Only(filter(side, false));
        let is_trusted = !rollout.overtaken && self.has_hub_contact(now);
        match rollout.phase {
            Some(RolloutPhase::RolledBack) => only(VersionSide::Old),
            Some(RolloutPhase::Completed) if supply.new_targets > 0 => only(VersionSide::New),
            Some(RolloutPhase::Completed) => VersionChoice::Any,
            _ if supply.old_targets == 0 => VersionChoice::Any,
            Some(RolloutPhase::Promoting) if supply.new_targets > 0 => {
                // Old targets may have stopped without the news reaching a cut-off instance.
                match is_trusted || supply.old_slots == 0 {
                    true => only(VersionSide::New),
                    false => only(VersionSide::Old),
                }
            }
            Some(RolloutPhase::Trial) if is_trusted && self.has_share(rollout, route) => {
                let (new, old) = (filter(VersionSide::New, true), filter(VersionSide::Old, false));
                VersionChoice::Trial { new, old }
            }
            _ => only(VersionSide::Old),
        }
    }

    /// Returns the choice for a service without an order, whose last order may have been withdrawn.
    fn without_order(&self, service: &str, table: &TargetTable) -> VersionChoice {
        let banned = self.banned.get(service).map(Vec::as_slice).unwrap_or_default();
        let Some(version) = banned.last() else { return VersionChoice::Any };
        let filter = VersionFilter {
            version: version.clone(),
            side: VersionSide::Old,
            banned: banned.to_vec(),
            concentrate: false,
        };
        let has_other = table
            .of_service(service)
            .any(|target| !target.entry.draining && filter.allows(&target.entry.version));
        if has_other { VersionChoice::Only(filter) } else { VersionChoice::Any }
    }

    /// Returns the targets on both sides and the versions that may not be used. Banned versions are
    /// used if there is no other old target, since a ban may be that of a version whose completion
    /// this instance has missed.
    fn supply(
        &self,
        service: &str,
        version: &str,
        table: &TargetTable,
        now: Time,
    ) -> (VersionSupply, &[Arc<str>]) {
        let banned = self.banned.get(service).map(Vec::as_slice).unwrap_or_default();
        let is_banned = |version: &str| banned.iter().any(|banned| **banned == *version);
        let supply = VersionSupply::new(table, service, version, is_banned, now);
        match supply.old_targets {
            0 => (VersionSupply::new(table, service, version, |_| false, now), &[]),
            _ => (supply, banned),
        }
    }

    /// Returns whether the next request of a route may be one of the trial. The instances round
    /// their shares at different points, so that the sum over all instances and routes is near the
    /// share from the first requests on; each pair of them adds less than one request.
    fn has_share(&self, rollout: &Rollout, route: &str) -> bool {
        let route = rollout_key(route);
        let counts = rollout.routes.get(&route);
        let (sent, sent_new) = counts.map_or((0, 0), |counts| (counts.sent, counts.sent_new));
        let seed = rollout.order.revision ^ u64::from(rollout.key);
        let key = (u64::from(self.local) << 32) | u64::from(route);
        let draw = xxh3_64_with_seed(&key.to_le_bytes(), seed) as f64 / u64::MAX as f64;
        let share = self.settings.trial_share() * (f64::from(sent) + 1.0);
        f64::from(sent_new) + 1.0 <= share + self.settings.rounding * draw
    }

    /// Counts a request that is about to be sent to a target of `version`, each attempt for itself.
    /// Returns `None` if the service has no order.
    pub fn on_sent(
        &mut self,
        service: &str,
        route: &str,
        batch: bool,
        version: &str,
    ) -> Option<VersionRun> {
        let rollout = self.rollouts.get_mut(service)?;
        let is_new = *rollout.order.version == *version;
        let route = rollout_key(route);
        let counts = rollout.routes.entry(route).or_default();
        counts.batch = batch;
        counts.sent = counts.sent.saturating_add(1);
        counts.sent_new = counts.sent_new.saturating_add(u32::from(is_new));
        let revision = rollout.order.revision;
        Some(VersionRun { service: rollout.key, revision, route, is_new })
    }

    /// Counts the first event of a response. `time` is `None` if the target is cold or young.
    pub fn on_first_event(&mut self, run: &VersionRun, time: Option<Duration>) {
        if let (Some(outcomes), Some(time)) = (self.outcomes_of(run), time) {
            outcomes.on_first_event(time);
        }
    }

    /// Counts a response that ended, other than a refusal. `failed` is true for a 5xx and for a
    /// response that broke or stalled; `time` is `None` if the target is cold or young.
    pub fn on_outcome(&mut self, run: &VersionRun, failed: bool, time: Option<Duration>) {
        if let Some(outcomes) = self.outcomes_of(run) {
            outcomes.on_end(failed, time);
        }
    }

    /// Returns the counts for a request, unless its order was overtaken or withdrawn.
    fn outcomes_of(&mut self, run: &VersionRun) -> Option<&mut VersionOutcomes> {
        let is_of =
            |known: &&mut Rollout| known.key == run.service && known.order.revision == run.revision;
        let rollout = self.rollouts.values_mut().find(is_of)?;
        let counts = rollout.routes.get_mut(&run.route)?;
        Some(if run.is_new { &mut counts.new } else { &mut counts.old })
    }

    /// Returns the outcomes of the local instance, of the present orders.
    pub fn local_outcomes(&self) -> Vec<RouteOutcomes> {
        let of_rollout = |rollout: &Rollout| {
            let (service, revision) = (rollout.key, rollout.order.revision);
            let entry = move |(route, counts): (&u32, &LocalRoute)| RouteOutcomes {
                service,
                revision,
                route: *route,
                batch: counts.batch,
                old: counts.old.clone(),
                new: counts.new.clone(),
            };
            rollout.routes.iter().map(entry).collect::<Vec<_>>()
        };
        let is_open = |rollout: &&Rollout| {
            matches!(rollout.phase, None | Some(RolloutPhase::Trial | RolloutPhase::Promoting))
        };
        let all = self.rollouts.values().filter(is_open).flat_map(of_rollout);
        all.filter(|entry| !entry.old.is_empty() || !entry.new.is_empty()).collect()
    }

    /// Returns whether the next datagram of a stream should carry the state of rollouts: after a
    /// change of an order or phase, and in intervals. Datagrams between them leave it out. Each kind
    /// of datagram with its own schedule needs a timer of its own.
    pub fn take_due(&self, timer: &mut NewsTimer, now: Time) -> bool {
        let is_idle = self.rollouts.is_empty() && self.fresh_withdrawals(now).next().is_none();
        let is_due = timer.sent_at.is_none_or(|at| now.since(at) >= self.settings.send_interval);
        if is_idle || !(is_due || timer.changes != self.changes) {
            return false;
        }
        *timer = NewsTimer { changes: self.changes, sent_at: Some(now) };
        true
    }

    fn fresh_withdrawals(&self, now: Time) -> impl Iterator<Item = &Withdrawal> {
        self.withdrawn.iter().filter(move |entry| now.since(entry.withdrawn_at) < WITHDRAWAL_TTL)
    }

    /// Returns the progress for beacons and digests. A withdrawn order is listed as rolled back for a
    /// while, for instances that cannot read the store.
    pub fn progress(&self, now: Time) -> Vec<RolloutProgress> {
        let present = self.rollouts.values().filter_map(|rollout| rollout.progress(now));
        let withdrawn = self
            .fresh_withdrawals(now)
            .filter(|entry| !self.rollouts.values().any(|rollout| rollout.key == entry.service));
        let withdrawn = withdrawn.map(|entry| RolloutProgress {
            service: entry.service,
            revision: entry.revision,
            phase: RolloutPhase::RolledBack,
            age: 0,
        });
        present.chain(withdrawn).collect()
    }

    /// Returns the present order of a service and its phase, if it is known.
    pub fn order(&self, service: &str) -> Option<(&RolloutOrder, Option<RolloutPhase>)> {
        self.rollouts.get(service).map(|rollout| (&rollout.order, rollout.phase))
    }

    /// Returns the present orders.
    pub fn orders(&self) -> impl Iterator<Item = &RolloutOrder> {
        self.rollouts.values().map(|rollout| &rollout.order)
    }

    /// Returns what is known about a rollout for `judge`.
    pub fn facts(
        &mut self,
        service: &str,
        table: &TargetTable,
        peers: &Peers,
        now: Time,
    ) -> RolloutFacts {
        let Some(rollout) = self.rollouts.get(service) else { return RolloutFacts::default() };
        let version = rollout.order.version.clone();
        let (supply, _) = self.supply(service, &version, table, now);
        let old = table.of_service(service).filter(|target| target.entry.version != version);
        let at_old: u32 = old
            .map(|target| peers.at_target(target.key))
            .map(|(online, batch)| online + batch)
            .sum();
        let Some(rollout) = self.rollouts.get_mut(service) else { return RolloutFacts::default() };
        rollout.idle_since = match at_old {
            0 => rollout.idle_since.or(Some(now)),
            _ => None,
        };
        RolloutFacts {
            elapsed: now.since(rollout.ordered_at),
            promoted_for: rollout.promoted_at.map(|at| now.since(at)),
            old_slots: supply.old_slots,
            new_slots: supply.new_slots,
            at_old,
            idle_for: rollout.idle_since.map(|since| now.since(since)),
            complete: peers.coverage(now).complete,
        }
    }

    /// Judges the rollout of a service from the outcomes of all instances.
    pub fn judge(
        &self,
        service: &str,
        outcomes: &[RouteOutcomes],
        facts: &RolloutFacts,
    ) -> Verdict {
        let known = self.rollouts.get(service).filter(|rollout| !rollout.overtaken);
        match known.and_then(|rollout| rollout.phase.map(|phase| (rollout, phase))) {
            // The figures of a halt that another hub has decided, for the record.
            Some((rollout, RolloutPhase::RolledBack)) if rollout.needs_figures() => {
                let phase = RolloutPhase::Trial;
                let verdict = judge(&self.settings, &rollout.order, phase, outcomes, facts);
                match verdict {
                    Verdict::Halt { .. } => verdict,
                    _ => Verdict::Wait,
                }
            }
            Some((rollout, phase)) => judge(&self.settings, &rollout.order, phase, outcomes, facts),
            None => Verdict::Wait,
        }
    }

    /// Returns the record that should be stored after `verdict`: of a phase that the stored record
    /// does not have yet. A halt that was decided by another hub is stored without figures if the
    /// local hub does not come to the same verdict within `figures_wait`.
    pub fn record(&self, service: &str, verdict: &Verdict, now: Time) -> Option<RolloutRecord> {
        let rollout = self.rollouts.get(service).filter(|rollout| !rollout.overtaken)?;
        let phase = match verdict {
            Verdict::Wait => rollout.phase?,
            Verdict::Halt { .. } => RolloutPhase::RolledBack,
            Verdict::Promote => RolloutPhase::Promoting,
            Verdict::Complete => RolloutPhase::Completed,
        };
        let is_fresh =
            rollout.halted_at.is_some_and(|at| now.since(at) < self.settings.figures_wait);
        if *verdict == Verdict::Wait && rollout.needs_figures() && is_fresh {
            return None;
        }
        let halt = match (verdict, rollout.halt) {
            (Verdict::Halt { reason, figures }, None) => {
                Some(Halt { reason: *reason, figures: *figures })
            }
            (_, halt) => halt.filter(|_| phase == RolloutPhase::RolledBack),
        };
        let record = RolloutRecord {
            revision: rollout.order.revision,
            version: rollout.order.version.clone(),
            phase,
            reason: halt.map(|halt| halt.reason),
            figures: halt.map(|halt| halt.figures),
            elapsed_ms: u64::try_from(now.since(rollout.ordered_at).as_millis())
                .unwrap_or(u64::MAX),
        };
        (rollout.stored < Some(phase)).then_some(record)
    }
}
