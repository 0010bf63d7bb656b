//! Events of the simulated fleet.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sesamewall_membership::LEAD_LEASE;
use sesamewall_membership::LEAD_MARGIN;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::RateGrant;
use sesamewall_protocol::peer::RateRequest;
use sesamewall_rate::Action;
use sesamewall_rate::Floor;
use sesamewall_rate::FloorBackup;
use sesamewall_rate::FloorCall;
use sesamewall_rate::FloorRecord;
use sesamewall_rate::Grantor;
use sesamewall_rate::Holder;
use sesamewall_rate::Limits;

use super::DisabledMechanism;
use super::History;
use super::Network;
use super::RequestFate;
use super::Simulation;
use super::Step;

/// Time from the loss of a lead to the claim of its successor.
const TAKEOVER: Duration = LEAD_LEASE.saturating_add(LEAD_MARGIN);

pub(super) enum Event {
    Step(Step),
    Request(usize, usize, RateRequest),
    Grant(usize, u64, usize, RateGrant),
    Unreachable(usize, u64, usize, AccountName),
    HolderTick(usize, u64),
    LeadTick(usize),
    ElectLead(usize),
    StoreCall(Call),
    StoreReply(Call, CallReply),
    PromiseRequest(usize, (usize, u64), Time),
    Promise((usize, u64), Time, Duration),
}

#[derive(Clone, Copy)]
pub(super) struct Call {
    pub(super) lead: (usize, u64),
    pub(super) kind: CallKind,
    pub(super) sent: Time,
}

#[derive(Clone, Copy)]
pub(super) enum CallKind {
    Renew,
    LocalFloor(FloorCall),
    BackupFloor(FloorCall),
}

#[derive(Clone, Copy)]
pub(super) enum CallReply {
    Done(u64),
    Conflict,
    Floor(FloorRecord, u64),
    Lead(u64),
}

pub(super) struct Instance {
    pub(super) alive: bool,
    pub(super) incarnation: u64,
    pub(super) paused_until: Time,
    pub(super) clock_lag: Duration,
    pub(super) holder: Holder,
    pub(super) limits: Vec<Limits>,
    pub(super) lead: Option<Lead>,
    pub(super) wake: Option<Time>,
}

pub(super) struct Lead {
    pub(super) domain: usize,
    pub(super) epoch: u64,
    pub(super) grantor: Grantor,
    pub(super) floor: Floor,
    pub(super) backup: FloorBackup,
    pub(super) valid_until: Time,
    pub(super) renewed: Time,
    pub(super) local_call: Option<Time>,
    pub(super) backup_call: Option<Time>,
}

pub(super) struct Fleet {
    pub(super) simulation: Simulation,
    pub(super) rng: ChaCha8Rng,
    pub(super) now: Time,
    pub(super) queue: BinaryHeap<Reverse<(Time, u64, usize)>>,
    pub(super) events: Vec<Option<Event>>,
    pub(super) free_entries: Vec<usize>,
    pub(super) next: u64,
    pub(super) instances: Vec<Instance>,
    pub(super) leads: Vec<(usize, u64)>,
    /// Former leads to which some instances keep sending requests, by instance and domain.
    pub(super) stale_leads: HashMap<(usize, usize), (usize, Time)>,
    pub(super) partitioned: Vec<bool>,
    pub(super) lead_records: Vec<u64>,
    pub(super) floor_records: Vec<(FloorRecord, u64)>,
    pub(super) names: Vec<AccountName>,
    pub(super) domains: Vec<DomainName>,
    pub(super) history: History,
}

/// Runs the schedule until `end` and returns the history.
pub fn simulate(simulation: Simulation, steps: Vec<(Time, Step)>, end: Time) -> History {
    let mut fleet = Fleet::new(simulation);
    for (at, step) in steps {
        fleet.push(at, Event::Step(step));
    }
    while let Some(Reverse((at, _, slot))) = fleet.queue.pop() {
        if at > end {
            break;
        }
        fleet.now = at;
        fleet.free_entries.push(slot);
        if let Some(event) = fleet.events[slot].take() {
            fleet.handle(event);
        }
    }
    fleet.history
}

impl Fleet {
    fn new(simulation: Simulation) -> Self {
        let (domains, accounts) = (simulation.domains, simulation.limits.len());
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(simulation.seed),
            now: Time::ZERO,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free_entries: Vec::new(),
            next: 0,
            instances: Vec::new(),
            leads: vec![(usize::MAX, 0); domains],
            stale_leads: HashMap::new(),
            partitioned: vec![false; domains],
            lead_records: vec![0; domains],
            floor_records: vec![(FloorRecord::default(), 0); domains],
            names: (0..accounts).map(|i| AccountName::from(format!("a{i}"))).collect(),
            domains: (0..domains).map(|i| DomainName::from(format!("d{i}"))).collect(),
            history: History { token_requests: vec![0; accounts], ..History::default() },
            simulation,
        };
        for i in 0..fleet.simulation.instances {
            let limits = fleet.simulation.limits.clone();
            let instance = fleet.new_instance(i, limits);
            fleet.instances.push(instance);
        }
        for domain in 0..domains {
            fleet.elect_lead(domain);
        }
        fleet
    }

    pub(super) fn new_instance(&mut self, i: usize, limits: Vec<Limits>) -> Instance {
        let local = self.domains[i % self.domains.len()].clone();
        let incarnation = self.rng.random();
        let mut settings = self.simulation.holder.clone();
        if self.simulation.disabled == DisabledMechanism::Expiry {
            settings.grant_ttl = Duration::from_secs(1 << 20);
        }
        let mut holder = Holder::new(settings, incarnation, local, self.domains.clone());
        for (name, limits) in self.names.iter().zip(&limits) {
            holder.set_limits(name, *limits);
        }
        let (paused_until, clock_lag) = (Time::ZERO, Duration::ZERO);
        let (alive, wake, lead) = (true, None, None);
        Instance { alive, incarnation, paused_until, clock_lag, holder, limits, lead, wake }
    }

    pub(super) fn push(&mut self, at: Time, event: Event) {
        self.next += 1;
        let slot = self.free_entries.pop().unwrap_or(self.events.len());
        if slot == self.events.len() {
            self.events.push(None);
        }
        self.events[slot] = Some(event);
        self.queue.push(Reverse((at, self.next, slot)));
    }

    /// Returns the clock of an instance.
    pub(super) fn clock(&self, i: usize) -> Time {
        self.now - self.instances[i].clock_lag
    }

    pub(super) fn send(&mut self, from: usize, to: usize, event: impl Fn() -> Event) {
        let domains = self.domains.len();
        let network = self.simulation.network;
        let (a, b) = (from % domains, to % domains);
        if a != b && (self.partitioned[a] || self.partitioned[b]) || self.chance(network.dropped) {
            return;
        }
        let copies = if self.chance(network.duplicated) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.delay(network);
            self.push(self.now + delay, event());
        }
    }

    pub(super) fn delay(&mut self, network: Network) -> Duration {
        let longest = u64::try_from(network.max_delay.as_micros()).unwrap_or(0);
        let extra =
            if self.chance(network.delayed) { self.rng.random_range(0..=longest) } else { 0 };
        self.simulation.latency + Duration::from_micros(extra)
    }

    pub(super) fn chance(&mut self, thousandths: u32) -> bool {
        thousandths > 0 && self.rng.random_range(0..1000) < thousandths
    }

    /// Returns whether the instance is alive and not paused.
    pub(super) fn is_ready(&self, i: usize) -> bool {
        self.instances[i].alive && self.instances[i].paused_until <= self.now
    }

    fn handle(&mut self, event: Event) {
        let target = match &event {
            Event::Request(_, i, _) | Event::Grant(i, ..) | Event::Unreachable(i, ..) => Some(*i),
            Event::HolderTick(i, _) | Event::LeadTick(i) => Some(*i),
            Event::StoreReply(call, _) => Some(call.lead.0),
            Event::PromiseRequest(i, ..) | Event::Promise((i, _), ..) => Some(*i),
            _ => None,
        };
        if let Some(i) = target.filter(|i| !self.is_ready(*i)) {
            if self.instances[i].alive {
                self.push(self.instances[i].paused_until, event);
            }
            return;
        }
        match event {
            Event::Step(step) => self.step(step),
            Event::Request(from, to, request) => self.on_token_request(from, to, request),
            Event::Grant(to, incarnation, domain, grant) => {
                if self.instances[to].incarnation == incarnation {
                    self.on_grant(to, domain, grant);
                }
            }
            Event::Unreachable(to, incarnation, domain, account) => {
                if self.instances[to].incarnation == incarnation {
                    let (now, lead) = (self.clock(to), self.domains[domain].clone());
                    let holder = &mut self.instances[to].holder;
                    let actions = holder.on_lead_unreachable(&lead, &account, now);
                    self.act(to, actions);
                }
            }
            Event::HolderTick(i, incarnation) => {
                let due = self.instances[i].wake.is_some_and(|wake| wake <= self.now);
                if self.instances[i].incarnation == incarnation && due {
                    self.instances[i].wake = None;
                    let now = self.clock(i);
                    let actions = self.instances[i].holder.tick(now);
                    self.act(i, actions);
                }
            }
            Event::LeadTick(i) => self.lead_tick(i),
            Event::ElectLead(domain) => self.elect_lead(domain),
            Event::StoreCall(call) => self.store_call(call),
            Event::StoreReply(call, reply) => self.store_reply(call, reply),
            Event::PromiseRequest(to, sender, sent) => self.on_promise_request(to, sender, sent),
            Event::Promise(sender, sent, clear) => self.on_promise(sender, sent, clear),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Request { account, instance } => self.request(account, instance),
            Step::Kill(i) => {
                self.instances[i].alive = false;
                self.instances[i].lead = None;
                let domain = i % self.domains.len();
                if self.leads[domain].0 == i {
                    self.push(self.now + TAKEOVER, Event::ElectLead(domain));
                }
            }
            Step::Start(i) => {
                let limits = self.instances[i].limits.clone();
                self.instances[i] = self.new_instance(i, limits);
                let domain = i % self.domains.len();
                if self.instances[self.leads[domain].0].lead.is_none() {
                    self.push(self.now + TAKEOVER, Event::ElectLead(domain));
                }
            }
            Step::Pause(i, time) => self.pause(i, time),
            Step::Freeze(i, time) => {
                self.pause(i, time);
                self.instances[i].clock_lag += time;
            }
            Step::Partition(domain, partitioned) => self.partitioned[domain] = partitioned,
            Step::Limits(i, account, limits) => self.apply(i, account, limits),
        }
    }

    fn pause(&mut self, i: usize, time: Duration) {
        self.instances[i].paused_until = self.now + time;
        let domain = i % self.domains.len();
        if time > LEAD_LEASE && self.leads[domain].0 == i {
            self.push(self.now + TAKEOVER + Duration::from_secs(1), Event::ElectLead(domain));
        }
    }

    fn apply(&mut self, i: usize, account: usize, limits: Limits) {
        let (now, name) = (self.clock(i), self.names[account].clone());
        let instance = &mut self.instances[i];
        instance.limits[account] = limits;
        instance.holder.set_limits(&name, limits);
        if let Some(lead) = &mut instance.lead {
            lead.grantor.set_limits(&name, limits, now);
        }
        self.history.applied.push((self.now, i, account, limits));
    }

    fn request(&mut self, account: usize, instance: usize) {
        let ticket = self.history.requests.len() as u64;
        self.history.requests.push((self.now, account, RequestFate::Lost));
        let count = self.instances.len();
        let choice = (instance..instance + count).map(|i| i % count).find(|i| self.is_ready(*i));
        let Some(i) = choice else { return };
        let now = self.clock(i);
        let name = self.names[account].clone();
        let actions = self.instances[i].holder.request(&name, ticket, now);
        self.act(i, actions.unwrap_or_default());
    }

    fn act(&mut self, i: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Admitted { ticket, waited } => {
                    self.history.requests[ticket as usize].2 =
                        RequestFate::Admitted(self.now, waited);
                }
                Action::Refused { ticket, .. } => {
                    self.history.requests[ticket as usize].2 = RequestFate::Refused;
                }
                Action::RequestTokens { lead, request } => self.request_tokens(i, &lead, request),
            }
        }
        let instance = &mut self.instances[i];
        let now = self.now - instance.clock_lag;
        let Some(wake) = instance.holder.next_wake(now) else { return };
        let wake = self.now + wake.since(now);
        if instance.wake.is_none_or(|planned| planned > wake || planned <= self.now) {
            instance.wake = Some(wake);
            let incarnation = instance.incarnation;
            self.push(wake, Event::HolderTick(i, incarnation));
        }
    }

    fn request_tokens(&mut self, i: usize, lead: &DomainName, request: RateRequest) {
        let account = self.names.iter().position(|name| *name == request.account).unwrap_or(0);
        self.history.token_requests[account] += 1;
        let domain = self.domains.iter().position(|name| name == lead).unwrap_or(0);
        let stale = self.stale_leads.get(&(i, domain)).filter(|(_, until)| self.now < *until);
        let to = stale.map_or(self.leads[domain].0, |(old, _)| *old);
        if !self.instances[to].alive {
            let incarnation = self.instances[i].incarnation;
            let account = request.account;
            let at = self.now + self.simulation.latency * 2;
            return self.push(at, Event::Unreachable(i, incarnation, domain, account));
        }
        self.send(i, to, || Event::Request(i, to, request.clone()));
    }

    fn on_token_request(&mut self, from: usize, to: usize, request: RateRequest) {
        let now = self.clock(to);
        let Some(lead) = &mut self.instances[to].lead else { return };
        let ignores_lease = self.simulation.disabled == DisabledMechanism::LeadLease;
        let valid_until = if ignores_lease { now + LEAD_LEASE } else { lead.valid_until };
        let domain = lead.domain;
        let grant = lead.grantor.on_request(&request, now, valid_until);
        self.send(to, from, || Event::Grant(from, request.incarnation, domain, grant.clone()));
    }

    fn on_grant(&mut self, to: usize, domain: usize, mut grant: RateGrant) {
        if self.simulation.disabled == DisabledMechanism::Counters {
            grant.granted_total *= 2;
        }
        let (now, lead) = (self.clock(to), self.domains[domain].clone());
        let actions = self.instances[to].holder.on_grant(&lead, &grant, now);
        self.act(to, actions);
    }
}
