//! Ejects targets that fail more often than their peers.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;

const WINDOW: Duration = Duration::from_secs(10);

/// Settings of ejection.
#[derive(Clone, Debug)]
pub struct EjectionSettings {
    /// Excess of the error fraction over the median of the peers from which a target is ejected.
    pub excess: f64,
    /// Smallest number of requests in the window from which a target can be ejected.
    pub min_requests: u32,
    /// Largest fraction of a model's targets in the failure domain that may be ejected.
    pub max_fraction: f64,
    /// Time from the ejection until the target gets requests again; it doubles with each
    /// consecutive ejection, up to 16 times this value.
    pub cooldown: Duration,
}

impl Default for EjectionSettings {
    fn default() -> Self {
        Self { excess: 0.3, min_requests: 5, max_fraction: 0.5, cooldown: Duration::from_secs(5) }
    }
}

#[derive(Clone, Debug, Default)]
struct ErrorWindow {
    started: Time,
    requests: [u32; 2],
    errors: [u32; 2],
    ejected_at: Option<Time>,
    consecutive_ejections: u32,
}

impl ErrorWindow {
    fn rotate(&mut self, now: Time) {
        let elapsed = now.since(self.started);
        if elapsed >= WINDOW {
            let recent = elapsed < 2 * WINDOW;
            self.requests = [0, if recent { self.requests[0] } else { 0 }];
            self.errors = [0, if recent { self.errors[0] } else { 0 }];
            self.started = now;
        }
    }

    fn error_fraction(&self) -> f64 {
        let requests: u32 = self.requests.iter().sum();
        f64::from(self.errors.iter().sum::<u32>()) / f64::from(requests.max(1))
    }
}

/// Compares the error fraction of each target with the median of its peers.
#[derive(Clone, Debug, Default)]
pub struct Ejection {
    settings: EjectionSettings,
    records: HashMap<TargetName, ErrorWindow>,
}

impl Ejection {
    /// Creates the state without ejected targets.
    pub fn new(settings: EjectionSettings) -> Self {
        Self { settings, records: HashMap::new() }
    }

    /// Records the result of a request.
    pub fn on_result(&mut self, target: &TargetName, error: bool, now: Time) {
        let record = self.records.entry(target.clone()).or_default();
        record.rotate(now);
        record.requests[0] += 1;
        record.errors[0] += u32::from(error);
        if !error
            && record.ejected_at.is_none()
            && record.error_fraction() < self.settings.excess / 2.0
        {
            record.consecutive_ejections = 0;
        }
    }

    /// Returns whether the target is ejected.
    pub fn is_ejected(&self, target: &TargetName) -> bool {
        self.records.get(target).is_some_and(|record| record.ejected_at.is_some())
    }

    /// Ejects targets and ends ejections. `models` lists, for each model, its targets in service,
    /// including ejected ones. Returns the targets whose ejection ended, which must go through slow
    /// start.
    pub fn update<K: Ord>(
        &mut self,
        models: &BTreeMap<K, Vec<TargetName>>,
        now: Time,
    ) -> Vec<TargetName> {
        let mut returned = self.end_cooldowns(now);
        for peers in models.values() {
            let max_ejected = self.max_ejected(peers.len());
            returned.extend(self.release_excess(peers, max_ejected));
        }
        for peers in models.values() {
            for target in peers {
                let allowed = models
                    .values()
                    .filter(|others| others.contains(target))
                    .all(|peers| self.ejected_count(peers) < self.max_ejected(peers.len()));
                if allowed && self.is_outlier(target, peers) {
                    let record = self.records.entry(target.clone()).or_default();
                    record.ejected_at = Some(now);
                    record.consecutive_ejections += 1;
                }
            }
        }
        returned
    }

    /// Removes all targets for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&TargetName) -> bool) {
        self.records.retain(|target, _| keep(target));
    }

    fn max_ejected(&self, peers: usize) -> usize {
        (peers as f64 * self.settings.max_fraction) as usize
    }

    fn ejected_count(&self, peers: &[TargetName]) -> usize {
        peers.iter().filter(|target| self.is_ejected(target)).count()
    }

    fn end_cooldowns(&mut self, now: Time) -> Vec<TargetName> {
        let cooldown = self.settings.cooldown;
        let mut returned = Vec::new();
        for (target, record) in &mut self.records {
            let factor = 1 << record.consecutive_ejections.saturating_sub(1).min(4);
            if record.ejected_at.is_some_and(|at| now.since(at) >= cooldown * factor) {
                *record = ErrorWindow {
                    started: now,
                    consecutive_ejections: record.consecutive_ejections,
                    ..ErrorWindow::default()
                };
                returned.push(target.clone());
            }
        }
        returned.sort();
        returned
    }

    /// Ends the oldest ejections early when peers were removed and more than `max_ejected` targets
    /// are ejected. Returns the targets whose ejection ended.
    fn release_excess(&mut self, peers: &[TargetName], max_ejected: usize) -> Vec<TargetName> {
        let mut ejected: Vec<_> = peers
            .iter()
            .filter_map(|target| Some((self.records.get(target)?.ejected_at?, target.clone())))
            .collect();
        ejected.sort();
        ejected.truncate(ejected.len().saturating_sub(max_ejected));
        for (_, target) in &ejected {
            if let Some(record) = self.records.get_mut(target) {
                *record = ErrorWindow {
                    consecutive_ejections: record.consecutive_ejections,
                    ..ErrorWindow::default()
                };
            }
        }
        ejected.into_iter().map(|(_, target)| target).collect()
    }

    fn is_outlier(&self, target: &TargetName, peers: &[TargetName]) -> bool {
        let Some(record) = self.records.get(target) else { return false };
        if record.ejected_at.is_some()
            || record.requests.iter().sum::<u32>() < self.settings.min_requests
        {
            return false;
        }
        let mut fractions: Vec<f64> = peers
            .iter()
            .filter(|peer| *peer != target && !self.is_ejected(peer))
            .map(|peer| self.records.get(peer).map_or(0.0, ErrorWindow::error_fraction))
            .collect();
        fractions.sort_by(f64::total_cmp);
        let median = fractions.get(fractions.len() / 2).copied().unwrap_or(0.0);
        record.error_fraction() > median + self.settings.excess
    }
}
