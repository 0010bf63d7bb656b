//! What machines and hubs do about retirements.

use std::collections::BTreeSet;
use std::time::Duration;

use sesamewall_fleet::Retirement;
use sesamewall_fleet::RetirementRecord;
use sesamewall_fleet::RetirementSettings;
use sesamewall_fleet::RetirementStep;
use sesamewall_fleet::RetirementWatch;
use sesamewall_fleet::StatusChange;
use sesamewall_fleet::WorkerLoad;
use sesamewall_protocol::InstanceName;

use crate::support::at;

const IDLE: WorkerLoad = WorkerLoad { running: 0, uncommitted: 0, pending: 0 };

fn settings() -> RetirementSettings {
    RetirementSettings {
        drain_time: Duration::from_millis(1000),
        silence_time: Duration::from_millis(2000),
        retry_pause: (Duration::from_millis(100), Duration::from_millis(800)),
        check_pause: Duration::from_millis(5000),
    }
}

fn names(names: &[&str]) -> BTreeSet<InstanceName> {
    names.iter().map(|name| InstanceName::from(*name)).collect()
}

/// Guards against a machine that is reported while it has items, results or writes without a reply,
/// and against items that hold up its retirement.
#[test]
fn a_retiring_worker_with_work_compares_nothing() {
    let mut retirement = Retirement::new(settings(), at(0));
    assert!(retirement.on_asked(true, at(100)));
    let running = WorkerLoad { running: 2, ..IDLE };
    assert_eq!(retirement.step(&running, at(1000)), RetirementStep::Wait);
    assert_eq!(retirement.step(&running, at(1100)), RetirementStep::Preempt);
    for load in [WorkerLoad { uncommitted: 1, ..IDLE }, WorkerLoad { pending: 1, ..IDLE }] {
        assert_eq!(retirement.step(&load, at(60_000)), RetirementStep::Wait, "{load:?}");
    }
    assert_eq!(retirement.step(&IDLE, at(1100)), RetirementStep::Compare);
}

/// Guards against a report that is given up: comparisons that fail are repeated without an end, and
/// with a bounded pause.
#[test]
fn a_failed_comparison_of_a_retirement_is_repeated_for_good() {
    let mut retirement = Retirement::new(settings(), at(0));
    retirement.on_asked(true, at(0));
    let (mut count, mut last) = (0, 0);
    for now in (0..600_000).step_by(50) {
        if retirement.step(&IDLE, at(now)) == RetirementStep::Compare {
            assert!(now - last <= 800, "a pause of {} ms", now - last);
            (count, last) = (count + 1, now);
            retirement.on_compared(false, at(now));
        }
    }
    assert!((700..1000).contains(&count), "{count} comparisons in 600 s");
}

/// Guards against a claim that a late write gives to an empty machine, and against calls to the
/// store for machines that are not retiring.
#[test]
fn only_a_retiring_machine_is_compared_again_after_the_store_agreed() {
    let mut retirement = Retirement::new(settings(), at(0));
    assert_eq!(retirement.step(&IDLE, at(0)), RetirementStep::Compare, "an earlier status");
    retirement.on_compared(true, at(0));
    assert_eq!(retirement.step(&IDLE, at(600_000)), RetirementStep::Wait);
    for asked in [true, false] {
        assert!(retirement.on_asked(asked, at(600_000)));
        assert!(!retirement.on_asked(asked, at(600_000)));
        assert_eq!(retirement.step(&IDLE, at(600_000)), RetirementStep::Compare);
        retirement.on_compared(true, at(600_000));
        assert_eq!(retirement.step(&IDLE, at(604_999)), RetirementStep::Wait);
        let again = if asked { RetirementStep::Compare } else { RetirementStep::Wait };
        assert_eq!(retirement.step(&IDLE, at(605_000)), again);
    }
}

/// Guards against a hub that reports a live machine, and against a machine that is down and never
/// reported, or still reported after its retirement was taken back.
#[test]
fn a_hub_acts_only_for_silent_machines_in_a_retirement() {
    let mut watch = RetirementWatch::new(settings());
    let (named, none) = (names(&["w1", "w2"]), names(&[]));
    let is_live = |name: &InstanceName| name.as_str() == "w2";
    let due = |watch: &mut RetirementWatch, retiring, now| watch.due(retiring, is_live, at(now));
    assert!(due(&mut watch, &named, 0).is_empty());
    assert!(due(&mut watch, &named, 1999).is_empty());
    let w1 = InstanceName::from("w1");
    assert_eq!(due(&mut watch, &named, 2000), vec![w1.clone()]);
    watch.on_compared(&w1, false, at(2000));
    assert!(due(&mut watch, &named, 2099).is_empty());
    assert_eq!(due(&mut watch, &named, 2100), vec![w1.clone()]);
    watch.on_compared(&w1, true, at(2100));
    assert!(due(&mut watch, &named, 60_000).is_empty());
    assert!(due(&mut watch, &none, 60_000).is_empty());
    let mut both: Vec<_> = named.iter().cloned().collect();
    both.sort();
    assert_eq!(due(&mut watch, &none, 62_000), both);
    for name in &both {
        watch.on_compared(name, true, at(62_000));
    }
    assert!(due(&mut watch, &none, 62_001).is_empty());
    assert!(watch.is_idle());
}

/// Guards against a status that says that a machine is empty although it works or holds claims.
#[test]
fn the_status_of_a_retirement_follows_the_record() {
    for asked in [false, true] {
        for empty in [false, true] {
            for status in [None, Some(false), Some(true)] {
                let change = RetirementRecord { asked, empty, status }.status_change();
                let after = match change {
                    Some(StatusChange::Report) => Some(true),
                    Some(StatusChange::Remove) => None,
                    None => status,
                };
                assert_eq!(after, (asked && empty).then_some(true));
                assert_eq!(change.is_some(), after != status);
            }
        }
    }
}
