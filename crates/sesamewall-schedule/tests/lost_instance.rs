//! Slots of instances that were lost.

use std::time::Duration;

use sesamewall_protocol::Class;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::SlotAsk;
use sesamewall_schedule::Action;
use sesamewall_schedule::Config;
use sesamewall_schedule::LimitSettings;
use sesamewall_schedule::Scheduler;
use sesamewall_schedule::Settings;
use sesamewall_schedule::TargetInfo;

const HOUR: Time = Time::from_millis(3_600_000);

fn ask(request: &str) -> SlotAsk {
    SlotAsk {
        request: request.into(),
        account: "acme".into(),
        weight: 1.0,
        class: Class::Online,
        model: "m".into(),
        work: 10,
        prompt: 1,
        urgent: false,
        prefix: Vec::new(),
        wait_us: 10_000_000,
        exclude: Vec::new(),
        isolated: false,
    }
}

fn is_granted(actions: &[Action], request: &str) -> bool {
    actions.iter().any(|action| {
        matches!(action, Action::Grant { slot, .. } if slot.request.as_str() == request)
    })
}

/// Returns whether a request that waits for the only slot of a target, held by an instance that was
/// lost, has its slot after 1.5 s.
fn slot_is_free_again(ramp: bool) -> bool {
    let limit = LimitSettings { ramp, ..LimitSettings::default() };
    let settings = Settings { limit, ..Settings::default() };
    let (alive, lost) = (InstanceName::from("i1"), InstanceName::from("i2"));
    let now = Time::from_millis(1000);
    let mut lead = Scheduler::new(settings, 1, [], now);
    lead.set_valid_until(HOUR);
    let target = TargetInfo {
        name: "t".into(),
        address: "http://127.0.0.1:1".to_owned(),
        models: vec!["m".into()],
        max_limit: 1,
        leaving: false,
    };
    lead.on_config(&Config { targets: vec![target], domain_out: false }, now);
    assert!(is_granted(&lead.on_ask(ask("first"), &lost, now), "first"));
    assert!(!is_granted(&lead.on_ask(ask("second"), &alive, now), "second"));
    lead.on_instance_lost(&lost, now);
    is_granted(&lead.on_tick(now + Duration::from_millis(1500)), "second")
}

/// Guards against online requests that wait out their deadline for streams of a lost instance.
#[test]
fn warm_target_is_used_again_soon() {
    assert!(slot_is_free_again(false));
}

/// Guards against a cold target that gets more than it bears while it still runs these streams.
#[test]
fn cold_target_keeps_counting() {
    assert!(!slot_is_free_again(true));
}
