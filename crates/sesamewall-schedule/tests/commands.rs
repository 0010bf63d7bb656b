//! Tests commands to targets with two leads that succeed each other and targets that ignore fencing
//! tokens.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sesamewall_protocol::ModelName;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use sesamewall_schedule::CommandAction;
use sesamewall_schedule::CommandKind;
use sesamewall_schedule::CommandPlanner;
use sesamewall_schedule::CommandResult;
use sesamewall_schedule::CommandSettings;
use sesamewall_schedule::TargetCommand;
use sesamewall_schedule::TargetLoadState;

const STEP: Duration = Duration::from_millis(50);
const LEASE: Duration = Duration::from_secs(3);
const STEPS: u32 = 2_400;
const NAMES: [&str; 3] = ["t1", "t2", "t3"];

fn at(step: u32) -> Time {
    Time::ZERO + STEP * step
}

/// A command that was sent and may still be in transit.
struct Sent {
    lead: usize,
    command: TargetCommand,
    start: u32,
    arrive: u32,
    reply: u32,
    replied: bool,
}

/// Simulates two leads. The second one takes over when the first one has not renewed its lease for
/// 3.5 s.
struct Simulation {
    rng: ChaCha8Rng,
    leads: [CommandPlanner; 2],
    holder: usize,
    epoch: u64,
    renewed: u32,
    paused_until: [u32; 2],
    /// The lease holder runs, but cannot renew its lease until this step.
    cut_until: u32,
    unsent: Vec<(usize, TargetCommand, u32)>,
    sent: Vec<Sent>,
    targets: BTreeMap<TargetName, TargetLoadState>,
    loads: Vec<u32>,
    executed: u32,
}

impl Simulation {
    fn new(seed: u64, settings: &CommandSettings) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            leads: [CommandPlanner::new(settings.clone()), CommandPlanner::new(settings.clone())],
            holder: 0,
            epoch: 1,
            renewed: 0,
            paused_until: [0; 2],
            cut_until: 0,
            unsent: Vec::new(),
            sent: Vec::new(),
            targets: NAMES
                .iter()
                .map(|name| ((*name).into(), TargetLoadState::default()))
                .collect(),
            loads: Vec::new(),
            executed: 0,
        }
    }

    fn step(&mut self, step: u32) {
        let now = at(step);
        let running = step >= self.paused_until[self.holder].max(self.cut_until);
        let renewal_age = now.since(at(self.renewed));
        if running && (renewal_age >= Duration::from_secs(1) || step == 0) {
            self.renewed = step;
        } else if !running && renewal_age >= LEASE + Duration::from_millis(500) {
            self.holder = 1 - self.holder;
            self.epoch += 1;
            self.renewed = step;
            self.paused_until[self.holder] = step;
            self.cut_until = step;
        }
        if running && self.rng.random_bool(0.004) {
            self.paused_until[self.holder] = step + self.rng.random_range(10..160);
        }
        if running && self.rng.random_bool(0.004) {
            self.cut_until = step + self.rng.random_range(10..160);
        }
        self.arrive(step);
        self.send(step);
        if step >= self.paused_until[self.holder] {
            self.leads[self.holder].on_term(self.epoch, at(self.renewed) + LEASE, now);
        }
        for lead in 0..2 {
            if step >= self.paused_until[lead] {
                self.run_lead(lead, step);
            }
        }
    }

    fn run_lead(&mut self, lead: usize, step: u32) {
        let now = at(step);
        let models = ["a", "b", "c", "d"];
        let desired = NAMES.iter().map(|name| {
            let turn = step / 60;
            let chosen = models.iter().filter(|model| {
                let place = u32::from(model.as_bytes()[0]) + u32::from(name.as_bytes()[1]);
                !(turn + place).is_multiple_of(3)
            });
            let models = chosen.map(|model| ModelName::from(*model)).collect();
            ((*name).into(), TargetLoadState { models, role: None })
        });
        self.leads[lead].set_desired(desired.collect());
        for action in self.leads[lead].next(now) {
            match action {
                CommandAction::Read(target) => {
                    let observed = self.targets.get(&target).cloned();
                    self.leads[lead].on_read(&target, observed, now);
                }
                CommandAction::Send(command) => {
                    let lag = self.rng.random_range(0..4);
                    self.unsent.push((lead, command, step + lag));
                }
            }
        }
    }

    /// Sends the planned commands whose lead runs. The time between the last check of a lead and
    /// the send is never longer than `in_flight` allows.
    fn send(&mut self, step: u32) {
        let due = |entry: &(usize, TargetCommand, u32), paused_until: &[u32; 2]| {
            entry.2 <= step && paused_until[entry.0] <= step
        };
        let (now, later): (Vec<_>, Vec<_>) =
            self.unsent.drain(..).partition(|entry| due(entry, &self.paused_until));
        self.unsent = later;
        for (lead, command, _) in now {
            if !self.leads[lead].may_send(&command, at(step)) {
                self.leads[lead].on_result(&command, CommandResult::NotSent, at(step));
                continue;
            }
            if matches!(command.kind, CommandKind::Load(_)) {
                self.loads.push(step);
            }
            let arrive = step + self.rng.random_range(1..40);
            let lost = self.rng.random_bool(0.3);
            let reply = if lost { step + self.rng.random_range(1..40) } else { arrive };
            self.sent.push(Sent { lead, command, start: step, arrive, reply, replied: false });
        }
    }

    fn arrive(&mut self, step: u32) {
        for sent in &mut self.sent {
            if sent.arrive == step {
                let models = &mut self.targets.get_mut(&sent.command.target).unwrap().models;
                match &sent.command.kind {
                    CommandKind::Load(model) => models.insert(model.clone()),
                    CommandKind::Unload(model) => models.remove(model),
                    CommandKind::SetRole(_) => false,
                };
                self.executed += 1;
            }
            if sent.reply <= step && !sent.replied && self.paused_until[sent.lead] <= step {
                sent.replied = true;
                let clear = sent.reply == sent.arrive;
                let end = if clear { CommandResult::Done } else { CommandResult::Unclear };
                self.leads[sent.lead].on_result(&sent.command, end, at(step));
            }
        }
    }

    /// Returns the number of pairs of commands that were in transit to one target at the same time.
    fn overlaps(&self) -> usize {
        let mut found = 0;
        for (index, first) in self.sent.iter().enumerate() {
            for second in &self.sent[index + 1..] {
                let same = first.command.target == second.command.target;
                found += usize::from(same && second.start < first.arrive);
            }
        }
        found
    }

    /// Returns the number of time windows in which more loads started than the rate of the weight
    /// store allows.
    fn over_rate(&self, settings: &CommandSettings) -> usize {
        let mut found = 0;
        for (index, first) in self.loads.iter().enumerate() {
            for (more, last) in self.loads[index..].iter().enumerate() {
                let window = at(*last).since(at(*first)).as_secs_f64();
                let allowed = settings.load_burst + settings.loads_per_second * window;
                found += usize::from((more + 1) as f64 > allowed + 1e-6);
            }
        }
        found
    }
}

fn run(seed: u64, settings: &CommandSettings) -> Simulation {
    let mut simulation = Simulation::new(seed, settings);
    for step in 0..STEPS {
        simulation.step(step);
    }
    simulation
}

fn fast() -> CommandSettings {
    CommandSettings { loads_per_second: 0.5, load_burst: 2.0, ..CommandSettings::default() }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_26),
        ..ProptestConfig::default()
    })]

    /// Guards against two commands in transit to one target at the same time, and against more
    /// loads than the weight store allows, while leads pause and targets ignore fencing tokens.
    #[test]
    fn commands_do_not_overlap(seed in 0..1_000_000_u64) {
        let simulation = run(seed, &fast());
        prop_assert_eq!(simulation.overlaps(), 0, "seed {}", seed);
        prop_assert_eq!(simulation.over_rate(&fast()), 0, "seed {}", seed);
        prop_assert!(simulation.executed > 5, "seed {}: {} commands", seed, simulation.executed);
    }
}

fn overlaps(settings: &CommandSettings) -> usize {
    (0..30).map(|seed| run(seed, settings).overlaps()).sum()
}

/// Guards against checks that do not detect a missing mechanism.
#[test]
fn checks_detect_missing_mechanisms() {
    assert_eq!(overlaps(&fast()), 0);
    assert!(overlaps(&CommandSettings { check_lease: false, ..fast() }) > 0, "lease");
    // The token bucket starts empty in a new term, which hides a missing wait.
    let unlimited = CommandSettings { limit_loads: false, ..fast() };
    assert_eq!(overlaps(&unlimited), 0);
    assert!(overlaps(&CommandSettings { wait_term: false, ..unlimited }) > 0, "wait");
    assert!(overlaps(&CommandSettings { read_back: false, ..fast() }) > 0, "read back");
    let without = CommandSettings { limit_loads: false, ..fast() };
    let over: usize = (0..20).map(|seed| run(seed, &without).over_rate(&fast())).sum();
    assert!(over > 0, "rate");
}

/// Guards against the unload of a model from the last target that has it.
#[test]
fn last_copy_stays_until_another_is_loaded() {
    let mut planner = CommandPlanner::new(CommandSettings { wait_term: false, ..fast() });
    let observed = |models: &[&str]| TargetLoadState {
        models: models.iter().map(|model| ModelName::from(*model)).collect::<BTreeSet<_>>(),
        role: None,
    };
    planner.on_term(1, at(2_000), at(0));
    planner.set_desired([("t1".into(), observed(&[])), ("t2".into(), observed(&["a"]))].into());
    let mut held: BTreeMap<TargetName, TargetLoadState> =
        [("t1".into(), observed(&["a"])), ("t2".into(), observed(&[]))].into();
    let mut kinds = Vec::new();
    for step in 0..200 {
        for action in planner.next(at(step)) {
            let command = match action {
                CommandAction::Read(target) => {
                    planner.on_read(&target, held.get(&target).cloned(), at(step));
                    continue;
                }
                CommandAction::Send(command) => command,
            };
            assert!(planner.may_send(&command, at(step)));
            let models = &mut held.get_mut(&command.target).unwrap().models;
            match &command.kind {
                CommandKind::Load(model) => models.insert(model.clone()),
                CommandKind::Unload(model) => models.remove(model),
                CommandKind::SetRole(_) => false,
            };
            planner.on_result(&command, CommandResult::Done, at(step));
            kinds.push(command.kind);
        }
    }
    assert_eq!(kinds, vec![CommandKind::Load("a".into()), CommandKind::Unload("a".into())]);
}
