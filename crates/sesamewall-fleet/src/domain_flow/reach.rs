//! Which failure domains cannot be reached.

use std::collections::HashMap;

use sesamewall_protocol::Time;

use crate::DomainFlowSettings;

/// Failed connections to targets of one domain since the last response from it.
#[derive(Clone, Debug, Default)]
struct DomainFailures {
    targets: Vec<(u32, Time)>,
    cut_at: Option<Time>,
}

/// Failed connections by failure domain.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    domains: HashMap<u32, DomainFailures>,
}

impl Reach {
    /// Records that a connection to a target failed.
    pub fn on_unreached(
        &mut self,
        settings: &DomainFlowSettings,
        domain: u32,
        target: u32,
        now: Time,
    ) {
        let failures = self.domains.entry(domain).or_default();
        failures
            .targets
            .retain(|(key, at)| *key != target && now.since(*at) < settings.failure_window);
        failures.targets.push((target, now));
        if failures.targets.len() >= settings.failed_targets || failures.cut_at.is_some() {
            failures.cut_at = Some(now);
        }
    }

    /// Records a response of a target of the domain.
    pub fn on_reached(&mut self, domain: u32) {
        self.domains.remove(&domain);
    }

    /// Records when state of the domain was received last. Later state than the failed connections
    /// shows that the domain is reachable again.
    pub fn on_heard(&mut self, settings: &DomainFlowSettings, domain: u32, heard_at: Time) {
        let cut_at = self.domains.get(&domain).and_then(|failures| failures.cut_at);
        if cut_at.is_some_and(|cut_at| heard_at > cut_at + settings.contact_delay) {
            self.domains.remove(&domain);
        }
    }

    /// Records that no instance of the domain is known, which could be heard.
    pub fn on_unheard(&mut self, settings: &DomainFlowSettings, domain: u32, now: Time) {
        let cut_at = self.domains.get(&domain).and_then(|failures| failures.cut_at);
        if cut_at.is_some_and(|cut_at| now.since(cut_at) > settings.probe_delay) {
            self.domains.remove(&domain);
        }
    }

    /// Returns whether connections to the domain fail.
    pub fn is_cut(&self, domain: u32) -> bool {
        self.domains.get(&domain).is_some_and(|failures| failures.cut_at.is_some())
    }
}
