//! Where requests go.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use sesamewall_fleet::Ask;
use sesamewall_fleet::Chosen;
use sesamewall_fleet::NoPlace;
use sesamewall_fleet::PeerSettings;
use sesamewall_fleet::Peers;
use sesamewall_fleet::PlaceSettings;
use sesamewall_fleet::TargetTable;
use sesamewall_fleet::place;
use sesamewall_fleet::start_bound;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;

use crate::support::at;
use crate::support::count;
use crate::support::hear;
use crate::support::table;

fn ask(domain: &DomainName) -> Ask<'_> {
    Ask {
        service: "chat",
        regions: None,
        domain,
        prefix: None,
        exclude: &[],
        among: None,
        leave_free: None,
    }
}

fn choose(ask: &Ask<'_>, table: &TargetTable, peers: &Peers, now: Time) -> Result<Chosen, NoPlace> {
    let settings = PlaceSettings::default();
    place(&settings, ask, table, peers, &HashMap::new(), 17.0, now, 7)
}

fn name(chosen: Result<Chosen, NoPlace>) -> String {
    chosen.expect("there is room").name.to_string()
}

/// Guards against work that crosses failure domains without need.
#[test]
fn the_own_failure_domain_comes_first() {
    let table = table(&[("t1", "a"), ("t2", "b")]);
    let domain = DomainName::from("b");
    let peers = Peers::new(PeerSettings::default());
    assert_eq!(name(choose(&ask(&domain), &table, &peers, at(0))), "t2");
}

/// Guards against a hot failure domain: a full target of the own one loses to a free one elsewhere.
#[test]
fn load_goes_before_the_failure_domain() {
    let table = table(&[("t1", "a"), ("t2", "b")]);
    let domain = DomainName::from("b");
    let mut peers = Peers::new(PeerSettings::default());
    hear(&mut peers, "f1", 1, &[count("t2", 7, 0, 7)], at(0));
    assert_eq!(name(choose(&ask(&domain), &table, &peers, at(1000))), "t1");
}

/// Guards against online requests that queue behind each other beside a target where batch items can
/// make way.
#[test]
fn batch_makes_way_before_online_requests_queue() {
    let table = table(&[("t1", "a"), ("t2", "a")]);
    let domain = DomainName::from("a");
    let mut peers = Peers::new(PeerSettings::default());
    let counts = [count("t1", 8, 0, 8), count("t2", 2, 6, 8)];
    hear(&mut peers, "f1", 1, &counts, at(0));
    assert_eq!(name(choose(&ask(&domain), &table, &peers, at(1000))), "t2");
}

/// Guards against requests that wait although they cannot start in time: the overload of a peak is
/// refused at once.
#[test]
fn a_full_fleet_refuses_at_once() {
    let table = table(&[("t1", "a"), ("t2", "b")]);
    let domain = DomainName::from("a");
    let mut peers = Peers::new(PeerSettings::default());
    let counts = [count("t1", 10, 0, 10), count("t2", 10, 0, 10)];
    hear(&mut peers, "f1", 1, &counts, at(0));
    assert_eq!(choose(&ask(&domain), &table, &peers, at(1000)), Err(NoPlace::Full));
}

/// Guards against batch items that take the last free places.
#[test]
fn batch_leaves_places_free() {
    let table = table(&[("t1", "a")]);
    let domain = DomainName::from("a");
    let mut peers = Peers::new(PeerSettings::default());
    hear(&mut peers, "f1", 1, &[count("t1", 7, 0, 7)], at(0));
    let batch = Ask { leave_free: Some(1), ..ask(&domain) };
    assert_eq!(choose(&batch, &table, &peers, at(1000)), Err(NoPlace::Full));
    assert_eq!(name(choose(&ask(&domain), &table, &peers, at(1000))), "t1");
}

/// Guards against overload of a target that turned cold without notice: starts of all instances in
/// any second stay within its rate.
#[test]
fn starts_in_a_second_are_bounded() {
    let table = table(&[("t1", "a")]);
    let domain = DomainName::from("a");
    let key = count("t1", 0, 0, 0).key;
    let mut peers = Peers::new(PeerSettings::default());
    let mut started = Vec::new();
    for millis in (0..4000).step_by(5) {
        // Another instance sends seven requests a second.
        if millis % 140 == 0 {
            let sent = 1 + millis as u32 / 140;
            hear(&mut peers, "f1", 1 + millis, &[count("t1", 0, 0, sent)], at(millis));
            started.push(millis);
        }
        if choose(&ask(&domain), &table, &peers, at(millis)).is_ok() {
            peers.start(key, false, at(millis));
            peers.end(key, false);
            started.push(millis);
        }
        peers.on_tick(at(millis));
    }
    let window = |from: &u64| started.iter().filter(|t| (*from..*from + 1000).contains(t)).count();
    let most = started.iter().map(window).max().unwrap_or_default();
    // The platform's bound: one and a half times the rate and five more.
    assert!(most <= (17 * 3) / 2 + 5, "{most} starts in a second");
    assert!(started.len() >= 4 * 16, "{} starts in four seconds", started.len());
}

/// Guards against a cut-off failure domain that refuses what its own targets bear, and against parts of
/// a split fleet that together start more than a cold target may get.
#[test]
fn parts_of_a_split_fleet_share_the_bound() {
    let whole = 17.0 * 1.5 + 5.0;
    for parts in [vec![1.0], vec![0.5, 0.5], vec![0.25, 0.75], vec![0.25; 4], vec![1.0 / 12.0; 12]]
    {
        let sum: f64 = parts.iter().map(|part| start_bound(17.0, 1.5, 5.0, *part)).sum();
        assert!(sum <= whole + 1e-9, "{parts:?}: {sum}");
    }
    assert_eq!(start_bound(17.0, 1.5, 5.0, 1.0), 17.0);
    assert!(start_bound(17.0, 1.5, 5.0, 0.25) > 7.0);
}

/// Guards against use of a failure domain that the operators have taken out.
#[test]
fn an_evacuated_failure_domain_gets_nothing() {
    let mut table = table(&[("t1", "a"), ("t2", "b")]);
    let domain = DomainName::from("a");
    table.set_evacuated([DomainName::from("a")].into());
    let peers = Peers::new(PeerSettings::default());
    assert_eq!(name(choose(&ask(&domain), &table, &peers, at(0))), "t2");
    table.set_evacuated([DomainName::from("a"), DomainName::from("b")].into());
    assert_eq!(choose(&ask(&domain), &table, &peers, at(0)), Err(NoPlace::NoTarget));
}

/// Guards against work in a region where a route or account may not run.
#[test]
fn regions_bind() {
    let table = table(&[("t1", "a"), ("t2", "b")]);
    let domain = DomainName::from("a");
    let peers = Peers::new(PeerSettings::default());
    let regions: HashMap<DomainName, Arc<str>> =
        [(DomainName::from("a"), "north".into()), (DomainName::from("b"), "south".into())].into();
    let allowed: HashSet<Arc<str>> = [Arc::from("south")].into();
    let ask = Ask { regions: Some(&allowed), ..ask(&domain) };
    let settings = PlaceSettings::default();
    let chosen = place(&settings, &ask, &table, &peers, &regions, 0.0, at(0), 1);
    assert_eq!(name(chosen), "t2");
}

/// Guards against a retry at the target that just failed, and against use of a target that fell silent.
#[test]
fn failed_targets_are_left_out_for_a_while() {
    let mut table = table(&[("t1", "a"), ("t2", "b")]);
    let domain = DomainName::from("a");
    let peers = Peers::new(PeerSettings::default());
    let tried = [TargetName::from("t1")];
    let again = Ask { exclude: &tried, ..ask(&domain) };
    assert_eq!(name(choose(&again, &table, &peers, at(0))), "t2");
    table.on_failure(&TargetName::from("t1"), at(0));
    assert_eq!(name(choose(&ask(&domain), &table, &peers, at(100))), "t2");
    let later = at(0) + Duration::from_secs(2);
    table.on_success(&TargetName::from("t1"));
    assert_eq!(name(choose(&ask(&domain), &table, &peers, later)), "t1");
}

/// Guards against hot spots by affinity: requests with one prefix share a target while it has room.
#[test]
fn a_shared_prefix_stays_on_one_target_while_it_is_light() {
    let table = table(&[("t1", "a"), ("t2", "a"), ("t3", "a")]);
    let domain = DomainName::from("a");
    let mut peers = Peers::new(PeerSettings::default());
    let ask = Ask { prefix: Some(42), ..ask(&domain) };
    let home = name(choose(&ask, &table, &peers, at(0)));
    hear(&mut peers, "f1", 1, &[count(&home, 2, 0, 2)], at(0));
    assert_eq!(name(choose(&ask, &table, &peers, at(1000))), home);
    hear(&mut peers, "f1", 2, &[count(&home, 7, 0, 7)], at(1000));
    assert_ne!(name(choose(&ask, &table, &peers, at(2000))), home);
}
