//! The instances that this instance considers live.

use std::sync::PoisonError;
use std::sync::RwLock;

use sesamewall_ports::ListedInstance;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;

/// Holds the live instances, this one included, and the lead of each failure domain.
#[derive(Debug, Default)]
pub struct Directory {
    state: RwLock<State>,
}

#[derive(Debug, Default)]
struct State {
    instances: Vec<ListedInstance>,
    leads: Vec<(DomainName, InstanceName)>,
}

impl Directory {
    /// Returns the live instances.
    pub fn instances(&self) -> Vec<ListedInstance> {
        self.read().instances.clone()
    }

    /// Returns a live instance by name.
    pub fn find(&self, name: &InstanceName) -> Option<ListedInstance> {
        self.read().instances.iter().find(|found| found.name == *name).cloned()
    }

    /// Returns the lead of a failure domain.
    pub fn lead(&self, domain: &DomainName) -> Option<ListedInstance> {
        let state = self.read();
        let (_, name) = state.leads.iter().find(|(found, _)| found == domain)?;
        state.instances.iter().find(|found| found.name == *name).cloned()
    }

    /// Returns each failure domain that has a lead, with the lead's name.
    pub fn leads(&self) -> Vec<(DomainName, InstanceName)> {
        self.read().leads.clone()
    }

    /// Replaces the live instances.
    pub fn set_instances(&self, instances: Vec<ListedInstance>) {
        self.write().instances = instances;
    }

    /// Replaces the lead of a failure domain, or removes it.
    pub fn set_lead(&self, domain: &DomainName, lead: Option<InstanceName>) {
        let mut state = self.write();
        state.leads.retain(|(found, _)| found != domain);
        state.leads.extend(lead.map(|name| (domain.clone(), name)));
        state.leads.sort();
    }

    fn read(&self) -> std::sync::RwLockReadGuard<'_, State> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> std::sync::RwLockWriteGuard<'_, State> {
        self.state.write().unwrap_or_else(PoisonError::into_inner)
    }
}
