//! Schedule of faults, drawn from a seed.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Time in which faults begin and end.
pub const FAULT_TIME: Duration = Duration::from_secs(24);

/// Time before the first fault.
const START_TIME_MS: u64 = 1500;

/// Number of targets.
pub const TARGETS: usize = 4;

/// Shapes of entries that name no target to use.
pub const ODD_ENTRIES: usize = 5;

/// Processes are numbered from 0: fronts, then workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Freeze(usize),
    Resume(usize),
    Kill(usize),
    Start(usize),
    Terminate(usize),
    Reload(usize),
    /// Hits the worker that holds the claim on the newest open job.
    KillHolder,
    FreezeHolder,
    /// Resumes or starts all processes.
    Recover,
    StoreDown(bool),
    Silence(usize, bool),
    Refuse(usize, bool),
    DropReplies(u32),
    DropRepliesTo(Option<&'static str>),
    WriteLate {
        key_end: &'static str,
        delay_ms: u64,
        count: u32,
    },
    Compact,
    Retire(usize),
    /// The operator takes a retirement back, or removes the machine if it has reported.
    TakeBack {
        worker: usize,
        removes: bool,
    },
    Evacuate(&'static str, bool),
    /// A new configuration, with or without a second key and the route that comes and goes.
    Configure {
        extra: bool,
    },
    Full(usize, bool),
    Cut(usize, Option<u64>),
    Stall(usize, Option<u64>),
    Slow(usize, bool),
    Crash(usize),
    WrongIds(usize, bool),
    Leave(usize),
    RemoveEntry(usize),
    Return(usize),
    OddEntry(usize, bool),
}

#[derive(Clone, Debug)]
pub struct Event {
    pub at: Duration,
    pub action: Action,
}

/// Faults of a seed for a fleet of this size, in the order of time.
pub fn draw(seed: u64, fronts: usize, workers: usize) -> Vec<Event> {
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let mut draw = Draw { rng, events: Vec::new(), fronts, workers };
    let processes = fronts + workers;
    for _ in 0..draw.rng.random_range(6..=8).max(processes / 3) {
        draw.process_series();
    }
    for _ in 0..draw.rng.random_range(4..=7) {
        draw.store_series();
    }
    for _ in 0..draw.rng.random_range(2..=4) {
        draw.operator_series();
    }
    for _ in 0..draw.rng.random_range(3..=6) {
        draw.target_series();
    }
    draw.events.sort_by_key(|event| event.at);
    draw.events
}

struct Draw {
    rng: ChaCha8Rng,
    events: Vec<Event>,
    fronts: usize,
    workers: usize,
}

impl Draw {
    fn push(&mut self, at_ms: u64, action: Action) {
        let at = Duration::from_millis(at_ms).min(FAULT_TIME);
        self.events.push(Event { at, action });
    }

    fn start(&mut self) -> u64 {
        self.rng.random_range(START_TIME_MS..FAULT_TIME.as_millis() as u64 - 4000)
    }

    fn flag(&mut self) -> bool {
        self.rng.random_bool(0.5)
    }

    /// Pushes an action and the one that ends it.
    fn span(&mut self, longest_ms: u64, begin: Action, end: Action) {
        let at = self.start();
        let time = self.rng.random_range(300..=longest_ms);
        self.push(at, begin);
        self.push(at + time, end);
    }

    fn process(&mut self) -> usize {
        // Workers hold the rights that can be lost.
        match self.workers > 0 && self.rng.random_bool(0.7) {
            true => self.fronts + self.rng.random_range(0..self.workers),
            false => self.rng.random_range(0..self.fronts),
        }
    }

    fn process_series(&mut self) {
        let (process, mut at) = (self.process(), self.start());
        let kind = self.rng.random_range(0..6);
        for _ in 0..self.rng.random_range(1..=3) {
            let time = self.rng.random_range(150..5000);
            match kind {
                0 | 1 => {
                    self.push(at, Action::Freeze(process));
                    self.push(at + time, Action::Resume(process));
                }
                2 => {
                    self.push(at, Action::Kill(process));
                    self.push(at + time / 2, Action::Start(process));
                }
                3 => {
                    self.push(at, Action::Terminate(process));
                    // A start waits for the end of the process.
                    self.push(at + time, Action::Start(process));
                    at += 3000;
                }
                4 => {
                    self.push(at, Action::Freeze(process));
                    self.push(at + time, Action::Kill(process));
                    self.push(at + time + 300, Action::Start(process));
                }
                _ => self.push(at, Action::Reload(process)),
            }
            at += time + self.rng.random_range(200..2500);
        }
    }

    fn store_series(&mut self) {
        let process = self.process();
        match self.rng.random_range(0..8) {
            0 => self.span(4000, Action::StoreDown(true), Action::StoreDown(false)),
            1 => self.span(6000, Action::Silence(process, true), Action::Silence(process, false)),
            2 => self.span(6000, Action::Refuse(process, true), Action::Refuse(process, false)),
            3 => {
                let (at, count) = (self.start(), self.rng.random_range(1..=4));
                self.push(at, Action::DropReplies(count));
            }
            4 => {
                let end = ["/claim", "/end", "/complete"][self.rng.random_range(0..3)];
                self.span(3000, Action::DropRepliesTo(Some(end)), Action::DropRepliesTo(None));
            }
            5 => {
                let at = self.start();
                self.push(at, Action::Compact);
            }
            _ => self.late_series(),
        }
    }

    /// Writes that are executed late, while the workers that hold the jobs are lost one by one.
    fn late_series(&mut self) {
        let key_end = ["/claim", "/claim", "/end", ""][self.rng.random_range(0..4)];
        let (delay_ms, count) = (self.rng.random_range(1000..=6000), self.rng.random_range(1..=6));
        let mut at = self.rng.random_range(START_TIME_MS..14_000);
        self.push(at, Action::WriteLate { key_end, delay_ms, count });
        for _ in 0..self.rng.random_range(0..=3) {
            at += self.rng.random_range(100..2500);
            let action = if self.flag() { Action::KillHolder } else { Action::FreezeHolder };
            self.push(at, action);
        }
        at += self.rng.random_range(500..5000);
        self.push(at, Action::Recover);
    }

    fn operator_series(&mut self) {
        match self.rng.random_range(0..4) {
            0 | 1 if self.workers > 2 => {
                let worker = self.rng.random_range(0..self.workers);
                let removes = self.flag();
                let end = Action::TakeBack { worker, removes };
                self.span(8000, Action::Retire(worker), end);
            }
            2 => {
                let domain = if self.flag() { "a" } else { "b" };
                let end = Action::Evacuate(domain, false);
                self.span(4000, Action::Evacuate(domain, true), end);
            }
            _ => {
                let mut at = self.start();
                for number in 0..self.rng.random_range(1..=4) {
                    self.push(at, Action::Configure { extra: number % 2 == 1 });
                    at += self.rng.random_range(100..1500);
                }
            }
        }
    }

    fn target_series(&mut self) {
        let target = self.rng.random_range(0..TARGETS);
        match self.rng.random_range(0..8) {
            0 => self.span(4000, Action::Full(target, true), Action::Full(target, false)),
            1 => {
                let event = self.rng.random_range(0..9);
                self.span(3000, Action::Cut(target, Some(event)), Action::Cut(target, None));
            }
            2 => {
                let event = self.rng.random_range(0..9);
                self.span(3000, Action::Stall(target, Some(event)), Action::Stall(target, None));
            }
            3 => self.span(4000, Action::Slow(target, true), Action::Slow(target, false)),
            4 => {
                let mut at = self.start();
                for _ in 0..self.rng.random_range(1..=3) {
                    self.push(at, Action::Crash(target));
                    at += self.rng.random_range(300..2000);
                }
            }
            5 => self.span(2000, Action::WrongIds(target, true), Action::WrongIds(target, false)),
            6 => {
                let begin = match self.flag() {
                    true => Action::Leave(target),
                    false => Action::RemoveEntry(target),
                };
                self.span(5000, begin, Action::Return(target));
            }
            _ => {
                let shape = self.rng.random_range(0..ODD_ENTRIES);
                self.span(6000, Action::OddEntry(shape, true), Action::OddEntry(shape, false));
            }
        }
    }
}
