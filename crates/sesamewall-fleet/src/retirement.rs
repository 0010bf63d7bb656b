//! Retirement of worker machines: the status in the store has to agree with what the operators ask
//! and with what the machine holds. Both are compared for as long as they may differ.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;

/// Settings of retirements.
#[derive(Clone, Debug)]
pub struct RetirementSettings {
    /// Time in which running items may end before they are preempted.
    pub drain_time: Duration,
    /// Time without datagrams of a machine after which hubs act for it.
    pub silence_time: Duration,
    /// Shortest and longest pause between two comparisons while they do not agree.
    pub retry_pause: (Duration, Duration),
    /// Pause between two comparisons of a machine that is reported as empty: a write without a
    /// reply may still give it a claim.
    pub check_pause: Duration,
}

impl Default for RetirementSettings {
    fn default() -> Self {
        Self {
            drain_time: Duration::from_millis(1600),
            silence_time: Duration::from_millis(2500),
            retry_pause: (Duration::from_millis(300), Duration::from_millis(2400)),
            check_pause: Duration::from_secs(5),
        }
    }
}

/// Comparisons of one machine's status with the store.
#[derive(Clone, Debug)]
struct Comparison {
    agreed: bool,
    next_at: Time,
    pause: Duration,
}

impl Comparison {
    fn new(settings: &RetirementSettings, now: Time) -> Self {
        Self { agreed: false, next_at: now, pause: settings.retry_pause.0 }
    }

    fn on_compared(&mut self, settings: &RetirementSettings, agreed: bool, now: Time) {
        let (shortest, longest) = settings.retry_pause;
        self.next_at = now + if agreed { settings.check_pause } else { self.pause };
        self.pause = if agreed { shortest } else { (self.pause * 2).min(longest) };
        self.agreed = agreed;
    }
}

/// Work that a worker still has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerLoad {
    /// Running items.
    pub running: usize,
    /// Finished items whose results are not in the store.
    pub uncommitted: usize,
    /// Claims and acceptances that are being written.
    pub pending: usize,
}

/// What a machine has to do next about its retirement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetirementStep {
    /// Nothing, until later.
    Wait,
    /// Preempt the running items.
    Preempt,
    /// Compare the status with the store, and release all claims if the machine is retiring.
    Compare,
}

/// The retirement of the local machine.
#[derive(Clone, Debug)]
pub struct Retirement {
    settings: RetirementSettings,
    /// Time since which the operators ask for the retirement.
    asked_since: Option<Time>,
    comparison: Comparison,
}

impl Retirement {
    /// Creates the state at the start of the process. The status of an earlier retirement may still
    /// be in the store.
    pub fn new(settings: RetirementSettings, now: Time) -> Self {
        let comparison = Comparison::new(&settings, now);
        Self { settings, asked_since: None, comparison }
    }

    /// Records whether the operators ask for the retirement now. Returns whether that has changed.
    pub fn on_asked(&mut self, asked: bool, now: Time) -> bool {
        let changed = asked != self.asked_since.is_some();
        if changed {
            self.asked_since = asked.then_some(now);
            self.comparison = Comparison::new(&self.settings, now);
        }
        changed
    }

    /// Returns what the machine has to do next.
    pub fn step(&self, load: &WorkerLoad, now: Time) -> RetirementStep {
        let due = now >= self.comparison.next_at;
        match self.asked_since {
            None if self.comparison.agreed || !due => RetirementStep::Wait,
            None => RetirementStep::Compare,
            Some(since) if load.running > 0 => match now.since(since) >= self.settings.drain_time {
                true => RetirementStep::Preempt,
                false => RetirementStep::Wait,
            },
            Some(_) if *load != WorkerLoad::default() || !due => RetirementStep::Wait,
            Some(_) => RetirementStep::Compare,
        }
    }

    /// Records whether the store agrees with what the operators ask.
    pub fn on_compared(&mut self, agreed: bool, now: Time) {
        self.comparison.on_compared(&self.settings, agreed, now);
    }
}

/// A machine whose retirement a hub watches.
#[derive(Clone, Debug)]
struct WatchedMachine {
    asked: bool,
    /// Time since which the machine is silent, or since which its retirement is taken back.
    since: Option<Time>,
    comparison: Comparison,
}

/// What a hub does about the retirements of machines that are down.
#[derive(Clone, Debug, Default)]
pub struct RetirementWatch {
    settings: RetirementSettings,
    machines: BTreeMap<InstanceName, WatchedMachine>,
}

impl RetirementWatch {
    /// Creates the state of a hub.
    pub fn new(settings: RetirementSettings) -> Self {
        Self { settings, machines: BTreeMap::new() }
    }

    /// Returns whether no machine is watched.
    pub fn is_idle(&self) -> bool {
        self.machines.is_empty()
    }

    /// Returns the machines whose status has to be compared with the store now. `retiring` are the
    /// machines whose retirement the operators ask for; a live one reports by itself.
    pub fn due(
        &mut self,
        retiring: &BTreeSet<InstanceName>,
        is_live: impl Fn(&InstanceName) -> bool,
        now: Time,
    ) -> Vec<InstanceName> {
        for name in retiring {
            self.machines.entry(name.clone()).or_insert_with(|| WatchedMachine {
                asked: true,
                since: None,
                comparison: Comparison::new(&self.settings, now),
            });
        }
        let mut due = Vec::new();
        for (name, machine) in &mut self.machines {
            let asked = retiring.contains(name);
            let waits = asked && is_live(name);
            if machine.asked != asked || waits {
                machine.asked = asked;
                machine.since = None;
                machine.comparison = Comparison::new(&self.settings, now);
            }
            if waits {
                continue;
            }
            let since = *machine.since.get_or_insert(now);
            let comparison = &machine.comparison;
            let over = now.since(since) >= self.settings.silence_time;
            if over && !comparison.agreed && now >= comparison.next_at {
                due.push(name.clone());
            }
        }
        self.machines.retain(|_, machine| machine.asked || !machine.comparison.agreed);
        due
    }

    /// Records whether the store agrees with what the operators ask for a machine.
    pub fn on_compared(&mut self, name: &InstanceName, agreed: bool, now: Time) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.comparison.on_compared(&self.settings, agreed, now);
        }
    }
}

/// What the store has about the retirement of a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetirementRecord {
    /// Whether the operators ask for the retirement.
    pub asked: bool,
    /// Whether the machine holds nothing that others need.
    pub empty: bool,
    /// Whether the status exists, and whether it says that the machine is empty.
    pub status: Option<bool>,
}

/// Change of a status that does not agree with the rest of its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusChange {
    /// The status has to say that the machine is empty.
    Report,
    /// The status has to be removed.
    Remove,
}

impl RetirementRecord {
    /// Returns the change that the status needs.
    pub fn status_change(&self) -> Option<StatusChange> {
        match (self.asked && self.empty, self.status) {
            (true, Some(true)) | (false, None) => None,
            (true, _) => Some(StatusChange::Report),
            (false, Some(_)) => Some(StatusChange::Remove),
        }
    }
}
