//! The flows of all services.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sesamewall_protocol::DomainName;
use sesamewall_protocol::Time;

use crate::DomainFlow;
use crate::DomainFlowSettings;
use crate::DomainLoad;
use crate::FlowChange;
use crate::Peers;
use crate::TargetTable;
use crate::datagrams::domain_key;

/// The flows of the services that have targets in several failure domains, each with enough slots.
#[derive(Clone, Debug)]
pub struct DomainFlows {
    settings: DomainFlowSettings,
    local: u32,
    flows: HashMap<Arc<str>, DomainFlow>,
    /// Names of the domains that had targets.
    names: HashMap<u32, DomainName>,
}

impl DomainFlows {
    /// Creates a state without flows, for an instance of a failure domain.
    pub fn new(settings: DomainFlowSettings, local: &DomainName) -> Self {
        Self { settings, local: domain_key(local), flows: HashMap::new(), names: HashMap::new() }
    }

    /// Returns the flow of a service; `None` if its targets are in one domain, or a domain has few
    /// slots.
    pub fn get(&self, service: &str) -> Option<&DomainFlow> {
        self.flows.get(service)
    }

    /// Returns the name of a domain that has or had targets.
    pub fn domain_name(&self, key: u32) -> Option<&DomainName> {
        self.names.get(&key)
    }

    /// Updates all flows. Returns the changes by service.
    pub fn update(
        &mut self,
        table: &TargetTable,
        peers: &Peers,
        now: Time,
    ) -> Vec<(Arc<str>, FlowChange)> {
        let mut services: BTreeMap<Arc<str>, BTreeMap<u32, DomainLoad>> = BTreeMap::new();
        for target in table.iter() {
            let domains = services.entry(target.entry.service.clone()).or_default();
            let load = domains.entry(target.domain).or_insert_with(|| DomainLoad {
                domain: target.domain,
                slots: 0,
                all_slots: 0,
                online: 0,
                age: peers.domain_age(target.domain, now),
            });
            self.names.entry(target.domain).or_insert_with(|| target.entry.domain.clone());
            let slots = target.entry.slots;
            load.all_slots = load.all_slots.saturating_add(slots);
            // Requests at targets that leave need no slot of the others.
            if table.in_service(target, now) {
                load.slots = load.slots.saturating_add(slots);
                load.online = load.online.saturating_add(peers.at_target(target.key).0);
            }
        }
        let has_slots = |load: &DomainLoad| load.all_slots >= self.settings.min_slots;
        services.retain(|_, domains| domains.len() > 1 && domains.values().all(has_slots));
        let mut changes = Vec::new();
        for (service, flow) in self.flows.iter().filter(|(name, _)| !services.contains_key(*name)) {
            changes.extend(flow.end(|_| true).into_iter().map(|change| (service.clone(), change)));
        }
        self.flows.retain(|service, _| services.contains_key(service));
        for (service, domains) in services {
            let flow = self
                .flows
                .entry(service.clone())
                .or_insert_with(|| DomainFlow::new(self.settings.clone(), self.local));
            let loads: Vec<DomainLoad> = domains.into_values().collect();
            let changed = flow.update(&loads, now).into_iter();
            changes.extend(changed.map(|change| (service.clone(), change)));
        }
        changes
    }

    /// Records that an online request has held a slot of a target.
    pub fn on_end(&mut self, table: &TargetTable, key: u32, held: Duration) {
        let target = table.iter().find(|target| target.key == key);
        let flow = target.and_then(|target| self.flows.get_mut(&target.entry.service));
        if let Some(flow) = flow {
            flow.on_end(held);
        }
    }

    /// Records that a connection to a target failed. It concerns all services of its domain.
    pub fn on_unreached(&mut self, table: &TargetTable, key: u32, now: Time) {
        if let Some(target) = table.iter().find(|target| target.key == key) {
            for flow in self.flows.values_mut() {
                flow.on_unreached(target.domain, key, now);
            }
        }
    }

    /// Records a response of a target.
    pub fn on_reached(&mut self, table: &TargetTable, key: u32) {
        if let Some(target) = table.iter().find(|target| target.key == key) {
            for flow in self.flows.values_mut() {
                flow.on_reached(target.domain);
            }
        }
    }
}
