//! Simulates two failure domains of three instances each in virtual time with message, store, clock
//! and process faults, and reports violations.

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
use crate::sim_names::instance_name;
pub use crate::sim_names::listed;
pub use crate::sim_plan::Fault;
pub use crate::sim_plan::Outcome;
pub use crate::sim_plan::Plan;
pub use crate::sim_plan::RECOVERY_MS;

pub const DOMAINS: usize = 2;
pub const INSTANCES: usize = 6;
const PROPAGATION_MS: u64 = 6_000;
const QUIET_MS: u64 = 16_000;

struct SimInstance {
    lead: Lead,
    members: Members,
    follower: ConfigFollower,
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
        instance: usize,
        incarnation: u64,
        call: Call,
    },
    Reply {
        instance: usize,
        incarnation: u64,
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
    instances: Vec<SimInstance>,
    incarnations: Vec<u64>,
    up_since: Vec<u64>,
    store: BTreeMap<String, (u64, Vec<u8>)>,
    version: u64,
    writers: Vec<(ChangeWriter, String)>,
    results: BTreeMap<String, Result<u64, Error>>,
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
            instances: Vec::new(),
            incarnations: vec![0; INSTANCES],
            up_since: vec![0; INSTANCES],
            store: BTreeMap::new(),
            version: 0,
            writers: Vec::new(),
            results: BTreeMap::new(),
            granted: BTreeMap::new(),
            leadless_since: BTreeMap::new(),
            committed: BTreeMap::new(),
            outcome: Outcome::default(),
            plan,
        };
        for instance in 0..INSTANCES {
            let start = sim.start(instance);
            sim.instances.push(start);
            sim.push(instance as u64 * 1_000, Step::Tick(instance));
        }
        for (instance, at) in sim.plan.writes.clone() {
            sim.push(at * 1_000, Step::Write(instance));
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

    /// Returns the local time of an instance. Clocks start at different values and deviate by up to
    /// 2% in rate.
    fn clock(&self, instance: usize) -> Time {
        let rate = 98 + (self.plan.seed + instance as u64) % 5;
        Time::from_micros(1_000_000 * (instance as u64 + 5) + self.now / 100 * rate)
    }

    fn start(&mut self, instance: usize) -> SimInstance {
        let name = instance_name(instance);
        let settings = LeadSettings {
            wait_lease: self.plan.wait,
            check_lease: self.plan.expire,
            margin: Duration::from_millis(self.plan.margin_ms),
            ..LeadSettings::default()
        };
        let mut members = Members::new(name.clone(), domain_name(domain(instance)));
        members.set_list((0..INSTANCES).map(listed).collect());
        let lead = Lead::new(name, settings, self.clock(instance));
        let follower = ConfigFollower::new(self.plan.in_order);
        SimInstance { lead, members, follower, listed_at: 0, highest_revision: 0 }
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

    fn pause_end(&self, instance: usize) -> Option<u64> {
        let now = self.ms();
        let ends = self.plan.faults.iter().filter_map(|fault| match fault {
            Fault::Pause { node: n, from, len } if *n == instance => {
                (*from..from + len).contains(&now).then_some(from + len)
            }
            _ => None,
        });
        ends.max()
    }

    fn is_down(&self, instance: usize) -> bool {
        self.active(|fault| match fault {
            Fault::Crash { node: n, from, len } if *n == instance => Some((*from, *len)),
            // A shutdown takes one second, in which the instance hands its lease over.
            Fault::ShutDown { node: n, from, len } if *n == instance => Some((from + 1_000, *len)),
            _ => None,
        })
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        domain(a) != domain(b)
            && self.active(|fault| match fault {
                Fault::Partition { domain: d, peers: true, from, len, .. } => {
                    (*d == domain(a) || *d == domain(b)).then_some((*from, *len))
                }
                _ => None,
            })
    }

    fn is_store_unreachable(&self, instance: usize) -> bool {
        self.active(|fault| match fault {
            Fault::StoreDown { from, len } => Some((*from, *len)),
            Fault::Partition { domain: d, store: true, from, len, .. } => {
                (*d == domain(instance)).then_some((*from, *len))
            }
            Fault::NoStore { node: n, from, len } if *n == instance => Some((*from, *len)),
            _ => None,
        })
    }

    fn step(&mut self, step: Step) {
        let instance = match &step {
            Step::Tick(instance) | Step::Reply { instance, .. } | Step::Write(instance) => {
                Some(*instance)
            }
            Step::Message { to, .. } => Some(*to),
            Step::Request { .. } => None,
        };
        if let Some(instance) = instance {
            if self.is_down(instance) {
                if matches!(step, Step::Tick(_)) {
                    self.incarnations[instance] += 1;
                    self.up_since[instance] = self.ms();
                    self.instances[instance] = self.start(instance);
                    self.push(self.now + 100_000, step);
                }
                return;
            }
            if let Some(end) = self.pause_end(instance) {
                let jitter = self.rng.random_range(0..3_000);
                self.push(end * 1_000 + jitter, step);
                return;
            }
            self.grant(instance);
        }
        match step {
            Step::Tick(instance) => self.tick(instance),
            Step::Message { from, to, message } => self.receive(from, to, &message),
            Step::Request { instance, incarnation, call } => {
                self.request(instance, incarnation, call)
            }
            Step::Reply { instance, incarnation, call, result }
                if incarnation == self.incarnations[instance] =>
            {
                self.on_reply(instance, call, result);
            }
            Step::Reply { .. } => {}
            Step::Write(instance) => self.write(instance),
        }
    }

    /// Grants with the epoch as fencing token whenever the instance runs and holds a valid lease.
    fn grant(&mut self, instance: usize) {
        let now = self.clock(instance);
        if let Some(epoch) = self.instances[instance].lead.epoch(now) {
            let highest = self.granted.entry(domain(instance)).or_default();
            if epoch < *highest {
                self.outcome.violations.insert("grant with an old epoch".into());
            }
            *highest = epoch.max(*highest);
            self.outcome.leads.entry(domain(instance)).or_default().insert((epoch, instance));
        }
    }

    fn tick(&mut self, instance: usize) {
        let now = self.clock(instance);
        self.push(self.now + 100_000, Step::Tick(instance));
        let (from, ms) = (instance, self.ms());
        let leaving = self.plan.faults.iter().any(|fault| {
            matches!(fault, Fault::ShutDown { node: n, from, .. }
                if *n == instance && (*from..from + 1_000).contains(&ms))
        });
        let SimInstance { lead, members, .. } = &mut self.instances[instance];
        lead.set_peers(members.domain_peers());
        let mut actions = lead.tick(now, &mut self.rng);
        if leaving {
            members.leave();
            actions.extend(lead.shut_down(now, &mut self.rng));
        }
        self.lead_actions(from, actions);
        let report = self.report(instance);
        let actions = self.instances[instance].members.tick(now, &report.borrow());
        self.member_actions(instance, actions);
        let leading = self.instances[instance].lead.epoch(now).is_some();
        if leading && self.ms() >= self.instances[instance].listed_at + 200 {
            self.instances[instance].listed_at = self.ms();
            self.call(instance, Call::List);
        }
    }

    fn report(&self, instance: usize) -> OwnedReport {
        let state = &self.instances[instance];
        OwnedReport {
            lead: state.lead.lead().cloned(),
            notice: state.lead.notice(self.clock(instance)),
            revision: state.follower.config().revision(),
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: &MembershipMessage) {
        let now = self.clock(to);
        let (name, domain) = (instance_name(from), domain_name(domain(from)));
        if self::domain(from) == self::domain(to) {
            let actions = self.instances[to].lead.on_message(now, &name, message);
            self.lead_actions(to, actions);
        }
        let report = self.report(to);
        let instance = &mut self.instances[to];
        let actions = instance.members.on_message(now, &name, &domain, message, &report.borrow());
        self.member_actions(to, actions);
        let instance = &mut self.instances[to];
        let actions = match message {
            MembershipMessage::ConfigAsk { after } => {
                let replies = instance.follower.changes_since(*after);
                replies.into_iter().for_each(|reply| self.send(to, &name, reply));
                return;
            }
            MembershipMessage::ConfigDiff { changes } => {
                instance.follower.add_changes(changes.clone())
            }
            MembershipMessage::ConfigSnapshot { chunk } => instance.follower.add_chunk(chunk),
            _ => return,
        };
        self.config_actions(to, actions);
    }

    fn lead_actions(&mut self, instance: usize, actions: Vec<LeadAction>) {
        for action in actions {
            match action {
                LeadAction::Read { call } => self.call(instance, Call::LeadRead(call)),
                LeadAction::Put { call, record, expect } => {
                    self.call(instance, Call::LeadPut(call, record, expect));
                }
                LeadAction::Send { to, message } => self.send(instance, &to, message),
                LeadAction::Gained(_) | LeadAction::Lost(_) => {}
            }
        }
    }

    fn member_actions(&mut self, instance: usize, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Send { to, message } => self.send(instance, &to, message),
                MemberAction::Revision { from, revision } if self.plan.ask => {
                    let now = self.clock(instance);
                    let actions =
                        self.instances[instance].follower.on_peer_revision(now, &from, revision);
                    self.config_actions(instance, actions);
                }
                MemberAction::Revision { .. } | MemberAction::CrashMarks(_) => {}
            }
        }
    }

    fn config_actions(&mut self, instance: usize, actions: Vec<ConfigAction>) {
        for action in actions {
            match action {
                ConfigAction::Request { to, message } => self.send(instance, &to, message),
                ConfigAction::Applied(config) => {
                    let now = self.clock(instance);
                    let state = &mut self.instances[instance];
                    if config.revision() < state.highest_revision {
                        self.outcome.violations.insert("configuration went backwards".into());
                    }
                    state.highest_revision = config.revision();
                    let replies = state.follower.changes_since(config.revision() - 1);
                    if state.lead.epoch(now).is_some() {
                        for to in self.instances[instance].members.domain_peers() {
                            replies.iter().for_each(|a| self.send(instance, &to, a.clone()));
                        }
                    }
                }
                ConfigAction::Skipped { revision, error } => {
                    self.outcome.violations.insert(format!("skipped {revision}: {error}"));
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: &InstanceName, message: MembershipMessage) {
        let to = index(to);
        let faulty = self.ms() < self.plan.end;
        if self.is_partitioned(from, to) || (faulty && self.rng.random_bool(self.plan.loss)) {
            return;
        }
        let copies = if faulty && self.rng.random_bool(0.05) { 2 } else { 1 };
        for _ in 0..copies {
            let at = self.now + self.delay();
            self.push(at, Step::Message { from, to, message: message.clone() });
        }
    }

    fn call(&mut self, instance: usize, call: Call) {
        let (at, incarnation) = (self.now + self.delay(), self.incarnations[instance]);
        self.push(at, Step::Request { instance, incarnation, call });
    }

    fn request(&mut self, instance: usize, incarnation: u64, call: Call) {
        let at = self.now + self.delay();
        if self.is_store_unreachable(instance) {
            let result = Err(StoreError::Unavailable);
            return self.push(at, Step::Reply { instance, incarnation, call, result });
        }
        let result = match &call {
            Call::LeadRead(_) => Ok(self.entries(&self.lead_key(instance), "", 1)),
            Call::LeadPut(_, record, expect) => {
                let value = serde_json::to_vec(record).unwrap();
                self.put(self.lead_key(instance), value, *expect)
            }
            Call::List => {
                let after = change_key(self.instances[instance].follower.config().revision());
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
        self.push(at, Step::Reply { instance, incarnation, call, result });
    }

    fn lead_key(&self, instance: usize) -> String {
        format!("lead/{}", domain_name(domain(instance)))
    }

    fn entries(&self, prefix: &str, after: &str, limit: usize) -> Vec<(String, u64, Vec<u8>)> {
        let found = self.store.iter().filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after);
        found
            .take(limit)
            .map(|(k, (version, value))| (k.clone(), *version, value.clone()))
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

    fn on_reply(
        &mut self,
        instance: usize,
        call: Call,
        result: Result<Vec<(String, u64, Vec<u8>)>, StoreError>,
    ) {
        let now = self.clock(instance);
        let version = |entries: &[(String, u64, Vec<u8>)]| entries[0].1;
        match call {
            Call::LeadRead(call) => {
                let decode = |(_, version, value): &(String, u64, Vec<u8>)| {
                    (*version, serde_json::from_slice(value).unwrap())
                };
                let result = result.map(|entries| entries.first().map(decode));
                let actions = self.instances[instance].lead.on_read(now, call, result);
                self.lead_actions(instance, actions);
            }
            Call::LeadPut(call, ..) => {
                let result = result.map(|entries| version(&entries));
                let actions = self.instances[instance].lead.on_written(now, call, result);
                self.lead_actions(instance, actions);
            }
            Call::List => {
                let entries = result.unwrap_or_default();
                let changes = entries.iter().map(|(_, _, value)| decode_change(value).unwrap());
                let actions =
                    self.instances[instance].follower.add_changes(changes.collect::<Vec<_>>());
                self.config_actions(instance, actions);
            }
            Call::Create(writer, ..) => {
                let next = self.writers[writer].0.on_written(result.map(|e| version(&e)));
                self.write_action(instance, writer, next);
            }
            Call::Get(writer, _) => {
                let result = result.map(|entries| entries.into_iter().next().map(|entry| entry.2));
                let value = result.as_ref().map(|value| value.as_deref()).map_err(Clone::clone);
                let next = self.writers[writer].0.on_read(value);
                self.write_action(instance, writer, next);
            }
        }
    }

    fn write(&mut self, instance: usize) {
        let author = format!("op{}", self.results.len() + self.writers.len());
        let follower = &self.instances[instance].follower;
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
                self.write_action(instance, self.writers.len() - 1, action);
            }
            Err(error) => panic!("{error}"),
        }
    }

    fn write_action(&mut self, instance: usize, writer: usize, action: WriteAction) {
        let author = self.writers[writer].1.clone();
        match action {
            WriteAction::Create { key, value } => {
                self.call(instance, Call::Create(writer, key, value))
            }
            WriteAction::Read { key } => self.call(instance, Call::Get(writer, key)),
            WriteAction::Accepted(change) => {
                self.results.insert(author, Ok(change.revision));
                let actions = self.instances[instance].follower.add_changes([change]);
                self.config_actions(instance, actions);
            }
            WriteAction::Refused(error) => {
                self.results.insert(author, Err(error));
            }
        }
    }

    fn check(&mut self) {
        for d in 0..DOMAINS {
            let instances = (0..INSTANCES).filter(|i| domain(*i) == d && !self.is_down(*i));
            let valid = instances.filter(|instance| {
                self.instances[*instance].lead.epoch(self.clock(*instance)).is_some()
            });
            let valid = valid.collect::<Vec<_>>();
            if valid.len() > 1 {
                let ms = self.ms();
                let text = format!("two valid leads, first at {ms} ms: {valid:?}");
                let seen = self.outcome.violations.iter().any(|v| v.starts_with("two valid leads"));
                self.outcome.violations.extend((!seen).then_some(text));
            }
            let since = self.leadless_since.get(&d).copied();
            let gap = since.map_or(0, |since| (self.now - since) / 1_000);
            let longest = self.outcome.leadless.entry(d).or_default();
            *longest = gap.max(*longest);
            if !valid.is_empty() {
                self.leadless_since.insert(d, self.now);
            }
            if valid.is_empty() && self.ms() > self.plan.end + RECOVERY_MS {
                self.outcome.violations.insert("no lead after the faults ended".into());
            }
        }
        // A change accepted during faults must arrive within the limit after faults and recovery.
        let quiet = if self.plan.strict { 0 } else { self.plan.end + RECOVERY_MS };
        let due = |at: &u64| self.ms() > quiet.max(*at) + PROPAGATION_MS;
        let newest = self.committed.iter().filter(|(_, at)| due(at)).map(|(r, _)| *r).max();
        let revision = |i: usize| Some(self.instances[i].follower.config().revision());
        let reachable = |instance: &usize| self.ms() > self.up_since[*instance] + PROPAGATION_MS;
        let mut instances = (0..INSTANCES).filter(reachable);
        if newest.is_some() && instances.any(|instance| revision(instance) < newest) {
            self.outcome.violations.insert("a revision is not in force everywhere".into());
        }
    }

    fn finish(mut self) -> Outcome {
        let log = self.entries(CHANGE_PREFIX, "", usize::MAX);
        let log: Vec<_> = log.iter().map(|(_, _, value)| decode_change(value).unwrap()).collect();
        for (author, result) in &self.results {
            let count = log.iter().filter(|change| change.author == *author).count();
            let right = match result {
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
            self.outcome.accepted += usize::from(result.is_ok());
            self.outcome.conflicts +=
                usize::from(matches!(result, Err(Error::RevisionConflict { .. })));
            if !right {
                self.outcome
                    .violations
                    .insert(format!("{author} was told {result:?}, stored {count}"));
            }
        }
        let resources = |instance: &SimInstance| instance.follower.config().resources();
        if self.instances.iter().any(|i| resources(i) != resources(&self.instances[0])) {
            self.outcome.violations.insert("configurations differ at the end".into());
        }
        self.outcome.revision = log.len() as u64;
        self.outcome
    }
}
