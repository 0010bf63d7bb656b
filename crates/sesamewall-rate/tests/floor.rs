//! Tests of the floor lease between a home lead and its backup lead.

use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sesamewall_protocol::Time;
use sesamewall_rate::Floor;
use sesamewall_rate::FloorBackup;
use sesamewall_rate::FloorCall;
use sesamewall_rate::FloorRecord;
use sesamewall_rate::FloorSettings;

/// Simulates the store records and the store calls of both leads. A call takes effect and its reply
/// arrives after random delays.
struct Simulation {
    home: Floor,
    backup: FloorBackup,
    lead_version: u64,
    floor: (FloorRecord, u64),
    home_sent: Option<u64>,
    backup_sent: Option<u64>,
    claim_steps: u64,
    full_steps: u64,
    overlap_at: Option<u64>,
}

#[derive(Clone, Copy)]
enum Call {
    Renew,
    Home(FloorCall),
    Backup(FloorCall),
}

#[derive(Clone, Copy)]
enum Reply {
    Done(u64),
    Conflict,
    Floor(FloorRecord, u64),
    Lead(u64),
}

impl Simulation {
    fn new(seed: u64, settings: FloorSettings) -> Self {
        let mut simulation = Self {
            home: Floor::new(settings),
            backup: FloorBackup::new(settings, 1, 75, Time::ZERO),
            lead_version: 1,
            floor: (FloorRecord::default(), 0),
            home_sent: None,
            backup_sent: None,
            claim_steps: 0,
            full_steps: 0,
            overlap_at: None,
        };
        simulation.run(&mut ChaCha8Rng::seed_from_u64(seed));
        simulation
    }

    /// Runs 60 s in steps of 50 ms. At random, the home lead and the backup lead lose the store or
    /// each other for seconds.
    fn run(&mut self, rng: &mut ChaCha8Rng) {
        let mut outages = [0u64; 3];
        let mut in_flight: Vec<(u64, u64, Call, Option<Reply>)> = Vec::new();
        for at in (0..60_000).step_by(50) {
            let now = Time::from_millis(at);
            for until in &mut outages {
                if rng.random_bool(0.005) {
                    *until = at + rng.random_range(100..12_000);
                }
            }
            let mut calls = Vec::new();
            if at % 1000 == 0 && outages[0] <= at {
                calls.push(Call::Renew);
            }
            let requests_promise = at % 1000 == 500 && outages[2] <= at && rng.random_bool(0.5);
            if requests_promise && let Some(clear) = self.backup.promise(now) {
                self.home.on_promised(now, clear, now);
            }
            if self.home_sent.is_none_or(|sent| sent + 1000 <= at) {
                let write = self.home.tick(now).filter(|_| outages[0] <= at);
                self.home_sent = write.map(|_| at);
                calls.extend(write.map(Call::Home));
            }
            if self.backup_sent.is_none_or(|sent| sent + 1000 <= at) {
                if self.backup_sent.take().is_some() {
                    self.backup.on_conflict();
                }
                let write = self.backup.tick(now);
                self.backup_sent = write.map(|_| at);
                calls.extend(write.filter(|_| outages[1] <= at).map(Call::Backup));
            }
            let max_delay = if rng.random_bool(0.1) { 4_000 } else { 100 };
            for call in calls {
                in_flight.push((at + rng.random_range(0..max_delay), at, call, None));
            }
            for (due, sent, call, reply) in std::mem::take(&mut in_flight) {
                match reply {
                    _ if due > at => in_flight.push((due, sent, call, reply)),
                    None => {
                        let reply = self.execute(call);
                        in_flight.push((
                            at + rng.random_range(0..max_delay),
                            sent,
                            call,
                            Some(reply),
                        ));
                    }
                    Some(_) if rng.random_bool(0.02) => {}
                    Some(reply) => self.apply_reply(call, reply, sent, now),
                }
            }
            self.check(at, now);
        }
    }

    fn execute(&mut self, call: Call) -> Reply {
        let write = match call {
            Call::Renew => {
                self.lead_version += 1;
                return Reply::Done(self.lead_version);
            }
            Call::Home(write) | Call::Backup(write) => write,
        };
        match write {
            FloorCall::ReadFloor => Reply::Floor(self.floor.0, self.floor.1),
            FloorCall::ReadLead => Reply::Lead(self.lead_version),
            FloorCall::Write { expect, .. } if expect != self.floor.1 => Reply::Conflict,
            FloorCall::Write { record, .. } => {
                self.floor = (record, self.floor.1 + 1);
                Reply::Done(self.floor.1)
            }
        }
    }

    fn apply_reply(&mut self, call: Call, reply: Reply, at: u64, now: Time) {
        let sent = Time::from_millis(at);
        match (call, reply) {
            (Call::Renew, _) => self.home.on_renewed(sent, now),
            (Call::Home(write), reply) if self.home_sent.take_if(|t| *t == at).is_some() => {
                match (write, reply) {
                    (_, Reply::Floor(r, version)) => self.home.on_floor_read(r, version, sent, now),
                    (FloorCall::Write { record, .. }, Reply::Done(version)) => {
                        self.home.on_floor_written(record, version);
                    }
                    _ => self.home.on_conflict(),
                }
            }
            (Call::Backup(write), reply) if self.backup_sent.take_if(|t| *t == at).is_some() => {
                match (write, reply) {
                    (_, Reply::Floor(r, version)) => self.backup.on_floor_read(r, version, now),
                    (_, Reply::Lead(version)) => self.backup.on_lead_read(version, sent, now),
                    (FloorCall::Write { record, .. }, Reply::Done(version)) => {
                        self.backup.on_floor_written(record, version, sent, now);
                    }
                    _ => self.backup.on_conflict(),
                }
            }
            _ => {}
        }
    }

    /// Records the first time at which the upper part of the floor is in force at both leads. A
    /// claim counts from its start, not only from the expiry of the grants of the other lead.
    fn check(&mut self, at: u64, now: Time) {
        let full = now < self.home.full_until(now);
        let held = self.backup.inherited(now).is_some();
        self.full_steps += u64::from(full);
        self.claim_steps += u64::from(held);
        if full && held {
            self.overlap_at.get_or_insert(at);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: RngSeed::Fixed(3),
        failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against shares in force that sum to more than 1.
    #[test]
    fn full_floor_is_in_force_once(seed in 0u64..1_000_000) {
        let simulation = Simulation::new(seed, FloorSettings::default());
        prop_assert!(simulation.overlap_at.is_none(), "seed {} at {:?} ms", seed,
            simulation.overlap_at);
    }
}

/// Shows that the check detects a backup lead that claims too early, and that the simulation
/// reaches both the full floor and claims.
#[test]
fn check_detects_early_claims() {
    let short_waits = FloorSettings {
        lease_timeout: std::time::Duration::from_millis(300),
        grant_wait: std::time::Duration::ZERO,
        ..FloorSettings::default()
    };
    let found: Vec<_> = (0..100)
        .filter_map(|seed| Simulation::new(seed, short_waits).overlap_at.map(|at| (seed, at)))
        .collect();
    println!("early claims: {} of 100 seeds, first {:?}", found.len(), found.first());
    assert!(!found.is_empty());
    let defaults: Vec<_> =
        (0..100).map(|seed| Simulation::new(seed, FloorSettings::default())).collect();
    assert!(defaults.iter().any(|simulation| simulation.claim_steps > 0));
    assert!(defaults.iter().any(|simulation| simulation.full_steps > 0));
}
