//! Carries out a schedule of faults on a fleet.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use sesamewall_platform_standin::LateWrites;
use sesamewall_platform_standin::configuration;
use sesamewall_platform_standin::target_entry;
use sesamewall_platform_standin::with_slots;

use crate::fixture::Process;
use crate::fixture::TestFleet;
use crate::soak::clients::World;
use crate::soak::record::Harm;
use crate::soak::schedule::Action;
use crate::soak::schedule::Event;
use crate::soak::schedule::ODD_ENTRIES;
use crate::soak::schedule::TARGETS;

/// Time after SIGTERM at which the platform kills a process (`gracePeriodS`).
const GRACE_PERIOD: Duration = Duration::from_secs(8);

/// Interval between two looks at the processes.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Intervals between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
const SLOW_EVENT_INTERVAL: Duration = Duration::from_millis(200);

/// Length of a stall: longer than a resumable stream waits, shorter than the route's time.
const STALL_TIME: Duration = Duration::from_millis(2500);

/// Time after which items may be given up, longer than a soak.
const KEEP_S: u64 = 600;

/// Workers that stay when machines are removed.
const FEWEST_WORKERS: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Running,
    Stopping {
        since: Instant,
        starts: bool,
    },
    Down,
    /// The operator has taken the machine away.
    Removed,
}

pub struct Player {
    pub fleet: TestFleet,
    world: Arc<World>,
    states: Vec<State>,
    silenced: BTreeSet<usize>,
    refused: BTreeSet<usize>,
    version: u64,
    extra: bool,
}

impl Player {
    /// Gives every target its slots and writes the configuration of the soak.
    pub fn new(fleet: TestFleet, world: Arc<World>) -> Self {
        let states = vec![State::Running; fleet.fronts.len() + fleet.workers.len()];
        let (silenced, refused) = (BTreeSet::new(), BTreeSet::new());
        let mut player = Self { fleet, world, states, silenced, refused, version: 1, extra: false };
        player.configure(false);
        for target in 0..TARGETS {
            player.heal_target(target);
        }
        player
    }

    fn process(&mut self, number: usize) -> &mut Process {
        match number.checked_sub(self.fleet.fronts.len()) {
            None => &mut self.fleet.fronts[number],
            Some(worker) => &mut self.fleet.workers[worker],
        }
    }

    fn ips(&mut self, numbers: &BTreeSet<usize>) -> Vec<IpAddr> {
        numbers.iter().map(|number| self.process(*number).ip()).collect()
    }

    /// Plays all events at their times.
    pub async fn play(&mut self, events: &[Event]) {
        let begun = Instant::now();
        for event in events {
            while begun.elapsed() < event.at {
                tokio::time::sleep(POLL_INTERVAL).await;
                self.poll();
            }
            self.apply(&event.action);
        }
    }

    /// Ends all faults and waits until each process that was not removed runs.
    pub async fn heal(&mut self) {
        self.apply(&Action::Recover);
        self.silenced.clear();
        self.refused.clear();
        let store = &self.fleet.store;
        store.set_down(false);
        store.blackhole(&[]);
        store.rate_limit_from(&[]);
        store.drop_replies(0);
        store.drop_replies_to(None);
        store.write_late(None);
        for key in store.keys("op/evacuate/") {
            store.remove(&key);
        }
        for worker in 0..self.fleet.workers.len() {
            self.apply(&Action::TakeBack { worker, removes: false });
        }
        for shape in 0..ODD_ENTRIES {
            self.apply(&Action::OddEntry(shape, false));
        }
        for target in 0..TARGETS {
            self.heal_target(target);
        }
        self.world.record.end(Harm::Store);
        while self.states.iter().any(|state| matches!(state, State::Stopping { .. })) {
            tokio::time::sleep(POLL_INTERVAL).await;
            self.poll();
        }
    }

    /// Looks for processes that have ended and carries out what waits for that.
    pub fn poll(&mut self) {
        for number in 0..self.states.len() {
            let status = self.process(number).exit_status();
            match (self.states[number], status) {
                (State::Running, Some(status)) => {
                    let name = self.process(number).name().to_owned();
                    self.world.record.find(format!("{name} ended by itself: {status}"));
                    self.kill(number);
                    self.start(number);
                }
                (State::Stopping { starts, .. }, Some(status)) => {
                    if !status.success() {
                        let name = self.process(number).name().to_owned();
                        self.world.record.find(format!("{name} failed in its stop: {status}"));
                    }
                    self.states[number] = State::Down;
                    if starts {
                        self.start(number);
                    }
                }
                (State::Stopping { since, starts }, None) if since.elapsed() >= GRACE_PERIOD => {
                    self.kill(number);
                    if starts {
                        self.start(number);
                    }
                }
                _ => {}
            }
        }
    }

    fn kill(&mut self, number: usize) {
        let harm = Harm::Ended(number);
        self.world.record.begin(harm);
        self.process(number).kill();
        self.world.record.end(harm);
        self.world.record.end(Harm::Frozen(number));
        self.states[number] = State::Down;
    }

    fn start(&mut self, number: usize) {
        let harm = Harm::Ended(number);
        self.world.record.begin(harm);
        self.process(number).restart();
        self.world.record.end(harm);
        self.states[number] = State::Running;
    }

    fn configure(&mut self, extra: bool) {
        self.version += 1;
        self.extra = extra;
        let mut document = configuration(self.version, 1000.0, 1000.0);
        let mut routes = document["routes"].as_array().cloned().unwrap_or_default();
        for route in &mut routes {
            route["keepS"] = KEEP_S.into();
        }
        if extra {
            let mut route = routes[3].clone();
            route["name"] = "extra".into();
            route["prefix"] = "/extra/".into();
            routes.push(route);
            document["tenants"][0]["apiKeys"] = json!(["key-1", "key-2"]);
        }
        document["routes"] = Value::Array(routes);
        self.fleet.store.put("op/config", &document);
    }

    fn entry(&self, target: usize, draining: bool) -> Value {
        let address = self.fleet.targets[target].address;
        let domain = if target.is_multiple_of(2) { "a" } else { "b" };
        let slots = 8 + self.fleet.fronts.len() as u32;
        with_slots(target_entry(address, domain, draining), slots)
    }

    fn put_entry(&self, target: usize, draining: bool) {
        let key = format!("servers/{}", self.fleet.targets[target].name);
        self.fleet.store.put(&key, &self.entry(target, draining));
    }

    fn heal_target(&self, target: usize) {
        let standin = &self.fleet.targets[target];
        standin.set_full(false);
        standin.cut_after(None);
        standin.stall_after(None);
        standin.corrupt_ids(false);
        standin.set_event_interval(EVENT_INTERVAL);
        self.put_entry(target, false);
        self.world.record.end(Harm::Target(target));
    }

    fn harm(&self, harm: Harm, begins: bool) {
        match begins {
            true => self.world.record.begin(harm),
            false => self.world.record.end(harm),
        }
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::Freeze(_)
            | Action::Resume(_)
            | Action::Kill(_)
            | Action::Start(_)
            | Action::Terminate(_)
            | Action::Reload(_) => self.apply_to_process(action),
            Action::KillHolder | Action::FreezeHolder => {
                if let Some(number) = self.holder() {
                    self.apply_to_process(&match action {
                        Action::KillHolder => Action::Kill(number),
                        _ => Action::Freeze(number),
                    });
                }
            }
            Action::Recover => {
                for number in 0..self.states.len() {
                    self.apply_to_process(&Action::Resume(number));
                    self.apply_to_process(&Action::Start(number));
                }
            }
            Action::Full(..)
            | Action::Cut(..)
            | Action::Stall(..)
            | Action::Slow(..)
            | Action::Crash(_)
            | Action::WrongIds(..)
            | Action::Leave(_)
            | Action::RemoveEntry(_)
            | Action::Return(_)
            | Action::OddEntry(..) => self.apply_to_target(action),
            Action::Retire(_)
            | Action::TakeBack { .. }
            | Action::Evacuate(..)
            | Action::Configure { .. } => self.apply_as_operator(action),
            _ => self.apply_to_store(action),
        }
    }

    fn apply_to_process(&mut self, action: &Action) {
        let (Action::Freeze(number)
        | Action::Resume(number)
        | Action::Kill(number)
        | Action::Start(number)
        | Action::Terminate(number)
        | Action::Reload(number)) = *action
        else {
            return;
        };
        let runs = matches!(self.states[number], State::Running | State::Stopping { .. });
        match action {
            Action::Freeze(_) if runs => {
                self.world.record.begin(Harm::Frozen(number));
                self.process(number).signal("STOP");
            }
            Action::Resume(_) if runs => {
                self.process(number).signal("CONT");
                self.world.record.end(Harm::Frozen(number));
            }
            Action::Kill(_) if runs => self.kill(number),
            Action::Start(_) => match &mut self.states[number] {
                State::Down => self.start(number),
                State::Stopping { starts, .. } => *starts = true,
                State::Running | State::Removed => {}
            },
            Action::Terminate(_) if self.states[number] == State::Running => {
                self.process(number).terminate();
                let since = Instant::now();
                self.states[number] = State::Stopping { since, starts: false };
            }
            Action::Reload(_) if self.states[number] == State::Running => {
                self.process(number).signal("HUP");
            }
            _ => {}
        }
    }

    /// Returns the worker that holds the claim on the newest open job.
    fn holder(&self) -> Option<usize> {
        let jobs = self.world.record.open_jobs();
        let claims = jobs.iter().rev().filter_map(|job| self.fleet.claim(job));
        let number = |claim: Vec<u8>| {
            let text = String::from_utf8_lossy(&claim).into_owned();
            let name = text.split_whitespace().next()?;
            let worker = self.fleet.workers.iter().position(|worker| worker.name() == name)?;
            Some(self.fleet.fronts.len() + worker)
        };
        claims.filter_map(number).next()
    }

    fn apply_to_store(&mut self, action: &Action) {
        let store = self.fleet.store.clone();
        match *action {
            Action::StoreDown(down) => {
                self.harm(Harm::Store, true);
                store.set_down(down);
            }
            Action::Silence(number, begins) => {
                self.harm(Harm::Store, true);
                change(&mut self.silenced, number, begins);
                let silenced = self.silenced.clone();
                store.blackhole(&self.ips(&silenced));
            }
            Action::Refuse(number, begins) => {
                self.harm(Harm::Store, true);
                change(&mut self.refused, number, begins);
                let refused = self.refused.clone();
                store.rate_limit_from(&self.ips(&refused));
            }
            Action::DropReplies(count) => {
                self.harm(Harm::Store, true);
                store.drop_replies(count);
            }
            Action::DropRepliesTo(key_end) => {
                self.harm(Harm::Store, true);
                store.drop_replies_to(key_end);
            }
            Action::WriteLate { key_end, delay_ms, count } => {
                self.harm(Harm::Store, true);
                let (key_end, delay) = (key_end.to_owned(), Duration::from_millis(delay_ms));
                store.write_late(Some(LateWrites { key_end, delay, count }));
            }
            Action::Compact => store.compact(),
            _ => {}
        }
    }

    fn apply_as_operator(&mut self, action: &Action) {
        let store = self.fleet.store.clone();
        match *action {
            Action::Retire(worker) => {
                let key = format!("op/retire/{}", self.fleet.workers[worker].name());
                store.put(&key, &json!({ "periodS": 10 }));
            }
            Action::TakeBack { worker, removes } => {
                let (number, name) =
                    (self.fleet.fronts.len() + worker, self.fleet.workers[worker].name());
                let (key, status) = (format!("op/retire/{name}"), format!("status/retire/{name}"));
                if store.value(&key).is_none() || self.states[number] == State::Removed {
                    return;
                }
                let is_empty = store
                    .value(&status)
                    .is_some_and(|value| String::from_utf8_lossy(&value).contains("completed"));
                let removed = self.states.iter().filter(|state| **state == State::Removed);
                let stay = self.fleet.workers.len() - removed.count() - 1;
                if removes && is_empty && stay >= FEWEST_WORKERS {
                    self.kill(number);
                    self.states[number] = State::Removed;
                    return;
                }
                store.remove(&key);
                if is_empty {
                    store.remove(&status);
                }
            }
            Action::Evacuate(domain, true) => {
                store.put(&format!("op/evacuate/{domain}"), &json!({}));
            }
            Action::Evacuate(domain, false) => store.remove(&format!("op/evacuate/{domain}")),
            Action::Configure { extra } => self.configure(extra),
            _ => {}
        }
    }

    fn apply_to_target(&mut self, action: &Action) {
        let targets = self.fleet.targets.clone();
        match *action {
            Action::Full(target, full) => targets[target].set_full(full),
            Action::Cut(target, event) => {
                self.harm(Harm::Target(target), event.is_some());
                targets[target].cut_after(event);
            }
            Action::Stall(target, event) => {
                self.harm(Harm::Target(target), event.is_some());
                targets[target].stall_after(event.map(|event| (event, STALL_TIME)));
            }
            Action::Slow(target, slow) => targets[target].set_event_interval(match slow {
                true => SLOW_EVENT_INTERVAL,
                false => EVENT_INTERVAL,
            }),
            Action::Crash(target) => {
                self.harm(Harm::Target(target), true);
                targets[target].crash();
                self.harm(Harm::Target(target), false);
            }
            Action::WrongIds(target, wrong) => {
                self.harm(Harm::Target(target), wrong);
                targets[target].corrupt_ids(wrong);
            }
            Action::Leave(target) => self.put_entry(target, true),
            Action::RemoveEntry(target) => {
                self.fleet.store.remove(&format!("servers/{}", targets[target].name));
            }
            Action::Return(target) => self.put_entry(target, false),
            Action::OddEntry(shape, true) => {
                let key = format!("servers/odd-{shape}");
                self.fleet.store.put_bytes(&key, &self.odd_entry(shape));
            }
            Action::OddEntry(shape, false) => {
                self.fleet.store.remove(&format!("servers/odd-{shape}"));
            }
            _ => {}
        }
    }

    /// Returns an entry that names no target to use.
    fn odd_entry(&self, shape: usize) -> Vec<u8> {
        let entry = self.entry(0, false).to_string();
        let address = self.fleet.targets[0].address.to_string();
        match shape {
            0 => format!("{}1{}", "[".repeat(100_000), "]".repeat(100_000)).into_bytes(),
            1 => vec![0xff, 0xfe, b'{', 0xc3, 0x28],
            2 => entry.replace(&address, "127.0.0.1:70000").into_bytes(),
            3 => entry.replace("\"seq\":1", "\"seq\":1e400").into_bytes(),
            _ => {
                entry.replace("\"concurrency\":", "\"concurrency\":99999999999999999").into_bytes()
            }
        }
    }
}

fn change(numbers: &mut BTreeSet<usize>, number: usize, begins: bool) {
    match begins {
        true => numbers.insert(number),
        false => numbers.remove(&number),
    };
}
