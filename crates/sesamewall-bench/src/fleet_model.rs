//! Runs real schedulers, model engines and callers on virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
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
use sesamewall_protocol::peer::SlotRelease;
use sesamewall_protocol::peer::SlotRequest;
use sesamewall_protocol::peer::SlotResult;
use sesamewall_protocol::seconds;
use sesamewall_schedule::Action;
use sesamewall_schedule::Config;
use sesamewall_schedule::Scheduler;
use sesamewall_schedule::Settings;
use sesamewall_schedule::TargetInfo;

use crate::engine_model::Engine;
use crate::engine_model::EngineSettings;
use crate::engine_model::Interference;
pub use crate::fleet_report::Outcome;
pub use crate::fleet_report::Report;

const TICK: Duration = Duration::from_millis(10);
const HEARTBEAT: Duration = Duration::from_secs(1);
const BATCH_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Limit of other failure domains to which an instance offers a request.
const MAX_OFFERS: usize = 2;
const ONLINE_WAIT_US: u64 = 10_000_000;

/// Shape of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name in the tables.
    pub name: &'static str,
    /// Number of failure domains.
    pub domains: usize,
    /// Targets in each failure domain.
    pub targets: usize,
}

/// Deployment A: 4 failure domains with 3 targets each, 2 instances each.
pub const DEPLOYMENT_A: Deployment = Deployment { name: "A", domains: 4, targets: 3 };
/// Deployment B: 3 failure domains with 4 targets each, 2 instances each.
pub const DEPLOYMENT_B: Deployment = Deployment { name: "B", domains: 3, targets: 4 };

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The deployment.
    pub deployment: Deployment,
    /// Seed of arrivals and sizes.
    pub seed: u64,
    /// Settings of all schedulers.
    pub settings: Settings,
    /// Upper bound of a target's limit.
    pub max_limit: u32,
    /// Online requests a second, by account.
    pub online: Vec<f64>,
    /// Batch items kept waiting or running in each failure domain.
    pub batch: usize,
    /// End of arrivals.
    pub end: Duration,
    /// Times at which failure domain 0 goes out of service and at which it returns cold.
    pub outage: Option<(Duration, Duration)>,
    /// Sends requests to all targets in turn, without a scheduler.
    pub round_robin: bool,
}

enum Event {
    Arrive { account: usize },
    Request { request: usize, domain: usize, wait_us: u64 },
    Deny { request: usize, domain: usize, backlog: f64 },
    Start { request: usize, target: usize, key: (u64, u64) },
    Step { target: usize },
    Release { domain: usize, release: SlotRelease },
    Preempt { request: usize, key: (u64, u64) },
    Tick,
    Heartbeat,
    SetOutage { domain_out: bool },
    EnginesCold,
}

struct RequestState {
    slot_request: SlotRequest,
    prompt: u64,
    output: u64,
    local_domain: usize,
    instance: usize,
    tried: Vec<(f64, usize)>,
    placed: Option<(usize, u64, (u64, u64))>,
    sent: Time,
}

/// Limits the streams of a cold target: one at first, and twice as many after each response that
/// started at the limit and completed.
#[derive(Clone, Copy)]
struct SlowStart {
    allowed: usize,
    step: u64,
}

struct Run {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    pending_events: BTreeMap<u64, Event>,
    next: u64,
    leads: Vec<Scheduler>,
    engines: Vec<Engine>,
    slow_starts: Vec<SlowStart>,
    streams: BTreeMap<u64, (usize, Option<u64>)>,
    requests: Vec<RequestState>,
    request_index: BTreeMap<RequestId, usize>,
    domain_is_out: bool,
    next_target: usize,
    report: Report,
}

/// Runs a scenario.
pub fn run(scenario: Scenario) -> Report {
    let Deployment { domains, targets, .. } = scenario.deployment;
    let mut run = Run {
        rng: ChaCha8Rng::seed_from_u64(scenario.seed),
        now: Time::ZERO,
        events: BinaryHeap::new(),
        pending_events: BTreeMap::new(),
        next: 0,
        leads: Vec::new(),
        engines: vec![Engine::new(EngineSettings::default()); domains * targets],
        slow_starts: vec![SlowStart { allowed: 1, step: 0 }; domains * targets],
        streams: BTreeMap::new(),
        requests: Vec::new(),
        request_index: BTreeMap::new(),
        domain_is_out: false,
        next_target: 0,
        report: Report::default(),
        scenario,
    };
    run.schedule_start();
    run.process_events();
    let now = Time::ZERO + run.scenario.end;
    let limits = run.leads.iter().flat_map(|lead| lead.targets(now)).map(|view| view.limit);
    run.report.limits = limits.collect();
    run.report
}

impl Run {
    fn schedule_start(&mut self) {
        for domain in 0..self.scenario.deployment.domains {
            let mut lead = Scheduler::new(self.scenario.settings.clone(), 1, [], self.now);
            lead.set_valid_until(Time::from_micros(u64::MAX));
            lead.on_config(&self.config(domain, false), self.now);
            self.leads.push(lead);
        }
        for account in 0..self.scenario.online.len() {
            self.schedule_arrival(account);
        }
        for domain in 0..self.scenario.deployment.domains {
            for _ in 0..self.scenario.batch {
                self.add_batch_item(domain, Duration::ZERO);
            }
        }
        self.after(TICK, Event::Tick);
        self.after(HEARTBEAT, Event::Heartbeat);
        if let Some((out, back)) = self.scenario.outage {
            self.after(back, Event::EnginesCold);
            // The lead receives a change with the next heartbeat.
            let delay = Duration::from_millis(self.rng.random_range(0..1000));
            self.after(out + delay, Event::SetOutage { domain_out: true });
            self.after(back + delay, Event::SetOutage { domain_out: false });
        }
    }

    fn process_events(&mut self) {
        // Requests that arrived before the end may finish.
        let stop = Time::ZERO + self.scenario.end + Duration::from_secs(20);
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > stop {
                return;
            }
            self.now = at;
            if let Some(event) = self.pending_events.remove(&number) {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { account } => self.arrive(account),
            Event::Request { request, domain, wait_us } => {
                let slot_request =
                    SlotRequest { wait_us, ..self.requests[request].slot_request.clone() };
                let from = instance(self.requests[request].instance);
                let actions = self.leads[domain].on_request(slot_request, &from, self.now);
                self.apply(domain, actions);
            }
            Event::Deny { request, domain, backlog } => self.on_denied(request, domain, backlog),
            Event::Start { request, target, key } => self.start(request, target, key),
            Event::Step { target } => self.step(target),
            Event::Release { domain, release } => {
                let actions = self.leads[domain].on_release(&release, self.now);
                self.apply(domain, actions);
            }
            Event::Preempt { request, key } => self.cancel(request, key),
            Event::Tick => {
                self.after(TICK, Event::Tick);
                for domain in 0..self.leads.len() {
                    let actions = self.leads[domain].tick(self.now);
                    self.apply(domain, actions);
                }
            }
            Event::Heartbeat => self.heartbeat(),
            Event::SetOutage { domain_out } => {
                let config = self.config(0, domain_out);
                let actions = self.leads[0].on_config(&config, self.now);
                self.apply(0, actions);
                self.domain_is_out = domain_out;
            }
            Event::EnginesCold => {
                for target in 0..self.scenario.deployment.targets {
                    self.engines[target].mark_cold();
                    self.slow_starts[target] =
                        SlowStart { allowed: 1, step: self.slow_starts[target].step + 1 };
                }
            }
        }
    }

    fn arrive(&mut self, account: usize) {
        if self.now >= Time::ZERO + self.scenario.end {
            return;
        }
        self.schedule_arrival(account);
        let domain = self.rng.random_range(0..self.scenario.deployment.domains);
        let prompt = self.rng.random_range(200..1500);
        let output = self.rng.random_range(50..200);
        let request = self.request(Class::Online, account, domain, prompt, output);
        if self.scenario.round_robin {
            self.send_round_robin(request);
        } else {
            self.send(request, domain, 0);
        }
    }

    fn add_batch_item(&mut self, domain: usize, delay: Duration) {
        if self.now >= Time::ZERO + self.scenario.end {
            return;
        }
        let prompt = self.rng.random_range(200..1500);
        let output = self.rng.random_range(100..400);
        let account = self.rng.random_range(0..8);
        let request = self.request(Class::Batch, account, domain, prompt, output);
        let delay = delay + Duration::from_micros(500);
        self.after(delay, Event::Request { request, domain, wait_us: 60_000_000 });
    }

    fn request(
        &mut self,
        class: Class,
        account: usize,
        local_domain: usize,
        prompt: u64,
        output: u64,
    ) -> usize {
        let number = self.requests.len();
        let name = RequestId::from(format!("r{number}"));
        let work = prompt + output;
        let slot_request = SlotRequest {
            request: name.clone(),
            account: format!("account-{account}").into(),
            weight: 1.0,
            class,
            model: ModelName::from("m"),
            work,
            prompt,
            urgent: false,
            prefix: Vec::new(),
            wait_us: 0,
            exclude: Vec::new(),
            isolated: false,
        };
        let instance = local_domain * 2 + self.rng.random_range(0..2);
        let sent = self.now;
        let tried = Vec::new();
        let request = RequestState {
            slot_request,
            prompt,
            output,
            local_domain,
            instance,
            tried,
            placed: None,
            sent,
        };
        self.requests.push(request);
        self.request_index.insert(name, number);
        let arrived = self.now;
        let outcome = Outcome {
            account,
            class,
            arrived,
            first: None,
            ended: None,
            work,
            output,
            refused: false,
            started: None,
            interference: Interference::default(),
        };
        self.report.requests.push(outcome);
        number
    }

    fn send(&mut self, request: usize, domain: usize, wait_us: u64) {
        let delay = self.delay(self.requests[request].local_domain, domain);
        self.after(delay, Event::Request { request, domain, wait_us });
    }

    fn apply(&mut self, domain: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Grant { slot, .. } => {
                    let request = self.request_index[&slot.request];
                    let target = target_index(&slot.target);
                    // Covers the lead's reply and the request to the target.
                    let delay = self.delay(self.requests[request].local_domain, domain);
                    let key = (slot.epoch, slot.slot);
                    self.requests[request].placed = Some((target, 0, key));
                    self.after(2 * delay, Event::Start { request, target, key });
                }
                Action::Deny { request, numbers, .. } => {
                    let request = self.request_index[&request];
                    let delay = self.delay(self.requests[request].local_domain, domain);
                    let backlog = numbers.get(1).map_or(f64::MAX, |number| number.1);
                    self.after(delay, Event::Deny { request, domain, backlog });
                }
                Action::Yield { request, slot, epoch, .. } => {
                    let request = self.request_index[&request];
                    let delay = self.delay(self.requests[request].local_domain, domain);
                    self.after(2 * delay, Event::Preempt { request, key: (epoch, slot) });
                }
            }
        }
    }

    /// Tries two other failure domains without waiting, as instances do. The request then waits in
    /// its local failure domain or, if that cannot serve, in the one with the least waiting work.
    fn on_denied(&mut self, request: usize, domain: usize, backlog: f64) {
        let domains = self.leads.len();
        let state = &mut self.requests[request];
        if state.slot_request.class == Class::Batch {
            let local_domain = state.local_domain;
            self.after(
                BATCH_RETRY_DELAY,
                Event::Request { request, domain: local_domain, wait_us: 60_000_000 },
            );
            return;
        }
        state.tried.push((backlog, domain));
        let tried = state.tried.len();
        match tried {
            _ if tried < domains.min(1 + MAX_OFFERS) => {
                self.send(request, (domain + 1) % domains, 0)
            }
            _ if tried == domains.min(1 + MAX_OFFERS) => {
                // A failure domain that cannot serve has no queue and thus no backlog.
                let order = |left: &(f64, usize), right: &(f64, usize)| {
                    let is_remote = |tried: &(f64, usize)| tried.1 != state.local_domain;
                    let is_unavailable = |tried: &(f64, usize)| tried.0 == f64::MAX;
                    (is_unavailable(left), is_remote(left))
                        .cmp(&(is_unavailable(right), is_remote(right)))
                        .then(left.0.total_cmp(&right.0))
                };
                let best = state.tried.iter().copied().min_by(order);
                self.send(request, best.map_or(0, |(_, domain)| domain), ONLINE_WAIT_US);
            }
            _ => self.report.requests[request].refused = true,
        }
    }

    fn start(&mut self, request: usize, target: usize, key: (u64, u64)) {
        let stream = self.next;
        self.next += 1;
        if target < self.scenario.deployment.targets {
            self.report.starts_in_first.push(self.now);
        }
        let slow_start = self.slow_starts[target];
        let running = self.engines[target].running() + 1;
        let back = self.scenario.outage.map(|(_, back)| Time::ZERO + back);
        let first = target < self.scenario.deployment.targets;
        if first && back.is_some_and(|back| self.now >= back) {
            let excess = running.saturating_sub(slow_start.allowed);
            self.report.ramp_excess = self.report.ramp_excess.max(excess);
        }
        let growth_step = (running >= slow_start.allowed).then_some(slow_start.step);
        self.streams.insert(stream, (request, growth_step));
        let state = &mut self.requests[request];
        state.placed = Some((target, stream, key));
        state.sent = self.now;
        let (class, work) = (state.slot_request.class, (state.prompt, state.output));
        self.report.requests[request].started = Some(self.now);
        if let Some(at) = self.engines[target].start(stream, class, work, self.now) {
            self.at(at, Event::Step { target });
        }
    }

    fn step(&mut self, target: usize) {
        let (finished, next) = self.engines[target].end_step(self.now);
        if let Some(at) = next {
            self.at(at, Event::Step { target });
        }
        for ended in finished {
            let Some((request, growth_step)) = self.streams.remove(&ended.stream) else { continue };
            let slow_start = &mut self.slow_starts[target];
            if growth_step == Some(slow_start.step) {
                *slow_start =
                    SlowStart { allowed: slow_start.allowed * 2, step: slow_start.step + 1 };
            }
            let outcome = &mut self.report.requests[request];
            outcome.first.get_or_insert(ended.first);
            outcome.ended = Some(self.now);
            outcome.interference = ended.interference;
            self.count_batch(request, ended.generated);
            self.end(request, SlotResult::Whole, Some(ended.first), ended.generated);
            if self.requests[request].slot_request.class == Class::Batch {
                let local_domain = self.requests[request].local_domain;
                self.add_batch_item(local_domain, Duration::ZERO);
            }
        }
    }

    fn cancel(&mut self, request: usize, key: (u64, u64)) {
        let placed = self.requests[request].placed;
        let Some((target, stream, _)) = placed.filter(|placed| placed.2 == key) else { return };
        let Some((first, generated)) = self.engines[target].cancel(stream) else { return };
        self.streams.remove(&stream);
        self.report.cancelled += 1;
        self.count_batch(request, generated);
        self.end(request, SlotResult::Cancelled, first, generated);
        let state = &mut self.requests[request];
        state.prompt += generated;
        state.output -= generated;
        state.slot_request.prompt = state.prompt;
        let domain = state.local_domain;
        self.after(
            Duration::from_millis(2),
            Event::Request { request, domain, wait_us: 60_000_000 },
        );
    }

    fn end(&mut self, request: usize, end: SlotResult, first: Option<Time>, generated: u64) {
        let state = &mut self.requests[request];
        let Some((target, _, (epoch, slot))) = state.placed.take() else { return };
        if self.scenario.round_robin {
            return;
        }
        let release = SlotRelease {
            slot,
            epoch,
            target: target_name(target),
            end,
            first_token_us: first.map(|first| first.since(state.sent).as_micros() as u64),
            work: state.prompt + generated,
        };
        let local_domain = state.local_domain;
        let domain = target / self.scenario.deployment.targets;
        let delay = self.delay(local_domain, domain);
        self.after(2 * delay, Event::Release { domain, release });
    }

    /// Reports the slots that all instances hold to the leads that granted them.
    fn heartbeat(&mut self) {
        self.after(HEARTBEAT, Event::Heartbeat);
        let running = self.now < Time::ZERO + self.scenario.end;
        for view in self.leads.iter().filter(|_| running).flat_map(|lead| lead.targets(self.now)) {
            self.report.free_slots.0 += view.limit.saturating_sub(view.outstanding);
            self.report.free_slots.1 += 1;
        }
        let targets = self.scenario.deployment.targets;
        let mut held: BTreeMap<(usize, usize), Vec<HeldSlot>> = BTreeMap::new();
        for state in &self.requests {
            let Some((target, _, (epoch, slot))) = state.placed else { continue };
            let report = HeldSlot {
                slot,
                epoch,
                request: state.slot_request.request.clone(),
                account: state.slot_request.account.clone(),
                class: state.slot_request.class,
                model: state.slot_request.model.clone(),
                target: target_name(target),
                work: state.slot_request.work,
                prompt: state.prompt,
                isolated: false,
            };
            held.entry((target / targets, state.instance)).or_default().push(report);
        }
        for ((domain, index), slots) in held {
            let actions = self.leads[domain].on_sync(&instance(index), &slots, self.now);
            self.apply(domain, actions);
        }
    }

    fn send_round_robin(&mut self, request: usize) {
        let targets = self.engines.len();
        let first = self.scenario.deployment.targets;
        self.next_target = (self.next_target + 1) % targets;
        if self.domain_is_out && self.next_target < first {
            self.next_target = first;
        }
        let target = self.next_target;
        self.after(Duration::from_millis(1), Event::Start { request, target, key: (0, 0) });
    }

    fn count_batch(&mut self, request: usize, tokens: u64) {
        if self.requests[request].slot_request.class == Class::Batch {
            let second = self.now.as_micros() / 1_000_000;
            *self.report.batch_tokens.entry(second).or_default() += tokens;
        }
    }

    fn schedule_arrival(&mut self, account: usize) {
        let rate = self.scenario.online[account];
        if rate > 0.0 {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
            self.after(seconds(gap), Event::Arrive { account });
        }
    }

    fn config(&self, domain: usize, domain_out: bool) -> Config {
        let targets = self.scenario.deployment.targets;
        let info = |index: usize| TargetInfo {
            name: target_name(index),
            address: String::new(),
            models: vec![ModelName::from("m")],
            max_limit: self.scenario.max_limit,
            leaving: false,
        };
        let targets = (domain * targets..(domain + 1) * targets).map(info).collect();
        Config { targets, domain_out }
    }

    fn delay(&self, local_domain: usize, domain: usize) -> Duration {
        Duration::from_micros(if local_domain == domain { 200 } else { 900 })
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    fn at(&mut self, at: Time, event: Event) {
        self.events.push(Reverse((at, self.next)));
        self.pending_events.insert(self.next, event);
        self.next += 1;
    }
}

fn instance(index: usize) -> InstanceName {
    InstanceName::from(format!("instance-{index}"))
}

fn target_name(index: usize) -> TargetName {
    TargetName::from(format!("target-{index:03}"))
}

fn target_index(name: &TargetName) -> usize {
    name.as_str().trim_start_matches("target-").parse().unwrap_or(0)
}
