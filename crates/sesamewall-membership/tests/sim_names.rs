//! Names, addresses and reports of simulated instances.

use sesamewall_membership::MemberReport;
use sesamewall_ports::ListedInstance;
use sesamewall_ports::ListedState;
use sesamewall_ports::PeerAddress;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;

use crate::sim::DOMAINS;
use crate::sim::INSTANCES;
pub fn domain(instance: usize) -> usize {
    instance / (INSTANCES / DOMAINS)
}

pub fn domain_name(domain: usize) -> DomainName {
    DomainName::from(format!("d{domain}"))
}

pub fn instance_name(instance: usize) -> InstanceName {
    InstanceName::from(format!("i{instance}"))
}

pub fn index(name: &InstanceName) -> usize {
    name.as_str()[1..].parse().unwrap()
}

pub fn listed(instance: usize) -> ListedInstance {
    let address = PeerAddress { peer: "127.0.0.1:1".into(), forward: "127.0.0.1:2".into() };
    let (name, domain) = (instance_name(instance), domain_name(domain(instance)));
    ListedInstance { name, domain, address, bulk: false, state: ListedState::Live }
}

pub struct OwnedReport {
    pub lead: Option<InstanceName>,
    pub notice: Option<sesamewall_protocol::peer::LeadNotice>,
    pub revision: u64,
}

impl OwnedReport {
    pub fn borrow(&self) -> MemberReport<'_> {
        MemberReport {
            lead: self.lead.as_ref(),
            notice: self.notice.clone(),
            revision: self.revision,
            crash_marks: Vec::new(),
        }
    }
}
