//! Tests of the choice of storage instances, of repair and of retention.

use std::time::Duration;

use proptest::prelude::*;
use sesamewall_batch::REPAIR_DELAY;
use sesamewall_batch::RepairTracker;
use sesamewall_batch::choose_storage;
use sesamewall_batch::is_retained;
use sesamewall_ports::ListedInstance;
use sesamewall_ports::ListedState;
use sesamewall_ports::PeerAddress;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;

fn instance(name: usize, domain: u8, bulk: bool, live: bool) -> ListedInstance {
    ListedInstance {
        name: format!("i{name}").into(),
        domain: format!("d{domain}").into(),
        address: PeerAddress { peer: String::new(), forward: String::new() },
        bulk,
        state: if live { ListedState::Live } else { ListedState::Leaving },
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against both copies in one failure domain if two failure domains have storage
    /// instances.
    #[test]
    fn copies_are_in_two_domains(
        spec in prop::collection::vec((0..3_u8, any::<bool>(), any::<bool>()), 0..8),
        start: u64,
    ) {
        let instances: Vec<ListedInstance> = spec
            .iter()
            .enumerate()
            .map(|(name, (domain, bulk, live))| instance(name, *domain, *bulk, *live))
            .collect();
        let usable: Vec<&ListedInstance> = instances
            .iter()
            .filter(|found| found.bulk && found.state == ListedState::Live)
            .collect();
        let chosen = choose_storage(&instances, &[], 2, start);
        prop_assert_eq!(chosen.len(), usable.len().min(2));
        let domain = |name: &InstanceName| {
            usable.iter().find(|found| found.name == *name).map(|found| &found.domain)
        };
        prop_assert!(chosen.iter().all(|name| domain(name).is_some()));
        if let [first, second] = &chosen[..] {
            prop_assert!(first != second);
            let several = usable.iter().any(|found| found.domain != usable[0].domain);
            prop_assert_eq!(several, domain(first) != domain(second));
        }
        if let [first, ..] = &chosen[..] {
            let again = choose_storage(&instances, std::slice::from_ref(first), 2, start);
            prop_assert!(!again.contains(first));
        }
    }
}

/// Guards against copies that are replaced at each short absence of their storage instance, or
/// never.
#[test]
fn repair_waits_for_thirty_seconds() {
    let mut tracker = RepairTracker::default();
    let name = InstanceName::from("i1");
    let start = Time::from_millis(1_000);
    assert!(!tracker.is_lost(&name, false, start));
    assert!(!tracker.is_lost(&name, false, start + Duration::from_secs(29)));
    assert!(!tracker.is_lost(&name, true, start + Duration::from_millis(29_500)));
    assert!(!tracker.is_lost(&name, false, start + REPAIR_DELAY));
    assert!(tracker.is_lost(&name, false, start + 2 * REPAIR_DELAY));
}

/// Guards against results that are removed too early or never.
#[test]
fn objects_are_kept_for_the_retention() {
    assert!(is_retained(5_000, 10, 14_999));
    assert!(!is_retained(5_000, 10, 15_000));
    assert!(is_retained(5_000, u64::MAX, u64::MAX - 1));
}
