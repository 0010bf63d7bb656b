//! Guards the times and outcomes of single takeovers.

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use sesamewall_membership::Lead;
use sesamewall_membership::LeadAction;
use sesamewall_membership::LeadSettings;
use sesamewall_ports::StoreError;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::MembershipMessage;

use crate::sim::Fault;
use crate::sim::Outcome;
use crate::sim::Plan;
use crate::sim::Sim;

#[derive(Deserialize)]
struct Trace {
    own: InstanceName,
    peers: Vec<InstanceName>,
    steps: Vec<Step>,
}

/// One recorded event and the expected state after it: the epoch and the number of writes so far.
#[derive(Deserialize)]
struct Step {
    at: u64,
    message: Option<(InstanceName, MembershipMessage)>,
    written: Option<u64>,
    epoch: Option<u64>,
    puts: usize,
}

#[test]
fn recorded_takeover_has_the_stated_outcomes() {
    let trace: Trace = serde_json::from_str(include_str!("traces/takeover.json")).unwrap();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    // The trace was recorded with these times.
    let (lease, renew_interval) = (Duration::from_secs(3), Duration::from_secs(1));
    let settings = LeadSettings { lease, renew_interval, ..LeadSettings::default() };
    let mut lead = Lead::new(trace.own, settings, Time::ZERO);
    lead.set_peers(trace.peers);
    let (mut clock, mut puts, mut last) = (0, 0, 0);
    for step in trace.steps {
        while clock + 100 <= step.at {
            clock += 100;
            for action in lead.tick(Time::from_millis(clock), &mut rng) {
                match action {
                    LeadAction::Put { call, .. } => (puts, last) = (puts + 1, call),
                    // The store does not reply to reads in this trace.
                    LeadAction::Read { call } => {
                        lead.on_read(Time::from_millis(clock), call, Err(StoreError::Unavailable));
                    }
                    _ => {}
                }
            }
        }
        let now = Time::from_millis(step.at);
        if let Some((from, message)) = &step.message {
            lead.on_message(now, from, message);
        }
        if let Some(version) = step.written {
            lead.on_written(now, last, Ok(version));
        }
        assert_eq!((lead.epoch(now), puts), (step.epoch, step.puts), "at {} ms", step.at);
    }
}

/// Returns the longest time without a lead of domain 0 after its lead stops, in milliseconds.
fn gap(fault: impl Fn(usize) -> Fault, seed: u64) -> u64 {
    let first = Sim::run(Plan { seed, loss: 0.0, end: 6_000, ..Plan::default() });
    let (_, lead) = *first.leads[&0].iter().next().unwrap();
    // Both runs are identical up to the fault, so the same instance is lead.
    let faults = vec![fault(lead)];
    let outcome = Sim::run(Plan { seed, loss: 0.0, end: 6_000, faults, ..Plan::default() });
    assert!(outcome.leads[&0].len() > 1, "the lead must change");
    assert!(outcome.violations.iter().all(|text| text.starts_with("no lead")), "{outcome:?}");
    outcome.leadless[&0]
}

#[test]
fn takeover_and_hand_over_times() {
    let crash = |node| Fault::Crash { node, from: 9_000, len: 9_000 };
    let stop = |node| Fault::ShutDown { node, from: 9_000, len: 9_000 };
    let crashes: Vec<u64> = (0..20).map(|seed| gap(crash, seed)).collect();
    let stops: Vec<u64> = (0..20).map(|seed| gap(stop, seed)).collect();
    println!("ms without lead after a crash: {crashes:?}");
    println!("ms without lead after a shutdown: {stops:?}");
    // 2.5 s by the slowest clock (2%), rank delay 0.5 s, one tick and the store's response.
    assert!(crashes.iter().all(|gap| *gap <= 3_250), "{crashes:?}");
    assert!(stops.iter().all(|gap| *gap <= 500), "{stops:?}");
}

/// Runs with failure domain 1 partitioned from the store and with a crash of one of its instances.
fn run_partitioned(seed: u64, ask: bool) -> Outcome {
    let writes = vec![(0, 9_100), (0, 12_000), (1, 15_000), (2, 18_000)];
    let faults = vec![
        Fault::Partition { domain: 1, peers: false, store: true, from: 8_000, len: 14_000 },
        Fault::Crash { node: 5, from: 9_000, len: 3_000 },
    ];
    Sim::run(Plan { seed, faults, writes, ask, strict: true, ..Plan::default() })
}

#[test]
fn a_reachable_instance_has_a_revision_within_6_s_during_faults() {
    for seed in 0..20 {
        let outcome = run_partitioned(seed, true);
        assert!(outcome.violations.is_empty(), "seed {seed}: {:?}", outcome.violations);
        assert!(outcome.accepted > 0);
    }
    let without = run_partitioned(0, false);
    assert!(without.violations.contains("a revision is not in force everywhere"), "{without:?}");
}
