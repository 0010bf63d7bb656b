//! Guards the limit of 11 KB/s of control traffic per instance at the fleet size planned for two
//! years from now.

use std::collections::BTreeMap;

use sesamewall_membership::Configuration;
use sesamewall_membership::DomainState;
use sesamewall_membership::LEAD_RENEWAL;
use sesamewall_membership::MemberAction;
use sesamewall_membership::MemberReport;
use sesamewall_membership::Members;
use sesamewall_ports::ListedInstance;
use sesamewall_ports::ListedState;
use sesamewall_ports::PeerAddress;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::LeadNotice;
use sesamewall_protocol::peer::MembershipMessage;
use sesamewall_protocol::peer::PeerMessage;

use crate::fixtures::change;
use crate::fixtures::key;

const FLEET: usize = 380;
const DOMAINS: usize = 7;
const CHANGES_A_DAY: f64 = 570.0;
const LIMIT: f64 = 11_000.0;
const SECONDS: u64 = 60;

/// Returns the size of a message in bytes, with the envelope's protocol version, sender and failure
/// domain in protobuf form: a tag and a length for each text.
fn bytes(from: usize, message: &MembershipMessage) -> usize {
    let payload = rmp_serde::to_vec_named(&PeerMessage::Membership(message.clone())).unwrap();
    let envelope = 2 + (2 + name(from).as_str().len()) + (2 + domain(from).as_str().len()) + 3;
    payload.len() + envelope
}

fn name(instance: usize) -> InstanceName {
    InstanceName::from(format!("instance-{instance:04}"))
}

fn domain(instance: usize) -> DomainName {
    DomainName::from(format!("region-{}-domain-{}", instance % DOMAINS % 3, instance % DOMAINS))
}

fn lead_of(instance: usize) -> InstanceName {
    name(instance % DOMAINS)
}

fn listed(instance: usize) -> ListedInstance {
    let address = PeerAddress { peer: "127.0.0.1:1".into(), forward: "127.0.0.1:2".into() };
    let (name, domain) = (name(instance), domain(instance));
    ListedInstance { name, domain, address, bulk: false, state: ListedState::Live }
}

/// Returns the bytes that each instance sends and receives in `SECONDS` of steady state, and the
/// members.
fn steady(full_lists: bool) -> (Vec<usize>, Vec<Members>) {
    let list: Vec<ListedInstance> = (0..FLEET).map(listed).collect();
    let index: BTreeMap<InstanceName, usize> = (0..FLEET).map(|n| (name(n), n)).collect();
    let mut fleet: Vec<Members> = (0..FLEET).map(|n| Members::new(name(n), domain(n))).collect();
    let mut counted = vec![0; FLEET];
    let leads: Vec<InstanceName> = (0..FLEET).map(lead_of).collect();
    let report = |instance: usize| MemberReport {
        lead: Some(&leads[instance]),
        notice: (instance < DOMAINS).then_some(LeadNotice {
            epoch: 1_000,
            version: 1 << 40,
            age_ms: 900,
        }),
        revision: 416_000,
        crash_marks: Vec::new(),
    };
    for second in 0..SECONDS + 10 {
        let now = Time::from_millis(second * 1_000);
        let mut queue: Vec<(usize, MemberAction)> = Vec::new();
        for (instance, members) in fleet.iter_mut().enumerate() {
            if second == 0 || full_lists {
                members.set_list(list.clone());
            }
            queue.extend(
                members.tick(now, &report(instance)).into_iter().map(|action| (instance, action)),
            );
        }
        while let Some((from, action)) = queue.pop() {
            let MemberAction::Send { to, mut message } = action else { continue };
            let to = index[&to];
            if let (true, MembershipMessage::Digest(digest)) = (full_lists, &mut message) {
                digest.instances =
                    Some((0..FLEET).map(|instance| (name(instance), false)).collect());
            }
            // The first seconds carry the complete lists once.
            if second >= 10 {
                counted[from] += bytes(from, &message);
                counted[to] += bytes(from, &message);
            }
            let actions =
                fleet[to].on_message(now, &name(from), &domain(from), &message, &report(to));
            queue.extend(actions.into_iter().map(|action| (to, action)));
        }
    }
    (counted, fleet)
}

/// Returns the bytes per second of a lead and of an instance that is not lead.
fn rates(full_lists: bool) -> (f64, f64) {
    let (counted, _) = steady(full_lists);
    let changes = vec![change(416_000, "operator@example", vec![key("key-id", "account-name")])];
    let diff = bytes(0, &MembershipMessage::ConfigDiff { changes }) as f64;
    let notice = LeadNotice { epoch: 1_000, version: 1 << 40, age_ms: 0 };
    let notice = bytes(0, &MembershipMessage::LeadNotice(notice)) as f64;
    let members = FLEET.div_ceil(DOMAINS) as f64 - 1.0;
    let changes = CHANGES_A_DAY / 86_400.0;
    let lead = counted[..DOMAINS].iter().max().unwrap();
    let plain = counted[DOMAINS..].iter().max().unwrap();
    // A lead reads each change once, pushes it to its members, and notifies two of them of each
    // renewal.
    let renewals = 1.0 / LEAD_RENEWAL.as_secs_f64();
    let pushes = changes * diff * (members + 1.0);
    let lead = *lead as f64 / SECONDS as f64 + pushes + 2.0 * renewals * notice;
    let plain = *plain as f64 / SECONDS as f64 + changes * diff + renewals * notice;
    (lead, plain)
}

#[test]
fn control_traffic_stays_within_the_bound() {
    let (lead, plain) = rates(false);
    println!("{FLEET} instances, {DOMAINS} failure domains, {CHANGES_A_DAY} changes a day:");
    println!("lead {lead:.0} bytes/s, plain instance {plain:.0} bytes/s in and out");
    assert!(lead <= LIMIT && plain <= LIMIT);
}

#[test]
fn checker_reports_full_lists_in_each_digest() {
    let (lead, _) = rates(true);
    assert!(lead > LIMIT, "{lead}");
}

#[test]
fn domains_are_in_unreachable_or_out() {
    let (_, fleet) = steady(false);
    let config = Configuration::default();
    let state = serde_json::json!({"kind": "domain", "name": domain(3).as_str(), "mode": "out"});
    let out = change(1, "op", vec![crate::fixtures::put(state)]);
    let config = config.apply(&out).unwrap();
    let last = Time::from_millis((SECONDS + 9) * 1_000);
    for instance in [0, FLEET - 1] {
        let view = fleet[instance].domain_view(last, &config);
        let count = |state: DomainState| view.iter().filter(|view| view.state == state).count();
        assert_eq!((view.len(), count(DomainState::In), count(DomainState::Out)), (7, 6, 1));
        assert!(view.iter().all(|view| view.lead.is_some() || view.name == domain(instance)));
        // Without messages for 3 s, only the local failure domain counts as reachable.
        let later = fleet[instance].domain_view(Time::from_millis((SECONDS + 13) * 1_000), &config);
        let lost = later.iter().filter(|view| view.state == DomainState::Unreachable).count();
        assert_eq!(lost, if domain(instance) == domain(3) { 6 } else { 5 });
    }
    let local = fleet[0].domain_view(last, &config);
    let local = local.iter().find(|view| view.name == domain(0)).unwrap();
    assert_eq!(local.live.len(), 55);
    let other = fleet[0].domain_view(last, &config);
    let other = other.iter().find(|view| view.name == domain(1)).unwrap();
    assert_eq!(other.live.len(), 55, "a lead knows the instances of other failure domains");
}
