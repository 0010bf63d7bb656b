//! Gives control commands ("orders") to the targets of a failure domain.
//!
//! Assumes that an order reaches its target within `in_flight` of the check of the lease, and that
//! the lease of an earlier lead ends at most `old_lease` after its successor's term begins.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sesamewall_protocol::ModelName;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;

/// A target without orders is read again after this long.
const READ_INTERVAL: Duration = Duration::from_secs(5);

/// Settings of orders. The switches take a mechanism out, so that tests can show that their checks
/// notice it.
#[derive(Clone, Debug)]
pub struct CommandSettings {
    /// Longest time for which the lease of an earlier lead can last into a new term.
    pub old_lease: Duration,
    /// Longest time between the check of the lease and the arrival of an order at its target.
    pub in_flight: Duration,
    /// Time until a target that could not be read is read again.
    pub reread_interval: Duration,
    /// Loads from the weight store a second: this lead's share of the store's rate.
    pub loads_per_second: f64,
    /// Loads that may start at once: this lead's share.
    pub load_burst: f64,
    /// The lease is checked before each order.
    pub check_lease: bool,
    /// A new term waits until orders of the earlier one have ended.
    pub wait_term: bool,
    /// An order whose end is unclear is read back before another one.
    pub read_back: bool,
    /// Loads take tokens of the weight store's rate.
    pub limit_loads: bool,
}

impl Default for CommandSettings {
    fn default() -> Self {
        Self {
            old_lease: Duration::from_secs(3),
            in_flight: Duration::from_secs(2),
            reread_interval: Duration::from_secs(5),
            loads_per_second: 0.1,
            load_burst: 1.0,
            check_lease: true,
            wait_term: true,
            read_back: true,
            limit_loads: true,
        }
    }
}

/// What an order changes. Versions and adapters are part of a model's name, as in `m@2` and `m+a`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandKind {
    /// Load a model, a version or an adapter from the weight store.
    Load(ModelName),
    /// Unload it.
    Unload(ModelName),
    /// Change the target's role.
    SetRole(String),
}

/// An order to one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetCommand {
    /// Number of the order in its term.
    pub number: u64,
    /// The target.
    pub target: TargetName,
    /// Epoch of the lead, the fencing token.
    pub fence: u64,
    /// What is ordered.
    pub kind: CommandKind,
}

/// What a target has, or is to have.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetLoadState {
    /// Loaded models.
    pub models: BTreeSet<ModelName>,
    /// The role; `None` if it is unknown or does not matter.
    pub role: Option<String>,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// The target did it.
    Done,
    /// The target refused it.
    Refused,
    /// It was not sent.
    NotSent,
    /// It may have been done, or may still be.
    Unclear,
}

/// What the lead is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandAction {
    /// Read what the target has loaded and report it with [`CommandPlanner::on_read`].
    Read(TargetName),
    /// Send the order after [`CommandPlanner::may_send`] and report its end with [`CommandPlanner::on_result`].
    Send(TargetCommand),
}

#[derive(Clone, Debug, PartialEq)]
enum TargetPhase {
    /// To be read at the time or later.
    Unknown(Time),
    Reading(Option<TargetLoadState>),
    /// Known since the time.
    Known(TargetLoadState, Time),
    /// The order was decided at the time.
    Busy(TargetCommand, Time, TargetLoadState),
}

#[derive(Clone, Copy, Debug)]
struct Term {
    epoch: u64,
    valid_until: Time,
    /// No order before this time.
    from: Time,
}

/// The orders of one failure domain's lead. There is at most one order or read at a time for each
/// target. State: the content of each target of the failure domain; lost with the lead and read
/// again by its successor.
#[derive(Clone, Debug)]
pub struct CommandPlanner {
    settings: CommandSettings,
    term: Option<Term>,
    targets: BTreeMap<TargetName, TargetPhase>,
    desired: BTreeMap<TargetName, TargetLoadState>,
    number: u64,
    load_tokens: f64,
    refilled_at: Time,
}

impl CommandPlanner {
    /// Returns the state of an instance that is not lead.
    pub fn new(settings: CommandSettings) -> Self {
        Self {
            settings,
            term: None,
            targets: BTreeMap::new(),
            desired: BTreeMap::new(),
            number: 0,
            load_tokens: 0.0,
            refilled_at: Time::ZERO,
        }
    }

    /// Notes the own lease. With a new epoch, everything is read again, the tokens start at zero
    /// and the first order waits for the end of the earlier lead's orders.
    pub fn on_term(&mut self, epoch: u64, valid_until: Time, now: Time) {
        match &mut self.term {
            Some(term) if term.epoch == epoch => term.valid_until = valid_until,
            _ => {
                let wait = self.settings.old_lease + self.settings.in_flight;
                let from = if self.settings.wait_term { now + wait } else { now };
                self.term = Some(Term { epoch, valid_until, from });
                self.targets.clear();
                self.load_tokens = 0.0;
                // The earlier lead may use its tokens until then.
                self.refilled_at = from;
            }
        }
    }

    /// Notes that this instance is no longer lead.
    pub fn end_term(&mut self) {
        self.term = None;
        self.targets.clear();
    }

    /// Sets what the targets are to have. Targets that are not named get no orders.
    pub fn set_desired(&mut self, desired: BTreeMap<TargetName, TargetLoadState>) {
        self.targets.retain(|name, phase| {
            desired.contains_key(name) || matches!(phase, TargetPhase::Busy(..))
        });
        self.desired = desired;
    }

    /// Returns what a target was last known to have.
    pub fn observed_state(&self, target: &TargetName) -> Option<&TargetLoadState> {
        match self.targets.get(target)? {
            TargetPhase::Known(observed, _)
            | TargetPhase::Busy(_, _, observed)
            | TargetPhase::Reading(Some(observed)) => Some(observed),
            TargetPhase::Unknown(_) | TargetPhase::Reading(None) => None,
        }
    }

    /// Tells whether the order may be sent, and takes a token of the weight store for a load. Call it
    /// directly before sending: the process may have paused since the order was decided. Without
    /// permission, report [`CommandResult::NotSent`].
    pub fn may_send(&mut self, command: &TargetCommand, now: Time) -> bool {
        let leading = self.term.is_some_and(|term| {
            term.epoch == command.fence && (now < term.valid_until || !self.settings.check_lease)
        });
        let current = match self.targets.get(&command.target) {
            Some(TargetPhase::Busy(sent, _, _)) => sent == command,
            _ => !self.settings.check_lease,
        };
        leading
            && current
            && (!matches!(command.kind, CommandKind::Load(_)) || self.take_load_token(now))
    }

    /// Returns what is to be done at `now`.
    pub fn next(&mut self, now: Time) -> Vec<CommandAction> {
        let Some(term) = self.term else { return Vec::new() };
        if self.settings.check_lease && now >= term.valid_until {
            return Vec::new();
        }
        self.expire_commands(now);
        if now < term.from {
            return Vec::new();
        }
        let names: Vec<TargetName> = self.desired.keys().cloned().collect();
        names.into_iter().filter_map(|name| self.step(term.epoch, name, now)).collect()
    }

    /// Notes what a target has loaded, or `None` if it could not be read.
    pub fn on_read(&mut self, target: &TargetName, observed: Option<TargetLoadState>, now: Time) {
        if !matches!(self.targets.get(target), Some(TargetPhase::Reading(_))) {
            return;
        }
        let phase = match observed {
            Some(observed) => TargetPhase::Known(observed, now),
            None => TargetPhase::Unknown(now + self.settings.reread_interval),
        };
        self.targets.insert(target.clone(), phase);
    }

    /// Notes the end of an order. After an unclear end the target is read once the order can no
    /// longer arrive.
    pub fn on_result(&mut self, command: &TargetCommand, end: CommandResult, now: Time) {
        let Some(TargetPhase::Busy(sent, at, observed)) = self.targets.get(&command.target) else {
            return;
        };
        if sent != command {
            return;
        }
        let phase = match end {
            CommandResult::Done => {
                TargetPhase::Known(apply_command(observed.clone(), &command.kind), now)
            }
            CommandResult::NotSent => TargetPhase::Known(observed.clone(), now),
            CommandResult::Refused => TargetPhase::Unknown(now + self.settings.reread_interval),
            CommandResult::Unclear if self.settings.read_back => {
                // The decision is not later than the check of the lease, so `now` counts as well.
                TargetPhase::Unknown((*at).max(now) + self.settings.in_flight)
            }
            CommandResult::Unclear => TargetPhase::Known(observed.clone(), now),
        };
        self.targets.insert(command.target.clone(), phase);
    }

    /// Gives up orders whose end was never reported.
    fn expire_commands(&mut self, now: Time) {
        let limit = 2 * self.settings.in_flight;
        let late = |phase: &TargetPhase| match phase {
            TargetPhase::Busy(command, at, _) if now.since(*at) > limit => Some(command.clone()),
            _ => None,
        };
        let late: Vec<TargetCommand> = self.targets.values().filter_map(late).collect();
        for command in late {
            self.on_result(&command, CommandResult::Unclear, now);
        }
    }

    fn step(&mut self, fence: u64, target: TargetName, now: Time) -> Option<CommandAction> {
        let phase = self.targets.entry(target.clone()).or_insert(TargetPhase::Unknown(now));
        match phase {
            TargetPhase::Unknown(at) if now >= *at => {
                *phase = TargetPhase::Reading(None);
                Some(CommandAction::Read(target))
            }
            TargetPhase::Known(observed, since) => {
                let (observed, stale) = (observed.clone(), now.since(*since) >= READ_INTERVAL);
                let Some(kind) = self.next_change(&target, &observed, now) else {
                    // A target that restarted may have lost its models, or be gone.
                    return stale.then(|| {
                        self.targets.insert(target.clone(), TargetPhase::Reading(Some(observed)));
                        CommandAction::Read(target)
                    });
                };
                self.number += 1;
                let command =
                    TargetCommand { number: self.number, target: target.clone(), fence, kind };
                self.targets.insert(target, TargetPhase::Busy(command.clone(), now, observed));
                Some(CommandAction::Send(command))
            }
            _ => None,
        }
    }

    /// Returns the next change that a target needs: unloads make room for loads, but a model that
    /// no other target is known to have stays loaded.
    fn next_change(
        &mut self,
        target: &TargetName,
        observed: &TargetLoadState,
        now: Time,
    ) -> Option<CommandKind> {
        let desired = self.desired.get(target)?;
        if desired.role.is_some() && desired.role != observed.role {
            return desired.role.clone().map(CommandKind::SetRole);
        }
        let extra = observed.models.difference(&desired.models);
        let elsewhere = |model: &ModelName| {
            self.targets.iter().any(|(name, phase)| {
                name != target
                    && matches!(phase, TargetPhase::Known(known, _) if known.models.contains(model))
                    && self.desired.get(name).is_some_and(|desired| desired.models.contains(model))
            })
        };
        if let Some(model) = extra.into_iter().find(|model| elsewhere(model)) {
            return Some(CommandKind::Unload(model.clone()));
        }
        let load = desired.models.difference(&observed.models).next().cloned()?;
        self.refill_tokens(now);
        let allowed = self.load_tokens >= 1.0 || !self.settings.limit_loads;
        allowed.then_some(CommandKind::Load(load))
    }

    fn refill_tokens(&mut self, now: Time) {
        let added = now.since(self.refilled_at).as_secs_f64() * self.settings.loads_per_second;
        self.load_tokens = (self.load_tokens + added).min(self.settings.load_burst.max(1.0));
        self.refilled_at = self.refilled_at.max(now);
    }

    fn take_load_token(&mut self, now: Time) -> bool {
        self.refill_tokens(now);
        if !self.settings.limit_loads {
            return true;
        }
        if self.load_tokens < 1.0 {
            return false;
        }
        self.load_tokens -= 1.0;
        true
    }
}

fn apply_command(mut observed: TargetLoadState, kind: &CommandKind) -> TargetLoadState {
    match kind {
        CommandKind::Load(model) => {
            observed.models.insert(model.clone());
        }
        CommandKind::Unload(model) => {
            observed.models.remove(model);
        }
        CommandKind::SetRole(role) => observed.role = Some(role.clone()),
    }
    observed
}
