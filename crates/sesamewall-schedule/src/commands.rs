//! Plans the control commands that load models on, unload models from and set the role of the
//! targets of a failure domain.
//!
//! Assumes that a command reaches its target within `in_flight` after the check of the lease, and
//! that the lease of an earlier lead ends at most `old_lease` after the term of its successor
//! begins.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sesamewall_protocol::ModelName;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;

/// Time after which a target that needs no command is read again.
const READ_INTERVAL: Duration = Duration::from_secs(5);

/// Settings of target commands. Each boolean disables one mechanism when it is false, so that a
/// test can detect the absence of the mechanism.
#[derive(Clone, Debug)]
pub struct CommandSettings {
    /// Longest time for which the lease of an earlier lead can last into a new term.
    pub old_lease: Duration,
    /// Longest time between the check of the lease and the arrival of a command at its target.
    pub in_flight: Duration,
    /// Time until a target that could not be read, or that refused a command, is read again.
    pub reread_interval: Duration,
    /// Loads a second from the weight store that this lead may start: its fraction of the store's
    /// rate.
    pub loads_per_second: f64,
    /// Loads that this lead may start at once: its fraction of the store's burst.
    pub load_burst: f64,
    /// Checks the lease before each command.
    pub check_lease: bool,
    /// Waits at the start of a term until the commands of the earlier term have ended.
    pub wait_term: bool,
    /// Reads a target after a command with an unknown outcome, before the next command is sent.
    pub read_back: bool,
    /// Limits loads to the rate of the weight store with a token bucket.
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

/// Change that a command makes. Versions and adapters are part of a model's name, as in `m@2` and
/// `m+a`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandKind {
    /// Loads a model, a version or an adapter from the weight store.
    Load(ModelName),
    /// Unloads a model, a version or an adapter.
    Unload(ModelName),
    /// Changes the role of the target.
    SetRole(String),
}

/// Command to one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetCommand {
    /// Number of the command in its term.
    pub number: u64,
    /// Target that executes the command.
    pub target: TargetName,
    /// Epoch of the lead, which is the fencing token.
    pub fence: u64,
    /// Change that the command makes.
    pub kind: CommandKind,
}

/// Models and role of a target, as observed or as desired.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetLoadState {
    /// Loaded models.
    pub models: BTreeSet<ModelName>,
    /// Role of the target; `None` if it is unknown or any role is accepted.
    pub role: Option<String>,
}

/// Result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// The target executed the command.
    Done,
    /// The target refused the command.
    Refused,
    /// The command was not sent.
    NotSent,
    /// The outcome is unknown: the command may have been executed, or may still be executed.
    Unclear,
}

/// Action that the lead must take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandAction {
    /// Read the models and the role of the target and report them with [`CommandPlanner::on_read`].
    Read(TargetName),
    /// Send the command if [`CommandPlanner::may_send`] allows it, and report its result with
    /// [`CommandPlanner::on_result`].
    Send(TargetCommand),
}

#[derive(Clone, Debug, PartialEq)]
enum TargetPhase {
    /// The state is unknown; it is read at or after the time.
    Unknown(Time),
    Reading(Option<TargetLoadState>),
    /// The state was observed at the time.
    Known(TargetLoadState, Time),
    /// The command was issued at the time, on the given observed state.
    Busy(TargetCommand, Time, TargetLoadState),
}

#[derive(Clone, Copy, Debug)]
struct Term {
    epoch: u64,
    valid_until: Time,
    /// Earliest time of a command.
    from: Time,
}

/// Plans the commands of the lead of one failure domain. Each target has at most one command or
/// read in progress. The observed state of the targets is lost with the lead, and its successor
/// reads it again.
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
    /// Creates the state of an instance that is not the lead.
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

    /// Records the lease of this instance. With a new epoch, all targets are read again, the token
    /// bucket starts empty, and the first command waits until the commands of the earlier lead have
    /// ended.
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

    /// Records that this instance is no longer the lead.
    pub fn end_term(&mut self) {
        self.term = None;
        self.targets.clear();
    }

    /// Sets the desired state of the targets. Targets that are not listed get no commands.
    pub fn set_desired(&mut self, desired: BTreeMap<TargetName, TargetLoadState>) {
        self.targets.retain(|name, phase| {
            desired.contains_key(name) || matches!(phase, TargetPhase::Busy(..))
        });
        self.desired = desired;
    }

    /// Returns the state of a target that was observed last.
    pub fn observed_state(&self, target: &TargetName) -> Option<&TargetLoadState> {
        match self.targets.get(target)? {
            TargetPhase::Known(observed, _)
            | TargetPhase::Busy(_, _, observed)
            | TargetPhase::Reading(Some(observed)) => Some(observed),
            TargetPhase::Unknown(_) | TargetPhase::Reading(None) => None,
        }
    }

    /// Returns whether the command may be sent, and takes a token of the weight store's rate for a
    /// load. Call it directly before sending, since the process may have paused since the command
    /// was planned. If it returns false, report [`CommandResult::NotSent`].
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

    /// Returns the reads and commands that are due at `now`.
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

    /// Applies the state of a target that was read, or `None` if the target could not be read.
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

    /// Applies the result of a command. After an unknown outcome, the target is read once the
    /// command can no longer arrive.
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
                // The lease may have been checked after the command was planned, but not after
                // `now`, so the wait starts at the later time.
                TargetPhase::Unknown((*at).max(now) + self.settings.in_flight)
            }
            CommandResult::Unclear => TargetPhase::Known(observed.clone(), now),
        };
        self.targets.insert(command.target.clone(), phase);
    }

    /// Treats commands whose result was never reported as commands with an unknown outcome.
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
                    // A target may have restarted without its models, or may have left.
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

    /// Returns the next change that a target needs. Unloads come first to free capacity for loads,
    /// but a model that no other target is known to have stays loaded.
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
