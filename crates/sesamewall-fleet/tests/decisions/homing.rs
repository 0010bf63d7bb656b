//! Homes of members, and seats of hubs.

use std::collections::BTreeMap;

use sesamewall_fleet::HomeSettings;
use sesamewall_fleet::Homing;
use sesamewall_fleet::HubWord;
use sesamewall_fleet::SeatSettings;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;

use crate::support::at;
use crate::support::hub_word;

fn homing(own: &str) -> Homing {
    Homing::new(HomeSettings::default(), InstanceName::from(own), DomainName::from("a"))
}

fn hubs() -> Vec<HubWord> {
    vec![hub_word("h1", "a"), hub_word("h2", "a"), hub_word("h3", "a"), hub_word("far", "b")]
}

/// Guards against hubs that carry all members of their failure domain alone.
#[test]
fn members_spread_over_the_hubs_of_their_failure_domain() {
    let mut homes: BTreeMap<String, u32> = BTreeMap::new();
    for n in 0..30 {
        let choice = homing(&format!("m{n}")).choose(&hubs(), at(0));
        let (home, moved) = choice.expect("hubs are known");
        assert!(moved);
        *homes.entry(home.to_string()).or_default() += 1;
    }
    assert_eq!(homes.len(), 3, "{homes:?}");
    assert!(homes.values().all(|count| *count >= 4), "{homes:?}");
}

/// Guards against a member that stays with a silent hub: it tries the others of its failure domain, then
/// those of other ones, and goes back to its usual home later.
#[test]
fn a_member_leaves_a_silent_home_and_returns() {
    let settings = HomeSettings::default();
    let mut homing = homing("m1");
    let (first, _) = homing.choose(&hubs(), at(0)).expect("hubs are known");
    homing.on_digest(&first, at(10));
    assert_eq!(homing.choose(&hubs(), at(20)), Some((first.clone(), false)));
    let silent = at(10) + settings.silence * 2;
    let (second, moved) = homing.choose(&hubs(), silent).expect("another hub");
    assert!(moved && second != first);
    let mut tried = vec![first.clone(), second];
    for step in 1..=2 {
        let now = silent + settings.answer_time * 2 * step;
        let (next, moved) = homing.choose(&hubs(), now).expect("another hub");
        assert!(moved && !tried.contains(&next), "{next} was tried");
        tried.push(next);
    }
    assert_eq!(tried[3].as_str(), "far", "other failure domains come last");
    let now = silent + settings.answer_time * 8;
    homing.on_digest(&tried[3], now);
    assert_eq!(homing.choose(&hubs(), now).map(|(_, moved)| moved), Some(false));
    let back = now + settings.return_time * 2;
    homing.on_digest(&tried[3], back);
    let (home, moved) = homing.choose(&hubs(), back).expect("a hub");
    assert!(moved && home == first, "{home}");
}

/// Guards against members that wait for a hub that says that it stops.
#[test]
fn a_member_leaves_a_hub_that_stops() {
    let mut homing = homing("m1");
    let (first, _) = homing.choose(&hubs(), at(0)).expect("hubs are known");
    homing.on_digest(&first, at(10));
    let mut list = hubs();
    list.iter_mut().filter(|hub| hub.name == first).for_each(|hub| hub.draining = true);
    let (next, moved) = homing.choose(&list, at(20)).expect("another hub");
    assert!(moved && next != first);
}

/// Guards against small machines as hubs where larger ones are there, and against a fleet of small ones
/// without hubs.
#[test]
fn large_machines_take_seats_first() {
    let seats = SeatSettings::default();
    let longest = |front, share| seats.wait(front, share, 1.0);
    assert!(longest(true, 0.5) < seats.wait(true, 0.12, 0.0));
    assert!(seats.wait(true, 0.5, 0.0) < seats.wait(false, 0.5, 0.0));
    assert!(longest(false, 0.12).as_secs_f64() < 3.0);
}
