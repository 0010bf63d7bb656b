//! Runs two failure domains of three instances on virtual time with message, store, clock and
//! process faults, and reports breaches.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sesamewall_membership::log_format::CHANGE_PREFIX;
use sesamewall_membership::log_format::change_key;
use sesamewall_membership::log_format::decode_change;
use sesamewall_membership::*;
use sesamewall_ports::Precondition;
use sesamewall_ports::StoreError;
use sesamewall_protocol::Error;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::MembershipMessage;

use crate::fixtures::account;
use crate::sim_names::OwnedReport;
use crate::sim_names::domain;
use crate::sim_names::domain_name;
use crate::sim_names::index;
pub use crate::sim_names::listed;
use crate::sim_names::node_name;
pub use crate::sim_plan::Fault;
pub use crate::sim_plan::Outcome;
pub use crate::sim_plan::Plan;
pub use crate::sim_plan::RECOVERY_MS;

pub const DOMAINS: usize = 2;
pub const NODES: usize = 6;
const PROPAGATION_MS: u64 = 6_000;
const QUIET_MS: u64 = 16_000;

struct Node {
    lead: Lead,
    members: Members,
    follower: Follower,
    listed_at: u64,
    highest_revision: u64,
}

enum Step {
    Tick(usize),
    Message {
        from: usize,
        to: usize,
        message: MembershipMessage,
    },
    Request {
        node: usize,
        life: u64,
        call: Call,
    },
    Answer {
        node: usize,
        life: u64,
        call: Call,
        result: Result<Vec<(String, u64, Vec<u8>)>, StoreError>,
    },
    Write(usize),
}

#[derive(Clone)]
enum Call {
    LeadRead(u64),
    LeadPut(u64, LeadRecord, Precondition),
    List,
    Create(usize, String, Vec<u8>),
    Get(usize, String),
}

pub struct Sim {
    plan: Plan,
    rng: ChaCha8Rng,
    now: u64,
    queue: BTreeMap<(u64, u64), Step>,
    sequence: u64,
    nodes: Vec<Node>,
    lives: Vec<u64>,
    up_since: Vec<u64>,
    store: BTreeMap<String, (u64, Vec<u8>)>,
    version: u64,
    writers: Vec<(ChangeWriter, String)>,
    told: BTreeMap<String, Result<u64, Error>>,
    granted: BTreeMap<usize, u64>,
    leadless_since: BTreeMap<usize, u64>,
    committed: BTreeMap<u64, u64>,
    outcome: Outcome,
}

impl Sim {
    pub fn run(plan: Plan) -> Outcome {
        let rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let mut sim = Self {
            rng,
            now: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            nodes: Vec::new(),
            lives: vec![0; NODES],
            up_since: vec![0; NODES],
            store: BTreeMap::new(),
            version: 0,
            writers: Vec::new(),
            told: BTreeMap::new(),
            granted: BTreeMap::new(),
            leadless_since: BTreeMap::new(),
            committed: BTreeMap::new(),
            outcome: Outcome::default(),
            plan,
        };
        for node in 0..NODES {
            let start = sim.start(node);
            sim.nodes.push(start);
            sim.push(node as u64 * 1_000, Step::Tick(node));
        }
        for (node, at) in sim.plan.writes.clone() {
            sim.push(at * 1_000, Step::Write(node));
        }
        while let Some((&(at, sequence), _)) = sim.queue.first_key_value() {
            sim.now = at;
            if sim.ms() > sim.plan.end + QUIET_MS {
                break;
            }
            let step = sim.queue.remove(&(at, sequence)).unwrap();
            sim.step(step);
            sim.check();
        }
        sim.finish()
    }

    fn ms(&self) -> u64 {
        self.now / 1_000
    }

    /// Clocks of two instances start at different values and differ by up to 2% in rate.
    fn clock(&self, node: usize) -> Time {
        let rate = 98 + (self.plan.seed + node as u64) % 5;
        Time::from_micros(1_000_000 * (node as u64 + 5) + self.now / 100 * rate)
    }

    fn start(&mut self, node: usize) -> Node {
        let name = node_name(node);
        let settings = LeadSettings {
            wait: self.plan.wait,
            expire: self.plan.expire,
            margin: Duration::from_millis(self.plan.margin_ms),
            ..LeadSettings::default()
        };
        let mut members = Members::new(name.clone(), domain_name(domain(node)));
        members.set_list((0..NODES).map(listed).collect());
        let lead = Lead::new(name, settings, self.clock(node));
        let follower = Follower::new(self.plan.in_order);
        Node { lead, members, follower, listed_at: 0, highest_revision: 0 }
    }

    fn push(&mut self, at: u64, step: Step) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), step);
    }

    fn delay(&mut self) -> u64 {
        let faulty = self.ms() < self.plan.end;
        let spike = faulty && self.rng.random_bool(0.03);
        self.rng.random_range(if spike { 1_000..1_200_000 } else { 300..8_000 })
    }

    fn active(&self, fault: impl Fn(&Fault) -> Option<(u64, u64)>) -> bool {
        let now = self.ms();
        let found = self.plan.faults.iter().filter_map(fault);
        found.into_iter().any(|(from, len)| (from..from + len).contains(&now))
    }

    fn pause_end(&self, node: usize) -> Option<u64> {
        let now = self.ms();
        let ends = self.plan.faults.iter().filter_map(|fault| match fault {
            Fault::Pause { node: n, from, len } if *n == node => {
                (*from..from + len).contains(&now).then_some(from + len)
            }
            _ => None,
        });
        ends.max()
    }

    fn is_down(&self, node: usize) -> bool {
        self.active(|fault| match fault {
            Fault::Crash { node: n, from, len } if *n == node => Some((*from, *len)),
            // A shutdown takes one second, in which the instance hands over.
            Fault::ShutDown { node: n, from, len } if *n == node => Some((from + 1_000, *len)),
            _ => None,
        })
    }

    fn cut(&self, a: usize, b: usize) -> bool {
        domain(a) != domain(b)
            && self.active(|fault| match fault {
                Fault::Partition { domain: d, peers: true, from, len, .. } => {
                    (*d == domain(a) || *d == domain(b)).then_some((*from, *len))
                }
                _ => None,
            })
    }

    fn no_store(&self, node: usize) -> bool {
        self.active(|fault| match fault {
            Fault::StoreDown { from, len } => Some((*from, *len)),
            Fault::Partition { domain: d, store: true, from, len, .. } => {
                (*d == domain(node)).then_some((*from, *len))
            }
            Fault::NoStore { node: n, from, len } if *n == node => Some((*from, *len)),
            _ => None,
        })
    }

    fn step(&mut self, step: Step) {
        let node = match &step {
            Step::Tick(node) | Step::Answer { node, .. } | Step::Write(node) => Some(*node),
            Step::Message { to, .. } => Some(*to),
            Step::Request { .. } => None,
        };
        if let Some(node) = node {
            if self.is_down(node) {
                if matches!(step, Step::Tick(_)) {
                    self.lives[node] += 1;
                    self.up_since[node] = self.ms();
                    self.nodes[node] = self.start(node);
                    self.push(self.now + 100_000, step);
                }
                return;
            }
            if let Some(end) = self.pause_end(node) {
                let jitter = self.rng.random_range(0..3_000);
                self.push(end * 1_000 + jitter, step);
                return;
            }
            self.grant(node);
        }
        match step {
            Step::Tick(node) => self.tick(node),
            Step::Message { from, to, message } => self.receive(from, to, &message),
            Step::Request { node, life, call } => self.request(node, life, call),
            Step::Answer { node, life, call, result } if life == self.lives[node] => {
                self.answer(node, call, result);
            }
            Step::Answer { .. } => {}
            Step::Write(node) => self.write(node),
        }
    }

    /// Grants with the epoch as fencing token whenever the instance runs and its lease allows it.
    fn grant(&mut self, node: usize) {
        let now = self.clock(node);
        if let Some(epoch) = self.nodes[node].lead.epoch(now) {
            let highest = self.granted.entry(domain(node)).or_default();
            if epoch < *highest {
                self.outcome.breaches.insert("grant with an old epoch".into());
            }
            *highest = epoch.max(*highest);
            self.outcome.leads.entry(domain(node)).or_default().insert((epoch, node));
        }
    }

    fn tick(&mut self, node: usize) {
        let now = self.clock(node);
        self.push(self.now + 100_000, Step::Tick(node));
        let (from, ms) = (node, self.ms());
        let leaving = self.plan.faults.iter().any(|fault| {
            matches!(fault, Fault::ShutDown { node: n, from, .. }
                if *n == node && (*from..from + 1_000).contains(&ms))
        });
        let Node { lead, members, .. } = &mut self.nodes[node];
        lead.set_peers(members.domain_peers());
        let mut actions = lead.tick(now, &mut self.rng);
        if leaving {
            members.leave();
            actions.extend(lead.shut_down(now, &mut self.rng));
        }
        self.lead_actions(from, actions);
        let report = self.report(node);
        let actions = self.nodes[node].members.tick(now, &report.borrow());
        self.member_actions(node, actions);
        let leading = self.nodes[node].lead.epoch(now).is_some();
        if leading && self.ms() >= self.nodes[node].listed_at + 200 {
            self.nodes[node].listed_at = self.ms();
            self.call(node, Call::List);
        }
    }

    fn report(&self, node: usize) -> OwnedReport {
        let node_state = &self.nodes[node];
        OwnedReport {
            lead: node_state.lead.lead().cloned(),
            notice: node_state.lead.notice(self.clock(node)),
            revision: node_state.follower.config().revision(),
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: &MembershipMessage) {
        let now = self.clock(to);
        let (name, domain) = (node_name(from), domain_name(domain(from)));
        if self::domain(from) == self::domain(to) {
            let actions = self.nodes[to].lead.message(now, &name, message);
            self.lead_actions(to, actions);
        }
        let report = self.report(to);
        let node = &mut self.nodes[to];
        let actions = node.members.message(now, &name, &domain, message, &report.borrow());
        self.member_actions(to, actions);
        let node = &mut self.nodes[to];
        let actions = match message {
            MembershipMessage::ConfigAsk { after } => {
                let answers = node.follower.answer(*after);
                answers.into_iter().for_each(|answer| self.send(to, &name, answer));
                return;
            }
            MembershipMessage::ConfigDiff { changes } => node.follower.offer(changes.clone()),
            MembershipMessage::ConfigSnapshot { chunk } => node.follower.offer_chunk(chunk),
            _ => return,
        };
        self.log_actions(to, actions);
    }

    fn lead_actions(&mut self, node: usize, actions: Vec<LeadAction>) {
        for action in actions {
            match action {
                LeadAction::Read { call } => self.call(node, Call::LeadRead(call)),
                LeadAction::Put { call, record, expect } => {
                    self.call(node, Call::LeadPut(call, record, expect));
                }
                LeadAction::Send { to, message } => self.send(node, &to, message),
                LeadAction::Gained(_) | LeadAction::Lost(_) => {}
            }
        }
    }

    fn member_actions(&mut self, node: usize, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Send { to, message } => self.send(node, &to, message),
                MemberAction::Revision { from, revision } if self.plan.ask => {
                    let now = self.clock(node);
                    let actions = self.nodes[node].follower.hear(now, &from, revision);
                    self.log_actions(node, actions);
                }
                MemberAction::Revision { .. } | MemberAction::Suspects(_) => {}
            }
        }
    }

    fn log_actions(&mut self, node: usize, actions: Vec<LogAction>) {
        for action in actions {
            match action {
                LogAction::Ask { to, message } => self.send(node, &to, message),
                LogAction::Applied(config) => {
                    let now = self.clock(node);
                    let state = &mut self.nodes[node];
                    if config.revision() < state.highest_revision {
                        self.outcome.breaches.insert("configuration went backwards".into());
                    }
                    state.highest_revision = config.revision();
                    let answers = state.follower.answer(config.revision() - 1);
                    if state.lead.epoch(now).is_some() {
                        for to in self.nodes[node].members.domain_peers() {
                            answers.iter().for_each(|a| self.send(node, &to, a.clone()));
                        }
                    }
                }
                LogAction::Skipped { revision, error } => {
                    self.outcome.breaches.insert(format!("skipped {revision}: {error}"));
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: &InstanceName, message: MembershipMessage) {
        let to = index(to);
        let faulty = self.ms() < self.plan.end;
        if self.cut(from, to) || (faulty && self.rng.random_bool(self.plan.loss)) {
            return;
        }
        let copies = if faulty && self.rng.random_bool(0.05) { 2 } else { 1 };
        for _ in 0..copies {
            let at = self.now + self.delay();
            self.push(at, Step::Message { from, to, message: message.clone() });
        }
    }

    fn call(&mut self, node: usize, call: Call) {
        let (at, life) = (self.now + self.delay(), self.lives[node]);
        self.push(at, Step::Request { node, life, call });
    }

    fn request(&mut self, node: usize, life: u64, call: Call) {
        let at = self.now + self.delay();
        if self.no_store(node) {
            let result = Err(StoreError::Unavailable);
            return self.push(at, Step::Answer { node, life, call, result });
        }
        let result = match &call {
            Call::LeadRead(_) => Ok(self.entries(&self.lead_key(node), "", 1)),
            Call::LeadPut(_, record, expect) => {
                let value = serde_json::to_vec(record).unwrap();
                self.put(self.lead_key(node), value, *expect)
            }
            Call::List => {
                let after = change_key(self.nodes[node].follower.config().revision());
                Ok(self.entries(CHANGE_PREFIX, &after, 50))
            }
            Call::Create(_, key, value) => {
                self.put(key.clone(), value.clone(), Precondition::Absent)
            }
            Call::Get(_, key) => Ok(self.entries(key, "", 1)),
        };
        let lost = self.ms() < self.plan.end && self.rng.random_bool(self.plan.loss);
        let (at, result) =
            if lost { (at + 500_000, Err(StoreError::Unclear)) } else { (at, result) };
        self.push(at, Step::Answer { node, life, call, result });
    }

    fn lead_key(&self, node: usize) -> String {
        format!("lead/{}", domain_name(domain(node)))
    }

    fn entries(&self, prefix: &str, after: &str, limit: usize) -> Vec<(String, u64, Vec<u8>)> {
        let found =
            self.store.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        found
            .take(limit)
            .map(|(key, (version, value))| (key.clone(), *version, value.clone()))
            .collect()
    }

    fn put(
        &mut self,
        key: String,
        value: Vec<u8>,
        expect: Precondition,
    ) -> Result<Vec<(String, u64, Vec<u8>)>, StoreError> {
        let stored = self.store.get(&key).map(|(version, _)| *version);
        let holds = match expect {
            Precondition::Absent => stored.is_none(),
            Precondition::Version(version) => stored == Some(version),
        };
        if !holds {
            return Err(StoreError::Conflict);
        }
        self.version += 1;
        if key.starts_with(CHANGE_PREFIX) {
            let revision = decode_change(&value).unwrap().revision;
            self.committed.insert(revision, self.ms());
        }
        self.store.insert(key.clone(), (self.version, value));
        Ok(vec![(key, self.version, Vec::new())])
    }

    fn answer(
        &mut self,
        node: usize,
        call: Call,
        result: Result<Vec<(String, u64, Vec<u8>)>, StoreError>,
    ) {
        let now = self.clock(node);
        let version = |entries: &[(String, u64, Vec<u8>)]| entries[0].1;
        match call {
            Call::LeadRead(call) => {
                let decode = |(_, version, value): &(String, u64, Vec<u8>)| {
                    (*version, serde_json::from_slice(value).unwrap())
                };
                let result = result.map(|entries| entries.first().map(decode));
                let actions = self.nodes[node].lead.read(now, call, result);
                self.lead_actions(node, actions);
            }
            Call::LeadPut(call, ..) => {
                let result = result.map(|entries| version(&entries));
                let actions = self.nodes[node].lead.written(now, call, result);
                self.lead_actions(node, actions);
            }
            Call::List => {
                let entries = result.unwrap_or_default();
                let changes = entries.iter().map(|(_, _, value)| decode_change(value).unwrap());
                let actions = self.nodes[node].follower.offer(changes.collect::<Vec<_>>());
                self.log_actions(node, actions);
            }
            Call::Create(writer, ..) => {
                let next = self.writers[writer].0.written(result.map(|entries| version(&entries)));
                self.write_action(node, writer, next);
            }
            Call::Get(writer, _) => {
                let result = result.map(|entries| entries.into_iter().next().map(|entry| entry.2));
                let value = result.as_ref().map(|value| value.as_deref()).map_err(Clone::clone);
                let next = self.writers[writer].0.read(value);
                self.write_action(node, writer, next);
            }
        }
    }

    fn write(&mut self, node: usize) {
        let author = format!("op{}", self.told.len() + self.writers.len());
        let follower = &self.nodes[node].follower;
        let request = ChangeRequest {
            against: follower.config().revision(),
            token: format!("{author}-{}", self.sequence),
            author: author.clone(),
            at_ms: 0,
            operations: vec![account(&author)],
        };
        match ChangeWriter::start(follower, request, self.plan.read_back) {
            Ok((writer, action)) => {
                self.writers.push((writer, author));
                self.write_action(node, self.writers.len() - 1, action);
            }
            Err(error) => panic!("{error}"),
        }
    }

    fn write_action(&mut self, node: usize, writer: usize, action: WriteAction) {
        let author = self.writers[writer].1.clone();
        match action {
            WriteAction::Create { key, value } => self.call(node, Call::Create(writer, key, value)),
            WriteAction::Read { key } => self.call(node, Call::Get(writer, key)),
            WriteAction::Accepted(change) => {
                self.told.insert(author, Ok(change.revision));
                let actions = self.nodes[node].follower.offer([change]);
                self.log_actions(node, actions);
            }
            WriteAction::Refused(error) => {
                self.told.insert(author, Err(error));
            }
        }
    }

    fn check(&mut self) {
        for d in 0..DOMAINS {
            let nodes = (0..NODES).filter(|node| domain(*node) == d && !self.is_down(*node));
            let valid =
                nodes.filter(|node| self.nodes[*node].lead.epoch(self.clock(*node)).is_some());
            let valid = valid.collect::<Vec<_>>();
            if valid.len() > 1 {
                let ms = self.ms();
                let text = format!("two valid leads, first at {ms} ms: {valid:?}");
                let known = self.outcome.breaches.iter().any(|b| b.starts_with("two valid leads"));
                self.outcome.breaches.extend((!known).then_some(text));
            }
            let since = self.leadless_since.get(&d).copied();
            let gap = since.map_or(0, |since| (self.now - since) / 1_000);
            let longest = self.outcome.leadless.entry(d).or_default();
            *longest = gap.max(*longest);
            if !valid.is_empty() {
                self.leadless_since.insert(d, self.now);
            }
            if valid.is_empty() && self.ms() > self.plan.end + RECOVERY_MS {
                self.outcome.breaches.insert("no lead after the faults ended".into());
            }
        }
        // A change accepted during faults must arrive within the bound after their end and recovery.
        let quiet = if self.plan.strict { 0 } else { self.plan.end + RECOVERY_MS };
        let due = |at: &u64| self.ms() > quiet.max(*at) + PROPAGATION_MS;
        let newest = self.committed.iter().filter(|(_, at)| due(at)).map(|(r, _)| *r).max();
        let revision = |node: usize| Some(self.nodes[node].follower.config().revision());
        let reachable = |node: &usize| self.ms() > self.up_since[*node] + PROPAGATION_MS;
        let mut nodes = (0..NODES).filter(reachable);
        if newest.is_some() && nodes.any(|node| revision(node) < newest) {
            self.outcome.breaches.insert("a revision is not in force everywhere".into());
        }
    }

    fn finish(mut self) -> Outcome {
        let log = self.entries(CHANGE_PREFIX, "", usize::MAX);
        let log: Vec<_> = log.iter().map(|(_, _, value)| decode_change(value).unwrap()).collect();
        for (author, told) in &self.told {
            let count = log.iter().filter(|change| change.author == *author).count();
            let right = match told {
                Ok(_) => count == 1,
                Err(Error::RevisionConflict { current, winner, .. }) => {
                    let named = log.iter().any(|c| c.revision == *current && c.author == *winner);
                    count == 0 && named && winner != author
                }
                Err(Error::StoreUnavailable { detail }) if detail.ends_with("unknown") => {
                    count <= 1
                }
                Err(_) => count == 0,
            };
            self.outcome.accepted += usize::from(told.is_ok());
            self.outcome.conflicts +=
                usize::from(matches!(told, Err(Error::RevisionConflict { .. })));
            if !right {
                self.outcome.breaches.insert(format!("{author} was told {told:?}, stored {count}"));
            }
        }
        let resources = |node: &Node| node.follower.config().resources();
        if self.nodes.iter().any(|node| resources(node) != resources(&self.nodes[0])) {
            self.outcome.breaches.insert("configurations differ at the end".into());
        }
        self.outcome.revision = log.len() as u64;
        self.outcome
    }
}
