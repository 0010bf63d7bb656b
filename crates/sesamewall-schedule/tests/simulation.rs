//! Drives a scheduler with random events and compares its grants with the requests that targets
//! run.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use sesamewall_protocol::Class;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::ModelName;
use sesamewall_protocol::RequestId;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::HeldSlot;
use sesamewall_protocol::peer::Slot;
use sesamewall_protocol::peer::SlotRelease;
use sesamewall_protocol::peer::SlotRequest;
use sesamewall_protocol::peer::SlotResult;
use sesamewall_schedule::Action;
use sesamewall_schedule::Config;
use sesamewall_schedule::Scheduler;
use sesamewall_schedule::Settings;
use sesamewall_schedule::TargetInfo;

pub const MAX_LIMIT: u32 = 8;

/// Mechanisms that a test disables so that the checks must detect their absence.
#[derive(Clone, Copy, Default)]
pub struct Disabled {
    pub sync: bool,
    pub config: bool,
}

struct Running {
    held: HeldSlot,
    holder: usize,
    since: Time,
    /// The target runs the request, but its instance was lost.
    orphaned: bool,
    reported_to: u64,
    proof: Option<u64>,
}

#[derive(Clone, Copy)]
struct SlowStart {
    allowed: usize,
    step: u64,
}

pub struct Simulation {
    pub now: Time,
    pub violations: Vec<String>,
    pub lead: Scheduler,
    pub preemptions: usize,
    settings: Settings,
    disabled: Disabled,
    rng: ChaCha8Rng,
    epoch: u64,
    synced: Vec<bool>,
    sync_end: Time,
    running: BTreeMap<(u64, u64), Running>,
    requests: BTreeMap<RequestId, SlotRequest>,
    slow_starts: BTreeMap<TargetName, SlowStart>,
    config: Config,
    next: u64,
}

pub fn model() -> ModelName {
    ModelName::from("m")
}

pub fn target(index: usize) -> TargetInfo {
    TargetInfo {
        name: TargetName::from(format!("t{index}")),
        address: format!("http://127.0.0.1:{}", 9000 + index),
        models: vec![model()],
        max_limit: MAX_LIMIT,
        leaving: false,
    }
}

pub fn instance(index: usize) -> InstanceName {
    InstanceName::from(format!("i{index}"))
}

pub fn slot_request(name: &str, account: &str, class: Class, work: u64) -> SlotRequest {
    SlotRequest {
        request: RequestId::from(name),
        account: account.into(),
        weight: 1.0,
        class,
        model: model(),
        work,
        prompt: work / 2,
        urgent: false,
        prefix: Vec::new(),
        wait_us: 10_000_000,
        exclude: Vec::new(),
        isolated: false,
    }
}

impl Simulation {
    pub fn new(settings: Settings, disabled: Disabled, seed: u64) -> Self {
        let config = Config { targets: (0..3).map(target).collect(), domain_out: false };
        let now = Time::from_millis(1000);
        let mut lead = Scheduler::new(settings.clone(), 1, [], now);
        lead.set_valid_until(Time::from_micros(u64::MAX));
        lead.on_config(&config, now);
        let mut simulation = Self {
            now,
            violations: Vec::new(),
            lead,
            preemptions: 0,
            settings,
            disabled,
            rng: ChaCha8Rng::seed_from_u64(seed),
            epoch: 1,
            synced: vec![true; 2],
            sync_end: now,
            running: BTreeMap::new(),
            requests: BTreeMap::new(),
            slow_starts: BTreeMap::new(),
            config,
            next: 0,
        };
        simulation.reset_slow_starts();
        simulation
    }

    /// Runs `steps` random events. `faults` adds lost messages, cold targets, lead changes and lost
    /// instances; `operator` adds leaving targets and a failure domain that goes out of service.
    pub fn run(&mut self, steps: usize, faults: bool, operator: bool) {
        for _ in 0..steps {
            self.now = self.now + Duration::from_millis(self.rng.random_range(0..120));
            match self.rng.random_range(0..100) {
                0..20 => self.send_request(Class::Online),
                20..40 => self.send_request(Class::Batch),
                40..75 => self.finish(SlotResult::Whole, false),
                75..78 if faults => self.finish(SlotResult::Whole, true),
                78..80 if faults => self.finish(SlotResult::Cold, false),
                80 if faults => self.finish(SlotResult::Crashed, false),
                81 if faults => self.change_lead(),
                82 if faults => self.lose_instance(),
                83..86 if operator => self.reconfigure(),
                86..92 => self.sync(),
                _ => {
                    let actions = self.lead.tick(self.now);
                    self.apply(actions);
                }
            }
            self.check_online_wait();
        }
    }

    /// Replaces the lead while long requests run and new ones arrive.
    pub fn change_lead_under_load(&mut self) {
        for step in 0..400 {
            self.now = self.now + Duration::from_millis(50);
            if step == 200 {
                self.change_lead();
            }
            let recent = self.running.iter().filter(|(key, _)| key.0 == self.epoch).nth(1);
            match (step % 4, recent.map(|(key, _)| *key)) {
                (0, Some(key)) if self.running.len() < 20 || step > 200 => {
                    self.end(key, SlotResult::Whole, false);
                }
                (1, _) => self.sync(),
                _ => self.send_request(Class::Online),
            }
        }
    }

    /// Ends all requests and lets instances report their slots, after which no slot may be counted.
    pub fn drain(&mut self) {
        for _ in 0..2000 {
            self.finish(SlotResult::Whole, false);
        }
        self.running.retain(|_, running| !running.orphaned);
        for _ in 0..200 {
            self.now = self.now + Duration::from_millis(100);
            self.sync();
            let actions = self.lead.tick(self.now);
            self.apply(actions);
            self.finish(SlotResult::Whole, false);
        }
    }

    fn send_request(&mut self, class: Class) {
        self.next += 1;
        let account = format!("a{}", self.next % 3);
        let slot_request = slot_request(&format!("r{}", self.next), &account, class, 100);
        let from = instance(self.rng.random_range(0..2));
        self.requests.insert(slot_request.request.clone(), slot_request.clone());
        let actions = self.lead.on_request(slot_request, &from, self.now);
        self.apply(actions);
    }

    fn finish(&mut self, end: SlotResult, lost: bool) {
        let keys: Vec<_> = self.running.keys().copied().collect();
        if !keys.is_empty() {
            let key = keys[self.rng.random_range(0..keys.len())];
            self.end(key, end, lost);
        }
    }

    fn end(&mut self, key: (u64, u64), end: SlotResult, lost: bool) {
        let Some(running) = self.running.remove(&key) else { return };
        if lost || running.orphaned {
            return;
        }
        let name = running.held.target.clone();
        if let Some(slow_start) =
            self.slow_starts.get_mut(&name).filter(|_| running.reported_to == self.epoch)
        {
            match end {
                SlotResult::Whole if running.proof == Some(slow_start.step) => {
                    *slow_start =
                        SlowStart { allowed: slow_start.allowed * 2, step: slow_start.step + 1 };
                }
                SlotResult::Cold | SlotResult::Crashed => {
                    *slow_start = SlowStart { allowed: 1, step: slow_start.step + 1 };
                }
                _ => {}
            }
        }
        let release = SlotRelease {
            slot: key.1,
            epoch: key.0,
            target: name,
            end,
            first_token_us: (end == SlotResult::Whole).then_some(100_000),
            work: 100,
        };
        let actions = self.lead.on_release(&release, self.now);
        self.apply(actions);
        let again = self.lead.on_release(&release, self.now);
        assert_eq!(again, Vec::new(), "a repeated report must change nothing");
    }

    fn apply(&mut self, actions: Vec<Action>) {
        let mut cancelled = Vec::new();
        for action in actions {
            match action {
                Action::Grant { to, slot } => self.start(to, slot),
                Action::Yield { slot, epoch, .. } => {
                    self.preemptions += 1;
                    cancelled.push((epoch, slot));
                }
                Action::Deny { request, .. } => {
                    self.requests.remove(&request);
                }
            }
        }
        for key in cancelled {
            // Some cancellations are lost; the scheduler sends them again.
            if self.rng.random_range(0..4) > 0 {
                self.end(key, SlotResult::Cancelled, false);
            }
        }
    }

    fn start(&mut self, to: InstanceName, slot: Slot) {
        let slot_request = self.requests.remove(&slot.request).unwrap();
        let key = (slot.epoch, slot.slot);
        let on_target = self.running.values().filter(|other| other.held.target == slot.target);
        let (mut all, mut known) = (1, 1);
        for other in on_target {
            all += 1;
            known += usize::from(other.reported_to == self.epoch);
        }
        let slow_start = self.slow_starts[&slot.target];
        if known > slow_start.allowed {
            self.record_violation(format!(
                "{known} on {} at ramp {}",
                slot.target, slow_start.allowed
            ));
        }
        let max_running = MAX_LIMIT as usize + usize::from(self.now < self.sync_end);
        if all > max_running {
            self.record_violation(format!("{all} on {} over the bound", slot.target));
        }
        let info = self.config.targets.iter().find(|info| info.name == slot.target);
        if self.config.domain_out || info.is_none_or(|info| info.leaving) {
            self.record_violation(format!("{} got a slot while out of service", slot.target));
        }
        let held = HeldSlot {
            slot: slot.slot,
            epoch: slot.epoch,
            request: slot.request,
            account: slot_request.account,
            class: slot_request.class,
            model: slot_request.model,
            target: slot.target,
            work: slot_request.work,
            prompt: slot_request.prompt,
            isolated: false,
        };
        let holder = usize::from(to == instance(1));
        let proof = (known >= slow_start.allowed).then_some(slow_start.step);
        let since = self.now;
        let reported_to = self.epoch;
        let running = Running { held, holder, since, orphaned: false, reported_to, proof };
        self.running.insert(key, running);
    }

    fn change_lead(&mut self) {
        self.epoch += 1;
        let instances = [instance(0), instance(1)];
        self.lead = Scheduler::new(self.settings.clone(), self.epoch, instances, self.now);
        self.lead.set_valid_until(Time::from_micros(u64::MAX));
        self.lead.on_config(&self.config, self.now);
        self.synced = vec![false; 2];
        self.sync_end = self.now + Duration::from_secs(3);
        self.requests.clear();
        self.reset_slow_starts();
    }

    fn reset_slow_starts(&mut self) {
        let fresh = SlowStart { allowed: 1, step: self.epoch << 32 };
        self.slow_starts =
            self.config.targets.iter().map(|info| (info.name.clone(), fresh)).collect();
    }

    fn lose_instance(&mut self) {
        let lost = self.rng.random_range(0..2);
        for running in self.running.values_mut().filter(|running| running.holder == lost) {
            running.orphaned = true;
            running.since = self.now;
        }
        // The engines detect the closed connections within `lost_ttl`.
        let actions = self.lead.on_instance_lost(&instance(lost), self.now);
        self.apply(actions);
    }

    fn sync(&mut self) {
        let now = self.now;
        self.running.retain(|_, running| {
            !running.orphaned || now.since(running.since) < Duration::from_secs(9)
        });
        if self.disabled.sync {
            return;
        }
        let index = self.rng.random_range(0..2);
        // A lost instance reports nothing; its successor reports once the targets have detected the
        // loss.
        if self.running.values().any(|running| running.orphaned && running.holder == index) {
            return;
        }
        let owned = |running: &&mut Running| running.holder == index && !running.orphaned;
        let mut held = Vec::new();
        for running in self.running.values_mut().filter(owned) {
            running.reported_to = self.epoch;
            held.push(running.held.clone());
        }
        let actions = self.lead.on_sync(&instance(index), &held, self.now);
        self.synced[index] = true;
        if self.synced.iter().all(|synced| *synced) {
            self.sync_end = self.now.min(self.sync_end);
        }
        self.apply(actions);
    }

    fn reconfigure(&mut self) {
        match self.rng.random_range(0..6) {
            0 => self.config.domain_out = !self.config.domain_out,
            _ => {
                let index = self.rng.random_range(0..self.config.targets.len());
                self.config.targets[index].leaving ^= true;
            }
        }
        // Every target that returns to service starts cold.
        let fresh = SlowStart {
            allowed: 1,
            step: self.slow_starts.values().map(|slow_start| slow_start.step).max().unwrap() + 1,
        };
        if !self.disabled.config {
            let before: Vec<_> =
                self.lead.targets(self.now).into_iter().map(|view| view.in_service).collect();
            let actions = self.lead.on_config(&self.config, self.now);
            let after = self.lead.targets(self.now);
            for (view, was) in after.iter().zip(before) {
                if view.in_service && !was {
                    self.slow_starts.insert(view.name.clone(), fresh);
                }
            }
            self.apply(actions);
        }
    }

    /// Checks that no online request waits while a batch stream runs that could be cancelled for
    /// it.
    fn check_online_wait(&mut self) {
        let waiting = self.lead.waiting(Class::Online, &model()) as i64;
        let views = self.lead.targets(self.now);
        let usable: Vec<_> = views.iter().filter(|view| view.in_service).collect();
        let free_slots = |limit: usize, outstanding: usize| limit as i64 - outstanding as i64;
        let freeing: i64 = usable
            .iter()
            .map(|view| free_slots(view.limit, view.outstanding - view.yielding).max(0))
            .sum();
        let possible = usable.iter().any(|view| {
            let rest = view.outstanding - view.yielding - view.batch;
            view.batch > 0
                && free_slots(view.limit, rest) > 0
                && free_slots(view.limit, view.outstanding - view.yielding) <= 0
        });
        if waiting > freeing && possible {
            self.record_violation(format!(
                "{waiting} online requests wait, {freeing} slots come back"
            ));
        }
    }

    fn record_violation(&mut self, text: String) {
        self.violations.push(format!("{:?}: {text}", self.now));
    }
}
