//! Guards against overload of targets, batch work that delays online work, and work for targets
//! that are out of service.

use std::time::Duration;

use proptest::prelude::ProptestConfig;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;

use sesamewall_protocol::Class;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::SlotRelease;
use sesamewall_protocol::peer::SlotRequest;
use sesamewall_protocol::peer::SlotResult;
use sesamewall_schedule::Action;
use sesamewall_schedule::Config;
use sesamewall_schedule::LimitSettings;
use sesamewall_schedule::Policy;
use sesamewall_schedule::QueueSettings;
use sesamewall_schedule::Scheduler;
use sesamewall_schedule::Settings;
use sesamewall_schedule::TargetLimit;

use crate::simulation::Disabled;
use crate::simulation::Simulation;
use crate::simulation::instance;
use crate::simulation::model;
use crate::simulation::slot_request;
use crate::simulation::target;

pub fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn violations(settings: Settings, disabled: Disabled, faults: bool, operator: bool) -> Vec<String> {
    let mut all = Vec::new();
    for seed in 0..20 {
        let mut simulation = Simulation::new(settings.clone(), disabled, seed);
        simulation.run(600, faults, operator);
        all.append(&mut simulation.violations);
    }
    all
}

proptest! {
    #![proptest_config(config(60))]

    /// Guards against more requests on a target than its slow start and limit allow, and against
    /// online requests that wait behind batch streams, without faults.
    #[test]
    fn limits_hold(seed: u64) {
        let mut simulation = Simulation::new(Settings::default(), Disabled::default(), seed);
        simulation.run(400, false, false);
        prop_assert_eq!(&simulation.violations, &Vec::<String>::new());
    }

    /// Guards the same limits with lost reports, cold targets, lead changes and lost instances.
    #[test]
    fn limits_hold_with_faults(seed: u64) {
        let mut simulation = Simulation::new(Settings::default(), Disabled::default(), seed);
        simulation.run(600, true, false);
        prop_assert_eq!(&simulation.violations, &Vec::<String>::new());
    }

    /// Guards against new work for leaving targets and for a failure domain that is out of service.
    #[test]
    fn out_of_service_gets_no_work(seed: u64) {
        let mut simulation = Simulation::new(Settings::default(), Disabled::default(), seed);
        simulation.run(600, false, true);
        prop_assert_eq!(&simulation.violations, &Vec::<String>::new());
    }

    /// Guards against slots that stay counted forever after a lost report.
    #[test]
    fn lost_reports_are_repaired(seed: u64) {
        let mut simulation = Simulation::new(Settings::default(), Disabled::default(), seed);
        simulation.run(300, true, false);
        simulation.drain();
        prop_assert_eq!(simulation.lead.outstanding(), 0);
    }
}

#[test]
fn checks_detect_missing_slow_start() {
    let limit = LimitSettings { slow_start: false, ..LimitSettings::default() };
    let settings = Settings { limit, ..Settings::default() };
    let found = violations(settings, Disabled::default(), true, false);
    assert!(found.iter().any(|text| text.contains("at ramp")), "{found:?}");
}

#[test]
fn checks_detect_missing_sync() {
    let settings = Settings { sync_timeout: Duration::ZERO, ..Settings::default() };
    let disabled = Disabled { sync: true, ..Disabled::default() };
    let mut simulation = Simulation::new(settings, disabled, 1);
    simulation.change_lead_under_load();
    let found = simulation.violations;
    assert!(found.iter().any(|text| text.contains("over the bound")), "{found:?}");
    let mut simulation = Simulation::new(Settings::default(), Disabled::default(), 1);
    simulation.change_lead_under_load();
    assert_eq!(simulation.violations, Vec::<String>::new());
    let mut simulation = Simulation::new(Settings::default(), disabled, 1);
    simulation.run(300, true, false);
    simulation.drain();
    assert!(simulation.lead.outstanding() > 0);
}

#[test]
fn checks_detect_uncounted_lost_slots() {
    let settings = Settings { lost_ttl: Duration::ZERO, ..Settings::default() };
    let found = violations(settings, Disabled::default(), true, false);
    assert!(found.iter().any(|text| text.contains("at ramp")), "{found:?}");
}

#[test]
fn checks_detect_missing_preemption() {
    let settings = Settings { policy: Policy::FixedSplit { batch: 0.5 }, ..Settings::default() };
    let found = violations(settings, Disabled::default(), false, false);
    assert!(found.iter().any(|text| text.contains("online requests wait")), "{found:?}");
}

#[test]
fn checks_detect_missing_configuration() {
    let disabled = Disabled { config: true, ..Disabled::default() };
    let found = violations(Settings::default(), disabled, false, true);
    assert!(found.iter().any(|text| text.contains("out of service")), "{found:?}");
}

fn lead(targets: usize, slow_start: bool) -> Scheduler {
    let limit = LimitSettings { slow_start, ..LimitSettings::default() };
    let mut lead = Scheduler::new(Settings { limit, ..Settings::default() }, 1, [], Time::ZERO);
    lead.set_valid_until(Time::from_millis(100_000));
    let targets = (0..targets).map(target).collect();
    lead.on_config(&Config { targets, domain_out: false }, Time::ZERO);
    lead
}

/// Guards against the cancellation of more streams than online requests wait, against the
/// cancellation of a long stream, and against a slot beyond the limit while the cancelled stream
/// still runs.
#[test]
fn one_preemption_per_waiting_request() {
    let mut lead = lead(1, false);
    let mut at = Time::from_millis(1);
    for index in 0..7 {
        at = Time::from_millis(1000 * (index + 1));
        lead.on_request(
            slot_request(&format!("b{index}"), "a", Class::Batch, 100),
            &instance(0),
            at,
        );
    }
    let first = lead.on_request(slot_request("o1", "a", Class::Online, 100), &instance(0), at);
    assert!(matches!(first[..], [Action::Grant { .. }]), "{first:?}");
    let second = lead.on_request(slot_request("o2", "a", Class::Online, 100), &instance(0), at);
    let [Action::Yield { slot, epoch, request, .. }] = &second[..] else { panic!("{second:?}") };
    assert_eq!(request.as_str(), "b6", "the shortest stream has least work to repeat");
    assert_eq!(
        lead.on_request(slot_request("b9", "a", Class::Batch, 100), &instance(0), at),
        Vec::new()
    );
    let release = SlotRelease {
        slot: *slot,
        epoch: *epoch,
        target: target(0).name,
        end: SlotResult::Cancelled,
        first_token_us: None,
        work: 60,
    };
    let granted = lead.on_release(&release, at);
    let [Action::Grant { slot, .. }] = &granted[..] else { panic!("{granted:?}") };
    assert_eq!(slot.request.as_str(), "o2");
}

/// Guards against grants after the end of the lease.
#[test]
fn no_grant_after_lease_end() {
    let mut lead = lead(1, true);
    let late = Time::from_millis(100_000);
    let actions = lead.on_request(slot_request("r", "a", Class::Online, 1), &instance(0), late);
    assert!(matches!(actions[..], [Action::Deny { code: 8003, .. }]), "{actions:?}");
    let early = Time::from_millis(99_000);
    let actions = lead.on_request(slot_request("r", "a", Class::Online, 1), &instance(0), early);
    assert!(matches!(actions[..], [Action::Grant { .. }]), "{actions:?}");
}

/// Guards against other work on the target of an isolated request, and against a second isolated
/// request that takes another target.
#[test]
fn isolated_request_runs_alone() {
    let mut lead = lead(2, false);
    let now = Time::from_millis(1);
    for index in 0..4 {
        lead.on_request(
            slot_request(&format!("r{index}"), "a", Class::Online, 100),
            &instance(0),
            now,
        );
    }
    let isolated = |name: &str| {
        let mut slot_request = slot_request(name, "a", Class::Online, 100);
        slot_request.isolated = true;
        slot_request
    };
    assert_eq!(lead.on_request(isolated("p1"), &instance(0), now), Vec::new());
    assert_eq!(lead.on_request(isolated("p2"), &instance(0), now), Vec::new());
    let mut granted = Vec::new();
    for slot in 1..5 {
        let name = target(usize::from(slot % 2 == 0)).name;
        let release = SlotRelease {
            slot,
            epoch: 1,
            target: name,
            end: SlotResult::Whole,
            first_token_us: Some(1000),
            work: 100,
        };
        granted.extend(lead.on_release(&release, now));
    }
    let [Action::Grant { slot, .. }] = &granted[..] else { panic!("{granted:?}") };
    assert_eq!(slot.request.as_str(), "p1");
    let other = lead.on_request(slot_request("r9", "a", Class::Online, 100), &instance(0), now);
    let [Action::Grant { slot: beside, .. }] = &other[..] else { panic!("{other:?}") };
    assert_ne!(beside.target, slot.target);
}

/// Guards against unbounded queues, against requests that wait past their deadline and against
/// requests that wait after their caller disconnected.
#[test]
fn queues_are_bounded() {
    let mut lead = lead(1, true);
    lead = {
        let queue = QueueSettings { max_entries: 3, ..QueueSettings::default() };
        let mut small =
            Scheduler::new(Settings { queue, ..Settings::default() }, 1, [], Time::ZERO);
        small.set_valid_until(Time::from_millis(100_000));
        small.on_config(&Config { targets: vec![target(0)], domain_out: false }, Time::ZERO);
        drop(std::mem::replace(&mut lead, small));
        lead
    };
    let now = Time::from_millis(1);
    lead.on_request(slot_request("r0", "small", Class::Online, 10), &instance(0), now);
    lead.on_request(slot_request("r1", "small", Class::Online, 10), &instance(0), now);
    lead.on_request(slot_request("r2", "large", Class::Online, 10), &instance(0), now);
    lead.on_request(slot_request("r3", "large", Class::Online, 10), &instance(0), now);
    let actions = lead.on_request(slot_request("r4", "small", Class::Online, 5), &instance(0), now);
    let [Action::Deny { request, code: 4001, .. }] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(request.as_str(), "r3");
    lead.on_cancel(&"r2".into(), now);
    assert_eq!(lead.waiting(Class::Online, &model()), 2);
    let actions = lead.tick(now + Duration::from_secs(10));
    assert_eq!(actions.len(), 2);
    assert!(actions.iter().all(|action| matches!(action, Action::Deny { code: 4002, .. })));
}

/// Guards against a warm target that becomes cold undetected, and against a single slow response
/// that marks a warm target cold.
#[test]
fn slow_first_tokens_mark_target_cold() {
    let mut limit = TargetLimit::new(LimitSettings::default(), 4);
    let now = Time::from_millis(1);
    for _ in 0..2 {
        assert!(limit.is_cold());
        limit.on_complete(limit.period() + 1, Time::ZERO, Time::from_millis(3_000));
        limit.on_complete(limit.period(), Time::ZERO, Time::from_millis(3_000));
    }
    assert!(!limit.is_cold() && limit.limit() == 4);
    limit.on_first_token(100_000, 0, now);
    assert!(!limit.on_first_token(500_000, 0, now));
    assert!(!limit.on_first_token(100_000, 0, now));
    assert!(!limit.on_first_token(500_000, 0, now));
    assert!(limit.on_first_token(500_000, 0, now));
    assert!(limit.is_cold() && limit.limit() == 1);
}

/// Guards against a slow start in which many short responses raise the limit above what a target
/// can handle during its warm-up.
#[test]
fn short_responses_do_not_speed_up_slow_start() {
    let mut limit = TargetLimit::new(LimitSettings::default(), 64);
    let mut complete = |millis: u64| {
        let granted = Time::from_millis(millis - 20);
        limit.on_complete(limit.period(), granted, Time::from_millis(millis));
        (limit.limit(), limit.is_cold())
    };
    for millis in (20..2_500).step_by(20) {
        assert_eq!(complete(millis), (1, true));
    }
    for millis in (2_500..2_700).step_by(20) {
        assert_eq!(complete(millis), (2, true));
    }
    let (after, cold) = complete(2_720);
    assert!(after <= 4 && cold);
}

/// Guards against a request that may not wait but does so in a full failure domain, and against its
/// denial while a slot for it is being released.
#[test]
fn no_wait_is_denied_at_once() {
    let mut full = lead(1, true);
    let now = Time::from_millis(1);
    let no_wait =
        |name: &str| SlotRequest { wait_us: 0, ..slot_request(name, "a", Class::Online, 10) };
    full.on_request(slot_request("r1", "a", Class::Online, 10), &instance(0), now);
    let actions = full.on_request(no_wait("r2"), &instance(0), now);
    assert!(matches!(actions[..], [Action::Deny { code: 4002, .. }]), "{actions:?}");
    let mut batch = lead(1, true);
    batch.on_request(slot_request("b1", "a", Class::Batch, 10), &instance(0), now);
    let actions = batch.on_request(no_wait("r2"), &instance(0), now);
    assert!(matches!(actions[..], [Action::Yield { .. }]), "{actions:?}");
}
